/// \file
/// Rate limits of workspaces. One owner VM admits the requests of all VMs for
/// a workspace.
#ifndef GUAVASAIL_SRC_QUOTA_H
#define GUAVASAIL_SRC_QUOTA_H

#include "guavasail/clock.h"
#include "guavasail/dispatch.h"
#include "guavasail/handle.h"
#include "rendezvous.h"

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
};

/// Token buckets of all workspaces. A bucket holds only tokens from the time
/// since which this VM may have been the workspace's only owner: the previous
/// owner may have admitted a whole burst just before. While this VM is not the
/// owner by its own view, it admits from a small spare share.
class QuotaTable {
public:
  /// Replaces the limits; buckets of known workspaces are kept.
  /// \param full true if no request can have been admitted before, as for a
  /// VM without peers; new buckets then start full.
  void setLimits(std::span<const QuotaLimit> limits, bool full, Instant now);

  /// Sets the fraction of each rate that this VM may admit as an owner, from 0
  /// to 1.
  void setShare(double share, Instant now);

  /// \returns true if the standing of this VM for \p workspace has to be set
  /// for version \p version of the fleet.
  [[nodiscard]] bool needsStanding(uint64_t workspace, uint64_t version) const;

  /// Sets how this VM stands among the owners of \p workspace. Refuses waiting
  /// requests if it is not the owner.
  /// \param version version of the fleet to which \p standing applies.
  void setStanding(uint64_t workspace, const OwnerStanding &standing,
                   uint64_t version, Instant now);

  [[nodiscard]] bool isLimited(uint64_t workspace) const;

  /// Handles a quota request. The reply comes at once or from `advance`.
  void acquire(VmHandle from, const QuotaRequest &request, Instant now);

  /// Admits a request from this VM's spare share, when no owner can be reached.
  [[nodiscard]] QuotaReply acquireLocal(const QuotaRequest &request,
                                        Instant now);

  /// Takes back the token of a request that was admitted and has not run. The
  /// token is dropped if this VM is no longer the owner.
  void returnToken(const QuotaReturn &unused, Instant now);

  /// Gives up ownership: replies `NotOwner` to all waiting requests.
  void resign();

  void advance(Instant now);
  [[nodiscard]] Instant nextDue() const;

  [[nodiscard]] std::span<const QuotaOutput> output() const { return Out; }
  void clearOutput() { Out.clear(); }

private:
  struct Waiting {
    VmHandle Vm;
    RequestHandle Request;
  };
  struct Bucket {
    QuotaLimit Limit;
    double Tokens = 0;
    Instant RefilledAt{};
    double SpareTokens = 0;
    Instant SpareRefilledAt{};
    OwnerStanding Standing;
    /// Version of the fleet to which `Standing` applies.
    uint64_t FleetVersion = 0;
    std::deque<Waiting> Queue;
  };

  Bucket *find(uint64_t workspace);
  [[nodiscard]] const Bucket *find(uint64_t workspace) const;
  void refill(Bucket &bucket, Instant now) const;
  bool takeSpare(Bucket &bucket, Instant now) const;
  void rejectWaiting(Bucket &bucket, QuotaVerdict verdict);
  [[nodiscard]] Duration timeUntilTokens(const Bucket &bucket,
                                         double tokens) const;
  void admitWaiting(Bucket &bucket, Instant now);
  void reply(VmHandle to, const QuotaRequest &request, QuotaVerdict verdict,
             Duration retryAfter = {});

  std::vector<Bucket> Buckets;
  /// Positions in `Buckets` by key.
  std::unordered_map<uint64_t, size_t> PositionOfKey;
  /// Requests that wait in all buckets.
  size_t Queued = 0;
  std::vector<QuotaOutput> Out;
  double Share = 1;
};

} // namespace guavasail

#endif
