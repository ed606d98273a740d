/// \file
/// Records that keep a non-idempotent request from running twice, although its
/// caller sends it again through another VM.
///
/// The record of a request stands on the holders of its partition: VMs in
/// different availability zones, named with their incarnation by an
/// assignment. A request may run once a majority of the holders has accepted
/// the claim for it; a holder accepts one claim a record, and two majorities of
/// one assignment share a holder. A holder that is new or was restarted accepts
/// no claim for an unknown record until it has copied the records of so many
/// holders that no accepted claim can be missing. So a second claim always
/// meets the first one.
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

/// Number of partitions that records are divided into.
inline constexpr uint32_t RecordPartitions = 256;
/// Holders of one partition.
inline constexpr uint32_t RecordReplicaCount = 3;

/// What a record says about its request.
enum class RecordState : uint8_t {
  /// Claimed; it may be running.
  InProgress,
  /// It ran, and its answer is known.
  Done,
  /// It may have run; the answer is lost.
  Unknown,
  /// The claimer gave up before the request left it.
  Released,
};

/// What a holder answers to a claim.
enum class ClaimVerdict : uint8_t {
  Accepted,
  InProgress,
  Done,
  Unknown,
  /// The key was used for another request.
  KeyReused,
  /// The holder lost records and cannot tell whether this one was among them.
  KnowledgeLost,
  /// The holder follows another assignment.
  EpochDiffers,
  /// The holder has no room.
  Full,
};

/// A VM in one of its lives. After a restart it has no records.
struct RecordReplicaId {
  /// Hash of the VM's name; 0 means none.
  uint64_t Vm = 0;
  uint64_t Incarnation = 0;

  friend constexpr auto operator<=>(const RecordReplicaId &,
                                    const RecordReplicaId &) = default;
};

/// A set of holders. Those in use come first; the rest are none.
struct RecordReplicaSet {
  std::array<RecordReplicaId, RecordReplicaCount> Items;

  /// \returns the number of holders in use.
  [[nodiscard]] uint32_t count() const {
    uint32_t n = 0;
    while (n < RecordReplicaCount && Items[n].Vm != 0)
      ++n;
    return n;
  }

  /// \returns how many holders have to accept a claim.
  [[nodiscard]] uint32_t majority() const { return count() / 2 + 1; }

  /// \returns the position of \p vm, or `count()` if it is no holder.
  [[nodiscard]] uint32_t find(uint64_t vm) const {
    uint32_t n = 0;
    while (n < count() && Items[n].Vm != vm)
      ++n;
    return n;
  }

  /// \returns true if \p vm is one of the holders.
  [[nodiscard]] bool has(uint64_t vm) const { return find(vm) < count(); }

  friend bool operator==(const RecordReplicaSet &,
                         const RecordReplicaSet &) = default;
};

/// Who holds the records of one partition.
struct RecordAssignment {
  /// Grows by one with each change of the holders; 0 before the first.
  uint64_t Epoch = 0;
  RecordReplicaSet Replicas;
  /// Holders of the epoch before; none in the first epoch.
  RecordReplicaSet Before;
};

/// \returns the partition of a record.
constexpr uint32_t recordPartition(const Digest &record) {
  return record.Bytes[0] % RecordPartitions;
}

/// Asks a holder to accept a claim.
struct RecordClaim {
  Digest Record;
  /// Hash of the method, path and body.
  uint64_t Fingerprint = 0;
  uint64_t Epoch = 0;
  /// Unique for each claim.
  uint64_t Token = 0;
  /// The claimer's request; sent back as it is.
  RequestHandle Request;
  /// Time within which the request ends, from the sending of the claim on.
  Duration RunTimeout{};
};

/// Answers a claim.
struct RecordClaimReply {
  Digest Record;
  uint64_t Token = 0;
  RequestHandle Request;
  ClaimVerdict Verdict = ClaimVerdict::Full;
  /// The holder's epoch.
  uint64_t Epoch = 0;
  /// The answer, for verdict `Done`; opaque to the decisions.
  std::string Response;
};

/// Tells a holder how a claimed request ended.
struct RecordOutcome {
  Digest Record;
  uint64_t Fingerprint = 0;
  uint64_t Token = 0;
  RecordState State = RecordState::Unknown;
  /// The answer, for state `Done`; empty if it was too large to keep.
  std::string Response;
};

/// One record while it is copied to a new holder.
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

/// Asks a holder of the assignment before for its records.
struct RecordCopyRequest {
  uint32_t Partition = 0;
  /// The epoch that the asking holder joins.
  uint64_t Epoch = 0;
  /// Position to go on from.
  uint32_t From = 0;
};

/// A part of a partition's records.
struct RecordCopyChunk {
  uint32_t Partition = 0;
  uint64_t Epoch = 0;
  uint32_t From = 0;
  /// Position of the next part; 0 after the last one.
  uint32_t Next = 0;
  /// Time for which the sender may still lack records that once existed.
  Duration IncompletePeriod{};
  std::vector<RecordCopy> Records;
};

/// Reports that an instance was lost while it ran a request.
struct CrashReport {
  uint64_t Fingerprint = 0;
  /// Hash of the instance's name.
  uint64_t Instance = 0;
};

/// Refuse requests with this fingerprint for a time.
struct QuarantineNotice {
  uint64_t Fingerprint = 0;
  Duration Remaining{};
};

} // namespace guavasail

#endif
