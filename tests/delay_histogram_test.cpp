/// \file
/// Buckets of the delay histogram.
#include "delay_histogram.h"

#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct DelayCase {
  std::string_view Name;
  std::vector<Duration> Delays;
  /// Bound of a bucket, and the number of delays up to it.
  int64_t BoundMillis;
  uint64_t Count;
};

const DelayCase Delays[] = {
    {"None", {}, 5000, 0},
    {"AtABound", {milliseconds(100)}, 100, 1},
    {"JustAboveABound", {microseconds(100'001)}, 100, 0},
    {"CountsLowerBuckets", {milliseconds(1), milliseconds(1999)}, 2000, 2},
    {"AboveAllBounds", {milliseconds(5001)}, 5000, 0},
};

std::ostream &operator<<(std::ostream &out, const DelayCase &row) {
  return out << row.Name;
}

class Delay : public testing::TestWithParam<DelayCase> {};

TEST_P(Delay, IsCountedUpToItsBounds) {
  const DelayCase &row = GetParam();
  DelayHistogram histogram;
  for (Duration it : row.Delays)
    histogram.add(it);
  auto counts = histogram.cumulative();
  const auto &bounds = DelayHistogram::BoundsMillis;
  auto it = std::find(bounds.begin(), bounds.end(), row.BoundMillis);
  ASSERT_NE(it, bounds.end());
  EXPECT_EQ(counts[static_cast<size_t>(it - bounds.begin())], row.Count);
  EXPECT_EQ(counts.back(), row.Delays.size());
}

INSTANTIATE_TEST_SUITE_P(Table, Delay, testing::ValuesIn(Delays),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
