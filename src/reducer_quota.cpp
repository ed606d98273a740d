/// \file
/// Rates by the owners of workspaces.
#include "reducer_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time for the answer of an owner in another zone, its short queue included.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(450);
/// Part of its share that a VM gives out alone. Others may give out the same
/// rate at that time, and the rate's bound leaves a tenth for all of them.
constexpr double AlonePart = 0.5;

} // namespace

void ReducerState::acceptQuotas(Step &step) {
  std::vector<QuotaLimit> limits;
  auto workspaces = Catalog.workspaces();
  for (uint32_t n = 0; n < workspaces.size(); ++n)
    if (workspaces[n].Present && workspaces[n].RatePerSecond > 0)
      limits.push_back({rendezvousKey(Catalog.name(WorkspaceHandle{n}), 0),
                        workspaces[n].RatePerSecond, workspaces[n].Burst});
  Quotas.setLimits(limits, !Members.view().HasPeers, step.Now);
}

void ReducerState::acceptQuotaMembers(uint32_t listed, uint32_t alive,
                                      Instant now) {
  if (listed == QuotaListed && alive == QuotaAlive)
    return;
  QuotaListed = listed;
  QuotaAlive = alive;
  Quotas.setShare(static_cast<double>(alive) / listed, now);
  Quotas.setOwnShare(AlonePart / listed);
}

void ReducerState::askQuota(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  if (!Quotas.limited(key)) {
    request.Phase = RequestPhase::Trying;
    return beginRun(request, step);
  }
  request.Phase = RequestPhase::Asking;
  VmHandle self = Members.view().Self;
  request.Asked = taskOwner(key, {}, step.Now);
  QuotaAsk ask{key, request.Self};
  if (request.Asked == self) {
    Quotas.ask(self, ask, step.Now);
    return flushQuotas(step);
  }
  step.Effects.push(SendPeer{request.Asked, ask});
  Timers.arm(
      {step.Now + OwnerTimeout, {request.Self, 0}, TimerKind::QuotaTimeout});
}

void ReducerState::takeQuota(const QuotaReply &reply, VmHandle from,
                             Step &step) {
  Request *request = Requests.find(reply.Request);
  if (!request || request->Phase != RequestPhase::Asking ||
      request->Asked != from)
    return;
  switch (reply.Verdict) {
  case QuotaVerdict::Admitted:
    request->Phase = RequestPhase::Trying;
    return beginRun(*request, step);
  case QuotaVerdict::Refused:
    return refuse(*request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  case QuotaVerdict::NotOwner:
    passOver(from, step);
    if (++request->AsksLost > 1 || from == Members.view().Self)
      return takeQuota(
          Quotas.askAlone({rendezvousKey(Catalog.name(request->Workspace), 0),
                           request->Self},
                          step.Now),
          from, step);
    return askQuota(*request, step);
  }
}

void ReducerState::onQuotaTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (!request || request->Phase != RequestPhase::Asking)
    return;
  decided(DecisionKind::OwnerSilent, *request, step);
  noteSilent(request->Asked, step);
  uint64_t key = rendezvousKey(Catalog.name(request->Workspace), 0);
  takeQuota(Quotas.askAlone({key, request->Self}, step.Now), request->Asked,
            step);
}

void ReducerState::flushQuotas(Step &step) {
  VmHandle self = Members.view().Self;
  std::vector<QuotaOutput> replies(Quotas.output().begin(),
                                   Quotas.output().end());
  Quotas.clearOutput();
  for (const QuotaOutput &it : replies) {
    if (it.To == self)
      takeQuota(it.Reply, self, step);
    else
      step.Effects.push(SendPeer{it.To, it.Reply});
  }
}

void ReducerState::onPeer(VmHandle from, const QuotaAsk &message, Step &step) {
  if (Draining) {
    step.Effects.push(SendPeer{from, QuotaReply{message.Request}});
    return;
  }
  Quotas.ask(from, message, step.Now);
  flushQuotas(step);
}

void ReducerState::onPeer(VmHandle from, const QuotaReply &message,
                          Step &step) {
  noteHeard(from);
  takeQuota(message, from, step);
}

} // namespace guavasail
