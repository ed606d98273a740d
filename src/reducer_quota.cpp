/// \file
/// Rate limiting by the owners of workspaces.
#include "reducer_state.h"
#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time for the reply of an owner in another zone, waiting for a token
/// included.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(450);
/// Owners that are asked before this VM decides by itself, and those of them
/// that may let the request wait without a reply.
constexpr uint32_t MaxQuotaOwners = 5;
constexpr uint32_t MaxSilentOwners = 2;
/// Age of the question above which a token is not used: this VM was paused, and
/// the token belongs to an earlier time.
constexpr Duration TokenLifetime = std::chrono::milliseconds(600);
/// Retry delay for a caller whose VM does not reach the VM that admits it.
constexpr Duration HolderRetryAfter = std::chrono::milliseconds(300);
/// A VM that handles no event for so long may have been skipped as an owner.
constexpr Duration MaxEventGap = std::chrono::milliseconds(400);

} // namespace

void ReducerState::updateQuotaLimits(Step &step) {
  std::vector<QuotaLimit> limits;
  auto workspaces = Catalog.workspaces();
  for (uint32_t n = 0; n < workspaces.size(); ++n)
    if (workspaces[n].Present && workspaces[n].RatePerSecond > 0)
      limits.push_back({rendezvousKey(Catalog.name(WorkspaceHandle{n}), 0),
                        workspaces[n].RatePerSecond, workspaces[n].Burst});
  bool alone = !Members.view().HasPeers && !Config.usesStore();
  Quotas.setLimits(limits, alone, step.Now);
}

void ReducerState::updateQuotaShares(uint32_t listed, uint32_t alive,
                                     Instant now) {
  if (listed == QuotaListedVms && alive == QuotaAliveVms)
    return;
  QuotaListedVms = listed;
  QuotaAliveVms = alive;
  Quotas.setShare(static_cast<double>(alive) / listed, now);
  Quotas.setLocalShare(1.0 / listed);
}

void ReducerState::requestQuota(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  if (!Quotas.isLimited(key)) {
    request.Phase = RequestPhase::AttemptRunning;
    return beginRun(request, step);
  }
  request.Phase = RequestPhase::AwaitingAdmission;
  VmHandle self = Members.view().Self;
  if (request.RateHolder.valid())
    request.AskedVm = request.RateHolder;
  else
    request.AskedVm = request.OwnerTimeouts > 0
                          ? resolveReplyingOwner(key, request, step.Now)
                          : resolveOwner(key, request.UnresponsiveVm, step.Now);
  request.RateHolder = {};
  request.LastAskedAt = step.Now;
  QuotaDebt debt = Quotas.takeDebt(key, step.Now);
  request.LocalSpentTold = debt.LocalSpent;
  QuotaRequest quotaRequest{key, request.Self};
  quotaRequest.Failover =
      request.OwnerFailures > 0 || skipsOwner(key, request.AskedVm, step.Now);
  quotaRequest.LocalSpent = debt.LocalSpent;
  quotaRequest.KnownLevel = debt.KnownLevel;
  quotaRequest.KnownAge = debt.KnownAge;
  if (request.AskedVm == self)
    return acquireQuota(self, quotaRequest, step);
  step.Effects.push(SendPeer{request.AskedVm, quotaRequest});
  Timers.arm({step.Now + OwnerTimeout,
              {request.Self, request.OwnerFailures},
              TimerKind::QuotaTimeout});
}

/// \returns true if \p owner is asked because another VM is skipped.
bool ReducerState::skipsOwner(uint64_t key, VmHandle owner, Instant now) const {
  if (now >= LastBackoffUntil)
    return false;
  // No VM is skipped at the end of time.
  return resolveOwner(key, {}, NeverInstant) != owner;
}

void ReducerState::acquireQuota(VmHandle from, const QuotaRequest &request,
                                Step &step) {
  Quotas.acquire(from, request, quotaRole(request.Workspace, step.Now),
                 step.Now);
  flushQuotas(step);
}

QuotaRole ReducerState::quotaRole(uint64_t workspace, Instant now) {
  MemberView members = Members.view();
  QuotaRole role;
  role.Owner = resolveOwner(workspace, {}, now) == members.Self;
  if (Quotas.isHeld(workspace, now))
    return role;
  auto mayHold = [&](const VmEntry &vm) {
    bool gone = vm.State == VmState::Gone || vm.State == VmState::Removed;
    return !gone && &vm != &members.at(members.Self);
  };
  auto strong = [&](const VmEntry &vm) {
    return members.isStrong(vm) && mayHold(vm);
  };
  uint64_t key = ownershipKey(workspace);
  role.Peers = rendezvousTop(key, members, strong, ClaimPeers);
  if (role.Peers.empty())
    role.Peers = rendezvousTop(key, members, mayHold, ClaimPeers);
  return role;
}

/// \returns true if \p vm goes before this VM as an owner of \p workspace.
bool ReducerState::outranksSelf(VmHandle vm, uint64_t workspace) const {
  MemberView members = Members.view();
  const VmEntry &other = members.at(vm);
  const VmEntry &self = members.at(members.Self);
  if (members.isStrong(other) != members.isStrong(self))
    return members.isStrong(other);
  uint64_t key = ownershipKey(workspace);
  return rendezvousWeight(key, other.Name) > rendezvousWeight(key, self.Name);
}

void ReducerState::notePause(Instant now) {
  bool paused = LastEventAt != Instant{} && now - LastEventAt > MaxEventGap;
  if (paused && nextFleetCheck() != NeverInstant)
    Quotas.notePause(now);
  LastEventAt = now;
}

void ReducerState::onQuotaReply(const QuotaReply &reply, VmHandle from,
                                Step &step) {
  Request *request = Requests.find(reply.Request);
  // A late token is not returned: its request may have been admitted from the
  // local share meanwhile, and both together would exceed the rate.
  if (!request || request->Phase != RequestPhase::AwaitingAdmission ||
      request->AskedVm != from)
    return;
  if (reply.Verdict == QuotaVerdict::NotOwner)
    Quotas.restoreLocalSpent(reply.Workspace, request->LocalSpentTold);
  else
    Quotas.noteLevel(reply.Workspace, reply.Level, step.Now);
  switch (reply.Verdict) {
  case QuotaVerdict::Admitted:
    if (step.Now - request->LastAskedAt > TokenLifetime)
      return admitLocally(*request, step);
    request->HoldsToken = true;
    request->TokenGranter = from;
    request->Phase = RequestPhase::AttemptRunning;
    return beginRun(*request, step);
  case QuotaVerdict::Refused:
    return refuse(*request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  case QuotaVerdict::NotOwner:
    if (reply.RetryAfter > Duration::zero())
      skipOwner(from, step);
    request->RateHolder = vmOfKey(reply.Holder);
    if (request->RateHolder.valid() &&
        request->RateHolder == request->SilentOwner)
      return refuse(*request, RefusalKind::RateExceeded, step,
                    HolderRetryAfter);
    return askNextOwner(*request, step);
  }
}

/// \returns the VM whose name has the hash \p key, invalid if it is unknown.
VmHandle ReducerState::vmOfKey(uint64_t key) const {
  auto vms = Members.view().Vms;
  for (uint32_t n = 0; key != 0 && n < vms.size(); ++n)
    if (rendezvousKey(vms[n].Name, 0) == key)
      return {n};
  return {};
}

/// \returns the hash of a VM's name, 0 if it is invalid.
uint64_t ReducerState::keyOfVm(VmHandle vm) const {
  return vm.valid() ? rendezvousKey(Members.entry(vm).Name, 0) : 0;
}

/// \returns the owner among the VMs that did not leave a question of this VM
/// unanswered lately.
VmHandle ReducerState::resolveReplyingOwner(uint64_t key,
                                            const Request &request,
                                            Instant now) const {
  MemberView members = Members.view();
  auto replies = [&](const VmEntry &vm) {
    auto index = static_cast<size_t>(&vm - members.Vms.data());
    bool skipped = index < BackoffUntil.size() && now < BackoffUntil[index];
    bool missed = index < MissedReplies.size() && MissedReplies[index] > 0;
    return mayOwn(vm) && members.isStrong(vm) && !skipped && !missed &&
           index != request.UnresponsiveVm.Value;
  };
  VmHandle owner = rendezvousOwner(ownershipKey(key), members, replies);
  return owner.valid() ? owner : resolveOwner(key, request.UnresponsiveVm, now);
}

/// Asks the next owner for a token, or decides without one after several.
void ReducerState::askNextOwner(Request &request, Step &step) {
  request.UnresponsiveVm = request.AskedVm;
  if (++request.OwnerFailures >= MaxQuotaOwners ||
      request.OwnerTimeouts >= MaxSilentOwners)
    return admitLocally(request, step);
  requestQuota(request, step);
}

/// Admits or refuses a request whose workspace has no owner that replies.
void ReducerState::admitLocally(Request &request, Step &step) {
  uint64_t key = rendezvousKey(Catalog.name(request.Workspace), 0);
  QuotaReply reply = Quotas.acquireLocal({key, request.Self}, step.Now);
  if (reply.Verdict == QuotaVerdict::Refused)
    return refuse(request, RefusalKind::RateExceeded, step, reply.RetryAfter);
  request.AdmittedLocally = true;
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
  ++request->OwnerTimeouts;
  request->SilentOwner = request->AskedVm;
  uint64_t key = rendezvousKey(Catalog.name(request->Workspace), 0);
  Quotas.restoreLocalSpent(key, request->LocalSpentTold);
  askNextOwner(*request, step);
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
  for (const QuotaClaimOutput &it : Quotas.claims())
    step.Effects.push(SendPeer{it.To, it.Claim});
  Quotas.clearOutput();
  for (QuotaOutput &it : replies) {
    it.Reply.Holder = keyOfVm(it.Holder);
    if (it.To == self)
      onQuotaReply(it.Reply, self, step);
    else
      step.Effects.push(SendPeer{it.To, it.Reply});
  }
}

void ReducerState::onPeer(VmHandle from, const QuotaRequest &message,
                          Step &step) {
  if (Draining) {
    QuotaReply reply{message.Workspace, message.Request};
    reply.RetryAfter = NoOwnerTime;
    step.Effects.push(SendPeer{from, reply});
    return;
  }
  acquireQuota(from, message, step);
}

void ReducerState::onPeer(VmHandle from, const QuotaClaim &message,
                          Step &step) {
  QuotaClaimAnswer answer = Quotas.onClaim(
      from, message, outranksSelf(from, message.Workspace), Draining, step.Now);
  answer.Reply.Holder = keyOfVm(answer.Holder);
  step.Effects.push(SendPeer{from, answer.Reply});
  flushQuotas(step);
}

void ReducerState::onPeer(VmHandle from, const QuotaClaimReply &message,
                          Step &step) {
  VmHandle holder = vmOfKey(message.Holder);
  if (holder == Members.view().Self)
    holder = {};
  Quotas.onClaimReply(from, message, holder, step.Now);
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
