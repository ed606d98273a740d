/// \file
/// Daemons' health decisions over fake instances, in virtual time. Answers
/// take log-normal times; daemons exchange messages with a fixed delay.
#ifndef GUAVASAIL_BENCH_FAKE_FLEET_H
#define GUAVASAIL_BENCH_FAKE_FLEET_H

#include "balancer.h"
#include "catalog_index.h"
#include "health_fleet.h"
#include "instance_table.h"
#include "subset.h"

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace guavasail {

/// How a fake instance is sick.
enum class FakeFault : uint8_t { None, Slow, Failing, Stalling };

/// One service of a deployment.
struct FakeService {
  std::string Name;
  uint32_t Instances = 0;
  Duration Median{};
};

/// Describes a fleet. Fill in what differs from the defaults.
struct FakeFleetInit {
  std::vector<FakeService> Services;
  uint32_t Slots = 6;
  uint32_t Daemons = 40;
  uint32_t Zones = 4;
  uint32_t FloorPercent = 50;
  double RequestsPerInstance = 5;
  DetectorKind Detector = DetectorKind::Pooled;
  /// Service-wide waves and bursts, short pauses of single instances.
  bool Noise = false;
  uint64_t Seed = 1;
};

/// Runs daemons and instances event by event.
class FakeFleet {
public:
  explicit FakeFleet(const FakeFleetInit &init);

  /// Advances virtual time.
  void run(Duration length);

  /// Makes an instance sick, or well again.
  void setFault(InstanceHandle instance, FakeFault fault);

  /// \returns the daemons that took \p instance out of plain use.
  [[nodiscard]] uint32_t daemonsWithout(InstanceHandle instance) const;

  /// \returns the least slots in use for \p service in any daemon's view.
  [[nodiscard]] uint32_t leastSlotsInUse(ServiceHandle service) const;

  /// \returns ejections so far: of the fleet for pooled verdicts, of each
  /// daemon for the baselines and for path faults.
  [[nodiscard]] uint64_t ejections() const { return Ejections; }
  [[nodiscard]] uint64_t requests() const { return Requests; }
  [[nodiscard]] const CatalogIndex &catalog() const { return Catalog; }
  [[nodiscard]] Instant now() const { return Now; }

private:
  enum class Kind : uint8_t { Arrival, End, Tick, Message };
  struct Item {
    Instant Due;
    uint64_t Order = 0;
    Kind What = Kind::Arrival;
    uint32_t Daemon = 0;
    /// Service of an arrival, attempt or message number otherwise.
    uint32_t Index = 0;
  };
  struct Later {
    bool operator()(const Item &left, const Item &right) const {
      return std::tie(left.Due, left.Order) > std::tie(right.Due, right.Order);
    }
  };
  struct Daemon {
    std::unique_ptr<FleetHealth> Health;
    InstanceTable Instances;
    SubsetTable Subsets;
    std::unique_ptr<Balancer> Picker;
    ZoneHandle Zone;
    std::vector<UseState> Last;
  };
  struct Call {
    InstanceHandle Instance;
    Lane Connection;
    uint32_t Generation = 0;
    OutcomeKind Outcome = OutcomeKind::Ok;
  };
  struct Wave {
    Instant From;
    Instant To;
    double Latency = 1;
    double Rate = 1;
  };

  using Handler = void (FakeFleet::*)(const Item &item);
  static const Handler Handlers[];

  void onArrival(const Item &item);
  void onEnd(const Item &item);
  void onTick(const Item &item);
  void onMessage(const Item &item);

  void schedule(Instant due, Kind what, uint32_t daemon, uint32_t index);
  void scheduleArrival(uint32_t service);
  void planWave(uint32_t service);
  void send(uint32_t from, const EffectBuffer &effects);
  void countEjections(uint32_t daemon);
  Duration answerTime(uint32_t service, InstanceHandle instance, Call &call);
  double uniform();
  double exponential(double mean);

  FakeFleetInit Init;
  CatalogIndex Catalog;
  std::vector<VmEntry> Vms;
  std::vector<Daemon> Daemons;
  std::vector<FakeFault> Faults;
  std::vector<Instant> PausedUntil;
  std::vector<Wave> Waves;
  std::vector<Call> Calls;
  std::vector<uint32_t> FreeCalls;
  std::vector<std::pair<VmHandle, PeerBody>> Messages;
  std::vector<uint32_t> FreeMessages;
  std::priority_queue<Item, std::vector<Item>, Later> Queue;
  std::vector<Instant> LastEjected;
  EffectBuffer Effects;
  std::mt19937_64 Random;
  Instant Now{std::chrono::seconds(1000)};
  uint64_t Order = 0;
  uint64_t Ejections = 0;
  uint64_t Requests = 0;
};

} // namespace guavasail

#endif
