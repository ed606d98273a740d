/// \file
/// Rate limits of workspaces. One VM holds the bucket of a workspace and admits
/// the requests of all VMs. A VM that is to hold it claims it from those that
/// may have held it before.
#ifndef GUAVASAIL_SRC_QUOTA_H
#define GUAVASAIL_SRC_QUOTA_H

#include "guavasail/clock.h"
#include "guavasail/dispatch.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace guavasail {

/// Rate limit of a workspace.
struct QuotaLimit {
  /// Hash of the workspace's name.
  uint64_t Key = 0;
  /// Requests per second; 0 means no limit.
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
};

/// A reply addressed to a VM.
struct QuotaOutput {
  VmHandle To;
  QuotaReply Reply;
  /// VM that claimed the bucket, invalid if unknown; `Reply.Holder` is not set.
  VmHandle Holder;
};

/// A claim addressed to a VM.
struct QuotaClaimOutput {
  VmHandle To;
  QuotaClaim Claim;
};

/// Time for which a VM that leaves or has no configuration owns nothing.
inline constexpr Duration NoOwnerTime = std::chrono::seconds(1);

/// The answer to a claim.
struct QuotaClaimAnswer {
  QuotaClaimReply Reply;
  /// VM that claimed the bucket before, invalid if unknown; `Reply.Holder` is
  /// not set.
  VmHandle Holder;
};

/// How this VM sees the ownership of a workspace.
struct QuotaRole {
  /// No VM that may own the workspace goes before this one.
  bool Owner = true;
  /// The VMs, this one left out, that go first among those that may hold the
  /// bucket.
  std::span<const VmHandle> Peers = {};
};

/// What a VM tells the owner with a request.
struct QuotaDebt {
  /// Requests that it has admitted by itself and not told before.
  uint32_t LocalSpent = 0;
  /// The newest level of the bucket that it knows, in millionths of a token,
  /// and the age of this knowledge; `Duration::max()` if unknown.
  int64_t KnownLevel = 0;
  Duration KnownAge = Duration::max();
};

/// Token buckets of all workspaces, and what this VM may admit by itself while
/// no owner replies.
class QuotaTable {
public:
  /// \param seed spreads the requests that the VMs admit by themselves.
  explicit QuotaTable(uint64_t seed = 1) : Seed(seed) {}

  /// Replaces the limits; buckets of known workspaces are kept.
  /// \param full true if no request can have been admitted before, as for a
  /// VM without peers; new buckets are then held and full.
  void setLimits(std::span<const QuotaLimit> limits, bool full, Instant now);

  /// Called when the fleet changed. A bucket that was not used since may have
  /// been claimed from another VM without this one's knowledge.
  /// \param share fraction of each rate that this VM may admit as an owner,
  /// from 0 to 1: the part of the fleet that it can reach.
  void setShare(double share, Instant now) {
    Share = share;
    ChangedAt = now;
  }

  /// Sets the fraction of each rate that this VM admits for its own requests
  /// when no owner can be reached.
  void setLocalShare(double share) { LocalShare = share; }

  /// Called when this VM did nothing for so long that others may have taken its
  /// buckets over.
  void notePause(Instant now) { ResumedAt = now; }

  [[nodiscard]] bool isLimited(uint64_t workspace) const;
  /// \returns true if this VM holds the bucket of \p workspace.
  [[nodiscard]] bool isHeld(uint64_t workspace, Instant now) const;

  /// Handles a quota request. The reply comes at once, from `advance` or from
  /// `onClaimReply`.
  void acquire(VmHandle from, const QuotaRequest &request,
               const QuotaRole &role, Instant now);

  /// Handles the claim of another VM.
  /// \param outranks the claimant goes before this VM.
  /// \param leaving this VM leaves the fleet.
  [[nodiscard]] QuotaClaimAnswer onClaim(VmHandle from, const QuotaClaim &claim,
                                         bool outranks, bool leaving,
                                         Instant now);
  /// \param holder VM that `reply.Holder` names, invalid for this one.
  void onClaimReply(VmHandle from, const QuotaClaimReply &reply,
                    VmHandle holder, Instant now);

  /// Admits a request from this VM's local share, when no owner can be reached.
  [[nodiscard]] QuotaReply acquireLocal(const QuotaRequest &request,
                                        Instant now);

  /// Takes what the next request to an owner tells. What it tells of local
  /// requests counts as told until `restoreLocalSpent`.
  [[nodiscard]] QuotaDebt takeDebt(uint64_t workspace, Instant now);
  /// Takes back what was told to an owner that did not reply.
  void restoreLocalSpent(uint64_t workspace, uint32_t n);
  /// Notes an owner's reply, after which its bucket had \p level millionths of
  /// a token.
  void noteLevel(uint64_t workspace, int64_t level, Instant now);

  /// Takes back the token of a request that was admitted and has not run.
  void returnToken(const QuotaReturn &unused, Instant now);

  /// Gives up ownership: replies `NotOwner` to all waiting requests. Buckets
  /// stay for the VMs that claim them.
  void resign();

  void advance(Instant now);
  [[nodiscard]] Instant nextDue() const;

  [[nodiscard]] std::span<const QuotaOutput> output() const { return Out; }
  [[nodiscard]] std::span<const QuotaClaimOutput> claims() const {
    return ClaimsOut;
  }
  void clearOutput() {
    Out.clear();
    ClaimsOut.clear();
  }

private:
  struct Waiting {
    VmHandle Vm;
    RequestHandle Request;
  };
  struct Claimant {
    VmHandle Vm;
    Instant At{};
  };
  struct Bucket {
    QuotaLimit Limit;
    /// This VM holds the bucket, see `holds`.
    bool Held = false;
    Instant HeldSince{};
    /// When a request was handled last.
    Instant UsedAt{};
    double Tokens = 0;
    Instant RefilledAt{};
    /// Tokens granted since `HeldSince`.
    double Granted = 0;
    /// The bucket was taken over from a VM that did not reply.
    bool Estimated = false;
    /// When the newest level was told from which it was estimated.
    Instant ToldAt{};
    /// VMs that claimed the bucket lately, the last one behind.
    std::vector<Claimant> Claimants;
    /// The VM that claimed it serves callers which do not reach this one.
    Instant YieldedUntil{};
    std::deque<Waiting> Queue;

    /// Of this VM's own requests.
    double LocalTokens = 0;
    Instant LocalRefilledAt{};
    uint32_t LocalSpent = 0;
    uint32_t LocalPhases = 0;
    int64_t KnownLevel = 0;
    Instant KnownAt = Instant::min();
  };
  /// A claim of this VM. Peers that did not reply in time are asked again,
  /// since they may still use the bucket.
  struct Claim {
    uint64_t Serial = 0;
    std::vector<VmHandle> Awaited;
    uint32_t Sent = 0;
    bool Settled = false;
    bool Failover = false;
    Instant Due{};
    uint32_t Repeats = 0;
    /// Least time for which a peer knows the bucket to be unused.
    Duration IdleFor = Duration::max();
    /// The newest level that a caller told.
    int64_t KnownLevel = 0;
    Instant KnownAt = Instant::min();
    double LocalSpent = 0;
  };

  Bucket *find(uint64_t workspace);
  [[nodiscard]] const Bucket *find(uint64_t workspace) const;
  [[nodiscard]] bool holds(const Bucket &bucket, Instant now) const;
  [[nodiscard]] Duration idleFor(const Bucket &bucket, Instant now) const;
  void refill(Bucket &bucket, Instant now) const;
  [[nodiscard]] double rate(const Bucket &bucket) const;
  [[nodiscard]] double localPhase(const Bucket &bucket) const;
  [[nodiscard]] Duration timeUntilTokens(const Bucket &bucket,
                                         double tokens) const;
  void serve(Bucket &bucket, VmHandle from, const QuotaRequest &request,
             Instant now);
  void beginClaim(Bucket &bucket, VmHandle from, const QuotaRequest &request,
                  const QuotaRole &role, Instant now);
  void takeTold(Claim &claim, const QuotaRequest &request, Instant now) const;
  void settle(Bucket &bucket, Claim &claim, double tokens, Instant now);
  [[nodiscard]] double estimate(const Bucket &bucket, const Claim &claim,
                                Instant now) const;
  void dropQueue(Bucket &bucket);
  void askForBucket(uint64_t workspace, Claim &claim, VmHandle vm);
  /// \returns the VM that claimed the bucket last, \p but left out.
  static VmHandle lastClaimant(const Bucket &bucket, VmHandle but);
  static void noteClaimant(Bucket &bucket, VmHandle vm, Instant now);
  void admitWaiting(Bucket &bucket, Instant now);
  void enqueue(Bucket &bucket, VmHandle from, RequestHandle request);
  void reply(VmHandle to, const Bucket &bucket, RequestHandle request,
             QuotaVerdict verdict, Duration retryAfter = {});
  void redirect(VmHandle to, const Bucket &bucket, RequestHandle request);

  uint64_t Seed;
  std::vector<Bucket> Buckets;
  /// Positions in `Buckets` by key.
  std::unordered_map<uint64_t, size_t> PositionOfKey;
  /// Claims by workspace.
  std::unordered_map<uint64_t, Claim> Claims;
  uint64_t LastSerial = 0;
  /// Requests that wait in all buckets.
  size_t Queued = 0;
  std::vector<QuotaOutput> Out;
  std::vector<QuotaClaimOutput> ClaimsOut;
  double Share = 1;
  double LocalShare = 0;
  Instant StartedAt{};
  Instant ResumedAt{};
  Instant ChangedAt{};
};

} // namespace guavasail

#endif
