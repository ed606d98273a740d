#include "health_fleet.h"

#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Interval of reports and of evaluations.
constexpr Duration TickInterval = std::chrono::milliseconds(250);
/// Limits on the size of one message.
constexpr size_t MaxCellsPerReport = 256;
constexpr size_t MaxEntriesPerUpdate = 128;
/// Reporters that were silent for longer receive no new verdicts.
constexpr Duration ReporterLifetime = std::chrono::seconds(30);
/// Time for which updates still list an instance that became healthy.
constexpr Duration EndedVerdictLifetime = std::chrono::minutes(1);

/// An attempt counts as stalled after these multiples of the service's median
/// and tail latency, within the bounds below.
constexpr float MedianQuantile = 0.5F;
constexpr float TailQuantile = 0.95F;
constexpr int StallMedianFactor = 10;
constexpr int StallTailFactor = 2;
constexpr Duration MinStallTimeout = std::chrono::milliseconds(200);
constexpr Duration MaxStallTimeout = std::chrono::seconds(2);
constexpr float MinStallAnswers = 20;
constexpr float LatencyDecay = 0.995F;

/// Factor on the thresholds while most known VMs are unreachable.
constexpr float IsolatedThresholdFactor = 1.5F;

/// Baseline detectors.
constexpr uint32_t ConsecutiveFailureThreshold = 5;
constexpr float ErrorRateThreshold = 0.2F;
constexpr float MinErrorRateAnswers = 10;
constexpr float ErrorRateDecay = 0.975F;
constexpr Duration LocalEjectionTime = std::chrono::seconds(30);
constexpr uint32_t MaxLocalEjections = 10;

bool isFailure(uint8_t cell) { return cell >= NumLatencyBuckets; }

/// \returns false if \p kind may be a fault of the path to the instance.
bool isReached(OutcomeKind kind) {
  return kind != OutcomeKind::Unreachable && kind != OutcomeKind::Timeout;
}

Duration stallTimeoutFor(const LatencyHistogram &latencies) {
  if (latencies.total() < MinStallAnswers)
    return MaxStallTimeout;
  Duration median = bucketStart(latencies.quantileBucket(MedianQuantile) + 1);
  Duration tail = bucketStart(latencies.quantileBucket(TailQuantile) + 1);
  Duration timeout =
      std::max(median * StallMedianFactor, tail * StallTailFactor);
  return std::clamp(timeout, MinStallTimeout, MaxStallTimeout);
}

/// \returns true if fewer than half of the known VMs are alive.
bool isIsolated(const MemberView &members) {
  size_t alive = 0;
  size_t known = 0;
  for (const VmEntry &vm : members.Vms) {
    alive += vm.State == VmState::Alive ? 1 : 0;
    known += vm.State != VmState::Gone && vm.State != VmState::Leaving ? 1 : 0;
  }
  return alive * 2 < known;
}

VerdictEntry verdictEntryFor(const EvaluatedInstance &item, Instant now) {
  VerdictEntry entry;
  entry.Instance = item.Key;
  entry.State = item.State;
  entry.Reason = item.Reason;
  entry.Level = item.Level;
  entry.Severity = item.Severity;
  if (item.Until != NeverInstant)
    entry.Remaining = std::max(item.Until - now, Duration(1));
  return entry;
}

} // namespace

const FleetHealth::Strategy FleetHealth::Strategies[] = {
    {DetectorKind::ConsecutiveFailures, "consecutive-failures",
     &FleetHealth::countConsecutive},
    {DetectorKind::ErrorRate, "error-rate", &FleetHealth::countErrorRate},
    {DetectorKind::Pooled, "pooled", &FleetHealth::countPooled},
};

void FleetHealth::acceptCatalog(const CatalogIndex &catalog, Instant now) {
  size_t count = catalog.instances().size();
  Now = now;
  Table.acceptCatalog(catalog, now);
  Evidence.resize(count);
  InstanceCounts.resize(count);
  InstanceKeys.resize(count);
  ServiceOf.resize(count);
  Services.resize(catalog.services().size());
  for (uint32_t n = 0; n < count; ++n) {
    InstanceKeys[n] = instanceKey(catalog.name(InstanceHandle{n}));
    ServiceOf[n] = catalog.instances()[n].Service;
  }
  for (uint32_t n = 0; n < Services.size(); ++n) {
    Service &service = Services[n];
    service.Key = serviceKey(catalog.name(ServiceHandle{n}));
    service.Instances = catalog.services()[n].Instances;
    service.StallTimeout = stallTimeoutFor(service.Latencies);
    service.Keys.clear();
    for (InstanceHandle it : service.Instances)
      service.Keys.push_back(InstanceKeys[it.Value]);
    if (service.Evaluating)
      service.Evaluator.setInstances(service.Keys);
  }
  if (NextTick == NeverInstant)
    NextTick = now + TickInterval;
}

void FleetHealth::attemptStarted(AttemptHandle attempt, InstanceHandle instance,
                                 Instant now) {
  TrackedAttempt &item = Attempts.entryFor(attempt);
  item = {};
  item.Attempt = attempt;
  item.Instance = instance;
  item.Service = ServiceOf[instance.Value];
  item.Started = now;
  item.Live = true;
}

void FleetHealth::attemptEnded(AttemptHandle attempt, OutcomeKind kind,
                               Instant now) {
  Now = now;
  TrackedAttempt *item = Attempts.find(attempt);
  if (!item)
    return;
  bool ok = kind == OutcomeKind::Ok;
  // After its head, a response is incomplete and may still fail.
  item->Live = ok;
  item->Answered = ok;
  uint8_t cell = evidenceCell(kind, now - item->Started);
  if (isReached(kind))
    Table.recordReachable(item->Instance);
  else
    Table.recordUnreachable(item->Instance, now);
  Table.countOutcome(item->Instance, !ok);
  if (ok)
    Services[item->Service.Value].Latencies.add(cell);
  // A stalled attempt is not counted again for its latency or timeout.
  bool late = ok || kind == OutcomeKind::Timeout;
  if (!item->Stalled || !late)
    countEvidence(attempt, item->Instance, cell);
  const Strategy &strategy = Strategies[static_cast<size_t>(Detector)];
  (this->*strategy.OnOutcome)(item->Instance, !ok, now);
}

void FleetHealth::attemptTimedOut(AttemptHandle attempt, Instant now) {
  const TrackedAttempt *item = Attempts.find(attempt);
  if (!item)
    return;
  Duration stallTimeout = Services[item->Service.Value].StallTimeout;
  bool late = !item->Answered && now - item->Started >= stallTimeout;
  if (late)
    attemptEnded(attempt, OutcomeKind::Timeout, now);
  else
    attemptDropped(attempt);
}

void FleetHealth::attemptDropped(AttemptHandle attempt) {
  if (TrackedAttempt *item = Attempts.find(attempt))
    item->Live = false;
}

void FleetHealth::countEvidence(AttemptHandle attempt, InstanceHandle instance,
                                uint8_t cell) {
  Evidence.add(instance, cell);
  if (CountedFailures.size() <= attempt.Request.Index)
    CountedFailures.resize(attempt.Request.Index + 1);
  if (isFailure(cell))
    CountedFailures[attempt.Request.Index] = {attempt, instance, cell, true};
}

void FleetHealth::retractFailure(AttemptHandle attempt) {
  if (attempt.Request.Index >= CountedFailures.size())
    return;
  CountedFailure &item = CountedFailures[attempt.Request.Index];
  if (!item.Valid || item.Attempt != attempt)
    return;
  item.Valid = false;
  InstanceCounts[item.Instance.Value].Consecutive = 0;
  if (!Evidence.remove(item.Instance, item.Cell))
    Evidence.add(item.Instance, CellRetracted);
}

void FleetHealth::countPooled(InstanceHandle, bool, Instant) {}

void FleetHealth::countConsecutive(InstanceHandle instance, bool failed,
                                   Instant now) {
  LocalCounts &counts = InstanceCounts[instance.Value];
  counts.Consecutive = failed ? counts.Consecutive + 1 : 0;
  if (counts.Consecutive < ConsecutiveFailureThreshold)
    return;
  counts.Consecutive = 0;
  ejectLocally(instance, EjectReason::ConsecutiveFailures, now);
}

void FleetHealth::countErrorRate(InstanceHandle instance, bool failed,
                                 Instant now) {
  LocalCounts &counts = InstanceCounts[instance.Value];
  (failed ? counts.Bad : counts.Good) += 1;
  float all = counts.Bad + counts.Good;
  if (all < MinErrorRateAnswers || counts.Bad < all * ErrorRateThreshold)
    return;
  counts.Bad = 0;
  counts.Good = 0;
  ejectLocally(instance, EjectReason::ErrorRate, now);
}

void FleetHealth::ejectLocally(InstanceHandle instance, EjectReason reason,
                               Instant now) {
  LocalCounts &counts = InstanceCounts[instance.Value];
  counts.Ejections = std::min(counts.Ejections + 1, MaxLocalEjections);
  VerdictEntry entry;
  entry.State = VerdictState::Ejected;
  entry.Reason = reason;
  entry.Level = static_cast<uint8_t>(counts.Ejections);
  entry.Severity = 1;
  entry.Remaining = LocalEjectionTime * counts.Ejections;
  Table.applyVerdict(instance, entry, now);
}

VmHandle FleetHealth::ownerOf(const Service &service,
                              const MemberView &members) const {
  auto eligible = [&](const VmEntry &vm) {
    return mayOwn(vm) ||
           (members.Self.valid() && &vm == &members.at(members.Self));
  };
  return rendezvousOwner(service.Key, members, eligible);
}

FleetHealth::Service *FleetHealth::findService(uint64_t key) {
  auto it = std::find_if(Services.begin(), Services.end(),
                         [&](const Service &item) { return item.Key == key; });
  return it == Services.end() ? nullptr : &*it;
}

void FleetHealth::tick(const MemberView &members, Instant now,
                       EffectBuffer &effects) {
  Now = now;
  NextTick = now + TickInterval;
  countStalled();
  decayLocalCounts();
  sendEvidence(members, effects);
  for (Service &service : Services)
    if (service.Evaluating)
      evaluateService(service, members, effects);
  Table.advance(now);
}

void FleetHealth::countStalled() {
  for (TrackedAttempt &item : Attempts.items()) {
    if (!item.Live || item.Stalled || item.Answered)
      continue;
    if (Now - item.Started < Services[item.Service.Value].StallTimeout)
      continue;
    item.Stalled = true;
    Evidence.add(item.Instance, CellStalled);
  }
}

void FleetHealth::decayLocalCounts() {
  for (Service &service : Services) {
    service.Latencies.decay(LatencyDecay);
    service.StallTimeout = stallTimeoutFor(service.Latencies);
  }
  if (Detector != DetectorKind::ErrorRate)
    return;
  for (LocalCounts &counts : InstanceCounts) {
    counts.Good *= ErrorRateDecay;
    counts.Bad *= ErrorRateDecay;
  }
}

void FleetHealth::sendEvidence(const MemberView &members,
                               EffectBuffer &effects) {
  std::span<InstanceHandle> dirty = Evidence.dirty();
  std::sort(dirty.begin(), dirty.end(),
            [&](InstanceHandle left, InstanceHandle right) {
              return std::pair(ServiceOf[left.Value], left) <
                     std::pair(ServiceOf[right.Value], right);
            });
  size_t n = 0;
  while (n < dirty.size() && Detector == DetectorKind::Pooled) {
    ServiceHandle handle = ServiceOf[dirty[n].Value];
    Service &service = Services[handle.Value];
    VmHandle owner = ownerOf(service, members);
    EvidenceReport &report = ReportScratch;
    report.Cells.clear();
    for (; n < dirty.size() && ServiceOf[dirty[n].Value] == handle; ++n) {
      const CellCounts &counts = Evidence.counts(dirty[n]);
      for (uint8_t cell = 0; cell < NumCellKinds; ++cell) {
        if (counts[cell] == 0)
          continue;
        if (report.Cells.size() == MaxCellsPerReport)
          sendReport(service, report, owner, members, effects);
        report.Cells.push_back(
            {InstanceKeys[dirty[n].Value], counts[cell], cell});
      }
    }
    sendReport(service, report, owner, members, effects);
  }
  Evidence.clear();
}

void FleetHealth::sendReport(Service &service, EvidenceReport &report,
                             VmHandle owner, const MemberView &members,
                             EffectBuffer &effects) {
  if (!owner.valid() || owner == members.Self) {
    startEvaluating(service);
    ZoneHandle zone;
    if (members.Self.valid())
      zone = members.at(members.Self).Zone;
    VmHandle self = members.Self.valid() ? members.Self : VmHandle{0};
    service.Evaluator.add(self, zone, report.Cells);
  } else if (!report.Cells.empty()) {
    report.Service = service.Key;
    bool current = service.AppliedFrom == owner;
    report.VerdictVersion = current ? service.AppliedVersion : 0;
    effects.push(SendPeer{owner, report});
  }
  report.Cells.clear();
}

void FleetHealth::startEvaluating(Service &service) {
  if (service.Evaluating)
    return;
  service.Evaluating = true;
  service.Evaluator = HealthEvaluator();
  service.Evaluator.setInstances(service.Keys);
  service.Reporters.clear();
  // A version from the clock is unlikely to repeat one of an earlier owner or
  // process.
  service.Version = static_cast<uint32_t>(Now.time_since_epoch().count());
  for (size_t n = 0; n < service.Instances.size(); ++n) {
    const InstanceHealth &item = Table.at(service.Instances[n]);
    if (item.Verdict == VerdictState::Healthy)
      continue;
    VerdictEntry entry;
    entry.Instance = service.Keys[n];
    entry.State = item.Verdict;
    entry.Reason = item.Reason;
    entry.Level = item.Level;
    entry.Severity = item.Severity;
    entry.Remaining = std::max(item.Until - Now, Duration(1));
    service.Evaluator.adopt(entry, Now);
  }
}

void FleetHealth::evaluateService(Service &service, const MemberView &members,
                                  EffectBuffer &effects) {
  VmHandle owner = ownerOf(service, members);
  if (owner.valid() && owner != members.Self) {
    service.Evaluating = false;
    return;
  }
  bool isolated = isIsolated(members);
  EvaluationContext context;
  context.Now = Now;
  context.SingleReporter = members.Vms.size() <= 1 || isolated;
  context.ThresholdFactor = isolated ? IsolatedThresholdFactor : 1;
  if (service.Evaluator.evaluate(context))
    publishVerdicts(service, members, effects);
}

template <typename Send>
void FleetHealth::forEachUpdate(Service &service, const Send &send) {
  VerdictUpdate update;
  update.Service = service.Key;
  update.Version = service.Version;
  for (const EvaluatedInstance &item : service.Evaluator.instances()) {
    bool recent = item.ChangedAt != Instant{} &&
                  Now - item.ChangedAt < EndedVerdictLifetime;
    if (item.State == VerdictState::Healthy && !recent)
      continue;
    if (update.Entries.size() == MaxEntriesPerUpdate) {
      send(update);
      update.Entries.clear();
    }
    update.Entries.push_back(verdictEntryFor(item, Now));
  }
  update.Last = true;
  send(update);
}

void FleetHealth::publishVerdicts(Service &service, const MemberView &members,
                                  EffectBuffer &effects) {
  ++service.Version;
  std::erase_if(service.Reporters, [&](const Reporter &it) {
    return Now - it.LastHeard > ReporterLifetime;
  });
  forEachUpdate(service, [&](const VerdictUpdate &update) {
    applyUpdate(service, update, Now);
    for (const Reporter &it : service.Reporters)
      if (it.Vm != members.Self)
        effects.push(SendPeer{it.Vm, update});
  });
}

void FleetHealth::applyUpdate(const Service &service,
                              const VerdictUpdate &update, Instant now) {
  for (const VerdictEntry &entry : update.Entries) {
    auto it =
        std::find(service.Keys.begin(), service.Keys.end(), entry.Instance);
    if (it == service.Keys.end())
      continue;
    InstanceHandle instance =
        service.Instances[static_cast<size_t>(it - service.Keys.begin())];
    const InstanceHealth &item = Table.at(instance);
    bool unchanged = item.Verdict == entry.State && item.Level == entry.Level;
    if (!unchanged)
      Table.applyVerdict(instance, entry, now);
  }
}

void FleetHealth::onReport(VmHandle from, const EvidenceReport &report,
                           const MemberView &members, EffectBuffer &effects) {
  Service *service = findService(report.Service);
  if (!service || !from.valid() || from.Value >= members.Vms.size())
    return;
  // Member views may differ for a moment. Only the owner that this daemon
  // computes evaluates the service, and reporters accept only its verdicts.
  if (ownerOf(*service, members) != members.Self)
    return;
  startEvaluating(*service);
  service->Evaluator.add(from, members.at(from).Zone, report.Cells);
  auto it = std::find_if(service->Reporters.begin(), service->Reporters.end(),
                         [&](const Reporter &item) { return item.Vm == from; });
  if (it == service->Reporters.end())
    service->Reporters.push_back({from, Now});
  else
    it->LastHeard = Now;
  if (report.VerdictVersion == service->Version)
    return;
  forEachUpdate(*service, [&](const VerdictUpdate &update) {
    effects.push(SendPeer{from, update});
  });
}

void FleetHealth::onVerdict(VmHandle from, const VerdictUpdate &update,
                            const MemberView &members, Instant now) {
  Now = now;
  Service *service = findService(update.Service);
  if (!service || ownerOf(*service, members) != from)
    return;
  applyUpdate(*service, update, now);
  if (!update.Last)
    return;
  service->AppliedFrom = from;
  service->AppliedVersion = update.Version;
}

} // namespace guavasail
