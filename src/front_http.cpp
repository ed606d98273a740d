#include "front_http.h"

#include "http_headers.h"
#include "http_refusal.h"
#include "http_request.h"
#include "log.h"
#include "request_head.h"
#include "tcp_stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <sys/socket.h>

namespace guavasail {

namespace {

constexpr size_t HeadBytes = 16 * 1024;
constexpr size_t ChunkBytes = 16 * 1024;
/// Room for the size line and the line end of an HTTP/1.1 chunk.
constexpr size_t ChunkFrameBytes = 16;
constexpr size_t BodyBufferBytes = 128 * 1024;
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

const lws_protocols FrontProtocols[] = {
    {"http", &FrontHttp::callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

/// Marks a connection that only has to send what is left.
void *const EndingMark =
    reinterpret_cast<void *>(std::numeric_limits<uintptr_t>::max());

void *packHandle(RequestHandle handle) {
  uint64_t packed = (uint64_t{handle.Generation} << 32) | handle.Index;
  return reinterpret_cast<void *>(packed);
}

/// \returns the handle in \p packed. Generations start at 1, so null is none.
RequestHandle unpackHandle(void *packed) {
  auto value = reinterpret_cast<uint64_t>(packed);
  return {static_cast<uint32_t>(value), static_cast<uint32_t>(value >> 32)};
}

/// A head under construction.
class HeadWriter {
public:
  explicit HeadWriter(lws *wsi) : Wsi(wsi) {}

  bool status(uint32_t code) {
    return lws_add_http_header_status(Wsi, code, &At, end()) == 0;
  }
  bool length(uint64_t n) {
    return lws_add_http_header_content_length(Wsi, n, &At, end()) == 0;
  }
  bool field(std::string_view name, std::string_view value) {
    HeaderField row{std::string(name), std::string(value)};
    return fields({&row, 1});
  }
  bool fields(std::span<const HeaderField> rows) {
    return writeFields(Wsi, rows, &At, end());
  }
  bool send() {
    return lws_finalize_write_http_header(Wsi, Buffer.data() + LWS_PRE, &At,
                                          end()) == 0;
  }

private:
  unsigned char *end() { return Buffer.data() + Buffer.size(); }

  lws *Wsi;
  std::array<unsigned char, LWS_PRE + HeadBytes> Buffer;
  unsigned char *At = Buffer.data() + LWS_PRE;
};

lws *callerOf(const Exchange &exchange) {
  return static_cast<lws *>(exchange.Caller);
}

bool isHttp2(lws *wsi) { return lws_get_network_wsi(wsi) != wsi; }

/// Resets a connection at once, before TLS can announce an orderly end.
void resetSocket(int fd) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (::connect(fd, &none, sizeof(none)) != 0)
    logLine(LogLevel::Warning, "caller-not-reset",
            {{"error", static_cast<int64_t>(errno)}});
}

/// Resets the connection however it closes, or lets it end in order again.
void setCallerReset(lws *wsi, bool reset) {
  if (int error = setAbortiveClose(lws_get_socket_fd(wsi), reset))
    logLine(LogLevel::Warning, "caller-not-reset",
            {{"error", static_cast<int64_t>(error)}});
}

/// Bounds what the system holds of a connection, in each direction.
void boundSocket(int fd) {
  int size = SocketBufferBytes;
  if (setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size)) != 0 ||
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)) != 0)
    logLine(LogLevel::Warning, "socket-buffers-unbounded",
            {{"error", static_cast<int64_t>(errno)}});
}

/// Sends body bytes, the last ones with \p mode `LWS_WRITE_HTTP_FINAL`.
bool sendBody(lws *wsi, std::string_view bytes, lws_write_protocol mode) {
  std::array<unsigned char, LWS_PRE + ChunkBytes + ChunkFrameBytes> buf;
  std::copy(bytes.begin(), bytes.end(), buf.data() + LWS_PRE);
  return lws_write(wsi, buf.data() + LWS_PRE, bytes.size(), mode) >= 0;
}

} // namespace

const FrontHttp::Row FrontHttp::Rows[] = {
    {LWS_CALLBACK_HTTP, &FrontHttp::onRequest},
    {LWS_CALLBACK_HTTP_BODY, &FrontHttp::onBody},
    {LWS_CALLBACK_HTTP_BODY_COMPLETION, &FrontHttp::onBodyWhole},
    {LWS_CALLBACK_HTTP_WRITEABLE, &FrontHttp::onWritable},
    {LWS_CALLBACK_CLOSED_HTTP, &FrontHttp::onClosed},
    {LWS_CALLBACK_FILTER_NETWORK_CONNECTION, &FrontHttp::onAccept},
    {LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED, &FrontHttp::onConnected},
    {LWS_CALLBACK_WSI_DESTROY, &FrontHttp::onDestroy},
};

FrontHttp::FrontHttp(lws_context *context, const Settings &settings,
                     ExchangeTable &exchanges, BackHttp &back,
                     BufferBudget &budget, EventSink &sink)
    : Context(context), Config(settings), Exchanges(exchanges), Back(back),
      Budget(budget), Sink(sink) {}

bool FrontHttp::open() {
  const DaemonSettings &daemon = Config.Daemon;
  lws_context_creation_info info{};
  info.vhost_name = "callers";
  info.iface = daemon.ListenAddress.c_str();
  info.port = static_cast<int>(daemon.ListenPort);
  info.protocols = FrontProtocols;
  info.user = this;
  info.keepalive_timeout = idleSeconds();
  info.timeout_secs_ah_idle = static_cast<unsigned>(idleSeconds());
  info.options = LWS_SERVER_OPTION_H2_JUST_FIX_WINDOW_UPDATE_OVERFLOW |
                 LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  if (!daemon.TlsCertificate.empty()) {
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.ssl_cert_filepath = daemon.TlsCertificate.c_str();
    info.ssl_private_key_filepath = daemon.TlsKey.c_str();
  }
  return lws_create_vhost(Context, &info) != nullptr;
}

int FrontHttp::idleSeconds() const {
  return static_cast<int>(
      std::chrono::ceil<std::chrono::seconds>(Config.Bounds.CallerIdleTimeout)
          .count());
}

void FrontHttp::expectProgress(lws *wsi) const {
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, idleSeconds());
}

int FrontHttp::onAccept(lws *, std::string_view) {
  if (Connections < maxCallers(Config.Bounds))
    return 0;
  ++Stats.NotAccepted;
  logLine(LogLevel::Warning, "caller-closed", {{"reason", "connections"}});
  return 1;
}

int FrontHttp::onConnected(lws *wsi, std::string_view) {
  Stats.Connections = ++Connections;
  if (Budget.bounded())
    boundSocket(lws_get_socket_fd(wsi));
  expectProgress(wsi);
  return 0;
}

int FrontHttp::onDestroy(lws *wsi, std::string_view) {
  if (lws_get_opaque_user_data(wsi) == EndingMark)
    --Ending;
  if (!isHttp2(wsi) && Connections > 0)
    Stats.Connections = --Connections;
  return 0;
}

int FrontHttp::callback(lws *wsi, lws_callback_reasons reason, void *user,
                        void *in, size_t len) {
  lws_vhost *vhost = wsi ? lws_get_vhost(wsi) : nullptr;
  auto *self =
      vhost ? static_cast<FrontHttp *>(lws_get_vhost_user(vhost)) : nullptr;
  for (const Row &row : Rows)
    if (self && row.Reason == reason)
      return (self->*row.Handle)(wsi, {static_cast<const char *>(in), len});
  return lws_callback_http_dummy(wsi, reason, user, in, len);
}

Exchange *FrontHttp::exchangeOf(lws *wsi) {
  return Exchanges.find(unpackHandle(lws_get_opaque_user_data(wsi)));
}

/// Counts what is buffered for a request.
void FrontHttp::account(Exchange &exchange) {
  if (Budget.bounded())
    Budget.charge(exchange.Buffers, exchange.bufferedBytes());
}

void FrontHttp::wantWrite(Exchange &exchange) {
  if (exchange.Caller)
    lws_callback_on_writable(callerOf(exchange));
}

int FrontHttp::onRequest(lws *wsi, std::string_view path) {
  Exchange &exchange = Exchanges.open();
  exchange.Caller = wsi;
  lws_set_opaque_user_data(wsi, packHandle(exchange.Handle));
  RequestArrived event;
  if (auto fault = parseRequest(wsi, path, Config.Bounds, exchange, event))
    return refuseEarly(wsi, exchange, *fault);
  if (Exchanges.openCount() > Config.Bounds.Requests || Budget.tight()) {
    Stats.RefusedForMemory += Budget.tight() ? 1 : 0;
    exchange.RetryAfter = RoomRetryAfter;
    return refuseEarly(wsi, exchange, RefusalKind::Overloaded);
  }
  exchange.KeepAnswer = mayClaimRecord(event, Config);
  bool hold = exchange.KeepAnswer && event.BodyBytes > 0 &&
              event.BodyBytes <= Config.Bounds.MaxReplayBytes;
  if (hold)
    exchange.Held = event;
  else
    postArrival(exchange, event);
  if (exchange.BodyBytes > 0)
    expectProgress(wsi);
  return 0;
}

void FrontHttp::postArrival(const Exchange &exchange, RequestArrived event) {
  event.Fingerprint = requestFingerprint(exchange);
  Sink.post(event);
}

int FrontHttp::refuseEarly(lws *, Exchange &exchange, RefusalKind kind) {
  exchange.Stage = AnswerStage::Refusal;
  exchange.Refusal = kind;
  wantWrite(exchange);
  return 0;
}

int FrontHttp::onBody(lws *wsi, std::string_view bytes) {
  Exchange *exchange = exchangeOf(wsi);
  if (!exchange || exchange->Stage == AnswerStage::Refusal)
    return 0;
  exchange->Body.append(bytes);
  if (exchange->Body.size() > BodyBufferBytes && !exchange->BodyPaused) {
    exchange->BodyPaused = true;
    lws_rx_flow_control(wsi, 0);
  }
  bool wait =
      !exchange->BodyPaused && exchange->receivedBytes() < exchange->BodyBytes;
  if (wait)
    expectProgress(wsi);
  else
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  Back.bodyGrew(*exchange);
  account(*exchange);
  return 0;
}

int FrontHttp::onBodyWhole(lws *wsi, std::string_view) {
  Exchange *exchange = exchangeOf(wsi);
  if (exchange && exchange->Held) {
    postArrival(*exchange, *exchange->Held);
    exchange->Held.reset();
  }
  return 0;
}

void FrontHttp::bodyDrained(Exchange &exchange) {
  bool resume = exchange.BodyPaused && exchange.Caller &&
                exchange.Body.size() <= BodyBufferBytes / 2;
  if (!resume)
    return;
  exchange.BodyPaused = false;
  lws_rx_flow_control(callerOf(exchange), 1);
  if (exchange.receivedBytes() < exchange.BodyBytes)
    expectProgress(callerOf(exchange));
}

void FrontHttp::bodyWanted(Exchange &exchange) {
  if (!exchange.ExpectsContinue || !exchange.Caller)
    return;
  exchange.ExpectsContinue = false;
  if (isHttp2(callerOf(exchange)))
    return;
  std::array<unsigned char, LWS_PRE + ContinueLine.size()> buf;
  std::copy(ContinueLine.begin(), ContinueLine.end(), buf.data() + LWS_PRE);
  lws_write(callerOf(exchange), buf.data() + LWS_PRE, ContinueLine.size(),
            LWS_WRITE_HTTP_HEADERS);
}

int FrontHttp::onClosed(lws *wsi, std::string_view) {
  Exchange *exchange = exchangeOf(wsi);
  if (!exchange)
    return 0;
  lws_set_opaque_user_data(wsi, nullptr);
  exchange->Caller = nullptr;
  Budget.charge(exchange->Buffers, 0);
  Sink.post(CallerDisconnected{exchange->Handle});
  Back.release(*exchange);
  Exchanges.close(*exchange);
  return 0;
}

void FrontHttp::relay(const RelayResponse &effect) {
  Exchange *exchange = Exchanges.find(effect.Attempt.Request);
  if (!exchange)
    return;
  exchange->Source = exchange->call(effect.Attempt);
  exchange->Stage = AnswerStage::Head;
  wantWrite(*exchange);
}

void FrontHttp::finish(const FinishResponse &effect) {
  if (Exchange *exchange = Exchanges.find(effect.Request)) {
    exchange->AnswerWhole = true;
    wantWrite(*exchange);
  }
}

void FrontHttp::abort(const AbortResponse &effect) {
  if (Exchange *exchange = Exchanges.find(effect.Request)) {
    exchange->Stage = AnswerStage::Broken;
    wantWrite(*exchange);
  }
}

void FrontHttp::refuse(const RefuseRequest &effect) {
  Exchange *exchange = Exchanges.find(effect.Request);
  if (!exchange)
    return;
  exchange->Refusal = effect.Kind;
  exchange->RetryAfter = effect.RetryAfter;
  exchange->Stage = AnswerStage::Refusal;
  wantWrite(*exchange);
}

void FrontHttp::replay(const ReplayResponse &effect) {
  Exchange *exchange = Exchanges.find(effect.Request);
  if (!exchange || !takeKeptAnswer(*exchange, effect.Answer))
    return refuse({effect.Request, RefusalKind::AnswerNotKept, {}});
  wantWrite(*exchange);
}

void FrontHttp::answerGrew(Exchange &exchange) {
  if (exchange.Stage == AnswerStage::Body)
    wantWrite(exchange);
  answerHeld(exchange);
}

void FrontHttp::answerHeld(Exchange &exchange) {
  // A caller that is gone holds nothing.
  if (exchange.Caller)
    account(exchange);
}

int FrontHttp::onWritable(lws *wsi, std::string_view) {
  Exchange *exchange = exchangeOf(wsi);
  if (!exchange)
    return 0;
  switch (exchange->Stage) {
  case AnswerStage::Waiting:
    return 0;
  case AnswerStage::Head:
    return writeHead(*exchange);
  case AnswerStage::Body:
    return writeBody(*exchange);
  case AnswerStage::Written:
    return endWritten(*exchange);
  case AnswerStage::Broken:
    return breakOff(*exchange);
  case AnswerStage::Refusal:
    return writeRefusal(*exchange);
  }
  return 0;
}

int FrontHttp::writeHead(Exchange &exchange) {
  const AnswerHead &answer = exchange.Source->Head;
  lws *wsi = callerOf(exchange);
  HeadWriter head(wsi);
  bool ok = head.status(answer.Status) && head.fields(answer.Fields);
  bool bodyless =
      exchange.Method == "HEAD" || answer.Status == 204 || answer.Status == 304;
  exchange.frameAnswer(bodyless, isHttp2(wsi));
  if (exchange.AnswerUntilClose)
    setCallerReset(wsi, true);
  if (answer.Length)
    ok = ok && head.length(*answer.Length);
  if (exchange.AnswerChunked)
    ok = ok && head.field("transfer-encoding:", "chunked");
  bool last = exchange.LastOnConnection || Serving == ServingState::Draining;
  if (last && !isHttp2(wsi))
    ok = ok && head.field("connection:", "close");
  if (!ok || !head.send())
    return -1;
  exchange.Stage = AnswerStage::Body;
  if (!lws_send_pipe_choked(wsi))
    return writeBody(exchange);
  wantWrite(exchange);
  return 0;
}

int FrontHttp::writeBody(Exchange &exchange) {
  BackendCall &call = *exchange.Source;
  std::string_view rest = call.Answer.unread();
  std::string_view part = rest.substr(0, std::min(rest.size(), ChunkBytes));
  bool last = exchange.AnswerWhole && part.size() == rest.size();
  if (part.empty() && !last)
    return 0;
  lws_write_protocol mode = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  bool sent = exchange.AnswerChunked
                  ? sendBody(callerOf(exchange), frameChunk(part, last), mode)
                  : sendBody(callerOf(exchange), part, mode);
  if (!sent)
    return -1;
  call.Answer.consume(part.size());
  account(exchange);
  if (last && !exchange.AnswerUntilClose)
    return endTransaction(exchange, !exchange.LastOnConnection);
  expectProgress(callerOf(exchange));
  if (last) {
    exchange.Stage = AnswerStage::Written;
    wantWrite(exchange);
    return 0;
  }
  Back.resume(call);
  if (!call.Answer.unread().empty() || exchange.AnswerWhole)
    wantWrite(exchange);
  return 0;
}

/// Ends an answer that only the end of the connection ends. The library calls
/// back once the system has taken all bytes.
int FrontHttp::endWritten(Exchange &exchange) {
  setCallerReset(callerOf(exchange), false);
  return endTransaction(exchange, false);
}

int FrontHttp::breakOff(const Exchange &exchange) {
  // Only a reset shows for certain that the answer is not whole.
  lws *wsi = callerOf(exchange);
  if (!isHttp2(wsi))
    resetSocket(lws_get_socket_fd(wsi));
  return -1;
}

int FrontHttp::writeRefusal(Exchange &exchange) {
  uint32_t status = refusalStatus(exchange.Refusal);
  std::string text = problemDocument(exchange.Refusal, requestId(exchange));
  logRefusal(exchange);
  bool reuse = !exchange.FramingInDoubt && !exchange.LastOnConnection &&
               Serving != ServingState::Draining &&
               exchange.receivedBytes() >= exchange.BodyBytes;
  HeadWriter head(callerOf(exchange));
  bool ok = head.status(status) &&
            head.field("content-type:", "application/problem+json") &&
            head.length(text.size());
  if (exchange.RetryAfter > Duration::zero())
    ok = ok &&
         head.field("retry-after:", retryAfterText(exchange.RetryAfter, false));
  if (!reuse && !isHttp2(callerOf(exchange)))
    ok = ok && head.field("connection:", "close");
  std::string_view body = text;
  if (exchange.Method == "HEAD")
    body = {};
  ok = ok && head.send() &&
       sendBody(callerOf(exchange), body, LWS_WRITE_HTTP_FINAL);
  if (!ok)
    return -1;
  return endTransaction(exchange, reuse);
}

int FrontHttp::endTransaction(Exchange &exchange, bool reuse) {
  lws *wsi = callerOf(exchange);
  lws_set_opaque_user_data(wsi, nullptr);
  Budget.charge(exchange.Buffers, 0);
  Back.release(exchange);
  Exchanges.close(exchange);
  if (Serving == ServingState::Draining) {
    // Counted until the last bytes are out and the connection is closed.
    ++Ending;
    lws_set_opaque_user_data(wsi, EndingMark);
    reuse = false;
  }
  if (!reuse || lws_http_transaction_completed(wsi))
    return -1;
  return 0;
}

} // namespace guavasail
