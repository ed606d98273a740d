/// \file
/// Messages and options of request placement. One VM, the owner of a service,
/// places all requests of that service on instances. It sees every request in
/// progress, so it neither overloads an instance nor leaves one idle while
/// requests wait.
#ifndef GUAVASAIL_DISPATCH_H
#define GUAVASAIL_DISPATCH_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <string_view>

namespace guavasail {

/// Load balancing policies for instances with a free slot.
enum class PlacementKind : uint8_t {
  /// Uniformly random; the baseline for comparisons.
  Random,
  /// The least loaded instance of any zone.
  LeastLoaded,
  /// The instance with the lowest cost, computed from its load, its latency,
  /// its recent failures and whether it is in the requesting VM's zone.
  Weighed,
  /// As `Weighed`; while many requests of the service fail, instances without
  /// a recent request cost less, so that no healthy one is left out.
  Spread,
  /// The least expected completion time. Zones and connections count while the
  /// instance is no fuller than the mean. As `Spread` while many requests fail.
  Even,
  /// The better of two random instances, for VMs that decide independently.
  TwoRandom,
};

/// How long ejected instances get no request.
enum class EjectionKind : uint8_t {
  /// A fixed time; the baseline for comparisons.
  Fixed,
  /// Longer if probes after the fixed time failed lately, unless many requests
  /// of the service fail.
  Learned,
};

/// Queueing disciplines for waiting requests.
enum class QueueKind : uint8_t {
  /// First in, first out; the baseline for comparisons.
  Arrival,
  /// Requests that can still meet their latency objective go first; then by
  /// rank, by the workspace that was served least lately, and by arrival.
  Useful,
};

/// Options of one VM's dispatcher.
struct DispatchInit {
  PlacementKind Placement = PlacementKind::Spread;
  EjectionKind Ejection = EjectionKind::Learned;
  QueueKind Queue = QueueKind::Useful;
  /// Retries allowed for a service within `RetryWindow`: a percentage of its
  /// requests plus a fixed number.
  uint32_t RetryPercent = 20;
  uint32_t RetrySlack = 25;
  Duration RetryWindow = std::chrono::seconds(10);
  /// Requests that a cold instance may get in any second, over all VMs: a
  /// multiple of its service's warm-up rate plus a fixed number. A multiple of
  /// 0 means no limit.
  double WarmupOvershoot = 0;
  uint32_t WarmupSlack = 0;
  uint64_t Seed = 1;
};

/// Decision on a `PlacementRequest`.
enum class PlacementVerdict : uint8_t {
  Granted,
  /// The request waits for a slot; another reply follows.
  Queued,
  /// The request cannot be served in time.
  Overloaded,
  /// Several instances in a row were lost while running the request.
  Quarantined,
  /// The service's retry budget is exhausted.
  BudgetSpent,
  /// The receiver does not place requests of the service.
  NotOwner,
};

/// Result of an attempt on a granted slot.
enum class AttemptOutcome : uint8_t {
  /// The instance responded.
  Ok,
  /// The instance responded with a server error.
  Error,
  /// The connection broke or the response was malformed.
  Fault,
  /// No response came in time.
  TimedOut,
  /// The connection to the instance failed; it did not run the request.
  Unreachable,
  /// The instance refused the request because it was full.
  Shed,
  /// The caller disconnected.
  Cancelled,
  /// The slot was not used.
  Unused,
};

/// \returns the stable name of \p outcome.
std::string_view attemptOutcomeName(AttemptOutcome outcome);

/// Requests a slot on an instance. A request that is sent again with the same
/// `Request` and `Ordinal` keeps its place in the queue.
struct PlacementRequest {
  /// Hash of the service's name.
  uint64_t Service = 0;
  RequestHandle Request;
  /// Number of the attempt, starting at 1.
  uint32_t Ordinal = 0;
  /// Hash of the workspace's name; 0 if there is none.
  uint64_t Workspace = 0;
  uint64_t Fingerprint = 0;
  /// Instance of the previous attempt, by the hash of its name.
  uint64_t Avoid = 0;
  uint32_t Rank = 0;
  /// An earlier attempt may have reached an instance.
  bool Retry = false;
  bool Idempotent = false;
  /// The body or the response is expected to be large.
  bool Large = false;
  /// Time until the deadline, and until the latency objective is missed.
  Duration Remaining{};
  Duration ObjectiveRemaining{};
};

/// Reply to a `PlacementRequest`.
struct PlacementReply {
  RequestHandle Request;
  uint32_t Ordinal = 0;
  PlacementVerdict Verdict = PlacementVerdict::NotOwner;
  /// Granted instance, by the hash of its name.
  uint64_t Instance = 0;
  /// Time after which the caller may retry.
  Duration RetryAfter{};
  /// Time without a response after which the request may be hedged.
  Duration HedgeDelay{};
};

/// Releases a granted slot, or removes a request from the queue.
struct PlacementRelease {
  uint64_t Service = 0;
  RequestHandle Request;
  uint32_t Ordinal = 0;
  /// Granted instance, by the hash of its name; 0 if none was granted.
  uint64_t Instance = 0;
  AttemptOutcome Outcome = AttemptOutcome::Unused;
  Duration Elapsed{};
  uint64_t Fingerprint = 0;
  /// Load reported by the instance, if `LoadKnown`.
  bool LoadKnown = false;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  /// Start time of the incarnation to which `Leaving` and `Backoff` apply.
  uint64_t InstanceStarted = 0;
  /// The instance announced its shutdown to the sender.
  bool Leaving = false;
  /// Time for which the instance wants no request from the sender.
  Duration Backoff{};
};

/// The level of a bucket that the sender does not hold.
inline constexpr int64_t UnknownQuotaLevel = INT64_MIN;

/// Asks the owner of a workspace's rate limit to admit one request.
struct QuotaRequest {
  /// Hash of the workspace's name.
  uint64_t Workspace = 0;
  RequestHandle Request;
  /// A VM that goes before the receiver did not serve the sender.
  bool Failover = false;
  /// Requests that the sender admitted without an owner and has not told yet.
  uint32_t LocalSpent = 0;
  /// The newest level of the bucket that the sender knows, in millionths of a
  /// token, and the age of this knowledge; `Duration::max()` if unknown.
  int64_t KnownLevel = 0;
  Duration KnownAge = Duration::max();
};

enum class QuotaVerdict : uint8_t { Admitted, Refused, NotOwner };

struct QuotaReply {
  /// Copied from the request.
  uint64_t Workspace = 0;
  RequestHandle Request;
  QuotaVerdict Verdict = QuotaVerdict::NotOwner;
  /// When the caller may come back; with `NotOwner` the time for which the
  /// sender owns nothing, zero if another VM owns just this workspace.
  Duration RetryAfter{};
  /// Tokens that are left, in millionths; negative if more was spent.
  int64_t Level = UnknownQuotaLevel;
  /// With `NotOwner`: hash of the name of the VM that claimed the bucket; 0 if
  /// unknown.
  uint64_t Holder = 0;
};

/// Claims the bucket of a workspace from a VM that may hold it.
struct QuotaClaim {
  /// Hash of the workspace's name.
  uint64_t Workspace = 0;
  /// Identifies the claim among those of the sender.
  uint64_t Serial = 0;
  /// Callers do not reach a VM that goes before the sender.
  bool Failover = false;
};

enum class QuotaClaimVerdict : uint8_t {
  /// The receiver does not hold the bucket.
  Idle,
  /// The receiver held the bucket and no longer uses it.
  Yielded,
  /// The receiver holds the bucket, or claims it itself.
  Kept,
};

struct QuotaClaimReply {
  /// Copied from the claim.
  uint64_t Workspace = 0;
  uint64_t Serial = 0;
  QuotaClaimVerdict Verdict = QuotaClaimVerdict::Idle;
  /// Tokens of a yielded bucket, in millionths; negative if more was spent.
  int64_t Level = 0;
  /// Time for which the receiver knows that nobody used the bucket.
  Duration IdleFor{};
  /// Hash of the name of the VM that claimed the bucket before; 0 if unknown.
  uint64_t Holder = 0;
};

/// Returns the token of an admitted request that no instance has run. The rate
/// limit counts requests that run.
struct QuotaReturn {
  /// Hash of the workspace's name.
  uint64_t Workspace = 0;
  RequestHandle Request;
};

} // namespace guavasail

#endif
