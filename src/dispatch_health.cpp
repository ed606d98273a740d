#include "dispatch_health.h"

#include "duration_math.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace guavasail {

namespace {

/// Failure weights by `AttemptOutcome`. One broken connection ejects, since a
/// sound instance breaks none; an error of the instance's own does not, since
/// a sound one returns about one in a hundred.
constexpr std::array<double, 8> Weights = {0, 0.5, 1, 0.6, 0, 0, 0, 0};
constexpr double EjectFrom = 0.95;
/// Left of the failure weight after a good answer.
constexpr double GoodFactor = 0.5;
constexpr double HalfLifeSeconds = 2;
/// First ejection; instances often fail for some seconds only, and one that
/// failed by itself counts as sound 2 s later.
constexpr Duration FirstEjection = std::chrono::milliseconds(2000);
/// Most steps by which repeated failures prolong an ejection.
constexpr uint32_t MostLevels = 2;
constexpr Duration EjectionStep = std::chrono::milliseconds(1500);
/// Time after an ejection in which only idempotent requests are risked.
constexpr Duration CarefulTrial = std::chrono::milliseconds(1500);
/// A VM keeps off an instance that it could not reach for this time.
constexpr Duration PathDetour = std::chrono::seconds(2);
/// Distinct VMs that fail to reach an instance before it counts as down.
constexpr size_t DownPaths = 2;
/// Weight of the newest answer in the mean time of answers.
constexpr double SlownessWeight = 0.3;
constexpr double MostSlowness = 20;

double decayed(double value, Instant since, Instant now) {
  return value == 0
             ? 0
             : value * std::exp2(-inSeconds(now - since) / HalfLifeSeconds);
}

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome outcome) {
  static constexpr std::array<std::string_view, 8> Names = {
      "ok",          "error", "fault",     "timed-out",
      "unreachable", "shed",  "cancelled", "unused"};
  return Names[static_cast<size_t>(outcome)];
}

double SeatHealth::badness(Instant now) const {
  return decayed(Badness, BadnessAt, now);
}

double SeatHealth::slowness(Instant now) const {
  return 1 + decayed(Slowness - 1, SlownessAt, now);
}

void SeatHealth::addBadness(double weight, Instant now) {
  Badness = badness(now) + weight;
  BadnessAt = now;
}

void SeatHealth::eject(Instant now) {
  EjectedAt = now;
  EjectedUntil = now + FirstEjection + EjectionStep * Level;
  Level = std::min(Level + 1, MostLevels);
  Proven = false;
}

void SeatHealth::note(AttemptOutcome outcome, VmHandle vm, Duration took,
                      Duration typical, Instant now) {
  switch (outcome) {
  case AttemptOutcome::Cancelled:
  case AttemptOutcome::Unused:
  case AttemptOutcome::Shed:
    return;
  case AttemptOutcome::Unreachable:
    breakPath(vm, now);
    if (brokenPaths(now) >= DownPaths && state(now) != SeatState::Ejected)
      eject(now);
    return;
  case AttemptOutcome::Ok: {
    // What was sent before the ejection says nothing of now.
    bool sentSince = now - took >= EjectedAt;
    // One good answer may be luck: a failing instance still gives some.
    bool again = ProvenAt > EjectedAt;
    ProvenAt = std::max(ProvenAt, now - took);
    Badness = badness(now) * GoodFactor;
    BadnessAt = now;
    if (sentSince) {
      if (again)
        Level = 0;
      Proven |= again;
      EjectedUntil = std::min(EjectedUntil, now);
      std::erase_if(Paths, [&](const Path &it) { return it.Vm == vm; });
    }
    double ratio = inSeconds(took) / std::max(inSeconds(typical), 0.001);
    Slowness = slowness(now) * (1 - SlownessWeight) +
               std::clamp(ratio, 1.0, MostSlowness) * SlownessWeight;
    SlownessAt = now;
    return;
  }
  case AttemptOutcome::TimedOut:
    breakPath(vm, now);
    [[fallthrough]];
  case AttemptOutcome::Error:
  case AttemptOutcome::Fault:
    addBadness(Weights[static_cast<size_t>(outcome)], now);
    // Requests that were sent before the ejection fail without news.
    bool known = now - took < EjectedAt && now < EjectedUntil;
    if (!known && (badness(now) >= EjectFrom || !Proven))
      eject(now);
    return;
  }
}

void SeatHealth::noteOverdue(VmHandle vm, Instant now) {
  breakPath(vm, now);
  addBadness(Weights[static_cast<size_t>(AttemptOutcome::TimedOut)], now);
  if (badness(now) >= EjectFrom && state(now) == SeatState::Sound)
    eject(now);
}

SeatState SeatHealth::state(Instant now) const {
  if (now < EjectedUntil)
    return SeatState::Ejected;
  return Proven ? SeatState::Sound : SeatState::Trial;
}

bool SeatHealth::openTrial(Instant now) const {
  return now >= EjectedUntil + CarefulTrial;
}

Instant SeatHealth::nextChange(Instant now) const {
  if (now < EjectedUntil)
    return EjectedUntil;
  if (!Proven && !openTrial(now))
    return EjectedUntil + CarefulTrial;
  return NeverInstant;
}

void SeatHealth::breakPath(VmHandle vm, Instant now) {
  std::erase_if(Paths,
                [&](const Path &it) { return it.Vm == vm || it.Until <= now; });
  Paths.push_back({vm, now + PathDetour});
}

bool SeatHealth::pathBroken(VmHandle vm, Instant now) const {
  return std::any_of(Paths.begin(), Paths.end(), [&](const Path &it) {
    return it.Vm == vm && now < it.Until;
  });
}

size_t SeatHealth::brokenPaths(Instant now) const {
  return static_cast<size_t>(
      std::count_if(Paths.begin(), Paths.end(),
                    [&](const Path &it) { return now < it.Until; }));
}

} // namespace guavasail
