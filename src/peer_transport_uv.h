/// \file
/// Links to other daemons over TCP on the process loop: opened on demand,
/// closed when idle, with bounded queues.
#ifndef GUAVASAIL_SRC_PEER_TRANSPORT_UV_H
#define GUAVASAIL_SRC_PEER_TRANSPORT_UV_H

#include "event_sink.h"
#include "guavasail/member.h"
#include "membership.h"
#include "peer_link.h"

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <uv.h>
#include <vector>

namespace guavasail {

/// Describes the transport. Bounds have defaults.
struct PeerTransportInit {
  std::string ListenAddress;
  uint32_t ListenPort = 0;
  std::string SelfName;
  PeerKeyRing Keys;
  /// Open links, over all VMs. The owner of a busy service has one to each
  /// other VM.
  size_t Links = 1024;
  /// Bytes that wait for one VM.
  size_t QueueBytes = 256 * 1024;
  /// Bytes a second that one VM may send, and the most at once.
  uint64_t ReceiveRate = 512 * 1024;
  uint64_t ReceiveBurst = 1024 * 1024;
};

/// What the transport has done since its start.
struct PeerTransportStats {
  uint64_t BytesIn = 0;
  uint64_t BytesOut = 0;
  uint64_t MessagesIn = 0;
  uint64_t MessagesOut = 0;
  uint64_t LinksOpened = 0;
  /// Messages of a kind that this version does not know.
  uint64_t UnknownKinds = 0;
  uint64_t Malformed = 0;
  /// Messages that were not sent because no link or no room was there.
  uint64_t Dropped = 0;
};

class PeerTransport : private PeerLinkOwner {
public:
  /// \param loop carries the sockets.
  /// \param init place, secrets and bounds.
  /// \param members names and addresses of the other VMs.
  /// \param sink receives `PeerMessageReceived`.
  PeerTransport(uv_loop_t &loop, PeerTransportInit init,
                const Membership &members, EventSink &sink);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// \returns false if the address cannot be used.
  bool listen();

  /// Queues a message for each VM of \p to until `flush`.
  void send(std::span<const VmHandle> to, const PeerBody &body);

  /// Sends what is queued, one frame for each VM.
  void flush();

  /// Starts to close all handles; the loop has to run until they are closed.
  void close();

  [[nodiscard]] const PeerTransportStats &stats() const { return Stats; }
  [[nodiscard]] size_t links() const { return Sockets.size(); }

private:
  /// One TCP connection and its link.
  struct Socket {
    uv_tcp_t Tcp{};
    uv_connect_t Connect{};
    PeerTransport *Owner = nullptr;
    std::unique_ptr<PeerLink> Link;
    VmHandle Peer;
    uint64_t OpenedMs = 0;
    uint64_t UsedMs = 0;
    /// Bytes that the VM may still send.
    uint64_t Credit = 0;
    bool Reading = false;
    bool Closing = false;
    bool EverReady = false;
    /// Bytes for the socket, gathered during one step.
    std::string Wire;
  };

  /// What waits for one VM.
  struct Outgoing {
    std::vector<uint8_t> Batch;
    Socket *Via = nullptr;
    uint64_t RetryMs = 0;
    uint64_t BackOffMs = 0;
    bool Dirty = false;
  };

  void onWire(PeerLink &link, std::string_view bytes) override;
  bool knowsPeer(std::string_view name) override;
  void onReady(PeerLink &link) override;
  void onFrame(PeerLink &link, std::span<const uint8_t> payload) override;
  void onFailed(PeerLink &link, PeerLinkFault fault) override;

  void enqueue(VmHandle to);
  Outgoing &outgoing(VmHandle vm);
  Socket &addSocket(PeerLinkRole role, std::string peerName);
  Socket *socketOf(const PeerLink &link);
  void connect(VmHandle to);
  void sendBatch(Outgoing &out);
  void closeSocket(Socket &socket, PeerLinkFault fault);
  void closeLeastUsed();
  void startReading(Socket &socket);
  void writeOut(Socket &socket);
  void tick();
  void keepSocket(Socket &socket, uint64_t now);
  void logFault(PeerLinkFault fault, std::string_view peer);

  static void onConnection(uv_stream_t *server, int status);
  static void onConnected(uv_connect_t *request, int status);
  static void onRead(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
  static void onClosed(uv_handle_t *handle);
  static void onTick(uv_timer_t *timer);

  static constexpr uint64_t TickMs = 250;

  uv_loop_t &Loop;
  PeerTransportInit Init;
  const Membership &Members;
  EventSink &Sink;
  PeerLinkFactory Factory;
  uv_tcp_t Listener{};
  uv_timer_t Timer{};
  bool Open = false;
  std::vector<std::unique_ptr<Socket>> Sockets;
  std::unordered_map<const PeerLink *, Socket *> SocketOfLink;
  std::vector<Outgoing> Queues;
  std::vector<uint32_t> DirtyQueues;
  std::vector<uint8_t> Encoded;
  std::vector<char> ReadBuffer;
  std::array<uint64_t, 16> LastLogMs{};
  PeerTransportStats Stats;
};

} // namespace guavasail

#endif
