/// \file
/// Assignment of record partitions to VMs.
#ifndef GUAVASAIL_SRC_RECORD_ASSIGNMENT_H
#define GUAVASAIL_SRC_RECORD_ASSIGNMENT_H

#include "guavasail/member.h"
#include "guavasail/record.h"

#include <span>
#include <vector>

namespace guavasail {

/// Chooses the initial replicas of all partitions: up to `RecordReplicaCount`
/// VMs each, by rendezvous hashing, in different availability zones if
/// possible. \param vms candidate VMs. \returns one assignment of epoch 1 for
/// each partition.
std::vector<RecordAssignment> initialAssignments(std::span<const VmSpec> vms);

/// Replaces replicas that have stopped for good or are leaving.
/// \param current the assignment of one partition.
/// \param partition its number.
/// \param members candidate VMs; `Gone` and `Leaving` ones are not eligible.
/// \returns the next assignment, or \p current if its replicas can stay.
RecordAssignment nextAssignment(const RecordAssignment &current,
                                uint32_t partition, const MemberView &members);

} // namespace guavasail

#endif
