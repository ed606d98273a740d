/// \file
/// Applies the commands of a change to the chunks that they touch.
#ifndef GUAVASAIL_SRC_CONFIG_APPLY_H
#define GUAVASAIL_SRC_CONFIG_APPLY_H

#include "config_chunks.h"
#include "guavasail/config_change.h"

#include <map>
#include <span>

namespace guavasail {

/// Chunks after a change, by slot; untouched slots are left out.
using ChunkEdits = std::map<uint32_t, CatalogChunk>;

/// What a change does.
struct ChangeEffects {
  ChunkEdits Edits;
  /// What changed, for the audit trail.
  std::vector<AuditItem> Items;
};

/// Applies all commands of \p change to a copy of the chunks that they touch.
ChangeResult<ChangeEffects> editChunks(const ChunkTable &table,
                                       const Change &change);

/// \returns hashes of the items that \p change touches, sorted. Two changes
/// conflict if they share one.
std::vector<uint64_t> touchedItems(const Change &change);

/// \returns true if two sorted lists share an entry.
bool sharesItem(std::span<const uint64_t> left,
                std::span<const uint64_t> right);

} // namespace guavasail

#endif
