/// \file
/// Rendezvous (highest random weight) hashing over the known VMs: all VMs that
/// see the same members compute the same owner, and removing a VM moves only
/// the keys that it owned.
#ifndef GUAVASAIL_SRC_RENDEZVOUS_H
#define GUAVASAIL_SRC_RENDEZVOUS_H

#include "guavasail/handle.h"
#include "guavasail/member.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <span>
#include <string_view>

namespace guavasail {

/// \returns the key of \p name for `rendezvousOwner`. \p purpose is a hash seed
/// that separates keys of different uses.
inline uint64_t rendezvousKey(std::string_view name, uint64_t purpose) {
  return XXH3_64bits_withSeed(name.data(), name.size(), purpose);
}

/// \returns the weight of the VM called \p vmName for \p key.
inline uint64_t rendezvousWeight(uint64_t key, std::string_view vmName) {
  return XXH3_64bits_withSeed(vmName.data(), vmName.size(), key);
}

/// Finds the VMs with the greatest weights for a key. Equal weights are
/// ordered by handle.
/// \param key key of what is owned, see `rendezvousKey`.
/// \param members the known VMs.
/// \param eligible called with a `VmEntry`; only VMs for which it returns true
/// are considered.
/// \param out receives the VMs, the greatest weight first.
/// \returns the filled part of \p out, shorter than it if fewer VMs qualify.
template <typename Predicate>
std::span<VmHandle> rendezvousTop(uint64_t key, const MemberView &members,
                                  const Predicate &eligible,
                                  std::span<VmHandle> out) {
  size_t filled = 0;
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    const VmEntry &vm = members.Vms[n];
    if (!eligible(vm))
      continue;
    uint64_t weight = rendezvousWeight(key, vm.Name);
    size_t position = filled;
    while (position > 0 &&
           rendezvousWeight(key, members.at(out[position - 1]).Name) < weight)
      --position;
    if (position == out.size())
      continue;
    if (filled < out.size())
      ++filled;
    for (size_t it = filled - 1; it > position; --it)
      out[it] = out[it - 1];
    out[position] = VmHandle{n};
  }
  return out.first(filled);
}

/// Finds the VM with the greatest weight for a key.
/// \param key key of what is owned, see `rendezvousKey`.
/// \param members the known VMs.
/// \param eligible called with a `VmEntry`; only VMs for which it returns true
/// are considered.
/// \returns the owner, invalid if no VM is eligible.
template <typename Predicate>
VmHandle rendezvousOwner(uint64_t key, const MemberView &members,
                         const Predicate &eligible) {
  VmHandle owner;
  uint64_t best = 0;
  for (uint32_t n = 0; n < members.Vms.size(); ++n) {
    const VmEntry &vm = members.Vms[n];
    if (!eligible(vm))
      continue;
    uint64_t weight = rendezvousWeight(key, vm.Name);
    if (owner.valid() && weight <= best)
      continue;
    owner = VmHandle{n};
    best = weight;
  }
  return owner;
}

/// How a VM stands among the possible owners of a key.
struct OwnerStanding {
  /// VMs that precede this one and may be running; 0 if this VM is the owner.
  uint32_t Preceding = 0;
  /// Since when no VM that precedes this one can have acted as the owner.
  Instant OnlySince{};

  /// \returns true if this VM may act as the only owner.
  [[nodiscard]] bool isOwner(Instant now) const {
    return Preceding == 0 && now >= OnlySince;
  }
};

/// Finds how the view's own VM stands among the possible owners of a key.
/// Strong VMs precede weak ones, then greater weights precede smaller ones.
/// \param key key of what is owned, see `rendezvousKey`.
/// \param members the known VMs; `Self` has to be valid.
inline OwnerStanding ownerStanding(uint64_t key, const MemberView &members) {
  OwnerStanding standing;
  standing.OnlySince = members.SharedWorkChangedAt;
  const VmEntry &self = members.at(members.Self);
  bool selfStrong = members.isStrong(self);
  uint64_t selfWeight = rendezvousWeight(key, self.Name);
  for (const VmEntry &vm : members.Vms) {
    if (vm.Name.empty() || &vm == &self)
      continue;
    bool strong = members.isStrong(vm);
    bool precedes = strong == selfStrong
                        ? rendezvousWeight(key, vm.Name) > selfWeight
                        : strong;
    if (!precedes)
      continue;
    // A VM that has not been heard of yet may be running.
    bool mayRun = vm.State == VmState::Alive || vm.State == VmState::Unknown;
    standing.Preceding += mayRun ? 1 : 0;
    standing.OnlySince = std::max(standing.OnlySince, vm.AliveUntil);
  }
  return standing;
}

/// \returns true if \p vm may own keys: it is believed to be running and is not
/// leaving the fleet.
inline bool mayOwn(const VmEntry &vm) { return vm.State == VmState::Alive; }

} // namespace guavasail

#endif
