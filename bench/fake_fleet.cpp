#include "fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace guavasail {

namespace {

constexpr double Sigma = 0.5;
constexpr double SlowFactor = 10;
constexpr double FailShare = 0.3;
constexpr double NoiseErrorShare = 0.001;
constexpr Duration MessageDelay = std::chrono::milliseconds(6);
constexpr Duration Deadline = std::chrono::seconds(2);
constexpr Duration TickPeriod = std::chrono::milliseconds(250);
constexpr Duration FailTime = std::chrono::milliseconds(3);

/// Noise: seconds between waves, their length and strength.
constexpr double WaveGap = 240;
constexpr double WaveLength = 30;
constexpr double WaveMostLatency = 6;
constexpr double WaveMostRate = 4;
/// Noise: seconds between pauses of an instance, and their length.
constexpr double PauseGap = 120;
constexpr Duration PauseLength = std::chrono::milliseconds(200);
constexpr uint32_t LaneLimit = 16;

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
  Waves.resize(Init.Services.size());
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
    it.Subsets.refresh(Catalog, {Vms, {n}}, it.Zone, LaneLimit);
    it.Picker =
        std::make_unique<Balancer>(BalanceKind::NearLeastLoadedOfTwo, Random());
    it.Last.resize(count, UseState::InUse);
    schedule(Now + TickPeriod * n / Init.Daemons, Kind::Tick, n, 0);
  }
  for (uint32_t n = 0; n < Init.Services.size(); ++n) {
    planWave(n);
    scheduleArrival(n);
  }
}

double FakeFleet::uniform() {
  return static_cast<double>(Random() >> 11) * 0x1p-53;
}

double FakeFleet::exponential(double mean) {
  return -std::log(1 - uniform()) * mean;
}

void FakeFleet::schedule(Instant due, Kind what, uint32_t daemon,
                         uint32_t index) {
  Queue.push({due, Order++, what, daemon, index});
}

void FakeFleet::scheduleArrival(uint32_t service) {
  double rate = Init.RequestsPerInstance * Init.Services[service].Instances;
  const Wave &wave = Waves[service];
  if (Now >= wave.From && Now < wave.To)
    rate *= wave.Rate;
  auto daemon = static_cast<uint32_t>(Random() % Init.Daemons);
  schedule(Now + seconds(exponential(1 / rate)), Kind::Arrival, daemon,
           service);
}

void FakeFleet::planWave(uint32_t service) {
  Wave &wave = Waves[service];
  wave.From = Now + seconds(exponential(WaveGap));
  wave.To = wave.From + seconds(exponential(WaveLength));
  bool burst = uniform() < 0.5;
  wave.Latency = burst ? 1.5 : 1 + uniform() * (WaveMostLatency - 1);
  wave.Rate = burst ? 1 + uniform() * (WaveMostRate - 1) : 1;
}

Duration FakeFleet::answerTime(uint32_t service, InstanceHandle instance,
                               Call &call) {
  FakeFault fault = Faults[instance.Value];
  double errors = Init.Noise ? NoiseErrorShare : 0;
  if (fault == FakeFault::Failing)
    errors = FailShare;
  if (fault == FakeFault::Stalling) {
    call.Outcome = OutcomeKind::Timeout;
    return Deadline;
  }
  if (uniform() < errors) {
    call.Outcome = OutcomeKind::Error;
    return FailTime;
  }
  double radius = std::sqrt(-2 * std::log(1 - uniform()));
  double normal = radius * std::cos(2 * std::numbers::pi * uniform());
  double factor = std::exp(normal * Sigma);
  if (fault == FakeFault::Slow)
    factor *= SlowFactor;
  const Wave &wave = Waves[service];
  if (Init.Noise && Now >= wave.From && Now < wave.To)
    factor *= wave.Latency;
  auto median = static_cast<double>(Init.Services[service].Median.count());
  Duration length(static_cast<int64_t>(median * factor));
  if (Init.Noise) {
    Instant &until = PausedUntil[instance.Value];
    double perRequest = 1 / (PauseGap * Init.RequestsPerInstance);
    if (Now >= until && uniform() < perRequest)
      until = Now + PauseLength;
    if (Now < until)
      length += until - Now;
  }
  if (length < Deadline)
    return length;
  call.Outcome = OutcomeKind::Timeout;
  return Deadline;
}

void FakeFleet::onArrival(const Item &item) {
  uint32_t service = item.Index;
  if (Init.Noise && Now >= Waves[service].To)
    planWave(service);
  scheduleArrival(service);
  Daemon &daemon = Daemons[item.Daemon];
  ++Requests;
  InstanceHandle instance = daemon.Picker->pick({Catalog,
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
  schedule(Now + answerTime(service, instance, call), Kind::End, item.Daemon,
           index);
}

void FakeFleet::onEnd(const Item &item) {
  Daemon &daemon = Daemons[item.Daemon];
  Call &call = Calls[item.Index];
  AttemptHandle attempt{{item.Index, call.Generation}, 1};
  daemon.Instances.releaseLane(call.Instance, call.Connection);
  if (call.Outcome == OutcomeKind::Timeout)
    daemon.Health->attemptTimedOut(attempt, Now);
  else
    daemon.Health->attemptEnded(attempt, call.Outcome, Now);
  daemon.Health->attemptDropped(attempt);
  FreeCalls.push_back(item.Index);
}

void FakeFleet::onTick(const Item &item) {
  Effects.clear();
  Daemons[item.Daemon].Health->tick({Vms, {item.Daemon}}, Now, Effects);
  send(item.Daemon, Effects);
  countEjections(item.Daemon);
  schedule(Now + TickPeriod, Kind::Tick, item.Daemon, 0);
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
    schedule(Now + MessageDelay, Kind::Message, message->To.Value, index);
  }
}

void FakeFleet::onMessage(const Item &item) {
  auto [from, body] = std::move(Messages[item.Index]);
  FreeMessages.push_back(item.Index);
  FleetHealth &health = *Daemons[item.Daemon].Health;
  MemberView members{Vms, {item.Daemon}};
  Effects.clear();
  if (const auto *report = std::get_if<EvidenceReport>(&body))
    health.onReport(from, *report, members, Effects);
  if (const auto *update = std::get_if<VerdictUpdate>(&body))
    health.onVerdict(from, *update, members, Now);
  send(item.Daemon, Effects);
  countEjections(item.Daemon);
}

void FakeFleet::countEjections(uint32_t daemon) {
  Daemon &it = Daemons[daemon];
  std::span<const InstanceHealth> items = it.Health->table().items();
  for (uint32_t n = 0; n < items.size(); ++n) {
    UseState use = items[n].Use;
    bool ejected = use == UseState::Ejected && it.Last[n] != use;
    it.Last[n] = use;
    if (!ejected)
      continue;
    // All daemons apply a pooled verdict within moments: it counts once.
    bool pooled = Init.Detector == DetectorKind::Pooled && !items[n].Detour;
    bool again = pooled && Now - LastEjected[n] < std::chrono::seconds(2);
    LastEjected[n] = Now;
    Ejections += again ? 0 : 1;
  }
}

void FakeFleet::run(Duration length) {
  Instant end = Now + length;
  while (!Queue.empty() && Queue.top().Due <= end) {
    Item item = Queue.top();
    Queue.pop();
    Now = item.Due;
    (this->*Handlers[static_cast<size_t>(item.What)])(item);
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

uint32_t FakeFleet::leastSlotsInUse(ServiceHandle service) const {
  uint32_t least = UINT32_MAX;
  for (const Daemon &it : Daemons) {
    uint32_t slots = 0;
    for (InstanceHandle instance : Catalog.at(service).Instances) {
      UseState use = it.Health->table().at(instance).Use;
      bool in = use == UseState::InUse || use == UseState::HeldByFloor;
      slots += in ? Catalog.at(instance).Spec.Slots : 0;
    }
    least = std::min(least, slots);
  }
  return least;
}

} // namespace guavasail
