/// \file
/// Changes of the configuration: commands, their failures and outcomes.
#ifndef GUAVASAIL_CONFIG_CHANGE_H
#define GUAVASAIL_CONFIG_CHANGE_H

#include "guavasail/catalog.h"

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavasail {

/// Kinds of configuration items.
enum class ItemKind : uint8_t { Service, Instance, Route, Workspace, Key };

/// Identifies one item. For an instance or key, `Owner` is the service or
/// workspace that contains it; otherwise `Owner` is empty.
struct ItemName {
  ItemKind Kind = ItemKind::Service;
  std::string Owner;
  std::string Name;

  friend bool operator==(const ItemName &, const ItemName &) = default;
};

/// Adds a service, with its instances.
struct CreateService {
  ServiceSpec Spec;
};

/// Sets the share of instances of a service that ejection leaves in use.
struct SetFloor {
  std::string Service;
  uint32_t FloorPercent = 0;
};

/// Removes a service that no route uses.
struct DeleteService {
  std::string Name;
};

/// Adds an instance to a service, or replaces it.
struct PutInstance {
  std::string Service;
  InstanceSpec Spec;
};

/// Removes an instance from a service.
struct DeleteInstance {
  std::string Service;
  std::string Name;
};

/// Adds a route.
struct CreateRoute {
  RouteSpec Spec;
};

/// Replaces a route.
struct AlterRoute {
  RouteSpec Spec;
};

/// Removes a route.
struct DeleteRoute {
  std::string Name;
};

/// Adds a workspace.
struct CreateWorkspace {
  WorkspaceSpec Spec;
};

/// Sets the weight, rate and burst of a workspace.
struct SetRate {
  std::string Workspace;
  uint32_t Weight = 1;
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
};

/// Removes a workspace that no route refers to, with its keys.
struct DeleteWorkspace {
  std::string Name;
};

/// Adds an API key, known by its digest, to a workspace.
struct IssueKey {
  std::string Workspace;
  KeySpec Key;
};

/// Revokes an API key of a workspace.
struct WithdrawKey {
  std::string Workspace;
  std::string KeyId;
};

using Command = std::variant<CreateService, SetFloor, DeleteService,
                             PutInstance, DeleteInstance, CreateRoute,
                             AlterRoute, DeleteRoute, CreateWorkspace, SetRate,
                             DeleteWorkspace, IssueKey, WithdrawKey>;

/// Commands that are applied atomically.
struct Change {
  /// Unique among all changes. A change that is proposed again under the same
  /// id is applied only once.
  std::string Id;
  std::string Author;
  /// The version that the author based the change on; the change conflicts if
  /// it is not the newest one. Without it the change conflicts only with
  /// concurrent changes of the same items.
  std::optional<uint64_t> IfVersion;
  /// Wall-clock time of the proposal in milliseconds, for the audit trail only.
  uint64_t UnixMillis = 0;
  std::vector<Command> Commands;
};

/// Reasons for which a change is rejected.
enum class ChangeFault : uint8_t {
  Empty,
  ItemUnknown,
  ItemExists,
  ItemInUse,
  ReferenceUnknown,
  ValueOutOfRange,
  DigestInUse,
  TooLarge,
  WriterIsolated,
  StoreUnavailable,
  Busy,
};

/// The reason of a rejection and the item that caused it.
struct ChangeFailure {
  ChangeFault Fault = ChangeFault::Empty;
  ItemName Item;
};

/// A value, or the failure that prevents the change.
template <typename T>
using ChangeResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, ChangeFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// The change is committed to the store.
struct ChangeAccepted {
  std::string Id;
  uint64_t Version = 0;
  /// True if a majority of the VMs has the version in force; the time bound
  /// for withdrawn keys starts then. False if this was not observed in time.
  bool HeldByMajority = false;
};

/// A concurrent change was accepted first. Nothing was applied.
struct ChangeConflict {
  std::string Id;
  std::string OtherId;
  std::string OtherAuthor;
};

/// The change cannot be applied. Nothing was applied.
struct ChangeRejected {
  std::string Id;
  ChangeFailure Failure;
};

/// The store did not confirm in time whether the change was applied. Proposing
/// it again under the same id gives the outcome.
struct ChangeOutcomeUnknown {
  std::string Id;
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict,
                                   ChangeRejected, ChangeOutcomeUnknown>;

/// \returns the stable name of \p fault.
std::string_view changeFaultName(ChangeFault fault);

/// Applies all commands of a change in order.
/// \param catalog the catalog before the change.
/// \param change the commands to apply; `IfVersion` is not checked.
/// \returns the catalog after the change, its version one higher, or the first
/// failure.
ChangeResult<CatalogSpec> applyChange(const CatalogSpec &catalog,
                                      const Change &change);

} // namespace guavasail

#endif
