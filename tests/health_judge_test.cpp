/// \file
/// Verdicts of the evidence owner, by kind of evidence and by reporters.
#include "health_judge.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

constexpr Duration EvaluationInterval = std::chrono::milliseconds(250);
constexpr uint8_t UsualBucket = 8;
constexpr uint32_t UnhealthyKey = 1;

/// Evidence of each instance in each interval, by reporter.
struct EvaluatorCase {
  std::string Name;
  uint32_t Instances;
  uint32_t Reporters;
  uint32_t Zones;
  /// Cells of the unhealthy instance and of all others.
  uint8_t UnhealthyCell;
  uint8_t OtherCell;
  /// Reporters that see the unhealthy cell; the others see the usual bucket.
  uint32_t AffectedReporters;
  EjectReason Expected;
};

/// Evaluator of a service whose instances all have evidence in each interval.
class EvaluatedService {
public:
  explicit EvaluatedService(const EvaluatorCase &it) : Case(it) {
    for (uint32_t n = 0; n < Case.Instances; ++n)
      Keys.push_back(n + 1);
    Evaluator.setInstances(Keys);
  }

  void runIntervals(uint32_t intervals, bool unhealthy) {
    for (uint32_t n = 0; n < intervals; ++n)
      runInterval(unhealthy);
  }

  const EvaluatedInstance &at(uint32_t key) const {
    return Evaluator.instances()[key - 1];
  }

  Instant Now{std::chrono::seconds(1000)};

private:
  void runInterval(bool unhealthy) {
    for (uint32_t vm = 0; vm < Case.Reporters; ++vm) {
      std::vector<EvidenceCell> cells;
      for (uint32_t key : Keys) {
        uint8_t cell = unhealthy ? Case.OtherCell : UsualBucket;
        if (unhealthy && key == UnhealthyKey)
          cell = vm < Case.AffectedReporters ? Case.UnhealthyCell : UsualBucket;
        cells.push_back({key, 1, cell});
      }
      Evaluator.add({vm}, {vm % Case.Zones}, cells);
    }
    Now += EvaluationInterval;
    Evaluator.evaluate({Now, Case.Reporters == 1, 1});
  }

  EvaluatorCase Case;
  std::vector<uint32_t> Keys;
  HealthEvaluator Evaluator;
};

class EvaluatorVerdict : public testing::TestWithParam<EvaluatorCase> {};

TEST_P(EvaluatorVerdict, EjectsUnhealthyInstanceOnly) {
  EvaluatedService service(GetParam());
  service.runIntervals(20, false);
  service.runIntervals(12, true);
  EXPECT_EQ(service.at(UnhealthyKey).Reason, GetParam().Expected);
  bool ejected = GetParam().Expected != EjectReason::None;
  EXPECT_EQ(service.at(UnhealthyKey).State == VerdictState::Ejected, ejected);
  for (uint32_t key = 2; key <= GetParam().Instances; ++key)
    EXPECT_EQ(service.at(key).State, VerdictState::Healthy);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, EvaluatorVerdict,
    testing::Values(EvaluatorCase{"SlowForAll", 10, 8, 4, UsualBucket + 7,
                                  UsualBucket, 8, EjectReason::Slow},
                    EvaluatorCase{"ErrorsToAll", 10, 8, 4, CellError,
                                  UsualBucket, 8, EjectReason::Failing},
                    EvaluatorCase{"StalledForAll", 10, 8, 4, CellStalled,
                                  UsualBucket, 8, EjectReason::Stalled},
                    EvaluatorCase{"OnlyDaemonIsEnough", 10, 1, 1, CellFault,
                                  UsualBucket, 1, EjectReason::Failing},
                    EvaluatorCase{"OneReporterOfMany", 10, 8, 4,
                                  CellUnreachable, UsualBucket, 1,
                                  EjectReason::None},
                    EvaluatorCase{"OneReporterOfTwo", 10, 2, 1, CellUnreachable,
                                  UsualBucket, 1, EjectReason::None},
                    EvaluatorCase{"WholeServiceSlow", 10, 8, 4, UsualBucket + 7,
                                  UsualBucket + 7, 8, EjectReason::None},
                    EvaluatorCase{"WholeServiceFails", 10, 8, 4, CellError,
                                  CellError, 8, EjectReason::None},
                    EvaluatorCase{"SomewhatSlower", 10, 8, 4, UsualBucket + 2,
                                  UsualBucket, 8, EjectReason::None}),
    [](const auto &it) { return it.param.Name; });

TEST(Recovery, GoesThroughTrickleAndSlowStart) {
  EvaluatedService service(
      {"", 10, 8, 4, CellError, UsualBucket, 8, EjectReason::Failing});
  service.runIntervals(20, false);
  service.runIntervals(12, true);
  ASSERT_EQ(service.at(UnhealthyKey).State, VerdictState::Ejected);
  std::vector<VerdictState> states;
  while (service.at(UnhealthyKey).State != VerdictState::Healthy &&
         states.size() < 200) {
    service.runIntervals(1, false);
    if (states.empty() || states.back() != service.at(UnhealthyKey).State)
      states.push_back(service.at(UnhealthyKey).State);
  }
  std::vector<VerdictState> expected = {
      VerdictState::Ejected, VerdictState::Trickle, VerdictState::SlowStart,
      VerdictState::Healthy};
  EXPECT_EQ(states, expected);
}

TEST(Recovery, RepeatedEjectionLastsLonger) {
  EvaluatedService service(
      {"", 10, 8, 4, CellError, UsualBucket, 8, EjectReason::Failing});
  service.runIntervals(20, false);
  Duration previous{};
  for (int n = 0; n < 4; ++n) {
    while (service.at(UnhealthyKey).State != VerdictState::Ejected)
      service.runIntervals(1, true);
    Duration length =
        service.at(UnhealthyKey).Until - service.at(UnhealthyKey).Since;
    EXPECT_GT(length, previous);
    previous = length;
    while (service.at(UnhealthyKey).State == VerdictState::Ejected)
      service.runIntervals(1, false);
  }
}

TEST(RetractedFailures, DoNotCount) {
  std::vector<uint32_t> keys = {1, 2, 3};
  HealthEvaluator evaluator;
  evaluator.setInstances(keys);
  for (uint32_t n = 0; n < 40; ++n) {
    std::vector<EvidenceCell> cells = {{1, 1, CellFault},
                                       {1, 1, CellRetracted},
                                       {2, 4, UsualBucket},
                                       {3, 4, UsualBucket}};
    evaluator.add({n % 4}, {0}, cells);
    evaluator.evaluate({Instant(EvaluationInterval * (n + 1)), false, 1});
  }
  EXPECT_EQ(evaluator.instances()[0].State, VerdictState::Healthy);
}

} // namespace

} // namespace guavasail
