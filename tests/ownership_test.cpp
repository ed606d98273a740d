/// \file
/// Tests that an owner uses a share only within a valid lease.
#include "guavasail/ownership.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace guavasail {

namespace {

enum class Op : uint8_t {
  Want,
  Drop,
  Advance,
  /// A reply to the latest call.
  Reply,
  /// A reply to the first call.
  ReplyFirst,
};

struct OwnerStep {
  Op What;
  int64_t AtMillis;
  bool Applied;
  uint64_t Epoch;
  /// Whether the share may be used after the step.
  bool Held;
  /// Calls queued by the step: "c" claim, "r" renew, "x" release.
  const char *Calls;
};

struct OwnerRow {
  const char *Name;
  std::vector<OwnerStep> Steps;
};

OwnershipInit sampleInit() {
  OwnershipInit init;
  init.Partitions = 2;
  init.Shares = 2;
  init.Term = std::chrono::seconds(10);
  init.RenewInterval = std::chrono::seconds(3);
  init.RetryInterval = std::chrono::seconds(1);
  init.MaxGrantLifetime = std::chrono::seconds(1);
  init.Owner = 7;
  return init;
}

const std::vector<OwnerRow> &ownerRows() {
  static const std::vector<OwnerRow> Rows = {
      {"WaitsUntilOldGrantsExpire",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Reply, 5, true, 4, false, ""},
        {Op::Advance, 1004, false, 0, false, ""},
        {Op::Advance, 1010, false, 0, true, ""}}},
      {"LeaseStartsWhenCallIsSent",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Reply, 900, true, 1, false, ""},
        {Op::Advance, 2000, false, 0, true, ""},
        {Op::Advance, 9970, false, 0, true, "r"},
        {Op::Advance, 9985, false, 0, false, ""}}},
      {"RejectedRenewalEndsTheLease",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Reply, 5, true, 1, false, ""},
        {Op::Advance, 3000, false, 0, true, "r"},
        {Op::Reply, 3010, false, 2, false, ""},
        {Op::Advance, 4020, false, 0, false, "c"}}},
      {"ClaimIsRetriedAfterLostReply",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Advance, 1000, false, 0, false, "c"},
        {Op::ReplyFirst, 1001, true, 1, false, ""},
        {Op::Reply, 1005, true, 2, false, ""},
        {Op::Advance, 2020, false, 0, true, ""}}},
      {"RenewalAppliedAfterExpiryWaitsForOldGrants",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Reply, 5, true, 1, false, ""},
        {Op::Advance, 9000, false, 0, true, "r"},
        {Op::Reply, 11000, true, 1, false, ""},
        {Op::Advance, 11900, false, 0, false, ""},
        {Op::Advance, 12010, false, 0, true, "r"}}},
      {"LeaseExpiresDuringPause",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Reply, 5, true, 1, false, ""},
        {Op::Advance, 60000, false, 0, false, "c"}}},
      {"UnwantedShareIsRenewedUntilStoreReplies",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Reply, 5, true, 1, false, ""},
        {Op::Drop, 3000, false, 0, true, "r"},
        {Op::Advance, 4000, false, 0, true, "r"},
        {Op::Reply, 4005, true, 1, false, "x"},
        {Op::Reply, 4010, true, 1, false, ""}}},
      {"ClaimAppliedAfterDropIsReleased",
       {{Op::Want, 0, false, 0, false, "c"},
        {Op::Drop, 10, false, 0, false, ""},
        {Op::Reply, 20, true, 3, false, "x"}}},
  };
  return Rows;
}

class OwnerCase : public testing::TestWithParam<OwnerRow> {};

TEST_P(OwnerCase, UsesShareOnlyWithinLease) {
  static constexpr const char *Letters[] = {"c", "r", "x"};
  const ShareId share{1, 1};
  ShareOwner owner(sampleInit());
  uint64_t first = 0;
  uint64_t latest = 0;
  for (const OwnerStep &step : GetParam().Steps) {
    Instant now(std::chrono::seconds(100) +
                std::chrono::milliseconds(step.AtMillis));
    switch (step.What) {
    case Op::Want:
    case Op::Drop:
      owner.want(share, step.What == Op::Want, now);
      owner.advance(now);
      break;
    case Op::Advance:
      owner.advance(now);
      break;
    case Op::Reply:
      owner.onReply({share, latest, step.Applied, step.Epoch}, now);
      break;
    case Op::ReplyFirst:
      owner.onReply({share, first, step.Applied, step.Epoch}, now);
      break;
    }
    std::string calls;
    for (const ShareCall &it : owner.calls()) {
      calls += Letters[static_cast<size_t>(it.Kind)];
      latest = it.Serial;
      first = first == 0 ? it.Serial : first;
    }
    owner.clearCalls();
    EXPECT_EQ(calls, step.Calls) << "at " << step.AtMillis;
    EXPECT_EQ(owner.activeLease(share, now).has_value(), step.Held)
        << "at " << step.AtMillis;
  }
}

INSTANTIATE_TEST_SUITE_P(Rows, OwnerCase, testing::ValuesIn(ownerRows()),
                         [](const auto &it) { return it.param.Name; });

} // namespace

} // namespace guavasail
