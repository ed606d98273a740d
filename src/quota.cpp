#include "quota.h"

#include "duration_math.h"

#include <algorithm>

namespace guavasail {

namespace {

/// A request waits for a token that is due within this time; a refused caller
/// would come back later than that.
constexpr Duration MaxWait = std::chrono::milliseconds(120);
constexpr size_t MaxWaiting = 32;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(3);
/// An owner that got a request this shortly before a change of the fleet has
/// not lost its ownership.
constexpr Duration HandoverTime = std::chrono::milliseconds(400);
/// Slows the refill, since the clocks of VMs drift by less than 0.1%.
constexpr double ClockDriftFactor = 0.999;

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
    bucket.LocalRefilledAt = isNew ? now : bucket.LocalRefilledAt;
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
  double rate = bucket.Limit.RatePerSecond * ClockDriftFactor;
  bucket.Tokens =
      std::min(capacity, bucket.Tokens +
                             rate * Share * inSeconds(now - bucket.RefilledAt));
  bucket.RefilledAt = now;
  bucket.LocalTokens = std::min(
      1.0, bucket.LocalTokens +
               rate * LocalShare * inSeconds(now - bucket.LocalRefilledAt));
  bucket.LocalRefilledAt = now;
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
  bool ownerMayHaveChanged = ChangedAt > bucket->LastRequestAt + HandoverTime;
  if (ownerMayHaveChanged) {
    bucket->Tokens = 0;
    bucket->RefilledAt = ChangedAt;
  }
  bucket->LastRequestAt = now;
  refill(*bucket, now);
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
  refill(*bucket, now);
  if (bucket->LocalTokens < 1)
    return {request.Workspace, request.Request, QuotaVerdict::Refused,
            MinRetryAfter * 2};
  bucket->LocalTokens -= 1;
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
  if (!bucket)
    return;
  refill(*bucket, now);
  bucket->Tokens =
      std::min<double>(std::max(bucket->Limit.Burst, 1U), bucket->Tokens + 1);
  admitWaiting(*bucket, now);
}

void QuotaTable::resign() {
  for (Bucket &bucket : Buckets) {
    for (const Waiting &it : bucket.Queue)
      reply(it.Vm, {bucket.Limit.Key, it.Request}, QuotaVerdict::NotOwner);
    bucket.Queue.clear();
  }
  Queued = 0;
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
