#include "query_language.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace guavasail {

namespace {

struct ValidQueryCase {
  std::string_view Text;
  QuerySubject Subject;
  std::string_view Conditions;
  uint32_t Limit;
};

constexpr ValidQueryCase ValidQueryCases[] = {
    {"show services", QuerySubject::Services, "", DefaultQueryRows},
    {"show instances", QuerySubject::Instances, "", DefaultQueryRows},
    {"show routes", QuerySubject::Routes, "", DefaultQueryRows},
    {"show workspaces", QuerySubject::Workspaces, "", DefaultQueryRows},
    {"show vms", QuerySubject::Vms, "", DefaultQueryRows},
    {"show version", QuerySubject::Version, "", DefaultQueryRows},
    {" SHOW\tVms \n", QuerySubject::Vms, "", DefaultQueryRows},
    {"show vms limit 1", QuerySubject::Vms, "", 1},
    {"show vms LIMIT 1000", QuerySubject::Vms, "", 1000},
    {"show vms where zone=a", QuerySubject::Vms, "16 zone=a;",
     DefaultQueryRows},
    {"show vms Where zone = a AND state = gone limit 7", QuerySubject::Vms,
     "16 zone=a;29 state=gone;", 7},
    {"show vms where name = \"a b\\\"c\\\\\"", QuerySubject::Vms,
     "16 name=a b\"c\\;", DefaultQueryRows},
    {"show vms where name = \"\"", QuerySubject::Vms, "16 name=;",
     DefaultQueryRows},
    {"show routes where prefix = /a-b.c", QuerySubject::Routes,
     "19 prefix=/a-b.c;", DefaultQueryRows},
};

std::string formatConditions(const Query &query) {
  std::string out;
  for (const QueryCondition &it : query.Conditions)
    out += std::to_string(it.Column) + " " + it.Field + "=" + it.Value + ";";
  return out;
}

class ValidQuery : public testing::TestWithParam<ValidQueryCase> {};

TEST_P(ValidQuery, IsParsed) {
  const ValidQueryCase &row = GetParam();
  auto query = parseQuery(row.Text);
  ASSERT_TRUE(query) << query.error().Column << " " << query.error().Expected;
  EXPECT_EQ(query.value().Subject, row.Subject);
  EXPECT_EQ(formatConditions(query.value()), row.Conditions);
  EXPECT_EQ(query.value().Limit, row.Limit);
}

INSTANTIATE_TEST_SUITE_P(Rows, ValidQuery, testing::ValuesIn(ValidQueryCases));

struct InvalidQueryCase {
  std::string_view Text;
  uint32_t Column;
  std::string_view Expected;
};

constexpr std::string_view SubjectList =
    "services, instances, routes, workspaces, vms or version";
constexpr std::string_view ValueText = "a word or a quoted string";
constexpr std::string_view LimitText = "a number from 1 to 1000";

constexpr InvalidQueryCase InvalidQueryCases[] = {
    {"", 1, "show"},
    {"   ", 4, "show"},
    {"list vms", 1, "show"},
    {"showvms", 1, "show"},
    {"show", 5, SubjectList},
    {"show  vmses", 7, SubjectList},
    {"show vms vms", 10, "where, limit or end of query"},
    {"show vms wherezone = a", 10, "where, limit or end of query"},
    {"show vms where", 15, "a field"},
    {"show vms where = a", 16, "a field"},
    {"show vms where zone a", 21, "="},
    {"show vms where zone =", 22, ValueText},
    {"show vms where zone = \"a", 23, ValueText},
    {"show vms where zone = a or", 25, "and, limit or end of query"},
    {"show vms where zone = a and", 28, "a field"},
    {"show vms limit", 15, LimitText},
    {"show vms limit 0", 16, LimitText},
    {"show vms limit 1001", 16, LimitText},
    {"show vms limit 99999999999999999999", 16, LimitText},
    {"show vms limit 3x", 16, LimitText},
    {"show vms limit 3 4", 18, "end of query"},
};

class InvalidQuery : public testing::TestWithParam<InvalidQueryCase> {};

TEST_P(InvalidQuery, ReportsColumnAndExpectation) {
  const InvalidQueryCase &row = GetParam();
  auto query = parseQuery(row.Text);
  ASSERT_FALSE(query) << row.Text;
  EXPECT_EQ(query.error().Column, row.Column) << row.Text;
  EXPECT_EQ(query.error().Expected, row.Expected) << row.Text;
}

INSTANTIATE_TEST_SUITE_P(Rows, InvalidQuery,
                         testing::ValuesIn(InvalidQueryCases));

TEST(QueryLanguage, RejectsTextAboveMaxBytes) {
  std::string text = "show vms";
  text.resize(MaxQueryBytes, ' ');
  EXPECT_TRUE(parseQuery(text));
  text += ' ';
  auto query = parseQuery(text);
  ASSERT_FALSE(query);
  EXPECT_EQ(query.error().Column, MaxQueryBytes + 1);
}

/// Checks that a limit is in range, and that a failure has a column within the
/// text or one past its end.
void checkParseResult(const std::string &text) {
  auto query = parseQuery(text);
  if (query) {
    RC_ASSERT(query.value().Limit >= 1 && query.value().Limit <= MaxQueryRows);
    return;
  }
  RC_ASSERT(query.error().Column >= 1);
  RC_ASSERT(query.error().Column <= text.size() + 1);
  RC_ASSERT(!query.error().Expected.empty());
}

RC_GTEST_PROP(QueryLanguage, HandlesArbitraryBytes, (const std::string &text)) {
  checkParseResult(text);
}

RC_GTEST_PROP(QueryLanguage, HandlesArbitraryWordOrder, ()) {
  const auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("show ", "vms ", "routes", "where ", "and ",
                                    "limit ", "7 ", "=", "\"", "\\", "zone ",
                                    "\xff\xfe", "\t", "=a "));
  std::string text = "show vms ";
  for (const std::string &word : words)
    text += word;
  checkParseResult(text);
}

} // namespace

} // namespace guavasail
