/// \file
/// Runs random writes over readers that read the store page by page.
#include "config_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace guavasail {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr uint32_t Vms = 4;
constexpr uint32_t Instances = 6;
constexpr uint32_t Values = 2;

/// One step of a run.
struct PagedStep {
  uint32_t Action = 0;
  uint32_t Vm = 0;
  uint32_t Instance = 0;
  uint32_t Value = 0;
  /// Time until the next step. Most are shorter than a read.
  uint32_t Micros = 0;
};

void showValue(const PagedStep &step, std::ostream &out) {
  out << "{" << step.Action << " vm " << step.Vm << " instance "
      << step.Instance << " value " << step.Value << " us " << step.Micros
      << "}";
}

std::ostream &operator<<(std::ostream &out, const PagedStep &step) {
  showValue(step, out);
  return out;
}

class PagedRun {
public:
  explicit PagedRun(uint64_t seed) : Fleet(init(seed)) {
    for (uint32_t n = 0; n < Instances; n += 2)
      Fleet.Pages.put(nameOf(n), 1);
    Fleet.run(seconds(4));
  }

  void apply(const PagedStep &step) {
    static constexpr Action Actions[] = {
        &PagedRun::put,  &PagedRun::put,  &PagedRun::put,   &PagedRun::drop,
        &PagedRun::drop, &PagedRun::beat, &PagedRun::pause, &PagedRun::cut,
        &PagedRun::heal, &PagedRun::wait};
    (this->*Actions[step.Action % std::size(Actions)])(step);
    Fleet.run(microseconds(step.Micros));
    check();
  }

  /// What was written last is in force once everyone was in touch.
  void finish() {
    Fleet.heal();
    Fleet.run(seconds(8));
    check();
    auto newest = chunkDigests(Fleet.Pages.at(Fleet.Pages.revision()));
    for (uint32_t vm = 0; vm < Vms; ++vm)
      RC_ASSERT(std::ranges::equal(Fleet.content(vm), newest));
  }

private:
  using Action = void (PagedRun::*)(const PagedStep &step);

  static FleetInit init(uint64_t seed) {
    FleetInit it;
    it.Vms = Vms;
    it.Zones = 2;
    it.Seed = seed;
    it.VersionsNameContent = true;
    it.Paged = true;
    useReaderTimes(it.Part);
    return it;
  }

  static std::string nameOf(uint32_t n) { return "i-" + std::to_string(n); }

  /// A version is the content at its revision: equal versions have equal
  /// content, and a greater one was seen later.
  void check() const {
    for (uint32_t vm = 0; vm < Vms; ++vm) {
      uint64_t version = Fleet.version(vm);
      RC_ASSERT(version <= Fleet.Pages.revision());
      if (version > 0)
        RC_ASSERT(std::ranges::equal(Fleet.content(vm),
                                     chunkDigests(Fleet.Pages.at(version))));
    }
    RC_ASSERT(Fleet.violations().empty());
  }

  void put(const PagedStep &step) {
    Fleet.Pages.put(nameOf(step.Instance), 1 + step.Value);
  }
  void drop(const PagedStep &step) { Fleet.Pages.drop(nameOf(step.Instance)); }
  void beat(const PagedStep &) { Fleet.Pages.touch(); }
  void pause(const PagedStep &step) { Fleet.pause(step.Vm, true); }
  void cut(const PagedStep &step) {
    Fleet.cut(step.Vm, (step.Vm + 1 + step.Instance % 3) % Vms, true);
  }
  void heal(const PagedStep &) { Fleet.heal(); }
  void wait(const PagedStep &) { Fleet.run(seconds(1)); }

  ConfigFleet Fleet;
};

rc::Gen<PagedStep> genStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<PagedStep>(
          rc::gen::set(&PagedStep::Action, rc::gen::inRange(0u, 10u)),
          rc::gen::set(&PagedStep::Vm, rc::gen::inRange(0u, Vms)),
          rc::gen::set(&PagedStep::Instance, rc::gen::inRange(0u, Instances)),
          rc::gen::set(&PagedStep::Value, rc::gen::inRange(0u, Values)),
          rc::gen::set(&PagedStep::Micros,
                       rc::gen::weightedOneOf<uint32_t>(
                           {{3, rc::gen::inRange(0u, 30'000u)},
                            {1, rc::gen::inRange(0u, 1'500'000u)}}))));
}

/// Guards against one version for two contents: an instance that drains stayed
/// in use because the list was read page by page while it was written.
RC_GTEST_PROP(PagedReadFuzz, NamesEachContentOnce, ()) {
  auto seed = *rc::gen::arbitrary<uint64_t>();
  auto steps = *rc::gen::container<std::vector<PagedStep>>(genStep());
  PagedRun run(seed);
  for (const PagedStep &step : steps)
    run.apply(step);
  run.finish();
}

} // namespace

} // namespace guavasail
