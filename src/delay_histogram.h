/// \file
/// Counts delays in fixed buckets, for the metrics.
#ifndef GUAVASAIL_SRC_DELAY_HISTOGRAM_H
#define GUAVASAIL_SRC_DELAY_HISTOGRAM_H

#include "guavasail/clock.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace guavasail {

/// Histogram of delays between milliseconds and seconds.
class DelayHistogram {
public:
  /// Upper bounds of the buckets, in milliseconds; the last bucket has none.
  static constexpr auto BoundsMillis =
      std::to_array<int64_t>({50, 100, 250, 500, 1000, 1500, 2000, 2500, 5000});

  void add(Duration delay) {
    auto millis = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    auto it =
        std::lower_bound(BoundsMillis.begin(), BoundsMillis.end(), millis);
    ++Counts[static_cast<size_t>(it - BoundsMillis.begin())];
  }

  /// \returns the number of delays up to each of `BoundsMillis`, and of all.
  [[nodiscard]] std::array<uint64_t, BoundsMillis.size() + 1>
  cumulative() const {
    auto sums = Counts;
    for (size_t n = 1; n < sums.size(); ++n)
      sums[n] += sums[n - 1];
    return sums;
  }

private:
  std::array<uint64_t, BoundsMillis.size() + 1> Counts{};
};

} // namespace guavasail

#endif
