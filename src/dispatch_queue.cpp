#include "dispatch_queue.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace guavasail {

namespace {

/// Multiple of the typical latency that must be left to meet an objective. It
/// is above 1 because about a third of the responses take longer than typical.
constexpr double ObjectiveLatencyFactor = 1.15;
/// Multiple of the typical latency that must be left before the deadline when
/// a request is admitted.
constexpr double AdmissionLatencyFactor = 1.3;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(150);
constexpr Duration MaxRetryAfter = std::chrono::seconds(3);
/// Half-life of the count of a workspace's served requests.
constexpr double ShareHalfLifeSeconds = 2;
constexpr size_t MaxShares = 64;
constexpr size_t MaxEntries = 4096;
/// Entries that are tried for a free slot. The first one takes it unless its VM
/// cannot reach the instance.
constexpr size_t MaxHeadEntries = 16;

/// \returns the estimated time until \p ahead requests have been granted slots.
Duration estimateWait(size_t ahead, const QueueLoad &load) {
  return scaled(load.TypicalLatency,
                static_cast<double>(ahead + 1) / load.Slots);
}

} // namespace

const DispatchQueue::Strategy DispatchQueue::Strategies[] = {
    {QueueKind::Arrival, "arrival", &DispatchQueue::precedesByArrival},
    {QueueKind::Useful, "useful", &DispatchQueue::precedesByObjective},
};

std::optional<Duration> DispatchQueue::checkAdmission(const QueueEntry &entry,
                                                      const QueueLoad &load,
                                                      Instant now) const {
  Duration requiredTime = scaled(load.TypicalLatency, AdmissionLatencyFactor);
  Duration responseTime = scaled(load.TypicalLatency, ObjectiveLatencyFactor);
  Instant earliestResponse = now + responseTime;
  auto ahead = static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const QueueEntry &it) {
        return it.ObjectiveDeadline >= earliestResponse &&
               it.Placement.Rank <= entry.Placement.Rank;
      }));
  bool meetsObjective =
      now + estimateWait(ahead, load) + responseTime <= entry.ObjectiveDeadline;
  if (meetsObjective && Kind == QueueKind::Useful)
    return std::nullopt;
  // Requests that miss their objective only get the remaining capacity, which
  // may take half of their time to become available.
  Duration remaining = entry.Deadline - now;
  Duration availableTime =
      Kind == QueueKind::Useful ? remaining / 2 : remaining;
  Duration wait = estimateWait(Entries.size(), load) + requiredTime;
  if (wait <= availableTime && Entries.size() < MaxEntries)
    return std::nullopt;
  return std::clamp(wait - availableTime + load.TypicalLatency / 2,
                    MinRetryAfter, MaxRetryAfter);
}

void DispatchQueue::push(QueueEntry entry) {
  entry.Order = ++LastOrder;
  Entries.push_back(entry);
}

QueueEntry *DispatchQueue::find(VmHandle vm, RequestHandle request,
                                uint32_t ordinal) {
  auto it = std::find_if(Entries.begin(), Entries.end(), [&](const auto &item) {
    return item.Vm == vm && item.Placement.Request == request &&
           item.Placement.Ordinal == ordinal;
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

bool DispatchQueue::precedesByArrival(const SortKey &a, const SortKey &b) {
  return a.Order < b.Order;
}

bool DispatchQueue::precedesByObjective(const SortKey &a, const SortKey &b) {
  return std::tie(a.MissesObjective, a.Rank, a.Served, a.Order) <
         std::tie(b.MissesObjective, b.Rank, b.Served, b.Order);
}

std::span<const DispatchQueue::SortKey>
DispatchQueue::head(const QueueLoad &load, Instant now) {
  Instant earliestResponse =
      now + scaled(load.TypicalLatency, ObjectiveLatencyFactor);
  SortKeys.clear();
  for (uint32_t n = 0; n < Entries.size(); ++n) {
    const QueueEntry &it = Entries[n];
    SortKeys.push_back({n, it.ObjectiveDeadline < earliestResponse,
                        it.Placement.Rank,
                        recentlyServed(it.Placement.Workspace), it.Order});
  }
  const Strategy &strategy = Strategies[static_cast<size_t>(Kind)];
  size_t n = std::min(SortKeys.size(), MaxHeadEntries);
  std::partial_sort(SortKeys.begin(),
                    SortKeys.begin() + static_cast<std::ptrdiff_t>(n),
                    SortKeys.end(), strategy.Precedes);
  return {SortKeys.data(), n};
}

QueueEntry DispatchQueue::removeAt(uint32_t index) {
  QueueEntry entry = Entries[index];
  Entries.erase(Entries.begin() + index);
  return entry;
}

QueueEntry DispatchQueue::takeServed(uint32_t index, Instant now) {
  QueueEntry entry = removeAt(index);
  noteServed(entry.Placement.Workspace, now);
  return entry;
}

std::optional<QueueEntry> DispatchQueue::takeUnservable(const QueueLoad &load,
                                                        Instant now) {
  Instant finish = now + load.TypicalLatency;
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

std::vector<DispatchQueue::WorkspaceShare>::iterator
DispatchQueue::findShare(uint64_t workspace) {
  return std::lower_bound(Shares.begin(), Shares.end(), workspace,
                          [](const WorkspaceShare &it, uint64_t wanted) {
                            return it.Workspace < wanted;
                          });
}

double DispatchQueue::recentlyServed(uint64_t workspace) {
  auto it = findShare(workspace);
  return it != Shares.end() && it->Workspace == workspace ? it->Served : 0;
}

void DispatchQueue::noteServed(uint64_t workspace, Instant now) {
  for (WorkspaceShare &it : Shares) {
    it.Served *= std::exp2(-inSeconds(now - it.At) / ShareHalfLifeSeconds);
    it.At = now;
  }
  auto it = findShare(workspace);
  if (it != Shares.end() && it->Workspace == workspace) {
    it->Served += 1;
    return;
  }
  if (Shares.size() >= MaxShares)
    Shares.erase(
        std::min_element(Shares.begin(), Shares.end(),
                         [](const WorkspaceShare &a, const WorkspaceShare &b) {
                           return a.Served < b.Served;
                         }));
  Shares.insert(findShare(workspace), WorkspaceShare{workspace, 1, now});
}

} // namespace guavasail
