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

/// Times and bounds of a writer.
struct WriterTimes {
  /// Time for a change, from its proposal to its outcome.
  Duration Change = std::chrono::seconds(10);
  /// After this a request to the store counts as lost.
  Duration Reply = std::chrono::seconds(2);
  /// Before a request is sent again.
  Duration Retry = std::chrono::milliseconds(200);
  /// How long an accepted change is followed until a majority holds it.
  Duration Spread = std::chrono::seconds(3);
  /// Changes that wait behind the one being written.
  uint32_t Queue = 16;
};

/// Writes one change after the other.
class ConfigWriter {
public:
  ConfigWriter(ConfigKeeper &keeper, Freshness &marks, const WriterTimes &times)
      : Keeper(keeper), Marks(marks), Times(times) {}

  /// Queues a change.
  void propose(const Change &change, const ConfigStep &step);

  /// Sends what is due and ends what is late.
  void onTick(const ConfigStep &step);

  /// Takes a reply of the store.
  void onReply(const StoreReplied &reply, const ConfigStep &step);

  /// Notes that a VM has \p version in force.
  void noteHeld(VmHandle vm, uint64_t version, const ConfigStep &step);

  /// \returns when `onTick` is wanted next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns the version of the head that was read last.
  [[nodiscard]] uint64_t baseVersion() const { return Base.Version; }

  /// \returns true once after a change was written by this VM.
  [[nodiscard]] bool takeWritten();

private:
  enum class StageKind : uint8_t {
    Idle,
    ReadHead,
    AwaitConfig,
    WriteChunks,
    WriteAudit,
    MoveHead,
    AwaitSpread,
  };
  /// What one stage does when it is entered and with its reply.
  struct StageRow {
    void (ConfigWriter::*Send)(const ConfigStep &step);
    void (ConfigWriter::*Reply)(const StoreReplied &reply,
                                const ConfigStep &step);
  };
  static const StageRow Rows[];

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
  void sendAwaitSpread(const ConfigStep &step);

  void onNothing(const StoreReplied &reply, const ConfigStep &step);
  void onHeadRead(const StoreReplied &reply, const ConfigStep &step);
  void onChunkWritten(const StoreReplied &reply, const ConfigStep &step);
  void onAuditWritten(const StoreReplied &reply, const ConfigStep &step);
  void onHeadMoved(const StoreReplied &reply, const ConfigStep &step);

  void onSpreadTick(const ConfigStep &step);
  void followSpread(uint64_t version, const ConfigStep &step);
  [[nodiscard]] bool majorityHolds(const ConfigStep &step) const;
  bool endedByHead(const ConfigStep &step);
  const RecentChange *conflicting() const;
  void prepare(const ConfigStep &step);
  void conclude(ChangeOutcome outcome, const ConfigStep &step);
  void reject(const ChangeFailure &failure, const ConfigStep &step);
  void giveUp(const ConfigStep &step);

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
  /// The store's head at the last read, and its revision.
  ConfigHead Base;
  uint64_t BaseRevision = 0;
  /// Older heads are copies from the past.
  uint64_t LeastRevision = 0;
  /// Changes up to this version are no conflict.
  uint64_t SeenVersion = 0;
  /// A move of the head was sent and may have taken effect.
  bool MoveUnknown = false;
  /// The revision that the last move expected.
  uint64_t MoveRevision = 0;
  bool Written = false;
  /// The version whose spreading is followed, and who has it, by VM.
  uint64_t SpreadVersion = 0;
  Instant SpreadDeadline = NeverInstant;
  std::vector<bool> Holders;
  ChangeEffects Prepared;
  ChunkEdits::const_iterator NextChunk;
  StoreValue ChunkValue;
  StoreValue AuditValue;
  StoreValue HeadValue;
};

} // namespace guavasail

#endif
