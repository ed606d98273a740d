/// \file
/// The platform's key-value store: values, requests as effects, replies as
/// events. The encoding is separate.
#ifndef GUAVASAIL_STORE_H
#define GUAVASAIL_STORE_H

#include "guavasail/catalog.h"
#include "guavasail/clock.h"
#include "guavasail/config_change.h"
#include "guavasail/digest.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavasail {

/// A store that was restored from an older copy gives out its revisions again.
/// The era, a count of these restorations, is the upper part of a version, so
/// that versions of a later era are greater than all before it.
inline constexpr uint32_t StoreEraShift = 48;
/// Greatest era that leaves versions in the range of signed numbers.
inline constexpr uint64_t MaxStoreEra = 0x7fff;

/// \returns the store's era at which \p version was read.
constexpr uint64_t storeEra(uint64_t version) {
  return version >> StoreEraShift;
}

/// A recently accepted change.
struct RecentChange {
  std::string Id;
  std::string Author;
  uint64_t Version = 0;
  uint64_t UnixMillis = 0;
  /// Hashes of the items that it modified.
  std::vector<uint64_t> Items;
  /// The operator's number of the configuration; 0 if unknown.
  uint64_t ConfigVersion = 0;

  friend bool operator==(const RecentChange &, const RecentChange &) = default;
};

/// The head of the configuration, updated by compare-and-swap.
struct ConfigHead {
  uint64_t Version = 0;
  /// Digest of the chunk in each slot; absent for an empty slot.
  std::vector<Digest> Chunks;
  /// Oldest first; the last one created this version.
  std::vector<RecentChange> Recent;

  friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

/// The part of the catalog in one slot, each list ordered by name. Chunks are
/// immutable in the store: the digest is the key.
struct CatalogChunk {
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<WorkspaceSpec> Workspaces;
};

/// An instance that a service gains, or whose entry changes.
struct InstancePut {
  std::string Service;
  InstanceSpec Spec;
};

/// An instance that a service loses.
struct InstanceDrop {
  std::string Service;
  std::string Name;
};

/// A difference between two catalogs. A service in `Put` comes with all of its
/// instances; the instances of other services change one by one.
struct CatalogPatch {
  CatalogChunk Put;
  std::vector<std::string> DropServices;
  std::vector<std::string> DropRoutes;
  std::vector<std::string> DropWorkspaces;
  std::vector<InstancePut> PutInstances;
  std::vector<InstanceDrop> DropInstances;
};

/// One item of an audit record. The texts contain key ids, never key digests.
struct AuditItem {
  ItemName Item;
  /// Empty if the item did not exist before.
  std::string Before;
  /// Empty if the item does not exist afterwards.
  std::string After;
};

/// The effects of one accepted change.
struct AuditRecord {
  uint64_t Version = 0;
  std::string ChangeId;
  std::string Author;
  uint64_t UnixMillis = 0;
  /// Id of the preceding change; empty for the first one.
  std::string PreviousId;
  std::vector<AuditItem> Items;
};

using StoreValue =
    std::variant<std::monostate, ConfigHead, CatalogChunk, AuditRecord>;

/// Parts of the store's key space.
enum class StoreSpace : uint8_t { Head, Chunk, Audit };

/// Identifies one key of the store.
struct StoreKey {
  StoreSpace Space = StoreSpace::Head;
  /// Digest of a chunk.
  Digest Chunk;
  /// Version and change id of an audit record.
  uint64_t Version = 0;
  std::string_view ChangeId;
};

/// The component that sent a request.
enum class StoreUser : uint8_t { Watch, Writer, Audit };

/// Correlates a reply with its request.
struct StoreTicket {
  StoreUser User = StoreUser::Watch;
  uint32_t Number = 0;

  friend constexpr auto operator<=>(const StoreTicket &,
                                    const StoreTicket &) = default;
};

/// Reads a key.
struct StoreRead {
  StoreTicket Ticket;
  StoreKey Key;
};

/// Writes a key if its revision is `Expected`; 0 stands for an absent key.
struct StoreWrite {
  StoreTicket Ticket;
  StoreKey Key;
  uint64_t Expected = 0;
  const StoreValue *Value = nullptr;
  /// The reply has to tell a `SnapshotRevision`, which may take one call more.
  bool Snapshot = false;
};

/// Reads a key once its revision exceeds `After`; ends after `Wait` otherwise.
struct StoreWatch {
  StoreTicket Ticket;
  StoreKey Key;
  uint64_t After = 0;
  Duration Wait{};
};

/// How a request to the store ended.
enum class StoreOutcome : uint8_t {
  Ok,
  /// The key does not exist.
  Missing,
  /// The revision was not the expected one; `Revision` is the actual one.
  Conflict,
  /// A watch ended without a change.
  Unchanged,
  /// The store refused the request or was unreachable; nothing was written.
  Unavailable,
  /// No reply; a write may have been executed or may still be.
  Lost,
  /// A slow read goes on. The reply tells what has been read of the operator's
  /// configuration; another reply follows.
  Partial,
};

/// A request to the store completed.
struct StoreReplied {
  StoreTicket Ticket;
  StoreOutcome Outcome = StoreOutcome::Lost;
  uint64_t Revision = 0;
  /// Set for a read or watch that ended with `Ok`.
  const StoreValue *Value = nullptr;
  /// Revision of the whole store at which the key was read; 0 if unknown.
  uint64_t StoreRevision = 0;
  /// False if the store was restored from an older copy and may lack changes
  /// that it had accepted: the reply confirms no version. A partial reply
  /// confirms the configuration of version `Revision`, not its instances.
  bool Confirms = true;
  /// When the bytes that show this were asked for, or the call that failed was
  /// sent. It may lie before the request, which joins a read in progress.
  Instant AskedAt = Instant::min();
  /// Revision of the store of which what was read is an exact copy; 0 if other
  /// keys may have changed meanwhile.
  uint64_t SnapshotRevision = 0;
};

} // namespace guavasail

#endif
