/// \file
/// Registration of this VM in the platform's list of VMs.
#ifndef GUAVASAIL_PRESENCE_H
#define GUAVASAIL_PRESENCE_H

#include "guavasail/clock.h"

#include <cstddef>
#include <cstdint>

namespace guavasail {

/// Store operation on the entry of this VM.
enum class PresenceCall : uint8_t {
  /// Write the entry under a new lease.
  Announce,
  /// Renew the lease.
  Renew,
  /// Read the list of VMs, which may be a few seconds stale.
  List,
  /// End the lease.
  Withdraw,
};

/// Requests a store operation; completes with one `PresenceReplied`.
struct CallPresence {
  PresenceCall Call = PresenceCall::Announce;
  /// Time after which an entry that is not renewed expires.
  Duration Lease{};
};

/// Result of a call.
enum class PresenceOutcome : uint8_t {
  Done,
  /// The lease has expired.
  LeaseExpired,
  /// The outcome is unknown, or the call had no effect.
  Failed,
};

struct PresenceReplied {
  PresenceCall Call = PresenceCall::Announce;
  PresenceOutcome Outcome = PresenceOutcome::Failed;
  /// Era of the store that has the entry, see `storeEra`.
  uint64_t StoreEra = 0;
};

/// Settings of the registration.
struct PresenceInit {
  /// False if there is no store to register in.
  bool Enabled = false;
  Duration Lease = std::chrono::seconds(8);
  /// Interval between renewals; three renewals may be lost.
  Duration RenewInterval = std::chrono::seconds(2);
  /// Interval between reads of the list; shorter in the first seconds.
  Duration ListInterval = std::chrono::seconds(4);
  /// Size of the fleet above which both intervals grow with it.
  size_t VmsPerListInterval = 40;
  Duration InitialListInterval = std::chrono::milliseconds(700);
  uint64_t Seed = 1;
};

} // namespace guavasail

#endif
