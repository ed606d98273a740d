/// \file
/// The rate of a workspace while its owner is replaced.
#include "quota_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string_view>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What happens to the owner while requests press.
struct HandOverCase {
  std::string_view Name;
  void (*Run)(QuotaFleet &fleet, uint32_t perSecond);
};

void ownerKilled(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.kill(0);
  fleet.run(seconds(6), perSecond);
}

void ownerBack(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.kill(0);
  fleet.run(seconds(2), perSecond);
  fleet.start(0);
  fleet.run(seconds(5), perSecond);
}

void ownerBackAtOnce(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.kill(0);
  fleet.run(milliseconds(100), perSecond);
  fleet.start(0);
  fleet.run(seconds(5), perSecond);
}

void mostKilledAndBack(QuotaFleet &fleet, uint32_t perSecond) {
  for (uint32_t vm : {0, 1, 2})
    fleet.kill(vm);
  fleet.run(seconds(2), perSecond);
  for (uint32_t vm : {0, 1, 2})
    fleet.start(vm);
  fleet.run(seconds(5), perSecond);
}

void ownerPaused(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.pause(0, true);
  fleet.run(milliseconds(2500), perSecond);
  fleet.pause(0, false);
  fleet.run(seconds(5), perSecond);
}

void ownerPausedShortly(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.pause(0, true);
  fleet.run(milliseconds(700), perSecond);
  fleet.pause(0, false);
  fleet.run(seconds(5), perSecond);
}

void ownerLeaves(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.leave(0);
  fleet.run(seconds(3), perSecond);
  fleet.kill(0);
  fleet.run(seconds(3), perSecond);
}

void allRestartInTurn(QuotaFleet &fleet, uint32_t perSecond) {
  for (uint32_t vm = 0; vm < 5; ++vm) {
    fleet.leave(vm);
    fleet.run(milliseconds(800), perSecond);
    fleet.kill(vm);
    fleet.run(milliseconds(300), perSecond);
    fleet.start(vm);
    fleet.run(milliseconds(400), perSecond);
  }
  fleet.run(seconds(4), perSecond);
}

void oneCallerCut(QuotaFleet &fleet, uint32_t perSecond) {
  fleet.cut(0, 3, true);
  fleet.run(seconds(5), perSecond);
  fleet.cut(0, 3, false);
  fleet.run(seconds(5), perSecond);
}

constexpr HandOverCase HandOvers[] = {
    {"OwnerKilled", &ownerKilled},
    {"OwnerBack", &ownerBack},
    {"OwnerBackAtOnce", &ownerBackAtOnce},
    {"MostKilledAndBack", &mostKilledAndBack},
    {"OwnerPaused", &ownerPaused},
    {"OwnerPausedShortly", &ownerPausedShortly},
    {"OwnerLeaves", &ownerLeaves},
    {"AllRestartInTurn", &allRestartInTurn},
    {"OneCallerCut", &oneCallerCut},
};

std::ostream &operator<<(std::ostream &out, const HandOverCase &row) {
  return out << row.Name;
}

class QuotaHandOver : public testing::TestWithParam<HandOverCase> {};

/// Guards against a workspace that gets more than its rate and burst because
/// two VMs admit its requests, or one starts with tokens that another granted.
TEST_P(QuotaHandOver, KeepsOneBucket) {
  constexpr uint32_t Pressing = 300;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    QuotaFleet fleet({.Seed = seed});
    fleet.run(seconds(5), Pressing);
    GetParam().Run(fleet, Pressing);
    EXPECT_LE(fleet.excess(), 0) << "seed " << seed;
  }
}

/// Guards against a rate that is kept by refusing requests inside it.
TEST_P(QuotaHandOver, RefusesFewInsideTheRate) {
  constexpr uint32_t Inside = 24;
  size_t refused = 0;
  size_t admitted = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    QuotaFleet fleet({.Seed = seed});
    fleet.run(seconds(5), Inside);
    size_t before = fleet.refused();
    GetParam().Run(fleet, Inside);
    fleet.run(seconds(15), Inside);
    refused += fleet.refused() - before;
    admitted += fleet.admitted().size();
  }
  EXPECT_LE(static_cast<double>(refused),
            0.01 * static_cast<double>(refused + admitted));
}

/// One step of a random run.
struct QuotaStep {
  uint32_t Action = 0;
  uint32_t Vm = 0;
  uint32_t Other = 0;
  uint32_t Millis = 0;
};

void showValue(const QuotaStep &step, std::ostream &out) {
  out << "{" << step.Action << " vm " << step.Vm << " other " << step.Other
      << " ms " << step.Millis << "}";
}

std::ostream &operator<<(std::ostream &out, const QuotaStep &step) {
  showValue(step, out);
  return out;
}

void apply(QuotaFleet &fleet, const QuotaStep &step) {
  using Action = void (*)(QuotaFleet &, const QuotaStep &);
  static constexpr Action Actions[] = {
      [](QuotaFleet &it, const QuotaStep &at) { it.kill(at.Vm); },
      [](QuotaFleet &it, const QuotaStep &at) { it.start(at.Vm); },
      [](QuotaFleet &it, const QuotaStep &at) { it.pause(at.Vm, true); },
      [](QuotaFleet &it, const QuotaStep &at) { it.pause(at.Vm, false); },
      [](QuotaFleet &it, const QuotaStep &at) { it.leave(at.Vm); },
      [](QuotaFleet &it, const QuotaStep &) { it.heal(); },
      [](QuotaFleet &it, const QuotaStep &) { it.heal(); },
  };
  Actions[step.Action % std::size(Actions)](fleet, step);
}

rc::Gen<QuotaStep> genStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<QuotaStep>(
          rc::gen::set(&QuotaStep::Action, rc::gen::inRange(0u, 7u)),
          rc::gen::set(&QuotaStep::Vm, rc::gen::inRange(0u, 5u)),
          rc::gen::set(&QuotaStep::Other, rc::gen::inRange(0u, 5u)),
          rc::gen::set(&QuotaStep::Millis, rc::gen::inRange(0u, 3000u))));
}

/// Whatever is killed, paused, restarted or leaves, the workspace gets one
/// bucket.
RC_GTEST_PROP(QuotaFuzz, KeepsOneBucket, ()) {
  auto seed = *rc::gen::arbitrary<uint64_t>();
  auto steps = *rc::gen::container<std::vector<QuotaStep>>(genStep());
  constexpr uint32_t Pressing = 300;
  QuotaFleet fleet({.Seed = seed});
  fleet.run(seconds(3), Pressing);
  for (const QuotaStep &step : steps) {
    apply(fleet, step);
    fleet.run(milliseconds(step.Millis), Pressing);
  }
  fleet.heal();
  fleet.run(seconds(3), Pressing);
  RC_ASSERT(fleet.excess() <= 0);
}

INSTANTIATE_TEST_SUITE_P(Table, QuotaHandOver, testing::ValuesIn(HandOvers),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
