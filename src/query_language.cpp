#include "query_language.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>

namespace guavasail {

namespace {

namespace x3 = boost::spirit::x3;

using Position = std::string_view::const_iterator;

/// How far the query was read; decides what may follow.
enum class Stage : uint8_t { Subject, Conditions, Limit };

constexpr std::string_view FollowNames[] = {
    "where, limit or end of query",
    "and, limit or end of query",
    "end of query",
};

/// Collects the query while the grammar reads it.
struct QueryBuild {
  Query Result;
  Position Begin;
  Stage Reached = Stage::Subject;

  [[nodiscard]] uint32_t columnOf(Position position) const {
    return static_cast<uint32_t>(position - Begin) + 1;
  }
};

struct BuildTag;

template <typename Context> QueryBuild &buildOf(const Context &context) {
  return x3::get<BuildTag>(context).get();
}

// Actions of the grammar. Each one stores what its rule has read.

constexpr auto StoreSubject = [](auto &context) {
  buildOf(context).Result.Subject = x3::_attr(context);
};

constexpr auto StoreField = [](auto &context) {
  QueryBuild &build = buildOf(context);
  auto range = x3::_attr(context);
  QueryCondition condition;
  condition.Field.assign(range.begin(), range.end());
  condition.Column = build.columnOf(range.begin());
  build.Result.Conditions.push_back(std::move(condition));
  build.Reached = Stage::Conditions;
};

constexpr auto StoreValue = [](auto &context) {
  buildOf(context).Result.Conditions.back().Value = x3::_attr(context);
};

constexpr auto StoreLimit = [](auto &context) {
  QueryBuild &build = buildOf(context);
  build.Result.Limit = x3::_attr(context);
  build.Reached = Stage::Limit;
  x3::_pass(context) =
      build.Result.Limit >= 1 && build.Result.Limit <= MaxQueryRows;
};

/// Words that name subjects.
struct SubjectWords : x3::symbols<QuerySubject> {
  SubjectWords() {
    add("services", QuerySubject::Services);
    add("instances", QuerySubject::Instances);
    add("routes", QuerySubject::Routes);
    add("workspaces", QuerySubject::Workspaces);
    add("vms", QuerySubject::Vms);
    add("version", QuerySubject::Version);
  }
};

/// \returns a rule whose failure says that \p name was expected.
template <typename Tag, typename Attribute = x3::unused_type>
auto named(const char *name) {
  return x3::rule<Tag, Attribute>{name};
}

/// Reads one query. The rules' names are what failures say was expected.
bool readQuery(std::string_view text, QueryBuild &build) {
  const SubjectWords subjects;
  const auto blank = x3::char_(" \t\r\n");
  const auto wordChar = ~x3::char_(" \t\r\n\"=");
  const auto keyword = [&](const char *word) {
    return x3::lexeme[x3::no_case[x3::lit(word)] >> !wordChar];
  };

  const auto showKey = named<struct ShowTag>("show") = keyword("show");
  const auto subject = named<struct SubjectTag>(
      "services, instances, routes, workspaces, vms or version") =
      x3::lexeme[x3::no_case[subjects] >> !wordChar][StoreSubject];
  const auto field = named<struct FieldTag>("a field") =
      x3::raw[x3::lexeme[+wordChar]][StoreField];
  const auto equals = named<struct EqualsTag>("=") = x3::lit('=');
  const auto escaped = x3::lit('\\') >> x3::char_;
  const auto quoted = x3::lexeme['"' >> *(escaped | ~x3::char_("\"\\")) >> '"'];
  const auto content = named<struct ContentTag, std::string>("content") =
      quoted | x3::lexeme[+wordChar];
  const auto value = named<struct ValueTag>("a word or a quoted string") =
      content[StoreValue];
  const auto limit = named<struct LimitTag>("a number from 1 to 1000") =
      x3::lexeme[x3::uint_ >> !wordChar][StoreLimit];
  const auto end = named<struct EndTag>("") = x3::eps >> x3::eoi;

  const auto condition = x3::eps > field > equals > value;
  const auto conditions =
      keyword("where") > condition >> *(keyword("and") > condition);
  const auto query = x3::eps > showKey > subject > -conditions >
                     -(keyword("limit") > limit) > end;
  return x3::phrase_parse(text.begin(), text.end(),
                          x3::with<BuildTag>(std::ref(build))[query], blank);
}

QueryFailure failureAt(std::string_view text, const QueryBuild &build,
                       const x3::expectation_failure<Position> &failure) {
  // The position is before the blanks that the grammar skips.
  auto offset = static_cast<size_t>(failure.where() - text.begin());
  size_t next =
      std::min(text.find_first_not_of(" \t\r\n", offset), text.size());
  std::string expected = failure.which();
  if (expected.empty())
    expected = FollowNames[static_cast<size_t>(build.Reached)];
  return {static_cast<uint32_t>(next) + 1, std::move(expected)};
}

} // namespace

QueryResult<Query> parseQuery(std::string_view text) {
  if (text.size() > MaxQueryBytes)
    return QueryFailure{MaxQueryBytes + 1, "at most 4096 bytes"};
  QueryBuild build{{}, text.begin()};
  try {
    if (readQuery(text, build))
      return std::move(build.Result);
  } catch (const x3::expectation_failure<Position> &failure) {
    return failureAt(text, build, failure);
  }
  return QueryFailure{1, "show"};
}

} // namespace guavasail
