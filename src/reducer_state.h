/// \file
/// State of the reducer and the handlers of its events.
#ifndef GUAVASAIL_SRC_REDUCER_STATE_H
#define GUAVASAIL_SRC_REDUCER_STATE_H

#include "arrival_hold.h"
#include "balancer.h"
#include "catalog_index.h"
#include "config_part.h"
#include "dispatcher.h"
#include "guavasail/effect.h"
#include "guavasail/event.h"
#include "guavasail/limits.h"
#include "guavasail/rate.h"
#include "guavasail/reducer.h"
#include "health_fleet.h"
#include "instance_table.h"
#include "membership.h"
#include "presence.h"
#include "quarantine.h"
#include "quota.h"
#include "record_book.h"
#include "record_claim.h"
#include "request_table.h"
#include "subset.h"
#include "timer_heap.h"
#include "vm_index.h"

#include <array>
#include <random>
#include <unordered_map>

namespace guavasail {

/// Context of one reducer step, passed to the event handlers.
struct Step {
  Instant Now;
  EffectBuffer &Effects;
};

/// State of the reducer. Each event type has one handler.
struct ReducerState {
  explicit ReducerState(const ReducerInit &init);

  // Catalog and lifecycle (reducer.cpp).
  void onCatalogAccepted(const CatalogAccepted &event, Step &step);
  void applyCatalog(Step &step);
  void onDrainRequested(const DrainRequested &event, Step &step);
  void onLimitsChanged(const LimitsChanged &event, Step &step);
  void onTimeAdvanced(const TimeAdvanced &event, Step &step);

  // Idempotency records of non-idempotent requests (reducer_record.cpp).
  void onRecordsAssigned(const RecordsAssigned &event, Step &step);
  void onPeer(VmHandle from, const RecordClaim &message, Step &step);
  void onPeer(VmHandle from, const RecordClaimReply &message, Step &step);
  void onPeer(VmHandle from, const RecordOutcome &message, Step &step);
  void onPeer(VmHandle from, const RecordCopyRequest &message, Step &step);
  void onPeer(VmHandle from, const RecordCopyChunk &message, Step &step);
  /// \returns true if the request runs only after a claim of its record. A
  /// record belongs to a workspace: callers without one cannot be told apart.
  [[nodiscard]] bool claimsRecord(const Request &request) const;
  void beginClaim(Request &request, Step &step);
  void sendClaims(Request &request, Step &step);
  void handleClaimReply(Request &request, uint32_t position,
                        const RecordClaimReply &reply, Step &step);
  void applyClaimDecision(Request &request, ClaimDecision decision,
                          std::string_view answer, Step &step);
  void settleClaim(Request &request, RecordState state, std::string_view answer,
                   Step &step);
  void onClaimRetry(const Timer &timer, Step &step);
  void onClaimTimeout(const Timer &timer, Step &step);
  void onRecordMaintenance(const Timer &timer, Step &step);

  // Requests that crash backend servers (reducer_quarantine.cpp).
  void onPeer(VmHandle from, const CrashReport &message, Step &step);
  void onPeer(VmHandle from, const QuarantineNotice &message, Step &step);
  void reportCrash(const Request &request, Step &step);
  void recordCrash(uint64_t fingerprint, uint64_t instance, Step &step);

  // Callers (reducer_request.cpp).
  void onRequestArrived(const RequestArrived &event, Step &step);
  void admitArrived(Request &request, const RequestArrived &event, Step &step);
  [[nodiscard]] bool decidesRequests(Instant now) const;
  void resumeHeld(Step &step);
  void onCallerDisconnected(const CallerDisconnected &event, Step &step);

  // Backend servers (reducer_attempt.cpp).
  void onAttemptResponded(const AttemptResponded &event, Step &step);
  void onAttemptCompleted(const AttemptCompleted &event, Step &step);
  void onAttemptFailed(const AttemptFailed &event, Step &step);
  Lane acquireLane(Request &request, uint32_t limit);
  void onLaneFreed(const LaneFreed &event, Step &step);
  void noteInstance(const Request &request, bool leaving, Duration backoff,
                    Instant now);
  [[nodiscard]] bool acceptsRequests(InstanceHandle instance,
                                     Instant now) const;

  // Messages from other daemons, dispatched to the overloads of `onPeer`.
  void onPeerMessageReceived(const PeerMessageReceived &event, Step &step);

  // Membership (member_part.cpp).
  static MembershipInit membershipInit(const ReducerInit &init);
  void onVmListRead(const VmListRead &event, Step &step);
  void onPeer(VmHandle from, const Heartbeat &message, Step &step);
  void onPeer(VmHandle from, const EvidenceReport &message, Step &step);
  void onPeer(VmHandle from, const VerdictUpdate &message, Step &step);
  void onPeer(VmHandle from, const MemberPing &message, Step &step);
  void onPeer(VmHandle from, const MemberAck &message, Step &step);
  void onPeer(VmHandle from, const MemberPingRequest &message, Step &step);

  // Rates (rate_request.cpp).
  void onPeer(VmHandle from, const TokenRequest &message, Step &step);
  void onPeer(VmHandle from, const TokenGrant &message, Step &step);
  void onShareReplied(const ShareReplied &event, Step &step);
  void updateRateLimits(Step &step);
  void updateRateMembers(Step &step);
  void admitByRate(Request &request, Step &step);
  void resumeAdmission(Step &step);
  void onRateTimer(const Timer &timer, Step &step);
  void flushRates(Step &step);

  // Placement by the owners of services (reducer_place.cpp).
  void onPeer(VmHandle from, const PlacementRequest &message, Step &step);
  void onPeer(VmHandle from, const PlacementReply &message, Step &step);
  void onPeer(VmHandle from, const PlacementRelease &message, Step &step);
  void updatePlacement(Step &step);
  void resignPlacement(Step &step);
  void advancePlacement(Step &step);
  /// \returns when the members are looked at next. A VM with peers handles an
  /// event at least this often.
  [[nodiscard]] Instant nextFleetCheck() const;
  void requestPlacement(Request &request, Step &step);
  void sendPlacementRequest(Request &request, VmHandle owner, Step &step);
  void onPlacementReply(Request &request, VmHandle from,
                        const PlacementReply &reply, Step &step);
  void onHedgeReply(Request &request, VmHandle from,
                    const PlacementReply &reply, Step &step);
  void returnUnusedSlot(VmHandle from, const PlacementReply &reply, Step &step);
  void startAttemptOn(Request &request, InstanceHandle instance,
                      const PlacementReply &reply, Step &step);
  void releaseSlot(Request &request, AttemptOutcome outcome, Step &step);
  void addNotice(InstanceHandle instance, PlacementRelease &release,
                 Instant now) const;
  void cancelPlacement(Request &request, Step &step);
  void flushPlacement(Step &step);
  void onPlacementTimeout(const Timer &timer, Step &step);
  void onHedgeDelay(const Timer &timer, Step &step);
  [[nodiscard]] PlacementRequest makePlacementRequest(const Request &request,
                                                      Instant now) const;
  /// \param skip a VM to exclude because it did not reply, invalid for none.
  [[nodiscard]] VmHandle resolveOwner(uint64_t key, VmHandle skip,
                                      Instant now) const;
  void skipOwner(VmHandle vm, Step &step);
  void noteOwnerTimeout(VmHandle vm, Step &step);
  void noteOwnerReply(VmHandle vm);
  void retryAttempt(Request &request, bool ran, bool arrived, RefusalKind kind,
                    Step &step);
  void relayOrRetry(Request &request, const AttemptResponded &event,
                    Step &step);
  [[nodiscard]] uint32_t maxRuns(const Request &request) const;

  // Rates by the owners of workspaces (reducer_quota.cpp).
  void onPeer(VmHandle from, const QuotaRequest &message, Step &step);
  void onPeer(VmHandle from, const QuotaReply &message, Step &step);
  void onPeer(VmHandle from, const QuotaReturn &message, Step &step);
  void onPeer(VmHandle from, const QuotaClaim &message, Step &step);
  void onPeer(VmHandle from, const QuotaClaimReply &message, Step &step);
  void updateQuotaLimits(Step &step);
  void updateQuotaShares(uint32_t listed, uint32_t alive, Instant now);
  void requestQuota(Request &request, Step &step);
  void askNextOwner(Request &request, Step &step);
  [[nodiscard]] VmHandle vmOfKey(uint64_t key) const;
  [[nodiscard]] uint64_t keyOfVm(VmHandle vm) const;
  [[nodiscard]] VmHandle
  resolveReplyingOwner(uint64_t key, const Request &request, Instant now) const;
  void acquireQuota(VmHandle from, const QuotaRequest &request, Step &step);
  /// \returns how this VM sees the ownership of \p workspace. The peers are
  /// valid until the next call.
  QuotaRole quotaRole(uint64_t workspace, Instant now);
  [[nodiscard]] bool skipsOwner(uint64_t key, VmHandle owner,
                                Instant now) const;
  [[nodiscard]] bool outranksSelf(VmHandle vm, uint64_t workspace) const;
  /// Finds out whether this VM did nothing for so long that others may have
  /// taken over what it owns.
  void notePause(Instant now);
  void onQuotaReply(const QuotaReply &reply, VmHandle from, Step &step);
  void returnToken(VmHandle granter, const QuotaReturn &unused, Step &step);
  void returnUnusedToken(const Request &request, Step &step);
  void flushQuotas(Step &step);
  void admitLocally(Request &request, Step &step);
  void onQuotaTimeout(const Timer &timer, Step &step);

  // Lifecycle of this VM in the fleet (reducer_request.cpp).
  void onPresenceReplied(const PresenceReplied &event, Step &step);
  void onDrainEnd(const Timer &timer, Step &step);
  void limitToDrain(Request &request);
  void endDrainIfIdle(Step &step);
  void reportDecision(DecisionKind kind, const Request &request, Step &step,
                      Duration wait = {});

  /// Starts an admitted request; claims its idempotency record first if needed.
  void beginRun(Request &request, Step &step);

  // Configuration (reducer_config.cpp).
  template <ConfigMessage Message>
  void onPeer(VmHandle from, const Message &message, Step &step) {
    Config.onPeer(from, message, configContext(step));
    applyAdoptedConfig(step);
  }
  void onPeer(VmHandle from, const ConfigMark &message, Step &step);
  static ConfigInit configInit(const ReducerInit &init);
  ConfigContext configContext(Step &step);
  void onStoreReplied(const StoreReplied &event, Step &step);
  void onChangeProposed(const ChangeProposed &event, Step &step);
  void onAuditRequested(const AuditRequested &event, Step &step);
  void onConfigTick(Step &step);
  void applyAdoptedConfig(Step &step);
  void noteEvacuations(Step &step);

  // Shared by several handlers.
  void startAttempt(Request &request, Step &step);
  void retryOrRefuse(Request &request, RefusalKind kind, Step &step);
  void refuse(Request &request, RefusalKind kind, Step &step,
              Duration retryAfter = {});
  void closeRequest(Request &request, Step &step);
  void onDeadline(const Timer &timer, Step &step);
  [[nodiscard]] Instant nextHealthTick() const;
  void onHealthTick(Step &step);

  Limits Bounds;
  CatalogIndex Catalog;
  InstanceTable Instances;
  Membership Members;
  ConfigPart Config;
  FleetHealth Health;
  SubsetTable Subsets;
  RequestTable Requests;
  TimerHeap Timers;
  Balancer Picker;
  RecordReplica Records;
  Quarantine CrashQuarantine;
  VmIndex VmIds;
  std::vector<CopyRequest> CopyRequests;
  /// Random generator of claim tokens.
  std::mt19937_64 ClaimTokens;
  RecordReplicaId Self;
  /// See `ReducerInit`. Otherwise no request claims a record.
  bool KeepsRecords;
  bool MaintenanceArmed = false;
  RateLimiter Rates;
  /// Requests in `RequestPhase::AwaitingAdmission`, in order of arrival.
  std::vector<RequestHandle> AdmissionWaiters;
  Dispatcher Dispatch;
  QuotaTable Quotas;
  uint32_t QuotaListedVms = 0;
  uint32_t QuotaAliveVms = 0;
  /// VMs that a bucket is claimed from.
  std::array<VmHandle, 3> ClaimPeers;
  /// When the last event was handled.
  Instant LastEventAt{};
  /// Until when any owner is skipped.
  Instant LastBackoffUntil{};
  VmRegistration Presence;
  FleetKind Fleet;
  /// Instances by the hash of their name.
  std::unordered_map<uint64_t, InstanceHandle> InstanceOfKey;
  /// Time until which an unresponsive VM is not used as an owner, by VM handle.
  std::vector<Instant> BackoffUntil;
  /// Consecutive replies missed from a VM, by VM handle.
  std::vector<uint8_t> MissedReplies;
  /// Whether the slots of a departed VM were reclaimed, by VM handle.
  std::vector<bool> SlotsReclaimed;
  Instant NextFleetCheck{};
  /// Request counter that distributes requests over traffic splits.
  uint64_t SplitCounter = 0;
  ZoneHandle Zone;
  /// Whether the operator evacuates a zone, by zone handle.
  std::vector<bool> EvacuatedZones;
  bool Ready = false;
  ArrivalHold Held;
  bool Draining = false;
  Instant DrainStart{};
  /// When the last requests end, before the VM is ended by force.
  Instant DrainLimit = NeverInstant;
};

/// \returns the refusal that tells whether the request may have run, or
/// \p fallback if it has not.
RefusalKind refusalAfterFault(const Request &request, RefusalKind fallback);

/// \returns true if the request can be sent again without running a
/// non-idempotent request twice.
bool isRetrySafe(const Request &request);

} // namespace guavasail

#endif
