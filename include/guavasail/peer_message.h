/// \file
/// Messages between daemons, as data. The encoding is elsewhere.
#ifndef GUAVASAIL_PEER_MESSAGE_H
#define GUAVASAIL_PEER_MESSAGE_H

#include <cstdint>
#include <variant>

namespace guavasail {

/// Says that the sender runs.
struct Heartbeat {
  uint64_t Incarnation = 0;
  uint64_t CatalogVersion = 0;
  bool Leaving = false;
};

using PeerBody = std::variant<Heartbeat>;

} // namespace guavasail

#endif
