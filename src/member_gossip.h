/// \file
/// Statements about VMs that are still to be passed on.
#ifndef GUAVASAIL_SRC_MEMBER_GOSSIP_H
#define GUAVASAIL_SRC_MEMBER_GOSSIP_H

#include "guavasail/handle.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// VMs whose latest statement has to travel, at most one entry for each. Those
/// that were sent least often go first.
class GossipQueue {
public:
  /// Starts to pass on the statement about \p vm, or starts again.
  void add(VmHandle vm) {
    auto it = std::find_if(Items.begin(), Items.end(),
                           [&](const Item &item) { return item.Vm == vm; });
    if (it == Items.end())
      Items.push_back({vm, 0});
    else
      it->Sent = 0;
  }

  /// Chooses statements for one message.
  /// \param members number of VMs; a statement is sent in proportion to its
  /// logarithm.
  /// \param out receives the VMs.
  /// \returns the filled part of \p out.
  std::span<VmHandle> take(size_t members, std::span<VmHandle> out) {
    size_t n = std::min(out.size(), Items.size());
    auto fewer = [](const Item &a, const Item &b) { return a.Sent < b.Sent; };
    std::partial_sort(Items.begin(), Items.begin() + n, Items.end(), fewer);
    for (size_t at = 0; at < n; ++at) {
      out[at] = Items[at].Vm;
      ++Items[at].Sent;
    }
    uint32_t most = SendFactor * static_cast<uint32_t>(std::bit_width(members));
    std::erase_if(Items, [&](const Item &it) { return it.Sent >= most; });
    return out.first(n);
  }

  [[nodiscard]] bool empty() const { return Items.empty(); }

private:
  struct Item {
    VmHandle Vm;
    uint32_t Sent = 0;
  };

  static constexpr uint32_t SendFactor = 3;

  std::vector<Item> Items;
};

} // namespace guavasail

#endif
