#include "health_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavasail {

namespace {

/// Buckets above the typical latency, two per octave: 2.8 and 8 times as slow.
constexpr uint32_t SlowBucketOffset = 3;
constexpr uint32_t VerySlowBucketOffset = 6;

/// Lower bounds of the baseline shares, by class.
constexpr ClassShares MinShares = {0.02F, 0.03F, 0.005F, 0.002F};
/// Weight of `MinShares` as a prior, in responses of the other instances.
constexpr float PriorAnswers = 20;
/// Responses of the other instances within the last second that suffice to
/// raise the baseline.
constexpr float MinRecentAnswers = 5;
/// Responses of an instance that suffice to use its median.
constexpr float MinMedianAnswers = 3;

/// Hypotheses on an unhealthy instance: the share of its responses that shifts
/// to a worse class, compared with the baseline.
constexpr float SlowShiftedShare = 0.7F;
constexpr float SlowShiftedToSlow = 0.4F;
constexpr float FailShiftedShare = 0.2F;

/// Responses to other reporters that suffice to tell a path fault from an
/// unhealthy instance.
constexpr float MinOtherReporterAnswers = 3;
/// Lower bound on the others' adverse share, relative to the worst group's.
constexpr float MinOtherReporterShare = 0.2F;

/// Factor on the thresholds during recovery.
constexpr float RecoveryThresholdFactor = 0.5F;
constexpr uint32_t MinTrickleAnswers = 5;
constexpr float SeverityPerScore = 100;
constexpr uint8_t MaxLevel = 12;

size_t index(EvidenceClass it) { return static_cast<size_t>(it); }

EvidenceClass classifyCell(uint32_t cell, uint32_t typical) {
  if (cell == CellStalled)
    return EvidenceClass::VerySlow;
  if (cell >= NumLatencyBuckets)
    return EvidenceClass::Failed;
  if (cell >= typical + VerySlowBucketOffset)
    return EvidenceClass::VerySlow;
  return cell >= typical + SlowBucketOffset ? EvidenceClass::Slow
                                            : EvidenceClass::Fast;
}

template <typename Counts>
ClassShares countsByClass(const Counts &counts, uint32_t typical) {
  ClassShares sums{};
  for (uint32_t cell = 0; cell < CellRetracted; ++cell)
    sums[index(classifyCell(cell, typical))] +=
        static_cast<float>(counts[cell]);
  return sums;
}

float total(const ClassShares &shares) {
  return std::accumulate(shares.begin(), shares.end(), 0.0F);
}

/// \returns the log-likelihood ratio of \p counts under the hypothesis
/// \p unhealthy against \p baseline.
float logLikelihoodRatio(const ClassShares &counts,
                         const ClassShares &unhealthy,
                         const ClassShares &baseline) {
  float sum = 0;
  for (size_t n = 0; n < NumEvidenceClasses; ++n)
    sum += counts[n] * std::log(unhealthy[n] / baseline[n]);
  return sum;
}

ClassShares slowShares(const ClassShares &baseline) {
  ClassShares unhealthy = baseline;
  float moved = baseline[index(EvidenceClass::Fast)] * SlowShiftedShare;
  unhealthy[index(EvidenceClass::Fast)] -= moved;
  unhealthy[index(EvidenceClass::Slow)] += moved * SlowShiftedToSlow;
  unhealthy[index(EvidenceClass::VerySlow)] += moved * (1 - SlowShiftedToSlow);
  return unhealthy;
}

ClassShares failShares(const ClassShares &baseline) {
  ClassShares unhealthy = baseline;
  for (float &share : unhealthy)
    share *= 1 - FailShiftedShare;
  unhealthy[index(EvidenceClass::Failed)] += FailShiftedShare;
  return unhealthy;
}

/// \returns the bucket of the median latency, or \p fallback if there are fewer
/// than `MinMedianAnswers`.
uint32_t medianBucket(const EvaluatedInstance &item, uint32_t fallback) {
  float sum =
      std::accumulate(item.WindowCounts.begin(),
                      item.WindowCounts.begin() + NumLatencyBuckets, 0.0F);
  if (sum < MinMedianAnswers)
    return fallback;
  float seen = 0;
  for (uint32_t n = 0; n < NumLatencyBuckets; ++n) {
    seen += item.WindowCounts[n];
    if (seen * 2 >= sum)
      return n;
  }
  return fallback;
}

/// \returns false if only one group reports adverse evidence, as with a path
/// fault. With too few responses to others, false if \p othersRequired.
template <size_t N>
bool confirmedByOtherReporters(const std::array<ReporterGroup, N> &groups,
                               bool othersRequired) {
  const ReporterGroup &worst =
      *std::max_element(groups.begin(), groups.end(),
                        [](const ReporterGroup &a, const ReporterGroup &b) {
                          return a.Adverse < b.Adverse;
                        });
  ReporterGroup others;
  for (const ReporterGroup &it : groups) {
    others.Adverse += it.Adverse;
    others.Total += it.Total;
  }
  others.Adverse -= worst.Adverse;
  others.Total -= worst.Total;
  if (others.Total < MinOtherReporterAnswers)
    return !othersRequired;
  return others.Adverse * worst.Total >=
         MinOtherReporterShare * worst.Adverse * others.Total;
}

} // namespace

const std::array<HealthEvaluator::StateHandler, 4>
    HealthEvaluator::StateHandlers = {
        &HealthEvaluator::advanceHealthy, &HealthEvaluator::advanceEjected,
        &HealthEvaluator::advanceTrickle, &HealthEvaluator::advanceSlowStart};

void HealthEvaluator::setInstances(std::span<const uint32_t> keys) {
  std::vector<EvaluatedInstance> retained;
  retained.reserve(keys.size());
  for (uint32_t key : keys) {
    const EvaluatedInstance *old = findInstance(key);
    retained.push_back(old ? *old : EvaluatedInstance{});
    retained.back().Key = key;
  }
  Instances = std::move(retained);
  NewByClass.resize(Instances.size());
  RecentByClass.resize(Instances.size());
  WindowByClass.resize(Instances.size());
  MedianBuckets.reserve(Instances.size());
}

EvaluatedInstance *HealthEvaluator::findInstance(uint32_t key) {
  auto it = std::find_if(Instances.begin(), Instances.end(),
                         [&](const auto &item) { return item.Key == key; });
  return it == Instances.end() ? nullptr : &*it;
}

void HealthEvaluator::add(VmHandle vm, ZoneHandle zone,
                          std::span<const EvidenceCell> cells) {
  for (const EvidenceCell &cell : cells) {
    EvaluatedInstance *item = findInstance(cell.Instance);
    if (!item || cell.Cell >= NumCellKinds)
      continue;
    item->NewCounts[cell.Cell] += cell.Count;
    if (cell.Cell == CellRetracted)
      continue;
    bool adverse =
        classifyCell(cell.Cell, TypicalBucket) != EvidenceClass::Fast;
    auto count = static_cast<float>(cell.Count);
    ReporterGroup &byVm = item->ByVm[vm.Value % item->ByVm.size()];
    ReporterGroup &byZone = item->ByZone[zone.Value % item->ByZone.size()];
    byVm.Total += count;
    byZone.Total += count;
    byVm.Adverse += adverse ? count : 0;
    byZone.Adverse += adverse ? count : 0;
  }
}

void HealthEvaluator::adopt(const VerdictEntry &entry, Instant now) {
  EvaluatedInstance *item = findInstance(entry.Instance);
  if (!item)
    return;
  enterState(*item, entry.State, now,
             std::min(entry.Remaining, Init.MaxEjectionTime));
  item->Reason = entry.Reason;
  item->Level = std::min(entry.Level, MaxLevel);
  item->Severity = entry.Severity;
}

bool HealthEvaluator::evaluate(const EvaluationContext &context) {
  updateTypicalBucket();
  for (EvaluatedInstance &item : Instances)
    for (size_t n = 0; n < NumCellKinds; ++n)
      item.RecentCounts[n] = item.RecentCounts[n] * Init.RecentDecay +
                             static_cast<float>(item.NewCounts[n]);
  sumByClass();
  bool changed = false;
  for (size_t n = 0; n < Instances.size(); ++n) {
    EvaluatedInstance &item = Instances[n];
    updateScores(n);
    StateHandler handler = StateHandlers[static_cast<size_t>(item.State)];
    changed |= (this->*handler)(item, context);
  }
  for (EvaluatedInstance &item : Instances)
    decayEvidence(item);
  return changed;
}

void HealthEvaluator::updateTypicalBucket() {
  MedianBuckets.clear();
  for (const EvaluatedInstance &item : Instances) {
    uint32_t median = medianBucket(item, NumLatencyBuckets);
    if (item.State == VerdictState::Healthy && median < NumLatencyBuckets)
      MedianBuckets.push_back(median);
  }
  if (MedianBuckets.empty())
    return;
  auto middle = MedianBuckets.begin() +
                static_cast<std::ptrdiff_t>(MedianBuckets.size()) / 2;
  std::nth_element(MedianBuckets.begin(), middle, MedianBuckets.end());
  TypicalBucket = *middle;
}

void HealthEvaluator::sumByClass() {
  RecentTotals = {};
  WindowTotals = {};
  for (size_t n = 0; n < Instances.size(); ++n) {
    NewByClass[n] = countsByClass(Instances[n].NewCounts, TypicalBucket);
    WindowByClass[n] = countsByClass(Instances[n].WindowCounts, TypicalBucket);
    RecentByClass[n] = countsByClass(Instances[n].RecentCounts, TypicalBucket);
    if (Instances[n].State != VerdictState::Healthy)
      continue;
    for (size_t c = 0; c < NumEvidenceClasses; ++c) {
      RecentTotals[c] += RecentByClass[n][c];
      WindowTotals[c] += WindowByClass[n][c];
    }
  }
}

ClassShares HealthEvaluator::baselineShares(size_t self) const {
  ClassShares recent = RecentTotals;
  ClassShares window = WindowTotals;
  if (Instances[self].State == VerdictState::Healthy) {
    for (size_t c = 0; c < NumEvidenceClasses; ++c) {
      recent[c] -= RecentByClass[self][c];
      window[c] -= WindowByClass[self][c];
    }
  }
  float recentTotal = total(recent);
  float windowTotal = total(window) + PriorAnswers;
  ClassShares baseline{};
  float adverse = 0;
  for (size_t c = 1; c < NumEvidenceClasses; ++c) {
    float share = (window[c] + PriorAnswers * MinShares[c]) / windowTotal;
    // A slowdown of the whole service appears in the recent counts first.
    if (recentTotal >= MinRecentAnswers)
      share = std::max(share, recent[c] / recentTotal);
    baseline[c] = std::max(share, MinShares[c]);
    adverse += baseline[c];
  }
  float maxAdverse = 1 - MinShares[index(EvidenceClass::Fast)];
  float scale = adverse > maxAdverse ? maxAdverse / adverse : 1;
  for (size_t c = 1; c < NumEvidenceClasses; ++c)
    baseline[c] *= scale;
  baseline[index(EvidenceClass::Fast)] = 1 - adverse * scale;
  return baseline;
}

void HealthEvaluator::updateScores(size_t n) {
  EvaluatedInstance &item = Instances[n];
  ClassShares baseline = baselineShares(n);
  ClassShares byClass = NewByClass[n];
  float slow = logLikelihoodRatio(byClass, slowShares(baseline), baseline);
  byClass[index(EvidenceClass::Failed)] -=
      static_cast<float>(item.NewCounts[CellRetracted]);
  float fail = logLikelihoodRatio(byClass, failShares(baseline), baseline);
  auto updatedScore = [](float score, float gain, float threshold) {
    return std::clamp(score + gain, 0.0F, 2 * threshold);
  };
  item.SlowScore = updatedScore(
      item.SlowScore, std::min(slow, Init.MaxSlowGain), Init.SlowThreshold);
  item.FailScore = updatedScore(
      item.FailScore, std::min(fail, Init.MaxFailGain), Init.FailThreshold);
  item.GoodAnswers +=
      static_cast<uint32_t>(byClass[index(EvidenceClass::Fast)]);
}

void HealthEvaluator::decayEvidence(EvaluatedInstance &item) {
  for (size_t n = 0; n < NumCellKinds; ++n)
    item.WindowCounts[n] =
        (item.WindowCounts[n] + static_cast<float>(item.NewCounts[n])) *
        Init.WindowDecay;
  item.NewCounts = {};
  for (ReporterGroup &it : item.ByVm)
    it = {it.Adverse * Init.WindowDecay, it.Total * Init.WindowDecay};
  for (ReporterGroup &it : item.ByZone)
    it = {it.Adverse * Init.WindowDecay, it.Total * Init.WindowDecay};
}

bool HealthEvaluator::isUnhealthy(const EvaluatedInstance &item,
                                  const EvaluationContext &context,
                                  float thresholdFactor) const {
  float factor = context.ThresholdFactor * thresholdFactor;
  bool aboveThreshold = item.SlowScore >= Init.SlowThreshold * factor ||
                        item.FailScore >= Init.FailThreshold * factor;
  return aboveThreshold &&
         confirmedByOtherReporters(item.ByVm, !context.SingleReporter) &&
         confirmedByOtherReporters(item.ByZone, false);
}

bool HealthEvaluator::eject(EvaluatedInstance &item,
                            const EvaluationContext &context) {
  Duration length = Init.BaseEjectionTime * (int64_t{1} << item.Level);
  length = std::min(length, Init.MaxEjectionTime);
  item.Level = std::min<uint8_t>(item.Level + 1, MaxLevel);
  bool isSlow = item.SlowScore * Init.FailThreshold >=
                item.FailScore * Init.SlowThreshold;
  float stalled = item.WindowCounts[CellStalled] +
                  static_cast<float>(item.NewCounts[CellStalled]);
  ClassShares window = countsByClass(item.WindowCounts, TypicalBucket);
  float verySlow = window[index(EvidenceClass::VerySlow)];
  item.Reason = !isSlow                  ? EjectReason::Failing
                : stalled * 2 > verySlow ? EjectReason::Stalled
                                         : EjectReason::Slow;
  item.Severity = static_cast<uint16_t>(
      std::max(item.SlowScore, item.FailScore) * SeverityPerScore);
  enterState(item, VerdictState::Ejected, context.Now, length);
  return true;
}

void HealthEvaluator::enterState(EvaluatedInstance &item, VerdictState state,
                                 Instant now, Duration length) {
  item.State = state;
  item.Since = now;
  item.ChangedAt = now;
  item.Until = length > Duration::zero() ? now + length : NeverInstant;
  item.LevelSince = now;
  item.GoodAnswers = 0;
  item.SlowScore = 0;
  item.FailScore = 0;
}

bool HealthEvaluator::advanceHealthy(EvaluatedInstance &item,
                                     const EvaluationContext &context) {
  if (isUnhealthy(item, context, 1))
    return eject(item, context);
  if (item.Level > 0 &&
      context.Now - item.LevelSince >= Init.LevelDecayInterval) {
    --item.Level;
    item.LevelSince = context.Now;
  }
  return false;
}

bool HealthEvaluator::advanceEjected(EvaluatedInstance &item,
                                     const EvaluationContext &context) {
  if (context.Now < item.Until)
    return false;
  // Evidence from before the ejection must not count against recovery.
  item.WindowCounts = {};
  item.RecentCounts = {};
  item.ByVm = {};
  item.ByZone = {};
  enterState(item, VerdictState::Trickle, context.Now, Init.TrickleTime);
  return true;
}

bool HealthEvaluator::advanceTrickle(EvaluatedInstance &item,
                                     const EvaluationContext &context) {
  if (isUnhealthy(item, context, RecoveryThresholdFactor))
    return eject(item, context);
  float score = std::max(item.SlowScore, item.FailScore);
  bool recovered = item.GoodAnswers >= MinTrickleAnswers && score <= 0;
  if (!recovered && context.Now < item.Until)
    return false;
  enterState(item, VerdictState::SlowStart, context.Now, Init.SlowStartTime);
  return true;
}

bool HealthEvaluator::advanceSlowStart(EvaluatedInstance &item,
                                       const EvaluationContext &context) {
  if (isUnhealthy(item, context, RecoveryThresholdFactor))
    return eject(item, context);
  if (context.Now < item.Until)
    return false;
  item.Reason = EjectReason::None;
  item.Severity = 0;
  enterState(item, VerdictState::Healthy, context.Now, {});
  return true;
}

} // namespace guavasail
