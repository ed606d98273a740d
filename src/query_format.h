/// \file
/// Formats query results as aligned text and as JSON.
#ifndef GUAVASAIL_SRC_QUERY_FORMAT_H
#define GUAVASAIL_SRC_QUERY_FORMAT_H

#include "query_answer.h"

#include <string>

namespace guavasail {

/// \returns \p table as aligned columns, one row per line. If rows were
/// omitted, the last line gives their number.
std::string formatTable(const QueryTable &table);

/// \returns \p table as a JSON object: `rows`, an array of one object per row
/// with one member per column (null if unknown), and `more`, the number of
/// omitted rows.
std::string formatJson(const QueryTable &table);

/// \returns \p failure as one line of text.
std::string formatFailure(const QueryFailure &failure);

/// \returns \p failure as a JSON object with members `column` and `expected`.
std::string formatFailureJson(const QueryFailure &failure);

} // namespace guavasail

#endif
