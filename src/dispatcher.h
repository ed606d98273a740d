/// \file
/// Places the requests of services that this VM owns, and of services whose
/// owner cannot be reached.
#ifndef GUAVASAIL_SRC_DISPATCHER_H
#define GUAVASAIL_SRC_DISPATCHER_H

#include "catalog_index.h"
#include "dispatch_budget.h"
#include "dispatch_pool.h"
#include "dispatch_queue.h"
#include "guavasail/dispatch.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// A reply addressed to a VM.
struct PlacementOutput {
  VmHandle To;
  PlacementReply Reply;
};

/// Tracks requests that lost several instances in a row.
class CrashTracker {
public:
  /// Records the outcome of an attempt.
  void noteOutcome(uint64_t fingerprint, uint64_t instance,
                   AttemptOutcome outcome, Instant now);
  /// \returns how long the request is still refused, zero if it is not.
  [[nodiscard]] Duration refusedFor(uint64_t fingerprint, Instant now) const;

private:
  struct Entry {
    uint64_t Fingerprint = 0;
    uint32_t Crashes = 0;
    uint64_t LastInstance = 0;
    Instant Last{};
  };
  std::vector<Entry> Entries;
};

/// \returns the part of a service's slack that one owner may use. In the window
/// of a change of ownership the old owner may use its part, and all successors
/// together another one; the rest covers owners that overlap for some seconds.
constexpr uint32_t ownerSlack(uint32_t slack) {
  constexpr uint32_t OwnerPercent = 40;
  return slack * OwnerPercent / 100;
}

/// Decides which instance runs a request, and when.
class Dispatcher {
public:
  explicit Dispatcher(const DispatchInit &init);

  /// Updates services and instances from \p catalog.
  void acceptCatalog(const CatalogIndex &catalog, Instant now);

  /// \returns true if the ownership of \p service has to be set for version
  /// \p version of the fleet.
  [[nodiscard]] bool needsOwnership(uint64_t service, uint64_t version);

  /// Sets since when this VM may have been the only owner of \p service,
  /// `NeverInstant` while it is not the owner.
  /// \param version version of the fleet to which \p since applies.
  void setOwnership(uint64_t service, Instant since, uint64_t version);

  /// Handles a placement request. Replies at once; the reply to a queued
  /// request follows when a slot is free or the request is refused.
  /// \param zone zone of the requesting VM.
  void onPlacementRequest(VmHandle from, ZoneHandle zone,
                          const PlacementRequest &placement, Instant now);

  /// Frees a slot, or removes a request from the queue.
  void onRelease(VmHandle from, const PlacementRelease &release, Instant now);

  /// Records the outcome of an attempt on a slot that another VM granted.
  void observeOutcome(VmHandle self, const PlacementRelease &release,
                      Instant now);

  /// Frees the slots and queue entries of a VM that has left the fleet.
  void dropVm(VmHandle vm, Instant now);

  /// Gives up ownership: replies `NotOwner` to all queued requests.
  void resign();

  void advance(Instant now);
  [[nodiscard]] Instant nextDue() const { return NextCheck; }

  /// \returns replies since the last `clearOutput`.
  [[nodiscard]] std::span<const PlacementOutput> output() const { return Out; }
  void clearOutput() { Out.clear(); }

  [[nodiscard]] size_t waiting() const;

private:
  struct Service {
    Service(const DispatchInit &init, uint64_t key)
        : Key(key), Pool(init.Placement, init.Ejection, init.Seed ^ key),
          Queue(init.Queue),
          Budget(init.RetryPercent, ownerSlack(init.RetrySlack),
                 init.RetryWindow) {}

    uint64_t Key;
    DispatchPool Pool;
    DispatchQueue Queue;
    RetryBudget Budget;
    /// Version of the fleet to which the budget's ownership applies.
    uint64_t FleetVersion = 0;
    CrashTracker Crashes;
  };

  Service *find(uint64_t key);
  [[nodiscard]] QueueLoad queueLoad(const Service &service, Instant now) const;
  bool tryGrant(Service &service, const QueueEntry &entry, bool backlogged,
                Instant now);
  void serveWaiting(Service &service, Instant now);
  bool serveHead(Service &service, Instant now);
  void refuseUnservable(Service &service, Instant now);
  void refuseOverloaded(const QueueEntry &entry, Duration retryAfter);
  void reply(VmHandle to, const PlacementRequest &placement,
             PlacementVerdict verdict, Duration retryAfter = {});
  void scheduleCheck(Instant now);

  DispatchInit Init;
  std::vector<Service> Services;
  std::vector<PlacementOutput> Out;
  std::mt19937_64 Random;
  Instant NextCheck = NeverInstant;
};

} // namespace guavasail

#endif
