/// \file
/// What VMs that all start at once ask of the store and of each other.
#include "config_part.h"
#include "presence.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(1000)};
constexpr uint32_t StrongCpuPercent = 50;
constexpr uint32_t WeakCpuPercent = 10;

/// The distribution of the configuration on one VM, which gets no answers.
class SilentSync {
public:
  /// \param self position of this VM in the list of VMs.
  SilentSync(uint32_t self, uint32_t vms, uint32_t zones, uint64_t seed)
      : Times(timesOfFleet()), Marks(FreshnessBounds{}),
        Sync(Keeper, Marks, Times, seed) {
    for (uint32_t n = 0; n < vms; ++n) {
      VmEntry entry;
      entry.Name = "vm" + std::to_string(n);
      entry.Zone = Names.zone("z" + std::to_string(n % zones));
      entry.State = VmState::Alive;
      // The first VM of each zone is strong.
      entry.CpuPercent = n < zones ? StrongCpuPercent : WeakCpuPercent;
      Members.push_back(entry);
    }
    // A VM knows itself first.
    std::swap(Members[0], Members[self]);
    Zone = Members[0].Zone;
  }

  /// Runs until \p until. Other VMs are known from \p listed on.
  /// \returns true if the VM reads the store then.
  bool readsAt(Duration until, Duration listed) {
    bool reads = false;
    for (Instant now = Start; now <= Start + until; now += milliseconds(10)) {
      size_t known = now < Start + listed ? 1 : Members.size();
      Reach.Zones = {Zone};
      MemberView view{std::span(Members).first(known), VmHandle{0}};
      view.MinSharedWorkCpuPercent =
          known > 1 ? StrongCpuPercent / 2 : WeakCpuPercent / 2;
      ConfigStep step{now, Effects, view, Zone, Reach, Names};
      if (Sync.nextDue() <= now)
        Sync.onTick(false, step);
      reads = Sync.shouldWatch(step);
      Asked |= !Effects.items().empty();
      AskedAt = Asked && AskedAt == Duration::zero() ? now - Start : AskedAt;
    }
    return reads;
  }

  /// \returns the time of the first request to another VM.
  [[nodiscard]] Duration askedAt() const { return AskedAt; }

private:
  static SyncTimes timesOfFleet() {
    ConfigInit init;
    useReaderTimes(init);
    return init.Sync;
  }

  SyncTimes Times;
  ConfigKeeper Keeper;
  Freshness Marks;
  ConfigSync Sync;
  CatalogIndex Names;
  std::vector<VmEntry> Members;
  ZoneHandle Zone;
  FleetReach Reach;
  EffectBuffer Effects;
  bool Asked = false;
  Duration AskedAt{};
};

/// A fleet whose VMs start at once and get no answer from their watchers.
struct StartCase {
  std::string_view Name;
  uint32_t Vms;
  uint32_t Zones;
  /// When the list of VMs arrives, and when readers of the store are counted.
  milliseconds Listed;
  milliseconds Until;
  /// Bounds of the share of VMs that read the store, in percent.
  uint32_t MinPercent;
  uint32_t MaxPercent;
};

const StartCase Starts[] = {
    {"LargeFleetThatHasItsList", 440, 6, milliseconds(200), milliseconds(300),
     0, 2},
    {"SmallFleetThatHasItsList", 36, 4, milliseconds(200), milliseconds(300), 0,
     10},
    {"LargeFleetOfSilentWatchers", 440, 6, milliseconds(200),
     milliseconds(1500), 1, 25},
    {"SmallFleetOfSilentWatchers", 36, 4, milliseconds(200), milliseconds(1500),
     50, 100},
};

std::ostream &operator<<(std::ostream &out, const StartCase &row) {
  return out << row.Name;
}

class ColdStart : public testing::TestWithParam<StartCase> {};

TEST_P(ColdStart, LetsFewVmsReadTheStore) {
  constexpr uint32_t Hundred = 100;
  const StartCase &row = GetParam();
  uint32_t readers = 0;
  for (uint32_t vm = 0; vm < row.Vms; ++vm) {
    SilentSync sync(vm, row.Vms, row.Zones, vm + 1);
    readers += sync.readsAt(row.Until, row.Listed) ? 1 : 0;
  }
  EXPECT_LE(readers * Hundred, row.Vms * row.MaxPercent);
  EXPECT_GE(readers * Hundred, row.Vms * row.MinPercent);
}

TEST_P(ColdStart, AsksOtherVmsOnceTheyAreKnown) {
  constexpr Duration Bound = milliseconds(100);
  const StartCase &row = GetParam();
  SilentSync sync(row.Vms - 1, row.Vms, row.Zones, 1);
  sync.readsAt(row.Until, row.Listed);
  EXPECT_GT(sync.askedAt(), Duration::zero());
  EXPECT_LE(sync.askedAt(), row.Listed + Bound);
}

INSTANTIATE_TEST_SUITE_P(Table, ColdStart, testing::ValuesIn(Starts),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Reads of the list of VMs in the first seconds of a VM.
struct ListCase {
  std::string_view Name;
  size_t Vms;
  /// Pages of the list, each of which is one call.
  size_t Pages;
  /// Largest number of calls of the whole fleet for each VM.
  size_t MaxCalls;
};

const ListCase Lists[] = {
    {"SmallFleet", 36, 1, 6},
    {"LargeFleet", 443, 9, 27},
};

std::ostream &operator<<(std::ostream &out, const ListCase &row) {
  return out << row.Name;
}

class VmListReads : public testing::TestWithParam<ListCase> {};

TEST_P(VmListReads, GrowNoFasterThanTheList) {
  const ListCase &row = GetParam();
  PresenceInit init;
  init.Enabled = true;
  VmRegistration registration(init);
  EffectBuffer effects;
  size_t calls = 0;
  for (Instant now = Start; now < Start + seconds(5); now += milliseconds(20)) {
    size_t known = calls == 0 ? 1 : row.Vms;
    effects.clear();
    registration.advance({now, effects, known});
    for (const Effect &it : effects.items()) {
      const auto *call = std::get_if<CallPresence>(&it);
      calls += call && call->Call == PresenceCall::List ? row.Pages : 0;
    }
  }
  EXPECT_GE(calls, 2 * row.Pages);
  EXPECT_LE(calls, row.MaxCalls);
}

INSTANTIATE_TEST_SUITE_P(Table, VmListReads, testing::ValuesIn(Lists),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// The store's eras that a registered VM learns of.
struct EraCase {
  std::string_view Name;
  /// Era that has the entry.
  uint64_t Announced;
  /// Era that another VM has seen.
  uint64_t Noted;
  bool RegistersAgain;
};

const EraCase Eras[] = {
    {"NoRestoration", 0, 0, false},
    {"Restored", 0, 1, true},
    {"RegisteredSince", 2, 2, false},
    {"LateNews", 2, 1, false},
};

std::ostream &operator<<(std::ostream &out, const EraCase &row) {
  return out << row.Name;
}

class StoreRestored : public testing::TestWithParam<EraCase> {};

/// Guards against a VM that is missing from the list until its next renewal,
/// because the restored store lacks its entry.
TEST_P(StoreRestored, RegistersAgainWithinTwoSeconds) {
  const EraCase &row = GetParam();
  PresenceInit init;
  init.Enabled = true;
  init.RenewInterval = seconds(8);
  VmRegistration registration(init);
  EffectBuffer effects;
  registration.advance({Start, effects, 1});
  PresenceReplied done{PresenceCall::Announce, PresenceOutcome::Done,
                       row.Announced};
  registration.onReply(done, {Start, effects});
  registration.noteStoreEra(row.Noted, {Start, effects});
  size_t announced = 0;
  for (Instant now = Start; now < Start + seconds(2); now += milliseconds(20)) {
    effects.clear();
    registration.advance({now, effects, 1});
    for (const Effect &it : effects.items()) {
      const auto *call = std::get_if<CallPresence>(&it);
      announced += call && call->Call == PresenceCall::Announce ? 1 : 0;
    }
  }
  EXPECT_EQ(announced, row.RegistersAgain ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(Table, StoreRestored, testing::ValuesIn(Eras),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
