/// \file
/// Times and bounds of the membership part.
#ifndef GUAVASAIL_SRC_MEMBER_TIMES_H
#define GUAVASAIL_SRC_MEMBER_TIMES_H

#include "guavasail/clock.h"

#include <cstddef>
#include <cstdint>

namespace guavasail {

/// One VM is pinged per period.
inline constexpr Duration ProbePeriod = std::chrono::seconds(1);
/// Time for a direct answer, the set-up of a link included.
inline constexpr Duration DirectTimeout = std::chrono::milliseconds(350);
/// Time that a helper gives the VM that it pings for another one.
inline constexpr Duration RelayTimeout = std::chrono::milliseconds(350);
/// Time to refute a suspicion, times the magnitude of the fleet.
inline constexpr Duration SuspicionBase = std::chrono::seconds(3);
/// Silence after which the all-to-all strategy believes a VM gone.
inline constexpr Duration HeartbeatLimit = std::chrono::seconds(5);
/// Lateness of a timer from which on this VM must have been paused.
inline constexpr Duration PauseLimit = std::chrono::seconds(1);
/// Time between looks for VMs to forget.
inline constexpr Duration ForgetPeriod = std::chrono::minutes(1);
/// VMs that are asked to ping one that did not answer.
inline constexpr size_t Helpers = 3;
/// Pings in progress on behalf of others.
inline constexpr size_t MaxRelays = 32;
/// Updates in one message.
inline constexpr size_t MaxUpdates = 6;
/// Further updates in an answer to a VM that has just started.
inline constexpr size_t JoinUpdates = 32;
/// Periods after its start in which a VM asks for further updates.
inline constexpr uint64_t JoinPeriods = 16;
/// Every such period a VM that is gone is pinged, so that healed partitions
/// are found.
inline constexpr uint64_t GonePeriods = 5;
inline constexpr uint32_t MaxStrain = 4;
inline constexpr uint32_t PauseStrain = 2;
/// Pings that `MemberView::ReachablePercent` covers.
inline constexpr uint32_t ProbeWindow = 16;

} // namespace guavasail

#endif
