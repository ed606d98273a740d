/// \file
/// Placement, waiting and refusals: load patterns replayed in virtual time.
#include "dispatcher.h"
#include "quota.h"
#include "rendezvous.h"

#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(1000)};
constexpr VmHandle Asker{1};

CatalogSpec catalogOf(uint32_t instances, uint32_t slots) {
  CatalogSpec spec;
  ServiceSpec &service = spec.Services.emplace_back();
  service.Name = "s";
  for (uint32_t n = 0; n < instances; ++n) {
    InstanceSpec &it = service.Instances.emplace_back();
    it.Name = "i" + std::to_string(n);
    it.Zone = "z" + std::to_string(n % 2);
    it.Slots = slots;
  }
  return spec;
}

uint64_t instanceKeyOf(uint32_t n) {
  return rendezvousKey("s/i" + std::to_string(n), 0);
}

PlacementRequest askOf(uint32_t number, milliseconds useful = seconds(2),
               milliseconds remaining = seconds(4)) {
  PlacementRequest ask;
  ask.Service = rendezvousKey("s", 0);
  ask.Request = {number, 1};
  ask.Ordinal = 1;
  ask.Idempotent = true;
  ask.ObjectiveRemaining = useful;
  ask.Remaining = remaining;
  return ask;
}

PlacementRelease doneOf(const PlacementReply &grant, AttemptOutcome outcome,
                 Duration took = milliseconds(300)) {
  PlacementRelease done;
  done.Service = rendezvousKey("s", 0);
  done.Request = grant.Request;
  done.Ordinal = grant.Ordinal;
  done.Instance = grant.Instance;
  done.Outcome = outcome;
  done.Elapsed = took;
  return done;
}

/// A dispatcher with one service.
struct Bench {
  explicit Bench(uint32_t instances, uint32_t slots, DispatchInit init = {})
      : Decisions(init) {
    Index.accept(catalogOf(instances, slots));
    Decisions.acceptCatalog(Index, Start);
  }

  PlacementReply ask(const PlacementRequest &ask, Instant now, VmHandle vm = Asker) {
    Decisions.clearOutput();
    Decisions.onAsk(vm, ZoneHandle{0}, ask, now);
    EXPECT_FALSE(Decisions.output().empty());
    return Decisions.output().back().Reply;
  }

  CatalogIndex Index;
  Dispatcher Decisions;
};

TEST(Placement, FillsNoInstanceWhileAnotherIsFree) {
  Bench bench(4, 2);
  std::map<uint64_t, int> used;
  for (uint32_t n = 0; n < 8; ++n) {
    PlacementReply reply = bench.ask(askOf(n), Start);
    ASSERT_EQ(reply.Verdict, PlacementVerdict::Granted);
    EXPECT_LE(++used[reply.Instance], 2);
  }
  EXPECT_EQ(used.size(), 4u);
  EXPECT_EQ(bench.ask(askOf(8), Start).Verdict, PlacementVerdict::Queued);
}

TEST(Placement, KeepsLargeAnswersInTheZone) {
  Bench bench(4, 4);
  ZoneHandle zone = bench.Index.zone("z0");
  for (uint32_t n = 0; n < 4; ++n) {
    PlacementRequest ask = askOf(n);
    ask.Large = true;
    bench.Decisions.clearOutput();
    bench.Decisions.onAsk(Asker, zone, ask, Start);
    uint64_t key = bench.Decisions.output().back().Reply.Instance;
    EXPECT_TRUE(key == instanceKeyOf(0) || key == instanceKeyOf(2));
  }
}

/// Outcomes of an instance's first requests, and whether it is used next.
struct FailureCase {
  std::string_view Name;
  std::vector<std::pair<AttemptOutcome, uint32_t>> Seen;
  bool Used;
};

const FailureCase Failures[] = {
    {"OneReset", {{AttemptOutcome::Fault, 1}}, false},
    {"OneError", {{AttemptOutcome::Error, 1}}, true},
    {"ThreeErrors",
     {{AttemptOutcome::Error, 1},
      {AttemptOutcome::Error, 2},
      {AttemptOutcome::Error, 3}},
     false},
    {"OneVmCannotReachIt", {{AttemptOutcome::Unreachable, 1}}, true},
    {"TwoVmsCannotReachIt",
     {{AttemptOutcome::Unreachable, 1}, {AttemptOutcome::Unreachable, 2}},
     false},
    {"CallersLeft",
     {{AttemptOutcome::Cancelled, 1}, {AttemptOutcome::Cancelled, 2}},
     true},
};

std::ostream &operator<<(std::ostream &out, const FailureCase &row) {
  return out << row.Name;
}

class InstanceFailure : public testing::TestWithParam<FailureCase> {};

TEST_P(InstanceFailure, DecidesItsUse) {
  SeatHealth health;
  Instant now = Start;
  for (auto [outcome, vm] : GetParam().Seen)
    health.note(outcome, VmHandle{vm}, milliseconds(5), milliseconds(300),
                now += milliseconds(10));
  EXPECT_EQ(health.state(now) == SeatState::Sound, GetParam().Used);
}

INSTANTIATE_TEST_SUITE_P(Table, InstanceFailure, testing::ValuesIn(Failures),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(InstanceFailure, PathFaultOfOneVmLeavesOthers) {
  SeatHealth health;
  health.note(AttemptOutcome::Unreachable, VmHandle{1}, {}, milliseconds(300),
              Start);
  EXPECT_TRUE(health.pathBroken(VmHandle{1}, Start));
  EXPECT_FALSE(health.pathBroken(VmHandle{2}, Start));
}

TEST(InstanceFailure, OneThatFailedComesBackByTrial) {
  SeatHealth health;
  health.note(AttemptOutcome::Fault, VmHandle{1}, milliseconds(5),
              milliseconds(300), Start);
  EXPECT_EQ(health.state(Start + seconds(1)), SeatState::Ejected);
  EXPECT_EQ(health.state(Start + seconds(2)), SeatState::Trial);
  health.note(AttemptOutcome::Ok, VmHandle{1}, milliseconds(300),
              milliseconds(300), Start + milliseconds(2400));
  // One good answer may be luck.
  EXPECT_EQ(health.state(Start + milliseconds(2400)), SeatState::Trial);
  health.note(AttemptOutcome::Ok, VmHandle{1}, milliseconds(300),
              milliseconds(300), Start + milliseconds(2800));
  EXPECT_EQ(health.state(Start + milliseconds(2800)), SeatState::Sound);
}

TEST(Floor, MostInstancesStayInUseWhenAllFail) {
  Bench bench(10, 1);
  std::vector<PlacementReply> grants;
  for (uint32_t n = 0; n < 10; ++n)
    grants.push_back(bench.ask(askOf(n), Start));
  for (const PlacementReply &it : grants)
    bench.Decisions.onDone(Asker,
                           doneOf(it, AttemptOutcome::Fault, milliseconds(5)),
                           Start + milliseconds(10));
  int granted = 0;
  for (uint32_t n = 20; n < 30; ++n)
    granted += bench.ask(askOf(n), Start + milliseconds(20)).Verdict ==
                       PlacementVerdict::Granted
                   ? 1
                   : 0;
  EXPECT_GE(granted, 7);
}

TEST(Crashes, RequestThatLosesThreeInstancesIsRefused) {
  Bench bench(6, 2);
  Instant now = Start;
  for (uint32_t n = 0; n < 3; ++n) {
    PlacementRequest ask = askOf(n);
    ask.Fingerprint = 77;
    PlacementReply reply = bench.ask(ask, now);
    ASSERT_EQ(reply.Verdict, PlacementVerdict::Granted);
    PlacementRelease done = doneOf(reply, AttemptOutcome::Fault);
    done.Fingerprint = 77;
    bench.Decisions.onDone(Asker, done, now += milliseconds(100));
  }
  PlacementRequest ask = askOf(9);
  ask.Fingerprint = 77;
  EXPECT_EQ(bench.ask(ask, now).Verdict, PlacementVerdict::Quarantined);
  ask.Fingerprint = 78;
  EXPECT_EQ(bench.ask(ask, now).Verdict, PlacementVerdict::Granted);
}

TEST(Budget, RepeatsAreAShareOfTheRequests) {
  RetryBudget budget(20, 3, seconds(10));
  for (int n = 0; n < 50; ++n)
    budget.noteRequest(Start);
  int taken = 0;
  while (budget.takeRepeat(Start + seconds(1)) && taken < 100)
    ++taken;
  EXPECT_EQ(taken, 13);
  EXPECT_FALSE(budget.takeRepeat(Start + seconds(9)));
  EXPECT_TRUE(budget.takeRepeat(Start + seconds(12)));
}

TEST(Placement, ServiceWithoutInstancesRefusesAtOnce) {
  Bench bench(2, 2);
  CatalogSpec spec = catalogOf(2, 2);
  for (InstanceSpec &it : spec.Services[0].Instances)
    it.Leaving = true;
  bench.Index.accept(spec);
  bench.Decisions.acceptCatalog(bench.Index, Start);
  EXPECT_EQ(bench.ask(askOf(1), Start).Verdict, PlacementVerdict::Overloaded);
}

TEST(Slots, OfAVmThatIsGoneAreFree) {
  Bench bench(1, 1);
  ASSERT_EQ(bench.ask(askOf(0), Start).Verdict, PlacementVerdict::Granted);
  ASSERT_EQ(bench.ask(askOf(1), Start, VmHandle{2}).Verdict,
            PlacementVerdict::Queued);
  bench.Decisions.clearOutput();
  bench.Decisions.dropVm(Asker, Start + milliseconds(1));
  ASSERT_EQ(bench.Decisions.output().size(), 1u);
  EXPECT_EQ(bench.Decisions.output()[0].Reply.Verdict, PlacementVerdict::Granted);
}

// Load patterns.

/// Answers of one run of a load pattern.
struct LoadResult {
  uint32_t InTime = 0;
  uint32_t Late = 0;
  uint32_t Refused = 0;
  /// In time by rank.
  std::map<uint32_t, uint32_t> ByRank;
  Duration LongestRefusal{};
};

/// Plays arrivals at a rate that changes over time against `slots` servers of
/// 300 ms each.
struct LoadPattern {
  std::string_view Name;
  /// Requests a second in each second.
  std::vector<uint32_t> Rate;
  /// Each second request has this rank, the others 1.
  uint32_t OtherRank = 1;
};

LoadResult playLoad(const LoadPattern &pattern, DispatchInit init) {
  constexpr Duration Service = milliseconds(300);
  constexpr Duration Objective = milliseconds(1000);
  Bench bench(5, 4, init);
  struct Running {
    Instant Ends;
    PlacementReply Grant;
  };
  std::vector<Running> running;
  std::map<uint32_t, Instant> arrived;
  std::map<uint32_t, uint32_t> rank;
  LoadResult result;
  uint32_t number = 0;
  auto take = [&](Instant now) {
    for (const PlaceOutput &it : bench.Decisions.output()) {
      if (it.Reply.Verdict == PlacementVerdict::Granted)
        running.push_back({now + Service, it.Reply});
      if (it.Reply.Verdict != PlacementVerdict::Overloaded)
        continue;
      ++result.Refused;
      result.LongestRefusal = std::max(result.LongestRefusal,
                                       now - arrived[it.Reply.Request.Index]);
    }
    bench.Decisions.clearOutput();
  };
  double owed = 0;
  Instant end = Start + seconds(pattern.Rate.size() + 5);
  for (Instant now = Start; now < end; now += milliseconds(1)) {
    auto second = static_cast<size_t>((now - Start) / seconds(1));
    owed += second < pattern.Rate.size() ? pattern.Rate[second] / 1000.0 : 0;
    for (; owed >= 1; owed -= 1) {
      PlacementRequest ask = askOf(++number, milliseconds(1000), milliseconds(3000));
      ask.Rank = number % 2 == 0 ? pattern.OtherRank : 1;
      arrived[number] = now;
      rank[number] = ask.Rank;
      bench.Decisions.onAsk(Asker, ZoneHandle{0}, ask, now);
      take(now);
    }
    std::vector<PlacementReply> ended;
    std::erase_if(running, [&](const Running &it) {
      if (it.Ends > now)
        return false;
      ended.push_back(it.Grant);
      return true;
    });
    for (const PlacementReply &it : ended) {
      bool inTime = now - arrived[it.Request.Index] <= Objective;
      ++(inTime ? result.InTime : result.Late);
      if (inTime)
        ++result.ByRank[rank[it.Request.Index]];
      bench.Decisions.onDone(Asker, doneOf(it, AttemptOutcome::Ok, Service), now);
      take(now);
    }
    bench.Decisions.advance(now);
    take(now);
  }
  return result;
}

DispatchInit initOf(QueueKind queue) {
  DispatchInit init;
  init.Queue = queue;
  return init;
}

// Twenty slots of 300 ms serve 66 requests a second.
const LoadPattern Patterns[] = {
    {"Calm", {40, 40, 40, 40}},
    {"Burst", {40, 40, 110, 110, 110, 40, 40, 40}},
    {"Overload", {100, 100, 100, 100, 100, 100, 100, 100}},
    {"TwoRanks", {90, 90, 90, 90, 90, 90}, 3},
};

std::ostream &operator<<(std::ostream &out, const LoadPattern &row) {
  return out << row.Name;
}

class LoadAtItsWorst : public testing::TestWithParam<LoadPattern> {};

TEST_P(LoadAtItsWorst, ServesMoreInTimeThanOrderOfArrival) {
  LoadResult useful = playLoad(GetParam(), initOf(QueueKind::Useful));
  LoadResult arrival = playLoad(GetParam(), initOf(QueueKind::Arrival));
  EXPECT_GE(useful.InTime, arrival.InTime);
  bool pressed = GetParam().Name != "Calm";
  if (pressed) {
    EXPECT_GT(useful.InTime, arrival.InTime * 11 / 10);
  } else {
    EXPECT_EQ(useful.Refused, 0u);
    EXPECT_EQ(useful.Late, 0u);
  }
  // A caller learns early that it will not be served: the queue is judged
  // when it arrives.
  EXPECT_LE(useful.LongestRefusal, milliseconds(2900));
}

TEST_P(LoadAtItsWorst, HigherRankIsServedFirst) {
  LoadResult result = playLoad(GetParam(), initOf(QueueKind::Useful));
  if (GetParam().OtherRank == 1)
    return;
  // The higher rank alone is below the capacity, so it loses nothing; the
  // lower one gets what is left.
  uint32_t asked = 0;
  for (uint32_t it : GetParam().Rate)
    asked += it / 2;
  EXPECT_EQ(result.ByRank[1], asked);
  EXPECT_LT(result.ByRank[GetParam().OtherRank], asked);
}

INSTANTIATE_TEST_SUITE_P(Table, LoadAtItsWorst, testing::ValuesIn(Patterns),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Rates.

TEST(Quota, IsNeverExceededAcrossOwners) {
  // Two books stand for an owner and the one that takes over from it.
  constexpr uint32_t Rate = 20;
  constexpr uint32_t Burst = 10;
  QuotaLimit limit{7, Rate, Burst};
  QuotaTable first;
  QuotaTable second;
  first.setLimits({&limit, 1}, false, Start);
  second.setLimits({&limit, 1}, false, Start);
  std::vector<Instant> admitted;
  auto ask = [&](QuotaTable &book, uint32_t number, Instant now) {
    book.advance(now);
    book.ask(Asker, {7, {number, 1}}, now);
    for (const QuotaOutput &it : book.output())
      if (it.Reply.Verdict == QuotaVerdict::Admitted)
        admitted.push_back(now);
    book.clearOutput();
  };
  uint32_t number = 0;
  for (Instant now = Start + seconds(5); now < Start + seconds(25);
       now += milliseconds(10)) {
    // The owner changes every 3 s, and both learn of it.
    auto turn = (now - Start) / seconds(3);
    bool change = (now - Start) % seconds(3) < milliseconds(10);
    if (change) {
      first.setShare(1, now);
      second.setShare(1, now);
    }
    ask(turn % 2 == 0 ? first : second, ++number, now);
  }
  for (size_t n = 0; n < admitted.size(); ++n) {
    size_t count = 0;
    for (size_t m = n;
         m < admitted.size() && admitted[m] - admitted[n] < seconds(5); ++m)
      ++count;
    EXPECT_LE(count, Rate * 5 + Burst);
  }
  EXPECT_GT(admitted.size(), Rate * 16u);
}

TEST(Quota, BurstIsSavedUpThroughAQuietFleet) {
  QuotaLimit limit{7, 10, 20};
  QuotaTable book;
  book.setLimits({&limit, 1}, false, Start);
  book.setShare(1, Start + seconds(1));
  int admitted = 0;
  for (uint32_t n = 0; n < 30; ++n) {
    book.ask(Asker, {7, {n, 1}}, Start + seconds(8));
    for (const QuotaOutput &it : book.output())
      admitted += it.Reply.Verdict == QuotaVerdict::Admitted ? 1 : 0;
    book.clearOutput();
  }
  EXPECT_EQ(admitted, 20);
}

TEST(Quota, AloneGivesAPartOnly) {
  QuotaLimit limit{7, 36, 36};
  QuotaTable book;
  book.setLimits({&limit, 1}, false, Start);
  book.setOwnShare(0.5 / 36);
  int admitted = 0;
  for (Instant now = Start; now < Start + seconds(10); now += milliseconds(50))
    admitted +=
        book.askAlone({7, {1, 1}}, now).Verdict == QuotaVerdict::Admitted ? 1
                                                                          : 0;
  EXPECT_GE(admitted, 4);
  EXPECT_LE(admitted, 6);
}

} // namespace

} // namespace guavasail
