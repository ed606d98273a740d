#include "config_keeper.h"

#include <algorithm>
#include <cstring>
#include <utility>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace guavasail {

namespace {

constexpr size_t LoggedDeltas = 32;

} // namespace

Digest headDigest(const ConfigHead &head) {
  XXH128_hash_t hash =
      XXH3_128bits(head.Chunks.data(), head.Chunks.size() * sizeof(Digest));
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  Digest digest;
  std::memcpy(digest.Bytes.data(), bytes.digest, digest.Bytes.size());
  return digest;
}

std::vector<uint32_t> patchedSlots(const CatalogPatch &patch) {
  std::vector<uint32_t> slots;
  auto addNames = [&](ItemKind kind, const std::vector<std::string> &names) {
    for (const std::string &it : names)
      slots.push_back(slotOf(kind, it));
  };
  auto addEntries = [&](ItemKind kind, const auto &entries) {
    for (const auto &it : entries)
      slots.push_back(slotOf(kind, it.Name));
  };
  addNames(ItemKind::Service, patch.DropServices);
  addNames(ItemKind::Route, patch.DropRoutes);
  addNames(ItemKind::Workspace, patch.DropWorkspaces);
  addEntries(ItemKind::Service, patch.Put.Services);
  addEntries(ItemKind::Route, patch.Put.Routes);
  addEntries(ItemKind::Workspace, patch.Put.Workspaces);
  std::sort(slots.begin(), slots.end());
  slots.erase(std::unique(slots.begin(), slots.end()), slots.end());
  return slots;
}

void advanceHead(ConfigHead &head, const RecentChange &change) {
  head.Version = change.Version;
  head.Recent.push_back(change);
  if (head.Recent.size() > RecentChanges)
    head.Recent.erase(head.Recent.begin());
}

ConfigKeeper::ConfigKeeper() { Head.Chunks.resize(ChunkSlots); }

bool ConfigKeeper::offer(const ConfigHead &head) {
  bool newer = head.Version > std::max(Head.Version, Next.Version);
  if (!newer || head.Chunks.size() != ChunkSlots)
    return false;
  Next = head;
  std::erase_if(Gathered, [&](const auto &it) {
    return chunkDigest(it.second) != Next.Chunks[it.first];
  });
  if (!missingSlot())
    adoptGathered();
  return gathering();
}

std::optional<uint32_t> ConfigKeeper::missingSlot(uint32_t from) const {
  if (!gathering())
    return std::nullopt;
  for (uint32_t slot = from; slot < ChunkSlots; ++slot) {
    bool differs = Next.Chunks[slot] != Head.Chunks[slot];
    if (differs && Next.Chunks[slot].present() && !Gathered.contains(slot))
      return slot;
  }
  return std::nullopt;
}

bool ConfigKeeper::provide(uint32_t slot, CatalogChunk chunk) {
  if (!gathering() || slot >= ChunkSlots ||
      chunkDigest(chunk) != Next.Chunks[slot])
    return false;
  Gathered.insert_or_assign(slot, std::move(chunk));
  if (!missingSlot())
    adoptGathered();
  return true;
}

void ConfigKeeper::adoptGathered() {
  ChunkEdits edits;
  for (uint32_t slot = 0; slot < ChunkSlots; ++slot) {
    if (Next.Chunks[slot] == Head.Chunks[slot])
      continue;
    auto it = Gathered.find(slot);
    edits.emplace(slot, it == Gathered.end() ? CatalogChunk{}
                                             : std::move(it->second));
  }
  Gathered.clear();
  ConfigHead head = std::move(Next);
  Next = {};
  adopt(head, edits);
}

void ConfigKeeper::commit(const ConfigHead &head, const ChunkEdits &edits) {
  if (head.Version > Head.Version)
    adopt(head, edits);
}

void ConfigKeeper::adopt(const ConfigHead &head, const ChunkEdits &edits) {
  ConfigDelta delta;
  delta.From = Head.Version;
  for (const auto &[slot, chunk] : edits) {
    diffChunk(Table.Slots[slot], chunk, delta.Patch);
    Table.Slots[slot] = chunk;
  }
  Head = head;
  delta.Result = headDigest(Head);
  Adopted.push_back(delta.Patch);
  if (Next.Version <= Head.Version) {
    Next = {};
    Gathered.clear();
  }
  // A head that names its own change only comes from a source without a
  // history of changes, where versions may skip numbers.
  bool single = !Head.Recent.empty() &&
                (Head.Version == delta.From + 1 || Head.Recent.size() == 1);
  if (!single)
    return Log.clear();
  delta.Change = Head.Recent.back();
  Log.push_back(std::move(delta));
  if (Log.size() > LoggedDeltas)
    Log.pop_front();
}

DeltaResult ConfigKeeper::apply(const ConfigDelta &delta) {
  if (delta.Change.Version <= Head.Version)
    return DeltaResult::Old;
  if (delta.From != Head.Version)
    return DeltaResult::Gap;
  ChunkEdits edits;
  ConfigHead head = Head;
  advanceHead(head, delta.Change);
  for (uint32_t slot : patchedSlots(delta.Patch)) {
    CatalogChunk &chunk =
        edits.try_emplace(slot, Table.Slots[slot]).first->second;
    patchChunk(chunk, slot, delta.Patch);
    head.Chunks[slot] = chunkDigest(chunk);
  }
  if (headDigest(head) != delta.Result)
    return DeltaResult::Mismatch;
  adopt(head, edits);
  return DeltaResult::Adopted;
}

std::vector<const ConfigDelta *>
ConfigKeeper::deltasSince(uint64_t version) const {
  std::vector<const ConfigDelta *> deltas;
  // Whoever read the store at another moment holds a version that is not part
  // of this chain.
  auto it = std::find_if(Log.begin(), Log.end(), [&](const ConfigDelta &delta) {
    return delta.From == version;
  });
  for (; it != Log.end(); ++it)
    deltas.push_back(&*it);
  return deltas;
}

std::vector<CatalogPatch> ConfigKeeper::takeAdopted() {
  return std::exchange(Adopted, {});
}

} // namespace guavasail
