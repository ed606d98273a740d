#include "dispatch_queue.h"

#include "duration_math.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <iterator>

namespace guavasail {

namespace {

/// Multiple of the typical latency that must be left to meet an objective. It
/// is above 1 because about a third of the responses take longer than typical.
constexpr double ObjectiveLatencyFactor = 1.15;
/// Multiple of the typical latency that must be left before the deadline when
/// a request is admitted.
constexpr double AdmissionLatencyFactor = 1.3;
/// Time that a request which cannot meet its objective must gain to be counted
/// as useful again. The typical latency changes with each response, and
/// requests are not to change their band with each of its changes.
constexpr Duration BandMargin = std::chrono::milliseconds(20);
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
    {QueueKind::Arrival, "arrival", &DispatchQueue::assignByArrival},
    {QueueKind::Useful, "useful", &DispatchQueue::assignByObjective},
};

size_t DispatchQueue::RequestHash::operator()(
    const QueueEntry::RequestKey &key) const {
  auto [vm, request, ordinal] = key;
  size_t hash = 0;
  boost::hash_combine(hash, vm.Value);
  boost::hash_combine(hash, request.Index);
  boost::hash_combine(hash, request.Generation);
  boost::hash_combine(hash, ordinal);
  return hash;
}

/// All requests form one flow.
QueueFlow DispatchQueue::assignByArrival(const QueueEntry &) const {
  return {};
}

QueueFlow DispatchQueue::assignByObjective(const QueueEntry &entry) const {
  Instant required = EarliestResponse;
  if (entry.Flow.Band.MissesObjective)
    required += BandMargin;
  return {{entry.ObjectiveDeadline < required, entry.Placement.Rank},
          entry.Placement.Workspace};
}

QueueFlow DispatchQueue::flowOf(const QueueEntry &entry) const {
  return (this->*Strategies[static_cast<size_t>(Kind)].Assign)(entry);
}

std::optional<Duration> DispatchQueue::checkAdmission(const QueueEntry &entry,
                                                      const QueueLoad &load,
                                                      Instant now) {
  updateBands(load, now);
  Duration requiredTime = scaled(load.TypicalLatency, AdmissionLatencyFactor);
  Duration responseTime = scaled(load.TypicalLatency, ObjectiveLatencyFactor);
  if (Kind == QueueKind::Useful) {
    size_t ahead =
        countAhead({{false, entry.Placement.Rank}, entry.Placement.Workspace});
    if (now + estimateWait(ahead, load) + responseTime <=
        entry.ObjectiveDeadline)
      return std::nullopt;
  }
  // Requests that miss their objective only get the remaining capacity, which
  // may take half of their time to become available.
  Duration remaining = entry.Deadline - now;
  Duration availableTime =
      Kind == QueueKind::Useful ? remaining / 2 : remaining;
  Duration wait = estimateWait(Entries.size(), load) + requiredTime;
  if (wait <= availableTime && Entries.size() < MaxEntries)
    return std::nullopt;
  return std::max(wait - availableTime, Duration::zero()) +
         load.TypicalLatency / 2;
}

/// \returns the number of waiting requests that are served before a request
/// which \p flow adds now.
size_t DispatchQueue::countAhead(const QueueFlow &flow) const {
  size_t ahead = 0;
  for (const auto &[band, rounds] : Bands) {
    if (band == flow.Band)
      return ahead + rounds.countAhead(flow.Workspace);
    if (flow.Band < band)
      return ahead;
    ahead += rounds.size();
  }
  return ahead;
}

/// Moves entries to the bands that correspond to the time until their
/// objective is missed.
void DispatchQueue::updateBands(const QueueLoad &load, Instant now) {
  EarliestResponse = now + scaled(load.TypicalLatency, ObjectiveLatencyFactor);
  auto &index = Entries.get<ByObjective>();
  while (!index.empty() && flowOf(*index.begin()) != index.begin()->Flow)
    move(*index.begin());
  while (!index.empty() && flowOf(*index.rbegin()) != index.rbegin()->Flow)
    move(*index.rbegin());
}

void DispatchQueue::move(const QueueEntry &entry) {
  QueueFlow from = entry.Flow;
  QueueFlow to = flowOf(entry);
  Entries.modify(Entries.iterator_to(entry),
                 [&](QueueEntry &it) { it.Flow = to; });
  removeFromBand(from);
  Bands[to.Band].add(to.Workspace, *firstOf(to));
}

void DispatchQueue::push(QueueEntry entry) {
  entry.Order = ++LastOrder;
  entry.Flow = flowOf(entry);
  if (Entries.insert(entry).second)
    Bands[entry.Flow.Band].add(entry.Flow.Workspace, *firstOf(entry.Flow));
}

const QueueEntry *DispatchQueue::find(VmHandle vm, RequestHandle request,
                                      uint32_t ordinal) const {
  auto it = Entries.find(QueueEntry::RequestKey{vm, request, ordinal});
  return it == Entries.end() ? nullptr : &*it;
}

bool DispatchQueue::remove(VmHandle vm, RequestHandle request,
                           uint32_t ordinal) {
  const QueueEntry *entry = find(vm, request, ordinal);
  if (entry)
    take(*entry);
  return entry;
}

/// \returns the first entry of \p flow, null if none waits.
const QueueEntry *DispatchQueue::firstOf(const QueueFlow &flow) const {
  const auto &index = Entries.get<ByFlow>();
  auto it = index.lower_bound(QueueEntry::FlowKey{flow, 0});
  return it == index.end() || it->Flow != flow ? nullptr : &*it;
}

std::span<const QueueEntry *const> DispatchQueue::head(const QueueLoad &load,
                                                       Instant now) {
  updateBands(load, now);
  Head.clear();
  for (const auto &[band, rounds] : Bands) {
    collectHead(rounds);
    if (Head.size() == MaxHeadEntries)
      break;
  }
  return Head;
}

/// Adds the first request of each flow, then the second of each, and so on.
void DispatchQueue::collectHead(const FairRounds &rounds) {
  size_t begin = Head.size();
  for (const FlowTurn &it : rounds.turns()) {
    if (Head.size() == MaxHeadEntries)
      return;
    Head.push_back(it.Head);
  }
  const auto &index = Entries.get<ByFlow>();
  for (size_t n = begin; n < Head.size() && Head.size() < MaxHeadEntries; ++n) {
    auto next = std::next(index.iterator_to(*Head[n]));
    if (next != index.end() && next->Flow == Head[n]->Flow)
      Head.push_back(&*next);
  }
}

QueueEntry DispatchQueue::extract(const QueueEntry &entry) {
  QueueEntry out = entry;
  Entries.erase(Entries.iterator_to(entry));
  return out;
}

void DispatchQueue::removeFromBand(const QueueFlow &flow) {
  auto it = Bands.find(flow.Band);
  it->second.remove(flow.Workspace, firstOf(flow));
  if (it->second.size() == 0)
    Bands.erase(it);
}

QueueEntry DispatchQueue::take(const QueueEntry &entry) {
  QueueEntry out = extract(entry);
  removeFromBand(out.Flow);
  return out;
}

QueueEntry DispatchQueue::takeServed(const QueueEntry &entry) {
  QueueEntry out = extract(entry);
  auto it = Bands.find(out.Flow.Band);
  it->second.serve(out.Flow.Workspace, firstOf(out.Flow));
  if (it->second.size() == 0)
    Bands.erase(it);
  return out;
}

std::optional<QueueEntry> DispatchQueue::takeUnservable(const QueueLoad &load,
                                                        Instant now) {
  const auto &index = Entries.get<ByDeadline>();
  if (index.empty() || index.begin()->Deadline >= now + load.TypicalLatency)
    return std::nullopt;
  return take(*index.begin());
}

std::optional<QueueEntry> DispatchQueue::takeAny() {
  if (Entries.empty())
    return std::nullopt;
  return take(*Entries.get<ByDeadline>().begin());
}

void DispatchQueue::dropVm(VmHandle vm) {
  const auto &index = Entries.get<ByDeadline>();
  for (auto it = index.begin(); it != index.end();) {
    const QueueEntry &entry = *it++;
    if (entry.Vm == vm)
      take(entry);
  }
}

} // namespace guavasail
