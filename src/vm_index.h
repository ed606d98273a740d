/// \file
/// Finds VMs by the hash of their name, which identifies them in messages.
#ifndef GUAVASAIL_SRC_VM_INDEX_H
#define GUAVASAIL_SRC_VM_INDEX_H

#include "guavasail/member.h"
#include "rendezvous.h"

#include <string_view>
#include <unordered_map>

namespace guavasail {

/// \returns the hash that identifies the VM named \p name in messages.
inline uint64_t vmId(std::string_view name) { return rendezvousKey(name, 0); }

/// Caches the handles of VMs by the hash of their name. A cached handle that
/// refers to another VM now is looked up again.
class VmIndex {
public:
  /// \returns the VM whose name has the hash \p id, invalid if it is unknown.
  VmHandle find(uint64_t id, const MemberView &members) {
    VmHandle &known = Handles[id];
    if (isNamed(known, id, members))
      return known;
    for (uint32_t n = 0; n < members.Vms.size(); ++n)
      if (isNamed(VmHandle{n}, id, members))
        return known = VmHandle{n};
    return {};
  }

private:
  static bool isNamed(VmHandle vm, uint64_t id, const MemberView &members) {
    return vm.Value < members.Vms.size() && vmId(members.at(vm).Name) == id;
  }

  std::unordered_map<uint64_t, VmHandle> Handles;
};

} // namespace guavasail

#endif
