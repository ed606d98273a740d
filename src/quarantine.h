/// \file
/// Detects requests that crash the backend servers which run them.
#ifndef GUAVASAIL_SRC_QUARANTINE_H
#define GUAVASAIL_SRC_QUARANTINE_H

#include "guavasail/clock.h"

#include <array>
#include <cstdint>

namespace guavasail {

/// Limits of the quarantine.
struct QuarantineLimits {
  /// Distinct instances lost before a request is refused.
  uint32_t Instances = 2;
  /// Time within which the instances have to be lost.
  Duration Window = std::chrono::seconds(60);
  /// Time for which the request is refused.
  Duration HoldTime = std::chrono::seconds(120);
};

/// Requests, by fingerprint, during which instances were lost. A request that
/// succeeds on any instance is forgotten.
class Quarantine {
public:
  explicit Quarantine(const QuarantineLimits &limits) : Bounds(limits) {}

  /// Records that \p instance was lost while it ran the request.
  /// \returns true if the request is refused from now on and was not before.
  bool noteCrash(uint64_t fingerprint, uint64_t instance, Instant now);

  /// Records that the request succeeded.
  void noteSuccess(uint64_t fingerprint);

  /// Refuses the request until \p until.
  void holdUntil(uint64_t fingerprint, Instant until, Instant now);

  /// \returns how long the request is still refused, zero if it is not.
  [[nodiscard]] Duration remaining(uint64_t fingerprint, Instant now) const;

  /// \returns the number of distinct instances lost during the request.
  [[nodiscard]] uint32_t crashCount(uint64_t fingerprint) const;

private:
  static constexpr size_t Capacity = 256;
  static constexpr size_t MaxInstances = 4;

  struct Suspect {
    uint64_t Fingerprint = 0;
    std::array<uint64_t, MaxInstances> Instances{};
    uint32_t Count = 0;
    Instant LastCrash{};
    Instant HeldUntil{};
  };

  [[nodiscard]] const Suspect *find(uint64_t fingerprint) const;
  Suspect &findOrReplace(uint64_t fingerprint, Instant now);

  QuarantineLimits Bounds;
  std::array<Suspect, Capacity> Suspects{};
  /// True while `Suspects` has no entry, the common case; skips the search.
  bool Empty = true;
};

} // namespace guavasail

#endif
