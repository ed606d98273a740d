/// \file
/// Requests in progress, indexed by the handle that the front end allocates.
#ifndef GUAVASAIL_SRC_REQUEST_TABLE_H
#define GUAVASAIL_SRC_REQUEST_TABLE_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "guavasail/event.h"
#include "guavasail/handle.h"
#include "guavasail/refusal.h"
#include "instance_table.h"
#include "record_claim.h"

#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// Processing phase of a request.
enum class RequestPhase : uint8_t {
  Free,
  /// Waits for the rate limit's decision.
  AwaitingAdmission,
  /// Waits for the replicas of its idempotency record.
  Claiming,
  /// Waits for an instance.
  AwaitingInstance,
  AttemptRunning,
  /// A response is being relayed to the caller.
  Relaying,
};

/// A connection that carried an attempt and its answer.
struct LaneUse {
  InstanceHandle Instance;
  Lane Number;
};

/// One request in progress.
struct Request {
  RequestHandle Self;
  RequestPhase Phase = RequestPhase::Free;
  Repeatability Repeat = Repeatability::AtMostOnce;
  /// True if the whole body is buffered and can be sent again.
  bool BodyReplayable = true;
  /// True once any attempt may have reached a backend server.
  bool MayHaveRun = false;
  /// Number of attempts started.
  uint32_t Attempts = 0;
  RouteHandle Route;
  WorkspaceHandle Workspace;
  Instant Arrived;
  Instant Deadline;
  /// The attempt in progress.
  AttemptHandle Current;
  InstanceHandle Instance;
  Instant AttemptStarted;
  /// One of the route's services.
  ServiceHandle Service;
  /// The request has a key.
  bool Keyed = false;
  /// Owner VM that was asked for an instance or a rate decision.
  VmHandle AskedVm;
  /// Holds a rate token granted by `TokenGranter`.
  bool HoldsToken = false;
  VmHandle TokenGranter;
  /// No owner replied, and this VM's local share had room.
  bool AdmittedLocally = false;
  /// Owners that did not reply or refused ownership.
  uint32_t OwnerFailures = 0;
  /// Those of them that did not reply, and the last one.
  uint32_t OwnerTimeouts = 0;
  VmHandle SilentOwner;
  /// VM that is said to hold the workspace's bucket.
  VmHandle RateHolder;
  /// Local requests of which the owner that was asked for a token is told.
  uint32_t LocalSpentTold = 0;
  /// VM that most recently did not reply.
  VmHandle UnresponsiveVm;
  /// The owner has the request in its queue.
  bool Queued = false;
  /// Holds a slot granted by `Granter`.
  bool HoldsSlot = false;
  VmHandle Granter;
  /// Another instance was requested while the attempt continues.
  bool Hedging = false;
  /// The previous attempt may have reached an instance.
  bool PreviousMayHaveRun = false;
  /// Attempts that may have reached an instance.
  uint32_t PossibleRuns = 0;
  /// When the owner was asked last, or confirmed that it queues the request.
  Instant LastAskedAt{};
  Instant AskedAt;
  LoadReport Load;
  AttemptOutcome Outcome = AttemptOutcome::Ok;
  /// The deadline has passed, but a response is still accepted.
  bool InDeadlineGrace = false;
  /// Hash of the method, path and body; 0 if unknown.
  uint64_t Fingerprint = 0;
  /// Status of the relayed response.
  uint32_t Status = 0;
  /// Digest of the caller's idempotency key, absent if the request has none.
  Digest IdempotencyKey;
  /// Claim on the request's idempotency record, if it needs one.
  ClaimProgress Claim;
  /// Connection of the attempt in progress.
  Lane CurrentLane;
  /// Connections of the attempts that were answered before. An instance may
  /// repeat its answer there, and nothing tells the copy from the answer to
  /// another attempt of the same request.
  std::vector<LaneUse> UsedLanes;

  /// \returns a bit mask of the lanes to \p instance that carried an attempt.
  [[nodiscard]] uint64_t usedLanes(InstanceHandle instance) const {
    uint64_t mask = 0;
    for (const LaneUse &it : UsedLanes)
      if (it.Instance == instance)
        mask |= InstanceTable::maskOf(it.Number);
    return mask;
  }
};

/// Flat table of requests.
class RequestTable {
public:
  /// Adds a request and overwrites an older generation at its index.
  Request &open(RequestHandle handle) {
    if (Items.size() <= handle.Index)
      Items.resize(handle.Index + 1);
    Request &request = Items[handle.Index];
    request = Request{};
    request.Self = handle;
    ++Open;
    return request;
  }

  /// \returns the request, or null if it has ended.
  Request *find(RequestHandle handle) {
    if (handle.Index >= Items.size())
      return nullptr;
    Request &request = Items[handle.Index];
    bool live = request.Phase != RequestPhase::Free && request.Self == handle;
    return live ? &request : nullptr;
  }

  /// \returns the request of \p attempt if that attempt is the current one.
  Request *findCurrent(AttemptHandle attempt) {
    Request *request = find(attempt.Request);
    return request && request->Current == attempt ? request : nullptr;
  }

  /// Removes a request.
  void close(Request &request) {
    request.Phase = RequestPhase::Free;
    --Open;
  }

  /// \returns all requests; those that ended are in phase `Free`.
  [[nodiscard]] std::span<Request> items() { return Items; }

  /// \returns the number of requests in progress.
  [[nodiscard]] uint32_t open() const { return Open; }

private:
  std::vector<Request> Items;
  uint32_t Open = 0;
};

} // namespace guavasail

#endif
