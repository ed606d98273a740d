/// \file
/// Monotonic time as seen by the decisions. Values come in with each event.
#ifndef GUAVASAIL_CLOCK_H
#define GUAVASAIL_CLOCK_H

#include <chrono>

namespace guavasail {

/// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Tags instants of a monotonic clock that also runs while the VM is paused.
/// It has no `now()`: only the process shell reads a clock.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time, in microseconds since an arbitrary origin.
using Instant = BootClock::time_point;

/// An instant that no timer reaches.
inline constexpr Instant NeverInstant = Instant::max();

} // namespace guavasail

#endif
