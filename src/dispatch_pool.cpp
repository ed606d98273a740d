#include "dispatch_pool.h"

#include "duration_math.h"
#include "rendezvous.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>

namespace guavasail {

namespace {

/// Weight of the latest response in the moving average of the latency.
constexpr double LatencySmoothing = 0.05;
/// Latencies are clipped to this multiple of the average before they enter it.
constexpr int MaxLatencyFactor = 4;
constexpr Duration MinTypicalLatency = std::chrono::milliseconds(5);
/// Time after its request's deadline at which an unreleased slot is freed.
constexpr Duration ExpiryMargin = std::chrono::milliseconds(500);
/// Time for which an instance gets no requests after it refused one as full.
constexpr Duration FullBackoffTime = std::chrono::milliseconds(250);
/// Share of the instances that stay in use even if they fail, rounded up. It is
/// below one half: half of a service may fail at a time while the other half
/// can carry its load.
constexpr size_t MinInUsePercent = 40;
/// Time after an idempotent request in which another one is expected.
constexpr Duration IdempotentArrivalTime = std::chrono::seconds(1);

/// Failures in the history by `AttemptOutcome`.
constexpr std::array<double, 8> HistoryFailures = {0, 1, 1, 1, 0, 0, 0, 0};
/// Share of failed attempts of a service above which many fail, and the least
/// number of attempts to judge from.
constexpr double ManyFailShare = 0.06;
constexpr double MinJudgedAttempts = 4;
/// Time for which a service counts as failing after many requests failed.
constexpr Duration ManyFailTime = std::chrono::seconds(2);

/// An ejection lasts longer by at most this, in proportion to the share of
/// failed probes.
constexpr Duration MaxEjectionHold = std::chrono::seconds(8);
/// Shares of the slots in use above which no ejection is prolonged, and
/// prolonged ones end.
constexpr double MaxHoldBusyShare = 0.55;
constexpr double EndHoldBusyShare = 0.65;
/// Weights of the latest probe in that share. A failed probe costs a request, a
/// late one only capacity.
constexpr double FailedProbeSmoothing = 0.5;
constexpr double PassedProbeSmoothing = 0.06;

/// Bounds of the hedge delay, and the time that a hedged attempt needs, as
/// multiples of the typical latency.
constexpr double MinHedgeFactor = 2;
constexpr double MaxHedgeFactor = 3;
constexpr double HedgeAttemptFactor = 1.2;

/// A response is overdue after this multiple of the typical latency.
constexpr int OverdueFactor = 3;
constexpr Duration MinOverdueTime = std::chrono::milliseconds(700);

/// Steps in which the slots of an instance come back after an evacuation: a
/// fifth, two fifths and so on, then all.
constexpr int64_t RestoreSteps = 5;
/// Time of this return for services without a warm-up time.
constexpr Duration DefaultRestoreTime = std::chrono::seconds(4);

/// \returns true if an instance has not run a request that ended so.
bool hasNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Shed || outcome == AttemptOutcome::Unused ||
         outcome == AttemptOutcome::Unreachable;
}

/// \returns true if \p instance refused a request for lack of room. Without a
/// report that is assumed.
bool wasFull(const PoolInstance &instance, const PlacementRelease &done) {
  return !done.LoadKnown || done.Running + done.Waiting >= instance.Slots;
}

} // namespace

void DispatchPool::setStartBounds(const StartBounds &bounds, Instant now) {
  bool began = bounds.limited() && !Bounds.limited();
  Bounds = bounds;
  // Starts were not counted before.
  for (PoolInstance &it : Instances)
    if (began)
      it.Starts.begin(now);
}

void DispatchPool::acceptCatalog(const CatalogIndex &catalog,
                                 ServiceHandle service, Instant now) {
  for (PoolInstance &instance : Instances)
    instance.Present = false;
  for (InstanceHandle it : catalog.at(service).Instances) {
    const InstanceEntry &entry = catalog.at(it);
    uint64_t key = rendezvousKey(catalog.name(it), 0);
    PoolInstance *instance = find(key);
    bool restarted = instance && instance->Started != entry.Spec.Started;
    bool evacuated = instance && instance->Evacuated;
    bool isNew = !instance || restarted;
    if (!instance) {
      PositionOfKey.emplace(key, Instances.size());
      instance = &Instances.emplace_back();
    } else if (restarted)
      *instance = PoolInstance{};
    instance->Handle = it;
    instance->Key = key;
    instance->Zone = entry.Zone;
    instance->Slots = std::max(entry.Spec.Slots, 1U);
    instance->Started = entry.Spec.Started;
    instance->Present = true;
    instance->Leaving = entry.Spec.Leaving;
    instance->Cold = entry.Spec.Cold;
    instance->Evacuated = entry.Spec.Evacuated;
    noteEvacuation(*instance, evacuated, catalog.at(service).Warmup, now);
    if (isNew)
      instance->Starts.begin(now);
  }
  size_t erased = std::erase_if(Instances, [](const PoolInstance &it) {
    return !it.Present && it.Grants.empty();
  });
  if (erased == 0)
    return;
  PositionOfKey.clear();
  for (size_t n = 0; n < Instances.size(); ++n)
    PositionOfKey.emplace(Instances[n].Key, n);
}

PoolInstance *DispatchPool::find(uint64_t key) {
  auto it = PositionOfKey.find(key);
  return it == PositionOfKey.end() ? nullptr : &Instances[it->second];
}

/// Begins the return of an instance's slots if its evacuation ended.
void DispatchPool::noteEvacuation(PoolInstance &instance, bool before,
                                  Duration warmup, Instant now) {
  if (!before || instance.Evacuated)
    return;
  instance.RestoredAt = now;
  instance.RestoreEnd =
      now + (warmup > Duration::zero() ? warmup : DefaultRestoreTime);
}

uint32_t PoolInstance::usableSlots(Instant now) const {
  uint32_t slots = Cold ? std::max(Slots / 2, 1U) : Slots;
  if (now >= RestoreEnd)
    return slots;
  int64_t steps =
      1 + (now - RestoredAt) * (RestoreSteps - 1) / (RestoreEnd - RestoredAt);
  return std::min(
      slots, std::max(1U, static_cast<uint32_t>(Slots * steps / RestoreSteps)));
}

void DispatchPool::noteRole(PlacerRole role, Instant now) {
  if (role != PlacerRole::Owner || !Bounds.limited())
    return;
  // Without a request for a whole window, another VM may have been the owner.
  if (now > OwnerUntil)
    for (PoolInstance &it : Instances)
      it.Starts.begin(now);
  OwnerUntil = now + StartWindow;
}

void DispatchPool::renewRole(Instant now) {
  if (now <= OwnerUntil)
    OwnerUntil = now + StartWindow;
}

Instant DispatchPool::nextStartOf(const PoolInstance &instance,
                                  Instant now) const {
  if (!Bounds.limited())
    return now;
  if (now <= OwnerUntil)
    return instance.Starts.nextStart(Bounds, instance.Cold, PlacerRole::Owner,
                                     now);
  // All VMs without an owner together may use the reserve, so that each
  // instance is left to about as many of them.
  uint64_t weight =
      XXH3_64bits_withSeed(&instance.Key, sizeof(instance.Key), StandInSeed);
  if (weight % FleetSize >= Bounds.Reserve)
    return NeverInstant;
  return instance.Starts.nextStart(Bounds, instance.Cold, PlacerRole::StandIn,
                                   now);
}

Instant DispatchPool::nextStart(Instant now) const {
  Instant next = NeverInstant;
  for (const PoolInstance &it : Instances) {
    if (!Bounds.limited())
      break;
    if (!it.isInService() || freeSlots(it, now) == 0)
      continue;
    Instant due = nextStartOf(it, now);
    if (due > now)
      next = std::min(next, due);
  }
  return next;
}

uint32_t DispatchPool::freeSlots(const PoolInstance &instance, Instant now) {
  uint32_t slots = instance.usableSlots(now);
  auto used = static_cast<uint32_t>(instance.Grants.size());
  return slots > used ? slots - used : 0;
}

/// Computes which ejected instances stay in use so that at least
/// `MinInUsePercent` of the service does: those with the fewest failures.
void DispatchPool::updateInUseThreshold(Instant now) {
  size_t present = 0;
  EjectedWeights.clear();
  for (const PoolInstance &it : Instances) {
    if (!it.isInService())
      continue;
    ++present;
    if (it.Health.state(now) == EjectionState::Ejected)
      EjectedWeights.push_back(it.Health.failureWeight(now));
  }
  constexpr size_t Hundred = 100;
  size_t minInUse = (present * MinInUsePercent + Hundred - 1) / Hundred;
  size_t maxUnused = present - std::min(minInUse, present);
  InUseThreshold = NoThreshold;
  if (EjectedWeights.size() <= maxUnused)
    return;
  auto nth = EjectedWeights.begin() + static_cast<std::ptrdiff_t>(maxUnused);
  std::nth_element(EjectedWeights.begin(), nth, EjectedWeights.end(),
                   std::greater<>());
  InUseThreshold = *nth;
}

/// \returns true if the instance accepts a request of some VM.
bool DispatchPool::isOpen(const PoolInstance &instance, Instant now) const {
  if (!instance.isInService() || freeSlots(instance, now) == 0 ||
      now < instance.FullUntil || nextStartOf(instance, now) > now)
    return false;
  switch (instance.Health.state(now)) {
  case EjectionState::Healthy:
    return true;
  case EjectionState::Probing:
    // Requests from before the ejection say nothing about a probe.
    return std::none_of(instance.Grants.begin(), instance.Grants.end(),
                        [&](const SlotGrant &it) {
                          return it.GrantedAt >= instance.Health.ejectedAt();
                        });
  case EjectionState::Ejected:
    break;
  }
  return InUseThreshold != NoThreshold &&
         instance.Health.failureWeight(now) <= InUseThreshold;
}

bool DispatchPool::isUsable(const PoolInstance &instance,
                            const PlacementInput &input, Instant now) const {
  if (!isOpen(instance, now) || instance.Health.isPathDown(input.Vm, now) ||
      instance.backoffOf(input.Vm, now) > Duration::zero())
    return false;
  if (input.Backlogged || instance.Health.state(now) != EjectionState::Probing)
    return true;
  return !input.Retry && (input.Idempotent || instance.Health.allowsAnyProbe(
                                                  expectsIdempotent(now), now));
}

/// \returns true if idempotent requests arrive, which probe ejected instances.
bool DispatchPool::expectsIdempotent(Instant now) const {
  return now - LastIdempotentAt < IdempotentArrivalTime;
}

bool DispatchPool::hasFreeSlot(Instant now) {
  updateInUseThreshold(now);
  return std::any_of(Instances.begin(), Instances.end(),
                     [&](const PoolInstance &it) { return isOpen(it, now); });
}

void DispatchPool::collect(const PlacementInput &input, Instant now) {
  updateInUseThreshold(now);
  Candidates.clear();
  for (PoolInstance &instance : Instances)
    if (isUsable(instance, input, now))
      Candidates.push_back(&instance);
  if (Candidates.size() > 1)
    std::erase_if(Candidates, [&](const PoolInstance *it) {
      return it->Key == input.Avoid;
    });
}

void DispatchPool::noteHistory(double attempts, double failures, Instant now) {
  History.note(attempts, failures, now);
  if (History.attempts(now) < MinJudgedAttempts ||
      History.share() <= ManyFailShare)
    return;
  bool began = now >= ManyFailUntil;
  ManyFailUntil = now + ManyFailTime;
  if (began)
    endHolds();
}

/// Returns instances to use whose ejection was prolonged.
void DispatchPool::endHolds() {
  for (PoolInstance &it : Instances)
    it.Health.endHold();
}

void DispatchPool::noteProbe(bool failed) {
  double smoothing = failed ? FailedProbeSmoothing : PassedProbeSmoothing;
  ProbeFailureShare += smoothing * ((failed ? 1.0 : 0.0) - ProbeFailureShare);
}

/// Prolongs an ejection that has just begun if instances of the service tend to
/// fail for long.
void DispatchPool::holdEjected(PoolInstance &instance, Instant now) const {
  if (Ejection == EjectionKind::Learned && now >= ManyFailUntil &&
      BusyShare < MaxHoldBusyShare && instance.Health.ejectedAt() == now)
    instance.Health.hold(scaled(MaxEjectionHold, ProbeFailureShare));
}

void DispatchPool::occupySlot(PoolInstance &instance, const SlotGrant &grant) {
  instance.Grants.push_back(grant);
  instance.LastGrantAt = grant.GrantedAt;
  instance.Estimate.noteGrant();
  if (!grant.Vm.valid())
    return;
  if (grant.Vm.Value >= instance.UsedAt.size())
    instance.UsedAt.resize(grant.Vm.Value + 1);
  instance.UsedAt[grant.Vm.Value] = grant.GrantedAt;
}

Duration PoolInstance::backoffOf(VmHandle vm, Instant now) const {
  for (const VmBackoff &it : Backoffs)
    if (it.Vm == vm)
      return std::max(it.Until - now, Duration::zero());
  return {};
}

std::optional<Duration> DispatchPool::minBackoff(VmHandle vm,
                                                 Instant now) const {
  std::optional<Duration> shortest;
  for (const PoolInstance &it : Instances) {
    if (!it.isInService())
      continue;
    Duration backoff = it.backoffOf(vm, now);
    shortest = std::min(shortest.value_or(backoff), backoff);
    if (*shortest == Duration::zero())
      break;
  }
  return shortest;
}

/// Records what the instance told \p vm about further requests.
void DispatchPool::noteNotice(PoolInstance &instance, VmHandle vm,
                              const PlacementRelease &done, Instant now) {
  // An earlier incarnation speaks for itself only.
  if (done.InstanceStarted != instance.Started)
    return;
  instance.AnnouncedLeaving |= done.Leaving;
  if (done.Backoff <= Duration::zero())
    return;
  Instant until =
      std::max(now + done.Backoff, now + instance.backoffOf(vm, now));
  std::erase_if(instance.Backoffs, [&](const VmBackoff &it) {
    return it.Vm == vm || it.Until <= now;
  });
  instance.Backoffs.push_back({vm, until});
}

/// Passes the outcome of an attempt to outlier detection.
void DispatchPool::noteOutcome(PoolInstance &instance, VmHandle vm,
                               const PlacementRelease &done, Instant now) {
  bool probe = instance.Health.isProbe(now - done.Elapsed);
  instance.Health.noteOutcome(done.Outcome, vm, done.Elapsed, TypicalLatency,
                              now);
  double failure = HistoryFailures[static_cast<size_t>(done.Outcome)];
  if (probe && (failure > 0 || done.Outcome == AttemptOutcome::Ok))
    noteProbe(failure > 0);
  holdEjected(instance, now);
}

bool DispatchPool::release(VmHandle vm, const PlacementRelease &done,
                           Instant now) {
  PoolInstance *instance = find(done.Instance);
  if (!instance)
    return false;
  bool wasOverdue = false;
  auto own = static_cast<uint32_t>(instance->Grants.size());
  size_t freed = std::erase_if(instance->Grants, [&](const SlotGrant &it) {
    bool released =
        it.Vm == vm && it.Request == done.Request && it.Ordinal == done.Ordinal;
    wasOverdue |= released && it.Overdue;
    return released;
  });
  // A failure by time was counted when the response became overdue.
  bool counted = wasOverdue && (done.Outcome == AttemptOutcome::TimedOut ||
                                done.Outcome == AttemptOutcome::Error);
  if (!counted)
    noteOutcome(*instance, vm, done, now);
  bool ran = done.Outcome != AttemptOutcome::Unused &&
             done.Outcome != AttemptOutcome::Cancelled;
  if (ran)
    noteHistory(
        1, wasOverdue ? 0 : HistoryFailures[static_cast<size_t>(done.Outcome)],
        now);
  if (freed > 0 && hasNotRun(done.Outcome))
    instance->Estimate.noteNotRun();
  if (done.Outcome == AttemptOutcome::Ok) {
    instance->Estimate.noteResponse(done.Elapsed, TypicalLatency);
    Duration clipped =
        std::min(done.Elapsed, TypicalLatency * MaxLatencyFactor);
    TypicalLatency = std::max(MinTypicalLatency,
                              scaled(TypicalLatency, 1 - LatencySmoothing) +
                                  scaled(clipped, LatencySmoothing));
  }
  // Instances may reject at random, all of a service at once. Closing those
  // with free slots would leave half of the service unused.
  if (done.Outcome == AttemptOutcome::Shed && wasFull(*instance, done))
    instance->FullUntil = now + FullBackoffTime;
  noteNotice(*instance, vm, done, now);
  if (done.LoadKnown) {
    instance->ReportedLoad = done.Running + done.Waiting;
    instance->ReportedAt = now;
    // A rejection is no sign of load: instances with free slots may reject.
    if (done.Outcome != AttemptOutcome::Shed)
      instance->Estimate.noteReport(instance->ReportedLoad, own, now);
  }
  return freed > 0;
}

void DispatchPool::dropVm(VmHandle vm) {
  for (PoolInstance &instance : Instances)
    std::erase_if(instance.Grants,
                  [&](const SlotGrant &it) { return it.Vm == vm; });
}

void DispatchPool::advance(Instant now) {
  updateBusyShare(now);
  ageEstimates(now);
  Duration overdue = std::max(TypicalLatency * OverdueFactor, MinOverdueTime);
  for (PoolInstance &instance : Instances) {
    std::erase_if(instance.Grants, [&](const SlotGrant &it) {
      return it.ExpiresAt + ExpiryMargin <= now;
    });
    for (SlotGrant &it : instance.Grants) {
      if (it.Overdue || now - it.GrantedAt < overdue)
        continue;
      it.Overdue = true;
      bool probe = instance.Health.isProbe(it.GrantedAt);
      instance.Health.noteOverdue(it.Vm, it.GrantedAt, now);
      if (probe)
        noteProbe(true);
      noteHistory(0, 1, now);
      holdEjected(instance, now);
    }
  }
}

void DispatchPool::updateBusyShare(Instant now) {
  size_t used = 0;
  for (const PoolInstance &it : Instances)
    if (it.isInService() && it.Health.state(now) == EjectionState::Healthy)
      used += it.Grants.size();
  BusyShare = static_cast<double>(used) / capacity(now);
  if (BusyShare >= EndHoldBusyShare)
    endHolds();
}

uint32_t DispatchPool::capacity(Instant now) const {
  uint32_t slots = 0;
  for (const PoolInstance &it : Instances)
    if (it.isInService() && it.Health.state(now) == EjectionState::Healthy)
      slots += it.usableSlots(now);
  return std::max(slots, 1U);
}

Duration DispatchPool::hedgeDelay(Duration untilObjective,
                                  bool backlogged) const {
  // Late enough to spare requests that are about to be answered, early enough
  // for the hedged attempt to meet the objective. A service with waiting
  // requests is slow anyway, so it hedges late.
  Duration earliest = scaled(TypicalLatency, MinHedgeFactor);
  Duration latest = scaled(TypicalLatency, MaxHedgeFactor);
  if (backlogged)
    return latest;
  return std::min(
      latest, std::max(earliest, untilObjective - scaled(TypicalLatency,
                                                         HedgeAttemptFactor)));
}

bool DispatchPool::isBusy() const {
  return std::any_of(Instances.begin(), Instances.end(),
                     [](const PoolInstance &it) { return !it.Grants.empty(); });
}

} // namespace guavasail
