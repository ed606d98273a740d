/// \file
/// Finds VMs by the hash of their name, which messages carry.
#ifndef GUAVASAIL_SRC_VM_INDEX_H
#define GUAVASAIL_SRC_VM_INDEX_H

#include "guavasail/member.h"
#include "rendezvous.h"

#include <string_view>
#include <unordered_map>

namespace guavasail {

/// \returns the hash that stands for the VM called \p name in messages.
inline uint64_t vmId(std::string_view name) { return rendezvousKey(name, 0); }

/// Maps hashes of names to handles. A handle that names another VM by now is
/// looked up again.
class VmIndex {
public:
  /// \returns the VM whose name has the hash \p id, invalid if it is unknown.
  VmHandle find(uint64_t id, const MemberView &members) {
    VmHandle &known = Handles[id];
    if (names(known, id, members))
      return known;
    for (uint32_t n = 0; n < members.Vms.size(); ++n)
      if (names(VmHandle{n}, id, members))
        return known = VmHandle{n};
    return {};
  }

private:
  static bool names(VmHandle vm, uint64_t id, const MemberView &members) {
    return vm.Value < members.Vms.size() && vmId(members.at(vm).Name) == id;
  }

  std::unordered_map<uint64_t, VmHandle> Handles;
};

} // namespace guavasail

#endif
