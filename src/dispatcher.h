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
#include "return_schedule.h"

#include <cstdint>
#include <optional>
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

/// \returns the part of a service's slack that one owner may use. Around a
/// change of ownership two of them count for themselves, and VMs that reach
/// neither place a few requests.
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

  /// Handles a placement request. Replies at once; the reply to a queued
  /// request follows when a slot is free or the request is refused.
  /// \param zone zone of the requesting VM.
  /// \param role whether this VM owns the service as far as the requesting VM
  /// knows.
  void onPlacementRequest(VmHandle from, ZoneHandle zone,
                          const PlacementRequest &placement, Instant now,
                          PlacerRole role = PlacerRole::Owner);

  /// Sets the number of listed VMs.
  void setFleetSize(uint32_t vms);

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

  /// \returns the load of the service with \p key, nothing if this VM has
  /// granted none of its slots lately.
  [[nodiscard]] std::optional<LoadSummary> loadSummary(uint64_t key,
                                                       Instant now) const;

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
    CrashTracker Crashes;
    ReturnSchedule Returns;
  };

  Service *find(uint64_t key);
  [[nodiscard]] QueueLoad queueLoad(const Service &service, Instant now) const;
  bool tryGrant(Service &service, const QueueEntry &entry, bool backlogged,
                Instant now);
  void serveWaiting(Service &service, Instant now);
  bool serveHead(Service &service, Instant now);
  void refuseUnservable(Service &service, Instant now);
  void refuseOverloaded(const QueueEntry &entry, Duration retryAfter);
  void refuseQueued(Service &service, const QueueEntry &entry, Duration wait,
                    Instant now);
  Duration withJitter(Duration time);
  void reply(VmHandle to, const PlacementRequest &placement,
             PlacementVerdict verdict, Duration retryAfter = {});
  void scheduleCheck(Instant now);
  void scheduleStart(const Service &service, Instant now);

  DispatchInit Init;
  std::vector<Service> Services;
  std::vector<PlacementOutput> Out;
  std::mt19937_64 Random;
  Instant NextCheck = NeverInstant;
};

} // namespace guavasail

#endif
