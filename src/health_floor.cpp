#include "health_floor.h"

namespace guavasail {

namespace {

constexpr uint64_t WholePercent = 100;

/// \returns the worst item that wants out and is still in, null if none is.
FloorItem *worst(std::span<FloorItem> items) {
  FloorItem *found = nullptr;
  for (FloorItem &it : items) {
    if (!it.WantsOut || it.Out || it.Unavailable)
      continue;
    if (!found || it.Badness > found->Badness)
      found = &it;
  }
  return found;
}

} // namespace

uint32_t floorSlots(std::span<const FloorItem> items, uint32_t floorPercent) {
  uint64_t slots = 0;
  for (const FloorItem &it : items)
    slots += it.Slots;
  uint64_t scaled = slots * floorPercent + WholePercent - 1;
  return static_cast<uint32_t>(scaled / WholePercent);
}

void applyFloor(std::span<FloorItem> items, uint32_t floorPercent) {
  uint32_t floor = floorSlots(items, floorPercent);
  uint32_t left = 0;
  for (FloorItem &it : items) {
    it.Out = false;
    left += it.Unavailable ? 0 : it.Slots;
  }
  while (FloorItem *item = worst(items)) {
    if (left < floor + item->Slots)
      return;
    item->Out = true;
    left -= item->Slots;
  }
}

} // namespace guavasail
