#include "rate_state.h"

#include <algorithm>
#include <cmath>

namespace guavasail {

namespace {

/// An account that is unused for this time is closed if that loses no state.
constexpr Duration AccountIdleTimeout = std::chrono::seconds(10);
/// Interval between checks of which shares this VM should own.
constexpr Duration ShareReviewInterval = std::chrono::seconds(1);
/// Lower bound of `RetryAfter` for a request refused for lack of tokens.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
/// Tokens are requested ahead for the expected demand of this time.
constexpr Duration PrefetchHorizon = std::chrono::milliseconds(250);
/// Demand, in tokens per grant lifetime, from which on tokens are prefetched.
/// Waiting for a request within the zone is cheap; across zones it is not.
constexpr float MinPrefetchDemandInZone = 6.0F;
constexpr float MinPrefetchDemandCrossZone = 0.6F;
/// Tokens that one request can ask for.
constexpr float MaxTokensPerRequest = 256.0F;

/// Token requests that can be unanswered at a time.
constexpr size_t MaxPendingRequests = 4096;

} // namespace

RateState::RateState(const RateInit &init)
    : Init(init), Owner(init.Ownership),
      Ledger(init.GrantLifetime, init.ImmediateGrantLifetime,
             init.Ownership.DriftPpm,
             init.Ownership.Owner * 0x9e3779b97f4a7c15ULL),
      PendingSlots(MaxPendingRequests, NoIndex),
      ShareCandidates(size_t{init.Ownership.Partitions} *
                      init.Ownership.Shares),
      RelayCandidates(init.Ownership.Partitions) {}

void RateState::setLimits(std::span<const RateLimit> limits, Instant now) {
  if (StartedAt == NeverInstant)
    StartedAt = now;
  Limits.assign(limits.begin(), limits.end());
  AccountByWorkspace.resize(std::max(AccountByWorkspace.size(), limits.size()),
                            NoIndex);
  WorkspaceKeys.clear();
  for (uint32_t n = 0; n < limits.size(); ++n)
    WorkspaceKeys.push_back({limits[n].Key, {n}});
  std::sort(
      WorkspaceKeys.begin(), WorkspaceKeys.end(),
      [](const auto &left, const auto &right) { return left.Key < right.Key; });
}

uint32_t RateState::accountFor(WorkspaceHandle workspace, Instant now) {
  uint32_t &index = AccountByWorkspace[workspace.Value];
  if (index == NoIndex) {
    index = FreeAccount;
    if (index == NoIndex) {
      index = Ledger.openAccount();
      Accounts.emplace_back();
    } else {
      FreeAccount = Accounts[index].Next;
    }
    TokenAccount &account = Accounts[index];
    account = TokenAccount{};
    account.Workspace = workspace;
    account.Partition = static_cast<uint32_t>(Limits[workspace.Value].Key %
                                              Init.Ownership.Partitions);
    account.LastUsed = now;
    LiveAccounts.push_back(index);
  }
  return index;
}

void RateState::recordDemand(TokenAccount &account, float tokens, Instant now) {
  auto elapsed = static_cast<float>((now - account.LastUsed).count());
  auto lifetime = static_cast<float>(Init.GrantLifetime.count());
  account.Demand = account.Demand * std::exp(-elapsed / lifetime) + tokens;
  account.LastUsed = now;
}

RefillSpec RateState::refillSpec(const TokenAccount &account,
                                 uint32_t parts) const {
  constexpr int64_t Million = 1'000'000;
  const RateLimit &limit = Limits[account.Workspace.Value];
  int64_t rate = std::min(limit.RatePerSecond, MaxRatePerSecond);
  int64_t burst = std::max(limit.Burst, 1U);
  // Keeps a clock that runs fast from refilling above the rate.
  int64_t driftAdjusted = rate * (Million - Init.Ownership.DriftPpm);
  return {driftAdjusted / parts, burst * WholeToken / parts};
}

TokenAmount RateState::tokensToRequest(const TokenAccount &account,
                                       bool immediate) const {
  if (immediate)
    return WholeToken;
  float horizon = static_cast<float>(PrefetchHorizon.count()) /
                  static_cast<float>(Init.GrantLifetime.count());
  float tokens =
      std::clamp(account.Demand * horizon, 1.0F, MaxTokensPerRequest);
  return static_cast<TokenAmount>(tokens) * WholeToken;
}

bool RateState::shouldPrefetch(const TokenAccount &account) const {
  bool inZone = strategy(Init.Strategy).UsesRelay &&
                RelayCandidates[account.Partition].Vm != Self;
  return account.Demand >=
         (inZone ? MinPrefetchDemandInZone : MinPrefetchDemandCrossZone);
}

TokenAmount RateState::available(uint32_t index, Instant now) {
  (this->*strategy(Init.Strategy).SyncSources)(index, now);
  return Ledger.available(index, now);
}

Admission RateState::admit(WorkspaceHandle workspace, Instant now,
                           bool mayWait) {
  if (Limits[workspace.Value].RatePerSecond == 0)
    return {};
  clearSentMessages();
  uint32_t index = accountFor(workspace, now);
  TokenAccount &account = Accounts[index];
  if (mayWait && now < account.EmptyUntil) {
    ++Counts.Refused;
    return {AdmissionKind::Refuse, account.EmptyUntil - now};
  }
  if (mayWait)
    recordDemand(account, 1.0F, now);
  TokenAmount held = available(index, now);
  if (held >= WholeToken) {
    Ledger.spend(index, WholeToken, now);
    ++Counts.Admitted;
    prefetch(index, held - WholeToken, now);
    return {};
  }
  bool immediate = !shouldPrefetch(Accounts[index]);
  if (mayWait &&
      (this->*strategy(Init.Strategy).RequestTokens)(index, immediate, now)) {
    Accounts[index].HasWaiters = true;
    ++Counts.Deferred;
    return {AdmissionKind::Wait, {}};
  }
  if (mayWait)
    Accounts[index].EmptyUntil = now + nextRetryDelay(index, now);
  ++Counts.Refused;
  Duration wait = Accounts[index].EmptyUntil - now;
  return {AdmissionKind::Refuse, std::max(wait, MinRetryAfter)};
}

void RateState::prefetch(uint32_t index, TokenAmount left, Instant now) {
  TokenAccount &account = Accounts[index];
  bool wanted = shouldPrefetch(account) && account.PendingRequests == NoIndex &&
                now >= account.EmptyUntil;
  if (wanted &&
      left < std::max(tokensToRequest(account, false) / 2, WholeToken))
    (this->*strategy(Init.Strategy).RequestTokens)(index, false, now);
}

void RateState::advance(Instant now) {
  clearSentMessages();
  Owner.advance(now);
  if (now >= NextReview) {
    reviewShares(now);
    NextReview = now + ShareReviewInterval;
  }
  if (now < NextTick)
    return;
  NextTick = now + Init.TickInterval;
  Ledger.expire(now);
  sweep(now);
  ClosesDue = true;
}

void RateState::sweep(Instant now) {
  for (uint32_t index : LiveAccounts) {
    timeOutPendingRequests(index, now);
    Ledger.returnExpiringGrants(index, now, Init.GrantLifetime / 4);
  }
  std::erase_if(LiveAccounts,
                [&](uint32_t index) { return evict(index, now); });
}

bool RateState::evict(uint32_t index, Instant now) {
  TokenAccount &account = Accounts[index];
  if (account.LastUsed + AccountIdleTimeout > now ||
      account.PendingRequests != NoIndex || account.WaitingRequests != NoIndex)
    return false;
  available(index, now);
  if (!Ledger.canForget(index))
    return false;
  Ledger.closeAccount(index);
  AccountByWorkspace[account.Workspace.Value] = NoIndex;
  account.Next = FreeAccount;
  FreeAccount = index;
  return true;
}

Instant RateState::nextWake() const {
  Instant wake = std::min(Owner.nextWake(), NextReview);
  return LiveAccounts.empty() ? wake : std::min(wake, NextTick);
}

void RateState::clearSentMessages() {
  if (!OutputFlushed)
    return;
  OutputFlushed = false;
  for (VmHandle it : QueuedVms) {
    OutgoingMessages &out = OutgoingByVm[it.Value];
    if (!out.Queued)
      continue;
    out.Queued = false;
    out.Requests.clear();
    out.Closes.clear();
    out.Grants.clear();
  }
  QueuedVms.clear();
}

OutgoingMessages &RateState::outgoing(VmHandle vm) {
  OutgoingMessages &out = OutgoingByVm[vm.Value];
  if (!out.Queued) {
    out.Queued = true;
    QueuedVms.push_back(vm);
  }
  return out;
}

void RateState::flush(EffectBuffer &effects) {
  clearSentMessages();
  // A close is sent with another message to its grantor, or at the next tick.
  std::erase_if(Ledger.closedGrants(), [&](const ClosedGrant &it) {
    bool sendNow = ClosesDue || OutgoingByVm[it.Grantor.Value].Queued;
    if (sendNow)
      outgoing(it.Grantor).Closes.push_back(it.Close);
    Counts.ClosesSent += sendNow ? 1 : 0;
    return sendNow;
  });
  ClosesDue = false;
  for (VmHandle vm : QueuedVms) {
    OutgoingMessages &out = OutgoingByVm[vm.Value];
    bool hasRequest = !out.Requests.empty() || !out.Closes.empty();
    Counts.MessagesSent += (hasRequest ? 1 : 0) + (out.Grants.empty() ? 0 : 1);
    if (hasRequest)
      effects.push(SendPeer{vm, TokenRequest{Init.Ownership.Owner,
                                             std::move(out.Requests),
                                             std::move(out.Closes)}});
    if (!out.Grants.empty())
      effects.push(
          SendPeer{vm, TokenGrant{out.Requester, std::move(out.Grants)}});
  }
  OutputFlushed = true;
}

size_t RateState::bytes() const {
  return Ledger.bytes() + Accounts.capacity() * sizeof(TokenAccount) +
         LiveAccounts.capacity() * sizeof(uint32_t) + PendingPool.bytes() +
         WaitingPool.bytes() +
         AccountByWorkspace.capacity() * sizeof(uint32_t) +
         WorkspaceKeys.capacity() * sizeof(WorkspaceKey) +
         Limits.capacity() * sizeof(RateLimit) +
         Members.capacity() * sizeof(RateMember) +
         (ShareCandidates.capacity() + RelayCandidates.capacity()) *
             sizeof(Candidate) +
         OutgoingByVm.capacity() * sizeof(OutgoingMessages);
}

} // namespace guavasail
