/// \file
/// Requests to the platform's store by the HTTP library's client.
#ifndef GUAVASAIL_SRC_STORE_HTTP_H
#define GUAVASAIL_SRC_STORE_HTTP_H

#include "event_sink.h"
#include "guavasail/settings.h"
#include "guavasail/store.h"

#include <cstdint>
#include <deque>
#include <libwebsockets.h>
#include <string>
#include <string_view>

namespace guavasail {

/// Runs requests to the store, each over its own connection. Every request is
/// answered by one `StoreReplied`.
class StoreHttp {
public:
  /// \param context of the HTTP library.
  /// \param settings address of the store and its token.
  /// \param sink receives the replies.
  StoreHttp(lws_context *context, const StoreSettings &settings,
            EventSink &sink);

  void start(const StoreRead &request);
  void start(const StoreWrite &request);
  void start(const StoreWatch &request);

  /// Frees the values of replies that were reduced.
  void recycle() { Values.clear(); }

  /// Entry of the HTTP library.
  static int callback(lws *wsi, lws_callback_reasons reason, void *user,
                      void *in, size_t len);

private:
  struct Call;
  using Handler = int (StoreHttp::*)(Call &call, lws *wsi, void *in,
                                     size_t len);
  struct Row {
    lws_callback_reasons Reason;
    Handler Handle;
  };
  static const Row Rows[];

  void connect(Call *call);
  int onAppendHead(Call &call, lws *wsi, void *in, size_t len);
  int onWritable(Call &call, lws *wsi, void *in, size_t len);
  int onEstablished(Call &call, lws *wsi, void *in, size_t len);
  int onReceive(Call &call, lws *wsi, void *in, size_t len);
  int onReceiveBytes(Call &call, lws *wsi, void *in, size_t len);
  int onCompleted(Call &call, lws *wsi, void *in, size_t len);
  int onDestroy(Call &call, lws *wsi, void *in, size_t len);
  void finish(Call &call, StoreOutcome outcome);

  lws_context *Context;
  lws_vhost *Host = nullptr;
  StoreSettings Config;
  EventSink &Sink;
  /// Values of replies that wait for the reducer.
  std::deque<StoreValue> Values;
};

} // namespace guavasail

#endif
