#include "health_table.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint32_t TrickleWeight = FullWeight / 20;
constexpr uint32_t StartWeight = FullWeight / 8;
constexpr Duration ColdStart = std::chrono::seconds(5);
constexpr Duration TrickleAlone = std::chrono::seconds(15);
constexpr Duration SlowStartAlone = std::chrono::seconds(10);
constexpr Duration LongestVerdict = std::chrono::minutes(10);
constexpr uint8_t PathFailureLimit = 3;
constexpr uint8_t PathLevelLimit = 5;
constexpr Duration FirstPathDetour = std::chrono::seconds(1);
/// Path faults are worse than anything that is merely slow.
constexpr uint32_t PathBadness = 1 << 16;
constexpr uint32_t WholePercent = 100;

/// \returns the weight that grows from a start to the full one.
uint32_t rampWeight(Instant since, Instant until, Instant now) {
  if (now >= until || until <= since)
    return FullWeight;
  auto passed = static_cast<uint64_t>((now - since).count());
  auto length = static_cast<uint64_t>((until - since).count());
  uint64_t grown = (FullWeight - StartWeight) * passed / length;
  return StartWeight + static_cast<uint32_t>(grown);
}

bool onDetour(const InstanceHealth &item, Instant now) {
  return now < item.PathUntil;
}

/// Use of an instance that no floor holds, by verdict.
constexpr UseState UseOfVerdict[] = {UseState::InUse, UseState::Ejected,
                                     UseState::Trickle, UseState::SlowStart};

} // namespace

void HealthTable::acceptCatalog(const CatalogIndex &catalog, Instant now) {
  size_t count = catalog.instances().size();
  Items.resize(count);
  Services.resize(count);
  IsUnwell.resize(count);
  Unwell.reserve(count);
  Groups.assign(catalog.services().size(), {});
  for (size_t n = 0; n < Groups.size(); ++n)
    Groups[n].FloorPercent = catalog.services()[n].FloorPercent;
  for (uint32_t n = 0; n < count; ++n) {
    const InstanceEntry &entry = catalog.instances()[n];
    InstanceHealth &item = Items[n];
    Services[n] = entry.Service;
    if (!entry.Present) {
      item.Use = UseState::Absent;
      item.Known = false;
      continue;
    }
    // An instance that joins a running fleet starts cold.
    if (!item.Known && HadCatalog) {
      item.ColdSince = now;
      item.ColdUntil = now + ColdStart;
      noteUnwell({n});
    }
    item.Known = true;
    Groups[entry.Service.Value].Members.push_back({{n}, entry.Spec.Slots});
  }
  HadCatalog = true;
  for (uint32_t n = 0; n < Groups.size(); ++n)
    refresh({n}, now);
}

void HealthTable::applyVerdict(InstanceHandle instance,
                               const VerdictEntry &entry, Instant now) {
  InstanceHealth &item = Items[instance.Value];
  item.Verdict = entry.State;
  item.Reason = entry.Reason;
  item.Level = entry.Level;
  item.Badness = entry.Badness;
  item.Since = now;
  Duration remaining = std::min(entry.Remaining, LongestVerdict);
  item.Until = remaining > Duration::zero() ? now + remaining : NeverInstant;
  noteUnwell(instance);
  refresh(Services[instance.Value], now);
}

void HealthTable::noteReached(InstanceHandle instance) {
  InstanceHealth &item = Items[instance.Value];
  item.PathFailures = 0;
  item.PathLevel = 0;
}

void HealthTable::noteUnreachable(InstanceHandle instance, Instant now) {
  InstanceHealth &item = Items[instance.Value];
  if (++item.PathFailures < PathFailureLimit)
    return;
  item.PathFailures = PathFailureLimit - 1;
  item.PathSince = now;
  item.PathUntil = now + FirstPathDetour * (1 << item.PathLevel);
  item.PathLevel = std::min<uint8_t>(item.PathLevel + 1, PathLevelLimit);
  noteUnwell(instance);
  refresh(Services[instance.Value], now);
}

void HealthTable::setDrained(InstanceHandle instance, bool drained,
                             Instant now) {
  Items[instance.Value].Drained = drained;
  refresh(Services[instance.Value], now);
}

void HealthTable::setLeaving(InstanceHandle instance, bool leaving,
                             Instant now) {
  InstanceHealth &item = Items[instance.Value];
  if (item.Leaving == leaving)
    return;
  item.Leaving = leaving;
  refresh(Services[instance.Value], now);
}

void HealthTable::count(InstanceHandle instance, bool bad) {
  InstanceHealth &item = Items[instance.Value];
  ++item.Outcomes;
  item.BadOutcomes += bad ? 1 : 0;
}

void HealthTable::noteUnwell(InstanceHandle instance) {
  if (IsUnwell[instance.Value])
    return;
  IsUnwell[instance.Value] = true;
  Unwell.push_back(instance);
}

bool HealthTable::advanceOne(InstanceHealth &item, Instant now) {
  bool over = now >= item.Until;
  if (over && item.Verdict == VerdictState::Ejected) {
    item.Verdict = VerdictState::Trickle;
    item.Since = now;
    item.Until = now + TrickleAlone;
  } else if (over && item.Verdict == VerdictState::Trickle) {
    item.Verdict = VerdictState::SlowStart;
    item.Since = now;
    item.Until = now + SlowStartAlone;
  } else if (over && item.Verdict == VerdictState::SlowStart) {
    item.Verdict = VerdictState::Healthy;
    item.Reason = EjectReason::None;
    item.Badness = 0;
    item.Since = now;
    item.Until = NeverInstant;
  }
  return item.Verdict == VerdictState::Healthy && !onDetour(item, now) &&
         now >= item.ColdUntil;
}

void HealthTable::advance(Instant now) {
  size_t kept = 0;
  for (size_t n = 0; n < Unwell.size(); ++n) {
    InstanceHandle instance = Unwell[n];
    bool well = advanceOne(Items[instance.Value], now);
    refresh(Services[instance.Value], now);
    if (well)
      IsUnwell[instance.Value] = false;
    else
      Unwell[kept++] = instance;
  }
  Unwell.resize(kept);
}

void HealthTable::refresh(ServiceHandle service, Instant now) {
  const Group &group = Groups[service.Value];
  Scratch.clear();
  for (const Member &member : group.Members) {
    const InstanceHealth &item = Items[member.Instance.Value];
    bool detour = onDetour(item, now);
    FloorItem floor;
    floor.Slots = member.Slots;
    floor.Badness = item.Badness + (detour ? PathBadness : 0);
    floor.Unavailable = item.Drained || item.Leaving;
    floor.WantsOut = detour || item.Verdict != VerdictState::Healthy;
    Scratch.push_back(floor);
  }
  applyFloor(Scratch, group.FloorPercent);
  for (size_t n = 0; n < Scratch.size(); ++n) {
    InstanceHealth &item = Items[group.Members[n].Instance.Value];
    settle(item, Scratch[n].Out, now);
    bool held = Scratch[n].WantsOut && !Scratch[n].Out;
    if (held && item.Use == UseState::InUse)
      item.Use = UseState::HeldByFloor;
  }
}

void HealthTable::settle(InstanceHealth &item, bool out, Instant now) {
  item.Weight = rampWeight(item.ColdSince, item.ColdUntil, now);
  item.Use = UseState::InUse;
  item.Detour = onDetour(item, now);
  if (item.Drained || item.Leaving) {
    item.Use = item.Drained ? UseState::Drained : UseState::Leaving;
    item.Weight = 0;
    return;
  }
  if (!out)
    return;
  item.Use = item.Detour ? UseState::Ejected
                         : UseOfVerdict[static_cast<size_t>(item.Verdict)];
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
  bool path = item.Detour && item.Verdict == VerdictState::Healthy;
  view.Use = item.Use;
  view.Reason = path ? EjectReason::PathFault : item.Reason;
  view.Since = path ? item.PathSince : item.Since;
  view.Until = path ? item.PathUntil : item.Until;
  view.Level = path ? item.PathLevel : item.Level;
  view.WeightPercent = item.Weight * WholePercent / FullWeight;
  view.Badness = item.Badness;
  view.Outcomes = item.Outcomes;
  view.BadOutcomes = item.BadOutcomes;
  return view;
}

} // namespace guavasail
