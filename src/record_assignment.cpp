#include "record_assignment.h"

#include "name_table.h"
#include "vm_index.h"

#include <array>

namespace guavasail {

namespace {

/// Separates record partitions from other owned things.
constexpr uint64_t RecordPurpose = 0x7265636f7264;

/// VMs that are considered for one holder.
constexpr size_t CandidateCount = 16;

bool mayHold(const VmEntry &vm) {
  return vm.State != VmState::Gone && vm.State != VmState::Leaving;
}

uint64_t partitionKey(uint32_t partition) {
  std::string_view bytes(reinterpret_cast<const char *>(&partition),
                         sizeof(partition));
  return rendezvousKey(bytes, RecordPurpose);
}

/// \returns the VM whose name has the hash \p id, invalid if it is unknown.
VmHandle findVm(uint64_t id, const MemberView &members) {
  for (uint32_t n = 0; n < members.Vms.size(); ++n)
    if (vmId(members.Vms[n].Name) == id)
      return VmHandle{n};
  return {};
}

/// \returns true if a holder is in \p zone.
bool usesZone(const RecordReplicaSet &set, ZoneHandle zone,
              const MemberView &members) {
  for (uint32_t n = 0; n < set.count(); ++n) {
    VmHandle vm = findVm(set.Items[n].Vm, members);
    if (vm.valid() && members.at(vm).Zone == zone)
      return true;
  }
  return false;
}

/// Adds holders to \p set until it is full or nobody is left. VMs in further
/// zones go first.
void fillHolders(RecordReplicaSet &set, uint32_t partition,
                 const MemberView &members) {
  std::array<VmHandle, CandidateCount> room;
  auto candidates =
      rendezvousTop(partitionKey(partition), members, mayHold, room);
  for (bool freshZone : {true, false}) {
    for (VmHandle it : candidates) {
      uint32_t n = set.count();
      const VmEntry &vm = members.at(it);
      bool taken = n == RecordReplicaCount || set.has(vmId(vm.Name)) ||
                   (freshZone && usesZone(set, vm.Zone, members));
      if (!taken)
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
    fillHolders(assignments[n].Replicas, n, members);
  }
  return assignments;
}

RecordAssignment nextAssignment(const RecordAssignment &current,
                                uint32_t partition, const MemberView &members) {
  RecordAssignment next;
  next.Epoch = current.Epoch + 1;
  next.Before = current.Replicas;
  for (uint32_t n = 0; n < current.Replicas.count(); ++n) {
    const RecordReplicaId &holder = current.Replicas.Items[n];
    VmHandle vm = findVm(holder.Vm, members);
    if (vm.valid() && mayHold(members.at(vm)))
      next.Replicas.Items[next.Replicas.count()] = holder;
  }
  fillHolders(next.Replicas, partition, members);
  return next.Replicas == current.Replicas ? current : next;
}

} // namespace guavasail
