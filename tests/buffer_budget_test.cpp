#include "answer_blob.h"
#include "buffer_budget.h"

#include <gtest/gtest.h>
#include <vector>

namespace guavasail {

namespace {

constexpr uint64_t Now = 100000;

/// Callers, and which of them is disconnected when memory is short.
struct StalledCase {
  std::string_view Name;
  std::vector<BufferHolder> Holders;
  std::optional<size_t> Chosen;
};

const StalledCase StalledCases[] = {
    {"None", {}, std::nullopt},
    {"NothingHeld", {{0, 0}}, std::nullopt},
    // A slow reader that takes bytes now and then is not disconnected.
    {"LatelyMoved", {{1 << 20, Now - 1999}}, std::nullopt},
    {"Stalled", {{1 << 20, Now - 1999}, {100, Now - 2000}}, 1},
    {"MostBytes", {{100, Now - 5000}, {101, Now - 5000}}, 1},
    {"LongestStalled", {{100, Now - 5001}, {100, Now - 5000}}, 0},
    {"BytesAndTime", {{1000, Now - 3000}, {100, Now - 20000}}, 0},
    {"MovedLater", {{100, Now + 1}}, std::nullopt},
};

std::ostream &operator<<(std::ostream &out, const StalledCase &row) {
  return out << row.Name;
}

class StalledCallers : public testing::TestWithParam<StalledCase> {};

/// Guards against disconnecting a caller that does not block memory.
TEST_P(StalledCallers, AreChosen) {
  EXPECT_EQ(chooseStalled(GetParam().Holders, Now), GetParam().Chosen);
}

INSTANTIATE_TEST_SUITE_P(Table, StalledCallers, testing::ValuesIn(StalledCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Bytes held by two callers, and what the budget says of them.
struct BudgetCase {
  std::string_view Name;
  uint32_t Megabytes = 0;
  uint64_t First = 0;
  uint64_t Second = 0;
  bool Tight = false;
  bool Full = false;
};

constexpr uint64_t Megabyte = 1024 * 1024;

const BudgetCase BudgetCases[] = {
    {"NoBudget", 0, 1000 * Megabyte, 1000 * Megabyte},
    {"Room", 64, 6 * Megabyte, 6 * Megabyte},
    {"Tight", 64, 6 * Megabyte, 6 * Megabyte + 1, true},
    {"StillNotFull", 64, 8 * Megabyte, 8 * Megabyte, true},
    {"Full", 64, 8 * Megabyte, 8 * Megabyte + 1, true, true},
};

std::ostream &operator<<(std::ostream &out, const BudgetCase &row) {
  return out << row.Name;
}

class Budgets : public testing::TestWithParam<BudgetCase> {};

/// Guards against bytes that are counted twice or stay counted.
TEST_P(Budgets, FollowTheirHolders) {
  const BudgetCase &row = GetParam();
  Limits bounds;
  bounds.MemoryMegabytes = row.Megabytes;
  BufferBudget budget(bounds);
  BufferHolder first;
  BufferHolder second;
  budget.charge(first, row.Second);
  budget.charge(second, row.Second);
  budget.charge(first, row.First);
  EXPECT_EQ(budget.tight(), row.Tight);
  EXPECT_EQ(budget.full(), row.Full);
  EXPECT_EQ(budget.held(), row.First + row.Second);
  budget.charge(first, 0);
  budget.charge(second, 0);
  EXPECT_EQ(budget.held(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Table, Budgets, testing::ValuesIn(BudgetCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Limits, and the callers that they leave room for.
struct DescriptorCase {
  std::string_view Name;
  uint32_t Descriptors = 0;
  uint32_t Connections = 0;
  uint32_t Callers = 0;
};

const DescriptorCase DescriptorCases[] = {
    {"NoBound", 0, 2500, 2500},
    // The least that a VM of the platform has admits all ordinary callers.
    {"Platform", 4100, 2500, 2500},
    {"Fewer", 400, 2500, 132},
    {"Least", 256, 2500, 84},
};

std::ostream &operator<<(std::ostream &out, const DescriptorCase &row) {
  return out << row.Name;
}

class Descriptors : public testing::TestWithParam<DescriptorCase> {};

/// Guards against callers that take the descriptors of all other sockets.
TEST_P(Descriptors, BoundCallers) {
  Limits bounds;
  bounds.FileDescriptors = GetParam().Descriptors;
  bounds.MaxCallerConnections = GetParam().Connections;
  EXPECT_EQ(maxCallers(bounds), GetParam().Callers);
}

INSTANTIATE_TEST_SUITE_P(Table, Descriptors, testing::ValuesIn(DescriptorCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

class KeptStatus : public testing::TestWithParam<uint32_t> {};

/// A kept answer may come from another VM's record: its status is checked too.
TEST_P(KeptStatus, OutsideTheRangeIsNotRepeated) {
  AnswerHead head;
  head.Status = GetParam();
  EXPECT_FALSE(decodeAnswer(encodeAnswer(head, "hello")));
}

INSTANTIATE_TEST_SUITE_P(Table, KeptStatus,
                         testing::Values(0u, 12u, 99u, 101u, 600u, 999u, 1000u,
                                         UINT32_MAX));

} // namespace

} // namespace guavasail
