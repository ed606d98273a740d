/// \file
/// Runs random faults over a fleet that reads an operator's changes, among them
/// changes that are reverted before all readers have seen them.
#include "config_fleet.h"

#include "session.h"
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t Vms = 8;
constexpr uint32_t Keys = 3;
constexpr Duration WithdrawalBound = seconds(5);
constexpr Duration Slice = milliseconds(50);

/// One step of a run.
struct ReaderStep {
  uint32_t Action = 0;
  uint32_t Vm = 0;
  uint32_t Key = 0;
  uint32_t Millis = 0;
};

void showValue(const ReaderStep &step, std::ostream &out) {
  out << "{" << step.Action << " vm " << step.Vm << " key " << step.Key
      << " ms " << step.Millis << "}";
}

std::ostream &operator<<(std::ostream &out, const ReaderStep &step) {
  showValue(step, out);
  return out;
}

std::string nameOf(uint32_t key) { return "w" + std::to_string(key); }

/// Runs steps and checks all VMs after each slice of time.
class ReaderRun {
public:
  explicit ReaderRun(uint64_t seed) : Fleet(init(seed)) {
    write();
    run(seconds(6));
    // A lost read shifts one reader's phase.
    cutReader({});
    run(milliseconds(1200));
    Fleet.heal();
    run(seconds(3));
  }

  void apply(const ReaderStep &step) {
    static constexpr Action Actions[] = {
        &ReaderRun::toggleKey, &ReaderRun::toggleKey, &ReaderRun::flashKey,
        &ReaderRun::flashKey,  &ReaderRun::touch,     &ReaderRun::cutReader,
        &ReaderRun::cutReader, &ReaderRun::cutStore,  &ReaderRun::cutOneWay,
        &ReaderRun::restart,   &ReaderRun::pause,     &ReaderRun::slowStore,
        &ReaderRun::heal,      &ReaderRun::heal};
    (this->*Actions[step.Action % std::size(Actions)])(step);
    run(milliseconds(step.Millis));
  }

  void finish() {
    Fleet.heal();
    run(seconds(15));
    for (uint32_t vm = 0; vm < Vms; ++vm) {
      RC_ASSERT(Fleet.freshState(vm) == FreshState::Confirmed);
      for (uint32_t key = 0; key < Keys; ++key)
        RC_ASSERT(holds(vm, key) == Issued.contains(key));
    }
  }

private:
  using Action = void (ReaderRun::*)(const ReaderStep &step);

  static FleetInit init(uint64_t seed) {
    FleetInit it;
    it.Vms = Vms;
    it.Zones = 2;
    it.Seed = seed;
    it.VersionsNameContent = true;
    it.Part.Bounds.AdmitDuringOutage = false;
    useReaderTimes(it.Part);
    return it;
  }

  [[nodiscard]] bool holds(uint32_t vm, uint32_t key) const {
    return Fleet.holdsKey(vm, sampleDigest(nameOf(key)));
  }

  void write() {
    CatalogSpec catalog;
    for (uint32_t key : Issued) {
      WorkspaceSpec &it = catalog.Workspaces.emplace_back();
      it.Name = nameOf(key);
      it.Keys.push_back({"k", sampleDigest(it.Name)});
    }
    Fleet.writeCatalog(catalog);
  }

  void run(Duration time) {
    for (Instant end = Fleet.now() + time; Fleet.now() < end;) {
      Fleet.run(std::min(Slice, end - Fleet.now()));
      check();
    }
  }

  void check() const {
    for (const auto &[key, at] : WithdrawnAt)
      for (uint32_t vm = 0; vm < Vms; ++vm) {
        bool late = Fleet.now() - at >= WithdrawalBound;
        RC_ASSERT(!(late && Fleet.admits(vm) && holds(vm, key)));
      }
  }

  void toggleKey(const ReaderStep &step) {
    if (Issued.erase(step.Key) > 0) {
      WithdrawnAt[step.Key] = Fleet.now();
    } else {
      Issued.insert(step.Key);
      WithdrawnAt.erase(step.Key);
    }
    write();
  }
  /// Adds a key, or withdraws one, and reverts that within a second.
  void flashKey(const ReaderStep &step) {
    toggleKey(step);
    run(milliseconds(step.Millis % 1000));
    toggleKey(step);
  }
  void touch(const ReaderStep &) { Fleet.touchStore(); }
  /// Turns away a VM that reads the store.
  void cutReader(const ReaderStep &step) {
    uint32_t skipped = step.Vm % 2;
    for (uint32_t vm = 0; vm < Vms; ++vm)
      if (Fleet.watches(vm) && skipped-- == 0)
        return Fleet.cutStore(vm, true);
  }
  void cutStore(const ReaderStep &step) { Fleet.cutStore(step.Vm, true); }
  void cutOneWay(const ReaderStep &step) {
    for (uint32_t vm = 0; vm < Vms; ++vm)
      if (vm != step.Vm && (step.Key != 0 || vm % 2 == 0))
        Fleet.cut(step.Vm, vm, true);
  }
  void restart(const ReaderStep &step) { Fleet.restart(step.Vm); }
  void pause(const ReaderStep &step) {
    Fleet.pause(step.Vm, true);
    run(milliseconds(step.Millis));
    Fleet.pause(step.Vm, false);
  }
  void slowStore(const ReaderStep &step) {
    Fleet.Store.Faults.Delay = milliseconds(step.Millis);
  }
  void heal(const ReaderStep &) { Fleet.heal(); }

  ConfigFleet Fleet;
  std::set<uint32_t> Issued = {0};
  std::map<uint32_t, Instant> WithdrawnAt;
};

rc::Gen<ReaderStep> genStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<ReaderStep>(
          rc::gen::set(&ReaderStep::Action, rc::gen::inRange(0u, 14u)),
          rc::gen::set(&ReaderStep::Vm, rc::gen::inRange(0u, Vms)),
          rc::gen::set(&ReaderStep::Key, rc::gen::inRange(0u, Keys)),
          rc::gen::set(&ReaderStep::Millis, rc::gen::inRange(0u, 4000u))));
}

/// No VM accepts a key later than the bound after it was withdrawn, whichever
/// readers saw which of the changes.
RC_GTEST_PROP(ReaderFuzz, RefusesWithdrawnKeys, ()) {
  auto seed = *rc::gen::arbitrary<uint64_t>();
  auto steps = *rc::gen::container<std::vector<ReaderStep>>(genStep());
  ReaderRun run(seed);
  for (const ReaderStep &step : steps)
    run.apply(step);
  run.finish();
}

} // namespace

} // namespace guavasail
