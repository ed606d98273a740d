/// \file
/// The instances that this daemon connects to. Bounds the connections of an
/// instance, summed over all daemons.
#ifndef GUAVASAIL_SRC_SUBSET_H
#define GUAVASAIL_SRC_SUBSET_H

#include "catalog_index.h"
#include "guavasail/member.h"

#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// This daemon's share of one service.
struct ServiceSubset {
  std::vector<InstanceHandle> Instances;
  /// Connections that this daemon may hold to each of them.
  uint32_t Lanes = 0;
};

/// Place of a daemon among those that share a ring of instances.
struct RingPlace {
  uint32_t Rank = 0;
  uint32_t Daemons = 1;
};

/// \returns the daemon's place among live VMs, ordered by the hash of their
/// names; a valid \p zone restricts it to VMs of that zone.
RingPlace ringPlace(const MemberView &members, ZoneHandle zone);

/// \returns how many of \p instances each daemon takes, so that no instance is
/// taken by more than \p sharers of the \p daemons.
uint32_t ringWidth(uint32_t instances, uint32_t daemons, uint32_t sharers);

/// \returns the most daemons that take one instance.
uint32_t ringSharers(uint32_t instances, uint32_t daemons, uint32_t width);

/// Computes the subsets of all services. Daemons that see the same members
/// compute subsets that fit together; one more or one less VM moves few.
class SubsetTable {
public:
  /// Computes anew if the catalog or the live members changed.
  /// \param zone this daemon's zone. \param laneLimit connections to an
  /// instance at most.
  /// \returns true if the subsets were computed.
  bool refresh(const CatalogIndex &catalog, const MemberView &members,
               ZoneHandle zone, uint32_t laneLimit);

  [[nodiscard]] const ServiceSubset &at(ServiceHandle service) const {
    return Items[service.Value];
  }

private:
  struct Placed {
    uint64_t Order = 0;
    InstanceHandle Instance;
    ZoneHandle Zone;
  };

  void fill(const CatalogIndex &catalog, ServiceHandle service, ZoneHandle zone,
            uint32_t laneLimit);
  void place(const CatalogIndex &catalog, const ServiceEntry &entry);
  void takeWindow(std::span<const Placed> ring, RingPlace place, uint32_t width,
                  ServiceSubset &subset);

  std::vector<ServiceSubset> Items;
  std::vector<Placed> All;
  std::vector<Placed> Near;
  RingPlace AllPlace;
  RingPlace NearPlace;
  uint64_t Signature = 0;
};

} // namespace guavasail

#endif
