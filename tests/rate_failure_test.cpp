/// \file
/// Hand-made failures, one row each. Every row checks the window bound and
/// that the fleet went on admitting what it should.
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
/// A workspace that needs ten seconds to fill its burst shows what was
/// forgotten.
constexpr uint32_t SlowRate = 2;

struct FailureRow {
  const char *Name;
  RateStrategyKind Strategy;
  uint32_t Vms;
  uint32_t Zones;
  Duration Term;
  void (*Run)(RateFleet &fleet);
  /// Least admissions in a storm of ten seconds afterwards.
  uint64_t AdmittedAfter;
};

/// \returns the VM that owns most shares.
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
      fleet.cut(vm, other, on);
    else
      fleet.cut(other, vm, on);
}

void grantsLost(RateFleet &fleet) {
  cutAll(fleet, ownerOf(fleet), true, true);
  storm(fleet, seconds(2));
  cutAll(fleet, ownerOf(fleet), true, false);
}

void asksLost(RateFleet &fleet) {
  cutAll(fleet, ownerOf(fleet), false, true);
  storm(fleet, seconds(2));
  cutAll(fleet, ownerOf(fleet), false, false);
}

void pausedPastLease(RateFleet &fleet) {
  uint32_t owner = ownerOf(fleet);
  fleet.pause(owner, seconds(20));
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    fleet.believe(vm, owner, false);
  trickle(fleet, seconds(19), 3);
  storm(fleet, milliseconds(1500));
}

void replacedWhileServing(RateFleet &fleet) {
  for (uint32_t n = 0; n < 40; ++n) {
    replaceOwner(fleet, ownerOf(fleet), milliseconds(3500 + 100 * n),
                 milliseconds(500 + 60 * (n % 16)));
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
      for (uint32_t other = 0; other < fleet.vms(); ++other)
        fleet.believe(vm, other, true);
    fleet.run(seconds(8));
  }
}

void ownerRestarts(RateFleet &fleet) {
  uint32_t owner = ownerOf(fleet);
  storm(fleet, milliseconds(50));
  fleet.crash(owner);
  fleet.start(owner);
  storm(fleet, seconds(1));
}

void repeatedToRestarted(RateFleet &fleet) {
  for (uint32_t n = 0; n < 200; ++n) {
    fleet.faults(0, 900);
    fleet.slow(milliseconds(40));
    storm(fleet, milliseconds(20));
    fleet.crash(n % fleet.vms());
    fleet.start(n % fleet.vms());
    storm(fleet, milliseconds(30));
    fleet.run(milliseconds(300));
  }
  fleet.faults(0, 0);
  fleet.slow(milliseconds(0));
}

void storeAway(RateFleet &fleet) {
  fleet.storeAway(true);
  fleet.run(hours(2));
}

void storeAwayAndBack(RateFleet &fleet) {
  fleet.storeAway(true);
  fleet.run(seconds(30));
  storm(fleet, seconds(1));
  fleet.storeAway(false);
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
    fleet.clockDrift(vm, 500);
  storm(fleet, seconds(60));
}

void unevenClocks(RateFleet &fleet) {
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    fleet.clockDrift(vm, vm % 2 == 0 ? 500 : -500);
  replacedWhileServing(fleet);
}

void handedOver(RateFleet &fleet) {
  uint32_t owner = ownerOf(fleet);
  trickle(fleet, seconds(1), 1);
  fleet.drain(owner);
  storm(fleet, seconds(1));
  fleet.crash(owner);
  storm(fleet, seconds(6));
}

void claimedAgain(RateFleet &fleet) {
  // The same VM owns the share again; its tokens of before do not count.
  for (uint32_t n = 0; n < 20; ++n) {
    fleet.run(seconds(2));
    fleet.storeAway(true);
    fleet.run(milliseconds(6100));
    fleet.storeAway(false);
    fleet.run(milliseconds(100 * n));
    storm(fleet, milliseconds(100));
  }
}

void lateMessages(RateFleet &fleet) {
  fleet.slow(milliseconds(900));
  for (uint32_t n = 0; n < 40; ++n) {
    trickle(fleet, milliseconds(1500), n);
    fleet.run(milliseconds(100 * (n % 22)));
    storm(fleet, milliseconds(20));
  }
  fleet.slow(milliseconds(0));
  fleet.run(seconds(3));
}

void renewedUnseen(RateFleet &fleet) {
  // The lease is extended while the workspace rests; the tick after the old
  // end must not forget what was spent.
  uint32_t owner = ownerOf(fleet);
  for (uint32_t n = 0; n < 30; ++n) {
    storm(fleet, milliseconds(40));
    fleet.storeReach(owner, false);
    fleet.run(milliseconds(5000));
    fleet.storeReach(owner, true);
    storm(fleet, milliseconds(40));
    fleet.run(milliseconds(950));
    storm(fleet, milliseconds(40));
    fleet.run(milliseconds(37 * n));
  }
  fleet.run(seconds(10));
}

void lateRenewal(RateFleet &fleet) {
  // The owner sleeps over the end of its lease while a renewal is under way.
  for (uint32_t n = 0; n < 30; ++n) {
    storm(fleet, milliseconds(40));
    fleet.slow(milliseconds(1900));
    fleet.run(milliseconds(1000 + 83 * n));
    fleet.pause(ownerOf(fleet), milliseconds(4500));
    fleet.run(milliseconds(4600));
    storm(fleet, milliseconds(100));
  }
  fleet.slow(milliseconds(0));
  fleet.run(seconds(10));
}

void repeatedCloses(RateFleet &fleet) {
  fleet.faults(100, 900);
  for (uint32_t n = 0; n < 40; ++n) {
    trickle(fleet, milliseconds(800), n);
    fleet.run(milliseconds(100 * (n % 22)));
    storm(fleet, milliseconds(20));
  }
  fleet.faults(0, 0);
}

void zoneLost(RateFleet &fleet) {
  fleet.crash(0);
  fleet.crash(4);
  fleet.run(seconds(10));
}

void thirdReplacedInOutage(RateFleet &fleet) {
  fleet.storeAway(true);
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
constexpr Duration Own{};

// Ten seconds at the rate are 400 admissions, less the drift margin.
constexpr uint64_t Full = 395;

constexpr auto Rows = std::to_array<FailureRow>({
    {"CentralGrantsLost", Central, 3, 1, Own, grantsLost, Full},
    {"CentralAsksLost", Central, 3, 1, Own, asksLost, Full},
    {"SharesGrantsLost", Shares, 8, 4, Own, grantsLost, Full},
    {"SharesAsksLost", Shares, 8, 4, Own, asksLost, Full},
    {"CentralPausedPastLease", Central, 3, 1, Own, pausedPastLease, Full},
    {"RelayPausedPastLease", Relay, 4, 2, Own, pausedPastLease, Full},
    {"SharesPausedPastLease", Shares, 4, 2, seconds(6), pausedPastLease, Full},
    {"CentralReplacedWhileServing", Central, 4, 1, seconds(6),
     replacedWhileServing, 0},
    {"SharesReplacedWhileServing", Shares, 4, 2, seconds(6),
     replacedWhileServing, 0},
    {"CentralOwnerRestarts", Central, 3, 1, Own, ownerRestarts, 0},
    {"SharesOwnerRestarts", Shares, 8, 4, Own, ownerRestarts, 295},
    {"CentralRepeatedToRestarted", Central, 4, 1, seconds(6),
     repeatedToRestarted, 0},
    {"SharesRepeatedToRestarted", Shares, 4, 2, seconds(6), repeatedToRestarted,
     0},
    {"CentralStoreAwayTwoHours", Central, 3, 1, Own, storeAway, 0},
    {"SharesStoreAwayTwoHours", Shares, 8, 4, Own, storeAway, Full},
    {"CentralStoreAwayAndBack", Central, 3, 1, Own, storeAwayAndBack, Full},
    {"CentralClaimRepliesLost", Central, 3, 1, Own, claimRepliesLost, Full},
    {"CentralFastClocks", Central, 3, 1, Own, fastClocks, Full},
    {"SharesFastClocks", Shares, 4, 4, Own, fastClocks, Full},
    {"CentralUnevenClocks", Central, 4, 1, seconds(6), unevenClocks, 0},
    {"SharesHandedOver", Shares, 8, 4, Own, handedOver, 350},
    {"CentralClaimedAgain", Central, 1, 1, seconds(6), claimedAgain, 0},
    {"SharesClaimedAgain", Shares, 4, 4, seconds(6), claimedAgain, 0},
    {"CentralRenewedUnseen", Central, 3, 1, seconds(6), renewedUnseen, Full},
    {"CentralLateRenewal", Central, 3, 1, seconds(6), lateRenewal, 0},
    {"CentralLateMessages", Central, 4, 1, Own, lateMessages, Full},
    {"SharesLateMessages", Shares, 8, 2, Own, lateMessages, Full},
    {"CentralRepeatedCloses", Central, 4, 1, Own, repeatedCloses, Full},
    {"SharesRepeatedCloses", Shares, 8, 2, Own, repeatedCloses, Full},
    {"SharesZoneLost", Shares, 8, 4, Own, zoneLost, 295},
    {"SharesThirdReplacedInOutage", Shares, 9, 3, Own, thirdReplacedInOutage,
     0},
});

class RateFailure : public testing::TestWithParam<FailureRow> {};

TEST_P(RateFailure, KeepsTheBound) {
  const FailureRow &row = GetParam();
  FleetInit init;
  init.Strategy = row.Strategy;
  init.Vms = row.Vms;
  init.Zones = row.Zones;
  init.Term = row.Term;
  init.Partitions = 1;
  init.Limits = {{rateKey("a"), SampleRate, SampleBurst},
                 {rateKey("slow"), SlowRate, SampleBurst}};
  RateFleet fleet(init);
  fleet.run(seconds(10));
  storm(fleet, milliseconds(100));
  EXPECT_GT(fleet.admitted(), 0U);
  row.Run(fleet);
  uint64_t before = fleet.result(0).Admitted;
  storm(fleet, seconds(10));
  EXPECT_LE(fleet.maxExcess(), 0);
  EXPECT_GE(fleet.result(0).Admitted - before, row.AdmittedAfter);
}

INSTANTIATE_TEST_SUITE_P(Rows, RateFailure, testing::ValuesIn(Rows),
                         [](const auto &it) { return it.param.Name; });

} // namespace

} // namespace guavasail
