#include "reducer_state.h"

#include <algorithm>
#include <optional>

namespace guavasail {

namespace {

/// \returns why the request must not be admitted, if it must not.
std::optional<RefusalKind> admissionFault(const ReducerState &state,
                                          const Request &request,
                                          const Digest &key) {
  if (!state.Ready)
    return RefusalKind::NotReady;
  if (state.Draining)
    return RefusalKind::Draining;
  if (!admits(state.Config.fresh(request.Arrived)))
    return RefusalKind::NotFresh;
  if (!request.Route.valid())
    return RefusalKind::RouteUnknown;
  if (!key.present())
    return RefusalKind::KeyMissing;
  if (!request.Workspace.valid())
    return RefusalKind::KeyUnknown;
  if (!state.Catalog.allowed(request.Route, request.Workspace))
    return RefusalKind::RouteForbidden;
  return std::nullopt;
}

} // namespace

void ReducerState::onRequestArrived(const RequestArrived &event, Step &step) {
  Request &request = Requests.open(event.Request);
  request.Phase = RequestPhase::Trying;
  request.Repeat = event.Repeat;
  request.Fingerprint = event.Fingerprint;
  request.BodyReplayable = event.BodyBytes <= Bounds.ReplayBytes;
  request.Arrived = step.Now;
  request.Route = Catalog.route(event.Path);
  request.Workspace = Catalog.workspace(event.Key);
  if (auto fault = admissionFault(*this, request, event.Key))
    return refuse(request, *fault, step);
  Duration held = Suspects.remaining(event.Fingerprint, step.Now);
  if (held > Duration::zero())
    return refuse(request, RefusalKind::RequestQuarantined, step, held);
  Duration allowed = Catalog.at(request.Route).Timeout;
  if (event.Allowed > Duration::zero())
    allowed = std::min(allowed, event.Allowed);
  request.Deadline = step.Now + allowed;
  Timers.arm({request.Deadline, {request.Self, 0}, TimerKind::RequestDeadline});
  request.IdempotencyKey = event.IdempotencyKey;
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
  if (Draining && Requests.open() == 0)
    step.Effects.push(DrainCompleted{});
}

} // namespace guavasail
