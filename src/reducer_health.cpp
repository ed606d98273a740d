#include "reducer_state.h"

namespace guavasail {

void ReducerState::onPeer(VmHandle from, const EvidenceReport &message,
                          Step &step) {
  Health.onReport(from, message, Members.view(), step.Effects);
}

void ReducerState::onPeer(VmHandle from, const VerdictUpdate &message,
                          Step &step) {
  Health.onVerdict(from, message, Members.view(), step.Now);
}

/// \returns when verdicts are due. Owners judge the instances that they place
/// requests on by themselves.
Instant ReducerState::healthDue() const {
  return Fleet == FleetKind::Alone ? Health.nextTick() : NeverInstant;
}

void ReducerState::onHealthTick(Step &step) {
  Subsets.refresh(Catalog, Members.view(), Zone, Bounds.LanesPerInstance);
  Health.tick(Members.view(), step.Now, step.Effects);
}

} // namespace guavasail
