#include "log.h"
#include "peer_codec_cbor.h"
#include "peer_transport_uv.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint64_t HandshakeMs = 2000;
constexpr uint64_t IdleMs = 30000;
/// At most one line a second for each kind of fault.
constexpr uint64_t LogPeriodMs = 1000;

} // namespace

void PeerTransport::onWire(PeerLink &link, std::string_view bytes) {
  if (Socket *socket = socketOf(link))
    socket->Wire.append(bytes);
}

bool PeerTransport::knowsPeer(std::string_view name) {
  return Members.find(name).valid();
}

void PeerTransport::onReady(PeerLink &link) {
  Socket *socket = socketOf(link);
  if (!socket)
    return;
  ++Stats.LinksOpened;
  socket->EverReady = true;
  socket->Peer = Members.find(link.peerName());
  if (!socket->Peer.valid())
    return closeSocket(*socket, PeerLinkFault::PeerUnknown);
  Outgoing &out = outgoing(socket->Peer);
  out.BackOffMs = 0;
  if (!out.Via)
    out.Via = socket;
  if (out.Via == socket)
    sendBatch(out);
}

void PeerTransport::onFrame(PeerLink &link, std::span<const uint8_t> payload) {
  Socket *socket = socketOf(link);
  if (!socket)
    return;
  socket->UsedMs = uv_now(&Loop);
  while (auto message = takeFromBatch(payload)) {
    auto body = decode(*message);
    if (body) {
      ++Stats.MessagesIn;
      Sink.post(PeerMessageReceived{socket->Peer, std::move(body.value())});
      continue;
    }
    bool unknown = body.error().Fault == PeerDecodeFault::KindUnknown;
    ++(unknown ? Stats.UnknownKinds : Stats.Malformed);
    if (!unknown)
      logLine(LogLevel::Warning, "peer-message-refused",
              {{"peer", std::string_view(link.peerName())},
               {"fault", peerDecodeFaultName(body.error().Fault)},
               {"kind", int64_t{body.error().Kind}}});
  }
  if (!payload.empty())
    closeSocket(*socket, PeerLinkFault::FrameInvalid);
}

void PeerTransport::onFailed(PeerLink &link, PeerLinkFault fault) {
  if (Socket *socket = socketOf(link)) {
    writeOut(*socket);
    closeSocket(*socket, fault);
  }
}

void PeerTransport::logFault(PeerLinkFault fault, std::string_view peer) {
  uint64_t now = uv_now(&Loop);
  uint64_t &last = LastLogMs[static_cast<size_t>(fault)];
  if (last != 0 && now - last < LogPeriodMs)
    return;
  last = now;
  logLine(LogLevel::Warning, "peer-link-ended",
          {{"peer", peer}, {"fault", peerLinkFaultName(fault)}});
}

void PeerTransport::onTick(uv_timer_t *timer) {
  static_cast<PeerTransport *>(timer->data)->tick();
}

void PeerTransport::tick() {
  uint64_t now = uv_now(&Loop);
  for (auto &it : Sockets)
    if (!it->Closing)
      keepSocket(*it, now);
}

void PeerTransport::keepSocket(Socket &socket, uint64_t now) {
  constexpr uint64_t TicksPerSecond = 1000 / TickMs;
  socket.Credit = std::min(socket.Credit + Init.ReceiveRate / TicksPerSecond,
                           Init.ReceiveBurst);
  bool ready = socket.Link->ready();
  if (!ready && now - socket.OpenedMs > HandshakeMs)
    return closeSocket(socket, PeerLinkFault::HandshakeTimedOut);
  if (now - socket.UsedMs > IdleMs)
    return closeSocket(socket, PeerLinkFault::Idle);
  if (ready && !socket.Reading)
    startReading(socket);
}

} // namespace guavasail
