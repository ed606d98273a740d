/// \file
/// Placement by the owners of services: requests for slots, grants, hedging,
/// and failover when an owner does not respond.
#include "reducer_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time for the reply of an owner in another zone, waiting in its queue
/// excluded. TCP retransmits a lost packet after 200 ms at the earliest.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(320);
/// Consecutive timeouts after which an owner is skipped.
constexpr uint8_t MaxOwnerTimeouts = 2;
/// Time between two checks that the owner still queues a request.
constexpr Duration RenewInterval = std::chrono::milliseconds(400);
/// Time for which an owner that did not respond is skipped.
constexpr Duration SkipOwnerTime = std::chrono::seconds(2);
/// Age of the latest question to the owner above which a grant is not used:
/// this VM was paused, and the owner may have given the slot to another one.
constexpr Duration GrantLifetime = std::chrono::seconds(1);
/// Owners that are tried before this VM places the request itself.
constexpr uint32_t MaxOwners = 2;
/// Attempts of one request, including those that reached no instance.
constexpr uint32_t MaxAttempts = 6;
/// Time between two checks of the members.
constexpr Duration FleetCheckInterval = std::chrono::milliseconds(250);
/// Retry delay for a caller that another VM may be able to serve.
constexpr Duration NoInstanceRetryAfter = std::chrono::milliseconds(300);
/// Retry delay for a caller whose retry exceeds the budget. It is shorter,
/// since the caller's next try counts as a new request.
constexpr Duration BudgetRetryAfter = std::chrono::milliseconds(120);

uint64_t ownerKey(std::string_view name) { return rendezvousKey(name, 0); }

} // namespace

void ReducerState::updatePlacement(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  auto instances = Catalog.instances();
  // Names keep their handles, so only new ones are added.
  for (auto n = static_cast<uint32_t>(InstanceOfKey.size());
       n < instances.size(); ++n)
    InstanceOfKey.emplace(rendezvousKey(Catalog.name(InstanceHandle{n}), 0),
                          InstanceHandle{n});
  for (uint32_t n = 0; n < instances.size(); ++n) {
    // An entry that returns under the same name is another incarnation.
    if (!instances[n].Present)
      Instances.at({n}).Notice = {};
  }
  Dispatch.acceptCatalog(Catalog, step.Now);
  flushPlacement(step);
  updateQuotaLimits(step);
}

VmHandle ReducerState::resolveOwner(uint64_t key, VmHandle skip,
                                    Instant now) const {
  MemberView members = Members.view();
  auto eligible = [&](const VmEntry &vm) {
    auto index = static_cast<size_t>(&vm - members.Vms.data());
    bool skipped = index < BackoffUntil.size() && now < BackoffUntil[index];
    return mayOwn(vm) && !skipped && index != skip.Value;
  };
  auto eligibleAndStrong = [&](const VmEntry &vm) {
    return members.isStrong(vm) && eligible(vm);
  };
  VmHandle owner =
      rendezvousOwner(ownershipKey(key), members, eligibleAndStrong);
  if (!owner.valid())
    owner = rendezvousOwner(ownershipKey(key), members, eligible);
  return owner.valid() ? owner : members.Self;
}

void ReducerState::skipOwner(VmHandle vm, Step &step) {
  if (!vm.valid() || vm == Members.view().Self)
    return;
  if (BackoffUntil.size() <= vm.Value)
    BackoffUntil.resize(vm.Value + 1);
  BackoffUntil[vm.Value] = step.Now + SkipOwnerTime;
  LastBackoffUntil = step.Now + SkipOwnerTime;
}

void ReducerState::noteOwnerTimeout(VmHandle vm, Step &step) {
  if (!vm.valid())
    return;
  if (MissedReplies.size() <= vm.Value)
    MissedReplies.resize(vm.Value + 1);
  if (++MissedReplies[vm.Value] < MaxOwnerTimeouts)
    return;
  MissedReplies[vm.Value] = 0;
  skipOwner(vm, step);
}

void ReducerState::noteOwnerReply(VmHandle vm) {
  if (vm.valid() && vm.Value < MissedReplies.size())
    MissedReplies[vm.Value] = 0;
}

uint32_t ReducerState::maxRuns(const Request &request) const {
  uint32_t routeLimit = Catalog.at(request.Route).Attempts;
  return routeLimit > 0 ? routeLimit : Bounds.Attempts;
}

PlacementRequest ReducerState::makePlacementRequest(const Request &request,
                                                    Instant now) const {
  const RouteEntry &route = Catalog.at(request.Route);
  PlacementRequest placement;
  placement.Service = ownerKey(Catalog.name(request.Service));
  placement.Request = request.Self;
  placement.Ordinal = request.Attempts + 1;
  placement.Rank = route.Priority;
  if (request.Workspace.valid()) {
    placement.Workspace = ownerKey(Catalog.name(request.Workspace));
    uint32_t rank = Catalog.at(request.Workspace).Rank;
    placement.Rank = rank > 0 ? rank - 1 : route.Priority;
  }
  placement.Fingerprint = request.Fingerprint;
  if (request.Instance.valid())
    placement.Avoid = rendezvousKey(Catalog.name(request.Instance), 0);
  placement.Retry = request.PreviousMayHaveRun;
  placement.Idempotent = request.Repeat == Repeatability::Idempotent;
  placement.Large =
      route.Kind == RequestKind::Download || route.Kind == RequestKind::Upload;
  placement.Remaining = request.Deadline - now;
  Duration objective =
      route.Objective > Duration::zero() ? route.Objective : route.Timeout;
  placement.ObjectiveRemaining =
      std::max(request.Arrived + objective - now, Duration::zero());
  return placement;
}

void ReducerState::requestPlacement(Request &request, Step &step) {
  if (step.Now >= request.Deadline)
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::DeadlineTooShort),
                  step);
  request.Phase = RequestPhase::AwaitingInstance;
  // Events of the previous attempt no longer match.
  request.Current = {request.Self, 0};
  request.Queued = request.Hedging = false;
  request.OwnerFailures = 0;
  request.UnresponsiveVm = {};
  request.AskedAt = step.Now;
  sendPlacementRequest(request, {}, step);
}

/// Sends a placement request to \p owner, or to the current owner of the
/// service if \p owner is invalid.
void ReducerState::sendPlacementRequest(Request &request, VmHandle owner,
                                        Step &step) {
  VmHandle self = Members.view().Self;
  PlacementRequest placement = makePlacementRequest(request, step.Now);
  if (!owner.valid())
    owner =
        request.OwnerFailures < MaxOwners
            ? resolveOwner(placement.Service, request.UnresponsiveVm, step.Now)
            : self;
  request.AskedVm = owner;
  request.LastAskedAt = step.Now;
  if (owner == self) {
    bool owns = request.OwnerFailures == 0 ||
                resolveOwner(placement.Service, {}, step.Now) == self;
    Dispatch.onPlacementRequest(self, Zone, placement, step.Now,
                                owns ? PlacerRole::Owner : PlacerRole::StandIn);
    return flushPlacement(step);
  }
  step.Effects.push(SendPeer{owner, placement});
  Duration wait = request.Queued ? RenewInterval : OwnerTimeout;
  Timers.arm({step.Now + wait,
              {request.Self, placement.Ordinal},
              TimerKind::PlaceTimeout});
}

void ReducerState::onPlacementTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  bool isWaiting = request &&
                   request->Phase == RequestPhase::AwaitingInstance &&
                   request->Attempts + 1 == timer.Attempt.Ordinal;
  if (!isWaiting)
    return;
  VmHandle self = Members.view().Self;
  if (request->AskedVm == self)
    return;
  if (request->Queued) {
    // The owner has to confirm that it still queues the request.
    request->Queued = false;
    return sendPlacementRequest(*request, request->AskedVm, step);
  }
  reportDecision(DecisionKind::OwnerSilent, *request, step);
  noteOwnerTimeout(request->AskedVm, step);
  request->UnresponsiveVm = request->AskedVm;
  ++request->OwnerFailures;
  sendPlacementRequest(*request, {}, step);
}

void ReducerState::onPeer(VmHandle from, const PlacementRequest &message,
                          Step &step) {
  if (Draining) {
    PlacementReply reply;
    reply.Request = message.Request;
    reply.Ordinal = message.Ordinal;
    step.Effects.push(SendPeer{from, reply});
    return;
  }
  Dispatch.onPlacementRequest(from, Members.entry(from).Zone, message,
                              step.Now);
  flushPlacement(step);
}

void ReducerState::onPeer(VmHandle from, const PlacementReply &message,
                          Step &step) {
  noteOwnerReply(from);
  Request *request = Requests.find(message.Request);
  bool isExpected = request && request->Attempts + 1 == message.Ordinal &&
                    request->AskedVm == from;
  if (isExpected && request->Phase == RequestPhase::AwaitingInstance)
    return onPlacementReply(*request, from, message, step);
  if (isExpected && request->Phase == RequestPhase::AttemptRunning &&
      request->Hedging)
    return onHedgeReply(*request, from, message, step);
  if (message.Verdict == PlacementVerdict::Granted)
    returnUnusedSlot(from, message, step);
}

/// Releases a granted slot that is not used because the grant came too late or
/// names an unusable instance.
void ReducerState::returnUnusedSlot(VmHandle from, const PlacementReply &reply,
                                    Step &step) {
  PlacementRelease release;
  release.Request = reply.Request;
  release.Ordinal = reply.Ordinal;
  release.Instance = reply.Instance;
  auto it = InstanceOfKey.find(reply.Instance);
  if (it != InstanceOfKey.end())
    release.Service = ownerKey(Catalog.name(Catalog.at(it->second).Service));
  if (from == Members.view().Self)
    Dispatch.onRelease(from, release, step.Now);
  else
    step.Effects.push(SendPeer{from, release});
}

/// Moves the request to another instance if that one has a free slot now.
/// Waiting for a slot would give up a response that may be about to arrive.
void ReducerState::onHedgeReply(Request &request, VmHandle from,
                                const PlacementReply &reply, Step &step) {
  request.Hedging = false;
  if (reply.Verdict == PlacementVerdict::Queued) {
    PlacementRelease release;
    release.Service = ownerKey(Catalog.name(request.Service));
    release.Request = reply.Request;
    release.Ordinal = reply.Ordinal;
    release.Outcome = AttemptOutcome::Cancelled;
    if (from == Members.view().Self)
      Dispatch.onRelease(from, release, step.Now);
    else
      step.Effects.push(SendPeer{from, release});
    return;
  }
  if (reply.Verdict != PlacementVerdict::Granted)
    return;
  auto it = InstanceOfKey.find(reply.Instance);
  if (it == InstanceOfKey.end() || it->second == request.Instance)
    return returnUnusedSlot(from, reply, step);
  step.Effects.push(CancelAttempt{request.Current});
  releaseSlot(request, AttemptOutcome::TimedOut, step);
  request.MayHaveRun = true;
  ++request.PossibleRuns;
  request.AskedAt = step.Now;
  reportDecision(DecisionKind::Repeated, request, step);
  onPlacementReply(request, from, reply, step);
}

void ReducerState::onPlacementReply(Request &request, VmHandle from,
                                    const PlacementReply &reply, Step &step) {
  switch (reply.Verdict) {
  case PlacementVerdict::Granted: {
    bool expired = from != Members.view().Self &&
                   step.Now - request.LastAskedAt > GrantLifetime;
    if (expired || step.Now >= request.Deadline) {
      returnUnusedSlot(from, reply, step);
      return requestPlacement(request, step);
    }
    auto it = InstanceOfKey.find(reply.Instance);
    InstanceHandle instance =
        it == InstanceOfKey.end() ? InstanceHandle{} : it->second;
    request.HoldsSlot = true;
    request.Granter = from;
    return startAttemptOn(request, instance, reply, step);
  }
  case PlacementVerdict::Queued:
    if (!request.Queued)
      reportDecision(DecisionKind::Queued, request, step);
    request.Queued = true;
    request.LastAskedAt = step.Now;
    if (from != Members.view().Self)
      Timers.arm({step.Now + RenewInterval,
                  {request.Self, request.Attempts + 1},
                  TimerKind::PlaceTimeout});
    return;
  case PlacementVerdict::Overloaded:
    return refuse(request, refusalAfterFault(request, RefusalKind::Overloaded),
                  step, reply.RetryAfter);
  case PlacementVerdict::Quarantined:
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::RequestQuarantined),
                  step, reply.RetryAfter);
  case PlacementVerdict::BudgetSpent:
    return refuse(request, refusalAfterFault(request, RefusalKind::Overloaded),
                  step, BudgetRetryAfter);
  case PlacementVerdict::NotOwner:
    if (from == Members.view().Self && !Draining)
      return refuse(request,
                    refusalAfterFault(request, RefusalKind::NoInstance), step,
                    NoInstanceRetryAfter);
    skipOwner(from, step);
    ++request.OwnerFailures;
    return sendPlacementRequest(request, {}, step);
  }
}

void ReducerState::startAttemptOn(Request &request, InstanceHandle instance,
                                  const PlacementReply &reply, Step &step) {
  bool isUsable = instance.valid() && Catalog.at(instance).Present &&
                  acceptsRequests(instance, step.Now) &&
                  Catalog.at(instance).Service == request.Service &&
                  Instances.hasFreeLane(instance, MaxLanes);
  request.Instance = instance;
  request.AttemptStarted = step.Now;
  request.Current = {request.Self, ++request.Attempts};
  if (!isUsable) {
    releaseSlot(request, AttemptOutcome::Unused, step);
    return retryAttempt(request, false, false, RefusalKind::NoInstance, step);
  }
  Lane lane = acquireLane(request, MaxLanes);
  request.Phase = RequestPhase::AttemptRunning;
  request.Load = {};
  request.Hedging = false;
  std::string_view workspace;
  if (request.Workspace.valid())
    workspace = Catalog.name(request.Workspace);
  reportDecision(DecisionKind::Placed, request, step,
                 step.Now - request.AskedAt);
  step.Effects.push(StartAttempt{request.Current, instance, lane,
                                 request.Deadline - step.Now, workspace});
  bool idempotent = request.Repeat == Repeatability::Idempotent;
  if (idempotent && reply.HedgeDelay > Duration::zero())
    Timers.arm(
        {step.Now + reply.HedgeDelay, request.Current, TimerKind::HedgeDelay});
}

void ReducerState::onHedgeDelay(const Timer &timer, Step &step) {
  Request *request = Requests.findCurrent(timer.Attempt);
  bool isWaiting = request && request->Phase == RequestPhase::AttemptRunning &&
                   request->PossibleRuns + 1 < maxRuns(*request) &&
                   isRetrySafe(*request);
  if (!isWaiting)
    return;
  reportDecision(DecisionKind::Overdue, *request, step,
                 step.Now - request->AttemptStarted);
  request->Hedging = true;
  request->PreviousMayHaveRun = true;
  request->LastAskedAt = step.Now;
  PlacementRequest placement = makePlacementRequest(*request, step.Now);
  VmHandle self = Members.view().Self;
  request->AskedVm = resolveOwner(placement.Service, {}, step.Now);
  if (request->AskedVm != self) {
    step.Effects.push(SendPeer{request->AskedVm, placement});
    return;
  }
  Dispatch.onPlacementRequest(self, Zone, placement, step.Now);
  flushPlacement(step);
}

/// Starts another attempt if that is allowed, otherwise refuses the request.
/// \param ran the previous attempt may have run.
/// \param arrived it may have reached an instance, so that the next attempt
/// counts as a retry even if the instance refused it.
void ReducerState::retryAttempt(Request &request, bool ran, bool arrived,
                                RefusalKind kind, Step &step) {
  request.PossibleRuns += ran ? 1 : 0;
  request.PreviousMayHaveRun = arrived;
  bool allowed = isRetrySafe(request) &&
                 request.PossibleRuns < maxRuns(request) &&
                 request.Attempts < MaxAttempts;
  if (!allowed)
    return refuse(request, refusalAfterFault(request, kind), step,
                  NoInstanceRetryAfter);
  reportDecision(DecisionKind::Repeated, request, step);
  requestPlacement(request, step);
}

/// Adds to \p release what \p instance told this VM about further requests.
void ReducerState::addNotice(InstanceHandle instance, PlacementRelease &release,
                             Instant now) const {
  const InstanceNotice &notice = Instances.at(instance).Notice;
  release.InstanceStarted = notice.Started;
  release.Leaving = notice.Leaving;
  release.Backoff = std::max(notice.BackoffUntil - now, Duration::zero());
}

/// Releases the slot of the current attempt and reports the outcome.
void ReducerState::releaseSlot(Request &request, AttemptOutcome outcome,
                               Step &step) {
  if (!request.HoldsSlot)
    return;
  request.HoldsSlot = false;
  request.Outcome = outcome;
  if (outcome != AttemptOutcome::Ok && outcome != AttemptOutcome::Unused)
    reportDecision(DecisionKind::Failed, request, step,
                   step.Now - request.AttemptStarted);
  PlacementRelease release;
  release.Service = ownerKey(Catalog.name(request.Service));
  release.Request = request.Self;
  release.Ordinal = request.Current.Ordinal;
  if (request.Instance.valid())
    release.Instance = rendezvousKey(Catalog.name(request.Instance), 0);
  release.Outcome = outcome;
  release.Elapsed = step.Now - request.AttemptStarted;
  release.Fingerprint = request.Fingerprint;
  release.LoadKnown = request.Load.Present;
  release.Running = request.Load.SlotsInUse;
  release.Waiting = request.Load.Waiting;
  if (request.Instance.valid())
    addNotice(request.Instance, release, step.Now);
  VmHandle self = Members.view().Self;
  if (request.Granter == self) {
    Dispatch.onRelease(self, release, step.Now);
    return flushPlacement(step);
  }
  step.Effects.push(SendPeer{request.Granter, release});
  Dispatch.observeOutcome(self, release, step.Now);
}

/// Removes a request from its service's queue, or releases its slot.
void ReducerState::cancelPlacement(Request &request, Step &step) {
  if (request.HoldsSlot)
    return releaseSlot(request, AttemptOutcome::Cancelled, step);
  if (request.Phase != RequestPhase::AwaitingInstance ||
      !request.AskedVm.valid())
    return;
  PlacementRelease release;
  release.Service = ownerKey(Catalog.name(request.Service));
  release.Request = request.Self;
  release.Ordinal = request.Attempts + 1;
  release.Outcome = AttemptOutcome::Cancelled;
  VmHandle self = Members.view().Self;
  if (request.AskedVm != self) {
    step.Effects.push(SendPeer{request.AskedVm, release});
    return;
  }
  Dispatch.onRelease(self, release, step.Now);
}

/// Sends the dispatcher's replies; those to this VM are handled at once.
void ReducerState::flushPlacement(Step &step) {
  VmHandle self = Members.view().Self;
  while (!Dispatch.output().empty()) {
    std::vector<PlacementOutput> replies(Dispatch.output().begin(),
                                         Dispatch.output().end());
    Dispatch.clearOutput();
    for (const PlacementOutput &it : replies) {
      if (it.To == self)
        onPeer(self, it.Reply, step);
      else
        step.Effects.push(SendPeer{it.To, it.Reply});
    }
  }
}

void ReducerState::onPeer(VmHandle from, const PlacementRelease &message,
                          Step &step) {
  Dispatch.onRelease(from, message, step.Now);
  flushPlacement(step);
}

void ReducerState::resignPlacement(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  Dispatch.resign();
  Quotas.resign();
  flushPlacement(step);
  flushQuotas(step);
}

Instant ReducerState::nextFleetCheck() const {
  bool checks = Fleet == FleetKind::Owners && Members.view().HasPeers;
  return checks ? NextFleetCheck : NeverInstant;
}

void ReducerState::advancePlacement(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  Dispatch.advance(step.Now);
  flushPlacement(step);
  Quotas.advance(step.Now);
  flushQuotas(step);
  if (step.Now < NextFleetCheck)
    return;
  NextFleetCheck = step.Now + FleetCheckInterval;
  MemberView members = Members.view();
  SlotsReclaimed.resize(members.Vms.size());
  uint32_t listed = 0;
  uint32_t alive = 0;
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    VmState state = members.Vms[n].State;
    bool gone = state == VmState::Gone || state == VmState::Removed;
    if (gone && !SlotsReclaimed[n])
      Dispatch.dropVm({n}, step.Now);
    SlotsReclaimed[n] = gone;
    bool isListed = state != VmState::Removed && state != VmState::Leaving;
    listed += isListed ? 1 : 0;
    alive += state == VmState::Alive ? 1 : 0;
  }
  flushPlacement(step);
  Dispatch.setFleetSize(std::max(listed, 1U));
  updateQuotaShares(std::max(listed, 1U), std::max(alive, 1U), step.Now);
}

} // namespace guavasail
