/// \file
/// Monotonic time of the reducer, which is passed in with each event.
#ifndef GUAVASAIL_CLOCK_H
#define GUAVASAIL_CLOCK_H

#include <chrono>

namespace guavasail {

/// A time span in microseconds.
using Duration = std::chrono::microseconds;

/// Tag type of a monotonic clock that also runs while the VM is paused. It has
/// no `now()`: only the code around the reducer reads a clock.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time, in microseconds since an arbitrary origin.
using Instant = BootClock::time_point;

/// The due time of a timer that never fires.
inline constexpr Instant NeverInstant = Instant::max();

} // namespace guavasail

#endif
