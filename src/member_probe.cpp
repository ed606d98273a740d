#include "member_times.h"
#include "membership.h"

#include <algorithm>
#include <array>

namespace guavasail {

namespace {

/// \returns true if a VM in \p state is pinged in turn.
bool isProbed(VmState state) {
  return isLive(state) || state == VmState::Unknown;
}

/// \returns true if the VM has to be told what is said about it.
bool isAccused(VmState state) {
  return state == VmState::Suspect || state == VmState::Gone ||
         state == VmState::Removed;
}

} // namespace

Duration Membership::scaled(Duration time) const { return time * (Strain + 1); }

void Membership::startProbe(const MemberStep &step) {
  VmHandle target;
  if (Periods % GonePeriods == 0)
    target = nextGoneTarget();
  if (!target.valid())
    target = nextTarget();
  if (!target.valid())
    return;
  Current = {ProbeStage::Direct, target, ++Sequence,
             step.Now + scaled(DirectTimeout)};
  sendPing(target, Current.Sequence, step);
}

VmHandle Membership::nextTarget() {
  if (Order.empty())
    refillOrder();
  while (!Order.empty()) {
    VmHandle vm = Order.back();
    Order.pop_back();
    if (Table.contains(vm) && isProbed(Table.at(vm).State))
      return vm;
  }
  return {};
}

void Membership::refillOrder() {
  for (uint32_t n = 0; n < Table.size(); ++n)
    if (!isSelf({n}) && Table.contains({n}) && isProbed(Table.at({n}).State))
      Order.push_back({n});
  std::shuffle(Order.begin(), Order.end(), Random);
}

VmHandle Membership::nextGoneTarget() {
  for (size_t n = 0; n < Table.size(); ++n) {
    GoneCursor = (GoneCursor + 1) % static_cast<uint32_t>(Table.size());
    VmHandle vm{GoneCursor};
    if (Table.contains(vm) && Table.at(vm).State == VmState::Gone)
      return vm;
  }
  return {};
}

void Membership::sendPing(VmHandle to, uint64_t sequence,
                          const MemberStep &step) {
  MemberPing ping;
  ping.Sequence = sequence;
  ping.Incarnation = selfEntry().Incarnation;
  ping.Leaving = selfEntry().State == VmState::Leaving;
  ping.Joining = Periods <= JoinPeriods;
  fillUpdates(to, false, ping.Updates);
  step.Effects.push(SendPeer{to, std::move(ping)});
}

void Membership::fillUpdates(VmHandle to, bool joining,
                             std::vector<MemberUpdate> &updates) {
  if (isAccused(Table.at(to).State))
    updates.push_back(describe(to));
  std::array<VmHandle, MaxUpdates> buf;
  for (VmHandle vm : Gossip.take(Table.size(), buf))
    if (Table.contains(vm))
      updates.push_back(describe(vm));
  size_t n = joining ? std::min(JoinUpdates, Table.size()) : 0;
  for (; n > 0; --n) {
    JoinCursor = (JoinCursor + 1) % static_cast<uint32_t>(Table.size());
    VmHandle vm{JoinCursor};
    if (Table.contains(vm) && Table.at(vm).State != VmState::Unknown)
      updates.push_back(describe(vm));
  }
}

void Membership::onMessage(VmHandle from, const MemberPing &message,
                           const MemberStep &step) {
  if (!Table.contains(from) || isSelf(from))
    return;
  contact(from, message.Incarnation, message.Leaving, step);
  for (const MemberUpdate &update : message.Updates)
    learn(update, step);
  MemberAck ack;
  ack.Sequence = message.Sequence;
  ack.Incarnation = selfEntry().Incarnation;
  ack.Leaving = selfEntry().State == VmState::Leaving;
  fillUpdates(from, message.Joining, ack.Updates);
  step.Effects.push(SendPeer{from, std::move(ack)});
}

void Membership::onMessage(VmHandle from, const MemberPingRequest &message,
                           const MemberStep &step) {
  if (!Table.contains(from) || isSelf(from))
    return;
  Table.hear(from, step.Now);
  VmHandle target = Table.find(message.Target);
  if (!target.valid() || isSelf(target) || Relays.size() == MaxRelays)
    return;
  Relays.push_back(
      {from, target, message.Sequence, ++Sequence, step.Now + RelayTimeout});
  sendPing(target, Sequence, step);
}

void Membership::expireRelays(const MemberStep &step) {
  for (const Relay &it : Relays) {
    if (it.Due > step.Now)
      continue;
    MemberAck ack;
    ack.Sequence = it.RequestSequence;
    ack.Relayed = true;
    ack.Reached = false;
    step.Effects.push(SendPeer{it.Requester, std::move(ack)});
  }
  std::erase_if(Relays, [&](const Relay &it) { return it.Due <= step.Now; });
}

void Membership::onMessage(VmHandle from, const MemberAck &message,
                           const MemberStep &step) {
  if (!Table.contains(from) || isSelf(from))
    return;
  if (message.Relayed)
    Table.hear(from, step.Now);
  else
    contact(from, message.Incarnation, message.Leaving, step);
  for (const MemberUpdate &update : message.Updates)
    learn(update, step);
  bool current =
      Current.Stage != ProbeStage::Idle && Current.Sequence == message.Sequence;
  if (current && message.Relayed) {
    ++Current.Witnesses;
    if (!message.Reached)
      return;
    Table.at(Current.Target).DirectPath = false;
    state(Current.Target, message.Leaving ? VmState::Leaving : VmState::Alive,
          message.Incarnation, step);
    return endProbe(true);
  }
  if (current && from == Current.Target) {
    Table.at(from).DirectPath = true;
    return endProbe(true);
  }
  auto it = std::find_if(Relays.begin(), Relays.end(), [&](const Relay &relay) {
    return relay.Target == from && relay.Sequence == message.Sequence;
  });
  if (message.Relayed || it == Relays.end())
    return;
  MemberAck ack;
  ack.Sequence = it->RequestSequence;
  ack.Incarnation = message.Incarnation;
  ack.Leaving = message.Leaving;
  ack.Relayed = true;
  step.Effects.push(SendPeer{it->Requester, std::move(ack)});
  Relays.erase(it);
}

void Membership::askHelpers(const MemberStep &step) {
  Current.Stage = ProbeStage::Indirect;
  std::span<const VmHandle> live = Table.live();
  if (live.empty())
    return;
  size_t start = Random() % live.size();
  std::array<VmHandle, Helpers> chosen;
  size_t n = 0;
  // VMs of other zones first: their path differs most from this VM's.
  for (bool otherZone : {true, false}) {
    for (size_t it = 0; it < live.size() && n < chosen.size(); ++it) {
      VmHandle vm = live[(start + it) % live.size()];
      const VmEntry &entry = Table.at(vm);
      bool fits = entry.State == VmState::Alive && vm != Current.Target &&
                  (entry.Zone != selfEntry().Zone) == otherZone;
      if (fits)
        chosen[n++] = vm;
    }
  }
  Current.Asked = static_cast<uint32_t>(n);
  for (VmHandle vm : std::span(chosen).first(n))
    step.Effects.push(
        SendPeer{vm, MemberPingRequest{Current.Sequence,
                                       Table.at(Current.Target).Name}});
}

void Membership::endProbe(bool reached) {
  Current.Stage = ProbeStage::Idle;
  constexpr uint32_t WindowMask = (1u << ProbeWindow) - 1;
  ProbeResults = (ProbeResults << 1 | (reached ? 1 : 0)) & WindowMask;
  ProbeCount = std::min(ProbeCount + 1, ProbeWindow);
  if (reached && Strain > 0)
    --Strain;
}

void Membership::failProbe(const MemberStep &step) {
  VmHandle target = Current.Target;
  const VmEntry &entry = Table.at(target);
  bool knownGone = entry.State == VmState::Gone;
  // Without any witness this VM is itself the likely cause. Only if there was
  // nobody to ask does its own view decide.
  bool alone = Current.Asked > 0 && Current.Witnesses == 0;
  if (alone)
    Strain = std::min(Strain + 1, MaxStrain);
  Current.Stage = ProbeStage::Idle;
  if (knownGone || !Table.contains(target))
    return;
  endProbe(false);
  if (alone)
    return;
  size_t before = Suspicions.size();
  state(target, VmState::Suspect, entry.Incarnation, step);
  if (Suspicions.size() > before)
    Suspicions.back().Mine = true;
}

} // namespace guavasail
