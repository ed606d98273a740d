#include "back_http.h"

#include "answer_blob.h"
#include "http_headers.h"
#include "log.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace guavasail {

namespace {

constexpr size_t BodyChunkBytes = 16 * 1024;
constexpr size_t ReadChunkBytes = 16 * 1024;
constexpr uint16_t KeepWarmSeconds = 30;
constexpr uint32_t FirstFinalStatus = 200;
constexpr uint32_t LastStatus = 599;
constexpr uint32_t NoContentStatus = 204;
constexpr uint32_t NotModifiedStatus = 304;

const lws_protocols LaneProtocols[] = {
    {"backend", &BackHttp::callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

template <typename Integer> Integer parseNumber(std::string_view text) {
  Integer value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/// Reads status, framing and headers of an answer. Interim answers are not
/// supported by the library, which takes them for final ones.
/// \returns false if the head makes no sense.
bool parseHead(lws *wsi, AnswerHead &head) {
  head.Status = lws_http_client_http_response(wsi);
  if (head.Status < FirstFinalStatus || head.Status > LastStatus)
    return false;
  int lengths = headerLines(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  std::string coding = headerLine(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);
  head.Chunked = equalIgnoringCase(coding, "chunked");
  if (lengths > 1 || (lengths == 1 && !coding.empty()))
    return false;
  if (lengths == 1)
    head.Length =
        parseNumber<uint64_t>(headerLine(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH));
  auto fields = answerFields(wsi);
  if (!fields)
    return false;
  head.Fields = std::move(*fields);
  return true;
}

/// \returns true if an answer of this kind has no body whatever its headers.
bool hasNoBody(const Exchange &exchange, uint32_t status) {
  return exchange.Method == "HEAD" || status == NoContentStatus ||
         status == NotModifiedStatus;
}

} // namespace

/// The use of one lane by one attempt, owned by the connection.
struct BackHttp::LaneUse {
  BackHttp *Owner;
  InstanceHandle Instance;
  Lane Connection;
  AttemptHandle Attempt;
  /// Null once the attempt ended or was cancelled.
  BackendCall *Call = nullptr;
  bool HeadSent = false;
  bool Established = false;
  bool Finished = false;
  /// Position up to which the library took the bytes of the read in progress,
  /// null if there is none, and where that read began.
  char *const *ReadAt = nullptr;
  const char *ReadFrom = nullptr;
  /// The answer's head makes no sense.
  bool Malformed = false;
};

const BackHttp::Row BackHttp::Rows[] = {
    {LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER, &BackHttp::onAppendHead},
    {LWS_CALLBACK_CLIENT_HTTP_WRITEABLE, &BackHttp::onWritable},
    {LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP, &BackHttp::onEstablished},
    {LWS_CALLBACK_RECEIVE_CLIENT_HTTP, &BackHttp::onReceive},
    {LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ, &BackHttp::onReceiveBytes},
    {LWS_CALLBACK_COMPLETED_CLIENT_HTTP, &BackHttp::onCompleted},
    {LWS_CALLBACK_CLIENT_CONNECTION_ERROR, &BackHttp::onConnectError},
    {LWS_CALLBACK_WSI_DESTROY, &BackHttp::onDestroy},
};

BackHttp::BackHttp(lws_context *context, const Limits &bounds,
                   ExchangeTable &exchanges, EventSink &sink)
    : Context(context), Bounds(bounds), Exchanges(exchanges), Sink(sink) {}

lws_vhost *BackHttp::lane(Lane lane) {
  while (Lanes.size() <= lane.Value) {
    lws_context_creation_info info{};
    // The library keeps a pointer to the name.
    const std::string &name =
        LaneNames.emplace_back("lane-" + std::to_string(Lanes.size()));
    info.vhost_name = name.c_str();
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = LaneProtocols;
    info.connect_timeout_secs = static_cast<unsigned>(std::max<int64_t>(
        1, std::chrono::ceil<std::chrono::seconds>(Bounds.Connect).count()));
    Lanes.push_back(lws_create_vhost(Context, &info));
  }
  return Lanes[lane.Value];
}

void BackHttp::start(const StartAttempt &effect, const InstanceSpec &instance) {
  Exchange *exchange = Exchanges.find(effect.Attempt.Request);
  auto *use =
      new LaneUse{this, effect.Instance, effect.Connection, effect.Attempt};
  if (!exchange) {
    finishUse(*use);
    delete use;
    return;
  }
  auto call = std::make_unique<BackendCall>();
  call->Attempt = effect.Attempt;
  use->Call = call.get();
  BackendCall &started = *exchange->Calls.emplace_back(std::move(call));
  started.Remaining =
      std::chrono::ceil<std::chrono::milliseconds>(effect.Remaining);
  Listener->bodyWanted(*exchange);

  lws_client_connect_info info{};
  info.context = Context;
  info.address = instance.Address.c_str();
  info.port = static_cast<int>(instance.Port);
  info.path = exchange->Target.c_str();
  // The library finds an idle connection by comparing the host of the one
  // with the address of the other.
  info.host = info.address;
  info.origin = nullptr;
  info.method = exchange->Method.c_str();
  info.protocol = LaneProtocols[0].name;
  info.local_protocol_name = LaneProtocols[0].name;
  info.alpn = "http/1.1";
  info.vhost = lane(effect.Connection);
  info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.keep_warm_secs = KeepWarmSeconds;
  info.opaque_user_data = use;
  info.pwsi = &started.Wsi;
  // On failure the library has called back with the error already, unless it
  // failed before a connection existed.
  lws_client_connect_via_info(&info);
}

void BackHttp::cancel(const CancelAttempt &effect) {
  Exchange *exchange = Exchanges.find(effect.Attempt.Request);
  BackendCall *call = exchange ? exchange->call(effect.Attempt) : nullptr;
  if (call)
    detach(*call);
}

void BackHttp::detach(BackendCall &call) {
  if (!call.Wsi)
    return;
  auto *use = static_cast<LaneUse *>(lws_get_opaque_user_data(call.Wsi));
  if (use)
    use->Call = nullptr;
  lws_set_timeout(call.Wsi, PENDING_TIMEOUT_KILLED_BY_PARENT,
                  LWS_TO_KILL_ASYNC);
  call.Wsi = nullptr;
}

void BackHttp::resume(BackendCall &call) {
  if (!call.Paused || !call.Wsi)
    return;
  call.Paused = false;
  lws_rx_flow_control(call.Wsi, 1);
}

void BackHttp::bodyGrew(Exchange &exchange) {
  for (const auto &it : exchange.Calls)
    if (it->Wsi)
      lws_callback_on_writable(it->Wsi);
}

void BackHttp::release(Exchange &exchange) {
  for (const auto &it : exchange.Calls)
    detach(*it);
  exchange.Source = nullptr;
  exchange.Calls.clear();
}

int BackHttp::callback(lws *wsi, lws_callback_reasons reason, void *user,
                       void *in, size_t len) {
  auto *use =
      wsi ? static_cast<LaneUse *>(lws_get_opaque_user_data(wsi)) : nullptr;
  if (!use)
    return lws_callback_http_dummy(wsi, reason, user, in, len);
  for (const Row &row : Rows)
    if (row.Reason == reason)
      return (use->Owner->*row.Handle)(*use, wsi, in, len);
  return 0;
}

int BackHttp::onAppendHead(LaneUse &use, lws *wsi, void *in, size_t len) {
  use.HeadSent = true;
  Exchange *exchange = Exchanges.find(use.Attempt.Request);
  if (!use.Call || !exchange)
    return -1;
  auto **at = static_cast<unsigned char **>(in);
  unsigned char *end = *at + len;
  HeaderField timeout{std::string(TimeoutHeader),
                      std::to_string(use.Call->Remaining.count())};
  if (!writeFields(wsi, exchange->Fields, at, end) ||
      !writeFields(wsi, {&timeout, 1}, at, end))
    return -1;
  // An empty body is declared too, or the instance would wait for one.
  if (exchange->MayHaveBody &&
      lws_add_http_header_content_length(wsi, exchange->BodyBytes, at, end))
    return -1;
  if (exchange->BodyBytes == 0)
    return 0;
  lws_client_http_body_pending(wsi, 1);
  lws_callback_on_writable(wsi);
  return 0;
}

int BackHttp::onWritable(LaneUse &use, lws *wsi, void *, size_t) {
  Exchange *exchange = Exchanges.find(use.Attempt.Request);
  if (!use.Call || !exchange)
    return -1;
  uint64_t from = use.Call->SentBytes - exchange->BodyBase;
  std::string_view rest = std::string_view(exchange->Body).substr(from);
  size_t n = std::min(rest.size(), BodyChunkBytes);
  if (n == 0)
    return 0;
  std::array<unsigned char, LWS_PRE + BodyChunkBytes> buf;
  std::copy_n(rest.data(), n, buf.data() + LWS_PRE);
  bool last = use.Call->SentBytes + n == exchange->BodyBytes;
  if (last)
    lws_client_http_body_pending(wsi, 0);
  int written = lws_write(wsi, buf.data() + LWS_PRE, n,
                          last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
  if (written < 0)
    return -1;
  use.Call->SentBytes += n;
  if (exchange->BodyBytes > Bounds.ReplayBytes) {
    exchange->Body.erase(0, from + n);
    exchange->BodyBase = use.Call->SentBytes;
  }
  if (!last)
    lws_callback_on_writable(wsi);
  Listener->bodyDrained(*exchange);
  return 0;
}

int BackHttp::onEstablished(LaneUse &use, lws *wsi, void *, size_t) {
  Exchange *exchange = Exchanges.find(use.Attempt.Request);
  if (!use.Call || !exchange)
    return -1;
  AnswerHead &head = use.Call->Head;
  if (!parseHead(wsi, head)) {
    use.Malformed = true;
    return -1;
  }
  use.Established = true;
  AttemptAnswered event;
  event.Attempt = use.Attempt;
  event.Status = head.Status;
  event.Shed = !customHeader(wsi, NotRunHeader).empty();
  std::string load = customHeader(wsi, LoadHeader);
  event.Load.Present = !load.empty();
  event.Load.SlotsInUse = parseNumber<uint32_t>(load);
  event.Load.Leaving = !customHeader(wsi, LeavingHeader).empty();
  event.RetryAfter = std::chrono::seconds(
      parseNumber<uint32_t>(headerLine(wsi, WSI_TOKEN_HTTP_RETRY_AFTER)));
  Sink.post(event);
  return 0;
}

int BackHttp::onReceive(LaneUse &use, lws *wsi, void *, size_t) {
  if (!use.Call)
    return -1;
  std::array<char, LWS_PRE + ReadChunkBytes> buf;
  char *at = buf.data() + LWS_PRE;
  int n = ReadChunkBytes;
  use.ReadFrom = at;
  use.ReadAt = &at;
  int result = lws_http_client_read(wsi, &at, &n);
  use.ReadAt = nullptr;
  if (result < 0)
    return -1;
  // A completed answer leaves the connection open for the next request.
  return use.Call || use.Finished ? 0 : -1;
}

int BackHttp::onReceiveBytes(LaneUse &use, lws *wsi, void *in, size_t len) {
  Exchange *exchange = Exchanges.find(use.Attempt.Request);
  if (!use.Call || !exchange)
    return -1;
  BackendCall &call = *use.Call;
  call.Answer.append({static_cast<const char *>(in), len});
  call.AnswerBytes += len;
  if (exchange->KeepAnswer && call.AnswerBytes <= MaxKeptBodyBytes)
    call.Kept.append(static_cast<const char *>(in), len);
  if (call.Answer.unread().size() > Bounds.AnswerBufferBytes && !call.Paused) {
    call.Paused = true;
    lws_rx_flow_control(wsi, 0);
  }
  Listener->answerGrew(*exchange);
  return 0;
}

int BackHttp::onCompleted(LaneUse &use, lws *, void *, size_t) {
  Exchange *exchange = Exchanges.find(use.Attempt.Request);
  if (!use.Call || !exchange)
    return -1;
  BackendCall &call = *use.Call;
  if (!isWhole(use, *exchange))
    return -1;
  bool keep = exchange->KeepAnswer && call.AnswerBytes == call.Kept.size();
  if (keep)
    exchange->Kept = encodeAnswer(call.Head, call.Kept);
  Sink.post(AttemptCompleted{use.Attempt, call.AnswerBytes, exchange->Kept});
  call.Wsi = nullptr;
  use.Call = nullptr;
  finishUse(use);
  return 0;
}

bool BackHttp::isWhole(const LaneUse &use, const Exchange &exchange) {
  const AnswerHead &head = use.Call->Head;
  if (hasNoBody(exchange, head.Status))
    return true;
  if (head.Length)
    return *head.Length == use.Call->AnswerBytes;
  // The library also reports the end of the connection as completion. Only
  // the last chunk makes it take bytes.
  return head.Chunked && use.ReadAt && *use.ReadAt != use.ReadFrom;
}

int BackHttp::onConnectError(LaneUse &, lws *, void *, size_t) { return 0; }

int BackHttp::onDestroy(LaneUse &use, lws *wsi, void *, size_t) {
  if (use.Call) {
    use.Call->Wsi = nullptr;
    postFailure(use);
  }
  finishUse(use);
  lws_set_opaque_user_data(wsi, nullptr);
  delete &use;
  return 0;
}

void BackHttp::postFailure(const LaneUse &use) {
  AttemptFault fault = AttemptFault::ConnectFailed;
  if (use.Established)
    fault = AttemptFault::Truncated;
  else if (use.Malformed)
    fault = AttemptFault::MalformedAnswer;
  else if (use.HeadSent)
    fault = AttemptFault::Reset;
  Sink.post(AttemptFailed{use.Attempt, fault, use.HeadSent});
}

void BackHttp::finishUse(LaneUse &use) {
  if (use.Finished)
    return;
  use.Finished = true;
  Sink.post(LaneFreed{use.Instance, use.Connection});
}

} // namespace guavasail
