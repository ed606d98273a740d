#include "quota_fleet.h"

#include <algorithm>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration OwnerTimeout = milliseconds(450);
constexpr Duration SkipTime = seconds(2);
constexpr Duration TokenLifetime = milliseconds(600);
constexpr Duration EventGap = milliseconds(400);
/// Silence after which a VM is no longer believed to be alive.
constexpr Duration SilenceTimeout = milliseconds(1500);
constexpr Duration GossipInterval = milliseconds(200);
constexpr Duration Step = milliseconds(2);
constexpr uint32_t MaxOwners = 5;
constexpr uint32_t MaxSilent = 2;
constexpr size_t MaxPeers = 3;

} // namespace

QuotaFleet::QuotaFleet(const QuotaFleetInit &init)
    : Init(init), Random(init.Seed), Vms(init.Vms) {
  for (uint32_t vm = 0; vm < init.Vms; ++vm)
    start(vm);
}

void QuotaFleet::start(uint32_t vm) {
  Vm &it = Vms[vm];
  uint32_t incarnation = it.Incarnation + 1;
  it = Vm{};
  it.Table = QuotaTable(Random());
  it.Incarnation = incarnation;
  it.HeardAt.assign(Init.Vms, Now);
  it.SeenLeaving.assign(Init.Vms, false);
  it.SkippedUntil.assign(Init.Vms, Instant{});
  it.Missed.assign(Init.Vms, 0);
  QuotaLimit limit{Key, Init.Rate, Init.Burst};
  it.Table.setLimits({&limit, 1}, false, Now);
  it.Table.setLocalShare(1.0 / Init.Vms);
  std::erase_if(Waiting, [&](const auto &row) { return row.second.Vm == vm; });
}

void QuotaFleet::kill(uint32_t vm) { Vms[vm].Running = false; }

void QuotaFleet::pause(uint32_t vm, bool paused) { Vms[vm].Paused = paused; }

void QuotaFleet::leave(uint32_t vm) {
  Vms[vm].Leaving = true;
  Vms[vm].Table.resign();
  flush(vm);
}

void QuotaFleet::cut(uint32_t a, uint32_t b, bool down) {
  for (auto link : {std::pair(a, b), std::pair(b, a)}) {
    if (down)
      Cuts.insert(link);
    else
      Cuts.erase(link);
  }
}

void QuotaFleet::heal() {
  Cuts.clear();
  for (uint32_t vm = 0; vm < Init.Vms; ++vm) {
    Vms[vm].Paused = false;
    if (!Vms[vm].Running || Vms[vm].Leaving)
      start(vm);
  }
}

void QuotaFleet::schedule(uint32_t vm, Duration delay,
                          std::function<void()> run) {
  Events.push(
      {Now + delay, ++LastOrder, vm, Vms[vm].Incarnation, std::move(run)});
}

void QuotaFleet::send(uint32_t from, uint32_t to, std::function<void()> run) {
  if (Cuts.contains({from, to}))
    return;
  Duration delay = milliseconds(1) + Duration(Random() % 8000);
  schedule(to, from == to ? Duration::zero() : delay, std::move(run));
}

bool QuotaFleet::isAlive(const Vm &it, uint32_t other) const {
  return !it.SeenLeaving[other] && Now - it.HeardAt[other] < SilenceTimeout;
}

std::optional<uint32_t> QuotaFleet::ownerOf(uint32_t vm,
                                            std::optional<uint32_t> skip,
                                            bool skipping) const {
  const Vm &it = Vms[vm];
  for (uint32_t other = 0; other < Init.Vms; ++other) {
    bool skipped = skipping && Now < it.SkippedUntil[other];
    bool self = other == vm && !it.Leaving;
    if (other != skip && !skipped && (self || isAlive(it, other)))
      return other;
  }
  return std::nullopt;
}

QuotaRole QuotaFleet::role(uint32_t vm) {
  Vm &it = Vms[vm];
  it.Peers.clear();
  for (uint32_t other = 0; other < Init.Vms && it.Peers.size() < MaxPeers;
       ++other)
    if (other != vm && Now - it.HeardAt[other] < SilenceTimeout * 2)
      it.Peers.push_back({other});
  return {ownerOf(vm, {}, true) == vm, it.Peers};
}

void QuotaFleet::arrive(uint32_t vm) {
  uint32_t number = ++LastNumber;
  Asked asked;
  asked.Vm = vm;
  asked.Incarnation = Vms[vm].Incarnation;
  Waiting[number] = asked;
  ask(number);
}

void QuotaFleet::ask(uint32_t number) {
  Asked &asked = Waiting[number];
  uint32_t vm = asked.Vm;
  Vm &it = Vms[vm];
  asked.Owner =
      asked.Holder ? *asked.Holder : ownerOf(vm, asked.Skip, true).value_or(vm);
  asked.Holder.reset();
  asked.At = Now;
  QuotaDebt debt = it.Table.takeDebt(Key, Now);
  asked.Told = debt.LocalSpent;
  QuotaRequest request{Key, {number, 1}};
  request.Failover =
      asked.Failures > 0 || ownerOf(vm, {}, false) != asked.Owner;
  request.LocalSpent = debt.LocalSpent;
  request.KnownLevel = debt.KnownLevel;
  request.KnownAge = debt.KnownAge;
  uint32_t owner = asked.Owner;
  if (owner != vm)
    schedule(vm, OwnerTimeout, [this, number, failures = asked.Failures] {
      onTimeout(number, failures);
    });
  send(vm, owner, [this, vm, owner, request] {
    if (Vms[owner].Leaving)
      send(owner, vm, [this, owner, request] {
        onReply(owner, {request.Workspace, request.Request}, {});
      });
    else
      Vms[owner].Table.acquire({vm}, request, role(owner), Now);
    flush(owner);
  });
}

void QuotaFleet::onReply(uint32_t from, const QuotaReply &reply,
                         VmHandle holder) {
  auto row = Waiting.find(reply.Request.Index);
  if (row == Waiting.end() || row->second.Owner != from)
    return;
  Asked asked = row->second;
  Vm &it = Vms[asked.Vm];
  it.Missed[from] = 0;
  if (reply.Verdict == QuotaVerdict::NotOwner) {
    it.Table.restoreLocalSpent(Key, asked.Told);
    if (holder.valid() && asked.Silent == holder.Value) {
      ++Refused;
      Waiting.erase(row);
      return;
    }
    if (holder.valid())
      row->second.Holder = holder.Value;
    return askNext(reply.Request.Index);
  }
  it.Table.noteLevel(Key, reply.Level, Now);
  if (reply.Verdict == QuotaVerdict::Admitted && Now - asked.At > TokenLifetime)
    return decideLocally(reply.Request.Index);
  if (reply.Verdict == QuotaVerdict::Admitted)
    Admitted.push_back(Now);
  else
    ++Refused;
  Waiting.erase(reply.Request.Index);
}

void QuotaFleet::onTimeout(uint32_t number, uint32_t failures) {
  auto row = Waiting.find(number);
  if (row == Waiting.end() || row->second.Failures != failures)
    return;
  Asked &asked = row->second;
  Vm &it = Vms[asked.Vm];
  if (++it.Missed[asked.Owner] >= 2) {
    it.Missed[asked.Owner] = 0;
    it.SkippedUntil[asked.Owner] = Now + SkipTime;
  }
  ++asked.Timeouts;
  asked.Silent = asked.Owner;
  it.Table.restoreLocalSpent(Key, asked.Told);
  askNext(number);
}

void QuotaFleet::askNext(uint32_t number) {
  Asked &asked = Waiting[number];
  asked.Skip = asked.Owner;
  if (++asked.Failures >= MaxOwners || asked.Timeouts >= MaxSilent)
    return decideLocally(number);
  ask(number);
}

void QuotaFleet::decideLocally(uint32_t number) {
  Asked asked = Waiting[number];
  Waiting.erase(number);
  QuotaReply reply = Vms[asked.Vm].Table.acquireLocal({Key, {number, 1}}, Now);
  if (reply.Verdict == QuotaVerdict::Admitted)
    Admitted.push_back(Now);
  else
    ++Refused;
}

void QuotaFleet::flush(uint32_t vm) {
  QuotaTable &table = Vms[vm].Table;
  std::vector<QuotaOutput> replies(table.output().begin(),
                                   table.output().end());
  std::vector<QuotaClaimOutput> claims(table.claims().begin(),
                                       table.claims().end());
  table.clearOutput();
  for (const QuotaOutput &it : replies)
    send(vm, it.To.Value, [this, vm, it] { onReply(vm, it.Reply, it.Holder); });
  for (const QuotaClaimOutput &it : claims) {
    uint32_t to = it.To.Value;
    send(vm, to, [this, vm, to, it] {
      QuotaClaimAnswer answer =
          Vms[to].Table.onClaim({vm}, it.Claim, vm < to, Vms[to].Leaving, Now);
      flush(to);
      send(to, vm, [this, vm, to, answer] {
        VmHandle holder =
            answer.Holder.Value == vm ? VmHandle{} : answer.Holder;
        Vms[vm].Table.onClaimReply({to}, answer.Reply, holder, Now);
        flush(vm);
      });
    });
  }
}

/// Each VM hears from the VMs that it reaches.
void QuotaFleet::gossip() {
  NextGossip = Now + GossipInterval;
  for (uint32_t vm = 0; vm < Init.Vms; ++vm)
    for (uint32_t other = 0; other < Init.Vms; ++other) {
      const Vm &from = Vms[other];
      bool heard = from.Running && !from.Paused && !Cuts.contains({other, vm});
      if (!heard && other != vm)
        continue;
      Vms[vm].HeardAt[other] = Now;
      Vms[vm].SeenLeaving[other] = from.Leaving;
    }
}

void QuotaFleet::tick() {
  while (!Events.empty() && Events.top().At <= Now) {
    Event event = Events.top();
    Events.pop();
    Vm &it = Vms[event.Vm];
    if (event.Incarnation != it.Incarnation || !it.Running)
      continue;
    if (it.Paused) {
      event.At = Now + Step;
      Events.push(event);
      continue;
    }
    if (it.EventAt != Instant{} && Now - it.EventAt > EventGap)
      it.Table.notePause(Now);
    it.EventAt = Now;
    event.Run();
  }
  for (uint32_t vm = 0; vm < Init.Vms; ++vm) {
    Vm &it = Vms[vm];
    if (!it.Running || it.Paused)
      continue;
    if (it.EventAt != Instant{} && Now - it.EventAt > EventGap)
      it.Table.notePause(Now);
    it.EventAt = Now;
    if (it.Table.nextDue() > Now)
      continue;
    it.Table.advance(Now);
    flush(vm);
  }
}

void QuotaFleet::run(Duration time, uint32_t perSecond) {
  for (Instant end = Now + time; Now < end; Now += Step) {
    if (NextGossip <= Now)
      gossip();
    constexpr uint64_t StepsPerSecond = seconds(1) / Step;
    for (uint64_t n = Random() % StepsPerSecond; n < perSecond;
         n += StepsPerSecond) {
      auto vm = static_cast<uint32_t>(Random() % Init.Vms);
      if (Vms[vm].Running && !Vms[vm].Paused)
        arrive(vm);
    }
    tick();
  }
}

double QuotaFleet::excess() const {
  // The most that was admitted beyond a bucket that was full at any time.
  double worst = 0;
  double level = 0;
  for (size_t n = 0; n < Admitted.size(); ++n) {
    if (n > 0) {
      std::chrono::duration<double> past = Admitted[n] - Admitted[n - 1];
      level = std::max(0.0, level - past.count() * Init.Rate);
    }
    level += 1;
    worst = std::max(worst, level - Init.Burst);
  }
  return worst;
}

} // namespace guavasail
