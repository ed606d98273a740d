/// \file
/// Scripted failures, one per row. Each row checks that the rate limit holds in
/// every window and that the fleet still admits enough requests afterwards.
#include "rate_fleet.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace guavasail {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t SampleRate = 40;
constexpr uint32_t SampleBurst = 20;
/// Refills the burst in ten seconds, so tokens that are wrongly forgotten show
/// up as excess admissions.
constexpr uint32_t SlowRate = 2;

struct FailureRow {
  const char *Name;
  RateStrategyKind Strategy;
  uint32_t Vms;
  uint32_t Zones;
  Duration LeaseTerm;
  void (*Run)(RateFleet &fleet);
  /// Admissions required in ten seconds of saturating load afterwards.
  uint64_t MinAdmittedAfter;
};

/// \returns the VM that owns the most shares.
uint32_t ownerOf(RateFleet &fleet) {
  uint32_t best = 0;
  for (uint32_t vm = 1; vm < fleet.vms(); ++vm)
    if (fleet.ownedShares(vm) > fleet.ownedShares(best))
      best = vm;
  return best;
}

void cutAll(RateFleet &fleet, uint32_t vm, bool out, bool on) {
  for (uint32_t other = 0; other < fleet.vms(); ++other)
    if (out)
      fleet.setCut(vm, other, on);
    else
      fleet.setCut(other, vm, on);
}

void grantsLost(RateFleet &fleet) {
  cutAll(fleet, ownerOf(fleet), true, true);
  saturate(fleet, seconds(2));
  cutAll(fleet, ownerOf(fleet), true, false);
}

void requestsLost(RateFleet &fleet) {
  cutAll(fleet, ownerOf(fleet), false, true);
  saturate(fleet, seconds(2));
  cutAll(fleet, ownerOf(fleet), false, false);
}

void ownerPausedPastLease(RateFleet &fleet) {
  uint32_t owner = ownerOf(fleet);
  fleet.pause(owner, seconds(20));
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    fleet.setBelievedUsable(vm, owner, false);
  offerHalfRate(fleet, seconds(19), 3);
  saturate(fleet, milliseconds(1500));
}

void replacedWhileServing(RateFleet &fleet) {
  for (uint32_t n = 0; n < 40; ++n) {
    replaceOwner(fleet, ownerOf(fleet), milliseconds(3500 + 100 * n),
                 milliseconds(500 + 60 * (n % 16)));
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
      for (uint32_t other = 0; other < fleet.vms(); ++other)
        fleet.setBelievedUsable(vm, other, true);
    fleet.run(seconds(8));
  }
}

void ownerRestarts(RateFleet &fleet) {
  uint32_t owner = ownerOf(fleet);
  saturate(fleet, milliseconds(50));
  fleet.crash(owner);
  fleet.start(owner);
  saturate(fleet, seconds(1));
}

void duplicatesAfterRestart(RateFleet &fleet) {
  for (uint32_t n = 0; n < 200; ++n) {
    fleet.setMessageFaults(0, 900);
    fleet.setMaxExtraStoreDelay(milliseconds(40));
    saturate(fleet, milliseconds(20));
    fleet.crash(n % fleet.vms());
    fleet.start(n % fleet.vms());
    saturate(fleet, milliseconds(30));
    fleet.run(milliseconds(300));
  }
  fleet.setMessageFaults(0, 0);
  fleet.setMaxExtraStoreDelay(milliseconds(0));
}

void storeOutage(RateFleet &fleet) {
  fleet.setStoreUnavailable(true);
  fleet.run(hours(2));
}

void storeOutageAndRecovery(RateFleet &fleet) {
  fleet.setStoreUnavailable(true);
  fleet.run(seconds(30));
  saturate(fleet, seconds(1));
  fleet.setStoreUnavailable(false);
  fleet.run(seconds(10));
}

void claimRepliesLost(RateFleet &fleet) {
  fleet.loseStoreReplies(6);
  fleet.run(seconds(4));
  replaceOwner(fleet, ownerOf(fleet), seconds(11), seconds(1));
  fleet.loseStoreReplies(3);
  fleet.run(seconds(20));
}

void fastClocks(RateFleet &fleet) {
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    fleet.setClockDrift(vm, 500);
  saturate(fleet, seconds(60));
}

void unevenClocks(RateFleet &fleet) {
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    fleet.setClockDrift(vm, vm % 2 == 0 ? 500 : -500);
  replacedWhileServing(fleet);
}

void ownerDrained(RateFleet &fleet) {
  uint32_t owner = ownerOf(fleet);
  offerHalfRate(fleet, seconds(1), 1);
  fleet.drain(owner);
  saturate(fleet, seconds(1));
  fleet.crash(owner);
  saturate(fleet, seconds(6));
}

void reclaimedBySameOwner(RateFleet &fleet) {
  // The same VM owns the share again; tokens of its earlier lease are void.
  for (uint32_t n = 0; n < 20; ++n) {
    fleet.run(seconds(2));
    fleet.setStoreUnavailable(true);
    fleet.run(milliseconds(6100));
    fleet.setStoreUnavailable(false);
    fleet.run(milliseconds(100 * n));
    saturate(fleet, milliseconds(100));
  }
}

void lateMessages(RateFleet &fleet) {
  fleet.setMaxExtraStoreDelay(milliseconds(900));
  for (uint32_t n = 0; n < 40; ++n) {
    offerHalfRate(fleet, milliseconds(1500), n);
    fleet.run(milliseconds(100 * (n % 22)));
    saturate(fleet, milliseconds(20));
  }
  fleet.setMaxExtraStoreDelay(milliseconds(0));
  fleet.run(seconds(3));
}

void renewedWhileIdle(RateFleet &fleet) {
  // The lease is renewed while the workspace is idle; cleanup after the old end
  // must not forget the spent tokens.
  uint32_t owner = ownerOf(fleet);
  for (uint32_t n = 0; n < 30; ++n) {
    saturate(fleet, milliseconds(40));
    fleet.setStoreReachable(owner, false);
    fleet.run(milliseconds(5000));
    fleet.setStoreReachable(owner, true);
    saturate(fleet, milliseconds(40));
    fleet.run(milliseconds(950));
    saturate(fleet, milliseconds(40));
    fleet.run(milliseconds(37 * n));
  }
  fleet.run(seconds(10));
}

void lateRenewal(RateFleet &fleet) {
  // The owner is paused past the end of its lease during a pending renewal.
  for (uint32_t n = 0; n < 30; ++n) {
    saturate(fleet, milliseconds(40));
    fleet.setMaxExtraStoreDelay(milliseconds(1900));
    fleet.run(milliseconds(1000 + 83 * n));
    fleet.pause(ownerOf(fleet), milliseconds(4500));
    fleet.run(milliseconds(4600));
    saturate(fleet, milliseconds(100));
  }
  fleet.setMaxExtraStoreDelay(milliseconds(0));
  fleet.run(seconds(10));
}

void duplicateCloses(RateFleet &fleet) {
  fleet.setMessageFaults(100, 900);
  for (uint32_t n = 0; n < 40; ++n) {
    offerHalfRate(fleet, milliseconds(800), n);
    fleet.run(milliseconds(100 * (n % 22)));
    saturate(fleet, milliseconds(20));
  }
  fleet.setMessageFaults(0, 0);
}

void zoneLost(RateFleet &fleet) {
  fleet.crash(0);
  fleet.crash(4);
  fleet.run(seconds(10));
}

void thirdRestartedDuringOutage(RateFleet &fleet) {
  fleet.setStoreUnavailable(true);
  for (uint32_t vm = 0; vm < fleet.vms(); vm += 3) {
    fleet.crash(vm);
    fleet.run(seconds(1));
    fleet.start(vm);
  }
  fleet.run(seconds(10));
}

constexpr auto Central = RateStrategyKind::Central;
constexpr auto Relay = RateStrategyKind::ZoneRelay;
constexpr auto Shares = RateStrategyKind::ZoneShares;
constexpr Duration DefaultTerm{};

// Ten seconds at `SampleRate` allow 400 admissions, less the drift margin.
constexpr uint64_t FullRateAdmissions = 395;

constexpr auto Rows = std::to_array<FailureRow>({
    {"CentralGrantsLost", Central, 3, 1, DefaultTerm, grantsLost,
     FullRateAdmissions},
    {"CentralRequestsLost", Central, 3, 1, DefaultTerm, requestsLost,
     FullRateAdmissions},
    {"SharesGrantsLost", Shares, 8, 4, DefaultTerm, grantsLost,
     FullRateAdmissions},
    {"SharesRequestsLost", Shares, 8, 4, DefaultTerm, requestsLost,
     FullRateAdmissions},
    {"CentralPausedPastLease", Central, 3, 1, DefaultTerm, ownerPausedPastLease,
     FullRateAdmissions},
    {"RelayPausedPastLease", Relay, 4, 2, DefaultTerm, ownerPausedPastLease,
     FullRateAdmissions},
    {"SharesPausedPastLease", Shares, 4, 2, seconds(6), ownerPausedPastLease,
     FullRateAdmissions},
    {"CentralReplacedWhileServing", Central, 4, 1, seconds(6),
     replacedWhileServing, 0},
    {"SharesReplacedWhileServing", Shares, 4, 2, seconds(6),
     replacedWhileServing, 0},
    {"CentralOwnerRestarts", Central, 3, 1, DefaultTerm, ownerRestarts, 0},
    {"SharesOwnerRestarts", Shares, 8, 4, DefaultTerm, ownerRestarts, 295},
    {"CentralDuplicatesAfterRestart", Central, 4, 1, seconds(6),
     duplicatesAfterRestart, 0},
    {"SharesDuplicatesAfterRestart", Shares, 4, 2, seconds(6),
     duplicatesAfterRestart, 0},
    {"CentralStoreOutageTwoHours", Central, 3, 1, DefaultTerm, storeOutage, 0},
    {"SharesStoreOutageTwoHours", Shares, 8, 4, DefaultTerm, storeOutage,
     FullRateAdmissions},
    {"CentralStoreOutageAndRecovery", Central, 3, 1, DefaultTerm,
     storeOutageAndRecovery, FullRateAdmissions},
    {"CentralClaimRepliesLost", Central, 3, 1, DefaultTerm, claimRepliesLost,
     FullRateAdmissions},
    {"CentralFastClocks", Central, 3, 1, DefaultTerm, fastClocks,
     FullRateAdmissions},
    {"SharesFastClocks", Shares, 4, 4, DefaultTerm, fastClocks,
     FullRateAdmissions},
    {"CentralUnevenClocks", Central, 4, 1, seconds(6), unevenClocks, 0},
    {"SharesOwnerDrained", Shares, 8, 4, DefaultTerm, ownerDrained, 350},
    {"CentralReclaimed", Central, 1, 1, seconds(6), reclaimedBySameOwner, 0},
    {"SharesReclaimed", Shares, 4, 4, seconds(6), reclaimedBySameOwner, 0},
    {"CentralRenewedWhileIdle", Central, 3, 1, seconds(6), renewedWhileIdle,
     FullRateAdmissions},
    {"CentralLateRenewal", Central, 3, 1, seconds(6), lateRenewal, 0},
    {"CentralLateMessages", Central, 4, 1, DefaultTerm, lateMessages,
     FullRateAdmissions},
    {"SharesLateMessages", Shares, 8, 2, DefaultTerm, lateMessages,
     FullRateAdmissions},
    {"CentralDuplicateCloses", Central, 4, 1, DefaultTerm, duplicateCloses,
     FullRateAdmissions},
    {"SharesDuplicateCloses", Shares, 8, 2, DefaultTerm, duplicateCloses,
     FullRateAdmissions},
    {"SharesZoneLost", Shares, 8, 4, DefaultTerm, zoneLost, 295},
    {"SharesThirdRestartedDuringOutage", Shares, 9, 3, DefaultTerm,
     thirdRestartedDuringOutage, 0},
});

class RateFailure : public testing::TestWithParam<FailureRow> {};

TEST_P(RateFailure, StaysWithinLimit) {
  const FailureRow &row = GetParam();
  FleetInit init;
  init.Strategy = row.Strategy;
  init.Vms = row.Vms;
  init.Zones = row.Zones;
  init.LeaseTerm = row.LeaseTerm;
  init.Partitions = 1;
  init.Limits = {{rateKey("a"), SampleRate, SampleBurst},
                 {rateKey("slow"), SlowRate, SampleBurst}};
  RateFleet fleet(init);
  fleet.run(seconds(10));
  saturate(fleet, milliseconds(100));
  EXPECT_GT(fleet.admitted(), 0U);
  row.Run(fleet);
  uint64_t before = fleet.result(0).Admitted;
  saturate(fleet, seconds(10));
  EXPECT_LE(fleet.maxExcess(), 0);
  EXPECT_GE(fleet.result(0).Admitted - before, row.MinAdmittedAfter);
}

INSTANTIATE_TEST_SUITE_P(Rows, RateFailure, testing::ValuesIn(Rows),
                         [](const auto &it) { return it.param.Name; });

} // namespace

} // namespace guavasail
