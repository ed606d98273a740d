/// \file
/// Timeouts, intervals and limits of the membership protocol.
#ifndef GUAVASAIL_SRC_MEMBER_TIMES_H
#define GUAVASAIL_SRC_MEMBER_TIMES_H

#include "guavasail/clock.h"

#include <cstddef>
#include <cstdint>

namespace guavasail {

/// Protocol period; one VM is pinged per period.
inline constexpr Duration ProbeInterval = std::chrono::seconds(1);
/// Timeout of a direct ping, including connection setup.
inline constexpr Duration DirectPingTimeout = std::chrono::milliseconds(350);
/// Timeout of a ping that a helper sends on behalf of another VM.
inline constexpr Duration RelayTimeout = std::chrono::milliseconds(350);
/// Time to refute a suspicion; multiplied by the decimal logarithm of the
/// fleet size, rounded up.
inline constexpr Duration BaseSuspicionTimeout = std::chrono::seconds(3);
/// Time without a heartbeat after which the all-to-all strategy declares a VM
/// gone.
inline constexpr Duration HeartbeatTimeout = std::chrono::seconds(5);
/// Timer lateness beyond which this VM is considered to have been paused.
inline constexpr Duration PauseThreshold = std::chrono::seconds(1);
/// Interval between evictions of VMs that have been gone for long.
inline constexpr Duration EvictionInterval = std::chrono::minutes(1);
/// VMs asked to ping a VM that did not answer a direct ping.
inline constexpr size_t MaxHelpers = 3;
/// Concurrent pings on behalf of other VMs.
inline constexpr size_t MaxRelays = 32;
/// Gossiped updates per message.
inline constexpr size_t MaxGossipUpdates = 6;
/// Additional updates in an acknowledgement to a VM that has just started.
inline constexpr size_t MaxJoinUpdates = 32;
/// Periods after its start in which a VM requests additional updates.
inline constexpr uint64_t JoinPeriods = 16;
/// Number of periods between pings of a VM that is gone, which detect that a
/// network partition has healed.
inline constexpr uint64_t GoneProbePeriods = 5;
/// Limit of the local health penalty.
inline constexpr uint32_t MaxHealthPenalty = 4;
/// Added to the local health penalty after a pause of this VM.
inline constexpr uint32_t PauseHealthPenalty = 2;
/// Number of latest pings covered by `MemberView::ReachablePercent`.
inline constexpr uint32_t ProbeWindow = 16;

} // namespace guavasail

#endif
