#include "config_keeper.h"

#include <algorithm>
#include <cstring>
#include <utility>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace guavasail {

namespace {

constexpr size_t MaxRecentDeltas = 32;

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
  for (const InstancePut &it : patch.PutInstances)
    slots.push_back(slotOf(ItemKind::Service, it.Service));
  for (const InstanceDrop &it : patch.DropInstances)
    slots.push_back(slotOf(ItemKind::Service, it.Service));
  std::sort(slots.begin(), slots.end());
  slots.erase(std::unique(slots.begin(), slots.end()), slots.end());
  return slots;
}

void advanceHead(ConfigHead &head, const RecentChange &change) {
  head.Version = change.Version;
  head.Recent.push_back(change);
  if (head.Recent.size() > MaxRecentChanges)
    head.Recent.erase(head.Recent.begin());
}

ConfigKeeper::ConfigKeeper() { Head.Chunks.resize(ChunkSlots); }

/// \returns true if \p change, read from a restored store, would bring back an
/// older configuration of the operator. Before the first restoration versions
/// are in the order of the configurations.
bool ConfigKeeper::reverts(uint64_t version, const RecentChange &change) const {
  if (storeEra(version) == 0)
    return false;
  auto isNewer = [&](const ConfigHead &known) {
    return !known.Recent.empty() &&
           known.Recent.back().ConfigVersion > change.ConfigVersion;
  };
  return isNewer(Head) || isNewer(Pending);
}

bool ConfigKeeper::offerHead(const ConfigHead &head) {
  bool newer = head.Version > std::max(Head.Version, Pending.Version);
  if (!newer || head.Chunks.size() != ChunkSlots)
    return false;
  if (!head.Recent.empty() && reverts(head.Version, head.Recent.back()))
    return false;
  Pending = head;
  std::erase_if(ReceivedChunks, [&](const auto &it) {
    return chunkDigest(it.second) != Pending.Chunks[it.first];
  });
  if (!missingSlot())
    adoptPending();
  return gathering();
}

std::optional<uint32_t> ConfigKeeper::missingSlot(uint32_t from) const {
  if (!gathering())
    return std::nullopt;
  for (uint32_t slot = from; slot < ChunkSlots; ++slot) {
    bool differs = Pending.Chunks[slot] != Head.Chunks[slot];
    if (differs && Pending.Chunks[slot].present() &&
        !ReceivedChunks.contains(slot))
      return slot;
  }
  return std::nullopt;
}

bool ConfigKeeper::provideChunk(uint32_t slot, CatalogChunk chunk) {
  if (!gathering() || slot >= ChunkSlots ||
      chunkDigest(chunk) != Pending.Chunks[slot])
    return false;
  ReceivedChunks.insert_or_assign(slot, std::move(chunk));
  if (!missingSlot())
    adoptPending();
  return true;
}

void ConfigKeeper::adoptPending() {
  ChunkEdits edits;
  for (uint32_t slot = 0; slot < ChunkSlots; ++slot) {
    if (Pending.Chunks[slot] == Head.Chunks[slot])
      continue;
    auto it = ReceivedChunks.find(slot);
    edits.emplace(slot, it == ReceivedChunks.end() ? CatalogChunk{}
                                                   : std::move(it->second));
  }
  ReceivedChunks.clear();
  ConfigHead head = std::move(Pending);
  Pending = {};
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
  AdoptedPatches.push_back(delta.Patch);
  if (Pending.Version <= Head.Version) {
    Pending = {};
    ReceivedChunks.clear();
  }
  // A head that lists only its own change comes from a source without a
  // history, where version numbers may have gaps.
  bool singleChange = !Head.Recent.empty() && (Head.Version == delta.From + 1 ||
                                               Head.Recent.size() == 1);
  if (!singleChange)
    return RecentDeltas.clear();
  delta.Change = Head.Recent.back();
  RecentDeltas.push_back(std::move(delta));
  if (RecentDeltas.size() > MaxRecentDeltas)
    RecentDeltas.pop_front();
}

DeltaResult ConfigKeeper::apply(const ConfigDelta &delta) {
  if (delta.Change.Version <= Head.Version)
    return DeltaResult::Outdated;
  if (delta.From != Head.Version)
    return DeltaResult::VersionGap;
  if (reverts(delta.Change.Version, delta.Change))
    return DeltaResult::Outdated;
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
    return DeltaResult::DigestMismatch;
  adopt(head, edits);
  return DeltaResult::Adopted;
}

std::vector<const ConfigDelta *>
ConfigKeeper::deltasSince(uint64_t version) const {
  std::vector<const ConfigDelta *> deltas;
  // A VM that read the store at another time may have a version between two
  // deltas of this list, to which none of them applies.
  auto it = std::find_if(
      RecentDeltas.begin(), RecentDeltas.end(),
      [&](const ConfigDelta &delta) { return delta.From == version; });
  for (; it != RecentDeltas.end(); ++it)
    deltas.push_back(&*it);
  return deltas;
}

std::vector<CatalogPatch> ConfigKeeper::takeAdoptedPatches() {
  return std::exchange(AdoptedPatches, {});
}

} // namespace guavasail
