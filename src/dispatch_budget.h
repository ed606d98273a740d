/// \file
/// Retry budget of a service: bounds retries to a percentage of its requests.
#ifndef GUAVASAIL_SRC_DISPATCH_BUDGET_H
#define GUAVASAIL_SRC_DISPATCH_BUDGET_H

#include "guavasail/clock.h"

#include <array>
#include <cstdint>

namespace guavasail {

/// Counts requests and retries in a sliding window.
class RetryBudget {
public:
  /// \param percent retries allowed per hundred requests of the window.
  /// \param slack retries allowed in any window in addition.
  /// \param window length of the window.
  RetryBudget(uint32_t percent, uint32_t slack, Duration window)
      : Percent(percent), Slack(slack), BucketInterval(window / BucketCount) {}

  /// Counts a first attempt.
  void noteRequest(Instant now) { ++bucket(now).Requests; }

  /// Counts a retry if the budget allows it.
  /// \returns false if the budget is exhausted.
  bool takeRetry(Instant now) {
    Bucket &current = bucket(now);
    uint64_t requests = 0;
    uint64_t retries = 0;
    for (const Bucket &it : Buckets) {
      if (it.Index + BucketCount <= current.Index)
        continue;
      requests += it.Requests;
      retries += it.Retries;
    }
    constexpr uint64_t Hundred = 100;
    if (retries >= Slack + requests * Percent / Hundred)
      return false;
    ++current.Retries;
    return true;
  }

private:
  static constexpr size_t BucketCount = 20;
  struct Bucket {
    uint64_t Index = 0;
    uint32_t Requests = 0;
    uint32_t Retries = 0;
  };

  Bucket &bucket(Instant now) {
    auto index =
        static_cast<uint64_t>(now.time_since_epoch() / BucketInterval) +
        BucketCount;
    Bucket &it = Buckets[index % BucketCount];
    if (it.Index != index)
      it = {index, 0, 0};
    return it;
  }

  uint32_t Percent;
  uint32_t Slack;
  Duration BucketInterval;
  std::array<Bucket, BucketCount> Buckets{};
};

} // namespace guavasail

#endif
