/// \file
/// One daemon's part in finding sick instances: collects its evidence, sends
/// it to the evidence owners, judges the services that it owns and applies
/// verdicts.
#ifndef GUAVASAIL_SRC_HEALTH_FLEET_H
#define GUAVASAIL_SRC_HEALTH_FLEET_H

#include "catalog_index.h"
#include "evidence.h"
#include "guavasail/effect.h"
#include "guavasail/event.h"
#include "guavasail/member.h"
#include "health_judge.h"
#include "health_table.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// Evidence that a request's attempt gave, so that it can be taken back.
struct GivenEvidence {
  AttemptHandle Attempt;
  InstanceHandle Instance;
  uint8_t Cell = 0;
  bool Given = false;
};

/// Health of all instances in one daemon's view.
class FleetHealth {
public:
  explicit FleetHealth(DetectorKind detector) : Detector(detector) {}

  /// Takes over a catalog.
  void acceptCatalog(const CatalogIndex &catalog, Instant now);

  /// An attempt was sent.
  void attemptStarted(AttemptHandle attempt, InstanceHandle instance,
                      Instant now);

  /// An attempt was answered or failed.
  void attemptEnded(AttemptHandle attempt, OutcomeKind kind, Instant now);

  /// An attempt was not answered in time. It is evidence only if others take
  /// much less time.
  void attemptTimedOut(AttemptHandle attempt, Instant now);

  /// An attempt was stopped and says nothing about the instance.
  void attemptDropped(AttemptHandle attempt);

  /// The failure of an attempt was not the instance's fault, such as the crash
  /// that a harmful request causes: takes back what it counted.
  void retractFailure(AttemptHandle attempt);

  /// Evidence and verdicts of other daemons.
  void onReport(VmHandle from, const EvidenceReport &report,
                const MemberView &members, EffectBuffer &effects);
  void onVerdict(VmHandle from, const VerdictUpdate &update,
                 const MemberView &members, Instant now);

  /// Sends evidence, judges and advances states. Due at `nextTick`.
  void tick(const MemberView &members, Instant now, EffectBuffer &effects);

  [[nodiscard]] Instant nextTick() const { return NextTick; }

  HealthTable &table() { return Table; }
  [[nodiscard]] const HealthTable &table() const { return Table; }

private:
  using Note = void (FleetHealth::*)(InstanceHandle instance, bool bad,
                                     Instant now);
  struct Strategy {
    DetectorKind Kind;
    std::string_view Name;
    Note OnOutcome;
  };
  static const Strategy Strategies[];

  /// What the baselines count of one instance.
  struct LocalCounts {
    uint32_t InRow = 0;
    uint32_t Ejections = 0;
    float Good = 0;
    float Bad = 0;
  };
  struct Reporter {
    VmHandle Vm;
    Instant Heard;
  };
  /// One service as this daemon reports on it and perhaps judges it.
  struct Service {
    uint64_t Key = 0;
    LatencySketch Latencies;
    Duration StallAfter{};
    /// The verdict that this daemon holds, and whose it is.
    VmHandle HeldFrom;
    uint32_t HeldVersion = 0;
    /// Set while this daemon judges the service.
    bool Judging = false;
    uint32_t Version = 0;
    ServiceJudge Judge;
    std::vector<InstanceHandle> Instances;
    std::vector<uint32_t> Keys;
    std::vector<Reporter> Reporters;
  };

  void noteConsecutive(InstanceHandle instance, bool bad, Instant now);
  void noteErrorRate(InstanceHandle instance, bool bad, Instant now);
  void notePooled(InstanceHandle instance, bool bad, Instant now);
  void ejectAlone(InstanceHandle instance, EjectReason reason, Instant now);

  void give(AttemptHandle attempt, InstanceHandle instance, uint8_t cell);
  void findStalled();
  void fadeLocal();
  void sendEvidence(const MemberView &members, EffectBuffer &effects);
  void sendReport(Service &service, EvidenceReport &report, VmHandle owner,
                  const MemberView &members, EffectBuffer &effects);
  void startJudging(Service &service);
  void judge(Service &service, const MemberView &members,
             EffectBuffer &effects);
  void publish(Service &service, const MemberView &members,
               EffectBuffer &effects);
  template <typename Send> void eachUpdate(Service &service, const Send &send);
  void applyUpdate(const Service &service, const VerdictUpdate &update,
                   Instant now);
  [[nodiscard]] VmHandle ownerOf(const Service &service,
                                 const MemberView &members) const;
  Service *findService(uint64_t key);

  DetectorKind Detector;
  HealthTable Table;
  EvidenceCollector Evidence;
  AttemptWatch Watch;
  std::vector<GivenEvidence> Given;
  std::vector<LocalCounts> Local;
  std::vector<uint32_t> InstanceKeys;
  std::vector<ServiceHandle> ServiceOf;
  std::vector<Service> Services;
  Instant NextTick = NeverInstant;
  Instant Now{};
  /// The report under construction; keeps its memory.
  EvidenceReport Draft;
};

} // namespace guavasail

#endif
