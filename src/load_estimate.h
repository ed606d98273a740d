/// \file
/// Load and relative speed of one instance, estimated from this VM's requests
/// in progress and from stale reports.
#ifndef GUAVASAIL_SRC_LOAD_ESTIMATE_H
#define GUAVASAIL_SRC_LOAD_ESTIMATE_H

#include "guavasail/clock.h"

#include <cstdint>

namespace guavasail {

/// Half-life of the work granted lately. At 3 requests a second, an instance
/// has about 20 requests in the average.
inline constexpr Duration RecentWorkHalfLife = std::chrono::seconds(5);

/// Weights of what an estimate has averaged, after a time.
struct AgeFactors {
  double Work = 1;
  double Speed = 1;
};

/// \returns the weights after \p elapsed.
AgeFactors ageFactors(Duration elapsed);

/// Corrects load reports by their age and by requests in progress.
class LoadEstimate {
public:
  /// Records a load report.
  /// \param reported requests that the instance reports as running or waiting.
  /// \param own requests of this decider that were in progress when the report
  /// was made.
  /// \param madeAt when the report was made.
  void noteReport(uint32_t reported, uint32_t own, Instant madeAt);

  /// Records a successful response. Rejections and failures tell nothing about
  /// the speed of an instance and are not recorded.
  /// \param typical typical latency of the service.
  void noteResponse(Duration took, Duration typical);

  /// Counts a request sent to the instance.
  void noteGrant() { RecentWork += RelativeTime; }

  /// Takes back a request that the instance has not run.
  void noteNotRun();

  /// Ages the work granted lately and the relative time, which costs less than
  /// to do so at each choice.
  void age(const AgeFactors &factors) {
    RecentWork *= factors.Work;
    RelativeTime = 1 + (RelativeTime - 1) * factors.Speed;
  }

  /// \returns the requests of others on the instance. Without a recent report
  /// it is zero.
  [[nodiscard]] double others(Instant now) const;

  /// \returns the time of a request relative to the service's typical latency;
  /// 1 if it is unknown, above 1 for slow instances.
  [[nodiscard]] double relativeTime() const { return RelativeTime; }

  /// \returns the exponentially decayed work of granted requests, where one of
  /// typical latency counts as 1.
  [[nodiscard]] double recentWork() const { return RecentWork; }

private:
  uint32_t Others = 0;
  Instant ReportedAt{};
  double RelativeTime = 1;
  double RecentWork = 0;
};

} // namespace guavasail

#endif
