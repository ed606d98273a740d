#include "peer_transport_uv.h"

#include "log.h"
#include "peer_codec_cbor.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace guavasail {

namespace {

constexpr size_t MaxFrameBytes = 2 * MaxPeerMessageBytes;
constexpr size_t ReadBytes = 64 * 1024;
constexpr int ListenBacklog = 128;
constexpr uint64_t FirstBackOffMs = 100;
constexpr uint64_t MostBackOffMs = 5000;
/// Bytes that the kernel may refuse before a link counts as stuck.
constexpr size_t MaxUnsentBytes = 1024 * 1024;

/// Time after which unacknowledged bytes end a connection. Without it a link
/// would stay silent long after a partition has healed, since the kernel waits
/// ever longer before it sends again.
constexpr unsigned UnacknowledgedMs = 5000;

void limitUnacknowledged(uv_tcp_t &tcp) {
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t *>(&tcp), &fd) == 0)
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs,
               sizeof(UnacknowledgedMs));
}

/// A write in progress and its bytes.
struct Write {
  uv_write_t Request{};
  std::string Bytes;
};

void onWritten(uv_write_t *request, int) {
  delete static_cast<Write *>(request->data);
}

uv_stream_t *streamOf(uv_tcp_t &tcp) {
  return reinterpret_cast<uv_stream_t *>(&tcp);
}

uv_handle_t *handleOf(uv_tcp_t &tcp) {
  return reinterpret_cast<uv_handle_t *>(&tcp);
}

/// \returns false if \p address is not an IP number.
bool parseAddress(const std::string &address, uint32_t port,
                  sockaddr_storage &out) {
  auto number = static_cast<int>(port);
  if (uv_ip4_addr(address.c_str(), number,
                  reinterpret_cast<sockaddr_in *>(&out)) == 0)
    return true;
  return uv_ip6_addr(address.c_str(), number,
                     reinterpret_cast<sockaddr_in6 *>(&out)) == 0;
}

} // namespace

PeerTransport::PeerTransport(uv_loop_t &loop, PeerTransportInit init,
                             const Membership &members, EventSink &sink)
    : Loop(loop), Init(std::move(init)), Members(members), Sink(sink),
      Factory(MaxFrameBytes + PeerSealBytes), ReadBuffer(ReadBytes) {}

PeerTransport::~PeerTransport() = default;

bool PeerTransport::listen() {
  sockaddr_storage address{};
  if (Init.Keys.empty() ||
      !parseAddress(Init.ListenAddress, Init.ListenPort, address))
    return false;
  uv_tcp_init(&Loop, &Listener);
  uv_timer_init(&Loop, &Timer);
  Listener.data = Timer.data = this;
  Open = true;
  uv_timer_start(&Timer, &PeerTransport::onTick, TickMs, TickMs);
  int fault =
      uv_tcp_bind(&Listener, reinterpret_cast<const sockaddr *>(&address), 0);
  if (fault == 0)
    fault = uv_listen(streamOf(Listener), ListenBacklog,
                      &PeerTransport::onConnection);
  return fault == 0;
}

void PeerTransport::close() {
  if (!Open)
    return;
  Open = false;
  uv_close(handleOf(Listener), nullptr);
  uv_close(reinterpret_cast<uv_handle_t *>(&Timer), nullptr);
  for (auto &it : Sockets)
    closeSocket(*it, PeerLinkFault::SessionClosed);
}

// Sending.

PeerTransport::Outgoing &PeerTransport::outgoing(VmHandle vm) {
  if (Queues.size() <= vm.Value)
    Queues.resize(vm.Value + 1);
  return Queues[vm.Value];
}

void PeerTransport::send(std::span<const VmHandle> to, const PeerBody &body) {
  Encoded.clear();
  encode(body, Encoded);
  for (VmHandle vm : to)
    enqueue(vm);
}

/// Queues the encoded message for one VM.
void PeerTransport::enqueue(VmHandle to) {
  Outgoing &out = outgoing(to);
  bool waits = !out.Via && uv_now(&Loop) < out.RetryMs;
  bool fits = Encoded.size() <= MaxPeerMessageBytes &&
              out.Batch.size() + Encoded.size() <= Init.QueueBytes;
  if (!Open || waits || !fits) {
    ++Stats.Dropped;
    return;
  }
  appendToBatch(Encoded, out.Batch);
  ++Stats.MessagesOut;
  if (out.Dirty)
    return;
  out.Dirty = true;
  DirtyQueues.push_back(to.Value);
}

void PeerTransport::flush() {
  for (size_t n = 0; n < DirtyQueues.size(); ++n) {
    VmHandle vm{DirtyQueues[n]};
    Queues[vm.Value].Dirty = false;
    if (!Queues[vm.Value].Via)
      connect(vm);
    sendBatch(Queues[vm.Value]);
  }
  DirtyQueues.clear();
}

void PeerTransport::sendBatch(Outgoing &out) {
  if (!out.Via || !out.Via->Link->ready() || out.Batch.empty())
    return;
  Socket &socket = *out.Via;
  socket.UsedMs = uv_now(&Loop);
  std::span<const uint8_t> rest = out.Batch;
  while (!rest.empty() && socket.Link->ready()) {
    std::span<const uint8_t> frame = rest;
    size_t n = 0;
    while (auto message = takeFromBatch(rest)) {
      size_t end = static_cast<size_t>(rest.data() - frame.data());
      if (n > 0 && end > MaxFrameBytes) {
        rest = frame.subspan(n);
        break;
      }
      n = end;
    }
    socket.Link->send(frame.first(n));
  }
  out.Batch.clear();
  writeOut(socket);
}

void PeerTransport::connect(VmHandle to) {
  const VmEntry &vm = Members.entry(to);
  Outgoing &out = outgoing(to);
  sockaddr_storage address{};
  if (!parseAddress(vm.Address, vm.PeerPort, address)) {
    out.Batch.clear();
    return;
  }
  if (Sockets.size() >= Init.Links)
    closeLeastUsed();
  Socket &socket = addSocket(PeerLinkRole::Client, vm.Name);
  socket.Peer = to;
  out.Via = &socket;
  socket.Connect.data = &socket;
  int fault = uv_tcp_connect(&socket.Connect, &socket.Tcp,
                             reinterpret_cast<const sockaddr *>(&address),
                             &PeerTransport::onConnected);
  if (fault != 0)
    closeSocket(socket, PeerLinkFault::ConnectFailed);
}

void PeerTransport::onConnected(uv_connect_t *request, int status) {
  Socket &socket = *static_cast<Socket *>(request->data);
  if (socket.Closing)
    return;
  if (status != 0)
    return socket.Owner->closeSocket(socket, PeerLinkFault::ConnectFailed);
  socket.Owner->startReading(socket);
  socket.Link->start();
  socket.Owner->writeOut(socket);
}

// Sockets.

PeerTransport::Socket &PeerTransport::addSocket(PeerLinkRole role,
                                                std::string peerName) {
  Socket &socket = *Sockets.emplace_back(std::make_unique<Socket>());
  uv_tcp_init(&Loop, &socket.Tcp);
  uv_tcp_nodelay(&socket.Tcp, 1);
  socket.Tcp.data = &socket;
  socket.Owner = this;
  socket.OpenedMs = socket.UsedMs = uv_now(&Loop);
  socket.Credit = Init.ReceiveBurst;
  PeerLinkInit init{role, Init.SelfName, std::move(peerName), Init.Keys};
  socket.Link = std::make_unique<PeerLink>(init, Factory,
                                           static_cast<PeerLinkOwner &>(*this));
  SocketOfLink.emplace(socket.Link.get(), &socket);
  return socket;
}

PeerTransport::Socket *PeerTransport::socketOf(const PeerLink &link) {
  auto it = SocketOfLink.find(&link);
  return it == SocketOfLink.end() ? nullptr : it->second;
}

void PeerTransport::onConnection(uv_stream_t *server, int status) {
  auto *self = static_cast<PeerTransport *>(server->data);
  if (status != 0 || !self->Open)
    return;
  if (self->Sockets.size() >= self->Init.Links)
    self->closeLeastUsed();
  Socket &socket = self->addSocket(PeerLinkRole::Server, "");
  if (uv_accept(server, streamOf(socket.Tcp)) != 0)
    return self->closeSocket(socket, PeerLinkFault::ConnectFailed);
  // Closed sockets leave the table only after this turn of the loop.
  if (self->Sockets.size() > 2 * self->Init.Links)
    return self->closeSocket(socket, PeerLinkFault::TooManyLinks);
  self->startReading(socket);
  socket.Link->start();
  self->writeOut(socket);
}

void PeerTransport::startReading(Socket &socket) {
  auto allocate = [](uv_handle_t *handle, size_t, uv_buf_t *buf) {
    auto &buffer = static_cast<Socket *>(handle->data)->Owner->ReadBuffer;
    *buf = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
  };
  socket.Reading = true;
  limitUnacknowledged(socket.Tcp);
  uv_read_start(streamOf(socket.Tcp), allocate, &PeerTransport::onRead);
}

void PeerTransport::onRead(uv_stream_t *stream, ssize_t n,
                           const uv_buf_t *buf) {
  Socket &socket = *static_cast<Socket *>(stream->data);
  PeerTransport &self = *socket.Owner;
  if (socket.Closing || n == 0)
    return;
  if (n < 0)
    return self.closeSocket(socket, PeerLinkFault::SessionClosed);
  auto bytes = static_cast<uint64_t>(n);
  self.Stats.BytesIn += bytes;
  socket.Link->receive({buf->base, static_cast<size_t>(n)});
  self.writeOut(socket);
  socket.Credit -= std::min(socket.Credit, bytes);
  if (socket.Credit > 0 || socket.Closing)
    return;
  // The VM sends too fast: what is not read slows it down.
  socket.Reading = false;
  uv_read_stop(stream);
}

void PeerTransport::writeOut(Socket &socket) {
  if (socket.Closing || socket.Wire.empty())
    return;
  if (uv_stream_get_write_queue_size(streamOf(socket.Tcp)) > MaxUnsentBytes)
    return closeSocket(socket, PeerLinkFault::QueueFull);
  auto *write = new Write;
  write->Bytes.swap(socket.Wire);
  write->Request.data = write;
  Stats.BytesOut += write->Bytes.size();
  uv_buf_t buf = uv_buf_init(write->Bytes.data(),
                             static_cast<unsigned>(write->Bytes.size()));
  if (uv_write(&write->Request, streamOf(socket.Tcp), &buf, 1, &onWritten) == 0)
    return;
  delete write;
  closeSocket(socket, PeerLinkFault::SessionClosed);
}

void PeerTransport::closeLeastUsed() {
  Socket *oldest = nullptr;
  for (auto &it : Sockets)
    if (!it->Closing && (!oldest || it->UsedMs < oldest->UsedMs))
      oldest = it.get();
  if (oldest)
    closeSocket(*oldest, PeerLinkFault::TooManyLinks);
}

void PeerTransport::closeSocket(Socket &socket, PeerLinkFault fault) {
  if (socket.Closing)
    return;
  socket.Closing = true;
  uv_close(handleOf(socket.Tcp), &PeerTransport::onClosed);
  bool expected = socket.EverReady && (fault == PeerLinkFault::Idle ||
                                       fault == PeerLinkFault::SessionClosed);
  if (!expected)
    logFault(fault, socket.Link->peerName());
  if (!socket.Peer.valid())
    return;
  Outgoing &out = outgoing(socket.Peer);
  if (out.Via != &socket)
    return;
  out.Via = nullptr;
  out.Batch.clear();
  out.RetryMs = 0;
  if (socket.EverReady)
    return;
  out.BackOffMs = std::clamp(2 * out.BackOffMs, FirstBackOffMs, MostBackOffMs);
  out.RetryMs = uv_now(&Loop) + out.BackOffMs;
}

void PeerTransport::onClosed(uv_handle_t *handle) {
  auto *socket = static_cast<Socket *>(handle->data);
  socket->Owner->SocketOfLink.erase(socket->Link.get());
  std::erase_if(socket->Owner->Sockets,
                [&](const auto &it) { return it.get() == socket; });
}

} // namespace guavasail
