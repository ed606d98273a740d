/// \file
/// What operators create: services, routes, workspaces and keys.
#ifndef GUAVASAIL_CATALOG_H
#define GUAVASAIL_CATALOG_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavasail {

/// One backend server process.
struct InstanceSpec {
  std::string Name;
  /// IP number in text form.
  std::string Address;
  uint32_t Port = 0;
  std::string Zone;
  /// Requests that the instance runs at the same time.
  uint32_t Slots = 6;
  /// Connections that the instance accepts, over all VMs.
  uint32_t Connections = 300;
};

/// A set of interchangeable instances.
struct ServiceSpec {
  std::string Name;
  /// Share of the instances that ejection must leave in use, in percent.
  uint32_t FloorPercent = 50;
  std::vector<InstanceSpec> Instances;
};

/// Maps a path prefix to a service.
struct RouteSpec {
  std::string Name;
  std::string Prefix;
  std::string Service;
  /// Time for the whole request unless the caller asks for less.
  Duration Timeout = std::chrono::seconds(10);
  /// Workspaces that may use the route; empty means every workspace.
  std::vector<std::string> Workspaces;
};

/// A caller's key. Only the digest is known.
struct KeySpec {
  std::string Id;
  Digest Value;
};

/// One customer.
struct WorkspaceSpec {
  std::string Name;
  /// Share of a contended service, relative to other workspaces.
  uint32_t Weight = 1;
  /// Requests per second, summed over all VMs; 0 means no limit.
  uint32_t RatePerSecond = 0;
  /// Requests above the rate that may come at once, summed over all VMs.
  uint32_t Burst = 0;
  std::vector<KeySpec> Keys;
};

/// Everything operators configure, accepted as one version.
struct CatalogSpec {
  uint64_t Version = 0;
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<WorkspaceSpec> Workspaces;
};

} // namespace guavasail

#endif
