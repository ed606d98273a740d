#include "dispatch_queue.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

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
/// Entries that are tried for a free slot. The first one takes it unless its VM
/// cannot reach the instance.
constexpr size_t FirstCount = 16;

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

bool DispatchQueue::arrivedBefore(const Place &a, const Place &b) {
  return a.Order < b.Order;
}

bool DispatchQueue::usefulBefore(const Place &a, const Place &b) {
  return std::tie(a.Late, a.Rank, a.Served, a.Order) <
         std::tie(b.Late, b.Rank, b.Served, b.Order);
}

std::span<const DispatchQueue::Place>
DispatchQueue::first(const QueueLoad &load, Instant now) {
  Instant usefulFrom = now + scaled(load.Typical, UsefulTime);
  Places.clear();
  for (uint32_t n = 0; n < Entries.size(); ++n) {
    const QueueEntry &it = Entries[n];
    Places.push_back({n, it.UsefulUntil < usefulFrom, it.Ask.Rank,
                      served(it.Ask.Workspace), it.Order});
  }
  const Strategy &strategy = Strategies[static_cast<size_t>(Kind)];
  size_t n = std::min(Places.size(), FirstCount);
  std::partial_sort(Places.begin(),
                    Places.begin() + static_cast<std::ptrdiff_t>(n),
                    Places.end(), strategy.Goes);
  return {Places.data(), n};
}

QueueEntry DispatchQueue::drop(uint32_t index) {
  QueueEntry entry = Entries[index];
  Entries.erase(Entries.begin() + index);
  return entry;
}

QueueEntry DispatchQueue::take(uint32_t index, Instant now) {
  QueueEntry entry = drop(index);
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

std::vector<DispatchQueue::Share>::iterator
DispatchQueue::shareAt(uint64_t workspace) {
  return std::lower_bound(
      Shares.begin(), Shares.end(), workspace,
      [](const Share &it, uint64_t wanted) { return it.Workspace < wanted; });
}

double DispatchQueue::served(uint64_t workspace) {
  auto it = shareAt(workspace);
  return it != Shares.end() && it->Workspace == workspace ? it->Served : 0;
}

void DispatchQueue::noteServed(uint64_t workspace, Instant now) {
  for (Share &it : Shares) {
    it.Served *= std::exp2(-inSeconds(now - it.At) / ShareHalfLifeSeconds);
    it.At = now;
  }
  auto it = shareAt(workspace);
  if (it != Shares.end() && it->Workspace == workspace) {
    it->Served += 1;
    return;
  }
  if (Shares.size() >= MostShares)
    Shares.erase(std::min_element(
        Shares.begin(), Shares.end(),
        [](const Share &a, const Share &b) { return a.Served < b.Served; }));
  Shares.insert(shareAt(workspace), Share{workspace, 1, now});
}

} // namespace guavasail
