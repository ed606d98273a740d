#include "record_claim.h"

#include <bit>

namespace guavasail {

ClaimDecision addVerdict(ClaimProgress &progress, uint32_t position,
                         ClaimVerdict verdict) {
  uint32_t bit = uint32_t{1} << position;
  progress.Replied |= bit;
  switch (verdict) {
  case ClaimVerdict::Accepted:
    progress.Accepted |= bit;
    break;
  case ClaimVerdict::Done:
    return ClaimDecision::Replay;
  case ClaimVerdict::KeyReused:
    return ClaimDecision::KeyReused;
  case ClaimVerdict::InProgress:
    progress.SawInProgress = true;
    break;
  case ClaimVerdict::Unknown:
  case ClaimVerdict::RecordsIncomplete:
    progress.SawUnknown = true;
    break;
  case ClaimVerdict::EpochMismatch:
  case ClaimVerdict::Full:
    break;
  }
  auto accepted = static_cast<uint32_t>(std::popcount(progress.Accepted));
  if (accepted >= progress.Replicas.majority())
    return ClaimDecision::Run;
  auto replied = static_cast<uint32_t>(std::popcount(progress.Replied));
  return replied == progress.Replicas.count() ? finalDecision(progress)
                                              : ClaimDecision::Wait;
}

ClaimDecision finalDecision(const ClaimProgress &progress) {
  if (progress.SawUnknown)
    return ClaimDecision::OutcomeUnknown;
  if (progress.SawInProgress)
    return ClaimDecision::InProgress;
  return ClaimDecision::Unavailable;
}

} // namespace guavasail
