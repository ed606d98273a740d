/// \file
/// Placement of requests on instances by one VM for each service: the owner
/// sees all of the service's requests in progress, so it neither overfills an
/// instance nor leaves one idle while requests wait.
#ifndef GUAVASAIL_DISPATCH_H
#define GUAVASAIL_DISPATCH_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <string_view>

namespace guavasail {

/// Ways to choose among instances with a free slot.
enum class PlacementKind : uint8_t {
  /// Baseline: plain random.
  Random,
  /// The least loaded one, wherever it is.
  LeastLoaded,
  /// The least loaded one, weighed with its speed, its recent failures and
  /// the distance from the asking VM.
  Weighed,
};

/// Ways to order waiting requests.
enum class QueueKind : uint8_t {
  /// Baseline: in order of arrival.
  Arrival,
  /// Requests whose objective can still be met first; then by rank, then the
  /// workspace that was served least, then by arrival.
  Useful,
};

/// Bounds of one VM's dispatcher.
struct DispatchInit {
  PlacementKind Placement = PlacementKind::Weighed;
  QueueKind Queue = QueueKind::Useful;
  /// Repeats that a service gets in `RetryWindow`: a share of its requests in
  /// percent, and a fixed number.
  uint32_t RetryPercent = 20;
  uint32_t RetrySlack = 10;
  Duration RetryWindow = std::chrono::seconds(10);
  uint64_t Seed = 1;
};

/// Answer to a `PlacementRequest`.
enum class PlacementVerdict : uint8_t {
  Granted,
  /// The request waits for a slot; the answer comes later.
  Queued,
  /// The request cannot be served in time.
  Overloaded,
  /// The request crashes instances.
  Quarantined,
  /// The service's repeats are used up.
  BudgetSpent,
  /// The asked VM does not place requests of the service.
  NotOwner,
};

/// How the use of a granted slot ended.
enum class AttemptOutcome : uint8_t {
  /// The instance answered.
  Ok,
  /// The instance answered that it failed.
  Error,
  /// The connection broke or the answer made no sense.
  Fault,
  /// No answer came in time.
  TimedOut,
  /// The instance could not be reached; it did not run the request.
  Unreachable,
  /// The instance refused the request for lack of room.
  Shed,
  /// The caller went away.
  Cancelled,
  /// The slot was not used.
  Unused,
};

/// \returns the stable name of \p outcome.
std::string_view attemptOutcomeName(AttemptOutcome outcome);

/// Asks for a slot. Asking again with the same `Request` and `Ordinal` renews
/// the place in the queue.
struct PlacementRequest {
  /// Hash of the service's name.
  uint64_t Service = 0;
  RequestHandle Request;
  /// Number of the attempt, from 1.
  uint32_t Ordinal = 0;
  /// Hash of the workspace's name; 0 if there is none.
  uint64_t Workspace = 0;
  uint64_t Fingerprint = 0;
  /// Instance of the attempt before, by the hash of its name.
  uint64_t Avoid = 0;
  uint32_t Rank = 0;
  /// An earlier attempt may have reached an instance.
  bool Retry = false;
  bool Idempotent = false;
  /// The answer is large.
  bool Large = false;
  /// Time left for the request, and until its objective is missed.
  Duration Remaining{};
  Duration ObjectiveRemaining{};
};

struct PlacementReply {
  RequestHandle Request;
  uint32_t Ordinal = 0;
  PlacementVerdict Verdict = PlacementVerdict::NotOwner;
  /// Granted instance, by the hash of its name.
  uint64_t Instance = 0;
  /// When the caller may come again.
  Duration RetryAfter{};
  /// Time after which an answer is unusually late.
  Duration HedgeDelay{};
};

/// Gives a granted slot back, or a place in the queue.
struct PlacementRelease {
  uint64_t Service = 0;
  RequestHandle Request;
  uint32_t Ordinal = 0;
  /// Instance that was used, by the hash of its name; 0 if none was granted.
  uint64_t Instance = 0;
  AttemptOutcome Outcome = AttemptOutcome::Unused;
  Duration Elapsed{};
  uint64_t Fingerprint = 0;
  /// The instance's own report, if it gave one.
  bool LoadKnown = false;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
};

/// Asks for one request of a workspace's rate.
struct QuotaRequest {
  /// Hash of the workspace's name.
  uint64_t Workspace = 0;
  RequestHandle Request;
};

enum class QuotaVerdict : uint8_t { Admitted, Refused, NotOwner };

struct QuotaReply {
  RequestHandle Request;
  QuotaVerdict Verdict = QuotaVerdict::NotOwner;
  Duration RetryAfter{};
};

} // namespace guavasail

#endif
