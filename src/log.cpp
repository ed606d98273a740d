#include "log.h"

#include "log_sink.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <ctime>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <sys/time.h>
#include <unistd.h>

namespace guavasail {

namespace {

namespace log = boost::log;

constexpr auto LevelNames =
    std::to_array<std::string_view>({"debug", "info", "warning", "error"});

/// Lines of one event in a second, and bytes buffered for the reader. Together
/// they bound the log with 20 kinds of events to about 200 KB/s.
constexpr uint32_t MaxLinesPerPeriod = 40;
constexpr uint64_t LimiterPeriodMillis = 1000;
constexpr size_t MaxBufferedBytes = 256 * 1024;

LogFormat OutputFormat = LogFormat::Text;
LogLevel MinLevel = LogLevel::Info;
bool SinkInstalled = false;
uint64_t DroppedLines = 0;
uint64_t ReportedDroppedLines = 0;

LogBuffer &pendingLines() {
  static LogBuffer instance(MaxBufferedBytes);
  return instance;
}

LogRateLimiter &rateLimiter() {
  static LogRateLimiter instance(MaxLinesPerPeriod, LimiterPeriodMillis);
  return instance;
}

/// Boost.Log sink that appends formatted records to the buffer.
class BufferBackend : public log::sinks::basic_formatted_sink_backend<
                          char, log::sinks::synchronized_feeding> {
public:
  static void consume(const log::record_view &, const std::string &line) {
    if (!pendingLines().append(line))
      ++DroppedLines;
  }
};

uint64_t wallClockMillis() {
  timeval now{};
  gettimeofday(&now, nullptr);
  return static_cast<uint64_t>(now.tv_sec) * 1000 +
         static_cast<uint64_t>(now.tv_usec) / 1000;
}

log::sources::severity_logger<int> &logger() {
  static log::sources::severity_logger<int> instance;
  return instance;
}

/// \returns the wall-clock time in RFC 3339 format. It is only displayed, never
/// used in decisions.
std::string wallClockText() {
  timeval now{};
  gettimeofday(&now, nullptr);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  std::array<char, 32> buf{};
  size_t n = strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string millis = std::to_string(1000 + now.tv_usec / 1000);
  return std::string(buf.data(), n) + "." + millis.substr(1) + "Z";
}

std::string formatJson(std::string_view level, std::string_view event,
                       std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["time"] = wallClockText();
  line["level"] = level;
  line["event"] = event;
  for (const LogField &field : fields)
    std::visit([&](auto value) { line[std::string(field.Name)] = value; },
               field.Value);
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

std::string formatText(std::string_view level, std::string_view event,
                       std::initializer_list<LogField> fields) {
  std::string line = wallClockText() + " ";
  line.append(level).append(" ").append(event);
  for (const LogField &field : fields) {
    line.append(" ").append(field.Name).append("=");
    if (const auto *text = std::get_if<std::string_view>(&field.Value))
      line.append(nlohmann::json(*text).dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace));
    else
      line.append(std::to_string(std::get<int64_t>(field.Value)));
  }
  return line;
}

} // namespace

void LogBuffer::flush(int fd) {
  while (!Pending.empty()) {
    // A pipe that polls writable accepts at least this many bytes (PIPE_BUF)
    // without blocking.
    constexpr size_t PipeAtomicBytes = 4096;
    pollfd item{fd, POLLOUT, 0};
    if (::poll(&item, 1, 0) <= 0 || (item.revents & POLLOUT) == 0)
      return;
    ssize_t n =
        ::write(fd, Pending.data(), std::min(Pending.size(), PipeAtomicBytes));
    if (n <= 0)
      return;
    Pending.erase(0, static_cast<size_t>(n));
  }
}

void initLog(LogLevel level, LogFormat format) {
  MinLevel = level;
  OutputFormat = format;
  using Sink = log::sinks::synchronous_sink<BufferBackend>;
  auto sink = boost::make_shared<Sink>(boost::make_shared<BufferBackend>());
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
  SinkInstalled = true;
}

void setLogLevel(LogLevel level) { MinLevel = level; }

uint64_t droppedLogLines() { return DroppedLines; }

void flushLog() {
  pendingLines().flush(STDOUT_FILENO);
  if (DroppedLines == ReportedDroppedLines || pendingLines().size() > 0)
    return;
  uint64_t count = DroppedLines - ReportedDroppedLines;
  ReportedDroppedLines = DroppedLines;
  logLine(LogLevel::Warning, "log-lines-dropped",
          {{"count", static_cast<int64_t>(count)}});
}

LogLevel parseLogLevel(std::string_view name) {
  for (size_t n = 0; n < LevelNames.size(); ++n)
    if (LevelNames[n] == name)
      return static_cast<LogLevel>(n);
  return LogLevel::Info;
}

void logLine(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields) {
  if (level < MinLevel)
    return;
  if (level < LogLevel::Error &&
      !rateLimiter().admit(event, wallClockMillis())) {
    ++DroppedLines;
    return;
  }
  std::string_view name = LevelNames[static_cast<size_t>(level)];
  std::string line = OutputFormat == LogFormat::Json
                         ? formatJson(name, event, fields)
                         : formatText(name, event, fields);
  BOOST_LOG_SEV(logger(), static_cast<int>(level)) << line;
  // Until `initLog` is called no loop flushes the buffer.
  if (!SinkInstalled)
    pendingLines().flush(STDOUT_FILENO);
}

} // namespace guavasail
