#include "member_table.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace guavasail {

std::string_view vmStateName(VmState state) {
  static constexpr std::string_view Names[] = {"unknown", "alive",   "suspect",
                                               "gone",    "leaving", "removed"};
  return Names[static_cast<size_t>(state)];
}

namespace {

constexpr size_t MaxNameBytes = 64;
/// VMs that do the work for the whole fleet: at least these, and as many more
/// as have half of the processor of the last of them.
constexpr size_t MinStrongVms = 2;
constexpr size_t VmsPerStrongVm = 64;

/// Precedence of each state among updates of the same incarnation.
constexpr std::array<uint8_t, 6> StateRanks = {0, 1, 3, 4, 2, 5};

using UpdatePrecedence = std::pair<uint64_t, uint8_t>;

UpdatePrecedence precedenceOf(VmState state, uint64_t incarnation) {
  // A removed VM rejoins only with the incarnation of a new start.
  if (state == VmState::Removed)
    incarnation |= MemberRefutationMask;
  return {incarnation, StateRanks[static_cast<size_t>(state)]};
}

bool isGoneOrRemoved(VmState state) {
  return state == VmState::Gone || state == VmState::Removed;
}

/// \returns true if a VM in \p state has not been found unreachable.
bool mayRun(VmState state) {
  return state == VmState::Alive || state == VmState::Unknown;
}

bool isUsable(const VmSpec &spec) {
  return !spec.Name.empty() && spec.Name.size() <= MaxNameBytes &&
         spec.Address.size() <= MaxNameBytes &&
         spec.Zone.size() <= MaxNameBytes && spec.Region.size() <= MaxNameBytes;
}

} // namespace

VmHandle MemberTable::addOrUpdate(const VmSpec &spec, ZoneHandle zone,
                                  Instant now) {
  if (!isUsable(spec))
    return {};
  auto it = Names.find(spec.Name);
  VmHandle vm = it == Names.end() ? allocate() : it->second;
  if (!vm.valid())
    return vm;
  VmEntry &entry = Vms[vm.Value];
  if (it == Names.end()) {
    uint32_t generation = entry.Generation + 1;
    entry = VmEntry{};
    entry.Name = spec.Name;
    entry.Generation = generation;
    entry.StateChangedAt = now;
    Names.emplace(spec.Name, vm);
  }
  entry.Address = spec.Address;
  entry.PeerPort = spec.PeerPort;
  entry.Zone = zone;
  entry.Region = spec.Region;
  bool changed = entry.CpuPercent != spec.CpuPercent;
  entry.CpuPercent = spec.CpuPercent;
  if (changed || it == Names.end()) {
    ++Version;
    updateSharedWork(now);
  }
  return vm;
}

VmHandle MemberTable::allocate() {
  if (!Free.empty()) {
    VmHandle vm = Free.back();
    Free.pop_back();
    return vm;
  }
  if (Vms.size() == MaxMembers)
    return {};
  Vms.emplace_back();
  return {static_cast<uint32_t>(Vms.size() - 1)};
}

VmHandle MemberTable::find(std::string_view name) const {
  auto it = Names.find(name);
  return it == Names.end() ? VmHandle{} : it->second;
}

bool MemberTable::contains(VmHandle vm) const {
  return vm.Value < Vms.size() && !Vms[vm.Value].Name.empty();
}

bool MemberTable::apply(VmHandle vm, VmState state, uint64_t incarnation,
                        Instant now) {
  const VmEntry &entry = Vms[vm.Value];
  if (precedenceOf(state, incarnation) <=
      precedenceOf(entry.State, entry.Incarnation))
    return false;
  setState(vm, state, incarnation, now);
  return true;
}

void MemberTable::setState(VmHandle vm, VmState state, uint64_t incarnation,
                           Instant now) {
  VmEntry &entry = Vms[vm.Value];
  VmState before = entry.State;
  bool changed = before != state;
  entry.State = state;
  entry.Incarnation = incarnation;
  if (!changed)
    return;
  if (mayRun(before))
    entry.AliveUntil = now;
  ++Version;
  entry.StateChangedAt = now;
  rebuildLive();
  if (before == VmState::Removed || state == VmState::Removed)
    updateSharedWork(now);
}

void MemberTable::updateLastHeard(VmHandle vm, Instant now) {
  if (!contains(vm))
    return;
  Vms[vm.Value].LastHeard = now;
  zoneOf(Vms[vm.Value].Zone).LastHeard = now;
  LastHeard = now;
}

void MemberTable::evictExpired(Instant now) {
  for (uint32_t n = 0; n < Vms.size(); ++n) {
    VmEntry &entry = Vms[n];
    bool old = !entry.Name.empty() && isGoneOrRemoved(entry.State) &&
               !entry.Listed &&
               now - entry.StateChangedAt >= GoneMemberLifetime;
    if (!old || VmHandle{n} == Self)
      continue;
    Names.erase(entry.Name);
    entry.Name.clear();
    Free.push_back({n});
  }
}

ZoneEntry &MemberTable::zoneOf(ZoneHandle zone) {
  auto it =
      std::find_if(Zones.begin(), Zones.end(),
                   [&](const ZoneEntry &entry) { return entry.Zone == zone; });
  return it == Zones.end() ? Zones.emplace_back(ZoneEntry{zone}) : *it;
}

void MemberTable::updateSharedWork(Instant now) {
  std::vector<uint32_t> shares;
  for (const VmEntry &it : Vms)
    if (!it.Name.empty() && it.State != VmState::Removed)
      shares.push_back(it.CpuPercent);
  uint32_t least = 0;
  size_t count = std::max(MinStrongVms, shares.size() / VmsPerStrongVm);
  if (shares.size() > count) {
    auto last = shares.begin() + static_cast<std::ptrdiff_t>(count) - 1;
    std::nth_element(shares.begin(), last, shares.end(), std::greater<>());
    least = *last / 2;
  }
  if (least == MinSharedWorkCpuPercent)
    return;
  MinSharedWorkCpuPercent = least;
  SharedWorkChangedAt = now;
}

void MemberTable::rebuildLive() {
  Live.clear();
  for (ZoneEntry &zone : Zones)
    zone.Live = 0;
  for (uint32_t n = 0; n < Vms.size(); ++n) {
    if (Vms[n].Name.empty() || !isLive(Vms[n].State))
      continue;
    ++zoneOf(Vms[n].Zone).Live;
    if (VmHandle{n} != Self)
      Live.push_back({n});
  }
}

MemberView MemberTable::view() const {
  MemberView view;
  view.Vms = Vms;
  view.Self = Self;
  view.Live = Live;
  view.Zones = Zones;
  view.LastHeard = LastHeard;
  view.MinSharedWorkCpuPercent = MinSharedWorkCpuPercent;
  view.SharedWorkChangedAt = SharedWorkChangedAt;
  view.Version = Version;
  return view;
}

} // namespace guavasail
