#include "reducer_state.h"

#include <algorithm>
#include <optional>

namespace guavasail {

namespace {

/// Retry-after time when only this VM refuses; it is short because a retry most
/// likely reaches another VM.
constexpr Duration OtherVmRetryDelay = std::chrono::milliseconds(100);

/// \returns the reason to refuse the request, or nothing if it is admitted.
std::optional<RefusalKind> admissionRefusal(const ReducerState &state,
                                            const Request &request,
                                            const Digest &key, Instant now) {
  if (!state.Ready)
    return RefusalKind::NotReady;
  bool draining =
      state.Draining &&
      request.Arrived >= state.DrainStart + state.Bounds.DrainAcceptPeriod;
  if (draining)
    return RefusalKind::Draining;
  bool open =
      request.Route.valid() && state.Catalog.at(request.Route).Anonymous;
  bool confirmed = admits(state.Config.freshState(now));
  if (!confirmed && (key.present() || !open))
    return RefusalKind::NotFresh;
  if (!request.Route.valid())
    return RefusalKind::RouteUnknown;
  if (!key.present())
    return open ? std::nullopt : std::optional(RefusalKind::KeyMissing);
  if (!request.Workspace.valid())
    return RefusalKind::KeyUnknown;
  if (!state.Catalog.allowed(request.Route, request.Workspace))
    return RefusalKind::RouteForbidden;
  return std::nullopt;
}

/// \returns the retry-after time of a refusal by the state of this VM alone,
/// zero for other refusals.
Duration otherVmRetryDelay(RefusalKind kind) {
  bool onlyHere = kind == RefusalKind::NotReady ||
                  kind == RefusalKind::Draining ||
                  kind == RefusalKind::NotFresh;
  return onlyHere ? OtherVmRetryDelay : Duration{};
}

Repeatability repeatabilityOf(const RouteEntry &route, Repeatability method) {
  if (route.Kind == RequestKind::ByMethod)
    return method;
  bool atMostOnce = route.Kind == RequestKind::AtMostOnce ||
                    route.Kind == RequestKind::Upload;
  return atMostOnce ? Repeatability::AtMostOnce : Repeatability::Idempotent;
}

} // namespace

void ReducerState::onRequestArrived(const RequestArrived &event, Step &step) {
  Request &request = Requests.open(event.Request);
  request.Phase = RequestPhase::AttemptRunning;
  request.Repeat = event.Repeat;
  request.Fingerprint = event.Fingerprint;
  request.BodyReplayable = event.BodyBytes <= Bounds.MaxReplayBytes;
  request.Arrived = step.Now;
  bool held = Held.isStarting() &&
              Held.hold(event, decidesRequests(step.Now), step.Now);
  if (!held)
    return admitArrived(request, event, step);
  request.Phase = RequestPhase::AwaitingAdmission;
}

/// \returns true if a decision on a request does not depend on the start of
/// this VM any more.
bool ReducerState::decidesRequests(Instant now) const {
  return Draining || (Ready && admits(Config.freshState(now)));
}

/// Decides held requests once this VM can admit them, or their time is over.
void ReducerState::resumeHeld(Step &step) {
  if (Held.empty())
    return;
  bool decides = decidesRequests(step.Now);
  while (auto held = Held.take(decides, step.Now)) {
    RequestArrived event = held->event();
    Request *request = Requests.find(event.Request);
    if (request)
      admitArrived(*request, event, step);
  }
}

void ReducerState::admitArrived(Request &request, const RequestArrived &event,
                                Step &step) {
  request.Phase = RequestPhase::AttemptRunning;
  request.Route = Catalog.route(event.Host, event.Path);
  request.Workspace = Catalog.workspace(event.Key);
  if (auto refusal = admissionRefusal(*this, request, event.Key, step.Now))
    return refuse(request, *refusal, step, otherVmRetryDelay(*refusal));
  request.Repeat = repeatabilityOf(Catalog.at(request.Route), event.Repeat);
  request.Service = Catalog.pickService(request.Route, SplitCounter++);
  if (!request.Service.valid())
    return refuse(request, RefusalKind::NoInstance, step, OtherVmRetryDelay);
  Duration quarantine = CrashQuarantine.remaining(event.Fingerprint, step.Now);
  if (quarantine > Duration::zero())
    return refuse(request, RefusalKind::RequestQuarantined, step, quarantine);
  Duration allowed = Catalog.at(request.Route).Timeout;
  if (event.CallerTimeout > Duration::zero())
    allowed = std::min(allowed, event.CallerTimeout);
  request.Deadline = std::min(request.Arrived + allowed, DrainLimit);
  Timers.arm({request.Deadline, {request.Self, 0}, TimerKind::RequestDeadline});
  request.IdempotencyKey = event.IdempotencyKey;
  if (!request.Workspace.valid())
    return beginRun(request, step);
  if (Fleet == FleetKind::Owners)
    return requestQuota(request, step);
  admitByRate(request, step);
}

void ReducerState::beginRun(Request &request, Step &step) {
  if (claimsRecord(request))
    return beginClaim(request, step);
  startAttempt(request, step);
}

void ReducerState::onCallerDisconnected(const CallerDisconnected &event,
                                        Step &step) {
  Request *request = Requests.find(event.Request);
  if (!request)
    return;
  cancelPlacement(*request, step);
  if (request->Phase == RequestPhase::AttemptRunning ||
      request->Phase == RequestPhase::Relaying) {
    Health.attemptDropped(request->Current);
    step.Effects.push(CancelAttempt{request->Current});
    request->MayHaveRun = true;
  }
  closeRequest(*request, step);
}

void ReducerState::refuse(Request &request, RefusalKind kind, Step &step,
                          Duration retryAfter) {
  cancelPlacement(request, step);
  step.Effects.push(RefuseRequest{request.Self, kind, retryAfter});
  closeRequest(request, step);
}

void ReducerState::closeRequest(Request &request, Step &step) {
  // Has no effect on a claim that was settled with a response. Otherwise only
  // whether a backend server may have received the request is known.
  settleClaim(request,
              request.MayHaveRun ? RecordState::Unknown : RecordState::Released,
              {}, step);
  returnUnusedToken(request, step);
  Requests.close(request);
  endDrainIfIdle(step);
}

void ReducerState::endDrainIfIdle(Step &step) {
  bool over = step.Now >= DrainStart + Bounds.DrainAcceptPeriod;
  if (Draining && over && Requests.open() == 0)
    step.Effects.push(DrainCompleted{});
}

/// Ends a request before this VM is ended by force: it is refused if no
/// instance has got it by then. An answer on its way to the caller goes on.
void ReducerState::limitToDrain(Request &request) {
  if (request.Phase == RequestPhase::Free ||
      request.Phase == RequestPhase::Relaying || request.Deadline <= DrainLimit)
    return;
  request.Deadline = DrainLimit;
  Timers.arm({DrainLimit, {request.Self, 0}, TimerKind::RequestDeadline});
}

void ReducerState::onDrainEnd(const Timer &, Step &step) {
  endDrainIfIdle(step);
}

void ReducerState::onPresenceReplied(const PresenceReplied &event, Step &step) {
  Presence.onReply(event, {step.Now, step.Effects});
}

void ReducerState::reportDecision(DecisionKind kind, const Request &request,
                                  Step &step, Duration wait) {
  if (Fleet != FleetKind::Owners)
    return;
  RequestDecision it;
  it.Kind = kind;
  it.Request = request.Self;
  it.Service = request.Service;
  it.Instance = request.Instance;
  it.Workspace = request.Workspace;
  it.Vm = request.AskedVm;
  if (request.HoldsToken)
    it.RateOwner = request.TokenGranter;
  it.AdmittedLocally = request.AdmittedLocally;
  it.Attempt = request.Attempts;
  it.Status = request.Status;
  it.Outcome = request.Outcome;
  it.Elapsed = step.Now - request.Arrived;
  it.Wait = wait;
  it.Version = Catalog.version();
  it.MarkAge = Config.markAge(step.Now);
  step.Effects.push(it);
}

} // namespace guavasail
