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

/// Ages of a VM's newest mark at which it acts by itself, in fleets with
/// readers. A change that a mark does not cover is younger than the mark, so
/// the greatest age and the time of one read bound the time until a change is
/// in force, whichever VMs are lost.
struct MarkAges {
  /// The first reader reads the store, and each further one later.
  Duration Reader = std::chrono::milliseconds(800);
  Duration ReaderStep = std::chrono::milliseconds(200);
  /// A VM asks several others for their marks.
  Duration Ask = std::chrono::milliseconds(1150);
  /// Watchers read the store, one after the other.
  Duration Watcher = std::chrono::milliseconds(1200);
  Duration WatcherStep = std::chrono::milliseconds(75);
  /// All others do, one after the other in the order of their zone, and at the
  /// last age together.
  Duration Other = std::chrono::milliseconds(1350);
  Duration OtherStep = std::chrono::milliseconds(25);
  Duration Last = std::chrono::milliseconds(1600);
};

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
  /// When a VM of a fleet with readers acts.
  MarkAges Ages;
  /// For which a VM that has begun to read the store for others goes on.
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

/// Distinguishes watchers from other uses of rendezvous hashing.
inline constexpr uint64_t WatcherHashKey = 0x77617463;
/// Age at which word of a slow read no longer counts.
inline constexpr Duration MaxReadingAge = std::chrono::milliseconds(400);
/// Staggers the VMs of a zone that lost its watchers; the factor grows with the
/// zone. It is smaller for VMs whose mark is about to become too old.
inline constexpr Duration MaxTakeoverJitter = std::chrono::milliseconds(400);
inline constexpr int MaxTakeoverFactor = 8;
inline constexpr int MaxUrgentTakeoverFactor = 2;
/// Largest number of watchers of one zone.
inline constexpr size_t MaxWatchers = 8;
/// VMs of a zone that are asked when its watchers are silent.
inline constexpr size_t MaxStandIns = 4;

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
  [[nodiscard]] bool contains(VmHandle vm) const { return find(vm) < Count; }
  /// \returns the position of \p vm, or the number of VMs if it is none of
  /// them.
  [[nodiscard]] size_t find(VmHandle vm) const;

private:
  std::array<VmHandle, MaxWatchers> Items;
  size_t Count = 0;
};

/// Requests and answers marks, pushes new versions and fetches missing ones.
class ConfigSync {
public:
  ConfigSync(ConfigKeeper &keeper, Freshness &marks, const SyncTimes &times,
             uint64_t seed)
      : Keeper(keeper), Marks(marks), Times(times),
        ActiveStrategy(strategyOf(times)), Random(seed) {}

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

  /// Replies to the requests that waited for what this VM has by now.
  void answerHeld(const ConfigStep &step);

  /// \returns when `onTick` is due next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns true if this VM has to read the store: for others, or because it
  /// hears nothing from those who do.
  [[nodiscard]] bool shouldWatch(const ConfigStep &step);

  /// \returns the age of the newest mark at which this VM reads the store, zero
  /// if it reads at intervals.
  [[nodiscard]] Duration readMarkAge() const {
    return readsForFleet() ? ReadMarkAge : Duration::zero();
  }

  /// \returns true if a peer has answered recently.
  [[nodiscard]] bool hasRecentPeerAnswer(Instant now) const;

private:
  struct PendingAsk {
    uint32_t Number = 0;
    VmHandle To;
    Instant Sent;
  };
  /// A request of another VM that waits for a newer mark.
  struct HeldAsk {
    /// 0 if there is none.
    uint32_t Number = 0;
    uint64_t Version = 0;
    Instant ReceivedAt;
    /// The mark of that VM.
    Instant MarkedAt = Instant::min();
  };
  /// How marks reach this VM, and when it reads the store itself.
  struct Strategy {
    /// Sends the requests that are due and sets `NextAsk`.
    void (ConfigSync::*Ask)(bool storeUnreachable, const ConfigStep &step);
    /// \returns true if this VM, which knows others, has to read the store.
    bool (ConfigSync::*ReadsStore)(const ConfigStep &step);
  };
  static const Strategy &strategyOf(const SyncTimes &times);

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
  // Requests at intervals (config_sync.cpp).
  void askAtIntervals(bool storeUnreachable, const ConfigStep &step);
  bool readsStoreForZone(const ConfigStep &step);
  // Requests that are held, and acts by the age of the mark
  // (config_sync_marks.cpp).
  void askByMarkAge(bool storeUnreachable, const ConfigStep &step);
  bool readsStoreByMarkAge(const ConfigStep &step);
  void holdRequests(const ConfigStep &step);
  void hold(VmHandle to, const ConfigStep &step);
  void askWidely(const ConfigStep &step);
  void nextSource();
  void noteSource(VmHandle from);
  void noteHeldReply(Instant sent, const ConfigStep &step);
  void noteReading(Duration age, const ConfigStep &step);
  [[nodiscard]] bool hasNews(const HeldAsk &ask) const;
  void answer(VmHandle to, HeldAsk &ask, const ConfigStep &step);
  void updateReadMarkAge(const ConfigStep &step);
  [[nodiscard]] Instant startReadDue(VmHandle self) const;
  [[nodiscard]] Instant readDue() const;

  [[nodiscard]] Duration askInterval(const ConfigStep &step) const;

  void sendAsks(const ConfigStep &step, bool urgent);
  void askZoneWatcher(ZoneHandle zone, const ConfigStep &step);
  void ask(VmHandle to, const ConfigStep &step);
  void sendRequest(VmHandle to, bool hold, PendingAsk &pending,
                   const ConfigStep &step);
  [[nodiscard]] PendingAsk *findHeld(VmHandle from, uint32_t number);
  [[nodiscard]] PendingAsk *findAsk(VmHandle from, uint32_t number);
  void sendMark(VmHandle to, uint32_t number, Instant receivedAt,
                const ConfigStep &step);
  VmHandle randomPeer(const ConfigStep &step);
  [[nodiscard]] Duration takeoverDelay(int maxFactor) const;
  void fetch(VmHandle from, const ConfigStep &step);
  void requestChunks(const ConfigStep &step);
  void requestChunk(const ChunkFetch &chunk, const ConfigStep &step);
  bool sendDeltas(std::span<const VmHandle> to, uint64_t version,
                  const ConfigStep &step);
  void addZone(const ConfigStep &step);
  void addWatchers(const ConfigStep &step);
  void addHeld();
  void sendHead(VmHandle to, const ConfigStep &step);
  void noteOffer(VmHandle from, Duration seenAge, const ConfigStep &step);
  static void send(VmHandle to, PeerBody body, const ConfigStep &step);

  ConfigKeeper &Keeper;
  Freshness &Marks;
  SyncTimes Times;
  const Strategy &ActiveStrategy;
  ConfigOrigin Origin;
  ConfigOrigin Offered;
  std::mt19937_64 Random;
  WatcherSet OwnWatchers;
  WatcherSet OtherWatchers;
  WatcherSet Readers;
  Instant TakeoverUntil = Instant::min();
  std::vector<VmHandle> PushTargets;
  std::array<PendingAsk, MaxPendingAsks> PendingAsks;
  /// Requests of this VM that others hold.
  std::array<PendingAsk, MaxWatchers> HeldAsks;
  /// Requests that this VM holds, by VM handle.
  std::vector<HeldAsk> Held;
  /// The mark and the version that `Held` was checked against.
  Instant AnsweredMark = Instant::min();
  uint64_t AnsweredVersion = 0;
  /// The version in force was not pushed, since it is too large.
  bool PushIncomplete = false;
  uint32_t LastAskNumber = 0;
  /// The watcher of this zone that holds this VM's request.
  VmHandle Source;
  /// A VM that answered when the watchers did not.
  VmHandle StandIn;
  /// The first VMs of this zone in the order in which they read the store.
  std::array<VmHandle, MaxStandIns> StandIns;
  size_t StandInCount = 0;
  Duration ReadMarkAge{};
  /// When another VM last got a part of a slow read of the store.
  Instant ReadingSeenAt = Instant::min();
  /// `shouldWatch` was true last.
  bool ActsAsWatcher = false;
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
