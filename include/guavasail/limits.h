/// \file
/// Limits and capabilities of one daemon.
#ifndef GUAVASAIL_LIMITS_H
#define GUAVASAIL_LIMITS_H

#include "guavasail/clock.h"

#include <cstdint>

namespace guavasail {

/// Most connections that one VM holds to one instance.
inline constexpr uint32_t MaxLanes = 64;

/// Bounds that one daemon keeps. All have defaults; settings may narrow them.
struct Limits {
  /// Requests in progress, over all callers.
  uint32_t Requests = 4096;
  /// Open caller connections.
  uint32_t CallerConnections = 2048;
  /// Header bytes of one request, including the request line.
  uint32_t HeaderBytes = 16 * 1024;
  /// Body bytes of one request.
  uint64_t BodyBytes = 64ull * 1024 * 1024;
  /// Body bytes kept so that an idempotent request can be sent again.
  uint32_t ReplayBytes = 64 * 1024;
  /// Bytes of an answer held for a caller that reads slowly.
  uint32_t AnswerBufferBytes = 256 * 1024;
  /// Connections to one instance, at most 64.
  uint32_t LanesPerInstance = 16;
  /// Attempts for one request, the first included.
  uint32_t Attempts = 3;
  /// Time within which a caller has to send a whole head or the next body part.
  Duration CallerIdle = std::chrono::seconds(20);
  /// Time to set up a connection to an instance.
  Duration Connect = std::chrono::milliseconds(500);
  /// Time for which an unused connection to an instance is kept.
  Duration LaneIdle = std::chrono::seconds(30);
  /// An answer that fits into `AnswerBufferBytes` is passed on when it is
  /// whole, so that a broken one can be replaced by another attempt's.
  bool HoldAnswers = false;
  /// Time for which a VM that drains takes new requests: until the balancer in
  /// front has seen that it is not ready.
  Duration DrainAccept{};
};

} // namespace guavasail

#endif
