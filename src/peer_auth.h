/// \file
/// Proof that both ends of a link hold the fleet's secret, and the seal of each
/// frame, by keyed BLAKE2b.
///
/// The accepting side sends a nonce. The connecting side answers with its own
/// nonce, both names and a MAC over all of it; the accepting side proves itself
/// with a MAC over both nonces. Each direction then has its own key, made of
/// the secret and both nonces, and counts its frames, so that no frame can be
/// repeated, left out, turned around or carried over to another link.
#ifndef GUAVASAIL_SRC_PEER_AUTH_H
#define GUAVASAIL_SRC_PEER_AUTH_H

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

inline constexpr size_t PeerKeyBytes = 32;
inline constexpr size_t PeerNonceBytes = 32;
inline constexpr size_t PeerMacBytes = 32;
/// Counter and MAC before the payload of a sealed frame.
inline constexpr size_t PeerSealBytes = 8 + 16;

using PeerKey = std::array<uint8_t, PeerKeyBytes>;
using PeerNonce = std::array<uint8_t, PeerNonceBytes>;
using PeerMac = std::array<uint8_t, PeerMacBytes>;

/// Keys that this VM accepts; it uses the first one itself. Two are set while
/// the fleet changes its secret.
using PeerKeyRing = std::vector<PeerKey>;

/// \returns the key made of the fleet's \p secret.
PeerKey makePeerKey(std::string_view secret);

/// \returns fresh random bytes.
PeerNonce makePeerNonce();

/// What both sides of a link know after the first two messages.
struct PeerTranscript {
  PeerNonce ServerNonce{};
  PeerNonce ClientNonce{};
  std::string ClientName;
  std::string ServerName;
};

/// Purposes of a MAC or key, kept apart from each other.
enum class PeerProof : uint8_t { Hello, Welcome, ToServer, ToClient };

/// \returns the MAC of \p transcript for \p proof.
PeerMac provePeer(const PeerKey &key, PeerProof proof,
                  const PeerTranscript &transcript);

/// Finds the key that a MAC was made with, in constant time for each key.
/// \returns the key, or nothing if no accepted key fits.
std::optional<PeerKey> findPeerKey(std::span<const PeerKey> ring,
                                   PeerProof proof,
                                   const PeerTranscript &transcript,
                                   std::span<const uint8_t> mac);

/// Seals the frames of one direction of a link.
class PeerSealer {
public:
  explicit PeerSealer(const PeerMac &key) : Key(key) {}

  /// Appends counter, MAC and payload to \p out.
  void seal(std::span<const uint8_t> payload, std::vector<uint8_t> &out);

private:
  PeerMac Key;
  uint64_t Next = 0;
};

/// Opens the frames of one direction of a link.
class PeerOpener {
public:
  explicit PeerOpener(const PeerMac &key) : Key(key) {}

  /// \returns the payload within \p frame, or nothing if the frame is not the
  /// next one of the other side.
  std::optional<std::span<const uint8_t>> open(std::span<const uint8_t> frame);

private:
  PeerMac Key;
  uint64_t Next = 0;
};

} // namespace guavasail

#endif
