/// \file
/// Inputs shared by the components of the configuration.
#ifndef GUAVASAIL_SRC_CONFIG_STEP_H
#define GUAVASAIL_SRC_CONFIG_STEP_H

#include "catalog_index.h"
#include "freshness.h"
#include "guavasail/effect.h"
#include "guavasail/member.h"

#include <algorithm>

namespace guavasail {

/// The context in which the components handle one event.
struct ConfigStep {
  Instant Now;
  EffectBuffer &Effects;
  MemberView Members;
  ZoneHandle Zone;
  const FleetReach &Reach;
  /// Interns the zone names in messages.
  CatalogIndex &Names;
  /// See `ConfigWatch::progressAt`.
  Instant ReadProgressAt = Instant::min();
};

/// \returns true if \p vm may receive messages.
inline bool isReachable(const VmEntry &vm) {
  return vm.State == VmState::Alive || vm.State == VmState::Unknown;
}

/// \returns \p instant plus \p wait, saturated at `NeverInstant`.
inline Instant deadlineAfter(Instant instant, Duration wait) {
  return instant > NeverInstant - wait ? NeverInstant : instant + wait;
}

/// \returns the age of \p at, `Duration::max()` if there is none.
inline Duration ageOf(Instant at, Instant now) {
  return at == Instant::min() ? Duration::max()
                              : std::max(now - at, Duration::zero());
}

} // namespace guavasail

#endif
