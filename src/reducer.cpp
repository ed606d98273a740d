#include "guavasail/reducer.h"

#include "reducer_state.h"

#include <algorithm>
#include <array>
#include <variant>

namespace guavasail {

namespace {

using Handler = void (*)(ReducerState &, const EventBody &, Step &);

template <typename Body>
using Member = void (ReducerState::*)(const Body &, Step &);

/// Calls the handler of events of type \p Body.
template <typename Body, Member<Body> Handle>
void call(ReducerState &state, const EventBody &body, Step &step) {
  (state.*Handle)(*std::get_if<Body>(&body), step);
}

/// Handlers in the order of the alternatives of `EventBody`.
constexpr std::array<Handler, std::variant_size_v<EventBody>> Handlers = {
    &call<CatalogAccepted, &ReducerState::onCatalogAccepted>,
    &call<RecordsAssigned, &ReducerState::onRecordsAssigned>,
    &call<RequestArrived, &ReducerState::onRequestArrived>,
    &call<CallerDisconnected, &ReducerState::onCallerDisconnected>,
    &call<AttemptResponded, &ReducerState::onAttemptResponded>,
    &call<AttemptCompleted, &ReducerState::onAttemptCompleted>,
    &call<AttemptFailed, &ReducerState::onAttemptFailed>,
    &call<LaneFreed, &ReducerState::onLaneFreed>,
    &call<PeerMessageReceived, &ReducerState::onPeerMessageReceived>,
    &call<ShareReplied, &ReducerState::onShareReplied>,
    &call<TimeAdvanced, &ReducerState::onTimeAdvanced>,
    &call<DrainRequested, &ReducerState::onDrainRequested>,
    &call<VmListRead, &ReducerState::onVmListRead>,
    &call<StoreReplied, &ReducerState::onStoreReplied>,
    &call<ChangeProposed, &ReducerState::onChangeProposed>,
    &call<AuditRequested, &ReducerState::onAuditRequested>,
    &call<PresenceReplied, &ReducerState::onPresenceReplied>,
    &call<LimitsChanged, &ReducerState::onLimitsChanged>,
};

/// Time before the forced end of a drain that the last answers take to their
/// callers.
constexpr Duration DrainReserve = std::chrono::milliseconds(300);

using TimerHandler = void (ReducerState::*)(const Timer &, Step &);

/// Handlers in the order of `TimerKind`.
constexpr TimerHandler TimerHandlers[] = {
    &ReducerState::onDeadline,     &ReducerState::onClaimRetry,
    &ReducerState::onClaimTimeout, &ReducerState::onRecordMaintenance,
    &ReducerState::onRateTimer,    &ReducerState::onPlacementTimeout,
    &ReducerState::onHedgeDelay,   &ReducerState::onQuotaTimeout,
    &ReducerState::onDrainEnd,
};

} // namespace

Reducer::Reducer(const ReducerInit &init)
    : State(std::make_unique<ReducerState>(init)) {}

Reducer::~Reducer() = default;

void Reducer::reduce(const Event &event, EffectBuffer &effects) {
  Step step{event.Now, effects};
  State->notePause(event.Now);
  Handlers[event.Body.index()](*State, event.Body, step);
  State->flushRates(step);
}

Instant Reducer::nextWake() const {
  return std::min({State->Timers.nextDue(), State->nextHealthTick(),
                   State->Members.nextDue(), State->Rates.nextWake(),
                   State->Config.nextDue(), State->Dispatch.nextDue(),
                   State->Quotas.nextDue(), State->Presence.nextDue(),
                   State->Held.nextDue(), State->nextFleetCheck()});
}

ReducerState::ReducerState(const ReducerInit &init)
    : Bounds(init.Bounds), Members(membershipInit(init), Catalog),
      Config(configInit(init)), Health(init.Detector),
      Picker(init.Balance, init.Seed), Records(RecordLimits{}),
      CrashQuarantine(QuarantineLimits{}),
      ClaimTokens(init.Seed), Self{vmId(init.Name), init.Incarnation},
      KeepsRecords(init.KeepsRecords), Rates(init.Rates),
      Dispatch(init.Dispatch), Quotas(init.Seed), Presence(init.Presence),
      Fleet(init.Fleet), Zone(Catalog.zone(init.Zone)),
      Held(init.Bounds.StartHold) {
  Records.setSelf(Self);
}

void ReducerState::onCatalogAccepted(const CatalogAccepted &event, Step &step) {
  Catalog.accept(*event.Catalog);
  applyCatalog(step);
}

void ReducerState::applyCatalog(Step &step) {
  Instances.resize(Catalog.instances().size());
  Health.acceptCatalog(Catalog, step.Now);
  // Owners place requests on all instances.
  if (Fleet == FleetKind::Alone)
    Subsets.refresh(Catalog, Members.view(), Zone, Bounds.MaxLanesPerInstance);
  updateRateLimits(step);
  noteEvacuations(step);
  updatePlacement(step);
  Ready = true;
  resumeHeld(step);
}

void ReducerState::onDrainRequested(const DrainRequested &, Step &step) {
  Draining = true;
  DrainStart = step.Now;
  if (Bounds.DrainGracePeriod > Duration::zero()) {
    DrainLimit = step.Now + std::max(Bounds.DrainGracePeriod - DrainReserve,
                                     Bounds.DrainAcceptPeriod);
    for (Request &it : Requests.items())
      limitToDrain(it);
  }
  Members.leave({step.Now, step.Effects});
  Presence.leave({step.Now, step.Effects});
  resignPlacement(step);
  if (Bounds.DrainAcceptPeriod > Duration::zero())
    Timers.arm({step.Now + Bounds.DrainAcceptPeriod, {}, TimerKind::DrainEnd});
  else if (Requests.open() == 0)
    step.Effects.push(DrainCompleted{});
}

void ReducerState::onLimitsChanged(const LimitsChanged &event, Step &) {
  Bounds = event.Bounds;
}

void ReducerState::onPeerMessageReceived(const PeerMessageReceived &event,
                                         Step &step) {
  std::visit([&](const auto &body) { onPeer(event.From, body, step); },
             event.Body);
}

void ReducerState::onTimeAdvanced(const TimeAdvanced &, Step &step) {
  while (Timers.nextDue() <= step.Now) {
    Timer timer = Timers.pop();
    TimerHandler handler = TimerHandlers[static_cast<size_t>(timer.Kind)];
    (this->*handler)(timer, step);
  }
  Rates.advance(step.Now);
  resumeAdmission(step);
  if (nextHealthTick() <= step.Now)
    onHealthTick(step);
  if (Members.nextDue() <= step.Now)
    Members.advance({step.Now, step.Effects});
  onConfigTick(step);
  resumeHeld(step);
  advancePlacement(step);
  Presence.advance({step.Now, step.Effects, Members.view().Vms.size()});
}

} // namespace guavasail
