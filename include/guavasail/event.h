/// \file
/// Events: everything that the reducer learns. Views in an event are valid for
/// the duration of the call that reduces it.
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

/// What a method promises about repetition.
enum class Repeatability : uint8_t { Idempotent, AtMostOnce };

/// A catalog became valid on this VM. The reducer copies it.
struct CatalogAccepted {
  const CatalogSpec *Catalog = nullptr;
};

/// Holders of records are known, one assignment for each partition.
struct RecordsAssigned {
  std::span<const RecordAssignment> Partitions;
};

/// The head of a caller's request was read.
struct RequestArrived {
  RequestHandle Request;
  std::string_view Path;
  /// Host that the request names, without its port, in lower case.
  std::string_view Host;
  /// The caller's name for the request; empty if it gave none.
  std::string_view Name;
  Repeatability Repeat = Repeatability::AtMostOnce;
  /// Digest of the caller's key, absent if none came.
  Digest Key;
  /// Digest of the caller's idempotency key, absent if none came.
  Digest IdempotencyKey;
  /// Hash of the method, path and body; 0 if it is not known.
  uint64_t Fingerprint = 0;
  /// Declared body length in bytes.
  uint64_t BodyBytes = 0;
  /// Time the caller allows; zero if it set none.
  Duration Allowed{};
};

/// The caller went away before its answer was complete.
struct CallerGone {
  RequestHandle Request;
};

/// What a backend server reports about itself; it may be late or wrong.
struct LoadReport {
  bool Present = false;
  uint32_t SlotsInUse = 0;
  /// Requests that wait for a slot.
  uint32_t Waiting = 0;
  bool Leaving = false;
};

/// The head of an answer arrived from a backend server.
struct AttemptAnswered {
  AttemptHandle Attempt;
  uint32_t Status = 0;
  /// The instance refused the request before running it (load shedding).
  bool Shed = false;
  /// The address belongs to another instance, which did not run the request.
  bool Misdirected = false;
  Duration RetryAfter{};
  LoadReport Load;
};

/// The whole answer arrived.
struct AttemptCompleted {
  AttemptHandle Attempt;
  uint64_t BodyBytes = 0;
  /// The answer in the shell's encoding if it is short enough to be kept for a
  /// repeated request, empty otherwise.
  std::string_view Answer;
};

/// Why an attempt ended without a whole answer.
enum class AttemptFault : uint8_t {
  ConnectFailed,
  ConnectTimedOut,
  Reset,
  Truncated,
  MalformedAnswer,
};

/// An attempt ended without a whole answer.
struct AttemptFailed {
  AttemptHandle Attempt;
  AttemptFault Fault = AttemptFault::Reset;
  /// True unless it is certain that no byte of the request was sent.
  bool MayHaveRun = true;
};

/// The connection of an attempt can carry another request. Reported once for
/// each started attempt, after its last other event.
struct LaneFreed {
  InstanceHandle Instance;
  Lane Connection;
};

/// A message came from another daemon.
struct PeerArrived {
  VmHandle From;
  PeerBody Body;
};

/// The platform's list of VMs was read. It may lag behind.
struct VmListRead {
  std::span<const VmSpec> Vms;
};

/// The store answered a `CallShareStore`.
struct ShareReplied {
  ShareReply Reply;
};

/// An operator proposes a change. It ends with one `ChangeConcluded`.
struct ChangeProposed {
  const Change *Proposal = nullptr;
};

/// An operator asks for the newest audit records. It ends with one
/// `AuditAnswered`.
struct AuditAsked {
  uint32_t Count = 0;
};

/// The limits of this VM were set anew while it runs.
struct LimitsChanged {
  Limits Bounds;
};

/// Time passed; due timers fire.
struct TimeAdvanced {};

/// The operator or the platform asked this VM to stop.
struct DrainRequested {};

using EventBody =
    std::variant<CatalogAccepted, RecordsAssigned, RequestArrived, CallerGone,
                 AttemptAnswered, AttemptCompleted, AttemptFailed, LaneFreed,
                 PeerArrived, ShareReplied, TimeAdvanced, DrainRequested,
                 VmListRead, StoreReplied, ChangeProposed, AuditAsked,
                 PresenceReplied, LimitsChanged>;

/// One input of the reducer.
struct Event {
  Instant Now;
  EventBody Body;
};

} // namespace guavasail

#endif
