/// \file
/// Outlier detection in one daemon: collects evidence, sends it to the evidence
/// owners, evaluates the services that it owns and applies verdicts.
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

/// The last failure counted for a request, so that it can be retracted.
struct CountedFailure {
  AttemptHandle Attempt;
  InstanceHandle Instance;
  uint8_t Cell = 0;
  bool Valid = false;
};

/// Health of all instances, as one daemon sees it.
class FleetHealth {
public:
  explicit FleetHealth(DetectorKind detector) : Detector(detector) {}

  /// Updates services and instances to a catalog.
  void acceptCatalog(const CatalogIndex &catalog, Instant now);

  /// Starts tracking an attempt.
  void attemptStarted(AttemptHandle attempt, InstanceHandle instance,
                      Instant now);

  /// Records the outcome of an attempt.
  void attemptEnded(AttemptHandle attempt, OutcomeKind kind, Instant now);

  /// Records a timeout. It counts as evidence only after the stall timeout of
  /// the service, which is far above its usual latency.
  void attemptTimedOut(AttemptHandle attempt, Instant now);

  /// Stops tracking an attempt without an outcome.
  void attemptDropped(AttemptHandle attempt);

  /// Retracts the failure of an attempt that the instance did not cause, such
  /// as a crash triggered by a harmful request.
  void retractFailure(AttemptHandle attempt);

  /// Handle evidence and verdicts from other daemons.
  void onReport(VmHandle from, const EvidenceReport &report,
                const MemberView &members, EffectBuffer &effects);
  void onVerdict(VmHandle from, const VerdictUpdate &update,
                 const MemberView &members, Instant now);

  /// Sends evidence, evaluates owned services and advances states. Due at
  /// `nextTick`.
  void tick(const MemberView &members, Instant now, EffectBuffer &effects);

  [[nodiscard]] Instant nextTick() const { return NextTick; }

  HealthTable &table() { return Table; }
  [[nodiscard]] const HealthTable &table() const { return Table; }

private:
  using OutcomeHandler = void (FleetHealth::*)(InstanceHandle instance,
                                               bool failed, Instant now);
  struct Strategy {
    DetectorKind Kind;
    std::string_view Name;
    OutcomeHandler OnOutcome;
  };
  static const Strategy Strategies[];

  /// Counts of one instance for the baseline detectors.
  struct LocalCounts {
    uint32_t Consecutive = 0;
    uint32_t Ejections = 0;
    float Good = 0;
    float Bad = 0;
  };
  struct Reporter {
    VmHandle Vm;
    Instant LastHeard;
  };
  /// One service: what this daemon reports and, as its owner, evaluates.
  struct Service {
    uint64_t Key = 0;
    LatencyHistogram Latencies;
    Duration StallTimeout{};
    /// Owner and version of the last verdicts that were applied.
    VmHandle AppliedFrom;
    uint32_t AppliedVersion = 0;
    /// True while this daemon evaluates the service as its owner.
    bool Evaluating = false;
    uint32_t Version = 0;
    HealthEvaluator Evaluator;
    std::vector<InstanceHandle> Instances;
    std::vector<uint32_t> Keys;
    std::vector<Reporter> Reporters;
  };

  void countConsecutive(InstanceHandle instance, bool failed, Instant now);
  void countErrorRate(InstanceHandle instance, bool failed, Instant now);
  void countPooled(InstanceHandle instance, bool failed, Instant now);
  void ejectLocally(InstanceHandle instance, EjectReason reason, Instant now);

  void countEvidence(AttemptHandle attempt, InstanceHandle instance,
                     uint8_t cell);
  void countStalled();
  void decayLocalCounts();
  void sendEvidence(const MemberView &members, EffectBuffer &effects);
  void sendReport(Service &service, EvidenceReport &report, VmHandle owner,
                  const MemberView &members, EffectBuffer &effects);
  void startEvaluating(Service &service);
  void evaluateService(Service &service, const MemberView &members,
                       EffectBuffer &effects);
  void publishVerdicts(Service &service, const MemberView &members,
                       EffectBuffer &effects);
  template <typename Send>
  void forEachUpdate(Service &service, const Send &send);
  void applyUpdate(const Service &service, const VerdictUpdate &update,
                   Instant now);
  [[nodiscard]] VmHandle ownerOf(const Service &service,
                                 const MemberView &members) const;
  Service *findService(uint64_t key);

  DetectorKind Detector;
  HealthTable Table;
  EvidenceCollector Evidence;
  AttemptTracker Attempts;
  std::vector<CountedFailure> CountedFailures;
  std::vector<LocalCounts> InstanceCounts;
  std::vector<uint32_t> InstanceKeys;
  std::vector<ServiceHandle> ServiceOf;
  std::vector<Service> Services;
  Instant NextTick = NeverInstant;
  Instant Now{};
  /// Buffer for the report under construction; reused to save allocations.
  EvidenceReport ReportScratch;
};

} // namespace guavasail

#endif
