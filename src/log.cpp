#include "log.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/time.h>

namespace guavasail {

namespace {

namespace log = boost::log;

constexpr auto LevelNames =
    std::to_array<std::string_view>({"debug", "info", "warning", "error"});

LogFormat Format = LogFormat::Text;
LogLevel Least = LogLevel::Info;

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

void initLog(LogLevel level, LogFormat format) {
  Least = level;
  Format = format;
  auto sink = log::add_console_log(std::cerr);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  sink->locked_backend()->auto_flush(true);
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
  std::string_view name = LevelNames[static_cast<size_t>(level)];
  std::string line = Format == LogFormat::Json
                         ? formatJson(name, event, fields)
                         : formatText(name, event, fields);
  BOOST_LOG_SEV(logger(), static_cast<int>(level)) << line;
}

} // namespace guavasail
