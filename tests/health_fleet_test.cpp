/// \file
/// Exchange of evidence and verdicts between several daemons.
#include "health_fleet.h"

#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

constexpr uint32_t Daemons = 6;
constexpr uint32_t Instances = 6;
constexpr InstanceHandle UnhealthyInstance{0};
constexpr Duration TickInterval = std::chrono::milliseconds(250);
constexpr Duration UsualLatency = std::chrono::milliseconds(10);

CatalogSpec catalogSpec() {
  CatalogSpec spec;
  spec.Services.emplace_back();
  spec.Services[0].Name = "s";
  for (uint32_t n = 0; n < Instances; ++n) {
    spec.Services[0].Instances.emplace_back();
    spec.Services[0].Instances.back().Name = std::to_string(n);
  }
  return spec;
}

/// Daemons, each with its own view of the members.
class Fleet {
public:
  Fleet() {
    Catalog.accept(catalogSpec());
    for (uint32_t n = 0; n < Daemons; ++n) {
      Items.emplace_back(DetectorKind::Pooled);
      Items.back().acceptCatalog(Catalog, Now);
    }
    std::vector<VmEntry> vms(Daemons);
    for (uint32_t n = 0; n < Daemons; ++n) {
      vms[n].Name = "vm" + std::to_string(n);
      vms[n].State = VmState::Alive;
    }
    Views.assign(Daemons, vms);
  }

  MemberView view(uint32_t vm) const { return {Views[vm], {vm}}; }
  const HealthTable &table(uint32_t vm) { return Items[vm].table(); }

  /// In each tick every daemon sends one request to every instance;
  /// \p outcome gives the result at `UnhealthyInstance`.
  void runTicks(uint32_t ticks,
                const std::function<OutcomeKind(uint32_t vm)> &outcome,
                bool retracted = false) {
    for (uint32_t n = 0; n < ticks; ++n) {
      for (uint32_t vm = 0; vm < Daemons; ++vm)
        for (uint32_t it = 0; it < Instances; ++it)
          runAttempt(vm, {it},
                     it == UnhealthyInstance.Value ? outcome(vm)
                                                   : OutcomeKind::Ok,
                     retracted);
      Now += TickInterval;
      for (uint32_t vm = 0; vm < Daemons; ++vm) {
        Effects.clear();
        Items[vm].tick(view(vm), Now, Effects);
        deliver(vm);
      }
    }
  }

  /// Delivers the messages in `Effects` and those that they cause in turn.
  void deliver(uint32_t from) {
    std::vector<Effect> effects(Effects.items().begin(), Effects.items().end());
    for (const Effect &effect : effects) {
      const auto *message = std::get_if<SendPeer>(&effect);
      if (!message || Partitioned[from] || Partitioned[message->To.Value])
        continue;
      uint32_t to = message->To.Value;
      Effects.clear();
      if (const auto *report = std::get_if<EvidenceReport>(&message->Body))
        Items[to].onReport({from}, *report, view(to), Effects);
      if (const auto *update = std::get_if<VerdictUpdate>(&message->Body))
        Items[to].onVerdict({from}, *update, view(to), Now);
      deliver(to);
    }
  }

  /// \returns the number of daemons that eject `UnhealthyInstance`.
  uint32_t daemonsWithout() {
    uint32_t count = 0;
    for (uint32_t vm = 0; vm < Daemons; ++vm)
      count += table(vm).at(UnhealthyInstance).Use == UseState::Ejected ? 1 : 0;
    return count;
  }

  std::vector<std::vector<VmEntry>> Views;
  std::vector<bool> Partitioned = std::vector<bool>(Daemons);
  std::vector<FleetHealth> Items;
  EffectBuffer Effects;
  CatalogIndex Catalog;
  Instant Now{std::chrono::seconds(1000)};

private:
  void runAttempt(uint32_t vm, InstanceHandle instance, OutcomeKind kind,
                  bool retracted) {
    AttemptHandle attempt{{instance.Value, ++Generation}, 1};
    Items[vm].attemptStarted(attempt, instance, Now - UsualLatency);
    Items[vm].attemptEnded(attempt, kind, Now);
    Items[vm].attemptDropped(attempt);
    if (retracted && kind != OutcomeKind::Ok)
      Items[vm].retractFailure(attempt);
  }

  uint32_t Generation = 0;
};

OutcomeKind answerOk(uint32_t) { return OutcomeKind::Ok; }
OutcomeKind failWithFault(uint32_t) { return OutcomeKind::Fault; }

struct FleetCase {
  std::string Name;
  /// Number of daemons that get `Outcome` from the unhealthy instance.
  uint32_t Affected;
  OutcomeKind Outcome;
  bool Retracted;
  /// Expected number of daemons that eject it.
  uint32_t DaemonsWithout;
};

class FleetVerdict : public testing::TestWithParam<FleetCase> {};

TEST_P(FleetVerdict, ReachesTheRightDaemons) {
  Fleet fleet;
  fleet.runTicks(20, answerOk);
  fleet.runTicks(
      8,
      [](uint32_t vm) {
        return vm < GetParam().Affected ? GetParam().Outcome : OutcomeKind::Ok;
      },
      GetParam().Retracted);
  EXPECT_EQ(fleet.daemonsWithout(), GetParam().DaemonsWithout);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FleetVerdict,
    testing::Values(
        FleetCase{"ErrorsToAll", 6, OutcomeKind::Error, false, 6},
        FleetCase{"ErrorsToSome", 3, OutcomeKind::Error, false, 6},
        FleetCase{"ErrorsToNobody", 0, OutcomeKind::Error, false, 0},
        FleetCase{"OneCannotReachIt", 1, OutcomeKind::Unreachable, false, 1},
        FleetCase{"NobodyReachesIt", 6, OutcomeKind::Unreachable, false, 6},
        FleetCase{"RetractedFaults", 6, OutcomeKind::Fault, true, 0}),
    [](const auto &it) { return it.param.Name; });

TEST(PathFault, IsNamedAsReason) {
  Fleet fleet;
  fleet.runTicks(20, answerOk);
  fleet.runTicks(8, [](uint32_t vm) {
    return vm == 2 ? OutcomeKind::Unreachable : OutcomeKind::Ok;
  });
  EXPECT_EQ(fleet.table(2).view(UnhealthyInstance).Reason,
            EjectReason::PathFault);
  EXPECT_EQ(fleet.table(1).view(UnhealthyInstance).Reason, EjectReason::None);
}

TEST(IsolatedDaemon, EjectsInItsOwnTableOnly) {
  Fleet fleet;
  fleet.runTicks(20, answerOk);
  constexpr uint32_t Isolated = 3;
  fleet.Partitioned[Isolated] = true;
  for (uint32_t vm = 0; vm < Daemons; ++vm) {
    if (vm != Isolated)
      fleet.Views[Isolated][vm].State = VmState::Suspect;
    fleet.Views[vm][Isolated].State = VmState::Suspect;
  }
  fleet.Views[Isolated][Isolated].State = VmState::Alive;
  auto outcome = [](uint32_t vm) {
    return vm == Isolated ? OutcomeKind::Fault : OutcomeKind::Ok;
  };
  fleet.runTicks(20, outcome);
  EXPECT_NE(fleet.table(Isolated).at(UnhealthyInstance).Use, UseState::InUse);
  EXPECT_EQ(fleet.daemonsWithout(), 1U);
  // Its messages arrive again before the others consider it alive.
  fleet.Partitioned[Isolated] = false;
  fleet.runTicks(4, outcome);
  for (uint32_t vm = 0; vm < Daemons; ++vm) {
    if (vm != Isolated) {
      EXPECT_EQ(fleet.table(vm).at(UnhealthyInstance).Use, UseState::InUse);
    }
  }
}

class LostOwner : public testing::TestWithParam<uint32_t> {};

TEST_P(LostOwner, DoesNotEndEjections) {
  Fleet fleet;
  fleet.runTicks(20, answerOk);
  fleet.runTicks(8, failWithFault);
  ASSERT_EQ(fleet.daemonsWithout(), Daemons);
  uint32_t lost = GetParam();
  fleet.Partitioned[lost] = true;
  for (auto &view : fleet.Views)
    view[lost].State = VmState::Gone;
  fleet.runTicks(4, answerOk);
  for (uint32_t vm = 0; vm < Daemons; ++vm)
    EXPECT_EQ(fleet.table(vm).at(UnhealthyInstance).Use, UseState::Ejected)
        << vm;
}

// One of the daemons is the owner.
INSTANTIATE_TEST_SUITE_P(Vms, LostOwner, testing::Range(0U, Daemons));

} // namespace

} // namespace guavasail
