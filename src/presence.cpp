#include "presence.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Pauses after failed calls, doubled up to the longest.
constexpr Duration FirstPause = std::chrono::milliseconds(150);
constexpr uint32_t MostDoublings = 4;
/// Looks at the list that follow each other quickly after the start.
constexpr uint32_t FirstLists = 5;
/// Time in which a call is answered or given up by the shell.
constexpr Duration CallTime = std::chrono::milliseconds(1500);
/// Times are moved by up to this part, so that VMs that start together spread.
constexpr int64_t JitterPercent = 30;

} // namespace

Duration VmRegistration::jittered(Duration time) {
  constexpr int64_t Hundred = 100;
  auto percent = static_cast<int64_t>(Random() % JitterPercent);
  return time - time * percent / Hundred;
}

void VmRegistration::call(PresenceCall call, const PresenceStep &step) {
  step.Effects.push(CallPresence{call, Init.Lease});
}

void VmRegistration::advance(const PresenceStep &step) {
  if (!Init.Enabled || Leaving)
    return;
  Started = true;
  if (NextEntry <= step.Now) {
    call(Announced ? PresenceCall::Renew : PresenceCall::Announce, step);
    // Until the reply moves it.
    NextEntry = step.Now + CallTime + Init.Renew;
  }
  if (NextList <= step.Now) {
    call(PresenceCall::List, step);
    bool first = Lists++ < FirstLists;
    NextList = step.Now + jittered(first ? Init.FirstList : Init.List);
  }
}

void VmRegistration::onReply(const PresenceReplied &reply,
                             const PresenceStep &step) {
  if (reply.Call == PresenceCall::List ||
      reply.Call == PresenceCall::Withdraw || Leaving)
    return;
  switch (reply.Outcome) {
  case PresenceOutcome::Done:
    Announced = true;
    Failures = 0;
    NextEntry = step.Now + jittered(Init.Renew);
    return;
  case PresenceOutcome::LeaseExpired:
    Announced = false;
    NextEntry = step.Now;
    return;
  case PresenceOutcome::Failed:
    NextEntry = step.Now + jittered(FirstPause *
                                    (1 << std::min(Failures++, MostDoublings)));
    return;
  }
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
  return std::min(NextEntry, NextList);
}

} // namespace guavasail
