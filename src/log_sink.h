/// \file
/// Rate limiter and output buffer of the log.
#ifndef GUAVASAIL_SRC_LOG_SINK_H
#define GUAVASAIL_SRC_LOG_SINK_H

#include "guavasail/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace guavasail {

/// Limits the number of lines per event and period, so that frequent events do
/// not displace rare ones.
class LogRateLimiter {
public:
  /// \param maxLines limit for each event in a period.
  /// \param periodMillis length of a period in milliseconds.
  LogRateLimiter(uint32_t maxLines, uint64_t periodMillis)
      : MaxLines(maxLines), PeriodMillis(periodMillis) {}

  /// \returns true if a line of \p event may be written.
  bool admit(std::string_view event, uint64_t nowMillis) {
    Window &window = Windows[std::string(event)];
    uint64_t period = nowMillis / PeriodMillis;
    if (window.Period != period)
      window = {period, 0};
    return ++window.Count <= MaxLines;
  }

private:
  struct Window {
    uint64_t Period = 0;
    uint32_t Count = 0;
  };

  uint32_t MaxLines;
  uint64_t PeriodMillis;
  std::unordered_map<std::string, Window> Windows;
};

/// Bounded buffer of lines that are not written to a file descriptor yet.
class LogBuffer {
public:
  explicit LogBuffer(size_t maxBytes) : MaxBytes(maxBytes) {}

  /// \returns false if the line does not fit.
  bool append(std::string_view line) {
    if (Pending.size() + line.size() + 1 > MaxBytes)
      return false;
    Pending.append(line).push_back('\n');
    return true;
  }

  /// Writes as much as \p fd accepts without blocking.
  void flush(int fd);

  [[nodiscard]] size_t size() const { return Pending.size(); }

private:
  size_t MaxBytes;
  std::string Pending;
};

} // namespace guavasail

#endif
