#include "key_digest.h"

#include <sodium.h>

namespace guavasail {

Digest digestOf(std::string_view text) {
  Digest digest;
  if (text.empty())
    return digest;
  crypto_generichash(digest.Bytes.data(), digest.Bytes.size(),
                     reinterpret_cast<const unsigned char *>(text.data()),
                     text.size(), nullptr, 0);
  return digest;
}

std::optional<Digest> parseDigest(std::string_view text) {
  Digest digest;
  size_t n = 0;
  const char *end = nullptr;
  int failed = sodium_hex2bin(digest.Bytes.data(), digest.Bytes.size(),
                              text.data(), text.size(), nullptr, &n, &end);
  bool whole = failed == 0 && n == digest.Bytes.size() &&
               end == text.data() + text.size();
  return whole ? std::optional(digest) : std::nullopt;
}

std::string formatDigest(const Digest &digest) {
  std::string text(digest.Bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), digest.Bytes.data(),
                 digest.Bytes.size());
  text.pop_back();
  return text;
}

} // namespace guavasail
