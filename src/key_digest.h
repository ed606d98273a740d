/// \file
/// Digests of API keys, computed by libsodium.
#ifndef GUAVASAIL_SRC_KEY_DIGEST_H
#define GUAVASAIL_SRC_KEY_DIGEST_H

#include "guavasail/digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace guavasail {

/// \returns the digest of \p text, absent for an empty text.
Digest digestOf(std::string_view text);

/// \returns the digest written as 32 hexadecimal digits in \p text, if valid.
std::optional<Digest> parseDigest(std::string_view text);

/// \returns \p digest as 32 hexadecimal digits.
std::string formatDigest(const Digest &digest);

} // namespace guavasail

#endif
