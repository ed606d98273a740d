/// \file
/// Exponentially decayed counts of attempts and their failures.
#ifndef GUAVASAIL_SRC_DISPATCH_HISTORY_H
#define GUAVASAIL_SRC_DISPATCH_HISTORY_H

#include "duration_math.h"
#include "guavasail/clock.h"

#include <algorithm>
#include <cmath>

namespace guavasail {

/// Attempts of a service and their failures, older ones weighing less.
class FailureHistory {
public:
  /// \param halfLife age at which an attempt weighs one half.
  explicit FailureHistory(Duration halfLife) : HalfLife(halfLife) {}

  /// Records an attempt, or only its failure if the attempt was recorded.
  void note(double attempts, double failures, Instant now) {
    double factor = decay(now);
    Attempts = Attempts * factor + attempts;
    Failures = Failures * factor + failures;
    At = now;
  }

  /// \returns the share of failed attempts, 0 if there were none.
  [[nodiscard]] double share() const {
    return Attempts > 0 ? std::min(Failures / Attempts, 1.0) : 0;
  }

  /// \returns the decayed number of attempts.
  [[nodiscard]] double attempts(Instant now) const {
    return Attempts * decay(now);
  }

private:
  [[nodiscard]] double decay(Instant now) const {
    return std::exp2(-inSeconds(now - At) / inSeconds(HalfLife));
  }

  Duration HalfLife;
  double Attempts = 0;
  double Failures = 0;
  Instant At{};
};

} // namespace guavasail

#endif
