/// \file
/// Limits and capabilities of one daemon.
#ifndef GUAVASAIL_LIMITS_H
#define GUAVASAIL_LIMITS_H

#include "guavasail/clock.h"

#include <cstdint>

namespace guavasail {

/// Upper bound of the connections from one VM to one instance.
inline constexpr uint32_t MaxLanes = 64;

/// Resource limits of one daemon, which settings may override.
struct Limits {
  /// Requests in progress of all callers.
  uint32_t Requests = 4096;
  /// Open caller connections.
  uint32_t MaxCallerConnections = 2048;
  /// Header bytes of one request, including the request line.
  uint32_t MaxHeaderBytes = 16 * 1024;
  /// Body bytes of one request.
  uint64_t BodyBytes = 64ull * 1024 * 1024;
  /// Body bytes buffered so that the request can be retried.
  uint32_t MaxReplayBytes = 64 * 1024;
  /// Response bytes buffered for a slow caller.
  uint32_t MaxResponseBufferBytes = 256 * 1024;
  /// Connections to one instance, at most `MaxLanes`.
  uint32_t MaxLanesPerInstance = 16;
  /// Memory of the VM in megabytes, from which the budget of buffered bytes is
  /// derived; 0 for no budget.
  uint32_t MemoryMegabytes = 0;
  /// File descriptors that the process may have; 0 if they bound nothing.
  uint32_t FileDescriptors = 0;
  /// Attempts for one request, including the first.
  uint32_t Attempts = 3;
  /// Time within which a caller has to send a complete head or the next part
  /// of the body.
  Duration CallerIdleTimeout = std::chrono::seconds(20);
  /// Time to establish a connection to an instance.
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Time for which an idle connection to an instance stays open.
  Duration LaneIdleTimeout = std::chrono::seconds(30);
  /// Relays a response that fits into `MaxResponseBufferBytes` only when it is
  /// complete, so that a truncated one can be retried.
  bool BufferResponses = false;
  /// Time for which a draining VM still accepts requests, until the load
  /// balancer in front of it has seen the failed readiness check.
  Duration DrainAcceptPeriod{};
  /// Longest time for which a VM that has just started holds requests until it
  /// has a confirmed configuration; zero refuses them at once.
  Duration StartHold{};
  /// Time after which the platform ends a draining VM by force; zero if it
  /// waits.
  Duration DrainGracePeriod{};
};

} // namespace guavasail

#endif
