/// \file
/// Rates and bursts of workspaces, summed over all VMs. A part runs in each
/// daemon; parts exchange `TokenAsk` and `TokenGrant` messages. The sum of all
/// admissions of a workspace in any window never exceeds
/// rate x length + burst, whatever is lost, delayed, paused or replaced.
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

/// Tokens in millionths; one admission takes `WholeToken`.
using TokenAmount = int64_t;
inline constexpr TokenAmount WholeToken = 1'000'000;

/// Rates above this one count as this one.
inline constexpr uint32_t MaxRatePerSecond = 1'000'000;

/// Limit of one workspace. A rate of 0 means no limit; a burst of 0 counts as
/// 1, since otherwise nothing could ever be admitted.
struct RateLimit {
  /// Digest of the workspace's name, equal on all VMs.
  uint64_t Key = 0;
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
};

/// One VM as the rate part sees it, indexed by `VmHandle`.
struct RateMember {
  /// Digests of the VM's and the zone's name, equal on all VMs.
  uint64_t Id = 0;
  uint64_t Zone = 0;
  /// The VM is believed to answer.
  bool Usable = false;
};

/// Ways to share a rate among VMs.
enum class RateStrategyKind : uint8_t {
  /// Each VM has a fixed part of each rate.
  EvenSplit,
  /// One VM allocates a workspace's tokens; all others ask it.
  Central,
  /// As Central, but the VMs of a zone ask one VM of their zone.
  ZoneRelay,
  /// Each zone owns a fixed part and asks the other zones for more.
  ZoneShares,
};

/// Describes a rate part.
struct RateInit {
  RateStrategyKind Strategy = RateStrategyKind::EvenSplit;
  /// Number of parts of an even split; not less than the VMs of the fleet.
  uint32_t EvenSplitParts = 1;
  /// Lifetime of a grant that is kept for later requests.
  Duration GrantLife = std::chrono::seconds(2);
  /// Lifetime of a grant for requests that wait for it.
  Duration AtOnceLife = std::chrono::milliseconds(150);
  /// Longest wait of a request for tokens.
  Duration TokenWaitTimeout = std::chrono::milliseconds(25);
  /// An ask without an answer is given up after this time.
  Duration AskTimeout = std::chrono::milliseconds(40);
  /// Time for which a VM that did not answer is passed over.
  Duration PassOver = std::chrono::seconds(5);
  /// Time between housekeeping steps.
  Duration TickEvery = std::chrono::milliseconds(50);
  /// Shares, partitions, lease length, drift and identity of this run.
  OwnershipInit Shares;
};

/// What to do with a request now.
enum class AdmissionKind : uint8_t { Admit, Wait, Refuse };

/// Decision about one request. `Wait` means that tokens were asked for: decide
/// again when the workspace is among `readyWorkspaces()` or after
/// `TokenWaitTimeout`.
struct Admission {
  AdmissionKind Kind = AdmissionKind::Admit;
  /// With Refuse: when the workspace may have tokens again.
  Duration RetryAfter{};
};

/// Counters since the start.
struct RateCounts {
  uint64_t Admitted = 0;
  uint64_t Refused = 0;
  uint64_t AskedFirst = 0;
  uint64_t AsksSent = 0;
  uint64_t GrantsSent = 0;
  uint64_t ClosesSent = 0;
  uint64_t MessagesSent = 0;
};

class RateState;

/// Rate limits of one daemon. It does no input or output and reads no clock.
class RateLimiter {
public:
  explicit RateLimiter(const RateInit &init);
  ~RateLimiter();
  RateLimiter(RateLimiter &&) noexcept;
  RateLimiter &operator=(RateLimiter &&) noexcept;

  /// Takes over the limits, indexed by `WorkspaceHandle`.
  void setLimits(std::span<const RateLimit> limits, Instant now);

  /// Takes over the member list, indexed by `VmHandle`.
  void setMembers(std::span<const RateMember> members, VmHandle self,
                  Instant now);

  /// Decides about a request.
  /// \param mayAsk false if the request has waited already.
  Admission admit(WorkspaceHandle workspace, Instant now, bool mayAsk);

  /// Takes in a message of another VM.
  void onTokenRequest(VmHandle from, const TokenAsk &message, Instant now);
  void onTokenGrant(VmHandle from, const TokenGrant &message, Instant now);

  /// Does what is due.
  void advance(Instant now);

  /// \returns when `advance` is wanted next, or `NeverInstant`.
  [[nodiscard]] Instant nextWake() const;

  /// \returns workspaces whose waiting requests can be decided now.
  [[nodiscard]] std::span<const WorkspaceHandle> readyWorkspaces() const;
  void clearReadyWorkspaces();

  /// Moves pending messages into \p effects.
  void flush(EffectBuffer &effects);

  /// \returns the shares that this VM owns, and the store calls to make.
  ShareOwner &shareOwner();

  /// Gives all shares back, before the VM stops.
  void releaseAll(Instant now);

  [[nodiscard]] const RateInit &init() const;
  [[nodiscard]] const RateCounts &counts() const;

  /// \returns bytes held.
  [[nodiscard]] size_t bytes() const;

private:
  std::unique_ptr<RateState> State;
};

/// \returns a digest of \p name that is equal on all VMs.
uint64_t rateKey(std::string_view name);

/// \returns the stable name of \p strategy.
std::string_view rateStrategyName(RateStrategyKind strategy);

/// \returns \p init with the number of shares and the lease length that
/// \p strategy needs in a fleet of \p zones zones.
RateInit rateInitFor(RateStrategyKind strategy, uint32_t zones,
                     uint32_t fleetSlots, uint64_t owner);

} // namespace guavasail

#endif
