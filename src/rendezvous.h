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

#include <cstdint>
#include <span>
#include <string_view>

namespace guavasail {

/// \returns the key of \p name for `rendezvousOwner`. \p purpose is a hash seed
/// that separates keys of different uses.
inline uint64_t rendezvousKey(std::string_view name, uint64_t purpose) {
  return XXH3_64bits_withSeed(name.data(), name.size(), purpose);
}

/// \returns the key by which the owner of a service or a workspace is chosen,
/// apart from other owned keys.
inline uint64_t ownershipKey(uint64_t key) {
  constexpr uint64_t OwnerPurpose = 0x7461736b;
  return key ^ OwnerPurpose;
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

/// \returns true if \p vm may own keys: it is believed to be running and is not
/// leaving the fleet.
inline bool mayOwn(const VmEntry &vm) { return vm.State == VmState::Alive; }

} // namespace guavasail

#endif
