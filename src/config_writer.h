/// \file
/// Writes proposed changes to the store: chunks, audit record, then the head
/// by compare-and-swap.
#ifndef GUAVASAIL_SRC_CONFIG_WRITER_H
#define GUAVASAIL_SRC_CONFIG_WRITER_H

#include "config_apply.h"
#include "config_keeper.h"
#include "config_step.h"

#include <cstdint>
#include <deque>

namespace guavasail {

/// Times and limits of a writer.
struct WriterTimes {
  /// From the proposal of a change to its outcome.
  Duration ChangeTimeout = std::chrono::seconds(10);
  /// Time after which a request to the store counts as lost.
  Duration ReplyTimeout = std::chrono::seconds(2);
  /// Before a request is sent again.
  Duration RetryInterval = std::chrono::milliseconds(200);
  /// How long the writer waits until a majority has an accepted change in
  /// force.
  Duration MajorityTimeout = std::chrono::seconds(3);
  /// Limit of the queue, including the change being written.
  uint32_t MaxQueuedChanges = 16;
};

/// Writes changes one at a time.
class ConfigWriter {
public:
  ConfigWriter(ConfigKeeper &keeper, Freshness &marks, const WriterTimes &times)
      : Keeper(keeper), Marks(marks), Times(times) {}

  /// Queues a change.
  void propose(const Change &change, const ConfigStep &step);

  /// Sends the requests that are due and ends what has timed out.
  void onTick(const ConfigStep &step);

  /// Handles a reply of the store.
  void onReply(const StoreReplied &reply, const ConfigStep &step);

  /// Records that a VM has \p version in force.
  void noteVersionHeld(VmHandle vm, uint64_t version, const ConfigStep &step);

  /// \returns when `onTick` is due next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns the version of the last head read.
  [[nodiscard]] uint64_t baseVersion() const { return Base.Version; }

  /// \returns true once after this VM has written a change.
  [[nodiscard]] bool takeWritten();

private:
  enum class StageKind : uint8_t {
    Idle,
    ReadHead,
    AwaitConfig,
    WriteChunks,
    WriteAudit,
    MoveHead,
    AwaitMajority,
  };
  /// Handlers for entering a stage and for the reply to its request.
  struct StageHandlers {
    void (ConfigWriter::*Send)(const ConfigStep &step);
    void (ConfigWriter::*Reply)(const StoreReplied &reply,
                                const ConfigStep &step);
  };
  static const StageHandlers Handlers[];

  struct Proposal {
    Change Body;
    Instant Deadline;
  };

  void enter(StageKind stage, const ConfigStep &step);
  void retryLater(const ConfigStep &step);
  StoreTicket ticket(const ConfigStep &step);

  void sendNothing(const ConfigStep &step);
  void sendReadHead(const ConfigStep &step);
  void sendAwaitConfig(const ConfigStep &step);
  void sendChunks(const ConfigStep &step);
  void sendAudit(const ConfigStep &step);
  void sendMoveHead(const ConfigStep &step);
  void sendAwaitMajority(const ConfigStep &step);

  void ignoreReply(const StoreReplied &reply, const ConfigStep &step);
  void onHeadRead(const StoreReplied &reply, const ConfigStep &step);
  void onChunkWritten(const StoreReplied &reply, const ConfigStep &step);
  void onAuditWritten(const StoreReplied &reply, const ConfigStep &step);
  void onHeadMoved(const StoreReplied &reply, const ConfigStep &step);

  void onMajorityTick(const ConfigStep &step);
  void awaitMajority(uint64_t version, const ConfigStep &step);
  [[nodiscard]] bool majorityHolds(const ConfigStep &step) const;
  bool concludeFromHead(const ConfigStep &step);
  const RecentChange *conflictingChange() const;
  void prepare(const ConfigStep &step);
  void conclude(ChangeOutcome outcome, const ConfigStep &step);
  void reject(const ChangeFailure &failure, const ConfigStep &step);
  void timeOut(const ConfigStep &step);

  ConfigKeeper &Keeper;
  Freshness &Marks;
  WriterTimes Times;
  std::deque<Proposal> Queue;
  StageKind Stage = StageKind::Idle;
  uint32_t Number = 0;
  Instant ReplyDue = NeverInstant;
  Instant RetryAt = NeverInstant;
  /// Items of the change being written.
  std::vector<uint64_t> Items;
  /// The last head read from the store, and its revision.
  ConfigHead Base;
  uint64_t BaseRevision = 0;
  /// Heads with a lower revision are stale copies.
  uint64_t MinRevision = 0;
  /// Changes up to this version do not conflict.
  uint64_t SeenVersion = 0;
  /// An update of the head was sent and may have taken effect.
  bool MoveOutcomeUnknown = false;
  /// The revision that the last update of the head expected.
  uint64_t MoveRevision = 0;
  bool Written = false;
  /// The accepted version, and by VM whether it is known to have it in force.
  uint64_t AcceptedVersion = 0;
  Instant MajorityDeadline = NeverInstant;
  std::vector<bool> Holders;
  ChangeEffects Prepared;
  ChunkEdits::const_iterator NextChunk;
  StoreValue ChunkValue;
  StoreValue AuditValue;
  StoreValue HeadValue;
};

} // namespace guavasail

#endif
