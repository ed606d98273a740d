/// \file
/// Executes operator queries on the state of one daemon's reducer. Read-only.
#ifndef GUAVASAIL_SRC_QUERY_ANSWER_H
#define GUAVASAIL_SRC_QUERY_ANSWER_H

#include "guavasail/clock.h"
#include "query_language.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavasail {

struct ReducerState;

/// One cell: an unknown value, a name or a number.
using QueryCell = std::variant<std::monostate, std::string, uint64_t>;

/// The result of a query.
struct QueryTable {
  /// Column names; conditions use them as field names.
  std::vector<std::string_view> Columns;
  /// Each row has one cell per column.
  std::vector<std::vector<QueryCell>> Rows;
  /// Matching rows beyond the query's limit.
  uint64_t OmittedRows = 0;
};

/// \returns the text of \p cell in conditions and text tables; "-" for an
/// unknown value.
std::string cellText(const QueryCell &cell);

/// Executes a query.
/// \param query a parsed query.
/// \param state the reducer state at \p now.
/// \param now the current time, from which ages are computed.
/// \returns the matching rows, up to the query's limit, or the column of a
/// field that the subject does not have.
QueryResult<QueryTable> executeQuery(const Query &query,
                                     const ReducerState &state, Instant now);

} // namespace guavasail

#endif
