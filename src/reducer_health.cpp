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

void ReducerState::onHealthTick(Step &step) {
  Subsets.refresh(Catalog, Members.view(), Zone, Bounds.LanesPerInstance);
  Health.tick(Members.view(), step.Now, step.Effects);
}

} // namespace guavasail
