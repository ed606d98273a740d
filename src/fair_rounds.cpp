#include "fair_rounds.h"

#include "dispatch_queue.h"

#include <algorithm>
#include <bit>

namespace guavasail {

namespace {

constexpr size_t MinRoundCounts = 16;

} // namespace

void RoundCounts::reserve(uint64_t firstUsed, uint64_t first, uint64_t last) {
  size_t needed = std::max(MinRoundCounts, std::bit_ceil(last - first + 1));
  if (needed <= Counts.size())
    return;
  std::vector<uint32_t> old(needed);
  old.swap(Counts);
  Tree.assign(needed + 1, 0);
  for (uint64_t n = 0; n < old.size(); ++n) {
    uint64_t round = firstUsed + n;
    uint32_t count = old[round % old.size()];
    Counts[round % needed] = count;
    if (count > 0)
      addAt(round % needed, static_cast<int32_t>(count));
  }
}

void RoundCounts::addAt(size_t position, int32_t change) {
  for (size_t n = position + 1; n < Tree.size(); n += n & (~n + 1))
    Tree[n] += static_cast<uint32_t>(change);
}

void RoundCounts::add(uint64_t round, int32_t change) {
  size_t position = round % Counts.size();
  Counts[position] += static_cast<uint32_t>(change);
  Total += static_cast<size_t>(static_cast<int64_t>(change));
  addAt(position, change);
}

size_t RoundCounts::sumBelow(size_t position) const {
  size_t sum = 0;
  for (size_t n = position; n > 0; n &= n - 1)
    sum += Tree[n];
  return sum;
}

size_t RoundCounts::sum(uint64_t first, uint64_t last) const {
  if (last < first || Total == 0)
    return 0;
  if (last - first >= Counts.size())
    return Total;
  size_t begin = first % Counts.size();
  size_t end = last % Counts.size() + 1;
  if (begin < end)
    return sumBelow(end) - sumBelow(begin);
  return Total - sumBelow(begin) + sumBelow(end);
}

uint64_t FairRounds::firstRound() const {
  return Turns.empty() ? CurrentRound : Turns.begin()->Round;
}

void FairRounds::setHead(Flow &flow, const QueueEntry &head) {
  flow.HeadOrder = head.Order;
  Turns.insert({flow.Round, head.Order, &head});
}

void FairRounds::removeTurn(const Flow &flow) {
  Turns.erase({flow.Round, flow.HeadOrder, nullptr});
}

void FairRounds::add(uint64_t flow, const QueueEntry &head) {
  auto [it, added] = Flows.try_emplace(flow);
  Flow &entry = it->second;
  bool isIdle = entry.Waiting == 0;
  if (isIdle && !added)
    Idle.erase(entry.IdleAt);
  if (isIdle)
    entry.Round = std::max(entry.Round, CurrentRound);
  uint64_t round = entry.Round + entry.Waiting;
  LastRound = std::max(LastRound, round);
  uint64_t first = firstRound();
  Counts.reserve(first, std::min(first, entry.Round), LastRound);
  Counts.add(round, 1);
  ++entry.Waiting;
  if (!isIdle && entry.HeadOrder == head.Order)
    return;
  if (!isIdle)
    removeTurn(entry);
  setHead(entry, head);
}

void FairRounds::remove(uint64_t flow, const QueueEntry *head) {
  auto it = Flows.find(flow);
  Flow &entry = it->second;
  // The requests behind it move up by one round, so that a flow loses no turn
  // by requests that were not served.
  Counts.add(entry.Round + entry.Waiting - 1, -1);
  --entry.Waiting;
  removeTurn(entry);
  updateAfterRemoval(it, head);
}

void FairRounds::serve(uint64_t flow, const QueueEntry *head) {
  auto it = Flows.find(flow);
  Flow &entry = it->second;
  Counts.add(entry.Round, -1);
  --entry.Waiting;
  removeTurn(entry);
  CurrentRound = std::max(CurrentRound, entry.Round);
  ++entry.Round;
  updateAfterRemoval(it, head);
}

void FairRounds::updateAfterRemoval(FlowTable::iterator it,
                                    const QueueEntry *head) {
  Flow &entry = it->second;
  if (head)
    return setHead(entry, *head);
  if (entry.Round <= CurrentRound) {
    Flows.erase(it);
    return;
  }
  entry.IdleAt = Idle.insert(Idle.end(), it->first);
  forgetIdle();
}

/// Forgets idle flows that are no longer ahead of the others. Those in `Idle`
/// have the round after the one that was current when they became idle.
void FairRounds::forgetIdle() {
  while (!Idle.empty()) {
    auto it = Flows.find(Idle.front());
    if (it->second.Round > CurrentRound && Idle.size() <= MaxIdleFlows)
      return;
    Flows.erase(it);
    Idle.pop_front();
  }
}

size_t FairRounds::countAhead(uint64_t flow) const {
  uint64_t round = CurrentRound;
  if (auto it = Flows.find(flow); it != Flows.end())
    round = std::max(round, it->second.Round + it->second.Waiting);
  return Counts.sum(firstRound(), round);
}

} // namespace guavasail
