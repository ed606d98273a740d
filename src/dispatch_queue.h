/// \file
/// Queue of requests that wait for a slot of one service.
#ifndef GUAVASAIL_SRC_DISPATCH_QUEUE_H
#define GUAVASAIL_SRC_DISPATCH_QUEUE_H

#include "fair_rounds.h"
#include "guavasail/dispatch.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <vector>

namespace guavasail {

/// Requests that are served before or after those of other bands.
struct QueueBand {
  bool MissesObjective = false;
  uint32_t Rank = 0;

  friend auto operator<=>(const QueueBand &, const QueueBand &) = default;
};

/// Requests of one workspace in one band.
struct QueueFlow {
  QueueBand Band;
  uint64_t Workspace = 0;

  friend auto operator<=>(const QueueFlow &, const QueueFlow &) = default;
};

/// One waiting request.
struct QueueEntry {
  VmHandle Vm;
  ZoneHandle Zone;
  PlacementRequest Placement;
  Instant Arrived{};
  /// When the latency objective is missed, and when the request times out.
  Instant ObjectiveDeadline{};
  Instant Deadline{};
  /// Set by the queue.
  uint64_t Order = 0;
  QueueFlow Flow;

  using RequestKey = std::tuple<VmHandle, RequestHandle, uint32_t>;
  [[nodiscard]] RequestKey requestKey() const {
    return {Vm, Placement.Request, Placement.Ordinal};
  }
  using FlowKey = std::tuple<QueueFlow, uint64_t>;
  [[nodiscard]] FlowKey flowKey() const { return {Flow, Order}; }
  using ObjectiveKey = std::tuple<bool, Instant>;
  [[nodiscard]] ObjectiveKey objectiveKey() const {
    return {Flow.Band.MissesObjective, ObjectiveDeadline};
  }
};

/// Load of the service, from which waiting times are estimated.
struct QueueLoad {
  /// Typical latency of a response.
  Duration TypicalLatency{};
  /// Slots that serve the queue.
  uint32_t Slots = 1;
};

/// Orders waiting requests and refuses those that cannot be served in time.
/// Costs grow with the logarithm of the waiting requests and with the number
/// of ranks, and do not depend on idle workspaces.
class DispatchQueue {
public:
  explicit DispatchQueue(QueueKind kind) : Kind(kind) {}
  // The bands point to entries, which a copy would leave behind.
  DispatchQueue(const DispatchQueue &) = delete;
  DispatchQueue(DispatchQueue &&) = default;

  /// Decides whether \p entry may wait.
  /// \returns nothing if it is admitted, otherwise the time after which it
  /// would be, if no other request arrived.
  [[nodiscard]] std::optional<Duration>
  checkAdmission(const QueueEntry &entry, const QueueLoad &load, Instant now);

  void push(QueueEntry entry);

  /// \returns the entry of a request, null if it is not queued.
  [[nodiscard]] const QueueEntry *find(VmHandle vm, RequestHandle request,
                                       uint32_t ordinal) const;

  /// Removes a request.
  /// \returns false if it was not queued.
  bool remove(VmHandle vm, RequestHandle request, uint32_t ordinal);

  /// \returns the entries at the head of the queue, in service order; valid
  /// until the queue changes.
  std::span<const QueueEntry *const> head(const QueueLoad &load, Instant now);

  /// Removes an entry that is refused.
  QueueEntry take(const QueueEntry &entry);

  /// Removes an entry that was granted a slot and counts it for its workspace.
  QueueEntry takeServed(const QueueEntry &entry);

  /// Removes an entry whose deadline is too close for a typical response.
  /// \returns nothing if there is none.
  std::optional<QueueEntry> takeUnservable(const QueueLoad &load, Instant now);

  /// Removes the entry with the earliest deadline.
  /// \returns nothing if the queue is empty.
  std::optional<QueueEntry> takeAny();

  void dropVm(VmHandle vm);

  [[nodiscard]] size_t size() const { return Entries.size(); }
  [[nodiscard]] bool empty() const { return Entries.empty(); }

private:
  using AssignFlow = QueueFlow (DispatchQueue::*)(const QueueEntry &) const;
  struct Strategy {
    QueueKind Kind;
    std::string_view Name;
    AssignFlow Assign;
  };
  static const Strategy Strategies[];

  struct RequestHash {
    size_t operator()(const QueueEntry::RequestKey &key) const;
  };
  struct ByRequest;
  struct ByFlow;
  struct ByObjective;
  struct ByDeadline;
  using EntryTable = boost::multi_index_container<
      QueueEntry,
      boost::multi_index::indexed_by<
          boost::multi_index::hashed_unique<
              boost::multi_index::tag<ByRequest>,
              boost::multi_index::const_mem_fun<
                  QueueEntry, QueueEntry::RequestKey, &QueueEntry::requestKey>,
              RequestHash>,
          boost::multi_index::ordered_unique<
              boost::multi_index::tag<ByFlow>,
              boost::multi_index::const_mem_fun<QueueEntry, QueueEntry::FlowKey,
                                                &QueueEntry::flowKey>>,
          boost::multi_index::ordered_non_unique<
              boost::multi_index::tag<ByObjective>,
              boost::multi_index::const_mem_fun<QueueEntry,
                                                QueueEntry::ObjectiveKey,
                                                &QueueEntry::objectiveKey>>,
          boost::multi_index::ordered_non_unique<
              boost::multi_index::tag<ByDeadline>,
              boost::multi_index::member<QueueEntry, Instant,
                                         &QueueEntry::Deadline>>>>;

  [[nodiscard]] QueueFlow assignByArrival(const QueueEntry &entry) const;
  [[nodiscard]] QueueFlow assignByObjective(const QueueEntry &entry) const;
  [[nodiscard]] QueueFlow flowOf(const QueueEntry &entry) const;
  [[nodiscard]] const QueueEntry *firstOf(const QueueFlow &flow) const;
  [[nodiscard]] size_t countAhead(const QueueFlow &flow) const;
  void updateBands(const QueueLoad &load, Instant now);
  void move(const QueueEntry &entry);
  void collectHead(const FairRounds &rounds);
  QueueEntry extract(const QueueEntry &entry);
  void removeFromBand(const QueueFlow &flow);

  QueueKind Kind;
  EntryTable Entries;
  /// Bands with waiting requests. A band that becomes empty is forgotten: all
  /// its workspaces have got what they asked for.
  std::map<QueueBand, FairRounds> Bands;
  std::vector<const QueueEntry *> Head;
  /// Requests whose objective is missed before this time cannot meet it.
  Instant EarliestResponse{};
  uint64_t LastOrder = 0;
};

} // namespace guavasail

#endif
