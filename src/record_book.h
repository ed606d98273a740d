/// \file
/// One replica of the idempotency records: accepts claims, stores outcomes and
/// copies records to new replicas.
#ifndef GUAVASAIL_SRC_RECORD_BOOK_H
#define GUAVASAIL_SRC_RECORD_BOOK_H

#include "digest_hash.h"
#include "guavasail/clock.h"
#include "guavasail/record.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavasail {

/// Limits of a record replica.
struct RecordLimits {
  /// Time for which a record is kept after its claim.
  Duration Retention = std::chrono::minutes(15);
  /// Memory for all records of this VM.
  uint64_t MaxBytes = 24ull * 1024 * 1024;
  /// Larger responses are not kept.
  uint32_t MaxResponseBytes = 4096;
  /// Records per copy chunk; a chunk has to fit into one peer message.
  uint32_t MaxChunkRecords = 12;
  /// Time after which an unanswered request for a copy is sent again.
  Duration CopyRetryInterval = std::chrono::milliseconds(200);
};

/// A copy request to send to another VM.
struct CopyRequest {
  /// Hash of the recipient's name.
  uint64_t To = 0;
  RecordCopyRequest Body;
};

/// The records that this VM stores.
class RecordReplica {
public:
  explicit RecordReplica(const RecordLimits &limits) : Limits(limits) {}

  /// Sets the identity of this VM. Must be called before `assign`.
  void setSelf(RecordReplicaId self) { Self = self; }

  /// Applies a new assignment of a partition. Ignores epochs that are not
  /// newer.
  void assign(uint32_t partition, const RecordAssignment &assignment,
              Instant now);

  /// \returns the partition's current assignment.
  [[nodiscard]] const RecordAssignment &assignment(uint32_t partition) const {
    return Partitions[partition].Current;
  }

  /// Handles the certain end of a VM's incarnation: the platform removed the VM
  /// or it has restarted. Its records are lost.
  void onVmGone(uint64_t vm, Instant now);

  /// Accepts or rejects a claim.
  RecordClaimReply claim(const RecordClaim &claim, Instant now);

  /// Stores the outcome of a claimed request.
  void settle(const RecordOutcome &outcome, Instant now);

  /// \returns a chunk of records for another replica. A request from a newer
  /// epoch fences this replica: it accepts no more claims in its current epoch.
  RecordCopyChunk copy(const RecordCopyRequest &request, Instant now);

  /// Merges a chunk of another replica's records.
  void applyCopy(uint64_t from, const RecordCopyChunk &chunk, Instant now);

  /// Appends due copy requests to \p out.
  void collectCopyRequests(Instant now, std::vector<CopyRequest> &out);

  /// Drops records that are older than the retention time.
  void expire(Instant now);

  /// \returns true if this VM may lack records of \p partition.
  [[nodiscard]] bool mayLackRecords(uint32_t partition, Instant now) const {
    return Partitions[partition].IncompleteUntil > now;
  }

  /// \returns the number of records.
  [[nodiscard]] size_t size() const { return Records.size(); }

private:
  struct Record {
    uint64_t Fingerprint = 0;
    uint64_t Token = 0;
    RecordState State = RecordState::InProgress;
    /// This VM accepted the claim itself; false if the record was copied.
    bool AcceptedLocally = false;
    Instant ClaimedAt{};
    Instant RunDeadline{};
    std::string Response{};
  };

  /// A record and its expiry time.
  struct ExpiryEntry {
    Instant Due;
    Digest Key;
  };

  enum class SourceState : uint8_t { Pending, Finished, Gone };

  /// Progress of copying from one replica.
  struct CopySource {
    uint64_t Vm = 0;
    uint32_t From = 0;
    SourceState State = SourceState::Pending;
    /// Longest time for which the source may lack records, as it reported.
    Duration IncompletePeriod{};
    Instant NextRequest{};
  };

  struct Partition {
    RecordAssignment Current;
    std::array<CopySource, RecordReplicaCount> Sources;
    uint32_t SourceCount = 0;
    /// Completed copies after which no accepted claim can be missing.
    uint32_t RequiredCopies = 0;
    /// Last epoch in which this incarnation was a replica; 0 if none.
    uint64_t LastReplicaEpoch = 0;
    /// Newest epoch for which records were copied to another replica.
    uint64_t FencingEpoch = 0;
    /// Until this time, this VM may lack records; `NeverInstant` while copying.
    Instant IncompleteUntil{};
    /// Records in the order in which they were added.
    std::deque<ExpiryEntry> ExpiryQueue;
    /// Number of entries removed from the front of the queue.
    uint32_t ExpiredCount = 0;
  };

  ClaimVerdict evaluateClaim(const RecordClaim &claim, Instant now);
  ClaimVerdict evaluateExistingRecord(const RecordClaim &claim, Record &record,
                                      bool incomplete, Instant now);
  static Record recordFromOutcome(const RecordOutcome &outcome,
                                  std::string response, Instant now);
  static Record recordFromCopy(const RecordCopy &copy, Instant now);
  void insert(const Digest &key, Record record, Instant now);
  void expirePartition(Partition &partition, Instant now);
  void merge(const RecordCopy &copy, Instant now);
  void startCopying(Partition &partition, const RecordReplicaSet &from,
                    Instant now);
  void updateCopyState(Partition &partition, Instant now);
  [[nodiscard]] Duration incompletePeriod(const Partition &partition,
                                          uint64_t epoch, Instant now) const;
  CopySource *findSource(Partition &partition, uint64_t vm);

  RecordLimits Limits;
  RecordReplicaId Self;
  std::array<Partition, RecordPartitions> Partitions;
  std::unordered_map<Digest, Record, DigestHash> Records;
  uint64_t BytesUsed = 0;
};

} // namespace guavasail

#endif
