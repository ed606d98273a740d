/// \file
/// The instances of one service and their slots, as its dispatcher sees them.
#ifndef GUAVASAIL_SRC_DISPATCH_POOL_H
#define GUAVASAIL_SRC_DISPATCH_POOL_H

#include "catalog_index.h"
#include "dispatch_health.h"
#include "dispatch_history.h"
#include "guavasail/dispatch.h"
#include "load_estimate.h"
#include "start_limit.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavasail {

/// A slot granted to a request.
struct SlotGrant {
  VmHandle Vm;
  RequestHandle Request;
  uint32_t Ordinal = 0;
  Instant GrantedAt{};
  /// Deadline of the request. The slot is freed soon after it even if it was
  /// not released.
  Instant ExpiresAt{};
  bool Overdue = false;
};

/// A VM that an instance told to send no request before a time.
struct VmBackoff {
  VmHandle Vm;
  Instant Until{};
};

/// Half-life of the attempts that tell whether a service fails at present.
inline constexpr Duration HistoryHalfLife = std::chrono::seconds(1);

/// An instance with its slots and health.
struct PoolInstance {
  InstanceHandle Handle;
  uint64_t Key = 0;
  ZoneHandle Zone;
  uint32_t Slots = 1;
  /// Start time of the process; a different value means a restarted instance.
  uint64_t Started = 0;
  bool Present = false;
  bool Leaving = false;
  /// It announced its shutdown in a response, which the catalog may tell later.
  bool AnnouncedLeaving = false;
  bool Cold = false;
  bool Evacuated = false;
  /// After the evacuation of its zone its slots come back in steps between
  /// these times.
  Instant RestoredAt{};
  Instant RestoreEnd{};
  StartLimit Starts;
  OutlierDetector Health;
  std::vector<SlotGrant> Grants;
  Instant LastGrantAt{};
  /// Requests that the instance reported as running or waiting, and when.
  uint32_t ReportedLoad = 0;
  Instant ReportedAt{};
  LoadEstimate Estimate;
  /// Gets no requests until then, because it refused one as full.
  Instant FullUntil{};
  /// When each VM last used the instance, by VM handle; the VM may still hold
  /// an open connection.
  std::vector<Instant> UsedAt;
  /// VMs from which the instance wants no request for a while.
  std::vector<VmBackoff> Backoffs;

  /// \returns true if new requests may be placed on the instance.
  [[nodiscard]] bool isInService() const {
    return Present && !Leaving && !AnnouncedLeaving && !Evacuated;
  }

  /// \returns the number of slots that may be in use at \p now.
  [[nodiscard]] uint32_t usableSlots(Instant now) const;

  /// \returns the time until the instance accepts a request from \p vm, zero
  /// if it does now.
  [[nodiscard]] Duration backoffOf(VmHandle vm, Instant now) const;
};

/// Properties of a request that the placement depends on.
struct PlacementInput {
  VmHandle Vm;
  ZoneHandle Zone;
  uint64_t Avoid = 0;
  bool Idempotent = false;
  bool Large = false;
  /// An earlier attempt may have reached an instance.
  bool Retry = false;
  /// Requests are waiting, so probing instances take any request.
  bool Backlogged = false;
};

/// Load of the instances of a service, averaged over the last seconds, as the
/// share of their slots in use.
struct LoadSummary {
  double Busiest = 0;
  double Mean = 0;
};

/// Chooses instances and tracks their slots.
class DispatchPool {
public:
  DispatchPool(PlacementKind placement, EjectionKind ejection, uint64_t seed)
      : Placement(placement), Ejection(ejection), Random(seed),
        StandInSeed(seed) {}

  /// Sets the bounds on starts; called before `acceptCatalog`.
  void setStartBounds(const StartBounds &bounds, Instant now);

  /// Updates the instances of \p service from \p catalog.
  void acceptCatalog(const CatalogIndex &catalog, ServiceHandle service,
                     Instant now);

  /// Sets the number of listed VMs, which share the starts of VMs that place
  /// without an owner.
  void setFleetSize(uint32_t vms) { FleetSize = vms; }

  /// Notes under which role this VM was asked to place a request. A first
  /// request as the owner begins a new count of starts.
  void noteRole(PlacerRole role, Instant now);

  /// Keeps the present role while requests are waiting.
  void renewRole(Instant now);

  /// Counts a start on \p instance.
  void noteStart(PoolInstance &instance, Instant now) const {
    instance.Starts.noteStart(Bounds, now);
  }

  /// \returns when an instance with a free slot that gets no further start now
  /// may get one, `NeverInstant` if there is none.
  [[nodiscard]] Instant nextStart(Instant now) const;

  /// \returns an instance with a free slot, null if the requesting VM can use
  /// none.
  PoolInstance *choose(const PlacementInput &input, Instant now);

  /// \returns true if at least one instance accepts a request.
  [[nodiscard]] bool hasFreeSlot(Instant now);

  /// \returns the instance with \p key, null if it is unknown.
  PoolInstance *find(uint64_t key);

  /// Occupies a slot of \p instance.
  static void occupySlot(PoolInstance &instance, const SlotGrant &grant);

  /// Frees the slot of a finished attempt and records its outcome.
  /// \returns true if a slot became free.
  bool release(VmHandle vm, const PlacementRelease &done, Instant now);

  /// \returns the time until an instance in service accepts a request from
  /// \p vm, zero if one does now; nothing if none is in service.
  [[nodiscard]] std::optional<Duration> minBackoff(VmHandle vm,
                                                   Instant now) const;

  /// Frees the slots held by a VM that has left the fleet.
  void dropVm(VmHandle vm);

  /// Frees expired slots and reports overdue responses to outlier detection.
  void advance(Instant now);

  /// \returns the moving average of the latency of successful requests.
  [[nodiscard]] Duration typicalLatency() const { return TypicalLatency; }

  /// \returns the number of slots of all healthy instances, at least 1.
  [[nodiscard]] uint32_t capacity(Instant now) const;

  /// \returns the time without a response after which a request is hedged.
  /// \param untilObjective time until the latency objective is missed.
  /// \param backlogged true if requests are waiting for slots.
  [[nodiscard]] Duration hedgeDelay(Duration untilObjective,
                                    bool backlogged) const;

  /// \returns true if at least one slot is in use.
  [[nodiscard]] bool isBusy() const;

  /// \returns the load from the slots that this VM granted, nothing if it
  /// granted none lately.
  [[nodiscard]] std::optional<LoadSummary> loadSummary(Instant now) const;

  [[nodiscard]] std::span<const PoolInstance> instances() const {
    return Instances;
  }

private:
  using ChooseMember =
      PoolInstance *(DispatchPool::*)(const PlacementInput &input, Instant now);
  struct Strategy {
    PlacementKind Kind;
    std::string_view Name;
    ChooseMember Choose;
  };
  static const Strategy Strategies[];

  PoolInstance *chooseRandom(const PlacementInput &input, Instant now);
  PoolInstance *chooseLeastLoaded(const PlacementInput &input, Instant now);
  PoolInstance *chooseWeighed(const PlacementInput &input, Instant now);
  PoolInstance *chooseSpread(const PlacementInput &input, Instant now);
  PoolInstance *chooseEven(const PlacementInput &input, Instant now);
  PoolInstance *chooseTwoRandom(const PlacementInput &input, Instant now);
  template <typename Cost>
  PoolInstance *chooseCheapest(const PlacementInput &input, Instant now,
                               const Cost &cost);
  void collect(const PlacementInput &input, Instant now);
  static void noteNotice(PoolInstance &instance, VmHandle vm,
                         const PlacementRelease &done, Instant now);
  [[nodiscard]] bool isUsable(const PoolInstance &instance,
                              const PlacementInput &input, Instant now) const;
  [[nodiscard]] bool isOpen(const PoolInstance &instance, Instant now) const;
  void updateInUseThreshold(Instant now);
  [[nodiscard]] bool expectsIdempotent(Instant now) const;
  [[nodiscard]] double load(const PoolInstance &instance, Instant now) const;
  [[nodiscard]] double placementCost(const PoolInstance &instance,
                                     const PlacementInput &input,
                                     Instant now) const;
  /// Means of the usable instances, relative to their slots.
  struct PoolMean {
    double Load = 0;
    double RecentWork = 0;
    /// Shares of `Load` by requests of this VM and by those of others.
    double Own = 0;
    double Others = 0;
  };
  [[nodiscard]] PoolMean meanOfCandidates(Instant now) const;
  [[nodiscard]] double evenCost(const PoolInstance &instance,
                                const PlacementInput &input,
                                const PoolMean &mean, Instant now) const;
  [[nodiscard]] double completionCost(const PoolInstance &instance,
                                      const PlacementInput &input,
                                      double fullness, Instant now) const;
  [[nodiscard]] double preferenceCost(const PoolInstance &instance,
                                      const PlacementInput &input,
                                      Instant now) const;
  [[nodiscard]] double healthCost(const PoolInstance &instance,
                                  const PlacementInput &input,
                                  Instant now) const;
  void ageEstimates(Instant now);
  [[nodiscard]] double lateCost(const PoolInstance &instance,
                                Instant now) const;
  [[nodiscard]] double unusedBonus(const PoolInstance &instance,
                                   Instant now) const;
  void noteHistory(double attempts, double failures, Instant now);
  void noteProbe(bool failed);
  void noteOutcome(PoolInstance &instance, VmHandle vm,
                   const PlacementRelease &done, Instant now);
  void holdEjected(PoolInstance &instance, Instant now) const;
  void endHolds();
  void updateBusyShare(Instant now);
  [[nodiscard]] static uint32_t freeSlots(const PoolInstance &instance,
                                          Instant now);
  static void noteEvacuation(PoolInstance &instance, bool before,
                             Duration warmup, Instant now);
  [[nodiscard]] Instant nextStartOf(const PoolInstance &instance,
                                    Instant now) const;

  PlacementKind Placement;
  EjectionKind Ejection;
  std::mt19937_64 Random;
  StartBounds Bounds;
  /// This VM places as the owner until then.
  Instant OwnerUntil{};
  uint32_t FleetSize = 1;
  /// Tells which instances this VM may use without an owner; differs between
  /// VMs.
  uint64_t StandInSeed;
  std::vector<PoolInstance> Instances;
  /// Positions in `Instances` by key.
  std::unordered_map<uint64_t, size_t> PositionOfKey;
  std::vector<PoolInstance *> Candidates;
  /// Costs of `Candidates`, in the same order.
  std::vector<double> Costs;
  Instant EstimatesAgedAt{};
  static constexpr double NoThreshold = -1;
  /// Failure weights of the ejected instances, and the weight up to which an
  /// ejected instance is used anyway to keep `MinInUsePercent`.
  std::vector<double> EjectedWeights;
  double InUseThreshold = NoThreshold;
  Duration TypicalLatency = std::chrono::milliseconds(300);
  FailureHistory History{HistoryHalfLife};
  /// Moving average of the share of failed probes.
  double ProbeFailureShare = 0;
  /// Share of the slots of healthy instances that are in use.
  double BusyShare = 0;
  /// Many requests of the service fail until then.
  Instant ManyFailUntil{};
  /// When the latest idempotent request arrived.
  Instant LastIdempotentAt{};
};

} // namespace guavasail

#endif
