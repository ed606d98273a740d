/// \file
/// Applies the commands of a change to the chunks that they modify.
#ifndef GUAVASAIL_SRC_CONFIG_APPLY_H
#define GUAVASAIL_SRC_CONFIG_APPLY_H

#include "config_chunks.h"
#include "guavasail/config_change.h"

#include <map>
#include <span>

namespace guavasail {

/// Modified chunks by slot.
using ChunkEdits = std::map<uint32_t, CatalogChunk>;

/// The effects of a change.
struct ChangeEffects {
  ChunkEdits Edits;
  /// Modified items, for the audit trail.
  std::vector<AuditItem> Items;
};

/// Applies all commands of \p change to copies of the chunks they modify.
ChangeResult<ChangeEffects> editChunks(const ChunkTable &table,
                                       const Change &change);

/// \returns the sorted hashes of the items that \p change modifies. Concurrent
/// changes conflict if they share one.
std::vector<uint64_t> touchedItems(const Change &change);

/// \returns true if two sorted lists share an entry.
bool sharesItem(std::span<const uint64_t> left,
                std::span<const uint64_t> right);

} // namespace guavasail

#endif
