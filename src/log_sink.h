/// \file
/// Where log lines wait for their reader.
#ifndef GUAVASAIL_SRC_LOG_SINK_H
#define GUAVASAIL_SRC_LOG_SINK_H

#include "guavasail/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace guavasail {

/// Bounds the lines of each kind in a time. Rare kinds are never crowded out
/// by frequent ones.
class LogQuota {
public:
  /// \param lines of one kind in `period`.
  LogQuota(uint32_t lines, uint64_t periodMillis)
      : Lines(lines), PeriodMillis(periodMillis) {}

  /// \returns true if a line of \p kind may be written.
  bool admit(std::string_view kind, uint64_t nowMillis) {
    Use &use = Uses[std::string(kind)];
    uint64_t period = nowMillis / PeriodMillis;
    if (use.Period != period)
      use = {period, 0};
    return ++use.Count <= Lines;
  }

private:
  struct Use {
    uint64_t Period = 0;
    uint32_t Count = 0;
  };

  uint32_t Lines;
  uint64_t PeriodMillis;
  std::unordered_map<std::string, Use> Uses;
};

/// Lines that a file descriptor has not taken yet.
class LogBuffer {
public:
  explicit LogBuffer(size_t capacity) : Capacity(capacity) {}

  /// \returns false if the line does not fit.
  bool append(std::string_view line) {
    if (Bytes.size() + line.size() + 1 > Capacity)
      return false;
    Bytes.append(line).push_back('\n');
    return true;
  }

  /// Writes as much as \p fd takes without waiting.
  void flush(int fd);

  [[nodiscard]] size_t size() const { return Bytes.size(); }

private:
  size_t Capacity;
  std::string Bytes;
};

} // namespace guavasail

#endif
