/// \file
/// Callers' side over TLS: the HTTP library's server.
#ifndef GUAVASAIL_SRC_FRONT_HTTP_H
#define GUAVASAIL_SRC_FRONT_HTTP_H

#include "back_http.h"
#include "buffer_budget.h"
#include "event_sink.h"
#include "exchange.h"
#include "front_end.h"
#include "guavasail/effect.h"
#include "guavasail/limits.h"
#include "guavasail/settings.h"

#include <libwebsockets.h>
#include <string_view>

namespace guavasail {

/// Reads callers' requests and writes their answers.
class FrontHttp : public FrontEnd {
public:
  FrontHttp(lws_context *context, const Settings &settings,
            ExchangeTable &exchanges, BackHttp &back, BufferBudget &budget,
            EventSink &sink);

  bool open() override;

  [[nodiscard]] bool ending() const override { return Ending > 0; }

  void relay(const RelayResponse &effect) override;
  void finish(const FinishResponse &effect) override;
  void abort(const AbortResponse &effect) override;
  void refuse(const RefuseRequest &effect) override;
  void replay(const ReplayResponse &effect) override;

  void answerGrew(Exchange &exchange) override;
  void answerHeld(Exchange &exchange) override;
  void bodyDrained(Exchange &exchange) override;
  void bodyWanted(Exchange &exchange) override;

  /// Entry of the HTTP library.
  static int callback(lws *wsi, lws_callback_reasons reason, void *user,
                      void *in, size_t len);

private:
  using Handler = int (FrontHttp::*)(lws *wsi, std::string_view in);
  struct Row {
    lws_callback_reasons Reason;
    Handler Handle;
  };
  static const Row Rows[];

  int onRequest(lws *wsi, std::string_view path);
  int onBody(lws *wsi, std::string_view bytes);
  int onBodyWhole(lws *wsi, std::string_view);
  int onWritable(lws *wsi, std::string_view);
  int onClosed(lws *wsi, std::string_view);

  int onAccept(lws *wsi, std::string_view);
  int onConnected(lws *wsi, std::string_view);
  int onDestroy(lws *wsi, std::string_view);

  [[nodiscard]] int idleSeconds() const;
  /// Closes the connection unless bytes move within the idle time.
  void expectProgress(lws *wsi) const;
  void postArrival(const Exchange &exchange, RequestArrived event);
  int refuseEarly(lws *wsi, Exchange &exchange, RefusalKind kind);
  int writeHead(Exchange &exchange);
  int writeBody(Exchange &exchange);
  int endWritten(Exchange &exchange);
  int breakOff(const Exchange &exchange);
  int writeRefusal(Exchange &exchange);
  int endTransaction(Exchange &exchange, bool reuse);
  Exchange *exchangeOf(lws *wsi);
  void wantWrite(Exchange &exchange);
  void account(Exchange &exchange);

  lws_context *Context;
  const Settings &Config;
  ExchangeTable &Exchanges;
  BackHttp &Back;
  BufferBudget &Budget;
  EventSink &Sink;
  uint32_t Connections = 0;
  /// Connections of a draining daemon that send their last bytes.
  uint32_t Ending = 0;
};

} // namespace guavasail

#endif
