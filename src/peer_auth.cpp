#include "peer_auth.h"

#include <algorithm>
#include <sodium.h>

namespace guavasail {

namespace {

constexpr size_t CounterBytes = 8;
constexpr size_t FrameMacBytes = 16;
static_assert(CounterBytes + FrameMacBytes == PeerSealBytes);

/// Hashes fields with their lengths, so that they cannot run into each other.
class KeyedHash {
public:
  KeyedHash(std::span<const uint8_t> key, size_t bytes) {
    crypto_generichash_init(&State, key.data(), key.size(), bytes);
  }

  KeyedHash &add(std::span<const uint8_t> field) {
    uint64_t n = field.size();
    std::array<uint8_t, sizeof(n)> length{};
    for (uint8_t &byte : length) {
      byte = static_cast<uint8_t>(n);
      n >>= 8;
    }
    crypto_generichash_update(&State, length.data(), length.size());
    crypto_generichash_update(&State, field.data(), field.size());
    return *this;
  }

  KeyedHash &add(std::string_view text) {
    return add({reinterpret_cast<const uint8_t *>(text.data()), text.size()});
  }

  void finish(std::span<uint8_t> out) {
    crypto_generichash_final(&State, out.data(), out.size());
  }

private:
  crypto_generichash_state State{};
};

std::array<uint8_t, CounterBytes> counterBytes(uint64_t counter) {
  std::array<uint8_t, CounterBytes> bytes{};
  for (size_t n = CounterBytes; n > 0; --n) {
    bytes[n - 1] = static_cast<uint8_t>(counter);
    counter >>= 8;
  }
  return bytes;
}

std::array<uint8_t, FrameMacBytes> frameMac(const PeerMac &key,
                                            uint64_t counter,
                                            std::span<const uint8_t> payload) {
  std::array<uint8_t, FrameMacBytes> mac{};
  KeyedHash(key, mac.size())
      .add(counterBytes(counter))
      .add(payload)
      .finish(mac);
  return mac;
}

} // namespace

PeerKey makePeerKey(std::string_view secret) {
  PeerKey key{};
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const uint8_t *>(secret.data()),
                     secret.size(), nullptr, 0);
  return key;
}

PeerNonce makePeerNonce() {
  PeerNonce nonce{};
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

PeerMac provePeer(const PeerKey &key, PeerProof proof,
                  const PeerTranscript &transcript) {
  PeerMac mac{};
  std::array<uint8_t, 1> purpose = {static_cast<uint8_t>(proof)};
  KeyedHash(key, mac.size())
      .add(purpose)
      .add(transcript.ServerNonce)
      .add(transcript.ClientNonce)
      .add(transcript.ClientName)
      .add(transcript.ServerName)
      .finish(mac);
  return mac;
}

std::optional<PeerKey> findPeerKey(std::span<const PeerKey> ring,
                                   PeerProof proof,
                                   const PeerTranscript &transcript,
                                   std::span<const uint8_t> mac) {
  for (const PeerKey &key : ring) {
    PeerMac expected = provePeer(key, proof, transcript);
    bool same = mac.size() == expected.size() &&
                sodium_memcmp(mac.data(), expected.data(), mac.size()) == 0;
    if (same)
      return key;
  }
  return std::nullopt;
}

void PeerSealer::seal(std::span<const uint8_t> payload,
                      std::vector<uint8_t> &out) {
  auto mac = frameMac(Key, Next, payload);
  auto counter = counterBytes(Next++);
  out.insert(out.end(), counter.begin(), counter.end());
  out.insert(out.end(), mac.begin(), mac.end());
  out.insert(out.end(), payload.begin(), payload.end());
}

std::optional<std::span<const uint8_t>>
PeerOpener::open(std::span<const uint8_t> frame) {
  if (frame.size() < PeerSealBytes)
    return std::nullopt;
  auto counter = frame.first(CounterBytes);
  auto mac = frame.subspan(CounterBytes, FrameMacBytes);
  auto payload = frame.subspan(PeerSealBytes);
  auto expected = frameMac(Key, Next, payload);
  bool valid = std::ranges::equal(counter, counterBytes(Next)) &&
               sodium_memcmp(mac.data(), expected.data(), mac.size()) == 0;
  if (!valid)
    return std::nullopt;
  ++Next;
  return payload;
}

} // namespace guavasail
