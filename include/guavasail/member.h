/// \file
/// The VMs of the fleet as one VM sees them.
#ifndef GUAVASAIL_MEMBER_H
#define GUAVASAIL_MEMBER_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <span>
#include <string>

namespace guavasail {

/// What this VM believes of another one.
enum class VmState : uint8_t { Unknown, Alive, Suspect, Gone, Leaving };

/// One VM of the fleet.
struct VmEntry {
  std::string Name;
  std::string Address;
  uint32_t PeerPort = 0;
  ZoneHandle Zone;
  std::string Region;
  VmState State = VmState::Unknown;
  /// Grows each time the VM starts; orders what is said about it.
  uint64_t Incarnation = 0;
  /// When this VM last heard from it.
  Instant LastHeard{};
};

/// A view of all known VMs, indexed by `VmHandle`.
struct MemberView {
  std::span<const VmEntry> Vms;
  VmHandle Self;

  [[nodiscard]] const VmEntry &at(VmHandle vm) const { return Vms[vm.Value]; }
};

} // namespace guavasail

#endif
