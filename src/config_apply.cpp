#include "config_apply.h"

#include "audit.h"

#include <algorithm>
#include <array>
#include <optional>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace guavasail {

namespace {

constexpr uint32_t MaxFloorPercent = 100;
constexpr uint32_t MaxPort = 65535;
constexpr size_t MaxNameBytes = 255;

constexpr auto FaultNames = std::to_array<std::string_view>(
    {"empty", "item-unknown", "item-exists", "item-in-use", "reference-unknown",
     "value-out-of-range", "digest-in-use", "too-large", "writer-isolated",
     "store-unavailable", "busy"});

using OptionalFailure = std::optional<ChangeFailure>;

/// Copy-on-write view of a chunk table: reads see the edits, and the first
/// write to a slot copies its chunk.
class ChunkEditor {
public:
  explicit ChunkEditor(const ChunkTable &table) : Base(table) {}

  const ServiceSpec *service(std::string_view name) {
    return find(chunk(slotOf(ItemKind::Service, name)).Services, name);
  }
  const RouteSpec *route(std::string_view name) {
    return find(chunk(slotOf(ItemKind::Route, name)).Routes, name);
  }
  const WorkspaceSpec *workspace(std::string_view name) {
    return find(chunk(slotOf(ItemKind::Workspace, name)).Workspaces, name);
  }

  template <typename Spec> void put(ItemKind kind, const Spec &spec) {
    putEntry(edit(slotOf(kind, spec.Name)), spec);
  }
  void drop(ItemKind kind, std::string_view name) {
    dropEntry(edit(slotOf(kind, name)), kind, name);
  }

  /// \returns true if \p matches holds for any route.
  template <typename Matches> bool anyRoute(Matches matches) {
    return anyChunk([&](const CatalogChunk &it) {
      return std::any_of(it.Routes.begin(), it.Routes.end(), matches);
    });
  }

  /// \returns true if any workspace has a key with the digest \p key.
  bool digestInUse(const Digest &key) {
    auto hasDigest = [&](const WorkspaceSpec &it) {
      return std::any_of(
          it.Keys.begin(), it.Keys.end(),
          [&](const KeySpec &ownKey) { return ownKey.Value == key; });
    };
    return anyChunk([&](const CatalogChunk &it) {
      return std::any_of(it.Workspaces.begin(), it.Workspaces.end(), hasDigest);
    });
  }

  ChunkEdits takeEdits() { return std::move(Edits); }

  std::vector<AuditItem> Items;

private:
  template <typename Spec>
  static const Spec *find(const std::vector<Spec> &entries,
                          std::string_view name) {
    auto it = std::lower_bound(
        entries.begin(), entries.end(), name,
        [](const Spec &entry, std::string_view n) { return entry.Name < n; });
    return it != entries.end() && it->Name == name ? &*it : nullptr;
  }

  const CatalogChunk &chunk(uint32_t slot) const {
    auto it = Edits.find(slot);
    return it == Edits.end() ? Base.Slots[slot] : it->second;
  }

  template <typename Matches> bool anyChunk(Matches matches) {
    for (uint32_t slot = 0; slot < ChunkSlots; ++slot)
      if (matches(chunk(slot)))
        return true;
    return false;
  }

  CatalogChunk &edit(uint32_t slot) {
    return Edits.try_emplace(slot, Base.Slots[slot]).first->second;
  }

  const ChunkTable &Base;
  ChunkEdits Edits;
};

ChangeFailure failure(ChangeFault fault, ItemKind kind, std::string_view name,
                      std::string_view owner = {}) {
  return {fault, {kind, std::string(owner), std::string(name)}};
}

template <typename Spec>
auto findByName(std::vector<Spec> &items, std::string_view name) {
  return std::find_if(items.begin(), items.end(),
                      [&](const Spec &it) { return it.Name == name; });
}

/// Applies one command; one overload per command type.
class CommandApplier {
public:
  explicit CommandApplier(ChunkEditor &editor) : Chunks(editor) {}

  OptionalFailure operator()(const CreateService &it) {
    if (Chunks.service(it.Spec.Name))
      return failure(ChangeFault::ItemExists, ItemKind::Service, it.Spec.Name);
    return putService(nullptr, it.Spec);
  }

  OptionalFailure operator()(const SetFloor &it) {
    const ServiceSpec *old = Chunks.service(it.Service);
    if (!old)
      return failure(ChangeFault::ItemUnknown, ItemKind::Service, it.Service);
    ServiceSpec next = *old;
    next.FloorPercent = it.FloorPercent;
    return putService(old, next);
  }

  OptionalFailure operator()(const DeleteService &it) {
    const ServiceSpec *old = Chunks.service(it.Name);
    if (!old)
      return failure(ChangeFault::ItemUnknown, ItemKind::Service, it.Name);
    if (Chunks.anyRoute(
            [&](const RouteSpec &route) { return route.Service == it.Name; }))
      return failure(ChangeFault::ItemInUse, ItemKind::Service, it.Name);
    addAuditItem(ItemKind::Service, {}, it.Name, describeItem(*old), {});
    Chunks.drop(ItemKind::Service, it.Name);
    return {};
  }

  OptionalFailure operator()(const PutInstance &it) {
    const ServiceSpec *old = Chunks.service(it.Service);
    if (!old)
      return failure(ChangeFault::ReferenceUnknown, ItemKind::Service,
                     it.Service);
    if (!validName(it.Spec.Name) || it.Spec.Port == 0 ||
        it.Spec.Port > MaxPort || it.Spec.Slots == 0)
      return failure(ChangeFault::ValueOutOfRange, ItemKind::Instance,
                     it.Spec.Name, it.Service);
    ServiceSpec next = *old;
    auto at = findByName(next.Instances, it.Spec.Name);
    std::string before;
    if (at != next.Instances.end()) {
      before = describeItem(*at);
      *at = it.Spec;
    } else {
      next.Instances.push_back(it.Spec);
    }
    addAuditItem(ItemKind::Instance, it.Service, it.Spec.Name,
                 std::move(before), describeItem(it.Spec));
    Chunks.put(ItemKind::Service, next);
    return {};
  }

  OptionalFailure operator()(const DeleteInstance &it) {
    const ServiceSpec *old = Chunks.service(it.Service);
    ServiceSpec next = old ? *old : ServiceSpec{};
    auto at = findByName(next.Instances, it.Name);
    if (at == next.Instances.end())
      return failure(ChangeFault::ItemUnknown, ItemKind::Instance, it.Name,
                     it.Service);
    addAuditItem(ItemKind::Instance, it.Service, it.Name, describeItem(*at),
                 {});
    next.Instances.erase(at);
    Chunks.put(ItemKind::Service, next);
    return {};
  }

  OptionalFailure operator()(const CreateRoute &it) {
    if (Chunks.route(it.Spec.Name))
      return failure(ChangeFault::ItemExists, ItemKind::Route, it.Spec.Name);
    return putRoute(nullptr, it.Spec);
  }

  OptionalFailure operator()(const AlterRoute &it) {
    const RouteSpec *old = Chunks.route(it.Spec.Name);
    if (!old)
      return failure(ChangeFault::ItemUnknown, ItemKind::Route, it.Spec.Name);
    return putRoute(old, it.Spec);
  }

  OptionalFailure operator()(const DeleteRoute &it) {
    const RouteSpec *old = Chunks.route(it.Name);
    if (!old)
      return failure(ChangeFault::ItemUnknown, ItemKind::Route, it.Name);
    addAuditItem(ItemKind::Route, {}, it.Name, describeItem(*old), {});
    Chunks.drop(ItemKind::Route, it.Name);
    return {};
  }

  OptionalFailure operator()(const CreateWorkspace &it) {
    if (Chunks.workspace(it.Spec.Name))
      return failure(ChangeFault::ItemExists, ItemKind::Workspace,
                     it.Spec.Name);
    for (const KeySpec &key : it.Spec.Keys)
      if (Chunks.digestInUse(key.Value))
        return failure(ChangeFault::DigestInUse, ItemKind::Key, key.Id,
                       it.Spec.Name);
    return putWorkspace(nullptr, it.Spec);
  }

  OptionalFailure operator()(const SetRate &it) {
    const WorkspaceSpec *old = Chunks.workspace(it.Workspace);
    if (!old)
      return failure(ChangeFault::ItemUnknown, ItemKind::Workspace,
                     it.Workspace);
    WorkspaceSpec next = *old;
    next.Weight = it.Weight;
    next.RatePerSecond = it.RatePerSecond;
    next.Burst = it.Burst;
    return putWorkspace(old, next);
  }

  OptionalFailure operator()(const DeleteWorkspace &it) {
    const WorkspaceSpec *old = Chunks.workspace(it.Name);
    if (!old)
      return failure(ChangeFault::ItemUnknown, ItemKind::Workspace, it.Name);
    auto listsWorkspace = [&](const RouteSpec &route) {
      const auto &list = route.Workspaces;
      return std::find(list.begin(), list.end(), it.Name) != list.end();
    };
    if (Chunks.anyRoute(listsWorkspace))
      return failure(ChangeFault::ItemInUse, ItemKind::Workspace, it.Name);
    addAuditItem(ItemKind::Workspace, {}, it.Name, describeItem(*old), {});
    Chunks.drop(ItemKind::Workspace, it.Name);
    return {};
  }

  OptionalFailure operator()(const IssueKey &it) {
    const WorkspaceSpec *old = Chunks.workspace(it.Workspace);
    if (!old)
      return failure(ChangeFault::ReferenceUnknown, ItemKind::Workspace,
                     it.Workspace);
    WorkspaceSpec next = *old;
    if (findKey(next, it.Key.Id) != next.Keys.end())
      return failure(ChangeFault::ItemExists, ItemKind::Key, it.Key.Id,
                     it.Workspace);
    if (!it.Key.Value.present() || !validName(it.Key.Id))
      return failure(ChangeFault::ValueOutOfRange, ItemKind::Key, it.Key.Id,
                     it.Workspace);
    if (Chunks.digestInUse(it.Key.Value))
      return failure(ChangeFault::DigestInUse, ItemKind::Key, it.Key.Id,
                     it.Workspace);
    next.Keys.push_back(it.Key);
    addAuditItem(ItemKind::Key, it.Workspace, it.Key.Id, {}, "issued");
    Chunks.put(ItemKind::Workspace, next);
    return {};
  }

  OptionalFailure operator()(const WithdrawKey &it) {
    const WorkspaceSpec *old = Chunks.workspace(it.Workspace);
    WorkspaceSpec next = old ? *old : WorkspaceSpec{};
    auto at = findKey(next, it.KeyId);
    if (at == next.Keys.end())
      return failure(ChangeFault::ItemUnknown, ItemKind::Key, it.KeyId,
                     it.Workspace);
    next.Keys.erase(at);
    addAuditItem(ItemKind::Key, it.Workspace, it.KeyId, "issued", {});
    Chunks.put(ItemKind::Workspace, next);
    return {};
  }

private:
  static bool validName(std::string_view name) {
    return !name.empty() && name.size() <= MaxNameBytes;
  }

  static std::vector<KeySpec>::iterator findKey(WorkspaceSpec &spec,
                                                std::string_view id) {
    return std::find_if(spec.Keys.begin(), spec.Keys.end(),
                        [&](const KeySpec &it) { return it.Id == id; });
  }

  OptionalFailure putService(const ServiceSpec *old, const ServiceSpec &next) {
    if (!validName(next.Name) || next.FloorPercent > MaxFloorPercent)
      return failure(ChangeFault::ValueOutOfRange, ItemKind::Service,
                     next.Name);
    addAuditItem(ItemKind::Service, {}, next.Name,
                 old ? describeItem(*old) : std::string(), describeItem(next));
    Chunks.put(ItemKind::Service, next);
    return {};
  }

  OptionalFailure putRoute(const RouteSpec *old, const RouteSpec &next) {
    if (!validName(next.Name) || !next.Prefix.starts_with('/') ||
        next.Timeout <= Duration::zero())
      return failure(ChangeFault::ValueOutOfRange, ItemKind::Route, next.Name);
    if (!Chunks.service(next.Service))
      return failure(ChangeFault::ReferenceUnknown, ItemKind::Service,
                     next.Service);
    for (const std::string &it : next.Workspaces)
      if (!Chunks.workspace(it))
        return failure(ChangeFault::ReferenceUnknown, ItemKind::Workspace, it);
    bool prefixInUse = Chunks.anyRoute([&](const RouteSpec &it) {
      return it.Prefix == next.Prefix && it.Name != next.Name;
    });
    if (prefixInUse)
      return failure(ChangeFault::ItemExists, ItemKind::Route, next.Prefix);
    addAuditItem(ItemKind::Route, {}, next.Name,
                 old ? describeItem(*old) : std::string(), describeItem(next));
    Chunks.put(ItemKind::Route, next);
    return {};
  }

  OptionalFailure putWorkspace(const WorkspaceSpec *old,
                               const WorkspaceSpec &next) {
    if (!validName(next.Name) || next.Weight == 0)
      return failure(ChangeFault::ValueOutOfRange, ItemKind::Workspace,
                     next.Name);
    addAuditItem(ItemKind::Workspace, {}, next.Name,
                 old ? describeItem(*old) : std::string(), describeItem(next));
    Chunks.put(ItemKind::Workspace, next);
    return {};
  }

  void addAuditItem(ItemKind kind, std::string_view owner,
                    std::string_view name, std::string before,
                    std::string after) {
    Chunks.Items.push_back({{kind, std::string(owner), std::string(name)},
                            std::move(before),
                            std::move(after)});
  }

  ChunkEditor &Chunks;
};

uint64_t itemHash(const ItemName &item) {
  uint64_t hash = XXH3_64bits_withSeed(item.Owner.data(), item.Owner.size(),
                                       static_cast<uint64_t>(item.Kind));
  return XXH3_64bits_withSeed(item.Name.data(), item.Name.size(), hash);
}

/// Maps a command to the item that it modifies.
struct CommandItem {
  ItemName operator()(const CreateService &it) const {
    return {ItemKind::Service, {}, it.Spec.Name};
  }
  ItemName operator()(const SetFloor &it) const {
    return {ItemKind::Service, {}, it.Service};
  }
  ItemName operator()(const DeleteService &it) const {
    return {ItemKind::Service, {}, it.Name};
  }
  ItemName operator()(const PutInstance &it) const {
    return {ItemKind::Instance, it.Service, it.Spec.Name};
  }
  ItemName operator()(const DeleteInstance &it) const {
    return {ItemKind::Instance, it.Service, it.Name};
  }
  ItemName operator()(const CreateRoute &it) const {
    return {ItemKind::Route, {}, it.Spec.Name};
  }
  ItemName operator()(const AlterRoute &it) const {
    return {ItemKind::Route, {}, it.Spec.Name};
  }
  ItemName operator()(const DeleteRoute &it) const {
    return {ItemKind::Route, {}, it.Name};
  }
  ItemName operator()(const CreateWorkspace &it) const {
    return {ItemKind::Workspace, {}, it.Spec.Name};
  }
  ItemName operator()(const SetRate &it) const {
    return {ItemKind::Workspace, {}, it.Workspace};
  }
  ItemName operator()(const DeleteWorkspace &it) const {
    return {ItemKind::Workspace, {}, it.Name};
  }
  ItemName operator()(const IssueKey &it) const {
    return {ItemKind::Key, it.Workspace, it.Key.Id};
  }
  ItemName operator()(const WithdrawKey &it) const {
    return {ItemKind::Key, it.Workspace, it.KeyId};
  }
};

} // namespace

std::string_view changeFaultName(ChangeFault fault) {
  return FaultNames[static_cast<size_t>(fault)];
}

ChangeResult<ChangeEffects> editChunks(const ChunkTable &table,
                                       const Change &change) {
  if (change.Commands.empty() || change.Id.empty() ||
      change.Id.size() > MaxNameBytes || change.Author.size() > MaxNameBytes)
    return ChangeFailure{ChangeFault::Empty, {}};
  ChunkEditor editor(table);
  CommandApplier apply(editor);
  for (const Command &command : change.Commands)
    if (OptionalFailure fault = std::visit(apply, command))
      return *fault;
  ChangeEffects effects{editor.takeEdits(), std::move(editor.Items)};
  for (const auto &[slot, chunk] : effects.Edits)
    if (chunkBytes(chunk) > MaxChunkBytes)
      return ChangeFailure{ChangeFault::TooLarge, effects.Items.front().Item};
  return effects;
}

std::vector<uint64_t> touchedItems(const Change &change) {
  std::vector<uint64_t> items;
  for (const Command &command : change.Commands)
    items.push_back(itemHash(std::visit(CommandItem{}, command)));
  std::sort(items.begin(), items.end());
  items.erase(std::unique(items.begin(), items.end()), items.end());
  return items;
}

bool sharesItem(std::span<const uint64_t> left,
                std::span<const uint64_t> right) {
  return std::any_of(left.begin(), left.end(), [&](uint64_t it) {
    return std::binary_search(right.begin(), right.end(), it);
  });
}

ChangeResult<CatalogSpec> applyChange(const CatalogSpec &catalog,
                                      const Change &change) {
  ChunkTable table = splitCatalog(catalog);
  auto effects = editChunks(table, change);
  if (!effects)
    return effects.error();
  for (auto &[slot, chunk] : effects.value().Edits)
    table.Slots[slot] = std::move(chunk);
  return joinCatalog(table, catalog.Version + 1);
}

} // namespace guavasail
