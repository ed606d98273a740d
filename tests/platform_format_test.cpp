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
  std::string Text;
  FormatFault Fault = FormatFault::None;
  bool Leaving = false;
  bool Cold = false;
  std::string_view Id = "i-1";
};

/// \returns an entry with the given number of slots and address.
std::string entryWith(std::string_view slots,
                      std::string_view address = "1.2.3.4:5") {
  std::string text = R"({"service":"s","zone":"z","state":"ready","slots":)";
  text.append(slots).append(R"(,"address":")").append(address);
  return text.append("\"}");
}

std::string repeated(std::string_view text, size_t count) {
  std::string out;
  for (size_t n = 0; n < count; ++n)
    out.append(text);
  return out;
}

constexpr size_t DeepNesting = 100'000;
constexpr size_t LongNumber = 400;
constexpr size_t LongValue = 1 << 20;

const EntryCase Entries[] = {
    {"Ready", std::string(GoodEntry)},
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
    {"Binary", std::string("\x00\xff\xfe", 3), FormatFault::Unreadable},
    {"Empty", "", FormatFault::Unreadable},
    {"DeepLists", repeated("[", DeepNesting), FormatFault::Unreadable},
    {"DeepObjects", repeated("{\"a\":", DeepNesting), FormatFault::Unreadable},
    {"DeepMember",
     R"({"service":"s","x":)" + repeated("[", 40) + repeated("]", 40) + "}",
     FormatFault::Unreadable},
    {"LongNumber", entryWith(repeated("9", LongNumber)),
     FormatFault::Unreadable},
    {"HugeExponent", entryWith("1e999"), FormatFault::Unreadable},
    {"LongFraction", entryWith("6." + repeated("0", LongNumber)),
     FormatFault::FieldOfOtherType},
    {"NegativeSlots", entryWith("-1"), FormatFault::FieldOfOtherType},
    {"SlotsAboveRange", entryWith("4294967296"), FormatFault::ValueUnknown},
    {"SlotsOfNoMachine", entryWith("4000000000"), FormatFault::ValueUnknown},
    {"PortZero", entryWith("6", "1.2.3.4:0"), FormatFault::ValueUnknown},
    {"PortAboveRange", entryWith("6", "1.2.3.4:65536"),
     FormatFault::ValueUnknown},
    {"PortNegative", entryWith("6", "1.2.3.4:-1"), FormatFault::ValueUnknown},
    {"PortWithText", entryWith("6", "1.2.3.4:12x"), FormatFault::ValueUnknown},
    {"PortOfManyDigits", entryWith("6", "1.2.3.4:" + repeated("1", LongNumber)),
     FormatFault::ValueUnknown},
    {"HostName", entryWith("6", "host.example:80"), FormatFault::ValueUnknown},
    {"LongValue", entryWith("6") + repeated(" ", LongValue),
     FormatFault::Unreadable},
    {"IdWithLineEnd", entryWith("6"), FormatFault::ValueUnknown, false, false,
     "i-1\r\nx-tenant: y"},
    {"IdEmpty", entryWith("6"), FormatFault::ValueUnknown, false, false, ""},
};

std::ostream &operator<<(std::ostream &out, const EntryCase &row) {
  return out << row.Name;
}

class InstanceEntry : public testing::TestWithParam<EntryCase> {};

TEST_P(InstanceEntry, IsDecodedOrRefused) {
  const EntryCase &row = GetParam();
  DecodedInstance out;
  EXPECT_EQ(decodeInstance(row.Id, row.Text, out).Fault, row.Fault);
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

/// Parts of a configuration, and what is served of them.
struct ConfigCase {
  std::string_view Name;
  std::string_view Rule;
  std::string_view Tenant;
  FormatFault Fault = FormatFault::None;
  /// Member at fault.
  std::string_view Member = {};
  /// Entries that are in force.
  size_t Routes = 1;
  size_t Workspaces = 1;
  std::string_view Service = "s";
  RequestKind Kind = RequestKind::Idempotent;
  uint32_t Attempts = 2;
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
    {"Upload",
     R"({"name":"r","kind":"upload","match":{"prefix":"/a/"},)"
     R"("action":{"service":"s","timeout_ms":1,"attempts":2}})",
     GoodTenant, FormatFault::None, "", 1, 1, "s", RequestKind::Upload},
    {"UnknownKind",
     R"({"name":"r","kind":"odd","match":{"prefix":"/a/"},)"
     R"("action":{"service":"s","timeout_ms":1,"attempts":2}})",
     GoodTenant, FormatFault::ValueUnknown, "kind", 1, 1, "s",
     RequestKind::AtMostOnce},
    {"KindAsNumber",
     R"({"name":"r","kind":7,"match":{"prefix":"/a/"},)"
     R"("action":{"service":"s","timeout_ms":1,"attempts":2}})",
     GoodTenant, FormatFault::FieldOfOtherType, "kind", 1, 1, "s",
     RequestKind::AtMostOnce},
    {"UnknownMember",
     R"({"name":"r","kind":"safe","match":{"prefix":"/a/"},"colour":[[]],)"
     R"("action":{"service":"s","timeout_ms":1,"attempts":2,"x":null}})",
     GoodTenant},
    {"AttemptsAsText",
     R"({"name":"r","kind":"safe","match":{"prefix":"/a/"},)"
     R"("action":{"service":"s","timeout_ms":1,"attempts":"2"}})",
     GoodTenant, FormatFault::FieldOfOtherType, "attempts", 1, 1, "s",
     RequestKind::Idempotent, 1},
    {"NoAction", R"({"name":"r","kind":"safe","match":{"prefix":"/a/"}})",
     GoodTenant, FormatFault::FieldMissing, "action", 1, 1, ""},
    {"SplitWithoutWeight",
     R"({"name":"r","kind":"safe","match":{"prefix":"/a/"},"action":)"
     R"({"traffic_split":[{"service":"s"}],"timeout_ms":4000}})",
     GoodTenant, FormatFault::FieldMissing, "weight", 1, 1, ""},
    {"NoMatch",
     R"({"name":"r","kind":"safe","action":{"service":"s","timeout_ms":1}})",
     GoodTenant, FormatFault::FieldMissing, "match", 0},
    {"KeyAsNumber", GoodRule, R"({"name":"w","api_keys":[7]})",
     FormatFault::FieldOfOtherType, "api_keys", 1, 0},
    {"RateAsText", GoodRule, R"({"name":"w","rate_per_s":"36"})",
     FormatFault::FieldOfOtherType, "rate_per_s", 1, 0},
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

TEST_P(OperatorConfig, LeavesOutOnlyWhatIsNotUnderstood) {
  const ConfigCase &row = GetParam();
  DecodedConfig out;
  ASSERT_EQ(decodeConfig(configText(row), out).Fault, FormatFault::None);
  EXPECT_EQ(out.Version, 7u);
  EXPECT_EQ(out.Services.size(), 2u);
  EXPECT_EQ(out.Workspaces.size(), row.Workspaces);
  ASSERT_EQ(out.Routes.size(), row.Routes);
  ASSERT_EQ(out.Failures.size(), row.Fault == FormatFault::None ? 0u : 1u);
  if (row.Fault != FormatFault::None) {
    EXPECT_EQ(out.Failures[0].Failure.Fault, row.Fault);
    EXPECT_EQ(out.Failures[0].Failure.Member, row.Member);
  }
  if (row.Routes == 0)
    return;
  const RouteSpec &route = out.Routes.at(0);
  EXPECT_EQ(route.Host, "jepu9.example");
  EXPECT_EQ(route.Prefix, "/a/");
  EXPECT_EQ(route.Service, row.Service);
  if (row.Service.empty()) {
    EXPECT_TRUE(route.Splits.empty());
    return;
  }
  EXPECT_EQ(route.Kind, row.Kind);
  EXPECT_EQ(route.Attempts, row.Attempts);
  EXPECT_FALSE(route.Anonymous);
}

TEST(OperatorConfig, KeepsAllFields) {
  DecodedConfig out;
  ASSERT_EQ(decodeConfig(configText(Configs[0]), out).Fault, FormatFault::None);
  const RouteSpec &route = out.Routes.at(0);
  EXPECT_EQ(route.Splits.at(1).Weight, 10u);
  EXPECT_EQ(route.Timeout, std::chrono::seconds(4));
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

/// What a service says about its cold instances.
struct WarmupCase {
  std::string_view Name;
  std::string_view Fields;
  Duration Warmup{};
  uint32_t PerKilosecond = 0;
  FormatFault Fault = FormatFault::None;
};

const WarmupCase Warmups[] = {
    {"Absent", R"("name":"s")"},
    {"Fractions", R"("name":"s","warmup_s":2.5,"warmup_per_s":6.9)",
     std::chrono::milliseconds(2500), 6900},
    {"Whole", R"("name":"s","warmup_s":3,"warmup_per_s":7)",
     std::chrono::seconds(3), 7000},
    {"NoLimit", R"("name":"s","warmup_s":3,"warmup_per_s":0)",
     std::chrono::seconds(3)},
    {"Null", R"("name":"s","warmup_s":null,"warmup_per_s":null)"},
    {"Tiny", R"("name":"s","warmup_per_s":0.0001)", {}, 1},
    {"Negative",
     R"("name":"s","warmup_per_s":-1)",
     {},
     0,
     FormatFault::ValueUnknown},
    {"Text",
     R"("name":"s","warmup_s":"3")",
     {},
     0,
     FormatFault::FieldOfOtherType},
    {"Huge", R"("name":"s","warmup_s":1e30)", {}, 0, FormatFault::ValueUnknown},
};

std::ostream &operator<<(std::ostream &out, const WarmupCase &row) {
  return out << row.Name;
}

class ServiceWarmup : public testing::TestWithParam<WarmupCase> {};

/// Guards against a service that is lost over fields it can do without.
TEST_P(ServiceWarmup, IsDecodedOrLeftOut) {
  const WarmupCase &row = GetParam();
  DecodedConfig out;
  std::string text = R"({"version":1,"listeners":[],"clusters":[{)";
  text.append(row.Fields).append("}]}");
  ASSERT_EQ(decodeConfig(text, out).Fault, FormatFault::None);
  ASSERT_EQ(out.Services.size(), 1u);
  EXPECT_EQ(out.Services[0].Warmup, row.Warmup);
  EXPECT_EQ(out.Services[0].WarmupPerKilosecond, row.PerKilosecond);
  ASSERT_EQ(out.Failures.size(), row.Fault == FormatFault::None ? 0u : 1u);
  if (row.Fault != FormatFault::None)
    EXPECT_EQ(out.Failures[0].Failure.Fault, row.Fault);
}

INSTANTIATE_TEST_SUITE_P(Table, ServiceWarmup, testing::ValuesIn(Warmups),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A key under `op/evacuate/` and its value.
struct EvacuationCase {
  std::string_view Name;
  std::string Zone;
  std::string Value;
  bool Evacuated;
  bool UnreadableValue = false;
};

const EvacuationCase Evacuations[] = {
    {"Read", "z", "{}", true},
    {"WithMembers", "z", R"({"why":"flood"})", true},
    {"ValueNoJson", "z", "now", true, true},
    {"ValueEmpty", "z", "", true, true},
    {"ZoneEmpty", "", "{}", false},
    {"ZoneWithLineEnd", "z\r\nx: y", "{}", false},
    {"ZoneTooLong", repeated("z", 400), "{}", false},
};

std::ostream &operator<<(std::ostream &out, const EvacuationCase &row) {
  return out << row.Name;
}

class EvacuationItem : public testing::TestWithParam<EvacuationCase> {};

/// Guards against an evacuation that is missed over its value, and a name that
/// breaks log lines.
TEST_P(EvacuationItem, DependsOnItsKeyAlone) {
  const EvacuationCase &row = GetParam();
  bool unreadable = false;
  FormatFailure failure = decodeEvacuation(row.Zone, row.Value, unreadable);
  EXPECT_EQ(failure.Fault == FormatFault::None, row.Evacuated);
  EXPECT_EQ(unreadable, row.UnreadableValue);
}

INSTANTIATE_TEST_SUITE_P(Table, EvacuationItem, testing::ValuesIn(Evacuations),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

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

/// Keys and values that another writer left, as the store may send them.
struct OddItemCase {
  std::string_view Name;
  std::string Item;
  /// Items that the page still holds.
  size_t Readable = 1;
};

const OddItemCase OddItems[] = {
    {"KeyOfRawBytes",
     "{\"key\":\"servers/\xff\xfe\",\"value\":\"YQ==\",\"revision\":4}", 2},
    {"KeyWithLoneSurrogate",
     R"({"key":"servers/\udcff","value":"YQ==","revision":4})", 2},
    {"KeyWithEscapedBackslash",
     "{\"key\":\"servers/\\\\\xff\",\"value\":\"YQ==\",\"revision\":4}", 2},
    {"ValueNotBase64", R"({"key":"servers/i","value":"%%%","revision":4})"},
    {"ValueOfOtherType", R"({"key":"servers/i","value":[[]],"revision":4})"},
    {"RevisionAboveRange",
     R"({"key":"servers/i","value":"","revision":18446744073709551616})"},
    {"NotAnObject", "7"},
};

std::ostream &operator<<(std::ostream &out, const OddItemCase &row) {
  return out << row.Name;
}

class OddStoreItem : public testing::TestWithParam<OddItemCase> {};

TEST_P(OddStoreItem, DoesNotHideTheOthers) {
  auto page =
      parsePage(R"({"items":[{"key":"a","value":"aGVsbG8=",)"
                R"("revision":3},)" +
                GetParam().Item + R"(],"has_more":false,"store_revision":9})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->Items.size(), GetParam().Readable);
  EXPECT_EQ(page->Items[0].Value, "hello");
  if (GetParam().Readable == 1)
    return;
  // The key names no instance.
  DecodedInstance out;
  EXPECT_NE(decodeInstance(page->Items[1].Key, GoodEntry, out).Fault,
            FormatFault::None);
}

INSTANTIATE_TEST_SUITE_P(Table, OddStoreItem, testing::ValuesIn(OddItems),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Entries among the VMs' own that another writer left.
struct VmEntryCase {
  std::string_view Name;
  std::string Text;
  std::string_view Id = "vm-1";
};

std::string vmWith(std::string_view address, std::string_view port) {
  std::string text = R"({"zone":"z","region":"r","incarnation":1,"address":")";
  text.append(address).append(R"(","peer_port":)").append(port);
  return text.append("}");
}

const VmEntryCase VmEntries[] = {
    {"PortZero", vmWith("10.0.0.1", "0")},
    {"PortAboveRange", vmWith("10.0.0.1", "65536")},
    {"PortNegative", vmWith("10.0.0.1", "-1")},
    {"PortAsText", vmWith("10.0.0.1", "\"7560\"")},
    {"LongNumber", vmWith("10.0.0.1", repeated("9", LongNumber))},
    {"HostName", vmWith("host.example", "7560")},
    {"Deep", repeated("[", DeepNesting)},
    {"LongValue", vmWith("10.0.0.1", "7560") + repeated(" ", LongValue)},
    {"NameWithLineEnd", vmWith("10.0.0.1", "7560"), "vm\n1"},
    {"Instance", std::string(GoodEntry)},
};

std::ostream &operator<<(std::ostream &out, const VmEntryCase &row) {
  return out << row.Name;
}

class OddVmEntry : public testing::TestWithParam<VmEntryCase> {};

TEST_P(OddVmEntry, NamesNoVm) {
  VmSpec out;
  EXPECT_NE(decodeVm(GetParam().Id, GetParam().Text, out).Fault,
            FormatFault::None);
}

INSTANTIATE_TEST_SUITE_P(Table, OddVmEntry, testing::ValuesIn(VmEntries),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

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
