/// \file
/// Judges one instance by the outcomes of all VMs' requests.
#ifndef GUAVASAIL_SRC_DISPATCH_HEALTH_H
#define GUAVASAIL_SRC_DISPATCH_HEALTH_H

#include "guavasail/clock.h"
#include "guavasail/dispatch.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <vector>

namespace guavasail {

/// What an instance is used for.
enum class SeatState : uint8_t {
  Sound,
  /// Not used for now.
  Ejected,
  /// Gets one request at a time until one of them ends well.
  Trial,
};

/// Evidence on one instance. Failures that only one VM sees are taken for
/// faults of the path between the two.
class SeatHealth {
public:
  /// Takes an outcome that \p vm saw.
  /// \param typical usual time of an answer of the service.
  void note(AttemptOutcome outcome, VmHandle vm, Duration took, Duration typical,
            Instant now);

  /// A request has waited unusually long for its answer.
  void noteOverdue(VmHandle vm, Instant now);

  [[nodiscard]] SeatState state(Instant now) const;

  /// \returns true if \p vm should not use the instance.
  [[nodiscard]] bool pathBroken(VmHandle vm, Instant now) const;

  /// \returns the weight of recent failures; 1 is a recent reset.
  [[nodiscard]] double badness(Instant now) const;

  /// \returns how much slower than usual the instance answers, at least 1.
  [[nodiscard]] double slowness(Instant now) const;

  /// \returns when the newest request that ended well was sent.
  [[nodiscard]] Instant provenAt() const { return ProvenAt; }

  /// \returns true if a trial may be made with any request. Until then only
  /// idempotent ones are risked.
  [[nodiscard]] bool openTrial(Instant now) const;

  /// \returns when the state changes by itself, `NeverInstant` if it does not.
  [[nodiscard]] Instant nextChange(Instant now) const;

private:
  struct Path {
    VmHandle Vm;
    Instant Until;
  };

  void addBadness(double weight, Instant now);
  void eject(Instant now);
  void breakPath(VmHandle vm, Instant now);
  [[nodiscard]] size_t brokenPaths(Instant now) const;

  double Badness = 0;
  Instant BadnessAt{};
  double Slowness = 1;
  Instant SlownessAt{};
  uint32_t Level = 0;
  bool Proven = true;
  Instant ProvenAt{};
  Instant EjectedAt{};
  Instant EjectedUntil{};
  std::vector<Path> Paths;
};

} // namespace guavasail

#endif
