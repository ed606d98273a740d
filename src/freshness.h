/// \file
/// Decides whether this VM's configuration is recent enough to admit requests.
#ifndef GUAVASAIL_SRC_FRESHNESS_H
#define GUAVASAIL_SRC_FRESHNESS_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"
#include "guavasail/member.h"

#include <cstdint>
#include <vector>

namespace guavasail {

/// Times of the freshness rule.
struct FreshnessBounds {
  /// Within this time an accepted withdrawal stops the key everywhere.
  Duration MaxWithdrawalDelay = std::chrono::seconds(5);
  /// Left unused for clock drift and for the loop's own delay.
  Duration Margin = std::chrono::milliseconds(500);
  /// A watcher that fails to reach the store says so from this age of its
  /// mark on.
  Duration AttestFrom = std::chrono::milliseconds(2000);
  /// Statements of watchers that the store is away count. They must not where
  /// the store may serve operators while it turns all watchers away.
  bool AdmitDuringOutage = true;

  /// \returns the age at which a mark or a statement no longer counts.
  [[nodiscard]] Duration limit() const { return MaxWithdrawalDelay - Margin; }
};

/// What a VM may conclude about its configuration.
enum class FreshState : uint8_t {
  /// The store confirmed the version in force within the bound.
  Confirmed,
  /// The store is away for the fleet, so nobody can withdraw a key.
  StoreAway,
  /// A newer version exists and is not in force here.
  Behind,
  /// Neither the store nor enough of the fleet is heard.
  CutOff,
};

/// \returns true if requests may be admitted in \p state.
constexpr bool admits(FreshState state) {
  return state == FreshState::Confirmed || state == FreshState::StoreAway;
}

/// \returns true if \p vm counts as part of the fleet. A VM that was found
/// unreachable does: it may run on the other side of a cut.
inline bool listedVm(const VmEntry &vm) {
  return vm.State != VmState::Removed && vm.State != VmState::Leaving;
}

/// How much of the fleet this VM hears.
struct FleetReach {
  /// Zones with at least one VM that the platform lists.
  std::vector<ZoneHandle> Zones;
  /// More than half of the listed VMs are alive, this one included.
  bool HearsMajority = false;
};

/// Works out \p reach from the member list, using its memory again.
void measureReach(const MemberView &members, ZoneHandle self, Instant now,
                  FleetReach &reach);

/// Fresh-until marks and statements about the store. All instants are lower
/// bounds in this VM's own clock.
class Freshness {
public:
  explicit Freshness(const FreshnessBounds &bounds) : Bounds(bounds) {}

  /// Notes that at \p at no version above \p version was accepted.
  void confirm(uint64_t version, Instant at);

  /// Notes that a version is accepted, whether or not it is in force here.
  void learnVersion(uint64_t version);

  /// Notes the version in force.
  void adopt(uint64_t version);

  /// Notes that a watcher in \p zone failed to reach the store at \p at.
  void noteAway(ZoneHandle zone, Instant at);

  /// Applies the rule.
  /// \param now time of the decision.
  /// \param reach what is heard of the fleet.
  [[nodiscard]] FreshState judge(Instant now, const FleetReach &reach) const;

  /// \returns the newest mark usable with the version in force, and the
  /// version it speaks of.
  [[nodiscard]] Instant markedAt() const { return Usable.At; }
  [[nodiscard]] uint64_t markVersion() const { return Usable.Version; }

  /// \returns when \p zone was last known not to reach the store.
  [[nodiscard]] Instant awayAt(ZoneHandle zone) const;

  [[nodiscard]] const FreshnessBounds &bounds() const { return Bounds; }

private:
  struct Mark {
    uint64_t Version = 0;
    Instant At = Instant::min();
  };

  [[nodiscard]] bool recent(Instant at, Instant now) const {
    return at != Instant::min() && now - at < Bounds.limit();
  }

  FreshnessBounds Bounds;
  uint64_t InForce = 0;
  uint64_t Newest = 0;
  Mark Usable;
  /// The newest mark of a version that is not in force yet.
  Mark Ahead;
  std::vector<Instant> AwayByZone;
};

} // namespace guavasail

#endif
