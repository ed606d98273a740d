#include "membership.h"

#include "member_times.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace guavasail {

std::span<const Membership::Strategy> Membership::strategies() {
  static constexpr Strategy Rows[] = {
      {MembershipKind::AllToAll, &Membership::tickAllToAll, false},
      {MembershipKind::Probing, &Membership::tickProbing, true},
  };
  return Rows;
}

Membership::Membership(const MembershipInit &init, CatalogIndex &zones)
    : ActiveStrategy(&strategies()[static_cast<size_t>(init.Kind)]),
      SelfRegistration(init.SelfRegistration), Zones(zones), Random(init.Seed) {
  VmHandle self = Table.addOrUpdate(init.Self, zones.zone(init.Self.Zone), {});
  if (!self.valid())
    return;
  Table.setSelf(self);
  Table.apply(self, VmState::Alive, init.Incarnation, {});
  Gossip.add(self);
}

void Membership::onList(std::span<const VmSpec> list, const MemberStep &step) {
  if (list.empty())
    return;
  std::vector<bool> listed(Table.size() + list.size());
  for (const VmSpec &spec : list) {
    VmHandle vm = Table.addOrUpdate(spec, Zones.zone(spec.Zone), step.Now);
    if (!vm.valid())
      continue;
    listed[vm.Value] = true;
    VmEntry &entry = Table.at(vm);
    entry.Listed = true;
    if (isSelf(vm) && SelfRemoved) {
      SelfRemoved = false;
      updateState(vm, VmState::Alive,
                  (entry.Incarnation | MemberRefutationMask) + 1, step);
    }
    // A self-registered entry shows that the VM ran recently.
    if (spec.Incarnation > entry.Incarnation && !isSelf(vm))
      updateState(vm, VmState::Alive, spec.Incarnation, step);
    if (spec.Leaving)
      updateState(vm, VmState::Leaving, entry.Incarnation, step);
  }
  for (uint32_t n = 0; n < Table.size(); ++n) {
    VmEntry &entry = Table.at({n});
    if (listed[n] || !entry.Listed)
      continue;
    if (SelfRegistration && (isSelf({n}) || entry.State != VmState::Gone))
      continue;
    entry.Listed = false;
    SelfRemoved |= isSelf({n});
    if (!isSelf({n}))
      updateState({n}, VmState::Removed, entry.Incarnation, step);
  }
}

void Membership::leave(const MemberStep &step) {
  if (!Table.self().valid())
    return;
  updateState(Table.self(), VmState::Leaving, selfEntry().Incarnation, step);
  if (!ActiveStrategy->UsesGossip)
    return;
  std::span<const VmHandle> live = Table.live();
  for (size_t n = 0; n < std::min(live.size(), MaxHelpers); ++n)
    sendPing(live[(Random() + n) % live.size()], ++Sequence, step);
}

void Membership::onMessage(VmHandle from, const Heartbeat &message,
                           const MemberStep &step) {
  if (!Table.contains(from) || isSelf(from))
    return;
  Table.updateLastHeard(from, step.Now);
  VmState state = message.Leaving ? VmState::Leaving : VmState::Alive;
  if (Table.at(from).State != VmState::Removed)
    Table.setState(from, state, message.Incarnation, step.Now);
}

void Membership::recordContact(VmHandle from, uint64_t incarnation,
                               bool leaving, const MemberStep &step) {
  Table.updateLastHeard(from, step.Now);
  updateState(from, leaving ? VmState::Leaving : VmState::Alive, incarnation,
              step);
}

void Membership::updateState(VmHandle vm, VmState state, uint64_t incarnation,
                             const MemberStep &step) {
  VmState before = Table.at(vm).State;
  if (!Table.apply(vm, state, incarnation, step.Now))
    return;
  if (before != state)
    step.Effects.push(MemberChanged{vm, state});
  if (ActiveStrategy->UsesGossip)
    Gossip.add(vm);
  std::erase_if(Suspicions, [&](const Suspicion &it) { return it.Vm == vm; });
  if (state == VmState::Suspect)
    Suspicions.push_back({vm, step.Now + suspicionTimeout(), false});
}

void Membership::applyUpdate(const MemberUpdate &update,
                             const MemberStep &step) {
  VmHandle vm = Table.find(update.Name);
  if (vm.valid() && isSelf(vm))
    return applySelfUpdate(update, step);
  bool ended =
      update.State == VmState::Gone || update.State == VmState::Removed;
  if (!vm.valid() && !ended) {
    VmSpec spec{update.Name, update.Address, update.PeerPort, update.Zone,
                update.Region};
    spec.CpuPercent = update.CpuPercent;
    vm = Table.addOrUpdate(spec, Zones.zone(update.Zone), step.Now);
  }
  if (vm.valid())
    updateState(vm, update.State, update.Incarnation, step);
}

void Membership::applySelfUpdate(const MemberUpdate &update,
                                 const MemberStep &step) {
  VmHandle self = Table.self();
  VmState own = selfEntry().State;
  uint64_t start = selfEntry().Incarnation & ~MemberRefutationMask;
  bool newGone = update.State == VmState::Gone && update.Incarnation >= start &&
                 update.Incarnation > GoneIncarnation;
  if (newGone) {
    // Recorded even if this VM has refuted an earlier suspicion meanwhile.
    GoneIncarnation = update.Incarnation;
    DeclaredGoneAt = step.Now;
  }
  if (update.Incarnation < selfEntry().Incarnation)
    return;
  if (update.State == VmState::Removed)
    SelfRemoved = true;
  if (update.State == VmState::Leaving)
    updateState(self, VmState::Leaving, update.Incarnation, step);
  bool mustRefute =
      update.State == VmState::Suspect || update.State == VmState::Gone;
  if (!mustRefute)
    return;
  HealthPenalty = std::min(HealthPenalty + 1, MaxHealthPenalty);
  updateState(self, own, update.Incarnation + 1, step);
}

void Membership::expireSuspicions(const MemberStep &step) {
  for (size_t n = 0; n < Suspicions.size();) {
    if (Suspicions[n].Due > step.Now) {
      ++n;
      continue;
    }
    VmHandle vm = Suspicions[n].Vm;
    // `updateState` erases the suspicion.
    updateState(vm, VmState::Gone, Table.at(vm).Incarnation, step);
  }
}

Duration Membership::suspicionTimeout() const {
  double magnitude = std::log10(static_cast<double>(Table.live().size() + 1));
  return BaseSuspicionTimeout *
         std::max(1, static_cast<int>(std::ceil(magnitude)));
}

MemberUpdate Membership::makeUpdate(VmHandle vm) const {
  const VmEntry &entry = Table.at(vm);
  std::string zone;
  if (entry.Zone.valid())
    zone = Zones.name(entry.Zone);
  return {entry.Name,     entry.State, entry.Incarnation, entry.Address,
          entry.PeerPort, zone,        entry.Region,      entry.CpuPercent};
}

void Membership::tickAllToAll(const MemberStep &step) {
  bool leaving = selfEntry().State == VmState::Leaving;
  for (uint32_t n = 0; n < Table.size(); ++n) {
    VmHandle vm{n};
    const VmEntry &entry = Table.at(vm);
    bool skipped = isSelf(vm) || !Table.contains(vm);
    if (skipped || entry.State == VmState::Removed)
      continue;
    step.Effects.push(
        SendPeer{vm, Heartbeat{selfEntry().Incarnation, 0, leaving}});
    if (isLive(entry.State) && step.Now - entry.LastHeard > HeartbeatTimeout)
      Table.setState(vm, VmState::Gone, entry.Incarnation, step.Now);
  }
}

void Membership::tickProbing(const MemberStep &step) {
  if (CurrentProbe.Stage != ProbeStage::Idle)
    failProbe(step);
  for (const Suspicion &it : Suspicions)
    if (it.StartedBySelf)
      sendPing(it.Vm, ++Sequence, step);
  startProbe(step);
}

void Membership::advance(const MemberStep &step) {
  if (!Table.self().valid())
    return;
  if (!Started) {
    Started = true;
    NextPeriod = step.Now;
    NextEviction = step.Now + EvictionInterval;
  }
  Duration late = step.Now - nextDue();
  if (late > PauseThreshold) {
    // This VM was paused; replies missed meanwhile are no evidence of failures
    // of other VMs.
    CurrentProbe = {};
    HealthPenalty =
        std::min(HealthPenalty + PauseHealthPenalty, MaxHealthPenalty);
    for (Suspicion &it : Suspicions)
      it.Due += late;
    for (Relay &it : Relays)
      it.Due += late;
  }
  expireSuspicions(step);
  expireRelays(step);
  if (CurrentProbe.Stage == ProbeStage::Direct &&
      CurrentProbe.DirectDue <= step.Now)
    sendPingRequests(step);
  if (NextEviction <= step.Now) {
    Table.evictExpired(step.Now);
    NextEviction = step.Now + EvictionInterval;
  }
  if (NextPeriod > step.Now)
    return;
  NextPeriod = step.Now + scaled(ProbeInterval);
  ++PeriodCount;
  (this->*ActiveStrategy->Tick)(step);
}

Instant Membership::nextDue() const {
  if (!Table.self().valid())
    return NeverInstant;
  Instant due = std::min(NextPeriod, NextEviction);
  if (CurrentProbe.Stage == ProbeStage::Direct)
    due = std::min(due, CurrentProbe.DirectDue);
  for (const Suspicion &it : Suspicions)
    due = std::min(due, it.Due);
  for (const Relay &it : Relays)
    due = std::min(due, it.Due);
  return due;
}

MemberView Membership::view() const {
  MemberView view = Table.view();
  if (ProbeCount > 0)
    view.ReachablePercent =
        100 * static_cast<uint32_t>(std::popcount(ProbeResults)) / ProbeCount;
  view.DeclaredGoneAt = DeclaredGoneAt;
  view.SelfRemoved = SelfRemoved;
  for (uint32_t n = 0; n < Table.size() && !view.HasPeers; ++n)
    view.HasPeers = !isSelf({n}) && Table.contains({n}) &&
                    Table.at({n}).State != VmState::Removed;
  return view;
}

} // namespace guavasail
