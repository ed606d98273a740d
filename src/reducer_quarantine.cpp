#include "reducer_state.h"

namespace guavasail {

namespace {

/// Separates the keys of crash reports from those of other owned things.
constexpr uint64_t CrashPurpose = 0x6372617368;

} // namespace

void ReducerState::reportCrash(const Request &request, Step &step) {
  if (request.Fingerprint == 0)
    return;
  uint64_t instance = rendezvousKey(Catalog.name(request.Instance), 0);
  takeCrash(request.Fingerprint, instance, step);
  bool held =
      Suspects.remaining(request.Fingerprint, step.Now) > Duration::zero();
  for (uint32_t n = 1; held && n <= request.Attempts; ++n)
    Health.retractFailure({request.Self, n});
  // One VM gathers the reports of all VMs on a fingerprint.
  MemberView members = Members.view();
  VmHandle owner =
      rendezvousOwner(request.Fingerprint ^ CrashPurpose, members, &mayOwn);
  if (owner.valid() && owner != members.Self)
    step.Effects.push(
        SendPeer{owner, CrashReport{request.Fingerprint, instance}});
}

void ReducerState::takeCrash(uint64_t fingerprint, uint64_t instance,
                             Step &step) {
  if (!Suspects.noteCrash(fingerprint, instance, step.Now))
    return;
  Duration remaining = Suspects.remaining(fingerprint, step.Now);
  MemberView members = Members.view();
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    VmHandle vm{n};
    if (vm != members.Self && mayOwn(members.at(vm)))
      step.Effects.push(SendPeer{vm, QuarantineNotice{fingerprint, remaining}});
  }
}

void ReducerState::onPeer(VmHandle, const CrashReport &message, Step &step) {
  takeCrash(message.Fingerprint, message.Instance, step);
}

void ReducerState::onPeer(VmHandle, const QuarantineNotice &message,
                          Step &step) {
  Suspects.impose(message.Fingerprint, step.Now + message.Remaining, step.Now);
}

} // namespace guavasail
