#include "balance_fleet.h"

#include "duration_math.h"
#include "rendezvous.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t SlotCount = 4;
constexpr uint32_t ZoneCount = 3;
constexpr double TypicalSeconds = 0.3;
/// Time of every request, as a share of the typical one; the rest is random.
constexpr double FixedShare = 0.5;
constexpr Duration Hop = milliseconds(1);
constexpr Duration TickInterval = milliseconds(100);
/// Each decider gets reports once in this many ticks.
constexpr uint32_t ReportTicks = 4;
constexpr Duration Window = seconds(5);
constexpr Duration Objective = milliseconds(1000);
constexpr Duration Deadline = seconds(3);

} // namespace

BalanceFleet::BalanceFleet(const BalanceLoad &load, const BalancePolicy &policy,
                           uint64_t seed)
    : Load(load), Policy(policy), Random(seed) {
  CatalogSpec catalog;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "s";
  for (uint32_t n = 0; n < load.Instances; ++n) {
    InstanceSpec &spec = service.Instances.emplace_back();
    spec.Name = "i" + std::to_string(n);
    spec.Zone = "z" + std::to_string(n % ZoneCount);
    spec.Slots = SlotCount;
    Instance &it = Instances.emplace_back();
    it.Key = rendezvousKey("s/" + spec.Name, 0);
    it.RelativeTime = 1 + load.SpeedSpreadPercent / 100.0 * (2 * uniform() - 1);
    it.SlowsWhenFull = load.SlowsWhenFull && n % 4 == 0;
    it.BusyAt = Now;
  }
  Index.accept(catalog);
  Views.assign(load.Deciders, std::vector<View>(load.Instances));
}

void BalanceFleet::at(Instant time, std::function<void()> action) {
  Events.push({time, ++LastOrder, std::move(action)});
}

BalanceResult BalanceFleet::run(Duration length) {
  End = Now + length;
  replaceOwner();
  arrive();
  tick();
  at(Now + Window, [this] { endWindow(); });
  while (!Events.empty() && Events.top().At <= End) {
    Event event = Events.top();
    Events.pop();
    Now = event.At;
    event.Run();
  }
  BalanceResult result;
  // The first window starts with empty instances.
  for (size_t n = 1; n < WindowRatios.size(); ++n)
    result.BusiestOverMean +=
        WindowRatios[n] / static_cast<double>(WindowRatios.size() - 1);
  auto nth =
      Waits.begin() + static_cast<std::ptrdiff_t>(Waits.size() * 99 / 100);
  std::nth_element(Waits.begin(), nth, Waits.end());
  result.P99Wait = *nth;
  auto total = static_cast<double>(Requests.size());
  result.LatePercent = 100 * Late / total;
  result.RemotePercent = 100 * Remote / total;
  return result;
}

void BalanceFleet::arrive() {
  double rate =
      Load.Instances * SlotCount / TypicalSeconds * Load.LoadPercent / 100;
  auto number = static_cast<uint32_t>(Requests.size());
  Request &request = Requests.emplace_back();
  // The zone of a VM follows from its number.
  uint32_t zone = uniform() * 100 < Load.FirstZonePercent
                      ? 0
                      : 1 + static_cast<uint32_t>(Random() % (ZoneCount - 1));
  auto row = static_cast<uint32_t>(
      Random() % ((Load.Deciders - zone - 1) / ZoneCount + 1));
  request.Vm = row * ZoneCount + zone;
  request.Arrived = Now;
  (this->*Policy.Place)(number);
  Duration interval = scaled(seconds(1), -std::log1p(-uniform()) / rate);
  at(Now + interval, [this] { arrive(); });
}

void BalanceFleet::placeByOwner(uint32_t request) {
  PlacementRequest placement;
  placement.Service = rendezvousKey("s", 0);
  placement.Request = {request, 1};
  placement.Ordinal = 1;
  placement.Workspace = request % 20 + 1;
  placement.Idempotent = request % 2 == 0;
  placement.ObjectiveRemaining = Objective;
  placement.Remaining = Deadline;
  uint32_t vm = Requests[request].Vm;
  ZoneHandle zone = Index.zone("z" + std::to_string(vm % ZoneCount));
  Owner->onPlacementRequest(VmHandle{vm}, zone, placement, Now);
  handleReplies();
}

void BalanceFleet::handleReplies() {
  std::vector<PlacementOutput> replies(Owner->output().begin(),
                                       Owner->output().end());
  Owner->clearOutput();
  for (const PlacementOutput &it : replies) {
    uint32_t request = it.Reply.Request.Index;
    if (it.Reply.Verdict == PlacementVerdict::Queued)
      continue;
    if (it.Reply.Verdict != PlacementVerdict::Granted) {
      ++Late;
      continue;
    }
    Requests[request].Grant = it.Reply;
    Requests[request].OwnerNumber = OwnerNumber;
    auto found = std::find_if(
        Instances.begin(), Instances.end(),
        [&](const Instance &item) { return item.Key == it.Reply.Instance; });
    send(request, static_cast<uint32_t>(found - Instances.begin()));
  }
}

void BalanceFleet::placeByDecider(uint32_t request) {
  uint32_t decider = Requests[request].Vm;
  uint32_t instance = (this->*Policy.Choose)(decider);
  View &view = Views[decider][instance];
  ++view.Own;
  view.Estimate.noteGrant();
  send(request, instance);
}

uint32_t BalanceFleet::chooseRandom(uint32_t) { return randomInstance(); }

uint32_t BalanceFleet::chooseLeastReported(uint32_t decider) {
  const std::vector<View> &views = Views[decider];
  uint32_t best = randomInstance();
  for (uint32_t n = 0; n < views.size(); ++n)
    if (views[n].Reported < views[best].Reported)
      best = n;
  return best;
}

uint32_t BalanceFleet::chooseTwoReported(uint32_t decider) {
  uint32_t first = randomInstance();
  uint32_t second = randomInstance();
  const std::vector<View> &views = Views[decider];
  return views[second].Reported < views[first].Reported ? second : first;
}

double BalanceFleet::correctedLoad(const View &view) const {
  return (view.Own + view.Estimate.others(Now) + 1) / SlotCount *
         view.Estimate.relativeTime();
}

uint32_t BalanceFleet::chooseTwoCorrected(uint32_t decider) {
  uint32_t first = randomInstance();
  uint32_t second = randomInstance();
  const std::vector<View> &views = Views[decider];
  return correctedLoad(views[second]) < correctedLoad(views[first]) ? second
                                                                    : first;
}

void BalanceFleet::send(uint32_t request, uint32_t instance) {
  Requests[request].Instance = instance;
  Requests[request].Sent = Now;
  Remote += instance % ZoneCount != Requests[request].Vm % ZoneCount ? 1 : 0;
  at(Now + Hop, [this, request, instance] {
    if (uniform() * 100 < Load.RejectPercent) {
      ++Late;
      return at(Now + Hop,
                [this, request] { finish(request, AttemptOutcome::Shed); });
    }
    Instance &it = Instances[instance];
    noteBusy(it);
    it.Waiting.push_back(request);
    startNext(instance);
  });
}

void BalanceFleet::startNext(uint32_t instance) {
  Instance &it = Instances[instance];
  if (it.Waiting.empty() || it.Running >= SlotCount)
    return;
  uint32_t request = it.Waiting.front();
  it.Waiting.pop_front();
  ++it.Running;
  Waits.push_back(Now - Requests[request].Arrived);
  double time = TypicalSeconds * it.RelativeTime *
                (FixedShare - (1 - FixedShare) * std::log1p(-uniform()));
  if (it.SlowsWhenFull && it.Running == SlotCount)
    time *= 2;
  at(Now + scaled(seconds(1), time), [this, request] { complete(request); });
}

void BalanceFleet::complete(uint32_t request) {
  Instance &it = Instances[Requests[request].Instance];
  noteBusy(it);
  --it.Running;
  startNext(Requests[request].Instance);
  Late += Now - Requests[request].Arrived > Objective ? 1 : 0;
  at(Now + Hop, [this, request] { finish(request, AttemptOutcome::Ok); });
}

/// Tells the VM that placed a request about its end.
void BalanceFleet::finish(uint32_t number, AttemptOutcome outcome) {
  const Request &request = Requests[number];
  if (Policy.Choose) {
    View &view = Views[request.Vm][request.Instance];
    --view.Own;
    if (outcome == AttemptOutcome::Ok)
      view.Estimate.noteResponse(Now - request.Sent,
                                 scaled(seconds(1), TypicalSeconds));
    return;
  }
  // A new owner gets no releases of grants that it hasn't made.
  if (request.OwnerNumber != OwnerNumber)
    return;
  PlacementRelease release;
  release.Service = rendezvousKey("s", 0);
  release.Request = request.Grant.Request;
  release.Ordinal = request.Grant.Ordinal;
  release.Instance = request.Grant.Instance;
  release.Outcome = outcome;
  release.Elapsed = Now - request.Sent;
  release.LoadKnown = Load.ReportAge.has_value();
  release.Running = reportedLoad(Instances[request.Instance]);
  Owner->onRelease(VmHandle{request.Vm}, release, Now);
  handleReplies();
}

uint32_t BalanceFleet::reportedLoad(const Instance &instance) const {
  auto ticks = static_cast<uint32_t>(Load.ReportAge.value_or(Duration::zero()) /
                                     TickInterval);
  if (ticks == 0)
    return instance.load();
  return instance.Snapshots[(Ticks + SnapshotCount - ticks) % SnapshotCount];
}

void BalanceFleet::tick() {
  ++Ticks;
  for (Instance &it : Instances)
    it.Snapshots[Ticks % SnapshotCount] = it.load();
  for (uint32_t n = 0; Policy.Choose && n < Views.size(); ++n)
    deliverReports(n);
  if (!Policy.Choose) {
    Owner->advance(Now);
    handleReplies();
  }
  at(Now + TickInterval, [this] { tick(); });
}

void BalanceFleet::deliverReports(uint32_t decider) {
  static const AgeFactors Factors = ageFactors(TickInterval);
  for (View &it : Views[decider]) {
    it.Estimate.age(Factors);
    it.OwnSnapshots[Ticks % SnapshotCount] = it.Own;
  }
  if (!Load.ReportAge || Ticks % ReportTicks != decider % ReportTicks)
    return;
  auto ticks = static_cast<uint32_t>(*Load.ReportAge / TickInterval);
  for (uint32_t n = 0; n < Instances.size(); ++n) {
    View &it = Views[decider][n];
    it.Reported = reportedLoad(Instances[n]);
    uint32_t own =
        it.OwnSnapshots[(Ticks + SnapshotCount - ticks) % SnapshotCount];
    it.Estimate.noteReport(it.Reported, own, Now - *Load.ReportAge);
  }
}

void BalanceFleet::replaceOwner() {
  DispatchInit init;
  init.Placement = Policy.Placement;
  init.Seed = Random();
  Owner.emplace(init);
  Owner->acceptCatalog(Index, Now);
  ++OwnerNumber;
  if (Load.OwnerChangeInterval > Duration::zero())
    at(Now + Load.OwnerChangeInterval, [this] { replaceOwner(); });
}

void BalanceFleet::noteBusy(Instance &instance) const {
  instance.BusySeconds += instance.load() * inSeconds(Now - instance.BusyAt);
  instance.BusyAt = Now;
}

void BalanceFleet::endWindow() {
  double busiest = 0;
  double sum = 0;
  for (Instance &it : Instances) {
    noteBusy(it);
    busiest = std::max(busiest, it.BusySeconds);
    sum += it.BusySeconds;
    it.BusySeconds = 0;
  }
  WindowRatios.push_back(busiest * static_cast<double>(Instances.size()) / sum);
  at(Now + Window, [this] { endWindow(); });
}

} // namespace guavasail
