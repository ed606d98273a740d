/// \file
/// State of the reducer and the handlers of its events.
#ifndef GUAVASAIL_SRC_REDUCER_STATE_H
#define GUAVASAIL_SRC_REDUCER_STATE_H

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

#include <random>
#include <unordered_map>

namespace guavasail {

/// What a handler works with besides the state.
struct Step {
  Instant Now;
  EffectBuffer &Effects;
};

/// All state of one daemon's decisions. Each event type has one handler.
struct ReducerState {
  explicit ReducerState(const ReducerInit &init);

  // Catalog and life cycle (reducer.cpp).
  void onCatalogAccepted(const CatalogAccepted &event, Step &step);
  void catalogChanged(Step &step);
  void onDrainRequested(const DrainRequested &event, Step &step);
  void onLimitsChanged(const LimitsChanged &event, Step &step);
  void onTimeAdvanced(const TimeAdvanced &event, Step &step);

  // Records of non-idempotent requests (reducer_record.cpp).
  void onRecordsAssigned(const RecordsAssigned &event, Step &step);
  void onPeer(VmHandle from, const RecordClaim &message, Step &step);
  void onPeer(VmHandle from, const RecordClaimReply &message, Step &step);
  void onPeer(VmHandle from, const RecordSettle &message, Step &step);
  void onPeer(VmHandle from, const RecordCopyAsk &message, Step &step);
  void onPeer(VmHandle from, const RecordCopyPart &message, Step &step);
  void beginClaim(Request &request, const Digest &key, Step &step);
  void sendClaims(Request &request, Step &step);
  void takeClaimReply(Request &request, uint32_t position,
                      const RecordClaimReply &reply, Step &step);
  void decideClaim(Request &request, ClaimDecision decision,
                   std::string_view answer, Step &step);
  void settleClaim(Request &request, RecordState state, std::string_view answer,
                   Step &step);
  void onClaimRetry(const Timer &timer, Step &step);
  void onClaimTimeout(const Timer &timer, Step &step);
  void onRecordUpkeep(const Timer &timer, Step &step);

  // Requests that crash backend servers (reducer_quarantine.cpp).
  void onPeer(VmHandle from, const CrashReport &message, Step &step);
  void onPeer(VmHandle from, const QuarantineNotice &message, Step &step);
  void reportCrash(const Request &request, Step &step);
  void takeCrash(uint64_t fingerprint, uint64_t instance, Step &step);

  // Callers (reducer_request.cpp).
  void onRequestArrived(const RequestArrived &event, Step &step);
  void onCallerGone(const CallerGone &event, Step &step);

  // Backend servers (reducer_attempt.cpp).
  void onAttemptAnswered(const AttemptAnswered &event, Step &step);
  void onAttemptCompleted(const AttemptCompleted &event, Step &step);
  void onAttemptFailed(const AttemptFailed &event, Step &step);
  void onLaneFreed(const LaneFreed &event, Step &step);

  // Other daemons. One overload for each kind of message.
  void onPeerArrived(const PeerArrived &event, Step &step);

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
  void onPeer(VmHandle from, const TokenAsk &message, Step &step);
  void onPeer(VmHandle from, const TokenGrant &message, Step &step);
  void onShareReplied(const ShareReplied &event, Step &step);
  void acceptRates(Step &step);
  void acceptRateMembers(Step &step);
  void admitByRate(Request &request, Step &step);
  void resumeAsking(Step &step);
  void onRateTimer(const Timer &timer, Step &step);
  void flushRates(Step &step);

  // Placement by the owners of services (reducer_place.cpp).
  void onPeer(VmHandle from, const PlaceAsk &message, Step &step);
  void onPeer(VmHandle from, const PlaceReply &message, Step &step);
  void onPeer(VmHandle from, const PlaceDone &message, Step &step);
  void acceptPlaces(Step &step);
  void resignPlaces(Step &step);
  void advancePlaces(Step &step);
  void askPlace(Request &request, Step &step);
  void sendPlaceAsk(Request &request, VmHandle owner, Step &step);
  void takePlace(Request &request, VmHandle from, const PlaceReply &reply,
                 Step &step);
  void takeHedge(Request &request, VmHandle from, const PlaceReply &reply,
                 Step &step);
  void returnPlace(VmHandle from, const PlaceReply &reply, Step &step);
  void startOn(Request &request, InstanceHandle instance,
               const PlaceReply &reply, Step &step);
  void finishPlace(Request &request, PlaceOutcome outcome, Step &step);
  void cancelPlace(Request &request, Step &step);
  void flushPlaces(Step &step);
  void onPlaceTimeout(const Timer &timer, Step &step);
  void onPatience(const Timer &timer, Step &step);
  [[nodiscard]] PlaceAsk placeAskOf(const Request &request, Instant now) const;
  /// \param skip a VM that did not answer, invalid for none.
  [[nodiscard]] VmHandle taskOwner(uint64_t key, VmHandle skip,
                                   Instant now) const;
  void passOver(VmHandle vm, Step &step);
  void noteSilent(VmHandle vm, Step &step);
  void noteHeard(VmHandle vm);
  void tryAgain(Request &request, bool ran, bool arrived, RefusalKind kind,
                Step &step);
  void takeAnswer(Request &request, const AttemptAnswered &event, Step &step);
  [[nodiscard]] uint32_t mostRuns(const Request &request) const;

  // Rates by the owners of workspaces (reducer_quota.cpp).
  void onPeer(VmHandle from, const QuotaAsk &message, Step &step);
  void onPeer(VmHandle from, const QuotaReply &message, Step &step);
  void acceptQuotas(Step &step);
  void acceptQuotaMembers(uint32_t listed, uint32_t alive, Instant now);
  void askQuota(Request &request, Step &step);
  void takeQuota(const QuotaReply &reply, VmHandle from, Step &step);
  void flushQuotas(Step &step);
  void onQuotaTimeout(const Timer &timer, Step &step);

  // Life cycle of this VM in the fleet.
  void onPresenceReplied(const PresenceReplied &event, Step &step);
  void onDrainEnd(const Timer &timer, Step &step);
  void endDrainIfIdle(Step &step);
  void decided(DecisionKind kind, const Request &request, Step &step,
               Duration wait = {});

  /// Starts an admitted request: claims its record if it needs one.
  void beginRun(Request &request, Step &step);
  // Configuration (reducer_config.cpp).
  template <ConfigMessage Message>
  void onPeer(VmHandle from, const Message &message, Step &step) {
    Config.onPeer(from, message, configContext(step));
    takeConfig(step);
  }
  static ConfigInit configInit(const ReducerInit &init);
  ConfigContext configContext(Step &step);
  void onStoreReplied(const StoreReplied &event, Step &step);
  void onChangeProposed(const ChangeProposed &event, Step &step);
  void onAuditAsked(const AuditAsked &event, Step &step);
  void onConfigTick(Step &step);
  void takeConfig(Step &step);

  // Steps shared by handlers.
  void startAttempt(Request &request, Step &step);
  void retryOrRefuse(Request &request, RefusalKind kind, Step &step);
  void refuse(Request &request, RefusalKind kind, Step &step,
              Duration retryAfter = {});
  void closeRequest(Request &request, Step &step);
  void onDeadline(const Timer &timer, Step &step);
  [[nodiscard]] Instant healthDue() const;
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
  RecordBook Records;
  Quarantine Suspects;
  VmIndex VmIds;
  std::vector<CopyRequest> CopyRequests;
  /// Source of claim tokens.
  std::mt19937_64 Tokens;
  RecordHolder Self;
  bool UpkeepArmed = false;
  RatePart Rates;
  /// Requests in the phase `Asking`, in order of arrival.
  std::vector<RequestHandle> Asking;
  Dispatcher Dispatch;
  QuotaBook Quotas;
  uint32_t QuotaListed = 0;
  uint32_t QuotaAlive = 0;
  VmRegistration Presence;
  FleetKind Fleet;
  /// Instances by the hash of their names.
  std::unordered_map<uint64_t, InstanceHandle> InstanceOfKey;
  /// When a VM that did not answer may be asked again, by handle.
  std::vector<Instant> PassedOver;
  /// Answers in a row that a VM did not give, by handle.
  std::vector<uint8_t> Silences;
  /// VMs whose slots were given back since they went, by handle.
  std::vector<bool> Dropped;
  Instant NextFleetCheck{};
  /// Counts requests, to spread those of split routes.
  uint64_t SplitTurn = 0;
  ZoneHandle Zone;
  bool Ready = false;
  bool Draining = false;
  Instant DrainFrom{};
};

/// \returns the refusal that states what is known after a failed attempt.
RefusalKind refusalAfterFault(const Request &request, RefusalKind fallback);

/// \returns true if sending the request again cannot run it twice.
bool mayRepeat(const Request &request);

} // namespace guavasail

#endif
