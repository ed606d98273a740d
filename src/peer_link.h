/// \file
/// A link to another daemon: WebSocket session, mutual authentication and
/// sealed frames, without a socket.
#ifndef GUAVASAIL_SRC_PEER_LINK_H
#define GUAVASAIL_SRC_PEER_LINK_H

#include "peer_auth.h"
#include "peer_link_ws.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// Why a link ended.
enum class PeerLinkFault : uint8_t {
  ConnectFailed,
  HandshakeTimedOut,
  HandshakeMalformed,
  /// The other side holds none of the accepted secrets.
  KeyWrong,
  /// The other side is in no member list that this VM has seen.
  PeerUnknown,
  /// The other side wanted to reach another VM.
  TargetWrong,
  /// A frame was changed, repeated or left out.
  FrameInvalid,
  SessionClosed,
  TooManyLinks,
  Idle,
  QueueFull,
};

/// \returns the stable name of \p fault.
std::string_view peerLinkFaultName(PeerLinkFault fault);

class PeerLink;

/// Receives what links yield. Views are valid during the call; the link must
/// not be destroyed during it.
class PeerLinkOwner {
public:
  virtual void onWire(PeerLink &link, std::string_view bytes) = 0;
  /// \returns true if a VM of that name is known.
  virtual bool knowsPeer(std::string_view name) = 0;
  /// Both sides are authenticated; messages may flow.
  virtual void onReady(PeerLink &link) = 0;
  /// One frame arrived.
  virtual void onFrame(PeerLink &link, std::span<const uint8_t> payload) = 0;
  /// The link is of no further use. Called once.
  virtual void onFailed(PeerLink &link, PeerLinkFault fault) = 0;

protected:
  ~PeerLinkOwner() = default;
};

/// Describes a link.
struct PeerLinkInit {
  PeerLinkRole Role = PeerLinkRole::Client;
  std::string SelfName;
  /// Name of the other VM; known to a client only.
  std::string PeerName;
  std::span<const PeerKey> Keys;
};

class PeerLink : private PeerLinkSink {
public:
  PeerLink(const PeerLinkInit &init, PeerLinkFactory &factory,
           PeerLinkOwner &owner);

  /// The connection is set up.
  void start();

  /// Takes bytes from the socket.
  void receive(std::string_view bytes);

  /// Sends one frame.
  /// \returns false if the link is not ready.
  bool send(std::span<const uint8_t> payload);

  [[nodiscard]] bool ready() const { return Phase == PhaseKind::Ready; }
  [[nodiscard]] bool failed() const { return Phase == PhaseKind::Failed; }
  /// \returns the name of the other VM; proved once the link is ready.
  [[nodiscard]] const std::string &peerName() const { return PeerName; }

private:
  enum class PhaseKind : uint8_t {
    Opening,
    AwaitsChallenge,
    AwaitsHello,
    AwaitsWelcome,
    Ready,
    Failed,
  };

  void onLinkOpen() override;
  void onLinkWire(std::string_view bytes) override;
  void onLinkMessage(std::string_view message) override;
  void onLinkClosed() override;

  void onChallenge(std::span<const uint8_t> message);
  void onHello(std::span<const uint8_t> message);
  void onWelcome(std::span<const uint8_t> message);
  void becomeReady(const PeerKey &key);
  void fail(PeerLinkFault fault);
  void sendBytes(std::span<const uint8_t> bytes);

  PeerLinkRole Role;
  std::string SelfName;
  std::string PeerName;
  std::span<const PeerKey> Keys;
  PeerLinkOwner &Owner;
  PhaseKind Phase = PhaseKind::Opening;
  PeerTranscript Transcript;
  std::optional<PeerSealer> Sealer;
  std::optional<PeerOpener> Opener;
  std::vector<uint8_t> Buffer;
  std::unique_ptr<PeerLinkWs> Session;
};

/// Appends \p message to a batch.
void appendToBatch(std::span<const uint8_t> message,
                   std::vector<uint8_t> &batch);

/// Takes the first message off a batch.
/// \returns the message, or nothing at the end or if the batch is malformed;
/// \p batch is then empty or not.
std::optional<std::span<const uint8_t>>
takeFromBatch(std::span<const uint8_t> &batch);

} // namespace guavasail

#endif
