/// \file
/// Floating-point arithmetic on durations.
#ifndef GUAVASAIL_SRC_DURATION_MATH_H
#define GUAVASAIL_SRC_DURATION_MATH_H

#include "guavasail/clock.h"

#include <cstdint>

namespace guavasail {

/// \returns \p time times \p factor, truncated to microseconds.
inline Duration scaled(Duration time, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

/// \returns \p time in seconds.
inline double inSeconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

} // namespace guavasail

#endif
