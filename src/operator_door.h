/// \file
/// Listening sockets for the balancer and the operators, apart from the one for
/// callers: readiness, health and metrics of this VM.
#ifndef GUAVASAIL_SRC_OPERATOR_DOOR_H
#define GUAVASAIL_SRC_OPERATOR_DOOR_H

#include "front_end.h"
#include "guavasail/settings.h"
#include "tcp_stream.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// Answers HTTP requests about this VM. A connection carries one request at a
/// time; it ends if another one comes before the answer.
class OperatorDoors : private StreamOwner {
public:
  /// \param metrics returns the counters as text.
  OperatorDoors(uv_loop_t &loop, const Settings &settings,
                std::function<std::string()> metrics);
  ~OperatorDoors();
  OperatorDoors(const OperatorDoors &) = delete;
  OperatorDoors &operator=(const OperatorDoors &) = delete;

  /// Opens the listening sockets that have a port.
  /// \returns false if an address cannot be used.
  bool open();

  /// Closes what keeps the loop alive.
  void close();

  /// Sets what the health endpoints say.
  /// \param reason why the VM is not ready, empty if it is.
  void setServing(ServingState state, std::string_view reason) {
    Serving = state;
    ServingReason = reason;
  }

private:
  struct Answer {
    uint32_t Status = 0;
    std::string Text;
  };
  /// A listening socket and what answers there.
  struct Door {
    Answer (OperatorDoors::*Handle)(std::string_view path) const = nullptr;
    OperatorDoors *Owner = nullptr;
    uv_tcp_t Listener{};
    bool Open = false;
  };
  struct Connection;

  void onOpen(TcpStream &) override {}
  void onBytes(TcpStream &stream, std::string_view bytes) override;
  void onDrained(TcpStream &) override {}
  void onEnd(TcpStream &stream, StreamEnd end) override;

  static void onConnection(uv_stream_t *server, int status);
  bool openDoor(Door &door, const std::string &address, uint32_t port);
  void welcome(const Door &door);
  void expectProgress(TcpStream &stream) const;
  void forget(const Connection &it);
  [[nodiscard]] Answer answerReady(std::string_view path) const;
  [[nodiscard]] Answer answerMetrics(std::string_view path) const;

  uv_loop_t &Loop;
  const Settings &Config;
  std::function<std::string()> Metrics;
  ServingState Serving = ServingState::Starting;
  std::string_view ServingReason;
  std::array<Door, 2> Doors{};
  /// Oldest first.
  std::vector<std::unique_ptr<Connection>> Connections;
};

} // namespace guavasail

#endif
