/// \file
/// Distributed rate limiting of workspaces. Each daemon runs one limiter; the
/// limiters of a fleet share each workspace's token bucket by exchanging
/// `TokenRequest` and `TokenGrant` messages. In any time window, the fleet
/// admits at most rate x window + burst requests of a workspace, even if
/// messages are lost or delayed and processes are paused, restarted or
/// replaced.
#ifndef GUAVASAIL_RATE_H
#define GUAVASAIL_RATE_H

#include "guavasail/clock.h"
#include "guavasail/effect.h"
#include "guavasail/handle.h"
#include "guavasail/ownership.h"
#include "guavasail/peer_message.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace guavasail {

/// Number of tokens in millionths. Each admission costs `WholeToken`.
using TokenAmount = int64_t;
inline constexpr TokenAmount WholeToken = 1'000'000;

/// Higher rates are clamped to this one.
inline constexpr uint32_t MaxRatePerSecond = 1'000'000;

/// Rate limit of one workspace. A rate of 0 means no limit. A burst of 0 is
/// treated as 1, since no request could be admitted otherwise.
struct RateLimit {
  /// Hash of the workspace's name (`rateKey`), equal on all VMs.
  uint64_t Key = 0;
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
};

/// A fleet member as seen by the rate limiter.
struct RateMember {
  /// Hashes that identify the VM and its zone, equal on all VMs.
  uint64_t Id = 0;
  uint64_t Zone = 0;
  /// Whether the VM is believed to be alive.
  bool Usable = false;
};

/// Strategies for sharing a workspace's rate among VMs.
enum class RateStrategyKind : uint8_t {
  /// Each VM gets a fixed part of every rate and sends no messages.
  EvenSplit,
  /// One VM owns a workspace's bucket; all others request tokens from it.
  Central,
  /// Like `Central`, but the VMs of a zone request tokens through one relay VM
  /// in their zone.
  ZoneRelay,
  /// Each zone owns a fixed share of the rate and requests more from the other
  /// zones.
  ZoneShares,
};

/// Configuration of a rate limiter.
struct RateInit {
  RateStrategyKind Strategy = RateStrategyKind::EvenSplit;
  /// Number of parts of an even split; at least the number of VMs.
  uint32_t EvenSplitParts = 1;
  /// Lifetime of a grant that is prefetched for later requests.
  Duration GrantLifetime = std::chrono::seconds(2);
  /// Lifetime of a grant for requests that already wait for it.
  Duration ImmediateGrantLifetime = std::chrono::milliseconds(150);
  /// Longest time that a request waits for tokens.
  Duration TokenWaitTimeout = std::chrono::milliseconds(25);
  /// Time after which an unanswered token request is abandoned.
  Duration TokenRequestTimeout = std::chrono::milliseconds(40);
  /// Time for which a VM that did not answer gets no token requests.
  Duration VmBackoffInterval = std::chrono::seconds(5);
  /// Time between runs of periodic cleanup.
  Duration TickInterval = std::chrono::milliseconds(50);
  /// Share ownership: partitions, lease terms, clock drift, process identity.
  OwnershipInit Ownership;
};

/// Outcome of an admission check.
enum class AdmissionKind : uint8_t { Admit, Wait, Refuse };

/// Admission decision for one request. `Wait` means that tokens have been
/// requested: call `admit` again once the workspace is in `readyWorkspaces()`,
/// or after `TokenWaitTimeout`.
struct Admission {
  AdmissionKind Kind = AdmissionKind::Admit;
  /// For `Refuse`: time until the workspace may have tokens again.
  Duration RetryAfter{};
};

/// Counters since construction.
struct RateCounts {
  uint64_t Admitted = 0;
  uint64_t Refused = 0;
  uint64_t Deferred = 0;
  uint64_t TokenRequestsSent = 0;
  uint64_t GrantsSent = 0;
  uint64_t ClosesSent = 0;
  uint64_t MessagesSent = 0;
};

class RateState;

/// Rate limiter of one daemon. Performs no I/O and reads no clock.
class RateLimiter {
public:
  explicit RateLimiter(const RateInit &init);
  ~RateLimiter();
  RateLimiter(RateLimiter &&) noexcept;
  RateLimiter &operator=(RateLimiter &&) noexcept;

  /// Replaces all limits, indexed by `WorkspaceHandle`.
  void setLimits(std::span<const RateLimit> limits, Instant now);

  /// Replaces the member list, indexed by `VmHandle`.
  void setMembers(std::span<const RateMember> members, VmHandle self,
                  Instant now);

  /// Checks a request against its workspace's limit.
  /// \param mayWait false if the request has used up its waiting time.
  Admission admit(WorkspaceHandle workspace, Instant now, bool mayWait);

  /// Handles a message from another VM.
  void onTokenRequest(VmHandle from, const TokenRequest &message, Instant now);
  void onTokenGrant(VmHandle from, const TokenGrant &message, Instant now);

  /// Runs timers that are due at \p now.
  void advance(Instant now);

  /// \returns when `advance` has to be called next, or `NeverInstant`.
  [[nodiscard]] Instant nextWake() const;

  /// \returns workspaces whose waiting requests should be checked again.
  [[nodiscard]] std::span<const WorkspaceHandle> readyWorkspaces() const;
  void clearReadyWorkspaces();

  /// Moves queued messages into \p effects.
  void flush(EffectBuffer &effects);

  /// \returns the leases of owned shares, with the pending store calls.
  ShareOwner &shareOwner();

  /// Releases all owned shares before the VM stops.
  void releaseShares(Instant now);

  [[nodiscard]] const RateInit &init() const;
  [[nodiscard]] const RateCounts &counts() const;

  /// \returns the memory in use, in bytes.
  [[nodiscard]] size_t bytes() const;

private:
  std::unique_ptr<RateState> State;
};

/// \returns the FNV-1a hash of \p name, equal on all VMs.
uint64_t rateKey(std::string_view name);

/// \returns the name of \p strategy, such as "zone-shares".
std::string_view rateStrategyName(RateStrategyKind strategy);

/// \returns a configuration with the number of shares and the lease terms for
/// \p strategy in a fleet of \p zones zones.
RateInit rateInitFor(RateStrategyKind strategy, uint32_t zones,
                     uint32_t evenSplitParts, uint64_t owner);

} // namespace guavasail

#endif
