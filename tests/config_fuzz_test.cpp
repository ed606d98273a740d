/// \file
/// Runs random faults and changes and compares the result with a model of the
/// catalog.
#include "config_fleet.h"

#include "config_apply.h"
#include "session.h"
#include <cstdlib>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The seed is fixed; set RC_PARAMS to use another one.
const int ParamsSet =
    setenv("RC_PARAMS", "seed=20260 max_success=300 max_size=80", 0);

constexpr uint32_t Vms = 6;
constexpr uint32_t Workspaces = 4;

/// One step of a run.
struct FuzzStep {
  uint32_t Action = 0;
  uint32_t Vm = 0;
  uint32_t Mask = 0;
  uint32_t Millis = 0;
};

void showValue(const FuzzStep &step, std::ostream &out) {
  out << "{" << step.Action << " vm " << step.Vm << " mask " << step.Mask
      << " ms " << step.Millis << "}";
}

std::ostream &operator<<(std::ostream &out, const FuzzStep &step) {
  showValue(step, out);
  return out;
}

std::set<uint32_t> groupOf(uint32_t mask) {
  std::set<uint32_t> group;
  for (uint32_t vm = 0; vm < Vms; ++vm)
    if (mask & (1u << vm))
      group.insert(vm);
  return group;
}

/// Runs steps and records the proposed changes.
class FuzzRun {
public:
  explicit FuzzRun(uint32_t lossPercent, uint64_t seed)
      : Fleet(init(lossPercent, seed)) {}

  void start() {
    Fleet.run(seconds(4));
    for (uint32_t n = 0; n < Workspaces; ++n) {
      WorkspaceSpec spec;
      spec.Name = "w" + std::to_string(n);
      spec.Keys.push_back({"k1", sampleDigest(spec.Name)});
      propose(n % Vms, CreateWorkspace{spec});
    }
    Fleet.run(seconds(4));
  }

  void apply(const FuzzStep &step) {
    static constexpr Action Actions[] = {
        &FuzzRun::setRate,      &FuzzRun::toggleKey,
        &FuzzRun::setRate,      &FuzzRun::toggleKey,
        &FuzzRun::split,        &FuzzRun::cutOneWay,
        &FuzzRun::cutStore,     &FuzzRun::storeAway,
        &FuzzRun::loseReplies,  &FuzzRun::returnStaleReads,
        &FuzzRun::delayReplies, &FuzzRun::restart,
        &FuzzRun::pause,        &FuzzRun::proposeAgain,
        &FuzzRun::heal,         &FuzzRun::heal};
    (this->*Actions[step.Action % std::size(Actions)])(step);
    Fleet.run(milliseconds(step.Millis));
  }

  void finish() {
    Fleet.heal();
    Fleet.run(seconds(15));
    RC_ASSERT(Fleet.violations() == std::vector<std::string>{});
    const ConfigHead head = std::get<ConfigHead>(*Fleet.Store.head().Value);
    for (uint32_t vm = 0; vm < Vms; ++vm) {
      RC_ASSERT(Fleet.version(vm) == head.Version);
      RC_ASSERT(Fleet.freshState(vm) == FreshState::Confirmed);
    }
    checkTrail(head);
  }

private:
  using Action = void (FuzzRun::*)(const FuzzStep &step);

  static FleetInit init(uint32_t lossPercent, uint64_t seed) {
    FleetInit it;
    it.Vms = Vms;
    it.LossPercent = lossPercent;
    it.Seed = seed;
    return it;
  }

  void propose(uint32_t vm, Command command) {
    std::string id = "c" + std::to_string(++LastChange);
    Proposed.emplace(id, changeOf(id, std::move(command)));
    Fleet.propose(vm, Proposed.at(id));
  }

  static std::string workspaceName(const FuzzStep &step) {
    return "w" + std::to_string(step.Mask % Workspaces);
  }

  void setRate(const FuzzStep &step) {
    propose(step.Vm, SetRate{workspaceName(step), 1, step.Millis, step.Mask});
  }
  void toggleKey(const FuzzStep &step) {
    if (step.Mask & 32)
      propose(step.Vm, WithdrawKey{workspaceName(step), "k1"});
    else
      propose(step.Vm, IssueKey{workspaceName(step),
                                {"k1", sampleDigest(workspaceName(step))}});
  }
  void proposeAgain(const FuzzStep &step) {
    if (!Proposed.empty())
      Fleet.propose(step.Vm, std::prev(Proposed.end())->second);
  }
  void split(const FuzzStep &step) {
    Fleet.split(groupOf(step.Mask), true);
    // In three of four cases the group loses the store too.
    if (step.Millis % 4 != 0)
      for (uint32_t vm : groupOf(step.Mask))
        Fleet.cutStore(vm, true);
  }
  void cutOneWay(const FuzzStep &step) {
    for (uint32_t vm : groupOf(step.Mask))
      if (vm != step.Vm)
        Fleet.cut(step.Vm, vm, true);
  }
  void cutStore(const FuzzStep &step) {
    for (uint32_t vm : groupOf(step.Mask))
      Fleet.cutStore(vm, true);
  }
  void storeAway(const FuzzStep &) { Fleet.Store.Faults.Unreachable = true; }
  void loseReplies(const FuzzStep &) { Fleet.Store.Faults.LosesReplies = true; }
  void returnStaleReads(const FuzzStep &) {
    Fleet.Store.Faults.ReturnsStaleReads = true;
  }
  void delayReplies(const FuzzStep &step) {
    Fleet.Store.Faults.Delay = milliseconds(step.Millis);
  }
  void restart(const FuzzStep &step) { Fleet.restart(step.Vm); }
  void pause(const FuzzStep &step) { Fleet.pause(step.Vm, step.Mask % 2); }
  void heal(const FuzzStep &) { Fleet.heal(); }

  /// Every accepted change is in the audit trail once, at the place of its
  /// version, and replaying the trail gives the catalog.
  void checkTrail(const ConfigHead &head) {
    std::vector<std::string> trail = Fleet.auditTrail();
    RC_ASSERT(trail.size() + 1 == head.Version);
    RC_ASSERT(std::set<std::string>(trail.begin(), trail.end()).size() ==
              trail.size());
    CatalogSpec model;
    model.Version = 1;
    for (const std::string &id : trail) {
      auto next = applyChange(model, Proposed.at(id));
      RC_ASSERT(next.has_value());
      model = next.value();
    }
    for (const auto &[id, trace] : Fleet.changes()) {
      auto at = std::find(trail.begin(), trail.end(), id);
      if (const auto *it = std::get_if<ChangeAccepted>(&trace.Outcome);
          it && trace.Concluded != Instant{})
        RC_ASSERT(static_cast<uint64_t>(at - trail.begin()) + 2 == it->Version);
    }
    ConfigHead expected = head;
    ChunkTable table = splitCatalog(model);
    for (uint32_t slot = 0; slot < ChunkSlots; ++slot)
      expected.Chunks[slot] = chunkDigest(table.Slots[slot]);
    RC_ASSERT(expected.Chunks == head.Chunks);
  }

  ConfigFleet Fleet;
  std::map<std::string, Change> Proposed;
  uint32_t LastChange = 10;
};

rc::Gen<FuzzStep> genStep() {
  // The size limits the ranges; small sizes would never generate the last
  // actions.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<FuzzStep>(
          rc::gen::set(&FuzzStep::Action, rc::gen::inRange(0u, 16u)),
          rc::gen::set(&FuzzStep::Vm, rc::gen::inRange(0u, Vms)),
          rc::gen::set(&FuzzStep::Mask, rc::gen::inRange(0u, 64u)),
          rc::gen::set(&FuzzStep::Millis, rc::gen::inRange(0u, 7000u))));
}

RC_GTEST_PROP(ConfigFuzz, KeepsInvariants, ()) {
  auto loss = *rc::gen::inRange(0u, 10u);
  auto seed = *rc::gen::arbitrary<uint64_t>();
  auto steps = *rc::gen::container<std::vector<FuzzStep>>(genStep());
  FuzzRun run(loss, seed);
  run.start();
  for (const FuzzStep &step : steps)
    run.apply(step);
  run.finish();
}

} // namespace

} // namespace guavasail
