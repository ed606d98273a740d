/// \file
/// A claimer's side of records: collects the holders' replies to one claim.
#ifndef GUAVASAIL_SRC_RECORD_CLAIM_H
#define GUAVASAIL_SRC_RECORD_CLAIM_H

#include "guavasail/record.h"

#include <cstdint>

namespace guavasail {

/// What the replies so far allow.
enum class ClaimDecision : uint8_t {
  Wait,
  /// A majority accepted: the request may run.
  Run,
  /// The request ran before and its answer is known.
  Replay,
  KeyReused,
  /// Another claim of the same request is open.
  InProgress,
  OutcomeUnknown,
  /// Too few holders accepted for other reasons; the request did not run.
  Unavailable,
};

/// One claim while replies come in.
struct ClaimProgress {
  Digest Record;
  uint64_t Fingerprint = 0;
  uint64_t Token = 0;
  uint64_t Epoch = 0;
  RecordReplicaSet Replicas;
  /// One bit for each holder that replied, or accepted.
  uint32_t Replied = 0;
  uint32_t Accepted = 0;
  /// The holders know of an open claim, or cannot rule out an earlier run.
  bool SawInProgress = false;
  bool SawUnknown = false;
  /// The claim was started and not settled.
  bool Open = false;
};

/// Counts a reply.
/// \param progress the claim.
/// \param position the replying holder's position in the claim's holders.
/// \param verdict what it replied.
/// \returns what to do now.
ClaimDecision addVerdict(ClaimProgress &progress, uint32_t position,
                         ClaimVerdict verdict);

/// \returns what to do when no more replies are waited for.
ClaimDecision finalDecision(const ClaimProgress &progress);

} // namespace guavasail

#endif
