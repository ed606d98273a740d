#include "peer_link.h"

#include "peer_codec_check.h"
#include "peer_codec_value.h"

#include <algorithm>
#include <array>

namespace guavasail {

namespace {

constexpr size_t LengthBytes = 4;

constexpr auto FaultNames = std::to_array<std::string_view>(
    {"connect-failed", "handshake-timed-out", "handshake-malformed",
     "key-wrong", "peer-unknown", "target-wrong", "frame-invalid",
     "session-closed", "too-many-links", "idle", "queue-full"});

/// First message, from the accepting side.
struct PeerChallenge {
  std::vector<uint8_t> Nonce;
};

/// Second message, from the connecting side.
struct PeerHello {
  std::string Name;
  /// The VM that it wants to reach.
  std::string Target;
  std::vector<uint8_t> Nonce;
  std::vector<uint8_t> Proof;
};

/// Third message, from the accepting side.
struct PeerWelcome {
  std::vector<uint8_t> Proof;
};

} // namespace

template <> struct PeerFields<PeerChallenge> {
  static constexpr std::tuple Members{&PeerChallenge::Nonce};
};

template <> struct PeerFields<PeerHello> {
  static constexpr std::tuple Members{&PeerHello::Name, &PeerHello::Target,
                                      &PeerHello::Nonce, &PeerHello::Proof};
};

template <> struct PeerFields<PeerWelcome> {
  static constexpr std::tuple Members{&PeerWelcome::Proof};
};

namespace {

using codec::Json;

template <typename Struct> std::vector<uint8_t> pack(const Struct &value) {
  return Json::to_cbor(codec::write(value));
}

template <typename Struct>
std::optional<Struct> unpack(std::span<const uint8_t> bytes) {
  if (checkStructure(bytes))
    return std::nullopt;
  Json list = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  Struct value;
  if (codec::read(list, value))
    return std::nullopt;
  return value;
}

std::vector<uint8_t> bytesOf(std::span<const uint8_t> bytes) {
  return {bytes.begin(), bytes.end()};
}

/// \returns false if \p bytes are not a nonce.
bool takeNonce(const std::vector<uint8_t> &bytes, PeerNonce &nonce) {
  if (bytes.size() != nonce.size())
    return false;
  std::copy(bytes.begin(), bytes.end(), nonce.begin());
  return true;
}

std::span<const uint8_t> asBytes(std::string_view text) {
  return {reinterpret_cast<const uint8_t *>(text.data()), text.size()};
}

std::string_view asText(std::span<const uint8_t> bytes) {
  return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace

PeerLink::PeerLink(const PeerLinkInit &init, PeerLinkFactory &factory,
                   PeerLinkOwner &owner)
    : Role(init.Role), SelfName(init.SelfName), PeerName(init.PeerName),
      Keys(init.Keys), Owner(owner), Session(factory.make(init.Role, *this)) {}

void PeerLink::start() { Session->start(); }

void PeerLink::receive(std::string_view bytes) {
  if (!failed())
    Session->receive(bytes);
}

void PeerLink::sendBytes(std::span<const uint8_t> bytes) {
  if (!failed() && !Session->send(asText(bytes)))
    fail(PeerLinkFault::SessionClosed);
}

bool PeerLink::send(std::span<const uint8_t> payload) {
  if (!ready())
    return false;
  Buffer.clear();
  Sealer->seal(payload, Buffer);
  sendBytes(Buffer);
  return !failed();
}

void PeerLink::fail(PeerLinkFault fault) {
  if (failed())
    return;
  Phase = PhaseKind::Failed;
  Owner.onFailed(*this, fault);
}

void PeerLink::onLinkWire(std::string_view bytes) {
  if (!failed())
    Owner.onWire(*this, bytes);
}

void PeerLink::onLinkClosed() { fail(PeerLinkFault::SessionClosed); }

void PeerLink::onLinkOpen() {
  if (Role == PeerLinkRole::Client) {
    Phase = PhaseKind::AwaitsChallenge;
    return;
  }
  Phase = PhaseKind::AwaitsHello;
  Transcript.ServerName = SelfName;
  Transcript.ServerNonce = makePeerNonce();
  sendBytes(pack(PeerChallenge{bytesOf(Transcript.ServerNonce)}));
}

void PeerLink::onLinkMessage(std::string_view message) {
  std::span<const uint8_t> bytes = asBytes(message);
  switch (Phase) {
  case PhaseKind::AwaitsChallenge:
    return onChallenge(bytes);
  case PhaseKind::AwaitsHello:
    return onHello(bytes);
  case PhaseKind::AwaitsWelcome:
    return onWelcome(bytes);
  case PhaseKind::Ready: {
    auto payload = Opener->open(bytes);
    if (!payload)
      return fail(PeerLinkFault::FrameInvalid);
    return Owner.onFrame(*this, *payload);
  }
  case PhaseKind::Opening:
  case PhaseKind::Failed:
    return;
  }
}

void PeerLink::onChallenge(std::span<const uint8_t> message) {
  auto challenge = unpack<PeerChallenge>(message);
  if (!challenge || !takeNonce(challenge->Nonce, Transcript.ServerNonce))
    return fail(PeerLinkFault::HandshakeMalformed);
  Transcript.ClientNonce = makePeerNonce();
  Transcript.ClientName = SelfName;
  Transcript.ServerName = PeerName;
  PeerMac proof = provePeer(Keys.front(), PeerProof::Hello, Transcript);
  Phase = PhaseKind::AwaitsWelcome;
  sendBytes(pack(PeerHello{SelfName, PeerName, bytesOf(Transcript.ClientNonce),
                           bytesOf(proof)}));
}

void PeerLink::onHello(std::span<const uint8_t> message) {
  auto hello = unpack<PeerHello>(message);
  if (!hello || !takeNonce(hello->Nonce, Transcript.ClientNonce))
    return fail(PeerLinkFault::HandshakeMalformed);
  Transcript.ClientName = hello->Name;
  if (hello->Target != SelfName)
    return fail(PeerLinkFault::TargetWrong);
  auto key = findPeerKey(Keys, PeerProof::Hello, Transcript, hello->Proof);
  if (!key)
    return fail(PeerLinkFault::KeyWrong);
  PeerName = hello->Name;
  if (PeerName == SelfName || !Owner.knowsPeer(PeerName))
    return fail(PeerLinkFault::PeerUnknown);
  PeerMac proof = provePeer(*key, PeerProof::Welcome, Transcript);
  sendBytes(pack(PeerWelcome{bytesOf(proof)}));
  becomeReady(*key);
}

void PeerLink::onWelcome(std::span<const uint8_t> message) {
  auto welcome = unpack<PeerWelcome>(message);
  if (!welcome)
    return fail(PeerLinkFault::HandshakeMalformed);
  auto used = Keys.first(1);
  if (!findPeerKey(used, PeerProof::Welcome, Transcript, welcome->Proof))
    return fail(PeerLinkFault::KeyWrong);
  becomeReady(used.front());
}

void PeerLink::becomeReady(const PeerKey &key) {
  if (failed())
    return;
  PeerMac toServer = provePeer(key, PeerProof::ToServer, Transcript);
  PeerMac toClient = provePeer(key, PeerProof::ToClient, Transcript);
  bool client = Role == PeerLinkRole::Client;
  Sealer.emplace(client ? toServer : toClient);
  Opener.emplace(client ? toClient : toServer);
  Phase = PhaseKind::Ready;
  Owner.onReady(*this);
}

void appendToBatch(std::span<const uint8_t> message,
                   std::vector<uint8_t> &batch) {
  auto n = static_cast<uint32_t>(message.size());
  for (size_t shift = LengthBytes; shift > 0; --shift)
    batch.push_back(static_cast<uint8_t>(n >> (8 * (shift - 1))));
  batch.insert(batch.end(), message.begin(), message.end());
}

std::optional<std::span<const uint8_t>>
takeFromBatch(std::span<const uint8_t> &batch) {
  if (batch.size() < LengthBytes)
    return std::nullopt;
  size_t n = 0;
  for (uint8_t byte : batch.first(LengthBytes))
    n = n << 8 | byte;
  if (batch.size() - LengthBytes < n)
    return std::nullopt;
  auto message = batch.subspan(LengthBytes, n);
  batch = batch.subspan(LengthBytes + n);
  return message;
}

std::string_view peerLinkFaultName(PeerLinkFault fault) {
  return FaultNames[static_cast<size_t>(fault)];
}

} // namespace guavasail
