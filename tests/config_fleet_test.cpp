/// \file
/// Scenarios with faults of VMs, links and the store, and fleets that read
/// changes by an operator tool.
#include "config_fleet.h"

#include "session.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace guavasail {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

WorkspaceSpec workspace(const std::string &name) {
  WorkspaceSpec spec;
  spec.Name = name;
  spec.Keys.push_back({"k1", sampleDigest(name)});
  return spec;
}

bool accepted(const ConfigFleet &fleet, const std::string &id) {
  const ChangeOutcome &outcome = fleet.changes().at(id).Outcome;
  return std::get_if<ChangeAccepted>(&outcome) != nullptr &&
         fleet.changes().at(id).Concluded != Instant{};
}

/// Starts a fleet and gives it two workspaces.
void prepare(ConfigFleet &fleet) {
  fleet.run(seconds(5));
  fleet.propose(0, changeOf("w-school", CreateWorkspace{workspace("school")}));
  fleet.run(seconds(2));
  fleet.propose(1, changeOf("w-port", CreateWorkspace{workspace("port")}));
  fleet.run(seconds(3));
  ASSERT_TRUE(accepted(fleet, "w-school"));
  ASSERT_TRUE(accepted(fleet, "w-port"));
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    ASSERT_TRUE(fleet.admits(vm)) << vm;
}

void withdraw(ConfigFleet &fleet, uint32_t vm) {
  fleet.propose(vm, changeOf("withdraw", WithdrawKey{"school", "k1"}));
}

/// Fails unless every VM is in \p state at version \p version.
void expectAll(const ConfigFleet &fleet, FreshState state, uint64_t version) {
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm) {
    EXPECT_EQ(freshStateName(fleet.freshState(vm)), freshStateName(state))
        << vm;
    EXPECT_EQ(fleet.version(vm), version) << vm;
  }
}

void healthyWithdrawal(ConfigFleet &fleet) {
  withdraw(fleet, 2);
  fleet.run(milliseconds(500));
  EXPECT_TRUE(accepted(fleet, "withdraw"));
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    EXPECT_FALSE(fleet.holdsKey(vm, sampleDigest("school"))) << vm;
  expectAll(fleet, FreshState::Confirmed, 4);
}

void cutOffAlone(ConfigFleet &fleet) {
  fleet.split({5}, true);
  fleet.cutStore(5, true);
  withdraw(fleet, 0);
  fleet.run(seconds(5));
  EXPECT_TRUE(accepted(fleet, "withdraw"));
  EXPECT_FALSE(fleet.admits(5));
  fleet.heal();
  fleet.run(seconds(3));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void cutOffWithMinority(ConfigFleet &fleet) {
  std::set<uint32_t> minority = {2, 5};
  fleet.split(minority, true);
  for (uint32_t vm : minority)
    fleet.cutStore(vm, true);
  withdraw(fleet, 0);
  fleet.run(seconds(5));
  EXPECT_FALSE(fleet.admits(2));
  EXPECT_FALSE(fleet.admits(5));
  EXPECT_TRUE(fleet.admits(0));
  fleet.heal();
  fleet.run(seconds(3));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void storeAwayForAll(ConfigFleet &fleet) {
  fleet.Store.Faults.Unreachable = true;
  Instant end = fleet.now() + hours(2);
  while (fleet.now() < end) {
    fleet.run(milliseconds(250));
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
      ASSERT_TRUE(fleet.admits(vm))
          << vm << " at " << (end - fleet.now()).count();
  }
  withdraw(fleet, 0);
  fleet.run(seconds(11));
  EXPECT_TRUE(std::holds_alternative<ChangeRejected>(
      fleet.changes().at("withdraw").Outcome));
  fleet.heal();
  fleet.run(seconds(5));
  expectAll(fleet, FreshState::Confirmed, 3);
}

void storeAwayThenBackForOthers(ConfigFleet &fleet) {
  fleet.Store.Faults.Unreachable = true;
  fleet.run(seconds(60));
  for (uint32_t vm = 3; vm < fleet.vms(); ++vm)
    fleet.cutStore(vm, true);
  fleet.Store.Faults.Unreachable = false;
  fleet.run(seconds(3));
  withdraw(fleet, 0);
  fleet.run(seconds(4));
  EXPECT_TRUE(accepted(fleet, "withdraw"));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void pausedVmResumes(ConfigFleet &fleet) {
  fleet.pause(4, true);
  withdraw(fleet, 0);
  fleet.run(seconds(30));
  fleet.pause(4, false);
  EXPECT_FALSE(fleet.admits(4));
  fleet.run(seconds(2));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void inboundPartition(ConfigFleet &fleet) {
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    if (vm != 4)
      fleet.cut(vm, 4, true);
  fleet.cutStore(4, true);
  withdraw(fleet, 0);
  fleet.run(seconds(5));
  EXPECT_FALSE(fleet.admits(4));
  fleet.heal();
  fleet.run(seconds(3));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void outboundPartition(ConfigFleet &fleet) {
  // The VM receives from all others but reaches none, so its requests get no
  // answer.
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    if (vm != 4)
      fleet.cut(4, vm, true);
  fleet.cutStore(4, true);
  fleet.run(seconds(6));
  EXPECT_FALSE(fleet.admits(4));
}

void storeAwayAndCutOff(ConfigFleet &fleet) {
  fleet.Store.Faults.Unreachable = true;
  fleet.run(seconds(30));
  fleet.split({1}, true);
  fleet.run(seconds(5));
  EXPECT_FALSE(fleet.admits(1));
  EXPECT_TRUE(fleet.admits(0));
}

void replyLostAfterWrite(ConfigFleet &fleet) {
  fleet.Store.Faults.LosesReplies = true;
  withdraw(fleet, 2);
  fleet.run(seconds(9));
  fleet.Store.Faults.LosesReplies = false;
  fleet.run(seconds(2));
  EXPECT_TRUE(accepted(fleet, "withdraw"));
  expectAll(fleet, FreshState::Confirmed, 4);
  withdraw(fleet, 0);
  fleet.run(seconds(2));
  EXPECT_TRUE(accepted(fleet, "withdraw"));
  EXPECT_EQ(fleet.version(0), 4u);
}

void outcomeUnknownThenProposedAgain(ConfigFleet &fleet) {
  fleet.Store.Faults.LosesReplies = true;
  withdraw(fleet, 2);
  fleet.run(seconds(5));
  fleet.Store.Faults.Unreachable = true;
  fleet.run(seconds(7));
  fleet.heal();
  fleet.run(seconds(3));
  withdraw(fleet, 3);
  fleet.run(seconds(2));
  EXPECT_TRUE(accepted(fleet, "withdraw"));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void operatorsRace(ConfigFleet &fleet) {
  fleet.propose(0, changeOf("rate-a", SetRate{"school", 1, 10, 5}));
  fleet.propose(4, changeOf("rate-b", SetRate{"school", 1, 20, 5}));
  fleet.run(seconds(3));
  bool first = accepted(fleet, "rate-a");
  EXPECT_NE(first, accepted(fleet, "rate-b"));
  const ChangeOutcome &lost =
      fleet.changes().at(first ? "rate-b" : "rate-a").Outcome;
  const auto *conflict = std::get_if<ChangeConflict>(&lost);
  ASSERT_TRUE(conflict);
  EXPECT_EQ(conflict->OtherId, first ? "rate-a" : "rate-b");
  EXPECT_EQ(conflict->OtherAuthor, "ops");
}

void operatorsRaceOnOtherItems(ConfigFleet &fleet) {
  fleet.propose(0, changeOf("rate-a", SetRate{"school", 1, 10, 5}));
  fleet.propose(4, changeOf("rate-b", SetRate{"port", 1, 20, 5}));
  fleet.run(seconds(3));
  EXPECT_TRUE(accepted(fleet, "rate-a"));
  EXPECT_TRUE(accepted(fleet, "rate-b"));
  expectAll(fleet, FreshState::Confirmed, 5);
}

void changeExpectsOldVersion(ConfigFleet &fleet) {
  Change change = changeOf("rate-a", SetRate{"school", 1, 10, 5});
  change.IfVersion = 2;
  fleet.propose(0, change);
  fleet.run(seconds(2));
  const auto *conflict =
      std::get_if<ChangeConflict>(&fleet.changes().at("rate-a").Outcome);
  ASSERT_TRUE(conflict);
  EXPECT_EQ(conflict->OtherId, "w-port");
}

void storeReturnsStaleReads(ConfigFleet &fleet) {
  fleet.Store.Faults.ReturnsStaleReads = true;
  fleet.restart(0);
  fleet.restart(3);
  fleet.run(seconds(8));
  expectAll(fleet, FreshState::Confirmed, 3);
}

void allRestart(ConfigFleet &fleet) {
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    fleet.restart(vm);
  fleet.run(seconds(3));
  expectAll(fleet, FreshState::Confirmed, 3);
}

void startsWhileStoreIsAway(ConfigFleet &fleet) {
  fleet.Store.Faults.Unreachable = true;
  fleet.run(seconds(20));
  fleet.restart(2);
  EXPECT_EQ(fleet.notReadyReason(2), NotReadyReason::NoSource);
  fleet.run(seconds(3));
  EXPECT_EQ(fleet.notReadyReason(2), NotReadyReason::None);
  expectAll(fleet, FreshState::StoreAway, 3);
}

void thirdReplacedWhileStoreIsAway(ConfigFleet &fleet) {
  withdraw(fleet, 0);
  fleet.run(seconds(1));
  fleet.Store.Faults.Unreachable = true;
  fleet.run(seconds(20));
  fleet.restart(1);
  fleet.restart(4);
  fleet.run(seconds(3));
  expectAll(fleet, FreshState::StoreAway, 4);
}

void startsFromStalePeer(ConfigFleet &fleet) {
  fleet.split({5}, true);
  fleet.cutStore(5, true);
  withdraw(fleet, 0);
  fleet.run(seconds(6));
  fleet.Store.Faults.Unreachable = true;
  // VM 4 starts and reaches only VM 5, which has the old version.
  for (uint32_t vm = 0; vm < 4; ++vm) {
    fleet.cut(4, vm, true);
    fleet.cut(vm, 4, true);
  }
  fleet.cut(4, 5, false);
  fleet.cut(5, 4, false);
  fleet.restart(4);
  fleet.run(seconds(10));
  EXPECT_EQ(fleet.version(4), 3u);
  EXPECT_FALSE(fleet.admits(4));
  fleet.heal();
  fleet.run(seconds(4));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void watchersOfZoneCutFromStore(ConfigFleet &fleet) {
  fleet.cutStore(0, true);
  fleet.cutStore(3, true);
  withdraw(fleet, 1);
  fleet.run(seconds(3));
  expectAll(fleet, FreshState::Confirmed, 4);
}

void writerCutOffRefuses(ConfigFleet &fleet) {
  fleet.split({0}, true);
  fleet.run(seconds(4));
  withdraw(fleet, 0);
  fleet.run(seconds(1));
  const auto *rejected =
      std::get_if<ChangeRejected>(&fleet.changes().at("withdraw").Outcome);
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->Failure.Fault, ChangeFault::WriterIsolated);
}

void writerLosesMajorityUndetected(ConfigFleet &fleet) {
  // The minority reaches the store, and its writer has not yet detected the
  // partition.
  std::set<uint32_t> minority = {2, 4};
  fleet.split(minority, true);
  for (uint32_t vm : {0, 1, 3, 5})
    fleet.cutStore(vm, true);
  withdraw(fleet, 2);
  fleet.run(seconds(8));
  const auto *it =
      std::get_if<ChangeAccepted>(&fleet.changes().at("withdraw").Outcome);
  ASSERT_TRUE(it);
  EXPECT_FALSE(it->HeldByMajority);
}

void slowStore(ConfigFleet &fleet) {
  fleet.Store.Faults.Delay = milliseconds(1500);
  fleet.run(seconds(20));
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    EXPECT_TRUE(fleet.admits(vm)) << vm;
}

/// Changes by an operator outside the fleet.
struct ReaderCase {
  std::string_view Name;
  uint32_t Instances;
  /// Number of zones whose watchers lose the store.
  uint32_t ZonesWithout;
};

constexpr ReaderCase ReaderCases[] = {
    {"AllReach", 20, 0},
    {"ZoneWithoutStore", 20, 1},
    {"TwoZonesWithoutStore", 20, 2},
    {"LargeService", 240, 0},
    {"LargeServiceZoneWithoutStore", 240, 1},
};

CatalogSpec largeCatalog(uint32_t instances, uint32_t change) {
  ServiceSpec service;
  service.Name = "tides";
  for (uint32_t n = 0; n < instances; ++n) {
    InstanceSpec it;
    it.Name = "i-" + std::to_string(100'000 + n);
    it.Address = "10.0.0." + std::to_string(n);
    it.Zone = "z" + std::to_string(n % 4);
    it.Slots = 1 + (n == change % instances ? change : 0);
    service.Instances.push_back(it);
  }
  CatalogSpec catalog;
  catalog.Services.push_back(std::move(service));
  return catalog;
}

void adopt(ConfigKeeper &keeper, uint64_t version, uint64_t config = 0) {
  ChunkTable table =
      splitCatalog(largeCatalog(3, static_cast<uint32_t>(version)));
  ConfigHead head;
  head.Version = version;
  RecentChange change;
  change.Version = version;
  change.ConfigVersion = config;
  head.Recent.push_back(change);
  for (const CatalogChunk &it : table.Slots)
    head.Chunks.push_back(chunkDigest(it));
  keeper.offerHead(head);
  while (auto slot = keeper.missingSlot())
    ASSERT_TRUE(keeper.provideChunk(*slot, table.Slots[*slot]));
}

/// The version in force, and one from a restored store.
struct RestoredCase {
  std::string_view Name;
  uint64_t Version;
  uint64_t Config;
  uint64_t RestoredVersion;
  uint64_t RestoredConfig;
  bool Adopted;
};

constexpr uint64_t FirstEra = uint64_t{1} << StoreEraShift;

const RestoredCase RestoredCases[] = {
    {"OlderConfig", 90, 8, FirstEra + 40, 7, false},
    {"SameConfig", 90, 8, FirstEra + 40, 8, true},
    {"NewerConfig", 90, 8, FirstEra + 40, 9, true},
    {"OlderConfigOfTheSameEra", FirstEra + 40, 8, FirstEra + 50, 7, false},
    {"NoRestoration", 90, 8, 95, 7, true},
    {"LateVersionOfTheFormerEra", FirstEra + 40, 8, 95, 9, false},
};

std::ostream &operator<<(std::ostream &out, const RestoredCase &row) {
  return out << row.Name;
}

class RestoredVersion : public testing::TestWithParam<RestoredCase> {};

/// Guards against an older configuration that another VM read from a restored
/// store, and that has the greater version.
TEST_P(RestoredVersion, DoesNotRevertTheConfiguration) {
  const RestoredCase &row = GetParam();
  ConfigKeeper keeper;
  adopt(keeper, row.Version, row.Config);
  ASSERT_EQ(keeper.version(), row.Version);
  // The same change as a delta.
  ConfigKeeper patched = keeper;
  ConfigDelta delta;
  delta.From = row.Version;
  delta.Change.Version = row.RestoredVersion;
  delta.Change.ConfigVersion = row.RestoredConfig;
  delta.Result = headDigest(keeper.head());
  EXPECT_EQ(patched.apply(delta) == DeltaResult::Adopted, row.Adopted);
  adopt(keeper, row.RestoredVersion, row.RestoredConfig);
  EXPECT_EQ(keeper.version(), row.Adopted ? row.RestoredVersion : row.Version);
}

INSTANTIATE_TEST_SUITE_P(Table, RestoredVersion,
                         testing::ValuesIn(RestoredCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Versions that the provider read from the store, the version of the
/// requester, and the number of deltas the provider has for it.
struct ChainCase {
  std::string_view Name;
  std::vector<uint64_t> Provider;
  uint64_t Requester;
  size_t Changes;
};

const ChainCase ChainCases[] = {
    {"OneBehind", {1, 3, 5}, 3, 1},       {"TwoBehind", {1, 3, 5}, 1, 2},
    {"BetweenVersions", {1, 3, 5}, 2, 0}, {"BeforeTheFirst", {3, 5, 7}, 1, 0},
    {"Ahead", {1, 3, 5}, 9, 0},
};

class ChangeChain : public testing::TestWithParam<ChainCase> {};

TEST_P(ChangeChain, BeginsAtTheAskersVersion) {
  ConfigKeeper keeper;
  for (uint64_t version : GetParam().Provider)
    adopt(keeper, version);
  auto deltas = keeper.deltasSince(GetParam().Requester);
  EXPECT_EQ(deltas.size(), GetParam().Changes);
  if (!deltas.empty()) {
    EXPECT_EQ(deltas.front()->From, GetParam().Requester);
  }
}

INSTANTIATE_TEST_SUITE_P(All, ChangeChain, testing::ValuesIn(ChainCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A head that arrives while the chunks of version 9 are collected.
struct HeadCase {
  std::string_view Name;
  uint64_t Version;
  /// The sender is asked for chunks.
  bool Asks;
};

constexpr HeadCase HeadCases[] = {
    {"OlderThanCollected", 7, false},
    {"Collected", 9, true},
    {"Newer", 11, true},
};

class HeadFromPeer : public testing::TestWithParam<HeadCase> {};

/// Guards against requests to a VM that lacks the chunks: it answers each of
/// them with its head again.
TEST_P(HeadFromPeer, IsFollowedIfItIsCollected) {
  ConfigInit init;
  useReaderTimes(init);
  ConfigKeeper keeper;
  Freshness marks(init.Bounds);
  ConfigSync sync(keeper, marks, init.Sync, 1);
  CatalogIndex names;
  std::vector<VmEntry> vms(3);
  for (VmEntry &it : vms)
    it.Zone = names.zone("z");
  EffectBuffer effects;
  FleetReach reach;
  ConfigStep step{Instant{seconds(1)}, effects, {vms, {0}},
                  vms[0].Zone,         reach,   names};
  auto headOf = [](uint64_t version) {
    ConfigHead head;
    head.Version = version;
    ChunkTable table =
        splitCatalog(largeCatalog(3, static_cast<uint32_t>(version)));
    for (const CatalogChunk &it : table.Slots)
      head.Chunks.push_back(chunkDigest(it));
    return head;
  };
  sync.onPeer({1}, ConfigHeadUpdate{headOf(9)}, step);
  effects.clear();
  sync.onPeer({2}, ConfigHeadUpdate{headOf(GetParam().Version)}, step);
  EXPECT_EQ(!effects.items().empty(), GetParam().Asks);
}

INSTANTIATE_TEST_SUITE_P(All, HeadFromPeer, testing::ValuesIn(HeadCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Version of a VM that asks for a mark, which the receiver does not have.
struct HeldAskCase {
  std::string_view Name;
  uint64_t Version;
  /// The receiver answers at once, though it has no mark.
  bool Answers;
};

constexpr HeldAskCase HeldAskCases[] = {
    {"SameVersion", 5, false},
    {"OneDeltaBehind", 3, false},
    {"WithoutVersion", 0, true},
    {"TooFarBehind", 1, true},
};

class HeldAsk : public testing::TestWithParam<HeldAskCase> {};

/// Guards against a VM that waits for a mark although it has to fetch.
TEST_P(HeldAsk, IsAnsweredAtOnceWithoutDeltas) {
  ConfigInit init;
  useReaderTimes(init);
  ConfigKeeper keeper;
  Freshness marks(init.Bounds);
  ConfigSync sync(keeper, marks, init.Sync, 1);
  adopt(keeper, 3);
  adopt(keeper, 5);
  CatalogIndex names;
  std::vector<VmEntry> vms(2);
  EffectBuffer effects;
  FleetReach reach;
  ConfigStep step{Instant{seconds(1)}, effects, {vms, {0}},
                  names.zone("z"),     reach,   names};
  ConfigMarkRequest request{1, GetParam().Version, true};
  sync.onPeer({1}, request, step);
  bool answered = std::any_of(
      effects.items().begin(), effects.items().end(), [](const Effect &it) {
        const auto *send = std::get_if<SendPeer>(&it);
        return send && std::holds_alternative<ConfigMark>(send->Body);
      });
  EXPECT_EQ(answered, GetParam().Answers);
}

INSTANTIATE_TEST_SUITE_P(All, HeldAsk, testing::ValuesIn(HeldAskCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Guards against the encoding of a change for nobody.
TEST(Push, IsNotSentToNobody) {
  ConfigInit init;
  useReaderTimes(init);
  ConfigKeeper keeper;
  Freshness marks(init.Bounds);
  ConfigSync sync(keeper, marks, init.Sync, 1);
  adopt(keeper, 3);
  adopt(keeper, 5);
  CatalogIndex names;
  std::vector<VmEntry> vms(8);
  for (uint32_t n = 0; n < vms.size(); ++n)
    vms[n].Name = "vm" + std::to_string(n);
  EffectBuffer effects;
  FleetReach reach;
  uint32_t pushing = 0;
  for (uint32_t n = 0; n < vms.size(); ++n) {
    ConfigStep step{Instant{seconds(1)}, effects, {vms, {n}},
                    ZoneHandle{},        reach,   names};
    effects.clear();
    sync.onAdopted(3, false, step);
    pushing += effects.items().empty() ? 0 : 1;
  }
  // Only the watchers have VMs that rely on them.
  EXPECT_EQ(pushing, init.Sync.MinWatchers);
}

FleetInit readerInit() {
  FleetInit init;
  init.Vms = 24;
  init.Zones = 4;
  useReaderTimes(init.Part);
  return init;
}

/// Lets all VMs read the first catalog, then cuts some watchers from the store.
void startFleet(ConfigFleet &fleet, const ReaderCase &row) {
  fleet.writeCatalog(largeCatalog(row.Instances, 0));
  fleet.run(seconds(6));
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    if (fleet.watches(vm) && fleet.zoneOf(vm) < row.ZonesWithout)
      fleet.cutStore(vm, true);
}

/// Time of a whole read of a store that is slow.
struct SlowReadCase {
  std::string_view Name;
  Duration ReadTime;
};

const SlowReadCase SlowReads[] = {
    {"ElevenPagesOf240Ms", milliseconds(2640)},
    {"ElevenPagesOf364Ms", milliseconds(4004)},
};

std::ostream &operator<<(std::ostream &out, const SlowReadCase &row) {
  return out << row.Name;
}

class SlowPages : public testing::TestWithParam<SlowReadCase> {};

/// Guards against requests that are refused while the store is merely slow,
/// since a read takes almost as long as its mark counts.
TEST_P(SlowPages, KeepAdmitting) {
  FleetInit init = readerInit();
  init.VersionsNameContent = true;
  init.Part.Bounds.AdmitDuringOutage = false;
  ConfigFleet fleet(init);
  fleet.writeCatalog(largeCatalog(20, 0));
  fleet.run(seconds(6));
  fleet.Store.Faults.Delay = GetParam().ReadTime;
  uint32_t refusing = 0;
  for (Instant end = fleet.now() + seconds(30); fleet.now() < end;) {
    fleet.run(milliseconds(50));
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
      refusing += fleet.admits(vm) ? 0 : 1;
  }
  EXPECT_EQ(refusing, 0U);
}

INSTANTIATE_TEST_SUITE_P(Table, SlowPages, testing::ValuesIn(SlowReads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

class ReaderFleet : public testing::TestWithParam<ReaderCase> {};

TEST_P(ReaderFleet, FollowsTheStore) {
  // The platform allows 2.5 s, less 0.4 s to place a request and a slow read.
  constexpr Duration Bound = milliseconds(1750);
  ConfigFleet fleet(readerInit());
  startFleet(fleet, GetParam());
  for (uint32_t change = 1; change <= 12; ++change) {
    // Changes occur at all phases of the watchers' interval.
    fleet.run(milliseconds(170));
    uint64_t version =
        fleet.writeCatalog(largeCatalog(GetParam().Instances, change));
    fleet.run(Bound);
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
      EXPECT_GE(fleet.version(vm), version)
          << "vm" << vm << " at change " << change;
  }
}

/// Changes occur faster than the store is read, so that VMs read different
/// versions.
TEST_P(ReaderFleet, FollowsFrequentChanges) {
  constexpr Duration Bound = milliseconds(2200);
  constexpr uint32_t Started = 5;
  ConfigFleet fleet(readerInit());
  startFleet(fleet, GetParam());
  std::vector<std::pair<Instant, uint64_t>> written;
  for (uint32_t change = 1; change <= 240; ++change) {
    fleet.run(milliseconds(25));
    written.emplace_back(fleet.now(), fleet.writeCatalog(largeCatalog(
                                          GetParam().Instances, change)));
    if (change == Started)
      for (uint32_t vm = 8; vm < 16; ++vm)
        fleet.restart(vm);
    if (change <= Started + 100)
      continue;
    uint64_t due = 0;
    for (auto [at, version] : written)
      if (fleet.now() - at >= Bound)
        due = version;
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
      EXPECT_GE(fleet.version(vm), due) << "vm" << vm << " at " << change;
  }
}

INSTANTIATE_TEST_SUITE_P(All, ReaderFleet, testing::ValuesIn(ReaderCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A VM that starts gets its whole catalog of many chunks from a peer.
struct WholeFetchCase {
  std::string_view Name;
  uint32_t Workspaces;
  Duration OneWay;
  Duration Bound;
};

// A round trip for the mark, one for the head, and those for the chunks; one
// after the other they take 0.9 s and more.
constexpr WholeFetchCase WholeFetches[] = {
    {"OfAFewWorkspaces", 8, milliseconds(4), milliseconds(150)},
    {"OfManyWorkspaces", 190, milliseconds(4), milliseconds(300)},
    {"OfManyWorkspacesFarAway", 190, milliseconds(12), milliseconds(900)},
};

std::ostream &operator<<(std::ostream &out, const WholeFetchCase &row) {
  return out << row.Name;
}

class WholeFetch : public testing::TestWithParam<WholeFetchCase> {};

TEST_P(WholeFetch, TakesFewRoundTrips) {
  const WholeFetchCase &row = GetParam();
  FleetInit init = readerInit();
  init.InZone = row.OneWay;
  ConfigFleet fleet(init);
  // Larger than what is pushed as one change.
  CatalogSpec catalog = largeCatalog(1500, 0);
  for (uint32_t n = 0; n < row.Workspaces; ++n) {
    WorkspaceSpec &it = catalog.Workspaces.emplace_back();
    it.Name = "school-" + std::to_string(n);
    it.Keys.push_back({"k", sampleDigest(it.Name)});
  }
  uint64_t version = fleet.writeCatalog(catalog);
  fleet.run(seconds(6));
  uint32_t restarted = 0;
  while (fleet.watches(restarted))
    ++restarted;
  fleet.restart(restarted);
  fleet.run(row.Bound);
  EXPECT_GE(fleet.version(restarted), version);
}

INSTANTIATE_TEST_SUITE_P(All, WholeFetch, testing::ValuesIn(WholeFetches),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(EmptyStore, IsReadNoMoreOftenThanACalmOne) {
  constexpr Duration Time = seconds(30);
  constexpr Duration Bound = milliseconds(1750);
  ConfigFleet calm(readerInit());
  calm.writeCatalog(largeCatalog(20, 0));
  calm.run(Time);
  ConfigFleet fleet(readerInit());
  fleet.Store.Faults.HoldsNothing = true;
  fleet.run(Time);
  EXPECT_LE(fleet.Store.Calls, calm.Store.Calls);
  fleet.Store.Faults.HoldsNothing = false;
  uint64_t version = fleet.writeCatalog(largeCatalog(20, 0));
  fleet.run(Bound);
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    EXPECT_GE(fleet.version(vm), version) << "vm" << vm;
}

/// A change that only one of two readers sees before it is reverted, and what
/// happens to that reader next.
struct RevertCase {
  std::string_view Name;
  bool LosesStore = false;
  bool Restarts = false;
  /// Its messages to the other reader are lost.
  bool CutFromOther = false;
  /// Other keys of the store change all the while.
  bool BusyStore = false;
};

constexpr RevertCase RevertCases[] = {
    {"SeerKeepsStore"},
    {"SeerLosesStore", true},
    {"SeerLosesStoreThatIsBusy", true, false, false, true},
    {"SeerLosesStoreAndOtherReader", true, false, true},
    {"SeerRestarts", false, true},
    {"SeerRestartsWithoutStore", true, true},
};

CatalogSpec catalogWith(const std::vector<std::string> &workspaces) {
  CatalogSpec catalog = largeCatalog(20, 0);
  for (const std::string &it : workspaces)
    catalog.Workspaces.push_back(workspace(it));
  return catalog;
}

class RevertedChange : public testing::TestWithParam<RevertCase> {};

/// A reader that never saw a key must not confirm the version that has it.
TEST_P(RevertedChange, IsInForceNowhereAfterTheBound) {
  constexpr Duration Bound = seconds(5);
  constexpr Duration Step = milliseconds(5);
  const RevertCase &row = GetParam();
  FleetInit init = readerInit();
  init.VersionsNameContent = true;
  init.Part.Bounds.AdmitDuringOutage = false;
  ConfigFleet fleet(init);
  fleet.writeCatalog(catalogWith({"port"}));
  fleet.run(seconds(6));
  std::vector<uint32_t> readers;
  for (uint32_t vm = 0; vm < fleet.vms(); ++vm)
    if (fleet.watches(vm))
      readers.push_back(vm);
  ASSERT_EQ(readers.size(), 2u);
  // A lost read shifts one reader's phase.
  fleet.cutStore(readers[1], true);
  fleet.run(milliseconds(1200));
  fleet.cutStore(readers[1], false);
  fleet.run(seconds(3));
  fleet.writeCatalog(catalogWith({"port", "school"}));
  uint64_t added = fleet.Store.revision();
  auto saw = [&](uint32_t vm) { return fleet.readRevision(vm) >= added; };
  while (!saw(readers[0]) && !saw(readers[1]))
    fleet.run(Step);
  uint32_t seer = saw(readers[0]) ? readers[0] : readers[1];
  uint32_t other = saw(readers[0]) ? readers[1] : readers[0];
  ASSERT_FALSE(saw(other));
  fleet.run(Step);
  fleet.writeCatalog(catalogWith({"port"}));
  Instant reverted = fleet.now();
  fleet.cutStore(seer, row.LosesStore);
  fleet.cut(seer, other, row.CutFromOther);
  if (row.Restarts)
    fleet.restart(seer);
  while (fleet.now() - reverted < 2 * Bound) {
    fleet.run(milliseconds(50));
    if (row.BusyStore)
      fleet.touchStore();
    bool late = fleet.now() - reverted >= Bound;
    for (uint32_t vm = 0; vm < fleet.vms(); ++vm) {
      bool accepts = fleet.holdsKey(vm, sampleDigest("school"));
      EXPECT_FALSE(late && fleet.admits(vm) && accepts) << "vm" << vm;
      // Nothing is refused because of the revert.
      EXPECT_TRUE(fleet.admits(vm) || (row.Restarts && vm == seer))
          << "vm" << vm;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(All, RevertedChange, testing::ValuesIn(RevertCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

struct Scenario {
  std::string_view Name;
  void (*Run)(ConfigFleet &fleet);
};

constexpr Scenario Scenarios[] = {
    {"HealthyWithdrawal", &healthyWithdrawal},
    {"CutOffAlone", &cutOffAlone},
    {"CutOffWithMinority", &cutOffWithMinority},
    {"StoreAwayForAll", &storeAwayForAll},
    {"StoreAwayThenBackForOthers", &storeAwayThenBackForOthers},
    {"PausedVmResumes", &pausedVmResumes},
    {"InboundPartition", &inboundPartition},
    {"OutboundPartition", &outboundPartition},
    {"StoreAwayAndCutOff", &storeAwayAndCutOff},
    {"ReplyLostAfterWrite", &replyLostAfterWrite},
    {"OutcomeUnknownThenProposedAgain", &outcomeUnknownThenProposedAgain},
    {"OperatorsRace", &operatorsRace},
    {"OperatorsRaceOnOtherItems", &operatorsRaceOnOtherItems},
    {"ChangeExpectsOldVersion", &changeExpectsOldVersion},
    {"StoreReturnsStaleReads", &storeReturnsStaleReads},
    {"AllRestart", &allRestart},
    {"StartsWhileStoreIsAway", &startsWhileStoreIsAway},
    {"ThirdReplacedWhileStoreIsAway", &thirdReplacedWhileStoreIsAway},
    {"StartsFromStalePeer", &startsFromStalePeer},
    {"WatchersOfZoneCutFromStore", &watchersOfZoneCutFromStore},
    {"WriterCutOffRefuses", &writerCutOffRefuses},
    {"WriterLosesMajorityUndetected", &writerLosesMajorityUndetected},
    {"SlowStore", &slowStore},
};

class ConfigScenario : public testing::TestWithParam<Scenario> {};

TEST_P(ConfigScenario, KeepsInvariants) {
  ConfigFleet fleet(FleetInit{});
  prepare(fleet);
  GetParam().Run(fleet);
  for (const std::string &it : fleet.violations())
    ADD_FAILURE() << it;
}

INSTANTIATE_TEST_SUITE_P(All, ConfigScenario, testing::ValuesIn(Scenarios),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
