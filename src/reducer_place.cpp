/// \file
/// Instances by the owners of services: asks, grants, and the ways on when an
/// owner does not answer.
#include "reducer_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Separates the keys of tasks from those of other owned things.
constexpr uint64_t TaskPurpose = 0x7461736b;
/// Time for the answer of an owner in another zone, its queue excluded: a lost
/// packet is sent again after 200 ms at the earliest.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(320);
/// Answers in a row that may be missed before an owner is passed over.
constexpr uint8_t MostSilences = 2;
/// Time between two renewals of a place in a queue.
constexpr Duration RenewPeriod = std::chrono::milliseconds(400);
/// An owner that did not answer is passed over for this time.
constexpr Duration PassOverTime = std::chrono::seconds(2);
/// Owners that are asked before this VM decides by itself.
constexpr uint32_t MostOwners = 2;
/// Attempts of one request, those included that reached no instance.
constexpr uint32_t MostTries = 6;
/// Time between two looks at the members.
constexpr Duration FleetCheck = std::chrono::milliseconds(250);
/// Time within which a caller that another VM can serve should come again.
constexpr Duration NoSlotRetry = std::chrono::milliseconds(300);
/// The same for one whose repeat is not paid for; its return is a new request.
constexpr Duration BudgetRetry = std::chrono::milliseconds(120);

uint64_t taskKey(std::string_view name) { return rendezvousKey(name, 0); }

} // namespace

void ReducerState::updatePlacement(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  auto instances = Catalog.instances();
  for (uint32_t n = 0; n < instances.size(); ++n) {
    InstanceHandle handle{n};
    InstanceOfKey.insert_or_assign(rendezvousKey(Catalog.name(handle), 0),
                                   handle);
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
    bool passed = index < PassedOver.size() && now < PassedOver[index];
    return mayOwn(vm) && !passed && index != skip.Value;
  };
  VmHandle owner = rendezvousOwner(key ^ TaskPurpose, members, eligible);
  return owner.valid() ? owner : members.Self;
}

void ReducerState::skipOwner(VmHandle vm, Step &step) {
  if (!vm.valid() || vm == Members.view().Self)
    return;
  if (PassedOver.size() <= vm.Value)
    PassedOver.resize(vm.Value + 1);
  PassedOver[vm.Value] = step.Now + PassOverTime;
}

void ReducerState::noteOwnerTimeout(VmHandle vm, Step &step) {
  if (!vm.valid())
    return;
  if (Silences.size() <= vm.Value)
    Silences.resize(vm.Value + 1);
  if (++Silences[vm.Value] < MostSilences)
    return;
  Silences[vm.Value] = 0;
  skipOwner(vm, step);
}

void ReducerState::noteOwnerReply(VmHandle vm) {
  if (vm.valid() && vm.Value < Silences.size())
    Silences[vm.Value] = 0;
}

uint32_t ReducerState::maxRuns(const Request &request) const {
  uint32_t own = Catalog.at(request.Route).Attempts;
  return own > 0 ? own : Bounds.Attempts;
}

PlacementRequest ReducerState::makePlacementRequest(const Request &request, Instant now) const {
  const RouteEntry &route = Catalog.at(request.Route);
  PlacementRequest ask;
  ask.Service = taskKey(Catalog.name(request.Service));
  ask.Request = request.Self;
  ask.Ordinal = request.Attempts + 1;
  ask.Rank = route.Priority;
  if (request.Workspace.valid()) {
    ask.Workspace = taskKey(Catalog.name(request.Workspace));
    uint32_t rank = Catalog.at(request.Workspace).Rank;
    ask.Rank = rank > 0 ? rank - 1 : route.Priority;
  }
  ask.Fingerprint = request.Fingerprint;
  if (request.Instance.valid())
    ask.Avoid = rendezvousKey(Catalog.name(request.Instance), 0);
  ask.Retry = request.RepeatNext;
  ask.Idempotent = request.Repeat == Repeatability::Idempotent;
  ask.Large = route.Kind == RequestKind::Download;
  ask.Remaining = request.Deadline - now;
  Duration objective =
      route.Objective > Duration::zero() ? route.Objective : route.Timeout;
  ask.ObjectiveRemaining = std::max(request.Arrived + objective - now, Duration::zero());
  return ask;
}

void ReducerState::requestPlacement(Request &request, Step &step) {
  if (step.Now >= request.Deadline)
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::DeadlineTooShort),
                  step);
  request.Phase = RequestPhase::Placing;
  // Later events of the attempt before are none of this request's any more.
  request.Current = {request.Self, 0};
  request.Queued = request.Hedging = false;
  request.AsksLost = 0;
  request.Silent = {};
  request.AskedAt = step.Now;
  sendPlacementRequest(request, {}, step);
}

/// Asks \p owner, or whoever is the service's owner by now.
void ReducerState::sendPlacementRequest(Request &request, VmHandle owner, Step &step) {
  VmHandle self = Members.view().Self;
  PlacementRequest ask = makePlacementRequest(request, step.Now);
  if (!owner.valid())
    owner = request.AsksLost < MostOwners
                ? resolveOwner(ask.Service, request.Silent, step.Now)
                : self;
  request.Asked = owner;
  if (owner == self) {
    Dispatch.onAsk(self, Zone, ask, step.Now);
    return flushPlacement(step);
  }
  step.Effects.push(SendPeer{owner, ask});
  Duration wait = request.Queued ? RenewPeriod : OwnerTimeout;
  Timers.arm(
      {step.Now + wait, {request.Self, ask.Ordinal}, TimerKind::PlaceTimeout});
}

void ReducerState::onPlacementTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  bool waits = request && request->Phase == RequestPhase::Placing &&
               request->Attempts + 1 == timer.Attempt.Ordinal;
  if (!waits)
    return;
  VmHandle self = Members.view().Self;
  if (request->Asked == self)
    return;
  if (request->Queued) {
    // The owner has to say again that it holds the place.
    request->Queued = false;
    return sendPlacementRequest(*request, request->Asked, step);
  }
  decided(DecisionKind::OwnerSilent, *request, step);
  noteOwnerTimeout(request->Asked, step);
  request->Silent = request->Asked;
  ++request->AsksLost;
  sendPlacementRequest(*request, {}, step);
}

void ReducerState::onPeer(VmHandle from, const PlacementRequest &message, Step &step) {
  if (Draining) {
    PlacementReply reply;
    reply.Request = message.Request;
    reply.Ordinal = message.Ordinal;
    step.Effects.push(SendPeer{from, reply});
    return;
  }
  Dispatch.onAsk(from, Members.entry(from).Zone, message, step.Now);
  flushPlacement(step);
}

void ReducerState::onPeer(VmHandle from, const PlacementReply &message,
                          Step &step) {
  noteOwnerReply(from);
  Request *request = Requests.find(message.Request);
  bool asked = request && request->Attempts + 1 == message.Ordinal &&
               request->Asked == from;
  if (asked && request->Phase == RequestPhase::Placing)
    return onPlacementReply(*request, from, message, step);
  if (asked && request->Phase == RequestPhase::Trying && request->Hedging)
    return onHedgeReply(*request, from, message, step);
  if (message.Verdict == PlacementVerdict::Granted)
    returnUnusedSlot(from, message, step);
}

/// Gives a slot back that came too late.
void ReducerState::returnUnusedSlot(VmHandle from, const PlacementReply &reply,
                               Step &step) {
  PlacementRelease done;
  done.Request = reply.Request;
  done.Ordinal = reply.Ordinal;
  done.Instance = reply.Instance;
  auto it = InstanceOfKey.find(reply.Instance);
  if (it != InstanceOfKey.end())
    done.Service = taskKey(Catalog.name(Catalog.at(it->second).Service));
  if (from == Members.view().Self)
    Dispatch.onDone(from, done, step.Now);
  else
    step.Effects.push(SendPeer{from, done});
}

/// Moves the request to another instance if one has a free slot at once. To
/// wait for one would give up an answer that may be near.
void ReducerState::onHedgeReply(Request &request, VmHandle from,
                             const PlacementReply &reply, Step &step) {
  request.Hedging = false;
  if (reply.Verdict == PlacementVerdict::Queued) {
    PlacementRelease done;
    done.Service = taskKey(Catalog.name(request.Service));
    done.Request = reply.Request;
    done.Ordinal = reply.Ordinal;
    done.Outcome = AttemptOutcome::Cancelled;
    if (from == Members.view().Self)
      Dispatch.onDone(from, done, step.Now);
    else
      step.Effects.push(SendPeer{from, done});
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
  ++request.Runs;
  request.AskedAt = step.Now;
  decided(DecisionKind::Repeated, request, step);
  onPlacementReply(request, from, reply, step);
}

void ReducerState::onPlacementReply(Request &request, VmHandle from,
                             const PlacementReply &reply, Step &step) {
  switch (reply.Verdict) {
  case PlacementVerdict::Granted: {
    auto it = InstanceOfKey.find(reply.Instance);
    InstanceHandle instance =
        it == InstanceOfKey.end() ? InstanceHandle{} : it->second;
    request.HoldsSlot = true;
    request.Granter = from;
    return startAttemptOn(request, instance, reply, step);
  }
  case PlacementVerdict::Queued:
    if (!request.Queued)
      decided(DecisionKind::Queued, request, step);
    request.Queued = true;
    if (from != Members.view().Self)
      Timers.arm({step.Now + RenewPeriod,
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
                  step, BudgetRetry);
  case PlacementVerdict::NotOwner:
    if (from == Members.view().Self && !Draining)
      return refuse(request,
                    refusalAfterFault(request, RefusalKind::NoInstance), step,
                    NoSlotRetry);
    skipOwner(from, step);
    ++request.AsksLost;
    return sendPlacementRequest(request, {}, step);
  }
}

void ReducerState::startAttemptOn(Request &request, InstanceHandle instance,
                           const PlacementReply &reply, Step &step) {
  bool known = instance.valid() && Catalog.at(instance).Present &&
               !Catalog.at(instance).Spec.Leaving &&
               Catalog.at(instance).Service == request.Service &&
               Instances.hasFreeLane(instance, MaxLanes);
  request.Instance = instance;
  request.AttemptStarted = step.Now;
  request.Current = {request.Self, ++request.Attempts};
  if (!known) {
    releaseSlot(request, AttemptOutcome::Unused, step);
    return retryAttempt(request, false, false, RefusalKind::NoInstance, step);
  }
  Lane lane = Instances.takeLane(instance);
  request.Phase = RequestPhase::Trying;
  request.Load = {};
  request.Hedging = false;
  std::string_view workspace;
  if (request.Workspace.valid())
    workspace = Catalog.name(request.Workspace);
  decided(DecisionKind::Placed, request, step, step.Now - request.AskedAt);
  step.Effects.push(StartAttempt{request.Current, instance, lane,
                                 request.Deadline - step.Now, workspace});
  bool idempotent = request.Repeat == Repeatability::Idempotent;
  if (idempotent && reply.HedgeDelay > Duration::zero())
    Timers.arm({step.Now + reply.HedgeDelay, request.Current,
                TimerKind::AttemptPatience});
}

void ReducerState::onHedgeDelay(const Timer &timer, Step &step) {
  Request *request = Requests.findCurrent(timer.Attempt);
  bool waits = request && request->Phase == RequestPhase::Trying &&
               request->Runs + 1 < maxRuns(*request) && mayRepeat(*request);
  if (!waits)
    return;
  decided(DecisionKind::Overdue, *request, step,
          step.Now - request->AttemptStarted);
  request->Hedging = true;
  request->RepeatNext = true;
  PlacementRequest ask = makePlacementRequest(*request, step.Now);
  VmHandle self = Members.view().Self;
  request->Asked = resolveOwner(ask.Service, {}, step.Now);
  if (request->Asked != self) {
    step.Effects.push(SendPeer{request->Asked, ask});
    return;
  }
  Dispatch.onAsk(self, Zone, ask, step.Now);
  flushPlacement(step);
}

/// Starts another attempt if that is allowed, and refuses the request if not.
/// \param ran the attempt before may have run.
/// \param arrived it may have reached an instance, which counts as a repeat
/// even if the instance refused it.
void ReducerState::retryAttempt(Request &request, bool ran, bool arrived,
                            RefusalKind kind, Step &step) {
  request.Runs += ran ? 1 : 0;
  request.RepeatNext = arrived;
  bool allowed = mayRepeat(request) && request.Runs < maxRuns(request) &&
                 request.Attempts < MostTries;
  if (!allowed)
    return refuse(request, refusalAfterFault(request, kind), step, NoSlotRetry);
  decided(DecisionKind::Repeated, request, step);
  requestPlacement(request, step);
}

/// Gives the slot of the current attempt back and reports how it was used.
void ReducerState::releaseSlot(Request &request, AttemptOutcome outcome,
                               Step &step) {
  if (!request.HoldsSlot)
    return;
  request.HoldsSlot = false;
  request.Outcome = outcome;
  if (outcome != AttemptOutcome::Ok && outcome != AttemptOutcome::Unused)
    decided(DecisionKind::Failed, request, step,
            step.Now - request.AttemptStarted);
  PlacementRelease done;
  done.Service = taskKey(Catalog.name(request.Service));
  done.Request = request.Self;
  done.Ordinal = request.Current.Ordinal;
  if (request.Instance.valid())
    done.Instance = rendezvousKey(Catalog.name(request.Instance), 0);
  done.Outcome = outcome;
  done.Elapsed = step.Now - request.AttemptStarted;
  done.Fingerprint = request.Fingerprint;
  done.LoadKnown = request.Load.Present;
  done.Running = request.Load.SlotsInUse;
  done.Waiting = request.Load.Waiting;
  VmHandle self = Members.view().Self;
  if (request.Granter == self) {
    Dispatch.onDone(self, done, step.Now);
    return flushPlacement(step);
  }
  step.Effects.push(SendPeer{request.Granter, done});
  Dispatch.observe(self, done, step.Now);
}

/// Takes a request out of its service's queue, or gives its slot back.
void ReducerState::cancelPlacement(Request &request, Step &step) {
  if (request.HoldsSlot)
    return releaseSlot(request, AttemptOutcome::Cancelled, step);
  if (request.Phase != RequestPhase::Placing || !request.Asked.valid())
    return;
  PlacementRelease done;
  done.Service = taskKey(Catalog.name(request.Service));
  done.Request = request.Self;
  done.Ordinal = request.Attempts + 1;
  done.Outcome = AttemptOutcome::Cancelled;
  VmHandle self = Members.view().Self;
  if (request.Asked != self) {
    step.Effects.push(SendPeer{request.Asked, done});
    return;
  }
  Dispatch.onDone(self, done, step.Now);
}

/// Sends the dispatcher's replies; those to this VM are taken at once.
void ReducerState::flushPlacement(Step &step) {
  VmHandle self = Members.view().Self;
  while (!Dispatch.output().empty()) {
    std::vector<PlaceOutput> replies(Dispatch.output().begin(),
                                     Dispatch.output().end());
    Dispatch.clearOutput();
    for (const PlaceOutput &it : replies) {
      if (it.To == self)
        onPeer(self, it.Reply, step);
      else
        step.Effects.push(SendPeer{it.To, it.Reply});
    }
  }
}

void ReducerState::onPeer(VmHandle from, const PlacementRelease &message, Step &step) {
  Dispatch.onDone(from, message, step.Now);
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

void ReducerState::advancePlacement(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  Dispatch.advance(step.Now);
  flushPlacement(step);
  Quotas.advance(step.Now);
  flushQuotas(step);
  if (step.Now < NextFleetCheck)
    return;
  NextFleetCheck = step.Now + FleetCheck;
  MemberView members = Members.view();
  Dropped.resize(members.Vms.size());
  uint32_t listed = 0;
  uint32_t alive = 0;
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    VmState state = members.Vms[n].State;
    bool gone = state == VmState::Gone || state == VmState::Removed;
    if (gone && !Dropped[n])
      Dispatch.dropVm({n}, step.Now);
    Dropped[n] = gone;
    bool counts = state != VmState::Removed && state != VmState::Leaving;
    listed += counts ? 1 : 0;
    alive += state == VmState::Alive ? 1 : 0;
  }
  flushPlacement(step);
  updateQuotaShares(std::max(listed, 1U), std::max(alive, 1U), step.Now);
}

} // namespace guavasail
