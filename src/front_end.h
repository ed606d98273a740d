/// \file
/// What the process shell asks of a front end.
#ifndef GUAVASAIL_SRC_FRONT_END_H
#define GUAVASAIL_SRC_FRONT_END_H

#include "exchange.h"
#include "guavasail/effect.h"

#include <string_view>

namespace guavasail {

/// What the balancer in front of the VMs is told.
enum class ServingState : uint8_t {
  /// There is no configuration yet.
  Starting,
  Ready,
  /// The configuration cannot be confirmed, so requests with keys are refused.
  Unconfirmed,
  Draining,
};

/// \returns the stable name of \p state.
std::string_view servingStateName(ServingState state);

/// What was done about callers outside the limits, since the start.
struct CallerStats {
  /// Open connections of callers.
  uint64_t Connections = 0;
  /// Disconnected because they held memory without progress.
  uint64_t Stalled = 0;
  /// Disconnected in favour of new ones, with a request head not whole.
  uint64_t Displaced = 0;
  /// Connections not accepted.
  uint64_t NotAccepted = 0;
  /// Requests refused because buffers have no room.
  uint64_t RefusedForMemory = 0;
};

/// Time after which a caller whose request found no room may send it again:
/// callers that block memory are disconnected within about this time.
inline constexpr Duration RoomRetryAfter = std::chrono::seconds(2);

/// Told when a call's answer has more bytes.
class AnswerListener {
public:
  virtual void answerGrew(Exchange &exchange) = 0;
  /// More of an answer is buffered that is not passed on yet.
  virtual void answerHeld(Exchange &exchange) = 0;
  /// More room for the request's body is available.
  virtual void bodyDrained(Exchange &exchange) = 0;
  /// An attempt starts and will need the request's body.
  virtual void bodyWanted(Exchange &exchange) = 0;

protected:
  ~AnswerListener() = default;
};

/// Reads callers' requests and writes their answers.
class FrontEnd : public AnswerListener {
public:
  virtual ~FrontEnd() = default;

  /// Opens the listening sockets.
  /// \returns false if an address cannot be used.
  virtual bool open() = 0;

  /// Sets whether connections end with their answers.
  void setServing(ServingState state) { Serving = state; }

  /// \returns counters for the metrics.
  [[nodiscard]] const CallerStats &callerStats() const { return Stats; }

  /// Closes what keeps the loop alive, before the loop runs out.
  virtual void close() {}

  /// \returns true while an answer's last bytes are on their way.
  [[nodiscard]] virtual bool ending() const = 0;

  virtual void relay(const RelayResponse &effect) = 0;
  virtual void finish(const FinishResponse &effect) = 0;
  virtual void abort(const AbortResponse &effect) = 0;
  virtual void refuse(const RefuseRequest &effect) = 0;
  virtual void replay(const ReplayResponse &effect) = 0;

protected:
  ServingState Serving = ServingState::Starting;
  CallerStats Stats;
};

} // namespace guavasail

#endif
