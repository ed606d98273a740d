#include "balancer.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Requests in progress that one hop to another zone is worth.
constexpr uint32_t ZoneHopLoad = 1;
/// A near instance with this part of its slots taken by this VM may be
/// passed over for one in another zone.
constexpr uint32_t SpillSlotsDivisor = 2;

uint32_t slots(const BalanceInput &input, InstanceHandle handle) {
  return std::max(input.Catalog.at(handle).Spec.Slots, 1U);
}

uint32_t inFlight(const BalanceInput &input, InstanceHandle handle) {
  return input.Instances.at(handle).inFlight();
}

/// Reports lag and may mislead, so they only break ties.
bool reportsLess(const BalanceInput &input, InstanceHandle left,
                 InstanceHandle right) {
  return input.Instances.at(left).ReportedInUse <
         input.Instances.at(right).ReportedInUse;
}

/// \returns the instance whose slots would be less used after one more
/// request.
InstanceHandle lessLoaded(const BalanceInput &input, InstanceHandle left,
                          InstanceHandle right) {
  uint32_t leftLoad = (inFlight(input, left) + 1) * slots(input, right);
  uint32_t rightLoad = (inFlight(input, right) + 1) * slots(input, left);
  if (leftLoad != rightLoad)
    return leftLoad < rightLoad ? left : right;
  return reportsLess(input, right, left) ? right : left;
}

} // namespace

const Balancer::Strategy Balancer::Strategies[] = {
    {BalanceKind::RoundRobin, "round-robin", &Balancer::pickNext},
    {BalanceKind::Random, "random", &Balancer::pickRandom},
    {BalanceKind::LeastLoadedOfTwo, "least-loaded-of-two",
     &Balancer::pickLeastOfTwo},
    {BalanceKind::NearLeastLoadedOfTwo, "near-least-loaded-of-two",
     &Balancer::pickNearLeastOfTwo},
};

InstanceHandle Balancer::pick(const BalanceInput &input) {
  collect(input, input.Subset.Instances, input.Subset.Lanes);
  // One lane each outside the subset, when nothing in it can take a request.
  if (Candidates.empty())
    collect(input, input.Catalog.at(input.Service).Instances, 1);
  if (Candidates.empty())
    return {};
  const Strategy &strategy = Strategies[static_cast<size_t>(Kind)];
  return (this->*strategy.Pick)(input, Candidates);
}

bool Balancer::passes(uint32_t weight) {
  return weight >= FullWeight || Random() % FullWeight < weight;
}

void Balancer::collect(const BalanceInput &input,
                       std::span<const InstanceHandle> instances,
                       uint32_t lanes) {
  Candidates.clear();
  InstanceHandle light;
  for (InstanceHandle it : instances) {
    uint32_t weight = input.Health.at(it).Weight;
    if (weight == 0 || !input.Instances.hasFreeLane(it, lanes))
      continue;
    if (passes(weight))
      Candidates.push_back(it);
    else
      light = it;
  }
  if (Candidates.empty() && light.valid())
    Candidates.push_back(light);
  if (Candidates.size() > 1)
    std::erase(Candidates, input.Avoid);
}

InstanceHandle Balancer::pickNext(const BalanceInput &,
                                  std::span<const InstanceHandle> candidates) {
  return candidates[Turn++ % candidates.size()];
}

InstanceHandle
Balancer::pickRandom(const BalanceInput &,
                     std::span<const InstanceHandle> candidates) {
  // The modulus keeps the sequence the same for every standard library.
  return candidates[Random() % candidates.size()];
}

InstanceHandle
Balancer::pickLeastOfTwo(const BalanceInput &input,
                         std::span<const InstanceHandle> candidates) {
  InstanceHandle first = candidates[Random() % candidates.size()];
  InstanceHandle second = candidates[Random() % candidates.size()];
  return lessLoaded(input, first, second);
}

InstanceHandle
Balancer::pickNearLeastOfTwo(const BalanceInput &input,
                             std::span<const InstanceHandle> candidates) {
  auto isNear = [&](InstanceHandle it) {
    return input.Catalog.at(it).Zone == input.Zone;
  };
  auto border = std::partition(Candidates.begin(), Candidates.end(), isNear);
  auto nearCount = static_cast<size_t>(border - Candidates.begin());
  if (nearCount == 0 || nearCount == candidates.size())
    return pickLeastOfTwo(input, candidates);
  InstanceHandle near = pickLeastOfTwo(input, candidates.first(nearCount));
  if (inFlight(input, near) * SpillSlotsDivisor < slots(input, near))
    return near;
  InstanceHandle far = pickLeastOfTwo(input, candidates.subspan(nearCount));
  bool worthwhile = inFlight(input, far) + ZoneHopLoad < inFlight(input, near);
  return worthwhile ? far : near;
}

} // namespace guavasail
