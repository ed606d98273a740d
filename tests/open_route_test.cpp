/// \file
/// Requests of callers with and without a workspace, through the reducer:
/// idempotency keys, and configurations that change under a waiting request.
#include "guavasail/catalog.h"
#include "guavasail/reducer.h"
#include "guavasail/refusal.h"
#include "record_assignment.h"
#include "vm_index.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view VmName = "vm";
constexpr Digest CallerKey{{1}};
constexpr Digest IdempotencyKey{{7}};
/// Hash that all requests share, so that one may pass for another's repetition.
constexpr uint64_t Fingerprint = 99;

/// Who may use the routes, and what callers send.
struct AccessCase {
  std::string_view Name;
  /// The configuration has a workspace.
  bool HasWorkspace;
  /// The routes admit requests without a key.
  bool Open;
  /// Requests carry the key of the workspace.
  bool WithKey;
};

constexpr AccessCase Accesses[] = {
    {"OpenWithoutKey", true, true, false},
    {"OpenWithKey", true, true, true},
    {"Keyed", true, false, true},
    {"NoWorkspaces", false, true, false},
};

struct KindCase {
  std::string_view Name;
  RequestKind Kind;
  bool AtMostOnce;
};

/// Kinds of routes, for requests whose method may run once.
constexpr KindCase Kinds[] = {
    {"ByMethod", RequestKind::ByMethod, true},
    {"Idempotent", RequestKind::Idempotent, false},
    {"AtMostOnce", RequestKind::AtMostOnce, true},
    {"Download", RequestKind::Download, false},
    {"Upload", RequestKind::Upload, true},
};

struct HeaderCase {
  std::string_view Name;
  bool WithIdempotencyKey;
};

constexpr HeaderCase Headers[] = {{"Plain", false},
                                  {"WithIdempotencyKey", true}};

struct FleetCase {
  std::string_view Name;
  FleetKind Fleet;
  /// Idempotency records are kept, and their replicas assigned.
  bool KeepsRecords;
};

constexpr FleetCase Fleets[] = {
    {"Alone", FleetKind::Alone, true},
    {"Owners", FleetKind::Owners, false},
    {"OwnersWithRecords", FleetKind::Owners, true},
};

std::ostream &operator<<(std::ostream &out, const AccessCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const KindCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const HeaderCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const FleetCase &row) {
  return out << row.Name;
}

/// One VM with one service of one single-slot instance.
class OpenRouteFixture {
public:
  OpenRouteFixture(const FleetCase &fleet, const AccessCase &access,
                   RequestKind kind)
      : Access(access), TestedReducer(reducerInit(fleet)) {
    ServiceSpec &service = Catalog.Services.emplace_back();
    service.Name = "s";
    InstanceSpec &instance = service.Instances.emplace_back();
    instance.Name = "i";
    instance.Slots = 1;
    RouteSpec &route = Catalog.Routes.emplace_back();
    route.Name = "r";
    route.Prefix = "/r/";
    route.Service = "s";
    route.Timeout = seconds(4);
    route.Attempts = 2;
    route.Kind = kind;
    route.Anonymous = access.Open;
    if (access.HasWorkspace) {
      WorkspaceSpec &workspace = Catalog.Workspaces.emplace_back();
      workspace.Name = "w";
      workspace.RatePerSecond = workspace.Burst = 100;
      workspace.Keys.push_back({"k", CallerKey});
    }
    post(CatalogAccepted{&Catalog});
    if (fleet.KeepsRecords)
      assignRecords();
    // The token bucket of a VM that has just started is empty.
    advance(seconds(2));
  }

  void post(const EventBody &body) {
    EffectBuffer buf;
    TestedReducer.reduce({Now, body}, buf);
    for (const Effect &it : buf.items())
      Effects.push_back(it);
  }

  void advance(Duration time) {
    Instant end = Now + time;
    while (TestedReducer.nextWake() <= end) {
      Now = std::max(Now, TestedReducer.nextWake());
      post(TimeAdvanced{});
    }
    Now = end;
  }

  void arrive(uint32_t number, bool withIdempotencyKey) {
    RequestArrived event;
    event.Request = {number, 1};
    event.Path = "/r/x";
    event.Repeat = Repeatability::AtMostOnce;
    event.Fingerprint = Fingerprint;
    if (Access.WithKey)
      event.Key = CallerKey;
    if (withIdempotencyKey)
      event.IdempotencyKey = IdempotencyKey;
    post(event);
  }

  /// Answers the running attempt of a request.
  void answer(uint32_t number) {
    StartAttempt attempt = *last<StartAttempt>(number);
    AttemptResponded head;
    head.Attempt = attempt.Attempt;
    head.Status = 200;
    post(head);
    post(AttemptCompleted{attempt.Attempt, 4, "kept"});
    post(LaneFreed{attempt.Instance, attempt.Connection});
  }

  /// \returns the number of effects of one kind for a request.
  template <typename Kind> size_t count(uint32_t number) const {
    return static_cast<size_t>(
        std::count_if(Effects.begin(), Effects.end(), [&](const Effect &it) {
          const Kind *found = std::get_if<Kind>(&it);
          return found && requestOf(*found).Index == number;
        }));
  }

  /// \returns the newest effect of one kind for a request.
  template <typename Kind> std::optional<Kind> last(uint32_t number) const {
    for (auto it = Effects.rbegin(); it != Effects.rend(); ++it)
      if (const Kind *found = std::get_if<Kind>(&*it);
          found && requestOf(*found).Index == number)
        return *found;
    return std::nullopt;
  }

  CatalogSpec Catalog;

private:
  static ReducerInit reducerInit(const FleetCase &fleet) {
    ReducerInit init;
    init.Name = VmName;
    init.Zone = "z";
    init.Incarnation = 1;
    init.Fleet = fleet.Fleet;
    init.KeepsRecords = fleet.KeepsRecords;
    return init;
  }

  /// Makes this VM the only replica of all records since their beginning.
  void assignRecords() {
    RecordAssignment assignment;
    assignment.Epoch = 1;
    assignment.Replicas.Items[0] = {vmId(VmName), 1};
    std::vector<RecordAssignment> all(RecordPartitions, assignment);
    post(RecordsAssigned{all});
  }

  static RequestHandle requestOf(const StartAttempt &it) {
    return it.Attempt.Request;
  }
  template <typename Kind> static RequestHandle requestOf(const Kind &it) {
    return it.Request;
  }

  AccessCase Access;
  Reducer TestedReducer;
  Instant Now{seconds(1000)};
  std::vector<Effect> Effects;
};

using KeyRow = std::tuple<FleetCase, AccessCase, KindCase, HeaderCase>;

/// \returns the names of the parts of a row, one after the other.
template <typename Row> std::string nameOf(const Row &row) {
  return std::apply(
      [](const auto &...it) {
        std::string name;
        (name.append(it.Name), ...);
        return name;
      },
      row);
}

class OpenRoute : public testing::TestWithParam<KeyRow> {
protected:
  /// \returns true if the fleet promises to match repeated requests of the row.
  static bool isMatched() {
    const auto &[fleet, access, kind, header] = GetParam();
    return fleet.KeepsRecords && access.WithKey && kind.AtMostOnce &&
           header.WithIdempotencyKey;
  }
};

/// Guards against an idempotency key without a workspace that ends the daemon.
TEST_P(OpenRoute, RequestIsServed) {
  const auto &[fleet, access, kind, header] = GetParam();
  OpenRouteFixture fixture(fleet, access, kind.Kind);
  fixture.arrive(1, header.WithIdempotencyKey);
  ASSERT_EQ(fixture.count<StartAttempt>(1), 1u);
  fixture.answer(1);
  EXPECT_EQ(fixture.count<FinishResponse>(1), 1u);
  EXPECT_EQ(fixture.count<RefuseRequest>(1), 0u);
}

/// Guards against a caller that gets the answer to another caller's request,
/// because both chose the same idempotency key.
TEST_P(OpenRoute, AnswerIsRepeatedWithinItsWorkspaceOnly) {
  const auto &[fleet, access, kind, header] = GetParam();
  OpenRouteFixture fixture(fleet, access, kind.Kind);
  fixture.arrive(1, header.WithIdempotencyKey);
  fixture.answer(1);
  fixture.arrive(2, header.WithIdempotencyKey);
  EXPECT_EQ(fixture.count<ReplayResponse>(2), isMatched() ? 1u : 0u);
  EXPECT_EQ(fixture.count<StartAttempt>(2), isMatched() ? 0u : 1u);
}

/// Guards against a request that may run once and is sent again, or refused as
/// not run, after an instance may have run it.
TEST_P(OpenRoute, LostAnswerIsNoReasonToRunAgain) {
  const auto &[fleet, access, kind, header] = GetParam();
  OpenRouteFixture fixture(fleet, access, kind.Kind);
  fixture.arrive(1, header.WithIdempotencyKey);
  StartAttempt attempt = *fixture.last<StartAttempt>(1);
  fixture.post(AttemptFailed{attempt.Attempt, AttemptFault::Reset, true});
  fixture.post(LaneFreed{attempt.Instance, attempt.Connection});
  EXPECT_EQ(fixture.count<StartAttempt>(1), kind.AtMostOnce ? 1u : 2u);
  if (!kind.AtMostOnce)
    return;
  ASSERT_EQ(fixture.count<RefuseRequest>(1), 1u);
  EXPECT_EQ(fixture.last<RefuseRequest>(1)->Kind, RefusalKind::OutcomeUnknown);
}

INSTANTIATE_TEST_SUITE_P(Table, OpenRoute,
                         testing::Combine(testing::ValuesIn(Fleets),
                                          testing::ValuesIn(Accesses),
                                          testing::ValuesIn(Kinds),
                                          testing::ValuesIn(Headers)),
                         [](const auto &it) { return nameOf(it.param); });

/// What the next configuration does not contain any more.
struct LossCase {
  std::string_view Name;
  void (*Apply)(CatalogSpec &catalog);
};

void dropRoute(CatalogSpec &catalog) { catalog.Routes.clear(); }
void dropInstance(CatalogSpec &catalog) {
  catalog.Services[0].Instances.clear();
}
void dropService(CatalogSpec &catalog) { catalog.Services.clear(); }
void dropWorkspace(CatalogSpec &catalog) { catalog.Workspaces.clear(); }
void dropAll(CatalogSpec &catalog) { catalog = {}; }

constexpr LossCase Losses[] = {
    {"Route", &dropRoute},     {"Instance", &dropInstance},
    {"Service", &dropService}, {"Workspace", &dropWorkspace},
    {"Everything", &dropAll},
};

std::ostream &operator<<(std::ostream &out, const LossCase &row) {
  return out << row.Name;
}

using LossRow = std::tuple<FleetCase, AccessCase, KindCase, LossCase>;

class LossUnderRequest : public testing::TestWithParam<LossRow> {};

/// Guards against a handle that is used after the configuration has dropped
/// what it names, while one request runs and another one waits.
TEST_P(LossUnderRequest, EndsEachRequestOnce) {
  const auto &[fleet, access, kind, loss] = GetParam();
  OpenRouteFixture fixture(fleet, access, kind.Kind);
  fixture.arrive(1, true);
  fixture.arrive(2, false);
  loss.Apply(fixture.Catalog);
  fixture.post(CatalogAccepted{&fixture.Catalog});
  fixture.advance(milliseconds(100));
  fixture.answer(1);
  fixture.advance(seconds(10));
  for (uint32_t number : {1U, 2U}) {
    size_t ends = fixture.count<FinishResponse>(number) +
                  fixture.count<RefuseRequest>(number) +
                  fixture.count<AbortResponse>(number);
    EXPECT_EQ(ends, 1u) << number;
  }
  EXPECT_EQ(fixture.count<FinishResponse>(1), 1u);
}

INSTANTIATE_TEST_SUITE_P(Table, LossUnderRequest,
                         testing::Combine(testing::ValuesIn(Fleets),
                                          testing::ValuesIn(Accesses),
                                          testing::ValuesIn(Kinds),
                                          testing::ValuesIn(Losses)),
                         [](const auto &it) { return nameOf(it.param); });

} // namespace

} // namespace guavasail
