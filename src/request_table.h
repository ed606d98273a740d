/// \file
/// Requests in progress, indexed by the handle that the front end allocated.
#ifndef GUAVASAIL_SRC_REQUEST_TABLE_H
#define GUAVASAIL_SRC_REQUEST_TABLE_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "guavasail/event.h"
#include "guavasail/handle.h"
#include "guavasail/refusal.h"
#include "record_claim.h"

#include <cstdint>
#include <vector>

namespace guavasail {

/// Progress of a request.
enum class RequestPhase : uint8_t {
  Free,
  Asking,
  Claiming,
  /// Waits for an instance.
  Placing,
  Trying,
  Relaying,
};

/// One request in progress.
struct Request {
  RequestHandle Self;
  RequestPhase Phase = RequestPhase::Free;
  Repeatability Repeat = Repeatability::AtMostOnce;
  /// True if the whole body is still held and can be sent again.
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
  /// The request came with a key.
  bool Keyed = false;
  /// The VM that was asked for an instance or a token.
  VmHandle Asked;
  /// Asks that were not answered.
  uint32_t AsksLost = 0;
  /// The VM that did not answer last.
  VmHandle Silent;
  /// The asked VM holds the request in its queue.
  bool Queued = false;
  /// A slot was granted by `Granter` and not given back.
  bool HoldsSlot = false;
  VmHandle Granter;
  /// Another instance was asked for while the attempt goes on.
  bool Hedging = false;
  /// The attempt before may have reached an instance.
  bool RepeatNext = false;
  /// Attempts that may have reached an instance.
  uint32_t Runs = 0;
  Instant AskedAt;
  LoadReport Load;
  AttemptOutcome Outcome = AttemptOutcome::Ok;
  /// The deadline passed and a last answer is waited for.
  bool Overtime = false;
  /// Hash of the method, path and body; 0 if it is not known.
  uint64_t Fingerprint = 0;
  /// Status of the answer that is relayed.
  uint32_t Status = 0;
  /// Digest of the caller's idempotency key, absent if none came.
  Digest IdempotencyKey;
  /// The claim on the request's record, if it needs one.
  ClaimProgress Claim;
};

/// Flat table of requests.
class RequestTable {
public:
  /// Starts a request. An older generation at the index is overwritten.
  Request &open(RequestHandle handle) {
    if (Items.size() <= handle.Index)
      Items.resize(handle.Index + 1);
    Request &request = Items[handle.Index];
    request = Request{};
    request.Self = handle;
    ++Open;
    return request;
  }

  /// \returns the request, or null if it ended.
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

  /// Ends a request.
  void close(Request &request) {
    request.Phase = RequestPhase::Free;
    --Open;
  }

  /// \returns the number of requests in progress.
  [[nodiscard]] uint32_t open() const { return Open; }

private:
  std::vector<Request> Items;
  uint32_t Open = 0;
};

} // namespace guavasail

#endif
