/// \file
/// Bounds the repeats of a service by a share of its requests.
#ifndef GUAVASAIL_SRC_DISPATCH_BUDGET_H
#define GUAVASAIL_SRC_DISPATCH_BUDGET_H

#include "guavasail/clock.h"

#include <array>
#include <cstdint>

namespace guavasail {

/// Counts requests and repeats in a sliding window.
class RetryBudget {
public:
  /// \param percent repeats for each hundred requests of the window.
  /// \param slack further repeats in any window.
  /// \param window length of the window.
  RetryBudget(uint32_t percent, uint32_t slack, Duration window)
      : Percent(percent), Slack(slack), Step(window / Buckets) {}

  /// Counts a first attempt.
  void noteRequest(Instant now) { ++bucket(now).Requests; }

  /// Counts a repeat unless the window's are used up.
  /// \returns false if they are.
  bool takeRepeat(Instant now) {
    Bucket &current = bucket(now);
    uint64_t requests = 0;
    uint64_t repeats = 0;
    for (const Bucket &it : Items) {
      if (it.Number + Buckets <= current.Number)
        continue;
      requests += it.Requests;
      repeats += it.Repeats;
    }
    constexpr uint64_t Hundred = 100;
    if (repeats >= Slack + requests * Percent / Hundred)
      return false;
    ++current.Repeats;
    return true;
  }

private:
  static constexpr size_t Buckets = 20;
  struct Bucket {
    uint64_t Number = 0;
    uint32_t Requests = 0;
    uint32_t Repeats = 0;
  };

  Bucket &bucket(Instant now) {
    auto number =
        static_cast<uint64_t>(now.time_since_epoch() / Step) + Buckets;
    Bucket &it = Items[number % Buckets];
    if (it.Number != number)
      it = {number, 0, 0};
    return it;
  }

  uint32_t Percent;
  uint32_t Slack;
  Duration Step;
  std::array<Bucket, Buckets> Items{};
};

} // namespace guavasail

#endif
