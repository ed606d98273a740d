/// \file
/// Detection, false ejections, the floor, subsets and the cost of evidence.
/// Prints "name value unit" lines, each strategy beside its baselines.
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
DEFINE_string(detector, "", "one detector; all if empty");
DEFINE_uint32(trials, 400, "trials for each detection time");
DEFINE_uint32(seeds, 20, "seeds of the healthy hour");
DEFINE_uint32(minutes, 60, "length of healthy traffic for each seed");

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

constexpr Duration WarmUp = std::chrono::seconds(40);
constexpr Duration Longest = std::chrono::seconds(30);
constexpr Duration Sampling = milliseconds(20);
/// An instance is found when this part of the daemons took it out.
constexpr uint32_t FoundPercent = 95;

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

template <typename Call> void eachCase(const Call &call) {
  for (const Deployment &deployment : Deployments)
    for (const DetectorRow &detector : Detectors) {
      bool wanted =
          (FLAGS_deployment.empty() || FLAGS_deployment == deployment.Name) &&
          (FLAGS_detector.empty() || FLAGS_detector == detector.Name);
      if (wanted)
        call(deployment, detector);
    }
}

FakeFleetInit fleetOf(const Deployment &deployment,
                      const DetectorRow &detector) {
  FakeFleetInit init;
  init.Services.assign(deployment.Services.begin(), deployment.Services.end());
  init.Slots = deployment.Slots;
  init.Daemons = deployment.Daemons;
  init.Detector = detector.Kind;
  return init;
}

/// \returns how long one sick instance of one service goes on unnoticed.
Duration detectionTime(FakeFleetInit init, FakeFault fault, uint32_t trial) {
  init.Services = {init.Services[trial % init.Services.size()]};
  init.Seed = trial + 1;
  FakeFleet fleet(init);
  fleet.run(WarmUp + Sampling * (trial % 13));
  InstanceHandle sick{trial % init.Services[0].Instances};
  fleet.setFault(sick, fault);
  Instant begin = fleet.now();
  uint32_t needed = init.Daemons * FoundPercent / 100;
  while (fleet.now() - begin < Longest) {
    fleet.run(Sampling);
    if (fleet.daemonsWithout(sick) >= needed)
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
      FakeFleetInit init = fleetOf(deployment, detector);
      init.RequestsPerInstance = rate;
      std::vector<Duration> times;
      for (uint32_t n = 0; n < FLAGS_trials; ++n)
        times.push_back(detectionTime(init, fault.Fault, n));
      std::string name =
          join({"detect", deployment.Name, fault.Name, detector.Name,
                std::to_string(static_cast<int>(rate)) + "rps"});
      auto missed = std::count_if(times.begin(), times.end(),
                                  [](Duration it) { return it >= Longest; });
      print(name + ".p50", quantile(times, 0.5), "s");
      print(name + ".p99", quantile(times, 0.99), "s");
      print(name + ".missed", static_cast<double>(missed), "trials");
    }
}

void benchQuiet(const Deployment &deployment, const DetectorRow &detector) {
  uint64_t ejections = 0;
  uint64_t requests = 0;
  for (uint32_t seed = 1; seed <= FLAGS_seeds; ++seed) {
    FakeFleetInit init = fleetOf(deployment, detector);
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
      FakeFleet fleet(fleetOf(deployment, detector));
      fleet.run(WarmUp);
      std::span<const InstanceEntry> all = fleet.catalog().instances();
      for (uint32_t n = 0; n < all.size(); ++n)
        if (n % 10 * 10 < percent)
          fleet.setFault({n}, fault.Fault);
      double least = 100;
      for (int n = 0; n < 240; ++n) {
        fleet.run(milliseconds(250));
        for (uint32_t s = 0; s < deployment.Services.size(); ++s) {
          double slots = deployment.Services[s].Instances * deployment.Slots;
          least = std::min(least, 100 * fleet.leastSlotsInUse({s}) / slots);
        }
      }
      std::string sick = std::to_string(percent) + "-percent-sick";
      print(join({"floor", deployment.Name, fault.Name, detector.Name, sick}) +
                ".least-in-use",
            least, "percent");
    }
}

constexpr uint32_t TargetServices = 270;
constexpr uint32_t TargetInstances = 5900;
constexpr uint32_t TargetZones = 8;

CatalogSpec targetCatalog() {
  CatalogSpec spec;
  spec.Version = 1;
  for (uint32_t n = 0; n < TargetServices; ++n) {
    spec.Services.emplace_back();
    spec.Services.back().Name = "s" + std::to_string(n);
  }
  for (uint32_t n = 0; n < TargetInstances; ++n) {
    ServiceSpec &service = spec.Services[n % TargetServices];
    InstanceSpec instance;
    instance.Name = std::to_string(service.Instances.size());
    instance.Zone =
        "z" + std::to_string(service.Instances.size() % TargetZones);
    service.Instances.push_back(instance);
  }
  return spec;
}

std::vector<VmEntry> targetFleet(CatalogIndex &catalog, uint32_t count) {
  std::vector<VmEntry> vms(count);
  for (uint32_t n = 0; n < count; ++n) {
    vms[n].Name = "vm" + std::to_string(n);
    vms[n].State = VmState::Alive;
    vms[n].Zone = catalog.zone("z" + std::to_string(n % TargetZones));
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
    std::vector<VmEntry> vms = targetFleet(catalog, daemons);
    std::vector<uint32_t> sharers(TargetInstances);
    std::vector<uint32_t> connections(TargetInstances);
    auto begin = std::chrono::steady_clock::now();
    for (uint32_t vm = 0; vm < daemons; ++vm) {
      SubsetTable table;
      table.refresh(catalog, {vms, {vm}}, vms[vm].Zone, 16);
      for (uint32_t s = 0; s < TargetServices; ++s)
        for (InstanceHandle it : table.at({s}).Instances) {
          ++sharers[it.Value];
          connections[it.Value] += table.at({s}).Lanes;
        }
    }
    double millis = millisSince(begin) / daemons;
    double mean =
        std::accumulate(sharers.begin(), sharers.end(), 0.0) / TargetInstances;
    std::string name = "subset." + std::to_string(daemons) + "-daemons";
    print(name + ".daemons-an-instance.mean", mean, "count");
    print(name + ".daemons-an-instance.least",
          *std::min_element(sharers.begin(), sharers.end()), "count");
    print(name + ".daemons-an-instance.most",
          *std::max_element(sharers.begin(), sharers.end()), "count");
    print(name + ".connections-an-instance.most",
          *std::max_element(connections.begin(), connections.end()), "count");
    print(name + ".refresh", millis, "ms");
  }
}

/// One daemon's evidence at the target size, 92 requests a second.
void benchBytes() {
  constexpr uint32_t Daemons = 500;
  constexpr uint32_t Rate = 92;
  constexpr uint32_t Length = 60;
  CatalogIndex catalog;
  catalog.accept(targetCatalog());
  std::vector<VmEntry> vms = targetFleet(catalog, Daemons);
  FleetHealth health(DetectorKind::Pooled);
  Instant now{std::chrono::seconds(1000)};
  health.acceptCatalog(catalog, now);
  std::mt19937_64 random(1);
  EffectBuffer effects;
  std::vector<uint8_t> bytes;
  uint64_t messages = 0;
  double tickMillis = 0;
  uint32_t ticks = 0;
  for (uint32_t n = 0; n < Rate * Length; ++n) {
    now += Duration(std::chrono::seconds(1)) / Rate;
    InstanceHandle it{static_cast<uint32_t>(random() % TargetInstances)};
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
        static_cast<double>(bytes.size()) / Length, "bytes/s");
  print("bytes.500-daemons.evidence.messages",
        static_cast<double>(messages) / Length, "messages/s");
  print("bytes.500-daemons.tick", tickMillis / ticks, "ms");
}

bool wants(std::string_view part) {
  return FLAGS_part == "all" || FLAGS_part == part;
}

} // namespace

} // namespace guavasail

int main(int argc, char **argv) {
  using namespace guavasail;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (wants("detect"))
    eachCase(benchDetection);
  if (wants("floor"))
    eachCase(benchFloor);
  if (wants("subset"))
    benchSubset();
  if (wants("bytes"))
    benchBytes();
  if (wants("quiet"))
    eachCase(benchQuiet);
  return 0;
}
