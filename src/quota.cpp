#include "quota.h"

#include "duration_math.h"

#include <algorithm>

namespace guavasail {

namespace {

/// A request waits for its token if it comes within this time; a caller that
/// is sent away would come back later than that.
constexpr Duration MostWait = std::chrono::milliseconds(120);
constexpr size_t MostWaiting = 32;
constexpr Duration LeastRetry = std::chrono::milliseconds(200);
constexpr Duration MostRetry = std::chrono::seconds(3);
/// An owner that is asked more often than this has not lost its task.
constexpr Duration HandoverTime = std::chrono::milliseconds(400);
/// Clocks of VMs differ by less than this part.
constexpr double DriftFactor = 0.999;

} // namespace

void QuotaTable::setLimits(std::span<const QuotaLimit> limits, bool full,
                          Instant now) {
  std::vector<Bucket> buckets;
  buckets.reserve(limits.size());
  for (const QuotaLimit &it : limits) {
    Bucket bucket;
    if (Bucket *old = find(it.Key))
      bucket = std::move(*old);
    else if (full)
      bucket.Tokens = it.Burst;
    bool fresh = bucket.FilledAt == Instant{};
    bucket.Limit = it;
    bucket.FilledAt = fresh ? now : bucket.FilledAt;
    bucket.OwnFilledAt = fresh ? now : bucket.OwnFilledAt;
    bucket.Tokens = std::min<double>(bucket.Tokens, it.Burst);
    buckets.push_back(std::move(bucket));
  }
  Buckets = std::move(buckets);
}

QuotaTable::Bucket *QuotaTable::find(uint64_t workspace) {
  auto it =
      std::find_if(Buckets.begin(), Buckets.end(), [&](const Bucket &item) {
        return item.Limit.Key == workspace;
      });
  return it == Buckets.end() ? nullptr : &*it;
}

const QuotaTable::Bucket *QuotaTable::find(uint64_t workspace) const {
  return const_cast<QuotaTable *>(this)->find(workspace);
}

bool QuotaTable::limited(uint64_t workspace) const {
  const Bucket *bucket = find(workspace);
  return bucket && bucket->Limit.RatePerSecond > 0;
}

void QuotaTable::fill(Bucket &bucket, Instant now) const {
  double most = std::max(bucket.Limit.Burst, 1U);
  double rate = bucket.Limit.RatePerSecond * DriftFactor;
  bucket.Tokens = std::min(
      most, bucket.Tokens + rate * Share * inSeconds(now - bucket.FilledAt));
  bucket.FilledAt = now;
  bucket.OwnTokens =
      std::min(1.0, bucket.OwnTokens +
                        rate * OwnShare * inSeconds(now - bucket.OwnFilledAt));
  bucket.OwnFilledAt = now;
}

Duration QuotaTable::timeFor(const Bucket &bucket, double tokens) const {
  double rate = bucket.Limit.RatePerSecond * DriftFactor * Share;
  if (rate <= 0)
    return MostRetry;
  constexpr double Million = 1e6;
  double micros = std::max(0.0, tokens - bucket.Tokens) / rate * Million;
  return Duration(static_cast<int64_t>(std::min(micros, 1e9)) + 1);
}

void QuotaTable::ask(VmHandle from, const QuotaRequest &ask, Instant now) {
  Bucket *bucket = find(ask.Workspace);
  if (!bucket)
    return reply(from, ask.Request, QuotaVerdict::NotOwner);
  bool doubtful = ChangedAt > bucket->AskedAt + HandoverTime;
  if (doubtful) {
    bucket->Tokens = 0;
    bucket->FilledAt = ChangedAt;
  }
  bucket->AskedAt = now;
  fill(*bucket, now);
  serve(*bucket, now);
  auto ahead = static_cast<double>(bucket->Queue.size());
  if (bucket->Queue.empty() && bucket->Tokens >= 1) {
    bucket->Tokens -= 1;
    return reply(from, ask.Request, QuotaVerdict::Admitted);
  }
  Duration wait = timeFor(*bucket, ahead + 1);
  if (wait <= MostWait && bucket->Queue.size() < MostWaiting) {
    bucket->Queue.push_back({from, ask.Request});
    return;
  }
  reply(from, ask.Request, QuotaVerdict::Refused,
        std::clamp(wait, LeastRetry, MostRetry));
}

QuotaReply QuotaTable::askAlone(const QuotaRequest &ask, Instant now) {
  Bucket *bucket = find(ask.Workspace);
  if (!bucket || bucket->Limit.RatePerSecond == 0)
    return {ask.Request, QuotaVerdict::Admitted, {}};
  fill(*bucket, now);
  if (bucket->OwnTokens < 1)
    return {ask.Request, QuotaVerdict::Refused, LeastRetry * 2};
  bucket->OwnTokens -= 1;
  return {ask.Request, QuotaVerdict::Admitted, {}};
}

void QuotaTable::serve(Bucket &bucket, Instant now) {
  fill(bucket, now);
  while (!bucket.Queue.empty() && bucket.Tokens >= 1) {
    bucket.Tokens -= 1;
    Waiting it = bucket.Queue.front();
    bucket.Queue.pop_front();
    reply(it.Vm, it.Request, QuotaVerdict::Admitted);
  }
}

void QuotaTable::resign() {
  for (Bucket &bucket : Buckets) {
    for (const Waiting &it : bucket.Queue)
      reply(it.Vm, it.Request, QuotaVerdict::NotOwner);
    bucket.Queue.clear();
  }
}

void QuotaTable::advance(Instant now) {
  for (Bucket &it : Buckets)
    if (!it.Queue.empty())
      serve(it, now);
}

Instant QuotaTable::nextDue() const {
  Instant due = NeverInstant;
  for (const Bucket &it : Buckets)
    if (!it.Queue.empty())
      due = std::min(due, it.FilledAt + timeFor(it, 1));
  return due;
}

void QuotaTable::reply(VmHandle to, RequestHandle request, QuotaVerdict verdict,
                      Duration retry) {
  Out.push_back({to, {request, verdict, retry}});
}

} // namespace guavasail
