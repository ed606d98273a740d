/// \file
/// Instances of one service and the VMs that place requests on them, in virtual
/// time: one owner with a `Dispatcher`, or many VMs that decide independently.
#ifndef GUAVASAIL_TESTS_BALANCE_FLEET_H
#define GUAVASAIL_TESTS_BALANCE_FLEET_H

#include "catalog_index.h"
#include "dispatcher.h"
#include "load_estimate.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <optional>
#include <queue>
#include <random>
#include <string_view>
#include <vector>

namespace guavasail {

/// Load and instances of a run.
struct BalanceLoad {
  std::string_view Name;
  uint32_t Instances = 24;
  uint32_t Deciders = 40;
  /// Offered load in percent of what the instances can serve.
  uint32_t LoadPercent = 55;
  /// Callers in the first of three zones, in percent.
  uint32_t FirstZonePercent = 34;
  /// The time of a request differs between instances by up to this, up or down.
  uint32_t SpeedSpreadPercent = 0;
  /// Every fourth instance takes twice the time for a request on its last slot.
  bool SlowsWhenFull = false;
  /// Age of load reports; none without reports.
  std::optional<Duration> ReportAge = Duration::zero();
  /// Requests that instances reject at random, in percent.
  uint32_t RejectPercent = 0;
  /// The owner is replaced by one without knowledge of grants this often; zero
  /// for never.
  Duration OwnerChangeInterval{};
};

struct BalanceResult {
  /// Requests in progress on the busiest instance over the mean, as the mean of
  /// windows of 5 s.
  double BusiestOverMean = 0;
  /// 99th percentile of the time before an instance runs a request.
  Duration P99Wait{};
  /// Requests that miss their objective, or are refused.
  double LatePercent = 0;
  /// Requests that leave their zone.
  double RemotePercent = 0;
};

struct BalancePolicy;

/// One run.
class BalanceFleet {
public:
  using PlaceMember = void (BalanceFleet::*)(uint32_t request);
  using ChooseMember = uint32_t (BalanceFleet::*)(uint32_t decider);

  BalanceFleet(const BalanceLoad &load, const BalancePolicy &policy,
               uint64_t seed);

  BalanceResult run(Duration length);

  void placeByOwner(uint32_t request);
  void placeByDecider(uint32_t request);
  uint32_t chooseRandom(uint32_t decider);
  uint32_t chooseLeastReported(uint32_t decider);
  uint32_t chooseTwoReported(uint32_t decider);
  uint32_t chooseTwoCorrected(uint32_t decider);

private:
  static constexpr uint32_t SnapshotCount = 16;

  struct Event {
    Instant At;
    uint64_t Order;
    std::function<void()> Run;
    friend bool operator<(const Event &a, const Event &b) {
      return a.At != b.At ? a.At > b.At : a.Order > b.Order;
    }
  };
  struct Instance {
    uint64_t Key = 0;
    double RelativeTime = 1;
    bool SlowsWhenFull = false;
    uint32_t Running = 0;
    std::deque<uint32_t> Waiting;
    double BusySeconds = 0;
    Instant BusyAt{};
    std::array<uint32_t, SnapshotCount> Snapshots{};

    [[nodiscard]] uint32_t load() const {
      return Running + static_cast<uint32_t>(Waiting.size());
    }
  };
  struct View {
    uint32_t Reported = 0;
    uint32_t Own = 0;
    LoadEstimate Estimate;
    std::array<uint32_t, SnapshotCount> OwnSnapshots{};
  };
  struct Request {
    uint32_t Vm = 0;
    uint32_t Instance = 0;
    uint32_t OwnerNumber = 0;
    Instant Arrived{};
    Instant Sent{};
    PlacementReply Grant;
  };

  void at(Instant time, std::function<void()> action);
  void arrive();
  void send(uint32_t request, uint32_t instance);
  void startNext(uint32_t instance);
  void complete(uint32_t request);
  void finish(uint32_t request, AttemptOutcome outcome);
  void handleReplies();
  void tick();
  void deliverReports(uint32_t decider);
  void replaceOwner();
  void endWindow();
  void noteBusy(Instance &instance) const;
  [[nodiscard]] double correctedLoad(const View &view) const;
  [[nodiscard]] uint32_t reportedLoad(const Instance &instance) const;
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }
  uint32_t randomInstance() {
    return static_cast<uint32_t>(Random() % Instances.size());
  }

  BalanceLoad Load;
  const BalancePolicy &Policy;
  std::mt19937_64 Random;
  Instant Now{std::chrono::seconds(1000)};
  Instant End{};
  uint64_t LastOrder = 0;
  std::priority_queue<Event> Events;
  CatalogIndex Index;
  std::optional<Dispatcher> Owner;
  uint32_t OwnerNumber = 0;
  std::vector<Instance> Instances;
  std::vector<std::vector<View>> Views;
  std::vector<Request> Requests;
  std::vector<Duration> Waits;
  std::vector<double> WindowRatios;
  uint32_t Ticks = 0;
  uint32_t Late = 0;
  uint32_t Remote = 0;
};

/// A way to place requests.
struct BalancePolicy {
  std::string_view Name;
  BalanceFleet::PlaceMember Place;
  /// For one owner.
  PlacementKind Placement = PlacementKind::Random;
  /// For many deciders.
  BalanceFleet::ChooseMember Choose = nullptr;
};

/// The first row is the baseline.
inline constexpr BalancePolicy BalancePolicies[] = {
    {"many-random", &BalanceFleet::placeByDecider, PlacementKind::Random,
     &BalanceFleet::chooseRandom},
    {"many-least-reported", &BalanceFleet::placeByDecider,
     PlacementKind::Random, &BalanceFleet::chooseLeastReported},
    {"many-two-reported", &BalanceFleet::placeByDecider, PlacementKind::Random,
     &BalanceFleet::chooseTwoReported},
    {"many-two-corrected", &BalanceFleet::placeByDecider, PlacementKind::Random,
     &BalanceFleet::chooseTwoCorrected},
    {"owner-random", &BalanceFleet::placeByOwner, PlacementKind::Random},
    {"owner-two-random", &BalanceFleet::placeByOwner, PlacementKind::TwoRandom},
    {"owner-spread", &BalanceFleet::placeByOwner, PlacementKind::Spread},
    {"owner-even", &BalanceFleet::placeByOwner, PlacementKind::Even},
};

/// \returns the policy called \p name.
inline const BalancePolicy &balancePolicy(std::string_view name) {
  return *std::find_if(
      std::begin(BalancePolicies), std::end(BalancePolicies),
      [&](const BalancePolicy &it) { return it.Name == name; });
}

} // namespace guavasail

#endif
