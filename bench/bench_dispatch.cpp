/// \file
/// CPU time of placing a request by size of the service, load and share of
/// failing instances. Virtual time, one owner.
#include "dispatcher.h"
#include "rendezvous.h"

#include <chrono>
#include <cstdint>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

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

} // namespace

} // namespace guavasail

int main() {
  for (const guavasail::LoadCase &loadCase : guavasail::LoadCases)
    guavasail::Simulation(loadCase).run();
}
