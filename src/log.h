/// \file
/// Structured logging through Boost.Log, as text or JSON lines.
#ifndef GUAVASAIL_SRC_LOG_H
#define GUAVASAIL_SRC_LOG_H

#include "guavasail/settings.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace guavasail {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/// A named value of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string_view, int64_t> Value;
};

/// Sets up logging to standard output. Lines are held in a bounded buffer until
/// `flushLog`, so that a slow reader does not block the loop; lines that do not
/// fit are dropped and counted.
/// \param level minimum level that is written.
/// \param format encoding of a line.
void initLog(LogLevel level, LogFormat format);

/// Sets the minimum level that is written.
void setLogLevel(LogLevel level);

/// Writes as much of the buffer as standard output accepts without blocking.
/// Called once per iteration of the event loop.
void flushLog();

/// \returns the number of lines dropped since the start.
uint64_t droppedLogLines();

/// \returns the level called \p name, or `Info` if the name is unknown.
LogLevel parseLogLevel(std::string_view name);

/// Logs a line.
/// \param level severity of the line.
/// \param event stable name of the event.
/// \param fields named values; they must not contain a caller's key.
void logLine(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields);

} // namespace guavasail

#endif
