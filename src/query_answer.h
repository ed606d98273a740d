/// \file
/// Answers queries from the state of one daemon's decisions. It only reads.
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

/// One cell: nothing known, a name or a number.
using QueryCell = std::variant<std::monostate, std::string, uint64_t>;

/// The answer to a query.
struct QueryAnswer {
  /// Names of the columns; they are also the fields of conditions.
  std::vector<std::string_view> Columns;
  /// As many cells as columns in each row.
  std::vector<std::vector<QueryCell>> Rows;
  /// Rows that match beyond the limit.
  uint64_t More = 0;
};

/// \returns \p cell as conditions and tables for people write it; "-" if
/// nothing is known.
std::string cellText(const QueryCell &cell);

/// Answers a query.
/// \param query what is asked.
/// \param state what is true at \p now.
/// \param now the time of the answer.
/// \returns the rows that match, up to the query's limit, or the column of a
/// field that the subject does not have.
QueryResult<QueryAnswer> answerQuery(const Query &query,
                                     const ReducerState &state, Instant now);

} // namespace guavasail

#endif
