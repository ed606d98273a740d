#include "peer_link_ws.h"

#include <string>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace guavasail {

namespace {

/// The path is not used; a session is known by its authentication.
constexpr const char *SessionUri = "ws://peer/";

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

template <typename Endpoint> class Session : public PeerLinkWs {
public:
  using ConnectionPtr = typename Endpoint::connection_ptr;
  using MessagePtr = typename Endpoint::message_ptr;

  Session(Endpoint &endpoint, ConnectionPtr connection, PeerLinkSink &sink)
      : Owner(endpoint), Connection(std::move(connection)) {
    using websocketpp::connection_hdl;
    Connection->set_write_handler(
        [&sink](const connection_hdl &, const char *bytes, size_t n) {
          sink.onLinkWire({bytes, n});
          return websocketpp::lib::error_code();
        });
    Connection->set_open_handler(
        [&sink](const connection_hdl &) { sink.onLinkOpen(); });
    Connection->set_message_handler(
        [&sink](const connection_hdl &, const MessagePtr &message) {
          sink.onLinkMessage(message->get_payload());
        });
    auto closed = [&sink](const connection_hdl &) { sink.onLinkClosed(); };
    Connection->set_close_handler(closed);
    Connection->set_fail_handler(closed);
  }

  ~Session() override {
    // The library may keep the connection for its own pending handlers.
    Connection->set_write_handler(
        [](const websocketpp::connection_hdl &, const char *, size_t) {
          return websocketpp::lib::error_code();
        });
    Connection->set_open_handler(nullptr);
    Connection->set_message_handler(nullptr);
    Connection->set_close_handler(nullptr);
    Connection->set_fail_handler(nullptr);
    Connection->eof();
  }

  void start() override {
    if constexpr (std::is_same_v<Endpoint, ServerEndpoint>)
      Connection->start();
    else
      Owner.connect(Connection);
  }

  void receive(std::string_view bytes) override {
    Connection->read_all(bytes.data(), bytes.size());
  }

  bool send(std::string_view message) override {
    return !Connection->send(message.data(), message.size(),
                             websocketpp::frame::opcode::binary);
  }

private:
  Endpoint &Owner;
  ConnectionPtr Connection;
};

template <typename Endpoint>
void configure(Endpoint &endpoint, size_t maxMessageBytes) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.set_max_message_size(maxMessageBytes);
}

} // namespace

struct PeerLinkFactory::Endpoints {
  ServerEndpoint Server;
  ClientEndpoint Client;
};

PeerLinkFactory::PeerLinkFactory(size_t maxMessageBytes)
    : Shared(std::make_unique<Endpoints>()) {
  configure(Shared->Server, maxMessageBytes);
  configure(Shared->Client, maxMessageBytes);
}

PeerLinkFactory::~PeerLinkFactory() = default;

std::unique_ptr<PeerLinkWs> PeerLinkFactory::make(PeerLinkRole role,
                                                  PeerLinkSink &sink) {
  if (role == PeerLinkRole::Server)
    return std::make_unique<Session<ServerEndpoint>>(
        Shared->Server, Shared->Server.get_connection(), sink);
  websocketpp::lib::error_code ec;
  auto connection = Shared->Client.get_connection(SessionUri, ec);
  return std::make_unique<Session<ClientEndpoint>>(Shared->Client, connection,
                                                   sink);
}

} // namespace guavasail
