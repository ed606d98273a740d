/// \file
/// Raw callers of the real binary, with TLS or without.
#ifndef GUAVASAIL_TESTS_SECURE_WIRE_H
#define GUAVASAIL_TESTS_SECURE_WIRE_H

#include "edge_harness.h"

#include <memory>
#include <string>
#include <string_view>

namespace guavasail {

/// \returns options of a daemon with a certificate that was made for this run.
/// \param limits lines of the [limits] table.
EdgeOptions secureOptions(std::string limits = {});

/// One connection to a daemon. All waits are bounded.
class CallerWire {
public:
  CallerWire(const EdgeDaemon &daemon, bool secure)
      : CallerWire(daemon.dial(), secure) {}
  CallerWire(Wire socket, bool secure);
  ~CallerWire();
  CallerWire(const CallerWire &) = delete;
  CallerWire &operator=(const CallerWire &) = delete;

  void send(std::string_view bytes);
  /// Waits for bytes and appends them to `Received`.
  /// \returns false if the connection ended or the bound passed.
  bool receive();
  void readToEnd();

  std::string Received;
  bool Ended = false;
  /// It ended without a reset. Over TLS the end need not be announced: callers
  /// differ in whether they ask for that.
  bool EndedInOrder = false;

private:
  struct Session;

  Wire Socket;
  std::unique_ptr<Session> Tls;
};

} // namespace guavasail

#endif
