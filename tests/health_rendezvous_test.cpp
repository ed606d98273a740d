/// \file
/// Properties of rendezvous hashing, for several fleet sizes.
#include "rendezvous.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

constexpr uint64_t Keys = 2000;

std::vector<VmEntry> fleet(size_t count) {
  std::vector<VmEntry> vms(count);
  for (size_t n = 0; n < count; ++n) {
    vms[n].Name = "vm" + std::to_string(n);
    vms[n].State = VmState::Alive;
  }
  return vms;
}

class Rendezvous : public testing::TestWithParam<size_t> {};

TEST_P(Rendezvous, RemovedVmMovesOnlyItsKeys) {
  std::vector<VmEntry> vms = fleet(GetParam());
  VmHandle removed{static_cast<uint32_t>(vms.size() / 2)};
  for (uint64_t key = 0; key < Keys; ++key) {
    vms[removed.Value].State = VmState::Alive;
    VmHandle before = rendezvousOwner(key, {vms, {}}, mayOwn);
    vms[removed.Value].State = VmState::Gone;
    VmHandle after = rendezvousOwner(key, {vms, {}}, mayOwn);
    if (before == removed)
      EXPECT_NE(after, removed);
    else
      EXPECT_EQ(after, before);
  }
}

TEST_P(Rendezvous, TopStartsWithOwnerAndGoesOnWithNextOwner) {
  std::vector<VmEntry> vms = fleet(GetParam());
  std::array<VmHandle, 3> buffer;
  for (uint64_t key = 0; key < Keys; ++key) {
    auto top = rendezvousTop(key, {vms, {}}, mayOwn, buffer);
    ASSERT_EQ(top.size(), std::min(buffer.size(), vms.size()));
    EXPECT_EQ(top[0], rendezvousOwner(key, {vms, {}}, mayOwn));
    if (top.size() == 1)
      continue;
    auto notOwner = [&](const VmEntry &vm) {
      return vm.Name != vms[top[0].Value].Name;
    };
    EXPECT_EQ(top[1], rendezvousOwner(key, {vms, {}}, notOwner));
  }
}

TEST_P(Rendezvous, OwnerDoesNotDependOnHandles) {
  std::vector<VmEntry> vms = fleet(GetParam());
  std::vector<VmEntry> reversed(vms.rbegin(), vms.rend());
  for (uint64_t key = 0; key < Keys; ++key) {
    VmHandle left = rendezvousOwner(key, {vms, {}}, mayOwn);
    VmHandle right = rendezvousOwner(key, {reversed, {}}, mayOwn);
    EXPECT_EQ(vms[left.Value].Name, reversed[right.Value].Name);
  }
}

TEST_P(Rendezvous, NoEligibleVmMeansNoOwner) {
  std::vector<VmEntry> vms = fleet(GetParam());
  auto none = [](const VmEntry &) { return false; };
  EXPECT_FALSE(rendezvousOwner(1, {vms, {}}, none).valid());
}

INSTANTIATE_TEST_SUITE_P(Sizes, Rendezvous, testing::Values(1, 2, 40, 500));

} // namespace

} // namespace guavasail
