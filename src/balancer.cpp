#include "balancer.h"

#include <algorithm>

namespace guavasail {

const Balancer::Strategy Balancer::Strategies[] = {
    {BalanceKind::RoundRobin, "round-robin", &Balancer::pickNext},
    {BalanceKind::LeastLoadedOfTwo, "least-loaded-of-two",
     &Balancer::pickLeastOfTwo},
};

InstanceHandle Balancer::pick(const BalanceInput &input) {
  collect(input);
  if (Candidates.empty())
    return {};
  const Strategy &strategy = Strategies[static_cast<size_t>(Kind)];
  return (this->*strategy.Pick)(input, Candidates);
}

void Balancer::collect(const BalanceInput &input) {
  Candidates.clear();
  for (InstanceHandle it : input.Catalog.at(input.Service).Instances) {
    bool usable = !input.Instances.at(it).Leaving &&
                  input.Instances.hasFreeLane(it, input.LanesPerInstance);
    if (usable)
      Candidates.push_back(it);
  }
  if (Candidates.size() > 1)
    std::erase(Candidates, input.Avoid);
}

InstanceHandle Balancer::pickNext(const BalanceInput &,
                                  std::span<const InstanceHandle> candidates) {
  return candidates[Turn++ % candidates.size()];
}

InstanceHandle
Balancer::pickLeastOfTwo(const BalanceInput &input,
                         std::span<const InstanceHandle> candidates) {
  // The modulus keeps the sequence the same for every standard library.
  InstanceHandle first = candidates[Random() % candidates.size()];
  InstanceHandle second = candidates[Random() % candidates.size()];
  uint32_t firstLoad = input.Instances.at(first).inFlight();
  uint32_t secondLoad = input.Instances.at(second).inFlight();
  if (firstLoad != secondLoad)
    return firstLoad < secondLoad ? first : second;
  bool secondIsNearer = input.Catalog.at(second).Zone == input.Zone &&
                        input.Catalog.at(first).Zone != input.Zone;
  return secondIsNearer ? second : first;
}

} // namespace guavasail
