/// \file
/// Time and allocations of the reducer for each event in steady state. Exits
/// with an error if an event allocates or a request gets no attempt.
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
constexpr uint32_t ConcurrentRequests = 16;
constexpr uint64_t WarmupRounds = 200'000;
constexpr uint64_t Rounds = 1'000'000;
constexpr Duration RoundInterval = std::chrono::microseconds(100);
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

/// Runs whole requests against a reducer, several concurrently.
class RequestDriver {
public:
  explicit RequestDriver(BalanceKind balance) : TestedReducer(init(balance)) {
    CatalogSpec catalog = makeCatalog();
    reduce(CatalogAccepted{&catalog});
  }

  /// Completes the oldest request and starts another in its slot.
  void round(uint64_t n) {
    Now += RoundInterval;
    RequestSlot &slot = Slots[n % ConcurrentRequests];
    if (slot.Busy)
      finish(slot);
    start(slot, n);
    if (TestedReducer.nextWake() <= Now)
      reduce(TimeAdvanced{});
  }

  [[nodiscard]] uint64_t events() const { return Events; }
  [[nodiscard]] uint64_t unanswered() const { return Unanswered; }

private:
  struct RequestSlot {
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
    TestedReducer.reduce({Now, body}, Effects);
  }

  void start(RequestSlot &slot, uint64_t n) {
    RequestArrived event;
    event.Request = {static_cast<uint32_t>(n % ConcurrentRequests),
                     static_cast<uint32_t>(n / ConcurrentRequests + 1)};
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

  void finish(const RequestSlot &slot) {
    AttemptResponded answered;
    answered.Attempt = slot.Attempt.Attempt;
    answered.Status = 200;
    answered.Load.Present = true;
    reduce(answered);
    reduce(AttemptCompleted{slot.Attempt.Attempt, 64, {}});
    reduce(LaneFreed{slot.Attempt.Instance, slot.Attempt.Connection});
  }

  Reducer TestedReducer;
  EffectBuffer Effects;
  Instant Now{std::chrono::seconds(1)};
  std::array<RequestSlot, ConcurrentRequests> Slots;
  uint64_t Events = 0;
  uint64_t Unanswered = 0;
};

struct BalanceRow {
  std::string_view Name;
  BalanceKind Kind;
};

/// Measured strategies; the first is the baseline.
constexpr auto Balances = std::to_array<BalanceRow>({
    {"round-robin", BalanceKind::RoundRobin},
    {"least-of-two", BalanceKind::LeastLoadedOfTwo},
});

/// Measures one strategy and prints the results.
/// \param passed set to false if an event allocated or a request got no
/// attempt.
/// \returns nanoseconds for each event.
double measure(const BalanceRow &row, bool &passed) {
  RequestDriver driver(row.Kind);
  uint64_t n = 0;
  while (n < WarmupRounds)
    driver.round(n++);
  uint64_t events = driver.events();
  uint64_t allocations = Allocations;
  auto begin = std::chrono::steady_clock::now();
  while (n < WarmupRounds + Rounds)
    driver.round(n++);
  std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - begin;
  events = driver.events() - events;
  allocations = Allocations - allocations;
  auto perEvent = elapsed.count() / static_cast<double>(events);
  std::string prefix = "reducer." + std::string(row.Name);
  std::cout << prefix << ".event " << perEvent << " ns\n"
            << prefix << ".request " << elapsed.count() / Rounds << " ns\n"
            << prefix << ".allocations "
            << static_cast<double>(allocations) / static_cast<double>(events)
            << " per-event\n"
            << prefix << ".unanswered " << driver.unanswered() << " requests\n";
  passed &= allocations == 0 && driver.unanswered() == 0;
  return perEvent;
}

} // namespace

} // namespace guavasail

int main() {
  using namespace guavasail;
  bool passed = true;
  double baseline = measure(Balances.front(), passed);
  for (const BalanceRow &row : std::span(Balances).subspan(1)) {
    double perEvent = measure(row, passed);
    std::cout << "reducer." << row.Name << ".ratio " << perEvent / baseline
              << " of-baseline\n";
  }
  return passed ? 0 : 1;
}
