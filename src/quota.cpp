#include "quota.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>

namespace guavasail {

namespace {

/// A request waits for a token that is due within this time; a refused caller
/// would come back later than that.
constexpr Duration MaxWait = std::chrono::milliseconds(120);
constexpr size_t MaxWaiting = 32;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
/// Retry delay when the spare share is exhausted; by then the next owner has
/// most likely detected the loss of the previous one.
constexpr Duration SpareRetryAfter = std::chrono::milliseconds(400);
constexpr Duration MaxRetryAfter = std::chrono::seconds(3);
/// The rate rule allows this excess in any `RuleWindow`: a fraction of the
/// requests within the limit, plus a number of requests.
constexpr double ToleratedFraction = 0.1;
constexpr double ToleratedRequests = 20;
constexpr double RuleWindowSeconds = 5;
/// Fraction of the excess for all spare shares together. The rest is left for
/// the time in which an old and a new owner both admit requests.
constexpr double SpareFraction = 0.5;
/// Slows the refill, since the clocks of VMs drift by less than 0.1%.
constexpr double ClockDriftFactor = 0.999;

/// \returns the requests that a VM may admit within `RuleWindowSeconds` without
/// being the owner. Each VM gets half of what the one before it gets, so that
/// the sum is bounded for a fleet of any size.
double spareRequests(const QuotaLimit &limit, const OwnerStanding &standing) {
  constexpr uint32_t MaxRank = 64;
  double allowed = limit.RatePerSecond * RuleWindowSeconds + limit.Burst;
  double excess = allowed * ToleratedFraction + ToleratedRequests;
  auto rank = static_cast<int>(std::clamp(standing.Preceding, 1U, MaxRank));
  return std::ldexp(excess * SpareFraction, -rank);
}

} // namespace

void QuotaTable::setLimits(std::span<const QuotaLimit> limits, bool full,
                           Instant now) {
  std::vector<Bucket> buckets;
  buckets.reserve(limits.size());
  for (const QuotaLimit &it : limits) {
    Bucket bucket;
    if (Bucket *existing = find(it.Key))
      bucket = std::move(*existing);
    else if (full)
      bucket.Tokens = it.Burst;
    bool isNew = bucket.RefilledAt == Instant{};
    bucket.Limit = it;
    bucket.RefilledAt = isNew ? now : bucket.RefilledAt;
    bucket.SpareRefilledAt = isNew ? now : bucket.SpareRefilledAt;
    bucket.Tokens = std::min<double>(bucket.Tokens, it.Burst);
    buckets.push_back(std::move(bucket));
  }
  Buckets = std::move(buckets);
  PositionOfKey.clear();
  Queued = 0;
  for (const Bucket &it : Buckets)
    Queued += it.Queue.size();
  for (size_t n = 0; n < Buckets.size(); ++n)
    PositionOfKey.emplace(Buckets[n].Limit.Key, n);
}

QuotaTable::Bucket *QuotaTable::find(uint64_t workspace) {
  auto it = PositionOfKey.find(workspace);
  return it == PositionOfKey.end() ? nullptr : &Buckets[it->second];
}

const QuotaTable::Bucket *QuotaTable::find(uint64_t workspace) const {
  return const_cast<QuotaTable *>(this)->find(workspace);
}

bool QuotaTable::isLimited(uint64_t workspace) const {
  const Bucket *bucket = find(workspace);
  return bucket && bucket->Limit.RatePerSecond > 0;
}

void QuotaTable::refill(Bucket &bucket, Instant now) const {
  double capacity = std::max(bucket.Limit.Burst, 1U);
  if (!bucket.Standing.isOwner(now)) {
    bucket.Tokens = 0;
    bucket.RefilledAt = now;
    return;
  }
  if (bucket.RefilledAt < bucket.Standing.OnlySince) {
    bucket.Tokens = 0;
    bucket.RefilledAt = bucket.Standing.OnlySince;
  }
  double rate = bucket.Limit.RatePerSecond * ClockDriftFactor * Share;
  bucket.Tokens = std::min(
      capacity, bucket.Tokens + rate * inSeconds(now - bucket.RefilledAt));
  bucket.RefilledAt = now;
}

/// Takes a token of the spare share.
/// \returns false if there is none.
bool QuotaTable::takeSpare(Bucket &bucket, Instant now) const {
  // Half of the requests at once and half over the window.
  double half = spareRequests(bucket.Limit, bucket.Standing) * Share / 2;
  double elapsed = inSeconds(now - bucket.SpareRefilledAt);
  bucket.SpareRefilledAt = now;
  bucket.SpareTokens =
      std::min(half, bucket.SpareTokens + half * elapsed / RuleWindowSeconds);
  if (bucket.SpareTokens < 1)
    return false;
  bucket.SpareTokens -= 1;
  return true;
}

void QuotaTable::setShare(double share, Instant now) {
  if (share == Share)
    return;
  for (Bucket &it : Buckets)
    refill(it, now);
  Share = share;
}

bool QuotaTable::needsStanding(uint64_t workspace, uint64_t version) const {
  const Bucket *bucket = find(workspace);
  return bucket && bucket->FleetVersion != version;
}

void QuotaTable::setStanding(uint64_t workspace, const OwnerStanding &standing,
                             uint64_t version, Instant now) {
  Bucket *bucket = find(workspace);
  if (!bucket)
    return;
  bucket->Standing = standing;
  bucket->FleetVersion = version;
  if (!standing.isOwner(now))
    rejectWaiting(*bucket, QuotaVerdict::Refused);
}

Duration QuotaTable::timeUntilTokens(const Bucket &bucket,
                                     double tokens) const {
  double rate = bucket.Limit.RatePerSecond * ClockDriftFactor * Share;
  if (rate <= 0)
    return MaxRetryAfter;
  constexpr double Million = 1e6;
  double micros = std::max(0.0, tokens - bucket.Tokens) / rate * Million;
  return Duration(static_cast<int64_t>(std::min(micros, 1e9)) + 1);
}

void QuotaTable::acquire(VmHandle from, const QuotaRequest &request,
                         Instant now) {
  Bucket *bucket = find(request.Workspace);
  if (!bucket)
    return reply(from, request, QuotaVerdict::NotOwner);
  refill(*bucket, now);
  if (!bucket->Standing.isOwner(now)) {
    bool admitted = takeSpare(*bucket, now);
    return reply(from, request,
                 admitted ? QuotaVerdict::Admitted : QuotaVerdict::Refused,
                 admitted ? Duration::zero() : SpareRetryAfter);
  }
  admitWaiting(*bucket, now);
  auto ahead = static_cast<double>(bucket->Queue.size());
  if (bucket->Queue.empty() && bucket->Tokens >= 1) {
    bucket->Tokens -= 1;
    return reply(from, request, QuotaVerdict::Admitted);
  }
  Duration wait = timeUntilTokens(*bucket, ahead + 1);
  if (wait <= MaxWait && bucket->Queue.size() < MaxWaiting) {
    bucket->Queue.push_back({from, request.Request});
    ++Queued;
    return;
  }
  reply(from, request, QuotaVerdict::Refused,
        std::clamp(wait, MinRetryAfter, MaxRetryAfter));
}

QuotaReply QuotaTable::acquireLocal(const QuotaRequest &request, Instant now) {
  Bucket *bucket = find(request.Workspace);
  if (!bucket || bucket->Limit.RatePerSecond == 0)
    return {request.Workspace, request.Request, QuotaVerdict::Admitted, {}};
  if (!takeSpare(*bucket, now))
    return {request.Workspace, request.Request, QuotaVerdict::Refused,
            SpareRetryAfter};
  return {request.Workspace, request.Request, QuotaVerdict::Admitted, {}};
}

void QuotaTable::admitWaiting(Bucket &bucket, Instant now) {
  refill(bucket, now);
  while (!bucket.Queue.empty() && bucket.Tokens >= 1) {
    bucket.Tokens -= 1;
    Waiting it = bucket.Queue.front();
    bucket.Queue.pop_front();
    --Queued;
    reply(it.Vm, {bucket.Limit.Key, it.Request}, QuotaVerdict::Admitted);
  }
}

void QuotaTable::returnToken(const QuotaReturn &unused, Instant now) {
  Bucket *bucket = find(unused.Workspace);
  if (!bucket || !bucket->Standing.isOwner(now))
    return;
  refill(*bucket, now);
  bucket->Tokens =
      std::min<double>(std::max(bucket->Limit.Burst, 1U), bucket->Tokens + 1);
  admitWaiting(*bucket, now);
}

void QuotaTable::rejectWaiting(Bucket &bucket, QuotaVerdict verdict) {
  for (const Waiting &it : bucket.Queue)
    reply(it.Vm, {bucket.Limit.Key, it.Request}, verdict, SpareRetryAfter);
  Queued -= bucket.Queue.size();
  bucket.Queue.clear();
}

void QuotaTable::resign() {
  for (Bucket &it : Buckets)
    rejectWaiting(it, QuotaVerdict::NotOwner);
}

void QuotaTable::advance(Instant now) {
  if (Queued == 0)
    return;
  for (Bucket &it : Buckets)
    if (!it.Queue.empty())
      admitWaiting(it, now);
}

Instant QuotaTable::nextDue() const {
  Instant due = NeverInstant;
  if (Queued == 0)
    return due;
  for (const Bucket &it : Buckets)
    if (!it.Queue.empty())
      due = std::min(due, it.RefilledAt + timeUntilTokens(it, 1));
  return due;
}

void QuotaTable::reply(VmHandle to, const QuotaRequest &request,
                       QuotaVerdict verdict, Duration retryAfter) {
  Out.push_back(
      {to, {request.Workspace, request.Request, verdict, retryAfter}});
}

} // namespace guavasail
