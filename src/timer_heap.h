/// \file
/// Deadlines of requests and attempts.
#ifndef GUAVASAIL_SRC_TIMER_HEAP_H
#define GUAVASAIL_SRC_TIMER_HEAP_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace guavasail {

/// What a timer is for.
enum class TimerKind : uint8_t {
  RequestDeadline,
  ClaimRetry,
  ClaimTimeout,
  RecordUpkeep,
  RateDecision,
  /// No answer to a `PlacementRequest`.
  PlaceTimeout,
  /// An answer of an instance is unusually late.
  AttemptPatience,
  /// No answer to a `QuotaRequest`.
  QuotaTimeout,
  /// A draining VM takes no more requests.
  DrainEnd,
};

/// One armed timer. A timer of a finished request is ignored when it fires.
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
    std::push_heap(Items.begin(), Items.end(), later);
  }

  /// \returns when the next timer is due, or `NeverInstant`.
  [[nodiscard]] Instant nextDue() const {
    return Items.empty() ? NeverInstant : Items.front().Due;
  }

  /// Removes the next timer. There must be one.
  Timer pop() {
    std::pop_heap(Items.begin(), Items.end(), later);
    Timer timer = Items.back();
    Items.pop_back();
    return timer;
  }

private:
  static bool later(const Timer &left, const Timer &right) {
    return left.Due > right.Due;
  }

  std::vector<Timer> Items;
};

} // namespace guavasail

#endif
