/// \file
/// The configuration in force and a newer version that is being fetched. Does
/// no I/O.
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

/// Number of accepted changes listed in a head.
inline constexpr size_t MaxRecentChanges = 64;

/// \returns a digest over the chunk digests of \p head.
Digest headDigest(const ConfigHead &head);

/// \returns the sorted slots in which \p patch has entries.
std::vector<uint32_t> patchedSlots(const CatalogPatch &patch);

/// Appends \p change to the recent changes of \p head and sets its version.
void advanceHead(ConfigHead &head, const RecentChange &change);

/// Result of applying a delta.
enum class DeltaResult : uint8_t {
  Adopted,
  /// The version, or a newer one, is already in force.
  Outdated,
  /// The delta does not start at the version in force.
  VersionGap,
  /// The result does not have the announced digest; nothing was adopted.
  DigestMismatch,
};

/// Holds the version in force and collects the chunks of a newer one. The
/// version in force never decreases.
class ConfigKeeper {
public:
  ConfigKeeper();

  [[nodiscard]] const ConfigHead &head() const { return Head; }
  [[nodiscard]] const ChunkTable &table() const { return Table; }
  [[nodiscard]] uint64_t version() const { return Head.Version; }

  /// Starts to collect \p head if it is newer than all known versions. A head
  /// read from a restored store is refused if its configuration is older than
  /// the one in force.
  /// \returns true if chunks are missing for it.
  bool offerHead(const ConfigHead &head);

  /// \returns true while chunks of a newer version are being collected.
  [[nodiscard]] bool gathering() const {
    return Pending.Version > Head.Version;
  }
  [[nodiscard]] uint64_t pendingVersion() const { return Pending.Version; }

  /// \returns the first slot not below \p from whose chunk is missing.
  [[nodiscard]] std::optional<uint32_t> missingSlot(uint32_t from = 0) const;

  /// \returns the digest of the chunk of the newer version in \p slot.
  [[nodiscard]] const Digest &wantedDigest(uint32_t slot) const {
    return Pending.Chunks[slot];
  }

  /// Adds a chunk of the newer version; the last missing chunk makes the
  /// version the one in force.
  /// \returns false if the digest does not match.
  bool provideChunk(uint32_t slot, CatalogChunk chunk);

  /// Applies a delta to the version in force.
  DeltaResult apply(const ConfigDelta &delta);

  /// Adopts a version that this VM wrote to the store itself.
  void commit(const ConfigHead &head, const ChunkEdits &edits);

  /// \returns the deltas from \p version to the one in force, empty if they are
  /// no longer kept.
  [[nodiscard]] std::vector<const ConfigDelta *>
  deltasSince(uint64_t version) const;

  /// \returns the patches adopted since the last call, for the index.
  std::vector<CatalogPatch> takeAdoptedPatches();

private:
  [[nodiscard]] bool reverts(uint64_t version,
                             const RecentChange &change) const;
  void adopt(const ConfigHead &head, const ChunkEdits &edits);
  void adoptPending();

  ConfigHead Head;
  ChunkTable Table;
  ConfigHead Pending;
  ChunkEdits ReceivedChunks;
  std::deque<ConfigDelta> RecentDeltas;
  std::vector<CatalogPatch> AdoptedPatches;
};

} // namespace guavasail

#endif
