/// \file
/// Queue of requests that wait for a slot of one service.
#ifndef GUAVASAIL_SRC_DISPATCH_QUEUE_H
#define GUAVASAIL_SRC_DISPATCH_QUEUE_H

#include "guavasail/dispatch.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// One waiting request.
struct QueueEntry {
  VmHandle Vm;
  ZoneHandle Zone;
  PlacementRequest Placement;
  Instant Arrived{};
  /// When the latency objective is missed, and when the request times out.
  Instant ObjectiveDeadline{};
  Instant Deadline{};
  uint64_t Order = 0;
};

/// Load of the service, from which waiting times are estimated.
struct QueueLoad {
  /// Typical latency of a response.
  Duration TypicalLatency{};
  /// Slots that serve the queue.
  uint32_t Slots = 1;
};

/// Orders waiting requests and refuses those that cannot be served in time.
class DispatchQueue {
public:
  explicit DispatchQueue(QueueKind kind) : Kind(kind) {}

  /// Decides whether \p entry may wait.
  /// \returns nothing if it is admitted, otherwise the time after which the
  /// caller may retry.
  [[nodiscard]] std::optional<Duration> checkAdmission(const QueueEntry &entry,
                                                       const QueueLoad &load,
                                                       Instant now) const;

  void push(QueueEntry entry);

  /// \returns the entry of a request, null if it is not queued.
  QueueEntry *find(VmHandle vm, RequestHandle request, uint32_t ordinal);

  /// Removes a request.
  /// \returns false if it was not queued.
  bool remove(VmHandle vm, RequestHandle request, uint32_t ordinal);

  /// Sort key of an entry.
  struct SortKey {
    uint32_t Index = 0;
    bool MissesObjective = false;
    uint32_t Rank = 0;
    double Served = 0;
    uint64_t Order = 0;
  };

  /// \returns the entries at the head of the queue, in service order; valid
  /// until the queue changes.
  std::span<const SortKey> head(const QueueLoad &load, Instant now);

  [[nodiscard]] const QueueEntry &at(uint32_t index) const {
    return Entries[index];
  }

  /// Removes an entry that is refused.
  QueueEntry removeAt(uint32_t index);

  /// Removes an entry that was granted a slot and counts it for its workspace.
  QueueEntry takeServed(uint32_t index, Instant now);

  /// Removes an entry whose deadline is too close for a typical response.
  /// \returns nothing if there is none.
  std::optional<QueueEntry> takeUnservable(const QueueLoad &load, Instant now);

  void dropVm(VmHandle vm);

  [[nodiscard]] size_t size() const { return Entries.size(); }
  [[nodiscard]] bool empty() const { return Entries.empty(); }

private:
  using Compare = bool (*)(const SortKey &a, const SortKey &b);
  struct Strategy {
    QueueKind Kind;
    std::string_view Name;
    Compare Precedes;
  };
  static const Strategy Strategies[];

  /// Requests of a workspace served lately, decayed exponentially.
  struct WorkspaceShare {
    uint64_t Workspace = 0;
    double Served = 0;
    Instant At{};
  };

  static bool precedesByArrival(const SortKey &a, const SortKey &b);
  static bool precedesByObjective(const SortKey &a, const SortKey &b);
  [[nodiscard]] double recentlyServed(uint64_t workspace);
  /// \returns the position of \p workspace in `Shares`, or where to insert it.
  std::vector<WorkspaceShare>::iterator findShare(uint64_t workspace);
  void noteServed(uint64_t workspace, Instant now);

  QueueKind Kind;
  std::vector<QueueEntry> Entries;
  std::vector<SortKey> SortKeys;
  /// Sorted by workspace.
  std::vector<WorkspaceShare> Shares;
  uint64_t LastOrder = 0;
};

} // namespace guavasail

#endif
