#include "member_times.h"
#include "membership.h"

#include <algorithm>
#include <array>

namespace guavasail {

namespace {

/// \returns true if a VM in \p state takes part in the regular pings.
bool isProbed(VmState state) {
  return isLive(state) || state == VmState::Unknown;
}

/// \returns true if the VM has to learn its \p state in order to refute it.
bool needsRefutation(VmState state) {
  return state == VmState::Suspect || state == VmState::Gone ||
         state == VmState::Removed;
}

} // namespace

Duration Membership::scaled(Duration time) const {
  return time * (HealthPenalty + 1);
}

void Membership::startProbe(const MemberStep &step) {
  VmHandle target;
  if (PeriodCount % GoneProbePeriods == 0)
    target = nextGoneTarget();
  if (!target.valid())
    target = nextTarget();
  if (!target.valid())
    return;
  CurrentProbe = {ProbeStage::Direct, target, ++Sequence,
                  step.Now + scaled(DirectPingTimeout)};
  sendPing(target, CurrentProbe.Sequence, step);
}

VmHandle Membership::nextTarget() {
  if (ProbeOrder.empty())
    refillProbeOrder();
  while (!ProbeOrder.empty()) {
    VmHandle vm = ProbeOrder.back();
    ProbeOrder.pop_back();
    if (Table.contains(vm) && isProbed(Table.at(vm).State))
      return vm;
  }
  return {};
}

void Membership::refillProbeOrder() {
  for (uint32_t n = 0; n < Table.size(); ++n)
    if (!isSelf({n}) && Table.contains({n}) && isProbed(Table.at({n}).State))
      ProbeOrder.push_back({n});
  std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
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
  ping.Joining = PeriodCount <= JoinPeriods;
  fillUpdates(to, false, ping.Updates);
  step.Effects.push(SendPeer{to, std::move(ping)});
}

void Membership::fillUpdates(VmHandle to, bool joining,
                             std::vector<MemberUpdate> &updates) {
  if (needsRefutation(Table.at(to).State))
    updates.push_back(makeUpdate(to));
  std::array<VmHandle, MaxGossipUpdates> buf;
  for (VmHandle vm : Gossip.selectForMessage(Table.size(), buf))
    if (Table.contains(vm))
      updates.push_back(makeUpdate(vm));
  size_t n = joining ? std::min(MaxJoinUpdates, Table.size()) : 0;
  for (; n > 0; --n) {
    JoinCursor = (JoinCursor + 1) % static_cast<uint32_t>(Table.size());
    VmHandle vm{JoinCursor};
    if (Table.contains(vm) && Table.at(vm).State != VmState::Unknown)
      updates.push_back(makeUpdate(vm));
  }
}

void Membership::onMessage(VmHandle from, const MemberPing &message,
                           const MemberStep &step) {
  if (!Table.contains(from) || isSelf(from))
    return;
  recordContact(from, message.Incarnation, message.Leaving, step);
  for (const MemberUpdate &update : message.Updates)
    applyUpdate(update, step);
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
  Table.updateLastHeard(from, step.Now);
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
    Table.updateLastHeard(from, step.Now);
  else
    recordContact(from, message.Incarnation, message.Leaving, step);
  for (const MemberUpdate &update : message.Updates)
    applyUpdate(update, step);
  bool current = CurrentProbe.Stage != ProbeStage::Idle &&
                 CurrentProbe.Sequence == message.Sequence;
  if (current && message.Relayed) {
    ++CurrentProbe.HelperReplies;
    if (!message.Reached)
      return;
    Table.at(CurrentProbe.Target).DirectlyReachable = false;
    updateState(CurrentProbe.Target,
                message.Leaving ? VmState::Leaving : VmState::Alive,
                message.Incarnation, step);
    return endProbe(true);
  }
  if (current && from == CurrentProbe.Target) {
    Table.at(from).DirectlyReachable = true;
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

void Membership::sendPingRequests(const MemberStep &step) {
  CurrentProbe.Stage = ProbeStage::Indirect;
  std::span<const VmHandle> live = Table.live();
  if (live.empty())
    return;
  size_t start = Random() % live.size();
  std::array<VmHandle, MaxHelpers> chosen;
  size_t n = 0;
  // VMs of other zones first: their network path differs most from this VM's.
  for (bool otherZone : {true, false}) {
    for (size_t it = 0; it < live.size() && n < chosen.size(); ++it) {
      VmHandle vm = live[(start + it) % live.size()];
      const VmEntry &entry = Table.at(vm);
      bool fits = entry.State == VmState::Alive && vm != CurrentProbe.Target &&
                  (entry.Zone != selfEntry().Zone) == otherZone;
      if (fits)
        chosen[n++] = vm;
    }
  }
  CurrentProbe.HelpersAsked = static_cast<uint32_t>(n);
  for (VmHandle vm : std::span(chosen).first(n))
    step.Effects.push(
        SendPeer{vm, MemberPingRequest{CurrentProbe.Sequence,
                                       Table.at(CurrentProbe.Target).Name}});
}

void Membership::endProbe(bool reached) {
  CurrentProbe.Stage = ProbeStage::Idle;
  constexpr uint32_t WindowMask = (1u << ProbeWindow) - 1;
  ProbeResults = (ProbeResults << 1 | (reached ? 1 : 0)) & WindowMask;
  ProbeCount = std::min(ProbeCount + 1, ProbeWindow);
  if (reached && HealthPenalty > 0)
    --HealthPenalty;
}

void Membership::failProbe(const MemberStep &step) {
  VmHandle target = CurrentProbe.Target;
  const VmEntry &entry = Table.at(target);
  bool knownGone = entry.State == VmState::Gone;
  // If no helper replied, the fault is probably on this VM's side. A direct
  // timeout alone counts only if there was no helper to ask.
  bool noHelperReplied =
      CurrentProbe.HelpersAsked > 0 && CurrentProbe.HelperReplies == 0;
  if (noHelperReplied)
    HealthPenalty = std::min(HealthPenalty + 1, MaxHealthPenalty);
  CurrentProbe.Stage = ProbeStage::Idle;
  if (knownGone || !Table.contains(target))
    return;
  endProbe(false);
  if (noHelperReplied)
    return;
  size_t before = Suspicions.size();
  updateState(target, VmState::Suspect, entry.Incarnation, step);
  if (Suspicions.size() > before)
    Suspicions.back().StartedBySelf = true;
}

} // namespace guavasail
