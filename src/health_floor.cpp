#include "health_floor.h"

namespace guavasail {

namespace {

constexpr uint64_t WholePercent = 100;

/// \returns the worst available item whose ejection is wanted and has not taken
/// effect, or null.
FloorItem *worstCandidate(std::span<FloorItem> items) {
  FloorItem *candidate = nullptr;
  for (FloorItem &it : items) {
    if (!it.EjectionWanted || it.Ejected || it.Unavailable)
      continue;
    if (!candidate || it.Severity > candidate->Severity)
      candidate = &it;
  }
  return candidate;
}

} // namespace

uint32_t floorSlots(std::span<const FloorItem> items, uint32_t floorPercent) {
  uint64_t slots = 0;
  for (const FloorItem &it : items)
    slots += it.Slots;
  uint64_t scaledSlots = slots * floorPercent + WholePercent - 1;
  return static_cast<uint32_t>(scaledSlots / WholePercent);
}

void applyFloor(std::span<FloorItem> items, uint32_t floorPercent) {
  uint32_t floor = floorSlots(items, floorPercent);
  uint32_t slotsInUse = 0;
  for (FloorItem &it : items) {
    it.Ejected = false;
    slotsInUse += it.Unavailable ? 0 : it.Slots;
  }
  while (FloorItem *candidate = worstCandidate(items)) {
    if (slotsInUse < floor + candidate->Slots)
      return;
    candidate->Ejected = true;
    slotsInUse -= candidate->Slots;
  }
}

} // namespace guavasail
