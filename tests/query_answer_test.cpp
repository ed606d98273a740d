#include "query_answer.h"
#include "query_format.h"
#include "reducer_state.h"
#include "session.h"

#include <gtest/gtest.h>

namespace guavasail {

namespace {

constexpr Instant Start{std::chrono::seconds(1000)};
constexpr Instant QueryTime = Start + std::chrono::seconds(90);

/// A reducer with the sample catalog and one request in progress.
class SampleState {
public:
  SampleState() : SampleReducer(init()) {
    Catalog.Workspaces[0].RatePerSecond = 50;
    Catalog.Workspaces[0].Burst = 9;
    VmSpec self{"vm-a", "127.0.0.1", 25001, "cabo-vela", "north", false};
    reduce({Start, VmListRead{{&self, 1}}});
    reduce({Start, CatalogAccepted{&Catalog}});
    RequestArrived request;
    request.Request = {0, 1};
    request.Path = "/wind/x";
    request.Key = sampleDigest("harbour");
    reduce({Start, request});
  }

  [[nodiscard]] const ReducerState &state() const {
    return SampleReducer.state();
  }

private:
  static ReducerInit init() {
    ReducerInit init;
    init.Zone = "cabo-vela";
    init.Balance = BalanceKind::RoundRobin;
    init.Self = {"vm-a", "127.0.0.1", 25001, "cabo-vela", "north", false};
    init.Incarnation = uint64_t{3} << 20;
    return init;
  }
  void reduce(const Event &event) { SampleReducer.reduce(event, Effects); }

  CatalogSpec Catalog = sampleCatalog();
  EffectBuffer Effects;
  Reducer SampleReducer;
};

QueryResult<QueryTable> runQuery(std::string_view text) {
  SampleState sample;
  return executeQuery(parseQuery(text).value(), sample.state(), QueryTime);
}

struct QueryCase {
  std::string_view Query;
  std::string_view Table;
};

constexpr QueryCase QueryCases[] = {
    {"show version", "version\n1\n"},
    {"show services", "name     floor_percent  healthy  all\n"
                      "wind     50             3        3\n"
                      "notices  50             2        2\n"},
    {"show instances where service = wind and in_flight = 1",
     "name     service  zone       state   since_s  reason  in_flight  leaving "
     " connections\n"
     "wind/i0  wind     cabo-vela  in-use  -        none    1          no      "
     " 300\n"},
    {"show routes where service = notices",
     "name     prefix    service  timeout_ms\n"
     "notices  /notices  notices  2000\n"},
    {"show workspaces", "name     weight  rate  burst\n"
                        "school   1       50    9\n"
                        "harbour  1       0     0\n"},
    {"show vms", "name  zone       state  incarnation\n"
                 "vm-a  cabo-vela  alive  3145728\n"},
    {"show vms where state = gone", "name  zone  state  incarnation\n"},
};

class QueryExecution : public testing::TestWithParam<QueryCase> {};

TEST_P(QueryExecution, ProducesTable) {
  auto table = runQuery(GetParam().Query);
  ASSERT_TRUE(table) << formatFailure(table.error());
  EXPECT_EQ(formatTable(table.value()), GetParam().Table);
}

INSTANTIATE_TEST_SUITE_P(Rows, QueryExecution, testing::ValuesIn(QueryCases));

TEST(QueryFormat, EncodesNumbersAndOmittedRowCount) {
  auto table = runQuery("show services limit 1");
  EXPECT_EQ(formatTable(table.value()), "name  floor_percent  healthy  all\n"
                                        "wind  50             3        3\n"
                                        "1 more match\n");
  EXPECT_EQ(formatJson(table.value()),
            "{\"rows\":[{\"name\":\"wind\",\"floor_percent\":50,\"healthy\":3,"
            "\"all\":3}],\"more\":1}\n");
}

TEST(QueryFormat, ReportsColumnOfUnknownField) {
  auto table = runQuery("show version where nam = x");
  ASSERT_FALSE(table);
  EXPECT_EQ(formatFailure(table.error()),
            "column 20: expected one of the fields version\n");
  EXPECT_EQ(formatFailureJson(table.error()),
            "{\"column\":20,\"expected\":\"one of the fields version\"}\n");
}

} // namespace

} // namespace guavasail
