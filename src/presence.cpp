#include "presence.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Exponential backoff after failed calls.
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(150);
constexpr uint32_t MaxDoublings = 4;
/// Reads of the list at the short interval after the start.
constexpr uint32_t InitialListCalls = 5;
/// Time within which a call is answered or abandoned outside the reducer.
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
/// Intervals are shortened at random by less than this, so that VMs started
/// together don't call in lockstep.
constexpr int64_t MaxJitterPercent = 30;
/// VMs learn of a restored store from each other within a second; so much later
/// they register again, so that a large fleet stays below the store's limit of
/// writes.
constexpr int64_t MaxRestoreDelayMs = 1500;

} // namespace

Duration VmRegistration::withJitter(Duration time) {
  constexpr int64_t Hundred = 100;
  auto percent = static_cast<int64_t>(Random() % MaxJitterPercent);
  return time - time * percent / Hundred;
}

void VmRegistration::call(PresenceCall call, const PresenceStep &step) {
  step.Effects.push(CallPresence{call, Init.Lease});
}

void VmRegistration::advance(const PresenceStep &step) {
  if (!Init.Enabled || Leaving)
    return;
  Started = true;
  if (NextRenewal <= step.Now) {
    call(Announced ? PresenceCall::Renew : PresenceCall::Announce, step);
    // Fallback if no reply arrives.
    NextRenewal = step.Now + CallTimeout + Init.RenewInterval;
  }
  if (NextList <= step.Now) {
    call(PresenceCall::List, step);
    bool first = ListCalls++ < InitialListCalls;
    // The reads of the whole fleet stay as many while it grows: further VMs
    // become known through the others.
    auto vms =
        static_cast<int64_t>(std::max(step.Vms, Init.VmsPerListInterval));
    Duration interval = first ? Init.InitialListInterval : Init.ListInterval;
    interval = interval * vms / static_cast<int64_t>(Init.VmsPerListInterval);
    NextList = step.Now + withJitter(interval);
  }
}

void VmRegistration::onReply(const PresenceReplied &reply,
                             const PresenceStep &step) {
  if (reply.Call == PresenceCall::List ||
      reply.Call == PresenceCall::Withdraw || Leaving)
    return;
  switch (reply.Outcome) {
  case PresenceOutcome::Done:
    if (reply.StoreEra < StoreEra)
      return scheduleAnnouncement(step);
    StoreEra = reply.StoreEra;
    Announced = true;
    Failures = 0;
    NextRenewal = step.Now + withJitter(Init.RenewInterval);
    return;
  case PresenceOutcome::LeaseExpired:
    Announced = false;
    NextRenewal = step.Now;
    return;
  case PresenceOutcome::Failed:
    NextRenewal =
        step.Now +
        withJitter(FirstRetryDelay * (1 << std::min(Failures++, MaxDoublings)));
    return;
  }
}

void VmRegistration::noteStoreEra(uint64_t era, const PresenceStep &step) {
  if (era <= StoreEra)
    return;
  StoreEra = era;
  if (Announced && !Leaving)
    scheduleAnnouncement(step);
}

void VmRegistration::scheduleAnnouncement(const PresenceStep &step) {
  auto delay = static_cast<int64_t>(Random() % MaxRestoreDelayMs);
  Announced = false;
  NextRenewal = step.Now + std::chrono::milliseconds(delay);
}

void VmRegistration::leave(const PresenceStep &step) {
  if (!Init.Enabled || Leaving)
    return;
  Leaving = true;
  call(PresenceCall::Withdraw, step);
}

Instant VmRegistration::nextDue() const {
  if (!Init.Enabled || Leaving || !Started)
    return NeverInstant;
  return std::min(NextRenewal, NextList);
}

} // namespace guavasail
