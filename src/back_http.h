/// \file
/// Calls to backend servers over HTTP/1.
#ifndef GUAVASAIL_SRC_BACK_HTTP_H
#define GUAVASAIL_SRC_BACK_HTTP_H

#include "buffer_budget.h"
#include "event_sink.h"
#include "exchange.h"
#include "front_end.h"
#include "guavasail/catalog.h"
#include "guavasail/effect.h"
#include "guavasail/header_names.h"
#include "guavasail/limits.h"
#include "http_reader.h"
#include "tcp_stream.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace guavasail {

/// Runs attempts. Each lane is one connection, which carries one request at a
/// time, so no request queues behind another one.
class BackHttp : private StreamOwner {
public:
  BackHttp(uv_loop_t &loop, const Limits &bounds, const HeaderNames &names,
           ExchangeTable &exchanges, const BufferBudget &budget,
           EventSink &sink);
  ~BackHttp();
  BackHttp(const BackHttp &) = delete;
  BackHttp &operator=(const BackHttp &) = delete;

  /// Sets who is told of answer bytes. Must be called before `start`.
  void listen(AnswerListener &listener) { Listener = &listener; }

  /// Starts the attempt that \p effect describes.
  void start(const StartAttempt &effect, const InstanceSpec &instance);

  /// Stops an attempt. Nothing of its answer is passed on afterwards.
  void cancel(const CancelAttempt &effect);

  /// Continues reading an answer whose buffer has room again.
  void resume(BackendCall &call);

  /// The request's body grew: sends more of it.
  void bodyGrew(Exchange &exchange);

  /// Detaches all calls from an exchange that ends.
  void release(Exchange &exchange);

  /// Closes all connections.
  void close();

private:
  struct Connection;

  void onOpen(TcpStream &stream) override;
  void onBytes(TcpStream &stream, std::string_view bytes) override;
  void onDrained(TcpStream &stream) override;
  void onEnd(TcpStream &stream, StreamEnd end) override;

  Connection &lane(const StartAttempt &effect, const InstanceSpec &instance,
                   const Exchange &exchange);
  void beginRead(Connection &it);
  void sendHead(Connection &it);
  std::string requestHead(const Connection &it, const Exchange &exchange) const;
  void sendBody(Connection &it);
  void readOn(Connection &it);
  bool takeHead(Connection &it, Exchange &exchange);
  [[nodiscard]] bool isForeign(const Connection &it,
                               const Exchange &exchange) const;
  [[nodiscard]] bool isGenuine(const MessageHead &head,
                               const Exchange &exchange) const;
  void takeBody(Connection &it, Exchange &exchange);
  static bool skipBody(Connection &it);
  void postAnswered(Connection &it);
  void complete(Connection &it, Exchange &exchange);
  void keepOrClose(Connection &it, bool requestSent);
  void fail(Connection &it, AttemptFault fault);
  void detach(BackendCall &call);
  void drop(Connection &it);

  uv_loop_t &Loop;
  const Limits &Bounds;
  const HeaderNames &Names;
  ExchangeTable &Exchanges;
  const BufferBudget &Budget;
  EventSink &Sink;
  AnswerListener *Listener = nullptr;
  /// By instance and lane.
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> Lanes;
};

} // namespace guavasail

#endif
