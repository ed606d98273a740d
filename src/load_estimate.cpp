#include "load_estimate.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>

namespace guavasail {

namespace {

/// Age at which a report has no weight. At 800 ms, where most of the reported
/// requests have ended, it has half.
constexpr Duration ReportLifetime = std::chrono::milliseconds(1600);
/// Weight of the latest response in the moving average of the relative time. It
/// is small, since requests of one service differ more than its instances.
constexpr double RelativeTimeSmoothing = 0.1;
/// Bounds of one response's weight, so that a long request doesn't make its
/// instance slow.
constexpr double MinRelativeTime = 0.25;
constexpr double MaxRelativeTime = 4;
/// Half-life of what is known of the speed: an instance without requests may
/// have become faster.
constexpr Duration SpeedHalfLife = std::chrono::seconds(10);

} // namespace

AgeFactors ageFactors(Duration elapsed) {
  double time = inSeconds(elapsed);
  return {std::exp2(-time / inSeconds(RecentWorkHalfLife)),
          std::exp2(-time / inSeconds(SpeedHalfLife))};
}

void LoadEstimate::noteReport(uint32_t reported, uint32_t own, Instant madeAt) {
  Others = reported > own ? reported - own : 0;
  ReportedAt = madeAt;
}

void LoadEstimate::noteResponse(Duration took, Duration typical) {
  double ratio = inSeconds(took) / std::max(inSeconds(typical), 0.001);
  double latest = std::clamp(ratio, MinRelativeTime, MaxRelativeTime);
  RelativeTime += RelativeTimeSmoothing * (latest - RelativeTime);
}

void LoadEstimate::noteNotRun() {
  RecentWork = std::max(RecentWork - RelativeTime, 0.0);
}

double LoadEstimate::others(Instant now) const {
  Duration age = now - ReportedAt;
  if (Others == 0 || age >= ReportLifetime)
    return 0;
  double fresh = inSeconds(ReportLifetime - age) / inSeconds(ReportLifetime);
  return Others * std::min(fresh, 1.0);
}

} // namespace guavasail
