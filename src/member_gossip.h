/// \file
/// Queue of membership updates to disseminate by gossip.
#ifndef GUAVASAIL_SRC_MEMBER_GOSSIP_H
#define GUAVASAIL_SRC_MEMBER_GOSSIP_H

#include "guavasail/handle.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// VMs whose latest update has to be disseminated, at most one entry per VM.
/// The least often sent updates go first.
class GossipQueue {
public:
  /// Queues the update about \p vm, or resets its send count.
  void add(VmHandle vm) {
    auto it = std::find_if(Items.begin(), Items.end(),
                           [&](const Item &item) { return item.Vm == vm; });
    if (it == Items.end())
      Items.push_back({vm, 0});
    else
      it->Sent = 0;
  }

  /// Selects the updates for one message.
  /// \param members number of VMs; the number of transmissions of an update is
  /// proportional to its logarithm.
  /// \param out receives the VMs.
  /// \returns the filled part of \p out.
  std::span<VmHandle> selectForMessage(size_t members,
                                       std::span<VmHandle> out) {
    size_t n = std::min(out.size(), Items.size());
    auto sentLess = [](const Item &a, const Item &b) {
      return a.Sent < b.Sent;
    };
    std::partial_sort(Items.begin(), Items.begin() + n, Items.end(), sentLess);
    for (size_t at = 0; at < n; ++at) {
      out[at] = Items[at].Vm;
      ++Items[at].Sent;
    }
    uint32_t maxSends =
        RetransmitFactor * static_cast<uint32_t>(std::bit_width(members));
    std::erase_if(Items, [&](const Item &it) { return it.Sent >= maxSends; });
    return out.first(n);
  }

  [[nodiscard]] bool empty() const { return Items.empty(); }

private:
  struct Item {
    VmHandle Vm;
    uint32_t Sent = 0;
  };

  static constexpr uint32_t RetransmitFactor = 3;

  std::vector<Item> Items;
};

} // namespace guavasail

#endif
