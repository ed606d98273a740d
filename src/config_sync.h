/// \file
/// Spreads the configuration and its marks among the daemons.
#ifndef GUAVASAIL_SRC_CONFIG_SYNC_H
#define GUAVASAIL_SRC_CONFIG_SYNC_H

#include "config_keeper.h"
#include "config_step.h"

#include <array>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace guavasail {

/// Times and sizes of the spreading.
struct SyncTimes {
  /// Between two questions for a mark.
  Duration Ask = std::chrono::milliseconds(1000);
  /// The same while the mark is older than `HurryFrom`.
  Duration AskHurried = std::chrono::milliseconds(500);
  Duration HurryFrom = std::chrono::milliseconds(1800);
  /// After this an answer to a fetch counts as lost.
  Duration Fetch = std::chrono::milliseconds(400);
  /// A VM that hears no watcher of its zone for this long acts as one.
  Duration WatcherSilence = std::chrono::milliseconds(2500);
  /// Random VMs that are asked besides while the mark is old. A majority that
  /// holds a newer version is then met soon.
  uint32_t RandomAsks = 3;
  /// A VM whose mark is older reads the store itself: the watchers may have
  /// lost it.
  Duration WatchFrom = std::chrono::milliseconds(2000);
  /// False leaves the spreading to the questions; for comparisons.
  bool Push = true;
  /// Watchers of a zone, and the VMs for each further one.
  uint32_t Watchers = 2;
  uint32_t VmsPerWatcher = 40;
  /// Entries of one message, in bytes by `chunkBytes`.
  uint32_t PartBytes = 24 * 1024;
  /// Largest change that is sent unasked; with room for the encoding it fits
  /// into one message, also for a service of 700 instances.
  uint32_t PushBytes = 96 * 1024;
};

/// Most watchers that one zone has.
inline constexpr size_t MaxWatchers = 8;

/// The watchers of one zone, computed alike by all who see the same members.
class WatcherSet {
public:
  /// Works out the watchers of \p zone.
  void compute(const MemberView &members, ZoneHandle zone,
               const SyncTimes &times);

  [[nodiscard]] std::span<const VmHandle> items() const {
    return {Items.data(), Count};
  }
  [[nodiscard]] bool contains(VmHandle vm) const;

private:
  std::array<VmHandle, MaxWatchers> Items;
  size_t Count = 0;
};

/// Asks for marks, answers questions, pushes and repairs versions.
class ConfigSync {
public:
  ConfigSync(ConfigKeeper &keeper, Freshness &marks, const SyncTimes &times,
             uint64_t seed)
      : Keeper(keeper), Marks(marks), Times(times), Random(seed) {}

  /// Asks whoever is due.
  /// \param storeLost true if this VM should read the store and cannot.
  void onTick(bool storeLost, const ConfigStep &step);

  void onPeer(VmHandle from, const ConfigMarkRequest &message,
              const ConfigStep &step);
  void onPeer(VmHandle from, const ConfigMark &message, const ConfigStep &step);
  void onPeer(VmHandle from, const ConfigFetch &message,
              const ConfigStep &step);
  void onPeer(VmHandle from, const ConfigDelta &message,
              const ConfigStep &step);
  void onPeer(VmHandle from, const ConfigHeadUpdate &message,
              const ConfigStep &step);
  void onPeer(VmHandle from, const ConfigChunkRequest &message,
              const ConfigStep &step);
  void onPeer(VmHandle from, const ConfigChunkPart &message,
              const ConfigStep &step);

  /// Pushes a version that was adopted from the store, from a peer or by this
  /// VM's own write to those for whom this VM stands.
  /// \param from the version before.
  /// \param written true if this VM wrote it.
  void onAdopted(uint64_t from, bool written, const ConfigStep &step);

  /// \returns when `onTick` is wanted next.
  [[nodiscard]] Instant nextDue() const {
    return std::min(NextAsk, FetchDeadline);
  }

  /// \returns true if this VM is one of its zone's watchers, or has to act as
  /// one because it hears none.
  [[nodiscard]] bool shouldWatch(const ConfigStep &step) const;

  /// \returns true if a peer has answered lately.
  [[nodiscard]] bool hearsPeers(Instant now) const;

private:
  struct Question {
    uint32_t Number = 0;
    VmHandle To;
    Instant Sent;
  };
  static constexpr size_t QuestionsHeld = 64;

  void refresh(const ConfigStep &step);
  void askAll(const ConfigStep &step, bool hurried);
  void askZone(ZoneHandle zone, const ConfigStep &step);
  void ask(VmHandle to, const ConfigStep &step);
  VmHandle randomPeer(const ConfigStep &step);
  void fetch(VmHandle from, const ConfigStep &step);
  void askChunk(const ConfigStep &step);
  bool sendDeltas(VmHandle to, uint64_t version, const ConfigStep &step);
  void pushToZone(uint64_t from, const ConfigStep &step);
  static void send(VmHandle to, PeerBody body, const ConfigStep &step);

  ConfigKeeper &Keeper;
  Freshness &Marks;
  SyncTimes Times;
  std::mt19937_64 Random;
  WatcherSet OwnZone;
  WatcherSet OtherZone;
  std::array<Question, QuestionsHeld> Questions;
  uint32_t LastNumber = 0;
  uint32_t Round = 0;
  Instant NextAsk = Instant::min();
  Instant Started = Instant::min();
  /// When a watcher of this zone answered last.
  Instant WatcherHeard = Instant::min();
  Instant PeerHeard = Instant::min();
  Duration Patience{};
  VmHandle Source;
  Instant FetchDeadline = NeverInstant;
  uint32_t PartSlot = 0;
  Digest PartDigest;
  CatalogChunk Part;
};

} // namespace guavasail

#endif
