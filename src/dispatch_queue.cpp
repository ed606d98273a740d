#include "dispatch_queue.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavasail {

namespace {

/// Usual times that have to be left for an answer to be in time; about a third
/// of the answers take longer than the usual time.
constexpr double UsefulTime = 1.15;
/// Usual times that are kept free before a deadline when a request is let in.
constexpr double SafeTime = 1.3;
constexpr Duration LeastRetry = std::chrono::milliseconds(150);
constexpr Duration MostRetry = std::chrono::seconds(3);
/// Time after which half of what a workspace was served is forgotten.
constexpr double ShareHalfLifeSeconds = 2;
constexpr size_t MostShares = 64;
constexpr size_t MostEntries = 4096;

/// \returns the time until \p ahead requests were given a slot.
Duration waitFor(size_t ahead, const QueueLoad &load) {
  return scaled(load.Typical, static_cast<double>(ahead + 1) / load.Slots);
}

} // namespace

const DispatchQueue::Strategy DispatchQueue::Strategies[] = {
    {QueueKind::Arrival, "arrival", &DispatchQueue::arrivedBefore},
    {QueueKind::Useful, "useful", &DispatchQueue::usefulBefore},
};

std::optional<Duration> DispatchQueue::refusal(const QueueEntry &entry,
                                               const QueueLoad &load,
                                               Instant now) const {
  Duration needed = scaled(load.Typical, SafeTime);
  Duration useful = scaled(load.Typical, UsefulTime);
  Instant usefulFrom = now + useful;
  auto ahead = static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const QueueEntry &it) {
        return it.UsefulUntil >= usefulFrom && it.Ask.Rank <= entry.Ask.Rank;
      }));
  bool inTime = now + waitFor(ahead, load) + useful <= entry.UsefulUntil;
  if (inTime && Kind == QueueKind::Useful)
    return std::nullopt;
  // Late requests get what is left over. Half of their time may pass before
  // anything is.
  Duration left = entry.Deadline - now;
  Duration usable = Kind == QueueKind::Useful ? left / 2 : left;
  Duration wait = waitFor(Entries.size(), load) + needed;
  if (wait <= usable && Entries.size() < MostEntries)
    return std::nullopt;
  return std::clamp(wait - usable + load.Typical / 2, LeastRetry, MostRetry);
}

void DispatchQueue::push(QueueEntry entry) {
  entry.Order = ++LastOrder;
  Entries.push_back(entry);
}

QueueEntry *DispatchQueue::find(VmHandle vm, RequestHandle request,
                                uint32_t ordinal) {
  auto it = std::find_if(Entries.begin(), Entries.end(), [&](const auto &item) {
    return item.Vm == vm && item.Ask.Request == request &&
           item.Ask.Ordinal == ordinal;
  });
  return it == Entries.end() ? nullptr : &*it;
}

bool DispatchQueue::remove(VmHandle vm, RequestHandle request,
                           uint32_t ordinal) {
  QueueEntry *entry = find(vm, request, ordinal);
  if (!entry)
    return false;
  Entries.erase(Entries.begin() + (entry - Entries.data()));
  return true;
}

bool DispatchQueue::arrivedBefore(const QueueEntry &a, const QueueEntry &b,
                                  Instant) const {
  return a.Order < b.Order;
}

bool DispatchQueue::usefulBefore(const QueueEntry &a, const QueueEntry &b,
                                 Instant usefulFrom) const {
  bool lateA = a.UsefulUntil < usefulFrom;
  bool lateB = b.UsefulUntil < usefulFrom;
  if (lateA != lateB)
    return lateB;
  if (a.Ask.Rank != b.Ask.Rank)
    return a.Ask.Rank < b.Ask.Rank;
  if (a.Ask.Workspace != b.Ask.Workspace) {
    double servedA = served(a.Ask.Workspace);
    double servedB = served(b.Ask.Workspace);
    if (servedA != servedB)
      return servedA < servedB;
  }
  return a.Order < b.Order;
}

std::span<const uint32_t> DispatchQueue::order(const QueueLoad &load,
                                               Instant now) {
  const Strategy &strategy = Strategies[static_cast<size_t>(Kind)];
  Instant usefulFrom = now + scaled(load.Typical, UsefulTime);
  Sorted.resize(Entries.size());
  std::iota(Sorted.begin(), Sorted.end(), 0U);
  std::stable_sort(Sorted.begin(), Sorted.end(), [&](uint32_t a, uint32_t b) {
    return (this->*strategy.Goes)(Entries[a], Entries[b], usefulFrom);
  });
  return Sorted;
}

QueueEntry DispatchQueue::take(uint32_t index, Instant now) {
  QueueEntry entry = Entries[index];
  Entries.erase(Entries.begin() + index);
  noteServed(entry.Ask.Workspace, now);
  return entry;
}

std::optional<QueueEntry> DispatchQueue::takeHopeless(const QueueLoad &load,
                                                      Instant now) {
  Instant finish = now + load.Typical;
  auto it = std::find_if(
      Entries.begin(), Entries.end(),
      [&](const QueueEntry &entry) { return entry.Deadline < finish; });
  if (it == Entries.end())
    return std::nullopt;
  QueueEntry entry = *it;
  Entries.erase(it);
  return entry;
}

void DispatchQueue::dropVm(VmHandle vm) {
  std::erase_if(Entries, [&](const QueueEntry &it) { return it.Vm == vm; });
}

double DispatchQueue::served(uint64_t workspace) const {
  for (const Share &it : Shares)
    if (it.Workspace == workspace)
      return it.Served;
  return 0;
}

void DispatchQueue::noteServed(uint64_t workspace, Instant now) {
  Share *own = nullptr;
  for (Share &it : Shares) {
    it.Served *= std::exp2(-inSeconds(now - it.At) / ShareHalfLifeSeconds);
    it.At = now;
    if (it.Workspace == workspace)
      own = &it;
  }
  if (!own) {
    if (Shares.size() >= MostShares)
      Shares.erase(std::min_element(
          Shares.begin(), Shares.end(),
          [](const Share &a, const Share &b) { return a.Served < b.Served; }));
    own = &Shares.emplace_back(Share{workspace, 0, now});
  }
  own->Served += 1;
}

} // namespace guavasail
