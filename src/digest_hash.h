/// \file
/// Hash of digests for tables.
#ifndef GUAVASAIL_SRC_DIGEST_HASH_H
#define GUAVASAIL_SRC_DIGEST_HASH_H

#include "guavasail/digest.h"

#include <cstddef>
#include <cstring>

namespace guavasail {

/// Takes eight bytes of a digest as its hash; digests are uniform.
struct DigestHash {
  size_t operator()(const Digest &digest) const {
    size_t hash = 0;
    std::memcpy(&hash, digest.Bytes.data() + sizeof(hash), sizeof(hash));
    return hash;
  }
};

} // namespace guavasail

#endif
