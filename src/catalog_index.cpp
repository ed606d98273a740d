#include "catalog_index.h"

#include <algorithm>

namespace guavasail {

namespace {

/// \returns the entry at \p handle, growing \p entries if needed.
template <typename Entry, typename HandleType>
Entry &grow(std::vector<Entry> &entries, HandleType handle) {
  if (entries.size() <= handle.Value)
    entries.resize(handle.Value + 1);
  return entries[handle.Value];
}

/// \returns \p path without its last segment, "/" for a single segment.
std::string_view parentPath(std::string_view path) {
  size_t slash = path.rfind('/');
  if (slash == std::string_view::npos)
    return {};
  return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

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
  for (WorkspaceEntry &entry : Workspaces)
    entry.Present = false;
  Keys.clear();
  Prefixes = {};
  RouteOfPrefix.clear();
}

void CatalogIndex::acceptService(const ServiceSpec &spec) {
  ServiceHandle handle = ServiceNames.intern(spec.Name);
  ServiceEntry &entry = grow(Services, handle);
  entry.FloorPercent = spec.FloorPercent;
  entry.Present = true;
  for (const InstanceSpec &instance : spec.Instances)
    acceptInstance(handle, spec, instance);
}

void CatalogIndex::acceptInstance(ServiceHandle service,
                                  const ServiceSpec &owner,
                                  const InstanceSpec &spec) {
  InstanceHandle handle = InstanceNames.intern(owner.Name + "/" + spec.Name);
  InstanceEntry &entry = grow(Instances, handle);
  entry.Spec = spec;
  entry.Service = service;
  entry.Zone = ZoneNames.intern(spec.Zone);
  entry.Present = true;
  Services[service.Value].Instances.push_back(handle);
}

void CatalogIndex::acceptWorkspace(const WorkspaceSpec &spec) {
  WorkspaceHandle handle = WorkspaceNames.intern(spec.Name);
  WorkspaceEntry &entry = grow(Workspaces, handle);
  entry.Weight = spec.Weight;
  entry.RatePerSecond = spec.RatePerSecond;
  entry.Burst = spec.Burst;
  entry.Present = true;
  for (const KeySpec &key : spec.Keys)
    Keys.emplace(key.Value, handle);
}

void CatalogIndex::acceptRoute(const RouteSpec &spec) {
  RouteHandle handle = RouteNames.intern(spec.Name);
  RouteEntry &entry = grow(Routes, handle);
  entry.Service = ServiceNames.find(spec.Service);
  entry.Prefix = spec.Prefix;
  entry.Timeout = spec.Timeout;
  entry.Present = entry.Service.valid();
  entry.Workspaces.clear();
  for (const std::string &name : spec.Workspaces)
    entry.Workspaces.push_back(WorkspaceNames.intern(name));
  std::sort(entry.Workspaces.begin(), entry.Workspaces.end());
  grow(RouteOfPrefix, Prefixes.intern(spec.Prefix)) = handle;
}

RouteHandle CatalogIndex::route(std::string_view path) const {
  while (!path.empty()) {
    RouteHandle prefix = Prefixes.find(path);
    if (prefix.valid())
      return RouteOfPrefix[prefix.Value];
    if (path == "/")
      break;
    path = parentPath(path);
  }
  return {};
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
