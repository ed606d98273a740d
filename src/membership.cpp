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
    : Chosen(&strategies()[static_cast<size_t>(init.Kind)]),
      SelfListed(init.SelfListed), Zones(zones), Random(init.Seed) {
  VmHandle self = Table.intern(init.Self, zones.zone(init.Self.Zone), {});
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
    VmHandle vm = Table.intern(spec, Zones.zone(spec.Zone), step.Now);
    if (!vm.valid())
      continue;
    listed[vm.Value] = true;
    VmEntry &entry = Table.at(vm);
    entry.Listed = true;
    if (isSelf(vm) && SelfRemoved) {
      SelfRemoved = false;
      state(vm, VmState::Alive, (entry.Incarnation | MemberRefutationMask) + 1,
            step);
    }
    // An entry of its own says that the VM ran a short time ago.
    if (spec.Incarnation > entry.Incarnation && !isSelf(vm))
      state(vm, VmState::Alive, spec.Incarnation, step);
    if (spec.Leaving)
      state(vm, VmState::Leaving, entry.Incarnation, step);
  }
  for (uint32_t n = 0; n < Table.size(); ++n) {
    VmEntry &entry = Table.at({n});
    if (listed[n] || !entry.Listed)
      continue;
    if (SelfListed && (isSelf({n}) || entry.State != VmState::Gone))
      continue;
    entry.Listed = false;
    SelfRemoved |= isSelf({n});
    if (!isSelf({n}))
      state({n}, VmState::Removed, entry.Incarnation, step);
  }
}

void Membership::leave(const MemberStep &step) {
  if (!Table.self().valid())
    return;
  state(Table.self(), VmState::Leaving, selfEntry().Incarnation, step);
  if (!Chosen->Gossips)
    return;
  std::span<const VmHandle> live = Table.live();
  for (size_t n = 0; n < std::min(live.size(), Helpers); ++n)
    sendPing(live[(Random() + n) % live.size()], ++Sequence, step);
}

void Membership::onMessage(VmHandle from, const Heartbeat &message,
                           const MemberStep &step) {
  if (!Table.contains(from) || isSelf(from))
    return;
  Table.hear(from, step.Now);
  VmState state = message.Leaving ? VmState::Leaving : VmState::Alive;
  if (Table.at(from).State != VmState::Removed)
    Table.force(from, state, message.Incarnation, step.Now);
}

void Membership::contact(VmHandle from, uint64_t incarnation, bool leaving,
                         const MemberStep &step) {
  Table.hear(from, step.Now);
  state(from, leaving ? VmState::Leaving : VmState::Alive, incarnation, step);
}

void Membership::state(VmHandle vm, VmState state, uint64_t incarnation,
                       const MemberStep &step) {
  VmState before = Table.at(vm).State;
  if (!Table.apply(vm, state, incarnation, step.Now))
    return;
  if (before != state)
    step.Effects.push(MemberChanged{vm, state});
  if (Chosen->Gossips)
    Gossip.add(vm);
  std::erase_if(Suspicions, [&](const Suspicion &it) { return it.Vm == vm; });
  if (state == VmState::Suspect)
    Suspicions.push_back({vm, step.Now + suspicionTime(), false});
}

void Membership::learn(const MemberUpdate &update, const MemberStep &step) {
  VmHandle vm = Table.find(update.Name);
  if (vm.valid() && isSelf(vm))
    return learnSelf(update, step);
  bool ended =
      update.State == VmState::Gone || update.State == VmState::Removed;
  if (!vm.valid() && !ended) {
    VmSpec spec{update.Name, update.Address, update.PeerPort, update.Zone,
                update.Region};
    vm = Table.intern(spec, Zones.zone(update.Zone), step.Now);
  }
  if (vm.valid())
    state(vm, update.State, update.Incarnation, step);
}

void Membership::learnSelf(const MemberUpdate &update, const MemberStep &step) {
  VmHandle self = Table.self();
  VmState own = selfEntry().State;
  uint64_t start = selfEntry().Incarnation & ~MemberRefutationMask;
  bool newGone = update.State == VmState::Gone && update.Incarnation >= start &&
                 update.Incarnation > GoneIncarnation;
  if (newGone) {
    // Also if this VM has refuted an earlier suspicion in the meantime.
    GoneIncarnation = update.Incarnation;
    ThoughtGone = step.Now;
  }
  if (update.Incarnation < selfEntry().Incarnation)
    return;
  if (update.State == VmState::Removed)
    SelfRemoved = true;
  if (update.State == VmState::Leaving)
    state(self, VmState::Leaving, update.Incarnation, step);
  bool accused =
      update.State == VmState::Suspect || update.State == VmState::Gone;
  if (!accused)
    return;
  Strain = std::min(Strain + 1, MaxStrain);
  state(self, own, update.Incarnation + 1, step);
}

void Membership::confirmSuspicions(const MemberStep &step) {
  for (size_t n = 0; n < Suspicions.size();) {
    if (Suspicions[n].Due > step.Now) {
      ++n;
      continue;
    }
    VmHandle vm = Suspicions[n].Vm;
    // Changing the state removes the suspicion.
    state(vm, VmState::Gone, Table.at(vm).Incarnation, step);
  }
}

Duration Membership::suspicionTime() const {
  double magnitude = std::log10(static_cast<double>(Table.live().size() + 1));
  return SuspicionBase * std::max(1, static_cast<int>(std::ceil(magnitude)));
}

MemberUpdate Membership::describe(VmHandle vm) const {
  const VmEntry &entry = Table.at(vm);
  std::string zone;
  if (entry.Zone.valid())
    zone = Zones.name(entry.Zone);
  return {entry.Name,     entry.State, entry.Incarnation, entry.Address,
          entry.PeerPort, zone,        entry.Region};
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
    if (isLive(entry.State) && step.Now - entry.LastHeard > HeartbeatLimit)
      Table.force(vm, VmState::Gone, entry.Incarnation, step.Now);
  }
}

void Membership::tickProbing(const MemberStep &step) {
  if (Current.Stage != ProbeStage::Idle)
    failProbe(step);
  for (const Suspicion &it : Suspicions)
    if (it.Mine)
      sendPing(it.Vm, ++Sequence, step);
  startProbe(step);
}

void Membership::advance(const MemberStep &step) {
  if (!Table.self().valid())
    return;
  if (!Started) {
    Started = true;
    PeriodDue = step.Now;
    ForgetDue = step.Now + ForgetPeriod;
  }
  Duration late = step.Now - nextDue();
  if (late > PauseLimit) {
    // This VM did not run; what it missed says nothing about the others.
    Current = {};
    Strain = std::min(Strain + PauseStrain, MaxStrain);
    for (Suspicion &it : Suspicions)
      it.Due += late;
    for (Relay &it : Relays)
      it.Due += late;
  }
  confirmSuspicions(step);
  expireRelays(step);
  if (Current.Stage == ProbeStage::Direct && Current.DirectDue <= step.Now)
    askHelpers(step);
  if (ForgetDue <= step.Now) {
    Table.forgetOld(step.Now);
    ForgetDue = step.Now + ForgetPeriod;
  }
  if (PeriodDue > step.Now)
    return;
  PeriodDue = step.Now + scaled(ProbePeriod);
  ++Periods;
  (this->*Chosen->Tick)(step);
}

Instant Membership::nextDue() const {
  if (!Table.self().valid())
    return NeverInstant;
  Instant due = std::min(PeriodDue, ForgetDue);
  if (Current.Stage == ProbeStage::Direct)
    due = std::min(due, Current.DirectDue);
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
  view.ThoughtGone = ThoughtGone;
  view.SelfRemoved = SelfRemoved;
  for (uint32_t n = 0; n < Table.size() && !view.HasPeers; ++n)
    view.HasPeers = !isSelf({n}) && Table.contains({n}) &&
                    Table.at({n}).State != VmState::Removed;
  return view;
}

} // namespace guavasail
