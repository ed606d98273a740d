/// \file
/// Answers of queries as text for people and as JSON for programs.
#ifndef GUAVASAIL_SRC_QUERY_FORMAT_H
#define GUAVASAIL_SRC_QUERY_FORMAT_H

#include "query_answer.h"

#include <string>

namespace guavasail {

/// \returns \p answer as aligned columns, one row a line, and a last line that
/// counts the rows beyond the limit if there are any.
std::string formatTable(const QueryAnswer &answer);

/// \returns \p answer as a JSON object: `rows`, one object a row with a member
/// a column (null if nothing is known), and `more`, the rows beyond the limit.
std::string formatJson(const QueryAnswer &answer);

/// \returns \p failure as one line for people.
std::string formatFailure(const QueryFailure &failure);

/// \returns \p failure as a JSON object: `column` and `expected`.
std::string formatFailureJson(const QueryFailure &failure);

} // namespace guavasail

#endif
