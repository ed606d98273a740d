#include "health_fleet.h"

#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Time between two reports of a daemon, and between two judgements.
constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// Bounds of one message.
constexpr size_t CellsPerReport = 256;
constexpr size_t EntriesPerUpdate = 128;
/// A reporter that was silent for longer is not told of new verdicts.
constexpr Duration ReporterKept = std::chrono::seconds(30);
/// Verdicts that ended stay in updates for this time.
constexpr Duration EndedKept = std::chrono::minutes(1);

/// Attempts are stalled after this many times the usual latency.
constexpr float UsualQuantile = 0.5F;
constexpr float TailQuantile = 0.95F;
constexpr int StallUsualFactor = 10;
constexpr int StallTailFactor = 2;
constexpr Duration StallLeast = std::chrono::milliseconds(200);
constexpr Duration StallMost = std::chrono::seconds(2);
constexpr float StallAnswers = 20;
constexpr float SketchFade = 0.995F;

/// Factor on the threshold while most known VMs are out of reach.
constexpr float IsolatedBar = 1.5F;

/// Baselines.
constexpr uint32_t ConsecutiveLimit = 5;
constexpr float ErrorRateLimit = 0.2F;
constexpr float ErrorRateAnswers = 10;
constexpr float ErrorRateFade = 0.975F;
constexpr Duration AloneEjection = std::chrono::seconds(30);
constexpr uint32_t AloneEjectionLimit = 10;

bool isBad(uint8_t cell) { return cell >= LatencyBuckets; }

/// \returns true unless the failure is one of the path to the instance.
bool reached(OutcomeKind kind) {
  return kind != OutcomeKind::Unreachable && kind != OutcomeKind::Timeout;
}

Duration stallAfter(const LatencySketch &latencies) {
  if (latencies.total() < StallAnswers)
    return StallMost;
  Duration usual = bucketStart(latencies.quantileBucket(UsualQuantile) + 1);
  Duration tail = bucketStart(latencies.quantileBucket(TailQuantile) + 1);
  Duration wanted = std::max(usual * StallUsualFactor, tail * StallTailFactor);
  return std::clamp(wanted, StallLeast, StallMost);
}

/// \returns true if this daemon sees less than half of the VMs it knows.
bool isolated(const MemberView &members) {
  size_t alive = 0;
  size_t known = 0;
  for (const VmEntry &vm : members.Vms) {
    alive += vm.State == VmState::Alive ? 1 : 0;
    known += vm.State != VmState::Gone && vm.State != VmState::Leaving ? 1 : 0;
  }
  return alive * 2 < known;
}

VerdictEntry entryOf(const JudgedInstance &item, Instant now) {
  VerdictEntry entry;
  entry.Instance = item.Key;
  entry.State = item.State;
  entry.Reason = item.Reason;
  entry.Level = item.Level;
  entry.Badness = item.Badness;
  if (item.Until != NeverInstant)
    entry.Remaining = std::max(item.Until - now, Duration(1));
  return entry;
}

} // namespace

const FleetHealth::Strategy FleetHealth::Strategies[] = {
    {DetectorKind::ConsecutiveFailures, "consecutive-failures",
     &FleetHealth::noteConsecutive},
    {DetectorKind::ErrorRate, "error-rate", &FleetHealth::noteErrorRate},
    {DetectorKind::Pooled, "pooled", &FleetHealth::notePooled},
};

void FleetHealth::acceptCatalog(const CatalogIndex &catalog, Instant now) {
  size_t count = catalog.instances().size();
  Now = now;
  Table.acceptCatalog(catalog, now);
  Evidence.resize(count);
  Local.resize(count);
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
    service.StallAfter = stallAfter(service.Latencies);
    service.Keys.clear();
    for (InstanceHandle it : service.Instances)
      service.Keys.push_back(InstanceKeys[it.Value]);
    if (service.Judging)
      service.Judge.setInstances(service.Keys);
  }
  if (NextTick == NeverInstant)
    NextTick = now + TickPeriod;
}

void FleetHealth::attemptStarted(AttemptHandle attempt, InstanceHandle instance,
                                 Instant now) {
  WatchedAttempt &item = Watch.open(attempt);
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
  WatchedAttempt *item = Watch.find(attempt);
  if (!item)
    return;
  bool ok = kind == OutcomeKind::Ok;
  // The answer is not whole yet after its head; it may still break.
  item->Live = ok;
  item->Answered = ok;
  uint8_t cell = evidenceCell(kind, now - item->Started);
  if (reached(kind))
    Table.noteReached(item->Instance);
  else
    Table.noteUnreachable(item->Instance, now);
  Table.count(item->Instance, !ok);
  if (ok)
    Services[item->Service.Value].Latencies.add(cell);
  // What was counted as stalled is not counted again for being late.
  bool late = ok || kind == OutcomeKind::Timeout;
  if (!item->Stalled || !late)
    give(attempt, item->Instance, cell);
  const Strategy &strategy = Strategies[static_cast<size_t>(Detector)];
  (this->*strategy.OnOutcome)(item->Instance, !ok, now);
}

void FleetHealth::attemptTimedOut(AttemptHandle attempt, Instant now) {
  const WatchedAttempt *item = Watch.find(attempt);
  if (!item)
    return;
  Duration usual = Services[item->Service.Value].StallAfter;
  bool late = !item->Answered && now - item->Started >= usual;
  if (late)
    attemptEnded(attempt, OutcomeKind::Timeout, now);
  else
    attemptDropped(attempt);
}

void FleetHealth::attemptDropped(AttemptHandle attempt) {
  if (WatchedAttempt *item = Watch.find(attempt))
    item->Live = false;
}

void FleetHealth::give(AttemptHandle attempt, InstanceHandle instance,
                       uint8_t cell) {
  Evidence.add(instance, cell);
  if (Given.size() <= attempt.Request.Index)
    Given.resize(attempt.Request.Index + 1);
  if (isBad(cell))
    Given[attempt.Request.Index] = {attempt, instance, cell, true};
}

void FleetHealth::retractFailure(AttemptHandle attempt) {
  if (attempt.Request.Index >= Given.size())
    return;
  GivenEvidence &item = Given[attempt.Request.Index];
  if (!item.Given || item.Attempt != attempt)
    return;
  item.Given = false;
  Local[item.Instance.Value].InRow = 0;
  if (!Evidence.takeBack(item.Instance, item.Cell))
    Evidence.add(item.Instance, CellForgiven);
}

void FleetHealth::notePooled(InstanceHandle, bool, Instant) {}

void FleetHealth::noteConsecutive(InstanceHandle instance, bool bad,
                                  Instant now) {
  LocalCounts &counts = Local[instance.Value];
  counts.InRow = bad ? counts.InRow + 1 : 0;
  if (counts.InRow < ConsecutiveLimit)
    return;
  counts.InRow = 0;
  ejectAlone(instance, EjectReason::ConsecutiveFailures, now);
}

void FleetHealth::noteErrorRate(InstanceHandle instance, bool bad,
                                Instant now) {
  LocalCounts &counts = Local[instance.Value];
  (bad ? counts.Bad : counts.Good) += 1;
  float all = counts.Bad + counts.Good;
  if (all < ErrorRateAnswers || counts.Bad < all * ErrorRateLimit)
    return;
  counts.Bad = 0;
  counts.Good = 0;
  ejectAlone(instance, EjectReason::ErrorRate, now);
}

void FleetHealth::ejectAlone(InstanceHandle instance, EjectReason reason,
                             Instant now) {
  LocalCounts &counts = Local[instance.Value];
  counts.Ejections = std::min(counts.Ejections + 1, AloneEjectionLimit);
  VerdictEntry entry;
  entry.State = VerdictState::Ejected;
  entry.Reason = reason;
  entry.Level = static_cast<uint8_t>(counts.Ejections);
  entry.Badness = 1;
  entry.Remaining = AloneEjection * counts.Ejections;
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
  NextTick = now + TickPeriod;
  findStalled();
  fadeLocal();
  sendEvidence(members, effects);
  for (Service &service : Services)
    if (service.Judging)
      judge(service, members, effects);
  Table.advance(now);
}

void FleetHealth::findStalled() {
  for (WatchedAttempt &item : Watch.items()) {
    if (!item.Live || item.Stalled || item.Answered)
      continue;
    if (Now - item.Started < Services[item.Service.Value].StallAfter)
      continue;
    item.Stalled = true;
    Evidence.add(item.Instance, CellStalled);
  }
}

void FleetHealth::fadeLocal() {
  for (Service &service : Services) {
    service.Latencies.fade(SketchFade);
    service.StallAfter = stallAfter(service.Latencies);
  }
  if (Detector != DetectorKind::ErrorRate)
    return;
  for (LocalCounts &counts : Local) {
    counts.Good *= ErrorRateFade;
    counts.Bad *= ErrorRateFade;
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
    EvidenceReport &report = Draft;
    report.Cells.clear();
    for (; n < dirty.size() && ServiceOf[dirty[n].Value] == handle; ++n) {
      const CellCounts &counts = Evidence.counts(dirty[n]);
      for (uint8_t cell = 0; cell < CellKinds; ++cell) {
        if (counts[cell] == 0)
          continue;
        if (report.Cells.size() == CellsPerReport)
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
    startJudging(service);
    ZoneHandle zone;
    if (members.Self.valid())
      zone = members.at(members.Self).Zone;
    VmHandle self = members.Self.valid() ? members.Self : VmHandle{0};
    service.Judge.add(self, zone, report.Cells);
  } else if (!report.Cells.empty()) {
    report.Service = service.Key;
    bool held = service.HeldFrom == owner;
    report.VerdictVersion = held ? service.HeldVersion : 0;
    effects.push(SendPeer{owner, report});
  }
  report.Cells.clear();
}

void FleetHealth::startJudging(Service &service) {
  if (service.Judging)
    return;
  service.Judging = true;
  service.Judge = ServiceJudge();
  service.Judge.setInstances(service.Keys);
  service.Reporters.clear();
  // Versions of an earlier owner or process are unlikely to be met again.
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
    entry.Badness = item.Badness;
    entry.Remaining = std::max(item.Until - Now, Duration(1));
    service.Judge.adopt(entry, Now);
  }
}

void FleetHealth::judge(Service &service, const MemberView &members,
                        EffectBuffer &effects) {
  VmHandle owner = ownerOf(service, members);
  if (owner.valid() && owner != members.Self) {
    service.Judging = false;
    return;
  }
  bool cutOff = isolated(members);
  JudgeContext context;
  context.Now = Now;
  context.Alone = members.Vms.size() <= 1 || cutOff;
  context.Bar = cutOff ? IsolatedBar : 1;
  if (service.Judge.evaluate(context))
    publish(service, members, effects);
}

template <typename Send>
void FleetHealth::eachUpdate(Service &service, const Send &send) {
  VerdictUpdate update;
  update.Service = service.Key;
  update.Version = service.Version;
  for (const JudgedInstance &item : service.Judge.instances()) {
    bool recent = item.Changed != Instant{} && Now - item.Changed < EndedKept;
    if (item.State == VerdictState::Healthy && !recent)
      continue;
    if (update.Entries.size() == EntriesPerUpdate) {
      send(update);
      update.Entries.clear();
    }
    update.Entries.push_back(entryOf(item, Now));
  }
  update.Last = true;
  send(update);
}

void FleetHealth::publish(Service &service, const MemberView &members,
                          EffectBuffer &effects) {
  ++service.Version;
  std::erase_if(service.Reporters, [&](const Reporter &it) {
    return Now - it.Heard > ReporterKept;
  });
  eachUpdate(service, [&](const VerdictUpdate &update) {
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
    bool same = item.Verdict == entry.State && item.Level == entry.Level;
    if (!same)
      Table.applyVerdict(instance, entry, now);
  }
}

void FleetHealth::onReport(VmHandle from, const EvidenceReport &report,
                           const MemberView &members, EffectBuffer &effects) {
  Service *service = findService(report.Service);
  if (!service || !from.valid() || from.Value >= members.Vms.size())
    return;
  // Members may differ for a moment: whoever is asked judges, but only the
  // computed owner's verdicts are taken.
  if (ownerOf(*service, members) != members.Self)
    return;
  startJudging(*service);
  service->Judge.add(from, members.at(from).Zone, report.Cells);
  auto it = std::find_if(service->Reporters.begin(), service->Reporters.end(),
                         [&](const Reporter &item) { return item.Vm == from; });
  if (it == service->Reporters.end())
    service->Reporters.push_back({from, Now});
  else
    it->Heard = Now;
  if (report.VerdictVersion == service->Version)
    return;
  eachUpdate(*service, [&](const VerdictUpdate &update) {
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
  service->HeldFrom = from;
  service->HeldVersion = update.Version;
}

} // namespace guavasail
