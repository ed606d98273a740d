/// \file
/// Placement, queueing and refusals, with load patterns in virtual time.
#include "dispatcher.h"
#include "quota.h"
#include "rendezvous.h"

#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(1000)};
constexpr VmHandle RequestingVm{1};

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

PlacementRequest requestOf(uint32_t number, milliseconds objective = seconds(2),
                           milliseconds remaining = seconds(4)) {
  PlacementRequest request;
  request.Service = rendezvousKey("s", 0);
  request.Request = {number, 1};
  request.Ordinal = 1;
  request.Idempotent = true;
  request.ObjectiveRemaining = objective;
  request.Remaining = remaining;
  return request;
}

PlacementRelease releaseOf(const PlacementReply &grant, AttemptOutcome outcome,
                           Duration took = milliseconds(300)) {
  PlacementRelease release;
  release.Service = rendezvousKey("s", 0);
  release.Request = grant.Request;
  release.Ordinal = grant.Ordinal;
  release.Instance = grant.Instance;
  release.Outcome = outcome;
  release.Elapsed = took;
  return release;
}

/// A dispatcher with one service.
struct DispatchFixture {
  explicit DispatchFixture(uint32_t instances, uint32_t slots,
                           DispatchInit init = {})
      : Owner(init) {
    Index.accept(catalogOf(instances, slots));
    Owner.acceptCatalog(Index, Start);
  }

  PlacementReply place(const PlacementRequest &request, Instant now,
                       VmHandle vm = RequestingVm) {
    Owner.clearOutput();
    Owner.onPlacementRequest(vm, ZoneHandle{0}, request, now);
    EXPECT_FALSE(Owner.output().empty());
    return Owner.output().back().Reply;
  }

  CatalogIndex Index;
  Dispatcher Owner;
};

TEST(Placement, FillsNoInstanceWhileAnotherIsFree) {
  DispatchFixture fixture(4, 2);
  std::map<uint64_t, int> used;
  for (uint32_t n = 0; n < 8; ++n) {
    PlacementReply reply = fixture.place(requestOf(n), Start);
    ASSERT_EQ(reply.Verdict, PlacementVerdict::Granted);
    EXPECT_LE(++used[reply.Instance], 2);
  }
  EXPECT_EQ(used.size(), 4u);
  EXPECT_EQ(fixture.place(requestOf(8), Start).Verdict,
            PlacementVerdict::Queued);
}

TEST(Placement, AvoidsAnInstanceThatIsSlowToAnswer) {
  DispatchFixture fixture(2, 8);
  PlacementReply late = fixture.place(requestOf(1), Start);
  uint64_t other =
      late.Instance == instanceKeyOf(0) ? instanceKeyOf(1) : instanceKeyOf(0);
  Instant now = Start + milliseconds(600);
  PlacementReply second = fixture.place(requestOf(2), now);
  PlacementReply third = fixture.place(requestOf(3), now);
  EXPECT_EQ(second.Instance, other);
  EXPECT_EQ(third.Instance, other);
}

TEST(Placement, KeepsLargeResponsesInTheZone) {
  DispatchFixture fixture(4, 4);
  ZoneHandle zone = fixture.Index.zone("z0");
  for (uint32_t n = 0; n < 4; ++n) {
    PlacementRequest request = requestOf(n);
    request.Large = true;
    fixture.Owner.clearOutput();
    fixture.Owner.onPlacementRequest(RequestingVm, zone, request, Start);
    uint64_t key = fixture.Owner.output().back().Reply.Instance;
    EXPECT_TRUE(key == instanceKeyOf(0) || key == instanceKeyOf(2));
  }
}

/// Outcomes of an instance's first requests, and whether it stays in use.
struct FailureCase {
  std::string_view Name;
  std::vector<std::pair<AttemptOutcome, uint32_t>> Outcomes;
  bool IsUsed;
};

const FailureCase Failures[] = {
    {"OneReset", {{AttemptOutcome::Fault, 1}}, false},
    {"OneError", {{AttemptOutcome::Error, 1}}, true},
    {"ThreeErrors",
     {{AttemptOutcome::Error, 1},
      {AttemptOutcome::Error, 2},
      {AttemptOutcome::Error, 3}},
     false},
    {"OneVmUnreachable", {{AttemptOutcome::Unreachable, 1}}, true},
    {"TwoVmsUnreachable",
     {{AttemptOutcome::Unreachable, 1}, {AttemptOutcome::Unreachable, 2}},
     false},
    {"CallersDisconnected",
     {{AttemptOutcome::Cancelled, 1}, {AttemptOutcome::Cancelled, 2}},
     true},
};

std::ostream &operator<<(std::ostream &out, const FailureCase &row) {
  return out << row.Name;
}

class InstanceFailure : public testing::TestWithParam<FailureCase> {};

TEST_P(InstanceFailure, DeterminesEjection) {
  OutlierDetector detector;
  Instant now = Start;
  for (auto [outcome, vm] : GetParam().Outcomes)
    detector.noteOutcome(outcome, VmHandle{vm}, milliseconds(5),
                         milliseconds(300), now += milliseconds(10));
  EXPECT_EQ(detector.state(now) == EjectionState::Healthy, GetParam().IsUsed);
}

INSTANTIATE_TEST_SUITE_P(Table, InstanceFailure, testing::ValuesIn(Failures),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(InstanceFailure, PathFaultOfOneVmDoesNotAffectOthers) {
  OutlierDetector detector;
  detector.noteOutcome(AttemptOutcome::Unreachable, VmHandle{1}, {},
                       milliseconds(300), Start);
  EXPECT_TRUE(detector.isPathDown(VmHandle{1}, Start));
  EXPECT_FALSE(detector.isPathDown(VmHandle{2}, Start));
}

TEST(InstanceFailure, EjectedInstanceReturnsAfterTwoProbes) {
  OutlierDetector detector;
  detector.noteOutcome(AttemptOutcome::Fault, VmHandle{1}, milliseconds(5),
                       milliseconds(300), Start);
  EXPECT_EQ(detector.state(Start + seconds(1)), EjectionState::Ejected);
  EXPECT_EQ(detector.state(Start + seconds(2)), EjectionState::Probing);
  detector.noteOutcome(AttemptOutcome::Ok, VmHandle{1}, milliseconds(300),
                       milliseconds(300), Start + milliseconds(2400));
  // One success is not enough: a failing instance still returns some.
  EXPECT_EQ(detector.state(Start + milliseconds(2400)), EjectionState::Probing);
  detector.noteOutcome(AttemptOutcome::Ok, VmHandle{1}, milliseconds(300),
                       milliseconds(300), Start + milliseconds(2800));
  EXPECT_EQ(detector.state(Start + milliseconds(2800)), EjectionState::Healthy);
}

/// Requests that run on the first of two instances from `Start` on.
struct LongRequestFixture : DispatchFixture {
  explicit LongRequestFixture(uint32_t count) : DispatchFixture(2, 8) {
    while (Long.size() < count) {
      PlacementReply reply = place(requestOf(++Number), Start);
      if (reply.Instance == instanceKeyOf(0))
        Long.push_back(reply);
    }
  }

  /// \returns true if one of the next requests is placed on the instance.
  bool isUsed(Instant now, bool idempotent = true) {
    bool used = false;
    for (int n = 0; n < 6; ++n) {
      PlacementRequest request = requestOf(++Number);
      request.Idempotent = idempotent;
      PlacementReply reply = place(request, now);
      used |= reply.Instance == instanceKeyOf(0);
      Owner.onRelease(RequestingVm, releaseOf(reply, AttemptOutcome::Cancelled),
                      now);
    }
    return used;
  }

  void end(const PlacementReply &grant, AttemptOutcome outcome, Instant now) {
    Owner.onRelease(RequestingVm, releaseOf(grant, outcome, now - Start), now);
  }

  std::vector<PlacementReply> Long;
  uint32_t Number = 0;
};

TEST(LongRequests, DoNotEjectAnInstanceThatAnswersOthers) {
  LongRequestFixture fixture(4);
  Instant now = Start + milliseconds(500);
  // Requests that were sent later succeed. They run at the same time, so that
  // the instance gets some of them.
  std::vector<PlacementReply> later;
  for (uint32_t n = 0; n < 10; ++n)
    later.push_back(fixture.place(requestOf(900 + n), now));
  for (const PlacementReply &it : later)
    fixture.Owner.onRelease(RequestingVm, releaseOf(it, AttemptOutcome::Ok),
                            now + milliseconds(300));
  now = Start + milliseconds(1600);
  fixture.Owner.advance(now);
  EXPECT_TRUE(fixture.isUsed(now));
  now = Start + seconds(4);
  for (const PlacementReply &it : fixture.Long)
    fixture.end(it, AttemptOutcome::Error, now);
  EXPECT_TRUE(fixture.isUsed(now));
}

TEST(LongRequests, EndAfterAnEjectionWithoutRepeatingIt) {
  LongRequestFixture fixture(4);
  Instant now = Start + milliseconds(100);
  fixture.end(fixture.Long[0], AttemptOutcome::Fault, now);
  EXPECT_FALSE(fixture.isUsed(now));
  now = Start + milliseconds(2600);
  fixture.end(fixture.Long[1], AttemptOutcome::TimedOut, now);
  fixture.end(fixture.Long[2], AttemptOutcome::Error, now);
  // The last one is still running.
  EXPECT_TRUE(fixture.isUsed(now + milliseconds(100)));
}

TEST(InstanceFailure, ServiceWithoutIdempotentRequestsProbesWithOthers) {
  DispatchFixture fixture(2, 8);
  uint32_t number = 0;
  auto next = [&](Instant now) {
    PlacementRequest request = requestOf(++number);
    request.Idempotent = false;
    return fixture.place(request, now);
  };
  PlacementReply first = next(Start);
  fixture.Owner.onRelease(RequestingVm, releaseOf(first, AttemptOutcome::Fault),
                          Start);
  auto isUsed = [&](Instant now, int requests) {
    bool used = false;
    for (int n = 0; n < requests; ++n)
      used |= next(now).Instance == first.Instance;
    return used;
  };
  EXPECT_FALSE(isUsed(Start + milliseconds(1900), 1));
  // They fit the other instance, so none waits, which would open any probe.
  EXPECT_TRUE(isUsed(Start + milliseconds(2100), 7));
}

TEST(Floor, MostInstancesStayInUseWhenAllFail) {
  DispatchFixture fixture(10, 1);
  std::vector<PlacementReply> grants;
  for (uint32_t n = 0; n < 10; ++n)
    grants.push_back(fixture.place(requestOf(n), Start));
  for (const PlacementReply &it : grants)
    fixture.Owner.onRelease(
        RequestingVm, releaseOf(it, AttemptOutcome::Fault, milliseconds(5)),
        Start + milliseconds(10));
  int granted = 0;
  for (uint32_t n = 20; n < 30; ++n)
    granted += fixture.place(requestOf(n), Start + milliseconds(20)).Verdict ==
                       PlacementVerdict::Granted
                   ? 1
                   : 0;
  EXPECT_GE(granted, 7);
}

/// What the only instance of a service told a VM, and whether requests are
/// placed on it afterwards.
struct NoticeCase {
  std::string_view Name;
  bool Leaving;
  milliseconds Backoff;
  /// Time between the notice and the next request.
  milliseconds Later;
  VmHandle NextVm;
  uint64_t NoticeStarted = 0;
  /// Start time of the instance in a catalog that is accepted in between; 0 for
  /// none.
  uint64_t CatalogStarted = 0;
  PlacementVerdict Verdict = PlacementVerdict::Overloaded;
};

constexpr VmHandle OtherVm{2};

const NoticeCase Notices[] = {
    {"LeavingForThisVm", true, milliseconds(0), seconds(60), RequestingVm},
    {"LeavingForOtherVm", true, milliseconds(0), milliseconds(1), OtherVm},
    {"LeavingOfAnEarlierIncarnation", true, milliseconds(0), milliseconds(1),
     RequestingVm, 7, 0, PlacementVerdict::Granted},
    {"LeavingBeforeARestart", true, milliseconds(0), milliseconds(1),
     RequestingVm, 0, 9, PlacementVerdict::Granted},
    {"BackoffBeyondTheObjective", false, seconds(3), milliseconds(1),
     RequestingVm},
    {"BackoffWithinTheObjective", false, seconds(1), milliseconds(1),
     RequestingVm, 0, 0, PlacementVerdict::Queued},
    {"BackoffIsOver", false, seconds(1), milliseconds(1001), RequestingVm, 0, 0,
     PlacementVerdict::Granted},
    {"BackoffForOtherVm", false, seconds(3), milliseconds(1), OtherVm, 0, 0,
     PlacementVerdict::Granted},
    {"BackoffBeforeARestart", false, seconds(3), milliseconds(1), RequestingVm,
     0, 9, PlacementVerdict::Granted},
};

std::ostream &operator<<(std::ostream &out, const NoticeCase &row) {
  return out << row.Name;
}

class InstanceNotices : public testing::TestWithParam<NoticeCase> {};

TEST_P(InstanceNotices, DecidePlacement) {
  const NoticeCase &row = GetParam();
  DispatchFixture fixture(1, 4);
  PlacementRelease release =
      releaseOf(fixture.place(requestOf(1), Start), AttemptOutcome::Ok);
  release.InstanceStarted = row.NoticeStarted;
  release.Leaving = row.Leaving;
  release.Backoff = row.Backoff;
  fixture.Owner.onRelease(RequestingVm, release, Start);
  if (row.CatalogStarted > 0) {
    CatalogSpec spec = catalogOf(1, 4);
    spec.Services[0].Instances[0].Started = row.CatalogStarted;
    fixture.Index.accept(spec);
    fixture.Owner.acceptCatalog(fixture.Index, Start);
  }
  Instant now = Start + row.Later;
  EXPECT_EQ(fixture.place(requestOf(2), now, row.NextVm).Verdict, row.Verdict);
}

INSTANTIATE_TEST_SUITE_P(Table, InstanceNotices, testing::ValuesIn(Notices),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// What an instance of four slots reports with a rejection.
struct RejectionCase {
  std::string_view Name;
  bool LoadKnown;
  uint32_t Running;
  uint32_t Waiting;
  /// Whether it gets the next request at once.
  PlacementVerdict Next;
};

const RejectionCase Rejections[] = {
    {"FreeSlots", true, 2, 0, PlacementVerdict::Granted},
    {"NoFreeSlot", true, 4, 0, PlacementVerdict::Queued},
    {"FilledByWaiting", true, 3, 1, PlacementVerdict::Queued},
    {"NoReport", false, 0, 0, PlacementVerdict::Queued},
};

std::ostream &operator<<(std::ostream &out, const RejectionCase &row) {
  return out << row.Name;
}

class RejectingInstance : public testing::TestWithParam<RejectionCase> {};

/// Guards against a service whose instances reject at random and that is left
/// half unused, because each rejection closes an instance with free slots.
TEST_P(RejectingInstance, IsClosedOnlyIfFull) {
  const RejectionCase &row = GetParam();
  DispatchFixture fixture(1, 4);
  PlacementRelease release =
      releaseOf(fixture.place(requestOf(1), Start), AttemptOutcome::Shed);
  release.LoadKnown = row.LoadKnown;
  release.Running = row.Running;
  release.Waiting = row.Waiting;
  fixture.Owner.onRelease(RequestingVm, release, Start);
  EXPECT_EQ(fixture.place(requestOf(2), Start).Verdict, row.Next);
}

INSTANTIATE_TEST_SUITE_P(Table, RejectingInstance,
                         testing::ValuesIn(Rejections), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(InstanceNotices, BackoffIsNoFailure) {
  DispatchFixture fixture(2, 1);
  PlacementReply first = fixture.place(requestOf(1), Start);
  PlacementRelease release = releaseOf(first, AttemptOutcome::Shed);
  release.Backoff = seconds(5);
  fixture.Owner.onRelease(RequestingVm, release, Start);
  // A request of another VM finds both instances.
  Instant later = Start + milliseconds(500);
  EXPECT_EQ(fixture.place(requestOf(2), later, OtherVm).Verdict,
            PlacementVerdict::Granted);
  EXPECT_EQ(fixture.place(requestOf(3), later, OtherVm).Verdict,
            PlacementVerdict::Granted);
}

TEST(Crashes, RequestThatLosesThreeInstancesIsRefused) {
  DispatchFixture fixture(6, 2);
  Instant now = Start;
  for (uint32_t n = 0; n < 3; ++n) {
    PlacementRequest request = requestOf(n);
    request.Fingerprint = 77;
    PlacementReply reply = fixture.place(request, now);
    ASSERT_EQ(reply.Verdict, PlacementVerdict::Granted);
    PlacementRelease release = releaseOf(reply, AttemptOutcome::Fault);
    release.Fingerprint = 77;
    fixture.Owner.onRelease(RequestingVm, release, now += milliseconds(100));
  }
  PlacementRequest request = requestOf(9);
  request.Fingerprint = 77;
  EXPECT_EQ(fixture.place(request, now).Verdict, PlacementVerdict::Quarantined);
  request.Fingerprint = 78;
  EXPECT_EQ(fixture.place(request, now).Verdict, PlacementVerdict::Granted);
}

TEST(Budget, RetriesAreAPercentageOfRequests) {
  RetryBudget budget(20, 3, seconds(10));
  for (int n = 0; n < 50; ++n)
    budget.noteRequest(Start);
  int taken = 0;
  while (budget.takeRetry(Start + seconds(1)) && taken < 100)
    ++taken;
  EXPECT_EQ(taken, 13);
  EXPECT_FALSE(budget.takeRetry(Start + seconds(9)));
  EXPECT_TRUE(budget.takeRetry(Start + seconds(12)));
}

TEST(Placement, ServiceWithoutInstancesRefusesAtOnce) {
  DispatchFixture fixture(2, 2);
  CatalogSpec spec = catalogOf(2, 2);
  for (InstanceSpec &it : spec.Services[0].Instances)
    it.Leaving = true;
  fixture.Index.accept(spec);
  fixture.Owner.acceptCatalog(fixture.Index, Start);
  EXPECT_EQ(fixture.place(requestOf(1), Start).Verdict,
            PlacementVerdict::Overloaded);
}

TEST(Slots, OfADepartedVmAreFreed) {
  DispatchFixture fixture(1, 1);
  ASSERT_EQ(fixture.place(requestOf(0), Start).Verdict,
            PlacementVerdict::Granted);
  ASSERT_EQ(fixture.place(requestOf(1), Start, VmHandle{2}).Verdict,
            PlacementVerdict::Queued);
  fixture.Owner.clearOutput();
  fixture.Owner.dropVm(RequestingVm, Start + milliseconds(1));
  ASSERT_EQ(fixture.Owner.output().size(), 1u);
  EXPECT_EQ(fixture.Owner.output()[0].Reply.Verdict, PlacementVerdict::Granted);
}

// Load patterns.

/// Results of one run of a load pattern.
struct LoadResult {
  uint32_t InTime = 0;
  uint32_t Late = 0;
  uint32_t Refused = 0;
  /// Requests answered in time, by rank.
  std::map<uint32_t, uint32_t> ByRank;
  Duration LongestRefusal{};
};

/// Arrivals at a rate that changes over time.
struct LoadPattern {
  std::string_view Name;
  /// Requests per second, for each second.
  std::vector<uint32_t> Rate;
  /// Every other request has this rank, the rest have rank 1.
  uint32_t OtherRank = 1;
};

/// Runs \p pattern against 5 instances with 4 slots and a service time of
/// 300 ms.
LoadResult runLoad(const LoadPattern &pattern, DispatchInit init) {
  constexpr Duration ServiceTime = milliseconds(300);
  constexpr Duration Objective = milliseconds(1000);
  DispatchFixture fixture(5, 4, init);
  struct Running {
    Instant EndsAt;
    PlacementReply Grant;
  };
  std::vector<Running> running;
  std::map<uint32_t, Instant> arrived;
  std::map<uint32_t, uint32_t> rank;
  LoadResult result;
  uint32_t number = 0;
  auto handleReplies = [&](Instant now) {
    for (const PlacementOutput &it : fixture.Owner.output()) {
      if (it.Reply.Verdict == PlacementVerdict::Granted)
        running.push_back({now + ServiceTime, it.Reply});
      if (it.Reply.Verdict != PlacementVerdict::Overloaded)
        continue;
      ++result.Refused;
      result.LongestRefusal = std::max(result.LongestRefusal,
                                       now - arrived[it.Reply.Request.Index]);
    }
    fixture.Owner.clearOutput();
  };
  double pendingArrivals = 0;
  Instant end = Start + seconds(pattern.Rate.size() + 5);
  for (Instant now = Start; now < end; now += milliseconds(1)) {
    auto second = static_cast<size_t>((now - Start) / seconds(1));
    pendingArrivals +=
        second < pattern.Rate.size() ? pattern.Rate[second] / 1000.0 : 0;
    for (; pendingArrivals >= 1; pendingArrivals -= 1) {
      PlacementRequest request =
          requestOf(++number, milliseconds(1000), milliseconds(3000));
      request.Rank = number % 2 == 0 ? pattern.OtherRank : 1;
      arrived[number] = now;
      rank[number] = request.Rank;
      fixture.Owner.onPlacementRequest(RequestingVm, ZoneHandle{0}, request,
                                       now);
      handleReplies(now);
    }
    std::vector<PlacementReply> completed;
    std::erase_if(running, [&](const Running &it) {
      if (it.EndsAt > now)
        return false;
      completed.push_back(it.Grant);
      return true;
    });
    for (const PlacementReply &it : completed) {
      bool inTime = now - arrived[it.Request.Index] <= Objective;
      ++(inTime ? result.InTime : result.Late);
      if (inTime)
        ++result.ByRank[rank[it.Request.Index]];
      fixture.Owner.onRelease(
          RequestingVm, releaseOf(it, AttemptOutcome::Ok, ServiceTime), now);
      handleReplies(now);
    }
    fixture.Owner.advance(now);
    handleReplies(now);
  }
  return result;
}

DispatchInit initOf(QueueKind queue) {
  DispatchInit init;
  init.Queue = queue;
  return init;
}

// Twenty slots of 300 ms serve 66 requests per second.
const LoadPattern Patterns[] = {
    {"Steady", {40, 40, 40, 40}},
    {"Burst", {40, 40, 110, 110, 110, 40, 40, 40}},
    {"Overload", {100, 100, 100, 100, 100, 100, 100, 100}},
    {"TwoRanks", {90, 90, 90, 90, 90, 90}, 3},
};

std::ostream &operator<<(std::ostream &out, const LoadPattern &row) {
  return out << row.Name;
}

class QueueUnderLoad : public testing::TestWithParam<LoadPattern> {};

TEST_P(QueueUnderLoad, ServesMoreInTimeThanArrivalOrder) {
  LoadResult byObjective = runLoad(GetParam(), initOf(QueueKind::Useful));
  LoadResult byArrival = runLoad(GetParam(), initOf(QueueKind::Arrival));
  EXPECT_GE(byObjective.InTime, byArrival.InTime);
  bool overloaded = GetParam().Name != "Steady";
  if (overloaded) {
    EXPECT_GT(byObjective.InTime, byArrival.InTime * 11 / 10);
  } else {
    EXPECT_EQ(byObjective.Refused, 0u);
    EXPECT_EQ(byObjective.Late, 0u);
  }
  // Callers are refused early: admission estimates the wait on arrival.
  EXPECT_LE(byObjective.LongestRefusal, milliseconds(2900));
}

TEST_P(QueueUnderLoad, HigherRankIsServedFirst) {
  LoadResult result = runLoad(GetParam(), initOf(QueueKind::Useful));
  if (GetParam().OtherRank == 1)
    return;
  // The load of the higher rank is below the capacity, so all of it is served
  // in time; the lower rank gets the remaining capacity.
  uint32_t offered = 0;
  for (uint32_t it : GetParam().Rate)
    offered += it / 2;
  EXPECT_EQ(result.ByRank[1], offered);
  EXPECT_LT(result.ByRank[GetParam().OtherRank], offered);
}

INSTANTIATE_TEST_SUITE_P(Table, QueueUnderLoad, testing::ValuesIn(Patterns),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Rates.

/// Instances of which each is gray for several seconds now and then: most of
/// its requests fail.
struct GrayPattern {
  std::string_view Name;
  uint32_t Instances;
  /// Requests per second.
  uint32_t Rate;
  /// Share of the time for which an instance is gray, in percent, and the
  /// length of such a time.
  uint32_t GrayPercent;
  milliseconds GrayTime;
  /// Share of the requests that fail while an instance is gray, in percent.
  uint32_t FailPercent;
  /// Time until a request fails.
  milliseconds FailureTime;
  AttemptOutcome Outcome;
  /// Greatest share of failed requests, in percent of those with fixed
  /// ejections.
  uint32_t MaxPercentOfFixed;
};

struct GrayResult {
  uint32_t Failed = 0;
  uint32_t Requests = 0;
  uint32_t Refused = 0;

  GrayResult &operator+=(const GrayResult &other) {
    Failed += other.Failed;
    Requests += other.Requests;
    Refused += other.Refused;
    return *this;
  }
};

/// Instances in all runs of a row together.
constexpr uint32_t MaxInstanceRuns = 300;

/// Sends requests that must not run twice for a minute.
GrayResult runGray(const GrayPattern &pattern, EjectionKind ejection,
                   uint32_t seed) {
  DispatchInit init;
  init.Ejection = ejection;
  DispatchFixture fixture(pattern.Instances, 6, init);
  std::mt19937_64 random(seed);
  std::lognormal_distribution<double> serviceMillis(std::log(400.0), 0.5);
  struct Ending {
    Instant At;
    PlacementReply Grant;
    AttemptOutcome Outcome;
    Duration Took;
    bool operator<(const Ending &other) const { return At > other.At; }
  };
  std::priority_queue<Ending> endings;
  struct GrayState {
    Instant NextChange;
    bool Gray = false;
  };
  std::map<uint64_t, GrayState> states;
  auto grayMillis = static_cast<uint64_t>(pattern.GrayTime.count());
  for (uint32_t n = 0; n < pattern.Instances; ++n)
    states[instanceKeyOf(n)].NextChange =
        Start + milliseconds(random() % grayMillis);
  GrayResult result;
  auto onOutput = [&](Instant now) {
    for (const PlacementOutput &it : fixture.Owner.output()) {
      result.Refused +=
          it.Reply.Verdict == PlacementVerdict::Overloaded ? 1 : 0;
      if (it.Reply.Verdict != PlacementVerdict::Granted)
        continue;
      bool fails = states[it.Reply.Instance].Gray &&
                   random() % 100 < pattern.FailPercent;
      Duration took =
          fails ? Duration(pattern.FailureTime)
                : milliseconds(static_cast<int64_t>(serviceMillis(random)));
      endings.push({now + took, it.Reply,
                    fails ? pattern.Outcome : AttemptOutcome::Ok, took});
      result.Failed += fails ? 1 : 0;
    }
    fixture.Owner.clearOutput();
  };
  double pending = 0;
  for (Instant now = Start; now < Start + seconds(60); now += milliseconds(5)) {
    for (auto &[key, state] : states)
      if (now >= state.NextChange) {
        state.Gray = random() % 100 < pattern.GrayPercent;
        state.NextChange += pattern.GrayTime;
      }
    while (!endings.empty() && endings.top().At <= now) {
      Ending it = endings.top();
      endings.pop();
      fixture.Owner.onRelease(RequestingVm,
                              releaseOf(it.Grant, it.Outcome, it.Took), now);
      onOutput(now);
    }
    for (pending += pattern.Rate * 0.005; pending >= 1; pending -= 1) {
      PlacementRequest request = requestOf(++result.Requests);
      request.Idempotent = false;
      fixture.Owner.onPlacementRequest(RequestingVm, ZoneHandle{0}, request,
                                       now);
      onOutput(now);
    }
    fixture.Owner.advance(now);
    onOutput(now);
  }
  return result;
}

const GrayPattern GrayPatterns[] = {
    {"Resets", 24, 90, 30, seconds(9), 85, milliseconds(20),
     AttemptOutcome::Fault, 85},
    {"Hangs", 24, 90, 30, seconds(9), 75, seconds(4), AttemptOutcome::TimedOut,
     100},
    {"Errors", 24, 90, 30, seconds(9), 85, milliseconds(100),
     AttemptOutcome::Error, 100},
    {"ResetsUnderLoad", 24, 180, 30, seconds(9), 85, milliseconds(20),
     AttemptOutcome::Fault, 110},
    {"ResetsInALargeService", 288, 960, 30, seconds(9), 85, milliseconds(20),
     AttemptOutcome::Fault, 85},
    {"SingleResets", 24, 90, 4, milliseconds(500), 50, milliseconds(20),
     AttemptOutcome::Fault, 110},
};

std::ostream &operator<<(std::ostream &out, const GrayPattern &row) {
  return out << row.Name;
}

class GrayInstances : public testing::TestWithParam<GrayPattern> {};

TEST_P(GrayInstances, CostFewerRequests) {
  const GrayPattern &row = GetParam();
  GrayResult fixed;
  GrayResult learned;
  for (uint32_t seed = 1; seed <= MaxInstanceRuns / row.Instances; ++seed) {
    fixed += runGray(row, EjectionKind::Fixed, seed);
    learned += runGray(row, DispatchInit{}.Ejection, seed);
  }
  EXPECT_LE(learned.Failed * 100, fixed.Failed * row.MaxPercentOfFixed)
      << learned.Failed << " of " << learned.Requests << " failed, "
      << fixed.Failed << " with fixed ejections";
  EXPECT_LE(learned.Refused, fixed.Refused + learned.Requests / 1000);
}

INSTANTIATE_TEST_SUITE_P(Table, GrayInstances, testing::ValuesIn(GrayPatterns),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A service in which many requests fail: sound instances get requests within
/// two seconds.
struct SpreadCase {
  std::string_view Name;
  uint32_t Instances;
  uint32_t Rate;
  /// The first instances fail some of their requests with an error.
  uint32_t Failing;
  uint32_t FailPercent;
  /// Sound instances that failed often before.
  uint32_t Unreliable;
};

const SpreadCase Spreads[] = {
    {"ManyInstancesAtALowRate", 110, 150, 100, 40, 0},
    {"AfterFailuresOfAThird", 22, 60, 14, 60, 4},
};

std::ostream &operator<<(std::ostream &out, const SpreadCase &row) {
  return out << row.Name;
}

class SoundInstances : public testing::TestWithParam<SpreadCase> {};

TEST_P(SoundInstances, GetRequestsWhileManyFail) {
  constexpr uint32_t FloorPercent = 70;
  const SpreadCase &row = GetParam();
  DispatchFixture fixture(row.Instances, 6);
  std::map<uint64_t, Instant> lastUse;
  std::set<uint64_t> failing;
  for (uint32_t n = 0; n < row.Failing; ++n)
    failing.insert(instanceKeyOf(n));
  std::set<uint64_t> unreliable;
  for (uint32_t n = 0; n < row.Unreliable; ++n)
    unreliable.insert(instanceKeyOf(row.Failing + n));
  struct Ending {
    Instant At;
    PlacementReply Grant;
    AttemptOutcome Outcome;
    Duration Took;
    bool operator<(const Ending &other) const { return At > other.At; }
  };
  std::priority_queue<Ending> endings;
  std::vector<Instant> failedAt;
  uint32_t judged = 0;
  Instant begin = Start + seconds(20);
  Instant end = begin + seconds(6);
  uint32_t number = 0;
  double pending = 0;
  std::mt19937_64 random(3);
  for (Instant now = Start; now < end; now += milliseconds(5)) {
    while (!endings.empty() && endings.top().At <= now) {
      Ending it = endings.top();
      endings.pop();
      fixture.Owner.onRelease(RequestingVm,
                              releaseOf(it.Grant, it.Outcome, it.Took), now);
    }
    for (pending += row.Rate * 0.005; pending >= 1; pending -= 1) {
      PlacementRequest request = requestOf(++number);
      fixture.Owner.onPlacementRequest(VmHandle{number % 8 + 1}, ZoneHandle{0},
                                       request, now);
    }
    for (const PlacementOutput &it : fixture.Owner.output()) {
      if (it.Reply.Verdict != PlacementVerdict::Granted)
        continue;
      lastUse[it.Reply.Instance] = now;
      bool gray = unreliable.contains(it.Reply.Instance) &&
                  now < begin - seconds(6) && random() % 4 == 0;
      bool fails = now >= begin && failing.contains(it.Reply.Instance) &&
                   random() % 100 < row.FailPercent;
      if (fails)
        failedAt.push_back(now);
      Duration took = fails ? milliseconds(60) : milliseconds(400);
      AttemptOutcome outcome = fails  ? AttemptOutcome::Error
                               : gray ? AttemptOutcome::Fault
                                      : AttemptOutcome::Ok;
      endings.push({now + took, it.Reply, outcome, took});
    }
    fixture.Owner.clearOutput();
    fixture.Owner.advance(now);
    constexpr size_t ManyFailPercent = 10;
    std::erase_if(failedAt, [&](Instant it) { return now - it > seconds(2); });
    bool manyFail = failedAt.size() * 100 > row.Rate * 2 * ManyFailPercent;
    if (now < begin + seconds(2) || !manyFail)
      continue;
    ++judged;
    uint32_t used = 0;
    for (uint32_t n = row.Failing; n < row.Instances; ++n)
      used += now - lastUse[instanceKeyOf(n)] <= seconds(2) ? 1 : 0;
    ASSERT_GE(used * 100, (row.Instances - row.Failing) * FloorPercent)
        << (now - begin).count() / 1000 << " ms after the failures began";
  }
  EXPECT_GT(judged, 0u);
}

INSTANTIATE_TEST_SUITE_P(Table, SoundInstances, testing::ValuesIn(Spreads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Quota, BurstAccumulatesWhileFleetIsStable) {
  QuotaLimit limit{7, 10, 20};
  QuotaTable table;
  table.setLimits({&limit, 1}, false, Start);
  table.setShare(1, Start + seconds(1));
  int admitted = 0;
  for (uint32_t n = 0; n < 30; ++n) {
    table.acquire(RequestingVm, {7, {n, 1}}, {}, Start + seconds(8));
    for (const QuotaOutput &it : table.output())
      admitted += it.Reply.Verdict == QuotaVerdict::Admitted ? 1 : 0;
    table.clearOutput();
  }
  EXPECT_EQ(admitted, 20);
}

TEST(Quota, LocalShareIsAFractionOfTheRate) {
  QuotaLimit limit{7, 36, 36};
  QuotaTable table;
  table.setLimits({&limit, 1}, false, Start);
  table.setLocalShare(0.5 / 36);
  int admitted = 0;
  for (Instant now = Start; now < Start + seconds(10); now += milliseconds(50))
    admitted +=
        table.acquireLocal({7, {1, 1}}, now).Verdict == QuotaVerdict::Admitted
            ? 1
            : 0;
  EXPECT_GE(admitted, 4);
  EXPECT_LE(admitted, 6);
}

} // namespace

} // namespace guavasail
