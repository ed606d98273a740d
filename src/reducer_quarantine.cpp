#include "reducer_state.h"

namespace guavasail {

namespace {

/// Separates the ownership keys of crash reports from other ownership keys.
constexpr uint64_t CrashOwnershipSalt = 0x6372617368;

} // namespace

void ReducerState::reportCrash(const Request &request, Step &step) {
  if (request.Fingerprint == 0)
    return;
  uint64_t instance = rendezvousKey(Catalog.name(request.Instance), 0);
  recordCrash(request.Fingerprint, instance, step);
  bool quarantined = CrashQuarantine.remaining(request.Fingerprint, step.Now) >
                     Duration::zero();
  for (uint32_t n = 1; quarantined && n <= request.Attempts; ++n)
    Health.retractFailure({request.Self, n});
  // The owner of the fingerprint collects the crash reports of all VMs.
  MemberView members = Members.view();
  VmHandle owner = rendezvousOwner(request.Fingerprint ^ CrashOwnershipSalt,
                                   members, &mayOwn);
  if (owner.valid() && owner != members.Self)
    step.Effects.push(
        SendPeer{owner, CrashReport{request.Fingerprint, instance}});
}

void ReducerState::recordCrash(uint64_t fingerprint, uint64_t instance,
                               Step &step) {
  if (!CrashQuarantine.noteCrash(fingerprint, instance, step.Now))
    return;
  Duration remaining = CrashQuarantine.remaining(fingerprint, step.Now);
  MemberView members = Members.view();
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    VmHandle vm{n};
    if (vm != members.Self && mayOwn(members.at(vm)))
      step.Effects.push(SendPeer{vm, QuarantineNotice{fingerprint, remaining}});
  }
}

void ReducerState::onPeer(VmHandle, const CrashReport &message, Step &step) {
  recordCrash(message.Fingerprint, message.Instance, step);
}

void ReducerState::onPeer(VmHandle, const QuarantineNotice &message,
                          Step &step) {
  CrashQuarantine.holdUntil(message.Fingerprint, step.Now + message.Remaining,
                            step.Now);
}

} // namespace guavasail
