#include "front_plain.h"

#include "answer_blob.h"
#include "http_refusal.h"
#include "http_text.h"
#include "key_digest.h"
#include "log.h"
#include "request_head.h"

#include <algorithm>
#include <utility>

namespace guavasail {

namespace {

constexpr int ListenBacklog = 511;
/// Bytes of a body that wait for an instance before reading stops.
constexpr size_t BodyBufferBytes = 128 * 1024;
/// Bytes of pipelined requests that wait for the answer before them.
constexpr size_t PipelineBytes = 64 * 1024;
/// Bytes of earlier answers that may be unsent when the next request starts.
constexpr size_t UnsentBytes = 16 * 1024;
/// Pipelined requests of one caller that are answered in one turn of the loop.
/// Exchanges are used again only after the turn.
constexpr int RequestsInTurn = 16;
/// Memory that a connection without a request keeps.
constexpr size_t IdleBufferBytes = 16 * 1024;
/// Interval in which buffers of the system and stalled callers are looked at.
constexpr uint64_t SweepMs = 250;
/// Bytes of an answer that wait for the caller before more is handed over.
constexpr size_t SendQueueBytes = 128 * 1024;
/// Time for which a caller's unread bytes are read away, so that closing does
/// not reset the connection under the answer.
constexpr uint64_t LingerMs = 1000;
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view ProblemType = "application/problem+json";
constexpr uint32_t NoContentStatus = 204;
constexpr uint32_t NotModifiedStatus = 304;

std::string startLine(uint32_t status) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(reasonPhrase(status)) + "\r\n";
}

} // namespace

/// One caller's connection.
struct FrontPlain::Caller {
  TcpStream *Stream = nullptr;
  RequestHandle Current;
  /// A request is in progress.
  bool Active = false;
  /// Its bytes were read to the end.
  bool RequestRead = false;
  /// The connection ends once what is queued was sent.
  bool Ending = false;
  /// Bytes are read and thrown away until the caller closes.
  bool Lingering = false;
  /// Until its answer is sent any end of the connection is a reset, also that
  /// by the end of the process.
  bool AbortiveClose = false;
  /// `readOn` runs for it.
  bool ReadingOn = false;
  /// The next request waits until earlier answers are sent.
  bool AwaitsDrain = false;
  /// Nothing is read because the budget is full.
  bool Throttled = false;
  ByteQueue In;
  std::string Body;
  std::unique_ptr<HttpReader> Reader;
  /// When a part of a request head came, in milliseconds; 0 without one.
  uint64_t HeadSince = 0;
  BufferHolder Buffers;
  /// Bytes received so far, and those seen by the last sweep.
  uint64_t Received = 0;
  uint64_t SampledReceived = 0;
  uint64_t SampledWritten = 0;
  uint64_t SampledTaken = 0;
  /// Bytes that the system held at the last sweep: not taken by the caller, and
  /// not read from it.
  uint64_t Unconfirmed = 0;
  uint64_t Unread = 0;
};

FrontPlain::FrontPlain(uv_loop_t &loop, const Settings &settings,
                       ExchangeTable &exchanges, BackHttp &back,
                       BufferBudget &budget, EventSink &sink)
    : Loop(loop), Config(settings), Exchanges(exchanges), Back(back),
      Budget(budget), Sink(sink) {}

FrontPlain::~FrontPlain() = default;

bool FrontPlain::open() {
  uv_timer_init(&Loop, &Sweep);
  uv_timer_init(&Loop, &Turn);
  Sweep.data = Turn.data = this;
  TimersOpen = true;
  if (Budget.bounded())
    uv_timer_start(&Sweep, &FrontPlain::onSweep, SweepMs, SweepMs);
  const DaemonSettings &daemon = Config.Daemon;
  if (daemon.ListenPort == 0)
    return true;
  Listener.data = this;
  Listening = true;
  if (!bindListener(Loop, Listener, daemon.ListenAddress, daemon.ListenPort))
    return false;
  // Accepted connections have the listening socket's bounds.
  int sending = SocketBufferBytes;
  int receiving = SocketBufferBytes;
  auto *handle = reinterpret_cast<uv_handle_t *>(&Listener);
  if (Budget.bounded() && (uv_send_buffer_size(handle, &sending) != 0 ||
                           uv_recv_buffer_size(handle, &receiving) != 0))
    logLine(LogLevel::Warning, "socket-buffers-unbounded",
            {{"port", static_cast<int64_t>(daemon.ListenPort)}});
  return uv_listen(reinterpret_cast<uv_stream_t *>(&Listener), ListenBacklog,
                   &FrontPlain::onConnection) == 0;
}

void FrontPlain::onConnection(uv_stream_t *server, int status) {
  if (status == 0)
    static_cast<FrontPlain *>(server->data)->welcome();
}

void FrontPlain::welcome() {
  auto *server = reinterpret_cast<uv_stream_t *>(&Listener);
  TcpStream *stream =
      TcpStream::accept(*server, static_cast<StreamOwner &>(*this));
  if (!stream)
    return;
  if (!makeRoom())
    return stream->close();
  Caller &it = *Callers.emplace_back(std::make_unique<Caller>());
  it.Stream = stream;
  it.Buffers.ProgressMs = loopMillis(Loop);
  stream->Context = &it;
  Stats.Connections = Callers.size();
  beginRequest(it);
  expectProgress(it);
}

bool FrontPlain::makeRoom() {
  Gone.clear();
  if (Callers.size() < maxCallers(Config.Bounds))
    return true;
  // A request head that is not whole has waited longest for its caller.
  Caller *oldest = nullptr;
  for (const auto &it : Callers)
    if (it->HeadSince > 0 && (!oldest || it->HeadSince < oldest->HeadSince))
      oldest = it.get();
  if (!oldest) {
    ++Stats.NotAccepted;
    logLine(LogLevel::Warning, "caller-closed", {{"reason", "connections"}});
    return false;
  }
  ++Stats.Displaced;
  logLine(LogLevel::Warning, "caller-closed", {{"reason", "head-incomplete"}});
  drop(*oldest);
  return true;
}

void FrontPlain::close() {
  if (std::exchange(Listening, false))
    uv_close(reinterpret_cast<uv_handle_t *>(&Listener), nullptr);
  if (TimersOpen) {
    uv_close(reinterpret_cast<uv_handle_t *>(&Sweep), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&Turn), nullptr);
  }
  TimersOpen = false;
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
  Gone.clear();
  auto &it = *static_cast<Caller *>(stream.Context);
  if (it.Lingering || it.Ending)
    return;
  it.In.append(bytes);
  it.Received += bytes.size();
  readOn(it);
  if (!it.Stream || it.Ending || it.Throttled || !Budget.full())
    return;
  it.Throttled = true;
  it.Stream->pause();
}

void FrontPlain::beginRequest(Caller &it) {
  const Limits &bounds = Config.Bounds;
  it.Active = it.RequestRead = false;
  it.HeadSince = 0;
  it.Body.clear();
  it.In.trim(IdleBufferBytes);
  if (it.Body.capacity() > IdleBufferBytes)
    it.Body = std::string();
  it.Reader = std::make_unique<HttpReader>(
      MessageKind::Request, ReadLimits{bounds.MaxHeaderBytes, bounds.BodyBytes},
      it.Body);
}

void FrontPlain::readOn(Caller &it) {
  // A request that is answered at once comes back here: it is the loop below
  // that reads the next one.
  if (it.ReadingOn)
    return;
  it.ReadingOn = true;
  int n = 0;
  while (n < RequestsInTurn && it.Stream && !it.Ending && readStep(it))
    ++n;
  it.ReadingOn = false;
  if (!it.Stream)
    return;
  if (n == RequestsInTurn)
    readLater(it);
  if (!it.Ending && !mayRead(it))
    it.Stream->pause();
  else if (!it.Ending)
    resumeReading(it);
  account(it);
}

void FrontPlain::readLater(Caller &it) {
  if (it.In.unread().empty())
    return;
  Later.push_back(&it);
  if (!uv_is_active(reinterpret_cast<uv_handle_t *>(&Turn)))
    uv_timer_start(&Turn, &FrontPlain::onTurn, 0, 0);
}

void FrontPlain::onTurn(uv_timer_t *timer) {
  auto &self = *static_cast<FrontPlain *>(timer->data);
  self.Gone.clear();
  for (Caller *it : std::exchange(self.Later, {}))
    if (it->Stream && !it->Ending)
      self.readOn(*it);
}

/// \returns true if the request was answered, so that the next one may start.
bool FrontPlain::readStep(Caller &it) {
  std::string_view in = it.In.unread();
  if (in.empty())
    return false;
  // A request is read while none waits for its answer.
  if (it.RequestRead)
    return false;
  if (!it.Active && it.Stream->queued() > UnsentBytes) {
    it.AwaitsDrain = true;
    it.Stream->pause();
    return false;
  }
  it.In.consume(it.Reader->feed(in));
  if (it.Reader->fault() != ReadFault::None) {
    refuseUnread(it, it.Reader->fault());
    return false;
  }
  if (!it.Reader->headRead()) {
    if (it.HeadSince == 0)
      it.HeadSince = loopMillis(Loop);
    return false;
  }
  it.HeadSince = 0;
  it.RequestRead = it.Reader->whole();
  if (!it.Active)
    takeHead(it);
  else if (Exchange *exchange = exchangeOf(it))
    takeBody(it, *exchange);
  return it.Stream && !it.Active;
}

/// \returns true if nothing but the budget keeps bytes from being read.
bool FrontPlain::mayRead(const Caller &it) {
  const Exchange *exchange = exchangeOf(it);
  bool bodyWaits = exchange && exchange->BodyPaused;
  bool pipelineFull = it.In.unread().size() > PipelineBytes;
  return !bodyWaits && !pipelineFull && !it.AwaitsDrain;
}

void FrontPlain::resumeReading(Caller &it) {
  if (!it.Throttled && mayRead(it))
    it.Stream->resume();
}

void FrontPlain::takeHead(Caller &it) {
  it.Active = true;
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
  if (Exchanges.openCount() > bounds.Requests || Budget.tight()) {
    Stats.RefusedForMemory += Budget.tight() ? 1 : 0;
    exchange.RetryAfter = RoomRetryAfter;
    return refuseEarly(exchange, RefusalKind::Overloaded);
  }
  exchange.KeepAnswer = mayClaimRecord(event, Config);
  bool hold = exchange.KeepAnswer && !it.RequestRead && exchange.MayHaveBody &&
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
  // A body that is longer than what is kept is no part of the fingerprint.
  if (exchange.Held && (it.RequestRead || exchange.BodyPaused)) {
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
  resumeReading(it);
  if (!it.RequestRead)
    expectProgress(it);
  account(it);
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

void FrontPlain::onEnd(TcpStream &stream, StreamEnd) {
  Gone.clear();
  auto &it = *static_cast<Caller *>(stream.Context);
  abandon(it);
  forget(it);
}

/// Ends the request in progress without an answer.
void FrontPlain::abandon(Caller &it) {
  if (Exchange *exchange = exchangeOf(it)) {
    exchange->Caller = nullptr;
    if (exchange->Stage != AnswerStage::Refusal)
      Sink.post(CallerDisconnected{exchange->Handle});
    Back.release(*exchange);
    Exchanges.close(*exchange);
  }
  it.Active = false;
}

/// Closes a connection in which no request is in progress.
void FrontPlain::drop(Caller &it) {
  it.Stream->close();
  forget(it);
}

/// Takes a caller off the list whose stream is closed.
void FrontPlain::forget(Caller &it) {
  it.Stream = nullptr;
  Budget.charge(it.Buffers, 0);
  std::erase(Later, &it);
  auto at = std::find_if(Callers.begin(), Callers.end(),
                         [&](const auto &item) { return item.get() == &it; });
  if (at == Callers.end())
    return;
  Gone.push_back(std::move(*at));
  Callers.erase(at);
  Stats.Connections = Callers.size();
}

// Memory.

/// Counts what is buffered for a caller, with what the system may hold.
void FrontPlain::account(Caller &it) {
  if (!Budget.bounded())
    return;
  size_t queued = it.Stream->queued();
  uint64_t n = it.In.unread().size() + it.Unread + queued;
  n += queued > 0 ? SocketBufferBytes : it.Unconfirmed;
  if (const Exchange *exchange = exchangeOf(it))
    n += exchange->bufferedBytes();
  Budget.charge(it.Buffers, n);
  TcpStream::readSparingly(Budget.full());
}

/// Notes whether a caller has sent or taken bytes since the last sweep.
void FrontPlain::sample(Caller &it, uint64_t now) {
  uint64_t written = it.Stream->written();
  if (written != it.SampledWritten || it.Unconfirmed > 0)
    it.Unconfirmed = it.Stream->unconfirmed();
  bool stopped = it.Throttled || !mayRead(it);
  it.Unread = stopped ? it.Stream->unread() : 0;
  uint64_t unsent = it.Stream->queued() + it.Unconfirmed;
  uint64_t taken = written - unsent;
  const Exchange *exchange = exchangeOf(it);
  // It waits for an instance, and has not sent much more in the meantime.
  bool waits = exchange && unsent == 0 &&
               (it.RequestRead || exchange->BodyPaused) &&
               it.In.unread().size() <= UnsentBytes;
  bool sends = unsent == 0 && it.Received != it.SampledReceived;
  if (waits || sends || taken != it.SampledTaken)
    it.Buffers.ProgressMs = now;
  it.SampledWritten = written;
  it.SampledTaken = taken;
  it.SampledReceived = it.Received;
  account(it);
}

/// Disconnects callers that hold memory without progress until there is room.
void FrontPlain::shedStalled(uint64_t now) {
  std::vector<Caller *> callers;
  std::vector<BufferHolder> holders;
  for (const auto &it : Callers) {
    callers.push_back(it.get());
    holders.push_back(it->Buffers);
  }
  while (Budget.tight()) {
    auto n = chooseStalled(holders, now);
    if (!n)
      return;
    Caller &it = *callers[*n];
    logLine(
        LogLevel::Warning, "caller-closed",
        {{"reason", "memory"},
         {"bytes", static_cast<int64_t>(it.Buffers.Bytes)},
         {"stalled_ms", static_cast<int64_t>(now - it.Buffers.ProgressMs)}});
    ++Stats.Stalled;
    abandon(it);
    it.Stream->reset();
    forget(it);
    holders[*n].Bytes = 0;
  }
}

void FrontPlain::onSweep(uv_timer_t *timer) {
  static_cast<FrontPlain *>(timer->data)->sweep();
}

void FrontPlain::sweep() {
  Gone.clear();
  uint64_t now = loopMillis(Loop);
  for (const auto &it : Callers)
    sample(*it, now);
  if (Budget.tight())
    shedStalled(now);
  TcpStream::readSparingly(Budget.full());
  if (Budget.full())
    return;
  for (const auto &it : Callers)
    if (std::exchange(it->Throttled, false) && !it->Ending) {
      resumeReading(*it);
      account(*it);
    }
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
  answerHeld(exchange);
}

void FrontPlain::answerHeld(Exchange &exchange) {
  if (Caller *it = callerOf(exchange))
    account(*it);
}

void FrontPlain::onDrained(TcpStream &stream) {
  auto &it = *static_cast<Caller *>(stream.Context);
  Gone.clear();
  if (it.Ending)
    setAbortiveClose(it, false);
  if (it.Ending && !it.Lingering)
    return drop(it);
  if (it.Lingering) {
    it.Stream->resume();
    return it.Stream->setDeadline(loopMillis(Loop) + LingerMs);
  }
  if (Exchange *exchange = exchangeOf(it))
    pump(*exchange);
  else
    expectProgress(it);
  if (!it.Stream)
    return;
  if (std::exchange(it.AwaitsDrain, false)) {
    resumeReading(it);
    readOn(it);
  } else {
    account(it);
  }
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
      endTransaction(*it, exchange, !exchange.LastOnConnection);
    return;
  case AnswerStage::Written:
    return;
  case AnswerStage::Broken:
    // Only a reset shows for certain that the answer is not whole.
    it->Stream->reset();
    Back.release(exchange);
    Exchanges.close(exchange);
    exchange.Caller = nullptr;
    it->Active = false;
    return forget(*it);
  case AnswerStage::Refusal:
    return writeRefusal(*it, exchange);
  }
}

bool FrontPlain::writeHead(Caller &it, Exchange &exchange) {
  const AnswerHead &answer = exchange.Source->Head;
  bool bodyless = exchange.Method == "HEAD" ||
                  answer.Status == NoContentStatus ||
                  answer.Status == NotModifiedStatus;
  exchange.frameAnswer(bodyless, false);
  if (exchange.AnswerUntilClose)
    setAbortiveClose(it, true);
  std::string out = startLine(answer.Status);
  for (const HeaderField &field : answer.Fields)
    appendField(out, field.Name, field.Value);
  if (answer.Length && answer.Status != NoContentStatus)
    appendField(out, "content-length:", std::to_string(*answer.Length));
  if (exchange.AnswerChunked)
    appendField(out, "transfer-encoding:", "chunked");
  if (exchange.LastOnConnection || Serving == ServingState::Draining ||
      !it.RequestRead)
    appendField(out, "connection:", "close");
  it.Stream->write(out.append(LineEnd));
  exchange.Stage = AnswerStage::Body;
  return true;
}

/// While only the end of the connection ends an answer, the caller takes an
/// orderly end for that of the answer.
void FrontPlain::setAbortiveClose(Caller &it, bool reset) {
  if (it.AbortiveClose == reset)
    return;
  it.AbortiveClose = reset;
  if (int error = it.Stream->setAbortiveClose(reset))
    logLine(LogLevel::Warning, "caller-not-reset",
            {{"error", static_cast<int64_t>(error)}});
}

/// \returns true once the whole answer was handed over.
bool FrontPlain::writeBody(Caller &it, Exchange &exchange) {
  BackendCall &call = *exchange.Source;
  if (it.Stream->queued() > SendQueueBytes)
    return false;
  bool last = false;
  bool more = true;
  while (more && !last) {
    std::string_view rest = call.Answer.unread();
    std::string_view part = rest.substr(0, SendQueueBytes);
    last = exchange.AnswerWhole && part.size() == rest.size();
    if (exchange.AnswerChunked)
      it.Stream->write(frameChunk(part, last));
    else
      it.Stream->write(std::string(part));
    call.Answer.consume(part.size());
    // What the system did not take goes on in `onDrained`.
    more = !call.Answer.unread().empty() && it.Stream->queued() == 0;
  }
  Back.resume(call);
  if (!last && it.RequestRead)
    expectProgress(it);
  return last;
}

void FrontPlain::writeRefusal(Caller &it, Exchange &exchange) {
  uint32_t status = refusalStatus(exchange.Refusal);
  std::string text = problemDocument(exchange.Refusal, requestId(exchange));
  logRefusal(exchange);
  bool reuse = !exchange.FramingInDoubt && !exchange.LastOnConnection &&
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
  resumeReading(it);
  // The next request may have come already.
  if (!it.ReadingOn)
    readLater(it);
}

/// Ends a connection after what is queued.
/// \param unread bytes of the caller's are still to come.
void FrontPlain::endCaller(Caller &it, bool unread) {
  it.Ending = true;
  it.Lingering = unread || !it.In.unread().empty();
  it.In.clear();
  // The caller has to take what is queued first.
  if (it.Stream->queued() > 0) {
    it.Stream->pause();
    return expectProgress(it);
  }
  setAbortiveClose(it, false);
  if (!it.Lingering)
    return drop(it);
  it.Stream->resume();
  it.Stream->setDeadline(loopMillis(Loop) + LingerMs);
}

} // namespace guavasail
