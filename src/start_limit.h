/// \file
/// Bounds the requests that an instance gets in a second while it may be cold.
/// Requests well above its bound crash it.
#ifndef GUAVASAIL_SRC_START_LIMIT_H
#define GUAVASAIL_SRC_START_LIMIT_H

#include "guavasail/clock.h"

#include <cstdint>
#include <vector>

namespace guavasail {

/// Time in which starts on an instance are bounded. The bound of the operators
/// applies to any second at the instance; messages and connections delay a
/// request by up to 200 ms more than another one, the time after which TCP
/// retransmits a lost packet.
inline constexpr Duration StartWindow = std::chrono::milliseconds(1200);

/// Bounds on the starts of each instance of one service.
struct StartBounds {
  /// Starts in any `StartWindow`, over all VMs; 0 for no limit.
  uint32_t PerWindow = 0;
  /// Part of them that is left to VMs that place without an owner.
  uint32_t Reserve = 0;
  /// Starts a second while the instance is known to be cold.
  double ColdPerSecond = 0;

  [[nodiscard]] bool limited() const { return PerWindow > 0; }
};

/// \returns the bounds of a service.
/// \param perKilosecond requests per 1000 s that a cold instance can handle; 0
/// for no limit.
/// \param overshoot factor on that rate within any second; 0 for no limit.
/// \param slack requests within any second in addition.
StartBounds startBounds(uint32_t perKilosecond, double overshoot,
                        uint32_t slack);

/// Under which role a VM places requests on an instance.
enum class PlacerRole : uint8_t {
  /// It owns the service and knows all starts.
  Owner,
  /// It reaches no owner and places its own requests.
  StandIn,
};

/// Counts the starts on one instance.
class StartLimit {
public:
  /// Another VM may have placed requests on the instance until \p now: the
  /// first window counts as half used, and a cold instance has one token.
  void begin(Instant now);

  /// \returns when the next start is allowed, \p now or earlier if it is now;
  /// `NeverInstant` if the role allows none.
  [[nodiscard]] Instant nextStart(const StartBounds &bounds, bool cold,
                                  PlacerRole role, Instant now) const;

  /// Counts a start.
  void noteStart(const StartBounds &bounds, Instant now);

private:
  [[nodiscard]] double tokens(const StartBounds &bounds, Instant now) const;

  /// Starts of the last window, the oldest first.
  std::vector<Instant> Starts;
  /// Until then other VMs' starts may count.
  Instant HalfUsedUntil{};
  double Tokens = 0;
  Instant RefilledAt{};
};

} // namespace guavasail

#endif
