#include "front_plain.h"

#include "answer_blob.h"
#include "http_refusal.h"
#include "http_text.h"
#include "key_digest.h"
#include "log.h"
#include "request_head.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr int ListenBacklog = 511;
/// Bytes of a body that wait for an instance before reading stops.
constexpr size_t BodyBufferBytes = 128 * 1024;
/// Bytes of pipelined requests that wait for the answer before them.
constexpr size_t PipelineBytes = 64 * 1024;
/// Bytes of an answer that wait for the caller before more is handed over.
constexpr size_t SendQueueBytes = 128 * 1024;
/// Time for which a caller's unread bytes are read away, so that closing does
/// not reset the connection under the answer.
constexpr uint64_t LingerMs = 1000;
constexpr std::string_view HealthPrefix = "/-/";
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view PlainText = "text/plain";
constexpr std::string_view ProblemType = "application/problem+json";
constexpr uint32_t OkStatus = 200;
constexpr uint32_t NoContentStatus = 204;
constexpr uint32_t NotModifiedStatus = 304;
constexpr uint32_t NotFoundStatus = 404;
constexpr uint32_t UnavailableStatus = 503;

std::string startLine(uint32_t status) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(reasonPhrase(status)) + "\r\n";
}

} // namespace

/// One caller's connection.
struct FrontPlain::Caller {
  TcpStream *Stream = nullptr;
  Door Use = Door::Callers;
  RequestHandle Current;
  /// A request is in progress.
  bool Active = false;
  /// Its bytes were read to the end.
  bool RequestRead = false;
  /// The connection ends once what is queued was sent.
  bool Ending = false;
  /// Bytes are read and thrown away until the caller closes.
  bool Lingering = false;
  std::string In;
  std::string Body;
  std::unique_ptr<HttpReader> Reader;
};

FrontPlain::FrontPlain(uv_loop_t &loop, const Settings &settings,
                       ExchangeTable &exchanges, BackHttp &back,
                       EventSink &sink, std::function<std::string()> metrics)
    : Loop(loop), Config(settings), Exchanges(exchanges), Back(back),
      Sink(sink), Metrics(std::move(metrics)) {}

FrontPlain::~FrontPlain() = default;

bool FrontPlain::open() {
  const DaemonSettings &daemon = Config.Daemon;
  Doors[0].Use = Door::Callers;
  Doors[1].Use = Door::Ready;
  Doors[2].Use = Door::Metrics;
  return openDoor(Doors[0], daemon.ListenAddress, daemon.ListenPort) &&
         openDoor(Doors[1], daemon.ReadyAddress, daemon.ReadyPort) &&
         openDoor(Doors[2], daemon.MetricsAddress, daemon.MetricsPort);
}

bool FrontPlain::openDoor(DoorRow &door, const std::string &address,
                          uint32_t port) {
  if (port == 0)
    return true;
  sockaddr_storage place{};
  auto number = static_cast<int>(port);
  if (uv_ip4_addr(address.c_str(), number,
                  reinterpret_cast<sockaddr_in *>(&place)) != 0 &&
      uv_ip6_addr(address.c_str(), number,
                  reinterpret_cast<sockaddr_in6 *>(&place)) != 0)
    return false;
  uv_tcp_init(&Loop, &door.Handle);
  door.Owner = this;
  door.Handle.data = &door;
  door.Open = true;
  auto *stream = reinterpret_cast<uv_stream_t *>(&door.Handle);
  return uv_tcp_bind(&door.Handle, reinterpret_cast<const sockaddr *>(&place),
                     0) == 0 &&
         uv_listen(stream, ListenBacklog, &FrontPlain::onConnection) == 0;
}

void FrontPlain::onConnection(uv_stream_t *server, int status) {
  auto &door = *static_cast<DoorRow *>(server->data);
  if (status == 0)
    door.Owner->welcome(door);
}

void FrontPlain::welcome(DoorRow &door) {
  auto *server = reinterpret_cast<uv_stream_t *>(&door.Handle);
  TcpStream *stream =
      TcpStream::accept(*server, static_cast<StreamOwner &>(*this));
  if (!stream)
    return;
  if (Callers.size() >= Config.Bounds.MaxCallerConnections)
    return stream->close();
  Caller &it = *Callers.emplace_back(std::make_unique<Caller>());
  it.Stream = stream;
  it.Use = door.Use;
  stream->Context = &it;
  beginRequest(it);
  expectProgress(it);
}

void FrontPlain::close() {
  for (DoorRow &door : Doors)
    if (door.Open) {
      door.Open = false;
      uv_close(reinterpret_cast<uv_handle_t *>(&door.Handle), nullptr);
    }
  for (auto &it : Callers)
    it->Stream->close();
  Callers.clear();
}

bool FrontPlain::ending() const {
  return std::any_of(Callers.begin(), Callers.end(), [](const auto &it) {
    return it->Ending && it->Stream->queued() > 0;
  });
}

void FrontPlain::expectProgress(Caller &it) {
  auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
      Config.Bounds.CallerIdleTimeout);
  it.Stream->setDeadline(loopMillis(Loop) +
                         static_cast<uint64_t>(idle.count()));
}

Exchange *FrontPlain::exchangeOf(const Caller &it) {
  return it.Active ? Exchanges.find(it.Current) : nullptr;
}

FrontPlain::Caller *FrontPlain::callerOf(const Exchange &exchange) {
  return static_cast<Caller *>(exchange.Caller);
}

// Reading.

void FrontPlain::onOpen(TcpStream &) {}

void FrontPlain::onBytes(TcpStream &stream, std::string_view bytes) {
  auto &it = *static_cast<Caller *>(stream.Context);
  if (it.Lingering || it.Ending)
    return;
  it.In.append(bytes);
  readOn(it);
}

void FrontPlain::beginRequest(Caller &it) {
  const Limits &bounds = Config.Bounds;
  it.Active = it.RequestRead = false;
  it.Body.clear();
  it.Reader = std::make_unique<HttpReader>(
      MessageKind::Request, ReadLimits{bounds.MaxHeaderBytes, bounds.BodyBytes},
      it.Body);
}

void FrontPlain::readOn(Caller &it) {
  // A request is read while none waits for its answer.
  if (it.RequestRead) {
    if (it.In.size() > PipelineBytes)
      it.Stream->pause();
    return;
  }
  if (!it.Active)
    while (it.In.starts_with(LineEnd))
      it.In.erase(0, LineEnd.size());
  if (it.In.empty())
    return;
  size_t n = it.Reader->feed(it.In);
  it.In.erase(0, n);
  if (it.Reader->fault() != ReadFault::None)
    return refuseUnread(it, it.Reader->fault());
  if (!it.Reader->headRead())
    return;
  it.RequestRead = it.Reader->whole();
  if (!it.Active)
    return takeHead(it);
  if (Exchange *exchange = exchangeOf(it))
    takeBody(it, *exchange);
}

void FrontPlain::takeHead(Caller &it) {
  MessageHead &head = it.Reader->head();
  it.Active = true;
  bool local = it.Use != Door::Callers || head.Target.starts_with(HealthPrefix);
  if (local)
    return answerLocal(it, head);
  Exchange &exchange = Exchanges.open();
  exchange.Caller = &it;
  it.Current = exchange.Handle;
  takeArrival(it, exchange);
}

void FrontPlain::takeArrival(Caller &it, Exchange &exchange) {
  const Limits &bounds = Config.Bounds;
  RequestArrived event;
  auto fault = takeRequestHead(it.Reader->head(), bounds, Config.Headers,
                               exchange, event);
  if (fault)
    return refuseEarly(exchange, *fault);
  if (Exchanges.openCount() > bounds.Requests)
    return refuseEarly(exchange, RefusalKind::Overloaded);
  bool keyed = event.Repeat == Repeatability::AtMostOnce &&
               event.IdempotencyKey.present();
  exchange.KeepAnswer = keyed;
  bool hold = keyed && !it.RequestRead && exchange.MayHaveBody &&
              event.BodyBytes <= bounds.MaxReplayBytes;
  if (hold)
    exchange.Held = event;
  takeBody(it, exchange);
  if (!hold)
    postArrival(exchange, event);
}

void FrontPlain::postArrival(Exchange &exchange, const RequestArrived &event) {
  RequestArrived arrival = event;
  arrival.BodyBytes = exchange.BodyBytes;
  arrival.Fingerprint = requestFingerprint(exchange);
  Sink.post(arrival);
}

void FrontPlain::takeBody(Caller &it, Exchange &exchange) {
  if (exchange.Stage != AnswerStage::Refusal)
    exchange.Body.append(it.Body);
  it.Body.clear();
  if (exchange.BodyChunked)
    exchange.BodyBytes = exchange.receivedBytes();
  exchange.RequestWhole = it.RequestRead;
  if (exchange.Body.size() > BodyBufferBytes && !exchange.BodyPaused) {
    exchange.BodyPaused = true;
    it.Stream->pause();
  }
  if (it.RequestRead || exchange.BodyPaused)
    it.Stream->setDeadline(0);
  else
    expectProgress(it);
  Back.bodyGrew(exchange);
  if (exchange.Held && it.RequestRead) {
    postArrival(exchange, *exchange.Held);
    exchange.Held.reset();
  }
}

void FrontPlain::bodyDrained(Exchange &exchange) {
  bool resume = exchange.BodyPaused && exchange.Caller &&
                exchange.Body.size() <= BodyBufferBytes / 2;
  if (!resume)
    return;
  Caller &it = *callerOf(exchange);
  exchange.BodyPaused = false;
  it.Stream->resume();
  if (!it.RequestRead)
    expectProgress(it);
}

void FrontPlain::bodyWanted(Exchange &exchange) {
  if (!exchange.ExpectsContinue || !exchange.Caller)
    return;
  exchange.ExpectsContinue = false;
  callerOf(exchange)->Stream->write(std::string(ContinueLine));
}

void FrontPlain::refuseUnread(Caller &it, ReadFault fault) {
  if (Exchange *exchange = exchangeOf(it)) {
    // The body broke after its head was passed on.
    exchange->FramingInDoubt = true;
    if (exchange->Stage == AnswerStage::Waiting) {
      exchange->Held.reset();
      Sink.post(CallerDisconnected{exchange->Handle});
      refuseEarly(*exchange, refusalOf(fault));
    }
    return;
  }
  Exchange &exchange = Exchanges.open();
  exchange.Caller = &it;
  exchange.FramingInDoubt = true;
  it.Current = exchange.Handle;
  it.Active = true;
  refuseEarly(exchange, refusalOf(fault));
}

/// Answers requests to the VM itself: its health, readiness and metrics.
void FrontPlain::answerLocal(Caller &it, const MessageHead &head) {
  std::string_view path = head.Target;
  path = path.substr(0, path.find('?'));
  uint32_t status = NotFoundStatus;
  std::string text(servingStateName(Serving));
  if (it.Use == Door::Metrics) {
    status = OkStatus;
    text = Metrics();
  } else if (it.Use == Door::Ready) {
    bool good = Serving == ServingState::Ready;
    if (path == Config.Daemon.ReadyPath)
      status = good ? OkStatus : UnavailableStatus;
  } else {
    status = healthStatus(path, Serving);
  }
  if (!ServingReason.empty() && it.Use != Door::Metrics)
    text.append(": ").append(ServingReason);
  std::string out = startLine(status);
  appendField(out, "content-type:", PlainText);
  appendField(out, "content-length:", std::to_string(text.size()));
  bool reuse = head.KeepAlive && it.RequestRead;
  if (!reuse)
    appendField(out, "connection:", "close");
  it.Stream->write(out.append(LineEnd).append(text));
  if (!reuse)
    return endCaller(it, !it.RequestRead);
  beginRequest(it);
  expectProgress(it);
  readOn(it);
}

void FrontPlain::onEnd(TcpStream &stream, StreamEnd) {
  auto &it = *static_cast<Caller *>(stream.Context);
  if (Exchange *exchange = exchangeOf(it)) {
    exchange->Caller = nullptr;
    if (exchange->Stage != AnswerStage::Refusal)
      Sink.post(CallerDisconnected{exchange->Handle});
    Back.release(*exchange);
    Exchanges.close(*exchange);
  }
  it.Active = false;
  std::erase_if(Callers, [&](const auto &item) { return item.get() == &it; });
}

/// Closes a connection in which no request is in progress.
void FrontPlain::drop(Caller &it) {
  it.Stream->close();
  std::erase_if(Callers, [&](const auto &item) { return item.get() == &it; });
}

// Answering.

void FrontPlain::relay(const RelayResponse &effect) {
  Exchange *exchange = Exchanges.find(effect.Attempt.Request);
  if (!exchange)
    return;
  exchange->Source = exchange->call(effect.Attempt);
  exchange->Stage = AnswerStage::Head;
  pump(*exchange);
}

void FrontPlain::finish(const FinishResponse &effect) {
  if (Exchange *exchange = Exchanges.find(effect.Request)) {
    exchange->AnswerWhole = true;
    pump(*exchange);
  }
}

void FrontPlain::abort(const AbortResponse &effect) {
  if (Exchange *exchange = Exchanges.find(effect.Request)) {
    exchange->Stage = AnswerStage::Broken;
    pump(*exchange);
  }
}

void FrontPlain::refuse(const RefuseRequest &effect) {
  Exchange *exchange = Exchanges.find(effect.Request);
  if (!exchange)
    return;
  exchange->RetryAfter = effect.RetryAfter;
  refuseEarly(*exchange, effect.Kind);
}

void FrontPlain::refuseEarly(Exchange &exchange, RefusalKind kind) {
  exchange.Refusal = kind;
  exchange.Stage = AnswerStage::Refusal;
  pump(exchange);
}

void FrontPlain::replay(const ReplayResponse &effect) {
  Exchange *exchange = Exchanges.find(effect.Request);
  if (!exchange)
    return;
  if (!takeKeptAnswer(*exchange, effect.Answer))
    return refuse({effect.Request, RefusalKind::AnswerNotKept, {}});
  pump(*exchange);
}

void FrontPlain::answerGrew(Exchange &exchange) {
  if (exchange.Stage == AnswerStage::Body)
    pump(exchange);
}

void FrontPlain::onDrained(TcpStream &stream) {
  auto &it = *static_cast<Caller *>(stream.Context);
  if (it.Ending && !it.Lingering)
    return drop(it);
  if (Exchange *exchange = exchangeOf(it))
    pump(*exchange);
}

/// Writes as much of the answer as the caller takes.
void FrontPlain::pump(Exchange &exchange) {
  Caller *it = callerOf(exchange);
  if (!it)
    return;
  switch (exchange.Stage) {
  case AnswerStage::Waiting:
    return;
  case AnswerStage::Head:
    if (!writeHead(*it, exchange))
      return;
    [[fallthrough]];
  case AnswerStage::Body:
    if (writeBody(*it, exchange))
      endTransaction(*it, exchange,
                     !exchange.OldCaller && !exchange.Source->Head.UntilClose);
    return;
  case AnswerStage::Broken:
    // Only a reset shows for certain that the answer is not whole.
    it->Stream->reset();
    it->Stream = nullptr;
    Back.release(exchange);
    Exchanges.close(exchange);
    std::erase_if(Callers, [&](const auto &item) { return item.get() == it; });
    return;
  case AnswerStage::Refusal:
    return writeRefusal(*it, exchange);
  }
}

bool FrontPlain::writeHead(Caller &it, Exchange &exchange) {
  const AnswerHead &answer = exchange.Source->Head;
  bool bodyless = exchange.Method == "HEAD" ||
                  answer.Status == NoContentStatus ||
                  answer.Status == NotModifiedStatus;
  bool untilClose = exchange.OldCaller || answer.UntilClose;
  exchange.AnswerChunked = !bodyless && !answer.Length && !untilClose;
  std::string out = startLine(answer.Status);
  for (const HeaderField &field : answer.Fields)
    appendField(out, field.Name, field.Value);
  if (answer.Length && answer.Status != NoContentStatus)
    appendField(out, "content-length:", std::to_string(*answer.Length));
  if (exchange.AnswerChunked)
    appendField(out, "transfer-encoding:", "chunked");
  if (untilClose || Serving == ServingState::Draining || !it.RequestRead)
    appendField(out, "connection:", "close");
  it.Stream->write(out.append(LineEnd));
  exchange.Stage = AnswerStage::Body;
  return true;
}

/// \returns true once the whole answer was handed over.
bool FrontPlain::writeBody(Caller &it, Exchange &exchange) {
  BackendCall &call = *exchange.Source;
  if (it.Stream->queued() > SendQueueBytes)
    return false;
  std::string_view rest = call.Answer.unread();
  bool last = exchange.AnswerWhole;
  if (exchange.AnswerChunked)
    it.Stream->write(frameChunk(rest, last));
  else
    it.Stream->write(std::string(rest));
  call.Answer.consume(rest.size());
  Back.resume(call);
  if (!last && it.RequestRead)
    expectProgress(it);
  return last;
}

void FrontPlain::writeRefusal(Caller &it, Exchange &exchange) {
  uint32_t status = refusalStatus(exchange.Refusal);
  std::string text = problemDocument(exchange.Refusal, requestId(exchange));
  logRefusal(exchange);
  bool reuse = !exchange.FramingInDoubt && !exchange.OldCaller &&
               Serving != ServingState::Draining && it.RequestRead;
  std::string out = startLine(status);
  if (!exchange.CallerId.empty())
    appendField(out, Config.Headers.RequestId + ":", exchange.CallerId);
  appendField(out, "content-type:", ProblemType);
  appendField(out, "content-length:", std::to_string(text.size()));
  if (exchange.RetryAfter > Duration::zero())
    appendField(out, "retry-after:",
                retryAfterText(exchange.RetryAfter,
                               Config.Headers.FractionalRetryAfter));
  if (!reuse)
    appendField(out, "connection:", "close");
  out.append(LineEnd);
  if (exchange.Method != "HEAD")
    out.append(text);
  it.Stream->write(std::move(out));
  endTransaction(it, exchange, reuse);
}

void FrontPlain::endTransaction(Caller &it, Exchange &exchange, bool reuse) {
  Back.release(exchange);
  Exchanges.close(exchange);
  exchange.Caller = nullptr;
  it.Active = false;
  bool keep = reuse && it.RequestRead && Serving != ServingState::Draining;
  if (!keep)
    return endCaller(it, !it.RequestRead);
  beginRequest(it);
  expectProgress(it);
  it.Stream->resume();
  // The next request may have come already.
  readOn(it);
}

/// Ends a connection after what is queued.
/// \param unread bytes of the caller's are still to come.
void FrontPlain::endCaller(Caller &it, bool unread) {
  it.Ending = true;
  it.Lingering = unread || !it.In.empty();
  it.In.clear();
  if (it.Lingering) {
    it.Stream->resume();
    return it.Stream->setDeadline(loopMillis(Loop) + LingerMs);
  }
  if (it.Stream->queued() == 0)
    drop(it);
}

} // namespace guavasail
