/// \file
/// Effects: everything that the reducer asks for, as data. Views in an effect
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

/// Send the request to an instance over a lane that carries nothing else.
struct StartAttempt {
  AttemptHandle Attempt;
  InstanceHandle Instance;
  Lane Connection;
  /// Time left for the whole request; passed on to the backend server.
  Duration Remaining{};
  /// Name of the caller's workspace, empty if it has none.
  std::string_view Workspace{};
};

/// Stop an attempt and drop whatever it still yields.
struct CancelAttempt {
  AttemptHandle Attempt;
};

/// Pass the attempt's answer to the caller, head first, as it arrives.
struct RelayAnswer {
  AttemptHandle Attempt;
};

/// The answer is whole: complete it towards the caller.
struct FinishAnswer {
  RequestHandle Request;
};

/// The answer broke after it was begun: end it so that the caller can see
/// that it is not whole.
struct AbortAnswer {
  RequestHandle Request;
};

/// Answer the request with the kept answer of its first run.
struct ReplayAnswer {
  RequestHandle Request;
  std::string Answer;
};

/// Refuse the request. Nothing was sent to the caller before.
struct RefuseRequest {
  RequestHandle Request;
  RefusalKind Kind = RefusalKind::NoInstance;
  /// When the caller may try again; zero if unknown.
  Duration RetryAfter{};
};

/// Send a message to another daemon. It may be lost.
struct SendPeer {
  VmHandle To;
  PeerBody Body;
};

/// This VM's belief of another one, or of its own state, changed.
struct MemberChanged {
  VmHandle Vm;
  VmState State = VmState::Unknown;
};

/// Claim, renew or release a share at the store. The reply may be lost.
struct CallShareStore {
  ShareCall Call;
};

/// A proposed change ended.
struct ChangeConcluded {
  ChangeOutcome Outcome;
};

/// The records that were asked for, newest first.
struct AuditAnswered {
  std::span<const AuditRecord> Records;
  /// False if the store did not give all of them.
  bool Complete = false;
};

/// What was decided on a request.
enum class DecisionKind : uint8_t {
  /// An attempt starts.
  Placed,
  /// The request waits in its service's queue.
  Queued,
  /// An attempt ended without an answer that can be passed on.
  Failed,
  /// Another attempt follows a failed one.
  Repeated,
  /// An answer is unusually late; another instance is asked for.
  Overdue,
  /// An owner did not answer.
  OwnerSilent,
  /// The request ended with an instance's answer.
  Answered,
};

/// A decision on a request, for the log.
struct Decided {
  DecisionKind Kind = DecisionKind::Placed;
  RequestHandle Request;
  ServiceHandle Service;
  InstanceHandle Instance;
  WorkspaceHandle Workspace;
  /// VM that decided, invalid if it is this one.
  VmHandle Vm;
  uint32_t Attempt = 0;
  uint32_t Status = 0;
  AttemptOutcome Outcome = AttemptOutcome::Ok;
  /// Time since the request arrived, or what it waited for.
  Duration Elapsed{};
  Duration Wait{};
  /// Version of the configuration in force.
  uint64_t Version = 0;
};

/// Another version of the configuration is in force on this VM.
struct ConfigInForce {
  uint64_t Version = 0;
  uint64_t Before = 0;
  /// Age of the newest word that the store held this version or an older one.
  Duration MarkAge{};
};

/// No request is in progress and the VM was asked to stop.
struct DrainCompleted {};

using Effect =
    std::variant<StartAttempt, CancelAttempt, RelayAnswer, FinishAnswer,
                 AbortAnswer, RefuseRequest, ReplayAnswer, SendPeer,
                 MemberChanged, CallShareStore, StoreRead, StoreWrite,
                 StoreWatch, ChangeConcluded, AuditAnswered, DrainCompleted,
                 ConfigInForce, Decided, CallPresence>;

/// Collects effects. The memory is used again for each event.
class EffectBuffer {
public:
  /// Appends one effect.
  template <typename T> void push(T &&effect) {
    Items.emplace_back(std::forward<T>(effect));
  }

  /// Forgets all effects and keeps the memory.
  void clear() { Items.clear(); }

  /// \returns the collected effects in order.
  [[nodiscard]] std::span<const Effect> items() const { return Items; }

private:
  std::vector<Effect> Items;
};

} // namespace guavasail

#endif
