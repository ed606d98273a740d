#include "config_format.h"
#include "kv_format.h"

#include <gtest/gtest.h>

namespace guavasail::platform {

namespace {

constexpr std::string_view GoodEntry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":6,"state":"ready","warmup_remaining_ms":0,"sequence":4,)"
    R"("born":1700000000000})";

/// An instance's entry and what it is decoded to.
struct EntryCase {
  std::string_view Name;
  std::string_view Text;
  FormatFault Fault = FormatFault::None;
  bool Leaving = false;
  bool Cold = false;
};

const EntryCase Entries[] = {
    {"Ready", GoodEntry},
    {"Draining",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
     R"("state":"draining"})",
     FormatFault::None, true},
    {"WarmingUp",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
     R"("state":"ready","warmup_remaining_ms":2500})",
     FormatFault::None, false, true},
    {"UnknownState",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
     R"("state":"dancing"})",
     FormatFault::ValueUnknown},
    {"NoService",
     R"({"address":"1.2.3.4:5","zone":"z","slots":1,"state":"ready"})",
     FormatFault::FieldMissing},
    {"SlotsAsText",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":"6",)"
     R"("state":"ready"})",
     FormatFault::FieldOfOtherType},
    {"NoSlots",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":0,)"
     R"("state":"ready"})",
     FormatFault::ValueUnknown},
    {"BornWithFraction",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
     R"("state":"ready","born":17.5})",
     FormatFault::FieldOfOtherType},
    {"NegativeWarmup",
     R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
     R"("state":"ready","warmup_remaining_ms":-1})",
     FormatFault::FieldOfOtherType},
    {"NoPort",
     R"({"service":"s","address":"1.2.3.4","zone":"z","slots":1,)"
     R"("state":"ready"})",
     FormatFault::ValueUnknown},
    {"PortTooLarge",
     R"({"service":"s","address":"1.2.3.4:70000","zone":"z","slots":1,)"
     R"("state":"ready"})",
     FormatFault::ValueUnknown},
    {"List", "[1,2]", FormatFault::Unreadable},
    {"Cut", R"({"service":"s","addr)", FormatFault::Unreadable},
    {"Binary", std::string_view("\x00\xff\xfe", 3), FormatFault::Unreadable},
    {"Empty", "", FormatFault::Unreadable},
};

std::ostream &operator<<(std::ostream &out, const EntryCase &row) {
  return out << row.Name;
}

class InstanceEntry : public testing::TestWithParam<EntryCase> {};

TEST_P(InstanceEntry, IsDecodedOrRefused) {
  const EntryCase &row = GetParam();
  DecodedInstance out;
  EXPECT_EQ(decodeInstance("i-1", row.Text, out).Fault, row.Fault);
  if (row.Fault != FormatFault::None)
    return;
  EXPECT_EQ(out.Spec.Name, "i-1");
  EXPECT_EQ(out.Service, "s");
  EXPECT_EQ(out.Spec.Leaving, row.Leaving);
  EXPECT_EQ(out.Spec.Cold, row.Cold);
}

INSTANTIATE_TEST_SUITE_P(Table, InstanceEntry, testing::ValuesIn(Entries),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Parts of a configuration, and the fault they make.
struct ConfigCase {
  std::string_view Name;
  std::string_view Rule;
  std::string_view Tenant;
  FormatFault Fault = FormatFault::None;
};

constexpr std::string_view GoodRule =
    R"({"name":"r","kind":"safe","target_latency_ms":2000,"priority":2,)"
    R"("allow_anonymous":false,"match":{"prefix":"/a/"},"action":)"
    R"({"traffic_split":[{"service":"s","weight":90},)"
    R"({"service":"t","weight":10}],"timeout_ms":4000,"attempts":2}})";
constexpr std::string_view GoodTenant =
    R"({"name":"w","api_keys":["k1","k2"],"priority":0,"rate_per_s":36,)"
    R"("burst":30})";

const ConfigCase Configs[] = {
    {"Whole", GoodRule, GoodTenant},
    {"UnknownKind",
     R"({"name":"r","kind":"odd","match":{"prefix":"/a/"},)"
     R"("action":{"service":"s","timeout_ms":1}})",
     GoodTenant, FormatFault::ValueUnknown},
    {"NoAction", R"({"name":"r","kind":"safe","match":{"prefix":"/a/"}})",
     GoodTenant, FormatFault::FieldMissing},
    {"NoMatch",
     R"({"name":"r","kind":"safe","action":{"service":"s","timeout_ms":1}})",
     GoodTenant, FormatFault::FieldMissing},
    {"KeyAsNumber", GoodRule, R"({"name":"w","api_keys":[7]})",
     FormatFault::FieldOfOtherType},
    {"RateAsText", GoodRule, R"({"name":"w","rate_per_s":"36"})",
     FormatFault::FieldOfOtherType},
};

std::ostream &operator<<(std::ostream &out, const ConfigCase &row) {
  return out << row.Name;
}

class OperatorConfig : public testing::TestWithParam<ConfigCase> {};

std::string configText(const ConfigCase &row) {
  std::string text = R"({"version":7,"tenants":[)";
  text.append(row.Tenant).append(R"(],"listeners":[{"host":"Jepu9.Example",)");
  text.append(R"("rules":[)").append(row.Rule).append("]}],");
  return text.append(R"("clusters":[{"name":"s"},{"name":"t"}]})");
}

TEST_P(OperatorConfig, IsDecodedOrRefused) {
  const ConfigCase &row = GetParam();
  DecodedConfig out;
  ASSERT_EQ(decodeConfig(configText(row), out).Fault, row.Fault);
  if (row.Fault != FormatFault::None)
    return;
  EXPECT_EQ(out.Version, 7u);
  const RouteSpec &route = out.Routes.at(0);
  EXPECT_EQ(route.Host, "jepu9.example");
  EXPECT_EQ(route.Prefix, "/a/");
  EXPECT_EQ(route.Kind, RequestKind::Idempotent);
  EXPECT_EQ(route.Splits.at(1).Weight, 10u);
  EXPECT_EQ(route.Attempts, 2u);
  EXPECT_EQ(route.Timeout, std::chrono::seconds(4));
  EXPECT_FALSE(route.Anonymous);
  const WorkspaceSpec &workspace = out.Workspaces.at(0);
  EXPECT_EQ(workspace.RatePerSecond, 36u);
  EXPECT_EQ(workspace.Keys.size(), 2u);
  // The highest priority is a rank of its own, not the absence of one.
  EXPECT_EQ(workspace.Rank, 1u);
}

INSTANTIATE_TEST_SUITE_P(Table, OperatorConfig, testing::ValuesIn(Configs),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(OperatorConfig, WithoutTenantsNeedsNoKey) {
  DecodedConfig out;
  std::string text = R"({"version":1,"listeners":[{"host":"h","rules":[)";
  text.append(GoodRule).append(R"(]}],"clusters":[{"name":"s"}]})");
  ASSERT_EQ(decodeConfig(text, out).Fault, FormatFault::None);
  EXPECT_TRUE(out.Routes.at(0).Anonymous);
}

TEST(StorePage, KeepsReadableItems) {
  auto page =
      parsePage(R"({"items":[{"key":"a","value":"aGVsbG8=","revision":3},)"
                R"({"key":"b","value":"%%%","revision":4},7],)"
                R"("has_more":true,"store_revision":9})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->Items.size(), 1u);
  EXPECT_EQ(page->Items[0].Value, "hello");
  EXPECT_TRUE(page->More);
  EXPECT_EQ(page->StoreRevision, 9u);
}

TEST(StorePage, RefusesOtherBodies) {
  for (std::string_view body : {"", "{}", "[]", R"({"items":3})", "busy"})
    EXPECT_FALSE(parsePage(body)) << body;
}

TEST(VmEntry, ComesBackAsWritten) {
  VmSpec vm;
  vm.Name = "vm-1";
  vm.Address = "10.0.0.1";
  vm.PeerPort = 7560;
  vm.Zone = "z";
  vm.Region = "r";
  vm.Incarnation = 1ULL << 60;
  VmSpec out;
  ASSERT_EQ(decodeVm("vm-1", encodeVm(vm), out).Fault, FormatFault::None);
  EXPECT_EQ(out.Address, vm.Address);
  EXPECT_EQ(out.PeerPort, vm.PeerPort);
  EXPECT_EQ(out.Incarnation, vm.Incarnation);
}

} // namespace

} // namespace guavasail::platform
