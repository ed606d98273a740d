/// \file
/// Replicated idempotency records. They keep a non-idempotent request from
/// running twice if its caller retries it through another VM.
///
/// A record is stored on the replicas of its partition: VMs in different
/// availability zones, listed with their incarnations in an assignment. A
/// request may run once a majority of the replicas has accepted its claim.
/// Since a replica accepts one claim per record and two majorities of an
/// assignment overlap, a second claim always conflicts with the first one. A
/// new or restarted replica rejects claims for unknown records until it has
/// copied records from enough replicas that no accepted claim can be missing.
#ifndef GUAVASAIL_RECORD_H
#define GUAVASAIL_RECORD_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "guavasail/handle.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace guavasail {

/// Number of record partitions.
inline constexpr uint32_t RecordPartitions = 256;
/// Replicas per partition.
inline constexpr uint32_t RecordReplicaCount = 3;

/// State of a record's request.
enum class RecordState : uint8_t {
  /// Claimed and possibly running.
  InProgress,
  /// Ran, with a known response.
  Done,
  /// May have run; the response is lost.
  Unknown,
  /// Given up by the claiming VM before the request was sent to a backend.
  Released,
};

/// Reply of a replica to a claim.
enum class ClaimVerdict : uint8_t {
  Accepted,
  InProgress,
  Done,
  Unknown,
  /// The idempotency key was used for a different request.
  KeyReused,
  /// The replica may lack records, so an earlier claim cannot be ruled out.
  RecordsIncomplete,
  /// The replica is at another assignment epoch.
  EpochMismatch,
  /// The replica has reached its memory limit.
  Full,
};

/// Identifies one incarnation of a VM. A restarted VM has no records.
struct RecordReplicaId {
  /// Hash of the VM's name; 0 means none.
  uint64_t Vm = 0;
  uint64_t Incarnation = 0;

  friend constexpr auto operator<=>(const RecordReplicaId &,
                                    const RecordReplicaId &) = default;
};

/// The replicas of a partition. Used items come first; the others have `Vm` 0.
struct RecordReplicaSet {
  std::array<RecordReplicaId, RecordReplicaCount> Items;

  /// \returns the number of replicas.
  [[nodiscard]] uint32_t count() const {
    uint32_t n = 0;
    while (n < RecordReplicaCount && Items[n].Vm != 0)
      ++n;
    return n;
  }

  /// \returns the number of replicas that have to accept a claim.
  [[nodiscard]] uint32_t majority() const { return count() / 2 + 1; }

  /// \returns the position of \p vm, or `count()` if it is not a replica.
  [[nodiscard]] uint32_t find(uint64_t vm) const {
    uint32_t n = 0;
    while (n < count() && Items[n].Vm != vm)
      ++n;
    return n;
  }

  /// \returns true if \p vm is a replica.
  [[nodiscard]] bool has(uint64_t vm) const { return find(vm) < count(); }

  friend bool operator==(const RecordReplicaSet &,
                         const RecordReplicaSet &) = default;
};

/// Assigns the replicas of one partition.
struct RecordAssignment {
  /// Incremented with each change of replicas; 0 means no assignment.
  uint64_t Epoch = 0;
  RecordReplicaSet Replicas;
  /// Replicas of the previous epoch; empty in the first epoch.
  RecordReplicaSet Previous;
};

/// \returns the partition of a record.
constexpr uint32_t recordPartition(const Digest &record) {
  return record.Bytes[0] % RecordPartitions;
}

/// Asks a replica to accept a claim.
struct RecordClaim {
  Digest Record;
  /// Hash of the method, path and body.
  uint64_t Fingerprint = 0;
  uint64_t Epoch = 0;
  /// Unique per claim.
  uint64_t Token = 0;
  /// Handle of the request at the claiming VM; echoed in the reply.
  RequestHandle Request;
  /// Time until the request ends, counted from when the claim is sent.
  Duration RunTimeout{};
};

/// Reply to a claim.
struct RecordClaimReply {
  Digest Record;
  uint64_t Token = 0;
  RequestHandle Request;
  ClaimVerdict Verdict = ClaimVerdict::Full;
  /// Assignment epoch of the replica.
  uint64_t Epoch = 0;
  /// Encoded response of the request; set for verdict `Done`.
  std::string Response;
};

/// Tells a replica how a claimed request ended.
struct RecordOutcome {
  Digest Record;
  uint64_t Fingerprint = 0;
  uint64_t Token = 0;
  RecordState State = RecordState::Unknown;
  /// Encoded response, for state `Done`; empty if it was too large to keep.
  std::string Response;
};

/// A record in transfer to a new replica.
struct RecordCopy {
  Digest Record;
  uint64_t Fingerprint = 0;
  uint64_t Token = 0;
  RecordState State = RecordState::Unknown;
  /// Time until an unfinished request counts as `Unknown`.
  Duration RunTimeout{};
  /// Time since the record was claimed.
  Duration Age{};
  std::string Response;
};

/// Requests records from a replica of the previous assignment.
struct RecordCopyRequest {
  uint32_t Partition = 0;
  /// Epoch in which the requesting VM becomes a replica.
  uint64_t Epoch = 0;
  /// Position of the first requested record.
  uint32_t From = 0;
};

/// Some of a partition's records, in reply to a `RecordCopyRequest`.
struct RecordCopyChunk {
  uint32_t Partition = 0;
  uint64_t Epoch = 0;
  uint32_t From = 0;
  /// Position of the next chunk; 0 if this is the last one.
  uint32_t Next = 0;
  /// Time for which the sender may still lack records.
  Duration IncompletePeriod{};
  std::vector<RecordCopy> Records;
};

/// Reports that a backend instance crashed while running a request.
struct CrashReport {
  uint64_t Fingerprint = 0;
  /// Hash of the instance's name.
  uint64_t Instance = 0;
};

/// Tells other VMs to refuse requests with a fingerprint for a time.
struct QuarantineNotice {
  uint64_t Fingerprint = 0;
  Duration Remaining{};
};

} // namespace guavasail

#endif
