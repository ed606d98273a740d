/// \file
/// The floor: a table of cases, and a stateful property over sequences of
/// verdicts, path faults, drains, leaving instances, time and catalogs.
#include "health_floor.h"
#include "health_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

struct FloorCase {
  std::string Name;
  uint32_t FloorPercent;
  std::vector<FloorItem> Items;
  std::vector<bool> Ejected;
};

class Floor : public testing::TestWithParam<FloorCase> {};

TEST_P(Floor, EjectsTheWorstDownToTheFloor) {
  std::vector<FloorItem> items = GetParam().Items;
  applyFloor(items, GetParam().FloorPercent);
  for (size_t n = 0; n < items.size(); ++n)
    EXPECT_EQ(items[n].Ejected, GetParam().Ejected[n]) << n;
}

// Slots, severity, unavailable, ejection wanted.
INSTANTIATE_TEST_SUITE_P(
    Cases, Floor,
    testing::Values(
        FloorCase{"NoEjectionWanted", 50, {{6}, {6}}, {false, false}},
        FloorCase{"WorstOfTwoIsEjected",
                  50,
                  {{6, 1, false, true}, {6, 2, false, true}},
                  {false, true}},
        FloorCase{"FloorRoundsUp",
                  50,
                  {{6, 1, false, true}, {6, 2}, {6, 3}},
                  {true, false, false}},
        FloorCase{"SlotsCountNotInstances",
                  50,
                  {{3, 1, false, true}, {9, 2, false, true}},
                  {false, false}},
        FloorCase{"DrainedSlotsAreNotInUse",
                  50,
                  {{6, 0, true}, {6, 1, false, true}},
                  {false, false}},
        FloorCase{"LeavingIsNotEjected",
                  0,
                  {{6, 9, true, true}, {6, 1, false, true}},
                  {false, true}},
        FloorCase{"FullFloorEjectsNone",
                  100,
                  {{6, 9, false, true}, {6}},
                  {false, false}},
        FloorCase{"NoneIsEjectedBeforeTheWorst",
                  60,
                  {{6, 9, false, true}, {1, 1, false, true}, {6}},
                  {false, false, false}}),
    [](const auto &it) { return it.param.Name; });

constexpr uint32_t InstanceCount = 8;

/// Expected state from the commands alone, independent of the table.
struct Model {
  uint32_t FloorPercent = 50;
  uint32_t Present = InstanceCount;
  std::vector<bool> Drained = std::vector<bool>(InstanceCount);
  std::vector<bool> Leaving = std::vector<bool>(InstanceCount);
};

uint32_t slotsOf(uint32_t n) { return 3 + n % 4; }

struct System {
  System() { accept(Model()); }

  void accept(const Model &model) {
    CatalogSpec spec;
    spec.Services.emplace_back();
    spec.Services[0].Name = "s";
    spec.Services[0].FloorPercent = model.FloorPercent;
    for (uint32_t n = 0; n < model.Present; ++n) {
      InstanceSpec instance;
      instance.Name = std::to_string(n);
      instance.Slots = slotsOf(n);
      spec.Services[0].Instances.push_back(instance);
    }
    Catalog.accept(spec);
    Table.acceptCatalog(Catalog, Now);
  }

  CatalogIndex Catalog;
  HealthTable Table;
  Instant Now{std::chrono::seconds(1000)};
};

bool isEjected(UseState use) {
  return use == UseState::Ejected || use == UseState::Trickle ||
         use == UseState::SlowStart;
}

void checkFloor(const Model &model, const System &system) {
  uint32_t totalSlots = 0;
  uint32_t slotsInUse = 0;
  bool ejected = false;
  for (uint32_t n = 0; n < model.Present; ++n) {
    const InstanceHealth &item = system.Table.items()[n];
    bool unavailable = model.Drained[n] || model.Leaving[n];
    totalSlots += slotsOf(n);
    ejected |= isEjected(item.Use);
    if (!unavailable && !isEjected(item.Use) && item.Weight > 0)
      slotsInUse += slotsOf(n);
    RC_ASSERT(!unavailable || item.Weight == 0);
  }
  RC_ASSERT(!ejected || slotsInUse * 100 >= totalSlots * model.FloorPercent);
}

using Command = rc::state::Command<Model, System>;

/// A command on one instance; each kind has one row in `Steps`.
using Step = void (*)(Model &, System &, InstanceHandle, uint32_t);

void applyAnyVerdict(Model &, System &system, InstanceHandle it,
                     uint32_t value) {
  VerdictEntry entry;
  entry.State = static_cast<VerdictState>(value % 4);
  entry.Severity = static_cast<uint16_t>(value);
  entry.Remaining = std::chrono::milliseconds(value % 9000);
  system.Table.applyVerdict(it, entry, system.Now);
}

void failConnections(Model &, System &system, InstanceHandle it,
                     uint32_t value) {
  for (uint32_t n = 0; n < value % 8; ++n)
    system.Table.recordUnreachable(it, system.Now);
}

void changeDrained(Model &model, System &system, InstanceHandle it,
                   uint32_t value) {
  model.Drained[it.Value] = value % 2 == 0;
  system.Table.setDrained(it, model.Drained[it.Value], system.Now);
}

void changeLeaving(Model &model, System &system, InstanceHandle it,
                   uint32_t value) {
  model.Leaving[it.Value] = value % 2 == 0;
  system.Table.setLeaving(it, model.Leaving[it.Value], system.Now);
}

void advanceTime(Model &, System &system, InstanceHandle, uint32_t value) {
  system.Now += std::chrono::milliseconds(value % 20000);
  system.Table.advance(system.Now);
}

void changeCatalog(Model &model, System &system, InstanceHandle,
                   uint32_t value) {
  model.FloorPercent = value % 101;
  model.Present = 1 + value % InstanceCount;
  system.accept(model);
}

constexpr Step Steps[] = {applyAnyVerdict, failConnections, changeDrained,
                          changeLeaving,   advanceTime,     changeCatalog};

struct AnyCommand : Command {
  size_t Kind = *rc::gen::inRange<size_t>(0, std::size(Steps));
  uint32_t Instance = *rc::gen::inRange<uint32_t>(0, InstanceCount);
  uint32_t Value = *rc::gen::inRange<uint32_t>(0, 40000);

  void apply(Model &model) const override {
    System scratch;
    Steps[Kind](model, scratch, InstanceHandle{Instance}, Value);
  }
  void checkPreconditions(const Model &model) const override {
    RC_PRE(Instance < model.Present);
  }
  void run(const Model &model, System &system) const override {
    Model next = model;
    Steps[Kind](next, system, InstanceHandle{Instance}, Value);
    checkFloor(next, system);
  }
  void show(std::ostream &out) const override {
    out << "step " << Kind << " instance " << Instance << " value " << Value;
  }
};

RC_GTEST_PROP(FloorProperty, HoldsInAnyInterleaving, ()) {
  System system;
  rc::state::check(Model(), system,
                   rc::state::gen::execOneOfWithArgs<AnyCommand>());
}

} // namespace

} // namespace guavasail
