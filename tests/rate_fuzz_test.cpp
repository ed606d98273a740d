/// \file
/// Stateful fuzzing: under random faults, no window has more admissions than
/// rate x length + burst.
#include "rate_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <array>
#include <ostream>
#include <string>

namespace guavasail {

namespace {

std::vector<RateLimit> fuzzLimits() {
  return {{rateKey("a"), 40, 20}, {rateKey("b"), 3, 5}, {rateKey("c"), 200, 1}};
}

/// One random step. `RowIndex` selects the operation, which interprets the
/// other fields.
struct FuzzStep {
  uint32_t RowIndex = 0;
  uint32_t Vm = 0;
  uint32_t Other = 0;
  uint32_t Amount = 0;
};

struct FuzzModel {};

using Apply = void (*)(RateFleet &fleet, const FuzzStep &step);

struct FuzzRow {
  const char *Name;
  Apply Run;
};

constexpr auto FuzzRows = std::to_array<FuzzRow>({
    {"saturate",
     [](RateFleet &it, const FuzzStep &step) {
       saturate(it, std::chrono::milliseconds(5 + step.Amount % 100));
     }},
    {"saturate-longer",
     [](RateFleet &it, const FuzzStep &step) {
       saturate(it, std::chrono::milliseconds(20 + step.Amount % 300));
     }},
    {"replace-owner",
     [](RateFleet &it, const FuzzStep &step) {
       replaceOwner(it, step.Vm % it.vms(),
                    std::chrono::milliseconds(step.Amount * 10),
                    std::chrono::milliseconds(step.Other * 200));
     }},
    {"trickle",
     [](RateFleet &it, const FuzzStep &step) {
       offerHalfRate(it, std::chrono::milliseconds(step.Amount * 4), step.Vm);
       saturate(it, std::chrono::milliseconds(10));
     }},
    {"offer-one",
     [](RateFleet &it, const FuzzStep &step) {
       for (uint32_t n = 0; n < step.Amount % 200; ++n) {
         it.offer(step.Vm % it.vms(), step.Other % it.workspaces());
         it.run(std::chrono::microseconds(700));
       }
     }},
    {"idle",
     [](RateFleet &it, const FuzzStep &step) {
       it.run(std::chrono::milliseconds(step.Amount));
     }},
    {"idle-long",
     [](RateFleet &it, const FuzzStep &step) {
       it.run(std::chrono::seconds(step.Amount % 64));
     }},
    {"cut",
     [](RateFleet &it, const FuzzStep &step) {
       it.setCut(step.Vm % it.vms(), step.Other % it.vms(),
                 step.Amount % 3 != 0);
     }},
    {"pause",
     [](RateFleet &it, const FuzzStep &step) {
       it.pause(step.Vm % it.vms(),
                std::chrono::milliseconds(step.Amount * 20));
     }},
    {"crash",
     [](RateFleet &it, const FuzzStep &step) { it.crash(step.Vm % it.vms()); }},
    {"start",
     [](RateFleet &it, const FuzzStep &step) { it.start(step.Vm % it.vms()); }},
    {"restart",
     [](RateFleet &it, const FuzzStep &step) {
       it.crash(step.Vm % it.vms());
       it.start(step.Vm % it.vms());
     }},
    {"drain",
     [](RateFleet &it, const FuzzStep &step) { it.drain(step.Vm % it.vms()); }},
    {"believed-usable",
     [](RateFleet &it, const FuzzStep &step) {
       it.setBelievedUsable(step.Vm % it.vms(), step.Other % it.vms(),
                  step.Amount % 2 == 0);
     }},
    {"store-away",
     [](RateFleet &it, const FuzzStep &step) {
       it.setStoreUnavailable(step.Amount % 2 == 0);
     }},
    {"store-reach",
     [](RateFleet &it, const FuzzStep &step) {
       it.setStoreReachable(step.Vm % it.vms(), step.Amount % 2 == 0);
     }},
    {"store-replies-lost",
     [](RateFleet &it, const FuzzStep &step) {
       it.loseStoreReplies(step.Amount % 8);
     }},
    {"clock-drift",
     [](RateFleet &it, const FuzzStep &step) {
       it.setClockDrift(step.Vm % it.vms(),
                     static_cast<int32_t>(step.Amount % 1001) - 500);
     }},
    {"faults",
     [](RateFleet &it, const FuzzStep &step) {
       it.setMessageFaults(step.Amount % 300, step.Other * 40);
     }},
    {"slow",
     [](RateFleet &it, const FuzzStep &step) {
       it.setMaxExtraStoreDelay(std::chrono::milliseconds(step.Amount % 400));
     }},
});

class FuzzCommand : public rc::state::Command<FuzzModel, RateFleet> {
public:
  explicit FuzzCommand(const FuzzModel & /*model*/) {
    Step.RowIndex = *rc::gen::inRange<uint32_t>(0, FuzzRows.size());
    Step.Vm = *rc::gen::inRange<uint32_t>(0, 8);
    Step.Other = *rc::gen::inRange<uint32_t>(0, 8);
    Step.Amount = *rc::gen::inRange<uint32_t>(0, 1000);
  }

  void run(const FuzzModel & /*model*/, RateFleet &fleet) const override {
    FuzzRows[Step.RowIndex].Run(fleet, Step);
    RC_ASSERT(fleet.maxExcess() <= 0);
  }

  void show(std::ostream &out) const override {
    out << FuzzRows[Step.RowIndex].Name << " vm " << Step.Vm << " other "
        << Step.Other << " amount " << Step.Amount;
  }

private:
  FuzzStep Step;
};

struct FuzzSetup {
  RateStrategyKind Strategy;
  uint32_t Vms;
  uint32_t Zones;
  /// Lease length, short enough to expire during a run; zero selects the
  /// strategy's default.
  Duration LeaseTerm;
};

class RateFuzz : public testing::TestWithParam<FuzzSetup> {};

TEST_P(RateFuzz, NeverExceedsRate) {
  const FuzzSetup &run = GetParam();
  bool passed = rc::check([&] {
    FleetInit init;
    init.Strategy = run.Strategy;
    init.Vms = run.Vms;
    init.Zones = run.Zones;
    init.Partitions = 2;
    init.LeaseTerm = run.LeaseTerm;
    init.Limits = fuzzLimits();
    init.Seed = *rc::gen::arbitrary<uint64_t>();
    RateFleet fleet(init);
    fleet.run(std::chrono::seconds(5));
    rc::state::check(FuzzModel{}, fleet,
                     rc::state::gen::execOneOfWithArgs<FuzzCommand>());
    // Delivers pending messages and uses up all tokens.
    saturate(fleet, std::chrono::milliseconds(300));
    RC_ASSERT(fleet.maxExcess() <= 0);
  });
  EXPECT_TRUE(passed);
}

INSTANTIATE_TEST_SUITE_P(
    Strategies, RateFuzz,
    testing::Values(
        FuzzSetup{RateStrategyKind::EvenSplit, 4, 2, {}},
        FuzzSetup{RateStrategyKind::Central, 3, 1, std::chrono::seconds(10)},
        FuzzSetup{RateStrategyKind::Central, 6, 3, std::chrono::seconds(6)},
        FuzzSetup{RateStrategyKind::ZoneRelay, 6, 2, std::chrono::seconds(10)},
        FuzzSetup{RateStrategyKind::ZoneShares, 4, 4, {}},
        FuzzSetup{RateStrategyKind::ZoneShares, 8, 4, std::chrono::seconds(10)},
        FuzzSetup{RateStrategyKind::ZoneShares, 5, 2, std::chrono::seconds(6)}),
    [](const auto &it) {
      std::string name(rateStrategyName(it.param.Strategy));
      std::erase(name, '-');
      return name + std::to_string(it.param.Vms) + "vms" +
             std::to_string(it.param.LeaseTerm.count() / 1'000'000) + "s";
    });

} // namespace

} // namespace guavasail
