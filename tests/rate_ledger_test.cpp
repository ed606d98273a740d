/// \file
/// Tests of `RateLedger`, one sequence of operations per row.
#include "rate_ledger.h"

#include <gtest/gtest.h>

#include <array>

namespace guavasail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr VmHandle Requester{1};
constexpr VmHandle OtherVm{2};
constexpr VmHandle Grantor{3};
constexpr uint32_t Drift = 1000;
constexpr ShareLease Lease{1, Instant(seconds(100)), Instant(seconds(130))};
/// Two tokens per second, up to ten.
constexpr RefillSpec Refill{2 * WholeToken, 10 * WholeToken};

Instant at(int64_t millis) {
  return Instant(seconds(100) + milliseconds(millis));
}

struct LedgerRow {
  const char *Name;
  TokenAmount (*Run)(RateLedger &ledger, uint32_t account);
  /// Tokens available at the end, in thousandths.
  int64_t Expected;
};

void setLeasedShare(RateLedger &ledger, uint32_t account, Instant now) {
  ledger.setShare(account, 0, Lease, Refill, now);
  ledger.available(account, now);
}

constexpr auto LedgerRows = std::to_array<LedgerRow>({
    {"RefillsFromStartOfLease",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(2000));
       return it.available(account, at(2000));
     },
     4000},
    {"StopsAtCapacity",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(20000));
       return it.available(account, at(20000));
     },
     10000},
    {"EndsWithTheLease",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(20000));
       return it.available(account, at(30000));
     },
     0},
    {"IssuedTokensCountAgainstCapacity",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(10000));
       it.issueGrant(account, Requester, 8 * WholeToken, false, at(10000));
       return it.available(account, at(11900));
     },
     2000},
    {"ExpiredGrantsFreeCapacity",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(10000));
       it.issueGrant(account, Requester, 8 * WholeToken, false, at(10000));
       it.expire(at(12005));
       setLeasedShare(it, account, at(12005));
       return it.available(account, at(13005));
     },
     // No tokens are added while the bucket is full.
     4000},
    {"ReturnedTokensAreAvailable",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(10000));
       IssuedGrant grant =
           it.issueGrant(account, Requester, 8 * WholeToken, false, at(10000));
       it.returnGrant(Requester, {grant.Serial, 3 * WholeToken}, at(10000));
       return it.available(account, at(10000));
     },
     5000},
    {"RepeatedReturnsCountOnce",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(10000));
       IssuedGrant grant =
           it.issueGrant(account, Requester, 8 * WholeToken, false, at(10000));
       for (int n = 0; n < 3; ++n)
         it.returnGrant(Requester, {grant.Serial, 3 * WholeToken}, at(10000));
       return it.available(account, at(10000));
     },
     5000},
    {"ReturnsAreCappedAtIssuedAmount",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(1000));
       IssuedGrant grant =
           it.issueGrant(account, Requester, WholeToken, false, at(1000));
       it.returnGrant(Requester, {grant.Serial, 9 * WholeToken}, at(1000));
       return it.available(account, at(1000));
     },
     2000},
    {"ReturnsOfOtherVmsAreIgnored",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(10000));
       IssuedGrant grant =
           it.issueGrant(account, Requester, 8 * WholeToken, false, at(10000));
       it.returnGrant(OtherVm, {grant.Serial, 3 * WholeToken}, at(10000));
       return it.available(account, at(10000));
     },
     2000},
    {"RenewedLeaseRemembersSpentTokens",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(20000));
       it.available(account, at(29000));
       it.spend(account, 10 * WholeToken, at(29000));
       // Cleanup runs after the old end, before the source's lease is updated.
       it.returnExpiringGrants(account, at(30001), milliseconds(500));
       ShareLease longer{1, Lease.From, Lease.Until + seconds(30)};
       it.setShare(account, 0, longer, Refill, at(30001));
       return it.available(account, at(30001));
     },
     2002},
    {"NewEpochStartsEmpty",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(20000));
       ShareLease next{2, at(40000), at(70000)};
       it.setShare(account, 0, next, Refill, at(40500));
       return it.available(account, at(40500));
     },
     1000},
    {"LaterStartOfTheSameEpochStartsEmpty",
     [](RateLedger &it, uint32_t account) {
       setLeasedShare(it, account, at(20000));
       ShareLease next{1, at(40000), at(70000)};
       it.setShare(account, 0, next, Refill, at(40500));
       return it.available(account, at(40500));
     },
     1000},
    {"GrantExpires",
     [](RateLedger &it, uint32_t account) {
       it.addGrant(account, Grantor, 2, 3 * WholeToken, at(500));
       return it.available(account, at(500));
     },
     0},
    {"RegrantExpiresBeforeItsSource",
     [](RateLedger &it, uint32_t account) {
       it.addGrant(account, Grantor, 2, 3 * WholeToken, at(500));
       IssuedGrant grant =
           it.issueGrant(account, Requester, WholeToken, false, at(100));
       // 400 ms less twice the drift and a microsecond, as a token amount.
       return TokenAmount{grant.Lifetime.count()};
     },
     399},
    {"RegrantedTokensAreNotReturned",
     [](RateLedger &it, uint32_t account) {
       it.addGrant(account, Grantor, 2, 3 * WholeToken, at(500));
       it.issueGrant(account, Requester, 3 * WholeToken, false, at(100));
       it.returnExpiringGrants(account, at(300), seconds(5));
       return static_cast<TokenAmount>(it.closedGrants().size()) * WholeToken;
     },
     0},
    {"SpentGrantIsReportedOnce",
     [](RateLedger &it, uint32_t account) {
       it.addGrant(account, Grantor, 2, WholeToken, at(500));
       it.spend(account, WholeToken, at(100));
       it.returnExpiringGrants(account, at(300), seconds(5));
       return static_cast<TokenAmount>(it.closedGrants().size()) * WholeToken;
     },
     1000},
});

class LedgerTest : public testing::TestWithParam<LedgerRow> {};

TEST_P(LedgerTest, HoldsExpectedTokens) {
  RateLedger ledger(seconds(2), milliseconds(150), Drift, 100);
  uint32_t account = ledger.openAccount();
  EXPECT_EQ(GetParam().Run(ledger, account) / 1000, GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(Rows, LedgerTest, testing::ValuesIn(LedgerRows),
                         [](const auto &it) { return it.param.Name; });

} // namespace

} // namespace guavasail
