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

void ReducerState::acceptPlaces(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  auto instances = Catalog.instances();
  for (uint32_t n = 0; n < instances.size(); ++n) {
    InstanceHandle handle{n};
    InstanceOfKey.insert_or_assign(rendezvousKey(Catalog.name(handle), 0),
                                   handle);
  }
  Dispatch.acceptCatalog(Catalog, step.Now);
  flushPlaces(step);
  acceptQuotas(step);
}

VmHandle ReducerState::taskOwner(uint64_t key, VmHandle skip,
                                 Instant now) const {
  MemberView members = Members.view();
  auto eligible = [&](const VmEntry &vm) {
    auto index = static_cast<size_t>(&vm - members.Vms.data());
    bool passed = index < BackoffUntil.size() && now < BackoffUntil[index];
    return mayOwn(vm) && !passed && index != skip.Value;
  };
  VmHandle owner = rendezvousOwner(key ^ TaskPurpose, members, eligible);
  return owner.valid() ? owner : members.Self;
}

void ReducerState::passOver(VmHandle vm, Step &step) {
  if (!vm.valid() || vm == Members.view().Self)
    return;
  if (BackoffUntil.size() <= vm.Value)
    BackoffUntil.resize(vm.Value + 1);
  BackoffUntil[vm.Value] = step.Now + PassOverTime;
}

void ReducerState::noteSilent(VmHandle vm, Step &step) {
  if (!vm.valid())
    return;
  if (MissedReplies.size() <= vm.Value)
    MissedReplies.resize(vm.Value + 1);
  if (++MissedReplies[vm.Value] < MostSilences)
    return;
  MissedReplies[vm.Value] = 0;
  passOver(vm, step);
}

void ReducerState::noteHeard(VmHandle vm) {
  if (vm.valid() && vm.Value < MissedReplies.size())
    MissedReplies[vm.Value] = 0;
}

uint32_t ReducerState::mostRuns(const Request &request) const {
  uint32_t own = Catalog.at(request.Route).Attempts;
  return own > 0 ? own : Bounds.Attempts;
}

PlaceAsk ReducerState::placeAskOf(const Request &request, Instant now) const {
  const RouteEntry &route = Catalog.at(request.Route);
  PlaceAsk ask;
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
  ask.Repeat = request.PreviousMayHaveRun;
  ask.Idempotent = request.Repeat == Repeatability::Idempotent;
  ask.Large = route.Kind == RequestKind::Download;
  ask.Remaining = request.Deadline - now;
  Duration objective =
      route.Objective > Duration::zero() ? route.Objective : route.Timeout;
  ask.Useful = std::max(request.Arrived + objective - now, Duration::zero());
  return ask;
}

void ReducerState::askPlace(Request &request, Step &step) {
  if (step.Now >= request.Deadline)
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::DeadlineTooShort),
                  step);
  request.Phase = RequestPhase::AwaitingInstance;
  // Later events of the attempt before are none of this request's any more.
  request.Current = {request.Self, 0};
  request.Queued = request.Hedging = false;
  request.OwnerFailures = 0;
  request.UnresponsiveVm = {};
  request.AskedAt = step.Now;
  sendPlaceAsk(request, {}, step);
}

/// Asks \p owner, or whoever is the service's owner by now.
void ReducerState::sendPlaceAsk(Request &request, VmHandle owner, Step &step) {
  VmHandle self = Members.view().Self;
  PlaceAsk ask = placeAskOf(request, step.Now);
  if (!owner.valid())
    owner = request.OwnerFailures < MostOwners
                ? taskOwner(ask.Service, request.UnresponsiveVm, step.Now)
                : self;
  request.AskedVm = owner;
  if (owner == self) {
    Dispatch.onAsk(self, Zone, ask, step.Now);
    return flushPlaces(step);
  }
  step.Effects.push(SendPeer{owner, ask});
  Duration wait = request.Queued ? RenewPeriod : OwnerTimeout;
  Timers.arm(
      {step.Now + wait, {request.Self, ask.Ordinal}, TimerKind::PlaceTimeout});
}

void ReducerState::onPlaceTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  bool waits = request && request->Phase == RequestPhase::AwaitingInstance &&
               request->Attempts + 1 == timer.Attempt.Ordinal;
  if (!waits)
    return;
  VmHandle self = Members.view().Self;
  if (request->AskedVm == self)
    return;
  if (request->Queued) {
    // The owner has to say again that it holds the place.
    request->Queued = false;
    return sendPlaceAsk(*request, request->AskedVm, step);
  }
  reportDecision(DecisionKind::OwnerSilent, *request, step);
  noteSilent(request->AskedVm, step);
  request->UnresponsiveVm = request->AskedVm;
  ++request->OwnerFailures;
  sendPlaceAsk(*request, {}, step);
}

void ReducerState::onPeer(VmHandle from, const PlaceAsk &message, Step &step) {
  if (Draining) {
    PlaceReply reply;
    reply.Request = message.Request;
    reply.Ordinal = message.Ordinal;
    step.Effects.push(SendPeer{from, reply});
    return;
  }
  Dispatch.onAsk(from, Members.entry(from).Zone, message, step.Now);
  flushPlaces(step);
}

void ReducerState::onPeer(VmHandle from, const PlaceReply &message,
                          Step &step) {
  noteHeard(from);
  Request *request = Requests.find(message.Request);
  bool asked = request && request->Attempts + 1 == message.Ordinal &&
               request->AskedVm == from;
  if (asked && request->Phase == RequestPhase::AwaitingInstance)
    return takePlace(*request, from, message, step);
  if (asked && request->Phase == RequestPhase::AttemptRunning &&
      request->Hedging)
    return takeHedge(*request, from, message, step);
  if (message.Verdict == PlaceVerdict::Granted)
    returnPlace(from, message, step);
}

/// Gives a slot back that came too late.
void ReducerState::returnPlace(VmHandle from, const PlaceReply &reply,
                               Step &step) {
  PlaceDone done;
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
void ReducerState::takeHedge(Request &request, VmHandle from,
                             const PlaceReply &reply, Step &step) {
  request.Hedging = false;
  if (reply.Verdict == PlaceVerdict::Queued) {
    PlaceDone done;
    done.Service = taskKey(Catalog.name(request.Service));
    done.Request = reply.Request;
    done.Ordinal = reply.Ordinal;
    done.Outcome = PlaceOutcome::Cancelled;
    if (from == Members.view().Self)
      Dispatch.onDone(from, done, step.Now);
    else
      step.Effects.push(SendPeer{from, done});
    return;
  }
  if (reply.Verdict != PlaceVerdict::Granted)
    return;
  auto it = InstanceOfKey.find(reply.Instance);
  if (it == InstanceOfKey.end() || it->second == request.Instance)
    return returnPlace(from, reply, step);
  step.Effects.push(CancelAttempt{request.Current});
  finishPlace(request, PlaceOutcome::TimedOut, step);
  request.MayHaveRun = true;
  ++request.PossibleRuns;
  request.AskedAt = step.Now;
  reportDecision(DecisionKind::Repeated, request, step);
  takePlace(request, from, reply, step);
}

void ReducerState::takePlace(Request &request, VmHandle from,
                             const PlaceReply &reply, Step &step) {
  switch (reply.Verdict) {
  case PlaceVerdict::Granted: {
    auto it = InstanceOfKey.find(reply.Instance);
    InstanceHandle instance =
        it == InstanceOfKey.end() ? InstanceHandle{} : it->second;
    request.HoldsSlot = true;
    request.Granter = from;
    return startOn(request, instance, reply, step);
  }
  case PlaceVerdict::Queued:
    if (!request.Queued)
      reportDecision(DecisionKind::Queued, request, step);
    request.Queued = true;
    if (from != Members.view().Self)
      Timers.arm({step.Now + RenewPeriod,
                  {request.Self, request.Attempts + 1},
                  TimerKind::PlaceTimeout});
    return;
  case PlaceVerdict::Overloaded:
    return refuse(request, refusalAfterFault(request, RefusalKind::Overloaded),
                  step, reply.RetryAfter);
  case PlaceVerdict::Quarantined:
    return refuse(request,
                  refusalAfterFault(request, RefusalKind::RequestQuarantined),
                  step, reply.RetryAfter);
  case PlaceVerdict::BudgetSpent:
    return refuse(request, refusalAfterFault(request, RefusalKind::Overloaded),
                  step, BudgetRetry);
  case PlaceVerdict::NotOwner:
    if (from == Members.view().Self && !Draining)
      return refuse(request,
                    refusalAfterFault(request, RefusalKind::NoInstance), step,
                    NoSlotRetry);
    passOver(from, step);
    ++request.OwnerFailures;
    return sendPlaceAsk(request, {}, step);
  }
}

void ReducerState::startOn(Request &request, InstanceHandle instance,
                           const PlaceReply &reply, Step &step) {
  bool known = instance.valid() && Catalog.at(instance).Present &&
               !Catalog.at(instance).Spec.Leaving &&
               Catalog.at(instance).Service == request.Service &&
               Instances.hasFreeLane(instance, MaxLanes);
  request.Instance = instance;
  request.AttemptStarted = step.Now;
  request.Current = {request.Self, ++request.Attempts};
  if (!known) {
    finishPlace(request, PlaceOutcome::Unused, step);
    return tryAgain(request, false, false, RefusalKind::NoInstance, step);
  }
  Lane lane = Instances.acquireLane(instance);
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
  if (idempotent && reply.Patience > Duration::zero())
    Timers.arm(
        {step.Now + reply.Patience, request.Current, TimerKind::HedgeDelay});
}

void ReducerState::onPatience(const Timer &timer, Step &step) {
  Request *request = Requests.findCurrent(timer.Attempt);
  bool waits = request && request->Phase == RequestPhase::AttemptRunning &&
               request->PossibleRuns + 1 < mostRuns(*request) &&
               isRetrySafe(*request);
  if (!waits)
    return;
  reportDecision(DecisionKind::Overdue, *request, step,
                 step.Now - request->AttemptStarted);
  request->Hedging = true;
  request->PreviousMayHaveRun = true;
  PlaceAsk ask = placeAskOf(*request, step.Now);
  VmHandle self = Members.view().Self;
  request->AskedVm = taskOwner(ask.Service, {}, step.Now);
  if (request->AskedVm != self) {
    step.Effects.push(SendPeer{request->AskedVm, ask});
    return;
  }
  Dispatch.onAsk(self, Zone, ask, step.Now);
  flushPlaces(step);
}

/// Starts another attempt if that is allowed, and refuses the request if not.
/// \param ran the attempt before may have run.
/// \param arrived it may have reached an instance, which counts as a repeat
/// even if the instance refused it.
void ReducerState::tryAgain(Request &request, bool ran, bool arrived,
                            RefusalKind kind, Step &step) {
  request.PossibleRuns += ran ? 1 : 0;
  request.PreviousMayHaveRun = arrived;
  bool allowed = isRetrySafe(request) &&
                 request.PossibleRuns < mostRuns(request) &&
                 request.Attempts < MostTries;
  if (!allowed)
    return refuse(request, refusalAfterFault(request, kind), step, NoSlotRetry);
  reportDecision(DecisionKind::Repeated, request, step);
  askPlace(request, step);
}

/// Gives the slot of the current attempt back and reports how it was used.
void ReducerState::finishPlace(Request &request, PlaceOutcome outcome,
                               Step &step) {
  if (!request.HoldsSlot)
    return;
  request.HoldsSlot = false;
  request.Outcome = outcome;
  if (outcome != PlaceOutcome::Ok && outcome != PlaceOutcome::Unused)
    reportDecision(DecisionKind::Failed, request, step,
                   step.Now - request.AttemptStarted);
  PlaceDone done;
  done.Service = taskKey(Catalog.name(request.Service));
  done.Request = request.Self;
  done.Ordinal = request.Current.Ordinal;
  if (request.Instance.valid())
    done.Instance = rendezvousKey(Catalog.name(request.Instance), 0);
  done.Outcome = outcome;
  done.Took = step.Now - request.AttemptStarted;
  done.Fingerprint = request.Fingerprint;
  done.LoadKnown = request.Load.Present;
  done.Running = request.Load.SlotsInUse;
  done.Waiting = request.Load.Waiting;
  VmHandle self = Members.view().Self;
  if (request.Granter == self) {
    Dispatch.onDone(self, done, step.Now);
    return flushPlaces(step);
  }
  step.Effects.push(SendPeer{request.Granter, done});
  Dispatch.observe(self, done, step.Now);
}

/// Takes a request out of its service's queue, or gives its slot back.
void ReducerState::cancelPlace(Request &request, Step &step) {
  if (request.HoldsSlot)
    return finishPlace(request, PlaceOutcome::Cancelled, step);
  if (request.Phase != RequestPhase::AwaitingInstance ||
      !request.AskedVm.valid())
    return;
  PlaceDone done;
  done.Service = taskKey(Catalog.name(request.Service));
  done.Request = request.Self;
  done.Ordinal = request.Attempts + 1;
  done.Outcome = PlaceOutcome::Cancelled;
  VmHandle self = Members.view().Self;
  if (request.AskedVm != self) {
    step.Effects.push(SendPeer{request.AskedVm, done});
    return;
  }
  Dispatch.onDone(self, done, step.Now);
}

/// Sends the dispatcher's replies; those to this VM are taken at once.
void ReducerState::flushPlaces(Step &step) {
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

void ReducerState::onPeer(VmHandle from, const PlaceDone &message, Step &step) {
  Dispatch.onDone(from, message, step.Now);
  flushPlaces(step);
}

void ReducerState::resignPlaces(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  Dispatch.resign();
  Quotas.resign();
  flushPlaces(step);
  flushQuotas(step);
}

void ReducerState::advancePlaces(Step &step) {
  if (Fleet != FleetKind::Owners)
    return;
  Dispatch.advance(step.Now);
  flushPlaces(step);
  Quotas.advance(step.Now);
  flushQuotas(step);
  if (step.Now < NextFleetCheck)
    return;
  NextFleetCheck = step.Now + FleetCheck;
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
    bool counts = state != VmState::Removed && state != VmState::Leaving;
    listed += counts ? 1 : 0;
    alive += state == VmState::Alive ? 1 : 0;
  }
  flushPlaces(step);
  acceptQuotaMembers(std::max(listed, 1U), std::max(alive, 1U), step.Now);
}

} // namespace guavasail
