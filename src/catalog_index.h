/// \file
/// The accepted catalog, indexed for lookups on the request path.
#ifndef GUAVASAIL_SRC_CATALOG_INDEX_H
#define GUAVASAIL_SRC_CATALOG_INDEX_H

#include "digest_hash.h"
#include "guavasail/catalog.h"
#include "guavasail/handle.h"
#include "guavasail/store.h"
#include "name_table.h"

#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavasail {

struct InstanceEntry {
  InstanceSpec Spec;
  ServiceHandle Service;
  ZoneHandle Zone;
  /// False once the catalog no longer contains the instance.
  bool Present = false;
};

struct ServiceEntry {
  uint32_t FloorPercent = 0;
  Duration Warmup{};
  uint32_t WarmupPerKilosecond = 0;
  std::vector<InstanceHandle> Instances;
  bool Present = false;
};

/// Target of a weighted traffic split.
struct SplitEntry {
  ServiceHandle Service;
  uint32_t Weight = 1;
};

struct RouteEntry {
  Handle<struct PrefixTag> Prefix;
  ServiceHandle Service;
  /// Empty if `Service` takes all requests.
  std::vector<SplitEntry> Splits;
  RequestKind Kind = RequestKind::ByMethod;
  uint32_t Attempts = 0;
  uint32_t Priority = 0;
  Duration Objective{};
  bool Anonymous = false;
  Duration Timeout{};
  /// Sorted; empty means every workspace.
  std::vector<WorkspaceHandle> Workspaces;
  bool Present = false;
};

struct WorkspaceEntry {
  uint32_t Weight = 1;
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
  uint32_t Rank = 0;
  std::vector<Digest> Keys;
  bool Present = false;
};

/// Looks up routes by path, workspaces by key digest, and entries by handle.
class CatalogIndex {
public:
  /// Replaces the catalog. A name keeps its handle across catalogs.
  void accept(const CatalogSpec &spec);

  /// Applies a patch to the current catalog.
  /// \param patch entries to put and to drop.
  /// \param version version of the resulting catalog.
  void apply(const CatalogPatch &patch, uint64_t version);

  /// Finds the route with the longest prefix of \p path that ends at a segment
  /// boundary. Of equal prefixes, one for \p host precedes one for any host.
  /// \param host in lower case, without a port.
  /// \returns the route, invalid if there is none.
  [[nodiscard]] RouteHandle route(std::string_view host,
                                  std::string_view path) const;

  /// Chooses the service for a request of a route with a traffic split.
  /// \param sequence sequence number of the request; successive numbers are
  /// spread evenly over the weights.
  [[nodiscard]] ServiceHandle pickService(RouteHandle route,
                                          uint64_t sequence) const;

  /// \returns the workspace that owns \p key, invalid if there is none.
  [[nodiscard]] WorkspaceHandle workspace(const Digest &key) const;

  /// \returns true if \p workspace may use \p route.
  [[nodiscard]] bool allowed(RouteHandle route,
                             WorkspaceHandle workspace) const;

  [[nodiscard]] uint64_t version() const { return Version; }
  [[nodiscard]] std::span<const InstanceEntry> instances() const {
    return Instances;
  }
  [[nodiscard]] std::span<const ServiceEntry> services() const {
    return Services;
  }
  [[nodiscard]] std::span<const RouteEntry> routes() const { return Routes; }
  [[nodiscard]] std::span<const WorkspaceEntry> workspaces() const {
    return Workspaces;
  }
  [[nodiscard]] const InstanceEntry &at(InstanceHandle handle) const {
    return Instances[handle.Value];
  }
  [[nodiscard]] const ServiceEntry &at(ServiceHandle handle) const {
    return Services[handle.Value];
  }
  [[nodiscard]] const RouteEntry &at(RouteHandle handle) const {
    return Routes[handle.Value];
  }
  [[nodiscard]] const WorkspaceEntry &at(WorkspaceHandle handle) const {
    return Workspaces[handle.Value];
  }

  /// \returns the name of \p handle; instances are "service/instance".
  [[nodiscard]] std::string_view name(InstanceHandle handle) const {
    return InstanceNames.name(handle);
  }
  [[nodiscard]] std::string_view name(ServiceHandle handle) const {
    return ServiceNames.name(handle);
  }
  [[nodiscard]] std::string_view name(RouteHandle handle) const {
    return RouteNames.name(handle);
  }
  [[nodiscard]] std::string_view name(WorkspaceHandle handle) const {
    return WorkspaceNames.name(handle);
  }
  [[nodiscard]] std::string_view name(ZoneHandle handle) const {
    return ZoneNames.name(handle);
  }

  /// \returns the prefix of a route: its host, if any, followed by its path.
  [[nodiscard]] std::string_view prefix(const RouteEntry &route) const {
    return Prefixes.name(route.Prefix);
  }

  /// \returns the handle of a zone name, interned if new.
  ZoneHandle zone(std::string_view name) { return ZoneNames.intern(name); }
  [[nodiscard]] ServiceHandle findService(std::string_view name) const {
    return ServiceNames.find(name);
  }
  [[nodiscard]] WorkspaceHandle findWorkspace(std::string_view name) const {
    return WorkspaceNames.find(name);
  }
  [[nodiscard]] InstanceHandle findInstance(std::string_view name) const {
    return InstanceNames.find(name);
  }

private:
  [[nodiscard]] RouteHandle findRoute(std::string_view prefix) const;
  void markAllAbsent();
  void notePrefixLength(size_t length);
  void acceptService(const ServiceSpec &spec);
  void acceptInstance(ServiceHandle service, const ServiceSpec &owner,
                      const InstanceSpec &spec);
  void acceptWorkspace(const WorkspaceSpec &spec);
  void acceptRoute(const RouteSpec &spec);
  void putInstance(const InstancePut &put);
  void dropInstance(const InstanceDrop &drop);
  void dropService(std::string_view name);
  void dropRoute(std::string_view name);
  void dropWorkspace(std::string_view name);

  uint64_t Version = 0;
  NameTable<ZoneHandle> ZoneNames;
  NameTable<ServiceHandle> ServiceNames;
  NameTable<InstanceHandle> InstanceNames;
  NameTable<RouteHandle> RouteNames;
  NameTable<WorkspaceHandle> WorkspaceNames;
  std::vector<InstanceEntry> Instances;
  std::vector<ServiceEntry> Services;
  std::vector<RouteEntry> Routes;
  std::vector<WorkspaceEntry> Workspaces;
  NameTable<Handle<PrefixTag>> Prefixes;
  std::vector<RouteHandle> RouteOfPrefix;
  /// Lengths of the paths in the prefixes, the longest first. It may hold
  /// lengths of routes that are gone.
  std::vector<size_t> PrefixLengths;
  std::unordered_map<Digest, WorkspaceHandle, DigestHash> Keys;
};

} // namespace guavasail

#endif
