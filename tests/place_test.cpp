/// \file
/// Placement on the request path, with a single VM that owns all services.
#include "catalog_index.h"
#include "guavasail/reducer.h"
#include "rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reducer with single-slot instances that records its effects.
class PlacementFixture {
public:
  /// \param started false for a VM that has no catalog yet, see `start`.
  explicit PlacementFixture(uint32_t instances,
                            const ReducerInit &init = reducerInit(),
                            bool started = true)
      : TestedReducer(init) {
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
    RouteSpec &route = Catalog.Routes.emplace_back();
    route.Name = "unreadable";
    route.Prefix = "/safe/unreadable/";
    route.Anonymous = true;
    if (started)
      start();
  }

  /// Accepts the catalog.
  void start() { post(CatalogAccepted{&Catalog}); }

  /// Applies a catalog in which the first instance is in the VM's zone but
  /// cold, and the first route has \p kind.
  void useColdLocalInstance(RequestKind kind) {
    Catalog.Services[0].Instances[0].Zone = "z";
    Catalog.Services[0].Instances[0].Cold = true;
    Catalog.Routes[0].Kind = kind;
    post(CatalogAccepted{&Catalog});
  }

  /// Applies a catalog in which all routes have a timeout.
  void setTimeout(Duration time) {
    for (RouteSpec &it : Catalog.Routes)
      it.Timeout = time;
    post(CatalogAccepted{&Catalog});
  }

  /// Applies a catalog with a workspace that may run one request a second.
  void addLimitedWorkspace() {
    WorkspaceSpec &workspace = Catalog.Workspaces.emplace_back();
    workspace.Name = "w";
    workspace.RatePerSecond = workspace.Burst = 1;
    workspace.Keys.push_back({"k", WorkspaceKey});
    post(CatalogAccepted{&Catalog});
  }

  /// Applies a catalog in which the first instance was restarted.
  void restartInstance() {
    Catalog.Services[0].Instances[0].Started = 9;
    post(CatalogAccepted{&Catalog});
  }

  static ReducerInit reducerInit() {
    ReducerInit init;
    init.Name = "vm";
    init.Zone = "z";
    init.Fleet = FleetKind::Owners;
    return init;
  }

  void post(const EventBody &body) {
    EffectBuffer effects;
    TestedReducer.reduce({Now, body}, effects);
    for (const Effect &it : effects.items())
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

  /// Lets time pass without an event.
  void pause(Duration time) { Now += time; }

  /// \returns the number of effects of one kind.
  template <typename Kind> size_t count() const {
    return static_cast<size_t>(
        std::count_if(Effects.begin(), Effects.end(), [](const Effect &it) {
          return std::holds_alternative<Kind>(it);
        }));
  }

  /// The key of the workspace that `addLimitedWorkspace` adds.
  static constexpr Digest WorkspaceKey{{1}};

  void arrive(uint32_t number, std::string_view path, const Digest &key = {}) {
    RequestArrived event;
    event.Key = key;
    event.Request = {number, 1};
    event.Path = path;
    event.Repeat = Repeatability::Idempotent;
    event.Fingerprint = number;
    post(event);
  }

  void answer(const StartAttempt &attempt, uint32_t status) {
    AttemptResponded event;
    event.Attempt = attempt.Attempt;
    event.Status = status;
    post(event);
  }

  /// \returns the newest effect of one kind for a request.
  template <typename Kind> std::optional<Kind> last(uint32_t number) const {
    for (auto it = Effects.rbegin(); it != Effects.rend(); ++it)
      if (const Kind *found = std::get_if<Kind>(&*it);
          found && requestIndexOf(*found) == number)
        return *found;
    return std::nullopt;
  }

  /// \returns true if a message to another daemon fulfils \p condition.
  template <typename Message, typename Condition>
  bool anyPeerMessage(Condition condition) const {
    return std::any_of(Effects.begin(), Effects.end(), [&](const Effect &it) {
      const auto *sent = std::get_if<SendPeer>(&it);
      const auto *message = sent ? std::get_if<Message>(&sent->Body) : nullptr;
      return message && condition(*message);
    });
  }

  /// \returns the newest message of one type to another daemon.
  template <typename Message>
  std::pair<VmHandle, Message> lastPeerMessage() const {
    for (auto it = Effects.rbegin(); it != Effects.rend(); ++it)
      if (const auto *sent = std::get_if<SendPeer>(&*it))
        if (const auto *message = std::get_if<Message>(&sent->Body))
          return {sent->To, *message};
    ADD_FAILURE() << "no such message";
    return {};
  }

private:
  static uint32_t requestIndexOf(const StartAttempt &it) {
    return it.Attempt.Request.Index;
  }
  static uint32_t requestIndexOf(const CancelAttempt &it) {
    return it.Attempt.Request.Index;
  }
  static uint32_t requestIndexOf(const RelayResponse &it) {
    return it.Attempt.Request.Index;
  }
  template <typename Kind> static uint32_t requestIndexOf(const Kind &it) {
    return it.Request.Index;
  }

  CatalogSpec Catalog;
  Reducer TestedReducer;
  Instant Now{seconds(1000)};
  std::vector<Effect> Effects;
};

/// Whether requests of a kind stay in their zone at the cost of a slower
/// instance, since their bodies or responses are large.
struct KindZoneCase {
  std::string_view Name;
  RequestKind Kind;
  bool StaysInZone;
};

const KindZoneCase KindZones[] = {
    {"Download", RequestKind::Download, true},
    {"Upload", RequestKind::Upload, true},
    {"Idempotent", RequestKind::Idempotent, false},
    {"AtMostOnce", RequestKind::AtMostOnce, false},
};

std::ostream &operator<<(std::ostream &out, const KindZoneCase &row) {
  return out << row.Name;
}

class KindZone : public testing::TestWithParam<KindZoneCase> {};

TEST_P(KindZone, DecidesPlacement) {
  PlacementFixture fixture(2);
  fixture.useColdLocalInstance(GetParam().Kind);
  fixture.arrive(1, "/safe/x");
  InstanceHandle local{0};
  EXPECT_EQ(fixture.last<StartAttempt>(1)->Instance == local,
            GetParam().StaysInZone);
}

INSTANTIATE_TEST_SUITE_P(Table, KindZone, testing::ValuesIn(KindZones),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// End of the first attempt, and whether another attempt follows.
struct AttemptEndCase {
  std::string_view Name;
  std::string_view Path;
  /// Response status, 0 for a connection reset.
  uint32_t Status;
  bool Shed;
  /// True if the request is retried on another instance.
  bool Retried;
};

const AttemptEndCase AttemptEndCases[] = {
    {"IdempotentError", "/safe/x", 500, false, true},
    {"IdempotentReset", "/safe/x", 0, false, true},
    {"IdempotentShed", "/safe/x", 503, true, true},
    {"IdempotentOk", "/safe/x", 200, false, false},
    {"AtMostOnceError", "/unsafe/x", 500, false, false},
    {"AtMostOnceReset", "/unsafe/x", 0, false, false},
    {"AtMostOnceShed", "/unsafe/x", 503, true, true},
};

std::ostream &operator<<(std::ostream &out, const AttemptEndCase &row) {
  return out << row.Name;
}

class AttemptEnd : public testing::TestWithParam<AttemptEndCase> {};

TEST_P(AttemptEnd, RetriesOnAnotherInstance) {
  const AttemptEndCase &row = GetParam();
  PlacementFixture fixture(2);
  fixture.arrive(1, row.Path);
  StartAttempt first = *fixture.last<StartAttempt>(1);
  fixture.advance(milliseconds(10));
  if (row.Status == 0) {
    fixture.post(AttemptFailed{first.Attempt, AttemptFault::Reset, true});
  } else {
    AttemptResponded event;
    event.Attempt = first.Attempt;
    event.Status = row.Status;
    event.Shed = row.Shed;
    fixture.post(event);
  }
  StartAttempt latest = *fixture.last<StartAttempt>(1);
  EXPECT_EQ(latest.Attempt.Ordinal > 1, row.Retried);
  if (row.Retried) {
    EXPECT_NE(latest.Instance, first.Instance);
  }
}

INSTANTIATE_TEST_SUITE_P(Table, AttemptEnd, testing::ValuesIn(AttemptEndCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// How the first attempt at the only instance ends.
const AttemptEndCase RepeatedCases[] = {
    {"AtMostOnceShed", "/unsafe/x", 503, true, true},
    {"IdempotentShed", "/safe/x", 503, true, true},
    {"IdempotentError", "/safe/x", 500, false, true},
};

class RepeatedAttempt : public testing::TestWithParam<AttemptEndCase> {};

/// The instance may repeat its first answer on the connection, where it would
/// be taken for the answer to the repeated attempt.
TEST_P(RepeatedAttempt, TakesAnotherConnection) {
  const AttemptEndCase &row = GetParam();
  PlacementFixture fixture(1);
  fixture.arrive(1, row.Path);
  StartAttempt first = *fixture.last<StartAttempt>(1);
  AttemptResponded event;
  event.Attempt = first.Attempt;
  event.Status = row.Status;
  event.Shed = row.Shed;
  fixture.post(LaneFreed{first.Instance, first.Connection});
  fixture.post(event);
  fixture.advance(seconds(2));
  StartAttempt second = *fixture.last<StartAttempt>(1);
  ASSERT_EQ(second.Attempt.Ordinal, 2u);
  EXPECT_EQ(second.Instance, first.Instance);
  EXPECT_NE(second.Connection, first.Connection);
  fixture.post(LaneFreed{second.Instance, second.Connection});
  fixture.answer(second, 200);
  fixture.post(AttemptCompleted{second.Attempt, 4, {}});
  // Other requests still use the connection, once the instance is in use.
  fixture.advance(seconds(3));
  fixture.arrive(2, row.Path);
  ASSERT_TRUE(fixture.last<StartAttempt>(2));
  EXPECT_EQ(fixture.last<StartAttempt>(2)->Connection, first.Connection);
}

INSTANTIATE_TEST_SUITE_P(Table, RepeatedAttempt,
                         testing::ValuesIn(RepeatedCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Routes, WithoutAServiceRefuseTheirRequests) {
  PlacementFixture fixture(1);
  fixture.arrive(1, "/safe/unreadable/x");
  EXPECT_FALSE(fixture.last<StartAttempt>(1));
  ASSERT_TRUE(fixture.last<RefuseRequest>(1));
  EXPECT_EQ(fixture.last<RefuseRequest>(1)->Kind, RefusalKind::NoInstance);
}

/// What an instance says at the end of an attempt, and whether this VM sends it
/// another request although the owner of the service, another VM, grants it.
struct GrantAfterNoticeCase {
  std::string_view Name;
  /// Response status, 0 for a connection reset.
  uint32_t Status;
  bool Leaving;
  milliseconds Backoff;
  milliseconds Later;
  bool Restarted = false;
  bool Sent = false;
};

const GrantAfterNoticeCase GrantsAfterNotice[] = {
    {"LeavingWithAnAnswer", 200, true, milliseconds(0), seconds(5)},
    {"LeavingWithAnError", 500, true, milliseconds(0), milliseconds(1)},
    {"LeavingWithAReset", 0, true, milliseconds(0), milliseconds(1)},
    {"LeavingThenRestarted", 200, true, milliseconds(0), milliseconds(1), true,
     true},
    {"Backoff", 503, false, seconds(2), milliseconds(1900)},
    {"BackoffOver", 503, false, seconds(2), milliseconds(2100), false, true},
    {"NoNotice", 200, false, milliseconds(0), milliseconds(1), false, true},
};

std::ostream &operator<<(std::ostream &out, const GrantAfterNoticeCase &row) {
  return out << row.Name;
}

class GrantAfterNotice : public testing::TestWithParam<GrantAfterNoticeCase> {};

/// \returns a VM that takes part in a fleet.
ReducerInit initWithPeer() {
  ReducerInit init = PlacementFixture::reducerInit();
  init.Self = {"vm", "10.0.0.1", 7000, "z", "r", false, 1};
  init.Incarnation = 1;
  return init;
}

/// \returns a fleet in which another VM most likely owns the service.
std::span<const VmSpec> vmsWithPeers() {
  static const std::vector<VmSpec> Vms = [] {
    std::vector<VmSpec> vms = {initWithPeer().Self};
    for (int n = 0; n < 40; ++n)
      vms.push_back(
          {"peer" + std::to_string(n), "10.0.0.2", 7000, "z", "r", false, 1});
    return vms;
  }();
  return Vms;
}

/// \returns the grant of the only instance.
PlacementReply grantOf(const PlacementRequest &request) {
  PlacementReply reply;
  reply.Request = request.Request;
  reply.Ordinal = request.Ordinal;
  reply.Verdict = PlacementVerdict::Granted;
  reply.Instance = rendezvousKey("s/i0", 0);
  return reply;
}

TEST_P(GrantAfterNotice, KeepsWhatTheInstanceSaid) {
  const GrantAfterNoticeCase &row = GetParam();
  PlacementFixture fixture(1, initWithPeer());
  fixture.post(VmListRead{vmsWithPeers()});
  auto grant = [&](uint32_t number) -> std::optional<StartAttempt> {
    fixture.arrive(number, "/unsafe/x");
    auto [owner, request] = fixture.lastPeerMessage<PlacementRequest>();
    fixture.post(PeerMessageReceived{owner, grantOf(request)});
    return fixture.last<StartAttempt>(number);
  };
  auto first = grant(1);
  ASSERT_TRUE(first);
  if (row.Status == 0) {
    fixture.post(
        AttemptFailed{first->Attempt, AttemptFault::Reset, true, row.Leaving});
  } else {
    AttemptResponded event;
    event.Attempt = first->Attempt;
    event.Status = row.Status;
    event.Leaving = row.Leaving;
    event.Backoff = row.Backoff;
    fixture.post(event);
    fixture.post(AttemptCompleted{first->Attempt, 4, {}});
  }
  PlacementRelease release = fixture.lastPeerMessage<PlacementRelease>().second;
  EXPECT_EQ(release.Leaving, row.Leaving);
  EXPECT_EQ(release.Backoff, row.Backoff);
  fixture.post(LaneFreed{first->Instance, first->Connection});
  fixture.advance(row.Later);
  if (row.Restarted)
    fixture.restartInstance();
  EXPECT_EQ(grant(2).has_value(), row.Sent);
}

INSTANTIATE_TEST_SUITE_P(Table, GrantAfterNotice,
                         testing::ValuesIn(GrantsAfterNotice),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Time for which a VM is paused between its question to the owner and the
/// grant, and what it does with the grant.
struct PausedCase {
  std::string_view Name;
  milliseconds Pause;
  bool Sent;
  bool Refused;
};

const PausedCase PausedCases[] = {
    {"Short", milliseconds(300), true, false},
    {"Seconds", seconds(3), false, false},
    {"BeyondTheDeadline", seconds(5), false, true},
};

std::ostream &operator<<(std::ostream &out, const PausedCase &row) {
  return out << row.Name;
}

class GrantAfterPause : public testing::TestWithParam<PausedCase> {};

TEST_P(GrantAfterPause, IsUsedWhileItHolds) {
  const PausedCase &row = GetParam();
  PlacementFixture fixture(1, initWithPeer());
  fixture.post(VmListRead{vmsWithPeers()});
  fixture.arrive(1, "/unsafe/x");
  auto [owner, request] = fixture.lastPeerMessage<PlacementRequest>();
  // The reply is read before the timers that became due meanwhile.
  fixture.pause(row.Pause);
  fixture.post(PeerMessageReceived{owner, grantOf(request)});
  EXPECT_EQ(fixture.last<StartAttempt>(1).has_value(), row.Sent);
  EXPECT_EQ(fixture.last<RefuseRequest>(1).has_value(), row.Refused);
  if (row.Sent)
    return;
  EXPECT_TRUE(
      fixture.anyPeerMessage<PlacementRelease>([](const PlacementRelease &it) {
        return it.Outcome == AttemptOutcome::Unused;
      }));
}

INSTANTIATE_TEST_SUITE_P(Table, GrantAfterPause, testing::ValuesIn(PausedCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Overdue, AttemptMovesWithTheGrantOfAnotherVm) {
  PlacementFixture fixture(2, initWithPeer());
  fixture.post(VmListRead{vmsWithPeers()});
  fixture.arrive(1, "/safe/x");
  auto [owner, request] = fixture.lastPeerMessage<PlacementRequest>();
  PlacementReply grant = grantOf(request);
  grant.HedgeDelay = milliseconds(1500);
  fixture.post(PeerMessageReceived{owner, grant});
  fixture.advance(milliseconds(1600));
  auto [hedgeOwner, hedge] = fixture.lastPeerMessage<PlacementRequest>();
  ASSERT_EQ(hedge.Ordinal, 2u);
  grant = grantOf(hedge);
  grant.Instance = rendezvousKey("s/i1", 0);
  fixture.post(PeerMessageReceived{hedgeOwner, grant});
  EXPECT_EQ(fixture.last<StartAttempt>(1)->Attempt.Ordinal, 2u);
}

TEST(HandOver, OnlyOneOfTwoGrantsIsUsed) {
  PlacementFixture fixture(1, initWithPeer());
  fixture.post(VmListRead{vmsWithPeers()});
  fixture.arrive(1, "/unsafe/x");
  auto [first, request] = fixture.lastPeerMessage<PlacementRequest>();
  // The owner is silent, so the next one is asked; then both grant.
  fixture.advance(milliseconds(350));
  auto [second, again] = fixture.lastPeerMessage<PlacementRequest>();
  ASSERT_NE(second, first);
  fixture.post(PeerMessageReceived{second, grantOf(again)});
  fixture.post(PeerMessageReceived{first, grantOf(request)});
  EXPECT_EQ(fixture.count<StartAttempt>(), 1U);
  auto [to, release] = fixture.lastPeerMessage<PlacementRelease>();
  EXPECT_EQ(to, first);
  EXPECT_EQ(release.Outcome, AttemptOutcome::Unused);
}

TEST(AttemptEnd, ReplacedAttemptDoesNotFinishRequest) {
  PlacementFixture fixture(2);
  fixture.arrive(1, "/safe/x");
  fixture.arrive(2, "/safe/x");
  StartAttempt first = *fixture.last<StartAttempt>(1);
  // The other instance is busy, so the retry is queued.
  fixture.answer(first, 500);
  fixture.post(AttemptCompleted{first.Attempt, 4, {}});
  EXPECT_FALSE(fixture.last<FinishResponse>(1));
  StartAttempt other = *fixture.last<StartAttempt>(2);
  fixture.answer(other, 200);
  fixture.post(AttemptCompleted{other.Attempt, 4, {}});
  EXPECT_TRUE(fixture.last<FinishResponse>(2));
  EXPECT_EQ(fixture.last<StartAttempt>(1)->Attempt.Ordinal, 2u);
}

/// A request that comes to a VM before its catalog does.
struct StartHoldCase {
  std::string_view Name;
  milliseconds Hold;
  /// When the catalog comes, after the request.
  milliseconds Catalog;
  bool CallerLeaves;
  /// When the request is sent to an instance, or refused.
  std::optional<milliseconds> Sent;
  std::optional<milliseconds> Refused;
};

const StartHoldCase StartHolds[] = {
    {"InTime", milliseconds(1500), milliseconds(800), false, milliseconds(800),
     std::nullopt},
    {"TooLate", milliseconds(1500), milliseconds(1600), false, std::nullopt,
     milliseconds(1500)},
    {"NotHeld", milliseconds(0), milliseconds(800), false, std::nullopt,
     milliseconds(0)},
    {"CallerLeaves", milliseconds(1500), milliseconds(800), true, std::nullopt,
     std::nullopt},
};

std::ostream &operator<<(std::ostream &out, const StartHoldCase &row) {
  return out << row.Name;
}

class StartHold : public testing::TestWithParam<StartHoldCase> {};

/// Guards against callers that are refused by all VMs after a loss of all,
/// since each gets requests a moment before its configuration.
TEST_P(StartHold, WaitsForTheCatalog) {
  const StartHoldCase &row = GetParam();
  ReducerInit init = PlacementFixture::reducerInit();
  init.Bounds.StartHold = row.Hold;
  PlacementFixture fixture(1, init, false);
  fixture.arrive(1, "/safe/x");
  if (row.CallerLeaves)
    fixture.post(CallerDisconnected{{1, 1}});
  std::optional<milliseconds> sent;
  std::optional<milliseconds> refused;
  constexpr milliseconds Step(100);
  for (milliseconds now(0); now <= seconds(3); now += Step) {
    if (now == row.Catalog)
      fixture.start();
    if (!sent && fixture.last<StartAttempt>(1))
      sent = now;
    if (!refused && fixture.last<RefuseRequest>(1))
      refused = now;
    fixture.advance(Step);
  }
  EXPECT_EQ(sent, row.Sent);
  EXPECT_EQ(refused, row.Refused);
}

INSTANTIATE_TEST_SUITE_P(Table, StartHold, testing::ValuesIn(StartHolds),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Guards against requests that are held for as long as the store is away: a VM
/// counts as starting for 3 s only.
TEST(StartHold, EndsWithTheStart) {
  ReducerInit init = PlacementFixture::reducerInit();
  init.Bounds.StartHold = milliseconds(1500);
  PlacementFixture fixture(1, init, false);
  fixture.arrive(1, "/safe/x");
  fixture.advance(milliseconds(2500));
  fixture.arrive(2, "/safe/x");
  fixture.advance(milliseconds(500));
  EXPECT_TRUE(fixture.last<RefuseRequest>(2));
  fixture.arrive(3, "/safe/x");
  EXPECT_TRUE(fixture.last<RefuseRequest>(3));
}

/// Guards against callers outside the limits that fill the memory of a VM which
/// has just started.
TEST(StartHold, HoldsABoundedNumberOfBytes) {
  ReducerInit init = PlacementFixture::reducerInit();
  init.Bounds.StartHold = milliseconds(1500);
  PlacementFixture fixture(1, init, false);
  std::string path = "/safe/" + std::string(size_t{60} << 10, 'x');
  for (uint32_t n = 1; n <= 20; ++n)
    fixture.arrive(n, path);
  EXPECT_FALSE(fixture.last<RefuseRequest>(1));
  EXPECT_TRUE(fixture.last<RefuseRequest>(20));
}

TEST(Drain, KeepsQueuedRequests) {
  PlacementFixture fixture(1);
  fixture.arrive(1, "/safe/x");
  fixture.arrive(2, "/safe/x");
  EXPECT_FALSE(fixture.last<StartAttempt>(2));
  fixture.post(DrainRequested{});
  EXPECT_FALSE(fixture.last<RefuseRequest>(2));
  StartAttempt first = *fixture.last<StartAttempt>(1);
  fixture.answer(first, 200);
  fixture.post(AttemptCompleted{first.Attempt, 4, {}});
  fixture.advance(milliseconds(500));
  EXPECT_TRUE(fixture.last<StartAttempt>(2));
}

/// When a request comes to a VM that drains and is ended by force after 6 s,
/// when the only slot becomes free, and what becomes of the request.
struct DrainGraceCase {
  std::string_view Name;
  /// From the start of the drain; negative before it.
  milliseconds Arrival;
  milliseconds SlotFree;
  bool Sent;
};

const DrainGraceCase DrainGraceCases[] = {
    {"QueuedBefore", milliseconds(-100), milliseconds(1000), true},
    {"QueuedUntilTheEnd", milliseconds(2500), milliseconds(5900), false},
    {"QueuedAfterTheStart", milliseconds(2500), milliseconds(4000), true},
    {"TooLate", milliseconds(3500), milliseconds(4000), false},
};

std::ostream &operator<<(std::ostream &out, const DrainGraceCase &row) {
  return out << row.Name;
}

class DrainGrace : public testing::TestWithParam<DrainGraceCase> {};

/// A request that a draining VM passes on must end before the VM does.
TEST_P(DrainGrace, CutsNoRequest) {
  constexpr milliseconds Grace = seconds(6);
  const DrainGraceCase &row = GetParam();
  ReducerInit init = PlacementFixture::reducerInit();
  init.Bounds.DrainAcceptPeriod = milliseconds(2600);
  init.Bounds.DrainGracePeriod = Grace;
  PlacementFixture fixture(1, init);
  fixture.setTimeout(seconds(8));
  // Takes the slot until its answer is complete.
  fixture.arrive(1, "/unsafe/x");
  StartAttempt first = *fixture.last<StartAttempt>(1);
  fixture.answer(first, 200);
  milliseconds now = std::min(row.Arrival, milliseconds(0));
  auto advanceTo = [&](milliseconds time) {
    fixture.advance(time - now);
    now = time;
  };
  if (row.Arrival < milliseconds(0))
    fixture.arrive(2, "/unsafe/x");
  advanceTo(milliseconds(0));
  fixture.post(DrainRequested{});
  if (row.Arrival >= milliseconds(0)) {
    advanceTo(row.Arrival);
    fixture.arrive(2, "/unsafe/x");
  }
  advanceTo(row.SlotFree);
  fixture.post(AttemptCompleted{first.Attempt, 4, {}});
  advanceTo(Grace);
  auto sent = fixture.last<StartAttempt>(2);
  EXPECT_EQ(sent.has_value(), row.Sent);
  auto refused = fixture.last<RefuseRequest>(2);
  ASSERT_TRUE(refused) << "neither answered nor refused before the end";
  if (!row.Sent) {
    EXPECT_EQ(refusalSpec(refused->Kind).Run, RunState::NotRun);
  } else {
    EXPECT_LE(row.SlotFree + sent->Remaining, Grace);
  }
}

INSTANTIATE_TEST_SUITE_P(Table, DrainGrace, testing::ValuesIn(DrainGraceCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Overdue, AttemptContinuesWithoutFreeInstance) {
  PlacementFixture fixture(2);
  fixture.arrive(1, "/safe/x");
  fixture.arrive(2, "/unsafe/x");
  fixture.advance(milliseconds(1500));
  EXPECT_FALSE(fixture.last<CancelAttempt>(1));
  fixture.answer(*fixture.last<StartAttempt>(1), 200);
  EXPECT_TRUE(fixture.last<RelayResponse>(1));
}

TEST(Overdue, AttemptMovesToAFreeInstance) {
  PlacementFixture fixture(2);
  fixture.arrive(1, "/safe/x");
  fixture.advance(milliseconds(1500));
  EXPECT_TRUE(fixture.last<CancelAttempt>(1));
  EXPECT_EQ(fixture.last<StartAttempt>(1)->Attempt.Ordinal, 2u);
}

TEST(Deadline, QueuedRequestIsRefusedAsNotRun) {
  PlacementFixture fixture(1);
  fixture.arrive(1, "/unsafe/x");
  fixture.arrive(2, "/unsafe/x");
  fixture.advance(seconds(5));
  ASSERT_TRUE(fixture.last<RefuseRequest>(2));
  EXPECT_EQ(refusalSpec(fixture.last<RefuseRequest>(2)->Kind).Run,
            RunState::NotRun);
  // The request that was sent may have run.
  EXPECT_EQ(refusalSpec(fixture.last<RefuseRequest>(1)->Kind).Run,
            RunState::OutcomeUnknown);
}

/// A host and path, and the name of the matching route.
struct RouteCase {
  std::string_view Name;
  std::string_view Host;
  std::string_view Path;
  std::string_view Route;
};

const RouteCase RouteCases[] = {
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

TEST_P(RouteChoice, SelectsLongestPrefixOfHost) {
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

INSTANTIATE_TEST_SUITE_P(Table, RouteChoice, testing::ValuesIn(RouteCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// How the only request of a workspace's token ends. A token that is not
/// returned by a request that has not run refuses callers inside their rate.
struct TokenCase {
  std::string_view Name;
  void (*End)(PlacementFixture &fixture);
  bool Returned;
};

void leaveWhileQueued(PlacementFixture &fixture) {
  fixture.post(CallerDisconnected{{2, 1}});
}

void leaveAfterRejection(PlacementFixture &fixture) {
  AttemptResponded event;
  event.Attempt = fixture.last<StartAttempt>(2)->Attempt;
  event.Status = 503;
  event.Shed = true;
  fixture.post(event);
  fixture.post(CallerDisconnected{{2, 1}});
}

void leaveWhileRunning(PlacementFixture &fixture) {
  fixture.post(CallerDisconnected{{2, 1}});
}

void complete(PlacementFixture &fixture) {
  AttemptHandle attempt = fixture.last<StartAttempt>(2)->Attempt;
  fixture.answer(*fixture.last<StartAttempt>(2), 200);
  fixture.post(AttemptCompleted{attempt, 0, {}});
}

void loseConnection(PlacementFixture &fixture) {
  AttemptHandle attempt = fixture.last<StartAttempt>(2)->Attempt;
  fixture.post(AttemptFailed{attempt, AttemptFault::Reset, true, false});
}

const TokenCase TokenCases[] = {
    {"LeftWhileQueued", &leaveWhileQueued, true},
    {"LeftAfterRejection", &leaveAfterRejection, true},
    {"LeftWhileRunning", &leaveWhileRunning, false},
    {"Completed", &complete, false},
    {"LostConnection", &loseConnection, false},
};

std::ostream &operator<<(std::ostream &out, const TokenCase &row) {
  return out << row.Name;
}

class TokenReturn : public testing::TestWithParam<TokenCase> {};

TEST_P(TokenReturn, AdmitsAnotherRequestIfTheFirstHasNotRun) {
  PlacementFixture fixture(1);
  fixture.addLimitedWorkspace();
  // An anonymous request occupies the only slot.
  if (GetParam().End == &leaveWhileQueued)
    fixture.arrive(1, "/unsafe/x");
  fixture.arrive(2, "/unsafe/x", PlacementFixture::WorkspaceKey);
  GetParam().End(fixture);
  fixture.arrive(3, "/unsafe/x", PlacementFixture::WorkspaceKey);
  auto refusal = fixture.last<RefuseRequest>(3);
  bool overRate = refusal && refusal->Kind == RefusalKind::RateExceeded;
  EXPECT_EQ(overRate, !GetParam().Returned);
}

INSTANTIATE_TEST_SUITE_P(Table, TokenReturn, testing::ValuesIn(TokenCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Splits, FollowWeights) {
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
