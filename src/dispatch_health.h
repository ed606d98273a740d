/// \file
/// Passive outlier detection for one instance, from the outcomes of requests
/// of all VMs.
#ifndef GUAVASAIL_SRC_DISPATCH_HEALTH_H
#define GUAVASAIL_SRC_DISPATCH_HEALTH_H

#include "guavasail/clock.h"
#include "guavasail/dispatch.h"
#include "guavasail/handle.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace guavasail {

/// State of an instance in outlier detection.
enum class EjectionState : uint8_t {
  Healthy,
  /// Gets no requests for now.
  Ejected,
  /// Gets one request at a time until it has recovered.
  Probing,
};

/// Tracks the failures and latency of one instance. Failures to reach it that
/// only one VM sees are taken for faults of the network path between the two.
class OutlierDetector {
public:
  /// Records the outcome of an attempt made by \p vm.
  /// \param took time from sending the request to its outcome.
  /// \param typical typical latency of the service.
  void noteOutcome(AttemptOutcome outcome, VmHandle vm, Duration took,
                   Duration typical, Instant now);

  /// Records that a request of \p vm has had no response for unusually long.
  /// \param sentAt when the request was sent.
  void noteOverdue(VmHandle vm, Instant sentAt, Instant now);

  [[nodiscard]] EjectionState state(Instant now) const;

  /// \returns true if \p vm could not reach the instance lately, or got no
  /// response from it in time.
  [[nodiscard]] bool isPathDown(VmHandle vm, Instant now) const;

  /// \returns the exponentially decayed weight of recent failures; a connection
  /// that broke just now weighs 1.
  [[nodiscard]] double failureWeight(Instant now) const;

  /// \returns the latency of the instance relative to the typical latency of
  /// the service, at least 1.
  [[nodiscard]] double slowdown(Instant now) const;

  /// \returns an upper bound of `slowdown`, at less cost.
  [[nodiscard]] double maxSlowdown() const { return Slowdown; }

  /// \returns when the latest successful request was sent.
  [[nodiscard]] Instant lastSuccessSentAt() const { return LastSuccessSentAt; }

  /// Prolongs the current ejection.
  void hold(Duration time) { EjectedUntil = BriefUntil + time; }

  /// Ends what `hold` added to the current ejection.
  void endHold() { EjectedUntil = std::min(EjectedUntil, BriefUntil); }

  /// \returns true if a request sent at \p sentAt probes an ejected instance.
  [[nodiscard]] bool isProbe(Instant sentAt) const {
    return !Recovered && sentAt >= EjectedAt;
  }

  /// \returns when the instance was ejected last.
  [[nodiscard]] Instant ejectedAt() const { return EjectedAt; }

  /// \returns true if any request may probe the instance, false while only
  /// idempotent ones may.
  /// \param expectsIdempotent idempotent requests arrive, which may probe
  /// first.
  [[nodiscard]] bool allowsAnyProbe(bool expectsIdempotent, Instant now) const;

  /// \returns when the state changes next without new outcomes, `NeverInstant`
  /// if it does not.
  [[nodiscard]] Instant nextChange(Instant now) const;

private:
  struct Path {
    VmHandle Vm;
    Instant Until;
  };

  void addFailureWeight(double weight, Instant now);
  void eject(Instant now);
  void markPathDown(VmHandle vm, Instant now);
  [[nodiscard]] size_t downPathCount(Instant now) const;

  double FailureWeight = 0;
  Instant FailureWeightAt{};
  double Slowdown = 1;
  Instant SlowdownAt{};
  uint32_t EjectionLevel = 0;
  bool Recovered = true;
  Instant LastSuccessSentAt{};
  Instant EjectedAt{};
  Instant EjectedUntil{};
  /// End of the current ejection without what `hold` adds.
  Instant BriefUntil{};
  std::vector<Path> Paths;
};

} // namespace guavasail

#endif
