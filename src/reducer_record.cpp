#include "reducer_state.h"

#include <array>
#include <cstring>

namespace guavasail {

namespace {

/// Delay after which the claim is sent again to replicas that did not reply.
constexpr Duration ClaimRetryDelay = std::chrono::milliseconds(40);
/// Time after which a claim is abandoned.
constexpr Duration ClaimAbandonTimeout = std::chrono::milliseconds(400);
/// Interval of record expiry and copying.
constexpr Duration MaintenanceInterval = std::chrono::milliseconds(100);

/// \returns the record id of idempotency key \p key in \p workspace.
Digest recordId(const Digest &key, std::string_view workspace) {
  Digest record = key;
  uint64_t mix = rendezvousKey(workspace, 0);
  uint64_t part = 0;
  for (size_t at = 0; at < record.Bytes.size(); at += sizeof(mix)) {
    std::memcpy(&part, record.Bytes.data() + at, sizeof(part));
    part ^= mix;
    std::memcpy(record.Bytes.data() + at, &part, sizeof(part));
  }
  return record;
}

/// Refusals by `ClaimDecision`. The entries of `Wait` and `Run` are unused.
constexpr std::array<RefusalKind, 7> DecisionRefusals = {
    RefusalKind::RecordsUnavailable, RefusalKind::RecordsUnavailable,
    RefusalKind::AnswerNotKept,      RefusalKind::KeyReused,
    RefusalKind::AlreadyInProgress,  RefusalKind::OutcomeUnknown,
    RefusalKind::RecordsUnavailable,
};

} // namespace

void ReducerState::onRecordsAssigned(const RecordsAssigned &event, Step &step) {
  for (uint32_t n = 0; n < event.Partitions.size(); ++n)
    Records.assign(n, event.Partitions[n], step.Now);
  if (MaintenanceArmed)
    return;
  MaintenanceArmed = true;
  Timers.arm(
      {step.Now + MaintenanceInterval, {}, TimerKind::RecordMaintenance});
}

void ReducerState::onRecordMaintenance(const Timer &, Step &step) {
  Records.expire(step.Now);
  CopyRequests.clear();
  Records.collectCopyRequests(step.Now, CopyRequests);
  for (const CopyRequest &it : CopyRequests) {
    VmHandle vm = VmIds.find(it.To, Members.view());
    if (vm.valid())
      step.Effects.push(SendPeer{vm, it.Body});
  }
  Timers.arm(
      {step.Now + MaintenanceInterval, {}, TimerKind::RecordMaintenance});
}

bool ReducerState::claimsRecord(const Request &request) const {
  return KeepsRecords && request.Repeat == Repeatability::AtMostOnce &&
         request.IdempotencyKey.present() && request.Workspace.valid();
}

void ReducerState::beginClaim(Request &request, Step &step) {
  Digest record =
      recordId(request.IdempotencyKey, Catalog.name(request.Workspace));
  const RecordAssignment &assignment =
      Records.assignment(recordPartition(record));
  if (assignment.Replicas.count() == 0)
    return refuse(request, RefusalKind::RecordsUnavailable, step);
  request.Phase = RequestPhase::Claiming;
  ClaimProgress &claim = request.Claim;
  claim.Record = record;
  claim.Fingerprint = request.Fingerprint;
  claim.Epoch = assignment.Epoch;
  claim.Replicas = assignment.Replicas;
  // Zero means no token.
  claim.Token = ClaimTokens() | 1;
  claim.Open = true;
  AttemptHandle self{request.Self, 0};
  Timers.arm({step.Now + ClaimRetryDelay, self, TimerKind::ClaimRetry});
  Timers.arm({step.Now + ClaimAbandonTimeout, self, TimerKind::ClaimTimeout});
  sendClaims(request, step);
}

void ReducerState::sendClaims(Request &request, Step &step) {
  ClaimProgress &progress = request.Claim;
  RecordClaim claim;
  claim.Record = progress.Record;
  claim.Fingerprint = progress.Fingerprint;
  claim.Epoch = progress.Epoch;
  claim.Token = progress.Token;
  claim.Request = request.Self;
  claim.RunTimeout = request.Deadline - step.Now;
  uint32_t own = RecordReplicaCount;
  for (uint32_t n = 0; n < progress.Replicas.count(); ++n) {
    uint64_t vm = progress.Replicas.Items[n].Vm;
    if ((progress.Replied >> n & 1) != 0)
      continue;
    if (vm == Self.Vm) {
      own = n;
      continue;
    }
    VmHandle to = VmIds.find(vm, Members.view());
    if (to.valid())
      step.Effects.push(SendPeer{to, claim});
  }
  if (own < RecordReplicaCount)
    handleClaimReply(request, own, Records.claim(claim, step.Now), step);
}

void ReducerState::onPeer(VmHandle from, const RecordClaim &message,
                          Step &step) {
  step.Effects.push(SendPeer{from, Records.claim(message, step.Now)});
}

void ReducerState::onPeer(VmHandle from, const RecordClaimReply &message,
                          Step &step) {
  Request *request = Requests.find(message.Request);
  bool open = request && request->Phase == RequestPhase::Claiming &&
              request->Claim.Token == message.Token;
  if (!open || from.Value >= Members.view().Vms.size())
    return;
  uint64_t vm = vmId(Members.view().at(from).Name);
  uint32_t position = request->Claim.Replicas.find(vm);
  if (position < request->Claim.Replicas.count())
    handleClaimReply(*request, position, message, step);
}

void ReducerState::handleClaimReply(Request &request, uint32_t position,
                                    const RecordClaimReply &reply, Step &step) {
  applyClaimDecision(request,
                     addVerdict(request.Claim, position, reply.Verdict),
                     reply.Response, step);
}

void ReducerState::applyClaimDecision(Request &request, ClaimDecision decision,
                                      std::string_view answer, Step &step) {
  if (decision == ClaimDecision::Wait)
    return;
  if (decision == ClaimDecision::Run) {
    request.Phase = RequestPhase::AttemptRunning;
    return startAttempt(request, step);
  }
  if (decision == ClaimDecision::Replay && !answer.empty()) {
    step.Effects.push(ReplayResponse{request.Self, std::string(answer)});
    return closeRequest(request, step);
  }
  refuse(request, DecisionRefusals[static_cast<size_t>(decision)], step);
}

void ReducerState::settleClaim(Request &request, RecordState state,
                               std::string_view answer, Step &step) {
  ClaimProgress &claim = request.Claim;
  if (!claim.Open)
    return;
  claim.Open = false;
  RecordOutcome settle{claim.Record, claim.Fingerprint, claim.Token, state,
                       std::string(answer)};
  for (uint32_t n = 0; n < claim.Replicas.count(); ++n) {
    uint64_t vm = claim.Replicas.Items[n].Vm;
    if (vm == Self.Vm) {
      Records.settle(settle, step.Now);
      continue;
    }
    VmHandle to = VmIds.find(vm, Members.view());
    if (to.valid())
      step.Effects.push(SendPeer{to, settle});
  }
}

void ReducerState::onClaimRetry(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (request && request->Phase == RequestPhase::Claiming)
    sendClaims(*request, step);
}

void ReducerState::onClaimTimeout(const Timer &timer, Step &step) {
  Request *request = Requests.find(timer.Attempt.Request);
  if (request && request->Phase == RequestPhase::Claiming)
    applyClaimDecision(*request, finalDecision(request->Claim), {}, step);
}

void ReducerState::onPeer(VmHandle, const RecordOutcome &message, Step &step) {
  Records.settle(message, step.Now);
}

void ReducerState::onPeer(VmHandle from, const RecordCopyRequest &message,
                          Step &step) {
  step.Effects.push(SendPeer{from, Records.copy(message, step.Now)});
}

void ReducerState::onPeer(VmHandle from, const RecordCopyChunk &message,
                          Step &step) {
  if (from.Value < Members.view().Vms.size())
    Records.applyCopy(vmId(Members.view().at(from).Name), message, step.Now);
}

} // namespace guavasail
