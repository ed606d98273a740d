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
  /// When this incarnation started, Unix time in milliseconds; 0 if unknown.
  uint64_t Started = 0;
  /// The instance said that it will stop: it gets no new request.
  bool Leaving = false;
  /// The instance started recently and is still slow.
  bool Cold = false;
};

/// A set of interchangeable instances.
struct ServiceSpec {
  std::string Name;
  /// Share of the instances that ejection must leave in use, in percent.
  uint32_t FloorPercent = 50;
  std::vector<InstanceSpec> Instances;
};

/// What may be done with a request whose outcome is unknown.
enum class RequestKind : uint8_t {
  /// Decided by the request's method.
  ByMethod,
  Idempotent,
  AtMostOnce,
  /// Idempotent, with a large answer.
  Download,
};

/// One part of a route's traffic.
struct SplitSpec {
  std::string Service;
  /// Share of the requests, relative to the other parts.
  uint32_t Weight = 1;
};

/// Maps a host and a path prefix to a service.
struct RouteSpec {
  std::string Name;
  std::string Prefix;
  std::string Service;
  /// Time for the whole request unless the caller asks for less.
  Duration Timeout = std::chrono::seconds(10);
  /// Workspaces that may use the route; empty means every workspace.
  std::vector<std::string> Workspaces;
  /// Host that the request has to name, in lower case; empty means any.
  std::string Host;
  RequestKind Kind = RequestKind::ByMethod;
  /// Services that share the traffic; empty means `Service` alone.
  std::vector<SplitSpec> Splits;
  /// Most instances that one request is sent to; 0 means the VM's own limit.
  uint32_t Attempts = 0;
  /// Time within which an answer is of full use; zero means `Timeout`.
  Duration Objective{};
  /// Rank among waiting requests, 0 goes first.
  uint32_t Priority = 0;
  /// Requests without a key are admitted.
  bool Anonymous = false;
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
  /// Rank that goes before the route's, plus one; 0 leaves it to the route.
  uint32_t Rank = 0;
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
