/// \file
/// Distributes the configuration and its freshness marks among the daemons.
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

/// Times and sizes of the distribution.
struct SyncTimes {
  /// Between two requests for a mark.
  Duration AskInterval = std::chrono::milliseconds(1000);
  /// The same while the own mark is older than `UrgentMarkAge`.
  Duration UrgentAskInterval = std::chrono::milliseconds(500);
  Duration UrgentMarkAge = std::chrono::milliseconds(1800);
  /// The same while a VM that has just started has no mark; zero for no other
  /// interval. Requests wait for the first mark.
  Duration StartAskInterval{};
  /// Time after which the answer to a fetch counts as lost.
  Duration FetchTimeout = std::chrono::milliseconds(400);
  /// A VM that gets no answer from a watcher of its zone for this long acts as
  /// a watcher itself.
  Duration WatcherTimeout = std::chrono::milliseconds(2500);
  /// Random VMs that are asked in addition while the mark is old, to find a
  /// newer version that a majority already has.
  uint32_t RandomAsks = 3;
  /// A VM whose mark is older reads the store itself, since the watchers may
  /// have lost it.
  Duration DirectWatchMarkAge = std::chrono::milliseconds(2000);
  /// If false, versions spread through mark requests only; for comparisons.
  bool Push = true;
  /// VMs that read the store for the whole fleet and push what they read to the
  /// watchers of all zones; 0 if the watchers of each zone read it.
  uint32_t Readers = 0;
  /// Between two requests of a watcher to the readers.
  Duration WatcherAskInterval = std::chrono::milliseconds(400);
  /// A watcher whose mark is older reads the store itself for `TakeoverTime`,
  /// since the readers may have lost it.
  Duration TakeoverMarkAge = std::chrono::milliseconds(1550);
  Duration TakeoverTime = std::chrono::seconds(4);
  /// Time after its start for which a VM that knows no other one waits for the
  /// list of VMs before it reads the store.
  Duration AloneGraceTime{};
  /// Least number of watchers of a zone, and the number of VMs per watcher in
  /// larger zones.
  uint32_t MinWatchers = 2;
  uint32_t VmsPerWatcher = 40;
  /// Between two checks whether other VMs have become known.
  Duration AloneCheckInterval = std::chrono::milliseconds(50);
  /// VMs of a zone among which the first to replace silent watchers is found
  /// within `WatcherTimeout` and a fixed time; larger zones wait longer.
  uint32_t VmsPerTakeover = 12;
  /// Size of the entries in one message, in bytes by `chunkBytes`.
  uint32_t MaxPartBytes = 24 * 1024;
  /// Largest change that is pushed. Such a change fits into one message with
  /// its encoding, also for a service of 700 instances.
  uint32_t MaxPushBytes = 96 * 1024;
};

/// Where a version came from.
struct ConfigOrigin {
  /// VM that sent it; invalid if this VM read it from the store.
  VmHandle From;
  /// When a VM first read it from the store, or later by the time that messages
  /// took.
  Instant SeenAt{};
};

/// Largest number of watchers of one zone.
inline constexpr size_t MaxWatchers = 8;

/// The watchers of one zone, or the readers of the fleet. All VMs with the same
/// member list compute the same set.
class WatcherSet {
public:
  /// Computes the watchers of \p zone, strong VMs first of all.
  /// \returns the number of VMs in the zone.
  uint32_t compute(const MemberView &members, ZoneHandle zone,
                   const SyncTimes &times);
  /// Computes the VMs that read the store for all zones.
  void computeReaders(const MemberView &members, const SyncTimes &times);

  [[nodiscard]] std::span<const VmHandle> items() const {
    return {Items.data(), Count};
  }
  [[nodiscard]] bool contains(VmHandle vm) const;

private:
  std::array<VmHandle, MaxWatchers> Items;
  size_t Count = 0;
};

/// Requests and answers marks, pushes new versions and fetches missing ones.
class ConfigSync {
public:
  ConfigSync(ConfigKeeper &keeper, Freshness &marks, const SyncTimes &times,
             uint64_t seed)
      : Keeper(keeper), Marks(marks), Times(times), Random(seed) {}

  /// Sends the requests that are due.
  /// \param storeUnreachable true if this VM is a watcher without the store.
  void onTick(bool storeUnreachable, const ConfigStep &step);

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

  /// Pushes an adopted version: a watcher to its zone, the VM from which it
  /// spreads to the watchers of all zones.
  /// \param from the version in force before.
  /// \param spreads true if this VM wrote it, or read it for the fleet.
  void onAdopted(uint64_t from, bool spreads, const ConfigStep &step);

  /// Sets where the version in force came from.
  void setOrigin(const ConfigOrigin &origin) { Origin = origin; }
  [[nodiscard]] const ConfigOrigin &origin() const { return Origin; }
  /// \returns the origin of the version that a peer sent last.
  [[nodiscard]] const ConfigOrigin &offered() const { return Offered; }

  /// \returns true if versions that this VM reads spread from it to all zones.
  [[nodiscard]] bool readsForFleet() const { return Times.Readers > 0; }

  /// \returns when `onTick` is due next.
  [[nodiscard]] Instant nextDue() const {
    return std::min(NextAsk, FetchDeadline);
  }

  /// \returns true if this VM is a watcher of its zone, or has to act as one
  /// because none answers.
  [[nodiscard]] bool shouldWatch(const ConfigStep &step);

  /// \returns true if a peer has answered recently.
  [[nodiscard]] bool hasRecentPeerAnswer(Instant now) const;

private:
  struct PendingAsk {
    uint32_t Number = 0;
    VmHandle To;
    Instant Sent;
  };
  static constexpr size_t MaxPendingAsks = 64;
  /// A chunk of which parts have been requested from `FetchSource`.
  struct ChunkFetch {
    bool Open = false;
    uint32_t Slot = 0;
    Digest Chunk;
    /// Entries that have arrived.
    CatalogChunk Entries;
  };
  /// Chunks requested at a time, so that a catalog of many small chunks takes
  /// few round trips.
  static constexpr size_t MaxChunkFetches = 8;

  void updateOwnWatchers(const ConfigStep &step);
  void sendAsks(const ConfigStep &step, bool urgent);
  void askZoneWatcher(ZoneHandle zone, const ConfigStep &step);
  void ask(VmHandle to, const ConfigStep &step);
  VmHandle randomPeer(const ConfigStep &step);
  [[nodiscard]] Duration takeoverDelay(int maxFactor) const;
  void fetch(VmHandle from, const ConfigStep &step);
  void requestChunks(const ConfigStep &step);
  void requestChunk(const ChunkFetch &chunk, const ConfigStep &step);
  bool sendDeltas(std::span<const VmHandle> to, uint64_t version,
                  const ConfigStep &step);
  void pushToZone(uint64_t from, const ConfigStep &step);
  void pushToWatchers(uint64_t from, const ConfigStep &step);
  void sendHead(VmHandle to, const ConfigStep &step);
  void noteOffer(VmHandle from, Duration seenAge, const ConfigStep &step);
  static void send(VmHandle to, PeerBody body, const ConfigStep &step);

  ConfigKeeper &Keeper;
  Freshness &Marks;
  SyncTimes Times;
  ConfigOrigin Origin;
  ConfigOrigin Offered;
  std::mt19937_64 Random;
  WatcherSet OwnWatchers;
  WatcherSet OtherWatchers;
  WatcherSet Readers;
  Instant TakeoverUntil = Instant::min();
  std::vector<VmHandle> PushTargets;
  std::array<PendingAsk, MaxPendingAsks> PendingAsks;
  uint32_t LastAskNumber = 0;
  uint32_t Round = 0;
  Instant NextAsk = Instant::min();
  Instant Started = Instant::min();
  /// When the last request was sent that a watcher of this zone answered.
  Instant LastWatcherAnswer = Instant::min();
  Instant LastPeerAnswer = Instant::min();
  /// Position of this VM in the order of takeovers, from 0 to 1.
  double TakeoverOrder = 0;
  /// VMs in the zone, and in the fleet, when the watchers were computed.
  uint32_t ZoneVms = 0;
  size_t KnownVms = 0;
  VmHandle FetchSource;
  Instant FetchDeadline = NeverInstant;
  std::array<ChunkFetch, MaxChunkFetches> ChunkFetches;
};

} // namespace guavasail

#endif
