/// \file
/// The reducer: all decisions of one daemon.
#ifndef GUAVASAIL_REDUCER_H
#define GUAVASAIL_REDUCER_H

#include "guavasail/dispatch.h"
#include "guavasail/effect.h"
#include "guavasail/event.h"
#include "guavasail/health.h"
#include "guavasail/limits.h"
#include "guavasail/member.h"
#include "guavasail/presence.h"
#include "guavasail/rate.h"

#include <cstdint>
#include <memory>

namespace guavasail {

/// Ways to choose an instance for an attempt.
enum class BalanceKind : uint8_t {
  /// Baseline: one after the other.
  RoundRobin,
  /// Baseline: plain random.
  Random,
  /// The less loaded of two random ones, wherever they are.
  LeastLoadedOfTwo,
  /// The less loaded of two in this VM's zone, spilling over under load.
  NearLeastLoadedOfTwo,
};

/// Who decides on instances and rates.
enum class FleetKind : uint8_t {
  /// Baseline: each VM by itself.
  Alone,
  /// One VM for each service and each workspace.
  Owners,
};

/// Describes a reducer. Fill in what differs from the defaults.
struct ReducerInit {
  Limits Bounds;
  /// Name of this VM, unique in the fleet.
  std::string_view Name;
  /// Availability zone of this VM.
  std::string_view Zone;
  BalanceKind Balance = BalanceKind::NearLeastLoadedOfTwo;
  DetectorKind Detector = DetectorKind::Pooled;
  /// This VM as others find it; without a name it takes no part in the fleet.
  VmSpec Self;
  /// Greater than that of any earlier start of this VM; the low 20 bits are
  /// zero.
  uint64_t Incarnation = 0;
  MembershipKind Membership = MembershipKind::Probing;
  /// How rates are shared among VMs that decide by themselves.
  RateInit Rates;
  FleetKind Fleet = FleetKind::Alone;
  DispatchInit Dispatch;
  PresenceInit Presence;
  /// Within this time an accepted withdrawal stops a key everywhere.
  Duration Withdrawal = std::chrono::seconds(5);
  /// Requests are admitted while the store is away for the whole fleet.
  bool TrustOutage = true;
  /// True if the catalog comes from the store and not from the settings.
  bool UsesStore = false;
  /// Seed of every random choice.
  uint64_t Seed = 1;
};

struct ReducerState;

/// Turns events into effects. It does no input or output and reads no clock.
class Reducer {
public:
  /// \param init limits, place and strategies of this daemon.
  explicit Reducer(const ReducerInit &init);
  ~Reducer();
  Reducer(const Reducer &) = delete;
  Reducer &operator=(const Reducer &) = delete;

  /// Applies one event.
  /// \param event what happened; its time must not go backwards.
  /// \param effects receives what has to be done, in order.
  void reduce(const Event &event, EffectBuffer &effects);

  /// \returns when `TimeAdvanced` is wanted next, or `NeverInstant`.
  [[nodiscard]] Instant nextWake() const;

  /// \returns the state, for the parts that answer questions about it.
  [[nodiscard]] const ReducerState &state() const { return *State; }

private:
  std::unique_ptr<ReducerState> State;
};

} // namespace guavasail

#endif
