/// \file
/// Events: all inputs of the reducer. Views in an event are valid for the
/// duration of the call that reduces it.
#ifndef GUAVASAIL_EVENT_H
#define GUAVASAIL_EVENT_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "guavasail/handle.h"
#include "guavasail/limits.h"
#include "guavasail/member.h"
#include "guavasail/ownership.h"
#include "guavasail/peer_message.h"
#include "guavasail/presence.h"
#include "guavasail/store.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace guavasail {

struct CatalogSpec;

/// Whether a request may run more than once.
enum class Repeatability : uint8_t { Idempotent, AtMostOnce };

/// A new catalog applies on this VM. The reducer copies it.
struct CatalogAccepted {
  const CatalogSpec *Catalog = nullptr;
};

/// The replicas of idempotency records, one assignment for each partition.
struct RecordsAssigned {
  std::span<const RecordAssignment> Partitions;
};

/// The head of a caller's request was read.
struct RequestArrived {
  RequestHandle Request;
  std::string_view Path;
  /// Host of the request without its port, in lower case.
  std::string_view Host;
  /// Request id set by the caller; empty if absent.
  std::string_view Name;
  Repeatability Repeat = Repeatability::AtMostOnce;
  /// Digest of the caller's key, absent if the request has none.
  Digest Key;
  /// Digest of the caller's idempotency key, absent if the request has none.
  Digest IdempotencyKey;
  /// Hash of the method, path and body; 0 if unknown.
  uint64_t Fingerprint = 0;
  /// Declared body length in bytes.
  uint64_t BodyBytes = 0;
  /// Timeout set by the caller; zero if absent.
  Duration CallerTimeout{};
};

/// The caller disconnected before its response was complete.
struct CallerDisconnected {
  RequestHandle Request;
};

/// Load that a backend server reports for itself; it may be stale or wrong.
struct LoadReport {
  bool Present = false;
  uint32_t SlotsInUse = 0;
  /// Requests queued for a slot.
  uint32_t Waiting = 0;
};

/// The head of a response was received from a backend server.
struct AttemptResponded {
  AttemptHandle Attempt;
  uint32_t Status = 0;
  /// The instance refused the request before running it (load shedding).
  bool Shed = false;
  /// Another instance uses the address now; it did not run the request.
  bool Misdirected = false;
  /// The instance announced its shutdown.
  bool Leaving = false;
  /// Time for which the instance wants no request from this VM; zero for none.
  Duration Backoff{};
  LoadReport Load;
};

/// The whole response was received.
struct AttemptCompleted {
  AttemptHandle Attempt;
  uint64_t BodyBytes = 0;
  /// The response in the front end's encoding if it is short enough to be
  /// stored for replay, empty otherwise.
  std::string_view Answer;
};

/// Why an attempt ended without a complete response.
enum class AttemptFault : uint8_t {
  ConnectFailed,
  ConnectTimedOut,
  Reset,
  Truncated,
  MalformedAnswer,
};

/// An attempt ended without a complete response.
struct AttemptFailed {
  AttemptHandle Attempt;
  AttemptFault Fault = AttemptFault::Reset;
  /// False only if it is certain that no byte of the request was sent.
  bool MayHaveRun = true;
  /// The instance announced its shutdown.
  bool Leaving = false;
};

/// The lane of an attempt can carry another request. Posted once for each
/// started attempt, after its last other event.
struct LaneFreed {
  InstanceHandle Instance;
  Lane Connection;
};

/// A message was received from another daemon.
struct PeerMessageReceived {
  VmHandle From;
  PeerBody Body;
};

/// The platform's list of VMs was read. It may be stale.
struct VmListRead {
  std::span<const VmSpec> Vms;
};

/// The store replied to a `CallShareStore`.
struct ShareReplied {
  ShareReply Reply;
};

/// An operator proposes a configuration change, which ends with one
/// `ChangeConcluded`.
struct ChangeProposed {
  const Change *Proposal = nullptr;
};

/// An operator requests the newest audit records, which are returned in one
/// `AuditReply`.
struct AuditRequested {
  uint32_t Count = 0;
};

/// The limits of this VM were reloaded.
struct LimitsChanged {
  Limits Bounds;
};

/// Fires the timers that are due.
struct TimeAdvanced {};

/// The operator or the platform requested a graceful shutdown of this VM.
struct DrainRequested {};

using EventBody =
    std::variant<CatalogAccepted, RecordsAssigned, RequestArrived,
                 CallerDisconnected, AttemptResponded, AttemptCompleted,
                 AttemptFailed, LaneFreed, PeerMessageReceived, ShareReplied,
                 TimeAdvanced, DrainRequested, VmListRead, StoreReplied,
                 ChangeProposed, AuditRequested, PresenceReplied,
                 LimitsChanged>;

/// One input of the reducer.
struct Event {
  Instant Now;
  EventBody Body;
};

} // namespace guavasail

#endif
