/// \file
/// Order of flows of equal weight by start-time fair queueing.
#ifndef GUAVASAIL_SRC_FAIR_ROUNDS_H
#define GUAVASAIL_SRC_FAIR_ROUNDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <vector>

namespace guavasail {

struct QueueEntry;

/// Numbers of requests by round, with sums over ranges of rounds (a Fenwick
/// tree on a ring). All rounds in use lie in one window of the ring's size.
class RoundCounts {
public:
  /// Makes room for rounds from \p first to \p last.
  /// \param firstUsed the first round in use so far.
  void reserve(uint64_t firstUsed, uint64_t first, uint64_t last);
  void add(uint64_t round, int32_t change);
  /// \returns the number of requests in the rounds from \p first, the first
  /// one in use, to \p last.
  [[nodiscard]] size_t sum(uint64_t first, uint64_t last) const;
  [[nodiscard]] size_t total() const { return Total; }

private:
  [[nodiscard]] size_t sumBelow(size_t position) const;
  void addAt(size_t position, int32_t change);

  /// By round modulo the size, a power of two.
  std::vector<uint32_t> Counts;
  std::vector<uint32_t> Tree;
  size_t Total = 0;
};

/// A flow's next turn.
struct FlowTurn {
  /// Virtual time at which the flow's first request is served.
  uint64_t Round = 0;
  /// Arrival order of the first request, which decides within a round.
  uint64_t Order = 0;
  const QueueEntry *Head = nullptr;

  friend bool operator<(const FlowTurn &a, const FlowTurn &b) {
    return a.Round != b.Round ? a.Round < b.Round : a.Order < b.Order;
  }
};

/// Serves one request of each flow in a round. A flow that was idle joins the
/// current round, unless it was served in it before. Costs grow with the
/// logarithm of the waiting requests and do not depend on idle flows.
class FairRounds {
public:
  /// Idle flows that are remembered. Beyond it the one that is idle for the
  /// longest time is forgotten, which gives it one more turn in the round.
  static constexpr size_t MaxIdleFlows = 1024;

  /// Adds a request to \p flow.
  /// \param head the first request of the flow.
  void add(uint64_t flow, const QueueEntry &head);
  /// Removes a request that is not served.
  /// \param head the first of the remaining requests, null if there is none.
  void remove(uint64_t flow, const QueueEntry *head);
  /// Removes a request that is served.
  /// \param head the first of the remaining requests, null if there is none.
  void serve(uint64_t flow, const QueueEntry *head);

  /// \returns the number of waiting requests that are served before a request
  /// that \p flow adds now.
  [[nodiscard]] size_t countAhead(uint64_t flow) const;

  /// \returns the turns of flows with waiting requests, in order.
  [[nodiscard]] const std::set<FlowTurn> &turns() const { return Turns; }
  /// \returns the number of waiting requests.
  [[nodiscard]] size_t size() const { return Counts.total(); }
  /// \returns the number of flows held in memory.
  [[nodiscard]] size_t knownFlows() const { return Flows.size(); }

private:
  struct Flow {
    /// Round of the flow's first request, or of its next one while idle.
    uint64_t Round = 0;
    uint32_t Waiting = 0;
    /// Arrival order of the first request.
    uint64_t HeadOrder = 0;
    /// Position in `Idle` while none waits.
    std::list<uint64_t>::iterator IdleAt;
  };
  using FlowTable = std::unordered_map<uint64_t, Flow>;

  void setHead(Flow &flow, const QueueEntry &head);
  void removeTurn(const Flow &flow);
  void updateAfterRemoval(FlowTable::iterator it, const QueueEntry *head);
  void forgetIdle();
  [[nodiscard]] uint64_t firstRound() const;

  FlowTable Flows;
  std::set<FlowTurn> Turns;
  /// Flows without waiting requests that were served in the current round,
  /// ordered by the time since when they are idle.
  std::list<uint64_t> Idle;
  RoundCounts Counts;
  /// Virtual time: the latest round of which a request was served.
  uint64_t CurrentRound = 0;
  uint64_t LastRound = 0;
};

} // namespace guavasail

#endif
