/// \file
/// Subsetting and load balancing, for fleets and services of several sizes.
#include "balancer.h"
#include "subset.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace guavasail {

namespace {

struct SubsetCase {
  std::string Name;
  uint32_t Daemons;
  uint32_t Instances;
  uint32_t Zones;
  uint32_t Connections;
};

CatalogSpec catalogOf(const SubsetCase &it) {
  CatalogSpec spec;
  spec.Version = 1;
  spec.Services.emplace_back();
  spec.Services[0].Name = "s";
  for (uint32_t n = 0; n < it.Instances; ++n) {
    InstanceSpec instance;
    instance.Name = std::to_string(n);
    instance.Zone = "z" + std::to_string(n % it.Zones);
    instance.Connections = it.Connections;
    spec.Services[0].Instances.push_back(instance);
  }
  return spec;
}

std::vector<VmEntry> membersOf(const SubsetCase &it, CatalogIndex &catalog) {
  std::vector<VmEntry> vms(it.Daemons);
  for (uint32_t n = 0; n < it.Daemons; ++n) {
    vms[n].Name = "vm" + std::to_string(n);
    vms[n].State = VmState::Alive;
    vms[n].Zone = catalog.zone("z" + std::to_string(n % it.Zones));
  }
  return vms;
}

class Subset : public testing::TestWithParam<SubsetCase> {
protected:
  Subset() {
    Catalog.accept(catalogOf(GetParam()));
    Vms = membersOf(GetParam(), Catalog);
  }

  ServiceSubset subsetOf(uint32_t vm) {
    SubsetTable table;
    table.refresh(Catalog, {Vms, {vm}}, Vms[vm].Zone, 16);
    return table.at({0});
  }

  CatalogIndex Catalog;
  std::vector<VmEntry> Vms;
};

TEST_P(Subset, KeepsConnectionsOfEachInstanceInBounds) {
  std::vector<uint32_t> connections(GetParam().Instances);
  for (uint32_t vm = 0; vm < Vms.size(); ++vm) {
    ServiceSubset subset = subsetOf(vm);
    EXPECT_FALSE(subset.Instances.empty());
    for (InstanceHandle it : subset.Instances)
      connections[it.Value] += subset.Lanes;
  }
  for (uint32_t count : connections) {
    EXPECT_GT(count, 0U);
    EXPECT_LE(count, GetParam().Connections);
  }
}

TEST_P(Subset, LostVmMovesFewInstances) {
  std::vector<std::vector<InstanceHandle>> before;
  for (uint32_t vm = 0; vm < Vms.size(); ++vm)
    before.push_back(subsetOf(vm).Instances);
  Vms[0].State = VmState::Gone;
  size_t moved = 0;
  size_t total = 0;
  for (uint32_t vm = 1; vm < Vms.size(); ++vm) {
    std::vector<InstanceHandle> after = subsetOf(vm).Instances;
    std::vector<InstanceHandle> kept;
    std::set_intersection(after.begin(), after.end(), before[vm].begin(),
                          before[vm].end(), std::back_inserter(kept));
    moved += after.size() - kept.size();
    total += after.size();
  }
  EXPECT_LE(moved * 20, total);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, Subset,
    testing::Values(SubsetCase{"OneDaemon", 1, 10, 4, 300},
                    SubsetCase{"LaGuajiraWind", 40, 10, 4, 300},
                    SubsetCase{"KerdanielIssuance", 36, 20, 4, 350},
                    SubsetCase{"OneInstance", 40, 1, 1, 300},
                    SubsetCase{"Target", 500, 22, 8, 300},
                    SubsetCase{"TargetFewConnections", 500, 22, 8, 100}),
    [](const auto &it) { return it.param.Name; });

struct BalanceCase {
  std::string Name;
  BalanceKind Kind;
};

class Balance : public testing::TestWithParam<BalanceCase> {
protected:
  Balance() : Policy(GetParam().Kind, 7) {
    Catalog.accept(catalogOf({"", 1, 8, 2, 300}));
    Instances.resize(8);
    Health.acceptCatalog(Catalog, Instant{});
    Subsets.refresh(Catalog, {}, Catalog.zone("z0"), 16);
  }

  /// \returns how often each instance was picked.
  std::vector<uint32_t> pickCounts(uint32_t count) {
    std::vector<uint32_t> counts(8);
    for (uint32_t n = 0; n < count; ++n) {
      InstanceHandle it = Policy.pick({Catalog,
                                       Instances,
                                       Health,
                                       Subsets.at({0}),
                                       {0},
                                       {},
                                       Catalog.zone("z0")});
      ++counts.at(it.Value);
    }
    return counts;
  }

  CatalogIndex Catalog;
  InstanceTable Instances;
  HealthTable Health;
  SubsetTable Subsets;
  Balancer Policy;
};

TEST_P(Balance, SkipsEjectedDrainedAndLeaving) {
  VerdictEntry entry;
  entry.State = VerdictState::Ejected;
  entry.Remaining = std::chrono::seconds(5);
  Health.applyVerdict({0}, entry, Instant{});
  Health.setDrained({1}, true, Instant{});
  Health.setLeaving({2}, true, Instant{});
  std::vector<uint32_t> counts = pickCounts(1000);
  EXPECT_EQ(counts[0] + counts[1] + counts[2], 0U);
}

TEST_P(Balance, TrickleInstanceGetsFewRequests) {
  VerdictEntry entry;
  entry.State = VerdictState::Trickle;
  entry.Remaining = std::chrono::seconds(5);
  Health.applyVerdict({0}, entry, Instant{});
  std::vector<uint32_t> counts = pickCounts(8000);
  EXPECT_GT(counts[0], 0U);
  EXPECT_LT(counts[0] * 5, counts[2]);
}

INSTANTIATE_TEST_SUITE_P(
    Strategies, Balance,
    testing::Values(
        BalanceCase{"RoundRobin", BalanceKind::RoundRobin},
        BalanceCase{"Random", BalanceKind::Random},
        BalanceCase{"LeastLoadedOfTwo", BalanceKind::LeastLoadedOfTwo},
        BalanceCase{"NearLeastLoadedOfTwo", BalanceKind::NearLeastLoadedOfTwo}),
    [](const auto &it) { return it.param.Name; });

} // namespace

} // namespace guavasail
