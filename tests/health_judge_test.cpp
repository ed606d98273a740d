/// \file
/// Verdicts of the evidence owner, for kinds of evidence and of reporters.
#include "health_judge.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

constexpr Duration Period = std::chrono::milliseconds(250);
constexpr uint8_t Usual = 8;
constexpr uint32_t Sick = 1;

/// What each instance yields in each period, by reporter.
struct JudgeCase {
  std::string Name;
  uint32_t Instances;
  uint32_t Reporters;
  uint32_t Zones;
  /// Cell of the sick instance's evidence, and of the others'.
  uint8_t SickCell;
  uint8_t OtherCell;
  /// Reporters that see the sick instance as sick; others see it well.
  uint32_t SickReporters;
  EjectReason Expected;
};

/// Owner of a service whose instances all yield evidence in each period.
class Judged {
public:
  explicit Judged(const JudgeCase &it) : Case(it) {
    for (uint32_t n = 0; n < Case.Instances; ++n)
      Keys.push_back(n + 1);
    Judge.setInstances(Keys);
  }

  void run(uint32_t periods, bool sick) {
    for (uint32_t n = 0; n < periods; ++n)
      step(sick);
  }

  const JudgedInstance &at(uint32_t key) const {
    return Judge.instances()[key - 1];
  }

  Instant Now{std::chrono::seconds(1000)};

private:
  void step(bool sick) {
    for (uint32_t vm = 0; vm < Case.Reporters; ++vm) {
      std::vector<EvidenceCell> cells;
      for (uint32_t key : Keys) {
        uint8_t cell = sick ? Case.OtherCell : Usual;
        if (sick && key == Sick)
          cell = vm < Case.SickReporters ? Case.SickCell : Usual;
        cells.push_back({key, 1, cell});
      }
      Judge.add({vm}, {vm % Case.Zones}, cells);
    }
    Now += Period;
    Judge.evaluate({Now, Case.Reporters == 1, 1});
  }

  JudgeCase Case;
  std::vector<uint32_t> Keys;
  ServiceJudge Judge;
};

class Verdict : public testing::TestWithParam<JudgeCase> {};

TEST_P(Verdict, IsGivenForSickInstanceOnly) {
  Judged judged(GetParam());
  judged.run(20, false);
  judged.run(12, true);
  EXPECT_EQ(judged.at(Sick).Reason, GetParam().Expected);
  bool ejected = GetParam().Expected != EjectReason::None;
  EXPECT_EQ(judged.at(Sick).State == VerdictState::Ejected, ejected);
  for (uint32_t key = 2; key <= GetParam().Instances; ++key)
    EXPECT_EQ(judged.at(key).State, VerdictState::Healthy);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Verdict,
    testing::Values(JudgeCase{"SlowByAll", 10, 8, 4, Usual + 7, Usual, 8,
                              EjectReason::Slow},
                    JudgeCase{"ErrorsToAll", 10, 8, 4, CellError, Usual, 8,
                              EjectReason::Failing},
                    JudgeCase{"StalledForAll", 10, 8, 4, CellStalled, Usual, 8,
                              EjectReason::Stalled},
                    JudgeCase{"OnlyDaemonIsEnough", 10, 1, 1, CellFault, Usual,
                              1, EjectReason::Failing},
                    JudgeCase{"OneReporterOfMany", 10, 8, 4, CellUnreachable,
                              Usual, 1, EjectReason::None},
                    JudgeCase{"OneReporterOfTwo", 10, 2, 1, CellUnreachable,
                              Usual, 1, EjectReason::None},
                    JudgeCase{"WholeServiceSlow", 10, 8, 4, Usual + 7,
                              Usual + 7, 8, EjectReason::None},
                    JudgeCase{"WholeServiceFails", 10, 8, 4, CellError,
                              CellError, 8, EjectReason::None},
                    JudgeCase{"SomewhatSlower", 10, 8, 4, Usual + 2, Usual, 8,
                              EjectReason::None}),
    [](const auto &it) { return it.param.Name; });

TEST(Recovery, GoesThroughTrickleAndSlowStart) {
  Judged judged({"", 10, 8, 4, CellError, Usual, 8, EjectReason::Failing});
  judged.run(20, false);
  judged.run(12, true);
  ASSERT_EQ(judged.at(Sick).State, VerdictState::Ejected);
  std::vector<VerdictState> seen;
  while (judged.at(Sick).State != VerdictState::Healthy && seen.size() < 200) {
    judged.run(1, false);
    if (seen.empty() || seen.back() != judged.at(Sick).State)
      seen.push_back(judged.at(Sick).State);
  }
  std::vector<VerdictState> wanted = {
      VerdictState::Ejected, VerdictState::Trickle, VerdictState::SlowStart,
      VerdictState::Healthy};
  EXPECT_EQ(seen, wanted);
}

TEST(Recovery, RepeatedEjectionLastsLonger) {
  Judged judged({"", 10, 8, 4, CellError, Usual, 8, EjectReason::Failing});
  judged.run(20, false);
  Duration last{};
  for (int n = 0; n < 4; ++n) {
    while (judged.at(Sick).State != VerdictState::Ejected)
      judged.run(1, true);
    Duration length = judged.at(Sick).Until - judged.at(Sick).Since;
    EXPECT_GT(length, last);
    last = length;
    while (judged.at(Sick).State == VerdictState::Ejected)
      judged.run(1, false);
  }
}

TEST(Forgiveness, TakesFailuresBack) {
  std::vector<uint32_t> keys = {1, 2, 3};
  ServiceJudge judge;
  judge.setInstances(keys);
  for (uint32_t n = 0; n < 40; ++n) {
    std::vector<EvidenceCell> cells = {
        {1, 1, CellFault}, {1, 1, CellForgiven}, {2, 4, Usual}, {3, 4, Usual}};
    judge.add({n % 4}, {0}, cells);
    judge.evaluate({Instant(Period * (n + 1)), false, 1});
  }
  EXPECT_EQ(judge.instances()[0].State, VerdictState::Healthy);
}

} // namespace

} // namespace guavasail
