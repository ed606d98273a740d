/// \file
/// Requests that wait for a slot of one service.
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
  PlacementRequest Ask;
  Instant Arrived{};
  /// When the objective is missed, and when the request's time is over.
  Instant UsefulUntil{};
  Instant Deadline{};
  uint64_t Order = 0;
};

/// What decides whether a request may wait.
struct QueueLoad {
  /// Usual time of an answer.
  Duration Typical{};
  /// Slots that serve the queue.
  uint32_t Slots = 1;
};

/// Orders waiting requests and turns away those that cannot be served in time.
class DispatchQueue {
public:
  explicit DispatchQueue(QueueKind kind) : Kind(kind) {}

  /// Decides whether \p entry may wait.
  /// \returns nothing if it may, or the time after which it may come again.
  [[nodiscard]] std::optional<Duration>
  refusal(const QueueEntry &entry, const QueueLoad &load, Instant now) const;

  void push(QueueEntry entry);

  /// \returns the entry of a request, null if it does not wait.
  QueueEntry *find(VmHandle vm, RequestHandle request, uint32_t ordinal);

  /// Removes a request.
  /// \returns false if it did not wait.
  bool remove(VmHandle vm, RequestHandle request, uint32_t ordinal);

  /// An entry's place in the order.
  struct Place {
    uint32_t Index = 0;
    bool Late = false;
    uint32_t Rank = 0;
    double Served = 0;
    uint64_t Order = 0;
  };

  /// \returns the entries that are to be served first, in order; valid until
  /// the queue changes.
  std::span<const Place> first(const QueueLoad &load, Instant now);

  [[nodiscard]] const QueueEntry &at(uint32_t index) const {
    return Entries[index];
  }

  /// Takes an entry out because it is refused.
  QueueEntry drop(uint32_t index);

  /// Takes an entry out because it is served.
  QueueEntry take(uint32_t index, Instant now);

  /// Takes out an entry that cannot be served any more in its time.
  std::optional<QueueEntry> takeHopeless(const QueueLoad &load, Instant now);

  void dropVm(VmHandle vm);

  [[nodiscard]] size_t size() const { return Entries.size(); }
  [[nodiscard]] bool empty() const { return Entries.empty(); }

private:
  using Before = bool (*)(const Place &a, const Place &b);
  struct Strategy {
    QueueKind Kind;
    std::string_view Name;
    Before Goes;
  };
  static const Strategy Strategies[];

  /// What a workspace was served lately.
  struct Share {
    uint64_t Workspace = 0;
    double Served = 0;
    Instant At{};
  };

  static bool arrivedBefore(const Place &a, const Place &b);
  static bool usefulBefore(const Place &a, const Place &b);
  [[nodiscard]] double served(uint64_t workspace);
  /// \returns where the share of \p workspace is or belongs.
  std::vector<Share>::iterator shareAt(uint64_t workspace);
  void noteServed(uint64_t workspace, Instant now);

  QueueKind Kind;
  std::vector<QueueEntry> Entries;
  std::vector<Place> Places;
  /// By workspace.
  std::vector<Share> Shares;
  uint64_t LastOrder = 0;
};

} // namespace guavasail

#endif
