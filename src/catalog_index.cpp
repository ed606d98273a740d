#include "catalog_index.h"

#include <algorithm>
#include <functional>

namespace guavasail {

namespace {

/// \returns the entry at \p handle, growing \p entries if needed.
template <typename Entry, typename HandleType>
Entry &entryAt(std::vector<Entry> &entries, HandleType handle) {
  if (entries.size() <= handle.Value)
    entries.resize(handle.Value + 1);
  return entries[handle.Value];
}

/// Multiplier of a Weyl sequence, which spreads successive numbers evenly over
/// the whole range.
constexpr uint64_t WeylStep = 0x9e3779b97f4a7c15ULL;

} // namespace

void CatalogIndex::accept(const CatalogSpec &spec) {
  markAllAbsent();
  Version = spec.Version;
  for (const ServiceSpec &service : spec.Services)
    acceptService(service);
  for (const WorkspaceSpec &workspace : spec.Workspaces)
    acceptWorkspace(workspace);
  for (const RouteSpec &route : spec.Routes)
    acceptRoute(route);
}

void CatalogIndex::markAllAbsent() {
  for (InstanceEntry &entry : Instances)
    entry.Present = false;
  for (ServiceEntry &entry : Services) {
    entry.Present = false;
    entry.Instances.clear();
  }
  for (RouteEntry &entry : Routes)
    entry.Present = false;
  for (WorkspaceEntry &entry : Workspaces) {
    entry.Present = false;
    entry.Keys.clear();
  }
  Keys.clear();
  PrefixLengths.clear();
  std::fill(RouteOfPrefix.begin(), RouteOfPrefix.end(), RouteHandle{});
}

void CatalogIndex::acceptService(const ServiceSpec &spec) {
  ServiceHandle handle = ServiceNames.intern(spec.Name);
  ServiceEntry &entry = entryAt(Services, handle);
  entry.FloorPercent = spec.FloorPercent;
  entry.Warmup = spec.Warmup;
  entry.WarmupPerKilosecond = spec.WarmupPerKilosecond;
  entry.Present = true;
  for (const InstanceSpec &instance : spec.Instances)
    acceptInstance(handle, spec, instance);
}

void CatalogIndex::acceptInstance(ServiceHandle service,
                                  const ServiceSpec &owner,
                                  const InstanceSpec &spec) {
  InstanceHandle handle = InstanceNames.intern(owner.Name + "/" + spec.Name);
  InstanceEntry &entry = entryAt(Instances, handle);
  entry.Spec = spec;
  entry.Service = service;
  entry.Zone = ZoneNames.intern(spec.Zone);
  entry.Present = true;
  Services[service.Value].Instances.push_back(handle);
}

void CatalogIndex::acceptWorkspace(const WorkspaceSpec &spec) {
  WorkspaceHandle handle = WorkspaceNames.intern(spec.Name);
  WorkspaceEntry &entry = entryAt(Workspaces, handle);
  entry.Weight = spec.Weight;
  entry.RatePerSecond = spec.RatePerSecond;
  entry.Burst = spec.Burst;
  entry.Rank = spec.Rank;
  entry.Present = true;
  for (const KeySpec &key : spec.Keys) {
    Keys.emplace(key.Value, handle);
    entry.Keys.push_back(key.Value);
  }
}

void CatalogIndex::acceptRoute(const RouteSpec &spec) {
  RouteHandle handle = RouteNames.intern(spec.Name);
  RouteEntry &entry = entryAt(Routes, handle);
  entry.Splits.clear();
  for (const SplitSpec &it : spec.Splits)
    if (ServiceHandle part = ServiceNames.find(it.Service); part.valid())
      entry.Splits.push_back({part, it.Weight});
  entry.Service = entry.Splits.empty() ? ServiceNames.find(spec.Service)
                                       : entry.Splits.front().Service;
  entry.Kind = spec.Kind;
  entry.Attempts = spec.Attempts;
  entry.Priority = spec.Priority;
  entry.Objective = spec.Objective;
  entry.Anonymous = spec.Anonymous;
  entry.Timeout = spec.Timeout;
  entry.Present = entry.Service.valid();
  entry.Workspaces.clear();
  for (const std::string &name : spec.Workspaces)
    entry.Workspaces.push_back(WorkspaceNames.intern(name));
  std::sort(entry.Workspaces.begin(), entry.Workspaces.end());
  entry.Prefix = Prefixes.intern(spec.Host + spec.Prefix);
  entryAt(RouteOfPrefix, entry.Prefix) = handle;
  notePrefixLength(spec.Prefix.size());
}

void CatalogIndex::notePrefixLength(size_t length) {
  auto at = std::lower_bound(PrefixLengths.begin(), PrefixLengths.end(), length,
                             std::greater<>());
  if (at == PrefixLengths.end() || *at != length)
    PrefixLengths.insert(at, length);
}

void CatalogIndex::apply(const CatalogPatch &patch, uint64_t version) {
  Version = version;
  // Replaced entries are dropped first, so that keys and prefixes may move
  // between them.
  for (const std::string &it : patch.DropRoutes)
    dropRoute(it);
  for (const RouteSpec &it : patch.Put.Routes)
    dropRoute(it.Name);
  for (const std::string &it : patch.DropWorkspaces)
    dropWorkspace(it);
  for (const WorkspaceSpec &it : patch.Put.Workspaces)
    dropWorkspace(it.Name);
  for (const std::string &it : patch.DropServices)
    dropService(it);
  for (const ServiceSpec &it : patch.Put.Services)
    dropService(it.Name);
  for (const ServiceSpec &it : patch.Put.Services)
    acceptService(it);
  for (const InstanceDrop &it : patch.DropInstances)
    dropInstance(it);
  for (const InstancePut &it : patch.PutInstances)
    putInstance(it);
  for (const WorkspaceSpec &it : patch.Put.Workspaces)
    acceptWorkspace(it);
  for (const RouteSpec &it : patch.Put.Routes)
    acceptRoute(it);
}

void CatalogIndex::dropInstance(const InstanceDrop &drop) {
  InstanceHandle handle = InstanceNames.find(drop.Service + "/" + drop.Name);
  if (!handle.valid() || !Instances[handle.Value].Present)
    return;
  InstanceEntry &entry = Instances[handle.Value];
  entry.Present = false;
  std::erase(Services[entry.Service.Value].Instances, handle);
}

void CatalogIndex::putInstance(const InstancePut &put) {
  ServiceHandle service = ServiceNames.find(put.Service);
  if (!service.valid() || service.Value >= Services.size())
    return;
  InstanceHandle handle =
      InstanceNames.intern(put.Service + "/" + put.Spec.Name);
  InstanceEntry &entry = entryAt(Instances, handle);
  if (!entry.Present)
    Services[service.Value].Instances.push_back(handle);
  entry.Spec = put.Spec;
  entry.Service = service;
  entry.Zone = ZoneNames.intern(put.Spec.Zone);
  entry.Present = true;
}

void CatalogIndex::dropService(std::string_view name) {
  ServiceHandle handle = ServiceNames.find(name);
  if (!handle.valid() || handle.Value >= Services.size())
    return;
  ServiceEntry &entry = Services[handle.Value];
  for (InstanceHandle it : entry.Instances)
    Instances[it.Value].Present = false;
  entry.Instances.clear();
  entry.Present = false;
}

void CatalogIndex::dropRoute(std::string_view name) {
  RouteHandle handle = RouteNames.find(name);
  if (!handle.valid() || !Routes[handle.Value].Prefix.valid())
    return;
  RouteEntry &entry = Routes[handle.Value];
  entry.Present = false;
  RouteHandle &owner = RouteOfPrefix[entry.Prefix.Value];
  if (owner == handle)
    owner = {};
}

void CatalogIndex::dropWorkspace(std::string_view name) {
  WorkspaceHandle handle = WorkspaceNames.find(name);
  // A route may refer to a workspace that was never in the catalog.
  if (!handle.valid() || handle.Value >= Workspaces.size())
    return;
  WorkspaceEntry &entry = Workspaces[handle.Value];
  for (const Digest &key : entry.Keys) {
    auto it = Keys.find(key);
    if (it != Keys.end() && it->second == handle)
      Keys.erase(it);
  }
  entry.Keys.clear();
  entry.Present = false;
}

RouteHandle CatalogIndex::findRoute(std::string_view prefix) const {
  auto handle = Prefixes.find(prefix);
  return handle.valid() ? RouteOfPrefix[handle.Value] : RouteHandle{};
}

RouteHandle CatalogIndex::route(std::string_view host,
                                std::string_view path) const {
  std::string hostAndPath(host);
  hostAndPath.append(path);
  for (size_t n : PrefixLengths) {
    if (n == 0 || n > path.size())
      continue;
    // A prefix ends at the end of the path, before a slash or after one.
    bool isBoundary = n == path.size() || path[n] == '/' || path[n - 1] == '/';
    if (!isBoundary)
      continue;
    auto hostRoute =
        findRoute(std::string_view(hostAndPath).substr(0, host.size() + n));
    if (hostRoute.valid())
      return hostRoute;
    if (auto anyHostRoute = findRoute(path.substr(0, n)); anyHostRoute.valid())
      return anyHostRoute;
  }
  return {};
}

ServiceHandle CatalogIndex::pickService(RouteHandle route,
                                        uint64_t sequence) const {
  const RouteEntry &entry = at(route);
  uint64_t total = 0;
  for (const SplitEntry &it : entry.Splits)
    total += it.Weight;
  if (total == 0)
    return entry.Service;
  // The upper half of the product is uniform over the weights.
  uint64_t position = ((sequence * WeylStep) >> 32) * total >> 32;
  for (const SplitEntry &it : entry.Splits) {
    if (position < it.Weight)
      return it.Service;
    position -= it.Weight;
  }
  return entry.Service;
}

WorkspaceHandle CatalogIndex::workspace(const Digest &key) const {
  auto it = Keys.find(key);
  return it == Keys.end() ? WorkspaceHandle{} : it->second;
}

bool CatalogIndex::allowed(RouteHandle route, WorkspaceHandle workspace) const {
  const RouteEntry &entry = at(route);
  return entry.Workspaces.empty() ||
         std::binary_search(entry.Workspaces.begin(), entry.Workspaces.end(),
                            workspace);
}

} // namespace guavasail
