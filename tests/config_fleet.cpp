#include "config_fleet.h"

#include <algorithm>
#include <utility>

namespace guavasail {

namespace {

constexpr Duration MemberPeriod = std::chrono::milliseconds(250);
constexpr Duration WithdrawalBound = std::chrono::seconds(5);
/// Between two checks of the configuration during a read, and the part of the
/// read's time that a check takes.
constexpr Duration CheckInterval = std::chrono::milliseconds(900);
constexpr int64_t CheckShare = 11;
/// Of a page of the paged store.
constexpr size_t PageItems = 2;
constexpr uint64_t MaxPageMicros = 20'000;

std::string digestText(const Digest &digest) {
  std::string text;
  for (uint8_t it : digest.Bytes)
    text += std::to_string(it) + ".";
  return text;
}

const std::string &idOf(const ChangeOutcome &outcome) {
  return std::visit([](const auto &it) -> const std::string & { return it.Id; },
                    outcome);
}

} // namespace

std::vector<Digest> chunkDigests(const ChunkTable &table) {
  std::vector<Digest> digests;
  for (const CatalogChunk &it : table.Slots)
    digests.push_back(chunkDigest(it));
  return digests;
}

void PagedStore::note(Content content, platform::KvChange change) {
  change.Item.Revision = History.size();
  History.push_back(std::move(content));
  Changes.push_back(std::move(change));
}

void PagedStore::put(const std::string &instance, uint32_t slots) {
  Content content = History.back();
  content[instance] = slots;
  note(std::move(content), {{instance, std::to_string(slots)}, false});
}

void PagedStore::drop(const std::string &instance) {
  Content content = History.back();
  if (content.erase(instance) > 0)
    note(std::move(content), {{instance, {}}, true});
}

void PagedStore::touch() { note(History.back(), {{"~other", "0"}, false}); }

platform::KvPage PagedStore::page(std::string_view after) const {
  platform::KvPage page;
  page.StoreRevision = revision();
  const Content &content = History.back();
  for (auto it = content.upper_bound(std::string(after)); it != content.end();
       ++it) {
    page.More = page.Items.size() == PageItems;
    if (page.More)
      break;
    page.Items.push_back({it->first, std::to_string(it->second)});
  }
  return page;
}

platform::KvChanges PagedStore::changes(uint64_t after) const {
  platform::KvChanges changes;
  changes.StoreRevision = revision();
  changes.Items.assign(Changes.begin() + static_cast<ptrdiff_t>(after) + 1,
                       Changes.end());
  return changes;
}

ChunkTable PagedStore::split(const Content &content) {
  CatalogSpec catalog;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "tides";
  for (const auto &[name, slots] : content) {
    InstanceSpec &it = service.Instances.emplace_back();
    it.Name = name;
    it.Slots = slots;
  }
  return splitCatalog(catalog);
}

ChunkTable PagedStore::at(uint64_t revision) const {
  return split(History[revision]);
}

ChunkTable PagedStore::collect(const platform::CatalogRead &read) {
  Content content;
  for (const auto &[key, item] : read.items())
    if (!key.starts_with('~'))
      content[key] = static_cast<uint32_t>(std::stoul(item.Value));
  return split(content);
}

std::string FakeStore::nameOf(const StoreKey &key) {
  switch (key.Space) {
  case StoreSpace::Head:
    return "head";
  case StoreSpace::Chunk:
    return "chunk/" + digestText(key.Chunk);
  case StoreSpace::Audit:
    return "audit/" + std::to_string(key.Version) + "/" +
           std::string(key.ChangeId);
  }
  return {};
}

StoreReplied FakeStore::read(const StoreRead &request) {
  const auto &entries = Entries[nameOf(request.Key)];
  if (entries.empty())
    return {request.Ticket, StoreOutcome::Missing, 0, nullptr};
  const Entry &entry =
      Faults.ReturnsStaleReads ? entries[entries.size() / 2] : entries.back();
  return {request.Ticket, StoreOutcome::Ok, entry.Revision, entry.Value.get()};
}

StoreReplied FakeStore::write(const StoreWrite &request) {
  if (Faults.HoldsNothing)
    return {request.Ticket, StoreOutcome::Missing, 0, nullptr};
  auto &entries = Entries[nameOf(request.Key)];
  uint64_t revision = entries.empty() ? 0 : entries.back().Revision;
  if (revision != request.Expected)
    return {request.Ticket, StoreOutcome::Conflict, revision, nullptr};
  entries.push_back(
      {++Revisions, std::make_shared<StoreValue>(*request.Value)});
  return {request.Ticket, StoreOutcome::Ok, Revisions, nullptr};
}

FakeStore::Entry FakeStore::head() const {
  auto it = Entries.find("head");
  return it == Entries.end() || it->second.empty() ? Entry{}
                                                   : it->second.back();
}

const AuditRecord *FakeStore::audit(uint64_t version,
                                    const std::string &id) const {
  auto it = Entries.find("audit/" + std::to_string(version) + "/" + id);
  return it == Entries.end()
             ? nullptr
             : std::get_if<AuditRecord>(it->second.back().Value.get());
}

ConfigFleet::ConfigFleet(const FleetInit &init)
    : Init(init), Random(init.Seed), Nodes(init.Vms) {
  for (uint32_t vm = 0; vm < init.Vms; ++vm)
    start(vm);
}

void ConfigFleet::start(uint32_t vm) {
  Node &node = Nodes[vm];
  uint32_t incarnation = node.Incarnation + 1;
  node = Node{};
  node.Incarnation = incarnation;
  ConfigInit part = Init.Part;
  part.UsesStore = true;
  part.Seed = Random();
  node.Part = std::make_unique<ConfigPart>(part);
  // Each VM interns its own zone first, so that handles differ between VMs.
  auto zoneName = [&](uint32_t it) {
    return "z" + std::to_string(it % Init.Zones);
  };
  node.Zone = node.Index.zone(zoneName(vm));
  for (uint32_t it = 0; it < Init.Vms; ++it) {
    VmEntry entry;
    entry.Name = "vm" + std::to_string(it);
    entry.Zone = node.Index.zone(zoneName(it));
    node.Members.push_back(entry);
  }
  node.MembersDue = Now;
  std::erase_if(LastHeard,
                [&](const auto &it) { return it.first.second == vm; });
  updateMembers(vm);
}

ConfigContext ConfigFleet::context(Node &node) {
  auto self = static_cast<uint32_t>(&node - Nodes.data());
  return {Now, Effects, {node.Members, {self}}, node.Zone, node.Index};
}

void ConfigFleet::run(Duration time) {
  Instant end = Now + time;
  while (true) {
    Instant next = Queue.empty() ? NeverInstant : Queue.top().At;
    uint32_t due = vms();
    for (uint32_t vm = 0; vm < vms(); ++vm) {
      Node &node = Nodes[vm];
      if (node.Paused)
        continue;
      Instant wake = std::min(node.Part->nextDue(), node.MembersDue);
      if (wake < next) {
        next = wake;
        due = vm;
      }
    }
    if (next > end)
      break;
    Now = std::max(Now, next);
    if (due < vms()) {
      tick(due);
      continue;
    }
    Delivery delivery = Queue.top();
    Queue.pop();
    deliver(delivery);
  }
  Now = end;
}

void ConfigFleet::tick(uint32_t vm) {
  Node &node = Nodes[vm];
  if (node.MembersDue <= Now) {
    node.MembersDue = Now + MemberPeriod;
    updateMembers(vm);
  }
  Effects.clear();
  node.Part->onTick(context(node));
  flush(vm);
}

void ConfigFleet::deliver(const Delivery &delivery) {
  Node &node = Nodes[delivery.Vm];
  if (node.Incarnation != delivery.Incarnation)
    return;
  if (node.Paused) {
    Delivery delayed = delivery;
    delayed.At = Now + std::chrono::milliseconds(100);
    Queue.push(delayed);
    return;
  }
  if (delivery.Run)
    return delivery.Run();
  if (delivery.FromStore)
    endRead(node);
  Effects.clear();
  if (delivery.FromStore) {
    StoreReplied reply = delivery.Reply;
    reply.Value = delivery.Value.get();
    node.Part->onReply(reply, context(node));
  } else {
    std::visit(
        [&](const auto &body) {
          using Body = std::remove_cvref_t<decltype(body)>;
          if constexpr (ConfigMessage<Body>)
            node.Part->onPeer({delivery.From}, body, context(node));
        },
        delivery.Body);
  }
  flush(delivery.Vm);
}

void ConfigFleet::flush(uint32_t vm) {
  Node &node = Nodes[vm];
  for (const CatalogPatch &patch : node.Part->takeAdoptedPatches())
    node.Index.apply(patch, node.Part->keeper().version());
  std::vector<Effect> effects(Effects.items().begin(), Effects.items().end());
  for (const Effect &effect : effects)
    execute(vm, effect);
  check(vm);
}

void ConfigFleet::execute(uint32_t vm, const Effect &effect) {
  std::visit([&](const auto &it) { on(vm, it); }, effect);
}

void ConfigFleet::on(uint32_t vm, const SendPeers &effect) {
  for (VmHandle to : effect.To)
    on(vm, SendPeer{to, effect.Body});
}

void ConfigFleet::on(uint32_t vm, const SendPeer &effect) {
  ++Messages;
  bool lost = Random() % 100 < Init.LossPercent;
  uint32_t to = effect.To.Value;
  if (lost || Cuts.contains({vm, to}))
    return;
  bool sameZone = vm % Init.Zones == to % Init.Zones;
  Duration delay = sameZone ? Init.InZone : Init.CrossZone;
  delay += delay * static_cast<int64_t>(Random() % 50) / 100;
  Delivery delivery;
  delivery.At = Now + delay;
  delivery.Order = ++LastOrder;
  delivery.Vm = to;
  delivery.Incarnation = Nodes[to].Incarnation;
  delivery.From = vm;
  delivery.Body = effect.Body;
  Queue.push(std::move(delivery));
}

bool ConfigFleet::storeReached(uint32_t vm) const {
  return !Store.Faults.Unreachable && !Nodes[vm].StoreCut;
}

void ConfigFleet::reply(uint32_t vm, const StoreReplied &reply,
                        Duration delay) {
  Delivery delivery;
  delivery.At = Now + delay;
  delivery.Order = ++LastOrder;
  delivery.Vm = vm;
  delivery.Incarnation = Nodes[vm].Incarnation;
  delivery.FromStore = true;
  delivery.Reply = reply;
  if (reply.AskedAt == Instant::min())
    delivery.Reply.AskedAt = Now;
  if (reply.Value)
    delivery.Value = std::make_shared<StoreValue>(*reply.Value);
  Queue.push(std::move(delivery));
}

void ConfigFleet::on(uint32_t vm, const StoreRead &effect) {
  ++Store.Calls;
  bool own = Init.VersionsNameContent && effect.Key.Space == StoreSpace::Head;
  if (Init.Paged && !own)
    return reply(vm, readChunk(Nodes[vm], effect), Duration::zero());
  if (own)
    return reply(vm, readHead(Nodes[vm], effect), Duration::zero());
  if (storeReached(vm))
    reply(vm, Store.read(effect), Store.Faults.Delay);
}

/// Reads the catalog as a VM does for which a version names a content.
void ConfigFleet::readCatalog(uint32_t vm, const StoreWrite &request) {
  Node &node = Nodes[vm];
  endRead(node);
  FakeStore::Entry newest = Store.head();
  bool holdsNothing = Store.Faults.HoldsNothing || !newest.Value;
  if (holdsNothing)
    return reply(vm, {request.Ticket, StoreOutcome::Missing, 0, nullptr},
                 Store.Faults.Delay);
  SlowRead &reading = node.Reading;
  reading.Tickets.push_back(request.Ticket);
  if (reading.Tickets.size() > 1)
    return;
  const auto &head = std::get<ConfigHead>(*newest.Value);
  reading.BeganAt = Now;
  reading.EndsAt = Now + Store.Faults.Delay;
  reading.Revision = Store.revision();
  reading.HeadRevision = newest.Revision;
  reading.Head = node.Read;
  if (head.Chunks != node.Read.Chunks) {
    RecentChange change;
    change.Id = "store-" + std::to_string(reading.Revision);
    change.Version = reading.Revision;
    change.ConfigVersion = head.Version;
    reading.Head = {reading.Revision, head.Chunks, {change}};
  }
  planCheck(vm);
  // Wakes this VM at the end, with a reply to nobody.
  StoreReplied end;
  end.Ticket = {StoreUser::Audit, 0};
  end.AskedAt = Now;
  reply(vm, end, Store.Faults.Delay);
}

/// Replies to all that joined a read once it is through.
void ConfigFleet::endRead(Node &node) {
  SlowRead &reading = node.Reading;
  if (reading.Tickets.empty() || Now < reading.EndsAt)
    return;
  node.Read = reading.Head;
  node.ReadRevision = reading.Revision;
  reading.KnownRevision = reading.HeadRevision;
  auto vm = static_cast<uint32_t>(&node - Nodes.data());
  for (StoreTicket it : std::exchange(reading.Tickets, {})) {
    StoreReplied replied{it, StoreOutcome::Conflict, node.Read.Version, nullptr,
                         node.ReadRevision};
    replied.AskedAt = reading.BeganAt;
    replied.SnapshotRevision = node.ReadRevision;
    reply(vm, replied, Duration::zero());
  }
}

void ConfigFleet::planCheck(uint32_t vm) {
  if (Now + CheckInterval >= Nodes[vm].Reading.EndsAt)
    return;
  schedule(vm, CheckInterval, [this, vm] { checkConfig(vm); });
}

void ConfigFleet::schedule(uint32_t vm, Duration delay,
                           std::function<void()> run) {
  Delivery delivery;
  delivery.At = Now + delay;
  delivery.Order = ++LastOrder;
  delivery.Vm = vm;
  delivery.Incarnation = Nodes[vm].Incarnation;
  delivery.Run = std::move(run);
  Queue.push(std::move(delivery));
}

void ConfigFleet::readPages(uint32_t vm, const StoreWrite &request) {
  PagedRead &pages = Nodes[vm].Pages;
  pages.Snapshot |= request.Snapshot;
  pages.Tickets.push_back(request.Ticket);
  if (pages.Tickets.size() > 1)
    return;
  pages.AskedAt = Now;
  pages.Read.begin(Random() % 2 == 0);
  askPaged(vm);
}

/// A call reads the store halfway between its sending and its answer.
void ConfigFleet::askPaged(uint32_t vm) {
  auto half = std::chrono::microseconds(Random() % MaxPageMicros);
  schedule(vm, half, [this, vm, half] {
    platform::CatalogRead &read = Nodes[vm].Pages.Read;
    if (read.next(true) == platform::ReadStep::Page)
      read.addPage(Pages.page(read.after()));
    else
      read.addChanges(Pages.changes(read.changesAfter()));
    schedule(vm, half, [this, vm] { takePaged(vm); });
  });
}

void ConfigFleet::takePaged(uint32_t vm) {
  Node &node = Nodes[vm];
  platform::CatalogRead &read = node.Pages.Read;
  bool changed = false;
  if (read.next(false) == platform::ReadStep::Done) {
    node.Pages.Table = PagedStore::collect(read);
    changed = chunkDigests(node.Pages.Table) != node.Read.Chunks;
  }
  if (read.next(changed || node.Pages.Snapshot) != platform::ReadStep::Done)
    return askPaged(vm);
  node.Pages.SnapshotRevision = read.snapshotRevision();
  node.ReadRevision = read.firstRevision();
  if (changed) {
    RecentChange change;
    change.Version = node.Pages.SnapshotRevision;
    change.Id = "store-" + std::to_string(change.Version);
    node.Read = {change.Version, chunkDigests(node.Pages.Table), {change}};
  }
  endPaged(vm);
}

void ConfigFleet::endPaged(uint32_t vm) {
  Node &node = Nodes[vm];
  node.Pages.Snapshot = false;
  for (StoreTicket it : std::exchange(node.Pages.Tickets, {})) {
    StoreReplied replied{it, StoreOutcome::Conflict, node.Read.Version, nullptr,
                         node.ReadRevision};
    replied.AskedAt = node.Pages.AskedAt;
    replied.SnapshotRevision = node.Pages.SnapshotRevision;
    reply(vm, replied, Duration::zero());
  }
}

StoreReplied ConfigFleet::readChunk(const Node &node,
                                    const StoreRead &request) {
  for (const CatalogChunk &it : node.Pages.Table.Slots)
    if (chunkDigest(it) == request.Key.Chunk) {
      ReadValue = it;
      return {request.Ticket, StoreOutcome::Ok, node.Read.Version, &ReadValue};
    }
  return {request.Ticket, StoreOutcome::Missing, 0, nullptr};
}

/// Confirms the configuration read before while a read goes on.
void ConfigFleet::checkConfig(uint32_t vm) {
  Node &node = Nodes[vm];
  if (Now >= node.Reading.EndsAt || !storeReached(vm))
    return;
  bool known = Store.head().Revision == node.Reading.KnownRevision;
  for (StoreTicket it : node.Reading.Tickets) {
    StoreReplied replied{it, StoreOutcome::Partial, node.Read.Version, nullptr,
                         node.ReadRevision};
    replied.Confirms = known;
    replied.AskedAt = Now;
    reply(vm, replied, Store.Faults.Delay / CheckShare);
  }
  planCheck(vm);
}

StoreReplied ConfigFleet::readHead(const Node &node, const StoreRead &request) {
  if (node.Read.Version == 0)
    return {request.Ticket, StoreOutcome::Missing, 0, nullptr};
  ReadValue = node.Read;
  StoreReplied replied{request.Ticket, StoreOutcome::Ok, node.Read.Version,
                       &ReadValue, node.ReadRevision};
  replied.SnapshotRevision =
      Init.Paged ? node.Pages.SnapshotRevision : node.ReadRevision;
  return replied;
}

void ConfigFleet::on(uint32_t vm, const StoreWrite &effect) {
  ++Store.Calls;
  if (!storeReached(vm))
    return;
  if (Init.Paged)
    return readPages(vm, effect);
  if (Init.VersionsNameContent)
    return readCatalog(vm, effect);
  StoreReplied result = Store.write(effect);
  bool wrote = result.Outcome == StoreOutcome::Ok;
  if (wrote)
    fireWatches();
  if (!(wrote && Store.Faults.LosesReplies))
    reply(vm, result, Store.Faults.Delay);
}

void ConfigFleet::on(uint32_t vm, const StoreWatch &effect) {
  if (Init.VersionsNameContent)
    return;
  ++Store.Calls;
  if (!storeReached(vm))
    return;
  Watches.push_back({vm, Nodes[vm].Incarnation, effect.Ticket, effect.After,
                     Now + effect.Wait});
  fireWatches();
}

void ConfigFleet::fireWatches() {
  FakeStore::Entry head = Store.head();
  std::erase_if(Watches, [&](const Watch &it) {
    if (it.Until <= Now || Nodes[it.Vm].Incarnation != it.Incarnation)
      return true;
    if (head.Revision <= it.After)
      return false;
    if (storeReached(it.Vm))
      reply(it.Vm,
            {it.Ticket, StoreOutcome::Ok, head.Revision, head.Value.get()},
            Store.Faults.Delay);
    return true;
  });
}

void ConfigFleet::on(uint32_t, const ChangeConcluded &effect) {
  const std::string &id = idOf(effect.Outcome);
  ChangeTrace &trace = Changes[id];
  trace.Outcome = effect.Outcome;
  trace.Concluded = Now;
  const auto *it = std::get_if<ChangeAccepted>(&effect.Outcome);
  if (it && it->HeldByMajority)
    AcceptedAt.try_emplace(it->Version, Now);
}

void ConfigFleet::propose(uint32_t vm, const Change &change) {
  Changes[change.Id].Proposed = Now;
  Effects.clear();
  Nodes[vm].Part->onProposed(change, context(Nodes[vm]));
  flush(vm);
}

void ConfigFleet::updateMembers(uint32_t vm) {
  Node &node = Nodes[vm];
  for (uint32_t it = 0; it < vms(); ++it) {
    bool reached = it == vm || (!Cuts.contains({it, vm}) && !Nodes[it].Paused);
    if (reached)
      LastHeard[{it, vm}] = Now;
    auto heard = LastHeard.find({it, vm});
    VmState &state = node.Members[it].State;
    if (heard == LastHeard.end())
      state = VmState::Unknown;
    else
      state = Now - heard->second < Init.SuspectAfter ? VmState::Alive
                                                      : VmState::Suspect;
  }
}

void ConfigFleet::check(uint32_t vm) {
  Node &node = Nodes[vm];
  auto violation = [&](const std::string &text) {
    if (Violations.size() < 5)
      Violations.push_back("vm" + std::to_string(vm) + ": " + text);
  };
  uint64_t version = node.Part->keeper().version();
  if (version < node.SeenVersion)
    violation("went back from version " + std::to_string(node.SeenVersion));
  node.SeenVersion = version;
  if (!admits(vm))
    return;
  for (const auto &[accepted, at] : AcceptedAt)
    if (accepted > version && Now - at >= WithdrawalBound)
      violation("admits with version " + std::to_string(version) + " " +
                std::to_string((Now - at).count() / 1000) +
                "ms after version " + std::to_string(accepted));
}

void ConfigFleet::cut(uint32_t from, uint32_t to, bool down) {
  if (down)
    Cuts.insert({from, to});
  else
    Cuts.erase({from, to});
}

void ConfigFleet::split(const std::set<uint32_t> &group, bool down) {
  for (uint32_t from = 0; from < vms(); ++from)
    for (uint32_t to = 0; to < vms(); ++to)
      if (group.contains(from) != group.contains(to))
        cut(from, to, down);
}

void ConfigFleet::cutStore(uint32_t vm, bool down) {
  Nodes[vm].StoreCut = down;
}

void ConfigFleet::pause(uint32_t vm, bool paused) {
  Nodes[vm].Paused = paused;
  // The first event after a pause finds the old state at the current time.
  if (!paused)
    check(vm);
}

void ConfigFleet::restart(uint32_t vm) { start(vm); }

void ConfigFleet::heal() {
  Cuts.clear();
  Store.Faults = {};
  for (uint32_t vm = 0; vm < vms(); ++vm) {
    Nodes[vm].StoreCut = false;
    Nodes[vm].Paused = false;
  }
}

FreshState ConfigFleet::freshState(uint32_t vm) const {
  return Nodes[vm].Part->freshState(Now);
}

bool ConfigFleet::admits(uint32_t vm) const {
  return version(vm) > 0 && guavasail::admits(freshState(vm));
}

uint64_t ConfigFleet::version(uint32_t vm) const {
  if (!Nodes[vm].Part)
    return 0;
  return Nodes[vm].Part->keeper().version();
}

bool ConfigFleet::holdsKey(uint32_t vm, const Digest &key) const {
  return Nodes[vm].Index.workspace(key).valid();
}

std::vector<std::string>
ConfigFleet::leavingInstances(uint32_t vm, std::string_view service) const {
  std::vector<std::string> names;
  const ServiceSpec *spec = Nodes[vm].Part->keeper().table().service(service);
  if (!spec)
    return names;
  for (const InstanceSpec &it : spec->Instances)
    if (it.Leaving)
      names.push_back(it.Name);
  return names;
}

NotReadyReason ConfigFleet::notReadyReason(uint32_t vm) const {
  return Nodes[vm].Part->notReadyReason();
}

bool ConfigFleet::watches(uint32_t vm) const {
  return Nodes[vm].Part->watching();
}

std::vector<uint32_t> ConfigFleet::watchersOf(uint32_t zone,
                                              uint32_t vm) const {
  const Node &node = Nodes[vm];
  WatcherSet watchers;
  ZoneHandle handle = node.Members[zone].Zone;
  watchers.compute({node.Members, {vm}}, handle, Init.Part.Sync);
  std::vector<uint32_t> vms;
  for (VmHandle it : watchers.items())
    vms.push_back(it.Value);
  return vms;
}

uint64_t ConfigFleet::writeCatalog(const CatalogSpec &catalog) {
  ChunkTable table = splitCatalog(catalog);
  FakeStore::Entry last = Store.head();
  ConfigHead head;
  if (last.Value)
    head.Version = std::get<ConfigHead>(*last.Value).Version;
  ++head.Version;
  for (const CatalogChunk &it : table.Slots) {
    head.Chunks.push_back(chunkDigest(it));
    StoreValue value = it;
    StoreWrite write;
    write.Key.Space = StoreSpace::Chunk;
    write.Key.Chunk = head.Chunks.back();
    write.Value = &value;
    Store.write(write);
  }
  RecentChange change;
  change.Id = "store-" + std::to_string(head.Version);
  change.Version = head.Version;
  head.Recent.push_back(std::move(change));
  StoreValue value = head;
  StoreWrite write;
  write.Expected = last.Revision;
  write.Value = &value;
  Store.write(write);
  return head.Version;
}

uint32_t ConfigFleet::watchers() const {
  return static_cast<uint32_t>(
      std::count_if(Nodes.begin(), Nodes.end(),
                    [](const Node &it) { return it.Part->watching(); }));
}

std::vector<std::string> ConfigFleet::auditTrail() const {
  std::vector<std::string> ids;
  FakeStore::Entry entry = Store.head();
  if (!entry.Value)
    return ids;
  const ConfigHead &head = std::get<ConfigHead>(*entry.Value);
  std::string id = head.Recent.empty() ? "" : head.Recent.back().Id;
  for (uint64_t version = head.Version; !id.empty(); --version) {
    const AuditRecord *record = Store.audit(version, id);
    if (!record)
      return {};
    ids.push_back(id);
    id = record->PreviousId;
  }
  std::reverse(ids.begin(), ids.end());
  return ids;
}

Change changeOf(std::string id, Command command) {
  Change change;
  change.Id = std::move(id);
  change.Author = "ops";
  change.Commands.push_back(std::move(command));
  return change;
}

} // namespace guavasail
