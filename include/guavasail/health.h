/// \file
/// Health of backend instances: attempt outcomes, verdicts and status views.
#ifndef GUAVASAIL_HEALTH_H
#define GUAVASAIL_HEALTH_H

#include "guavasail/clock.h"

#include <cstdint>
#include <string_view>

namespace guavasail {

/// Outcome of an attempt, as a sample of the instance's health.
enum class OutcomeKind : uint8_t {
  Ok,
  /// A complete response with a server error status.
  Error,
  /// The response was truncated or malformed.
  Fault,
  /// No response before the timeout.
  Timeout,
  /// The connection could not be established.
  Unreachable,
};

/// Strategies for outlier detection.
enum class DetectorKind : uint8_t {
  /// Baseline: consecutive failures, counted by this daemon alone.
  ConsecutiveFailures,
  /// Baseline: failure rate, measured by this daemon alone.
  ErrorRate,
  /// Aggregates the samples of all daemons and compares each instance with the
  /// others of its service.
  Pooled,
};

/// Phases of ejection and recovery.
enum class VerdictState : uint8_t { Healthy, Ejected, Trickle, SlowStart };

/// Why an instance was ejected.
enum class EjectReason : uint8_t {
  None,
  Failing,
  Slow,
  Stalled,
  /// This daemon cannot connect to the instance; others may be able to.
  PathFault,
  ConsecutiveFailures,
  ErrorRate,
};

/// How this daemon routes requests to an instance.
enum class UseState : uint8_t {
  InUse,
  Ejected,
  /// Receives a small share of requests that probe for recovery.
  Trickle,
  /// Its share of requests ramps up to the full one.
  SlowStart,
  /// Not ejected, because the service's capacity would fall below its floor.
  HeldByFloor,
  /// Drained by an operator.
  Drained,
  /// Announced its own shutdown.
  Leaving,
  /// No longer in the catalog.
  Absent,
};

/// Health of one instance, as shown to operators.
struct InstanceHealthView {
  UseState Use = UseState::InUse;
  EjectReason Reason = EjectReason::None;
  /// When the state was entered.
  Instant Since{};
  /// When the state ends on its own; `NeverInstant` if it does not.
  Instant Until = NeverInstant;
  /// Exponent of the ejection back-off: recent ejections, which lengthen the
  /// next one.
  uint32_t Level = 0;
  /// Weight in load balancing, in percent of the full weight.
  uint32_t WeightPercent = 100;
  /// If the floor allows only some ejections, higher values go first.
  uint32_t Severity = 0;
  /// Outcomes that this daemon recorded since it started.
  uint64_t Outcomes = 0;
  uint64_t BadOutcomes = 0;
};

/// \returns the name of \p state in messages and queries; it never changes.
std::string_view useStateName(UseState state);

/// \returns the name of \p reason in messages and queries; it never changes.
std::string_view ejectReasonName(EjectReason reason);

} // namespace guavasail

#endif
