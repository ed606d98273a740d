#include "return_schedule.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>

namespace guavasail {

namespace {

/// Callers wait for at most this part of their remaining time.
constexpr int64_t MaxRemainingPart = 3;
/// Part of the capacity that is offered to returning callers also if arriving
/// requests need all of it: some of these are refused in their favour.
constexpr double MinFreeShare = 0.1;
/// Part of the free capacity that is kept for callers of the next higher rank,
/// and up to which rank.
constexpr double ReservedPerRank = 0.15;
constexpr uint32_t MaxReservingRank = 3;
/// Part that is kept for callers that can still meet their objective.
constexpr double ReservedForObjective = 0.25;
/// Weight of a slot in the average of arrivals: half a second.
constexpr double ArrivalWeight = 0.1;
/// Free capacity below this part of a return counts as none.
constexpr double MinFree = 1e-6;
/// Multiples of the golden ratio, modulo 1, are spread evenly however many
/// there are.
constexpr double GoldenRatio = 0.6180339887498949;

uint64_t slotOf(Instant time) {
  return static_cast<uint64_t>(time.time_since_epoch() /
                               ReturnSchedule::SlotLength);
}

Instant startOf(uint64_t slot) {
  return Instant(ReturnSchedule::SlotLength * static_cast<int64_t>(slot));
}

} // namespace

void ReturnSchedule::advance(Instant now) {
  uint64_t slot = slotOf(now);
  if (slot > Present + SlotCount) {
    *this = {};
    Present = slot;
  }
  for (; Present < slot; ++Present) {
    double first = std::max(Arrived - booked(Present), 0.0);
    FirstArrivals += (first - FirstArrivals) * ArrivalWeight;
    booked(Present) = 0;
    Arrived = 0;
  }
}

void ReturnSchedule::noteArrival(Instant now) {
  advance(now);
  Arrived += 1;
}

double ReturnSchedule::freePerSlot(const ReturnRequest &request,
                                   double perSecond) const {
  double capacity = perSecond * inSeconds(SlotLength);
  double free = std::max(capacity - FirstArrivals, capacity * MinFreeShare);
  double reserved = ReservedPerRank * std::min(request.Rank, MaxReservingRank) +
                    (request.MeetsObjective ? 0 : ReservedForObjective);
  return free * (1 - reserved);
}

/// \returns the first slot from \p first to \p end with free capacity, or the
/// least booked one if there is none.
uint64_t ReturnSchedule::bookSlot(uint64_t first, uint64_t end,
                                  double perSlot) {
  uint64_t least = first;
  uint64_t slot = first;
  for (; slot < end && booked(slot) + MinFree >= perSlot; ++slot)
    if (booked(slot) < booked(least))
      least = slot;
  if (slot == end) {
    booked(least) += 1;
    return least;
  }
  double left = 1;
  for (uint64_t n = slot; n < end && left > 0; ++n) {
    double part = std::clamp(perSlot - booked(n), 0.0, left);
    booked(n) += part;
    left -= part;
  }
  booked(slot) += left;
  return slot;
}

Duration ReturnSchedule::book(const ReturnRequest &request, double perSecond,
                              Instant now) {
  advance(now);
  if (request.Remaining <= Duration::zero())
    return MinReturn;
  Duration latest = std::min(request.Remaining / MaxRemainingPart, MaxReturn);
  Duration earliest =
      std::clamp(request.Wait, std::min(MinReturn, latest / 2), latest / 2);
  double part = static_cast<double>(++Bookings) * GoldenRatio;
  part -= std::floor(part);
  uint64_t first = slotOf(now + earliest) + 1;
  uint64_t end = slotOf(now + latest);
  if (first >= end) {
    Duration time = earliest + scaled(latest - earliest, part);
    booked(slotOf(now + time)) += 1;
    return time;
  }
  uint64_t slot = bookSlot(first, end, freePerSlot(request, perSecond));
  return startOf(slot) + scaled(SlotLength, part) - now;
}

} // namespace guavasail
