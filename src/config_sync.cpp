#include "config_sync.h"

#include "rendezvous.h"

namespace guavasail {

namespace {

/// Keeps the watchers apart from other uses of rendezvous hashing.
constexpr uint64_t WatcherPurpose = 0x77617463;
constexpr size_t MaxDeltas = 8;
/// Spreads the VMs of a zone that lost its watchers; with a question and a
/// silence before, the first of them reads within the 2.5 s of a change.
constexpr Duration MaxPatience = std::chrono::milliseconds(400);

} // namespace

void WatcherSet::compute(const MemberView &members, ZoneHandle zone,
                         const SyncTimes &times) {
  uint32_t vms = 0;
  auto eligible = [&](const VmEntry &vm) {
    bool self = members.Self.valid() && &vm == &members.at(members.Self);
    return vm.Zone == zone && (self || reachable(vm));
  };
  for (const VmEntry &vm : members.Vms)
    vms += eligible(vm) ? 1 : 0;
  size_t wanted = std::max(times.Watchers, vms / times.VmsPerWatcher);
  std::span<VmHandle> room(Items.data(), std::min(wanted, MaxWatchers));
  Count = rendezvousTop(WatcherPurpose, members, eligible, room).size();
}

bool WatcherSet::contains(VmHandle vm) const {
  return std::find(Items.begin(), Items.begin() + Count, vm) !=
         Items.begin() + Count;
}

void ConfigSync::send(VmHandle to, PeerBody body, const ConfigStep &step) {
  step.Effects.push(SendPeer{to, std::move(body)});
}

void ConfigSync::refresh(const ConfigStep &step) {
  OwnZone.compute(step.Members, step.Zone, Times);
}

void ConfigSync::onTick(bool storeLost, const ConfigStep &step) {
  if (Started == Instant::min()) {
    Started = step.Now;
    auto most = static_cast<uint64_t>(MaxPatience.count());
    Patience = Duration(static_cast<int64_t>(Random() % most));
  }
  if (FetchDeadline <= step.Now) {
    FetchDeadline = NeverInstant;
    Source = {};
  }
  if (step.Now < NextAsk)
    return;
  refresh(step);
  // A watcher without the store has nothing to tell its zone but what it asks
  // of other zones.
  bool hurried =
      storeLost || ageOf(Marks.markedAt(), step.Now) >= Times.HurryFrom;
  ++Round;
  askAll(step, hurried);
  NextAsk = later(step.Now, hurried ? Times.AskHurried : Times.Ask);
}

void ConfigSync::askAll(const ConfigStep &step, bool hurried) {
  bool watcher = OwnZone.contains(step.Members.Self);
  askZone(step.Zone, step);
  size_t zones = step.Reach.Zones.size();
  if (watcher && !hurried && zones > 1)
    askZone(step.Reach.Zones[1 + Round % (zones - 1)], step);
  if (!hurried)
    return;
  if (watcher)
    for (size_t n = 1; n < zones; ++n)
      askZone(step.Reach.Zones[n], step);
  for (uint32_t n = 0; n < Times.RandomAsks; ++n)
    ask(randomPeer(step), step);
}

void ConfigSync::askZone(ZoneHandle zone, const ConfigStep &step) {
  bool own = zone == step.Zone;
  if (!own)
    OtherZone.compute(step.Members, zone, Times);
  std::span<const VmHandle> watchers = (own ? OwnZone : OtherZone).items();
  for (size_t n = 0; n < watchers.size(); ++n) {
    VmHandle vm = watchers[(Round + n) % watchers.size()];
    if (vm != step.Members.Self)
      return ask(vm, step);
  }
}

void ConfigSync::ask(VmHandle to, const ConfigStep &step) {
  if (!to.valid())
    return;
  Question &question = Questions[++LastNumber % QuestionsHeld];
  question = {LastNumber, to, step.Now};
  send(to, ConfigMarkRequest{LastNumber, Keeper.version()}, step);
}

VmHandle ConfigSync::randomPeer(const ConfigStep &step) {
  size_t count = step.Members.Vms.size();
  if (count < 2)
    return {};
  size_t first = Random() % count;
  for (size_t n = 0; n < count; ++n) {
    VmHandle vm{static_cast<uint32_t>((first + n) % count)};
    if (vm != step.Members.Self && reachable(step.Members.at(vm)))
      return vm;
  }
  return {};
}

void ConfigSync::onPeer(VmHandle from, const ConfigMarkRequest &message,
                        const ConfigStep &step) {
  ConfigMark mark;
  mark.Number = message.Number;
  mark.Version = Keeper.version();
  mark.MarkVersion = Marks.markVersion();
  mark.MarkAge = ageOf(Marks.markedAt(), step.Now);
  Duration limit = Marks.bounds().limit();
  for (ZoneHandle zone : step.Reach.Zones) {
    Duration age = ageOf(Marks.awayAt(zone), step.Now);
    if (age < limit && mark.MarkAge >= Marks.bounds().AttestFrom)
      mark.Outages.push_back({std::string(step.Names.name(zone)), age});
  }
  // Changes go first, so that the asker need not fetch what the mark shows.
  if (message.Version > 0 && message.Version < Keeper.version())
    sendDeltas(from, message.Version, step);
  send(from, std::move(mark), step);
  if (message.Version > Keeper.version())
    fetch(from, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigMark &message,
                        const ConfigStep &step) {
  const Question &question = Questions[message.Number % QuestionsHeld];
  if (question.Number != message.Number || question.To != from)
    return;
  PeerHeard = std::max(PeerHeard, question.Sent);
  if (OwnZone.contains(from))
    WatcherHeard = std::max(WatcherHeard, question.Sent);
  // The answer was made after the question was sent, so what it says holds at
  // least since then, however long the answer took.
  Duration limit = Marks.bounds().limit();
  if (message.MarkAge >= Duration::zero() && message.MarkAge < limit)
    Marks.confirm(message.MarkVersion, question.Sent - message.MarkAge);
  for (const ZoneOutage &it : message.Outages)
    if (it.Age >= Duration::zero() && it.Age < limit)
      Marks.noteAway(step.Names.zone(it.Zone), question.Sent - it.Age);
  Marks.learnVersion(message.Version);
  if (message.Version > Keeper.version())
    fetch(from, step);
}

void ConfigSync::fetch(VmHandle from, const ConfigStep &step) {
  if (FetchDeadline != NeverInstant)
    return;
  Source = from;
  FetchDeadline = later(step.Now, Times.Fetch);
  send(from, ConfigFetch{Keeper.version(), false}, step);
}

bool ConfigSync::sendDeltas(VmHandle to, uint64_t version,
                            const ConfigStep &step) {
  auto deltas = Keeper.deltasSince(version);
  if (deltas.empty() || deltas.size() > MaxDeltas)
    return false;
  for (const ConfigDelta *it : deltas)
    if (chunkBytes(it->Patch.Put) > Times.PushBytes)
      return false;
  for (const ConfigDelta *it : deltas)
    send(to, *it, step);
  return true;
}

void ConfigSync::onPeer(VmHandle from, const ConfigFetch &message,
                        const ConfigStep &step) {
  if (message.Version >= Keeper.version())
    return;
  if (message.Whole || !sendDeltas(from, message.Version, step))
    send(from, ConfigHeadUpdate{Keeper.head()}, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigDelta &message,
                        const ConfigStep &step) {
  Marks.learnVersion(message.Change.Version);
  DeltaResult result = Keeper.apply(message);
  if (result == DeltaResult::Adopted && from == Source)
    FetchDeadline = NeverInstant;
  if (result == DeltaResult::Gap)
    fetch(from, step);
  if (result == DeltaResult::Mismatch)
    send(from, ConfigFetch{Keeper.version(), true}, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigHeadUpdate &message,
                        const ConfigStep &step) {
  Marks.learnVersion(message.Head.Version);
  Keeper.offer(message.Head);
  if (!Keeper.gathering())
    return;
  Source = from;
  askChunk(step);
}

void ConfigSync::askChunk(const ConfigStep &step) {
  auto slot = Keeper.missingSlot();
  if (!slot) {
    FetchDeadline = NeverInstant;
    return;
  }
  if (PartDigest != Keeper.wanted(*slot) || PartSlot != *slot) {
    PartSlot = *slot;
    PartDigest = Keeper.wanted(*slot);
    Part = {};
  }
  FetchDeadline = later(step.Now, Times.Fetch);
  auto held = static_cast<uint32_t>(chunkEntries(Part));
  send(Source, ConfigChunkRequest{PartDigest, PartSlot, held}, step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigChunkRequest &message,
                        const ConfigStep &step) {
  if (message.Slot >= ChunkSlots)
    return;
  if (Keeper.head().Chunks[message.Slot] != message.Chunk)
    return send(from, ConfigHeadUpdate{Keeper.head()}, step);
  const CatalogChunk &chunk = Keeper.table().Slots[message.Slot];
  ConfigChunkPart part;
  part.Chunk = message.Chunk;
  part.Slot = message.Slot;
  part.Offset = message.Offset;
  part.Total = static_cast<uint32_t>(chunkEntries(chunk));
  part.Entries = sliceChunk(chunk, message.Offset, Times.PartBytes);
  send(from, std::move(part), step);
}

void ConfigSync::onPeer(VmHandle from, const ConfigChunkPart &message,
                        const ConfigStep &step) {
  bool next = message.Slot == PartSlot && message.Chunk == PartDigest &&
              message.Offset == chunkEntries(Part) && from == Source;
  if (!next || !Keeper.gathering())
    return;
  appendChunk(Part, message.Entries);
  if (chunkEntries(Part) >= message.Total) {
    Keeper.provide(PartSlot, std::move(Part));
    Part = {};
    PartDigest = {};
  }
  askChunk(step);
}

void ConfigSync::onAdopted(uint64_t from, bool written,
                           const ConfigStep &step) {
  if (!Times.Push)
    return;
  refresh(step);
  bool watcher = OwnZone.contains(step.Members.Self);
  if (watcher)
    pushToZone(from, step);
  if (!written)
    return;
  if (!watcher)
    for (VmHandle vm : OwnZone.items())
      sendDeltas(vm, from, step);
  for (ZoneHandle zone : step.Reach.Zones) {
    if (zone == step.Zone)
      continue;
    OtherZone.compute(step.Members, zone, Times);
    for (VmHandle vm : OtherZone.items())
      sendDeltas(vm, from, step);
  }
}

void ConfigSync::pushToZone(uint64_t from, const ConfigStep &step) {
  for (uint32_t n = 0; n < step.Members.Vms.size(); ++n) {
    const VmEntry &vm = step.Members.Vms[n];
    VmHandle to{n};
    if (vm.Zone != step.Zone || !reachable(vm) || OwnZone.contains(to))
      continue;
    // Every watcher tells the whole zone, since one may have gone; what was
    // heard before is ignored.
    sendDeltas(to, from, step);
  }
}

bool ConfigSync::shouldWatch(const ConfigStep &step) const {
  bool alone = step.Members.Vms.size() <= 1;
  if (alone || OwnZone.contains(step.Members.Self))
    return true;
  if (Started == Instant::min())
    return false;
  Instant heard = std::max(WatcherHeard, Started);
  if (step.Now - heard >= Times.WatcherSilence + Patience)
    return true;
  Instant marked = std::max(Marks.markedAt(), Started);
  return step.Now - marked >= Times.WatchFrom + Patience;
}

bool ConfigSync::hearsPeers(Instant now) const {
  return ageOf(PeerHeard, now) < Marks.bounds().limit();
}

} // namespace guavasail
