#include "operator_door.h"

#include "http_reader.h"
#include "http_text.h"
#include "log.h"

#include <algorithm>
#include <span>
#include <utility>

namespace guavasail {

namespace {

constexpr int ListenBacklog = 64;
/// Connections to all of these sockets.
constexpr size_t MaxConnections = 32;
constexpr ReadLimits RequestLimits{8 * 1024, 4 * 1024};
/// Bytes of earlier answers that the peer may leave unread.
constexpr size_t MaxUnsentBytes = 64 * 1024;
constexpr uint32_t OkStatus = 200;
constexpr uint32_t NotFoundStatus = 404;
constexpr uint32_t UnavailableStatus = 503;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view ReadyRowPath = "/-/ready";

/// A health endpoint, and the states in which it answers that all is well.
struct HealthRow {
  std::string_view Path;
  std::span<const ServingState> Good;
};

constexpr ServingState AllStates[] = {
    ServingState::Starting, ServingState::Ready, ServingState::Unconfirmed,
    ServingState::Draining};
constexpr ServingState ReadyState[] = {ServingState::Ready};
constexpr ServingState DrainingState[] = {ServingState::Draining};

constexpr auto HealthRows = std::to_array<HealthRow>({
    {"/-/alive", AllStates},
    {ReadyRowPath, ReadyState},
    {"/-/draining", DrainingState},
});

/// \returns the status with which the health endpoint \p path answers.
uint32_t healthStatus(std::string_view path, ServingState state) {
  for (const HealthRow &row : HealthRows) {
    if (row.Path != path)
      continue;
    bool good =
        std::find(row.Good.begin(), row.Good.end(), state) != row.Good.end();
    return good ? OkStatus : UnavailableStatus;
  }
  return NotFoundStatus;
}

} // namespace

struct OperatorDoors::Connection {
  TcpStream *Stream = nullptr;
  const Door *At = nullptr;
  std::string In;
  std::string Body;
  std::unique_ptr<HttpReader> Reader;
};

OperatorDoors::OperatorDoors(uv_loop_t &loop, const Settings &settings,
                             std::function<std::string()> metrics)
    : Loop(loop), Config(settings), Metrics(std::move(metrics)) {
  Doors[0].Handle = &OperatorDoors::answerReady;
  Doors[1].Handle = &OperatorDoors::answerMetrics;
}

OperatorDoors::~OperatorDoors() = default;

bool OperatorDoors::open() {
  const DaemonSettings &daemon = Config.Daemon;
  return openDoor(Doors[0], daemon.ReadyAddress, daemon.ReadyPort) &&
         openDoor(Doors[1], daemon.MetricsAddress, daemon.MetricsPort);
}

bool OperatorDoors::openDoor(Door &door, const std::string &address,
                             uint32_t port) {
  if (port == 0)
    return true;
  door.Owner = this;
  door.Listener.data = &door;
  door.Open = true;
  return bindListener(Loop, door.Listener, address, port) &&
         uv_listen(reinterpret_cast<uv_stream_t *>(&door.Listener),
                   ListenBacklog, &OperatorDoors::onConnection) == 0;
}

void OperatorDoors::close() {
  for (Door &door : Doors)
    if (std::exchange(door.Open, false))
      uv_close(reinterpret_cast<uv_handle_t *>(&door.Listener), nullptr);
  for (auto &it : Connections)
    it->Stream->close();
  Connections.clear();
}

void OperatorDoors::onConnection(uv_stream_t *server, int status) {
  const auto &door = *static_cast<const Door *>(server->data);
  if (status == 0)
    door.Owner->welcome(door);
}

void OperatorDoors::welcome(const Door &door) {
  auto *server = const_cast<uv_stream_t *>(
      reinterpret_cast<const uv_stream_t *>(&door.Listener));
  TcpStream *stream =
      TcpStream::accept(*server, static_cast<StreamOwner &>(*this));
  if (!stream)
    return;
  if (Connections.size() >= MaxConnections) {
    logLine(LogLevel::Warning, "caller-closed",
            {{"reason", "operator-connections"}});
    Connections.front()->Stream->close();
    Connections.erase(Connections.begin());
  }
  Connection &it = *Connections.emplace_back(std::make_unique<Connection>());
  it.Stream = stream;
  it.At = &door;
  stream->Context = &it;
  expectProgress(*stream);
}

void OperatorDoors::expectProgress(TcpStream &stream) const {
  auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
      Config.Bounds.CallerIdleTimeout);
  stream.setDeadline(loopMillis(Loop) + static_cast<uint64_t>(idle.count()));
}

void OperatorDoors::onBytes(TcpStream &stream, std::string_view bytes) {
  auto &it = *static_cast<Connection *>(stream.Context);
  it.In.append(bytes);
  if (!it.Reader)
    it.Reader = std::make_unique<HttpReader>(MessageKind::Request,
                                             RequestLimits, it.Body);
  it.In.erase(0, it.Reader->feed(it.In));
  if (it.Reader->fault() != ReadFault::None ||
      stream.queued() > MaxUnsentBytes) {
    stream.close();
    return forget(it);
  }
  if (!it.Reader->whole())
    return;
  const MessageHead &head = it.Reader->head();
  std::string_view target = head.Target;
  Answer answer = (this->*it.At->Handle)(target.substr(0, target.find('?')));
  bool reuse = head.KeepAlive && it.In.empty();
  std::string out = "HTTP/1.1 " + std::to_string(answer.Status) + " " +
                    std::string(reasonPhrase(answer.Status)) + "\r\n";
  appendField(out, "content-type:", "text/plain");
  appendField(out, "content-length:", std::to_string(answer.Text.size()));
  if (!reuse)
    appendField(out, "connection:", "close");
  out.append(LineEnd);
  if (head.Method != "HEAD")
    out.append(answer.Text);
  it.Reader.reset();
  it.Body.clear();
  stream.write(std::move(out));
  if (reuse)
    return expectProgress(stream);
  stream.closeWhenSent();
  forget(it);
}

void OperatorDoors::onEnd(TcpStream &stream, StreamEnd) {
  forget(*static_cast<Connection *>(stream.Context));
}

/// Takes a connection off the list whose stream is closed or closes by itself.
void OperatorDoors::forget(const Connection &it) {
  it.Stream->Context = nullptr;
  std::erase_if(Connections,
                [&](const auto &item) { return item.get() == &it; });
}

OperatorDoors::Answer OperatorDoors::answerReady(std::string_view path) const {
  bool ready = path == Config.Daemon.ReadyPath;
  Answer answer;
  answer.Status = healthStatus(ready ? ReadyRowPath : path, Serving);
  answer.Text = servingStateName(Serving);
  if (!ServingReason.empty())
    answer.Text.append(": ").append(ServingReason);
  return answer;
}

OperatorDoors::Answer OperatorDoors::answerMetrics(std::string_view) const {
  return {OkStatus, Metrics()};
}

} // namespace guavasail
