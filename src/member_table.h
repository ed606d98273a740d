/// \file
/// Table of known VMs, and the precedence of updates about them.
#ifndef GUAVASAIL_SRC_MEMBER_TABLE_H
#define GUAVASAIL_SRC_MEMBER_TABLE_H

#include "guavasail/member.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavasail {

/// Low bits of an incarnation, which count the refutations since a start.
inline constexpr uint64_t MemberRefutationMask = (1u << 20) - 1;

/// Capacity of the table; further VMs are rejected.
inline constexpr size_t MaxMembers = 4096;

/// Flat table of VMs. Entries keep their handles until they are evicted.
class MemberTable {
public:
  /// Adds a VM or updates its address.
  /// \param spec name and address of the VM.
  /// \param zone handle of the zone in \p spec.
  /// \param now time of the state change of a new entry.
  /// \returns its handle, invalid if \p spec is invalid or the table is full.
  VmHandle addOrUpdate(const VmSpec &spec, ZoneHandle zone, Instant now);

  /// \returns the handle of \p name, invalid if the name is unknown.
  [[nodiscard]] VmHandle find(std::string_view name) const;

  /// Applies an update unless a later one is known. Updates are ordered by
  /// incarnation, then by state, so that all VMs converge independently of the
  /// order of arrival.
  /// \returns true if the entry changed.
  bool apply(VmHandle vm, VmState state, uint64_t incarnation, Instant now);

  /// Sets the state unconditionally; for strategies that do not order updates.
  void setState(VmHandle vm, VmState state, uint64_t incarnation, Instant now);

  /// Records that a message from \p vm arrived.
  void updateLastHeard(VmHandle vm, Instant now);

  /// Evicts VMs that have been gone for `GoneMemberLifetime`; their handles are
  /// reused.
  void evictExpired(Instant now);

  void setSelf(VmHandle vm) { Self = vm; }
  [[nodiscard]] VmHandle self() const { return Self; }
  [[nodiscard]] size_t size() const { return Vms.size(); }
  [[nodiscard]] bool contains(VmHandle vm) const;
  VmEntry &at(VmHandle vm) { return Vms[vm.Value]; }
  [[nodiscard]] const VmEntry &at(VmHandle vm) const { return Vms[vm.Value]; }
  [[nodiscard]] std::span<const VmHandle> live() const { return Live; }

  /// \returns the view without the fields that `Membership` fills.
  [[nodiscard]] MemberView view() const;

private:
  /// Transparent hash, for lookups by string view without a copy.
  struct NameHash {
    using is_transparent = void;
    size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>{}(name);
    }
  };

  VmHandle allocate();
  void rebuildLive();
  void updateSharedWork(Instant now);
  ZoneEntry &zoneOf(ZoneHandle zone);

  std::unordered_map<std::string, VmHandle, NameHash, std::equal_to<>> Names;
  std::vector<VmEntry> Vms;
  std::vector<VmHandle> Free;
  std::vector<VmHandle> Live;
  std::vector<ZoneEntry> Zones;
  VmHandle Self;
  Instant LastHeard{};
  uint32_t MinSharedWorkCpuPercent = 0;
  Instant SharedWorkChangedAt{};
  uint64_t Version = 0;
};

} // namespace guavasail

#endif
