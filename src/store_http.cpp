#include "store_http.h"

#include "http_headers.h"
#include "store_json.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace guavasail {

namespace {

constexpr size_t BodyChunkBytes = 16 * 1024;
constexpr size_t ReadChunkBytes = 16 * 1024;
/// The store takes values up to a megabyte; an answer is never longer.
constexpr size_t MaxValueBytes = 1024 * 1024;
constexpr unsigned ConnectSeconds = 2;
constexpr std::string_view RevisionHeader = "x-revision:";

const lws_protocols StoreProtocols[] = {
    {"store", &StoreHttp::callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

struct OutcomeRow {
  uint32_t Status;
  StoreOutcome Outcome;
};

constexpr auto Outcomes = std::to_array<OutcomeRow>({
    {200, StoreOutcome::Ok},
    {304, StoreOutcome::Unchanged},
    {404, StoreOutcome::Missing},
    {409, StoreOutcome::Conflict},
});

/// \returns the outcome of a whole answer; other statuses mean that the store
/// refused the request.
StoreOutcome outcomeOf(uint32_t status) {
  for (const OutcomeRow &row : Outcomes)
    if (row.Status == status)
      return row.Outcome;
  return StoreOutcome::Unavailable;
}

} // namespace

/// One request, owned by its connection.
struct StoreHttp::Call {
  Call(StoreHttp *owner, StoreTicket ticket, StoreSpace space)
      : Owner(owner), Ticket(ticket), Space(space) {}

  StoreHttp *Owner;
  StoreTicket Ticket;
  StoreSpace Space;
  std::string Method;
  std::string Path;
  std::string Body;
  size_t SentBytes = 0;
  std::string Answer;
  uint32_t Status = 0;
  uint64_t Revision = 0;
  bool HeadSent = false;
  bool Finished = false;
};

const StoreHttp::Row StoreHttp::Rows[] = {
    {LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER, &StoreHttp::onAppendHead},
    {LWS_CALLBACK_CLIENT_HTTP_WRITEABLE, &StoreHttp::onWritable},
    {LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP, &StoreHttp::onEstablished},
    {LWS_CALLBACK_RECEIVE_CLIENT_HTTP, &StoreHttp::onReceive},
    {LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ, &StoreHttp::onReceiveBytes},
    {LWS_CALLBACK_COMPLETED_CLIENT_HTTP, &StoreHttp::onCompleted},
    {LWS_CALLBACK_WSI_DESTROY, &StoreHttp::onDestroy},
};

StoreHttp::StoreHttp(lws_context *context, const StoreSettings &settings,
                     EventSink &sink)
    : Context(context), Config(settings), Sink(sink) {
  lws_context_creation_info info{};
  info.vhost_name = "store";
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = StoreProtocols;
  info.timeout_secs = ConnectSeconds;
  Host = lws_create_vhost(context, &info);
}

void StoreHttp::start(const StoreRead &request) {
  auto *call = new Call(this, request.Ticket, request.Key.Space);
  call->Method = "GET";
  call->Path = storePath(request.Key);
  connect(call);
}

void StoreHttp::start(const StoreWrite &request) {
  auto *call = new Call(this, request.Ticket, request.Key.Space);
  call->Method = "PUT";
  call->Path =
      storePath(request.Key) + "?expected=" + std::to_string(request.Expected);
  call->Body = formatStoreValue(*request.Value);
  // A body is always sent, so that its end is the end of the request.
  if (call->Body.empty())
    call->Body = "{}";
  connect(call);
}

void StoreHttp::start(const StoreWatch &request) {
  auto *call = new Call(this, request.Ticket, request.Key.Space);
  call->Method = "GET";
  auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.Wait);
  call->Path = storePath(request.Key) +
               "?after=" + std::to_string(request.After) +
               "&wait_ms=" + std::to_string(millis.count());
  connect(call);
}

void StoreHttp::connect(Call *call) {
  std::string host = Config.Address + ":" + std::to_string(Config.Port);
  lws *wsi = nullptr;
  lws_client_connect_info info{};
  info.context = Context;
  info.address = Config.Address.c_str();
  info.port = static_cast<int>(Config.Port);
  info.path = call->Path.c_str();
  info.host = host.c_str();
  info.method = call->Method.c_str();
  info.protocol = StoreProtocols[0].name;
  info.local_protocol_name = StoreProtocols[0].name;
  info.alpn = "http/1.1";
  info.vhost = Host;
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.opaque_user_data = call;
  info.pwsi = &wsi;
  // On failure the library has destroyed the connection, and with it the call.
  lws_client_connect_via_info(&info);
}

int StoreHttp::callback(lws *wsi, lws_callback_reasons reason, void *user,
                        void *in, size_t len) {
  auto *call =
      wsi ? static_cast<Call *>(lws_get_opaque_user_data(wsi)) : nullptr;
  if (!call)
    return lws_callback_http_dummy(wsi, reason, user, in, len);
  for (const Row &row : Rows)
    if (row.Reason == reason)
      return (call->Owner->*row.Handle)(*call, wsi, in, len);
  return 0;
}

int StoreHttp::onAppendHead(Call &call, lws *wsi, void *in, size_t len) {
  call.HeadSent = true;
  auto **at = static_cast<unsigned char **>(in);
  unsigned char *end = *at + len;
  auto add = [&](const char *name, const std::string &value) {
    return lws_add_http_header_by_name(
               wsi, reinterpret_cast<const unsigned char *>(name),
               reinterpret_cast<const unsigned char *>(value.data()),
               static_cast<int>(value.size()), at, end) == 0;
  };
  if (!Config.Token.empty() && !add("authorization:", "Bearer " + Config.Token))
    return -1;
  if (call.Body.empty())
    return 0;
  if (lws_add_http_header_content_length(wsi, call.Body.size(), at, end))
    return -1;
  lws_client_http_body_pending(wsi, 1);
  lws_callback_on_writable(wsi);
  return 0;
}

int StoreHttp::onWritable(Call &call, lws *wsi, void *, size_t) {
  size_t n = std::min(call.Body.size() - call.SentBytes, BodyChunkBytes);
  if (n == 0)
    return 0;
  std::array<unsigned char, LWS_PRE + BodyChunkBytes> buf;
  std::copy_n(call.Body.data() + call.SentBytes, n, buf.data() + LWS_PRE);
  bool last = call.SentBytes + n == call.Body.size();
  if (last)
    lws_client_http_body_pending(wsi, 0);
  if (lws_write(wsi, buf.data() + LWS_PRE, n,
                last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
    return -1;
  call.SentBytes += n;
  if (!last)
    lws_callback_on_writable(wsi);
  return 0;
}

int StoreHttp::onEstablished(Call &call, lws *wsi, void *, size_t) {
  call.Status = lws_http_client_http_response(wsi);
  std::string revision = customHeader(wsi, RevisionHeader);
  std::from_chars(revision.data(), revision.data() + revision.size(),
                  call.Revision);
  return 0;
}

int StoreHttp::onReceive(Call &, lws *wsi, void *, size_t) {
  std::array<char, LWS_PRE + ReadChunkBytes> buf;
  char *at = buf.data() + LWS_PRE;
  int n = ReadChunkBytes;
  return lws_http_client_read(wsi, &at, &n) < 0 ? -1 : 0;
}

int StoreHttp::onReceiveBytes(Call &call, lws *, void *in, size_t len) {
  if (call.Answer.size() + len > MaxValueBytes)
    return -1;
  call.Answer.append(static_cast<const char *>(in), len);
  return 0;
}

int StoreHttp::onCompleted(Call &call, lws *, void *, size_t) {
  finish(call, outcomeOf(call.Status));
  // The connection is not used again.
  return -1;
}

int StoreHttp::onDestroy(Call &call, lws *wsi, void *, size_t) {
  finish(call, call.HeadSent ? StoreOutcome::Lost : StoreOutcome::Unavailable);
  lws_set_opaque_user_data(wsi, nullptr);
  delete &call;
  return 0;
}

void StoreHttp::finish(Call &call, StoreOutcome outcome) {
  if (call.Finished)
    return;
  call.Finished = true;
  StoreReplied reply;
  reply.Ticket = call.Ticket;
  reply.Outcome = outcome;
  reply.Revision = call.Revision;
  if (outcome == StoreOutcome::Ok && call.Method == "GET") {
    auto value = parseStoreValue(call.Space, call.Answer);
    if (value)
      reply.Value = &Values.emplace_back(std::move(*value));
    else
      reply.Outcome = StoreOutcome::Unavailable;
  }
  Sink.post(reply);
}

} // namespace guavasail
