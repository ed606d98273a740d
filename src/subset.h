/// \file
/// Deterministic subsetting: selects the instances that this daemon connects
/// to, so that the connections of all daemons to an instance stay bounded.
#ifndef GUAVASAIL_SRC_SUBSET_H
#define GUAVASAIL_SRC_SUBSET_H

#include "catalog_index.h"
#include "guavasail/member.h"

#include <cstdint>
#include <span>
#include <vector>

namespace guavasail {

/// Instances of one service that this daemon connects to.
struct ServiceSubset {
  std::vector<InstanceHandle> Instances;
  /// Connections that this daemon may hold to each of them.
  uint32_t Lanes = 0;
};

/// Position of a daemon among those that share a ring of instances.
struct RingPosition {
  uint32_t Rank = 0;
  uint32_t Daemons = 1;
};

/// \returns the daemon's position among live VMs, ordered by the hash of their
/// names; a valid \p zone restricts it to VMs of that zone.
RingPosition ringPosition(const MemberView &members, ZoneHandle zone);

/// \returns how many of \p instances each daemon selects, so that at most
/// \p sharers of the \p daemons select the same one.
uint32_t subsetSize(uint32_t instances, uint32_t daemons, uint32_t sharers);

/// \returns the maximum number of daemons that select the same instance.
uint32_t maxSharers(uint32_t instances, uint32_t daemons, uint32_t width);

/// Computes the subsets of all services. Daemons that see the same members
/// compute subsets that cover the service evenly. Adding or removing a VM
/// changes few instances of each subset.
class SubsetTable {
public:
  /// Recomputes the subsets if the catalog or the live members changed.
  /// \param zone this daemon's zone.
  /// \param laneLimit maximum number of connections to an instance.
  /// \returns true if the subsets were recomputed.
  bool refresh(const CatalogIndex &catalog, const MemberView &members,
               ZoneHandle zone, uint32_t laneLimit);

  [[nodiscard]] const ServiceSubset &at(ServiceHandle service) const {
    return Subsets[service.Value];
  }

private:
  struct RingEntry {
    uint64_t Order = 0;
    InstanceHandle Instance;
    ZoneHandle Zone;
  };

  void computeSubset(const CatalogIndex &catalog, ServiceHandle service,
                     ZoneHandle zone, uint32_t laneLimit);
  void buildRing(const CatalogIndex &catalog, const ServiceEntry &entry);
  void selectWindow(std::span<const RingEntry> ring, RingPosition position,
                    uint32_t width, ServiceSubset &subset);

  std::vector<ServiceSubset> Subsets;
  std::vector<RingEntry> GlobalRing;
  std::vector<RingEntry> ZoneRing;
  RingPosition GlobalPosition;
  RingPosition ZonePosition;
  uint64_t Signature = 0;
};

} // namespace guavasail

#endif
