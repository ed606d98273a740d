/// \file
/// Placement on the request path: a reducer whose VM owns all services.
#include "catalog_index.h"
#include "guavasail/reducer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A reducer with instances of one slot each, and what it asked for.
class PlaceBench {
public:
  explicit PlaceBench(uint32_t instances) : Decisions(initOf()) {
    ServiceSpec &service = Catalog.Services.emplace_back();
    service.Name = "s";
    for (uint32_t n = 0; n < instances; ++n) {
      InstanceSpec &it = service.Instances.emplace_back();
      it.Name = "i" + std::to_string(n);
      it.Slots = 1;
    }
    for (std::string_view kind : {"safe", "unsafe"}) {
      RouteSpec &route = Catalog.Routes.emplace_back();
      route.Name = kind;
      route.Prefix = "/" + std::string(kind) + "/";
      route.Service = "s";
      route.Timeout = seconds(4);
      route.Anonymous = true;
      route.Attempts = 2;
      route.Kind =
          kind == "safe" ? RequestKind::Idempotent : RequestKind::AtMostOnce;
    }
    post(CatalogAccepted{&Catalog});
  }

  void post(const EventBody &body) {
    EffectBuffer effects;
    Decisions.reduce({Now, body}, effects);
    for (const Effect &it : effects.items())
      Effects.push_back(it);
  }

  void pass(Duration time) {
    Instant end = Now + time;
    while (Decisions.nextWake() <= end) {
      Now = std::max(Now, Decisions.nextWake());
      post(TimeAdvanced{});
    }
    Now = end;
  }

  void arrive(uint32_t number, std::string_view path) {
    RequestArrived event;
    event.Request = {number, 1};
    event.Path = path;
    event.Repeat = Repeatability::Idempotent;
    event.Fingerprint = number;
    post(event);
  }

  void answer(const StartAttempt &attempt, uint32_t status) {
    AttemptAnswered event;
    event.Attempt = attempt.Attempt;
    event.Status = status;
    post(event);
  }

  /// \returns the newest effect of one kind for a request.
  template <typename Kind> std::optional<Kind> last(uint32_t number) const {
    for (auto it = Effects.rbegin(); it != Effects.rend(); ++it)
      if (const Kind *found = std::get_if<Kind>(&*it);
          found && numberOf(*found) == number)
        return *found;
    return std::nullopt;
  }

  Reducer &reducer() { return Decisions; }

private:
  static uint32_t numberOf(const StartAttempt &it) {
    return it.Attempt.Request.Index;
  }
  static uint32_t numberOf(const CancelAttempt &it) {
    return it.Attempt.Request.Index;
  }
  static uint32_t numberOf(const RelayAnswer &it) {
    return it.Attempt.Request.Index;
  }
  template <typename Kind> static uint32_t numberOf(const Kind &it) {
    return it.Request.Index;
  }

  static ReducerInit initOf() {
    ReducerInit init;
    init.Name = "vm";
    init.Zone = "z";
    init.Fleet = FleetKind::Owners;
    return init;
  }

  CatalogSpec Catalog;
  Reducer Decisions;
  Instant Now{seconds(1000)};
  std::vector<Effect> Effects;
};

/// How the first attempt of a request ends, and what the caller gets.
struct EndCase {
  std::string_view Name;
  std::string_view Path;
  /// Status of the answer, 0 for a broken connection.
  uint32_t Status;
  bool Shed;
  /// True if another instance is tried.
  bool Again;
};

const EndCase Ends[] = {
    {"IdempotentError", "/safe/x", 500, false, true},
    {"IdempotentReset", "/safe/x", 0, false, true},
    {"IdempotentShed", "/safe/x", 503, true, true},
    {"IdempotentOk", "/safe/x", 200, false, false},
    {"OnceError", "/unsafe/x", 500, false, false},
    {"OnceReset", "/unsafe/x", 0, false, false},
    {"OnceShed", "/unsafe/x", 503, true, true},
};

std::ostream &operator<<(std::ostream &out, const EndCase &row) {
  return out << row.Name;
}

class AttemptEnd : public testing::TestWithParam<EndCase> {};

TEST_P(AttemptEnd, DecidesOnAnother) {
  const EndCase &row = GetParam();
  PlaceBench bench(2);
  bench.arrive(1, row.Path);
  StartAttempt first = *bench.last<StartAttempt>(1);
  bench.pass(milliseconds(10));
  if (row.Status == 0) {
    bench.post(AttemptFailed{first.Attempt, AttemptFault::Reset, true});
  } else {
    AttemptAnswered event;
    event.Attempt = first.Attempt;
    event.Status = row.Status;
    event.Shed = row.Shed;
    bench.post(event);
  }
  StartAttempt latest = *bench.last<StartAttempt>(1);
  EXPECT_EQ(latest.Attempt.Ordinal > 1, row.Again);
  if (row.Again) {
    EXPECT_NE(latest.Instance, first.Instance);
  }
}

INSTANTIATE_TEST_SUITE_P(Table, AttemptEnd, testing::ValuesIn(Ends),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(AttemptEnd, OfAReplacedAttemptIsNotTheRequests) {
  PlaceBench bench(2);
  bench.arrive(1, "/safe/x");
  bench.arrive(2, "/safe/x");
  StartAttempt first = *bench.last<StartAttempt>(1);
  // The other instance is busy, so the request has to wait.
  bench.answer(first, 500);
  bench.post(AttemptCompleted{first.Attempt, 4, {}});
  EXPECT_FALSE(bench.last<FinishAnswer>(1));
  StartAttempt other = *bench.last<StartAttempt>(2);
  bench.answer(other, 200);
  bench.post(AttemptCompleted{other.Attempt, 4, {}});
  EXPECT_TRUE(bench.last<FinishAnswer>(2));
  EXPECT_EQ(bench.last<StartAttempt>(1)->Attempt.Ordinal, 2u);
}

TEST(Drain, KeepsWaitingRequests) {
  PlaceBench bench(1);
  bench.arrive(1, "/safe/x");
  bench.arrive(2, "/safe/x");
  EXPECT_FALSE(bench.last<StartAttempt>(2));
  bench.post(DrainRequested{});
  EXPECT_FALSE(bench.last<RefuseRequest>(2));
  StartAttempt first = *bench.last<StartAttempt>(1);
  bench.answer(first, 200);
  bench.post(AttemptCompleted{first.Attempt, 4, {}});
  bench.pass(milliseconds(500));
  EXPECT_TRUE(bench.last<StartAttempt>(2));
}

TEST(Overdue, AttemptGoesOnWhileNoOtherInstanceIsFree) {
  PlaceBench bench(2);
  bench.arrive(1, "/safe/x");
  bench.arrive(2, "/unsafe/x");
  bench.pass(milliseconds(1500));
  EXPECT_FALSE(bench.last<CancelAttempt>(1));
  bench.answer(*bench.last<StartAttempt>(1), 200);
  EXPECT_TRUE(bench.last<RelayAnswer>(1));
}

TEST(Overdue, AttemptMovesToAFreeInstance) {
  PlaceBench bench(2);
  bench.arrive(1, "/safe/x");
  bench.pass(milliseconds(1500));
  EXPECT_TRUE(bench.last<CancelAttempt>(1));
  EXPECT_EQ(bench.last<StartAttempt>(1)->Attempt.Ordinal, 2u);
}

TEST(Deadline, WaitingRequestIsRefusedAsNotRun) {
  PlaceBench bench(1);
  bench.arrive(1, "/unsafe/x");
  bench.arrive(2, "/unsafe/x");
  bench.pass(seconds(5));
  ASSERT_TRUE(bench.last<RefuseRequest>(2));
  EXPECT_EQ(refusalSpec(bench.last<RefuseRequest>(2)->Kind).Run,
            RunState::NotRun);
  // The one that was sent may have run.
  EXPECT_EQ(refusalSpec(bench.last<RefuseRequest>(1)->Kind).Run,
            RunState::OutcomeUnknown);
}

/// Paths and hosts, and the route that they select.
struct RouteCase {
  std::string_view Name;
  std::string_view Host;
  std::string_view Path;
  std::string_view Route;
};

const RouteCase Routes[] = {
    {"Longest", "a", "/p/q/x", "deep"},
    {"Shorter", "a", "/p/z", "wide"},
    {"PrefixItself", "a", "/p/", "wide"},
    {"NotASegment", "a", "/pq/x", ""},
    {"WithoutSlash", "a", "/p", ""},
    {"OtherHost", "b", "/p/q/x", "any"},
    {"NoRoute", "b", "/", ""},
};

std::ostream &operator<<(std::ostream &out, const RouteCase &row) {
  return out << row.Name;
}

class RouteChoice : public testing::TestWithParam<RouteCase> {};

TEST_P(RouteChoice, IsTheLongestPrefixOfTheHost) {
  CatalogSpec spec;
  spec.Services.emplace_back().Name = "s";
  auto add = [&](std::string_view name, std::string_view host,
                 std::string_view prefix) {
    RouteSpec &route = spec.Routes.emplace_back();
    route.Name = name;
    route.Host = host;
    route.Prefix = prefix;
    route.Service = "s";
  };
  add("wide", "a", "/p/");
  add("deep", "a", "/p/q/");
  add("any", "", "/p/q/");
  CatalogIndex index;
  index.accept(spec);
  RouteHandle route = index.route(GetParam().Host, GetParam().Path);
  EXPECT_EQ(route.valid() ? index.name(route) : "", GetParam().Route);
}

INSTANTIATE_TEST_SUITE_P(Table, RouteChoice, testing::ValuesIn(Routes),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Splits, KeepTheirWeights) {
  CatalogSpec spec;
  spec.Services.emplace_back().Name = "s";
  spec.Services.emplace_back().Name = "t";
  RouteSpec &route = spec.Routes.emplace_back();
  route.Name = "r";
  route.Prefix = "/";
  route.Service = "s";
  route.Splits = {{"s", 90}, {"t", 10}};
  CatalogIndex index;
  index.accept(spec);
  RouteHandle handle = index.route("", "/x");
  int second = 0;
  for (uint64_t turn = 0; turn < 300; ++turn)
    second += index.name(index.pickService(handle, turn)) == "t" ? 1 : 0;
  EXPECT_NEAR(second, 30, 3);
}

} // namespace

} // namespace guavasail
