/// \file
/// Structured log lines, written by Boost.Log as text or JSON.
#ifndef GUAVASAIL_SRC_LOG_H
#define GUAVASAIL_SRC_LOG_H

#include "guavasail/settings.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace guavasail {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/// One named value of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string_view, int64_t> Value;
};

/// Sends lines to standard error.
/// \param level least level that is written.
/// \param format shape of a line.
void initLog(LogLevel level, LogFormat format);

/// \returns the level called \p name, `Info` if there is none.
LogLevel parseLogLevel(std::string_view name);

/// Writes a line.
/// \param level importance of the line.
/// \param event stable name of what happened.
/// \param fields values; they never hold a caller's key.
void logLine(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields);

} // namespace guavasail

#endif
