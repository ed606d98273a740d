#include "quota.h"

#include "duration_math.h"
#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace guavasail {

namespace {

/// A request waits for a token that is due within this time; a refused caller
/// would come back later than that.
constexpr Duration MaxWait = std::chrono::milliseconds(120);
constexpr size_t MaxWaiting = 32;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(3);
/// Time for the replies to a claim, from other zones.
constexpr Duration ClaimTimeout = std::chrono::milliseconds(100);
/// Between two claims to a VM that does not reply, and their number.
constexpr Duration ClaimInterval = std::chrono::milliseconds(500);
constexpr uint32_t MaxClaimRepeats = 20;
/// VMs that one claim is sent to, those that others name included.
constexpr uint32_t MaxClaimsSent = 12;
/// A bucket does not move on to a VM of lower rank sooner than this.
constexpr Duration MinHoldTime = std::chrono::milliseconds(200);
/// Time for which the claimants of a bucket are asked for it, and the number of
/// them that are remembered.
constexpr Duration ClaimantTime = std::chrono::seconds(10);
constexpr size_t MaxClaimants = 4;
/// A bucket that was not used for this time is claimed again if the fleet
/// changed meanwhile.
constexpr Duration MaxUnusedTime = std::chrono::milliseconds(1000);
/// Time for which callers that reach the owner follow those that do not.
constexpr Duration FailoverTime = std::chrono::seconds(2);
/// Age up to which the level of a bucket says something of its present one.
constexpr Duration MaxLevelAge = std::chrono::seconds(3);
/// Slows the refill, since the clocks of VMs drift by less than 0.1%.
constexpr double ClockDriftFactor = 0.999;
constexpr double Millionth = 1e-6;

int64_t millionths(double tokens) {
  return static_cast<int64_t>(tokens / Millionth);
}

double tokensOf(int64_t millionths) {
  return static_cast<double>(millionths) * Millionth;
}

double capacityOf(const QuotaLimit &limit) { return std::max(limit.Burst, 1U); }

} // namespace

void QuotaTable::setLimits(std::span<const QuotaLimit> limits, bool full,
                           Instant now) {
  if (StartedAt == Instant{})
    StartedAt = now;
  std::vector<Bucket> buckets;
  buckets.reserve(limits.size());
  for (const QuotaLimit &it : limits) {
    Bucket bucket;
    if (Bucket *existing = find(it.Key)) {
      bucket = std::move(*existing);
      bucket.Limit = it;
    } else {
      bucket.Limit = it;
      bucket.Tokens = full ? it.Burst : 0;
      bucket.Held = full;
      bucket.HeldSince = bucket.UsedAt = bucket.RefilledAt = now;
      bucket.LocalRefilledAt = now;
      bucket.LocalTokens = localPhase(bucket);
    }
    bucket.Tokens = std::min(bucket.Tokens, capacityOf(it));
    buckets.push_back(std::move(bucket));
  }
  Buckets = std::move(buckets);
  PositionOfKey.clear();
  Queued = 0;
  for (const Bucket &it : Buckets)
    Queued += it.Queue.size();
  for (size_t n = 0; n < Buckets.size(); ++n)
    PositionOfKey.emplace(Buckets[n].Limit.Key, n);
  std::erase_if(Claims, [this](const auto &it) { return !find(it.first); });
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

bool QuotaTable::isHeld(uint64_t workspace, Instant now) const {
  const Bucket *bucket = find(workspace);
  return bucket && holds(*bucket, now);
}

double QuotaTable::rate(const Bucket &bucket) const {
  return bucket.Limit.RatePerSecond * ClockDriftFactor * Share;
}

/// \returns true if no other VM can have taken the bucket over.
bool QuotaTable::holds(const Bucket &bucket, Instant now) const {
  bool forgotten =
      ChangedAt > bucket.UsedAt && now - bucket.UsedAt > MaxUnusedTime;
  return bucket.Held && bucket.HeldSince >= ResumedAt && !forgotten;
}

/// \returns for how long this VM knows that nobody used the bucket.
Duration QuotaTable::idleFor(const Bucket &bucket, Instant now) const {
  Instant claimed =
      bucket.Claimants.empty() ? Instant{} : bucket.Claimants.back().At;
  return now - std::max({StartedAt, ResumedAt, bucket.UsedAt, claimed});
}

/// \returns where in the wait for its next token this VM begins, in tokens.
/// Over many VMs this admits as much as their shares add up to, however small
/// each of them is.
double QuotaTable::localPhase(const Bucket &bucket) const {
  uint64_t words[] = {Seed, bucket.Limit.Key, bucket.LocalPhases};
  constexpr double Range = 18446744073709551616.0;
  return static_cast<double>(XXH3_64bits(words, sizeof words)) / Range;
}

void QuotaTable::refill(Bucket &bucket, Instant now) const {
  double earned = rate(bucket) * inSeconds(now - bucket.RefilledAt);
  double most = capacityOf(bucket.Limit);
  // The VM that did not reply may still admit requests: what nobody asks this
  // VM for is not saved up.
  if (bucket.Estimated && now - bucket.HeldSince < MaxLevelAge)
    most = std::min(most,
                    std::max(bucket.Tokens, rate(bucket) * inSeconds(MaxWait)));
  bucket.Tokens = std::min(most, bucket.Tokens + earned);
  bucket.RefilledAt = now;
}

Duration QuotaTable::timeUntilTokens(const Bucket &bucket,
                                     double tokens) const {
  double perSecond = rate(bucket);
  if (perSecond <= 0)
    return MaxRetryAfter;
  constexpr double Million = 1e6;
  double micros = std::max(0.0, tokens - bucket.Tokens) / perSecond * Million;
  return Duration(static_cast<int64_t>(std::min(micros, 1e9)) + 1);
}

// Requests.

void QuotaTable::acquire(VmHandle from, const QuotaRequest &request,
                         const QuotaRole &role, Instant now) {
  Bucket *bucket = find(request.Workspace);
  if (!bucket) {
    QuotaReply none;
    none.Workspace = request.Workspace;
    none.Request = request.Request;
    none.RetryAfter = NoOwnerTime;
    Out.push_back({from, none, {}});
    return;
  }
  auto claim = Claims.find(request.Workspace);
  if (claim != Claims.end() && !claim->second.Settled) {
    takeTold(claim->second, request, now);
    return enqueue(*bucket, from, request.Request);
  }
  bool held = holds(*bucket, now);
  bool mine = role.Owner && (held || now >= bucket->YieldedUntil);
  if (!mine && !request.Failover)
    return redirect(from, *bucket, request.Request);
  if (held)
    return serve(*bucket, from, request, now);
  beginClaim(*bucket, from, request, role, now);
}

void QuotaTable::serve(Bucket &bucket, VmHandle from,
                       const QuotaRequest &request, Instant now) {
  bucket.UsedAt = now;
  refill(bucket, now);
  bucket.Tokens -= request.LocalSpent;
  // The silent owner granted more than the first callers knew of.
  Instant told =
      request.KnownAge < MaxLevelAge ? now - request.KnownAge : Instant::min();
  if (bucket.Estimated && told > bucket.ToldAt && told < bucket.HeldSince) {
    double earned = rate(bucket) * inSeconds(now - bucket.HeldSince);
    double level = tokensOf(request.KnownLevel) + earned - bucket.Granted;
    bucket.Tokens = std::min(bucket.Tokens, level);
    bucket.ToldAt = told;
  }
  admitWaiting(bucket, now);
  auto ahead = static_cast<double>(bucket.Queue.size());
  if (bucket.Queue.empty() && bucket.Tokens >= 1) {
    bucket.Tokens -= 1;
    bucket.Granted += 1;
    return reply(from, bucket, request.Request, QuotaVerdict::Admitted);
  }
  Duration wait = timeUntilTokens(bucket, ahead + 1);
  if (wait <= MaxWait)
    return enqueue(bucket, from, request.Request);
  reply(from, bucket, request.Request, QuotaVerdict::Refused,
        std::clamp(wait, MinRetryAfter, MaxRetryAfter));
}

void QuotaTable::enqueue(Bucket &bucket, VmHandle from, RequestHandle request) {
  if (bucket.Queue.size() >= MaxWaiting)
    return reply(from, bucket, request, QuotaVerdict::Refused, MinRetryAfter);
  bucket.Queue.push_back({from, request});
  ++Queued;
}

void QuotaTable::admitWaiting(Bucket &bucket, Instant now) {
  refill(bucket, now);
  while (!bucket.Queue.empty() && bucket.Tokens >= 1) {
    bucket.Tokens -= 1;
    bucket.Granted += 1;
    Waiting it = bucket.Queue.front();
    bucket.Queue.pop_front();
    --Queued;
    reply(it.Vm, bucket, it.Request, QuotaVerdict::Admitted);
  }
}

void QuotaTable::dropQueue(Bucket &bucket) {
  Queued -= bucket.Queue.size();
  for (const Waiting &it : std::exchange(bucket.Queue, {}))
    redirect(it.Vm, bucket, it.Request);
}

/// Sends a request on to the VM that claimed the bucket.
void QuotaTable::redirect(VmHandle to, const Bucket &bucket,
                          RequestHandle request) {
  reply(to, bucket, request, QuotaVerdict::NotOwner);
  Out.back().Holder = lastClaimant(bucket, {});
}

void QuotaTable::returnToken(const QuotaReturn &unused, Instant now) {
  Bucket *bucket = find(unused.Workspace);
  if (!bucket || !holds(*bucket, now))
    return;
  refill(*bucket, now);
  bucket->Tokens = std::min(capacityOf(bucket->Limit), bucket->Tokens + 1);
  bucket->Granted -= 1;
  admitWaiting(*bucket, now);
}

void QuotaTable::resign() {
  for (Bucket &bucket : Buckets)
    dropQueue(bucket);
  Claims.clear();
}

void QuotaTable::reply(VmHandle to, const Bucket &bucket, RequestHandle request,
                       QuotaVerdict verdict, Duration retryAfter) {
  Out.push_back({to,
                 {bucket.Limit.Key, request, verdict, retryAfter,
                  bucket.Held ? millionths(bucket.Tokens) : UnknownQuotaLevel},
                 {}});
}

// Claims.

/// Notes what a request tells of the bucket before this VM holds it.
void QuotaTable::takeTold(Claim &claim, const QuotaRequest &request,
                          Instant now) const {
  claim.LocalSpent += request.LocalSpent;
  Instant told =
      request.KnownAge < MaxLevelAge ? now - request.KnownAge : Instant::min();
  if (told <= claim.KnownAt)
    return;
  claim.KnownAt = told;
  claim.KnownLevel = request.KnownLevel;
}

void QuotaTable::beginClaim(Bucket &bucket, VmHandle from,
                            const QuotaRequest &request, const QuotaRole &role,
                            Instant now) {
  bucket.Held = false;
  Claim &claim = Claims[bucket.Limit.Key];
  claim = Claim{};
  claim.Serial = ++LastSerial;
  claim.Failover = request.Failover;
  claim.Due = now + ClaimTimeout;
  takeTold(claim, request, now);
  enqueue(bucket, from, request.Request);
  // Others that claimed it may hold the bucket although this VM does not see
  // them.
  std::erase_if(bucket.Claimants, [now](const Claimant &it) {
    return now - it.At >= ClaimantTime;
  });
  std::vector<VmHandle> peers(role.Peers.begin(), role.Peers.end());
  for (const Claimant &it : bucket.Claimants)
    if (std::find(peers.begin(), peers.end(), it.Vm) == peers.end()) {
      peers.push_back(it.Vm);
      claim.Failover = true;
    }
  for (VmHandle it : peers)
    askForBucket(bucket.Limit.Key, claim, it);
  if (claim.Awaited.empty())
    settle(bucket, claim, estimate(bucket, claim, now), now);
}

VmHandle QuotaTable::lastClaimant(const Bucket &bucket, VmHandle but) {
  for (auto it = bucket.Claimants.rbegin(); it != bucket.Claimants.rend(); ++it)
    if (it->Vm != but)
      return it->Vm;
  return {};
}

void QuotaTable::noteClaimant(Bucket &bucket, VmHandle vm, Instant now) {
  std::erase_if(bucket.Claimants,
                [vm](const Claimant &it) { return it.Vm == vm; });
  bucket.Claimants.push_back({vm, now});
  if (bucket.Claimants.size() > MaxClaimants)
    bucket.Claimants.erase(bucket.Claimants.begin());
}

/// Sends a claim to a VM whose reply is not awaited. One that replied before
/// may have got the bucket since.
void QuotaTable::askForBucket(uint64_t workspace, Claim &claim, VmHandle vm) {
  auto &awaited = claim.Awaited;
  if (claim.Sent >= MaxClaimsSent ||
      std::find(awaited.begin(), awaited.end(), vm) != awaited.end())
    return;
  ++claim.Sent;
  awaited.push_back(vm);
  ClaimsOut.push_back({vm, {workspace, claim.Serial, claim.Failover}});
}

/// \returns the tokens of a bucket whose last holder did not hand it over: what
/// it said last, what accumulated while all knew the bucket to be unused, or
/// else nothing.
double QuotaTable::estimate(const Bucket &bucket, const Claim &claim,
                            Instant now) const {
  if (claim.KnownAt != Instant::min())
    return tokensOf(claim.KnownLevel);
  if (!claim.Awaited.empty())
    return 0;
  Duration idle = std::min(claim.IdleFor, idleFor(bucket, now));
  return rate(bucket) * inSeconds(std::max(idle, Duration::zero()));
}

/// Begins to hold a bucket.
void QuotaTable::settle(Bucket &bucket, Claim &claim, double tokens,
                        Instant now) {
  bucket.Held = true;
  bucket.HeldSince = bucket.UsedAt = bucket.RefilledAt = now;
  bucket.Tokens = std::min(tokens, capacityOf(bucket.Limit)) - claim.LocalSpent;
  bucket.Granted = 0;
  bucket.Estimated = !claim.Awaited.empty();
  bucket.ToldAt = claim.KnownAt;
  bucket.YieldedUntil = {};
  admitWaiting(bucket, now);
  while (!bucket.Queue.empty() &&
         timeUntilTokens(bucket, static_cast<double>(bucket.Queue.size())) >
             MaxWait) {
    Waiting it = bucket.Queue.back();
    bucket.Queue.pop_back();
    --Queued;
    reply(it.Vm, bucket, it.Request, QuotaVerdict::Refused, MinRetryAfter);
  }
  claim.Settled = true;
  claim.Due = now + ClaimInterval;
  if (claim.Awaited.empty())
    Claims.erase(bucket.Limit.Key);
}

QuotaClaimAnswer QuotaTable::onClaim(VmHandle from, const QuotaClaim &claim,
                                     bool outranks, bool leaving, Instant now) {
  QuotaClaimAnswer result;
  QuotaClaimReply &answer = result.Reply;
  answer.Workspace = claim.Workspace;
  answer.Serial = claim.Serial;
  Bucket *bucket = find(claim.Workspace);
  if (!bucket) {
    answer.IdleFor = StartedAt == Instant{}
                         ? Duration::zero()
                         : now - std::max(StartedAt, ResumedAt);
    return result;
  }
  bool yields = outranks || leaving;
  auto own = Claims.find(claim.Workspace);
  bool claiming = own != Claims.end() && !own->second.Settled;
  bool held = holds(*bucket, now);
  bool mayFollow = claim.Failover && now - bucket->HeldSince >= MinHoldTime;
  if ((claiming && !yields) || (held && !yields && !mayFollow)) {
    answer.Verdict = QuotaClaimVerdict::Kept;
    return result;
  }
  if (own != Claims.end())
    Claims.erase(own);
  if (!held)
    result.Holder = lastClaimant(*bucket, from);
  answer.IdleFor = std::max(idleFor(*bucket, now), Duration::zero());
  noteClaimant(*bucket, from, now);
  dropQueue(*bucket);
  if (held) {
    refill(*bucket, now);
    answer.Verdict = QuotaClaimVerdict::Yielded;
    answer.Level = millionths(bucket->Tokens);
    bucket->YieldedUntil = outranks ? Instant{} : now + FailoverTime;
  }
  bucket->Held = false;
  return result;
}

void QuotaTable::onClaimReply(VmHandle from, const QuotaClaimReply &reply,
                              VmHandle holder, Instant now) {
  auto it = Claims.find(reply.Workspace);
  Bucket *bucket = find(reply.Workspace);
  bool known = it != Claims.end() && it->second.Serial == reply.Serial;
  if (!known || !bucket)
    return;
  Claim &claim = it->second;
  if (std::erase(claim.Awaited, from) == 0)
    return;
  if (reply.Verdict == QuotaClaimVerdict::Kept) {
    bucket->Held = false;
    noteClaimant(*bucket, from, now);
    Claims.erase(it);
    return dropQueue(*bucket);
  }
  claim.IdleFor = std::min(claim.IdleFor, reply.IdleFor);
  if (holder.valid())
    askForBucket(reply.Workspace, claim, holder);
  if (claim.Settled) {
    // Both VMs held a bucket.
    if (reply.Verdict == QuotaClaimVerdict::Yielded)
      bucket->Tokens = std::min(bucket->Tokens, tokensOf(reply.Level));
    if (claim.Awaited.empty())
      Claims.erase(it);
    return;
  }
  if (reply.Verdict == QuotaClaimVerdict::Yielded) {
    // The others cannot hold it.
    claim.Awaited.clear();
    return settle(*bucket, claim, tokensOf(reply.Level), now);
  }
  if (claim.Awaited.empty())
    settle(*bucket, claim, estimate(*bucket, claim, now), now);
}

void QuotaTable::advance(Instant now) {
  std::vector<uint64_t> due;
  for (const auto &[workspace, claim] : Claims)
    if (claim.Due <= now)
      due.push_back(workspace);
  for (uint64_t it : due) {
    Claim &claim = Claims[it];
    Bucket &bucket = *find(it);
    if (!claim.Settled) {
      settle(bucket, claim, estimate(bucket, claim, now), now);
    } else if (++claim.Repeats > MaxClaimRepeats || !bucket.Held) {
      Claims.erase(it);
    } else {
      claim.Due = now + ClaimInterval;
      for (VmHandle vm : claim.Awaited)
        ClaimsOut.push_back({vm, {it, claim.Serial, claim.Failover}});
    }
  }
  if (Queued == 0)
    return;
  for (Bucket &it : Buckets)
    if (!it.Queue.empty() && it.Held)
      admitWaiting(it, now);
}

Instant QuotaTable::nextDue() const {
  Instant due = NeverInstant;
  for (const auto &[workspace, claim] : Claims)
    due = std::min(due, claim.Due);
  if (Queued == 0)
    return due;
  for (const Bucket &it : Buckets)
    if (!it.Queue.empty() && it.Held)
      due = std::min(due, it.RefilledAt + timeUntilTokens(it, 1));
  return due;
}

// Without an owner.

QuotaReply QuotaTable::acquireLocal(const QuotaRequest &request, Instant now) {
  QuotaReply answer;
  answer.Workspace = request.Workspace;
  answer.Request = request.Request;
  answer.Verdict = QuotaVerdict::Admitted;
  Bucket *bucket = find(request.Workspace);
  if (!bucket || bucket->Limit.RatePerSecond == 0)
    return answer;
  double perSecond = bucket->Limit.RatePerSecond * ClockDriftFactor;
  double most = 1 + capacityOf(bucket->Limit) * LocalShare;
  Instant since = std::max(bucket->LocalRefilledAt, ResumedAt);
  double earned = perSecond * LocalShare * inSeconds(now - since);
  bucket->LocalTokens = std::min(most, bucket->LocalTokens + earned);
  bucket->LocalRefilledAt = now;
  if (bucket->LocalTokens < 1) {
    answer.Verdict = QuotaVerdict::Refused;
    answer.RetryAfter = MinRetryAfter * 2;
    return answer;
  }
  bucket->LocalTokens -= 1;
  ++bucket->LocalSpent;
  return answer;
}

QuotaDebt QuotaTable::takeDebt(uint64_t workspace, Instant now) {
  QuotaDebt debt;
  Bucket *bucket = find(workspace);
  if (!bucket)
    return debt;
  debt.LocalSpent = std::exchange(bucket->LocalSpent, 0);
  if (bucket->KnownAt == Instant::min())
    return debt;
  debt.KnownLevel = bucket->KnownLevel;
  debt.KnownAge = now - bucket->KnownAt;
  return debt;
}

void QuotaTable::restoreLocalSpent(uint64_t workspace, uint32_t n) {
  if (Bucket *bucket = find(workspace))
    bucket->LocalSpent += n;
}

void QuotaTable::noteLevel(uint64_t workspace, int64_t level, Instant now) {
  Bucket *bucket = find(workspace);
  if (!bucket || level == UnknownQuotaLevel)
    return;
  bucket->KnownLevel = level;
  bucket->KnownAt = now;
  ++bucket->LocalPhases;
  bucket->LocalTokens =
      localPhase(*bucket) + std::max(0.0, tokensOf(level)) * LocalShare;
  bucket->LocalRefilledAt = now;
}

} // namespace guavasail
