/// \file
/// What the parts of the configuration work with besides their state.
#ifndef GUAVASAIL_SRC_CONFIG_STEP_H
#define GUAVASAIL_SRC_CONFIG_STEP_H

#include "catalog_index.h"
#include "freshness.h"
#include "guavasail/effect.h"
#include "guavasail/member.h"

#include <algorithm>

namespace guavasail {

/// One step of the configuration's parts.
struct ConfigStep {
  Instant Now;
  EffectBuffer &Effects;
  MemberView Members;
  ZoneHandle Zone;
  const FleetReach &Reach;
  /// Interns the zone names that messages carry.
  CatalogIndex &Names;
};

/// \returns true if a message to \p vm is worth sending.
inline bool reachable(const VmEntry &vm) {
  return vm.State == VmState::Alive || vm.State == VmState::Unknown;
}

/// \returns \p instant plus \p wait, without overflow.
inline Instant later(Instant instant, Duration wait) {
  return instant > NeverInstant - wait ? NeverInstant : instant + wait;
}

/// \returns the age of \p at, `Duration::max()` if there is none.
inline Duration ageOf(Instant at, Instant now) {
  return at == Instant::min() ? Duration::max()
                              : std::max(now - at, Duration::zero());
}

} // namespace guavasail

#endif
