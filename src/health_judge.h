/// \file
/// The evidence owner of a service: sums what all daemons report and decides
/// which instances are sick, each against the others of the service.
#ifndef GUAVASAIL_SRC_HEALTH_JUDGE_H
#define GUAVASAIL_SRC_HEALTH_JUDGE_H

#include "evidence.h"
#include "guavasail/peer_message.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// What an answer says about the instance, compared with its peers.
enum class EvidenceClass : uint8_t { Fast, Slow, VerySlow, Bad };
inline constexpr size_t EvidenceClasses = 4;

/// Amounts or shares by class.
using ClassShares = std::array<float, EvidenceClasses>;

/// Evidence of one group of reporters, such as the daemons of a zone.
struct ReporterGroup {
  float Adverse = 0;
  float All = 0;
};

/// One instance as the owner judges it.
struct JudgedInstance {
  uint32_t Key = 0;
  /// Evidence since the last evaluation and the fading sum of all before.
  std::array<uint32_t, CellKinds> Fresh{};
  std::array<float, CellKinds> Window{};
  /// As the window, but fading within a second.
  std::array<float, CellKinds> Recent{};
  std::array<ReporterGroup, 16> ByVm{};
  std::array<ReporterGroup, 8> ByZone{};
  /// Cumulative log-likelihood ratios, never below zero.
  float SlowScore = 0;
  float FailScore = 0;
  VerdictState State = VerdictState::Healthy;
  EjectReason Reason = EjectReason::None;
  uint8_t Level = 0;
  uint16_t Badness = 0;
  /// Good answers since the trickle began.
  uint32_t GoodAnswers = 0;
  Instant Since{};
  Instant Until = NeverInstant;
  Instant LevelSince{};
  /// Changed since the version before the last one.
  Instant Changed{};
};

/// What an evaluation depends on besides the evidence.
struct JudgeContext {
  Instant Now;
  /// True if this daemon is the only one it knows of.
  bool Alone = false;
  /// Factor on the threshold; above 1 if most other daemons are out of reach.
  float Bar = 1;
};

/// Bounds and times of the verdicts.
struct JudgeInit {
  /// Scores at which an instance is ejected.
  float SlowThreshold = 18;
  float FailThreshold = 14;
  /// Scores that one evaluation may add. A short pause of an instance slows
  /// several answers at once, whose evidence spreads over three evaluations.
  float SlowGain = 5;
  float FailGain = 8;
  /// Factor on older evidence at each evaluation.
  float Fade = 0.975F;
  float RecentFade = 0.4F;
  Duration FirstEjection = std::chrono::seconds(5);
  Duration LongestEjection = std::chrono::minutes(5);
  Duration Trickle = std::chrono::seconds(10);
  Duration SlowStart = std::chrono::seconds(10);
  /// Healthy time that takes one level back.
  Duration LevelKept = std::chrono::minutes(1);
};

/// Judges the instances of one service.
class ServiceJudge {
public:
  explicit ServiceJudge(const JudgeInit &init = {}) : Init(init) {}

  /// Sets the instances by key. Evidence of those that stay is kept.
  void setInstances(std::span<const uint32_t> keys);

  /// Adds what a daemon reported.
  /// \param vm the reporter. \param zone its zone.
  void add(VmHandle vm, ZoneHandle zone, std::span<const EvidenceCell> cells);

  /// Takes over a verdict that another owner gave.
  void adopt(const VerdictEntry &entry, Instant now);

  /// Weighs the evidence since the last call and advances the states.
  /// \returns true if a verdict changed.
  bool evaluate(const JudgeContext &context);

  [[nodiscard]] std::span<const JudgedInstance> instances() const {
    return Items;
  }

  /// \returns the bucket that half of the service's answers stay below.
  [[nodiscard]] uint32_t typicalBucket() const { return Typical; }

private:
  using Advance = bool (ServiceJudge::*)(JudgedInstance &item,
                                         const JudgeContext &context);
  static const std::array<Advance, 4> Advances;

  bool advanceHealthy(JudgedInstance &item, const JudgeContext &context);
  bool advanceEjected(JudgedInstance &item, const JudgeContext &context);
  bool advanceTrickle(JudgedInstance &item, const JudgeContext &context);
  bool advanceSlowStart(JudgedInstance &item, const JudgeContext &context);

  void findTypical();
  void sumClasses();
  [[nodiscard]] ClassShares usualShares(size_t self) const;
  void weigh(size_t n);
  void fadeEvidence(JudgedInstance &item);
  [[nodiscard]] bool sick(const JudgedInstance &item,
                          const JudgeContext &context, float part) const;
  bool eject(JudgedInstance &item, const JudgeContext &context);
  void enter(JudgedInstance &item, VerdictState state, Instant now,
             Duration length);
  JudgedInstance *find(uint32_t key);

  JudgeInit Init;
  std::vector<JudgedInstance> Items;
  std::vector<ClassShares> FreshClasses;
  std::vector<ClassShares> RecentClasses;
  std::vector<ClassShares> WindowClasses;
  std::vector<uint32_t> Medians;
  ClassShares RecentSum{};
  ClassShares WindowSum{};
  /// Beyond all buckets until it is known.
  uint32_t Typical = LatencyBuckets;
};

} // namespace guavasail

#endif
