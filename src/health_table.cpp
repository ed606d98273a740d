#include "health_table.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint32_t TrickleWeight = FullWeight / 20;
constexpr uint32_t MinRampWeight = FullWeight / 8;
constexpr Duration WarmUpTime = std::chrono::seconds(5);
constexpr Duration LocalTrickleTime = std::chrono::seconds(15);
constexpr Duration LocalSlowStartTime = std::chrono::seconds(10);
constexpr Duration MaxVerdictLifetime = std::chrono::minutes(10);
constexpr uint8_t PathFailureThreshold = 3;
constexpr uint8_t MaxPathBackoffLevel = 5;
constexpr Duration BasePathFaultTime = std::chrono::seconds(1);
/// Exceeds the severity of any verdict: a path fault is ejected first.
constexpr uint32_t PathFaultSeverity = 1 << 16;
constexpr uint32_t WholePercent = 100;

/// \returns the weight at \p now of a linear ramp up to the full weight.
uint32_t rampWeight(Instant since, Instant until, Instant now) {
  if (now >= until || until <= since)
    return FullWeight;
  auto elapsed = static_cast<uint64_t>((now - since).count());
  auto length = static_cast<uint64_t>((until - since).count());
  uint64_t gained = (FullWeight - MinRampWeight) * elapsed / length;
  return MinRampWeight + static_cast<uint32_t>(gained);
}

bool isPathFaulty(const InstanceHealth &item, Instant now) {
  return now < item.PathUntil;
}

/// Use of an instance whose ejection took effect, by verdict.
constexpr UseState UseByVerdict[] = {UseState::InUse, UseState::Ejected,
                                     UseState::Trickle, UseState::SlowStart};

} // namespace

void HealthTable::acceptCatalog(const CatalogIndex &catalog, Instant now) {
  size_t count = catalog.instances().size();
  Items.resize(count);
  Services.resize(count);
  IsInTransition.resize(count);
  InTransition.reserve(count);
  Groups.assign(catalog.services().size(), {});
  for (size_t n = 0; n < Groups.size(); ++n)
    Groups[n].FloorPercent = catalog.services()[n].FloorPercent;
  for (uint32_t n = 0; n < count; ++n) {
    const InstanceEntry &entry = catalog.instances()[n];
    InstanceHealth &item = Items[n];
    Services[n] = entry.Service;
    if (!entry.Present) {
      item.Use = UseState::Absent;
      item.InCatalog = false;
      continue;
    }
    // An instance that joins a running fleet warms up first.
    if (!item.InCatalog && HadCatalog) {
      item.WarmUpSince = now;
      item.WarmUpUntil = now + WarmUpTime;
      trackTransition({n});
    }
    item.InCatalog = true;
    Groups[entry.Service.Value].Members.push_back({{n}, entry.Spec.Slots});
  }
  HadCatalog = true;
  for (uint32_t n = 0; n < Groups.size(); ++n)
    applyFloorToService({n}, now);
}

void HealthTable::applyVerdict(InstanceHandle instance,
                               const VerdictEntry &entry, Instant now) {
  InstanceHealth &item = Items[instance.Value];
  item.Verdict = entry.State;
  item.Reason = entry.Reason;
  item.Level = entry.Level;
  item.Severity = entry.Severity;
  item.Since = now;
  Duration remaining = std::min(entry.Remaining, MaxVerdictLifetime);
  item.Until = remaining > Duration::zero() ? now + remaining : NeverInstant;
  trackTransition(instance);
  applyFloorToService(Services[instance.Value], now);
}

void HealthTable::recordReachable(InstanceHandle instance) {
  InstanceHealth &item = Items[instance.Value];
  item.PathFailures = 0;
  item.PathBackoffLevel = 0;
}

void HealthTable::recordUnreachable(InstanceHandle instance, Instant now) {
  InstanceHealth &item = Items[instance.Value];
  if (++item.PathFailures < PathFailureThreshold)
    return;
  item.PathFailures = PathFailureThreshold - 1;
  item.PathSince = now;
  item.PathUntil = now + BasePathFaultTime * (1 << item.PathBackoffLevel);
  item.PathBackoffLevel =
      std::min<uint8_t>(item.PathBackoffLevel + 1, MaxPathBackoffLevel);
  trackTransition(instance);
  applyFloorToService(Services[instance.Value], now);
}

void HealthTable::setDrained(InstanceHandle instance, bool drained,
                             Instant now) {
  Items[instance.Value].Drained = drained;
  applyFloorToService(Services[instance.Value], now);
}

void HealthTable::setLeaving(InstanceHandle instance, bool leaving,
                             Instant now) {
  InstanceHealth &item = Items[instance.Value];
  if (item.Leaving == leaving)
    return;
  item.Leaving = leaving;
  applyFloorToService(Services[instance.Value], now);
}

void HealthTable::countOutcome(InstanceHandle instance, bool bad) {
  InstanceHealth &item = Items[instance.Value];
  ++item.Outcomes;
  item.BadOutcomes += bad ? 1 : 0;
}

void HealthTable::trackTransition(InstanceHandle instance) {
  if (IsInTransition[instance.Value])
    return;
  IsInTransition[instance.Value] = true;
  InTransition.push_back(instance);
}

bool HealthTable::advanceInstance(InstanceHealth &item, Instant now) {
  bool expired = now >= item.Until;
  if (expired && item.Verdict == VerdictState::Ejected) {
    item.Verdict = VerdictState::Trickle;
    item.Since = now;
    item.Until = now + LocalTrickleTime;
  } else if (expired && item.Verdict == VerdictState::Trickle) {
    item.Verdict = VerdictState::SlowStart;
    item.Since = now;
    item.Until = now + LocalSlowStartTime;
  } else if (expired && item.Verdict == VerdictState::SlowStart) {
    item.Verdict = VerdictState::Healthy;
    item.Reason = EjectReason::None;
    item.Severity = 0;
    item.Since = now;
    item.Until = NeverInstant;
  }
  return item.Verdict == VerdictState::Healthy && !isPathFaulty(item, now) &&
         now >= item.WarmUpUntil;
}

void HealthTable::advance(Instant now) {
  size_t retained = 0;
  for (size_t n = 0; n < InTransition.size(); ++n) {
    InstanceHandle instance = InTransition[n];
    bool steady = advanceInstance(Items[instance.Value], now);
    applyFloorToService(Services[instance.Value], now);
    if (steady)
      IsInTransition[instance.Value] = false;
    else
      InTransition[retained++] = instance;
  }
  InTransition.resize(retained);
}

void HealthTable::applyFloorToService(ServiceHandle service, Instant now) {
  const ServiceGroup &group = Groups[service.Value];
  FloorItems.clear();
  for (const Member &member : group.Members) {
    const InstanceHealth &item = Items[member.Instance.Value];
    bool pathFaulty = isPathFaulty(item, now);
    FloorItem candidate;
    candidate.Slots = member.Slots;
    candidate.Severity = item.Severity + (pathFaulty ? PathFaultSeverity : 0);
    candidate.Unavailable = item.Drained || item.Leaving;
    candidate.EjectionWanted =
        pathFaulty || item.Verdict != VerdictState::Healthy;
    FloorItems.push_back(candidate);
  }
  applyFloor(FloorItems, group.FloorPercent);
  for (size_t n = 0; n < FloorItems.size(); ++n) {
    InstanceHealth &item = Items[group.Members[n].Instance.Value];
    updateUse(item, FloorItems[n].Ejected, now);
    bool heldByFloor = FloorItems[n].EjectionWanted && !FloorItems[n].Ejected;
    if (heldByFloor && item.Use == UseState::InUse)
      item.Use = UseState::HeldByFloor;
  }
}

void HealthTable::updateUse(InstanceHealth &item, bool ejected, Instant now) {
  item.Weight = rampWeight(item.WarmUpSince, item.WarmUpUntil, now);
  item.Use = UseState::InUse;
  item.HasPathFault = isPathFaulty(item, now);
  if (item.Drained || item.Leaving) {
    item.Use = item.Drained ? UseState::Drained : UseState::Leaving;
    item.Weight = 0;
    return;
  }
  if (!ejected)
    return;
  item.Use = item.HasPathFault
                 ? UseState::Ejected
                 : UseByVerdict[static_cast<size_t>(item.Verdict)];
  if (item.Use == UseState::Ejected)
    item.Weight = 0;
  if (item.Use == UseState::Trickle)
    item.Weight = TrickleWeight;
  if (item.Use == UseState::SlowStart)
    item.Weight = rampWeight(item.Since, item.Until, now);
}

InstanceHealthView HealthTable::view(InstanceHandle instance) const {
  const InstanceHealth &item = Items[instance.Value];
  InstanceHealthView view;
  bool pathFault = item.HasPathFault && item.Verdict == VerdictState::Healthy;
  view.Use = item.Use;
  view.Reason = pathFault ? EjectReason::PathFault : item.Reason;
  view.Since = pathFault ? item.PathSince : item.Since;
  view.Until = pathFault ? item.PathUntil : item.Until;
  view.Level = pathFault ? item.PathBackoffLevel : item.Level;
  view.WeightPercent = item.Weight * WholePercent / FullWeight;
  view.Severity = item.Severity;
  view.Outcomes = item.Outcomes;
  view.BadOutcomes = item.BadOutcomes;
  return view;
}

} // namespace guavasail
