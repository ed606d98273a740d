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
/// A dead VM of a small fleet: its turn comes within one round of pings, then
/// it is suspect for one suspicion time.
constexpr Duration DetectLimit = seconds(30);
constexpr Duration RejoinLimit = seconds(30);
constexpr size_t FleetSize = 8;
constexpr uint64_t Seed = 3;

bool allSee(const MemberFleet &fleet, size_t subject, VmState state) {
  size_t others = fleet.running() - (fleet.dead(subject) ? 0 : 1);
  return fleet.count(subject, state) == others;
}

bool allAlive(const MemberFleet &fleet) {
  for (size_t n = 0; n < fleet.size(); ++n)
    if (!fleet.dead(n) && !allSee(fleet, n, VmState::Alive))
      return false;
  return true;
}

MemberFleet settledFleet(size_t size = FleetSize) {
  MemberFleet fleet(size, MembershipKind::Probing, Seed);
  fleet.run(SettleTime);
  return fleet;
}

/// One fault of node 0 and what every other node has to believe after it.
struct FaultCase {
  std::string_view Name;
  void (*Strike)(MemberFleet &fleet);
  VmState Expected;
};

const FaultCase FaultCases[] = {
    {"Dead", [](MemberFleet &fleet) { fleet.kill(0); }, VmState::Gone},
    {"CutOff", [](MemberFleet &fleet) { fleet.isolate(0, true); },
     VmState::Gone},
    {"CutOneWayFromAll",
     [](MemberFleet &fleet) {
       for (size_t n = 1; n < fleet.size(); ++n)
         fleet.cut(0, n, true);
     },
     VmState::Gone},
    {"OneWayCutToOnePeer", [](MemberFleet &fleet) { fleet.cut(0, 1, true); },
     VmState::Alive},
    {"CutFromOnePeer",
     [](MemberFleet &fleet) {
       fleet.cut(0, 1, true);
       fleet.cut(1, 0, true);
     },
     VmState::Alive},
    {"ShortPause",
     [](MemberFleet &fleet) { fleet.pause(0, milliseconds(900)); },
     VmState::Alive},
    {"LongPause", [](MemberFleet &fleet) { fleet.pause(0, seconds(60)); },
     VmState::Gone},
    {"Removed",
     [](MemberFleet &fleet) { fleet.readList(fleet.specs().subspan(1)); },
     VmState::Removed},
    {"EmptyList", [](MemberFleet &fleet) { fleet.readList({}); },
     VmState::Alive},
};

std::ostream &operator<<(std::ostream &out, const FaultCase &row) {
  return out << row.Name;
}

class MemberFault : public testing::TestWithParam<FaultCase> {};

TEST_P(MemberFault, IsSeenByAllAndNobodyElseIsAccused) {
  MemberFleet fleet = settledFleet();
  ASSERT_TRUE(allAlive(fleet));
  GetParam().Strike(fleet);
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

TEST(Membership, PausedVmRejoinsAndLearnsThatItWasThoughtGone) {
  MemberFleet fleet = settledFleet();
  uint64_t before = fleet.entry(1, 0).Incarnation;
  fleet.pause(0, seconds(60));
  fleet.run(seconds(59));
  ASSERT_TRUE(allSee(fleet, 0, VmState::Gone));
  fleet.run(RejoinLimit);
  EXPECT_TRUE(allAlive(fleet));
  EXPECT_GT(fleet.entry(1, 0).Incarnation, before);
  EXPECT_GT(fleet.view(0).ThoughtGone, Instant{});
}

TEST(Membership, CutOffVmKnowsItWithinSecondsAndRecovers) {
  MemberFleet fleet = settledFleet();
  EXPECT_FALSE(fleet.view(0).mayBeIsolated(fleet.now()));
  fleet.isolate(0, true);
  fleet.run(seconds(4));
  EXPECT_TRUE(fleet.view(0).mayBeIsolated(fleet.now()));
  EXPECT_FALSE(fleet.view(1).mayBeIsolated(fleet.now()));
  fleet.run(seconds(60));
  fleet.isolate(0, false);
  fleet.run(RejoinLimit);
  EXPECT_TRUE(allAlive(fleet));
  EXPECT_FALSE(fleet.view(0).mayBeIsolated(fleet.now()));
}

TEST(Membership, RemovedVmComesBackOnlyWhenItIsListedAgain) {
  MemberFleet fleet = settledFleet();
  fleet.readList(fleet.specs().subspan(1));
  fleet.run(DetectLimit);
  ASSERT_TRUE(allSee(fleet, 0, VmState::Removed));
  EXPECT_TRUE(fleet.view(0).SelfRemoved);
  fleet.readList(fleet.specs());
  fleet.run(RejoinLimit);
  EXPECT_TRUE(allAlive(fleet));
}

TEST(MemberTable, StatementsAreOrderedWhateverTheArrival) {
  struct Statement {
    VmState State;
    uint64_t Incarnation;
  };
  const Statement ordered[] = {
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
      VmHandle vm = table.intern({"a", "127.0.0.1", 1, "z", ""}, {}, {});
      for (size_t n : {first, second})
        table.apply(vm, ordered[n].State, ordered[n].Incarnation, {});
      EXPECT_EQ(table.at(vm).State, ordered[std::max(first, second)].State);
    }
  }
}

TEST(MemberTable, ForgetsAndUsesHandlesAgainAfterTheWait) {
  MemberTable table;
  Instant now{seconds(1)};
  VmHandle old = table.intern({"a", "127.0.0.1", 1, "z", ""}, {}, now);
  table.apply(old, VmState::Gone, 1, now);
  table.forgetOld(now + MemberForgetAfter - seconds(1));
  EXPECT_EQ(table.find("a"), old);
  table.forgetOld(now + MemberForgetAfter);
  EXPECT_FALSE(table.find("a").valid());
  VmHandle other = table.intern({"b", "127.0.0.1", 1, "z", ""}, {}, now);
  EXPECT_EQ(other, old);
  EXPECT_EQ(table.at(other).Generation, 2u);
  EXPECT_EQ(table.at(other).State, VmState::Unknown);
}

/// Strikes at random, then heals and checks what must hold.
class RandomRun {
public:
  RandomRun()
      : Fleet(*rc::gen::inRange<size_t>(3, 9), MembershipKind::Probing,
              *rc::gen::arbitrary<uint32_t>()) {
    Fleet.Quality.LossPercent = *rc::gen::inRange(0u, 15u);
    Fleet.Quality.RepeatPercent = *rc::gen::inRange(0u, 30u);
    Fleet.Quality.MostDelay = milliseconds(*rc::gen::inRange(5, 80));
  }

  void run() {
    Fleet.run(SettleTime, [this] { checkIncarnations(); });
    auto strikes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < strikes; ++n) {
      strike();
      Fleet.run(milliseconds(*rc::gen::inRange(100, 15000)),
                [this] { checkIncarnations(); });
    }
    heal();
    Fleet.run(DetectLimit + RejoinLimit, [this] { checkIncarnations(); });
    checkBeliefs();
  }

private:
  void strike() {
    auto node = *rc::gen::inRange<size_t>(0, Fleet.size());
    auto other = *rc::gen::inRange<size_t>(0, Fleet.size());
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      if (Fleet.running() > 2)
        Fleet.kill(node);
      break;
    case 1:
      Fleet.pause(node, milliseconds(*rc::gen::inRange(100, 40000)));
      break;
    case 2:
      Fleet.cut(node, other, true);
      break;
    default:
      Fleet.isolate(node, true);
    }
  }

  void heal() {
    for (size_t n = 0; n < Fleet.size(); ++n) {
      Fleet.isolate(n, false);
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

  /// Under loss a live VM may be accused at any moment, but not for long.
  void checkBeliefs() {
    for (size_t subject = 0; subject < Fleet.size(); ++subject) {
      if (Fleet.dead(subject)) {
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

RC_GTEST_PROP(MembershipFuzz, BeliefsFollowTheFaults, ()) { RandomRun().run(); }

} // namespace

} // namespace guavasail
