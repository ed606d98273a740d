/// \file
/// Digests of caller keys and idempotency keys. The reducer never sees the
/// plain text.
#ifndef GUAVASAIL_DIGEST_H
#define GUAVASAIL_DIGEST_H

#include <array>
#include <compare>
#include <cstdint>

namespace guavasail {

/// A 128-bit BLAKE2b digest.
struct Digest {
  std::array<uint8_t, 16> Bytes{};

  /// \returns true unless all bytes are zero, which means no digest.
  [[nodiscard]] bool present() const { return Bytes != decltype(Bytes){}; }

  friend constexpr auto operator<=>(const Digest &, const Digest &) = default;
};

} // namespace guavasail

#endif
