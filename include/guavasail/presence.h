/// \file
/// This VM's own entry in the platform's list of VMs.
#ifndef GUAVASAIL_PRESENCE_H
#define GUAVASAIL_PRESENCE_H

#include "guavasail/clock.h"

#include <cstdint>

namespace guavasail {

/// What the store is asked to do with this VM's entry.
enum class PresenceCall : uint8_t {
  /// Write the entry under a new lease.
  Announce,
  /// Renew the lease.
  Renew,
  /// Read the list of VMs; it may be some seconds old.
  List,
  /// End the lease.
  Withdraw,
};

/// Asks the store. It ends with one `PresenceReplied`.
struct CallPresence {
  PresenceCall Call = PresenceCall::Announce;
  /// Time for which an entry that is not renewed stays.
  Duration Lease{};
};

/// How a call ended.
enum class PresenceOutcome : uint8_t {
  Done,
  /// The lease has ended.
  LeaseExpired,
  /// Nothing is known of the outcome, or nothing was done.
  Failed,
};

struct PresenceReplied {
  PresenceCall Call = PresenceCall::Announce;
  PresenceOutcome Outcome = PresenceOutcome::Failed;
};

/// Times of the entry.
struct PresenceInit {
  /// False if the VM has no store to enter itself in.
  bool Enabled = false;
  Duration Lease = std::chrono::seconds(8);
  /// Between two renewals; three may be lost.
  Duration Renew = std::chrono::seconds(2);
  /// Between two looks at the list; more often in the first seconds.
  Duration List = std::chrono::seconds(4);
  Duration FirstList = std::chrono::milliseconds(700);
  uint64_t Seed = 1;
};

} // namespace guavasail

#endif
