#include "config_sync.h"

#include "duration_math.h"
#include "rendezvous.h"

namespace guavasail {

namespace {

/// Distinguishes watchers from other uses of rendezvous hashing.
constexpr uint64_t WatcherHashKey = 0x77617463;
constexpr uint64_t ReaderHashKey = 0x72656164;
constexpr size_t MaxDeltas = 8;
/// Staggers the VMs of a zone that lost its watchers. Together with the ask
/// interval and the watcher timeout, the first of them reads the store within
/// the 2.5 s allowed for a change.
constexpr Duration MaxTakeoverJitter = std::chrono::milliseconds(400);
/// The same for watchers that take over from the readers.
constexpr int TakeoverJitterDivisor = 4;
/// Largest factor of the jitter in large zones, and the same for VMs whose mark
/// is about to become too old.
constexpr int MaxTakeoverFactor = 8;
constexpr int MaxUrgentTakeoverFactor = 2;
/// Time in which a VM counts as just started.
constexpr Duration StartTime = std::chrono::seconds(3);

/// \returns true if \p vm can read the store and answer others.
bool mayWatch(const MemberView &members, const VmEntry &vm) {
  bool self = members.Self.valid() && &vm == &members.at(members.Self);
  return self || isReachable(vm);
}

} // namespace

uint32_t WatcherSet::compute(const MemberView &members, ZoneHandle zone,
                             const SyncTimes &times) {
  uint32_t vms = 0;
  auto eligible = [&](const VmEntry &vm) {
    return vm.Zone == zone && mayWatch(members, vm);
  };
  for (const VmEntry &vm : members.Vms)
    vms += eligible(vm) ? 1 : 0;
  size_t count = std::max(times.MinWatchers, vms / times.VmsPerWatcher);
  std::span<VmHandle> room(Items.data(), std::min(count, MaxWatchers));
  auto eligibleAndStrong = [&](const VmEntry &vm) {
    return members.isStrong(vm) && eligible(vm);
  };
  Count =
      rendezvousTop(WatcherHashKey, members, eligibleAndStrong, room).size();
  if (Count < times.MinWatchers)
    Count = rendezvousTop(WatcherHashKey, members, eligible, room).size();
  return vms;
}

void WatcherSet::computeReaders(const MemberView &members,
                                const SyncTimes &times) {
  auto eligible = [&](const VmEntry &vm) {
    return members.isStrong(vm) && mayWatch(members, vm);
  };
  std::span<VmHandle> room(Items.data(),
                           std::min<size_t>(times.Readers, MaxWatchers));
  Count = rendezvousTop(ReaderHashKey, members, eligible, room).size();
}

bool WatcherSet::contains(VmHandle vm) const {
  return std::find(Items.begin(), Items.begin() + Count, vm) !=
         Items.begin() + Count;
}

void ConfigSync::send(VmHandle to, PeerBody body, const ConfigStep &step) {
  step.Effects.push(SendPeer{to, std::move(body)});
}

void ConfigSync::updateOwnWatchers(const ConfigStep &step) {
  ZoneVms = OwnWatchers.compute(step.Members, step.Zone, Times);
  KnownVms = step.Members.Vms.size();
  if (readsForFleet())
    Readers.computeReaders(step.Members, Times);
}

void ConfigSync::onTick(bool storeUnreachable, const ConfigStep &step) {
  if (Started == Instant::min()) {
    Started = step.Now;
    constexpr uint64_t Steps = 1000;
    TakeoverOrder = static_cast<double>(Random() % Steps) / Steps;
  }
  if (FetchDeadline <= step.Now) {
    FetchDeadline = NeverInstant;
    FetchSource = {};
  }
  if (step.Now < NextAsk)
    return;
  updateOwnWatchers(step);
  // A watcher without the store depends on the marks of other zones to serve
  // its own.
  bool urgent = storeUnreachable ||
                ageOf(Marks.markedAt(), step.Now) >= Times.UrgentMarkAge;
  ++Round;
  sendAsks(step, urgent);
  bool asksReaders = readsForFleet() && OwnWatchers.contains(step.Members.Self);
  Duration interval = urgent ? Times.UrgentAskInterval : Times.AskInterval;
  if (asksReaders)
    interval = std::min(interval, Times.WatcherAskInterval);
  bool awaitsMark = Times.StartAskInterval > Duration::zero() &&
                    Marks.markedAt() == Instant::min() &&
                    step.Now < deadlineAfter(Started, StartTime);
  if (awaitsMark)
    interval = std::min(interval, Times.StartAskInterval);
  bool awaitsList =
      KnownVms <= 1 && step.Now < deadlineAfter(Started, Times.AloneGraceTime);
  if (awaitsList)
    interval = Times.AloneCheckInterval;
  NextAsk = deadlineAfter(step.Now, interval);
}

void ConfigSync::sendAsks(const ConfigStep &step, bool urgent) {
  bool watcher = OwnWatchers.contains(step.Members.Self);
  if (!watcher || !readsForFleet() || urgent)
    askZoneWatcher(step.Zone, step);
  if (watcher)
    for (VmHandle vm : Readers.items())
      if (vm != step.Members.Self)
        ask(vm, step);
  size_t zones = step.Reach.Zones.size();
  if (watcher && !urgent && zones > 1 && !readsForFleet())
    askZoneWatcher(step.Reach.Zones[1 + Round % (zones - 1)], step);
  if (!urgent)
    return;
  if (watcher)
    for (size_t n = 1; n < zones; ++n)
      askZoneWatcher(step.Reach.Zones[n], step);
  for (uint32_t n = 0; n < Times.RandomAsks; ++n)
    ask(randomPeer(step), step);
}

void ConfigSync::askZoneWatcher(ZoneHandle zone, const ConfigStep &step) {
  bool own = zone == step.Zone;
  if (!own)
    OtherWatchers.compute(step.Members, zone, Times);
  std::span<const VmHandle> watchers =
      (own ? OwnWatchers : OtherWatchers).items();
  for (size_t n = 0; n < watchers.size(); ++n) {
    VmHandle vm = watchers[(Round + n) % watchers.size()];
    if (vm != step.Members.Self)
      return ask(vm, step);
  }
}

void ConfigSync::ask(VmHandle to, const ConfigStep &step) {
  if (!to.valid())
    return;
  PendingAsk &pending = PendingAsks[++LastAskNumber % MaxPendingAsks];
  pending = {LastAskNumber, to, step.Now};
  send(to, ConfigMarkRequest{LastAskNumber, Keeper.version()}, step);
}

VmHandle ConfigSync::randomPeer(const ConfigStep &step) {
  size_t count = step.Members.Vms.size();
  if (count < 2)
    return {};
  size_t first = Random() % count;
  for (size_t n = 0; n < count; ++n) {
    VmHandle vm{static_cast<uint32_t>((first + n) % count)};
    if (vm != step.Members.Self && isReachable(step.Members.at(vm)))
      return vm;
  }
  return {};
}

void ConfigSync::onPeer(VmHandle from, const ConfigMarkRequest &message,
                        const ConfigStep &step) {
  ConfigMark mark;
  mark.Number = message.Number;
  mark.Version = Keeper.version();
  mark.MarkVersion = Marks.mark().Version;
  mark.MarkRevision = Marks.mark().Revision;
  mark.MarkAge = ageOf(Marks.markedAt(), step.Now);
  Duration maxAge = Marks.bounds().maxAge();
  for (ZoneHandle zone : step.Reach.Zones) {
    Duration age = ageOf(Marks.storeOutageAt(zone), step.Now);
    if (age < maxAge && mark.MarkAge >= Marks.bounds().OutageReportAge)
      mark.Outages.push_back({std::string(step.Names.name(zone)), age});
  }
  // Deltas go first, so that the requester need not fetch the version that the
  // mark announces.
  if (message.Version > 0 && message.Version < Keeper.version())
    sendDeltas({&from, 1}, message.Version, step);
  send(from, std::move(mark), step);
  if (message.Version > Keeper.version())
    fetch(from, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigMark &message,
                        const ConfigStep &step) {
  const PendingAsk &pending = PendingAsks[message.Number % MaxPendingAsks];
  if (pending.Number != message.Number || pending.To != from)
    return;
  LastPeerAnswer = std::max(LastPeerAnswer, pending.Sent);
  if (OwnWatchers.contains(from))
    LastWatcherAnswer = std::max(LastWatcherAnswer, pending.Sent);
  // The answer was created after the request was sent, so its ages can be
  // counted from the sending, however long the answer took.
  Duration maxAge = Marks.bounds().maxAge();
  if (message.MarkAge >= Duration::zero() && message.MarkAge < maxAge)
    Marks.confirm({message.MarkVersion, message.MarkRevision,
                   pending.Sent - message.MarkAge});
  for (const ZoneOutage &it : message.Outages)
    if (it.Age >= Duration::zero() && it.Age < maxAge)
      Marks.noteStoreOutage(step.Names.zone(it.Zone), pending.Sent - it.Age);
  Marks.learnVersion(message.Version);
  if (message.Version > Keeper.version())
    fetch(from, step);
}

void ConfigSync::fetch(VmHandle from, const ConfigStep &step) {
  if (FetchDeadline != NeverInstant)
    return;
  FetchSource = from;
  FetchDeadline = deadlineAfter(step.Now, Times.FetchTimeout);
  send(from, ConfigFetch{Keeper.version(), false}, step);
}

bool ConfigSync::sendDeltas(std::span<const VmHandle> to, uint64_t version,
                            const ConfigStep &step) {
  auto deltas = Keeper.deltasSince(version);
  if (deltas.empty() || deltas.size() > MaxDeltas)
    return false;
  for (const ConfigDelta *it : deltas)
    if (patchBytes(it->Patch) > Times.MaxPushBytes)
      return false;
  for (const ConfigDelta *it : deltas) {
    ConfigDelta delta = *it;
    delta.SeenAge = ageOf(Origin.SeenAt, step.Now);
    step.Effects.push(SendPeers{{to.begin(), to.end()}, std::move(delta)});
  }
  return true;
}

void ConfigSync::sendHead(VmHandle to, const ConfigStep &step) {
  Duration seenAge = ageOf(Origin.SeenAt, step.Now);
  send(to, ConfigHeadUpdate{Keeper.head(), seenAge}, step);
}

void ConfigSync::noteOffer(VmHandle from, Duration seenAge,
                           const ConfigStep &step) {
  bool plausible =
      seenAge >= Duration::zero() && seenAge <= step.Now.time_since_epoch();
  Offered = {from, plausible ? step.Now - seenAge : step.Now};
}

void ConfigSync::onPeer(VmHandle from, const ConfigFetch &message,
                        const ConfigStep &step) {
  if (message.Version >= Keeper.version())
    return;
  if (message.Whole || !sendDeltas({&from, 1}, message.Version, step))
    sendHead(from, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigDelta &message,
                        const ConfigStep &step) {
  Marks.learnVersion(message.Change.Version);
  noteOffer(from, message.SeenAge, step);
  DeltaResult result = Keeper.apply(message);
  if (result == DeltaResult::Adopted && from == FetchSource)
    FetchDeadline = NeverInstant;
  if (result == DeltaResult::VersionGap)
    fetch(from, step);
  if (result == DeltaResult::DigestMismatch)
    send(from, ConfigFetch{Keeper.version(), true}, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigHeadUpdate &message,
                        const ConfigStep &step) {
  Marks.learnVersion(message.Head.Version);
  noteOffer(from, message.SeenAge, step);
  Keeper.offerHead(message.Head);
  // A sender that is behind what is being collected does not have its chunks.
  bool collects =
      Keeper.gathering() && Keeper.pendingVersion() == message.Head.Version;
  if (!collects)
    return;
  FetchSource = from;
  // What has arrived of a chunk stays if it is still wanted.
  for (ChunkFetch &it : ChunkFetches) {
    it.Open = it.Open && Keeper.wantedDigest(it.Slot) == it.Chunk;
    if (it.Open)
      requestChunk(it, step);
  }
  requestChunks(step);
}

void ConfigSync::requestChunk(const ChunkFetch &chunk, const ConfigStep &step) {
  auto held = static_cast<uint32_t>(chunkEntries(chunk.Entries));
  send(FetchSource, ConfigChunkRequest{chunk.Chunk, chunk.Slot, held}, step);
}

/// Requests missing chunks, as many at a time as `ChunkFetches` holds.
void ConfigSync::requestChunks(const ConfigStep &step) {
  auto next = Keeper.missingSlot();
  FetchDeadline =
      next ? deadlineAfter(step.Now, Times.FetchTimeout) : NeverInstant;
  auto isOpen = [&](uint32_t slot) {
    return std::any_of(
        ChunkFetches.begin(), ChunkFetches.end(),
        [&](const ChunkFetch &it) { return it.Open && it.Slot == slot; });
  };
  for (ChunkFetch &it : ChunkFetches) {
    if (it.Open)
      continue;
    while (next && isOpen(*next))
      next = Keeper.missingSlot(*next + 1);
    if (!next)
      return;
    it = {true, *next, Keeper.wantedDigest(*next), {}};
    requestChunk(it, step);
  }
}

void ConfigSync::onPeer(VmHandle from, const ConfigChunkRequest &message,
                        const ConfigStep &step) {
  if (message.Slot >= ChunkSlots)
    return;
  if (Keeper.head().Chunks[message.Slot] != message.Chunk)
    return sendHead(from, step);
  const CatalogChunk &chunk = Keeper.table().Slots[message.Slot];
  ConfigChunkPart part;
  part.Chunk = message.Chunk;
  part.Slot = message.Slot;
  part.Offset = message.Offset;
  part.Total = static_cast<uint32_t>(chunkEntries(chunk));
  part.Entries = sliceChunk(chunk, message.Offset, Times.MaxPartBytes);
  send(from, std::move(part), step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigChunkPart &message,
                        const ConfigStep &step) {
  auto it = std::find_if(ChunkFetches.begin(), ChunkFetches.end(),
                         [&](const ChunkFetch &item) {
                           return item.Open && item.Slot == message.Slot &&
                                  item.Chunk == message.Chunk &&
                                  message.Offset == chunkEntries(item.Entries);
                         });
  if (it == ChunkFetches.end() || from != FetchSource || !Keeper.gathering())
    return;
  appendChunk(it->Entries, message.Entries);
  if (chunkEntries(it->Entries) < message.Total) {
    FetchDeadline = deadlineAfter(step.Now, Times.FetchTimeout);
    return requestChunk(*it, step);
  }
  Keeper.provideChunk(it->Slot, std::move(it->Entries));
  *it = {};
  requestChunks(step);
}

void ConfigSync::onAdopted(uint64_t from, bool spreads,
                           const ConfigStep &step) {
  if (!Times.Push)
    return;
  updateOwnWatchers(step);
  if (OwnWatchers.contains(step.Members.Self))
    pushToZone(from, step);
  if (spreads)
    pushToWatchers(from, step);
}

void ConfigSync::pushToZone(uint64_t from, const ConfigStep &step) {
  PushTargets.clear();
  for (uint32_t n = 0; n < step.Members.Vms.size(); ++n) {
    const VmEntry &vm = step.Members.Vms[n];
    // Every watcher pushes to the whole zone, since another one may have
    // failed; duplicates are ignored.
    if (vm.Zone == step.Zone && isReachable(vm) && !OwnWatchers.contains({n}))
      PushTargets.push_back({n});
  }
  sendDeltas(PushTargets, from, step);
}

/// Pushes to the watchers of all zones, for their VMs.
void ConfigSync::pushToWatchers(uint64_t from, const ConfigStep &step) {
  PushTargets.clear();
  auto add = [&](const WatcherSet &watchers) {
    for (VmHandle vm : watchers.items())
      if (vm != step.Members.Self)
        PushTargets.push_back(vm);
  };
  add(OwnWatchers);
  for (ZoneHandle zone : step.Reach.Zones) {
    if (zone == step.Zone)
      continue;
    OtherWatchers.compute(step.Members, zone, Times);
    add(OtherWatchers);
  }
  sendDeltas(PushTargets, from, step);
}

/// \returns how long after others this VM replaces silent watchers, longer in
/// large zones, so that only some of their VMs read the store.
Duration ConfigSync::takeoverDelay(int maxFactor) const {
  auto factor = static_cast<int>(ZoneVms / Times.VmsPerTakeover);
  return scaled(MaxTakeoverJitter * std::clamp(factor, 1, maxFactor),
                TakeoverOrder);
}

bool ConfigSync::shouldWatch(const ConfigStep &step) {
  if (KnownVms != step.Members.Vms.size())
    updateOwnWatchers(step);
  bool knowsOthers = step.Members.Vms.size() > 1;
  bool waits = Started == Instant::min() ||
               step.Now < deadlineAfter(Started, Times.AloneGraceTime);
  if (!knowsOthers)
    return !waits || Times.AloneGraceTime == Duration::zero();
  VmHandle self = step.Members.Self;
  bool watcher = OwnWatchers.contains(self);
  if (readsForFleet() ? Readers.contains(self) : watcher)
    return true;
  if (Started == Instant::min())
    return false;
  Instant marked = std::max(Marks.markedAt(), Started);
  Duration jitter = takeoverDelay(1) / TakeoverJitterDivisor;
  if (watcher && step.Now - marked >= Times.TakeoverMarkAge + jitter)
    TakeoverUntil = deadlineAfter(step.Now, Times.TakeoverTime);
  if (step.Now < TakeoverUntil)
    return true;
  Instant lastAnswer = std::max(LastWatcherAnswer, Started);
  if (!watcher && step.Now - lastAnswer >=
                      Times.WatcherTimeout + takeoverDelay(MaxTakeoverFactor))
    return true;
  return step.Now - marked >=
         Times.DirectWatchMarkAge + takeoverDelay(MaxUrgentTakeoverFactor);
}

bool ConfigSync::hasRecentPeerAnswer(Instant now) const {
  return ageOf(LastPeerAnswer, now) < Marks.bounds().maxAge();
}

} // namespace guavasail
