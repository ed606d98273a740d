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

/// \returns when the next health tick is due. In `FleetKind::Owners` there is
/// none, as the dispatcher evaluates the instances on which it places requests.
Instant ReducerState::nextHealthTick() const {
  return Fleet == FleetKind::Alone ? Health.nextTick() : NeverInstant;
}

void ReducerState::onHealthTick(Step &step) {
  Subsets.refresh(Catalog, Members.view(), Zone, Bounds.MaxLanesPerInstance);
  Health.tick(Members.view(), step.Now, step.Effects);
}

} // namespace guavasail
