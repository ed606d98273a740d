/// \file
/// Decides whether this VM's configuration is fresh enough to admit requests.
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
  /// Every VM refuses a withdrawn key within this time after the acceptance.
  Duration MaxWithdrawalDelay = std::chrono::seconds(5);
  /// Reserve for clock drift and event loop delay.
  Duration Margin = std::chrono::milliseconds(500);
  /// A watcher that cannot reach the store reports so once its mark has this
  /// age.
  Duration OutageReportAge = std::chrono::milliseconds(2000);
  /// Whether outage reports of watchers count. They must not if the store may
  /// serve operators while it refuses all watchers.
  bool AdmitDuringOutage = true;

  /// \returns the age at which a mark or an outage report expires.
  [[nodiscard]] Duration maxAge() const { return MaxWithdrawalDelay - Margin; }
};

/// Freshness of the configuration in force.
enum class FreshState : uint8_t {
  /// The store confirmed the version in force within the bound.
  Confirmed,
  /// The store is unreachable for the fleet, so nobody can withdraw a key.
  StoreAway,
  /// A newer version is known and not in force here.
  Behind,
  /// Neither the store nor enough of the fleet is reachable.
  CutOff,
};

/// \returns true if requests may be admitted in \p state.
constexpr bool admits(FreshState state) {
  return state == FreshState::Confirmed || state == FreshState::StoreAway;
}

/// \returns true if \p vm counts as part of the fleet. Unreachable VMs count:
/// they may be running on the other side of a partition.
inline bool isListed(const VmEntry &vm) {
  return vm.State != VmState::Removed && vm.State != VmState::Leaving;
}

/// The part of the fleet that this VM can reach.
struct FleetReach {
  /// Zones with at least one VM that the platform lists.
  std::vector<ZoneHandle> Zones;
  /// More than half of the listed VMs, this one included, are alive, and this
  /// VM is not suspected of being cut off itself.
  bool InMajority = false;
};

/// Computes \p reach from the member list, reusing its memory.
void measureReach(const MemberView &members, ZoneHandle self, Instant now,
                  FleetReach &reach);

/// What a reader of the store saw: at `At` the newest content was that of
/// `Version`.
struct FreshMark {
  uint64_t Version = 0;
  /// Every version from this one on has all changes accepted by `At`. A version
  /// between the two may lack one that restored the content of `Version`.
  uint64_t Revision = 0;
  Instant At = Instant::min();

  /// \returns true if \p version has all changes accepted by `At`.
  [[nodiscard]] bool covers(uint64_t version) const {
    return version == Version || version >= Revision;
  }
};

/// Holds freshness marks and outage reports. All instants are lower bounds in
/// this VM's clock.
class Freshness {
public:
  explicit Freshness(const FreshnessBounds &bounds) : Bounds(bounds) {}

  /// Adds a mark.
  void confirm(const FreshMark &mark);

  /// Records that a version was accepted, whether or not it is in force here.
  void learnVersion(uint64_t version);

  /// Sets the version in force.
  void adopt(uint64_t version);

  /// Records that a watcher in \p zone failed to reach the store at \p at.
  void noteStoreOutage(ZoneHandle zone, Instant at);

  /// Applies the freshness rule.
  /// \param now time of the decision.
  /// \param reach the reachable part of the fleet.
  [[nodiscard]] FreshState evaluate(Instant now, const FleetReach &reach) const;

  /// \returns the newest mark that covers the version in force.
  [[nodiscard]] const FreshMark &mark() const { return CurrentMark; }
  [[nodiscard]] Instant markedAt() const { return CurrentMark.At; }

  /// \returns when \p zone last failed to reach the store.
  [[nodiscard]] Instant storeOutageAt(ZoneHandle zone) const;

  [[nodiscard]] const FreshnessBounds &bounds() const { return Bounds; }

private:
  /// Marks that are kept for versions which may come into force.
  static constexpr size_t MaxMarks = 16;

  [[nodiscard]] bool recent(Instant at, Instant now) const {
    return at != Instant::min() && now - at < Bounds.maxAge();
  }

  FreshnessBounds Bounds;
  uint64_t InForce = 0;
  uint64_t Newest = 0;
  FreshMark CurrentMark;
  /// Known marks, oldest first.
  std::vector<FreshMark> Marks;
  std::vector<Instant> OutageByZone;
};

} // namespace guavasail

#endif
