#include "config_chunks.h"

#include <algorithm>
#include <cstring>
#include <type_traits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace guavasail {

namespace {

/// Estimate for field names, quotes and numbers of one encoded entry.
constexpr size_t EntryOverheadBytes = 96;

bool hasWarmupFields(const ServiceSpec &spec) {
  return spec.Warmup != Duration::zero() || spec.WarmupPerKilosecond != 0;
}

/// Hashes fields. Texts are prefixed with their length, so that different
/// chunks never give the same input.
class FieldHash {
public:
  FieldHash() { XXH3_128bits_reset(&State); }

  void add(uint64_t value) {
    XXH3_128bits_update(&State, &value, sizeof(value));
  }
  void add(std::string_view text) {
    add(static_cast<uint64_t>(text.size()));
    XXH3_128bits_update(&State, text.data(), text.size());
  }
  void add(const Digest &digest) {
    XXH3_128bits_update(&State, digest.Bytes.data(), digest.Bytes.size());
  }

  void add(const InstanceSpec &it) {
    add(it.Name);
    add(it.Address);
    add(uint64_t{it.Port});
    add(it.Zone);
    add(uint64_t{it.Slots});
    add(uint64_t{it.Connections});
    add(it.Started);
    // Bits of one number, so that an instance without the later mark has the
    // digest that earlier releases compute.
    add(uint64_t{it.Leaving} | uint64_t{it.Evacuated} << 1);
    add(uint64_t{it.Cold});
  }
  void add(const ServiceSpec &it) {
    add(it.Name);
    // As above: a service without a warm-up keeps its digest.
    constexpr int WarmupBit = 32;
    bool hasWarmup = hasWarmupFields(it);
    add(uint64_t{it.FloorPercent} | uint64_t{hasWarmup} << WarmupBit);
    if (hasWarmup) {
      add(static_cast<uint64_t>(it.Warmup.count()));
      add(uint64_t{it.WarmupPerKilosecond});
    }
    addAll(it.Instances);
  }
  void add(const RouteSpec &it) {
    add(it.Name);
    add(it.Prefix);
    add(it.Service);
    add(static_cast<uint64_t>(it.Timeout.count()));
    addAll(it.Workspaces);
    add(it.Host);
    add(static_cast<uint64_t>(it.Kind));
    addAll(it.Splits);
    add(uint64_t{it.Attempts});
    add(static_cast<uint64_t>(it.Objective.count()));
    add(uint64_t{it.Priority});
    add(uint64_t{it.Anonymous});
  }

  void add(const SplitSpec &it) {
    add(it.Service);
    add(uint64_t{it.Weight});
  }
  void add(const KeySpec &it) {
    add(it.Id);
    add(it.Value);
  }
  void add(const WorkspaceSpec &it) {
    add(it.Name);
    add(uint64_t{it.Weight});
    add(uint64_t{it.RatePerSecond});
    add(uint64_t{it.Burst});
    addAll(it.Keys);
    add(uint64_t{it.Rank});
  }

  template <typename Item> void addAll(const std::vector<Item> &items) {
    add(static_cast<uint64_t>(items.size()));
    for (const Item &it : items)
      add(it);
  }

  Digest finish() {
    XXH128_hash_t hash = XXH3_128bits_digest(&State);
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, hash);
    Digest digest;
    std::memcpy(digest.Bytes.data(), bytes.digest, digest.Bytes.size());
    return digest;
  }

private:
  XXH3_state_t State{};
};

template <typename Spec> Digest specDigest(const Spec &spec) {
  FieldHash hash;
  hash.add(spec);
  return hash.finish();
}

size_t specBytes(const InstanceSpec &spec) {
  return EntryOverheadBytes + spec.Name.size() + spec.Address.size() +
         spec.Zone.size();
}

size_t specBytes(const ServiceSpec &spec) {
  size_t n = EntryOverheadBytes + spec.Name.size();
  for (const InstanceSpec &it : spec.Instances)
    n += specBytes(it);
  return n;
}

size_t specBytes(const RouteSpec &spec) {
  size_t n = EntryOverheadBytes + spec.Name.size() + spec.Prefix.size() +
             spec.Service.size();
  for (const std::string &it : spec.Workspaces)
    n += it.size() + 4;
  return n;
}

size_t specBytes(const WorkspaceSpec &spec) {
  size_t n = EntryOverheadBytes + spec.Name.size();
  for (const KeySpec &it : spec.Keys)
    n += EntryOverheadBytes + it.Id.size();
  return n;
}

template <typename Spec>
auto lowerBoundByName(Spec &entries, std::string_view name) {
  return std::lower_bound(
      entries.begin(), entries.end(), name,
      [](const auto &it, std::string_view wanted) { return it.Name < wanted; });
}

template <typename Spec>
const Spec *findEntry(const std::vector<Spec> &entries, std::string_view name) {
  auto it = lowerBoundByName(entries, name);
  return it != entries.end() && it->Name == name ? &*it : nullptr;
}

template <typename Spec>
void putSorted(std::vector<Spec> &entries, const Spec &spec) {
  auto it = lowerBoundByName(entries, spec.Name);
  if (it != entries.end() && it->Name == spec.Name)
    *it = spec;
  else
    entries.insert(it, spec);
}

template <typename Spec>
void dropSorted(std::vector<Spec> &entries, std::string_view name) {
  auto it = lowerBoundByName(entries, name);
  if (it != entries.end() && it->Name == name)
    entries.erase(it);
}

template <typename Spec>
void diffEntries(const std::vector<Spec> &before,
                 const std::vector<Spec> &after, std::vector<Spec> &put,
                 std::vector<std::string> &drop) {
  for (const Spec &it : after) {
    const Spec *old = findEntry(before, it.Name);
    if (!old || specDigest(*old) != specDigest(it))
      put.push_back(it);
  }
  for (const Spec &it : before)
    if (!findEntry(after, it.Name))
      drop.push_back(it.Name);
}

/// \returns true if the instances of a service are ordered by name, so that a
/// patch of single instances gives the same service on each VM.
bool hasOrderedInstances(const ServiceSpec &spec) {
  return std::is_sorted(
      spec.Instances.begin(), spec.Instances.end(),
      [](const auto &a, const auto &b) { return a.Name < b.Name; });
}

/// Adds the difference between two versions of a service to \p patch.
void diffService(const ServiceSpec &before, const ServiceSpec &after,
                 CatalogPatch &patch) {
  bool byInstance = before.FloorPercent == after.FloorPercent &&
                    before.Warmup == after.Warmup &&
                    before.WarmupPerKilosecond == after.WarmupPerKilosecond &&
                    hasOrderedInstances(before) && hasOrderedInstances(after);
  if (!byInstance) {
    if (specDigest(before) != specDigest(after))
      patch.Put.Services.push_back(after);
    return;
  }
  std::vector<InstanceSpec> put;
  std::vector<std::string> drop;
  diffEntries(before.Instances, after.Instances, put, drop);
  for (InstanceSpec &it : put)
    patch.PutInstances.push_back({after.Name, std::move(it)});
  for (std::string &it : drop)
    patch.DropInstances.push_back({after.Name, std::move(it)});
}

void diffServices(const std::vector<ServiceSpec> &before,
                  const std::vector<ServiceSpec> &after, CatalogPatch &patch) {
  for (const ServiceSpec &it : after) {
    if (const ServiceSpec *old = findEntry(before, it.Name))
      diffService(*old, it, patch);
    else
      patch.Put.Services.push_back(it);
  }
  for (const ServiceSpec &it : before)
    if (!findEntry(after, it.Name))
      patch.DropServices.push_back(it.Name);
}

/// \returns the service called \p name in \p chunk, null if there is none.
ServiceSpec *serviceIn(CatalogChunk &chunk, std::string_view name) {
  auto it = lowerBoundByName(chunk.Services, name);
  return it != chunk.Services.end() && it->Name == name ? &*it : nullptr;
}

/// Applies the changes of single instances that belong to \p slot.
void patchInstances(CatalogChunk &chunk, uint32_t slot,
                    const CatalogPatch &patch) {
  for (const InstanceDrop &it : patch.DropInstances)
    if (slotOf(ItemKind::Service, it.Service) == slot)
      if (ServiceSpec *service = serviceIn(chunk, it.Service))
        dropSorted(service->Instances, it.Name);
  for (const InstancePut &it : patch.PutInstances)
    if (slotOf(ItemKind::Service, it.Service) == slot)
      if (ServiceSpec *service = serviceIn(chunk, it.Service))
        putSorted(service->Instances, it.Spec);
}

/// Copies entries until \p limit bytes are reached.
class Slice {
public:
  Slice(size_t offset, size_t limit) : Skip(offset), Limit(limit) {}

  template <typename Spec>
  void take(const std::vector<Spec> &from, std::vector<Spec> &to) {
    for (const Spec &it : from) {
      if (Skip > 0) {
        --Skip;
        continue;
      }
      if (Full)
        return;
      Used += specBytes(it);
      to.push_back(it);
      Full = Used >= Limit;
    }
  }

private:
  size_t Skip;
  size_t Limit;
  size_t Used = 0;
  bool Full = false;
};

struct SlotRange {
  uint32_t First;
  uint32_t Count;
};

SlotRange slotRange(ItemKind kind) {
  if (kind == ItemKind::Route)
    return {ServiceSlots, RouteSlots};
  if (kind == ItemKind::Workspace)
    return {ServiceSlots + RouteSlots, WorkspaceSlots};
  return {0, ServiceSlots};
}

} // namespace

uint32_t slotOf(ItemKind kind, std::string_view name) {
  SlotRange range = slotRange(kind);
  uint64_t hash = XXH3_64bits(name.data(), name.size());
  return range.First + static_cast<uint32_t>(hash % range.Count);
}

Digest chunkDigest(const CatalogChunk &chunk) {
  if (chunkEntries(chunk) == 0)
    return {};
  FieldHash hash;
  hash.addAll(chunk.Services);
  hash.addAll(chunk.Routes);
  hash.addAll(chunk.Workspaces);
  return hash.finish();
}

size_t chunkBytes(const CatalogChunk &chunk) {
  size_t n = 0;
  for (const ServiceSpec &it : chunk.Services)
    n += specBytes(it);
  for (const RouteSpec &it : chunk.Routes)
    n += specBytes(it);
  for (const WorkspaceSpec &it : chunk.Workspaces)
    n += specBytes(it);
  return n;
}

size_t patchBytes(const CatalogPatch &patch) {
  size_t n = chunkBytes(patch.Put);
  for (const InstancePut &it : patch.PutInstances)
    n += it.Service.size() + specBytes(it.Spec);
  for (const InstanceDrop &it : patch.DropInstances)
    n += it.Service.size() + it.Name.size();
  for (const auto *names :
       {&patch.DropServices, &patch.DropRoutes, &patch.DropWorkspaces})
    for (const std::string &it : *names)
      n += it.size();
  return n;
}

size_t chunkEntries(const CatalogChunk &chunk) {
  return chunk.Services.size() + chunk.Routes.size() + chunk.Workspaces.size();
}

CatalogChunk sliceChunk(const CatalogChunk &chunk, size_t offset,
                        size_t limit) {
  CatalogChunk part;
  Slice slice(offset, limit);
  slice.take(chunk.Services, part.Services);
  slice.take(chunk.Routes, part.Routes);
  slice.take(chunk.Workspaces, part.Workspaces);
  return part;
}

void appendChunk(CatalogChunk &chunk, const CatalogChunk &more) {
  auto append = [](auto &to, const auto &from) {
    to.insert(to.end(), from.begin(), from.end());
  };
  append(chunk.Services, more.Services);
  append(chunk.Routes, more.Routes);
  append(chunk.Workspaces, more.Workspaces);
}

void diffChunk(const CatalogChunk &before, const CatalogChunk &after,
               CatalogPatch &patch) {
  diffServices(before.Services, after.Services, patch);
  diffEntries(before.Routes, after.Routes, patch.Put.Routes, patch.DropRoutes);
  diffEntries(before.Workspaces, after.Workspaces, patch.Put.Workspaces,
              patch.DropWorkspaces);
}

const ServiceSpec *ChunkTable::service(std::string_view name) const {
  return findEntry(Slots[slotOf(ItemKind::Service, name)].Services, name);
}

const RouteSpec *ChunkTable::route(std::string_view name) const {
  return findEntry(Slots[slotOf(ItemKind::Route, name)].Routes, name);
}

const WorkspaceSpec *ChunkTable::workspace(std::string_view name) const {
  return findEntry(Slots[slotOf(ItemKind::Workspace, name)].Workspaces, name);
}

ChunkTable splitCatalog(const CatalogSpec &catalog) {
  ChunkTable table;
  for (const ServiceSpec &it : catalog.Services)
    putEntry(table.Slots[slotOf(ItemKind::Service, it.Name)], it);
  for (const RouteSpec &it : catalog.Routes)
    putEntry(table.Slots[slotOf(ItemKind::Route, it.Name)], it);
  for (const WorkspaceSpec &it : catalog.Workspaces)
    putEntry(table.Slots[slotOf(ItemKind::Workspace, it.Name)], it);
  return table;
}

CatalogSpec joinCatalog(const ChunkTable &table, uint64_t version) {
  CatalogChunk all;
  for (const CatalogChunk &it : table.Slots)
    appendChunk(all, it);
  return {version, std::move(all.Services), std::move(all.Routes),
          std::move(all.Workspaces)};
}

void putEntry(CatalogChunk &chunk, const ServiceSpec &spec) {
  putSorted(chunk.Services, spec);
}

void putEntry(CatalogChunk &chunk, const RouteSpec &spec) {
  putSorted(chunk.Routes, spec);
}

void putEntry(CatalogChunk &chunk, const WorkspaceSpec &spec) {
  putSorted(chunk.Workspaces, spec);
}

void dropEntry(CatalogChunk &chunk, ItemKind kind, std::string_view name) {
  if (kind == ItemKind::Service)
    dropSorted(chunk.Services, name);
  if (kind == ItemKind::Route)
    dropSorted(chunk.Routes, name);
  if (kind == ItemKind::Workspace)
    dropSorted(chunk.Workspaces, name);
}

void patchChunk(CatalogChunk &chunk, uint32_t slot, const CatalogPatch &patch) {
  auto drop = [&](ItemKind kind, const std::vector<std::string> &names) {
    for (const std::string &it : names)
      if (slotOf(kind, it) == slot)
        dropEntry(chunk, kind, it);
  };
  auto put = [&](ItemKind kind, const auto &entries) {
    for (const auto &it : entries)
      if (slotOf(kind, it.Name) == slot)
        putEntry(chunk, it);
  };
  drop(ItemKind::Service, patch.DropServices);
  drop(ItemKind::Route, patch.DropRoutes);
  drop(ItemKind::Workspace, patch.DropWorkspaces);
  put(ItemKind::Service, patch.Put.Services);
  put(ItemKind::Route, patch.Put.Routes);
  put(ItemKind::Workspace, patch.Put.Workspaces);
  patchInstances(chunk, slot, patch);
}

} // namespace guavasail
