#include "start_limit.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace guavasail {

namespace {

/// One part in this many of a bound is left to VMs that place without an owner.
/// The tightest known bound, 18 a second, leaves them 3.
constexpr uint32_t ReserveDivisor = 6;
/// Tokens that a cold instance accumulates. With two, the starts of two owners
/// and of VMs without one exceeded a bound of 18 by one.
constexpr double MaxTokens = 1;
/// Starts of a stand-in in one window.
constexpr uint32_t StandInStarts = 1;

Duration fromSeconds(double seconds) {
  return Duration(
      static_cast<int64_t>(std::ceil(seconds * Duration::period::den)));
}

} // namespace

StartBounds startBounds(uint32_t perKilosecond, double overshoot,
                        uint32_t slack) {
  if (perKilosecond == 0 || overshoot <= 0)
    return {};
  constexpr double Kilosecond = 1000;
  StartBounds bounds;
  bounds.ColdPerSecond = perKilosecond / Kilosecond;
  // An instance without any request would never be used again.
  bounds.PerWindow = std::max(
      1U, static_cast<uint32_t>(bounds.ColdPerSecond * overshoot) + slack);
  bounds.Reserve = bounds.PerWindow / ReserveDivisor;
  return bounds;
}

void StartLimit::begin(Instant now) {
  HalfUsedUntil = now + StartWindow;
  Tokens = 1;
  RefilledAt = now;
}

double StartLimit::tokens(const StartBounds &bounds, Instant now) const {
  return std::min(MaxTokens,
                  Tokens + inSeconds(now - RefilledAt) * bounds.ColdPerSecond);
}

Instant StartLimit::nextStart(const StartBounds &bounds, bool cold,
                              PlacerRole role, Instant now) const {
  if (!bounds.limited())
    return now;
  uint32_t limit = role == PlacerRole::Owner
                       ? bounds.PerWindow - bounds.Reserve
                       : std::min(StandInStarts, bounds.Reserve);
  if (limit == 0)
    return NeverInstant;
  Instant due = now;
  auto first =
      std::upper_bound(Starts.begin(), Starts.end(), now - StartWindow);
  auto used = static_cast<uint32_t>(Starts.end() - first);
  if (used >= limit)
    due = *(Starts.end() - static_cast<std::ptrdiff_t>(limit)) + StartWindow;
  else if (role == PlacerRole::Owner && used >= limit / 2)
    due = std::max(now, HalfUsedUntil);
  double missing = 1 - tokens(bounds, now);
  if (cold && missing > 0)
    due = std::max(due, now + fromSeconds(missing / bounds.ColdPerSecond));
  return due;
}

void StartLimit::noteStart(const StartBounds &bounds, Instant now) {
  if (!bounds.limited())
    return;
  Tokens = std::max(0.0, tokens(bounds, now) - 1);
  RefilledAt = now;
  Starts.erase(Starts.begin(), std::upper_bound(Starts.begin(), Starts.end(),
                                                now - StartWindow));
  Starts.push_back(now);
}

} // namespace guavasail
