/// \file
/// Parser of the operators' query language. The grammar is documented in
/// docs/operators/language.md; queries are executed in query_answer.h.
#ifndef GUAVASAIL_SRC_QUERY_LANGUAGE_H
#define GUAVASAIL_SRC_QUERY_LANGUAGE_H

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// Maximum length of a query, in bytes.
inline constexpr size_t MaxQueryBytes = 4096;

/// Largest limit of a query, and the limit of a query that gives none, in rows.
inline constexpr uint32_t MaxQueryRows = 1000;
inline constexpr uint32_t DefaultQueryRows = 100;

/// The kind of entries that a query lists.
enum class QuerySubject : uint8_t {
  Services,
  Instances,
  Routes,
  Workspaces,
  Vms,
  Version,
};

/// A condition: the cell of the column \p Field equals \p Value.
struct QueryCondition {
  std::string Field;
  std::string Value;
  /// Byte column of the field name in the query, starting at 1.
  uint32_t Column = 0;
};

/// A parsed query.
struct Query {
  QuerySubject Subject = QuerySubject::Version;
  /// A row matches if all conditions hold.
  std::vector<QueryCondition> Conditions;
  uint32_t Limit = DefaultQueryRows;
};

/// A syntax error, or a field that the subject does not have.
struct QueryFailure {
  /// Byte column, starting at 1; one past the end if the query is incomplete.
  uint32_t Column = 0;
  /// What is accepted at that column.
  std::string Expected;
};

/// A value, or the first error of the query.
template <typename T>
using QueryResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, QueryFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Parses a query.
/// \param text one query, at most `MaxQueryBytes` long.
/// \returns the query, or the column of the first error and what was expected.
QueryResult<Query> parseQuery(std::string_view text);

} // namespace guavasail

#endif
