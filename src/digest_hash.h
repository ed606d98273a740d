/// \file
/// Hash of digests for hash tables.
#ifndef GUAVASAIL_SRC_DIGEST_HASH_H
#define GUAVASAIL_SRC_DIGEST_HASH_H

#include "guavasail/digest.h"

#include <cstddef>
#include <cstring>

namespace guavasail {

/// Uses eight bytes of the digest, since digests are uniformly distributed.
struct DigestHash {
  size_t operator()(const Digest &digest) const {
    size_t hash = 0;
    std::memcpy(&hash, digest.Bytes.data() + sizeof(hash), sizeof(hash));
    return hash;
  }
};

} // namespace guavasail

#endif
