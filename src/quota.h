/// \file
/// Rates of workspaces, summed over all VMs by one owner for each workspace.
#ifndef GUAVASAIL_SRC_QUOTA_H
#define GUAVASAIL_SRC_QUOTA_H

#include "guavasail/clock.h"
#include "guavasail/dispatch.h"
#include "guavasail/handle.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace guavasail {

/// A workspace's rate.
struct QuotaLimit {
  /// Hash of the workspace's name.
  uint64_t Key = 0;
  /// Requests a second; 0 means no limit.
  uint32_t RatePerSecond = 0;
  uint32_t Burst = 0;
};

/// A reply for one VM.
struct QuotaOutput {
  VmHandle To;
  QuotaReply Reply;
};

/// Token buckets of all workspaces. A bucket counts only while this VM is the
/// workspace's owner; it starts empty, since the owner before may have just
/// given out a whole burst.
class QuotaTable {
public:
  /// Takes over the rates.
  /// \param full true if no request can have been admitted before, as for a
  /// VM that is alone.
  void setLimits(std::span<const QuotaLimit> limits, bool full, Instant now);

  /// The fleet changed. Before that, another VM may have given out what an
  /// owner has saved up since it was asked last.
  /// \param share part of each rate that this VM may give out as an owner, from
  /// 0 to 1: the part of the fleet that it hears.
  void setShare(double share, Instant now) {
    Share = share;
    ChangedAt = now;
  }

  /// Sets the part that this VM gives to its own requests when no owner can
  /// be asked.
  void setOwnShare(double share) { OwnShare = share; }

  [[nodiscard]] bool limited(uint64_t workspace) const;

  /// Asks for one request. The reply comes at once or from `advance`.
  void ask(VmHandle from, const QuotaRequest &ask, Instant now);

  /// Asks this VM's own part, when no owner can be asked.
  [[nodiscard]] QuotaReply askAlone(const QuotaRequest &ask, Instant now);

  /// Tells all who wait that this VM leaves the task.
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
    Instant FilledAt{};
    double OwnTokens = 0;
    Instant OwnFilledAt{};
    /// When an ask came last.
    Instant AskedAt{};
    std::deque<Waiting> Queue;
  };

  Bucket *find(uint64_t workspace);
  [[nodiscard]] const Bucket *find(uint64_t workspace) const;
  void fill(Bucket &bucket, Instant now) const;
  [[nodiscard]] Duration timeFor(const Bucket &bucket, double tokens) const;
  void serve(Bucket &bucket, Instant now);
  void reply(VmHandle to, RequestHandle request, QuotaVerdict verdict,
             Duration retry = {});

  std::vector<Bucket> Buckets;
  std::vector<QuotaOutput> Out;
  double Share = 1;
  double OwnShare = 0;
  Instant ChangedAt{};
};

} // namespace guavasail

#endif
