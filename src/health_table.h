/// \file
/// Use and weight of each instance in this daemon, from verdicts, local path
/// faults, drains and leaving instances, limited by the service's floor.
#ifndef GUAVASAIL_SRC_HEALTH_TABLE_H
#define GUAVASAIL_SRC_HEALTH_TABLE_H

#include "catalog_index.h"
#include "guavasail/health.h"
#include "guavasail/peer_message.h"
#include "health_floor.h"

#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// Weight of an instance that receives its full share of requests.
inline constexpr uint32_t FullWeight = 256;

/// Health of one instance, as this daemon sees it.
struct InstanceHealth {
  VerdictState Verdict = VerdictState::Healthy;
  EjectReason Reason = EjectReason::None;
  uint8_t Level = 0;
  uint16_t Severity = 0;
  Instant Since{};
  Instant Until = NeverInstant;

  /// Consecutive connection failures, and the back-off that follows.
  uint8_t PathFailures = 0;
  uint8_t PathBackoffLevel = 0;
  Instant PathSince{};
  Instant PathUntil{};
  /// A path fault was in effect at the last update of `Use`.
  bool HasPathFault = false;

  bool Drained = false;
  bool Leaving = false;
  bool InCatalog = false;
  Instant WarmUpSince{};
  Instant WarmUpUntil{};

  /// Derived from the members above and the floor.
  UseState Use = UseState::Absent;
  uint32_t Weight = 0;

  uint64_t Outcomes = 0;
  uint64_t BadOutcomes = 0;
};

/// Health of all instances by handle. Applies the floor after each change.
class HealthTable {
public:
  /// Updates the table to a catalog; instances keep their health.
  void acceptCatalog(const CatalogIndex &catalog, Instant now);

  /// Applies a verdict on one instance.
  void applyVerdict(InstanceHandle instance, const VerdictEntry &entry,
                    Instant now);

  /// Records whether an attempt could reach the instance.
  void recordReachable(InstanceHandle instance);
  void recordUnreachable(InstanceHandle instance, Instant now);

  /// Sets or clears an operator's drain.
  void setDrained(InstanceHandle instance, bool drained, Instant now);

  /// Sets whether the instance announced its shutdown.
  void setLeaving(InstanceHandle instance, bool leaving, Instant now);

  /// Counts an outcome for `view`.
  void countOutcome(InstanceHandle instance, bool bad);

  /// Advances the states that have expired.
  void advance(Instant now);

  [[nodiscard]] std::span<const InstanceHealth> items() const { return Items; }
  [[nodiscard]] const InstanceHealth &at(InstanceHandle handle) const {
    return Items[handle.Value];
  }
  [[nodiscard]] bool contains(InstanceHandle handle) const {
    return handle.Value < Items.size();
  }

  /// \returns the health of \p instance, as shown to operators.
  [[nodiscard]] InstanceHealthView view(InstanceHandle instance) const;

private:
  struct Member {
    InstanceHandle Instance;
    uint32_t Slots = 0;
  };
  struct ServiceGroup {
    uint32_t FloorPercent = 0;
    std::vector<Member> Members;
  };

  void applyFloorToService(ServiceHandle service, Instant now);
  void updateUse(InstanceHealth &item, bool ejected, Instant now);
  void trackTransition(InstanceHandle instance);
  bool advanceInstance(InstanceHealth &item, Instant now);

  std::vector<InstanceHealth> Items;
  std::vector<ServiceHandle> Services;
  std::vector<ServiceGroup> Groups;
  /// Instances whose use or weight changes with time: with a verdict, a path
  /// fault or a warm-up.
  std::vector<InstanceHandle> InTransition;
  std::vector<bool> IsInTransition;
  std::vector<FloorItem> FloorItems;
  bool HadCatalog = false;
};

} // namespace guavasail

#endif
