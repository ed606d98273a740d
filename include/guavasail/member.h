/// \file
/// Membership of the fleet as seen by one VM.
#ifndef GUAVASAIL_MEMBER_H
#define GUAVASAIL_MEMBER_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace guavasail {

/// State of another VM as known to this one. `Gone`: it was found
/// unreachable. `Removed`: it is no longer in the platform's list.
enum class VmState : uint8_t {
  Unknown,
  Alive,
  Suspect,
  Gone,
  Leaving,
  Removed
};

/// \returns the stable name of \p state, used in logs and answers.
std::string_view vmStateName(VmState state);

/// Failure detection strategy.
enum class MembershipKind : uint8_t {
  /// Every VM sends heartbeats to every other one.
  AllToAll,
  /// SWIM: one VM is pinged per period, indirectly through other VMs if it does
  /// not answer.
  Probing,
};

/// Address and placement of one VM.
struct VmSpec {
  std::string Name;
  /// IP address in text form.
  std::string Address;
  uint32_t PeerPort = 0;
  std::string Zone;
  std::string Region;
  /// True if the platform is about to stop the VM.
  bool Leaving = false;
  /// Incarnation of the start that registered the VM; 0 if the list has none.
  uint64_t Incarnation = 0;
  /// Processor of the VM, in percent of a core; 0 if unknown.
  uint32_t CpuPercent = 0;
};

/// One VM of the fleet. A handle stays valid for at least `GoneMemberLifetime`
/// after its VM is gone; `Generation` grows when the handle is reused.
struct VmEntry {
  std::string Name;
  std::string Address;
  uint32_t PeerPort = 0;
  ZoneHandle Zone;
  std::string Region;
  VmState State = VmState::Unknown;
  /// Grows each time the VM starts; orders the updates about it.
  uint64_t Incarnation = 0;
  /// When the last message from it arrived.
  Instant LastHeard{};
  uint32_t Generation = 0;
  /// True if it is in the latest list of the platform.
  bool Listed = false;
  /// False if the last ping succeeded only through another VM.
  bool DirectlyReachable = true;
  /// When `State` last changed.
  Instant StateChangedAt{};
  /// When the VM was last taken for running: when its state last changed from
  /// `Alive` or `Unknown` to another one; epoch if never.
  Instant AliveUntil{};
  /// Processor of the VM, in percent of a core; 0 if unknown.
  uint32_t CpuPercent = 0;
};

/// Time for which a VM that is gone keeps its handle.
inline constexpr Duration GoneMemberLifetime = std::chrono::hours(1);

/// Time without a message from any other VM after which this one may be
/// isolated.
inline constexpr Duration MemberSilenceTimeout = std::chrono::seconds(3);

/// Liveness of one availability zone.
struct ZoneEntry {
  ZoneHandle Zone;
  /// VMs that are alive, suspect or leaving.
  uint32_t Live = 0;
  /// When the last message from a VM of the zone arrived.
  Instant LastHeard{};
};

/// Read-only view of all known VMs, indexed by `VmHandle`.
struct MemberView {
  std::span<const VmEntry> Vms{};
  VmHandle Self{};
  /// VMs that are alive, suspect or leaving, without this one.
  std::span<const VmHandle> Live{};
  std::span<const ZoneEntry> Zones{};
  /// When the last message from any other VM arrived.
  Instant LastHeard{};
  /// Share of the latest pings that were answered, directly or not, in percent.
  uint32_t ReachablePercent = 100;
  /// True if another VM is known that the platform did not remove.
  bool HasPeers = false;
  /// When this VM last learned that others declared it gone; epoch if never.
  Instant DeclaredGoneAt{};
  /// True if this VM learned that the platform removed it.
  bool SelfRemoved = false;
  /// Least processor of the VMs that do work for the whole fleet.
  uint32_t MinSharedWorkCpuPercent = 0;
  /// When `MinSharedWorkCpuPercent` last changed.
  Instant SharedWorkChangedAt{};
  /// Grows with each change that may move the ownership of a key.
  uint64_t Version = 0;

  /// \returns true if \p vm has enough processor to do work for the whole
  /// fleet.
  [[nodiscard]] bool isStrong(const VmEntry &vm) const {
    return vm.CpuPercent >= MinSharedWorkCpuPercent;
  }

  [[nodiscard]] const VmEntry &at(VmHandle vm) const { return Vms[vm.Value]; }

  /// \returns true if this VM itself may be isolated: no message arrived for
  /// `MemberSilenceTimeout`, or most of its pings stay unanswered.
  [[nodiscard]] bool mayBeIsolated(Instant now) const {
    constexpr uint32_t MajorityPercent = 50;
    bool silent = now - LastHeard > MemberSilenceTimeout;
    return HasPeers && (silent || ReachablePercent < MajorityPercent);
  }
};

/// \returns true if a VM in \p state may still answer.
constexpr bool isLive(VmState state) {
  return state == VmState::Alive || state == VmState::Suspect ||
         state == VmState::Leaving;
}

} // namespace guavasail

#endif
