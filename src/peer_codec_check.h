/// \file
/// Bounds of received CBOR, kept before the recursive parser sees it.
#ifndef GUAVASAIL_SRC_PEER_CODEC_CHECK_H
#define GUAVASAIL_SRC_PEER_CODEC_CHECK_H

#include "peer_codec_cbor.h"

#include <optional>

namespace guavasail {

/// Walks the item heads without recursion. Only arrays, maps, integers, simple
/// values and strings of known length are accepted, as every version writes
/// them.
/// \param bytes received bytes.
/// \returns the first fault, or nothing if the bytes are one bounded item.
std::optional<PeerDecodeFault> checkStructure(std::span<const uint8_t> bytes);

} // namespace guavasail

#endif
