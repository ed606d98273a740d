#include "guavasail/health.h"

#include <array>
#include <cstddef>

namespace guavasail {

namespace {

constexpr auto UseNames = std::to_array<std::string_view>(
    {"in-use", "ejected", "trickle", "slow-start", "held-by-floor", "drained",
     "leaving", "absent"});

constexpr auto ReasonNames = std::to_array<std::string_view>(
    {"none", "failing", "slow", "stalled", "path-fault", "consecutive-failures",
     "error-rate"});

} // namespace

std::string_view useStateName(UseState state) {
  return UseNames[static_cast<size_t>(state)];
}

std::string_view ejectReasonName(EjectReason reason) {
  return ReasonNames[static_cast<size_t>(reason)];
}

} // namespace guavasail
