/// \file
/// Strategies that choose an instance, and the costs that they compare.
#include "dispatch_pool.h"
#include "duration_math.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace guavasail {

namespace {

/// Age at which a load report of an instance is stale.
constexpr Duration LoadReportLifetime = std::chrono::milliseconds(800);

/// Time for which a VM is assumed to keep an idle connection to an instance.
constexpr Duration IdleConnectionLifetime = std::chrono::seconds(8);

/// Costs are relative to the load of a full instance, which is 1.
constexpr double RemoteZoneCost = 0.25;
constexpr double RemoteZoneLargeCost = 1.2;
constexpr double ColdConnectionCost = 0.08;
constexpr double ColdInstanceCost = 0.35;
constexpr double FailureCost = 1.5;
constexpr double SlowdownCost = 0.6;
/// Cost of an instance without a recent success, which may have begun to fail.
/// It is higher for a retry, which is the request's last attempt.
constexpr double StalenessCost = 0.15;
constexpr double RetryStalenessCost = 0.6;
constexpr Duration MaxStalenessTime = std::chrono::seconds(2);
constexpr double AvoidCost = 3;
/// Cost of each request without a response after this multiple of the typical
/// latency: the instance may hang.
constexpr double LateFactor = 1.5;
constexpr double LateCost = 0.3;
constexpr double MaxLateCost = 0.6;
constexpr double EjectedCost = 2;
/// Using the last slot of an instance slows down its other requests.
constexpr double NearlyFullCost = 0.25;
constexpr double NearlyFullLoad = 0.8;
/// Share of the difference in speed that counts. With all of it, instances
/// would be busy in proportion to the square of their speed.
constexpr double SpeedShare = 0.25;
/// Slowdown up to which only the relative speed counts: single long requests
/// cause a smaller one.
constexpr double UsualSlowdown = 2;
/// Cost of the load above the mean. One request above it in 4 slots costs more
/// than another zone and a new connection together.
constexpr double FullerCost = 4;
/// Cost of the work granted lately above the mean, relative to it, beyond the
/// tolerance.
constexpr double AheadCost = 3;
constexpr double AheadTolerance = 0.05;
/// Least mean of the work granted lately that is compared, in requests for each
/// slot.
constexpr double MinComparedWork = 0.05;
/// Instances whose costs differ by less are equally good.
constexpr double NearlyEqualCost = 0.02;
/// Time between two updates of the estimates.
constexpr Duration EstimateAgeInterval = std::chrono::milliseconds(100);

/// Below the cost of any instance.
constexpr double MinCost = -10;

/// While many requests fail, an instance that got none for this time costs less
/// by `UnusedBonus`, so that no sound instance is left out.
constexpr Duration UnusedTime = std::chrono::seconds(1);
constexpr double UnusedBonus = 1;

/// \returns true if a request would probe \p instance. Probes come first, or
/// the instance would never be used again.
bool isProbe(const PoolInstance &instance, const PlacementInput &input,
             Instant now) {
  return instance.Health.state(now) == EjectionState::Probing &&
         input.Idempotent && !input.Retry;
}

/// \returns the requests in progress on \p instance over its slots.
double expectedLoad(const PoolInstance &instance, Instant now) {
  return (static_cast<double>(instance.Grants.size()) +
          instance.Estimate.others(now)) /
         instance.Slots;
}

/// \returns a value from 0 to 1 that grows with the time since the last
/// success.
double staleness(Duration age) {
  return std::min(1.0, inSeconds(age) / inSeconds(MaxStalenessTime));
}

} // namespace

const DispatchPool::Strategy DispatchPool::Strategies[] = {
    {PlacementKind::Random, "random", &DispatchPool::chooseRandom},
    {PlacementKind::LeastLoaded, "least-loaded",
     &DispatchPool::chooseLeastLoaded},
    {PlacementKind::Weighed, "weighed", &DispatchPool::chooseWeighed},
    {PlacementKind::Spread, "spread", &DispatchPool::chooseSpread},
    {PlacementKind::Even, "even", &DispatchPool::chooseEven},
    {PlacementKind::TwoRandom, "two-random", &DispatchPool::chooseTwoRandom},
};

/// \returns the ratio of used slots; above 1 if the instance queues requests.
double DispatchPool::load(const PoolInstance &instance, Instant now) const {
  double used = static_cast<double>(instance.Grants.size());
  if (now - instance.ReportedAt < LoadReportLifetime)
    used = std::max(used, static_cast<double>(instance.ReportedLoad));
  return used / instance.Slots;
}

PoolInstance *DispatchPool::choose(const PlacementInput &input, Instant now) {
  if (input.Idempotent)
    LastIdempotentAt = now;
  collect(input, now);
  if (Candidates.empty()) {
    endHolds();
    collect(input, now);
  }
  if (Candidates.empty())
    return nullptr;
  ageEstimates(now);
  const Strategy &strategy = Strategies[static_cast<size_t>(Placement)];
  return (this->*strategy.Choose)(input, now);
}

PoolInstance *DispatchPool::chooseRandom(const PlacementInput &, Instant) {
  return Candidates[Random() % Candidates.size()];
}

PoolInstance *DispatchPool::chooseLeastLoaded(const PlacementInput &,
                                              Instant now) {
  return *std::min_element(Candidates.begin(), Candidates.end(),
                           [&](const PoolInstance *a, const PoolInstance *b) {
                             return load(*a, now) < load(*b, now);
                           });
}

/// \returns the cost of requests without a response that no later request has
/// overtaken; others may be long by themselves.
double DispatchPool::lateCost(const PoolInstance &instance, Instant now) const {
  Duration late = scaled(TypicalLatency, LateFactor);
  double sum = 0;
  for (const SlotGrant &it : instance.Grants)
    if (now - it.GrantedAt > late &&
        it.GrantedAt > instance.Health.lastSuccessSentAt())
      sum += LateCost;
  return std::min(sum, MaxLateCost);
}

double DispatchPool::placementCost(const PoolInstance &instance,
                                   const PlacementInput &input,
                                   Instant now) const {
  double sum = load(instance, now) + 1.0 / instance.Slots;
  if (sum > NearlyFullLoad)
    sum += NearlyFullCost;
  sum += preferenceCost(instance, input, now);
  sum += (instance.Health.slowdown(now) - 1) * SlowdownCost;
  return sum + healthCost(instance, input, now);
}

/// \returns the cost of the zone, of a new connection and of the time since the
/// last success.
double DispatchPool::preferenceCost(const PoolInstance &instance,
                                    const PlacementInput &input,
                                    Instant now) const {
  double sum = 0;
  if (instance.Zone != input.Zone)
    sum += input.Large ? RemoteZoneLargeCost : RemoteZoneCost;
  bool connected =
      input.Vm.Value < instance.UsedAt.size() &&
      now - instance.UsedAt[input.Vm.Value] < IdleConnectionLifetime;
  sum += connected ? 0 : ColdConnectionCost;
  return sum + staleness(now - instance.Health.lastSuccessSentAt()) *
                   (input.Retry ? RetryStalenessCost : StalenessCost);
}

/// \returns the cost of failures, missing responses and a cold start.
double DispatchPool::healthCost(const PoolInstance &instance,
                                const PlacementInput &input,
                                Instant now) const {
  double sum = instance.Cold ? ColdInstanceCost : 0;
  sum += instance.Health.failureWeight(now) * FailureCost;
  sum += instance.Key == input.Avoid ? AvoidCost : 0;
  sum += lateCost(instance, now);
  if (instance.Health.state(now) == EjectionState::Ejected)
    sum += EjectedCost;
  return sum;
}

/// \returns the discount of an instance that has not been used lately while
/// many requests of the service fail.
double DispatchPool::unusedBonus(const PoolInstance &instance,
                                 Instant now) const {
  if (now >= ManyFailUntil)
    return 0;
  double unused = inSeconds(now - instance.LastGrantAt);
  return UnusedBonus * std::min(1.0, unused / inSeconds(UnusedTime));
}

PoolInstance *DispatchPool::chooseWeighed(const PlacementInput &input,
                                          Instant now) {
  return chooseCheapest(input, now, [&](const PoolInstance &it) {
    return placementCost(it, input, now);
  });
}

PoolInstance *DispatchPool::chooseSpread(const PlacementInput &input,
                                         Instant now) {
  return chooseCheapest(input, now, [&](const PoolInstance &it) {
    return placementCost(it, input, now) - unusedBonus(it, now);
  });
}

DispatchPool::PoolMean DispatchPool::meanOfCandidates(Instant now) const {
  PoolMean mean;
  for (const PoolInstance *it : Candidates) {
    double part = 1.0 / it->Slots;
    mean.Own += static_cast<double>(it->Grants.size()) * part;
    mean.Others += it->Estimate.others(now) * part;
    mean.RecentWork += it->Estimate.recentWork() * part;
  }
  auto count = static_cast<double>(Candidates.size());
  mean.Own /= count;
  mean.Others /= count;
  mean.RecentWork /= count;
  mean.Load = mean.Own + mean.Others;
  return mean;
}

/// \returns the expected completion time of a request, relative to that on the
/// last slot of an instance of typical speed, and the costs that both
/// `Even` and `TwoRandom` have.
/// \param fullness requests in progress over slots.
double DispatchPool::completionCost(const PoolInstance &instance,
                                    const PlacementInput &input,
                                    double fullness, Instant now) const {
  double sum = fullness + 1.0 / instance.Slots;
  bool nearlyFull = sum > NearlyFullLoad;
  sum *= 1 + SpeedShare * (instance.Estimate.relativeTime() - 1);
  sum += nearlyFull ? NearlyFullCost : 0;
  sum += preferenceCost(instance, input, now);
  if (instance.Health.maxSlowdown() > UsualSlowdown)
    sum += std::max(instance.Health.slowdown(now) - UsualSlowdown, 0.0) *
           SlowdownCost;
  return sum + healthCost(instance, input, now);
}

double DispatchPool::evenCost(const PoolInstance &instance,
                              const PlacementInput &input, const PoolMean &mean,
                              Instant now) const {
  double fullness = expectedLoad(instance, now);
  double sum = completionCost(instance, input, fullness, now) +
               FullerCost * std::max(fullness - mean.Load, 0.0);
  if (mean.RecentWork < MinComparedWork)
    return sum;
  double ahead =
      instance.Estimate.recentWork() / (instance.Slots * mean.RecentWork) - 1;
  return sum + AheadCost * std::max(ahead - AheadTolerance, 0.0);
}

PoolInstance *DispatchPool::chooseEven(const PlacementInput &input,
                                       Instant now) {
  // Balance matters less than using all sound instances.
  if (now < ManyFailUntil)
    return chooseSpread(input, now);
  PoolMean mean = meanOfCandidates(now);
  // Several VMs place requests of the service at present, and all would choose
  // the same instances.
  if (mean.Others > mean.Own)
    return chooseTwoRandom(input, now);
  double lowest = 0;
  Costs.resize(Candidates.size());
  for (size_t n = 0; n < Candidates.size(); ++n) {
    const PoolInstance &it = *Candidates[n];
    Costs[n] =
        isProbe(it, input, now) ? MinCost : evenCost(it, input, mean, now);
    lowest = n == 0 ? Costs[n] : std::min(lowest, Costs[n]);
  }
  size_t n = Random() % Candidates.size();
  while (Costs[n] > lowest + NearlyEqualCost)
    n = (n + 1) % Candidates.size();
  return Candidates[n];
}

PoolInstance *DispatchPool::chooseTwoRandom(const PlacementInput &input,
                                            Instant now) {
  PoolInstance *first = Candidates[Random() % Candidates.size()];
  PoolInstance *second = Candidates[Random() % Candidates.size()];
  auto cost = [&](const PoolInstance &it) {
    return isProbe(it, input, now)
               ? MinCost
               : completionCost(it, input, expectedLoad(it, now), now);
  };
  return cost(*second) < cost(*first) ? second : first;
}

/// Ages the estimates of all instances.
void DispatchPool::ageEstimates(Instant now) {
  Duration age = now - EstimatesAgedAt;
  if (age < EstimateAgeInterval)
    return;
  EstimatesAgedAt = now;
  AgeFactors factors = ageFactors(age);
  for (PoolInstance &it : Instances)
    it.Estimate.age(factors);
}

std::optional<LoadSummary> DispatchPool::loadSummary(Instant now) const {
  LoadSummary loads;
  double count = 0;
  for (const PoolInstance &it : Instances) {
    if (!it.isInService())
      continue;
    double load = it.Estimate.recentWork() / it.Slots;
    loads.Busiest = std::max(loads.Busiest, load);
    loads.Mean += load;
    ++count;
  }
  double aged = ageFactors(now - EstimatesAgedAt).Work;
  if (count == 0 || aged * loads.Mean / count < MinComparedWork)
    return std::nullopt;
  // Work that arrives at a steady rate adds up to that of this time.
  double total = inSeconds(RecentWorkHalfLife) / std::numbers::ln2;
  double factor = aged * inSeconds(TypicalLatency) / total;
  return LoadSummary{loads.Busiest * factor, loads.Mean * factor / count};
}

template <typename Cost>
PoolInstance *DispatchPool::chooseCheapest(const PlacementInput &input,
                                           Instant now, const Cost &cost) {
  // A random start breaks ties.
  size_t start = Random() % Candidates.size();
  PoolInstance *best = nullptr;
  double lowestCost = 0;
  for (size_t n = 0; n < Candidates.size(); ++n) {
    PoolInstance *it = Candidates[(start + n) % Candidates.size()];
    double candidateCost = isProbe(*it, input, now) ? MinCost : cost(*it);
    if (best && candidateCost >= lowestCost)
      continue;
    best = it;
    lowestCost = candidateCost;
  }
  return best;
}

} // namespace guavasail
