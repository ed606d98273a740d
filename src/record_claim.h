/// \file
/// Collects the replicas' replies to one claim, on the claiming VM.
#ifndef GUAVASAIL_SRC_RECORD_CLAIM_H
#define GUAVASAIL_SRC_RECORD_CLAIM_H

#include "guavasail/record.h"

#include <cstdint>

namespace guavasail {

/// Decision about a claimed request from the replies so far.
enum class ClaimDecision : uint8_t {
  Wait,
  /// A majority accepted; the request may run.
  Run,
  /// The request has run already and its response is known.
  Replay,
  KeyReused,
  /// Another claim for the same request is in progress.
  InProgress,
  OutcomeUnknown,
  /// Too few replicas accepted for other reasons; the request did not run.
  Unavailable,
};

/// Replies to a claim so far.
struct ClaimProgress {
  Digest Record;
  uint64_t Fingerprint = 0;
  uint64_t Token = 0;
  uint64_t Epoch = 0;
  RecordReplicaSet Replicas;
  /// Bit sets of the replicas that replied and that accepted.
  uint32_t Replied = 0;
  uint32_t Accepted = 0;
  /// A replica reported an open claim, or could not rule out an earlier run.
  bool SawInProgress = false;
  bool SawUnknown = false;
  /// The claim has been started and its outcome not been reported.
  bool Open = false;
};

/// Adds a reply to \p progress.
/// \param progress the claim.
/// \param position the replica's position in the claim's replica set.
/// \param verdict the replica's reply.
/// \returns the decision after this reply.
ClaimDecision addVerdict(ClaimProgress &progress, uint32_t position,
                         ClaimVerdict verdict);

/// \returns the decision if no further replies are awaited.
ClaimDecision finalDecision(const ClaimProgress &progress);

} // namespace guavasail

#endif
