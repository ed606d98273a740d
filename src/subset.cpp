#include "subset.h"

#include "rendezvous.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint64_t RingPurpose = 0x72696e67;
/// Target number of connections from a daemon to each instance of its subset.
constexpr uint32_t TargetLanes = 2;
/// Connections reserved for daemons whose view of the members differs.
constexpr uint32_t ReservedPercent = 10;
constexpr uint32_t FullPercent = 100;
/// Share of an instance's daemons that are in its own zone.
constexpr uint32_t ZoneSharerPercent = 60;

bool isLive(const MemberView &members, uint32_t n) {
  return VmHandle{n} == members.Self || mayOwn(members.Vms[n]);
}

uint64_t ringOrder(std::string_view name) {
  return rendezvousKey(name, RingPurpose);
}

/// \returns a hash of the catalog version and the live members.
uint64_t computeSignature(const CatalogIndex &catalog,
                          const MemberView &members) {
  uint64_t sum = catalog.version() * 31 + catalog.instances().size() + 1;
  for (uint32_t n = 0; n < members.Vms.size(); ++n)
    if (isLive(members, n))
      sum = sum * 1099511628211ULL + n + 1;
  return sum;
}

} // namespace

RingPosition ringPosition(const MemberView &members, ZoneHandle zone) {
  if (!members.Self.valid())
    return {};
  RingPosition position{0, 0};
  uint64_t ownOrder = ringOrder(members.at(members.Self).Name);
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    const VmEntry &vm = members.Vms[n];
    if (!isLive(members, n) || (zone.valid() && vm.Zone != zone))
      continue;
    ++position.Daemons;
    position.Rank += ringOrder(vm.Name) < ownOrder ? 1 : 0;
  }
  position.Daemons = std::max(position.Daemons, 1U);
  return position;
}

uint32_t subsetSize(uint32_t instances, uint32_t daemons, uint32_t sharers) {
  if (daemons <= sharers)
    return instances;
  uint64_t width = uint64_t{instances} * sharers / daemons;
  return std::max<uint32_t>(static_cast<uint32_t>(width), 1);
}

uint32_t maxSharers(uint32_t instances, uint32_t daemons, uint32_t width) {
  if (instances == 0 || width >= instances)
    return instances == 0 ? 0 : daemons;
  uint64_t even = uint64_t{width} * daemons / instances;
  return std::min<uint32_t>(static_cast<uint32_t>(even) + 1, daemons);
}

bool SubsetTable::refresh(const CatalogIndex &catalog,
                          const MemberView &members, ZoneHandle zone,
                          uint32_t laneLimit) {
  uint64_t signature = computeSignature(catalog, members);
  if (signature == Signature)
    return false;
  Signature = signature;
  GlobalPosition = ringPosition(members, {});
  ZonePosition = ringPosition(members, zone);
  Subsets.assign(catalog.services().size(), {});
  for (uint32_t n = 0; n < Subsets.size(); ++n)
    computeSubset(catalog, {n}, zone, laneLimit);
  return true;
}

void SubsetTable::buildRing(const CatalogIndex &catalog,
                            const ServiceEntry &entry) {
  GlobalRing.clear();
  for (InstanceHandle it : entry.Instances)
    GlobalRing.push_back(
        {ringOrder(catalog.name(it)), it, catalog.at(it).Zone});
  std::sort(
      GlobalRing.begin(), GlobalRing.end(),
      [](const RingEntry &a, const RingEntry &b) { return a.Order < b.Order; });
}

void SubsetTable::selectWindow(std::span<const RingEntry> ring,
                               RingPosition position, uint32_t width,
                               ServiceSubset &subset) {
  size_t start = uint64_t{position.Rank} * ring.size() / position.Daemons;
  for (uint32_t n = 0; n < width; ++n) {
    InstanceHandle it = ring[(start + n) % ring.size()].Instance;
    bool selected = std::find(subset.Instances.begin(), subset.Instances.end(),
                              it) != subset.Instances.end();
    if (!selected)
      subset.Instances.push_back(it);
  }
}

void SubsetTable::computeSubset(const CatalogIndex &catalog,
                                ServiceHandle service, ZoneHandle zone,
                                uint32_t laneLimit) {
  const ServiceEntry &entry = catalog.at(service);
  ServiceSubset &subset = Subsets[service.Value];
  if (entry.Instances.empty())
    return;
  buildRing(catalog, entry);
  ZoneRing.clear();
  std::copy_if(GlobalRing.begin(), GlobalRing.end(),
               std::back_inserter(ZoneRing),
               [&](const RingEntry &it) { return it.Zone == zone; });
  uint32_t connectionLimit = UINT32_MAX;
  for (InstanceHandle it : entry.Instances)
    connectionLimit =
        std::min(connectionLimit, catalog.at(it).Spec.Connections);
  connectionLimit =
      connectionLimit * (FullPercent - ReservedPercent) / FullPercent;
  uint32_t sharers = std::max(connectionLimit / TargetLanes, 1U);
  auto zoneCount = static_cast<uint32_t>(ZoneRing.size());
  auto globalCount = static_cast<uint32_t>(GlobalRing.size());
  uint32_t zoneWidth = subsetSize(zoneCount, ZonePosition.Daemons,
                                  sharers * ZoneSharerPercent / FullPercent);
  uint32_t sharersPerInstance = 0;
  if (zoneCount > 0) {
    selectWindow(ZoneRing, ZonePosition, zoneWidth, subset);
    sharersPerInstance = maxSharers(zoneCount, ZonePosition.Daemons, zoneWidth);
  }
  uint32_t remainingSharers =
      sharers > sharersPerInstance ? sharers - sharersPerInstance : 1;
  uint32_t width =
      subsetSize(globalCount, GlobalPosition.Daemons, remainingSharers);
  selectWindow(GlobalRing, GlobalPosition, width, subset);
  sharersPerInstance =
      std::min(sharersPerInstance +
                   maxSharers(globalCount, GlobalPosition.Daemons, width),
               GlobalPosition.Daemons);
  // Keep the catalog's order, so that equal subsets are used equally.
  std::sort(subset.Instances.begin(), subset.Instances.end());
  subset.Lanes =
      std::clamp(connectionLimit / sharersPerInstance, 1U, laneLimit);
}

} // namespace guavasail
