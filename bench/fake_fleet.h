/// \file
/// Simulation of the daemons' health decisions on fake instances, in virtual
/// time. Latencies are log-normal; messages between daemons take a fixed delay.
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

/// Fault injected into a fake instance.
enum class FakeFault : uint8_t { None, Slow, Failing, Stalling };

/// One service of a deployment.
struct FakeService {
  std::string Name;
  uint32_t Instances = 0;
  Duration Median{};
};

/// Parameters of a simulated fleet.
struct FakeFleetInit {
  std::vector<FakeService> Services;
  uint32_t Slots = 6;
  uint32_t Daemons = 40;
  uint32_t Zones = 4;
  uint32_t FloorPercent = 50;
  double RequestsPerInstance = 5;
  DetectorKind Detector = DetectorKind::Pooled;
  /// Adds a low rate of errors, service-wide latency and load peaks, and short
  /// pauses of single instances.
  bool Noise = false;
  uint64_t Seed = 1;
};

/// Discrete-event simulation of daemons and instances.
class FakeFleet {
public:
  explicit FakeFleet(const FakeFleetInit &init);

  /// Advances virtual time.
  void run(Duration length);

  /// Injects a fault into an instance, or clears it with `None`.
  void setFault(InstanceHandle instance, FakeFault fault);

  /// \returns the number of daemons whose use of \p instance is neither `InUse`
  /// nor `HeldByFloor`.
  [[nodiscard]] uint32_t daemonsWithout(InstanceHandle instance) const;

  /// \returns the slots in use for \p service, the minimum over all daemons.
  [[nodiscard]] uint32_t minSlotsInUse(ServiceHandle service) const;

  /// \returns ejections so far: one per fleet for pooled verdicts, one per
  /// daemon for the baselines and for path faults.
  [[nodiscard]] uint64_t ejections() const { return Ejections; }
  [[nodiscard]] uint64_t requests() const { return Requests; }
  [[nodiscard]] const CatalogIndex &catalog() const { return Catalog; }
  [[nodiscard]] Instant now() const { return Now; }

private:
  enum class EventType : uint8_t { Arrival, End, Tick, Message };
  struct SimEvent {
    Instant Due;
    uint64_t Sequence = 0;
    EventType Type = EventType::Arrival;
    uint32_t Daemon = 0;
    /// Index of the service, call or message, by `Type`.
    uint32_t Index = 0;
  };
  struct LaterDue {
    bool operator()(const SimEvent &left, const SimEvent &right) const {
      return std::tie(left.Due, left.Sequence) >
             std::tie(right.Due, right.Sequence);
    }
  };
  struct Daemon {
    std::unique_ptr<FleetHealth> Health;
    InstanceTable Instances;
    SubsetTable Subsets;
    std::unique_ptr<Balancer> LoadBalancer;
    ZoneHandle Zone;
    std::vector<UseState> LastUse;
  };
  struct Call {
    InstanceHandle Instance;
    Lane Connection;
    uint32_t Generation = 0;
    OutcomeKind Outcome = OutcomeKind::Ok;
  };
  struct Disturbance {
    Instant From;
    Instant To;
    double Latency = 1;
    double Rate = 1;
  };

  using Handler = void (FakeFleet::*)(const SimEvent &event);
  static const Handler Handlers[];

  void onArrival(const SimEvent &event);
  void onEnd(const SimEvent &event);
  void onTick(const SimEvent &event);
  void onMessage(const SimEvent &event);

  void schedule(Instant due, EventType type, uint32_t daemon, uint32_t index);
  void scheduleArrival(uint32_t service);
  void planDisturbance(uint32_t service);
  void send(uint32_t from, const EffectBuffer &effects);
  void countEjections(uint32_t daemon);
  Duration sampleLatency(uint32_t service, InstanceHandle instance, Call &call);
  double sampleUniform();
  double sampleExponential(double mean);

  FakeFleetInit Init;
  CatalogIndex Catalog;
  std::vector<VmEntry> Vms;
  std::vector<Daemon> Daemons;
  std::vector<FakeFault> Faults;
  std::vector<Instant> PausedUntil;
  std::vector<Disturbance> Disturbances;
  std::vector<Call> Calls;
  std::vector<uint32_t> FreeCalls;
  std::vector<std::pair<VmHandle, PeerBody>> Messages;
  std::vector<uint32_t> FreeMessages;
  std::priority_queue<SimEvent, std::vector<SimEvent>, LaterDue> Events;
  std::vector<Instant> LastEjected;
  EffectBuffer Effects;
  std::mt19937_64 Random;
  Instant Now{std::chrono::seconds(1000)};
  uint64_t Sequence = 0;
  uint64_t Ejections = 0;
  uint64_t Requests = 0;
};

} // namespace guavasail

#endif
