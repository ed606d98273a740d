/// \file
/// Known VMs of the fleet and the order of what is said about them.
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

/// Low bits of an incarnation that count refutations within one start.
inline constexpr uint64_t MemberRefutationMask = (1u << 20) - 1;

/// Most VMs that are remembered; further ones are refused.
inline constexpr size_t MaxMembers = 4096;

/// Flat table of VMs. Entries keep their handles until they are forgotten.
class MemberTable {
public:
  /// Adds a VM or renews its address.
  /// \param spec where the VM is found.
  /// \param zone handle of the zone in \p spec.
  /// \param now used to keep the handle of a VM that is gone.
  /// \returns its handle, invalid if the name is unusable or the table full.
  VmHandle intern(const VmSpec &spec, ZoneHandle zone, Instant now);

  /// \returns the handle of \p name, invalid if the name is unknown.
  [[nodiscard]] VmHandle find(std::string_view name) const;

  /// Takes over a statement unless a later one is known. Statements are
  /// ordered by incarnation, then by state, so that all VMs agree whatever
  /// the order of arrival.
  /// \returns true if the entry changed.
  bool apply(VmHandle vm, VmState state, uint64_t incarnation, Instant now);

  /// Sets the state without comparing; for strategies without incarnations.
  void force(VmHandle vm, VmState state, uint64_t incarnation, Instant now);

  /// Notes that a message came from \p vm.
  void hear(VmHandle vm, Instant now);

  /// Forgets VMs that are gone for long, so that their handles name others.
  void forgetOld(Instant now);

  void setSelf(VmHandle vm) { Self = vm; }
  [[nodiscard]] VmHandle self() const { return Self; }
  [[nodiscard]] size_t size() const { return Vms.size(); }
  [[nodiscard]] bool contains(VmHandle vm) const;
  VmEntry &at(VmHandle vm) { return Vms[vm.Value]; }
  [[nodiscard]] const VmEntry &at(VmHandle vm) const { return Vms[vm.Value]; }
  [[nodiscard]] std::span<const VmHandle> live() const { return Live; }

  /// \returns the table's part of the view.
  [[nodiscard]] MemberView view() const;

private:
  /// Hashes names without a copy for lookups by view.
  struct NameHash {
    using is_transparent = void;
    size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>{}(name);
    }
  };

  VmHandle allocate();
  void rebuildLive();
  ZoneEntry &zoneOf(ZoneHandle zone);

  std::unordered_map<std::string, VmHandle, NameHash, std::equal_to<>> Names;
  std::vector<VmEntry> Vms;
  std::vector<VmHandle> Free;
  std::vector<VmHandle> Live;
  std::vector<ZoneEntry> Zones;
  VmHandle Self;
  Instant LastHeard{};
};

} // namespace guavasail

#endif
