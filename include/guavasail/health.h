/// \file
/// Health of instances: outcomes, verdicts and what operators can read.
#ifndef GUAVASAIL_HEALTH_H
#define GUAVASAIL_HEALTH_H

#include "guavasail/clock.h"

#include <cstdint>
#include <string_view>

namespace guavasail {

/// How an attempt ended, as evidence of the instance's health.
enum class OutcomeKind : uint8_t {
  Ok,
  /// A whole answer with a server error.
  Error,
  /// The answer broke or was malformed.
  Fault,
  /// No answer within the time given.
  Timeout,
  /// No connection could be made.
  Unreachable,
};

/// Ways to decide that an instance is sick.
enum class DetectorKind : uint8_t {
  /// Baseline: failures in a row as this daemon alone sees them.
  ConsecutiveFailures,
  /// Baseline: share of failures as this daemon alone sees them.
  ErrorRate,
  /// Evidence of all daemons, against the other instances of the service.
  Pooled,
};

/// Steps of ejection and recovery.
enum class VerdictState : uint8_t { Healthy, Ejected, Trickle, SlowStart };

/// Why an instance was ejected.
enum class EjectReason : uint8_t {
  None,
  Failing,
  Slow,
  Stalled,
  /// This daemon cannot reach the instance; others may.
  PathFault,
  ConsecutiveFailures,
  ErrorRate,
};

/// What an instance is used for by this daemon.
enum class UseState : uint8_t {
  InUse,
  Ejected,
  /// Gets a small share of requests to find out whether it recovered.
  Trickle,
  /// Its share grows to the full one.
  SlowStart,
  /// Ejection was wanted, but would have broken the floor.
  HeldByFloor,
  /// Taken out by an operator.
  Drained,
  /// Said that it is leaving.
  Leaving,
  /// Not in the catalog any more.
  Absent,
};

/// Health of one instance as operators read it.
struct InstanceHealthView {
  UseState Use = UseState::InUse;
  EjectReason Reason = EjectReason::None;
  /// When the state was entered.
  Instant Since{};
  /// When it ends by itself, `NeverInstant` if it does not.
  Instant Until = NeverInstant;
  /// Ejections that still lengthen the next one.
  uint32_t Level = 0;
  /// Share of the instance's usual requests, in percent.
  uint32_t WeightPercent = 100;
  /// Orders instances when not all may be ejected; more is worse.
  uint32_t Badness = 0;
  /// Outcomes that this daemon saw since it started.
  uint64_t Outcomes = 0;
  uint64_t BadOutcomes = 0;
};

/// \returns the stable name of \p state.
std::string_view useStateName(UseState state);

/// \returns the stable name of \p reason.
std::string_view ejectReasonName(EjectReason reason);

} // namespace guavasail

#endif
