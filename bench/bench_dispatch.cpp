/// \file
/// Processor time of placing requests, by the size of the service, its load
/// and the share of instances that fail. Virtual time, one owner.
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

struct Row {
  std::string_view Name;
  uint32_t Instances;
  /// Requests a second, for each 100 that the instances can serve.
  uint32_t LoadPercent;
  /// Instances that break every connection, in percent.
  uint32_t BadPercent;
};

constexpr Row Rows[] = {
    {"small-calm", 22, 30, 0},      {"small-pressed", 22, 130, 10},
    {"large-calm", 190, 30, 0},     {"large-failing", 190, 30, 40},
    {"large-pressed", 190, 130, 0}, {"large-pressed-failing", 190, 130, 40},
    {"huge-pressed", 1000, 130, 10}};

constexpr uint32_t SlotCount = 6;
constexpr uint32_t VmCount = 92;
constexpr Duration Work = std::chrono::milliseconds(460);
constexpr Duration RunTime = std::chrono::seconds(10);
constexpr Duration Objective = std::chrono::seconds(2);
constexpr Duration Deadline = std::chrono::seconds(6);
constexpr Duration BreakTime = std::chrono::milliseconds(3);

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

struct Ending {
  Instant At;
  VmHandle Vm;
  PlacementRelease Done;
  friend bool operator<(const Ending &a, const Ending &b) {
    return a.At > b.At;
  }
};

/// Asks and endings of one service.
class Run {
public:
  explicit Run(const Row &row) : Shape(row), Owner(DispatchInit{}) {
    Index.accept(catalogOf(row.Instances));
    Owner.acceptCatalog(Index, Now);
    for (uint32_t n = 0; n < row.Instances * row.BadPercent / 100; ++n)
      Bad.push_back(rendezvousKey("s/i" + std::to_string(n), 0));
  }

  void play() {
    double perSecond =
        Shape.Instances * SlotCount / inSeconds(Work) * Shape.LoadPercent / 100;
    auto gap = Duration(static_cast<int64_t>(1e6 / perSecond));
    Instant end = Now + RunTime;
    auto begun = std::chrono::steady_clock::now();
    for (Instant next = Now; next < end; next += gap) {
      finishUntil(next);
      Now = next;
      ask();
    }
    std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - begun;
    std::cout << "dispatch." << Shape.Name << ".cost "
              << spent.count() / Requests << " us/request\n"
              << "dispatch." << Shape.Name << ".granted "
              << 100.0 * Granted / Requests << " percent" << std::endl;
  }

private:
  static double inSeconds(Duration time) {
    return std::chrono::duration<double>(time).count();
  }

  void ask() {
    PlacementRequest ask;
    ask.Service = rendezvousKey("s", 0);
    ask.Request = {++Requests, 1};
    ask.Ordinal = 1;
    ask.Workspace = Random() % 50 + 1;
    ask.Idempotent = Random() % 2 == 0;
    ask.ObjectiveRemaining = Objective;
    ask.Remaining = Deadline;
    auto vm = static_cast<uint32_t>(Random() % VmCount);
    Owner.onAsk({vm}, ZoneHandle{vm % 4}, ask, Now);
    takeReplies();
  }

  void finishUntil(Instant time) {
    while (!Endings.empty() && Endings.top().At <= time) {
      Ending ending = Endings.top();
      Endings.pop();
      Now = ending.At;
      Owner.onDone(ending.Vm, ending.Done, Now);
      takeReplies();
    }
    Owner.advance(time);
    takeReplies();
  }

  void takeReplies() {
    for (const PlaceOutput &it : Owner.output()) {
      if (it.Reply.Verdict != PlacementVerdict::Granted)
        continue;
      ++Granted;
      bool bad =
          std::find(Bad.begin(), Bad.end(), it.Reply.Instance) != Bad.end();
      Ending ending;
      ending.Vm = it.To;
      ending.Done.Service = rendezvousKey("s", 0);
      ending.Done.Request = it.Reply.Request;
      ending.Done.Ordinal = it.Reply.Ordinal;
      ending.Done.Instance = it.Reply.Instance;
      ending.Done.Outcome = bad ? AttemptOutcome::Fault : AttemptOutcome::Ok;
      ending.Done.Elapsed = bad ? BreakTime : Work;
      ending.At = Now + ending.Done.Elapsed;
      Endings.push(ending);
    }
    Owner.clearOutput();
  }

  Row Shape;
  CatalogIndex Index;
  Dispatcher Owner;
  Instant Now{std::chrono::seconds(1000)};
  std::mt19937_64 Random{1};
  std::vector<uint64_t> Bad;
  std::priority_queue<Ending> Endings;
  uint32_t Requests = 0;
  uint32_t Granted = 0;
};

} // namespace

} // namespace guavasail

int main() {
  for (const guavasail::Row &row : guavasail::Rows)
    guavasail::Run(row).play();
}
