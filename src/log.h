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

/// Sends lines to standard output. A line that the reader does not take at once
/// waits in a bounded buffer; what does not fit is left out and counted.
/// \param level least level that is written.
/// \param format shape of a line.
void initLog(LogLevel level, LogFormat format);

/// Sets the least level that is written.
void setLogLevel(LogLevel level);

/// Writes what waits, as far as the reader takes it. Called once each turn of
/// the loop.
void flushLog();

/// \returns lines that were left out since the start.
uint64_t droppedLogLines();

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
