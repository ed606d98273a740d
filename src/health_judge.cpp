#include "health_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavasail {

namespace {

/// Half octaves above the typical latency: at least 2.8 and 8 times as slow.
constexpr uint32_t SlowBuckets = 3;
constexpr uint32_t VerySlowBuckets = 6;

/// Shares that healthy instances are allowed at least, by class.
constexpr ClassShares LeastShares = {0.02F, 0.03F, 0.005F, 0.002F};
/// Weight of the least shares against evidence of peers, in answers.
constexpr float PriorAnswers = 20;
/// Answers of peers within the last second that count by themselves.
constexpr float RecentAnswers = 5;
/// Answers of an instance that make its median count.
constexpr float MedianAnswers = 3;

/// A sick instance moves these shares of its answers to worse classes.
constexpr float SlowMoved = 0.7F;
constexpr float SlowMovedToSlow = 0.4F;
constexpr float FailMoved = 0.2F;

/// Answers of other reporters that tell a path fault from a sick instance.
constexpr float OtherReporterAnswers = 3;
/// Least adverse share of the other reporters, relative to the worst group.
constexpr float OtherReporterShare = 0.2F;

/// Part of the threshold that ejects again during recovery.
constexpr float TricklePart = 0.5F;
constexpr uint32_t TrickleAnswers = 5;
constexpr float BadnessPerScore = 100;
constexpr uint8_t LevelLimit = 12;

size_t index(EvidenceClass it) { return static_cast<size_t>(it); }

EvidenceClass classOf(uint32_t cell, uint32_t typical) {
  if (cell == CellStalled)
    return EvidenceClass::VerySlow;
  if (cell >= LatencyBuckets)
    return EvidenceClass::Bad;
  if (cell >= typical + VerySlowBuckets)
    return EvidenceClass::VerySlow;
  return cell >= typical + SlowBuckets ? EvidenceClass::Slow
                                       : EvidenceClass::Fast;
}

template <typename Counts>
ClassShares classSums(const Counts &counts, uint32_t typical) {
  ClassShares sums{};
  for (uint32_t cell = 0; cell < CellForgiven; ++cell)
    sums[index(classOf(cell, typical))] += static_cast<float>(counts[cell]);
  return sums;
}

float total(const ClassShares &shares) {
  return std::accumulate(shares.begin(), shares.end(), 0.0F);
}

/// \returns the log-likelihood ratio of \p counts under two hypotheses.
float evidenceFor(const ClassShares &counts, const ClassShares &sick,
                  const ClassShares &usual) {
  float sum = 0;
  for (size_t n = 0; n < EvidenceClasses; ++n)
    sum += counts[n] * std::log(sick[n] / usual[n]);
  return sum;
}

ClassShares slowShares(const ClassShares &usual) {
  ClassShares sick = usual;
  float moved = usual[index(EvidenceClass::Fast)] * SlowMoved;
  sick[index(EvidenceClass::Fast)] -= moved;
  sick[index(EvidenceClass::Slow)] += moved * SlowMovedToSlow;
  sick[index(EvidenceClass::VerySlow)] += moved * (1 - SlowMovedToSlow);
  return sick;
}

ClassShares failShares(const ClassShares &usual) {
  ClassShares sick = usual;
  for (float &share : sick)
    share *= 1 - FailMoved;
  sick[index(EvidenceClass::Bad)] += FailMoved;
  return sick;
}

/// \returns the bucket of the median answer, \p none if there are few.
uint32_t medianBucket(const JudgedInstance &item, uint32_t none) {
  float sum = std::accumulate(item.Window.begin(),
                              item.Window.begin() + LatencyBuckets, 0.0F);
  if (sum < MedianAnswers)
    return none;
  float seen = 0;
  for (uint32_t n = 0; n < LatencyBuckets; ++n) {
    seen += item.Window[n];
    if (seen * 2 >= sum)
      return n;
  }
  return none;
}

/// \returns true unless the adverse evidence comes from one group only while
/// others reach the instance.
template <size_t N>
bool sharedByOthers(const std::array<ReporterGroup, N> &groups,
                    bool needsOthers) {
  const ReporterGroup &top =
      *std::max_element(groups.begin(), groups.end(),
                        [](const ReporterGroup &a, const ReporterGroup &b) {
                          return a.Adverse < b.Adverse;
                        });
  ReporterGroup rest;
  for (const ReporterGroup &it : groups) {
    rest.Adverse += it.Adverse;
    rest.All += it.All;
  }
  rest.Adverse -= top.Adverse;
  rest.All -= top.All;
  if (rest.All < OtherReporterAnswers)
    return !needsOthers;
  return rest.Adverse * top.All >= OtherReporterShare * top.Adverse * rest.All;
}

} // namespace

const std::array<ServiceJudge::Advance, 4> ServiceJudge::Advances = {
    &ServiceJudge::advanceHealthy, &ServiceJudge::advanceEjected,
    &ServiceJudge::advanceTrickle, &ServiceJudge::advanceSlowStart};

void ServiceJudge::setInstances(std::span<const uint32_t> keys) {
  std::vector<JudgedInstance> kept;
  kept.reserve(keys.size());
  for (uint32_t key : keys) {
    const JudgedInstance *old = find(key);
    kept.push_back(old ? *old : JudgedInstance{});
    kept.back().Key = key;
  }
  Items = std::move(kept);
  FreshClasses.resize(Items.size());
  RecentClasses.resize(Items.size());
  WindowClasses.resize(Items.size());
  Medians.reserve(Items.size());
}

JudgedInstance *ServiceJudge::find(uint32_t key) {
  auto it = std::find_if(Items.begin(), Items.end(),
                         [&](const auto &item) { return item.Key == key; });
  return it == Items.end() ? nullptr : &*it;
}

void ServiceJudge::add(VmHandle vm, ZoneHandle zone,
                       std::span<const EvidenceCell> cells) {
  for (const EvidenceCell &cell : cells) {
    JudgedInstance *item = find(cell.Instance);
    if (!item || cell.Cell >= CellKinds)
      continue;
    item->Fresh[cell.Cell] += cell.Count;
    if (cell.Cell == CellForgiven)
      continue;
    bool adverse = classOf(cell.Cell, Typical) != EvidenceClass::Fast;
    auto count = static_cast<float>(cell.Count);
    ReporterGroup &byVm = item->ByVm[vm.Value % item->ByVm.size()];
    ReporterGroup &byZone = item->ByZone[zone.Value % item->ByZone.size()];
    byVm.All += count;
    byZone.All += count;
    byVm.Adverse += adverse ? count : 0;
    byZone.Adverse += adverse ? count : 0;
  }
}

void ServiceJudge::adopt(const VerdictEntry &entry, Instant now) {
  JudgedInstance *item = find(entry.Instance);
  if (!item)
    return;
  enter(*item, entry.State, now,
        std::min(entry.Remaining, Init.LongestEjection));
  item->Reason = entry.Reason;
  item->Level = std::min(entry.Level, LevelLimit);
  item->Badness = entry.Badness;
}

bool ServiceJudge::evaluate(const JudgeContext &context) {
  findTypical();
  for (JudgedInstance &item : Items)
    for (size_t n = 0; n < CellKinds; ++n)
      item.Recent[n] =
          item.Recent[n] * Init.RecentFade + static_cast<float>(item.Fresh[n]);
  sumClasses();
  bool changed = false;
  for (size_t n = 0; n < Items.size(); ++n) {
    JudgedInstance &item = Items[n];
    weigh(n);
    Advance advance = Advances[static_cast<size_t>(item.State)];
    changed |= (this->*advance)(item, context);
  }
  for (JudgedInstance &item : Items)
    fadeEvidence(item);
  return changed;
}

void ServiceJudge::findTypical() {
  Medians.clear();
  for (const JudgedInstance &item : Items) {
    uint32_t median = medianBucket(item, LatencyBuckets);
    if (item.State == VerdictState::Healthy && median < LatencyBuckets)
      Medians.push_back(median);
  }
  if (Medians.empty())
    return;
  auto middle =
      Medians.begin() + static_cast<std::ptrdiff_t>(Medians.size()) / 2;
  std::nth_element(Medians.begin(), middle, Medians.end());
  Typical = *middle;
}

void ServiceJudge::sumClasses() {
  RecentSum = {};
  WindowSum = {};
  for (size_t n = 0; n < Items.size(); ++n) {
    FreshClasses[n] = classSums(Items[n].Fresh, Typical);
    WindowClasses[n] = classSums(Items[n].Window, Typical);
    RecentClasses[n] = classSums(Items[n].Recent, Typical);
    if (Items[n].State != VerdictState::Healthy)
      continue;
    for (size_t c = 0; c < EvidenceClasses; ++c) {
      RecentSum[c] += RecentClasses[n][c];
      WindowSum[c] += WindowClasses[n][c];
    }
  }
}

ClassShares ServiceJudge::usualShares(size_t self) const {
  ClassShares recent = RecentSum;
  ClassShares window = WindowSum;
  if (Items[self].State == VerdictState::Healthy) {
    for (size_t c = 0; c < EvidenceClasses; ++c) {
      recent[c] -= RecentClasses[self][c];
      window[c] -= WindowClasses[self][c];
    }
  }
  float recentAll = total(recent);
  float windowAll = total(window) + PriorAnswers;
  ClassShares usual{};
  float adverse = 0;
  for (size_t c = 1; c < EvidenceClasses; ++c) {
    float share = (window[c] + PriorAnswers * LeastShares[c]) / windowAll;
    // A slow-down of the whole service shows in the last second first.
    if (recentAll >= RecentAnswers)
      share = std::max(share, recent[c] / recentAll);
    usual[c] = std::max(share, LeastShares[c]);
    adverse += usual[c];
  }
  float most = 1 - LeastShares[index(EvidenceClass::Fast)];
  float scale = adverse > most ? most / adverse : 1;
  for (size_t c = 1; c < EvidenceClasses; ++c)
    usual[c] *= scale;
  usual[index(EvidenceClass::Fast)] = 1 - adverse * scale;
  return usual;
}

void ServiceJudge::weigh(size_t n) {
  JudgedInstance &item = Items[n];
  ClassShares usual = usualShares(n);
  ClassShares fresh = FreshClasses[n];
  float slow = evidenceFor(fresh, slowShares(usual), usual);
  fresh[index(EvidenceClass::Bad)] -=
      static_cast<float>(item.Fresh[CellForgiven]);
  float fail = evidenceFor(fresh, failShares(usual), usual);
  auto next = [](float score, float gain, float threshold) {
    return std::clamp(score + gain, 0.0F, 2 * threshold);
  };
  item.SlowScore =
      next(item.SlowScore, std::min(slow, Init.SlowGain), Init.SlowThreshold);
  item.FailScore =
      next(item.FailScore, std::min(fail, Init.FailGain), Init.FailThreshold);
  item.GoodAnswers += static_cast<uint32_t>(fresh[index(EvidenceClass::Fast)]);
}

void ServiceJudge::fadeEvidence(JudgedInstance &item) {
  for (size_t n = 0; n < CellKinds; ++n)
    item.Window[n] =
        (item.Window[n] + static_cast<float>(item.Fresh[n])) * Init.Fade;
  item.Fresh = {};
  for (ReporterGroup &it : item.ByVm)
    it = {it.Adverse * Init.Fade, it.All * Init.Fade};
  for (ReporterGroup &it : item.ByZone)
    it = {it.Adverse * Init.Fade, it.All * Init.Fade};
}

bool ServiceJudge::sick(const JudgedInstance &item, const JudgeContext &context,
                        float part) const {
  float bar = context.Bar * part;
  bool over = item.SlowScore >= Init.SlowThreshold * bar ||
              item.FailScore >= Init.FailThreshold * bar;
  return over && sharedByOthers(item.ByVm, !context.Alone) &&
         sharedByOthers(item.ByZone, false);
}

bool ServiceJudge::eject(JudgedInstance &item, const JudgeContext &context) {
  Duration length = Init.FirstEjection * (int64_t{1} << item.Level);
  length = std::min(length, Init.LongestEjection);
  item.Level = std::min<uint8_t>(item.Level + 1, LevelLimit);
  bool slower = item.SlowScore * Init.FailThreshold >=
                item.FailScore * Init.SlowThreshold;
  float stalled =
      item.Window[CellStalled] + static_cast<float>(item.Fresh[CellStalled]);
  ClassShares window = classSums(item.Window, Typical);
  float verySlow = window[index(EvidenceClass::VerySlow)];
  item.Reason = !slower                  ? EjectReason::Failing
                : stalled * 2 > verySlow ? EjectReason::Stalled
                                         : EjectReason::Slow;
  item.Badness = static_cast<uint16_t>(
      std::max(item.SlowScore, item.FailScore) * BadnessPerScore);
  enter(item, VerdictState::Ejected, context.Now, length);
  return true;
}

void ServiceJudge::enter(JudgedInstance &item, VerdictState state, Instant now,
                         Duration length) {
  item.State = state;
  item.Since = now;
  item.Changed = now;
  item.Until = length > Duration::zero() ? now + length : NeverInstant;
  item.LevelSince = now;
  item.GoodAnswers = 0;
  item.SlowScore = 0;
  item.FailScore = 0;
}

bool ServiceJudge::advanceHealthy(JudgedInstance &item,
                                  const JudgeContext &context) {
  if (sick(item, context, 1))
    return eject(item, context);
  if (item.Level > 0 && context.Now - item.LevelSince >= Init.LevelKept) {
    --item.Level;
    item.LevelSince = context.Now;
  }
  return false;
}

bool ServiceJudge::advanceEjected(JudgedInstance &item,
                                  const JudgeContext &context) {
  if (context.Now < item.Until)
    return false;
  // Evidence of the sick time must not weigh against the recovery.
  item.Window = {};
  item.Recent = {};
  item.ByVm = {};
  item.ByZone = {};
  enter(item, VerdictState::Trickle, context.Now, Init.Trickle);
  return true;
}

bool ServiceJudge::advanceTrickle(JudgedInstance &item,
                                  const JudgeContext &context) {
  if (sick(item, context, TricklePart))
    return eject(item, context);
  float score = std::max(item.SlowScore, item.FailScore);
  bool proved = item.GoodAnswers >= TrickleAnswers && score <= 0;
  if (!proved && context.Now < item.Until)
    return false;
  enter(item, VerdictState::SlowStart, context.Now, Init.SlowStart);
  return true;
}

bool ServiceJudge::advanceSlowStart(JudgedInstance &item,
                                    const JudgeContext &context) {
  if (sick(item, context, TricklePart))
    return eject(item, context);
  if (context.Now < item.Until)
    return false;
  item.Reason = EjectReason::None;
  item.Badness = 0;
  enter(item, VerdictState::Healthy, context.Now, {});
  return true;
}

} // namespace guavasail
