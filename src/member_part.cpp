#include "reducer_state.h"

namespace guavasail {

MembershipInit ReducerState::membershipInit(const ReducerInit &init) {
  return {init.Self, init.Incarnation, init.Membership, init.Seed,
          init.Presence.Enabled};
}

void ReducerState::onVmListRead(const VmListRead &event, Step &step) {
  Members.onList(event.Vms, {step.Now, step.Effects});
}

void ReducerState::onPeer(VmHandle from, const Heartbeat &message, Step &step) {
  Members.onMessage(from, message, {step.Now, step.Effects});
}

void ReducerState::onPeer(VmHandle from, const MemberPing &message,
                          Step &step) {
  Members.onMessage(from, message, {step.Now, step.Effects});
}

void ReducerState::onPeer(VmHandle from, const MemberAck &message, Step &step) {
  Members.onMessage(from, message, {step.Now, step.Effects});
}

void ReducerState::onPeer(VmHandle from, const MemberPingRequest &message,
                          Step &step) {
  Members.onMessage(from, message, {step.Now, step.Effects});
}

} // namespace guavasail
