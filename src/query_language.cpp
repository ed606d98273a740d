#include "query_language.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>

namespace guavasail {

namespace {

namespace x3 = boost::spirit::x3;

using Position = std::string_view::const_iterator;

/// Clauses of a query; the last one parsed determines what may follow.
enum class Clause : uint8_t { Subject, Conditions, Limit };

constexpr std::string_view ExpectedAfterClause[] = {
    "where, limit or end of query",
    "and, limit or end of query",
    "end of query",
};

/// Accumulates the query during parsing.
struct QueryBuilder {
  Query Result;
  Position Begin;
  Clause LastClause = Clause::Subject;

  [[nodiscard]] uint32_t columnOf(Position position) const {
    return static_cast<uint32_t>(position - Begin) + 1;
  }
};

struct BuilderTag;

template <typename Context> QueryBuilder &builderOf(const Context &context) {
  return x3::get<BuilderTag>(context).get();
}

// Semantic actions; each one stores the attribute of its rule.

constexpr auto StoreSubject = [](auto &context) {
  builderOf(context).Result.Subject = x3::_attr(context);
};

constexpr auto StoreField = [](auto &context) {
  QueryBuilder &builder = builderOf(context);
  auto range = x3::_attr(context);
  QueryCondition condition;
  condition.Field.assign(range.begin(), range.end());
  condition.Column = builder.columnOf(range.begin());
  builder.Result.Conditions.push_back(std::move(condition));
  builder.LastClause = Clause::Conditions;
};

constexpr auto StoreValue = [](auto &context) {
  builderOf(context).Result.Conditions.back().Value = x3::_attr(context);
};

constexpr auto StoreLimit = [](auto &context) {
  QueryBuilder &builder = builderOf(context);
  builder.Result.Limit = x3::_attr(context);
  builder.LastClause = Clause::Limit;
  x3::_pass(context) =
      builder.Result.Limit >= 1 && builder.Result.Limit <= MaxQueryRows;
};

/// Symbol table of the subjects.
struct SubjectKeywords : x3::symbols<QuerySubject> {
  SubjectKeywords() {
    add("services", QuerySubject::Services);
    add("instances", QuerySubject::Instances);
    add("routes", QuerySubject::Routes);
    add("workspaces", QuerySubject::Workspaces);
    add("vms", QuerySubject::Vms);
    add("version", QuerySubject::Version);
  }
};

/// \returns a rule that reports \p name as expected when it fails.
template <typename Tag, typename Attribute = x3::unused_type>
auto namedRule(const char *name) {
  return x3::rule<Tag, Attribute>{name};
}

/// Parses one query. Rule names are the texts of `QueryFailure::Expected`.
bool parseText(std::string_view text, QueryBuilder &builder) {
  const SubjectKeywords subjects;
  const auto blank = x3::char_(" \t\r\n");
  const auto wordChar = ~x3::char_(" \t\r\n\"=");
  const auto keyword = [&](const char *word) {
    return x3::lexeme[x3::no_case[x3::lit(word)] >> !wordChar];
  };

  const auto showKey = namedRule<struct ShowTag>("show") = keyword("show");
  const auto subject = namedRule<struct SubjectTag>(
      "services, instances, routes, workspaces, vms or version") =
      x3::lexeme[x3::no_case[subjects] >> !wordChar][StoreSubject];
  const auto field = namedRule<struct FieldTag>("a field") =
      x3::raw[x3::lexeme[+wordChar]][StoreField];
  const auto equals = namedRule<struct EqualsTag>("=") = x3::lit('=');
  const auto escaped = x3::lit('\\') >> x3::char_;
  const auto quoted = x3::lexeme['"' >> *(escaped | ~x3::char_("\"\\")) >> '"'];
  const auto content = namedRule<struct ContentTag, std::string>("content") =
      quoted | x3::lexeme[+wordChar];
  const auto value = namedRule<struct ValueTag>("a word or a quoted string") =
      content[StoreValue];
  const auto limit = namedRule<struct LimitTag>("a number from 1 to 1000") =
      x3::lexeme[x3::uint_ >> !wordChar][StoreLimit];
  const auto end = namedRule<struct EndTag>("") = x3::eps >> x3::eoi;

  const auto condition = x3::eps > field > equals > value;
  const auto conditions =
      keyword("where") > condition >> *(keyword("and") > condition);
  const auto query = x3::eps > showKey > subject > -conditions >
                     -(keyword("limit") > limit) > end;
  return x3::phrase_parse(text.begin(), text.end(),
                          x3::with<BuilderTag>(std::ref(builder))[query],
                          blank);
}

QueryFailure failureAt(std::string_view text, const QueryBuilder &builder,
                       const x3::expectation_failure<Position> &failure) {
  // The position precedes the blanks that the skipper consumes.
  auto offset = static_cast<size_t>(failure.where() - text.begin());
  size_t next =
      std::min(text.find_first_not_of(" \t\r\n", offset), text.size());
  std::string expected = failure.which();
  if (expected.empty())
    expected = ExpectedAfterClause[static_cast<size_t>(builder.LastClause)];
  return {static_cast<uint32_t>(next) + 1, std::move(expected)};
}

} // namespace

QueryResult<Query> parseQuery(std::string_view text) {
  if (text.size() > MaxQueryBytes)
    return QueryFailure{MaxQueryBytes + 1, "at most 4096 bytes"};
  QueryBuilder builder{{}, text.begin()};
  try {
    if (parseText(text, builder))
      return std::move(builder.Result);
  } catch (const x3::expectation_failure<Position> &failure) {
    return failureAt(text, builder, failure);
  }
  return QueryFailure{1, "show"};
}

} // namespace guavasail
