#include "buffer_budget.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr uint64_t MegabyteBytes = 1024 * 1024;
/// Part of the VM's memory that buffers may take. The kernel accounts a socket
/// buffer with up to twice its bytes, and the process needs the rest.
constexpr uint64_t MemoryParts = 4;
/// Part of the budget above which requests are refused, in quarters. The last
/// one is left for requests in progress.
constexpr uint64_t TightQuarters = 3;
/// A caller on a link of 50 KB/s takes 64 KB in 1.3 s; until then the kernel
/// may show no progress.
constexpr uint64_t StallMs = 2000;
/// Descriptors kept for files.
constexpr uint32_t FileDescriptors = 200;

} // namespace

uint64_t BufferBudget::mostBytes() const {
  return Bounds.MemoryMegabytes * MegabyteBytes / MemoryParts;
}

bool BufferBudget::tight() const {
  return bounded() && Held > mostBytes() / 4 * TightQuarters;
}

bool BufferBudget::full() const { return bounded() && Held > mostBytes(); }

std::optional<size_t> chooseStalled(std::span<const BufferHolder> holders,
                                    uint64_t now) {
  std::optional<size_t> worst;
  uint64_t most = 0;
  for (size_t n = 0; n < holders.size(); ++n) {
    const BufferHolder &it = holders[n];
    uint64_t stalled = now > it.ProgressMs ? now - it.ProgressMs : 0;
    if (stalled < StallMs || it.Bytes * stalled <= most)
      continue;
    most = it.Bytes * stalled;
    worst = n;
  }
  return worst;
}

uint32_t maxCallers(const Limits &bounds) {
  if (bounds.FileDescriptors == 0)
    return bounds.MaxCallerConnections;
  // The other third is for connections that the daemon itself needs: one for
  // each request in progress, and few to the VMs and the store.
  uint32_t sockets = bounds.FileDescriptors -
                     std::min(bounds.FileDescriptors / 2, FileDescriptors);
  return std::min(bounds.MaxCallerConnections, sockets / 3 * 2);
}

} // namespace guavasail
