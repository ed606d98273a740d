/// \file
/// Load balancing: chooses the instance for an attempt. Policies are rows of a
/// table.
#ifndef GUAVASAIL_SRC_BALANCER_H
#define GUAVASAIL_SRC_BALANCER_H

#include "catalog_index.h"
#include "guavasail/reducer.h"
#include "health_table.h"
#include "instance_table.h"
#include "subset.h"

#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// Inputs of a balancing decision.
struct BalanceInput {
  const CatalogIndex &Catalog;
  const InstanceTable &Instances;
  const HealthTable &Health;
  const ServiceSubset &Subset;
  ServiceHandle Service;
  /// Instance of an earlier attempt; avoided while others remain.
  InstanceHandle Avoid;
  /// Zone of this VM; its instances are preferred.
  ZoneHandle Zone;
  Instant Now{};
};

class Balancer {
public:
  Balancer(BalanceKind kind, uint64_t seed) : Kind(kind), Random(seed) {}

  /// \returns an instance that can take a request, invalid if none can.
  InstanceHandle pick(const BalanceInput &input);

private:
  using PickMember = InstanceHandle (Balancer::*)(
      const BalanceInput &input, std::span<const InstanceHandle> candidates);

  struct Strategy {
    BalanceKind Kind;
    std::string_view Name;
    PickMember Pick;
  };

  static const Strategy Strategies[];

  InstanceHandle pickRoundRobin(const BalanceInput &input,
                                std::span<const InstanceHandle> candidates);
  InstanceHandle pickRandom(const BalanceInput &input,
                            std::span<const InstanceHandle> candidates);
  InstanceHandle pickLeastOfTwo(const BalanceInput &input,
                                std::span<const InstanceHandle> candidates);
  InstanceHandle
  pickLocalLeastOfTwo(const BalanceInput &input,
                      std::span<const InstanceHandle> candidates);
  void collectCandidates(const BalanceInput &input,
                         std::span<const InstanceHandle> instances,
                         uint32_t lanes);
  bool admitsByWeight(uint32_t weight);

  BalanceKind Kind;
  std::mt19937_64 Random;
  uint32_t NextIndex = 0;
  std::vector<InstanceHandle> Candidates;
};

} // namespace guavasail

#endif
