/// \file
/// Timers of requests and of recurring work, in a binary heap.
#ifndef GUAVASAIL_SRC_TIMER_HEAP_H
#define GUAVASAIL_SRC_TIMER_HEAP_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace guavasail {

/// Purpose of a timer; selects its handler.
enum class TimerKind : uint8_t {
  RequestDeadline,
  ClaimRetry,
  ClaimTimeout,
  RecordMaintenance,
  RateDecision,
  /// No reply to a `PlacementRequest`.
  PlaceTimeout,
  /// A response is unusually late; another instance is requested.
  HedgeDelay,
  /// No reply to a `QuotaRequest`.
  QuotaTimeout,
  /// A draining VM stops accepting requests.
  DrainEnd,
};

/// An armed timer. Timers of finished requests stay armed; their handlers
/// ignore them.
struct Timer {
  Instant Due;
  AttemptHandle Attempt;
  TimerKind Kind = TimerKind::RequestDeadline;
};

/// Timers ordered by due time.
class TimerHeap {
public:
  /// Arms \p timer.
  void arm(const Timer &timer) {
    Items.push_back(timer);
    std::push_heap(Items.begin(), Items.end(), isLater);
  }

  /// \returns when the next timer is due, or `NeverInstant`.
  [[nodiscard]] Instant nextDue() const {
    return Items.empty() ? NeverInstant : Items.front().Due;
  }

  /// Removes and returns the next timer. The heap must not be empty.
  Timer pop() {
    std::pop_heap(Items.begin(), Items.end(), isLater);
    Timer timer = Items.back();
    Items.pop_back();
    return timer;
  }

private:
  static bool isLater(const Timer &left, const Timer &right) {
    return left.Due > right.Due;
  }

  std::vector<Timer> Items;
};

} // namespace guavasail

#endif
