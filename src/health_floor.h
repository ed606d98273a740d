/// \file
/// The floor on a service's capacity, which limits ejections.
#ifndef GUAVASAIL_SRC_HEALTH_FLOOR_H
#define GUAVASAIL_SRC_HEALTH_FLOOR_H

#include <cstdint>
#include <span>

namespace guavasail {

/// One instance of a service, as input and output of `applyFloor`.
struct FloorItem {
  uint32_t Slots = 0;
  /// Instances with a higher value are ejected first.
  uint32_t Severity = 0;
  /// Drained by an operator or leaving: not in use, regardless of the floor.
  bool Unavailable = false;
  /// The instance has a path fault or a verdict other than healthy.
  bool EjectionWanted = false;
  /// Result: the ejection takes effect.
  bool Ejected = false;
};

/// \returns the number of slots that ejection must leave in use.
uint32_t floorSlots(std::span<const FloorItem> items, uint32_t floorPercent);

/// Ejects instances by descending severity, and stops before the slots of the
/// remaining available instances fall below the floor.
/// \param items all instances of one service; `Ejected` is set.
/// \param floorPercent share of all slots that must stay in use.
void applyFloor(std::span<FloorItem> items, uint32_t floorPercent);

} // namespace guavasail

#endif
