#include "dispatcher.h"

#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time between two looks at waiting requests and slots in use.
constexpr Duration CheckPeriod = std::chrono::milliseconds(150);

/// Time after which a service without instances may have one again.
constexpr Duration EmptyRetry = std::chrono::milliseconds(500);

/// Instances in a row that a request may lose before it is refused.
constexpr uint32_t MostCrashes = 3;
/// Time for which losses of one request are added up.
constexpr Duration CrashWindow = std::chrono::seconds(30);
/// Time for which such a request is refused after the last loss.
constexpr Duration CrashHold = std::chrono::seconds(20);
constexpr size_t MostCrashEntries = 128;
/// A refused caller's return is moved by up to this part, in percent.
constexpr int64_t RetryJitterPercent = 40;

} // namespace

void CrashList::note(uint64_t fingerprint, uint64_t instance,
                     AttemptOutcome outcome, Instant now) {
  bool lost = outcome == AttemptOutcome::Fault;
  bool ended = outcome == AttemptOutcome::Ok || outcome == AttemptOutcome::Error;
  if (fingerprint == 0 || (!lost && !ended))
    return;
  std::erase_if(Entries, [&](const Entry &it) {
    return now - it.Last > CrashWindow ||
           (ended && it.Fingerprint == fingerprint);
  });
  if (ended)
    return;
  auto it =
      std::find_if(Entries.begin(), Entries.end(), [&](const Entry &item) {
        return item.Fingerprint == fingerprint;
      });
  if (it == Entries.end()) {
    if (Entries.size() >= MostCrashEntries)
      Entries.erase(Entries.begin());
    it = Entries.insert(Entries.end(), Entry{fingerprint, 0, 0, now});
  }
  it->Crashes += it->LastInstance == instance ? 0 : 1;
  it->LastInstance = instance;
  it->Last = now;
}

Duration CrashList::held(uint64_t fingerprint, Instant now) const {
  for (const Entry &it : Entries)
    if (it.Fingerprint == fingerprint && it.Crashes >= MostCrashes)
      return std::max(it.Last + CrashHold - now, Duration::zero());
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
    serve(service, now);
  }
}

Dispatcher::Service *Dispatcher::find(uint64_t key) {
  auto it = std::find_if(Services.begin(), Services.end(),
                         [&](const Service &item) { return item.Key == key; });
  return it == Services.end() ? nullptr : &*it;
}

QueueLoad Dispatcher::loadOf(const Service &service, Instant now) const {
  return {service.Pool.typical(), service.Pool.capacity(now)};
}

void Dispatcher::reply(VmHandle to, const PlacementRequest &ask, PlacementVerdict verdict,
                       Duration retry) {
  Out.push_back({to, {ask.Request, ask.Ordinal, verdict, 0, retry, {}}});
}

void Dispatcher::onAsk(VmHandle from, ZoneHandle zone, const PlacementRequest &ask,
                       Instant now) {
  Service *service = find(ask.Service);
  if (!service)
    return reply(from, ask, PlacementVerdict::NotOwner);
  if (service->Queue.find(from, ask.Request, ask.Ordinal))
    return reply(from, ask, PlacementVerdict::Queued);
  Duration held = service->Crashes.held(ask.Fingerprint, now);
  if (held > Duration::zero())
    return reply(from, ask, PlacementVerdict::Quarantined, held);
  if (ask.Retry && !service->Budget.takeRepeat(now))
    return reply(from, ask, PlacementVerdict::BudgetSpent);
  if (ask.Ordinal == 1)
    service->Budget.noteRequest(now);
  QueueEntry entry;
  entry.Vm = from;
  entry.Zone = zone;
  entry.Ask = ask;
  entry.Arrived = now;
  entry.UsefulUntil = now + ask.ObjectiveRemaining;
  entry.Deadline = now + ask.Remaining;
  std::span<const Seat> seats = service->Pool.seats();
  bool staffed = std::any_of(seats.begin(), seats.end(), [](const Seat &it) {
    return it.Present && !it.Leaving;
  });
  if (!staffed)
    return turnAway(entry, EmptyRetry);
  if (service->Queue.empty() && grant(*service, entry, false, now))
    return check(now);
  if (auto retry = service->Queue.refusal(entry, loadOf(*service, now), now))
    return turnAway(entry, *retry);
  service->Queue.push(entry);
  size_t before = Out.size();
  serve(*service, now);
  bool answered =
      std::any_of(Out.begin() + static_cast<int64_t>(before), Out.end(),
                  [&](const PlaceOutput &it) {
                    return it.To == from && it.Reply.Request == ask.Request;
                  });
  if (!answered)
    reply(from, ask, PlacementVerdict::Queued);
  check(now);
}

bool Dispatcher::grant(Service &service, const QueueEntry &entry, bool pressed,
                       Instant now) {
  const PlacementRequest &ask = entry.Ask;
  Seat *seat =
      service.Pool.choose({entry.Vm, entry.Zone, ask.Avoid, ask.Idempotent,
                           ask.Large, ask.Retry, pressed},
                          now);
  if (!seat)
    return false;
  DispatchPool::take(
      *seat, {entry.Vm, ask.Request, ask.Ordinal, now, entry.Deadline, false});
  Duration useful = std::max(entry.UsefulUntil - now, Duration::zero());
  Out.push_back({entry.Vm,
                 {ask.Request,
                  ask.Ordinal,
                  PlacementVerdict::Granted,
                  seat->Key,
                  {},
                  service.Pool.patience(useful, pressed)}});
  return true;
}

/// Gives free slots to waiting requests.
void Dispatcher::serve(Service &service, Instant now) {
  while (!service.Queue.empty() && service.Pool.hasRoom(now))
    if (!serveFirst(service, now))
      return;
}

/// \returns true if one of the first waiting requests left the queue.
bool Dispatcher::serveFirst(Service &service, Instant now) {
  QueueLoad load = loadOf(service, now);
  for (const DispatchQueue::Place &it : service.Queue.first(load, now)) {
    const QueueEntry &entry = service.Queue.at(it.Index);
    if (entry.Deadline < now + load.Typical) {
      turnAway(service.Queue.drop(it.Index), load.Typical);
      return true;
    }
    if (!grant(service, entry, true, now))
      continue;
    service.Queue.take(it.Index, now);
    return true;
  }
  return false;
}

/// Refuses waiting requests that cannot be answered in their time.
void Dispatcher::dropHopeless(Service &service, Instant now) {
  QueueLoad load = loadOf(service, now);
  while (auto entry = service.Queue.takeHopeless(load, now))
    turnAway(*entry, load.Typical);
}

void Dispatcher::turnAway(const QueueEntry &entry, Duration retry) {
  auto spread = static_cast<int64_t>(Random() % RetryJitterPercent);
  reply(entry.Vm, entry.Ask, PlacementVerdict::Overloaded,
        retry + retry * spread / 100);
}

void Dispatcher::onDone(VmHandle from, const PlacementRelease &done, Instant now) {
  Service *service = find(done.Service);
  if (!service)
    return;
  if (done.Instance == 0)
    service->Queue.remove(from, done.Request, done.Ordinal);
  service->Crashes.note(done.Fingerprint, done.Instance, done.Outcome, now);
  service->Pool.release(from, done, now);
  serve(*service, now);
}

void Dispatcher::observe(VmHandle self, const PlacementRelease &done, Instant now) {
  if (Service *service = find(done.Service)) {
    service->Crashes.note(done.Fingerprint, done.Instance, done.Outcome, now);
    service->Pool.release(self, done, now);
  }
}

void Dispatcher::dropVm(VmHandle vm, Instant now) {
  for (Service &it : Services) {
    it.Pool.dropVm(vm);
    it.Queue.dropVm(vm);
    serve(it, now);
  }
}

void Dispatcher::resign() {
  for (Service &it : Services)
    while (!it.Queue.empty()) {
      const QueueEntry &entry = it.Queue.at(0);
      reply(entry.Vm, entry.Ask, PlacementVerdict::NotOwner);
      it.Queue.remove(entry.Vm, entry.Ask.Request, entry.Ask.Ordinal);
    }
}

void Dispatcher::check(Instant now) {
  if (NextCheck == NeverInstant)
    NextCheck = now + CheckPeriod;
}

void Dispatcher::advance(Instant now) {
  if (now < NextCheck)
    return;
  NextCheck = NeverInstant;
  bool busy = false;
  for (Service &it : Services) {
    it.Pool.advance(now);
    dropHopeless(it, now);
    serve(it, now);
    busy |= !it.Queue.empty() || it.Pool.busy();
  }
  if (busy)
    check(now);
}

size_t Dispatcher::waiting() const {
  size_t n = 0;
  for (const Service &it : Services)
    n += it.Queue.size();
  return n;
}

} // namespace guavasail
