/// \file
/// What is used of a store that was restored from an older copy.
#include "restore_guard.h"

#include <gtest/gtest.h>

namespace guavasail::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{seconds(100)};
constexpr std::string_view Key = "servers/i-1";

/// An instance's entry before the restoration and one read after it.
struct InstanceCase {
  std::string_view Name;
  InstanceStamp Before;
  /// The entry was removed before the restoration.
  bool Gone;
  uint64_t Era;
  InstanceStamp After;
  bool Accepted;
};

const InstanceCase InstanceCases[] = {
    {"Older", {5, 10}, false, 1, {5, 9}, false},
    {"Same", {5, 10}, false, 1, {5, 10}, true},
    {"WrittenAgain", {5, 10}, false, 1, {5, 11}, true},
    {"EarlierStart", {5, 10}, false, 1, {4, 90}, false},
    {"LaterStart", {5, 10}, false, 1, {6, 1}, true},
    {"UnknownSequence", {5, 10}, false, 1, {5, 0}, true},
    {"RemovedBefore", {5, 10}, true, 1, {5, 10}, false},
    {"RemovedAndWrittenAgain", {5, 10}, true, 1, {5, 11}, true},
    {"RemovedAndStartedAgain", {5, 10}, true, 1, {6, 1}, true},
    {"SameEra", {5, 10}, false, 0, {5, 9}, true},
};

std::ostream &operator<<(std::ostream &out, const InstanceCase &row) {
  return out << row.Name;
}

class RestoredInstance : public testing::TestWithParam<InstanceCase> {};

/// Guards against an instance that left and is used again because the store
/// has an old entry of it.
TEST_P(RestoredInstance, IsUsedUnlessOutdated) {
  const InstanceCase &row = GetParam();
  RestoreGuard guard;
  guard.observe(0, Start);
  ASSERT_TRUE(guard.acceptInstance(Key, row.Before));
  if (row.Gone)
    guard.noteInstanceGone(Key, Start);
  guard.observe(row.Era, Start + seconds(1));
  EXPECT_EQ(guard.acceptInstance(Key, row.After), row.Accepted);
  guard.prune(Start + seconds(61));
  EXPECT_EQ(guard.acceptInstance(Key, row.After), row.Accepted || row.Gone);
}

INSTANTIATE_TEST_SUITE_P(Table, RestoredInstance,
                         testing::ValuesIn(InstanceCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// The operator's configurations read before and after the restoration.
struct ConfigCase {
  std::string_view Name;
  uint64_t FirstEra;
  uint64_t Before;
  uint64_t Era;
  uint64_t After;
  bool Accepted;
  /// Time after the restoration from which reads confirm; nothing if never.
  std::optional<Duration> Confirms;
};

const ConfigCase ConfigCases[] = {
    {"Older", 0, 8, 1, 7, false, std::nullopt},
    {"Same", 0, 8, 1, 8, true, seconds(2)},
    {"Newer", 0, 8, 1, 9, true, seconds(2)},
    {"OlderInTheSameEra", 0, 8, 0, 7, true, Duration::zero()},
    {"RestoredTwice", 1, 8, 2, 7, false, std::nullopt},
    {"FirstReadInALaterEra", 1, 8, 1, 8, true, seconds(5)},
};

std::ostream &operator<<(std::ostream &out, const ConfigCase &row) {
  return out << row.Name;
}

class RestoredConfig : public testing::TestWithParam<ConfigCase> {};

/// Guards against a withdrawn key that is accepted again, and against marks
/// that confirm a configuration which lacks an accepted change.
TEST_P(RestoredConfig, IsConfirmedOnceTheKnownOneIsBack) {
  const ConfigCase &row = GetParam();
  RestoreGuard guard;
  guard.observe(row.FirstEra, Start);
  ASSERT_TRUE(guard.acceptConfig(row.Before));
  Instant restored = row.Era == row.FirstEra ? Start : Start + seconds(20);
  guard.observe(row.Era, restored);
  EXPECT_EQ(guard.acceptConfig(row.After), row.Accepted);
  EXPECT_FALSE(row.Confirms && *row.Confirms > Duration::zero() &&
               guard.confirms(restored + *row.Confirms - milliseconds(1)));
  EXPECT_EQ(guard.confirms(restored + row.Confirms.value_or(seconds(60))),
            row.Confirms.has_value());
  // The operator writes the newest configuration again.
  EXPECT_TRUE(guard.acceptConfig(std::max(row.Before, row.After)));
  EXPECT_TRUE(guard.confirms(restored + seconds(60)));
}

INSTANTIATE_TEST_SUITE_P(Table, RestoredConfig, testing::ValuesIn(ConfigCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Evacuated zones in reads around a restoration.
struct EvacuationCase {
  std::string_view Name;
  std::vector<std::string> Before;
  /// What the restored store has at first, and `Later` after it.
  std::vector<std::string> After;
  std::vector<std::string> Again;
  Duration Later;
  std::vector<std::string> Expected;
};

const EvacuationCase EvacuationCases[] = {
    {"LostAndNotWrittenAgain", {"a"}, {}, {}, seconds(9), {"a"}},
    {"LostForGood", {"a"}, {}, {}, seconds(10), {}},
    {"WrittenAgainAndRemoved", {"a"}, {"a"}, {}, seconds(3), {}},
    {"RemovedBeforeAndBack", {}, {"a"}, {"a"}, seconds(3), {"a"}},
    {"Another", {"a"}, {"b"}, {"b"}, seconds(3), {"a", "b"}},
};

std::ostream &operator<<(std::ostream &out, const EvacuationCase &row) {
  return out << row.Name;
}

class RestoredEvacuation : public testing::TestWithParam<EvacuationCase> {};

/// Guards against requests to a zone whose evacuation the store has forgotten.
TEST_P(RestoredEvacuation, StaysInEffectForATime) {
  const EvacuationCase &row = GetParam();
  RestoreGuard guard;
  guard.observe(0, Start);
  std::vector<std::string> zones = row.Before;
  guard.restoreEvacuations(zones, Start);
  EXPECT_EQ(zones, row.Before);
  guard.observe(1, Start);
  zones = row.After;
  guard.restoreEvacuations(zones, Start);
  zones = row.Again;
  guard.restoreEvacuations(zones, Start + row.Later);
  EXPECT_EQ(zones, row.Expected);
}

INSTANTIATE_TEST_SUITE_P(Table, RestoredEvacuation,
                         testing::ValuesIn(EvacuationCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Eras in the order in which responses arrive.
struct EraCase {
  std::string_view Name;
  std::vector<uint64_t> Eras;
  EraChange Last;
  /// Version of revision 3 after the last response.
  uint64_t Version;
};

const EraCase EraCases[] = {
    {"NoHeader", {0, 0}, EraChange::None, 3},
    {"Restored", {0, 1}, EraChange::Restored, (uint64_t{1} << 48) + 3},
    {"Known", {4, 4}, EraChange::None, (uint64_t{4} << 48) + 3},
    {"LateResponse", {1, 2, 1}, EraChange::Outdated, (uint64_t{2} << 48) + 3},
    {"OutOfRange", {1, 0x8000}, EraChange::Outdated, (uint64_t{1} << 48) + 3},
};

std::ostream &operator<<(std::ostream &out, const EraCase &row) {
  return out << row.Name;
}

class StoreEra : public testing::TestWithParam<EraCase> {};

/// Guards against versions that go back with the store's revisions.
TEST_P(StoreEra, OrdersVersions) {
  RestoreGuard guard;
  EraChange last = EraChange::None;
  for (uint64_t it : GetParam().Eras)
    last = guard.observe(it, Start);
  EXPECT_EQ(last, GetParam().Last);
  EXPECT_EQ(guard.versionAt(3), GetParam().Version);
}

INSTANTIATE_TEST_SUITE_P(Table, StoreEra, testing::ValuesIn(EraCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail::platform
