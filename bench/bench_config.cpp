/// \file
/// Measures the configuration: time until a change is in force, store calls,
/// control traffic, memory and the cost of a change. Prints `name value unit`
/// lines.
#include "config_fleet.h"
#include "config_part.h"
#include "peer_codec_cbor.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

using WallClock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t Zones = 4;
constexpr uint32_t FleetSizes[] = {8, 40, 150, 500};
constexpr uint32_t SecondsMeasured = 120;
constexpr uint32_t SecondsPerChange = 29; // 3,000 changes a day

void print(const std::string &name, double value, const char *unit) {
  std::printf("%s %.6g %s\n", name.c_str(), value, unit);
}

double microsSince(WallClock::time_point start) {
  return std::chrono::duration<double, std::micro>(WallClock::now() - start)
      .count();
}

WorkspaceSpec workspace(uint32_t n) {
  WorkspaceSpec spec;
  spec.Name = "workspace-" + std::to_string(n);
  spec.RatePerSecond = 10;
  spec.Burst = 20;
  for (uint8_t key = 0; key < 2; ++key) {
    KeySpec &it = spec.Keys.emplace_back();
    it.Id = "key-" + std::to_string(key);
    it.Value.Bytes = {key, 1, static_cast<uint8_t>(n >> 16),
                      static_cast<uint8_t>(n >> 8), static_cast<uint8_t>(n)};
  }
  return spec;
}

/// \returns a catalog of the given sizes.
CatalogSpec catalog(uint32_t workspaces, uint32_t routes, uint32_t services,
                    uint32_t instances) {
  CatalogSpec spec;
  spec.Version = 1;
  for (uint32_t n = 0; n < services; ++n) {
    ServiceSpec &it = spec.Services.emplace_back();
    it.Name = "service-" + std::to_string(n);
  }
  for (uint32_t n = 0; n < instances; ++n) {
    InstanceSpec it;
    it.Name = "instance-" + std::to_string(n);
    it.Address =
        "10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250);
    it.Port = 9000;
    it.Zone = "zone-" + std::to_string(n % Zones);
    spec.Services[n % services].Instances.push_back(it);
  }
  for (uint32_t n = 0; n < routes; ++n) {
    RouteSpec &it = spec.Routes.emplace_back();
    it.Name = "route-" + std::to_string(n);
    it.Prefix = "/path/of/route-" + std::to_string(n);
    it.Service = "service-" + std::to_string(n % services);
  }
  for (uint32_t n = 0; n < workspaces; ++n)
    spec.Workspaces.push_back(workspace(n));
  return spec;
}

ConfigHead headOf(const ChunkTable &table, uint64_t version) {
  ConfigHead head;
  head.Version = version;
  for (const CatalogChunk &it : table.Slots)
    head.Chunks.push_back(chunkDigest(it));
  return head;
}

ChunkEdits allChunks(const ChunkTable &table) {
  ChunkEdits edits;
  for (uint32_t slot = 0; slot < ChunkSlots; ++slot)
    edits.emplace(slot, table.Slots[slot]);
  return edits;
}

double percentile(std::vector<double> &values, double share) {
  std::sort(values.begin(), values.end());
  auto at = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  return values[at];
}

/// One way of distributing versions.
struct DistributionCase {
  const char *Name;
  SyncTimes Sync;
};

std::vector<DistributionCase> distributionCases() {
  SyncTimes marksOnly;
  marksOnly.Push = false;
  SyncTimes everyoneWatches;
  everyoneWatches.MinWatchers = MaxWatchers;
  return {{"push_and_marks", {}},
          {"marks_only", marksOnly},
          {"everyone_watches", everyoneWatches}};
}

/// Time from a proposal until each of 8 VMs has it in force.
void measureInForce(const DistributionCase &row, uint32_t lossPercent) {
  constexpr uint32_t Changes = 200;
  FleetInit init;
  init.Vms = 8;
  // Two watchers and two further VMs in each zone.
  init.Zones = 2;
  init.LossPercent = lossPercent;
  init.CrossZone = std::chrono::microseconds(4500);
  init.Part.Sync = row.Sync;
  ConfigFleet fleet(init);
  fleet.run(seconds(5));
  fleet.propose(0, changeOf("first", CreateWorkspace{workspace(0)}));
  fleet.run(seconds(5));
  std::vector<double> times;
  uint64_t callsBefore = fleet.Store.Calls;
  Instant start = fleet.now();
  for (uint32_t n = 0; n < Changes; ++n) {
    std::string name = "workspace-0";
    fleet.propose(
        n % 8, changeOf("c" + std::to_string(n), SetRate{name, 1, n + 1, n}));
    Instant proposed = fleet.now();
    uint64_t version = n + 3;
    std::vector<bool> seen(8);
    uint32_t left = 8;
    while (left > 0 && fleet.now() - proposed < seconds(16)) {
      fleet.run(std::chrono::microseconds(500));
      for (uint32_t vm = 0; vm < 8; ++vm) {
        if (seen[vm] || fleet.version(vm) < version)
          continue;
        seen[vm] = true;
        --left;
        times.push_back(static_cast<double>((fleet.now() - proposed).count()) /
                        1000);
      }
    }
    if (left > 0)
      std::printf("in_force_missing %s loss %u change %u\n", row.Name,
                  lossPercent, n);
    fleet.run(milliseconds(137 + 61 * (n % 17)));
  }
  std::string prefix = std::string("in_force_") + row.Name + "_loss" +
                       std::to_string(lossPercent) + "_";
  print(prefix + "p50", percentile(times, 0.5), "ms");
  print(prefix + "p99", percentile(times, 0.99), "ms");
  print(prefix + "max", percentile(times, 1), "ms");
  double elapsed = std::chrono::duration<double>(fleet.now() - start).count();
  print(prefix + "store_calls",
        static_cast<double>(fleet.Store.Calls - callsBefore) / elapsed,
        "calls/s");
  for (const std::string &it : fleet.violations())
    std::printf("violation %s\n", it.c_str());
}

/// One VM of a fleet whose other VMs are represented by their messages only.
class SimulatedVm {
public:
  SimulatedVm(uint32_t vms, bool watcher) {
    Zone = Index.zone("zone-0");
    for (uint32_t n = 0; n < vms; ++n) {
      VmEntry &vm = Members.emplace_back();
      vm.Name = "vm-" + std::to_string(n);
      vm.Zone = Index.zone("zone-" + std::to_string(n % Zones));
      vm.State = VmState::Alive;
    }
    Watchers.compute({Members, {}}, Zone, SyncTimes{});
    for (uint32_t n = 0; n < vms && !Self.valid(); ++n)
      if (Members[n].Zone == Zone && Watchers.contains({n}) == watcher)
        Self = {n};
    ConfigInit init;
    init.UsesStore = true;
    Part = std::make_unique<ConfigPart>(init);
  }

  [[nodiscard]] bool possible() const { return Self.valid(); }
  [[nodiscard]] size_t watchers() const { return Watchers.items().size(); }

  /// Runs with `asksPerSecond` requests for a mark and a change every
  /// `SecondsPerChange`.
  void run(uint32_t asksPerSecond) {
    apply([&] { Part->onPeer({1}, ConfigHeadUpdate{Head}, context()); });
    auto start = WallClock::now();
    for (uint32_t second = 0; second < SecondsMeasured; ++second) {
      for (uint32_t step = 0; step < 100; ++step) {
        Now += milliseconds(10);
        uint32_t from = asksPerSecond * step / 100;
        uint32_t to = asksPerSecond * (step + 1) / 100;
        for (uint32_t n = from; n < to; ++n)
          receive({1}, ConfigMarkRequest{second * asksPerSecond + n, Version});
        if (Part->nextDue() <= Now)
          apply([&] { Part->onTick(context()); });
      }
      if (second % SecondsPerChange == SecondsPerChange - 1)
        change();
    }
    Micros = microsSince(start);
  }

  double Micros = 0;
  uint64_t StoreCalls = 0;
  uint64_t SentBytes = 0;
  uint64_t ReceivedBytes = 0;
  uint64_t SentMessages = 0;
  uint64_t ReceivedMessages = 0;

private:
  ConfigContext context() {
    return {Now, Effects, {Members, Self}, Zone, Index};
  }

  template <typename Call> void apply(Call call) {
    Effects.clear();
    call();
    for (const CatalogPatch &it : Part->takeAdoptedPatches())
      Index.apply(it, Part->keeper().version());
    std::vector<Effect> effects(Effects.items().begin(), Effects.items().end());
    for (const Effect &it : effects)
      std::visit([&](const auto &body) { on(body); }, it);
  }

  void receive(VmHandle from, const PeerBody &body) {
    Buffer.clear();
    ReceivedBytes += encode(body, Buffer);
    ++ReceivedMessages;
    apply([&] {
      std::visit(
          [&](const auto &it) {
            using Body = std::remove_cvref_t<decltype(it)>;
            if constexpr (ConfigMessage<Body>)
              Part->onPeer(from, it, context());
          },
          body);
    });
  }

  /// Simulates a change that arrives in the store and, as a delta, from a
  /// watcher.
  void change() {
    ConfigDelta delta;
    delta.From = Version;
    delta.Change = {"change-" + std::to_string(Version),
                    "operator",
                    Version + 1,
                    0,
                    {Version}};
    delta.Patch.Put.Workspaces.push_back(
        workspace(static_cast<uint32_t>(Version)));
    ConfigHead head = Part->keeper().head();
    for (uint32_t slot : patchedSlots(delta.Patch)) {
      CatalogChunk chunk = Part->keeper().table().Slots[slot];
      patchChunk(chunk, slot, delta.Patch);
      head.Chunks[slot] = chunkDigest(chunk);
    }
    advanceHead(head, delta.Change);
    delta.Result = headDigest(head);
    ++Version;
    ++Revision;
    Head = head;
    receive({2}, delta);
  }

  void on(const SendPeers &effect) {
    for (VmHandle to : effect.To)
      on(SendPeer{to, effect.Body});
  }

  void on(const SendPeer &effect) {
    Buffer.clear();
    SentBytes += encode(effect.Body, Buffer);
    ++SentMessages;
    // Requests are answered at once by a peer with the same version.
    if (const auto *ask = std::get_if<ConfigMarkRequest>(&effect.Body)) {
      ConfigMark mark;
      mark.Number = ask->Number;
      mark.Version = mark.MarkVersion = mark.MarkRevision = Version;
      mark.MarkAge = milliseconds(700);
      Answers.push_back({effect.To, mark});
      VmHandle from = Answers.back().first;
      PeerBody body = Answers.back().second;
      Answers.pop_back();
      receive(from, body);
    }
  }
  void on(const StoreRead &effect) {
    ++StoreCalls;
    StoreValue value = Head;
    reply({effect.Ticket, StoreOutcome::Ok, Revision, &value});
  }
  void on(const StoreWrite &effect) {
    ++StoreCalls;
    reply({effect.Ticket, StoreOutcome::Conflict, Revision, nullptr});
  }
  void on(const StoreWatch &) { ++StoreCalls; }
  template <typename Other> void on(const Other &) {}

  void reply(StoreReplied reply) {
    reply.AskedAt = Now;
    apply([&] { Part->onReply(reply, context()); });
  }

  Instant Now{seconds(1000)};
  std::unique_ptr<ConfigPart> Part;
  CatalogIndex Index;
  ZoneHandle Zone;
  std::vector<VmEntry> Members;
  VmHandle Self;
  WatcherSet Watchers;
  EffectBuffer Effects;
  std::vector<uint8_t> Buffer;
  std::vector<std::pair<VmHandle, PeerBody>> Answers;
  uint64_t Version = 1;
  uint64_t Revision = 1;
  ConfigHead Head{1, std::vector<Digest>(ChunkSlots), {}};
};

void measureRole(uint32_t vms, bool watcher, double &callsPerSecond,
                 size_t &watchers) {
  SimulatedVm vm(vms, watcher);
  if (!vm.possible())
    return;
  watchers = vm.watchers();
  uint32_t zoneVms = vms / Zones;
  // Per second, each VM of the zone asks one watcher of the zone, and each
  // watcher asks one of another zone.
  auto asksPerSecond =
      watcher ? static_cast<uint32_t>(zoneVms / watchers + 1 + Zones - 1) : 0;
  vm.run(asksPerSecond);
  std::string prefix =
      "vms" + std::to_string(vms) + (watcher ? "_watcher_" : "_member_");
  callsPerSecond = static_cast<double>(vm.StoreCalls) / SecondsMeasured;
  print(prefix + "store_calls", callsPerSecond, "calls/s");
  print(prefix + "sent", static_cast<double>(vm.SentBytes) / SecondsMeasured,
        "B/s");
  print(prefix + "received",
        static_cast<double>(vm.ReceivedBytes) / SecondsMeasured, "B/s");
  print(prefix + "messages",
        static_cast<double>(vm.SentMessages + vm.ReceivedMessages) /
            SecondsMeasured,
        "messages/s");
  // The measured time includes the encoding of each message.
  print(prefix + "cpu", vm.Micros / SecondsMeasured / 1e6 * 100, "%core");
}

void measureRoles() {
  for (uint32_t vms : FleetSizes) {
    double watcherCalls = 0;
    double memberCalls = 0;
    size_t watchers = 0;
    measureRole(vms, false, memberCalls, watchers);
    measureRole(vms, true, watcherCalls, watchers);
    double count = static_cast<double>(std::min<size_t>(watchers * Zones, vms));
    std::string prefix = "vms" + std::to_string(vms) + "_";
    print(prefix + "watchers", count, "VMs");
    print(prefix + "store_calls",
          count * watcherCalls + (vms - count) * memberCalls, "calls/s");
    print(prefix + "store_calls_if_everyone_watches", vms * watcherCalls,
          "calls/s");
  }
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// \returns heap bytes of a keeper and an index with the catalog in force.
double catalogBytes(const CatalogSpec &spec) {
  ChunkTable table = splitCatalog(spec);
  ConfigHead head = headOf(table, 2);
  ChunkEdits edits = allChunks(table);
  table = {};
  double before = heapBytes();
  ConfigKeeper keeper;
  CatalogIndex index;
  keeper.commit(head, edits);
  for (const CatalogPatch &it : keeper.takeAdoptedPatches())
    index.apply(it, keeper.version());
  return heapBytes() - before;
}

void measureMemory() {
  double none = catalogBytes(catalog(0, 0, 270, 0));
  print("memory_per_workspace",
        (catalogBytes(catalog(27000, 0, 270, 0)) - none) / 27000, "B");
  print("memory_per_route",
        (catalogBytes(catalog(0, 1600, 270, 0)) - none) / 1600, "B");
  print("memory_per_instance",
        (catalogBytes(catalog(0, 0, 270, 5900)) - none) / 5900, "B");
  print("memory_whole",
        catalogBytes(catalog(27000, 1600, 270, 5900)) / 1024 / 1024, "MB");
}

void measureChange() {
  constexpr uint32_t Rounds = 200;
  CatalogSpec spec = catalog(27000, 1600, 270, 5900);
  ChunkTable table = splitCatalog(spec);
  size_t largest = 0;
  for (const CatalogChunk &it : table.Slots)
    largest = std::max(largest, chunkBytes(it));
  print("largest_chunk", static_cast<double>(largest), "B");
  ConfigKeeper keeper;
  CatalogIndex index;
  keeper.commit(headOf(table, 2), allChunks(table));
  for (const CatalogPatch &it : keeper.takeAdoptedPatches())
    index.apply(it, keeper.version());
  std::vector<double> edit;
  std::vector<double> apply;
  for (uint32_t n = 0; n < Rounds; ++n) {
    Change change =
        changeOf("c" + std::to_string(n),
                 SetRate{"workspace-" + std::to_string(n * 131), 1, n + 11, n});
    auto start = WallClock::now();
    auto effects = editChunks(keeper.table(), change);
    edit.push_back(microsSince(start));
    ConfigDelta delta;
    delta.From = keeper.version();
    delta.Change = {change.Id, change.Author, keeper.version() + 1, 0, {}};
    ConfigHead head = keeper.head();
    for (const auto &[slot, chunk] : effects.value().Edits) {
      diffChunk(keeper.table().Slots[slot], chunk, delta.Patch);
      head.Chunks[slot] = chunkDigest(chunk);
    }
    delta.Result = headDigest(head);
    start = WallClock::now();
    keeper.apply(delta);
    for (const CatalogPatch &it : keeper.takeAdoptedPatches())
      index.apply(it, keeper.version());
    apply.push_back(microsSince(start));
  }
  print("edit_p50", percentile(edit, 0.5), "us");
  print("apply_delta_p50", percentile(apply, 0.5), "us");
  print("apply_delta_p99", percentile(apply, 0.99), "us");
  std::vector<double> whole;
  for (uint32_t n = 0; n < 10; ++n) {
    auto start = WallClock::now();
    index.accept(spec);
    whole.push_back(microsSince(start));
  }
  print("accept_whole_p50", percentile(whole, 0.5), "us");
}

void runAll() {
  for (const DistributionCase &row : distributionCases())
    for (uint32_t loss : {0u, 2u})
      measureInForce(row, loss);
  measureRoles();
  measureMemory();
  measureChange();
}

} // namespace

} // namespace guavasail

int main() {
  guavasail::runAll();
  return 0;
}
