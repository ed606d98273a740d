/// \file
/// Tests the commands on the catalog, the chunks, the index after patches, and
/// the freshness rule.
#include "catalog_index.h"
#include "config_apply.h"
#include "config_part.h"
#include "session.h"

#include <gtest/gtest.h>

namespace guavasail {

namespace {

InstanceSpec instance(std::string name, uint32_t port) {
  InstanceSpec spec;
  spec.Name = std::move(name);
  spec.Address = "127.0.0.1";
  spec.Port = port;
  spec.Zone = "cabo-vela";
  return spec;
}

RouteSpec route(std::string name, std::string prefix, std::string service) {
  RouteSpec spec;
  spec.Name = std::move(name);
  spec.Prefix = std::move(prefix);
  spec.Service = std::move(service);
  return spec;
}

WorkspaceSpec workspaceWithKey(std::string name, std::string_view key) {
  WorkspaceSpec spec;
  spec.Name = std::move(name);
  spec.Keys.push_back({"k1", sampleDigest(key)});
  return spec;
}

/// A change of the sample catalog, with its failure or number of audit items.
struct ApplyCase {
  std::string_view Name;
  std::vector<Command> Commands;
  std::optional<ChangeFault> Fault;
  size_t Items = 1;
};

void PrintTo(const ApplyCase &it, std::ostream *out) { *out << it.Name; }

const std::vector<ApplyCase> &applyCases() {
  static const std::vector<ApplyCase> Cases = {
      {"NoCommands", {}, ChangeFault::Empty},
      {"CreateService", {CreateService{{"archive", 50, {}}}}, {}},
      {"CreateServiceTwice",
       {CreateService{{"wind", 50, {}}}},
       ChangeFault::ItemExists},
      {"FloorTooHigh", {SetFloor{"wind", 101}}, ChangeFault::ValueOutOfRange},
      {"FloorOfUnknown", {SetFloor{"x", 10}}, ChangeFault::ItemUnknown},
      {"DeleteUsedService", {DeleteService{"wind"}}, ChangeFault::ItemInUse},
      {"DeleteRouteThenService",
       {DeleteRoute{"wind"}, DeleteService{"wind"}},
       {},
       2},
      {"PutInstance", {PutInstance{"wind", instance("i9", 9009)}}, {}},
      {"PutInstanceWithoutPort",
       {PutInstance{"wind", instance("i9", 0)}},
       ChangeFault::ValueOutOfRange},
      {"DeleteUnknownInstance",
       {DeleteInstance{"wind", "i9"}},
       ChangeFault::ItemUnknown},
      {"CreateRoute", {CreateRoute{route("r", "/r", "wind")}}, {}},
      {"RouteToUnknownService",
       {CreateRoute{route("r", "/r", "x")}},
       ChangeFault::ReferenceUnknown},
      {"RouteWithTakenPrefix",
       {CreateRoute{route("r", "/wind", "wind")}},
       ChangeFault::ItemExists},
      {"AlterRoute", {AlterRoute{route("wind", "/gusts", "wind")}}, {}},
      {"AlterUnknownRoute",
       {AlterRoute{route("r", "/r", "wind")}},
       ChangeFault::ItemUnknown},
      {"CreateWorkspace",
       {CreateWorkspace{workspaceWithKey("hotel", "hotel")}},
       {}},
      {"CreateWorkspaceWithTakenKey",
       {CreateWorkspace{workspaceWithKey("hotel", "school")}},
       ChangeFault::DigestInUse},
      {"SetRate", {SetRate{"school", 1, 10, 5}}, {}},
      {"WeightZero",
       {SetRate{"school", 0, 10, 5}},
       ChangeFault::ValueOutOfRange},
      {"DeleteNamedWorkspace",
       {DeleteWorkspace{"harbour"}},
       ChangeFault::ItemInUse},
      {"IssueKey", {IssueKey{"school", {"k2", sampleDigest("new")}}}, {}},
      {"IssueKeyTwice",
       {IssueKey{"school", {"k1", sampleDigest("new")}}},
       ChangeFault::ItemExists},
      {"IssueTakenDigest",
       {IssueKey{"school", {"k2", sampleDigest("harbour")}}},
       ChangeFault::DigestInUse},
      {"WithdrawKey", {WithdrawKey{"school", "k1"}}, {}},
      {"WithdrawUnknownKey",
       {WithdrawKey{"school", "k7"}},
       ChangeFault::ItemUnknown},
      {"SecondCommandFails",
       {SetRate{"school", 1, 10, 5}, DeleteRoute{"x"}},
       ChangeFault::ItemUnknown},
      {"KeyMovesBetweenWorkspaces",
       {WithdrawKey{"school", "k1"},
        IssueKey{"harbour", {"k2", sampleDigest("school")}}},
       {},
       2},
  };
  return Cases;
}

class ApplyChange : public testing::TestWithParam<ApplyCase> {};

TEST_P(ApplyChange, GivesCatalogOrFailure) {
  Change change;
  change.Id = "c1";
  change.Commands = GetParam().Commands;
  ChunkTable table = splitCatalog(sampleCatalog());
  auto effects = editChunks(table, change);
  auto after = applyChange(sampleCatalog(), change);
  ASSERT_EQ(effects.has_value(), !GetParam().Fault);
  ASSERT_EQ(after.has_value(), !GetParam().Fault);
  if (GetParam().Fault) {
    EXPECT_EQ(effects.error().Fault, *GetParam().Fault);
    return;
  }
  EXPECT_EQ(effects.value().Items.size(), GetParam().Items);
  for (const AuditItem &it : effects.value().Items)
    EXPECT_NE(it.Before, it.After);
  EXPECT_EQ(after.value().Version, sampleCatalog().Version + 1);
}

/// A patched index gives the same results as one built from the whole catalog.
TEST_P(ApplyChange, PatchedIndexEqualsRebuiltIndex) {
  Change change;
  change.Id = "c1";
  change.Commands = GetParam().Commands;
  auto after = applyChange(sampleCatalog(), change);
  if (!after)
    return;
  ChunkTable from = splitCatalog(sampleCatalog());
  ChunkTable to = splitCatalog(after.value());
  CatalogPatch patch;
  for (uint32_t slot = 0; slot < ChunkSlots; ++slot)
    diffChunk(from.Slots[slot], to.Slots[slot], patch);
  CatalogIndex patched;
  patched.accept(sampleCatalog());
  patched.apply(patch, after.value().Version);
  CatalogIndex rebuilt;
  rebuilt.accept(after.value());
  for (std::string_view path : {"/wind", "/notices/1", "/gusts", "/r", "/"}) {
    RouteHandle left = patched.route("", path);
    RouteHandle right = rebuilt.route("", path);
    ASSERT_EQ(left.valid(), right.valid()) << path;
    if (left.valid()) {
      EXPECT_EQ(patched.name(left), rebuilt.name(right));
    }
  }
  for (std::string_view key : {"school", "harbour", "hotel", "new"}) {
    WorkspaceHandle left = patched.workspace(sampleDigest(key));
    WorkspaceHandle right = rebuilt.workspace(sampleDigest(key));
    ASSERT_EQ(left.valid(), right.valid()) << key;
    if (left.valid()) {
      EXPECT_EQ(patched.name(left), rebuilt.name(right));
    }
  }
  EXPECT_EQ(patched.version(), rebuilt.version());
}

INSTANTIATE_TEST_SUITE_P(All, ApplyChange, testing::ValuesIn(applyCases()),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Rows of the freshness rule: ages in milliseconds, negative for none.
struct FreshCase {
  std::string_view Name;
  int MarkAge;
  int AwayZones;
  int AwayAge;
  bool InMajority;
  bool NewerKnown;
  FreshState Expected;
};

constexpr FreshCase FreshCases[] = {
    {"Fresh", 100, 0, 0, true, false, FreshState::Confirmed},
    {"FreshAlone", 100, 0, 0, false, false, FreshState::Confirmed},
    {"JustFresh", 4499, 0, 0, true, false, FreshState::Confirmed},
    {"JustStale", 4500, 0, 0, true, false, FreshState::CutOff},
    {"NoMark", -1, 0, 0, true, false, FreshState::CutOff},
    {"AllZonesAway", 9000, 4, 1000, true, false, FreshState::StoreAway},
    {"ThreeZonesAway", 9000, 3, 1000, true, false, FreshState::StoreAway},
    {"HalfTheZonesAway", 9000, 2, 1000, true, false, FreshState::CutOff},
    {"AwayWithMinority", 9000, 4, 1000, false, false, FreshState::CutOff},
    {"OldStatements", 9000, 4, 4500, true, false, FreshState::CutOff},
    {"NewerVersionKnown", 9000, 4, 1000, true, true, FreshState::Behind},
    {"FreshAndNewerKnown", 100, 0, 0, true, true, FreshState::Confirmed},
};

class FreshnessRule : public testing::TestWithParam<FreshCase> {};

TEST_P(FreshnessRule, Judges) {
  const FreshCase &row = GetParam();
  Instant now(std::chrono::seconds(100));
  auto ago = [&](int millis) {
    return now - std::chrono::milliseconds(millis);
  };
  FleetReach reach;
  reach.InMajority = row.InMajority;
  Freshness marks{FreshnessBounds{}};
  marks.adopt(7);
  if (row.MarkAge >= 0)
    marks.confirm({7, 7, ago(row.MarkAge)});
  for (uint32_t zone = 0; zone < 4; ++zone) {
    reach.Zones.push_back({zone});
    if (static_cast<int>(zone) < row.AwayZones)
      marks.noteStoreOutage({zone}, ago(row.AwayAge));
  }
  if (row.NewerKnown)
    marks.learnVersion(8);
  EXPECT_EQ(freshStateName(marks.evaluate(now, reach)),
            freshStateName(row.Expected));
}

INSTANTIATE_TEST_SUITE_P(All, FreshnessRule, testing::ValuesIn(FreshCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A mark of a reader, and the versions that it confirms.
struct MarkCase {
  std::string_view Name;
  uint64_t Version;
  uint64_t Revision;
  uint64_t InForce;
  bool Confirms;
};

const MarkCase MarkCases[] = {
    {"SameVersion", 7, 12, 7, true},
    {"ReadLater", 7, 12, 12, true},
    {"ReadMuchLater", 7, 12, 20, true},
    {"RevertedInBetween", 7, 12, 9, false},
    {"NotInForceYet", 7, 12, 5, false},
    {"NamedByAnotherReader", 9, 8, 9, true},
    {"OfNoConfiguration", 0, UINT64_MAX, 7, false},
};

class MarkRule : public testing::TestWithParam<MarkCase> {};

/// A mark must not confirm a version whose content its reader did not see.
TEST_P(MarkRule, ConfirmsWhatTheReaderSaw) {
  const MarkCase &row = GetParam();
  Instant now(std::chrono::seconds(100));
  FleetReach reach;
  for (bool adoptedFirst : {true, false}) {
    Freshness marks{FreshnessBounds{}};
    if (adoptedFirst)
      marks.adopt(row.InForce);
    marks.confirm({row.Version, row.Revision, now});
    if (!adoptedFirst)
      marks.adopt(row.InForce);
    EXPECT_EQ(admits(marks.evaluate(now, reach)), row.Confirms);
  }
}

INSTANTIATE_TEST_SUITE_P(All, MarkRule, testing::ValuesIn(MarkCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Marks that a VM got before a version came into force still count for it.
TEST(Marks, AreKeptForTheNextVersion) {
  Instant now(std::chrono::seconds(100));
  FleetReach reach;
  Freshness marks{FreshnessBounds{}};
  marks.adopt(5);
  marks.confirm({5, 8, now - std::chrono::seconds(2)});
  marks.confirm({5, 12, now - std::chrono::seconds(1)});
  // The newest mark was made after a later change reverted this version.
  marks.adopt(9);
  EXPECT_EQ(marks.markedAt(), now - std::chrono::seconds(2));
  EXPECT_TRUE(admits(marks.evaluate(now, reach)));
}

} // namespace

} // namespace guavasail
