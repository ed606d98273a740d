/// \file
/// Compares the rate limiting strategies under the same simulated traffic.
#include "../tests/rate_fleet.h"

#include <algorithm>
#include <cstdio>
#include <string>

using namespace guavasail;

namespace {

struct Traffic {
  const char *Name;
  /// Request rate of each workspace, as a fraction of its limit.
  double Load;
  /// Number of VMs that receive a workspace's requests at a time; 0 means all.
  uint32_t VmSpread;
  /// Time after which the requests move to other VMs.
  Duration MoveInterval;
};

constexpr Traffic Patterns[] = {
    {"spread", 0.6, 0, std::chrono::hours(1)},
    {"skewed", 0.6, 2, std::chrono::hours(1)},
    {"moving", 0.6, 3, std::chrono::seconds(5)},
};

std::vector<RateLimit> limits(uint32_t count, uint32_t rate, uint32_t burst) {
  std::vector<RateLimit> out;
  for (uint32_t n = 0; n < count; ++n)
    out.push_back({rateKey("workspace" + std::to_string(n)), rate, burst});
  return out;
}

void offerTraffic(RateFleet &fleet, const FleetInit &init,
                  const Traffic &traffic, Duration span, uint64_t seed) {
  std::mt19937_64 random(seed);
  double perSecond = 0;
  for (const RateLimit &it : init.Limits)
    perSecond += it.RatePerSecond * traffic.Load;
  std::exponential_distribution<double> gap(perSecond / 1e6);
  Instant end = fleet.now() + span;
  while (fleet.now() < end) {
    fleet.run(Duration(static_cast<int64_t>(gap(random)) + 1));
    auto workspace = static_cast<uint32_t>(random() % init.Limits.size());
    auto turn = static_cast<uint64_t>(fleet.now().time_since_epoch() /
                                      traffic.MoveInterval);
    uint32_t vm = 0;
    if (traffic.VmSpread == 0)
      vm = static_cast<uint32_t>(random() % init.Vms);
    else
      vm = static_cast<uint32_t>(
          (workspace * 7 + turn * 13 + random() % traffic.VmSpread) % init.Vms);
    fleet.offer(vm, workspace);
  }
}

double worstWorkspacePercent(const RateFleet &fleet, size_t count) {
  double most = 0;
  for (uint32_t n = 0; n < count; ++n) {
    const WorkspaceResult &it = fleet.result(n);
    if (it.Offered > 0)
      most = std::max(most, 100.0 * static_cast<double>(it.RefusedWithinRate) /
                                static_cast<double>(it.Offered));
  }
  return most;
}

void measure(RateStrategyKind strategy, const Traffic &traffic, uint32_t vms,
             const std::vector<RateLimit> &rates, const char *size) {
  FleetInit init;
  init.Strategy = strategy;
  init.Vms = vms;
  init.Partitions = 64;
  init.Limits = rates;
  RateFleet fleet(init);
  fleet.run(std::chrono::seconds(40));
  fleet.clearResults();
  Duration span = std::chrono::seconds(30);
  offerTraffic(fleet, init, traffic, span, 5);
  double seconds = 30.0;
  double offered = static_cast<double>(fleet.offered());
  std::string name = "rates." + std::string(rateStrategyName(strategy)) + "." +
                     traffic.Name + "." + size + ".";
  auto print = [&](const char *what, double value, const char *unit) {
    std::printf("%s%s %.4g %s\n", name.c_str(), what, value, unit);
  };
  std::vector<Duration> waits = fleet.waits();
  std::sort(waits.begin(), waits.end());
  auto waitQuantile = [&](double quantile) {
    auto rank = static_cast<size_t>((1.0 - quantile) * offered);
    return rank < waits.size()
               ? static_cast<double>(waits[waits.size() - 1 - rank].count()) /
                     1e3
               : 0.0;
  };
  print("refused_inside",
        100.0 * static_cast<double>(fleet.refusedWithinRate()) / offered,
        "percent");
  print("worst_workspace", worstWorkspacePercent(fleet, rates.size()),
        "percent");
  print("max_excess",
        std::max(0.0, static_cast<double>(fleet.maxExcess()) / 1e6), "tokens");
  print("waited", 100.0 * static_cast<double>(fleet.waited()) / offered,
        "percent");
  print("wait_p99", waitQuantile(0.99), "ms");
  auto longWaits = std::count_if(waits.begin(), waits.end(), [](Duration it) {
    return it > std::chrono::microseconds(4900);
  });
  print("waited_above_4.9ms", 100.0 * static_cast<double>(longWaits) / offered,
        "percent");
  print("messages", static_cast<double>(fleet.messages()) / seconds / vms,
        "1/s/daemon");
  print("bytes", static_cast<double>(fleet.bytes()) / seconds / vms,
        "B/s/daemon");
}

} // namespace

int main() {
  struct Size {
    const char *Name;
    uint32_t Vms;
    uint32_t Workspaces;
    uint32_t Rate;
    uint32_t Burst;
  };
  static constexpr Size Sizes[] = {
      {"8vm_8ws", 8, 8, 100, 100},
      {"40vm_8ws", 40, 8, 500, 500},
      {"40vm_2000ws", 40, 2000, 3, 12},
  };
  static constexpr RateStrategyKind Kinds[] = {
      RateStrategyKind::EvenSplit, RateStrategyKind::Central,
      RateStrategyKind::ZoneRelay, RateStrategyKind::ZoneShares};
  for (const Size &size : Sizes)
    for (const Traffic &traffic : Patterns)
      for (RateStrategyKind kind : Kinds)
        measure(kind, traffic, size.Vms,
                limits(size.Workspaces, size.Rate, size.Burst), size.Name);
}
