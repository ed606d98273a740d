/// \file
/// The VMs of the fleet as one VM sees them.
#ifndef GUAVASAIL_MEMBER_H
#define GUAVASAIL_MEMBER_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace guavasail {

/// What this VM believes of another one. `Gone` means that VMs found it
/// unreachable; `Removed` means that the platform's list dropped it.
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

/// How the state of other VMs is found out.
enum class MembershipKind : uint8_t {
  /// Every VM sends to every other one.
  AllToAll,
  /// One VM is pinged per period, through others if it does not answer.
  Probing,
};

/// Where one VM is found.
struct VmSpec {
  std::string Name;
  /// IP number in text form.
  std::string Address;
  uint32_t PeerPort = 0;
  std::string Zone;
  std::string Region;
  /// The platform is about to stop it.
  bool Leaving = false;
  /// Of the start that entered itself in the list; 0 if the list does not say.
  uint64_t Incarnation = 0;
};

/// One VM of the fleet. A handle stays valid for at least `MemberForgetAfter`
/// once its VM is gone; `Generation` grows when the handle names another VM.
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
  uint32_t Generation = 0;
  /// True if the latest list of the platform names it.
  bool Listed = false;
  /// False if the last ping came through only by way of another VM.
  bool DirectPath = true;
  /// When `State` last changed.
  Instant Changed{};
};

/// How long a VM that is gone keeps its handle.
inline constexpr Duration MemberForgetAfter = std::chrono::hours(1);

/// Silence from every other VM after which this one may be cut off.
inline constexpr Duration MemberSilenceLimit = std::chrono::seconds(3);

/// What is known of one availability zone.
struct ZoneEntry {
  ZoneHandle Zone;
  /// VMs that are alive, suspect or leaving.
  uint32_t Live = 0;
  /// When any VM of the zone was last heard from.
  Instant LastHeard{};
};

/// A view of all known VMs, indexed by `VmHandle`.
struct MemberView {
  std::span<const VmEntry> Vms{};
  VmHandle Self{};
  /// VMs that are alive, suspect or leaving, without this one.
  std::span<const VmHandle> Live{};
  std::span<const ZoneEntry> Zones{};
  /// When any other VM was last heard from.
  Instant LastHeard{};
  /// Share of the latest pings that were answered, directly or not, in percent.
  uint32_t ReachablePercent = 100;
  /// True if another VM is known that the platform did not remove.
  bool HasPeers = false;
  /// When this VM last learned that others believed it gone; epoch if never.
  Instant ThoughtGone{};
  /// True if this VM heard that the platform removed it.
  bool SelfRemoved = false;

  [[nodiscard]] const VmEntry &at(VmHandle vm) const { return Vms[vm.Value]; }

  /// \returns true if this VM may be the one that is cut off: it heard from
  /// nobody for a while, or most of its pings stay unanswered.
  [[nodiscard]] bool mayBeIsolated(Instant now) const {
    constexpr uint32_t MajorityPercent = 50;
    bool silent = now - LastHeard > MemberSilenceLimit;
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
