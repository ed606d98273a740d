/// \file
/// The instances of one service as its dispatcher sees them.
#ifndef GUAVASAIL_SRC_DISPATCH_POOL_H
#define GUAVASAIL_SRC_DISPATCH_POOL_H

#include "catalog_index.h"
#include "dispatch_health.h"
#include "guavasail/dispatch.h"

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

namespace guavasail {

/// A slot in use.
struct SlotGrant {
  VmHandle Vm;
  RequestHandle Request;
  uint32_t Ordinal = 0;
  Instant Given{};
  /// The request's deadline; a slot that nobody gave back is free after it.
  Instant Expires{};
  bool Overdue = false;
};

/// One instance.
struct Seat {
  InstanceHandle Instance;
  uint64_t Key = 0;
  ZoneHandle Zone;
  uint32_t Slots = 1;
  /// When the incarnation started; another value is another instance.
  uint64_t Started = 0;
  bool Present = false;
  bool Leaving = false;
  bool Cold = false;
  SeatHealth Health;
  std::vector<SlotGrant> Grants;
  /// The instance's own report, and when it was read.
  uint32_t Reported = 0;
  Instant ReportedAt{};
  /// Full by its own word until then.
  Instant FullUntil{};
  /// When a VM last used the instance, by its handle; it may still hold a
  /// connection.
  std::vector<Instant> UsedAt;
};

/// What is placed.
struct PlaceInput {
  VmHandle Vm;
  ZoneHandle Zone;
  uint64_t Avoid = 0;
  bool Idempotent = false;
  bool Large = false;
  /// An earlier attempt may have run.
  bool Retry = false;
  /// Requests wait: careful choices give way to any free slot.
  bool Pressed = false;
};

/// Chooses instances and keeps account of their slots.
class DispatchPool {
public:
  DispatchPool(PlacementKind placement, uint64_t seed)
      : Placement(placement), Random(seed) {}

  /// Takes over the instances of \p service.
  void acceptCatalog(const CatalogIndex &catalog, ServiceHandle service);

  /// \returns an instance with a free slot, null if there is none for the
  /// asking VM.
  Seat *choose(const PlaceInput &input, Instant now);

  /// \returns true if some request could be placed.
  [[nodiscard]] bool hasRoom(Instant now);

  /// \returns the seat of \p key, null if it is unknown.
  Seat *find(uint64_t key);

  /// Takes a slot of \p seat.
  static void take(Seat &seat, const SlotGrant &grant);

  /// Takes the outcome of a slot's use.
  /// \returns true if a slot became free.
  bool release(VmHandle vm, const PlacementRelease &done, Instant now);

  /// Forgets the slots of a VM that is gone.
  void dropVm(VmHandle vm);

  /// Frees slots whose requests ended long ago and judges overdue answers.
  void advance(Instant now);

  /// \returns the usual time of an answer.
  [[nodiscard]] Duration typical() const { return Typical; }

  /// \returns slots of all instances in use.
  [[nodiscard]] uint32_t capacity(Instant now) const;

  /// \returns the time after which an answer is unusually late.
  /// \param useful time until the request's objective is missed.
  /// \param pressed requests wait for slots.
  [[nodiscard]] Duration patience(Duration useful, bool pressed) const;

  /// \returns true if any slot is in use.
  [[nodiscard]] bool busy() const;

  [[nodiscard]] std::span<const Seat> seats() const { return Seats; }

private:
  using Choose = Seat *(DispatchPool::*)(const PlaceInput &input, Instant now);
  struct Strategy {
    PlacementKind Kind;
    std::string_view Name;
    Choose Pick;
  };
  static const Strategy Strategies[];

  Seat *chooseRandom(const PlaceInput &input, Instant now);
  Seat *chooseLeastLoaded(const PlaceInput &input, Instant now);
  Seat *chooseWeighed(const PlaceInput &input, Instant now);
  void collect(const PlaceInput &input, Instant now);
  [[nodiscard]] bool usable(const Seat &seat, const PlaceInput &input,
                            Instant now) const;
  [[nodiscard]] bool open(const Seat &seat, Instant now) const;
  void findHeld(Instant now);
  [[nodiscard]] double load(const Seat &seat, Instant now) const;
  [[nodiscard]] double cost(const Seat &seat, const PlaceInput &input,
                            Instant now) const;
  [[nodiscard]] static uint32_t room(const Seat &seat);

  PlacementKind Placement;
  std::mt19937_64 Random;
  std::vector<Seat> Seats;
  std::vector<Seat *> Candidates;
  static constexpr double NoneHeld = -1;
  /// Failure weights of the instances that are not used, and the weight up to
  /// which one is used all the same.
  std::vector<double> Failing;
  double HeldBadness = NoneHeld;
  Duration Typical = std::chrono::milliseconds(300);
};

} // namespace guavasail

#endif
