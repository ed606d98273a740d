/// \file
/// Load estimates, and how evenly a service's owner loads its instances.
#include "balance_fleet.h"

#include <gtest/gtest.h>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(1000)};
constexpr Duration Typical = milliseconds(300);

/// A report and what it tells later. Guards against counting requests twice,
/// and against trusting old reports.
struct ReportCase {
  std::string_view Name;
  uint32_t Reported;
  /// Requests of the decider in progress when the report was made.
  uint32_t Own;
  milliseconds Age;
  double Others;
};

const ReportCase Reports[] = {
    {"NoReport", 0, 0, milliseconds(0), 0},
    {"OwnRequestsOnly", 3, 3, milliseconds(0), 0},
    {"OwnRequestsOnTheWay", 2, 3, milliseconds(0), 0},
    {"RequestsOfOthers", 4, 1, milliseconds(0), 3},
    {"RequestsOfOthers800MsAgo", 4, 1, milliseconds(800), 1.5},
    {"RequestsOfOthersLongAgo", 4, 1, seconds(2), 0},
};

std::ostream &operator<<(std::ostream &out, const ReportCase &row) {
  return out << row.Name;
}

class LoadReport : public testing::TestWithParam<ReportCase> {};

TEST_P(LoadReport, TellsRequestsOfOthers) {
  const ReportCase &row = GetParam();
  LoadEstimate estimate;
  estimate.noteReport(row.Reported, row.Own, Start);
  EXPECT_NEAR(estimate.others(Start + row.Age), row.Others, 0.01);
}

INSTANTIATE_TEST_SUITE_P(Table, LoadReport, testing::ValuesIn(Reports),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Responses of an instance and its relative time. Guards against taking one
/// long request for a slow instance.
struct SpeedCase {
  std::string_view Name;
  uint32_t Responses;
  milliseconds Took;
  seconds Later;
  double Least;
  double Most;
};

const SpeedCase Speeds[] = {
    {"Unknown", 0, milliseconds(0), seconds(0), 1, 1},
    {"OneLongRequest", 1, seconds(30), seconds(0), 1, 1.35},
    {"Slow", 30, milliseconds(600), seconds(0), 1.8, 2},
    {"Fast", 30, milliseconds(150), seconds(0), 0.5, 0.6},
    {"SlowLongAgo", 30, milliseconds(600), seconds(90), 1, 1.15},
};

std::ostream &operator<<(std::ostream &out, const SpeedCase &row) {
  return out << row.Name;
}

class InstanceSpeed : public testing::TestWithParam<SpeedCase> {};

TEST_P(InstanceSpeed, FollowsResponses) {
  const SpeedCase &row = GetParam();
  LoadEstimate estimate;
  for (uint32_t n = 0; n < row.Responses; ++n)
    estimate.noteResponse(row.Took, Typical);
  estimate.age(ageFactors(row.Later));
  EXPECT_GE(estimate.relativeTime(), row.Least);
  EXPECT_LE(estimate.relativeTime(), row.Most);
}

INSTANTIATE_TEST_SUITE_P(Table, InstanceSpeed, testing::ValuesIn(Speeds),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(LoadEstimates, RejectionsLeaveTheEstimateUnchanged) {
  // Guards against avoiding an instance that rejects at random.
  CatalogSpec catalog;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "s";
  service.Instances.emplace_back().Name = "i";
  CatalogIndex index;
  index.accept(catalog);
  DispatchPool pool(PlacementKind::Even, EjectionKind::Learned, 1);
  pool.acceptCatalog(index, ServiceHandle{0}, Start);
  Instant now = Start;
  for (uint32_t n = 0; n < 20; ++n, now += milliseconds(300)) {
    PoolInstance *it = pool.choose({VmHandle{1}, ZoneHandle{0}}, now);
    ASSERT_TRUE(it);
    DispatchPool::occupySlot(
        *it, {VmHandle{1}, {n, 1}, 1, now, now + seconds(9), false});
    PlacementRelease release;
    release.Request = {n, 1};
    release.Ordinal = 1;
    release.Instance = it->Key;
    release.Outcome = AttemptOutcome::Shed;
    release.LoadKnown = true;
    release.Running = 6;
    pool.release(VmHandle{1}, release, now);
    EXPECT_EQ(it->Estimate.others(now), 0);
    EXPECT_EQ(it->Estimate.relativeTime(), 1);
    EXPECT_NEAR(it->Estimate.recentWork(), 0, 1e-9);
  }
}

/// Loads, with the operators' limit of the busiest instance over the mean and
/// the most requests that may leave their zone.
struct EvenCase {
  BalanceLoad Load;
  double MaxBusiest = 1.25;
  double MaxRemotePercent = 100;
};

const EvenCase EvenCases[] = {
    {{"MostCallersInOneZone", 24, 40, 55, 70}, 1.25, 66},
    {{"CallersInAllZones", 24, 40, 55, 34}, 1.25, 45},
    {{"DifferentSpeeds", 24, 40, 55, 34, 40}},
    {{"SlowWhenNearlyFull", 24, 40, 70, 34, 0, true}},
    {{"ReportsOf800Ms", 24, 40, 70, 70, 20, true, milliseconds(800)}},
    {{"NoReports", 24, 40, 70, 70, 20, true, std::nullopt}},
    {{"OwnersWithoutKnowledgeOfGrants", 24, 40, 55, 70, 20, false,
      milliseconds(800), 0, seconds(7)}},
    {{"RandomRejections", 24, 40, 55, 34, 20, false, milliseconds(0), 20}},
};

std::ostream &operator<<(std::ostream &out, const EvenCase &row) {
  return out << row.Load.Name;
}

class EvenPlacement : public testing::TestWithParam<EvenCase> {};

/// Guards against overloading some instances while others are idle.
TEST_P(EvenPlacement, KeepsTheBusiestInstanceNearTheMean) {
  const EvenCase &row = GetParam();
  constexpr uint64_t Seeds = 3;
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    BalanceResult result =
        BalanceFleet(row.Load, balancePolicy("owner-even"), seed)
            .run(seconds(40));
    EXPECT_LE(result.BusiestOverMean, row.MaxBusiest) << "seed " << seed;
    EXPECT_LE(result.RemotePercent, row.MaxRemotePercent) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Table, EvenPlacement, testing::ValuesIn(EvenCases),
                         [](const auto &it) {
                           return std::string(it.param.Load.Name);
                         });

TEST(LoadSummary, ShowsTheBusiestInstanceUntilItsLoadIsOld) {
  // Guards against metrics of a service that this VM no longer owns.
  CatalogSpec catalog;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "s";
  service.Instances.emplace_back().Name = "a";
  service.Instances.emplace_back().Name = "b";
  CatalogIndex index;
  index.accept(catalog);
  DispatchPool pool(PlacementKind::Even, EjectionKind::Learned, 1);
  pool.acceptCatalog(index, ServiceHandle{0}, Start);
  EXPECT_FALSE(pool.loadSummary(Start));
  PoolInstance *it = pool.choose({VmHandle{1}, ZoneHandle{0}}, Start);
  for (uint32_t n = 0; n < 6; ++n)
    DispatchPool::occupySlot(
        *it, {VmHandle{1}, {n, 1}, 1, Start, Start + seconds(9), false});
  auto loads = pool.loadSummary(Start);
  ASSERT_TRUE(loads);
  EXPECT_NEAR(loads->Busiest, 2 * loads->Mean, 1e-9);
  EXPECT_FALSE(pool.loadSummary(Start + seconds(60)));
}

} // namespace

} // namespace guavasail
