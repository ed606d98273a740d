/// \file
/// Known VMs of the fleet.
#ifndef GUAVASAIL_SRC_MEMBER_TABLE_H
#define GUAVASAIL_SRC_MEMBER_TABLE_H

#include "guavasail/member.h"
#include "name_table.h"

#include <vector>

namespace guavasail {

/// Flat table of VMs. Entries keep their handles.
class MemberTable {
public:
  /// Notes that a message came from \p vm.
  void hear(VmHandle vm, Instant now) {
    if (vm.Value < Vms.size())
      Vms[vm.Value].LastHeard = now;
  }

  [[nodiscard]] MemberView view() const { return {Vms, Self}; }

private:
  NameTable<VmHandle> Names;
  std::vector<VmEntry> Vms;
  VmHandle Self;
};

} // namespace guavasail

#endif
