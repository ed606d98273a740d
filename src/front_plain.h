/// \file
/// Callers' side over HTTP/1 without TLS.
#ifndef GUAVASAIL_SRC_FRONT_PLAIN_H
#define GUAVASAIL_SRC_FRONT_PLAIN_H

#include "back_http.h"
#include "buffer_budget.h"
#include "event_sink.h"
#include "exchange.h"
#include "front_end.h"
#include "guavasail/settings.h"
#include "http_reader.h"
#include "tcp_stream.h"

#include <memory>
#include <string>
#include <string_view>
#include <uv.h>
#include <vector>

namespace guavasail {

/// Reads callers' requests and writes their answers.
class FrontPlain : public FrontEnd, private StreamOwner {
public:
  FrontPlain(uv_loop_t &loop, const Settings &settings,
             ExchangeTable &exchanges, BackHttp &back, BufferBudget &budget,
             EventSink &sink);
  ~FrontPlain() override;

  bool open() override;
  [[nodiscard]] bool ending() const override;
  void relay(const RelayResponse &effect) override;
  void finish(const FinishResponse &effect) override;
  void abort(const AbortResponse &effect) override;
  void refuse(const RefuseRequest &effect) override;
  void replay(const ReplayResponse &effect) override;
  void answerGrew(Exchange &exchange) override;
  void answerHeld(Exchange &exchange) override;
  void bodyDrained(Exchange &exchange) override;
  void bodyWanted(Exchange &exchange) override;

  void close() override;

private:
  struct Caller;

  void onOpen(TcpStream &stream) override;
  void onBytes(TcpStream &stream, std::string_view bytes) override;
  void onDrained(TcpStream &stream) override;
  void onEnd(TcpStream &stream, StreamEnd end) override;

  static void onConnection(uv_stream_t *server, int status);
  void welcome();

  /// \returns true if there is a place for another connection.
  bool makeRoom();
  void readOn(Caller &it);
  bool readStep(Caller &it);
  void resumeReading(Caller &it);
  void readLater(Caller &it);
  static void onTurn(uv_timer_t *timer);
  bool mayRead(const Caller &it);
  void beginRequest(Caller &it);
  void takeHead(Caller &it);
  void takeArrival(Caller &it, Exchange &exchange);
  void takeBody(Caller &it, Exchange &exchange);
  void postArrival(Exchange &exchange, const RequestArrived &event);
  void refuseUnread(Caller &it, ReadFault fault);
  void refuseEarly(Exchange &exchange, RefusalKind kind);
  void pump(Exchange &exchange);
  bool writeHead(Caller &it, Exchange &exchange);
  bool writeBody(Caller &it, Exchange &exchange);
  void writeRefusal(Caller &it, Exchange &exchange);
  void endTransaction(Caller &it, Exchange &exchange, bool reuse);
  void endCaller(Caller &it, bool unread);
  static void setAbortiveClose(Caller &it, bool reset);
  void drop(Caller &it);
  void abandon(Caller &it);
  void forget(Caller &it);
  void account(Caller &it);
  void sample(Caller &it, uint64_t now);
  void shedStalled(uint64_t now);
  void sweep();
  static void onSweep(uv_timer_t *timer);
  void expectProgress(Caller &it);
  Exchange *exchangeOf(const Caller &it);
  static Caller *callerOf(const Exchange &exchange);

  uv_loop_t &Loop;
  const Settings &Config;
  ExchangeTable &Exchanges;
  BackHttp &Back;
  BufferBudget &Budget;
  EventSink &Sink;
  uv_tcp_t Listener{};
  bool Listening = false;
  std::vector<std::unique_ptr<Caller>> Callers;
  /// Callers that are disconnected, until the event that ended them is handled.
  std::vector<std::unique_ptr<Caller>> Gone;
  /// Callers whose next pipelined request is read in the loop's next turn.
  std::vector<Caller *> Later;
  uv_timer_t Turn{};
  uv_timer_t Sweep{};
  bool TimersOpen = false;
};

} // namespace guavasail

#endif
