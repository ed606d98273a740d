/// \file
/// Retry budget of a service: bounds retries to a percentage of its requests.
#ifndef GUAVASAIL_SRC_DISPATCH_BUDGET_H
#define GUAVASAIL_SRC_DISPATCH_BUDGET_H

#include "guavasail/clock.h"

#include <array>
#include <cstdint>

namespace guavasail {

/// Counts requests and retries in a sliding window. Only what this VM saw is
/// counted. A previous owner may have spent its whole budget just before, and
/// those retries stay in the window for its length. So for one window after a
/// takeover the budget is a part of the slack that grows from none to whole;
/// requests add to it only after that.
class RetryBudget {
public:
  /// \param percent retries allowed per hundred requests of the window.
  /// \param slack retries allowed in any window in addition.
  /// \param window length of the window.
  RetryBudget(uint32_t percent, uint32_t slack, Duration window)
      : Percent(percent), Slack(slack), Window(window),
        BucketInterval(window / BucketCount) {}

  /// Sets since when this VM may have been the only owner of the service;
  /// `NeverInstant` while it is not the owner. It then allows no retry.
  void setOwnedSince(Instant since) { OwnedSince = since; }

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
    if (retries >= allowed(requests, now))
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

  /// \returns the retries allowed in a window that ends now.
  [[nodiscard]] uint64_t allowed(uint64_t requests, Instant now) const {
    if (now < OwnedSince)
      return 0;
    if (now - OwnedSince < Window)
      return Slack * static_cast<uint64_t>((now - OwnedSince) / Duration(1)) /
             static_cast<uint64_t>(Window / Duration(1));
    constexpr uint64_t Hundred = 100;
    return Slack + requests * Percent / Hundred;
  }

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
  Duration Window;
  Duration BucketInterval;
  Instant OwnedSince{};
  std::array<Bucket, BucketCount> Buckets{};
};

} // namespace guavasail

#endif
