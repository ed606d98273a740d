/// \file
/// Rate limiting by the owners of workspaces.
#include "reducer_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time for the reply of an owner in another zone, waiting for a token
/// included.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(450);
/// Fraction of its share that a VM admits when it cannot reach an owner. Other
/// VMs may admit from the same rate at that time, and the bound on the rate
/// allows an excess of a tenth for all of them.
constexpr double LocalShareFactor = 0.5;

} // namespace

void ReducerState::updateQuotaLimits(Step &step) {
  std::vector<QuotaLimit> limits;
  auto workspaces = Catalog.workspaces();
  for (uint32_t n = 0; n < workspaces.size(); ++n)
    if (workspaces[n].Present && workspaces[n].RatePerSecond > 0)
      limits.push_back({rendezvousKey(Catalog.name(WorkspaceHandle{n}), 0),
                        workspaces[n].RatePerSecond, workspaces[n].Burst});
  Quotas.setLimits(limits, !Members.view().HasPeers, step.Now);
}

void ReducerState::updateQuotaShares(uint32_t listed, uint32_t alive,
                                     Instant now) {
  if (listed == QuotaListedVms && alive == QuotaAliveVms)
    return;
  QuotaListedVms = listed;
  QuotaAliveVms = alive;
  Quotas.setShare(static_cast<double>(alive) / listed, now);
  Quotas.setLocalShare(LocalShareFactor / listed);
}

void ReducerState::requestQuota(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  if (!Quotas.isLimited(key)) {
    request.Phase = RequestPhase::AttemptRunning;
    return beginRun(request, step);
  }
  request.Phase = RequestPhase::AwaitingAdmission;
  VmHandle self = Members.view().Self;
  request.AskedVm = resolveOwner(key, {}, step.Now);
  QuotaRequest quotaRequest{key, request.Self};
  if (request.AskedVm == self) {
    Quotas.acquire(self, quotaRequest, step.Now);
    return flushQuotas(step);
  }
  step.Effects.push(SendPeer{request.AskedVm, quotaRequest});
  Timers.arm(
      {step.Now + OwnerTimeout, {request.Self, 0}, TimerKind::QuotaTimeout});
}

void ReducerState::onQuotaReply(const QuotaReply &reply, VmHandle from,
                                Step &step) {
  Request *request = Requests.find(reply.Request);
  // A late token is not returned: its request may have been admitted from the
  // local share meanwhile, and both together would exceed the rate.
  if (!request || request->Phase != RequestPhase::AwaitingAdmission ||
      request->AskedVm != from)
    return;
  switch (reply.Verdict) {
  case QuotaVerdict::Admitted:
    request->HoldsToken = true;
    request->TokenGranter = from;
    request->Phase = RequestPhase::AttemptRunning;
    return beginRun(*request, step);
  case QuotaVerdict::Refused:
    return refuse(*request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  case QuotaVerdict::NotOwner:
    skipOwner(from, step);
    if (++request->OwnerFailures > 1 || from == Members.view().Self)
      return admitLocally(*request, step);
    return requestQuota(*request, step);
  }
}

/// Admits or refuses a request whose workspace has no owner that replies.
void ReducerState::admitLocally(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  QuotaReply reply = Quotas.acquireLocal({key, request.Self}, step.Now);
  if (reply.Verdict == QuotaVerdict::Refused)
    return refuse(request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  request.Phase = RequestPhase::AttemptRunning;
  beginRun(request, step);
}

void ReducerState::onQuotaTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (!request || request->Phase != RequestPhase::AwaitingAdmission)
    return;
  reportDecision(DecisionKind::OwnerSilent, *request, step);
  noteOwnerTimeout(request->AskedVm, step);
  admitLocally(*request, step);
}

void ReducerState::returnToken(VmHandle granter, const QuotaReturn &unused,
                               Step &step) {
  if (granter != Members.view().Self) {
    step.Effects.push(SendPeer{granter, unused});
    return;
  }
  Quotas.returnToken(unused, step.Now);
  flushQuotas(step);
}

/// Returns the token of a request that ends without having run.
void ReducerState::returnUnusedToken(const Request &request, Step &step) {
  if (!request.HoldsToken || request.MayHaveRun)
    return;
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  returnToken(request.TokenGranter, {key, request.Self}, step);
}

void ReducerState::flushQuotas(Step &step) {
  VmHandle self = Members.view().Self;
  std::vector<QuotaOutput> replies(Quotas.output().begin(),
                                   Quotas.output().end());
  Quotas.clearOutput();
  for (const QuotaOutput &it : replies) {
    if (it.To == self)
      onQuotaReply(it.Reply, self, step);
    else
      step.Effects.push(SendPeer{it.To, it.Reply});
  }
}

void ReducerState::onPeer(VmHandle from, const QuotaRequest &message,
                          Step &step) {
  if (Draining) {
    step.Effects.push(
        SendPeer{from, QuotaReply{message.Workspace, message.Request}});
    return;
  }
  Quotas.acquire(from, message, step.Now);
  flushQuotas(step);
}

void ReducerState::onPeer(VmHandle, const QuotaReturn &message, Step &step) {
  Quotas.returnToken(message, step.Now);
  flushQuotas(step);
}

void ReducerState::onPeer(VmHandle from, const QuotaReply &message,
                          Step &step) {
  noteOwnerReply(from);
  onQuotaReply(message, from, step);
}

} // namespace guavasail
