/// \file
/// Shares of workspaces while capacity is short, and returns of refused
/// callers, in virtual time.
#include "dispatcher.h"
#include "fair_rounds.h"
#include "rendezvous.h"
#include "return_schedule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(1000)};
constexpr uint32_t InstanceCount = 5;
constexpr uint32_t SlotsPerInstance = 12;
constexpr Duration ServiceTime = milliseconds(300);
constexpr Duration Objective = seconds(1);
/// Requests that the instances can serve in a second.
constexpr double Capacity = InstanceCount * SlotsPerInstance / 0.3;

/// A dispatcher with one service, and its requests in progress.
class QueueFixture {
public:
  QueueFixture() : Owner(DispatchInit{}) {
    CatalogSpec spec;
    ServiceSpec &service = spec.Services.emplace_back();
    service.Name = "s";
    for (uint32_t n = 0; n < InstanceCount; ++n) {
      InstanceSpec &it = service.Instances.emplace_back();
      it.Name = "i" + std::to_string(n);
      it.Zone = "z" + std::to_string(n % 2);
      it.Slots = SlotsPerInstance;
    }
    Index.accept(spec);
    Owner.acceptCatalog(Index, Start);
  }

  void place(uint32_t number, uint64_t workspace, Duration remaining,
             Instant now) {
    PlacementRequest request;
    request.Service = rendezvousKey("s", 0);
    request.Request = {number, 1};
    request.Ordinal = 1;
    request.Workspace = workspace;
    request.Idempotent = true;
    request.ObjectiveRemaining = Objective;
    request.Remaining = remaining;
    Owner.onPlacementRequest({1}, ZoneHandle{0}, request, now);
    handleReplies(now);
  }

  /// Completes requests until \p now.
  /// \param onCompleted called with the number and the time of each.
  template <typename Completed>
  void completeUntil(Instant now, const Completed &onCompleted) {
    for (; !Running.empty() && Running.front().first <= now; Running.pop()) {
      auto [at, grant] = Running.front();
      onCompleted(grant.Request.Index, at);
      PlacementRelease release;
      release.Service = rendezvousKey("s", 0);
      release.Request = grant.Request;
      release.Ordinal = 1;
      release.Instance = grant.Instance;
      release.Outcome = AttemptOutcome::Ok;
      release.Elapsed = ServiceTime;
      Owner.onRelease({1}, release, at);
      handleReplies(at);
    }
    Owner.advance(now);
    handleReplies(now);
  }

  std::vector<Duration> RetryAfter;

private:
  void handleReplies(Instant now) {
    for (const PlacementOutput &it : Owner.output()) {
      if (it.Reply.Verdict == PlacementVerdict::Granted)
        Running.push({now + ServiceTime, it.Reply});
      if (it.Reply.Verdict == PlacementVerdict::Overloaded)
        RetryAfter.push_back(it.Reply.RetryAfter);
    }
    Owner.clearOutput();
  }

  CatalogIndex Index;
  Dispatcher Owner;
  /// Ordered by time, as all take the same time.
  std::queue<std::pair<Instant, PlacementReply>> Running;
};

/// Two workspaces send a multiple of what each of the others does.
struct ShareCase {
  std::string_view Name;
  uint32_t Workspaces;
  double HeavyFactor;
  /// Capacity in percent of the load when all send the same.
  uint32_t CapacityPercent;
  /// Requests of the other workspaces that are answered in time, in percent.
  uint32_t MinOthersPercent;
};

const ShareCase Shares[] = {
    // Two of 72 workspaces send 6 times their usual load; the usual load fits.
    {"SixTimesWhileUsualLoadFits", 72, 6, 105, 97},
    // As before with 80% of the capacity: an equal share is 80% of the load.
    {"SixTimesWhileCapacityIsShort", 72, 6, 80, 77},
    // Each sends a request every 142 s, but two send 21% of the capacity each.
    {"ManyWorkspaces", 27000, 6000, 105, 97},
};

std::ostream &operator<<(std::ostream &out, const ShareCase &row) {
  return out << row.Name;
}

class WorkspaceShares : public testing::TestWithParam<ShareCase> {};

// Guards against workspaces that displace others: by admission in arrival
// order, or because their history is lost among many workspaces.
TEST_P(WorkspaceShares, AreKeptWhileTwoSendMore) {
  const ShareCase &row = GetParam();
  QueueFixture fixture;
  std::mt19937_64 random(1);
  double usual = Capacity * 100 / row.CapacityPercent;
  double others = row.Workspaces - 2;
  double all = others + 2 * row.HeavyFactor;
  std::exponential_distribution<double> pause(usual * all / row.Workspaces);
  std::uniform_real_distribution<double> sender(0, all);
  constexpr Duration RunTime = seconds(30);
  std::map<uint32_t, Instant> othersArrived;
  uint32_t number = 0;
  uint32_t completions = 0;
  uint32_t othersInTime = 0;
  auto onCompleted = [&](uint32_t completed, Instant at) {
    ++completions;
    auto it = othersArrived.find(completed);
    if (it != othersArrived.end() && at - it->second <= Objective)
      ++othersInTime;
  };
  for (double time = pause(random); time < 30; time += pause(random)) {
    Instant now = Start + Duration(static_cast<int64_t>(time * 1e6));
    fixture.completeUntil(now, onCompleted);
    auto workspace = static_cast<uint64_t>(sender(random)) + 1;
    bool heavy = static_cast<double>(workspace) > others;
    if (heavy)
      workspace = row.Workspaces + random() % 2;
    else
      othersArrived[number + 1] = now;
    fixture.place(++number, workspace, seconds(3), now);
  }
  fixture.completeUntil(Start + RunTime + seconds(5), onCompleted);
  double percent = 100.0 * othersInTime / othersArrived.size();
  RecordProperty("others_percent", std::to_string(percent));
  EXPECT_GE(percent, row.MinOthersPercent);
  // Fair shares leave no slot unused.
  EXPECT_GE(completions, Capacity * 30 * 0.95);
}

INSTANTIATE_TEST_SUITE_P(Table, WorkspaceShares, testing::ValuesIn(Shares),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

struct FlowCase {
  std::string_view Name;
  uint32_t Flows;
  uint32_t Steps;
};

const FlowCase Flows[] = {
    {"OneFlow", 1, 4000}, {"Few", 3, 4000}, {"Many", 27000, 60000}};

std::ostream &operator<<(std::ostream &out, const FlowCase &row) {
  return out << row.Name;
}

class FairRoundsTable : public testing::TestWithParam<FlowCase> {};

// Guards against a wrong number of requests ahead when the ring of rounds grows
// or wraps, and against memory that grows with the workspaces ever seen.
TEST_P(FairRoundsTable, CountsRequestsAheadInBoundedMemory) {
  const FlowCase &row = GetParam();
  FairRounds rounds;
  std::mt19937_64 random(1);
  std::map<uint64_t, std::map<uint64_t, std::unique_ptr<QueueEntry>>> waiting;
  uint64_t order = 0;
  size_t size = 0;
  auto headOf = [&](uint64_t flow) {
    auto it = waiting.find(flow);
    return it == waiting.end() ? nullptr : it->second.begin()->second.get();
  };
  for (uint32_t step = 0; step < row.Steps; ++step) {
    uint64_t flow = random() % row.Flows;
    // The queue becomes long, then short, several times.
    bool grows = step / 500 % 2 == 0;
    if (size == 0 || random() % 10 < (grows ? 7 : 3)) {
      auto entry = std::make_unique<QueueEntry>();
      entry->Order = ++order;
      waiting[flow][order] = std::move(entry);
      rounds.add(flow, *headOf(flow));
      ++size;
    } else {
      bool served = random() % 4 > 0;
      uint64_t first = rounds.turns().begin()->Head->Order;
      auto it =
          std::find_if(waiting.begin(), waiting.end(), [&](const auto &item) {
            return item.second.contains(first);
          });
      flow = it->first;
      it->second.erase(served ? it->second.begin()
                              : std::prev(it->second.end()));
      if (it->second.empty())
        waiting.erase(it);
      if (served)
        rounds.serve(flow, headOf(flow));
      else
        rounds.remove(flow, headOf(flow));
      --size;
    }
    ASSERT_EQ(rounds.size(), size);
    ASSERT_EQ(rounds.turns().size(), waiting.size());
    ASSERT_LE(rounds.knownFlows(), waiting.size() + FairRounds::MaxIdleFlows);
    if (waiting.empty() || step % 50 > 0)
      continue;
    std::map<uint64_t, uint64_t> roundOfHead;
    for (const FlowTurn &it : rounds.turns())
      roundOfHead[it.Order] = it.Round;
    auto roundOf = [&](const auto &item) {
      return roundOfHead.at(item.second.begin()->first);
    };
    const auto &asked = *waiting.begin();
    uint64_t last = roundOf(asked) + asked.second.size();
    size_t ahead = 0;
    for (const auto &it : waiting)
      ahead += std::min<uint64_t>(it.second.size(),
                                  last + 1 - std::min(last + 1, roundOf(it)));
    ASSERT_EQ(rounds.countAhead(asked.first), ahead);
  }
}

INSTANTIATE_TEST_SUITE_P(Table, FairRoundsTable, testing::ValuesIn(Flows),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Requests that arrive at once, of which most are refused.
struct BurstCase {
  std::string_view Name;
  uint32_t Requests;
  milliseconds Remaining;
};

const BurstCase Bursts[] = {
    {"ReturnsFitFreeCapacity", 800, seconds(6)},
    {"ReturnsExceedFreeCapacity", 3000, seconds(6)},
    {"LongDeadlines", 3000, seconds(30)},
    {"ShortDeadlines", 1000, milliseconds(900)},
    {"HardlyTimeLeft", 400, milliseconds(45)},
};

std::ostream &operator<<(std::ostream &out, const BurstCase &row) {
  return out << row.Name;
}

class RefusedBurst : public testing::TestWithParam<BurstCase> {};

// Guards against refused callers that all return at once, and against a time
// that callers do not honour, after which they return when they choose.
TEST_P(RefusedBurst, ReturnsSpreadOverFreeCapacity) {
  const BurstCase &row = GetParam();
  QueueFixture fixture;
  for (uint32_t n = 1; n <= row.Requests; ++n)
    fixture.place(n, n % 72 + 1, row.Remaining, Start);
  ASSERT_FALSE(fixture.RetryAfter.empty());
  Duration slot = ReturnSchedule::SlotLength;
  std::map<int64_t, uint32_t> returns;
  uint32_t most = 0;
  for (Duration it : fixture.RetryAfter) {
    EXPECT_GT(it, Duration::zero());
    EXPECT_LE(it, row.Remaining / 3);
    most = std::max(most, ++returns[it / slot]);
  }
  // At least the later half of the permitted time can be used.
  Duration latest =
      std::min<Duration>(row.Remaining / 3, ReturnSchedule::MaxReturn);
  double slots = std::max<double>(1, static_cast<double>(latest / 2 / slot));
  double perSlot = static_cast<double>(fixture.RetryAfter.size()) / slots;
  double capacityPerSlot = Capacity * 0.05;
  EXPECT_LE(most, std::max(perSlot, capacityPerSlot) * 1.5 + 2);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusedBurst, testing::ValuesIn(Bursts),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Callers that are preferred to others when they are refused later.
struct PreferenceCase {
  std::string_view Name;
  ReturnRequest First;
  ReturnRequest Preferred;
};

const PreferenceCase Preferences[] = {
    {"HigherRank", {seconds(9), {}, 2, true}, {seconds(9), {}, 0, true}},
    {"ReachableObjective",
     {seconds(9), {}, 1, false},
     {seconds(9), {}, 1, true}},
};

std::ostream &operator<<(std::ostream &out, const PreferenceCase &row) {
  return out << row.Name;
}

class PreferredReturns : public testing::TestWithParam<PreferenceCase> {};

// Guards against early slots that are taken by whoever is refused first.
TEST_P(PreferredReturns, FindEarlierSlots) {
  ReturnSchedule schedule;
  for (int n = 0; n < 50; ++n)
    schedule.book(GetParam().First, 100, Start);
  Duration preferred = schedule.book(GetParam().Preferred, 100, Start);
  Duration other = schedule.book(GetParam().First, 100, Start);
  EXPECT_LT(preferred * 2, other);
}

INSTANTIATE_TEST_SUITE_P(Table, PreferredReturns,
                         testing::ValuesIn(Preferences), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against retries that are sent into capacity which arriving requests
// need: while they need most of it, returns are sent later.
TEST(ReturnSchedule, LeavesCapacityToArrivingRequests) {
  ReturnRequest request{seconds(9), {}, 0, true};
  Duration last[2];
  for (uint32_t busy = 0; busy < 2; ++busy) {
    ReturnSchedule schedule;
    Instant now = Start;
    for (uint32_t n = 0; n < 270 * busy; ++n)
      schedule.noteArrival(now += milliseconds(12));
    for (int n = 0; n < 20; ++n)
      last[busy] = schedule.book(request, 100, now);
  }
  EXPECT_GT(last[1], last[0] * 3);
}

} // namespace

} // namespace guavasail
