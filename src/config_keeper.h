/// \file
/// The configuration in force and the one being gathered. It does no input or
/// output.
#ifndef GUAVASAIL_SRC_CONFIG_KEEPER_H
#define GUAVASAIL_SRC_CONFIG_KEEPER_H

#include "config_apply.h"
#include "config_chunks.h"
#include "guavasail/peer_message.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavasail {

/// Changes that a head remembers by id.
inline constexpr size_t RecentChanges = 64;

/// \returns a digest over the chunk digests of \p head.
Digest headDigest(const ConfigHead &head);

/// \returns the slots in which \p patch has entries, sorted.
std::vector<uint32_t> patchedSlots(const CatalogPatch &patch);

/// Appends \p change to the head's recent changes and takes its version.
void advanceHead(ConfigHead &head, const RecentChange &change);

/// What came of a delta.
enum class DeltaResult : uint8_t {
  Adopted,
  /// The version is in force already.
  Old,
  /// It does not start at the version in force.
  Gap,
  /// Applied, it does not give the announced digest; nothing was adopted.
  Mismatch,
};

/// Holds one version in force, gathers a newer one, and never goes back.
class ConfigKeeper {
public:
  ConfigKeeper();

  [[nodiscard]] const ConfigHead &head() const { return Head; }
  [[nodiscard]] const ChunkTable &table() const { return Table; }
  [[nodiscard]] uint64_t version() const { return Head.Version; }

  /// Starts to gather \p head if it is newer than all that is known.
  /// \returns true if chunks are missing for it.
  bool offer(const ConfigHead &head);

  /// \returns true while a newer version is being gathered.
  [[nodiscard]] bool gathering() const { return Next.Version > Head.Version; }
  [[nodiscard]] uint64_t nextVersion() const { return Next.Version; }

  /// \returns the next slot from \p from on whose chunk is missing.
  [[nodiscard]] std::optional<uint32_t> missingSlot(uint32_t from = 0) const;

  /// \returns the digest of the chunk wanted in \p slot.
  [[nodiscard]] const Digest &wanted(uint32_t slot) const {
    return Next.Chunks[slot];
  }

  /// Takes a chunk of the version being gathered, and adopts it if it was the
  /// last one.
  /// \returns false if its digest is not the one wanted.
  bool provide(uint32_t slot, CatalogChunk chunk);

  /// Applies a change to the version in force.
  DeltaResult apply(const ConfigDelta &delta);

  /// Adopts a version that this VM has written itself.
  void commit(const ConfigHead &head, const ChunkEdits &edits);

  /// \returns deltas that lead from \p version to the one in force, empty if
  /// they are not held any more.
  [[nodiscard]] std::vector<const ConfigDelta *>
  deltasSince(uint64_t version) const;

  /// \returns what was adopted since the last call, for the index.
  std::vector<CatalogPatch> takeAdopted();

private:
  void adopt(const ConfigHead &head, const ChunkEdits &edits);
  void adoptGathered();

  ConfigHead Head;
  ChunkTable Table;
  ConfigHead Next;
  ChunkEdits Gathered;
  std::deque<ConfigDelta> Log;
  std::vector<CatalogPatch> Adopted;
};

} // namespace guavasail

#endif
