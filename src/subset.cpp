#include "subset.h"

#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint64_t RingPurpose = 0x72696e67;
/// Connections that a daemon wants to each instance of its subset.
constexpr uint32_t WantedLanes = 2;
/// Connections left for daemons whose view of the members differs, in percent.
constexpr uint32_t SparePercent = 10;
constexpr uint32_t WholePercent = 100;
/// Part of the sharers of an instance that are of its own zone.
constexpr uint32_t NearSharerPercent = 60;

bool live(const MemberView &members, uint32_t n) {
  return VmHandle{n} == members.Self || mayOwn(members.Vms[n]);
}

uint64_t orderOf(std::string_view name) {
  return rendezvousKey(name, RingPurpose);
}

/// \returns a value that changes with the catalog or the live members.
uint64_t signatureOf(const CatalogIndex &catalog, const MemberView &members) {
  uint64_t sum = catalog.version() * 31 + catalog.instances().size() + 1;
  for (uint32_t n = 0; n < members.Vms.size(); ++n)
    if (live(members, n))
      sum = sum * 1099511628211ULL + n + 1;
  return sum;
}

} // namespace

RingPlace ringPlace(const MemberView &members, ZoneHandle zone) {
  if (!members.Self.valid())
    return {};
  RingPlace place{0, 0};
  uint64_t own = orderOf(members.at(members.Self).Name);
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    const VmEntry &vm = members.Vms[n];
    if (!live(members, n) || (zone.valid() && vm.Zone != zone))
      continue;
    ++place.Daemons;
    place.Rank += orderOf(vm.Name) < own ? 1 : 0;
  }
  place.Daemons = std::max(place.Daemons, 1U);
  return place;
}

uint32_t ringWidth(uint32_t instances, uint32_t daemons, uint32_t sharers) {
  if (daemons <= sharers)
    return instances;
  uint64_t width = uint64_t{instances} * sharers / daemons;
  return std::max<uint32_t>(static_cast<uint32_t>(width), 1);
}

uint32_t ringSharers(uint32_t instances, uint32_t daemons, uint32_t width) {
  if (instances == 0 || width >= instances)
    return instances == 0 ? 0 : daemons;
  uint64_t even = uint64_t{width} * daemons / instances;
  return std::min<uint32_t>(static_cast<uint32_t>(even) + 1, daemons);
}

bool SubsetTable::refresh(const CatalogIndex &catalog,
                          const MemberView &members, ZoneHandle zone,
                          uint32_t laneLimit) {
  uint64_t signature = signatureOf(catalog, members);
  if (signature == Signature)
    return false;
  Signature = signature;
  AllPlace = ringPlace(members, {});
  NearPlace = ringPlace(members, zone);
  Items.assign(catalog.services().size(), {});
  for (uint32_t n = 0; n < Items.size(); ++n)
    fill(catalog, {n}, zone, laneLimit);
  return true;
}

void SubsetTable::place(const CatalogIndex &catalog,
                        const ServiceEntry &entry) {
  All.clear();
  for (InstanceHandle it : entry.Instances)
    All.push_back({orderOf(catalog.name(it)), it, catalog.at(it).Zone});
  std::sort(All.begin(), All.end(),
            [](const Placed &a, const Placed &b) { return a.Order < b.Order; });
}

void SubsetTable::takeWindow(std::span<const Placed> ring, RingPlace place,
                             uint32_t width, ServiceSubset &subset) {
  size_t start = uint64_t{place.Rank} * ring.size() / place.Daemons;
  for (uint32_t n = 0; n < width; ++n) {
    InstanceHandle it = ring[(start + n) % ring.size()].Instance;
    bool taken = std::find(subset.Instances.begin(), subset.Instances.end(),
                           it) != subset.Instances.end();
    if (!taken)
      subset.Instances.push_back(it);
  }
}

void SubsetTable::fill(const CatalogIndex &catalog, ServiceHandle service,
                       ZoneHandle zone, uint32_t laneLimit) {
  const ServiceEntry &entry = catalog.at(service);
  ServiceSubset &subset = Items[service.Value];
  if (entry.Instances.empty())
    return;
  place(catalog, entry);
  Near.clear();
  std::copy_if(All.begin(), All.end(), std::back_inserter(Near),
               [&](const Placed &it) { return it.Zone == zone; });
  uint32_t room = UINT32_MAX;
  for (InstanceHandle it : entry.Instances)
    room = std::min(room, catalog.at(it).Spec.Connections);
  room = room * (WholePercent - SparePercent) / WholePercent;
  uint32_t sharers = std::max(room / WantedLanes, 1U);
  auto nearCount = static_cast<uint32_t>(Near.size());
  auto allCount = static_cast<uint32_t>(All.size());
  uint32_t nearWidth = ringWidth(nearCount, NearPlace.Daemons,
                                 sharers * NearSharerPercent / WholePercent);
  uint32_t most = 0;
  if (nearCount > 0) {
    takeWindow(Near, NearPlace, nearWidth, subset);
    most = ringSharers(nearCount, NearPlace.Daemons, nearWidth);
  }
  uint32_t rest = sharers > most ? sharers - most : 1;
  uint32_t width = ringWidth(allCount, AllPlace.Daemons, rest);
  takeWindow(All, AllPlace, width, subset);
  most = std::min(most + ringSharers(allCount, AllPlace.Daemons, width),
                  AllPlace.Daemons);
  // Keep the catalog's order, so that equal subsets are equally used.
  std::sort(subset.Instances.begin(), subset.Instances.end());
  subset.Lanes = std::clamp(room / most, 1U, laneLimit);
}

} // namespace guavasail
