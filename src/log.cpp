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

/// Lines of one kind in a second, and bytes that wait for the reader. Together
/// they bound the log at 20 kinds to about 200 KB a second.
constexpr uint32_t LinesPerSecond = 40;
constexpr uint64_t SecondMillis = 1000;
constexpr size_t BufferBytes = 256 * 1024;

LogFormat Format = LogFormat::Text;
LogLevel Least = LogLevel::Info;
bool Buffered = false;
uint64_t Dropped = 0;
uint64_t ReportedDropped = 0;

LogBuffer &buffer() {
  static LogBuffer instance(BufferBytes);
  return instance;
}

LogQuota &quota() {
  static LogQuota instance(LinesPerSecond, SecondMillis);
  return instance;
}

/// Hands the library's records to the buffer.
class BufferBackend : public log::sinks::basic_formatted_sink_backend<
                          char, log::sinks::synchronized_feeding> {
public:
  static void consume(const log::record_view &, const std::string &line) {
    if (!buffer().append(line))
      ++Dropped;
  }
};

uint64_t wallMillis() {
  timeval now{};
  gettimeofday(&now, nullptr);
  return static_cast<uint64_t>(now.tv_sec) * 1000 +
         static_cast<uint64_t>(now.tv_usec) / 1000;
}

log::sources::severity_logger<int> &logger() {
  static log::sources::severity_logger<int> instance;
  return instance;
}

/// \returns the wall-clock time in RFC 3339 form, for people only.
std::string wallTime() {
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
  line["time"] = wallTime();
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
  std::string line = wallTime() + " ";
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
  while (!Bytes.empty()) {
    // A pipe that has room takes at least this much without waiting.
    constexpr size_t AtomicBytes = 4096;
    pollfd item{fd, POLLOUT, 0};
    if (::poll(&item, 1, 0) <= 0 || (item.revents & POLLOUT) == 0)
      return;
    ssize_t n = ::write(fd, Bytes.data(), std::min(Bytes.size(), AtomicBytes));
    if (n <= 0)
      return;
    Bytes.erase(0, static_cast<size_t>(n));
  }
}

void initLog(LogLevel level, LogFormat format) {
  Least = level;
  Format = format;
  using Sink = log::sinks::synchronous_sink<BufferBackend>;
  auto sink = boost::make_shared<Sink>(boost::make_shared<BufferBackend>());
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
  Buffered = true;
}

void setLogLevel(LogLevel level) { Least = level; }

uint64_t droppedLogLines() { return Dropped; }

void flushLog() {
  buffer().flush(STDOUT_FILENO);
  if (Dropped == ReportedDropped || buffer().size() > 0)
    return;
  uint64_t count = Dropped - ReportedDropped;
  ReportedDropped = Dropped;
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
  if (level < Least)
    return;
  if (level < LogLevel::Error && !quota().admit(event, wallMillis())) {
    ++Dropped;
    return;
  }
  std::string_view name = LevelNames[static_cast<size_t>(level)];
  std::string line = Format == LogFormat::Json
                         ? formatJson(name, event, fields)
                         : formatText(name, event, fields);
  BOOST_LOG_SEV(logger(), static_cast<int>(level)) << line;
  // Before the loop runs nobody else writes the buffer out.
  if (!Buffered)
    buffer().flush(STDOUT_FILENO);
}

} // namespace guavasail
