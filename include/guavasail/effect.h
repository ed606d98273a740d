/// \file
/// Effects: the actions that the reducer requests, as data. Views in an effect
/// are valid until the next event is reduced.
#ifndef GUAVASAIL_EFFECT_H
#define GUAVASAIL_EFFECT_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"
#include "guavasail/member.h"
#include "guavasail/ownership.h"
#include "guavasail/peer_message.h"
#include "guavasail/presence.h"
#include "guavasail/refusal.h"
#include "guavasail/store.h"

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace guavasail {

/// Send the request to an instance over a lane that carries no other request.
struct StartAttempt {
  AttemptHandle Attempt;
  InstanceHandle Instance;
  Lane Connection;
  /// Time until the request's deadline; forwarded to the backend server.
  Duration Remaining{};
  /// Name of the caller's workspace, empty if it has none.
  std::string_view Workspace{};
};

/// Cancel an attempt and discard what is still received for it.
struct CancelAttempt {
  AttemptHandle Attempt;
};

/// Stream the attempt's response to the caller, starting with its head.
struct RelayResponse {
  AttemptHandle Attempt;
};

/// End the response to the caller normally.
struct FinishResponse {
  RequestHandle Request;
};

/// End a started response so that the caller detects that it is incomplete.
struct AbortResponse {
  RequestHandle Request;
};

/// Answer the request with the stored response of its first run.
struct ReplayResponse {
  RequestHandle Request;
  std::string Answer;
};

/// Refuse the request. No part of a response was sent to the caller before.
struct RefuseRequest {
  RequestHandle Request;
  RefusalKind Kind = RefusalKind::NoInstance;
  /// Delay after which the caller may retry; zero if unknown.
  Duration RetryAfter{};
};

/// Send a message to another daemon. Delivery is not guaranteed.
struct SendPeer {
  VmHandle To;
  PeerBody Body;
};

/// Send the same message to several daemons. Delivery is not guaranteed.
struct SendPeers {
  std::vector<VmHandle> To;
  PeerBody Body;
};

/// The state of a VM, this one included, changed in this VM's member list.
struct MemberChanged {
  VmHandle Vm;
  VmState State = VmState::Unknown;
};

/// Claim, renew or release a rate share at the store. The reply may be lost.
struct CallShareStore {
  ShareCall Call;
};

/// A proposed configuration change has its outcome.
struct ChangeConcluded {
  ChangeOutcome Outcome;
};

/// Reply to `AuditRequested`, newest record first.
struct AuditReply {
  std::span<const AuditRecord> Records;
  /// False if the store did not return all requested records.
  bool Complete = false;
};

/// Kinds of decisions on a request.
enum class DecisionKind : uint8_t {
  /// An attempt starts.
  Placed,
  /// The request waits in its service's queue.
  Queued,
  /// An attempt ended without a response that can be relayed.
  Failed,
  /// Another attempt follows a failed one.
  Repeated,
  /// A response is unusually late; another instance is requested.
  Overdue,
  /// An owner did not reply in time.
  OwnerSilent,
  /// The request ended with an instance's response.
  Answered,
};

/// A decision on a request, for the log.
struct RequestDecision {
  DecisionKind Kind = DecisionKind::Placed;
  RequestHandle Request;
  ServiceHandle Service;
  InstanceHandle Instance;
  WorkspaceHandle Workspace;
  /// VM that made the decision, invalid for this one.
  VmHandle Vm;
  /// VM whose token admitted the request; invalid if it needed none.
  VmHandle RateOwner;
  /// This VM admitted the request by itself, since no owner replied.
  bool AdmittedLocally = false;
  uint32_t Attempt = 0;
  uint32_t Status = 0;
  AttemptOutcome Outcome = AttemptOutcome::Ok;
  /// Time since the request arrived.
  Duration Elapsed{};
  /// Duration of the step that the decision ends, zero if it has none.
  Duration Wait{};
  /// Active configuration version.
  uint64_t Version = 0;
  /// Time for which this version has not been confirmed.
  Duration MarkAge{};
};

/// Another configuration version became active on this VM.
struct ConfigActivated {
  uint64_t Version = 0;
  /// The version that was active before.
  uint64_t Before = 0;
  /// Age of the newest confirmation that the store's newest version was this
  /// one or an older one.
  Duration MarkAge{};
  /// VM that sent the version; invalid if this VM read it from the store.
  VmHandle Source;
  /// Time since a VM first read the version from the store.
  Duration SeenAge{};
  /// Age of the newest confirmation of the version before: the version is not
  /// older. `Duration::max()` if there was none.
  Duration StaleTime = Duration::max();
};

/// The evacuation of a zone began or ended on this VM.
struct ZoneEvacuationChanged {
  std::string_view Zone;
  bool Evacuated = false;
};

/// The drain ended: no request is in progress, and the process may exit.
struct DrainCompleted {};

using Effect =
    std::variant<StartAttempt, CancelAttempt, RelayResponse, FinishResponse,
                 AbortResponse, RefuseRequest, ReplayResponse, SendPeer,
                 MemberChanged, CallShareStore, StoreRead, StoreWrite,
                 StoreWatch, ChangeConcluded, AuditReply, DrainCompleted,
                 ConfigActivated, RequestDecision, CallPresence, SendPeers,
                 ZoneEvacuationChanged>;

/// Collects effects and reuses its memory for each event.
class EffectBuffer {
public:
  /// Appends one effect.
  template <typename T> void push(T &&effect) {
    Items.emplace_back(std::forward<T>(effect));
  }

  /// Removes all effects and keeps the memory.
  void clear() { Items.clear(); }

  /// \returns the collected effects in order.
  [[nodiscard]] std::span<const Effect> items() const { return Items; }

private:
  std::vector<Effect> Items;
};

} // namespace guavasail

#endif
