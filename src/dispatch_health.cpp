#include "dispatch_health.h"

#include "duration_math.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace guavasail {

namespace {

/// Failure weights by `AttemptOutcome`. One broken connection ejects an
/// instance, since healthy instances break none. One server error does not,
/// since healthy instances return about one in a hundred requests.
constexpr std::array<double, 8> FailureWeights = {0, 0.5, 1, 0.6, 0, 0, 0, 0};
constexpr double EjectionThreshold = 0.95;
/// Weight of an overdue request while requests sent after it succeed.
constexpr double LongRequestWeight = 0.2;
/// Factor applied to the failure weight after a success.
constexpr double SuccessFactor = 0.5;
constexpr double FailureHalfLifeSeconds = 2;
/// Length of the first ejection. Instances often fail for a few seconds only,
/// and one that failed on its own counts as healthy 2 s later.
constexpr Duration BaseEjectionTime = std::chrono::milliseconds(2000);
/// Repeated ejections are longer by at most this many `EjectionTimeStep`.
constexpr uint32_t MaxEjectionLevel = 2;
constexpr Duration EjectionTimeStep = std::chrono::milliseconds(1500);
/// Time after an ejection during which only idempotent requests probe the
/// instance.
constexpr Duration IdempotentProbeTime = std::chrono::milliseconds(1500);
/// Time for which a VM avoids an instance that it could not reach.
constexpr Duration PathDownTime = std::chrono::seconds(2);
/// Distinct VMs that fail to reach an instance before it is ejected.
constexpr size_t MinDownPaths = 2;
/// Weight of the latest response in the moving average of the latency ratio.
constexpr double SlowdownSmoothing = 0.3;
constexpr double MaxSlowdown = 20;

double decayed(double value, Instant since, Instant now) {
  return value == 0 ? 0
                    : value * std::exp2(-inSeconds(now - since) /
                                        FailureHalfLifeSeconds);
}

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome outcome) {
  static constexpr std::array<std::string_view, 8> Names = {
      "ok",          "error", "fault",     "timed-out",
      "unreachable", "shed",  "cancelled", "unused"};
  return Names[static_cast<size_t>(outcome)];
}

double OutlierDetector::failureWeight(Instant now) const {
  return decayed(FailureWeight, FailureWeightAt, now);
}

double OutlierDetector::slowdown(Instant now) const {
  return 1 + decayed(Slowdown - 1, SlowdownAt, now);
}

void OutlierDetector::addFailureWeight(double weight, Instant now) {
  FailureWeight = failureWeight(now) + weight;
  FailureWeightAt = now;
}

void OutlierDetector::eject(Instant now) {
  EjectedAt = now;
  BriefUntil = now + BaseEjectionTime + EjectionTimeStep * EjectionLevel;
  EjectedUntil = BriefUntil;
  EjectionLevel = std::min(EjectionLevel + 1, MaxEjectionLevel);
  Recovered = false;
}

void OutlierDetector::noteOutcome(AttemptOutcome outcome, VmHandle vm,
                                  Duration took, Duration typical,
                                  Instant now) {
  switch (outcome) {
  case AttemptOutcome::Cancelled:
  case AttemptOutcome::Unused:
  case AttemptOutcome::Shed:
    return;
  case AttemptOutcome::Unreachable:
    markPathDown(vm, now);
    if (downPathCount(now) >= MinDownPaths &&
        state(now) != EjectionState::Ejected)
      eject(now);
    return;
  case AttemptOutcome::Ok: {
    // A request sent before the ejection tells nothing about recovery.
    bool sentAfterEjection = now - took >= EjectedAt;
    // Recovery takes two successes: a failing instance still returns some.
    bool hadSuccess = LastSuccessSentAt > EjectedAt;
    LastSuccessSentAt = std::max(LastSuccessSentAt, now - took);
    FailureWeight = failureWeight(now) * SuccessFactor;
    FailureWeightAt = now;
    if (sentAfterEjection) {
      if (hadSuccess)
        EjectionLevel = 0;
      Recovered |= hadSuccess;
      EjectedUntil = std::min(EjectedUntil, now);
      std::erase_if(Paths, [&](const Path &it) { return it.Vm == vm; });
    }
    double ratio = inSeconds(took) / std::max(inSeconds(typical), 0.001);
    Slowdown = slowdown(now) * (1 - SlowdownSmoothing) +
               std::clamp(ratio, 1.0, MaxSlowdown) * SlowdownSmoothing;
    SlowdownAt = now;
    return;
  }
  case AttemptOutcome::TimedOut:
  case AttemptOutcome::Error:
  case AttemptOutcome::Fault:
    // Failures of requests sent before the ejection do not prolong or repeat
    // it, however late they end.
    if (now - took < EjectedAt)
      return;
    if (outcome == AttemptOutcome::TimedOut)
      markPathDown(vm, now);
    addFailureWeight(FailureWeights[static_cast<size_t>(outcome)], now);
    if (failureWeight(now) >= EjectionThreshold || !Recovered)
      eject(now);
    return;
  }
}

void OutlierDetector::noteOverdue(VmHandle vm, Instant sentAt, Instant now) {
  // While later requests succeed, the request may be long by itself.
  if (LastSuccessSentAt >= sentAt) {
    addFailureWeight(LongRequestWeight, now);
  } else {
    markPathDown(vm, now);
    addFailureWeight(
        FailureWeights[static_cast<size_t>(AttemptOutcome::TimedOut)], now);
  }
  bool failedProbe =
      state(now) == EjectionState::Probing && sentAt >= EjectedAt;
  bool failing = state(now) == EjectionState::Healthy &&
                 failureWeight(now) >= EjectionThreshold;
  if (failedProbe || failing)
    eject(now);
}

EjectionState OutlierDetector::state(Instant now) const {
  if (now < EjectedUntil)
    return EjectionState::Ejected;
  return Recovered ? EjectionState::Healthy : EjectionState::Probing;
}

bool OutlierDetector::allowsAnyProbe(bool expectsIdempotent,
                                     Instant now) const {
  bool firstEjection = EjectionLevel <= 1;
  return now >= EjectedUntil + IdempotentProbeTime ||
         (firstEjection && !expectsIdempotent);
}

Instant OutlierDetector::nextChange(Instant now) const {
  if (now < EjectedUntil)
    return EjectedUntil;
  if (!Recovered && now < EjectedUntil + IdempotentProbeTime)
    return EjectedUntil + IdempotentProbeTime;
  return NeverInstant;
}

void OutlierDetector::markPathDown(VmHandle vm, Instant now) {
  std::erase_if(Paths,
                [&](const Path &it) { return it.Vm == vm || it.Until <= now; });
  Paths.push_back({vm, now + PathDownTime});
}

bool OutlierDetector::isPathDown(VmHandle vm, Instant now) const {
  return std::any_of(Paths.begin(), Paths.end(), [&](const Path &it) {
    return it.Vm == vm && now < it.Until;
  });
}

size_t OutlierDetector::downPathCount(Instant now) const {
  return static_cast<size_t>(
      std::count_if(Paths.begin(), Paths.end(),
                    [&](const Path &it) { return now < it.Until; }));
}

} // namespace guavasail
