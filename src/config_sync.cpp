#include "config_sync.h"

#include "duration_math.h"
#include "rendezvous.h"

namespace guavasail {

namespace {

constexpr uint64_t ReaderHashKey = 0x72656164;
constexpr size_t MaxDeltas = 8;
/// Time after which a fetch without progress may move to another source.
constexpr Duration FetchPatience = std::chrono::milliseconds(120);
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

size_t WatcherSet::find(VmHandle vm) const {
  auto it = std::find(Items.begin(), Items.begin() + Count, vm);
  return static_cast<size_t>(it - Items.begin());
}

void ConfigSync::send(VmHandle to, PeerBody body, const ConfigStep &step) {
  step.Effects.push(SendPeer{to, std::move(body)});
}

void ConfigSync::updateOwnWatchers(const ConfigStep &step) {
  ZoneVms = OwnWatchers.compute(step.Members, step.Zone, Times);
  KnownVms = step.Members.Vms.size();
  if (!readsForFleet())
    return;
  Readers.computeReaders(step.Members, Times);
  updateReadMarkAge(step);
}

const ConfigSync::Strategy &ConfigSync::strategyOf(const SyncTimes &times) {
  static constexpr Strategy AtIntervals{&ConfigSync::askAtIntervals,
                                        &ConfigSync::readsStoreForZone};
  static constexpr Strategy ByMarkAge{&ConfigSync::askByMarkAge,
                                      &ConfigSync::readsStoreByMarkAge};
  return times.Readers > 0 ? ByMarkAge : AtIntervals;
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
    NextAsk = step.Now;
  }
  if (step.Now < NextAsk)
    return;
  updateOwnWatchers(step);
  ++Round;
  (this->*ActiveStrategy.Ask)(storeUnreachable, step);
}

void ConfigSync::askAtIntervals(bool storeUnreachable, const ConfigStep &step) {
  // A watcher without the store depends on the marks of other zones to serve
  // its own.
  bool urgent = storeUnreachable ||
                ageOf(Marks.markedAt(), step.Now) >= Times.UrgentMarkAge;
  sendAsks(step, urgent);
  Duration interval = urgent ? Times.UrgentAskInterval : Times.AskInterval;
  NextAsk = deadlineAfter(step.Now, std::min(interval, askInterval(step)));
}

/// \returns the interval of a VM that has just started, `Duration::max()` for
/// others.
Duration ConfigSync::askInterval(const ConfigStep &step) const {
  bool awaitsList =
      KnownVms <= 1 && step.Now < deadlineAfter(Started, Times.AloneGraceTime);
  if (awaitsList)
    return Times.AloneCheckInterval;
  bool awaitsMark = Times.StartAskInterval > Duration::zero() &&
                    Marks.markedAt() == Instant::min() &&
                    step.Now < deadlineAfter(Started, StartTime);
  return awaitsMark ? Times.StartAskInterval : Duration::max();
}

void ConfigSync::sendAsks(const ConfigStep &step, bool urgent) {
  bool watcher = OwnWatchers.contains(step.Members.Self);
  askZoneWatcher(step.Zone, step);
  size_t zones = step.Reach.Zones.size();
  if (watcher && !urgent && zones > 1)
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
  if (!to.valid() || to == step.Members.Self)
    return;
  sendRequest(to, false, PendingAsks[(LastAskNumber + 1) % MaxPendingAsks],
              step);
}

void ConfigSync::sendRequest(VmHandle to, bool hold, PendingAsk &pending,
                             const ConfigStep &step) {
  pending = {++LastAskNumber, to, step.Now};
  Duration age = ageOf(Marks.markedAt(), step.Now);
  send(to, ConfigMarkRequest{LastAskNumber, Keeper.version(), hold, age}, step);
}

ConfigSync::PendingAsk *ConfigSync::findHeld(VmHandle from, uint32_t number) {
  auto it = std::find_if(
      HeldAsks.begin(), HeldAsks.end(), [&](const PendingAsk &pending) {
        return number != 0 && pending.Number == number && pending.To == from;
      });
  return it == HeldAsks.end() ? nullptr : &*it;
}

ConfigSync::PendingAsk *ConfigSync::findAsk(VmHandle from, uint32_t number) {
  PendingAsk &pending = PendingAsks[number % MaxPendingAsks];
  return pending.Number == number && pending.To == from ? &pending : nullptr;
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

void ConfigSync::sendMark(VmHandle to, uint32_t number, Instant receivedAt,
                          const ConfigStep &step) {
  ConfigMark mark;
  mark.Number = number;
  mark.Version = Keeper.version();
  mark.MarkVersion = Marks.mark().Version;
  mark.MarkRevision = Marks.mark().Revision;
  Duration age = ageOf(Marks.markedAt(), step.Now);
  if (age != Duration::max())
    mark.MarkAge = receivedAt - Marks.markedAt();
  Duration maxAge = Marks.bounds().maxAge();
  for (ZoneHandle zone : step.Reach.Zones) {
    Duration outage = ageOf(Marks.storeOutageAt(zone), step.Now);
    if (outage < maxAge && age >= Marks.bounds().OutageReportAge)
      mark.Outages.push_back({std::string(step.Names.name(zone)), outage});
  }
  Duration reading =
      ageOf(std::max(ReadingSeenAt, step.ReadProgressAt), step.Now);
  if (reading < MaxReadingAge)
    mark.ReadingAge = reading;
  send(to, std::move(mark), step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigMarkRequest &message,
                        const ConfigStep &step) {
  // Deltas go first, so that the requester need not fetch the version that the
  // mark announces.
  bool behind = message.Version < Keeper.version();
  bool lacksDeltas = behind && (message.Version == 0 ||
                                !sendDeltas({&from, 1}, message.Version, step));
  if (message.Version > Keeper.version())
    fetch(from, step);
  if (!message.Hold)
    return sendMark(from, message.Number, step.Now, step);
  if (Held.size() <= from.Value)
    Held.resize(from.Value + 1);
  HeldAsk &it = Held[from.Value];
  it = {message.Number, message.Version, step.Now, Instant::min()};
  bool hasMark = message.MarkAge >= Duration::zero() &&
                 message.MarkAge < Marks.bounds().maxAge();
  if (hasMark)
    it.MarkedAt = step.Now - message.MarkAge;
  // Without deltas the requester has to fetch what the mark announces.
  if (lacksDeltas || hasNews(it))
    answer(from, it, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigMark &message,
                        const ConfigStep &step) {
  PendingAsk *held = findHeld(from, message.Number);
  PendingAsk *pending = held ? held : findAsk(from, message.Number);
  if (!pending)
    return;
  Instant sent = pending->Sent;
  LastPeerAnswer = std::max(LastPeerAnswer, sent);
  if (OwnWatchers.contains(from))
    LastWatcherAnswer = std::max(LastWatcherAnswer, sent);
  // The request arrived after it was sent, so the ages at its arrival can be
  // counted from the sending, however long the way and the answer took. The age
  // of a mark that was made while the request was held is negative, by less
  // than the time since the sending.
  Instant before = Marks.markedAt();
  Duration maxAge = Marks.bounds().maxAge();
  if (message.MarkAge >= sent - step.Now && message.MarkAge < maxAge)
    Marks.confirm(
        {message.MarkVersion, message.MarkRevision, sent - message.MarkAge});
  for (const ZoneOutage &it : message.Outages)
    if (it.Age >= Duration::zero() && it.Age < maxAge)
      Marks.noteStoreOutage(step.Names.zone(it.Zone), sent - it.Age);
  noteReading(message.ReadingAge, step);
  Marks.learnVersion(message.Version);
  if (message.Version > Keeper.version())
    fetch(from, step);
  if (Marks.markedAt() > before)
    noteSource(from);
  if (held) {
    held->Number = 0;
    noteHeldReply(sent, step);
  }
}

void ConfigSync::fetch(VmHandle from, const ConfigStep &step) {
  // A source that is gone must not delay the fetch from another one.
  bool underWay =
      FetchDeadline != NeverInstant &&
      (from == FetchSource ||
       FetchDeadline - step.Now > Times.FetchTimeout - FetchPatience);
  if (underWay)
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
  PushTargets.clear();
  VmHandle self = step.Members.Self;
  bool replacesWatchers = spreads && readsForFleet() && !Readers.contains(self);
  if (replacesWatchers || OwnWatchers.contains(self))
    addZone(step);
  if (spreads)
    addWatchers(step);
  addHeld();
  auto order = [](VmHandle a, VmHandle b) { return a.Value < b.Value; };
  std::sort(PushTargets.begin(), PushTargets.end(), order);
  PushTargets.erase(std::unique(PushTargets.begin(), PushTargets.end()),
                    PushTargets.end());
  std::erase(PushTargets, self);
  PushIncomplete = !PushTargets.empty() && !sendDeltas(PushTargets, from, step);
}

/// Adds the VMs of this zone. Every watcher pushes to all of them, since
/// another one may have failed; duplicates are ignored.
void ConfigSync::addZone(const ConfigStep &step) {
  for (uint32_t n = 0; n < step.Members.Vms.size(); ++n) {
    const VmEntry &vm = step.Members.Vms[n];
    if (vm.Zone == step.Zone && isReachable(vm) && !OwnWatchers.contains({n}))
      PushTargets.push_back({n});
  }
}

/// Adds the watchers of all zones, for their VMs.
void ConfigSync::addWatchers(const ConfigStep &step) {
  auto add = [&](const WatcherSet &watchers) {
    PushTargets.insert(PushTargets.end(), watchers.items().begin(),
                       watchers.items().end());
  };
  add(OwnWatchers);
  for (ZoneHandle zone : step.Reach.Zones) {
    if (zone == step.Zone)
      continue;
    OtherWatchers.compute(step.Members, zone, Times);
    add(OtherWatchers);
  }
}

/// Adds the VMs that rely on this one for marks.
void ConfigSync::addHeld() {
  for (uint32_t n = 0; n < Held.size(); ++n)
    if (Held[n].Number != 0 && Held[n].Version < Keeper.version())
      PushTargets.push_back({n});
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
  if (knowsOthers)
    ActsAsWatcher = (this->*ActiveStrategy.ReadsStore)(step);
  else
    ActsAsWatcher = !waits || Times.AloneGraceTime == Duration::zero();
  return ActsAsWatcher;
}

bool ConfigSync::readsStoreForZone(const ConfigStep &step) {
  if (OwnWatchers.contains(step.Members.Self))
    return true;
  if (Started == Instant::min())
    return false;
  Instant marked = std::max(Marks.markedAt(), Started);
  Instant lastAnswer = std::max(LastWatcherAnswer, Started);
  return step.Now - lastAnswer >=
             Times.WatcherTimeout + takeoverDelay(MaxTakeoverFactor) ||
         step.Now - marked >=
             Times.DirectWatchMarkAge + takeoverDelay(MaxUrgentTakeoverFactor);
}

Instant ConfigSync::nextDue() const {
  return std::min(
      {NextAsk, FetchDeadline, ActsAsWatcher ? NeverInstant : readDue()});
}

bool ConfigSync::hasRecentPeerAnswer(Instant now) const {
  return ageOf(LastPeerAnswer, now) < Marks.bounds().maxAge();
}

} // namespace guavasail
