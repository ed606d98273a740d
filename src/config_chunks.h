/// \file
/// The catalog split into chunks: slots, digests, differences.
#ifndef GUAVASAIL_SRC_CONFIG_CHUNKS_H
#define GUAVASAIL_SRC_CONFIG_CHUNKS_H

#include "guavasail/catalog.h"
#include "guavasail/config_change.h"
#include "guavasail/store.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// Number of slots by kind of item. With 27,000 workspaces, 1,600 routes and
/// 5,900 instances a chunk has about 20 KB.
inline constexpr uint32_t ServiceSlots = 32;
inline constexpr uint32_t RouteSlots = 16;
inline constexpr uint32_t WorkspaceSlots = 128;
inline constexpr uint32_t ChunkSlots =
    ServiceSlots + RouteSlots + WorkspaceSlots;

/// Size limit of a chunk, as estimated by `chunkBytes`. The store accepts
/// values up to 1 MB.
inline constexpr size_t MaxChunkBytes = 512 * 1024;

/// \returns the slot of a service, route or workspace.
uint32_t slotOf(ItemKind kind, std::string_view name);

/// \returns the digest of all fields of \p chunk; absent for an empty one.
Digest chunkDigest(const CatalogChunk &chunk);

/// \returns an upper estimate of the encoded size of \p chunk in bytes.
size_t chunkBytes(const CatalogChunk &chunk);

/// \returns an upper estimate of the encoded size of \p patch in bytes.
size_t patchBytes(const CatalogPatch &patch);

/// \returns the number of entries of \p chunk.
size_t chunkEntries(const CatalogChunk &chunk);

/// Copies entries of a chunk, in the order services, routes, workspaces.
/// \param chunk the chunk to copy from.
/// \param offset index of the first entry.
/// \param limit bytes by `chunkBytes`; at least one entry is copied.
CatalogChunk sliceChunk(const CatalogChunk &chunk, size_t offset, size_t limit);

/// Appends the entries of \p more to \p chunk.
void appendChunk(CatalogChunk &chunk, const CatalogChunk &more);

/// Adds the difference between \p before and \p after to \p patch.
void diffChunk(const CatalogChunk &before, const CatalogChunk &after,
               CatalogPatch &patch);

/// The whole catalog, one chunk per slot.
struct ChunkTable {
  std::vector<CatalogChunk> Slots = std::vector<CatalogChunk>(ChunkSlots);

  [[nodiscard]] const ServiceSpec *service(std::string_view name) const;
  [[nodiscard]] const RouteSpec *route(std::string_view name) const;
  [[nodiscard]] const WorkspaceSpec *workspace(std::string_view name) const;
};

/// \returns \p catalog split into chunks.
ChunkTable splitCatalog(const CatalogSpec &catalog);

/// \returns the catalog made of all chunks, with \p version.
CatalogSpec joinCatalog(const ChunkTable &table, uint64_t version);

/// Insert, replace or remove an entry; the chunk stays ordered by name.
void putEntry(CatalogChunk &chunk, const ServiceSpec &spec);
void putEntry(CatalogChunk &chunk, const RouteSpec &spec);
void putEntry(CatalogChunk &chunk, const WorkspaceSpec &spec);
void dropEntry(CatalogChunk &chunk, ItemKind kind, std::string_view name);

/// Applies the entries of \p patch that belong to \p slot.
void patchChunk(CatalogChunk &chunk, uint32_t slot, const CatalogPatch &patch);

} // namespace guavasail

#endif
