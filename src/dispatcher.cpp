#include "dispatcher.h"

#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time between two checks of waiting requests and slots in use.
constexpr Duration CheckInterval = std::chrono::milliseconds(150);

/// Retry delay for callers of a service without instances.
constexpr Duration NoInstanceRetryAfter = std::chrono::milliseconds(500);

/// Retry delay for callers of a VM from which all instances want no request. It
/// is short because a retry most likely reaches another VM.
constexpr Duration OtherVmRetryAfter = std::chrono::milliseconds(100);

/// Instances that a request may lose in a row before it is refused.
constexpr uint32_t MaxCrashes = 3;
/// Time after which the losses of a request are forgotten.
constexpr Duration CrashWindow = std::chrono::seconds(30);
/// Time for which a request is refused after its last loss.
constexpr Duration CrashHoldTime = std::chrono::seconds(20);
constexpr size_t MaxCrashEntries = 128;
/// Retry delays of refused callers grow by up to this percentage, at random.
constexpr int64_t RetryJitterPercent = 40;

/// \returns true if \p entry would miss its objective, or its deadline if the
/// objective is missed anyway, by the time an instance accepts a request.
bool backoffExceeds(const QueueEntry &entry, Duration backoff, Duration latency,
                    Instant now) {
  if (backoff == Duration::zero())
    return false;
  bool canMeetObjective = now + latency < entry.ObjectiveDeadline;
  Instant limit = canMeetObjective ? entry.ObjectiveDeadline : entry.Deadline;
  return now + backoff + latency > limit;
}

} // namespace

void CrashTracker::noteOutcome(uint64_t fingerprint, uint64_t instance,
                               AttemptOutcome outcome, Instant now) {
  bool crashed = outcome == AttemptOutcome::Fault;
  bool completed =
      outcome == AttemptOutcome::Ok || outcome == AttemptOutcome::Error;
  if (fingerprint == 0 || (!crashed && !completed))
    return;
  std::erase_if(Entries, [&](const Entry &it) {
    return now - it.Last > CrashWindow ||
           (completed && it.Fingerprint == fingerprint);
  });
  if (completed)
    return;
  auto it =
      std::find_if(Entries.begin(), Entries.end(), [&](const Entry &item) {
        return item.Fingerprint == fingerprint;
      });
  if (it == Entries.end()) {
    if (Entries.size() >= MaxCrashEntries)
      Entries.erase(Entries.begin());
    it = Entries.insert(Entries.end(), Entry{fingerprint, 0, 0, now});
  }
  it->Crashes += it->LastInstance == instance ? 0 : 1;
  it->LastInstance = instance;
  it->Last = now;
}

Duration CrashTracker::refusedFor(uint64_t fingerprint, Instant now) const {
  for (const Entry &it : Entries)
    if (it.Fingerprint == fingerprint && it.Crashes >= MaxCrashes)
      return std::max(it.Last + CrashHoldTime - now, Duration::zero());
  return {};
}

Dispatcher::Dispatcher(const DispatchInit &init)
    : Init(init), Random(init.Seed) {}

void Dispatcher::acceptCatalog(const CatalogIndex &catalog, Instant now) {
  for (uint32_t n = 0; n < catalog.services().size(); ++n) {
    ServiceHandle handle{n};
    uint64_t key = rendezvousKey(catalog.name(handle), 0);
    if (!find(key))
      Services.emplace_back(Init, key);
    Service &service = *find(key);
    service.Pool.acceptCatalog(catalog, handle);
    serveWaiting(service, now);
  }
}

Dispatcher::Service *Dispatcher::find(uint64_t key) {
  auto it = std::find_if(Services.begin(), Services.end(),
                         [&](const Service &item) { return item.Key == key; });
  return it == Services.end() ? nullptr : &*it;
}

bool Dispatcher::needsOwnership(uint64_t service, uint64_t version) {
  Service *it = find(service);
  return it && it->FleetVersion != version;
}

void Dispatcher::setOwnership(uint64_t service, Instant since,
                              uint64_t version) {
  Service *it = find(service);
  if (!it)
    return;
  it->Budget.setOwnedSince(since);
  it->FleetVersion = version;
}

QueueLoad Dispatcher::queueLoad(const Service &service, Instant now) const {
  return {service.Pool.typicalLatency(), service.Pool.capacity(now)};
}

void Dispatcher::reply(VmHandle to, const PlacementRequest &placement,
                       PlacementVerdict verdict, Duration retryAfter) {
  Out.push_back(
      {to, {placement.Request, placement.Ordinal, verdict, 0, retryAfter, {}}});
}

void Dispatcher::onPlacementRequest(VmHandle from, ZoneHandle zone,
                                    const PlacementRequest &placement,
                                    Instant now) {
  Service *service = find(placement.Service);
  if (!service)
    return reply(from, placement, PlacementVerdict::NotOwner);
  if (service->Queue.find(from, placement.Request, placement.Ordinal))
    return reply(from, placement, PlacementVerdict::Queued);
  Duration refusedFor = service->Crashes.refusedFor(placement.Fingerprint, now);
  if (refusedFor > Duration::zero())
    return reply(from, placement, PlacementVerdict::Quarantined, refusedFor);
  if (placement.Retry && !service->Budget.takeRetry(now))
    return reply(from, placement, PlacementVerdict::BudgetSpent);
  if (placement.Ordinal == 1)
    service->Budget.noteRequest(now);
  QueueEntry entry;
  entry.Vm = from;
  entry.Zone = zone;
  entry.Placement = placement;
  entry.Arrived = now;
  entry.ObjectiveDeadline = now + placement.ObjectiveRemaining;
  entry.Deadline = now + placement.Remaining;
  auto backoff = service->Pool.minBackoff(from, now);
  if (!backoff)
    return refuseOverloaded(entry, NoInstanceRetryAfter);
  if (backoffExceeds(entry, *backoff, service->Pool.typicalLatency(), now))
    return refuseOverloaded(entry, OtherVmRetryAfter);
  if (service->Queue.empty() && tryGrant(*service, entry, false, now))
    return scheduleCheck(now);
  if (auto retryAfter =
          service->Queue.checkAdmission(entry, queueLoad(*service, now), now))
    return refuseOverloaded(entry, *retryAfter);
  service->Queue.push(entry);
  size_t firstOutput = Out.size();
  serveWaiting(*service, now);
  bool replied = std::any_of(Out.begin() + static_cast<int64_t>(firstOutput),
                             Out.end(), [&](const PlacementOutput &it) {
                               return it.To == from &&
                                      it.Reply.Request == placement.Request;
                             });
  if (!replied)
    reply(from, placement, PlacementVerdict::Queued);
  scheduleCheck(now);
}

bool Dispatcher::tryGrant(Service &service, const QueueEntry &entry,
                          bool backlogged, Instant now) {
  const PlacementRequest &placement = entry.Placement;
  PoolInstance *instance = service.Pool.choose(
      {entry.Vm, entry.Zone, placement.Avoid, placement.Idempotent,
       placement.Large, placement.Retry, backlogged},
      now);
  if (!instance)
    return false;
  DispatchPool::occupySlot(*instance,
                           {entry.Vm, placement.Request, placement.Ordinal, now,
                            entry.Deadline, false});
  Duration untilObjective =
      std::max(entry.ObjectiveDeadline - now, Duration::zero());
  Out.push_back({entry.Vm,
                 {placement.Request,
                  placement.Ordinal,
                  PlacementVerdict::Granted,
                  instance->Key,
                  {},
                  service.Pool.hedgeDelay(untilObjective, backlogged)}});
  return true;
}

/// Grants free slots to waiting requests.
void Dispatcher::serveWaiting(Service &service, Instant now) {
  while (!service.Queue.empty() && service.Pool.hasFreeSlot(now))
    if (!serveHead(service, now))
      return;
}

/// Grants a slot to, or refuses, one request at the head of the queue.
/// \returns false if none could be handled.
bool Dispatcher::serveHead(Service &service, Instant now) {
  QueueLoad load = queueLoad(service, now);
  for (const DispatchQueue::SortKey &it : service.Queue.head(load, now)) {
    const QueueEntry &entry = service.Queue.at(it.Index);
    if (entry.Deadline < now + load.TypicalLatency) {
      refuseOverloaded(service.Queue.removeAt(it.Index), load.TypicalLatency);
      return true;
    }
    if (!tryGrant(service, entry, true, now))
      continue;
    service.Queue.takeServed(it.Index, now);
    return true;
  }
  return false;
}

/// Refuses waiting requests that can no longer be served in time.
void Dispatcher::refuseUnservable(Service &service, Instant now) {
  QueueLoad load = queueLoad(service, now);
  while (auto entry = service.Queue.takeUnservable(load, now))
    refuseOverloaded(*entry, load.TypicalLatency);
}

void Dispatcher::refuseOverloaded(const QueueEntry &entry,
                                  Duration retryAfter) {
  auto jitter = static_cast<int64_t>(Random() % RetryJitterPercent);
  reply(entry.Vm, entry.Placement, PlacementVerdict::Overloaded,
        retryAfter + retryAfter * jitter / 100);
}

void Dispatcher::onRelease(VmHandle from, const PlacementRelease &release,
                           Instant now) {
  Service *service = find(release.Service);
  if (!service)
    return;
  if (release.Instance == 0)
    service->Queue.remove(from, release.Request, release.Ordinal);
  service->Crashes.noteOutcome(release.Fingerprint, release.Instance,
                               release.Outcome, now);
  service->Pool.release(from, release, now);
  serveWaiting(*service, now);
}

void Dispatcher::observeOutcome(VmHandle self, const PlacementRelease &release,
                                Instant now) {
  if (Service *service = find(release.Service)) {
    service->Crashes.noteOutcome(release.Fingerprint, release.Instance,
                                 release.Outcome, now);
    service->Pool.release(self, release, now);
  }
}

void Dispatcher::dropVm(VmHandle vm, Instant now) {
  for (Service &it : Services) {
    it.Pool.dropVm(vm);
    it.Queue.dropVm(vm);
    serveWaiting(it, now);
  }
}

void Dispatcher::resign() {
  for (Service &it : Services)
    while (!it.Queue.empty()) {
      const QueueEntry &entry = it.Queue.at(0);
      reply(entry.Vm, entry.Placement, PlacementVerdict::NotOwner);
      it.Queue.remove(entry.Vm, entry.Placement.Request,
                      entry.Placement.Ordinal);
    }
}

void Dispatcher::scheduleCheck(Instant now) {
  if (NextCheck == NeverInstant)
    NextCheck = now + CheckInterval;
}

void Dispatcher::advance(Instant now) {
  if (now < NextCheck)
    return;
  NextCheck = NeverInstant;
  bool busy = false;
  for (Service &it : Services) {
    it.Pool.advance(now);
    refuseUnservable(it, now);
    serveWaiting(it, now);
    busy |= !it.Queue.empty() || it.Pool.isBusy();
  }
  if (busy)
    scheduleCheck(now);
}

size_t Dispatcher::waiting() const {
  size_t n = 0;
  for (const Service &it : Services)
    n += it.Queue.size();
  return n;
}

} // namespace guavasail
