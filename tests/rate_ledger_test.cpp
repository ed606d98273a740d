/// \file
/// Accounts of tokens, step by step.
#include "rate_ledger.h"

#include <gtest/gtest.h>

#include <array>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr VmHandle Child{1};
constexpr VmHandle Stranger{2};
constexpr VmHandle Grantor{3};
constexpr uint32_t Drift = 1000;
constexpr ShareLease Lease{1, Instant(seconds(100)), Instant(seconds(130))};
/// Two tokens a second, at most ten.
constexpr MintSpec Mint{2 * WholeToken, 10 * WholeToken};

Instant at(int64_t millis) {
  return Instant(seconds(100) + milliseconds(millis));
}

struct LedgerRow {
  const char *Name;
  TokenAmount (*Run)(RateLedger &ledger, uint32_t purse);
  /// Tokens available at the end, in thousandths.
  int64_t Expected;
};

void hold(RateLedger &ledger, uint32_t purse, Instant now) {
  ledger.holdShare(purse, 0, Lease, Mint, now);
  ledger.available(purse, now);
}

constexpr auto LedgerRows = std::to_array<LedgerRow>({
    {"MintsFromTheStartOfTheLease",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(2000));
       return it.available(purse, at(2000));
     },
     4000},
    {"StopsAtCapacity",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(20000));
       return it.available(purse, at(20000));
     },
     10000},
    {"EndsWithTheLease",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(20000));
       return it.available(purse, at(30000));
     },
     0},
    {"LentTokensCountAgainstCapacity",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(10000));
       it.lend(purse, Child, 8 * WholeToken, false, at(10000));
       return it.available(purse, at(11900));
     },
     2000},
    {"ExpiredGrantsMakeRoomAgain",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(10000));
       it.lend(purse, Child, 8 * WholeToken, false, at(10000));
       it.expire(at(12005));
       hold(it, purse, at(12005));
       return it.available(purse, at(13005));
     },
     // The time at capacity mints nothing.
     4000},
    {"ReturnedTokensAreThereAgain",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(10000));
       LentGrant lent = it.lend(purse, Child, 8 * WholeToken, false, at(10000));
       it.returned(Child, {lent.Serial, 3 * WholeToken}, at(10000));
       return it.available(purse, at(10000));
     },
     5000},
    {"RepeatedReturnsCountOnce",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(10000));
       LentGrant lent = it.lend(purse, Child, 8 * WholeToken, false, at(10000));
       for (int n = 0; n < 3; ++n)
         it.returned(Child, {lent.Serial, 3 * WholeToken}, at(10000));
       return it.available(purse, at(10000));
     },
     5000},
    {"ReturnsOfMoreThanLentAreCutOff",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(1000));
       LentGrant lent = it.lend(purse, Child, WholeToken, false, at(1000));
       it.returned(Child, {lent.Serial, 9 * WholeToken}, at(1000));
       return it.available(purse, at(1000));
     },
     2000},
    {"ReturnsOfStrangersAreIgnored",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(10000));
       LentGrant lent = it.lend(purse, Child, 8 * WholeToken, false, at(10000));
       it.returned(Stranger, {lent.Serial, 3 * WholeToken}, at(10000));
       return it.available(purse, at(10000));
     },
     2000},
    {"ExtendedLeaseKeepsWhatWasSpent",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(20000));
       it.available(purse, at(29000));
       it.spend(purse, 10 * WholeToken, at(29000));
       // A tick after the old end, before the source hears of the new one.
       it.surrender(purse, at(30001), milliseconds(500));
       ShareLease longer{1, Lease.From, Lease.Until + seconds(30)};
       it.holdShare(purse, 0, longer, Mint, at(30001));
       return it.available(purse, at(30001));
     },
     2002},
    {"NewEpochStartsEmpty",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(20000));
       ShareLease next{2, at(40000), at(70000)};
       it.holdShare(purse, 0, next, Mint, at(40500));
       return it.available(purse, at(40500));
     },
     1000},
    {"LaterStartOfTheSameEpochStartsEmpty",
     [](RateLedger &it, uint32_t purse) {
       hold(it, purse, at(20000));
       ShareLease next{1, at(40000), at(70000)};
       it.holdShare(purse, 0, next, Mint, at(40500));
       return it.available(purse, at(40500));
     },
     1000},
    {"GrantEndsAtItsTime",
     [](RateLedger &it, uint32_t purse) {
       it.addGrant(purse, Grantor, 2, 3 * WholeToken, at(500));
       return it.available(purse, at(500));
     },
     0},
    {"GrantLentOnEndsBeforeItsSource",
     [](RateLedger &it, uint32_t purse) {
       it.addGrant(purse, Grantor, 2, 3 * WholeToken, at(500));
       LentGrant lent = it.lend(purse, Child, WholeToken, false, at(100));
       // 400 ms less twice the drift and a microsecond, as tokens.
       return TokenAmount{lent.Life.count()};
     },
     399},
    {"GrantLentOnIsNotReportedUnused",
     [](RateLedger &it, uint32_t purse) {
       it.addGrant(purse, Grantor, 2, 3 * WholeToken, at(500));
       it.lend(purse, Child, 3 * WholeToken, false, at(100));
       it.surrender(purse, at(300), seconds(5));
       return static_cast<TokenAmount>(it.closed().size()) * WholeToken;
     },
     0},
    {"SpentGrantIsReportedOnce",
     [](RateLedger &it, uint32_t purse) {
       it.addGrant(purse, Grantor, 2, WholeToken, at(500));
       it.spend(purse, WholeToken, at(100));
       it.surrender(purse, at(300), seconds(5));
       return static_cast<TokenAmount>(it.closed().size()) * WholeToken;
     },
     1000},
});

class LedgerCase : public testing::TestWithParam<LedgerRow> {};

TEST_P(LedgerCase, Counts) {
  RateLedger ledger(seconds(2), milliseconds(150), Drift, 100);
  uint32_t purse = ledger.open();
  EXPECT_EQ(GetParam().Run(ledger, purse) / 1000, GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, LedgerCase, testing::ValuesIn(LedgerRows),
                         [](const auto &it) { return it.param.Name; });

} // namespace

} // namespace guavasail
