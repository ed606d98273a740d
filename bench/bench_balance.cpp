/// \file
/// Evenness, waits and late requests of placement policies under uneven load,
/// and the CPU time of a choice. Virtual time.
#include "balance_fleet.h"
#include "duration_math.h"

#include <chrono>
#include <iostream>
#include <string>

namespace guavasail {

namespace {

constexpr Duration RunTime = std::chrono::seconds(60);
constexpr Duration OldReport = std::chrono::milliseconds(800);
constexpr uint64_t Seed = 1;

constexpr BalanceLoad Loads[] = {
    {"equal", 86, 88, 55},
    {"uneven-zones", 86, 88, 55, 70},
    {"low-uneven-zones", 86, 88, 20, 70},
    {"speeds", 86, 88, 55, 34, 40},
    {"slow-when-full", 86, 88, 70, 34, 20, true},
    {"old-reports", 86, 88, 70, 34, 20, true, OldReport},
    {"no-reports", 86, 88, 70, 34, 20, true, std::nullopt},
    {"rejections", 86, 88, 40, 34, 20, false, Duration::zero(), 20},
    {"owner-changes", 86, 88, 55, 34, 20, false, OldReport, 0,
     std::chrono::seconds(7)},
};

void runLoads() {
  for (const BalanceLoad &load : Loads)
    for (const BalancePolicy &policy : BalancePolicies) {
      BalanceResult result = BalanceFleet(load, policy, Seed).run(RunTime);
      std::string name =
          "balance." + std::string(load.Name) + "." + std::string(policy.Name);
      std::cout << name << ".busiest " << result.BusiestOverMean << " of-mean\n"
                << name << ".p99-wait " << inSeconds(result.P99Wait) * 1e3
                << " ms\n"
                << name << ".late " << result.LatePercent << " percent\n"
                << name << ".remote " << result.RemotePercent << " percent"
                << std::endl;
    }
}

/// Prints the time of a choice among 190 instances, half of their slots in use.
void runChoices(std::string_view name, PlacementKind placement) {
  constexpr uint32_t InstanceCount = 190;
  constexpr uint32_t ChoiceCount = 20000;
  constexpr uint32_t VmCount = 92;
  constexpr size_t GrantCount = 500;
  CatalogSpec catalog;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "s";
  for (uint32_t n = 0; n < InstanceCount; ++n) {
    InstanceSpec &it = service.Instances.emplace_back();
    it.Name = "i" + std::to_string(n);
    it.Zone = "z" + std::to_string(n % 4);
  }
  CatalogIndex index;
  index.accept(catalog);
  DispatchPool pool(placement, EjectionKind::Learned, Seed);
  Instant now{std::chrono::seconds(1000)};
  pool.acceptCatalog(index, ServiceHandle{0}, now);
  std::deque<std::pair<uint64_t, uint32_t>> grants;
  auto elapsed = std::chrono::steady_clock::duration::zero();
  for (uint32_t n = 0; n < ChoiceCount; ++n) {
    now += std::chrono::microseconds(800);
    PlacementInput input;
    input.Vm = VmHandle{n % VmCount};
    input.Zone = ZoneHandle{n % 4};
    input.Idempotent = n % 2 == 0;
    auto started = std::chrono::steady_clock::now();
    PoolInstance *it = pool.choose(input, now);
    elapsed += std::chrono::steady_clock::now() - started;
    DispatchPool::occupySlot(
        *it, {input.Vm, {n, 1}, 1, now, now + std::chrono::seconds(9), false});
    grants.emplace_back(it->Key, n);
    if (grants.size() <= GrantCount)
      continue;
    PlacementRelease release;
    release.Instance = grants.front().first;
    release.Request = {grants.front().second, 1};
    release.Ordinal = 1;
    release.Outcome = AttemptOutcome::Ok;
    release.Elapsed = std::chrono::milliseconds(300 + n * 37 % 200);
    pool.release(VmHandle{grants.front().second % VmCount}, release, now);
    grants.pop_front();
  }
  std::cout << "balance.choice." << name << " "
            << std::chrono::duration<double, std::micro>(elapsed).count() /
                   ChoiceCount
            << " us" << std::endl;
}

} // namespace

} // namespace guavasail

int main() {
  using namespace guavasail;
  runLoads();
  runChoices("spread", PlacementKind::Spread);
  runChoices("even", PlacementKind::Even);
  runChoices("two-random", PlacementKind::TwoRandom);
}
