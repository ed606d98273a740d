/// \file
/// The reducer: the decision logic of one daemon.
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

/// Load balancing strategies for attempts.
enum class BalanceKind : uint8_t {
  /// Round-robin, a baseline.
  RoundRobin,
  /// Uniformly random, a baseline.
  Random,
  /// The less loaded of two random instances in any zone.
  LeastLoadedOfTwo,
  /// The less loaded of two random instances in this VM's zone; spills over to
  /// other zones under load.
  NearLeastLoadedOfTwo,
};

/// Which VM places requests on instances and enforces rates.
enum class FleetKind : uint8_t {
  /// Each VM for its own requests, a baseline.
  Alone,
  /// One owner VM for each service and each workspace.
  Owners,
};

/// Construction parameters of a reducer.
struct ReducerInit {
  Limits Bounds;
  /// Name of this VM, unique in the fleet.
  std::string_view Name;
  /// Availability zone of this VM.
  std::string_view Zone;
  BalanceKind Balance = BalanceKind::NearLeastLoadedOfTwo;
  DetectorKind Detector = DetectorKind::Pooled;
  /// Entry of this VM in the fleet; without a name it does not join the fleet.
  VmSpec Self;
  /// Greater than in any earlier start of this VM; the low 20 bits are zero.
  uint64_t Incarnation = 0;
  MembershipKind Membership = MembershipKind::Probing;
  /// Repetitions of at-most-once requests are matched by their idempotency
  /// keys. A request is refused until the replicas of its record are assigned.
  bool KeepsRecords = true;
  /// How VMs share rates in `FleetKind::Alone`.
  RateInit Rates;
  FleetKind Fleet = FleetKind::Alone;
  DispatchInit Dispatch;
  PresenceInit Presence;
  /// Time within which the accepted withdrawal of a key takes effect on all
  /// VMs.
  Duration MaxWithdrawalDelay = std::chrono::seconds(5);
  /// Admits requests while the whole fleet cannot reach the store.
  bool AdmitDuringOutage = true;
  /// True if the catalog is read from the store, not from the settings.
  bool UsesStore = false;
  /// Seed of the random number generators.
  uint64_t Seed = 1;
};

struct ReducerState;

/// Turns events into effects. Performs no I/O and reads no clock.
class Reducer {
public:
  /// \param init limits, location and strategies of this daemon.
  explicit Reducer(const ReducerInit &init);
  ~Reducer();
  Reducer(const Reducer &) = delete;
  Reducer &operator=(const Reducer &) = delete;

  /// Applies one event.
  /// \param event the input; its time must not go backwards.
  /// \param effects receives the actions to perform, in order.
  void reduce(const Event &event, EffectBuffer &effects);

  /// \returns when the next `TimeAdvanced` is due, or `NeverInstant`.
  [[nodiscard]] Instant nextWake() const;

  /// \returns the state, for status queries.
  [[nodiscard]] const ReducerState &state() const { return *State; }

private:
  std::unique_ptr<ReducerState> State;
};

} // namespace guavasail

#endif
