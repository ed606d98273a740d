/// \file
/// Messages between daemons, as data. See `peer_codec_fields.h` for the
/// encoding.
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

/// Maximum size of an encoded message. Senders split longer content.
inline constexpr size_t MaxPeerMessageBytes = 128 * 1024;

/// Liveness signal of the sender.
struct Heartbeat {
  uint64_t Incarnation = 0;
  uint64_t CatalogVersion = 0;
  bool Leaving = false;
};

/// Count of one kind of outcome of an instance in a time slice.
struct EvidenceCell {
  /// See `instanceKey`.
  uint32_t Instance = 0;
  uint16_t Count = 0;
  /// Latency bucket or outcome, see `evidence.h`.
  uint8_t Cell = 0;
};

/// Outcomes that the sender observed on a service since its last report.
struct EvidenceReport {
  /// See `serviceKey`.
  uint64_t Service = 0;
  /// Version of the latest verdicts that the sender has from the receiver.
  uint32_t VerdictVersion = 0;
  std::vector<EvidenceCell> Cells;
};

/// Health verdict on one instance by the owner of the service's evidence.
struct VerdictEntry {
  uint32_t Instance = 0;
  VerdictState State = VerdictState::Healthy;
  EjectReason Reason = EjectReason::None;
  /// Number of recent ejections of the instance.
  uint8_t Level = 0;
  /// Order of ejection when not all unhealthy instances may be ejected; higher
  /// is worse.
  uint16_t Severity = 0;
  /// Time until the next state change.
  Duration Remaining{};
};

/// Verdicts of a service's evidence owner. Entries are independent of each
/// other.
struct VerdictUpdate {
  uint64_t Service = 0;
  uint32_t Version = 0;
  /// True for the last message of the version.
  bool Last = false;
  std::vector<VerdictEntry> Entries;
};

/// State of one VM according to the sender.
struct MemberUpdate {
  std::string Name;
  VmState State = VmState::Unknown;
  uint64_t Incarnation = 0;
  std::string Address;
  uint32_t PeerPort = 0;
  std::string Zone;
  std::string Region;
  uint32_t CpuPercent = 0;
};

/// Asks the receiver for a `MemberAck`.
struct MemberPing {
  uint64_t Sequence = 0;
  /// Incarnation of the sender.
  uint64_t Incarnation = 0;
  bool Leaving = false;
  /// The sender has just started and requests more updates than usual.
  bool Joining = false;
  std::vector<MemberUpdate> Updates;
};

/// Replies to a `MemberPing`, or to a `MemberPingRequest` if it is relayed.
struct MemberAck {
  uint64_t Sequence = 0;
  /// Incarnation of the pinged VM.
  uint64_t Incarnation = 0;
  bool Leaving = false;
  bool Relayed = false;
  /// False if the sender got no reply from the VM either.
  bool Reached = true;
  std::vector<MemberUpdate> Updates;
};

/// Asks the receiver to ping another VM.
struct MemberPingRequest {
  uint64_t Sequence = 0;
  std::string Target;
};

/// How the receiver may serve a token request.
enum class TokenRequestMode : uint8_t {
  /// With whole tokens, collected from other VMs if necessary.
  Gather,
  /// With whole tokens of shares that the receiver owns.
  Whole,
  /// As `Whole`, or with fractions of a token.
  Parts,
};

/// Requests tokens of one workspace.
struct TokenRequestEntry {
  /// Digest of the workspace's name.
  uint64_t Workspace = 0;
  /// Identifies the token request; increases with each one of a requester.
  uint64_t Serial = 0;
  /// Millionths of a token.
  int64_t RequestedAmount = 0;
  TokenRequestMode Mode = TokenRequestMode::Gather;
  /// The tokens are used immediately, so the grant gets the short lifetime.
  bool Immediate = false;
};

/// Returns a grant that is used up or not needed.
struct TokenClose {
  uint64_t Serial = 0;
  /// Unused millionths of a token.
  int64_t Unused = 0;
};

/// Requests tokens and closes earlier grants.
struct TokenRequest {
  /// Identifies the requester's process incarnation.
  uint64_t Requester = 0;
  std::vector<TokenRequestEntry> RequestEntries;
  std::vector<TokenClose> Closes;
};

/// Reply to one `TokenRequestEntry`.
struct TokenGrantEntry {
  uint64_t RequestSerial = 0;
  /// Identifies the grant; meaningless if the amount is 0.
  uint64_t Serial = 0;
  /// Millionths of a token.
  int64_t Amount = 0;
  /// Lifetime in microseconds, counted from when the token request was sent.
  int64_t Lifetime = 0;
  /// If nothing was granted: microseconds until a token request can succeed.
  int64_t RetryAfter = 0;
  /// The replying VM owns no share of this workspace.
  bool NotOwner = false;
};

/// Reply to a `TokenRequest`.
struct TokenGrant {
  /// Copied from the token request.
  uint64_t Requester = 0;
  std::vector<TokenGrantEntry> Grants;
};

/// Requests the receiver's freshness mark: the latest time at which it knew the
/// store's newest configuration version.
struct ConfigMarkRequest {
  /// Echoed in the reply.
  uint32_t Number = 0;
  /// Active version at the sender.
  uint64_t Version = 0;
  /// The receiver replies once it has a mark that is newer by a while.
  bool Hold = false;
  /// Age of the sender's mark; `Duration::max()` if it has none.
  Duration MarkAge = Duration::max();
};

/// A VM that watches the store for its zone could not reach it.
struct ZoneOutage {
  std::string Zone;
  /// Time since the attempt began.
  Duration Age{};
};

/// Replies to a `ConfigMarkRequest`: `MarkAge` ago the store's newest content
/// was that of `MarkVersion`.
struct ConfigMark {
  uint32_t Number = 0;
  /// Active version at the sender.
  uint64_t Version = 0;
  uint64_t MarkVersion = 0;
  /// Every version from this one on has all changes accepted by then.
  uint64_t MarkRevision = UINT64_MAX;
  /// When the request arrived; negative if the mark was made while the request
  /// was held. `Duration::max()` if the sender has no mark.
  Duration MarkAge = Duration::max();
  std::vector<ZoneOutage> Outages;
  /// Time since a VM got a part of a slow read of the store;
  /// `Duration::max()` if that was long ago.
  Duration ReadingAge = Duration::max();
};

/// Requests the changes from a version to the receiver's version.
struct ConfigFetch {
  uint64_t Version = 0;
  /// Requests the head instead of the changes.
  bool Whole = false;
};

/// One accepted change.
struct ConfigDelta {
  /// Version to which the patch applies.
  uint64_t From = 0;
  RecentChange Change;
  CatalogPatch Patch;
  /// Digest over the chunk digests after the patch.
  Digest Result;
  /// Time since a VM first read the sender's version from the store, without
  /// the time that messages took.
  Duration SeenAge{};
};

/// The head of the configuration that is active at the sender.
struct ConfigHeadUpdate {
  ConfigHead Head;
  /// See `ConfigDelta`.
  Duration SeenAge{};
};

/// Requests entries of a chunk.
struct ConfigChunkRequest {
  Digest Chunk;
  uint32_t Slot = 0;
  /// Number of entries that the sender already has.
  uint32_t Offset = 0;
};

/// Entries of a chunk, starting at `Offset`.
struct ConfigChunkPart {
  Digest Chunk;
  uint32_t Slot = 0;
  uint32_t Offset = 0;
  /// Number of entries in the whole chunk.
  uint32_t Total = 0;
  CatalogChunk Entries;
};

using PeerBody =
    std::variant<Heartbeat, EvidenceReport, VerdictUpdate, MemberPing,
                 MemberAck, MemberPingRequest, RecordClaim, RecordClaimReply,
                 RecordOutcome, RecordCopyRequest, RecordCopyChunk, CrashReport,
                 QuarantineNotice, TokenRequest, TokenGrant, ConfigMarkRequest,
                 ConfigMark, ConfigFetch, ConfigDelta, ConfigHeadUpdate,
                 ConfigChunkRequest, ConfigChunkPart, PlacementRequest,
                 PlacementReply, PlacementRelease, QuotaRequest, QuotaReply,
                 QuotaReturn, QuotaClaim, QuotaClaimReply>;

} // namespace guavasail

#endif
