/// \file
/// The operator-defined catalog: services, routes, workspaces and keys.
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
  /// IP address as text.
  std::string Address;
  uint32_t Port = 0;
  std::string Zone;
  /// Requests that the instance runs concurrently.
  uint32_t Slots = 6;
  /// Connections that the instance accepts from all VMs together.
  uint32_t Connections = 300;
  /// Start time of this incarnation, Unix time in milliseconds; 0 if unknown.
  uint64_t Started = 0;
  /// The instance announced its shutdown and gets no new requests.
  bool Leaving = false;
  /// The instance started recently and is still warming up.
  bool Cold = false;
  /// The operator evacuates the instance's zone; it gets no requests.
  bool Evacuated = false;

  friend bool operator==(const InstanceSpec &, const InstanceSpec &) = default;
};

/// A set of interchangeable instances.
struct ServiceSpec {
  std::string Name;
  /// Minimum share of the instances that ejection leaves in use, in percent.
  uint32_t FloorPercent = 50;
  std::vector<InstanceSpec> Instances;
  /// Time for which an instance is cold after its start.
  Duration Warmup{};
  /// Requests per 1000 s that a cold instance can handle; 0 for no limit.
  uint32_t WarmupPerKilosecond = 0;
};

/// Whether a request whose outcome is unknown may be sent again.
enum class RequestKind : uint8_t {
  /// Derived from the request's method.
  ByMethod,
  Idempotent,
  AtMostOnce,
  /// Idempotent, with a large response.
  Download,
  /// At most once, with a large body.
  Upload,
};

/// One destination of a route's weighted traffic split.
struct SplitSpec {
  std::string Service;
  /// Share of the requests, relative to the other destinations.
  uint32_t Weight = 1;
};

/// Maps a host and a path prefix to a service.
struct RouteSpec {
  std::string Name;
  std::string Prefix;
  std::string Service;
  /// Deadline of the whole request; the caller may ask for a shorter one.
  Duration Timeout = std::chrono::seconds(10);
  /// Workspaces that may use the route; empty for all.
  std::vector<std::string> Workspaces;
  /// Required host in lower case; empty for any.
  std::string Host;
  RequestKind Kind = RequestKind::ByMethod;
  /// Services that share the traffic; empty for `Service` alone.
  std::vector<SplitSpec> Splits;
  /// Maximum attempts for one request; 0 for the VM's own limit.
  uint32_t Attempts = 0;
  /// Latency objective, within which a response has its full value for the
  /// caller; zero for `Timeout`.
  Duration Objective{};
  /// Priority among queued requests; 0 is the highest.
  uint32_t Priority = 0;
  /// Admits requests without a key.
  bool Anonymous = false;
};

/// A caller's key, stored as a digest only.
struct KeySpec {
  std::string Id;
  Digest Value;
};

/// A customer with its keys and limits.
struct WorkspaceSpec {
  std::string Name;
  /// Fair-share weight on a contended service, relative to other workspaces.
  uint32_t Weight = 1;
  /// Requests per second, summed over all VMs; 0 for no limit.
  uint32_t RatePerSecond = 0;
  /// Requests above the rate that are admitted at once, summed over all VMs.
  uint32_t Burst = 0;
  std::vector<KeySpec> Keys;
  /// Priority that overrides the route's, plus one; 0 for no override.
  uint32_t Rank = 0;
};

/// The whole catalog of one configuration version.
struct CatalogSpec {
  uint64_t Version = 0;
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<WorkspaceSpec> Workspaces;
};

} // namespace guavasail

#endif
