/// \file
/// Rows that say how each message between daemons is written.
///
/// To add a message: add the struct to `peer_message.h` and to `PeerBody`, then
/// specialize `PeerFields` here with a kind number that was never used before
/// and one row for each member. Rows stay in place for ever: a new member goes
/// to the end of the struct and of the rows, with a default that an older
/// sender implies. A struct inside a message gets rows without a kind. An
/// enumeration gets a `PeerEnumCount`. Members may be bool, unsigned integers,
/// int64_t, enumerations, `Digest`, `Duration`, `std::string`,
/// `std::vector<uint8_t>` (bytes), structs with rows, and vectors of these. No
/// handle may travel: handles are local to one VM.
#ifndef GUAVASAIL_SRC_PEER_CODEC_FIELDS_H
#define GUAVASAIL_SRC_PEER_CODEC_FIELDS_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "guavasail/peer_message.h"

#include <cstdint>
#include <tuple>

namespace guavasail {

/// The members of \p Struct, in the order in which they are written. `Kind`
/// names the message and is never used again for another one.
template <typename Struct> struct PeerFields;

/// Number of enumerators of \p Enum; greater values are refused.
template <typename Enum> inline constexpr uint64_t PeerEnumCount = 0;

template <> struct PeerFields<Heartbeat> {
  static constexpr uint32_t Kind = 1;
  static constexpr std::tuple Members{
      &Heartbeat::Incarnation, &Heartbeat::CatalogVersion, &Heartbeat::Leaving};
};

template <> inline constexpr uint64_t PeerEnumCount<VerdictState> = 4;
template <> inline constexpr uint64_t PeerEnumCount<EjectReason> = 7;

template <> struct PeerFields<EvidenceCell> {
  static constexpr std::tuple Members{
      &EvidenceCell::Instance, &EvidenceCell::Count, &EvidenceCell::Cell};
};

template <> struct PeerFields<EvidenceReport> {
  static constexpr uint32_t Kind = 20;
  static constexpr std::tuple Members{&EvidenceReport::Service,
                                      &EvidenceReport::VerdictVersion,
                                      &EvidenceReport::Cells};
};

template <> struct PeerFields<VerdictEntry> {
  static constexpr std::tuple Members{
      &VerdictEntry::Instance, &VerdictEntry::State,
      &VerdictEntry::Reason,   &VerdictEntry::Level,
      &VerdictEntry::Severity, &VerdictEntry::Remaining};
};

template <> struct PeerFields<VerdictUpdate> {
  static constexpr uint32_t Kind = 21;
  static constexpr std::tuple Members{
      &VerdictUpdate::Service, &VerdictUpdate::Version, &VerdictUpdate::Last,
      &VerdictUpdate::Entries};
};

template <> inline constexpr uint64_t PeerEnumCount<RecordState> = 4;
template <> inline constexpr uint64_t PeerEnumCount<ClaimVerdict> = 8;

template <> struct PeerFields<RequestHandle> {
  static constexpr std::tuple Members{&RequestHandle::Index,
                                      &RequestHandle::Generation};
};

template <> struct PeerFields<RecordClaim> {
  static constexpr uint32_t Kind = 10;
  static constexpr std::tuple Members{
      &RecordClaim::Record,  &RecordClaim::Fingerprint,
      &RecordClaim::Epoch,   &RecordClaim::Token,
      &RecordClaim::Request, &RecordClaim::RunTimeout};
};

template <> struct PeerFields<RecordClaimReply> {
  static constexpr uint32_t Kind = 11;
  static constexpr std::tuple Members{
      &RecordClaimReply::Record,  &RecordClaimReply::Token,
      &RecordClaimReply::Request, &RecordClaimReply::Verdict,
      &RecordClaimReply::Epoch,   &RecordClaimReply::Response};
};

template <> struct PeerFields<RecordOutcome> {
  static constexpr uint32_t Kind = 12;
  static constexpr std::tuple Members{
      &RecordOutcome::Record, &RecordOutcome::Fingerprint,
      &RecordOutcome::Token, &RecordOutcome::State, &RecordOutcome::Response};
};

template <> struct PeerFields<RecordCopy> {
  static constexpr std::tuple Members{
      &RecordCopy::Record,  &RecordCopy::Fingerprint, &RecordCopy::Token,
      &RecordCopy::State,   &RecordCopy::RunTimeout,  &RecordCopy::Age,
      &RecordCopy::Response};
};

template <> struct PeerFields<RecordCopyRequest> {
  static constexpr uint32_t Kind = 13;
  static constexpr std::tuple Members{&RecordCopyRequest::Partition,
                                      &RecordCopyRequest::Epoch,
                                      &RecordCopyRequest::From};
};

template <> struct PeerFields<RecordCopyChunk> {
  static constexpr uint32_t Kind = 14;
  static constexpr std::tuple Members{&RecordCopyChunk::Partition,
                                      &RecordCopyChunk::Epoch,
                                      &RecordCopyChunk::From,
                                      &RecordCopyChunk::Next,
                                      &RecordCopyChunk::IncompletePeriod,
                                      &RecordCopyChunk::Records};
};

template <> struct PeerFields<CrashReport> {
  static constexpr uint32_t Kind = 15;
  static constexpr std::tuple Members{&CrashReport::Fingerprint,
                                      &CrashReport::Instance};
};

template <> struct PeerFields<QuarantineNotice> {
  static constexpr uint32_t Kind = 16;
  static constexpr std::tuple Members{&QuarantineNotice::Fingerprint,
                                      &QuarantineNotice::Remaining};
};

template <> inline constexpr uint64_t PeerEnumCount<VmState> = 6;

template <> struct PeerFields<MemberUpdate> {
  static constexpr std::tuple Members{
      &MemberUpdate::Name,        &MemberUpdate::State,
      &MemberUpdate::Incarnation, &MemberUpdate::Address,
      &MemberUpdate::PeerPort,    &MemberUpdate::Zone,
      &MemberUpdate::Region,      &MemberUpdate::CpuPercent};
};

template <> struct PeerFields<MemberPing> {
  static constexpr uint32_t Kind = 2;
  static constexpr std::tuple Members{
      &MemberPing::Sequence, &MemberPing::Incarnation, &MemberPing::Leaving,
      &MemberPing::Joining, &MemberPing::Updates};
};

template <> struct PeerFields<MemberAck> {
  static constexpr uint32_t Kind = 3;
  static constexpr std::tuple Members{
      &MemberAck::Sequence, &MemberAck::Incarnation, &MemberAck::Leaving,
      &MemberAck::Relayed,  &MemberAck::Reached,     &MemberAck::Updates};
};

template <> struct PeerFields<MemberPingRequest> {
  static constexpr uint32_t Kind = 4;
  static constexpr std::tuple Members{&MemberPingRequest::Sequence,
                                      &MemberPingRequest::Target};
};

template <> inline constexpr uint64_t PeerEnumCount<TokenRequestMode> = 3;

template <> struct PeerFields<TokenRequestEntry> {
  static constexpr std::tuple Members{
      &TokenRequestEntry::Workspace, &TokenRequestEntry::Serial,
      &TokenRequestEntry::RequestedAmount, &TokenRequestEntry::Mode,
      &TokenRequestEntry::Immediate};
};

template <> struct PeerFields<TokenClose> {
  static constexpr std::tuple Members{&TokenClose::Serial, &TokenClose::Unused};
};

template <> struct PeerFields<TokenRequest> {
  static constexpr uint32_t Kind = 30;
  static constexpr std::tuple Members{&TokenRequest::Requester,
                                      &TokenRequest::RequestEntries,
                                      &TokenRequest::Closes};
};

template <> struct PeerFields<TokenGrantEntry> {
  static constexpr std::tuple Members{
      &TokenGrantEntry::RequestSerial, &TokenGrantEntry::Serial,
      &TokenGrantEntry::Amount,        &TokenGrantEntry::Lifetime,
      &TokenGrantEntry::RetryAfter,    &TokenGrantEntry::NotOwner};
};

template <> struct PeerFields<TokenGrant> {
  static constexpr uint32_t Kind = 31;
  static constexpr std::tuple Members{&TokenGrant::Requester,
                                      &TokenGrant::Grants};
};

template <> struct PeerFields<InstanceSpec> {
  static constexpr std::tuple Members{
      &InstanceSpec::Name,    &InstanceSpec::Address,
      &InstanceSpec::Port,    &InstanceSpec::Zone,
      &InstanceSpec::Slots,   &InstanceSpec::Connections,
      &InstanceSpec::Started, &InstanceSpec::Leaving,
      &InstanceSpec::Cold,    &InstanceSpec::Evacuated};
};

template <> struct PeerFields<ServiceSpec> {
  static constexpr std::tuple Members{
      &ServiceSpec::Name, &ServiceSpec::FloorPercent, &ServiceSpec::Instances,
      &ServiceSpec::Warmup, &ServiceSpec::WarmupPerKilosecond};
};

template <> inline constexpr uint64_t PeerEnumCount<RequestKind> = 5;

template <> struct PeerFields<SplitSpec> {
  static constexpr std::tuple Members{&SplitSpec::Service, &SplitSpec::Weight};
};

template <> struct PeerFields<RouteSpec> {
  static constexpr std::tuple Members{
      &RouteSpec::Name,      &RouteSpec::Prefix,     &RouteSpec::Service,
      &RouteSpec::Timeout,   &RouteSpec::Workspaces, &RouteSpec::Host,
      &RouteSpec::Kind,      &RouteSpec::Splits,     &RouteSpec::Attempts,
      &RouteSpec::Objective, &RouteSpec::Priority,   &RouteSpec::Anonymous};
};

template <> struct PeerFields<KeySpec> {
  static constexpr std::tuple Members{&KeySpec::Id, &KeySpec::Value};
};

template <> struct PeerFields<WorkspaceSpec> {
  static constexpr std::tuple Members{
      &WorkspaceSpec::Name,          &WorkspaceSpec::Weight,
      &WorkspaceSpec::RatePerSecond, &WorkspaceSpec::Burst,
      &WorkspaceSpec::Keys,          &WorkspaceSpec::Rank};
};

template <> struct PeerFields<CatalogChunk> {
  static constexpr std::tuple Members{&CatalogChunk::Services,
                                      &CatalogChunk::Routes,
                                      &CatalogChunk::Workspaces};
};

template <> struct PeerFields<InstancePut> {
  static constexpr std::tuple Members{&InstancePut::Service,
                                      &InstancePut::Spec};
};

template <> struct PeerFields<InstanceDrop> {
  static constexpr std::tuple Members{&InstanceDrop::Service,
                                      &InstanceDrop::Name};
};

template <> struct PeerFields<CatalogPatch> {
  static constexpr std::tuple Members{
      &CatalogPatch::Put,          &CatalogPatch::DropServices,
      &CatalogPatch::DropRoutes,   &CatalogPatch::DropWorkspaces,
      &CatalogPatch::PutInstances, &CatalogPatch::DropInstances};
};

template <> struct PeerFields<RecentChange> {
  static constexpr std::tuple Members{
      &RecentChange::Id,      &RecentChange::Author,
      &RecentChange::Version, &RecentChange::UnixMillis,
      &RecentChange::Items,   &RecentChange::ConfigVersion};
};

template <> struct PeerFields<ConfigHead> {
  static constexpr std::tuple Members{&ConfigHead::Version, &ConfigHead::Chunks,
                                      &ConfigHead::Recent};
};

template <> struct PeerFields<ZoneOutage> {
  static constexpr std::tuple Members{&ZoneOutage::Zone, &ZoneOutage::Age};
};

template <> struct PeerFields<ConfigMarkRequest> {
  static constexpr uint32_t Kind = 40;
  static constexpr std::tuple Members{
      &ConfigMarkRequest::Number, &ConfigMarkRequest::Version,
      &ConfigMarkRequest::Hold, &ConfigMarkRequest::MarkAge};
};

template <> struct PeerFields<ConfigMark> {
  static constexpr uint32_t Kind = 41;
  static constexpr std::tuple Members{
      &ConfigMark::Number,       &ConfigMark::Version, &ConfigMark::MarkVersion,
      &ConfigMark::MarkRevision, &ConfigMark::MarkAge, &ConfigMark::Outages,
      &ConfigMark::ReadingAge};
};

template <> struct PeerFields<ConfigFetch> {
  static constexpr uint32_t Kind = 42;
  static constexpr std::tuple Members{&ConfigFetch::Version,
                                      &ConfigFetch::Whole};
};

template <> struct PeerFields<ConfigDelta> {
  static constexpr uint32_t Kind = 43;
  static constexpr std::tuple Members{&ConfigDelta::From, &ConfigDelta::Change,
                                      &ConfigDelta::Patch, &ConfigDelta::Result,
                                      &ConfigDelta::SeenAge};
};

template <> struct PeerFields<ConfigHeadUpdate> {
  static constexpr uint32_t Kind = 44;
  static constexpr std::tuple Members{&ConfigHeadUpdate::Head,
                                      &ConfigHeadUpdate::SeenAge};
};

template <> struct PeerFields<ConfigChunkRequest> {
  static constexpr uint32_t Kind = 45;
  static constexpr std::tuple Members{&ConfigChunkRequest::Chunk,
                                      &ConfigChunkRequest::Slot,
                                      &ConfigChunkRequest::Offset};
};

template <> struct PeerFields<ConfigChunkPart> {
  static constexpr uint32_t Kind = 46;
  static constexpr std::tuple Members{
      &ConfigChunkPart::Chunk, &ConfigChunkPart::Slot, &ConfigChunkPart::Offset,
      &ConfigChunkPart::Total, &ConfigChunkPart::Entries};
};

template <> inline constexpr uint64_t PeerEnumCount<PlacementVerdict> = 6;
template <> inline constexpr uint64_t PeerEnumCount<AttemptOutcome> = 8;
template <> inline constexpr uint64_t PeerEnumCount<QuotaVerdict> = 3;
template <> inline constexpr uint64_t PeerEnumCount<QuotaClaimVerdict> = 3;

template <> struct PeerFields<PlacementRequest> {
  static constexpr uint32_t Kind = 50;
  static constexpr std::tuple Members{
      &PlacementRequest::Service,     &PlacementRequest::Request,
      &PlacementRequest::Ordinal,     &PlacementRequest::Workspace,
      &PlacementRequest::Fingerprint, &PlacementRequest::Avoid,
      &PlacementRequest::Rank,        &PlacementRequest::Retry,
      &PlacementRequest::Idempotent,  &PlacementRequest::Large,
      &PlacementRequest::Remaining,   &PlacementRequest::ObjectiveRemaining};
};

template <> struct PeerFields<PlacementReply> {
  static constexpr uint32_t Kind = 51;
  static constexpr std::tuple Members{
      &PlacementReply::Request,    &PlacementReply::Ordinal,
      &PlacementReply::Verdict,    &PlacementReply::Instance,
      &PlacementReply::RetryAfter, &PlacementReply::HedgeDelay};
};

template <> struct PeerFields<PlacementRelease> {
  static constexpr uint32_t Kind = 52;
  static constexpr std::tuple Members{
      &PlacementRelease::Service,         &PlacementRelease::Request,
      &PlacementRelease::Ordinal,         &PlacementRelease::Instance,
      &PlacementRelease::Outcome,         &PlacementRelease::Elapsed,
      &PlacementRelease::Fingerprint,     &PlacementRelease::LoadKnown,
      &PlacementRelease::Running,         &PlacementRelease::Waiting,
      &PlacementRelease::InstanceStarted, &PlacementRelease::Leaving,
      &PlacementRelease::Backoff};
};

template <> struct PeerFields<QuotaRequest> {
  static constexpr uint32_t Kind = 53;
  static constexpr std::tuple Members{
      &QuotaRequest::Workspace,  &QuotaRequest::Request,
      &QuotaRequest::Failover,   &QuotaRequest::LocalSpent,
      &QuotaRequest::KnownLevel, &QuotaRequest::KnownAge};
};

template <> struct PeerFields<QuotaReply> {
  static constexpr uint32_t Kind = 54;
  static constexpr std::tuple Members{
      &QuotaReply::Workspace,  &QuotaReply::Request, &QuotaReply::Verdict,
      &QuotaReply::RetryAfter, &QuotaReply::Level,   &QuotaReply::Holder};
};

template <> struct PeerFields<QuotaReturn> {
  static constexpr uint32_t Kind = 55;
  static constexpr std::tuple Members{&QuotaReturn::Workspace,
                                      &QuotaReturn::Request};
};

template <> struct PeerFields<QuotaClaim> {
  static constexpr uint32_t Kind = 56;
  static constexpr std::tuple Members{
      &QuotaClaim::Workspace, &QuotaClaim::Serial, &QuotaClaim::Failover};
};

template <> struct PeerFields<QuotaClaimReply> {
  static constexpr uint32_t Kind = 57;
  static constexpr std::tuple Members{
      &QuotaClaimReply::Workspace, &QuotaClaimReply::Serial,
      &QuotaClaimReply::Verdict,   &QuotaClaimReply::Level,
      &QuotaClaimReply::IdleFor,   &QuotaClaimReply::Holder};
};

} // namespace guavasail

#endif
