/// \file
/// Detection time, false ejections, capacity floor, subsets and cost of
/// evidence. Prints "name value unit" lines, by detector where it matters.
#include "fake_fleet.h"
#include "peer_codec_cbor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <gflags/gflags.h>
#include <numeric>

DEFINE_string(part, "all", "detect, quiet, floor, subset, bytes or all");
DEFINE_string(deployment, "", "la-guajira or kerdaniel; both if empty");
DEFINE_string(detector, "", "detector to run; all if empty");
DEFINE_uint32(trials, 400, "trials per detection time");
DEFINE_uint32(seeds, 20, "random seeds of the healthy traffic");
DEFINE_uint32(minutes, 60, "minutes of healthy traffic per seed");

namespace guavasail {

namespace {

using std::chrono::milliseconds;

struct Deployment {
  std::string_view Name;
  uint32_t Daemons;
  uint32_t Slots;
  std::array<FakeService, 3> Services;
};

const Deployment Deployments[] = {
    {"la-guajira",
     40,
     6,
     {FakeService{"wind", 10, milliseconds(15)},
      FakeService{"notices", 15, milliseconds(30)},
      FakeService{"archive", 8, milliseconds(60)}}},
    {"kerdaniel",
     36,
     3,
     {FakeService{"validity", 10, milliseconds(15)},
      FakeService{"issuance", 20, milliseconds(30)},
      FakeService{"archives", 8, milliseconds(60)}}},
};

struct DetectorRow {
  std::string_view Name;
  DetectorKind Kind;
};

constexpr DetectorRow Detectors[] = {
    {"consecutive", DetectorKind::ConsecutiveFailures},
    {"error-rate", DetectorKind::ErrorRate},
    {"pooled", DetectorKind::Pooled},
};

struct FaultRow {
  std::string_view Name;
  FakeFault Fault;
};

constexpr FaultRow FaultRows[] = {
    {"slow-10x", FakeFault::Slow},
    {"failing-30", FakeFault::Failing},
    {"stalling", FakeFault::Stalling},
};

constexpr Duration WarmUpTime = std::chrono::seconds(40);
constexpr Duration MaxDetectionTime = std::chrono::seconds(30);
constexpr Duration SampleInterval = milliseconds(20);
/// An instance counts as detected once this share of the daemons ejected it.
constexpr uint32_t DetectedPercent = 95;

void print(const std::string &name, double value, const char *unit) {
  std::printf("%s %.3f %s\n", name.c_str(), value, unit);
  std::fflush(stdout);
}

std::string join(std::initializer_list<std::string_view> parts) {
  std::string name;
  for (std::string_view part : parts)
    name += (name.empty() ? "" : ".") + std::string(part);
  return name;
}

template <typename Call> void forEachCase(const Call &call) {
  for (const Deployment &deployment : Deployments)
    for (const DetectorRow &detector : Detectors) {
      bool selected =
          (FLAGS_deployment.empty() || FLAGS_deployment == deployment.Name) &&
          (FLAGS_detector.empty() || FLAGS_detector == detector.Name);
      if (selected)
        call(deployment, detector);
    }
}

FakeFleetInit fleetInit(const Deployment &deployment,
                        const DetectorRow &detector) {
  FakeFleetInit init;
  init.Services.assign(deployment.Services.begin(), deployment.Services.end());
  init.Slots = deployment.Slots;
  init.Daemons = deployment.Daemons;
  init.Detector = detector.Kind;
  return init;
}

/// \returns the time until one unhealthy instance of a service is detected, at
/// most `MaxDetectionTime`.
Duration detectionTime(FakeFleetInit init, FakeFault fault, uint32_t trial) {
  init.Services = {init.Services[trial % init.Services.size()]};
  init.Seed = trial + 1;
  FakeFleet fleet(init);
  fleet.run(WarmUpTime + SampleInterval * (trial % 13));
  InstanceHandle unhealthy{trial % init.Services[0].Instances};
  fleet.setFault(unhealthy, fault);
  Instant begin = fleet.now();
  uint32_t needed = init.Daemons * DetectedPercent / 100;
  while (fleet.now() - begin < MaxDetectionTime) {
    fleet.run(SampleInterval);
    if (fleet.daemonsWithout(unhealthy) >= needed)
      break;
  }
  return fleet.now() - begin;
}

/// \returns the nearest-rank quantile in seconds.
double quantile(std::vector<Duration> times, double share) {
  std::sort(times.begin(), times.end());
  double rank = std::ceil(share * static_cast<double>(times.size()));
  auto at = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return static_cast<double>(times[at].count()) / 1e6;
}

void benchDetection(const Deployment &deployment, const DetectorRow &detector) {
  for (const FaultRow &fault : FaultRows)
    for (double rate : {5.0, 15.0}) {
      FakeFleetInit init = fleetInit(deployment, detector);
      init.RequestsPerInstance = rate;
      std::vector<Duration> times;
      for (uint32_t n = 0; n < FLAGS_trials; ++n)
        times.push_back(detectionTime(init, fault.Fault, n));
      std::string name =
          join({"detect", deployment.Name, fault.Name, detector.Name,
                std::to_string(static_cast<int>(rate)) + "rps"});
      auto missed = std::count_if(times.begin(), times.end(), [](Duration it) {
        return it >= MaxDetectionTime;
      });
      print(name + ".p50", quantile(times, 0.5), "s");
      print(name + ".p99", quantile(times, 0.99), "s");
      print(name + ".missed", static_cast<double>(missed), "trials");
    }
}

void benchFalseEjections(const Deployment &deployment,
                         const DetectorRow &detector) {
  uint64_t ejections = 0;
  uint64_t requests = 0;
  for (uint32_t seed = 1; seed <= FLAGS_seeds; ++seed) {
    FakeFleetInit init = fleetInit(deployment, detector);
    init.Noise = true;
    init.Seed = seed;
    FakeFleet fleet(init);
    fleet.run(std::chrono::minutes(FLAGS_minutes));
    ejections += fleet.ejections();
    requests += fleet.requests();
  }
  std::string name = join({"quiet", deployment.Name, detector.Name});
  print(name + ".false-ejections", static_cast<double>(ejections), "count");
  print(name + ".requests", static_cast<double>(requests), "count");
}

void benchFloor(const Deployment &deployment, const DetectorRow &detector) {
  for (uint32_t percent : {70U, 100U})
    for (const FaultRow &fault : FaultRows) {
      FakeFleet fleet(fleetInit(deployment, detector));
      fleet.run(WarmUpTime);
      std::span<const InstanceEntry> all = fleet.catalog().instances();
      for (uint32_t n = 0; n < all.size(); ++n)
        if (n % 10 * 10 < percent)
          fleet.setFault({n}, fault.Fault);
      double minPercent = 100;
      for (int n = 0; n < 240; ++n) {
        fleet.run(milliseconds(250));
        for (uint32_t s = 0; s < deployment.Services.size(); ++s) {
          double slots = deployment.Services[s].Instances * deployment.Slots;
          minPercent =
              std::min(minPercent, 100 * fleet.minSlotsInUse({s}) / slots);
        }
      }
      std::string unhealthy = std::to_string(percent) + "-percent-sick";
      print(join({"floor", deployment.Name, fault.Name, detector.Name,
                  unhealthy}) +
                ".least-in-use",
            minPercent, "percent");
    }
}

constexpr uint32_t NumTargetServices = 270;
constexpr uint32_t NumTargetInstances = 5900;
constexpr uint32_t NumTargetZones = 8;

CatalogSpec targetCatalog() {
  CatalogSpec spec;
  spec.Version = 1;
  for (uint32_t n = 0; n < NumTargetServices; ++n) {
    spec.Services.emplace_back();
    spec.Services.back().Name = "s" + std::to_string(n);
  }
  for (uint32_t n = 0; n < NumTargetInstances; ++n) {
    ServiceSpec &service = spec.Services[n % NumTargetServices];
    InstanceSpec instance;
    instance.Name = std::to_string(service.Instances.size());
    instance.Zone =
        "z" + std::to_string(service.Instances.size() % NumTargetZones);
    service.Instances.push_back(instance);
  }
  return spec;
}

std::vector<VmEntry> targetVms(CatalogIndex &catalog, uint32_t count) {
  std::vector<VmEntry> vms(count);
  for (uint32_t n = 0; n < count; ++n) {
    vms[n].Name = "vm" + std::to_string(n);
    vms[n].State = VmState::Alive;
    vms[n].Zone = catalog.zone("z" + std::to_string(n % NumTargetZones));
  }
  return vms;
}

double millisSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

void benchSubset() {
  for (uint32_t daemons : {40U, 500U}) {
    CatalogIndex catalog;
    catalog.accept(targetCatalog());
    std::vector<VmEntry> vms = targetVms(catalog, daemons);
    std::vector<uint32_t> daemonsPerInstance(NumTargetInstances);
    std::vector<uint32_t> connectionsPerInstance(NumTargetInstances);
    auto begin = std::chrono::steady_clock::now();
    for (uint32_t vm = 0; vm < daemons; ++vm) {
      SubsetTable table;
      table.refresh(catalog, {vms, {vm}}, vms[vm].Zone, 16);
      for (uint32_t s = 0; s < NumTargetServices; ++s)
        for (InstanceHandle it : table.at({s}).Instances) {
          ++daemonsPerInstance[it.Value];
          connectionsPerInstance[it.Value] += table.at({s}).Lanes;
        }
    }
    double millis = millisSince(begin) / daemons;
    double mean = std::accumulate(daemonsPerInstance.begin(),
                                  daemonsPerInstance.end(), 0.0) /
                  NumTargetInstances;
    std::string name = "subset." + std::to_string(daemons) + "-daemons";
    print(name + ".daemons-an-instance.mean", mean, "count");
    print(
        name + ".daemons-an-instance.least",
        *std::min_element(daemonsPerInstance.begin(), daemonsPerInstance.end()),
        "count");
    print(
        name + ".daemons-an-instance.most",
        *std::max_element(daemonsPerInstance.begin(), daemonsPerInstance.end()),
        "count");
    print(name + ".connections-an-instance.most",
          *std::max_element(connectionsPerInstance.begin(),
                            connectionsPerInstance.end()),
          "count");
    print(name + ".refresh", millis, "ms");
  }
}

/// Size of one daemon's evidence at the target size and 92 requests/s.
void benchBytes() {
  constexpr uint32_t Daemons = 500;
  constexpr uint32_t RequestsPerSecond = 92;
  constexpr uint32_t LengthSeconds = 60;
  CatalogIndex catalog;
  catalog.accept(targetCatalog());
  std::vector<VmEntry> vms = targetVms(catalog, Daemons);
  FleetHealth health(DetectorKind::Pooled);
  Instant now{std::chrono::seconds(1000)};
  health.acceptCatalog(catalog, now);
  std::mt19937_64 random(1);
  EffectBuffer effects;
  std::vector<uint8_t> bytes;
  uint64_t messages = 0;
  double tickMillis = 0;
  uint32_t ticks = 0;
  for (uint32_t n = 0; n < RequestsPerSecond * LengthSeconds; ++n) {
    now += Duration(std::chrono::seconds(1)) / RequestsPerSecond;
    InstanceHandle it{static_cast<uint32_t>(random() % NumTargetInstances)};
    AttemptHandle attempt{{n % 64, n}, 1};
    health.attemptStarted(attempt, it, now - milliseconds(random() % 100));
    health.attemptEnded(attempt, OutcomeKind::Ok, now);
    health.attemptDropped(attempt);
    if (now < health.nextTick())
      continue;
    effects.clear();
    auto begin = std::chrono::steady_clock::now();
    health.tick({vms, {0}}, now, effects);
    tickMillis += millisSince(begin);
    ++ticks;
    for (const Effect &effect : effects.items())
      if (const auto *message = std::get_if<SendPeer>(&effect)) {
        encode(message->Body, bytes);
        ++messages;
      }
  }
  print("bytes.500-daemons.evidence.sent",
        static_cast<double>(bytes.size()) / LengthSeconds, "bytes/s");
  print("bytes.500-daemons.evidence.messages",
        static_cast<double>(messages) / LengthSeconds, "messages/s");
  print("bytes.500-daemons.tick", tickMillis / ticks, "ms");
}

bool isPartSelected(std::string_view part) {
  return FLAGS_part == "all" || FLAGS_part == part;
}

} // namespace

} // namespace guavasail

int main(int argc, char **argv) {
  using namespace guavasail;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (isPartSelected("detect"))
    forEachCase(benchDetection);
  if (isPartSelected("floor"))
    forEachCase(benchFloor);
  if (isPartSelected("subset"))
    benchSubset();
  if (isPartSelected("bytes"))
    benchBytes();
  if (isPartSelected("quiet"))
    forEachCase(benchFalseEjections);
  return 0;
}
