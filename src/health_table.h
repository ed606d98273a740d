/// \file
/// What this daemon uses each instance for: verdicts, its own path faults,
/// operators' drains and leaving instances, under the operator's floor.
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

/// Weight of an instance that gets its usual share of requests.
inline constexpr uint32_t FullWeight = 256;

/// Health of one instance in this daemon's view.
struct InstanceHealth {
  VerdictState Verdict = VerdictState::Healthy;
  EjectReason Reason = EjectReason::None;
  uint8_t Level = 0;
  uint16_t Badness = 0;
  Instant Since{};
  Instant Until = NeverInstant;

  /// Failed connections in a row, and how long to go around the instance.
  uint8_t PathFailures = 0;
  uint8_t PathLevel = 0;
  Instant PathSince{};
  Instant PathUntil{};
  /// The path fault is the reason of the present use.
  bool Detour = false;

  bool Drained = false;
  bool Leaving = false;
  bool Known = false;
  Instant ColdSince{};
  Instant ColdUntil{};

  /// Result of all the above.
  UseState Use = UseState::Absent;
  uint32_t Weight = 0;

  uint64_t Outcomes = 0;
  uint64_t BadOutcomes = 0;
};

/// Flat table of instance health. The floor is kept after each change.
class HealthTable {
public:
  /// Takes over a catalog; instances keep what is known of them.
  void acceptCatalog(const CatalogIndex &catalog, Instant now);

  /// Applies a verdict on one instance.
  void applyVerdict(InstanceHandle instance, const VerdictEntry &entry,
                    Instant now);

  /// Notes that an attempt reached the instance, or could not.
  void noteReached(InstanceHandle instance);
  void noteUnreachable(InstanceHandle instance, Instant now);

  /// Operators' drain of one instance.
  void setDrained(InstanceHandle instance, bool drained, Instant now);

  /// The instance's own word that it is leaving.
  void setLeaving(InstanceHandle instance, bool leaving, Instant now);

  /// Counts an outcome for the operators' view.
  void count(InstanceHandle instance, bool bad);

  /// Advances the states whose time is over.
  void advance(Instant now);

  [[nodiscard]] std::span<const InstanceHealth> items() const { return Items; }
  [[nodiscard]] const InstanceHealth &at(InstanceHandle handle) const {
    return Items[handle.Value];
  }
  [[nodiscard]] bool known(InstanceHandle handle) const {
    return handle.Value < Items.size();
  }

  /// \returns what operators read about \p instance.
  [[nodiscard]] InstanceHealthView view(InstanceHandle instance) const;

private:
  struct Member {
    InstanceHandle Instance;
    uint32_t Slots = 0;
  };
  struct Group {
    uint32_t FloorPercent = 0;
    std::vector<Member> Members;
  };

  void refresh(ServiceHandle service, Instant now);
  void settle(InstanceHealth &item, bool out, Instant now);
  void noteUnwell(InstanceHandle instance);
  bool advanceOne(InstanceHealth &item, Instant now);

  std::vector<InstanceHealth> Items;
  std::vector<ServiceHandle> Services;
  std::vector<Group> Groups;
  /// Instances that are not plainly in use.
  std::vector<InstanceHandle> Unwell;
  std::vector<bool> IsUnwell;
  std::vector<FloorItem> Scratch;
  bool HadCatalog = false;
};

} // namespace guavasail

#endif
