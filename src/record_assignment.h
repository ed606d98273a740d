/// \file
/// Which VMs hold which records.
#ifndef GUAVASAIL_SRC_RECORD_ASSIGNMENT_H
#define GUAVASAIL_SRC_RECORD_ASSIGNMENT_H

#include "guavasail/member.h"
#include "guavasail/record.h"

#include <span>
#include <vector>

namespace guavasail {

/// Chooses the first holders of every partition: up to `RecordReplicaCount` VMs
/// by rendezvous hashing, in different availability zones as far as there are.
/// \param vms the VMs to choose from.
/// \returns one assignment of epoch 1 for each partition.
std::vector<RecordAssignment> initialAssignments(std::span<const VmSpec> vms);

/// Replaces holders that have surely ended.
/// \param current the assignment of one partition.
/// \param partition its number.
/// \param members the VMs to choose from; `Gone` ones have surely ended.
/// \returns the next assignment, or the current one if nothing has to change.
RecordAssignment nextAssignment(const RecordAssignment &current,
                                uint32_t partition, const MemberView &members);

} // namespace guavasail

#endif
