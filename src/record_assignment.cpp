#include "record_assignment.h"

#include "name_table.h"
#include "vm_index.h"

#include <array>

namespace guavasail {

namespace {

/// Hash seed that keeps record partitions independent of other rendezvous
/// hashes.
constexpr uint64_t RecordHashSeed = 0x7265636f7264;

/// VMs that are considered for the replicas of a partition.
constexpr size_t MaxCandidates = 16;

bool isEligible(const VmEntry &vm) {
  return vm.State != VmState::Gone && vm.State != VmState::Leaving;
}

uint64_t partitionKey(uint32_t partition) {
  std::string_view bytes(reinterpret_cast<const char *>(&partition),
                         sizeof(partition));
  return rendezvousKey(bytes, RecordHashSeed);
}

/// \returns the VM whose name has the hash \p id, or an invalid handle.
VmHandle findVm(uint64_t id, const MemberView &members) {
  for (uint32_t n = 0; n < members.Vms.size(); ++n)
    if (vmId(members.Vms[n].Name) == id)
      return VmHandle{n};
  return {};
}

/// \returns true if a replica is in \p zone.
bool hasReplicaInZone(const RecordReplicaSet &set, ZoneHandle zone,
                      const MemberView &members) {
  for (uint32_t n = 0; n < set.count(); ++n) {
    VmHandle vm = findVm(set.Items[n].Vm, members);
    if (vm.valid() && members.at(vm).Zone == zone)
      return true;
  }
  return false;
}

/// Adds replicas to \p set until it is full or no VMs are left, preferring VMs
/// in zones without a replica.
void fillReplicas(RecordReplicaSet &set, uint32_t partition,
                  const MemberView &members) {
  std::array<VmHandle, MaxCandidates> buf;
  auto candidates =
      rendezvousTop(partitionKey(partition), members, isEligible, buf);
  for (bool requireNewZone : {true, false}) {
    for (VmHandle it : candidates) {
      uint32_t n = set.count();
      const VmEntry &vm = members.at(it);
      bool unusable =
          n == RecordReplicaCount || set.has(vmId(vm.Name)) ||
          (requireNewZone && hasReplicaInZone(set, vm.Zone, members));
      if (!unusable)
        set.Items[n] = {vmId(vm.Name), vm.Incarnation};
    }
  }
}

} // namespace

std::vector<RecordAssignment> initialAssignments(std::span<const VmSpec> vms) {
  NameTable<ZoneHandle> zones;
  std::vector<VmEntry> entries(vms.size());
  for (size_t n = 0; n < vms.size(); ++n) {
    entries[n].Name = vms[n].Name;
    entries[n].Zone = zones.intern(vms[n].Zone);
  }
  MemberView members{entries, {}};
  std::vector<RecordAssignment> assignments(RecordPartitions);
  for (uint32_t n = 0; n < RecordPartitions; ++n) {
    assignments[n].Epoch = 1;
    fillReplicas(assignments[n].Replicas, n, members);
  }
  return assignments;
}

RecordAssignment nextAssignment(const RecordAssignment &current,
                                uint32_t partition, const MemberView &members) {
  RecordAssignment next;
  next.Epoch = current.Epoch + 1;
  next.Previous = current.Replicas;
  for (uint32_t n = 0; n < current.Replicas.count(); ++n) {
    const RecordReplicaId &replica = current.Replicas.Items[n];
    VmHandle vm = findVm(replica.Vm, members);
    if (vm.valid() && isEligible(members.at(vm)))
      next.Replicas.Items[next.Replicas.count()] = replica;
  }
  fillReplicas(next.Replicas, partition, members);
  return next.Replicas == current.Replicas ? current : next;
}

} // namespace guavasail
