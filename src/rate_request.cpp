/// \file
/// Rate limiting on the request path, with requests that wait for tokens.
#include "reducer_state.h"

#include <algorithm>
#include <vector>

namespace guavasail {

void ReducerState::updateRateLimits(Step &step) {
  std::vector<RateLimit> limits;
  auto workspaces = Catalog.workspaces();
  limits.reserve(workspaces.size());
  for (uint32_t n = 0; n < workspaces.size(); ++n)
    limits.push_back({rateKey(Catalog.name(WorkspaceHandle{n})),
                      workspaces[n].RatePerSecond, workspaces[n].Burst});
  Rates.setLimits(limits, step.Now);
}

void ReducerState::updateRateMembers(Step &step) {
  MemberView view = Members.view();
  std::vector<RateMember> members;
  members.reserve(view.Vms.size());
  for (const VmEntry &it : view.Vms) {
    bool known = it.Zone.valid();
    members.push_back({rateKey(it.Name) ^ it.Incarnation,
                       known ? rateKey(Catalog.name(it.Zone)) : 0,
                       it.State == VmState::Alive});
  }
  if (view.Self.valid())
    Rates.setMembers(members, view.Self, step.Now);
}

void ReducerState::admitByRate(Request &request, Step &step) {
  Duration waited = step.Now - request.Arrived;
  bool mayWait = waited < Rates.init().TokenWaitTimeout;
  Admission admission = Rates.admit(request.Workspace, step.Now, mayWait);
  bool first = request.Phase != RequestPhase::AwaitingAdmission;
  switch (admission.Kind) {
  case AdmissionKind::Admit:
    request.Phase = RequestPhase::AttemptRunning;
    return beginRun(request, step);
  case AdmissionKind::Refuse:
    return refuse(request, RefusalKind::RateExceeded, step,
                  admission.RetryAfter);
  case AdmissionKind::Wait:
    break;
  }
  request.Phase = RequestPhase::AwaitingAdmission;
  if (first) {
    AdmissionWaiters.push_back(request.Self);
    Timers.arm({request.Arrived + Rates.init().TokenWaitTimeout,
                {request.Self, 0},
                TimerKind::RateDecision});
  }
}

void ReducerState::resumeAdmission(Step &step) {
  for (WorkspaceHandle workspace : Rates.readyWorkspaces()) {
    // Keeps the order of the requests that still wait and drops ended ones.
    size_t kept = 0;
    for (size_t n = 0; n < AdmissionWaiters.size(); ++n) {
      Request *request = Requests.find(AdmissionWaiters[n]);
      if (!request || request->Phase != RequestPhase::AwaitingAdmission)
        continue;
      if (request->Workspace == workspace)
        admitByRate(*request, step);
      if (request->Phase == RequestPhase::AwaitingAdmission)
        AdmissionWaiters[kept++] = request->Self;
    }
    AdmissionWaiters.resize(kept);
  }
  Rates.clearReadyWorkspaces();
}

void ReducerState::onRateTimer(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (request && request->Phase == RequestPhase::AwaitingAdmission)
    admitByRate(*request, step);
}

void ReducerState::onPeer(VmHandle from, const TokenRequest &message,
                          Step &step) {
  Rates.onTokenRequest(from, message, step.Now);
  resumeAdmission(step);
}

void ReducerState::onPeer(VmHandle from, const TokenGrant &message,
                          Step &step) {
  Rates.onTokenGrant(from, message, step.Now);
  resumeAdmission(step);
}

void ReducerState::onShareReplied(const ShareReplied &event, Step &step) {
  Rates.shareOwner().onReply(event.Reply, step.Now);
}

void ReducerState::flushRates(Step &step) {
  Rates.flush(step.Effects);
  for (const ShareCall &it : Rates.shareOwner().calls())
    step.Effects.push(CallShareStore{it});
  Rates.shareOwner().clearCalls();
}

} // namespace guavasail
