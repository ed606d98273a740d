/// \file
/// Messages between daemons, as data. The encoding is elsewhere.
#ifndef GUAVASAIL_PEER_MESSAGE_H
#define GUAVASAIL_PEER_MESSAGE_H

#include "guavasail/clock.h"
#include "guavasail/health.h"
#include "guavasail/member.h"
#include "guavasail/record.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace guavasail {

/// Most bytes of one encoded message. Senders split what is longer.
inline constexpr size_t MaxPeerMessageBytes = 64 * 1024;

/// Says that the sender runs.
struct Heartbeat {
  uint64_t Incarnation = 0;
  uint64_t CatalogVersion = 0;
  bool Leaving = false;
};

/// Outcomes of one kind that one instance yielded in a slice of time.
struct EvidenceCell {
  /// See `instanceKey`.
  uint32_t Instance = 0;
  uint16_t Count = 0;
  /// Latency bucket or outcome, see `evidence.h`.
  uint8_t Cell = 0;
};

/// What the sender saw of one service since its last report.
struct EvidenceReport {
  /// See `serviceKey`.
  uint64_t Service = 0;
  /// Version of the last verdict that the sender holds from the receiver.
  uint32_t VerdictVersion = 0;
  std::vector<EvidenceCell> Cells;
};

/// The evidence owner's verdict on one instance.
struct VerdictEntry {
  uint32_t Instance = 0;
  VerdictState State = VerdictState::Healthy;
  EjectReason Reason = EjectReason::None;
  /// How often the instance was ejected lately.
  uint8_t Level = 0;
  /// Orders instances when not all may be ejected; more is worse.
  uint16_t Badness = 0;
  /// Time until the next state.
  Duration Remaining{};
};

/// Verdicts of a service's evidence owner. Each entry stands for itself.
struct VerdictUpdate {
  uint64_t Service = 0;
  uint32_t Version = 0;
  /// True for the last message of the version.
  bool Last = false;
  std::vector<VerdictEntry> Entries;
};

/// What the sender believes of one VM.
struct MemberUpdate {
  std::string Name;
  VmState State = VmState::Unknown;
  uint64_t Incarnation = 0;
  std::string Address;
  uint32_t PeerPort = 0;
  std::string Zone;
  std::string Region;
};

/// Asks the receiver for a `MemberAck`.
struct MemberPing {
  uint64_t Sequence = 0;
  /// Of the sender.
  uint64_t Incarnation = 0;
  bool Leaving = false;
  /// The sender has just started and wants more updates than usual.
  bool Joining = false;
  std::vector<MemberUpdate> Updates;
};

/// Answers a `MemberPing`, or a `MemberPingRequest` if it is relayed.
struct MemberAck {
  uint64_t Sequence = 0;
  /// Of the VM that was pinged.
  uint64_t Incarnation = 0;
  bool Leaving = false;
  bool Relayed = false;
  /// False if the sender, too, got no answer from the VM.
  bool Reached = true;
  std::vector<MemberUpdate> Updates;
};

/// Asks the receiver to ping another VM.
struct MemberPingRequest {
  uint64_t Sequence = 0;
  std::string Target;
};

using PeerBody =
    std::variant<Heartbeat, EvidenceReport, VerdictUpdate, MemberPing,
                 MemberAck, MemberPingRequest, RecordClaim, RecordClaimReply,
                 RecordSettle, RecordCopyAsk, RecordCopyPart, CrashReport,
                 QuarantineNotice>;

} // namespace guavasail

#endif
