/// \file
/// Places the requests of the services that this VM owns, and of any service
/// whose owner is out of reach.
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

/// A reply for one VM.
struct PlaceOutput {
  VmHandle To;
  PlacementReply Reply;
};

/// Requests that lost several instances in a row.
class CrashList {
public:
  /// Notes how a request ended.
  void note(uint64_t fingerprint, uint64_t instance, AttemptOutcome outcome,
            Instant now);
  /// \returns the time for which the request is refused, zero if it is not.
  [[nodiscard]] Duration held(uint64_t fingerprint, Instant now) const;

private:
  struct Entry {
    uint64_t Fingerprint = 0;
    uint32_t Crashes = 0;
    uint64_t LastInstance = 0;
    Instant Last{};
  };
  std::vector<Entry> Entries;
};

/// Decides which instance runs a request, and when.
class Dispatcher {
public:
  explicit Dispatcher(const DispatchInit &init);

  /// Takes over services and instances.
  void acceptCatalog(const CatalogIndex &catalog, Instant now);

  /// Answers an ask at once, or later from `advance` or `onDone`.
  /// \param zone zone of the asking VM.
  void onAsk(VmHandle from, ZoneHandle zone, const PlacementRequest &ask, Instant now);

  /// Takes the end of a grant.
  void onDone(VmHandle from, const PlacementRelease &done, Instant now);

  /// Notes the outcome of a slot that another VM granted.
  void observe(VmHandle self, const PlacementRelease &done, Instant now);

  /// Forgets a VM that is gone.
  void dropVm(VmHandle vm, Instant now);

  /// Tells all who wait that this VM leaves the task.
  void resign();

  void advance(Instant now);
  [[nodiscard]] Instant nextDue() const { return NextCheck; }

  /// \returns replies since the last `clearOutput`.
  [[nodiscard]] std::span<const PlaceOutput> output() const { return Out; }
  void clearOutput() { Out.clear(); }

  [[nodiscard]] size_t waiting() const;

private:
  struct Service {
    Service(const DispatchInit &init, uint64_t key)
        : Key(key), Pool(init.Placement, init.Seed ^ key), Queue(init.Queue),
          Budget(init.RetryPercent, init.RetrySlack, init.RetryWindow) {}

    uint64_t Key;
    DispatchPool Pool;
    DispatchQueue Queue;
    RetryBudget Budget;
    CrashList Crashes;
  };

  Service *find(uint64_t key);
  [[nodiscard]] QueueLoad loadOf(const Service &service, Instant now) const;
  bool grant(Service &service, const QueueEntry &entry, bool pressed,
             Instant now);
  void serve(Service &service, Instant now);
  bool serveFirst(Service &service, Instant now);
  void dropHopeless(Service &service, Instant now);
  void turnAway(const QueueEntry &entry, Duration retry);
  void reply(VmHandle to, const PlacementRequest &ask, PlacementVerdict verdict,
             Duration retry = {});
  void check(Instant now);

  DispatchInit Init;
  std::vector<Service> Services;
  std::vector<PlaceOutput> Out;
  std::mt19937_64 Random;
  Instant NextCheck = NeverInstant;
};

} // namespace guavasail

#endif
