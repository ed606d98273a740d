#include "back_http.h"

#include "answer_blob.h"
#include "duration_math.h"
#include "http_refusal.h"
#include "http_text.h"
#include "log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>

namespace guavasail {

namespace {

/// Bytes of a request's body that wait in a connection's queue.
constexpr size_t SendQueueBytes = 128 * 1024;
/// Largest head of an answer. No instance needs more than a caller may send.
constexpr uint32_t AnswerHeadBytes = 64 * 1024;
constexpr uint32_t SwitchingProtocols = 101;
constexpr uint32_t FirstFinalStatus = 200;
constexpr uint32_t FirstRedirectStatus = 300;
constexpr uint32_t MisdirectedStatus = 421;
constexpr uint32_t UnavailableStatus = 503;
/// Longest time for which an instance may turn this VM away.
constexpr Duration MaxBackoff = std::chrono::minutes(10);
/// Interim responses and responses to other requests, and their bytes, that
/// may precede the response to a request.
constexpr uint32_t MaxSkippedAnswers = 32;
constexpr uint64_t MaxSkippedBytes = 1024 * 1024;
/// Memory that an idle connection keeps.
constexpr size_t IdleBufferBytes = 32 * 1024;
/// Left of an announced idle time, for the way of the last request.
constexpr uint64_t IdleMarginMs = 1000;
/// A request that waits longer for its connection is logged.
constexpr uint64_t SlowSendMs = 100;
constexpr std::string_view EncodingName = "content-encoding:";
constexpr std::string_view AcceptEncodingName = "accept-encoding:";
constexpr std::string_view KeepAliveName = "keep-alive:";
constexpr std::string_view RetryAfterName = "retry-after:";
constexpr std::string_view TimeoutParameter = "timeout=";

uint64_t laneKey(InstanceHandle instance, Lane lane) {
  return (uint64_t{instance.Value} << 32) | lane.Value;
}

/// \returns milliseconds for which the peer keeps an idle connection, or
/// \p most if it does not say.
uint64_t idleMillis(const MessageHead &head, uint64_t most) {
  std::string_view list = head.field(KeepAliveName);
  while (!list.empty()) {
    std::string_view item = takeListItem(list);
    if (!equalIgnoringCase(item.substr(0, TimeoutParameter.size()),
                           TimeoutParameter))
      continue;
    auto seconds = parseNumber<uint32_t>(item.substr(TimeoutParameter.size()));
    uint64_t millis = uint64_t{seconds.value_or(0)} * 1000;
    return std::min(most, millis > IdleMarginMs ? millis - IdleMarginMs : 0);
  }
  return most;
}

/// \returns the time that a `Retry-After` in seconds names, zero if it names
/// none.
Duration parseRetryAfter(std::string_view text) {
  double seconds = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  bool number = at == end && !text.empty() && text.front() != '-';
  double most = inSeconds(MaxBackoff);
  if (!number || ec == std::errc::invalid_argument || std::isnan(seconds))
    return {};
  if (ec == std::errc::result_out_of_range || seconds > most)
    return MaxBackoff;
  return scaled(std::chrono::seconds(1), seconds);
}

LoadReport parseLoad(std::string_view text) {
  LoadReport load;
  load.Present = !text.empty();
  load.SlotsInUse = parseNumber<uint32_t>(takeListItem(text)).value_or(0);
  load.Waiting = parseNumber<uint32_t>(takeListItem(text)).value_or(0);
  return load;
}

bool hasField(const std::vector<HeaderField> &fields, std::string_view name) {
  return std::any_of(fields.begin(), fields.end(), [&](const auto &it) {
    return equalIgnoringCase(it.Name, name);
  });
}

/// The ids of the latest requests on a connection, as hashes.
class CarriedIds {
public:
  void add(std::string_view id) {
    Hashes[Count++ % Hashes.size()] = hashOf(id);
  }

  [[nodiscard]] bool contains(std::string_view id) const {
    auto end =
        Hashes.begin() + static_cast<ptrdiff_t>(std::min(Count, Hashes.size()));
    return std::find(Hashes.begin(), end, hashOf(id)) != end;
  }

private:
  static uint64_t hashOf(std::string_view id) {
    return std::hash<std::string_view>{}(id);
  }

  std::array<uint64_t, 16> Hashes{};
  size_t Count = 0;
};

} // namespace

/// One connection to an instance.
struct BackHttp::Connection {
  enum class Stage : uint8_t { Opening, Busy, Idle };

  TcpStream *Stream = nullptr;
  InstanceHandle Instance;
  Lane Number;
  InstanceSpec Spec;
  Stage State = Stage::Opening;
  AttemptHandle Attempt;
  /// Null once the attempt ended or was cancelled.
  BackendCall *Call = nullptr;
  /// When the request's time is over, in milliseconds of the loop's clock.
  uint64_t Due = 0;
  /// When the attempt was decided on, likewise.
  uint64_t StartedAt = 0;
  bool HeadSent = false;
  bool LastChunkSent = false;
  bool AnswerBegun = false;
  bool Answered = false;
  /// An answer to another request is being skipped.
  bool Skipping = false;
  /// Bytes came that belong to no request: the connection is not kept.
  bool Tainted = false;
  /// The instance announced its shutdown while it served the attempt.
  bool Leaving = false;
  /// Responses and bytes skipped for the attempt.
  uint32_t SkippedAnswers = 0;
  uint64_t SkippedBytes = 0;
  AttemptResponded Event;
  CarriedIds Carried;
  std::string In;
  std::string Body;
  std::unique_ptr<HttpReader> Reader;
};

BackHttp::BackHttp(uv_loop_t &loop, const Limits &bounds,
                   const HeaderNames &names, ExchangeTable &exchanges,
                   const BufferBudget &budget, EventSink &sink)
    : Loop(loop), Bounds(bounds), Names(names), Exchanges(exchanges),
      Budget(budget), Sink(sink) {}

BackHttp::~BackHttp() = default;

void BackHttp::close() {
  for (auto &[key, it] : Lanes)
    if (it->Stream)
      it->Stream->close();
  Lanes.clear();
}

/// \returns the connection for an attempt. One that carried a request with the
/// same id is not used again: the instance may repeat its answer to that one.
BackHttp::Connection &BackHttp::lane(const StartAttempt &effect,
                                     const InstanceSpec &instance,
                                     const Exchange &exchange) {
  auto &slot = Lanes[laneKey(effect.Instance, effect.Connection)];
  bool same = slot && slot->Spec.Address == instance.Address &&
              slot->Spec.Port == instance.Port &&
              slot->Spec.Started == instance.Started;
  if (same && Names.EchoedId && slot->Carried.contains(exchange.CallerId)) {
    logLine(LogLevel::Info, "backend-connection-renewed",
            {{"request", requestId(exchange)},
             {"instance", std::string_view(slot->Spec.Name)}});
    same = false;
  }
  if (slot && !same)
    slot->Stream->close();
  if (!same) {
    slot = std::make_unique<Connection>();
    slot->Instance = effect.Instance;
    slot->Number = effect.Connection;
    slot->Spec = instance;
    slot->Stream = TcpStream::connect(Loop, instance.Address, instance.Port,
                                      static_cast<StreamOwner &>(*this));
    slot->Stream->Context = slot.get();
    if (Budget.bounded())
      slot->Stream->boundBuffers(SocketBufferBytes);
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        Bounds.ConnectTimeout);
    slot->Stream->setDeadline(loopMillis(Loop) +
                              static_cast<uint64_t>(wait.count()));
  }
  return *slot;
}

void BackHttp::start(const StartAttempt &effect, const InstanceSpec &instance) {
  Exchange *exchange = Exchanges.find(effect.Attempt.Request);
  if (!exchange)
    return Sink.post(LaneFreed{effect.Instance, effect.Connection});
  auto call = std::make_unique<BackendCall>();
  call->Attempt = effect.Attempt;
  call->Workspace = effect.Workspace;
  call->Remaining =
      std::chrono::ceil<std::chrono::milliseconds>(effect.Remaining);
  Connection &it = lane(effect, instance, *exchange);
  call->Connection = &it;
  it.Call = call.get();
  it.Attempt = effect.Attempt;
  it.Due = loopMillis(Loop) + static_cast<uint64_t>(call->Remaining.count());
  it.StartedAt = loopMillis(Loop);
  it.HeadSent = it.LastChunkSent = false;
  exchange->Calls.push_back(std::move(call));
  // The start of a long body is not kept, so it cannot be sent again.
  if (exchange->BodyBase > 0)
    return fail(it, AttemptFault::Reset);
  Listener->bodyWanted(*exchange);
  if (it.State == Connection::Stage::Idle) {
    it.State = Connection::Stage::Busy;
    it.Stream->setDeadline(0);
    sendHead(it);
  }
}

void BackHttp::onOpen(TcpStream &stream) {
  auto &it = *static_cast<Connection *>(stream.Context);
  it.State = Connection::Stage::Busy;
  stream.setDeadline(0);
  sendHead(it);
}

void BackHttp::beginRead(Connection &it) {
  ReadLimits limits{AnswerHeadBytes, UINT64_MAX};
  it.Body.clear();
  it.Reader =
      std::make_unique<HttpReader>(MessageKind::Answer, limits, it.Body);
  it.AnswerBegun = it.Skipping = false;
  Exchange *exchange = Exchanges.find(it.Attempt.Request);
  if (exchange && exchange->Method == "HEAD")
    it.Reader->expectNoBody();
}

std::string BackHttp::requestHead(const Connection &it,
                                  const Exchange &exchange) const {
  std::string head = exchange.Method + " " + exchange.Target + " HTTP/1.1\r\n";
  appendField(head, "host:", Names.PassHost ? exchange.Host : it.Spec.Address);
  for (const HeaderField &field : exchange.Fields)
    appendField(head, field.Name, field.Value);
  uint64_t now = loopMillis(Loop);
  appendField(head, Names.Timeout + ":",
              std::to_string(it.Due > now ? it.Due - now : 1));
  if (!Names.ExpectedInstance.empty())
    appendField(head, Names.ExpectedInstance + ":", it.Spec.Name);
  if (!Names.Workspace.empty() && !it.Call->Workspace.empty())
    appendField(head, Names.Workspace + ":", it.Call->Workspace);
  // An empty body is declared too, or the instance would wait for one.
  if (exchange.BodyChunked && !exchange.RequestWhole)
    appendField(head, "transfer-encoding:", "chunked");
  else if (exchange.MayHaveBody)
    appendField(head, "content-length:", std::to_string(exchange.BodyBytes));
  return head + "\r\n";
}

void BackHttp::sendHead(Connection &it) {
  Exchange *exchange = Exchanges.find(it.Attempt.Request);
  if (!it.Call || !exchange)
    return fail(it, AttemptFault::ConnectFailed);
  it.Answered = it.Leaving = false;
  it.SkippedAnswers = 0;
  it.SkippedBytes = 0;
  it.Event = AttemptResponded{};
  it.Event.Attempt = it.Attempt;
  beginRead(it);
  // A chunked body that is whole by now has a length.
  it.LastChunkSent = !exchange->BodyChunked || exchange->RequestWhole;
  it.HeadSent = true;
  if (uint64_t wait = loopMillis(Loop) - it.StartedAt; wait >= SlowSendMs)
    logLine(LogLevel::Info, "request-sent-late",
            {{"request", requestId(*exchange)},
             {"instance", it.Spec.Name},
             {"wait_ms", static_cast<int64_t>(wait)}});
  it.Carried.add(exchange->CallerId);
  it.Stream->write(requestHead(it, *exchange));
  sendBody(it);
}

void BackHttp::sendBody(Connection &it) {
  Exchange *exchange = Exchanges.find(it.Attempt.Request);
  if (!it.Call || !exchange || !it.HeadSent)
    return;
  uint64_t from = it.Call->SentBytes - exchange->BodyBase;
  std::string_view rest = std::string_view(exchange->Body).substr(from);
  if (it.Stream->queued() > SendQueueBytes)
    return;
  if (it.LastChunkSent) {
    it.Stream->write(std::string(rest));
  } else {
    bool last = exchange->RequestWhole;
    it.Stream->write(frameChunk(rest, last));
    it.LastChunkSent = last;
  }
  it.Call->SentBytes += rest.size();
  if (exchange->BodyBytes > Bounds.MaxReplayBytes && !rest.empty()) {
    exchange->Body.erase(0, from + rest.size());
    exchange->BodyBase = it.Call->SentBytes;
  }
  Listener->bodyDrained(*exchange);
}

void BackHttp::onDrained(TcpStream &stream) {
  sendBody(*static_cast<Connection *>(stream.Context));
}

void BackHttp::bodyGrew(Exchange &exchange) {
  for (const auto &it : exchange.Calls)
    if (it->Connection)
      sendBody(*static_cast<Connection *>(it->Connection));
}

void BackHttp::onBytes(TcpStream &stream, std::string_view bytes) {
  auto &it = *static_cast<Connection *>(stream.Context);
  if (it.State == Connection::Stage::Idle) {
    // Nothing was asked: whatever this is, no request may get it.
    logLine(LogLevel::Warning, "backend-bytes-unasked",
            {{"instance", it.Spec.Name},
             {"bytes", static_cast<int64_t>(bytes.size())}});
    return drop(it);
  }
  it.In.append(bytes);
  readOn(it);
}

void BackHttp::readOn(Connection &it) {
  while (true) {
    Exchange *exchange = Exchanges.find(it.Attempt.Request);
    if (!it.Call || !exchange)
      return drop(it);
    size_t n = it.Reader->feed(it.In);
    it.In.erase(0, n);
    if (it.Reader->fault() != ReadFault::None)
      return fail(it, it.Answered ? AttemptFault::Truncated
                                  : AttemptFault::MalformedAnswer);
    if (!it.Reader->headRead())
      return;
    if (!it.AnswerBegun && !takeHead(it, *exchange))
      return fail(it, AttemptFault::MalformedAnswer);
    bool own = !it.Skipping;
    if (own)
      takeBody(it, *exchange);
    else if (!skipBody(it))
      return fail(it, AttemptFault::MalformedAnswer);
    if (!it.Reader->whole())
      return;
    if (own)
      return complete(it, *exchange);
    ++it.SkippedAnswers;
    beginRead(it);
  }
}

/// Drops the body bytes of a response that is not the attempt's.
/// \returns false if there are too many of them, or of such responses.
bool BackHttp::skipBody(Connection &it) {
  it.SkippedBytes += it.Body.size();
  it.Body.clear();
  return it.SkippedBytes <= MaxSkippedBytes &&
         it.SkippedAnswers < MaxSkippedAnswers;
}

/// \returns true if the response names another request. One that names any is
/// foreign to a request that was sent without an id.
bool BackHttp::isForeign(const Connection &it, const Exchange &exchange) const {
  if (!Names.EchoedId)
    return false;
  std::string_view echoed = it.Reader->head().field(Names.RequestId + ":");
  return !echoed.empty() && echoed != exchange.CallerId;
}

/// \returns true if the answer can be the instance's own.
bool BackHttp::isGenuine(const MessageHead &head,
                         const Exchange &exchange) const {
  std::string idName = Names.RequestId + ":";
  if (Names.EchoedId && !exchange.CallerId.empty() && (head.count(idName) != 1))
    return false;
  bool success =
      head.Status >= FirstFinalStatus && head.Status < FirstRedirectStatus;
  if (Names.Signature.empty() || !success)
    return true;
  bool encoded = head.count(EncodingName) > 0 &&
                 !hasField(exchange.Fields, AcceptEncodingName);
  return head.count(Names.Signature + ":") == 1 && !encoded;
}

/// Takes the head of the next answer.
/// \returns false if it makes no sense.
bool BackHttp::takeHead(Connection &it, Exchange &exchange) {
  MessageHead &head = it.Reader->head();
  it.AnswerBegun = true;
  it.Leaving |= head.count(Names.Leaving + ":") > 0;
  if (head.Status == SwitchingProtocols)
    return false;
  it.Skipping = head.Status < FirstFinalStatus;
  if (it.Skipping)
    return true;
  if (isForeign(it, exchange)) {
    logLine(LogLevel::Warning, "backend-answer-foreign",
            {{"request", std::string_view(exchange.CallerId)},
             {"instance", it.Spec.Name}});
    it.Skipping = it.Tainted = true;
    return true;
  }
  bool clean = std::all_of(
      head.Fields.begin(), head.Fields.end(),
      [](const HeaderField &field) { return isCleanValue(field.Value); });
  if (!clean || !isGenuine(head, exchange))
    return false;
  it.Event.Status = head.Status;
  it.Event.Misdirected =
      head.Status == MisdirectedStatus && !Names.ExpectedInstance.empty();
  it.Event.Shed = it.Event.Misdirected || head.count(Names.NotRun + ":") > 0;
  it.Event.Load = parseLoad(head.field(Names.Load + ":"));
  it.Event.Leaving = it.Leaving;
  if (head.Status == UnavailableStatus)
    it.Event.Backoff = parseRetryAfter(head.field(RetryAfterName));
  AnswerHead &answer = it.Call->Head;
  answer.Status = head.Status;
  answer.Length = head.Length;
  answer.Chunked = head.Chunked;
  answer.Fields = head.Fields;
  dropHopByHop(answer.Fields);
  // An HTTP/1.0 caller needs a length, which only a whole answer has.
  bool hold = Bounds.BufferResponses || (exchange.OldCaller && !head.Length);
  if (!hold)
    postAnswered(it);
  return true;
}

void BackHttp::postAnswered(Connection &it) {
  if (it.Answered)
    return;
  it.Answered = true;
  Sink.post(it.Event);
}

void BackHttp::takeBody(Connection &it, Exchange &exchange) {
  if (it.Body.empty())
    return;
  BackendCall &call = *it.Call;
  call.Answer.append(it.Body);
  call.AnswerBytes += it.Body.size();
  if (exchange.KeepAnswer && call.AnswerBytes <= MaxKeptBodyBytes)
    call.Kept.append(it.Body);
  it.Body.clear();
  // Over budget the answer is passed on as it comes: what the caller takes
  // makes room.
  if (call.Answer.unread().size() > Bounds.MaxResponseBufferBytes ||
      Budget.full()) {
    postAnswered(it);
    call.Paused = true;
    it.Stream->pause();
  }
  if (it.Answered)
    Listener->answerGrew(exchange);
  else
    Listener->answerHeld(exchange);
}

void BackHttp::complete(Connection &it, Exchange &exchange) {
  BackendCall &call = *it.Call;
  bool requestSent = it.LastChunkSent && exchange.bodyRead() &&
                     call.SentBytes >= exchange.receivedBytes();
  bool bodyless = exchange.Method == "HEAD" || call.Head.Status == 204 ||
                  call.Head.Status == 304;
  // A whole answer in hand has a length, whatever way it came.
  if (!it.Answered && !bodyless)
    call.Head.Length = call.AnswerBytes;
  postAnswered(it);
  bool keep = exchange.KeepAnswer && call.AnswerBytes == call.Kept.size();
  if (keep)
    exchange.Kept = encodeAnswer(call.Head, call.Kept);
  Sink.post(AttemptCompleted{it.Attempt, call.AnswerBytes, exchange.Kept});
  call.Connection = nullptr;
  it.Call = nullptr;
  Sink.post(LaneFreed{it.Instance, it.Number});
  keepOrClose(it, requestSent);
}

void BackHttp::keepOrClose(Connection &it, bool requestSent) {
  auto most = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Bounds.LaneIdleTimeout)
          .count());
  uint64_t idle = idleMillis(it.Reader->head(), most);
  bool keep = requestSent && !it.Tainted && it.In.empty() && idle > 0 &&
              it.Reader->head().KeepAlive;
  if (!keep)
    return drop(it);
  it.State = Connection::Stage::Idle;
  it.Reader.reset();
  if (it.In.capacity() + it.Body.capacity() > IdleBufferBytes) {
    it.In = std::string();
    it.Body = std::string();
  }
  it.Stream->resume();
  it.Stream->setDeadline(loopMillis(Loop) + idle);
}

void BackHttp::onEnd(TcpStream &stream, StreamEnd end) {
  auto &it = *static_cast<Connection *>(stream.Context);
  it.Stream = nullptr;
  if (it.State == Connection::Stage::Idle)
    return drop(it);
  if (it.State == Connection::Stage::Opening)
    return fail(it, end == StreamEnd::TimedOut ? AttemptFault::ConnectTimedOut
                                               : AttemptFault::ConnectFailed);
  Exchange *exchange = Exchanges.find(it.Attempt.Request);
  bool last = end == StreamEnd::Closed && it.Reader && !it.Skipping &&
              it.Reader->endsWithConnection();
  if (last && it.Call && exchange) {
    it.Reader->end();
    it.Tainted = true;
    logLine(LogLevel::Info, "backend-answer-unframed",
            {{"request", requestId(*exchange)},
             {"instance", std::string_view(it.Spec.Name)},
             {"bytes", static_cast<int64_t>(it.Call->AnswerBytes)}});
    return complete(it, *exchange);
  }
  fail(it, it.Answered ? AttemptFault::Truncated : AttemptFault::Reset);
}

void BackHttp::fail(Connection &it, AttemptFault fault) {
  if (it.Call) {
    it.Call->Connection = nullptr;
    Sink.post(AttemptFailed{it.Attempt, fault, it.HeadSent, it.Leaving});
    it.Call = nullptr;
    Sink.post(LaneFreed{it.Instance, it.Number});
  }
  drop(it);
}

/// Closes a connection and forgets it.
void BackHttp::drop(Connection &it) {
  if (it.Stream)
    it.Stream->close();
  Lanes.erase(laneKey(it.Instance, it.Number));
}

void BackHttp::cancel(const CancelAttempt &effect) {
  Exchange *exchange = Exchanges.find(effect.Attempt.Request);
  BackendCall *call = exchange ? exchange->call(effect.Attempt) : nullptr;
  if (call)
    detach(*call);
}

void BackHttp::detach(BackendCall &call) {
  if (!call.Connection)
    return;
  auto &it = *static_cast<Connection *>(call.Connection);
  call.Connection = nullptr;
  it.Call = nullptr;
  Sink.post(LaneFreed{it.Instance, it.Number});
  drop(it);
}

void BackHttp::resume(BackendCall &call) {
  size_t most = Budget.full() ? 0 : Bounds.MaxResponseBufferBytes;
  bool room = call.Answer.unread().size() <= most;
  if (!call.Paused || !call.Connection || !room)
    return;
  call.Paused = false;
  static_cast<Connection *>(call.Connection)->Stream->resume();
}

void BackHttp::release(Exchange &exchange) {
  for (const auto &it : exchange.Calls)
    detach(*it);
  exchange.Source = nullptr;
  exchange.Calls.clear();
}

} // namespace guavasail
