#include "rate_fleet.h"

#include <algorithm>
#include <string>

namespace guavasail {

namespace {

constexpr int64_t Million = 1'000'000;

// Encoded sizes: frame, CBOR heads and message authentication code for each
// message; CBOR integers for each entry.
constexpr uint64_t MessageOverheadBytes = 40;
constexpr uint64_t RequestEntryBytes = 22;
constexpr uint64_t CloseEntryBytes = 14;
constexpr uint64_t GrantEntryBytes = 30;

} // namespace

RateFleet::RateFleet(const FleetInit &init)
    : Init(init), Random(init.Seed), Nodes(init.Vms),
      Cuts(init.Vms, std::vector<bool>(init.Vms, false)),
      Results(init.Limits.size()) {
  for (const RateLimit &it : Init.Limits) {
    uint32_t burst = std::max(it.Burst, 1U);
    Oracles.emplace_back(it.RatePerSecond, burst);
    IdealBuckets.emplace_back(it.RatePerSecond, burst);
  }
  for (Node &it : Nodes)
    it.Up = true;
  for (uint32_t vm = 0; vm < Init.Vms; ++vm) {
    Nodes[vm].Up = false;
    start(vm);
  }
}

Instant RateFleet::localTime(const Node &node) const {
  Duration elapsed = Now - node.Since;
  return node.Base + elapsed + elapsed * node.DriftPpm / Million;
}

void RateFleet::setClockDrift(uint32_t vm, int32_t ppm) {
  Node &node = Nodes[vm];
  node.Base = localTime(node);
  node.Since = Now;
  node.DriftPpm = ppm;
}

void RateFleet::start(uint32_t vm) {
  Node &node = Nodes[vm];
  if (node.Up)
    return;
  node.Up = true;
  ++node.RunId;
  node.Base = Instant(std::chrono::seconds(100 + (Random() % 1000)));
  node.Since = Now;
  RateInit init =
      rateInitFor(Init.Strategy, Init.Zones, Init.Vms, Random() | 1);
  init.Ownership.Partitions = Init.Partitions;
  if (Init.LeaseTerm > Duration{}) {
    init.Ownership.Term = Init.LeaseTerm;
    init.Ownership.RenewInterval = Init.LeaseTerm / 3;
    init.Ownership.RetryInterval = std::chrono::seconds(1);
  }
  node.Limiter.emplace(init);
  node.Limiter->setLimits(Init.Limits, localTime(node));
  node.Members.resize(Init.Vms);
  for (uint32_t n = 0; n < Init.Vms; ++n)
    node.Members[n] = {rateKey("vm" + std::to_string(n)),
                       rateKey("zone" + std::to_string(zone(n))), Nodes[n].Up};
  node.Limiter->setMembers(node.Members, {vm}, localTime(node));
  node.PausedUntil = Now;
  node.NextWake = NeverInstant;
  processOutput(vm);
  announce(vm, true);
}

void RateFleet::crash(uint32_t vm) {
  Node &node = Nodes[vm];
  node.Up = false;
  ++node.RunId;
  for (size_t it : node.Waiting)
    Requests[it].Open = false;
  node.Waiting.clear();
  announce(vm, false);
}

void RateFleet::announce(uint32_t vm, bool usable) {
  for (uint32_t other = 0; other < Init.Vms; ++other) {
    Action action;
    action.Kind = ActionKind::MemberUpdate;
    action.Vm = other;
    action.From = vm;
    action.Requester = usable ? 1 : 0;
    schedule(std::move(action), Init.DetectionDelay);
  }
}

void RateFleet::setBelievedUsable(uint32_t vm, uint32_t other, bool usable) {
  Node &node = Nodes[vm];
  if (!node.Up || vm == other || node.PausedUntil > Now)
    return;
  node.Members[other].Usable = usable;
  node.Limiter->setMembers(node.Members, {vm}, localTime(node));
  processOutput(vm);
}

void RateFleet::drain(uint32_t vm) {
  if (!Nodes[vm].Up)
    return;
  Nodes[vm].Limiter->releaseShares(localTime(Nodes[vm]));
  processOutput(vm);
}

void RateFleet::setCut(uint32_t from, uint32_t to, bool on) {
  Cuts[from][to] = on;
}

void RateFleet::pause(uint32_t vm, Duration span) {
  Nodes[vm].PausedUntil = std::max(Nodes[vm].PausedUntil, Now + span);
}

void RateFleet::setMessageFaults(uint32_t lostPerMille,
                                 uint32_t repeatedPerMille) {
  Init.LostPerMille = lostPerMille;
  Init.RepeatedPerMille = repeatedPerMille;
}

void RateFleet::schedule(Action action, Duration delay) {
  action.At = Now + delay;
  action.Order = ++Order;
  Queue.push(std::move(action));
}

Duration RateFleet::delay(uint32_t from, uint32_t to) {
  Duration base =
      zone(from) == zone(to) ? Init.InZoneDelay : Init.CrossZoneDelay;
  return base +
         Duration(static_cast<int64_t>(Random() % 1000) * base.count() / 4000);
}

void RateFleet::run(Duration span) {
  Instant end = Now + span;
  while (!Queue.empty() && Queue.top().At <= end) {
    Action action = Queue.top();
    Queue.pop();
    Now = std::max(Now, action.At);
    handleAction(action);
  }
  Now = end;
}

void RateFleet::handleAction(Action &action) {
  if (action.Kind == ActionKind::StoreCall)
    return applyStoreCall(action);
  Node &node = Nodes[action.Vm];
  bool ownTimer = action.Kind == ActionKind::Advance ||
                  action.Kind == ActionKind::Decide ||
                  action.Kind == ActionKind::StoreReply;
  if (!node.Up || (ownTimer && action.RunId != node.RunId))
    return;
  if (Now < node.PausedUntil) {
    Duration left = node.PausedUntil - Now;
    return schedule(std::move(action), left);
  }
  Instant at = localTime(node);
  switch (action.Kind) {
  case ActionKind::Request:
    node.Limiter->onTokenRequest(
        {action.From}, {action.Requester, action.Requests, action.Closes}, at);
    break;
  case ActionKind::Grant:
    node.Limiter->onTokenGrant({action.From}, {action.Requester, action.Grants},
                               at);
    break;
  case ActionKind::StoreReply:
    node.Limiter->shareOwner().onReply(action.Reply, at);
    break;
  case ActionKind::Advance:
    if (action.At != node.NextWake && node.NextWake > Now)
      return;
    node.NextWake = NeverInstant;
    node.Limiter->advance(at);
    break;
  case ActionKind::Decide:
    if (Requests[action.Waiting].Open)
      decide(action.Vm, action.Waiting);
    break;
  case ActionKind::MemberUpdate:
    return setBelievedUsable(action.Vm, action.From, action.Requester != 0);
  case ActionKind::StoreCall:
    break;
  }
  processOutput(action.Vm);
}

void RateFleet::offer(uint32_t vm, uint32_t workspace) {
  Node &node = Nodes[vm];
  if (!node.Up || Now < node.PausedUntil)
    return;
  ++Results[workspace].Offered;
  Request request{workspace, Now, Now + node.Limiter->init().TokenWaitTimeout,
                  IdealBuckets[workspace].offer(Now), true};
  Requests.push_back(request);
  decide(vm, Requests.size() - 1);
  processOutput(vm);
}

void RateFleet::decide(uint32_t vm, size_t index) {
  Node &node = Nodes[vm];
  Request &request = Requests[index];
  bool mayWait = Now < request.Deadline;
  Admission admission =
      node.Limiter->admit({request.Workspace}, localTime(node), mayWait);
  bool first = std::find(node.Waiting.begin(), node.Waiting.end(), index) ==
               node.Waiting.end();
  if (admission.Kind == AdmissionKind::Wait) {
    if (!first)
      return;
    node.Waiting.push_back(index);
    Action action;
    action.Kind = ActionKind::Decide;
    action.Vm = vm;
    action.RunId = node.RunId;
    action.Waiting = index;
    schedule(std::move(action), request.Deadline - Now);
    return;
  }
  request.Open = false;
  std::erase(node.Waiting, index);
  if (!first)
    Waits.push_back(Now - request.Arrived);
  Waited += first ? 0 : 1;
  if (admission.Kind == AdmissionKind::Admit)
    admitted(request);
  else
    refused(request);
}

void RateFleet::admitted(const Request &request) {
  WorkspaceResult &result = Results[request.Workspace];
  ++result.Admitted;
  TokenAmount excess = Oracles[request.Workspace].admit(Now);
  result.MaxExcess = std::max(result.MaxExcess, excess);
}

void RateFleet::refused(const Request &request) {
  if (request.WithinRate)
    ++Results[request.Workspace].RefusedWithinRate;
}

void RateFleet::processOutput(uint32_t vm) {
  Node &node = Nodes[vm];
  RateLimiter &limiter = *node.Limiter;
  std::vector<WorkspaceHandle> readyWorkspaces(
      limiter.readyWorkspaces().begin(), limiter.readyWorkspaces().end());
  limiter.clearReadyWorkspaces();
  for (WorkspaceHandle workspace : readyWorkspaces) {
    std::vector<size_t> waiting = node.Waiting;
    for (size_t it : waiting)
      if (Requests[it].Workspace == workspace.Value && Requests[it].Open)
        decide(vm, it);
  }
  sendMessages(vm);
  // Clock drift is negligible over the time to the next wake-up.
  Instant wake = limiter.nextWake();
  if (wake == NeverInstant)
    return;
  Duration wait = std::max(wake - localTime(node), Duration(100));
  if (node.NextWake <= Now + wait)
    return;
  node.NextWake = Now + wait;
  Action action;
  action.Kind = ActionKind::Advance;
  action.Vm = vm;
  action.RunId = node.RunId;
  schedule(std::move(action), wait);
}

void RateFleet::sendMessages(uint32_t vm) {
  Node &node = Nodes[vm];
  Effects.clear();
  node.Limiter->flush(Effects);
  for (const Effect &effect : Effects.items()) {
    const auto *send = std::get_if<SendPeer>(&effect);
    if (!send)
      continue;
    Action action;
    action.Vm = send->To.Value;
    action.From = vm;
    if (const auto *ask = std::get_if<TokenRequest>(&send->Body)) {
      action.Kind = ActionKind::Request;
      action.Requester = ask->Requester;
      action.Requests.assign(ask->RequestEntries.begin(),
                             ask->RequestEntries.end());
      action.Closes.assign(ask->Closes.begin(), ask->Closes.end());
    } else if (const auto *grant = std::get_if<TokenGrant>(&send->Body)) {
      action.Kind = ActionKind::Grant;
      action.Requester = grant->Requester;
      action.Grants.assign(grant->Grants.begin(), grant->Grants.end());
    }
    ++Messages;
    Bytes += MessageOverheadBytes + action.Requests.size() * RequestEntryBytes +
             action.Closes.size() * CloseEntryBytes +
             action.Grants.size() * GrantEntryBytes;
    if (Cuts[vm][send->To.Value] || Random() % 1000 < Init.LostPerMille)
      continue;
    if (Random() % 1000 < Init.RepeatedPerMille)
      schedule(action, delay(vm, send->To.Value) * (2 + Random() % 400));
    schedule(std::move(action), delay(vm, send->To.Value));
  }
  for (const ShareCall &it : node.Limiter->shareOwner().calls()) {
    Action action;
    action.Kind = ActionKind::StoreCall;
    action.Vm = vm;
    action.RunId = node.RunId;
    action.Call = it;
    ++StoreCalls;
    if (node.StoreReachable && !StoreUnavailable)
      schedule(std::move(action), storeDelay());
  }
  node.Limiter->shareOwner().clearCalls();
}

void RateFleet::applyStoreCall(const Action &action) {
  if (StoreUnavailable)
    return;
  const ShareCall &call = action.Call;
  ShareRecord &record = Store[{call.Share.Partition, call.Share.Share}];
  bool free = Now >= record.Until;
  bool owned = !free && record.Owner == call.Owner;
  bool exact = owned && record.Epoch == call.Epoch;
  bool applied = call.Kind == ShareCallKind::Claim ? free || owned : exact;
  if (applied && call.Kind == ShareCallKind::Claim)
    record = {call.Owner, record.Epoch + 1, Now + call.Term};
  if (applied && call.Kind == ShareCallKind::Renew)
    record.Until = Now + call.Term;
  if (applied && call.Kind == ShareCallKind::Release)
    record.Until = Instant::min();
  if (StoreRepliesToLose > 0) {
    --StoreRepliesToLose;
    return;
  }
  Action reply;
  reply.Kind = ActionKind::StoreReply;
  reply.Vm = action.Vm;
  reply.RunId = action.RunId;
  reply.Reply = {call.Share, call.Serial, applied, record.Epoch};
  schedule(std::move(reply), storeDelay());
}

Duration RateFleet::storeDelay() {
  if (MaxExtraStoreDelay == Duration{})
    return Init.StoreDelay;
  return Init.StoreDelay +
         Duration(static_cast<int64_t>(Random() % MaxExtraStoreDelay.count()));
}

TokenAmount RateFleet::maxExcess() const {
  TokenAmount most = INT64_MIN;
  for (const WorkspaceResult &it : Results)
    most = std::max(most, it.MaxExcess);
  return most;
}

uint64_t RateFleet::offered() const {
  uint64_t sum = 0;
  for (const WorkspaceResult &it : Results)
    sum += it.Offered;
  return sum;
}

uint64_t RateFleet::admitted() const {
  uint64_t sum = 0;
  for (const WorkspaceResult &it : Results)
    sum += it.Admitted;
  return sum;
}

uint64_t RateFleet::refusedWithinRate() const {
  uint64_t sum = 0;
  for (const WorkspaceResult &it : Results)
    sum += it.RefusedWithinRate;
  return sum;
}

void RateFleet::clearResults() {
  for (WorkspaceResult &it : Results)
    it = WorkspaceResult{};
  Waited = 0;
  Messages = 0;
  Bytes = 0;
  StoreCalls = 0;
  Waits.clear();
}

uint32_t RateFleet::ownedShares(uint32_t vm) {
  Node &node = Nodes[vm];
  if (!node.Up)
    return 0;
  uint32_t owned = 0;
  const OwnershipInit &init = node.Limiter->shareOwner().init();
  for (uint32_t p = 0; p < init.Partitions; ++p)
    for (uint32_t s = 0; s < init.Shares; ++s)
      owned += node.Limiter->shareOwner().activeLease({p, s}, localTime(node))
                   ? 1
                   : 0;
  return owned;
}

void saturate(RateFleet &fleet, Duration span) {
  Instant end = fleet.now() + span;
  for (uint32_t n = 0; fleet.now() < end; ++n) {
    for (uint32_t w = 0; w < fleet.workspaces(); ++w)
      for (uint32_t vm = n % 2; vm < fleet.vms(); vm += 2)
        fleet.offer(vm, w);
    fleet.run(std::chrono::milliseconds(1));
  }
}

void offerHalfRate(RateFleet &fleet, Duration span, uint64_t seed) {
  std::mt19937_64 random(seed);
  Instant end = fleet.now() + span;
  while (fleet.now() < end) {
    fleet.run(std::chrono::milliseconds(1));
    for (uint32_t w = 0; w < fleet.workspaces(); ++w)
      if (random() % 2000 < fleet.limit(w).RatePerSecond)
        fleet.offer(static_cast<uint32_t>(random() % fleet.vms()), w);
  }
}

void replaceOwner(RateFleet &fleet, uint32_t vm, Duration wait, Duration idle) {
  fleet.setStoreReachable(vm, false);
  for (uint32_t other = 0; other < fleet.vms(); ++other)
    fleet.setBelievedUsable(other, vm, false);
  offerHalfRate(fleet, wait, vm);
  fleet.run(idle);
  saturate(fleet, std::chrono::milliseconds(30));
  fleet.run(std::chrono::milliseconds(500));
  saturate(fleet, std::chrono::milliseconds(30));
  fleet.setStoreReachable(vm, true);
}

} // namespace guavasail
