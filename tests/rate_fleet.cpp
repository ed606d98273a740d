#include "rate_fleet.h"

#include <algorithm>
#include <string>

namespace guavasail {

namespace {

constexpr int64_t Million = 1'000'000;

// Bytes of one message and of one entry: CBOR integers with their heads, the
// frame and the message authentication code.
constexpr uint64_t MessageBytes = 40;
constexpr uint64_t AskBytes = 22;
constexpr uint64_t CloseBytes = 14;
constexpr uint64_t GrantBytes = 30;

} // namespace

RateFleet::RateFleet(const FleetInit &init)
    : Init(init), Random(init.Seed), Nodes(init.Vms),
      Cuts(init.Vms, std::vector<bool>(init.Vms, false)),
      Results(init.Limits.size()) {
  for (const RateLimit &it : Init.Limits) {
    uint32_t burst = std::max(it.Burst, 1U);
    Oracles.emplace_back(it.RatePerSecond, burst);
    Ideals.emplace_back(it.RatePerSecond, burst);
  }
  for (Node &it : Nodes)
    it.Up = true;
  for (uint32_t vm = 0; vm < Init.Vms; ++vm) {
    Nodes[vm].Up = false;
    start(vm);
  }
}

Instant RateFleet::local(const Node &node) const {
  Duration elapsed = Now - node.Since;
  return node.Base + elapsed + elapsed * node.DriftPpm / Million;
}

void RateFleet::clockDrift(uint32_t vm, int32_t ppm) {
  Node &node = Nodes[vm];
  node.Base = local(node);
  node.Since = Now;
  node.DriftPpm = ppm;
}

void RateFleet::start(uint32_t vm) {
  Node &node = Nodes[vm];
  if (node.Up)
    return;
  node.Up = true;
  ++node.Run;
  node.Base = Instant(std::chrono::seconds(100 + (Random() % 1000)));
  node.Since = Now;
  RateInit init =
      rateInitFor(Init.Strategy, Init.Zones, Init.Vms, Random() | 1);
  init.Shares.Partitions = Init.Partitions;
  if (Init.Term > Duration{}) {
    init.Shares.Term = Init.Term;
    init.Shares.RenewInterval = Init.Term / 3;
    init.Shares.RetryInterval = std::chrono::seconds(1);
  }
  node.Part.emplace(init);
  node.Part->setLimits(Init.Limits, local(node));
  node.View.resize(Init.Vms);
  for (uint32_t n = 0; n < Init.Vms; ++n)
    node.View[n] = {rateKey("vm" + std::to_string(n)),
                    rateKey("zone" + std::to_string(zone(n))), Nodes[n].Up};
  node.Part->setMembers(node.View, {vm}, local(node));
  node.PausedUntil = Now;
  node.Woken = NeverInstant;
  after(vm);
  tell(vm, true);
}

void RateFleet::crash(uint32_t vm) {
  Node &node = Nodes[vm];
  node.Up = false;
  ++node.Run;
  for (size_t it : node.Waiting)
    Requests[it].Open = false;
  node.Waiting.clear();
  tell(vm, false);
}

void RateFleet::tell(uint32_t vm, bool usable) {
  for (uint32_t other = 0; other < Init.Vms; ++other) {
    Action action;
    action.Kind = ActionKind::View;
    action.Vm = other;
    action.From = vm;
    action.Asker = usable ? 1 : 0;
    schedule(std::move(action), Init.Detection);
  }
}

void RateFleet::believe(uint32_t vm, uint32_t other, bool usable) {
  Node &node = Nodes[vm];
  if (!node.Up || vm == other || node.PausedUntil > Now)
    return;
  node.View[other].Usable = usable;
  node.Part->setMembers(node.View, {vm}, local(node));
  after(vm);
}

void RateFleet::drain(uint32_t vm) {
  if (!Nodes[vm].Up)
    return;
  Nodes[vm].Part->releaseAll(local(Nodes[vm]));
  after(vm);
}

void RateFleet::cut(uint32_t from, uint32_t to, bool on) {
  Cuts[from][to] = on;
}

void RateFleet::pause(uint32_t vm, Duration span) {
  Nodes[vm].PausedUntil = std::max(Nodes[vm].PausedUntil, Now + span);
}

void RateFleet::faults(uint32_t lostPerMille, uint32_t repeatedPerMille) {
  Init.LostPerMille = lostPerMille;
  Init.RepeatedPerMille = repeatedPerMille;
}

void RateFleet::schedule(Action action, Duration delay) {
  action.At = Now + delay;
  action.Order = ++Order;
  Queue.push(std::move(action));
}

Duration RateFleet::delay(uint32_t from, uint32_t to) {
  Duration base = zone(from) == zone(to) ? Init.InZone : Init.CrossZone;
  return base +
         Duration(static_cast<int64_t>(Random() % 1000) * base.count() / 4000);
}

void RateFleet::run(Duration span) {
  Instant end = Now + span;
  while (!Queue.empty() && Queue.top().At <= end) {
    Action action = Queue.top();
    Queue.pop();
    Now = std::max(Now, action.At);
    perform(action);
  }
  Now = end;
}

void RateFleet::perform(Action &action) {
  if (action.Kind == ActionKind::StoreCall)
    return applyStore(action);
  Node &node = Nodes[action.Vm];
  bool ownTimer = action.Kind == ActionKind::Wake ||
                  action.Kind == ActionKind::Decide ||
                  action.Kind == ActionKind::StoreReply;
  if (!node.Up || (ownTimer && action.Run != node.Run))
    return;
  if (Now < node.PausedUntil) {
    Duration left = node.PausedUntil - Now;
    return schedule(std::move(action), left);
  }
  Instant at = local(node);
  switch (action.Kind) {
  case ActionKind::Ask:
    node.Part->onAsk({action.From}, {action.Asker, action.Asks, action.Closes},
                     at);
    break;
  case ActionKind::Grant:
    node.Part->onGrant({action.From}, {action.Asker, action.Grants}, at);
    break;
  case ActionKind::StoreReply:
    node.Part->shares().onReply(action.Reply, at);
    break;
  case ActionKind::Wake:
    if (action.At != node.Woken && node.Woken > Now)
      return;
    node.Woken = NeverInstant;
    node.Part->advance(at);
    break;
  case ActionKind::Decide:
    if (Requests[action.Waiting].Open)
      decide(action.Vm, action.Waiting);
    break;
  case ActionKind::View:
    return believe(action.Vm, action.From, action.Asker != 0);
  case ActionKind::StoreCall:
    break;
  }
  after(action.Vm);
}

void RateFleet::offer(uint32_t vm, uint32_t workspace) {
  Node &node = Nodes[vm];
  if (!node.Up || Now < node.PausedUntil)
    return;
  ++Results[workspace].Offered;
  Request request{workspace, Now, Now + node.Part->init().AskWait,
                  Ideals[workspace].offer(Now), true};
  Requests.push_back(request);
  decide(vm, Requests.size() - 1);
  after(vm);
}

void RateFleet::decide(uint32_t vm, size_t index) {
  Node &node = Nodes[vm];
  Request &request = Requests[index];
  bool mayAsk = Now < request.Deadline;
  Admission admission =
      node.Part->admit({request.Workspace}, local(node), mayAsk);
  bool first = std::find(node.Waiting.begin(), node.Waiting.end(), index) ==
               node.Waiting.end();
  if (admission.Kind == AdmissionKind::Ask) {
    if (!first)
      return;
    node.Waiting.push_back(index);
    Action action;
    action.Kind = ActionKind::Decide;
    action.Vm = vm;
    action.Run = node.Run;
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
  if (request.Inside)
    ++Results[request.Workspace].RefusedInside;
}

void RateFleet::after(uint32_t vm) {
  Node &node = Nodes[vm];
  RatePart &part = *node.Part;
  std::vector<WorkspaceHandle> refreshed(part.refreshed().begin(),
                                         part.refreshed().end());
  part.clearRefreshed();
  for (WorkspaceHandle workspace : refreshed) {
    std::vector<size_t> waiting = node.Waiting;
    for (size_t it : waiting)
      if (Requests[it].Workspace == workspace.Value && Requests[it].Open)
        decide(vm, it);
  }
  sendOut(vm);
  // Local and true time differ little enough for the time to the next wake.
  Instant wake = part.nextWake();
  if (wake == NeverInstant)
    return;
  Duration wait = std::max(wake - local(node), Duration(100));
  if (node.Woken <= Now + wait)
    return;
  node.Woken = Now + wait;
  Action action;
  action.Kind = ActionKind::Wake;
  action.Vm = vm;
  action.Run = node.Run;
  schedule(std::move(action), wait);
}

void RateFleet::sendOut(uint32_t vm) {
  Node &node = Nodes[vm];
  Effects.clear();
  node.Part->flush(Effects);
  for (const Effect &effect : Effects.items()) {
    const auto *send = std::get_if<SendPeer>(&effect);
    if (!send)
      continue;
    Action action;
    action.Vm = send->To.Value;
    action.From = vm;
    if (const auto *ask = std::get_if<TokenAsk>(&send->Body)) {
      action.Kind = ActionKind::Ask;
      action.Asker = ask->Asker;
      action.Asks.assign(ask->Asks.begin(), ask->Asks.end());
      action.Closes.assign(ask->Closes.begin(), ask->Closes.end());
    } else if (const auto *grant = std::get_if<TokenGrant>(&send->Body)) {
      action.Kind = ActionKind::Grant;
      action.Asker = grant->Asker;
      action.Grants.assign(grant->Grants.begin(), grant->Grants.end());
    }
    ++Messages;
    Bytes += MessageBytes + action.Asks.size() * AskBytes +
             action.Closes.size() * CloseBytes +
             action.Grants.size() * GrantBytes;
    if (Cuts[vm][send->To.Value] || Random() % 1000 < Init.LostPerMille)
      continue;
    if (Random() % 1000 < Init.RepeatedPerMille)
      schedule(action, delay(vm, send->To.Value) * (2 + Random() % 400));
    schedule(std::move(action), delay(vm, send->To.Value));
  }
  for (const ShareCall &it : node.Part->shares().calls()) {
    Action action;
    action.Kind = ActionKind::StoreCall;
    action.Vm = vm;
    action.Run = node.Run;
    action.Call = it;
    ++StoreCalls;
    if (node.Store && !StoreIsAway)
      schedule(std::move(action), storeDelay());
  }
  node.Part->shares().clearCalls();
}

void RateFleet::applyStore(const Action &action) {
  if (StoreIsAway)
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
  reply.Run = action.Run;
  reply.Reply = {call.Share, call.Serial, applied, record.Epoch};
  schedule(std::move(reply), storeDelay());
}

Duration RateFleet::storeDelay() {
  if (Slowness == Duration{})
    return Init.Store;
  return Init.Store +
         Duration(static_cast<int64_t>(Random() % Slowness.count()));
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

uint64_t RateFleet::refusedInside() const {
  uint64_t sum = 0;
  for (const WorkspaceResult &it : Results)
    sum += it.RefusedInside;
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
  const OwnershipInit &init = node.Part->shares().init();
  for (uint32_t p = 0; p < init.Partitions; ++p)
    for (uint32_t s = 0; s < init.Shares; ++s)
      owned += node.Part->shares().activeLease({p, s}, local(node)) ? 1 : 0;
  return owned;
}

void storm(RateFleet &fleet, Duration span) {
  Instant end = fleet.now() + span;
  for (uint32_t n = 0; fleet.now() < end; ++n) {
    for (uint32_t w = 0; w < fleet.workspaces(); ++w)
      for (uint32_t vm = n % 2; vm < fleet.vms(); vm += 2)
        fleet.offer(vm, w);
    fleet.run(std::chrono::milliseconds(1));
  }
}

void trickle(RateFleet &fleet, Duration span, uint64_t seed) {
  std::mt19937_64 random(seed);
  Instant end = fleet.now() + span;
  while (fleet.now() < end) {
    fleet.run(std::chrono::milliseconds(1));
    for (uint32_t w = 0; w < fleet.workspaces(); ++w)
      if (random() % 2000 < fleet.limit(w).RatePerSecond)
        fleet.offer(static_cast<uint32_t>(random() % fleet.vms()), w);
  }
}

void replaceOwner(RateFleet &fleet, uint32_t vm, Duration wait, Duration rest) {
  fleet.storeReach(vm, false);
  for (uint32_t other = 0; other < fleet.vms(); ++other)
    fleet.believe(other, vm, false);
  trickle(fleet, wait, vm);
  fleet.run(rest);
  storm(fleet, std::chrono::milliseconds(30));
  fleet.run(std::chrono::milliseconds(500));
  storm(fleet, std::chrono::milliseconds(30));
  fleet.storeReach(vm, true);
}

} // namespace guavasail
