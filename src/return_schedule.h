/// \file
/// Times at which refused callers are told to retry.
#ifndef GUAVASAIL_SRC_RETURN_SCHEDULE_H
#define GUAVASAIL_SRC_RETURN_SCHEDULE_H

#include "guavasail/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavasail {

/// A refused request whose caller may retry.
struct ReturnRequest {
  /// Time until the caller's deadline.
  Duration Remaining{};
  /// Estimated time until the queue would admit the request.
  Duration Wait{};
  /// 0 is the highest.
  uint32_t Rank = 0;
  /// The request could still meet its objective.
  bool MeetsObjective = false;
};

/// Books the retries of refused callers of one service into capacity that is
/// expected to be free: what the service can run less the requests that arrive
/// without having been refused before.
class ReturnSchedule {
public:
  static constexpr Duration SlotLength = std::chrono::milliseconds(50);
  /// Longest time that a caller is told.
  static constexpr Duration MaxReturn = std::chrono::seconds(3);
  /// Shortest time that a caller is told, unless a sixth of its remaining time
  /// is less.
  static constexpr Duration MinReturn = std::chrono::milliseconds(20);

  /// Counts a request that arrived, first or returning.
  void noteArrival(Instant now);

  /// Books the retry of a refused caller.
  /// \param perSecond requests that the service can run in a second.
  /// \returns the time after which the caller may retry, at most a third of
  /// its remaining time.
  Duration book(const ReturnRequest &request, double perSecond, Instant now);

private:
  /// Slots from the present one to the last one that can be booked.
  static constexpr uint64_t SlotCount = MaxReturn / SlotLength + 4;

  void advance(Instant now);
  [[nodiscard]] double freePerSlot(const ReturnRequest &request,
                                   double perSecond) const;
  uint64_t bookSlot(uint64_t first, uint64_t end, double perSlot);
  double &booked(uint64_t slot) { return Booked[slot % SlotCount]; }

  /// Returns booked for each slot, by its number modulo `SlotCount`. A return
  /// takes parts of several slots if a slot has capacity for less than one.
  std::array<double, SlotCount> Booked{};
  /// Number of the present slot since the clock's epoch.
  uint64_t Present = 0;
  /// Requests that arrived in the present slot.
  double Arrived = 0;
  /// Moving average of the arrivals per slot that were not booked.
  double FirstArrivals = 0;
  /// Returns booked so far.
  uint64_t Bookings = 0;
};

} // namespace guavasail

#endif
