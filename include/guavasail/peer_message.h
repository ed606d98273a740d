/// \file
/// Messages between daemons, as data. The encoding is elsewhere.
#ifndef GUAVASAIL_PEER_MESSAGE_H
#define GUAVASAIL_PEER_MESSAGE_H

#include "guavasail/clock.h"
#include "guavasail/dispatch.h"
#include "guavasail/health.h"
#include "guavasail/member.h"
#include "guavasail/record.h"
#include "guavasail/store.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace guavasail {

/// Most bytes of one encoded message. Senders split what is longer.
inline constexpr size_t MaxPeerMessageBytes = 128 * 1024;

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

/// How an ask is to be answered.
enum class TokenAskMode : uint8_t {
  /// With whole tokens, gathered from other VMs if need be.
  Gather,
  /// With whole tokens of shares that the asked VM owns.
  Whole,
  /// As Whole, and with parts of a token.
  Parts,
};

/// Asks for tokens of one workspace.
struct TokenAskEntry {
  /// Digest of the workspace's name.
  uint64_t Workspace = 0;
  /// Names the ask; grows with each ask of one asker.
  uint64_t Serial = 0;
  /// Millionths of a token.
  int64_t Want = 0;
  TokenAskMode Mode = TokenAskMode::Gather;
  /// The tokens are used at once: the grant has the short lifetime.
  bool AtOnce = false;
};

/// Gives a grant back that is used up or not needed.
struct TokenClose {
  uint64_t Serial = 0;
  /// Millionths of a token that were not used.
  int64_t Unused = 0;
};

/// Asks for tokens and closes earlier grants.
struct TokenAsk {
  /// Identity of the asker's process run.
  uint64_t Asker = 0;
  std::vector<TokenAskEntry> Asks;
  std::vector<TokenClose> Closes;
};

/// Answers one ask.
struct TokenGrantEntry {
  uint64_t AskSerial = 0;
  /// Names the grant; meaningless if the amount is 0.
  uint64_t Serial = 0;
  /// Millionths of a token.
  int64_t Amount = 0;
  /// Lifetime in microseconds, counted from when the ask was sent.
  int64_t Life = 0;
  /// If nothing was granted: microseconds until an ask can succeed.
  int64_t RetryAfter = 0;
  /// The answering VM owns no share of this workspace.
  bool NotOwner = false;
};

/// Answers asks.
struct TokenGrant {
  /// Copied from the asks.
  uint64_t Asker = 0;
  std::vector<TokenGrantEntry> Grants;
};

/// Asks how fresh the receiver's configuration is.
struct ConfigAsk {
  /// Echoed in the answer.
  uint32_t Number = 0;
  /// Version in force at the sender.
  uint64_t Version = 0;
};

/// A watcher of the zone did not reach the store.
struct ZoneAway {
  std::string Zone;
  /// Time since the attempt began.
  Duration Age{};
};

/// Answers a `ConfigAsk`: `MarkAge` ago the store's newest version was
/// `MarkVersion`.
struct ConfigMark {
  uint32_t Number = 0;
  /// Version in force at the sender.
  uint64_t Version = 0;
  uint64_t MarkVersion = 0;
  /// `Duration::max()` if the sender has no mark.
  Duration MarkAge = Duration::max();
  std::vector<ZoneAway> Away;
};

/// Asks for what leads from a version to the receiver's version.
struct ConfigFetch {
  uint64_t Version = 0;
  /// Asks for the head and not for changes.
  bool Whole = false;
};

/// One accepted change.
struct ConfigDelta {
  /// Version to which the patch applies.
  uint64_t From = 0;
  RecentChange Change;
  CatalogPatch Patch;
  /// Digest over the chunk digests afterwards.
  Digest Result;
};

/// The head in force at the sender.
struct ConfigOutline {
  ConfigHead Head;
};

/// Asks for entries of a chunk.
struct ConfigChunkAsk {
  Digest Chunk;
  uint32_t Slot = 0;
  /// Entries that the sender has already.
  uint32_t Offset = 0;
};

/// Entries of a chunk, from `Offset` on.
struct ConfigChunkPart {
  Digest Chunk;
  uint32_t Slot = 0;
  uint32_t Offset = 0;
  /// Entries of the whole chunk.
  uint32_t Total = 0;
  CatalogChunk Entries;
};

using PeerBody =
    std::variant<Heartbeat, EvidenceReport, VerdictUpdate, MemberPing,
                 MemberAck, MemberPingRequest, RecordClaim, RecordClaimReply,
                 RecordOutcome, RecordCopyRequest, RecordCopyChunk, CrashReport,
                 QuarantineNotice, TokenAsk, TokenGrant, ConfigAsk, ConfigMark,
                 ConfigFetch, ConfigDelta, ConfigOutline, ConfigChunkAsk,
                 ConfigChunkPart, PlaceAsk, PlaceReply, PlaceDone, QuotaAsk,
                 QuotaReply>;

} // namespace guavasail

#endif
