/// \file
/// Messages between daemons, as data. The encoding is elsewhere.
#ifndef GUAVASAIL_PEER_MESSAGE_H
#define GUAVASAIL_PEER_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <variant>

namespace guavasail {

/// Most bytes of one encoded message. Senders split what is longer.
inline constexpr size_t MaxPeerMessageBytes = 64 * 1024;

/// Says that the sender runs.
struct Heartbeat {
  uint64_t Incarnation = 0;
  uint64_t CatalogVersion = 0;
  bool Leaving = false;
};

using PeerBody = std::variant<Heartbeat>;

} // namespace guavasail

#endif
