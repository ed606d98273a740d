/// \file
/// Runtime state of each instance on this VM.
#ifndef GUAVASAIL_SRC_INSTANCE_TABLE_H
#define GUAVASAIL_SRC_INSTANCE_TABLE_H

#include "guavasail/event.h"
#include "guavasail/handle.h"
#include "guavasail/limits.h"

#include <bit>
#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// What an incarnation of an instance told this VM about further requests.
struct InstanceNotice {
  /// Start time of the incarnation.
  uint64_t Started = 0;
  /// It announced its shutdown.
  bool Leaving = false;
  /// It wants no request from this VM before.
  Instant BackoffUntil{};

  /// \returns true if the incarnation that began at \p started accepts a
  /// request from this VM.
  [[nodiscard]] bool accepts(uint64_t started, Instant now) const {
    return Started != started || (!Leaving && now >= BackoffUntil);
  }
};

/// Runtime state of one instance.
struct InstanceState {
  /// Bit mask of the lanes in use.
  uint64_t BusyLanes = 0;
  /// Slots in use as reported by the instance.
  uint32_t ReportedInUse = 0;
  InstanceNotice Notice;

  /// \returns this VM's requests in progress on the instance.
  [[nodiscard]] uint32_t inFlight() const {
    return static_cast<uint32_t>(std::popcount(BusyLanes));
  }
};

/// Flat table of instance states.
class InstanceTable {
public:
  void resize(size_t count) { Items.resize(count); }

  InstanceState &at(InstanceHandle handle) { return Items[handle.Value]; }
  [[nodiscard]] const InstanceState &at(InstanceHandle handle) const {
    return Items[handle.Value];
  }

  /// \returns true if one of \p limit lanes is free.
  [[nodiscard]] bool hasFreeLane(InstanceHandle handle, uint32_t limit) const {
    return lowestFree(handle, 0) < limit;
  }

  /// Acquires the lowest free lane, which most likely has an idle connection.
  /// There must be a free lane.
  /// \param avoided bit mask of lanes that are taken only if no other one of
  /// \p limit lanes is free.
  Lane acquireLane(InstanceHandle handle, uint64_t avoided = 0,
                   uint32_t limit = MaxLanes) {
    Lane lane{lowestFree(handle, avoided)};
    if (lane.Value >= limit)
      lane.Value = lowestFree(handle, 0);
    at(handle).BusyLanes |= maskOf(lane);
    return lane;
  }

  void releaseLane(InstanceHandle handle, Lane lane) {
    at(handle).BusyLanes &= ~maskOf(lane);
  }

  /// \returns the bit mask of one lane.
  static uint64_t maskOf(Lane lane) { return uint64_t{1} << lane.Value; }

private:
  [[nodiscard]] uint32_t lowestFree(InstanceHandle handle,
                                    uint64_t avoided) const {
    uint64_t taken = at(handle).BusyLanes | avoided;
    return static_cast<uint32_t>(std::countr_one(taken));
  }

  std::vector<InstanceState> Items;
};

} // namespace guavasail

#endif
