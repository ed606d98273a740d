/// \file
/// One WebSocket session between two daemons, by websocketpp, without a
/// socket: wire bytes go in and out. The header keeps to C++17, because the
/// library does not compile as C++20.
#ifndef GUAVASAIL_SRC_PEER_LINK_WS_H
#define GUAVASAIL_SRC_PEER_LINK_WS_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace guavasail {

enum class PeerLinkRole : uint8_t { Client, Server };

/// Receives what a session yields. Views are valid during the call.
class PeerLinkSink {
public:
  /// The WebSocket handshake is complete.
  virtual void onLinkOpen() = 0;
  /// \p bytes have to be written to the socket.
  virtual void onLinkWire(std::string_view bytes) = 0;
  /// The other side sent a whole message.
  virtual void onLinkMessage(std::string_view message) = 0;
  /// The session failed or was closed; nothing else follows.
  virtual void onLinkClosed() = 0;

protected:
  ~PeerLinkSink() = default;
};

/// A session. The owner must not destroy it during a call to its sink.
class PeerLinkWs {
public:
  PeerLinkWs() = default;
  virtual ~PeerLinkWs() = default;
  PeerLinkWs(const PeerLinkWs &) = delete;
  PeerLinkWs &operator=(const PeerLinkWs &) = delete;

  /// Starts the handshake.
  virtual void start() = 0;
  /// Takes bytes that were read from the socket.
  virtual void receive(std::string_view bytes) = 0;
  /// Sends one binary message.
  /// \returns false if the session is not open.
  virtual bool send(std::string_view message) = 0;
};

/// Makes sessions that share the library's state.
class PeerLinkFactory {
public:
  /// \param maxMessageBytes longer messages end a session.
  explicit PeerLinkFactory(size_t maxMessageBytes);
  ~PeerLinkFactory();
  PeerLinkFactory(const PeerLinkFactory &) = delete;
  PeerLinkFactory &operator=(const PeerLinkFactory &) = delete;

  /// \param role side of the handshake.
  /// \param sink receives what the session yields; it has to outlive it.
  /// \returns a session that has not started.
  std::unique_ptr<PeerLinkWs> make(PeerLinkRole role, PeerLinkSink &sink);

private:
  struct Endpoints;
  std::unique_ptr<Endpoints> Shared;
};

} // namespace guavasail

#endif
