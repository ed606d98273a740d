/// \file
/// Calls to backend servers by the HTTP library's client.
#ifndef GUAVASAIL_SRC_BACK_HTTP_H
#define GUAVASAIL_SRC_BACK_HTTP_H

#include "event_sink.h"
#include "exchange.h"
#include "guavasail/catalog.h"
#include "guavasail/effect.h"
#include "guavasail/limits.h"

#include <deque>
#include <libwebsockets.h>
#include <string>
#include <vector>

namespace guavasail {

/// Told when a call's answer has more bytes.
class AnswerListener {
public:
  virtual void answerGrew(Exchange &exchange) = 0;
  /// More room for the request's body is available.
  virtual void bodyDrained(Exchange &exchange) = 0;
  /// An attempt starts and will need the request's body.
  virtual void bodyWanted(Exchange &exchange) = 0;

protected:
  ~AnswerListener() = default;
};

/// Runs attempts. Each lane is a virtual host of the HTTP library, whose
/// connections are matched within a virtual host only: so a request never
/// queues behind another one on the same connection.
class BackHttp {
public:
  BackHttp(lws_context *context, const Limits &bounds, ExchangeTable &exchanges,
           EventSink &sink);

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

  /// Entry of the HTTP library.
  static int callback(lws *wsi, lws_callback_reasons reason, void *user,
                      void *in, size_t len);

private:
  struct LaneUse;
  using Handler = int (BackHttp::*)(LaneUse &use, lws *wsi, void *in,
                                    size_t len);
  struct Row {
    lws_callback_reasons Reason;
    Handler Handle;
  };
  static const Row Rows[];

  int onAppendHead(LaneUse &use, lws *wsi, void *in, size_t len);
  int onWritable(LaneUse &use, lws *wsi, void *in, size_t len);
  int onEstablished(LaneUse &use, lws *wsi, void *in, size_t len);
  int onReceive(LaneUse &use, lws *wsi, void *in, size_t len);
  int onReceiveBytes(LaneUse &use, lws *wsi, void *in, size_t len);
  int onCompleted(LaneUse &use, lws *wsi, void *in, size_t len);
  int onConnectError(LaneUse &use, lws *wsi, void *in, size_t len);
  int onDestroy(LaneUse &use, lws *wsi, void *in, size_t len);

  static bool isWhole(const LaneUse &use, const Exchange &exchange);
  lws_vhost *lane(Lane lane);
  void postFailure(const LaneUse &use);
  void finishUse(LaneUse &use);
  void detach(BackendCall &call);

  lws_context *Context;
  Limits Bounds;
  ExchangeTable &Exchanges;
  EventSink &Sink;
  AnswerListener *Listener = nullptr;
  std::vector<lws_vhost *> Lanes;
  /// A deque, so that the names stay in place.
  std::deque<std::string> LaneNames;
};

} // namespace guavasail

#endif
