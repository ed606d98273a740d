#include "boot_clock.h"

#include <ctime>

namespace guavasail {

Instant bootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  auto sinceBoot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return Instant(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace guavasail
