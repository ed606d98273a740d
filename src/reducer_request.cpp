#include "reducer_state.h"

#include <algorithm>
#include <optional>

namespace guavasail {

namespace {

/// Callers that come again reach another VM, so they need not wait long.
constexpr Duration ElsewhereRetry = std::chrono::milliseconds(100);

/// \returns why the request must not be admitted, if it must not.
std::optional<RefusalKind> admissionFault(const ReducerState &state,
                                          const Request &request,
                                          const Digest &key) {
  if (!state.Ready)
    return RefusalKind::NotReady;
  bool draining = state.Draining &&
                  request.Arrived >= state.DrainFrom + state.Bounds.DrainAccept;
  if (draining)
    return RefusalKind::Draining;
  bool open =
      request.Route.valid() && state.Catalog.at(request.Route).Anonymous;
  bool confirmed = admits(state.Config.freshState(request.Arrived));
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

/// \returns when a caller should come again, to another VM.
Duration retryElsewhere(RefusalKind kind) {
  bool here = kind == RefusalKind::NotReady || kind == RefusalKind::Draining ||
              kind == RefusalKind::NotFresh;
  return here ? ElsewhereRetry : Duration{};
}

Repeatability repeatabilityOf(const RouteEntry &route, Repeatability method) {
  if (route.Kind == RequestKind::ByMethod)
    return method;
  return route.Kind == RequestKind::AtMostOnce ? Repeatability::AtMostOnce
                                               : Repeatability::Idempotent;
}

} // namespace

void ReducerState::onRequestArrived(const RequestArrived &event, Step &step) {
  Request &request = Requests.open(event.Request);
  request.Phase = RequestPhase::Trying;
  request.Repeat = event.Repeat;
  request.Fingerprint = event.Fingerprint;
  request.BodyReplayable = event.BodyBytes <= Bounds.ReplayBytes;
  request.Arrived = step.Now;
  request.Route = Catalog.route(event.Host, event.Path);
  request.Workspace = Catalog.workspace(event.Key);
  if (auto fault = admissionFault(*this, request, event.Key))
    return refuse(request, *fault, step, retryElsewhere(*fault));
  request.Repeat = repeatabilityOf(Catalog.at(request.Route), event.Repeat);
  request.Service = Catalog.split(request.Route, SplitTurn++);
  Duration held = Suspects.remaining(event.Fingerprint, step.Now);
  if (held > Duration::zero())
    return refuse(request, RefusalKind::RequestQuarantined, step, held);
  Duration allowed = Catalog.at(request.Route).Timeout;
  if (event.Allowed > Duration::zero())
    allowed = std::min(allowed, event.Allowed);
  request.Deadline = step.Now + allowed;
  Timers.arm({request.Deadline, {request.Self, 0}, TimerKind::RequestDeadline});
  request.IdempotencyKey = event.IdempotencyKey;
  if (!request.Workspace.valid())
    return beginRun(request, step);
  if (Fleet == FleetKind::Owners)
    return askQuota(request, step);
  admitByRate(request, step);
}

void ReducerState::beginRun(Request &request, Step &step) {
  bool keyed = request.Repeat == Repeatability::AtMostOnce &&
               request.IdempotencyKey.present();
  if (keyed)
    return beginClaim(request, request.IdempotencyKey, step);
  startAttempt(request, step);
}

void ReducerState::onCallerGone(const CallerGone &event, Step &step) {
  Request *request = Requests.find(event.Request);
  if (!request)
    return;
  cancelPlace(*request, step);
  if (request->Phase == RequestPhase::Trying ||
      request->Phase == RequestPhase::Relaying) {
    Health.attemptDropped(request->Current);
    step.Effects.push(CancelAttempt{request->Current});
    request->MayHaveRun = true;
  }
  closeRequest(*request, step);
}

void ReducerState::refuse(Request &request, RefusalKind kind, Step &step,
                          Duration retryAfter) {
  cancelPlace(request, step);
  step.Effects.push(RefuseRequest{request.Self, kind, retryAfter});
  closeRequest(request, step);
}

void ReducerState::closeRequest(Request &request, Step &step) {
  // Unless the answer was recorded, all that is known is whether a backend
  // server may have seen the request.
  settleClaim(request,
              request.MayHaveRun ? RecordState::Unknown : RecordState::Released,
              {}, step);
  Requests.close(request);
  endDrainIfIdle(step);
}

void ReducerState::endDrainIfIdle(Step &step) {
  bool over = step.Now >= DrainFrom + Bounds.DrainAccept;
  if (Draining && over && Requests.open() == 0)
    step.Effects.push(DrainCompleted{});
}

void ReducerState::onDrainEnd(const Timer &, Step &step) {
  endDrainIfIdle(step);
}

void ReducerState::onPresenceReplied(const PresenceReplied &event, Step &step) {
  Presence.onReply(event, {step.Now, step.Effects});
}

void ReducerState::decided(DecisionKind kind, const Request &request,
                           Step &step, Duration wait) {
  if (Fleet != FleetKind::Owners)
    return;
  Decided it;
  it.Kind = kind;
  it.Request = request.Self;
  it.Service = request.Service;
  it.Instance = request.Instance;
  it.Workspace = request.Workspace;
  it.Vm = request.Asked;
  it.Attempt = request.Attempts;
  it.Status = request.Status;
  it.Outcome = request.Outcome;
  it.Elapsed = step.Now - request.Arrived;
  it.Wait = wait;
  it.Version = Catalog.version();
  step.Effects.push(it);
}

} // namespace guavasail
