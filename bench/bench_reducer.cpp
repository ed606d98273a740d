/// \file
/// Cost of the reducer for each event in steady state: time and allocations.
/// Ends with an error if an event allocates.
#include "guavasail/catalog.h"
#include "guavasail/reducer.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <new>
#include <string>
#include <string_view>

namespace {

uint64_t Allocations = 0;

} // namespace

void *operator new(size_t size) {
  ++Allocations;
  if (void *memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}

void operator delete(void *memory) noexcept { std::free(memory); }
void operator delete(void *memory, size_t) noexcept { std::free(memory); }

namespace guavasail {

namespace {

constexpr uint32_t InstanceCount = 10;
constexpr uint32_t WorkspaceCount = 8;
/// Requests in progress at the same time.
constexpr uint32_t Depth = 16;
constexpr uint64_t WarmUpRounds = 200'000;
constexpr uint64_t Rounds = 1'000'000;
constexpr Duration RoundTime = std::chrono::microseconds(100);
constexpr std::string_view Path = "/wind/cabo-vela";

Digest keyOf(uint32_t workspace) {
  Digest digest;
  digest.Bytes[0] = static_cast<uint8_t>(workspace + 1);
  return digest;
}

CatalogSpec makeCatalog() {
  CatalogSpec catalog;
  catalog.Version = 1;
  ServiceSpec &service = catalog.Services.emplace_back();
  service.Name = "wind";
  for (uint32_t n = 0; n < InstanceCount; ++n) {
    InstanceSpec &instance = service.Instances.emplace_back();
    instance.Name = "w" + std::to_string(n);
    instance.Address = "127.0.0.1";
    instance.Port = 9000 + n;
    instance.Zone = n % 2 == 0 ? "riohacha" : "uribia";
  }
  RouteSpec &route = catalog.Routes.emplace_back();
  route.Name = "wind";
  route.Prefix = "/wind";
  route.Service = "wind";
  route.Timeout = std::chrono::seconds(1);
  for (uint32_t n = 0; n < WorkspaceCount; ++n) {
    WorkspaceSpec &workspace = catalog.Workspaces.emplace_back();
    workspace.Name = "ws" + std::to_string(n);
    workspace.Keys.push_back({"k", keyOf(n)});
  }
  return catalog;
}

/// Plays whole requests against a reducer, several at a time.
class Player {
public:
  explicit Player(BalanceKind balance) : Decisions(init(balance)) {
    CatalogSpec catalog = makeCatalog();
    reduce(CatalogAccepted{&catalog});
  }

  /// Ends the oldest request and starts another in its place.
  void round(uint64_t n) {
    Now += RoundTime;
    Running &slot = Slots[n % Depth];
    if (slot.Busy)
      finish(slot);
    start(slot, n);
    if (Decisions.nextWake() <= Now)
      reduce(TimeAdvanced{});
  }

  [[nodiscard]] uint64_t events() const { return Events; }
  [[nodiscard]] uint64_t unanswered() const { return Unanswered; }

private:
  struct Running {
    bool Busy = false;
    StartAttempt Attempt;
  };

  static ReducerInit init(BalanceKind balance) {
    ReducerInit init;
    init.Zone = "riohacha";
    init.Balance = balance;
    return init;
  }

  void reduce(const EventBody &body) {
    ++Events;
    Effects.clear();
    Decisions.reduce({Now, body}, Effects);
  }

  void start(Running &slot, uint64_t n) {
    RequestArrived event;
    event.Request = {static_cast<uint32_t>(n % Depth),
                     static_cast<uint32_t>(n / Depth + 1)};
    event.Path = Path;
    event.Repeat = Repeatability::Idempotent;
    event.Key = keyOf(static_cast<uint32_t>(n % WorkspaceCount));
    reduce(event);
    slot.Busy = false;
    for (const Effect &effect : Effects.items()) {
      const auto *started = std::get_if<StartAttempt>(&effect);
      if (!started)
        continue;
      slot.Attempt = *started;
      slot.Busy = true;
    }
    Unanswered += slot.Busy ? 0 : 1;
  }

  void finish(const Running &slot) {
    AttemptAnswered answered;
    answered.Attempt = slot.Attempt.Attempt;
    answered.Status = 200;
    answered.Load.Present = true;
    reduce(answered);
    reduce(AttemptCompleted{slot.Attempt.Attempt, 64, {}});
    reduce(LaneFreed{slot.Attempt.Instance, slot.Attempt.Connection});
  }

  Reducer Decisions;
  EffectBuffer Effects;
  Instant Now{std::chrono::seconds(1)};
  std::array<Running, Depth> Slots;
  uint64_t Events = 0;
  uint64_t Unanswered = 0;
};

struct BalanceRow {
  std::string_view Name;
  BalanceKind Kind;
};

/// The first row is the baseline.
constexpr auto Balances = std::to_array<BalanceRow>({
    {"round-robin", BalanceKind::RoundRobin},
    {"least-of-two", BalanceKind::LeastLoadedOfTwo},
});

/// \returns nanoseconds for each event.
double measure(const BalanceRow &row, bool &clean) {
  Player player(row.Kind);
  uint64_t n = 0;
  while (n < WarmUpRounds)
    player.round(n++);
  uint64_t events = player.events();
  uint64_t allocations = Allocations;
  auto begin = std::chrono::steady_clock::now();
  while (n < WarmUpRounds + Rounds)
    player.round(n++);
  std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - begin;
  events = player.events() - events;
  allocations = Allocations - allocations;
  auto perEvent = took.count() / static_cast<double>(events);
  std::string prefix = "reducer." + std::string(row.Name);
  std::cout << prefix << ".event " << perEvent << " ns\n"
            << prefix << ".request " << took.count() / Rounds << " ns\n"
            << prefix << ".allocations "
            << static_cast<double>(allocations) / static_cast<double>(events)
            << " per-event\n"
            << prefix << ".unanswered " << player.unanswered() << " requests\n";
  clean &= allocations == 0 && player.unanswered() == 0;
  return perEvent;
}

} // namespace

} // namespace guavasail

int main() {
  using namespace guavasail;
  bool clean = true;
  double baseline = measure(Balances.front(), clean);
  for (const BalanceRow &row : std::span(Balances).subspan(1)) {
    double figure = measure(row, clean);
    std::cout << "reducer." << row.Name << ".ratio " << figure / baseline
              << " of-baseline\n";
  }
  return clean ? 0 : 1;
}
