/// \file
/// The operator's floor: which of the wanted ejections may take effect.
#ifndef GUAVASAIL_SRC_HEALTH_FLOOR_H
#define GUAVASAIL_SRC_HEALTH_FLOOR_H

#include <cstdint>
#include <span>

namespace guavasail {

/// One instance of a service, as the floor sees it.
struct FloorItem {
  uint32_t Slots = 0;
  /// More is worse.
  uint32_t Badness = 0;
  /// Drained by an operator or leaving: out, whatever the floor says.
  bool Unavailable = false;
  /// Ejection is wanted.
  bool WantsOut = false;
  /// Result: ejection takes effect.
  bool Out = false;
};

/// \returns the slots that ejection must leave in use.
uint32_t floorSlots(std::span<const FloorItem> items, uint32_t floorPercent);

/// Ejects the worst instances first, and stops before the slots of the
/// remaining available instances fall below the floor.
/// \param items all instances of one service; `Out` is set.
/// \param floorPercent share of all slots that must stay in use.
void applyFloor(std::span<FloorItem> items, uint32_t floorPercent);

} // namespace guavasail

#endif
