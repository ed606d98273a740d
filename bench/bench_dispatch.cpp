/// \file
/// CPU time of placing a request by size of the service, load and share of
/// failing instances, and of a decision of the queue. Virtual time, one owner.
#include "dispatcher.h"
#include "rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <new>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace {

uint64_t AllocatedBytes = 0;

} // namespace

// Counts the bytes that are allocated.
void *operator new(size_t size) {
  AllocatedBytes += size;
  if (void *memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}
void operator delete(void *memory) noexcept { std::free(memory); }
void operator delete(void *memory, size_t) noexcept { std::free(memory); }

namespace guavasail {

namespace {

struct LoadCase {
  std::string_view Name;
  uint32_t Instances;
  /// Offered load in percent of what the instances can serve.
  uint32_t LoadPercent;
  /// Share of instances that break every connection.
  uint32_t FailingPercent;
};

constexpr LoadCase LoadCases[] = {
    {"small-calm", 22, 30, 0},      {"small-pressed", 22, 130, 10},
    {"large-calm", 190, 30, 0},     {"large-failing", 190, 30, 40},
    {"large-pressed", 190, 130, 0}, {"large-pressed-failing", 190, 130, 40},
    {"huge-pressed", 1000, 130, 10}};

constexpr uint32_t SlotCount = 6;
constexpr uint32_t VmCount = 92;
constexpr Duration ServiceTime = std::chrono::milliseconds(460);
constexpr Duration RunTime = std::chrono::seconds(10);
constexpr Duration Objective = std::chrono::seconds(2);
constexpr Duration Deadline = std::chrono::seconds(6);
constexpr Duration FailureTime = std::chrono::milliseconds(3);

CatalogSpec catalogOf(uint32_t instances) {
  CatalogSpec catalog;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "s";
  for (uint32_t n = 0; n < instances; ++n) {
    InstanceSpec &it = service.Instances.emplace_back();
    it.Name = "i" + std::to_string(n);
    it.Zone = "z" + std::to_string(n % 4);
    it.Slots = SlotCount;
  }
  return catalog;
}

struct Completion {
  Instant At;
  VmHandle Vm;
  PlacementRelease Release;
  friend bool operator<(const Completion &a, const Completion &b) {
    return a.At > b.At;
  }
};

/// Arrivals and completions of one service.
class Simulation {
public:
  explicit Simulation(const LoadCase &loadCase)
      : Load(loadCase), Owner(DispatchInit{}) {
    Index.accept(catalogOf(loadCase.Instances));
    Owner.acceptCatalog(Index, Now);
    for (uint32_t n = 0; n < loadCase.Instances * loadCase.FailingPercent / 100;
         ++n)
      FailingInstances.push_back(rendezvousKey("s/i" + std::to_string(n), 0));
  }

  void run() {
    double perSecond = Load.Instances * SlotCount / inSeconds(ServiceTime) *
                       Load.LoadPercent / 100;
    auto interval = Duration(static_cast<int64_t>(1e6 / perSecond));
    Instant end = Now + RunTime;
    auto started = std::chrono::steady_clock::now();
    for (Instant next = Now; next < end; next += interval) {
      completeUntil(next);
      Now = next;
      placeRequest();
    }
    std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - started;
    std::cout << "dispatch." << Load.Name << ".cost "
              << elapsed.count() / Requests << " us/request\n"
              << "dispatch." << Load.Name << ".granted "
              << 100.0 * Granted / Requests << " percent" << std::endl;
  }

private:
  static double inSeconds(Duration time) {
    return std::chrono::duration<double>(time).count();
  }

  void placeRequest() {
    PlacementRequest request;
    request.Service = rendezvousKey("s", 0);
    request.Request = {++Requests, 1};
    request.Ordinal = 1;
    request.Workspace = Random() % 50 + 1;
    request.Idempotent = Random() % 2 == 0;
    request.ObjectiveRemaining = Objective;
    request.Remaining = Deadline;
    auto vm = static_cast<uint32_t>(Random() % VmCount);
    Owner.onPlacementRequest({vm}, ZoneHandle{vm % 4}, request, Now);
    handleReplies();
  }

  void completeUntil(Instant time) {
    while (!Completions.empty() && Completions.top().At <= time) {
      Completion completion = Completions.top();
      Completions.pop();
      Now = completion.At;
      Owner.onRelease(completion.Vm, completion.Release, Now);
      handleReplies();
    }
    Owner.advance(time);
    handleReplies();
  }

  void handleReplies() {
    for (const PlacementOutput &it : Owner.output()) {
      if (it.Reply.Verdict != PlacementVerdict::Granted)
        continue;
      ++Granted;
      bool failing = std::find(FailingInstances.begin(), FailingInstances.end(),
                               it.Reply.Instance) != FailingInstances.end();
      Completion completion;
      completion.Vm = it.To;
      completion.Release.Service = rendezvousKey("s", 0);
      completion.Release.Request = it.Reply.Request;
      completion.Release.Ordinal = it.Reply.Ordinal;
      completion.Release.Instance = it.Reply.Instance;
      completion.Release.Outcome =
          failing ? AttemptOutcome::Fault : AttemptOutcome::Ok;
      completion.Release.Elapsed = failing ? FailureTime : ServiceTime;
      completion.At = Now + completion.Release.Elapsed;
      Completions.push(completion);
    }
    Owner.clearOutput();
  }

  LoadCase Load;
  CatalogIndex Index;
  Dispatcher Owner;
  Instant Now{std::chrono::seconds(1000)};
  std::mt19937_64 Random{1};
  std::vector<uint64_t> FailingInstances;
  std::priority_queue<Completion> Completions;
  uint32_t Requests = 0;
  uint32_t Granted = 0;
};

/// The queue before fair queueing, as the baseline: it sorts all entries for
/// each decision.
class SortedQueue {
public:
  std::optional<Duration> checkAdmission(const QueueEntry &entry,
                                         const QueueLoad &load, Instant now) {
    auto ahead = static_cast<size_t>(
        std::count_if(Entries.begin(), Entries.end(), [&](const auto &it) {
          return it.ObjectiveDeadline >= now &&
                 it.Placement.Rank <= entry.Placement.Rank;
        }));
    Duration wait = load.TypicalLatency * static_cast<int64_t>(ahead);
    return now + wait / load.Slots <= entry.Deadline ? std::nullopt
                                                     : std::optional(wait);
  }
  const QueueEntry *find(VmHandle vm, RequestHandle request, uint32_t ordinal) {
    auto it = std::find_if(Entries.begin(), Entries.end(), [&](const auto &e) {
      return e.Vm == vm && e.Placement.Request == request &&
             e.Placement.Ordinal == ordinal;
    });
    return it == Entries.end() ? nullptr : &*it;
  }
  void push(QueueEntry entry) {
    entry.Order = ++LastOrder;
    Entries.push_back(entry);
  }
  std::span<const QueueEntry *const> head(const QueueLoad &, Instant now) {
    Keys.clear();
    for (const QueueEntry &it : Entries)
      Keys.push_back({it.ObjectiveDeadline < now, it.Placement.Rank,
                      served(it.Placement.Workspace), it.Order, &it});
    std::partial_sort(Keys.begin(), Keys.begin() + 16, Keys.end());
    First = std::get<4>(Keys[0]);
    return {&First, 1};
  }
  QueueEntry takeServed(const QueueEntry &entry) {
    QueueEntry out = entry;
    Entries.erase(Entries.begin() + (&entry - Entries.data()));
    for (auto &[workspace, count] : Shares)
      count *= std::exp2(-1e-3);
    auto it = lowerBound(out.Placement.Workspace);
    if (it != Shares.end() && it->first == out.Placement.Workspace) {
      it->second += 1;
      return out;
    }
    if (Shares.size() >= 64)
      Shares.erase(std::min_element(
          Shares.begin(), Shares.end(),
          [](const auto &a, const auto &b) { return a.second < b.second; }));
    Shares.insert(lowerBound(out.Placement.Workspace),
                  {out.Placement.Workspace, 1});
    return out;
  }

private:
  using Share = std::pair<uint64_t, double>;
  std::vector<Share>::iterator lowerBound(uint64_t workspace) {
    return std::lower_bound(
        Shares.begin(), Shares.end(), workspace,
        [](const Share &it, uint64_t wanted) { return it.first < wanted; });
  }
  double served(uint64_t workspace) {
    auto it = lowerBound(workspace);
    return it != Shares.end() && it->first == workspace ? it->second : 0;
  }

  std::vector<QueueEntry> Entries;
  std::vector<std::tuple<bool, uint32_t, double, uint64_t, const QueueEntry *>>
      Keys;
  std::vector<Share> Shares;
  const QueueEntry *First = nullptr;
  uint64_t LastOrder = 0;
};

struct QueueCost {
  double Nanoseconds;
  double Bytes;
  /// Bytes allocated to fill the queue.
  double FillBytes;
};

/// Admits one request and serves one, over and over, with \p waiting others.
template <typename Queue>
QueueCost queueCost(Queue queue, uint32_t workspaces, uint32_t waiting,
                    uint32_t decisions) {
  std::mt19937_64 random(1);
  QueueLoad load{ServiceTime, 4000};
  Instant now{std::chrono::seconds(1000)};
  uint32_t number = 0;
  auto admit = [&] {
    QueueEntry entry;
    entry.Vm = {static_cast<uint32_t>(random() % VmCount)};
    entry.Placement.Request = {++number, 1};
    entry.Placement.Ordinal = 1;
    entry.Placement.Workspace = random() % workspaces + 1;
    entry.ObjectiveDeadline = now + Objective;
    entry.Deadline = now + Deadline;
    if (queue.find(entry.Vm, entry.Placement.Request, 1) ||
        queue.checkAdmission(entry, load, now))
      std::abort();
    queue.push(entry);
  };
  uint64_t before = AllocatedBytes;
  for (uint32_t n = 0; n < waiting; ++n)
    admit();
  double fillBytes = static_cast<double>(AllocatedBytes - before);
  before = AllocatedBytes;
  auto started = std::chrono::steady_clock::now();
  for (uint32_t n = 0; n < decisions; ++n) {
    now += std::chrono::microseconds(75);
    admit();
    queue.takeServed(*queue.head(load, now)[0]);
  }
  std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - started;
  return {elapsed.count() / decisions,
          static_cast<double>(AllocatedBytes - before) / decisions, fillBytes};
}

void printQueueCosts(uint32_t workspaces) {
  constexpr uint32_t Waiting = 4096;
  QueueCost cost =
      queueCost(DispatchQueue(QueueKind::Useful), workspaces, Waiting, 200000);
  QueueCost baseline = queueCost(SortedQueue(), workspaces, Waiting, 4000);
  std::string name = "queue." + std::to_string(workspaces) + "-workspaces.";
  std::cout << name << "cost " << cost.Nanoseconds << " ns/decision\n"
            << name << "sorted-cost " << baseline.Nanoseconds
            << " ns/decision\n"
            << name << "speedup " << baseline.Nanoseconds / cost.Nanoseconds
            << " times\n"
            << name << "allocated " << cost.Bytes << " bytes/decision\n"
            << name << "sorted-allocated " << baseline.Bytes
            << " bytes/decision\n"
            << name << "memory " << cost.FillBytes / Waiting
            << " bytes/waiting\n"
            << name << "sorted-memory " << baseline.FillBytes / Waiting
            << " bytes/waiting" << std::endl;
}

} // namespace

} // namespace guavasail

int main() {
  for (uint32_t workspaces : {86, 27000})
    guavasail::printQueueCosts(workspaces);
  for (const guavasail::LoadCase &loadCase : guavasail::LoadCases)
    guavasail::Simulation(loadCase).run();
}
