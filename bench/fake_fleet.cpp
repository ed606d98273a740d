#include "fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace guavasail {

namespace {

constexpr double LatencySigma = 0.5;
constexpr double SlowFactor = 10;
constexpr double FailingErrorShare = 0.3;
constexpr double NoiseErrorShare = 0.001;
constexpr Duration MessageDelay = std::chrono::milliseconds(6);
constexpr Duration AttemptTimeout = std::chrono::seconds(2);
constexpr Duration TickInterval = std::chrono::milliseconds(250);
constexpr Duration ErrorLatency = std::chrono::milliseconds(3);

/// Noise: latency or load peaks of a service.
constexpr double MeanDisturbanceGapSeconds = 240;
constexpr double MeanDisturbanceSeconds = 30;
constexpr double MaxLatencyFactor = 6;
constexpr double MaxRateFactor = 4;
/// Noise: pauses of an instance.
constexpr double MeanPauseGapSeconds = 120;
constexpr Duration PauseTime = std::chrono::milliseconds(200);
constexpr uint32_t MaxInstanceLanes = 16;

Duration seconds(double value) {
  return Duration(static_cast<int64_t>(value * 1e6));
}

} // namespace

const FakeFleet::Handler FakeFleet::Handlers[] = {
    &FakeFleet::onArrival, &FakeFleet::onEnd, &FakeFleet::onTick,
    &FakeFleet::onMessage};

FakeFleet::FakeFleet(const FakeFleetInit &init)
    : Init(init), Random(init.Seed) {
  CatalogSpec spec;
  spec.Version = 1;
  for (const FakeService &it : Init.Services) {
    ServiceSpec service;
    service.Name = it.Name;
    service.FloorPercent = Init.FloorPercent;
    for (uint32_t n = 0; n < it.Instances; ++n) {
      InstanceSpec instance;
      instance.Name = std::to_string(n);
      instance.Zone = "z" + std::to_string(n % Init.Zones);
      instance.Slots = Init.Slots;
      service.Instances.push_back(instance);
    }
    spec.Services.push_back(service);
  }
  Catalog.accept(spec);
  size_t count = Catalog.instances().size();
  Faults.resize(count);
  PausedUntil.resize(count);
  LastEjected.resize(count);
  Disturbances.resize(Init.Services.size());
  Vms.resize(Init.Daemons);
  Daemons.resize(Init.Daemons);
  for (uint32_t n = 0; n < Init.Daemons; ++n) {
    Vms[n].Name = "vm" + std::to_string(n);
    Vms[n].State = VmState::Alive;
    Vms[n].Zone = Catalog.zone("z" + std::to_string(n % Init.Zones));
  }
  for (uint32_t n = 0; n < Init.Daemons; ++n) {
    Daemon &it = Daemons[n];
    it.Zone = Vms[n].Zone;
    it.Health = std::make_unique<FleetHealth>(Init.Detector);
    it.Health->acceptCatalog(Catalog, Now);
    it.Instances.resize(count);
    it.Subsets.refresh(Catalog, {Vms, {n}}, it.Zone, MaxInstanceLanes);
    it.LoadBalancer =
        std::make_unique<Balancer>(BalanceKind::NearLeastLoadedOfTwo, Random());
    it.LastUse.resize(count, UseState::InUse);
    schedule(Now + TickInterval * n / Init.Daemons, EventType::Tick, n, 0);
  }
  for (uint32_t n = 0; n < Init.Services.size(); ++n) {
    planDisturbance(n);
    scheduleArrival(n);
  }
}

double FakeFleet::sampleUniform() {
  return static_cast<double>(Random() >> 11) * 0x1p-53;
}

double FakeFleet::sampleExponential(double mean) {
  return -std::log(1 - sampleUniform()) * mean;
}

void FakeFleet::schedule(Instant due, EventType type, uint32_t daemon,
                         uint32_t index) {
  Events.push({due, Sequence++, type, daemon, index});
}

void FakeFleet::scheduleArrival(uint32_t service) {
  double rate = Init.RequestsPerInstance * Init.Services[service].Instances;
  const Disturbance &disturbance = Disturbances[service];
  if (Now >= disturbance.From && Now < disturbance.To)
    rate *= disturbance.Rate;
  auto daemon = static_cast<uint32_t>(Random() % Init.Daemons);
  schedule(Now + seconds(sampleExponential(1 / rate)), EventType::Arrival,
           daemon, service);
}

void FakeFleet::planDisturbance(uint32_t service) {
  Disturbance &disturbance = Disturbances[service];
  disturbance.From =
      Now + seconds(sampleExponential(MeanDisturbanceGapSeconds));
  disturbance.To =
      disturbance.From + seconds(sampleExponential(MeanDisturbanceSeconds));
  bool burst = sampleUniform() < 0.5;
  disturbance.Latency =
      burst ? 1.5 : 1 + sampleUniform() * (MaxLatencyFactor - 1);
  disturbance.Rate = burst ? 1 + sampleUniform() * (MaxRateFactor - 1) : 1;
}

Duration FakeFleet::sampleLatency(uint32_t service, InstanceHandle instance,
                                  Call &call) {
  FakeFault fault = Faults[instance.Value];
  double errors = Init.Noise ? NoiseErrorShare : 0;
  if (fault == FakeFault::Failing)
    errors = FailingErrorShare;
  if (fault == FakeFault::Stalling) {
    call.Outcome = OutcomeKind::Timeout;
    return AttemptTimeout;
  }
  if (sampleUniform() < errors) {
    call.Outcome = OutcomeKind::Error;
    return ErrorLatency;
  }
  double radius = std::sqrt(-2 * std::log(1 - sampleUniform()));
  double normal = radius * std::cos(2 * std::numbers::pi * sampleUniform());
  double factor = std::exp(normal * LatencySigma);
  if (fault == FakeFault::Slow)
    factor *= SlowFactor;
  const Disturbance &disturbance = Disturbances[service];
  if (Init.Noise && Now >= disturbance.From && Now < disturbance.To)
    factor *= disturbance.Latency;
  auto median = static_cast<double>(Init.Services[service].Median.count());
  Duration length(static_cast<int64_t>(median * factor));
  if (Init.Noise) {
    Instant &until = PausedUntil[instance.Value];
    double perRequest = 1 / (MeanPauseGapSeconds * Init.RequestsPerInstance);
    if (Now >= until && sampleUniform() < perRequest)
      until = Now + PauseTime;
    if (Now < until)
      length += until - Now;
  }
  if (length < AttemptTimeout)
    return length;
  call.Outcome = OutcomeKind::Timeout;
  return AttemptTimeout;
}

void FakeFleet::onArrival(const SimEvent &event) {
  uint32_t service = event.Index;
  if (Init.Noise && Now >= Disturbances[service].To)
    planDisturbance(service);
  scheduleArrival(service);
  Daemon &daemon = Daemons[event.Daemon];
  ++Requests;
  InstanceHandle instance =
      daemon.LoadBalancer->pick({Catalog,
                                 daemon.Instances,
                                 daemon.Health->table(),
                                 daemon.Subsets.at({service}),
                                 {service},
                                 {},
                                 daemon.Zone});
  if (!instance.valid())
    return;
  if (FreeCalls.empty()) {
    FreeCalls.push_back(static_cast<uint32_t>(Calls.size()));
    Calls.emplace_back();
  }
  uint32_t index = FreeCalls.back();
  FreeCalls.pop_back();
  Call &call = Calls[index];
  call.Outcome = OutcomeKind::Ok;
  call.Instance = instance;
  call.Connection = daemon.Instances.acquireLane(instance);
  ++call.Generation;
  daemon.Health->attemptStarted({{index, call.Generation}, 1}, instance, Now);
  schedule(Now + sampleLatency(service, instance, call), EventType::End,
           event.Daemon, index);
}

void FakeFleet::onEnd(const SimEvent &event) {
  Daemon &daemon = Daemons[event.Daemon];
  Call &call = Calls[event.Index];
  AttemptHandle attempt{{event.Index, call.Generation}, 1};
  daemon.Instances.releaseLane(call.Instance, call.Connection);
  if (call.Outcome == OutcomeKind::Timeout)
    daemon.Health->attemptTimedOut(attempt, Now);
  else
    daemon.Health->attemptEnded(attempt, call.Outcome, Now);
  daemon.Health->attemptDropped(attempt);
  FreeCalls.push_back(event.Index);
}

void FakeFleet::onTick(const SimEvent &event) {
  Effects.clear();
  Daemons[event.Daemon].Health->tick({Vms, {event.Daemon}}, Now, Effects);
  send(event.Daemon, Effects);
  countEjections(event.Daemon);
  schedule(Now + TickInterval, EventType::Tick, event.Daemon, 0);
}

void FakeFleet::send(uint32_t from, const EffectBuffer &effects) {
  for (const Effect &effect : effects.items()) {
    const auto *message = std::get_if<SendPeer>(&effect);
    if (!message)
      continue;
    if (FreeMessages.empty()) {
      FreeMessages.push_back(static_cast<uint32_t>(Messages.size()));
      Messages.emplace_back();
    }
    uint32_t index = FreeMessages.back();
    FreeMessages.pop_back();
    Messages[index] = {VmHandle{from}, message->Body};
    schedule(Now + MessageDelay, EventType::Message, message->To.Value, index);
  }
}

void FakeFleet::onMessage(const SimEvent &event) {
  auto [from, body] = std::move(Messages[event.Index]);
  FreeMessages.push_back(event.Index);
  FleetHealth &health = *Daemons[event.Daemon].Health;
  MemberView members{Vms, {event.Daemon}};
  Effects.clear();
  if (const auto *report = std::get_if<EvidenceReport>(&body))
    health.onReport(from, *report, members, Effects);
  if (const auto *update = std::get_if<VerdictUpdate>(&body))
    health.onVerdict(from, *update, members, Now);
  send(event.Daemon, Effects);
  countEjections(event.Daemon);
}

void FakeFleet::countEjections(uint32_t daemon) {
  Daemon &it = Daemons[daemon];
  std::span<const InstanceHealth> items = it.Health->table().items();
  for (uint32_t n = 0; n < items.size(); ++n) {
    UseState use = items[n].Use;
    bool ejected = use == UseState::Ejected && it.LastUse[n] != use;
    it.LastUse[n] = use;
    if (!ejected)
      continue;
    // All daemons apply a pooled verdict at nearly the same time: it counts
    // once.
    bool pooled =
        Init.Detector == DetectorKind::Pooled && !items[n].HasPathFault;
    bool again = pooled && Now - LastEjected[n] < std::chrono::seconds(2);
    LastEjected[n] = Now;
    Ejections += again ? 0 : 1;
  }
}

void FakeFleet::run(Duration length) {
  Instant end = Now + length;
  while (!Events.empty() && Events.top().Due <= end) {
    SimEvent event = Events.top();
    Events.pop();
    Now = event.Due;
    (this->*Handlers[static_cast<size_t>(event.Type)])(event);
  }
  Now = end;
}

void FakeFleet::setFault(InstanceHandle instance, FakeFault fault) {
  Faults[instance.Value] = fault;
}

uint32_t FakeFleet::daemonsWithout(InstanceHandle instance) const {
  uint32_t count = 0;
  for (const Daemon &it : Daemons) {
    UseState use = it.Health->table().at(instance).Use;
    count += use == UseState::InUse || use == UseState::HeldByFloor ? 0 : 1;
  }
  return count;
}

uint32_t FakeFleet::minSlotsInUse(ServiceHandle service) const {
  uint32_t minSlots = UINT32_MAX;
  for (const Daemon &it : Daemons) {
    uint32_t slots = 0;
    for (InstanceHandle instance : Catalog.at(service).Instances) {
      UseState use = it.Health->table().at(instance).Use;
      bool in = use == UseState::InUse || use == UseState::HeldByFloor;
      slots += in ? Catalog.at(instance).Spec.Slots : 0;
    }
    minSlots = std::min(minSlots, slots);
  }
  return minSlots;
}

} // namespace guavasail
