/// \file
/// Rate limiting by the owners of workspaces.
#include "reducer_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time for the reply of an owner in another zone, waiting for a token
/// included.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(450);
/// Fraction of its part of a rate that a VM admits while it does not reach more
/// than half of the fleet. The other VMs may admit the whole rate at that time,
/// and the rule on the rate allows an excess of a tenth.
constexpr double MinorityShare = 0.1;
/// While more than this part of the VMs are being lost, it is not known whether
/// the fleet is partitioned, nor how many VMs are left. Both parts of it would
/// admit the whole rate until each has found all VMs of the other unreachable.
constexpr uint32_t ManyLostPercent = 25;
/// Time without a further loss after which the VMs that are left are known.
constexpr Duration SettleTime = std::chrono::seconds(3);
/// Owners that are asked before a VM admits a request from its spare share.
constexpr uint32_t MaxOwners = 2;

} // namespace

void ReducerState::updateQuotaLimits(Step &step) {
  std::vector<QuotaLimit> limits;
  auto workspaces = Catalog.workspaces();
  for (uint32_t n = 0; n < workspaces.size(); ++n)
    if (workspaces[n].Present && workspaces[n].RatePerSecond > 0)
      limits.push_back({rendezvousKey(Catalog.name(WorkspaceHandle{n}), 0),
                        workspaces[n].RatePerSecond, workspaces[n].Burst});
  bool hasNoFleet = AvailableSince == Instant{};
  Quotas.setLimits(limits, hasNoFleet, step.Now);
}

void ReducerState::updateQuotaShares(uint32_t listed, uint32_t alive,
                                     Instant now) {
  constexpr uint32_t Hundred = 100;
  if (alive < QuotaAliveVms)
    LastLossAt = now;
  QuotaAliveVms = alive;
  uint32_t lost = listed - std::min(alive, listed);
  bool settled = lost < 2 || lost * Hundred <= listed * ManyLostPercent ||
                 now - LastLossAt >= SettleTime;
  bool isMajority = alive > listed / 2;
  Quotas.setShare(isMajority && settled ? 1 : MinorityShare * alive / listed,
                  now);
}

void ReducerState::updateQuotaStanding(uint64_t workspace, Step &step) {
  updateAvailability(step);
  uint64_t version = ownershipVersion();
  if (Quotas.needsStanding(workspace, version))
    Quotas.setStanding(workspace, standingFor(workspace), version, step.Now);
}

void ReducerState::requestQuota(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  if (!Quotas.isLimited(key)) {
    request.Phase = RequestPhase::AttemptRunning;
    return beginRun(request, step);
  }
  request.Phase = RequestPhase::AwaitingAdmission;
  VmHandle self = Members.view().Self;
  request.AskedVm = resolveOwner(key, request.UnresponsiveVm, step.Now);
  QuotaRequest quotaRequest{key, request.Self};
  if (request.AskedVm == self) {
    updateQuotaStanding(key, step);
    Quotas.acquire(self, quotaRequest, step.Now);
    return flushQuotas(step);
  }
  step.Effects.push(SendPeer{request.AskedVm, quotaRequest});
  Timers.arm({step.Now + OwnerTimeout,
              {request.Self, request.OwnerFailures},
              TimerKind::QuotaTimeout});
}

void ReducerState::onQuotaReply(const QuotaReply &reply, VmHandle from,
                                Step &step) {
  Request *request = Requests.find(reply.Request);
  if (!request || request->Phase != RequestPhase::AwaitingAdmission ||
      request->AskedVm != from) {
    if (reply.Verdict == QuotaVerdict::Admitted)
      returnToken(from, {reply.Workspace, reply.Request}, step);
    return;
  }
  switch (reply.Verdict) {
  case QuotaVerdict::Admitted:
    request->TokenGranter = from;
    request->HoldsToken = true;
    request->Phase = RequestPhase::AttemptRunning;
    return beginRun(*request, step);
  case QuotaVerdict::Refused:
    return refuse(*request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  case QuotaVerdict::NotOwner:
    skipOwner(from, step);
    if (++request->OwnerFailures >= MaxOwners || from == Members.view().Self)
      return admitLocally(*request, step);
    return requestQuota(*request, step);
  }
}

/// Admits or refuses a request whose workspace has no owner that replies.
void ReducerState::admitLocally(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  updateQuotaStanding(key, step);
  QuotaReply reply = Quotas.acquireLocal({key, request.Self}, step.Now);
  if (reply.Verdict == QuotaVerdict::Refused)
    return refuse(request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  request.Phase = RequestPhase::AttemptRunning;
  beginRun(request, step);
}

void ReducerState::onQuotaTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  bool isWaiting = request &&
                   request->Phase == RequestPhase::AwaitingAdmission &&
                   request->OwnerFailures == timer.Attempt.Ordinal;
  if (!isWaiting)
    return;
  reportDecision(DecisionKind::OwnerSilent, *request, step);
  noteOwnerTimeout(request->AskedVm, step);
  request->UnresponsiveVm = request->AskedVm;
  if (++request->OwnerFailures >= MaxOwners)
    return admitLocally(*request, step);
  requestQuota(*request, step);
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
  updateQuotaStanding(message.Workspace, step);
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
