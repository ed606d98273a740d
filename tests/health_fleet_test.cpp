/// \file
/// Several daemons that exchange evidence and verdicts.
#include "health_fleet.h"

#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

constexpr uint32_t Daemons = 6;
constexpr uint32_t Instances = 6;
constexpr InstanceHandle Sick{0};
constexpr Duration Period = std::chrono::milliseconds(250);
constexpr Duration Usual = std::chrono::milliseconds(10);

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

/// Daemons with a view of the members each.
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

  /// Every daemon uses every instance; \p outcome says how \p Sick answers.
  void run(uint32_t periods,
           const std::function<OutcomeKind(uint32_t vm)> &outcome,
           bool forgiven = false) {
    for (uint32_t n = 0; n < periods; ++n) {
      for (uint32_t vm = 0; vm < Daemons; ++vm)
        for (uint32_t it = 0; it < Instances; ++it)
          use(vm, {it}, it == Sick.Value ? outcome(vm) : OutcomeKind::Ok,
              forgiven);
      Now += Period;
      for (uint32_t vm = 0; vm < Daemons; ++vm) {
        Effects.clear();
        Items[vm].tick(view(vm), Now, Effects);
        deliver(vm);
      }
    }
  }

  /// Passes messages on, and what they cause.
  void deliver(uint32_t from) {
    std::vector<Effect> effects(Effects.items().begin(), Effects.items().end());
    for (const Effect &effect : effects) {
      const auto *message = std::get_if<SendPeer>(&effect);
      if (!message || Cut[from] || Cut[message->To.Value])
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

  /// \returns the daemons that keep \p Sick out.
  uint32_t without() {
    uint32_t count = 0;
    for (uint32_t vm = 0; vm < Daemons; ++vm)
      count += table(vm).at(Sick).Use == UseState::Ejected ? 1 : 0;
    return count;
  }

  std::vector<std::vector<VmEntry>> Views;
  std::vector<bool> Cut = std::vector<bool>(Daemons);
  std::vector<FleetHealth> Items;
  EffectBuffer Effects;
  CatalogIndex Catalog;
  Instant Now{std::chrono::seconds(1000)};

private:
  void use(uint32_t vm, InstanceHandle instance, OutcomeKind kind,
           bool forgiven) {
    AttemptHandle attempt{{instance.Value, ++Generation}, 1};
    Items[vm].attemptStarted(attempt, instance, Now - Usual);
    Items[vm].attemptEnded(attempt, kind, Now);
    Items[vm].attemptDropped(attempt);
    if (forgiven && kind != OutcomeKind::Ok)
      Items[vm].retractFailure(attempt);
  }

  uint32_t Generation = 0;
};

OutcomeKind good(uint32_t) { return OutcomeKind::Ok; }
OutcomeKind crash(uint32_t) { return OutcomeKind::Fault; }

struct FleetCase {
  std::string Name;
  /// Daemons to which the sick instance yields the outcome.
  uint32_t Affected;
  OutcomeKind Outcome;
  bool Forgiven;
  /// Daemons that must keep it out.
  uint32_t Without;
};

class FleetVerdict : public testing::TestWithParam<FleetCase> {};

TEST_P(FleetVerdict, ReachesTheRightDaemons) {
  Fleet fleet;
  fleet.run(20, good);
  fleet.run(
      8,
      [](uint32_t vm) {
        return vm < GetParam().Affected ? GetParam().Outcome : OutcomeKind::Ok;
      },
      GetParam().Forgiven);
  EXPECT_EQ(fleet.without(), GetParam().Without);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FleetVerdict,
    testing::Values(
        FleetCase{"ErrorsToAll", 6, OutcomeKind::Error, false, 6},
        FleetCase{"ErrorsToSome", 3, OutcomeKind::Error, false, 6},
        FleetCase{"ErrorsToNobody", 0, OutcomeKind::Error, false, 0},
        FleetCase{"OneCannotReachIt", 1, OutcomeKind::Unreachable, false, 1},
        FleetCase{"NobodyReachesIt", 6, OutcomeKind::Unreachable, false, 6},
        FleetCase{"CrashesByRequests", 6, OutcomeKind::Fault, true, 0}),
    [](const auto &it) { return it.param.Name; });

TEST(PathFault, IsNamedAsReason) {
  Fleet fleet;
  fleet.run(20, good);
  fleet.run(8, [](uint32_t vm) {
    return vm == 2 ? OutcomeKind::Unreachable : OutcomeKind::Ok;
  });
  EXPECT_EQ(fleet.table(2).view(Sick).Reason, EjectReason::PathFault);
  EXPECT_EQ(fleet.table(1).view(Sick).Reason, EjectReason::None);
}

TEST(CutOffDaemon, JudgesForItselfOnly) {
  Fleet fleet;
  fleet.run(20, good);
  constexpr uint32_t Alone = 3;
  fleet.Cut[Alone] = true;
  for (uint32_t vm = 0; vm < Daemons; ++vm) {
    if (vm != Alone)
      fleet.Views[Alone][vm].State = VmState::Suspect;
    fleet.Views[vm][Alone].State = VmState::Suspect;
  }
  fleet.Views[Alone][Alone].State = VmState::Alive;
  auto outcome = [](uint32_t vm) {
    return vm == Alone ? OutcomeKind::Fault : OutcomeKind::Ok;
  };
  fleet.run(20, outcome);
  EXPECT_NE(fleet.table(Alone).at(Sick).Use, UseState::InUse);
  EXPECT_EQ(fleet.without(), 1U);
  // Its messages arrive again, before the others believe that it is back.
  fleet.Cut[Alone] = false;
  fleet.run(4, outcome);
  for (uint32_t vm = 0; vm < Daemons; ++vm) {
    if (vm != Alone) {
      EXPECT_EQ(fleet.table(vm).at(Sick).Use, UseState::InUse);
    }
  }
}

class LostOwner : public testing::TestWithParam<uint32_t> {};

TEST_P(LostOwner, DoesNotEndEjections) {
  Fleet fleet;
  fleet.run(20, good);
  fleet.run(8, crash);
  ASSERT_EQ(fleet.without(), Daemons);
  uint32_t lost = GetParam();
  fleet.Cut[lost] = true;
  for (auto &view : fleet.Views)
    view[lost].State = VmState::Gone;
  fleet.run(4, good);
  for (uint32_t vm = 0; vm < Daemons; ++vm)
    EXPECT_EQ(fleet.table(vm).at(Sick).Use, UseState::Ejected) << vm;
}

// One of them is the owner.
INSTANTIATE_TEST_SUITE_P(Vms, LostOwner, testing::Range(0U, Daemons));

} // namespace

} // namespace guavasail
