#include "balancer.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Cost of a hop to another zone, in requests in progress.
constexpr uint32_t ZoneHopCost = 1;
/// An instance of this VM's zone can be passed over for one of another zone
/// only if this VM uses at least 1/`SpillSlotsDivisor` of its slots.
constexpr uint32_t SpillSlotsDivisor = 2;

uint32_t slots(const BalanceInput &input, InstanceHandle handle) {
  return std::max(input.Catalog.at(handle).Spec.Slots, 1U);
}

uint32_t inFlight(const BalanceInput &input, InstanceHandle handle) {
  return input.Instances.at(handle).inFlight();
}

/// Load reports lag behind, so they only break ties.
bool reportsLess(const BalanceInput &input, InstanceHandle left,
                 InstanceHandle right) {
  return input.Instances.at(left).ReportedInUse <
         input.Instances.at(right).ReportedInUse;
}

/// \returns the instance with the lower slot utilization after one more
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
    {BalanceKind::RoundRobin, "round-robin", &Balancer::pickRoundRobin},
    {BalanceKind::Random, "random", &Balancer::pickRandom},
    {BalanceKind::LeastLoadedOfTwo, "least-loaded-of-two",
     &Balancer::pickLeastOfTwo},
    {BalanceKind::NearLeastLoadedOfTwo, "near-least-loaded-of-two",
     &Balancer::pickLocalLeastOfTwo},
};

InstanceHandle Balancer::pick(const BalanceInput &input) {
  collectCandidates(input, input.Subset.Instances, input.Subset.Lanes);
  // If no instance of the subset can take a request, falls back to all
  // instances of the service, with one lane each.
  if (Candidates.empty())
    collectCandidates(input, input.Catalog.at(input.Service).Instances, 1);
  if (Candidates.empty())
    return {};
  const Strategy &strategy = Strategies[static_cast<size_t>(Kind)];
  return (this->*strategy.Pick)(input, Candidates);
}

bool Balancer::admitsByWeight(uint32_t weight) {
  return weight >= FullWeight || Random() % FullWeight < weight;
}

void Balancer::collectCandidates(const BalanceInput &input,
                                 std::span<const InstanceHandle> instances,
                                 uint32_t lanes) {
  Candidates.clear();
  InstanceHandle lowWeight;
  for (InstanceHandle it : instances) {
    uint32_t weight = input.Health.at(it).Weight;
    const InstanceNotice &notice = input.Instances.at(it).Notice;
    if (weight == 0 || !input.Instances.hasFreeLane(it, lanes) ||
        !notice.accepts(input.Catalog.at(it).Spec.Started, input.Now))
      continue;
    if (admitsByWeight(weight))
      Candidates.push_back(it);
    else
      lowWeight = it;
  }
  if (Candidates.empty() && lowWeight.valid())
    Candidates.push_back(lowWeight);
  if (Candidates.size() > 1)
    std::erase(Candidates, input.Avoid);
}

InstanceHandle
Balancer::pickRoundRobin(const BalanceInput &,
                         std::span<const InstanceHandle> candidates) {
  return candidates[NextIndex++ % candidates.size()];
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
Balancer::pickLocalLeastOfTwo(const BalanceInput &input,
                              std::span<const InstanceHandle> candidates) {
  auto isLocal = [&](InstanceHandle it) {
    return input.Catalog.at(it).Zone == input.Zone;
  };
  auto remoteBegin =
      std::partition(Candidates.begin(), Candidates.end(), isLocal);
  auto localCount = static_cast<size_t>(remoteBegin - Candidates.begin());
  if (localCount == 0 || localCount == candidates.size())
    return pickLeastOfTwo(input, candidates);
  InstanceHandle local = pickLeastOfTwo(input, candidates.first(localCount));
  if (inFlight(input, local) * SpillSlotsDivisor < slots(input, local))
    return local;
  InstanceHandle remote = pickLeastOfTwo(input, candidates.subspan(localCount));
  bool spills = inFlight(input, remote) + ZoneHopCost < inFlight(input, local);
  return spills ? remote : local;
}

} // namespace guavasail
