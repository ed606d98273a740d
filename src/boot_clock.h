/// \file
/// The clock of all instants.
#ifndef GUAVASAIL_SRC_BOOT_CLOCK_H
#define GUAVASAIL_SRC_BOOT_CLOCK_H

#include "guavasail/clock.h"

namespace guavasail {

/// \returns the time of the clock that also runs while the VM is paused.
Instant bootTime();

} // namespace guavasail

#endif
