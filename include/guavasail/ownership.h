/// \file
/// Leased ownership of shares. The store keeps one record per share. A lease
/// expires on the owner's clock before the store grants the share to another
/// owner, so two VMs never use a share at the same time.
#ifndef GUAVASAIL_OWNERSHIP_H
#define GUAVASAIL_OWNERSHIP_H

#include "guavasail/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavasail {

/// Identifies one share of one partition.
struct ShareId {
  uint32_t Partition = 0;
  uint32_t Share = 0;

  friend constexpr auto operator<=>(const ShareId &, const ShareId &) = default;
};

/// Operation on the record of a share.
enum class ShareCallKind : uint8_t { Claim, Renew, Release };

/// One call to the store. The store applies it as one compare-and-swap:
/// - Claim succeeds if the record is absent or belongs to `Owner`. It raises
///   the epoch and starts a lease of `Term`.
/// - Renew succeeds if `Owner` and `Epoch` match, and restarts the lease.
/// - Release removes the lease if `Owner` and `Epoch` match.
struct ShareCall {
  ShareCallKind Kind = ShareCallKind::Claim;
  ShareId Share;
  /// Identifies one process run; a restarted process has a new one.
  uint64_t Owner = 0;
  uint64_t Epoch = 0;
  /// Grows with each call of one owner; echoed in the reply.
  uint64_t Serial = 0;
  Duration Term{};
};

/// Reply of the store; none arrives if the call or the reply is lost.
struct ShareReply {
  ShareId Share;
  uint64_t Serial = 0;
  bool Applied = false;
  /// Epoch of the record after the call.
  uint64_t Epoch = 0;
};

/// Period in which this VM owns a share.
struct ShareLease {
  uint64_t Epoch = 0;
  /// The share may be used from this time on.
  Instant From;
  /// The share must not be used from this time on.
  Instant Until;
};

/// Parameters of the ownership of one kind of share. `Partitions` and `Shares`
/// have to be the same on all VMs of a fleet.
struct OwnershipInit {
  uint32_t Partitions = 256;
  uint32_t Shares = 4;
  /// Lease duration at the store.
  Duration Term = std::chrono::hours(4);
  /// Interval between renewals.
  Duration RenewInterval = std::chrono::minutes(10);
  /// Interval between retries of an unanswered or rejected call.
  Duration RetryInterval = std::chrono::seconds(5);
  /// Maximum time for which grants of an earlier owner stay valid.
  Duration MaxGrantLifetime = std::chrono::seconds(1);
  /// Maximum drift of any clock against true time, in parts per million.
  uint32_t DriftPpm = 1000;
  /// Identifies this process run.
  uint64_t Owner = 0;
};

/// \returns \p span extended by a drift of \p ppm parts per million.
Duration extendedForDrift(Duration span, uint32_t ppm);

/// \returns \p span reduced by a drift of \p ppm parts per million.
Duration reducedForDrift(Duration span, uint32_t ppm);

/// Claims, renews and releases the shares that this VM should own.
class ShareOwner {
public:
  explicit ShareOwner(const OwnershipInit &init);

  /// Sets whether this VM should own \p share. A share that is owned but no
  /// longer wanted is released.
  void want(ShareId share, bool wanted, Instant now);

  /// Handles a reply. Replies to any but the latest call are ignored.
  void onReply(const ShareReply &reply, Instant now);

  /// Queues the calls that are due.
  void advance(Instant now);

  /// \returns the lease of \p share if this VM may use it at \p now.
  [[nodiscard]] std::optional<ShareLease> activeLease(ShareId share,
                                                      Instant now) const;

  /// \returns when to call `advance` next, or `NeverInstant`.
  [[nodiscard]] Instant nextWake() const;

  /// \returns the queued calls. The user of this class sends and clears them.
  [[nodiscard]] std::span<const ShareCall> calls() const { return Calls; }
  void clearCalls() { Calls.clear(); }

  [[nodiscard]] const OwnershipInit &init() const { return Init; }

private:
  struct Record {
    bool Wanted = false;
    bool Active = false;
    ShareLease Lease{0, NeverInstant, Instant::min()};
    /// Serial of the latest call; 0 once its reply arrived.
    uint64_t Serial = 0;
    ShareCallKind Kind = ShareCallKind::Claim;
    Instant SentAt{};
    Instant NextCall = NeverInstant;
  };

  Record &at(ShareId share) {
    return Records[share.Partition * Init.Shares + share.Share];
  }
  void activate(ShareId share, Record &record);
  void call(ShareCallKind kind, ShareId share, Record &record, Instant now);
  void release(ShareId share, Record &record, Instant now);

  OwnershipInit Init;
  std::vector<Record> Records;
  /// Shares that are wanted or owned.
  std::vector<ShareId> Active;
  std::vector<ShareCall> Calls;
  uint64_t LastSerial = 0;
};

} // namespace guavasail

#endif
