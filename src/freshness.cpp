#include "freshness.h"

#include <algorithm>

namespace guavasail {

void measureReach(const MemberView &members, ZoneHandle self, Instant now,
                  FleetReach &reach) {
  reach.Zones.clear();
  if (self.valid())
    reach.Zones.push_back(self);
  uint32_t listed = 1;
  uint32_t alive = 1;
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    const VmEntry &vm = members.Vms[n];
    if (members.Self.Value == n || !isListed(vm))
      continue;
    ++listed;
    alive += vm.State == VmState::Alive ? 1 : 0;
    auto &zones = reach.Zones;
    if (std::find(zones.begin(), zones.end(), vm.Zone) == zones.end())
      zones.push_back(vm.Zone);
  }
  reach.InMajority = alive * 2 > listed && !members.mayBeIsolated(now);
}

void Freshness::confirm(const FreshMark &mark) {
  learnVersion(mark.Version);
  if (mark.covers(InForce) && mark.At > CurrentMark.At)
    CurrentMark = mark;
  // A newer mark of the same version replaces those that cover no other one.
  std::erase_if(Marks, [&](const FreshMark &it) {
    return it.Version == mark.Version && it.Revision >= mark.Revision &&
           it.At <= mark.At;
  });
  auto at = std::upper_bound(
      Marks.begin(), Marks.end(), mark.At,
      [](Instant time, const FreshMark &it) { return time < it.At; });
  Marks.insert(at, mark);
  if (Marks.size() > MaxMarks)
    Marks.erase(Marks.begin());
}

void Freshness::learnVersion(uint64_t version) {
  Newest = std::max(Newest, version);
}

void Freshness::adopt(uint64_t version) {
  InForce = version;
  learnVersion(version);
  auto newest =
      std::find_if(Marks.rbegin(), Marks.rend(),
                   [&](const FreshMark &it) { return it.covers(version); });
  CurrentMark = newest == Marks.rend() ? FreshMark{} : *newest;
}

void Freshness::noteStoreOutage(ZoneHandle zone, Instant at) {
  if (OutageByZone.size() <= zone.Value)
    OutageByZone.resize(zone.Value + 1, Instant::min());
  OutageByZone[zone.Value] = std::max(OutageByZone[zone.Value], at);
}

Instant Freshness::storeOutageAt(ZoneHandle zone) const {
  return zone.Value < OutageByZone.size() ? OutageByZone[zone.Value]
                                          : Instant::min();
}

FreshState Freshness::evaluate(Instant now, const FleetReach &reach) const {
  if (recent(CurrentMark.At, now))
    return FreshState::Confirmed;
  if (Newest > InForce)
    return FreshState::Behind;
  auto away = std::count_if(
      reach.Zones.begin(), reach.Zones.end(),
      [&](ZoneHandle zone) { return recent(storeOutageAt(zone), now); });
  bool mostZones = static_cast<size_t>(away) * 2 > reach.Zones.size();
  return Bounds.AdmitDuringOutage && mostZones && reach.InMajority
             ? FreshState::StoreAway
             : FreshState::CutOff;
}

} // namespace guavasail
