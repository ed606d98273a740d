#include "member_fleet.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration SettleTime = seconds(20);
/// Detection takes up to one round of pings plus the suspicion timeout.
constexpr Duration DetectLimit = seconds(30);
constexpr Duration RejoinLimit = seconds(30);
constexpr size_t FleetSize = 8;
constexpr uint64_t Seed = 3;

bool allSee(const MemberFleet &fleet, size_t subject, VmState state) {
  size_t others = fleet.running() - (fleet.stopped(subject) ? 0 : 1);
  return fleet.count(subject, state) == others;
}

bool allAlive(const MemberFleet &fleet) {
  for (size_t n = 0; n < fleet.size(); ++n)
    if (!fleet.stopped(n) && !allSee(fleet, n, VmState::Alive))
      return false;
  return true;
}

MemberFleet settledFleet(size_t size = FleetSize) {
  MemberFleet fleet(size, MembershipKind::Probing, Seed);
  fleet.run(SettleTime);
  return fleet;
}

/// A fault of node 0 and its resulting state on every other node.
struct FaultCase {
  std::string_view Name;
  void (*Inject)(MemberFleet &fleet);
  VmState Expected;
};

const FaultCase FaultCases[] = {
    {"Stopped", [](MemberFleet &fleet) { fleet.stop(0); }, VmState::Gone},
    {"Isolated", [](MemberFleet &fleet) { fleet.setIsolated(0, true); },
     VmState::Gone},
    {"OutboundBlockedToAll",
     [](MemberFleet &fleet) {
       for (size_t n = 1; n < fleet.size(); ++n)
         fleet.setBlocked(0, n, true);
     },
     VmState::Gone},
    {"OutboundBlockedToOnePeer",
     [](MemberFleet &fleet) { fleet.setBlocked(0, 1, true); }, VmState::Alive},
    {"BlockedBothWaysWithOnePeer",
     [](MemberFleet &fleet) {
       fleet.setBlocked(0, 1, true);
       fleet.setBlocked(1, 0, true);
     },
     VmState::Alive},
    {"ShortPause",
     [](MemberFleet &fleet) { fleet.pause(0, milliseconds(900)); },
     VmState::Alive},
    {"LongPause", [](MemberFleet &fleet) { fleet.pause(0, seconds(60)); },
     VmState::Gone},
    {"Removed",
     [](MemberFleet &fleet) { fleet.publishList(fleet.specs().subspan(1)); },
     VmState::Removed},
    {"EmptyList", [](MemberFleet &fleet) { fleet.publishList({}); },
     VmState::Alive},
};

std::ostream &operator<<(std::ostream &out, const FaultCase &row) {
  return out << row.Name;
}

class MemberFault : public testing::TestWithParam<FaultCase> {};

TEST_P(MemberFault, IsDetectedByAllWithoutFalsePositives) {
  MemberFleet fleet = settledFleet();
  ASSERT_TRUE(allAlive(fleet));
  GetParam().Inject(fleet);
  fleet.run(DetectLimit, [&] {
    for (size_t n = 1; n < fleet.size(); ++n)
      ASSERT_EQ(fleet.count(n, VmState::Gone), 0u) << "node " << n;
  });
  EXPECT_EQ(fleet.count(0, GetParam().Expected), fleet.size() - 1);
}

INSTANTIATE_TEST_SUITE_P(Table, MemberFault, testing::ValuesIn(FaultCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Membership, PausedVmRejoinsAndLearnsThatItWasDeclaredGone) {
  MemberFleet fleet = settledFleet();
  uint64_t before = fleet.entry(1, 0).Incarnation;
  fleet.pause(0, seconds(60));
  fleet.run(seconds(59));
  ASSERT_TRUE(allSee(fleet, 0, VmState::Gone));
  fleet.run(RejoinLimit);
  EXPECT_TRUE(allAlive(fleet));
  EXPECT_GT(fleet.entry(1, 0).Incarnation, before);
  EXPECT_GT(fleet.view(0).DeclaredGoneAt, Instant{});
}

TEST(Membership, IsolatedVmDetectsItWithinSecondsAndRecovers) {
  MemberFleet fleet = settledFleet();
  EXPECT_FALSE(fleet.view(0).mayBeIsolated(fleet.now()));
  fleet.setIsolated(0, true);
  fleet.run(seconds(4));
  EXPECT_TRUE(fleet.view(0).mayBeIsolated(fleet.now()));
  EXPECT_FALSE(fleet.view(1).mayBeIsolated(fleet.now()));
  fleet.run(seconds(60));
  fleet.setIsolated(0, false);
  fleet.run(RejoinLimit);
  EXPECT_TRUE(allAlive(fleet));
  EXPECT_FALSE(fleet.view(0).mayBeIsolated(fleet.now()));
}

TEST(Membership, RemovedVmRejoinsOnceItIsListedAgain) {
  MemberFleet fleet = settledFleet();
  fleet.publishList(fleet.specs().subspan(1));
  fleet.run(DetectLimit);
  ASSERT_TRUE(allSee(fleet, 0, VmState::Removed));
  EXPECT_TRUE(fleet.view(0).SelfRemoved);
  fleet.publishList(fleet.specs());
  fleet.run(RejoinLimit);
  EXPECT_TRUE(allAlive(fleet));
}

TEST(MemberTable, UpdatesConvergeInAnyOrderOfArrival) {
  struct Update {
    VmState State;
    uint64_t Incarnation;
  };
  const Update ordered[] = {
      {VmState::Alive, 5},
      {VmState::Leaving, 5},
      {VmState::Suspect, 5},
      {VmState::Gone, 5},
      {VmState::Alive, 6},
      {VmState::Removed, 6},
      {VmState::Alive, MemberRefutationMask + 1},
  };
  for (size_t first = 0; first < std::size(ordered); ++first) {
    for (size_t second = 0; second < std::size(ordered); ++second) {
      MemberTable table;
      VmHandle vm = table.addOrUpdate({"a", "127.0.0.1", 1, "z", ""}, {}, {});
      for (size_t n : {first, second})
        table.apply(vm, ordered[n].State, ordered[n].Incarnation, {});
      EXPECT_EQ(table.at(vm).State, ordered[std::max(first, second)].State);
    }
  }
}

TEST(MemberTable, EvictsGoneVmsAndReusesTheirHandles) {
  MemberTable table;
  Instant now{seconds(1)};
  VmHandle old = table.addOrUpdate({"a", "127.0.0.1", 1, "z", ""}, {}, now);
  table.apply(old, VmState::Gone, 1, now);
  table.evictExpired(now + GoneMemberLifetime - seconds(1));
  EXPECT_EQ(table.find("a"), old);
  table.evictExpired(now + GoneMemberLifetime);
  EXPECT_FALSE(table.find("a").valid());
  VmHandle other = table.addOrUpdate({"b", "127.0.0.1", 1, "z", ""}, {}, now);
  EXPECT_EQ(other, old);
  EXPECT_EQ(table.at(other).Generation, 2u);
  EXPECT_EQ(table.at(other).State, VmState::Unknown);
}

/// Injects random faults, then clears them and checks the invariants.
class RandomFaultRun {
public:
  RandomFaultRun()
      : Fleet(*rc::gen::inRange<size_t>(3, 9), MembershipKind::Probing,
              *rc::gen::arbitrary<uint32_t>()) {
    Fleet.Quality.LossPercent = *rc::gen::inRange(0u, 15u);
    Fleet.Quality.RepeatPercent = *rc::gen::inRange(0u, 30u);
    Fleet.Quality.MaxDelay = milliseconds(*rc::gen::inRange(5, 80));
  }

  void run() {
    Fleet.run(SettleTime, [this] { checkIncarnations(); });
    auto faults = *rc::gen::inRange(1, 6);
    for (int n = 0; n < faults; ++n) {
      injectFault();
      Fleet.run(milliseconds(*rc::gen::inRange(100, 15000)),
                [this] { checkIncarnations(); });
    }
    clearFaults();
    Fleet.run(DetectLimit + RejoinLimit, [this] { checkIncarnations(); });
    checkFinalStates();
  }

private:
  void injectFault() {
    auto node = *rc::gen::inRange<size_t>(0, Fleet.size());
    auto other = *rc::gen::inRange<size_t>(0, Fleet.size());
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      if (Fleet.running() > 2)
        Fleet.stop(node);
      break;
    case 1:
      Fleet.pause(node, milliseconds(*rc::gen::inRange(100, 40000)));
      break;
    case 2:
      Fleet.setBlocked(node, other, true);
      break;
    default:
      Fleet.setIsolated(node, true);
    }
  }

  void clearFaults() {
    for (size_t n = 0; n < Fleet.size(); ++n) {
      Fleet.setIsolated(n, false);
      Fleet.pause(n, {});
    }
  }

  void checkIncarnations() {
    for (size_t n = 0; n < Fleet.size(); ++n) {
      for (size_t m = 0; m < Fleet.size(); ++m) {
        uint64_t &last = Incarnations[{n, m}];
        uint64_t now = Fleet.entry(n, m).Incarnation;
        RC_ASSERT(now >= last);
        last = now;
      }
    }
  }

  /// Under packet loss a live VM may be declared gone at any time, but not for
  /// long.
  void checkFinalStates() {
    for (size_t subject = 0; subject < Fleet.size(); ++subject) {
      if (Fleet.stopped(subject)) {
        RC_ASSERT(allSee(Fleet, subject, VmState::Gone));
        continue;
      }
      Duration wait = Fleet.runUntil(
          [&] { return Fleet.count(subject, VmState::Gone) == 0; },
          RejoinLimit);
      RC_ASSERT(wait < RejoinLimit);
    }
  }

  MemberFleet Fleet;
  std::map<std::pair<size_t, size_t>, uint64_t> Incarnations;
};

RC_GTEST_PROP(MembershipFuzz, StatesFollowTheFaults, ()) {
  RandomFaultRun().run();
}

} // namespace

} // namespace guavasail
