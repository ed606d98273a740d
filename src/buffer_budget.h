/// \file
/// Budget of bytes buffered for callers, and the choice of the callers that
/// are disconnected when it is exhausted.
#ifndef GUAVASAIL_SRC_BUFFER_BUDGET_H
#define GUAVASAIL_SRC_BUFFER_BUDGET_H

#include "guavasail/limits.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace guavasail {

/// Kernel buffer of a socket in each direction. A link of 10 Mbit/s and 8 ms
/// has 20 KB under way in a round trip of 16 ms.
inline constexpr int SocketBufferBytes = 64 * 1024;

/// Bytes buffered for one caller.
struct BufferHolder {
  uint64_t Bytes = 0;
  /// When the caller last sent or took bytes that it had to, in milliseconds.
  uint64_t ProgressMs = 0;
};

/// Sums buffered bytes and compares them with the bounds that follow from the
/// memory of the VM. Without `Limits::MemoryMegabytes` nothing is bounded.
class BufferBudget {
public:
  /// \param bounds limits in force; they may change.
  explicit BufferBudget(const Limits &bounds) : Bounds(bounds) {}

  /// Sets the bytes that \p holder has, 0 once it is gone.
  void charge(BufferHolder &holder, uint64_t bytes) {
    Held += bytes - holder.Bytes;
    holder.Bytes = bytes;
  }

  /// \returns true if there is a budget.
  [[nodiscard]] bool bounded() const { return Bounds.MemoryMegabytes > 0; }
  /// \returns true if no request may be added.
  [[nodiscard]] bool tight() const;
  /// \returns true if no byte should be read that is not read yet.
  [[nodiscard]] bool full() const;
  /// \returns the bytes held by all.
  [[nodiscard]] uint64_t held() const { return Held; }

private:
  [[nodiscard]] uint64_t mostBytes() const;

  const Limits &Bounds;
  uint64_t Held = 0;
};

/// Chooses who is disconnected: the one with the greatest product of bytes and
/// time without progress.
/// \param holders all candidates.
/// \param now in milliseconds.
/// \returns the index of the holder; none if all have made progress lately.
std::optional<size_t> chooseStalled(std::span<const BufferHolder> holders,
                                    uint64_t now);

/// \returns the number of caller connections that leaves descriptors for files
/// and for connections to instances, other VMs and the store.
uint32_t maxCallers(const Limits &bounds);

} // namespace guavasail

#endif
