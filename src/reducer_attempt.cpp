#include "reducer_state.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint32_t FirstServerErrorStatus = 500;
/// Time after the request's deadline for which a response is still accepted.
constexpr Duration DeadlineGracePeriod = std::chrono::milliseconds(100);

/// \returns the health outcome of a response status.
OutcomeKind outcomeOf(uint32_t status) {
  return status >= FirstServerErrorStatus ? OutcomeKind::Error
                                          : OutcomeKind::Ok;
}

/// \returns the health outcome of a failed attempt.
OutcomeKind outcomeOf(AttemptFault fault) {
  bool connected = fault != AttemptFault::ConnectFailed &&
                   fault != AttemptFault::ConnectTimedOut;
  return connected ? OutcomeKind::Fault : OutcomeKind::Unreachable;
}

/// \returns the attempt outcome that a response head implies.
AttemptOutcome attemptOutcomeOf(const AttemptResponded &event) {
  if (event.Misdirected)
    return AttemptOutcome::Unreachable;
  // A request that was turned away is no failure of the instance.
  if (event.Shed || event.Backoff > Duration::zero())
    return AttemptOutcome::Shed;
  return event.Status >= FirstServerErrorStatus ? AttemptOutcome::Error
                                                : AttemptOutcome::Ok;
}

} // namespace

RefusalKind refusalAfterFault(const Request &request, RefusalKind fallback) {
  if (!request.MayHaveRun)
    return fallback;
  return request.Repeat == Repeatability::Idempotent
             ? RefusalKind::AnswerIncomplete
             : RefusalKind::OutcomeUnknown;
}

bool isRetrySafe(const Request &request) {
  bool safe =
      request.Repeat == Repeatability::Idempotent || !request.MayHaveRun;
  return safe && request.BodyReplayable;
}

void ReducerState::startAttempt(Request &request, Step &step) {
  if (Fleet == FleetKind::Owners)
    return requestPlacement(request, step);
  // After a pause of this VM the deadline may have passed. Other VMs consider
  // the request ended then, so it must not be sent.
  if (step.Now >= request.Deadline)
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::DeadlineTooShort),
                  step);
  ServiceHandle service = request.Service;
  InstanceHandle instance =
      Picker.pick({Catalog, Instances, Health.table(), Subsets.at(service),
                   service, request.Instance, Zone, step.Now});
  if (!instance.valid())
    return refuse(request, refusalAfterFault(request, RefusalKind::NoInstance),
                  step);
  request.Instance = instance;
  Lane lane = acquireLane(request, Subsets.at(service).Lanes);
  request.Current = {request.Self, ++request.Attempts};
  request.AttemptStarted = step.Now;
  Health.attemptStarted(request.Current, instance, step.Now);
  step.Effects.push(StartAttempt{request.Current, instance, lane,
                                 request.Deadline - step.Now});
}

/// Acquires one of \p limit lanes to the request's instance, if possible one
/// that carried no answer to it.
Lane ReducerState::acquireLane(Request &request, uint32_t limit) {
  request.CurrentLane = Instances.acquireLane(
      request.Instance, request.usedLanes(request.Instance), limit);
  return request.CurrentLane;
}

void ReducerState::onLaneFreed(const LaneFreed &event, Step &) {
  Instances.releaseLane(event.Instance, event.Connection);
}

/// Records what the instance of the current attempt said about further
/// requests.
/// \param leaving it announced its shutdown.
/// \param backoff time for which it wants no request from this VM.
void ReducerState::noteInstance(const Request &request, bool leaving,
                                Duration backoff, Instant now) {
  if (!leaving && backoff <= Duration::zero())
    return;
  InstanceNotice &notice = Instances.at(request.Instance).Notice;
  uint64_t started = Catalog.at(request.Instance).Spec.Started;
  if (notice.Started != started)
    notice = {};
  notice.Started = started;
  notice.Leaving |= leaving;
  notice.BackoffUntil = std::max(notice.BackoffUntil, now + backoff);
}

/// \returns true if the instance accepts a request from this VM as far as it
/// has said.
bool ReducerState::acceptsRequests(InstanceHandle instance, Instant now) const {
  const InstanceSpec &spec = Catalog.at(instance).Spec;
  return !spec.Leaving && !spec.Evacuated &&
         Instances.at(instance).Notice.accepts(spec.Started, now);
}

void ReducerState::onAttemptResponded(const AttemptResponded &event,
                                      Step &step) {
  Request *request = Requests.findCurrent(event.Attempt);
  if (!request)
    return;
  InstanceState &instance = Instances.at(request->Instance);
  if (event.Load.Present)
    instance.ReportedInUse = event.Load.SlotsInUse;
  if (event.Load.Present || event.Leaving)
    Health.table().setLeaving(request->Instance, event.Leaving, step.Now);
  noteInstance(*request, event.Leaving, event.Backoff, step.Now);
  if (event.Shed)
    Health.attemptDropped(event.Attempt);
  else
    Health.attemptEnded(event.Attempt, outcomeOf(event.Status), step.Now);
  request->MayHaveRun |= !event.Shed;
  if (Fleet == FleetKind::Owners)
    return relayOrRetry(*request, event, step);
  bool failed = event.Shed || event.Status >= FirstServerErrorStatus;
  bool again =
      failed && isRetrySafe(*request) && request->Attempts < Bounds.Attempts;
  if (again) {
    request->UsedLanes.push_back({request->Instance, request->CurrentLane});
    step.Effects.push(CancelAttempt{request->Current});
    return startAttempt(*request, step);
  }
  request->Phase = RequestPhase::Relaying;
  request->Status = event.Status;
  step.Effects.push(RelayResponse{request->Current});
}

/// Handles the response head of an attempt that an owner placed.
void ReducerState::relayOrRetry(Request &request, const AttemptResponded &event,
                                Step &step) {
  request.Load = event.Load;
  request.Status = event.Status;
  bool failed = event.Status >= FirstServerErrorStatus;
  bool again = failed && isRetrySafe(request) &&
               request.PossibleRuns + 1 < maxRuns(request);
  if (event.Shed || again) {
    request.UsedLanes.push_back({request.Instance, request.CurrentLane});
    step.Effects.push(CancelAttempt{request.Current});
    releaseSlot(request, attemptOutcomeOf(event), step);
    return retryAttempt(request, !event.Shed, true, RefusalKind::Overloaded,
                        step);
  }
  request.Outcome = attemptOutcomeOf(event);
  request.Phase = RequestPhase::Relaying;
  step.Effects.push(RelayResponse{request.Current});
}

void ReducerState::onAttemptCompleted(const AttemptCompleted &event,
                                      Step &step) {
  Request *request = Requests.findCurrent(event.Attempt);
  if (!request)
    return;
  Health.attemptDropped(event.Attempt);
  releaseSlot(*request, request->Outcome, step);
  reportDecision(DecisionKind::Answered, *request, step);
  if (request->Status < FirstServerErrorStatus)
    CrashQuarantine.noteSuccess(request->Fingerprint);
  RecordState end =
      request->MayHaveRun ? RecordState::Done : RecordState::Released;
  settleClaim(*request, end, event.Answer, step);
  step.Effects.push(FinishResponse{request->Self});
  closeRequest(*request, step);
}

void ReducerState::onAttemptFailed(const AttemptFailed &event, Step &step) {
  Request *request = Requests.findCurrent(event.Attempt);
  if (!request)
    return;
  request->MayHaveRun |= event.MayHaveRun;
  noteInstance(*request, event.Leaving, {}, step.Now);
  Health.attemptEnded(event.Attempt, outcomeOf(event.Fault), step.Now);
  bool owners = Fleet == FleetKind::Owners;
  if (event.Fault == AttemptFault::Reset && !owners)
    reportCrash(*request, step);
  bool sent = outcomeOf(event.Fault) != OutcomeKind::Unreachable;
  releaseSlot(*request,
              sent ? AttemptOutcome::Fault : AttemptOutcome::Unreachable, step);
  if (request->Phase == RequestPhase::Relaying) {
    step.Effects.push(AbortResponse{request->Self});
    return closeRequest(*request, step);
  }
  if (owners)
    return retryAttempt(*request, event.MayHaveRun, event.MayHaveRun,
                        RefusalKind::InstanceUnreachable, step);
  retryOrRefuse(*request, RefusalKind::InstanceUnreachable, step);
}

void ReducerState::retryOrRefuse(Request &request, RefusalKind kind,
                                 Step &step) {
  bool quarantined = CrashQuarantine.remaining(request.Fingerprint, step.Now) >
                     Duration::zero();
  if (!quarantined && isRetrySafe(request) &&
      request.Attempts < Bounds.Attempts)
    return startAttempt(request, step);
  refuse(request, refusalAfterFault(request, kind), step);
}

void ReducerState::onDeadline(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (!request)
    return;
  if (request->Phase == RequestPhase::Claiming)
    return refuse(*request, RefusalKind::RecordsUnavailable, step);
  if (request->Phase == RequestPhase::AwaitingAdmission)
    return refuse(*request, RefusalKind::RateExceeded, step);
  if (request->Phase == RequestPhase::AwaitingInstance)
    return refuse(*request,
                  refusalAfterFault(*request, RefusalKind::Overloaded), step);
  if (Fleet == FleetKind::Owners && !request->InDeadlineGrace) {
    // The instance has the same deadline and may still report the result.
    request->InDeadlineGrace = true;
    Timers.arm({step.Now + DeadlineGracePeriod, timer.Attempt,
                TimerKind::RequestDeadline});
    return;
  }
  Health.attemptTimedOut(request->Current, step.Now);
  step.Effects.push(CancelAttempt{request->Current});
  releaseSlot(*request, AttemptOutcome::TimedOut, step);
  request->MayHaveRun = true;
  if (request->Phase == RequestPhase::Relaying) {
    step.Effects.push(AbortResponse{request->Self});
    return closeRequest(*request, step);
  }
  // A cancelled attempt may have reached the backend server.
  bool idempotent = request->Repeat == Repeatability::Idempotent;
  refuse(*request,
         idempotent ? RefusalKind::DeadlineExceeded
                    : RefusalKind::OutcomeUnknown,
         step);
}

} // namespace guavasail
