/// \file
/// Leased ownership of shares. The store holds one record for each share; a
/// lease ends by itself on the owner's own clock before the store gives the
/// share to anybody else, so an owner never has to guess whether it was
/// replaced.
#ifndef GUAVASAIL_OWNERSHIP_H
#define GUAVASAIL_OWNERSHIP_H

#include "guavasail/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavasail {

/// Names one share of one partition.
struct ShareId {
  uint32_t Partition = 0;
  uint32_t Share = 0;

  friend constexpr auto operator<=>(const ShareId &, const ShareId &) = default;
};

/// What an owner asks of the store.
enum class ShareCallKind : uint8_t { Claim, Renew, Release };

/// One call to the store. The store applies it as one compare-and-swap:
/// - Claim succeeds if the record is absent or belongs to `Owner`. It raises
///   the epoch and starts a lease of `Term`.
/// - Renew succeeds if `Owner` and `Epoch` match, and starts the lease again.
/// - Release removes the lease if `Owner` and `Epoch` match.
struct ShareCall {
  ShareCallKind Kind = ShareCallKind::Claim;
  ShareId Share;
  /// Identity of one process run; a restarted process has another one.
  uint64_t Owner = 0;
  uint64_t Epoch = 0;
  /// Grows with each call of one owner; echoed in the reply.
  uint64_t Serial = 0;
  Duration Term{};
};

/// The store's reply. A lost call or reply has none.
struct ShareReply {
  ShareId Share;
  uint64_t Serial = 0;
  bool Applied = false;
  /// Epoch of the record after the call.
  uint64_t Epoch = 0;
};

/// The time in which this VM owns a share.
struct ShareLease {
  uint64_t Epoch = 0;
  /// The owner may use the share from here on.
  Instant From;
  /// The owner must not use the share from here on.
  Instant Until;
};

/// Describes the ownership of one kind of share. All VMs of a fleet need the
/// same `Partitions` and `Shares`.
struct OwnershipInit {
  uint32_t Partitions = 256;
  uint32_t Shares = 4;
  /// Lease length at the store.
  Duration Term = std::chrono::hours(4);
  /// Time between renewals.
  Duration RenewInterval = std::chrono::minutes(10);
  /// Time after which an unanswered or refused call is made again.
  Duration RetryInterval = std::chrono::seconds(5);
  /// Longest time for which what an earlier owner handed out stays valid.
  Duration MaxGrantLifetime = std::chrono::seconds(1);
  /// Bound on the drift of any clock against true time, in parts per million.
  uint32_t DriftPpm = 1000;
  /// Identity of this process run.
  uint64_t Owner = 0;
};

/// \returns \p span made longer by a drift of \p ppm parts per million.
Duration extendedForDrift(Duration span, uint32_t ppm);

/// \returns \p span made shorter by a drift of \p ppm parts per million.
Duration reducedForDrift(Duration span, uint32_t ppm);

/// Claims, renews and releases the shares that this VM should own.
class ShareOwner {
public:
  explicit ShareOwner(const OwnershipInit &init);

  /// States whether this VM should own \p share. A share that is held and no
  /// longer wanted is released.
  void want(ShareId share, bool wanted, Instant now);

  /// Takes in a reply. Replies to any but the latest call are ignored.
  void onReply(const ShareReply &reply, Instant now);

  /// Makes the calls that are due.
  void advance(Instant now);

  /// \returns the lease of \p share if this VM may use it at \p now.
  [[nodiscard]] std::optional<ShareLease> activeLease(ShareId share,
                                                      Instant now) const;

  /// \returns when `advance` is wanted next, or `NeverInstant`.
  [[nodiscard]] Instant nextWake() const;

  /// \returns the calls to make now. The caller clears them.
  [[nodiscard]] std::span<const ShareCall> calls() const { return Calls; }
  void clearCalls() { Calls.clear(); }

  [[nodiscard]] const OwnershipInit &init() const { return Init; }

private:
  struct Record {
    bool Wanted = false;
    bool Active = false;
    ShareLease Lease{0, NeverInstant, Instant::min()};
    /// Serial of the latest call; 0 if its reply came.
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
  /// Shares that are wanted or held.
  std::vector<ShareId> Active;
  std::vector<ShareCall> Calls;
  uint64_t LastSerial = 0;
};

} // namespace guavasail

#endif
