#include "reducer_state.h"

namespace guavasail {

namespace {

constexpr uint32_t FirstServerErrorStatus = 500;

/// \returns what an answer's status says about the instance.
OutcomeKind outcomeOf(uint32_t status) {
  return status >= FirstServerErrorStatus ? OutcomeKind::Error
                                          : OutcomeKind::Ok;
}

/// \returns what a fault says about the instance.
OutcomeKind outcomeOf(AttemptFault fault) {
  bool connected = fault != AttemptFault::ConnectFailed &&
                   fault != AttemptFault::ConnectTimedOut;
  return connected ? OutcomeKind::Fault : OutcomeKind::Unreachable;
}

/// \returns the refusal that states what is known after a failed attempt.
RefusalKind refusalAfterFault(const Request &request, RefusalKind fallback) {
  if (!request.MayHaveRun)
    return fallback;
  return request.Repeat == Repeatability::Idempotent
             ? RefusalKind::AnswerIncomplete
             : RefusalKind::OutcomeUnknown;
}

/// \returns true if sending the request again cannot run it twice.
bool mayRepeat(const Request &request) {
  bool safe =
      request.Repeat == Repeatability::Idempotent || !request.MayHaveRun;
  return safe && request.BodyReplayable;
}

} // namespace

void ReducerState::startAttempt(Request &request, Step &step) {
  // A VM that was paused must not send what others consider ended.
  if (step.Now >= request.Deadline)
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::DeadlineTooShort),
                  step);
  ServiceHandle service = Catalog.at(request.Route).Service;
  InstanceHandle instance =
      Picker.pick({Catalog, Instances, Health.table(), Subsets.at(service),
                   service, request.Instance, Zone});
  if (!instance.valid())
    return refuse(request, refusalAfterFault(request, RefusalKind::NoInstance),
                  step);
  request.Instance = instance;
  Lane lane = Instances.takeLane(instance);
  request.Current = {request.Self, ++request.Attempts};
  request.AttemptStarted = step.Now;
  Health.attemptStarted(request.Current, instance, step.Now);
  step.Effects.push(StartAttempt{request.Current, instance, lane,
                                 request.Deadline - step.Now});
}

void ReducerState::onLaneFreed(const LaneFreed &event, Step &) {
  Instances.releaseLane(event.Instance, event.Connection);
}

void ReducerState::onAttemptAnswered(const AttemptAnswered &event, Step &step) {
  Request *request = Requests.findCurrent(event.Attempt);
  if (!request)
    return;
  InstanceState &instance = Instances.at(request->Instance);
  if (event.Load.Present) {
    instance.ReportedInUse = event.Load.SlotsInUse;
    Health.table().setLeaving(request->Instance, event.Load.Leaving, step.Now);
  }
  if (event.Shed)
    Health.attemptDropped(event.Attempt);
  else
    Health.attemptEnded(event.Attempt, outcomeOf(event.Status), step.Now);
  request->MayHaveRun |= !event.Shed;
  bool failed = event.Shed || event.Status >= FirstServerErrorStatus;
  bool again =
      failed && mayRepeat(*request) && request->Attempts < Bounds.Attempts;
  if (again) {
    step.Effects.push(CancelAttempt{request->Current});
    return startAttempt(*request, step);
  }
  request->Phase = RequestPhase::Relaying;
  request->Status = event.Status;
  step.Effects.push(RelayAnswer{request->Current});
}

void ReducerState::onAttemptCompleted(const AttemptCompleted &event,
                                      Step &step) {
  Request *request = Requests.findCurrent(event.Attempt);
  if (!request)
    return;
  Health.attemptDropped(event.Attempt);
  if (request->Status < FirstServerErrorStatus)
    Suspects.noteSuccess(request->Fingerprint);
  RecordState end =
      request->MayHaveRun ? RecordState::Done : RecordState::Released;
  settleClaim(*request, end, event.Answer, step);
  step.Effects.push(FinishAnswer{request->Self});
  closeRequest(*request, step);
}

void ReducerState::onAttemptFailed(const AttemptFailed &event, Step &step) {
  Request *request = Requests.findCurrent(event.Attempt);
  if (!request)
    return;
  request->MayHaveRun |= event.MayHaveRun;
  Health.attemptEnded(event.Attempt, outcomeOf(event.Fault), step.Now);
  if (event.Fault == AttemptFault::Reset)
    reportCrash(*request, step);
  if (request->Phase == RequestPhase::Relaying) {
    step.Effects.push(AbortAnswer{request->Self});
    return closeRequest(*request, step);
  }
  retryOrRefuse(*request, RefusalKind::InstanceUnreachable, step);
}

void ReducerState::retryOrRefuse(Request &request, RefusalKind kind,
                                 Step &step) {
  bool harmful =
      Suspects.remaining(request.Fingerprint, step.Now) > Duration::zero();
  if (!harmful && mayRepeat(request) && request.Attempts < Bounds.Attempts)
    return startAttempt(request, step);
  refuse(request, refusalAfterFault(request, kind), step);
}

void ReducerState::onDeadline(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (!request)
    return;
  if (request->Phase == RequestPhase::Claiming)
    return refuse(*request, RefusalKind::RecordsUnavailable, step);
  if (request->Phase == RequestPhase::Asking)
    return refuse(*request, RefusalKind::RateExceeded, step);
  Health.attemptTimedOut(request->Current, step.Now);
  step.Effects.push(CancelAttempt{request->Current});
  request->MayHaveRun = true;
  if (request->Phase == RequestPhase::Relaying) {
    step.Effects.push(AbortAnswer{request->Self});
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
