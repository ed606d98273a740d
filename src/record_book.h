/// \file
/// A holder's side of records: accepts claims, keeps outcomes, hands records
/// to new holders.
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

/// Bounds of the record book.
struct RecordLimits {
  /// Time for which a record is kept after its claim.
  Duration Retention = std::chrono::minutes(15);
  /// Bytes that all records of this VM may take.
  uint64_t Bytes = 24ull * 1024 * 1024;
  /// Longest answer that is kept.
  uint32_t AnswerBytes = 4096;
  /// Records in one part of a copy, so few that it fits into one message.
  uint32_t CopyRecords = 12;
  /// Time after which an unanswered request for a copy is sent again.
  Duration CopyRetry = std::chrono::milliseconds(200);
};

/// One request for a copy that a holder has to send.
struct CopyRequest {
  /// Hash of the name of the VM to ask.
  uint64_t To = 0;
  RecordCopyRequest Body;
};

/// Records that this VM holds.
class RecordReplica {
public:
  explicit RecordReplica(const RecordLimits &limits) : Limits(limits) {}

  /// Sets who this VM is. Must be called before `assign`.
  void setSelf(RecordReplicaId self) { Self = self; }

  /// Follows a new assignment of a partition. Lower epochs are ignored.
  void assign(uint32_t partition, const RecordAssignment &assignment,
              Instant now);

  /// \returns the assignment that this VM follows.
  [[nodiscard]] const RecordAssignment &assignment(uint32_t partition) const {
    return Partitions[partition].Current;
  }

  /// Notes that a VM has surely ended: the platform removed it, or it was
  /// started again. Its records are lost.
  void noteGone(uint64_t vm, Instant now);

  /// Decides on a claim.
  RecordClaimReply claim(const RecordClaim &claim, Instant now);

  /// Notes how a claimed request ended.
  void settle(const RecordOutcome &settle, Instant now);

  /// \returns a part of the records for another holder. An ask of a newer
  /// epoch ends the acceptance of claims in the present one.
  RecordCopyChunk copy(const RecordCopyRequest &ask, Instant now);

  /// Takes over a part of another holder's records.
  void applyCopy(uint64_t from, const RecordCopyChunk &part, Instant now);

  /// Appends the requests for copies that are due to \p out.
  void collectCopyRequests(Instant now, std::vector<CopyRequest> &out);

  /// Drops records that are older than the retention time.
  void expire(Instant now);

  /// \returns true if this VM may lack records of the partition that once
  /// existed.
  [[nodiscard]] bool lossy(uint32_t partition, Instant now) const {
    return Partitions[partition].LossyUntil > now;
  }

  /// \returns the number of records held.
  [[nodiscard]] size_t size() const { return Records.size(); }

private:
  struct Record {
    uint64_t Fingerprint = 0;
    uint64_t Token = 0;
    RecordState State = RecordState::InProgress;
    /// The claim was accepted by this VM, not copied.
    bool AcceptedHere = false;
    Instant Claimed{};
    Instant RunsUntil{};
    std::string Response{};
  };

  /// A record of a partition and when it is dropped.
  struct Arrival {
    Instant Due;
    Digest Key;
  };

  enum class SourceState : uint8_t { Pending, Finished, Gone };

  /// Progress of copying from one holder.
  struct CopySource {
    uint64_t Vm = 0;
    uint32_t From = 0;
    SourceState State = SourceState::Pending;
    /// Longest time for which a source said it lacked records.
    Duration IncompletePeriod{};
    Instant NextAsk{};
  };

  struct Partition {
    RecordAssignment Current;
    std::array<CopySource, RecordReplicaCount> Sources;
    uint32_t SourceCount = 0;
    /// Copies after which no accepted claim can be missing.
    uint32_t CopiesNeeded = 0;
    /// Last epoch in which this life of the VM was a holder; 0 if none.
    uint64_t HeldEpoch = 0;
    /// A newer epoch, for which copies were given away.
    uint64_t FencedBy = 0;
    /// Until then this VM may lack records that once existed.
    Instant LossyUntil{};
    /// Records in the order of their arrival here.
    std::deque<Arrival> Arrivals;
    /// Number of arrivals that were dropped from the front.
    uint32_t Dropped = 0;
  };

  ClaimVerdict judge(const RecordClaim &claim, Instant now);
  ClaimVerdict judgeExisting(const RecordClaim &claim, Record &record,
                             bool lossy, Instant now);
  static Record settledRecord(const RecordOutcome &settle, std::string answer,
                              Instant now);
  static Record copiedRecord(const RecordCopy &copy, Instant now);
  void insert(const Digest &key, Record record, Instant now);
  void expirePartition(Partition &partition, Instant now);
  void merge(const RecordCopy &copy, Instant now);
  void startCopies(Partition &partition, const RecordReplicaSet &from,
                   Instant now);
  void endCopies(Partition &partition, Instant now);
  [[nodiscard]] Duration lossyFor(const Partition &partition, uint64_t epoch,
                                  Instant now) const;
  CopySource *findSource(Partition &partition, uint64_t vm);

  RecordLimits Limits;
  RecordReplicaId Self;
  std::array<Partition, RecordPartitions> Partitions;
  std::unordered_map<Digest, Record, DigestHash> Records;
  uint64_t BytesUsed = 0;
};

} // namespace guavasail

#endif
