/// \file
/// Outlier detection by the evidence owner of a service: aggregates the reports
/// of all daemons and compares each instance with the others of the service.
#ifndef GUAVASAIL_SRC_HEALTH_JUDGE_H
#define GUAVASAIL_SRC_HEALTH_JUDGE_H

#include "evidence.h"
#include "guavasail/peer_message.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// Class of a response, relative to the service's typical latency.
enum class EvidenceClass : uint8_t { Fast, Slow, VerySlow, Failed };
inline constexpr size_t NumEvidenceClasses = 4;

/// Counts or shares by class.
using ClassShares = std::array<float, NumEvidenceClasses>;

/// Evidence from one group of reporters, such as the daemons of a zone.
struct ReporterGroup {
  float Adverse = 0;
  float Total = 0;
};

/// Evidence, scores and verdict of one instance.
struct EvaluatedInstance {
  uint32_t Key = 0;
  /// Counts since the last evaluation, and the decayed counts before it.
  std::array<uint32_t, NumCellKinds> NewCounts{};
  std::array<float, NumCellKinds> WindowCounts{};
  /// As `WindowCounts`, but decayed within a second.
  std::array<float, NumCellKinds> RecentCounts{};
  std::array<ReporterGroup, 16> ByVm{};
  std::array<ReporterGroup, 8> ByZone{};
  /// CUSUM scores: cumulative log-likelihood ratios with a lower bound of zero.
  float SlowScore = 0;
  float FailScore = 0;
  VerdictState State = VerdictState::Healthy;
  EjectReason Reason = EjectReason::None;
  uint8_t Level = 0;
  uint16_t Severity = 0;
  /// Fast responses since the current state was entered.
  uint32_t GoodAnswers = 0;
  Instant Since{};
  Instant Until = NeverInstant;
  Instant LevelSince{};
  /// When the state last changed; updates include recent changes.
  Instant ChangedAt{};
};

/// Input of an evaluation besides the evidence.
struct EvaluationContext {
  Instant Now;
  /// True if one reporter suffices for an ejection: no other VM is known, or
  /// most are unreachable.
  bool SingleReporter = false;
  /// Factor on the thresholds; above 1 if most other daemons are unreachable.
  float ThresholdFactor = 1;
};

/// Thresholds and durations of ejection and recovery.
struct EvaluatorInit {
  /// Scores at which an instance is ejected, in nats.
  float SlowThreshold = 18;
  float FailThreshold = 14;
  /// Limits on what one evaluation adds to a score. A short pause of an
  /// instance delays several responses at once, whose evidence spreads over
  /// three evaluations.
  float MaxSlowGain = 5;
  float MaxFailGain = 8;
  /// Decay factors of older counts, applied at each evaluation.
  float WindowDecay = 0.975F;
  float RecentDecay = 0.4F;
  Duration BaseEjectionTime = std::chrono::seconds(5);
  Duration MaxEjectionTime = std::chrono::minutes(5);
  Duration TrickleTime = std::chrono::seconds(10);
  Duration SlowStartTime = std::chrono::seconds(10);
  /// Time in the healthy state after which the back-off level drops by one.
  Duration LevelDecayInterval = std::chrono::minutes(1);
};

/// Detects outliers among the instances of one service.
class HealthEvaluator {
public:
  explicit HealthEvaluator(const EvaluatorInit &init = {}) : Init(init) {}

  /// Sets the instances by key. Instances that remain keep their evidence.
  void setInstances(std::span<const uint32_t> keys);

  /// Adds the counts of one daemon's report.
  /// \param vm the reporter. \param zone the reporter's zone.
  void add(VmHandle vm, ZoneHandle zone, std::span<const EvidenceCell> cells);

  /// Restores a verdict that a previous owner issued.
  void adopt(const VerdictEntry &entry, Instant now);

  /// Scores the evidence since the last call and advances the states.
  /// \returns true if a verdict changed.
  bool evaluate(const EvaluationContext &context);

  [[nodiscard]] std::span<const EvaluatedInstance> instances() const {
    return Instances;
  }

  /// \returns the median over healthy instances of their median latency bucket.
  [[nodiscard]] uint32_t typicalBucket() const { return TypicalBucket; }

private:
  using StateHandler = bool (HealthEvaluator::*)(
      EvaluatedInstance &item, const EvaluationContext &context);
  static const std::array<StateHandler, 4> StateHandlers;

  bool advanceHealthy(EvaluatedInstance &item,
                      const EvaluationContext &context);
  bool advanceEjected(EvaluatedInstance &item,
                      const EvaluationContext &context);
  bool advanceTrickle(EvaluatedInstance &item,
                      const EvaluationContext &context);
  bool advanceSlowStart(EvaluatedInstance &item,
                        const EvaluationContext &context);

  void updateTypicalBucket();
  void sumByClass();
  [[nodiscard]] ClassShares baselineShares(size_t self) const;
  void updateScores(size_t n);
  void decayEvidence(EvaluatedInstance &item);
  [[nodiscard]] bool isUnhealthy(const EvaluatedInstance &item,
                                 const EvaluationContext &context,
                                 float thresholdFactor) const;
  bool eject(EvaluatedInstance &item, const EvaluationContext &context);
  void enterState(EvaluatedInstance &item, VerdictState state, Instant now,
                  Duration length);
  EvaluatedInstance *findInstance(uint32_t key);

  EvaluatorInit Init;
  std::vector<EvaluatedInstance> Instances;
  std::vector<ClassShares> NewByClass;
  std::vector<ClassShares> RecentByClass;
  std::vector<ClassShares> WindowByClass;
  std::vector<uint32_t> MedianBuckets;
  ClassShares RecentTotals{};
  ClassShares WindowTotals{};
  /// `NumLatencyBuckets` until enough responses were reported.
  uint32_t TypicalBucket = NumLatencyBuckets;
};

} // namespace guavasail

#endif
