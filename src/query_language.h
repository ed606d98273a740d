/// \file
/// The operators' language: what a query says, apart from how it is answered.
/// The grammar is in docs/operators/language.md.
#ifndef GUAVASAIL_SRC_QUERY_LANGUAGE_H
#define GUAVASAIL_SRC_QUERY_LANGUAGE_H

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// Longest query, in bytes.
inline constexpr size_t MaxQueryBytes = 4096;

/// Most rows of an answer, and how many are shown if the query has no limit.
inline constexpr uint32_t MaxQueryRows = 1000;
inline constexpr uint32_t DefaultQueryRows = 100;

/// What a query is about.
enum class QuerySubject : uint8_t {
  Services,
  Instances,
  Routes,
  Workspaces,
  Vms,
  Version,
};

/// One condition: the cell of a column is equal to a value.
struct QueryCondition {
  std::string Field;
  std::string Value;
  /// Byte column of the field's name, starting at 1.
  uint32_t Column = 0;
};

/// A query that has been read.
struct Query {
  QuerySubject Subject = QuerySubject::Version;
  /// All of them hold for a row that is shown.
  std::vector<QueryCondition> Conditions;
  uint32_t Limit = DefaultQueryRows;
};

/// Why a query was not accepted.
struct QueryFailure {
  /// Byte column, starting at 1; one past the end if something is missing.
  uint32_t Column = 0;
  /// What the query may have there.
  std::string Expected;
};

/// A value, or the first fault of the query.
template <typename T>
using QueryResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, QueryFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Reads a query.
/// \param text one query, at most `MaxQueryBytes`.
/// \returns the query, or the column of the first fault and what was expected.
QueryResult<Query> parseQuery(std::string_view text);

} // namespace guavasail

#endif
