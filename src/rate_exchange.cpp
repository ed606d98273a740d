#include "rate_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Bounds of the retry delay that is sent with a refusal.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(5);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(500);

/// Retry delay if no share owner is available.
constexpr Duration NoOwnerRetryDelay = std::chrono::milliseconds(200);

/// Token requests that can wait here for one workspace.
constexpr uint32_t MaxWaitingRequests = 64;

} // namespace

void RateState::sendTokenRequest(uint32_t index, VmHandle to, uint32_t share,
                                 TokenAmount want, TokenRequestMode mode,
                                 bool immediate, Instant now) {
  uint32_t slot = PendingPool.allocate();
  PendingPool[slot] = {++LastRequestSerial,
                       to,
                       share,
                       index,
                       now,
                       Accounts[index].PendingRequests};
  Accounts[index].PendingRequests = slot;
  PendingSlots[LastRequestSerial % PendingSlots.size()] = slot;
  uint64_t key = Limits[Accounts[index].Workspace.Value].Key;
  outgoing(to).Requests.push_back(
      {key, LastRequestSerial, want, mode, immediate});
  ++Counts.TokenRequestsSent;
}

void RateState::sendGrant(VmHandle to, uint64_t requester,
                          const TokenGrantEntry &entry) {
  OutgoingMessages &out = outgoing(to);
  // The requester restarted; grants to its earlier process are useless.
  if (out.Requester != requester)
    out.Grants.clear();
  out.Requester = requester;
  out.Grants.push_back(entry);
  ++Counts.GrantsSent;
}

void RateState::onTokenRequest(VmHandle from, const TokenRequest &message,
                               Instant now) {
  if (from.Value >= OutgoingByVm.size())
    return;
  clearSentMessages();
  Ledger.expire(now);
  for (const TokenClose &it : message.Closes)
    Ledger.returnGrant(from, it, now);
  for (const TokenRequestEntry &it : message.RequestEntries)
    onTokenRequestEntry(from, message.Requester, it, now);
}

void RateState::onTokenRequestEntry(VmHandle from, uint64_t requester,
                                    const TokenRequestEntry &entry,
                                    Instant now) {
  auto key = std::lower_bound(
      WorkspaceKeys.begin(), WorkspaceKeys.end(), entry.Workspace,
      [](const WorkspaceKey &it, uint64_t value) { return it.Key < value; });
  bool known = key != WorkspaceKeys.end() && key->Key == entry.Workspace &&
               Limits[key->Workspace.Value].RatePerSecond != 0;
  if (!known || entry.RequestedAmount <= 0)
    return sendGrant(from, requester,
                     {entry.Serial, 0, 0, 0, NoOwnerRetryDelay.count(), false});
  uint32_t index = accountFor(key->Workspace, now);
  TokenAccount &account = Accounts[index];
  WaitingTokenRequest request{
      from,       requester,       entry.Serial, entry.RequestedAmount,
      entry.Mode, entry.Immediate, NoIndex};
  bool relayed = entry.Mode == TokenRequestMode::Gather;
  if (!relayed && !ownsShare(account.Partition, now))
    return sendGrant(from, requester,
                     {entry.Serial, 0, 0, 0, NoOwnerRetryDelay.count(), true});
  if (relayed)
    recordDemand(account,
                 static_cast<float>(entry.RequestedAmount) / WholeToken, now);
  else
    recordDemand(account, 0, now);
  if (grantTo(index, request, now)) {
    if (relayed)
      prefetch(index, available(index, now), now);
    return;
  }
  bool canWait = relayed && now >= account.EmptyUntil &&
                 gatherFromOwners(index, entry.Immediate, now);
  if (!canWait)
    return deny(index, request, now);
  enqueueWaiting(index, request, now);
}

void RateState::enqueueWaiting(uint32_t index,
                               const WaitingTokenRequest &request,
                               Instant now) {
  uint32_t last = NoIndex;
  uint32_t length = 0;
  for (uint32_t it = Accounts[index].WaitingRequests; it != NoIndex;
       it = WaitingPool[it].Next) {
    last = it;
    ++length;
  }
  if (length >= MaxWaitingRequests)
    return deny(index, request, now);
  uint32_t slot = WaitingPool.allocate();
  WaitingPool[slot] = request;
  uint32_t &link = last == NoIndex ? Accounts[index].WaitingRequests
                                   : WaitingPool[last].Next;
  link = slot;
}

bool RateState::grantTo(uint32_t index, const WaitingTokenRequest &request,
                        Instant now) {
  TokenAmount held = available(index, now);
  TokenAmount granted = std::min(held, request.RequestedAmount);
  if (request.Mode != TokenRequestMode::Parts)
    granted -= granted % WholeToken;
  if (granted <= 0)
    return false;
  IssuedGrant grant =
      Ledger.issueGrant(index, request.From, granted, request.Immediate, now);
  if (grant.Amount == 0)
    return false;
  sendGrant(request.From, request.Requester,
            {request.Serial, grant.Serial, grant.Amount, grant.Lifetime.count(),
             0, false});
  return true;
}

Duration RateState::nextRetryDelay(uint32_t index, Instant now) {
  TokenAccount &account = Accounts[index];
  // Spaces the retries of refused requesters by the refill time of a token.
  RefillSpec total = refillSpec(account, 1);
  Duration tokenInterval(WholeToken * WholeToken /
                         std::max<TokenAmount>(total.PerSecond, 1));
  Instant next = std::max(account.LastRetryAt, now) + tokenInterval;
  account.LastRetryAt = std::min(next, now + MaxRetryDelay);
  return std::clamp(account.LastRetryAt - now, MinRetryDelay, MaxRetryDelay);
}

void RateState::deny(uint32_t index, const WaitingTokenRequest &request,
                     Instant now) {
  Duration retry = nextRetryDelay(index, now);
  sendGrant(request.From, request.Requester,
            {request.Serial, 0, 0, 0, retry.count(), false});
}

void RateState::onTokenGrant(VmHandle from, const TokenGrant &message,
                             Instant now) {
  // Addressed to an earlier process of this VM, which may have used the grant.
  if (message.Requester != Init.Ownership.Owner)
    return;
  clearSentMessages();
  for (const TokenGrantEntry &it : message.Grants)
    onTokenGrantEntry(from, it, now);
}

void RateState::onTokenGrantEntry(VmHandle from, const TokenGrantEntry &entry,
                                  Instant now) {
  uint32_t slot = PendingSlots[entry.RequestSerial % PendingSlots.size()];
  bool known = slot != NoIndex &&
               PendingPool[slot].Serial == entry.RequestSerial &&
               PendingPool[slot].To == from;
  if (!known)
    return;
  PendingTokenRequest request = removePending(slot);
  Duration lifetime =
      reducedForDrift(Duration(entry.Lifetime), 2 * Init.Ownership.DriftPpm);
  Instant until = request.SentAt + lifetime;
  if (entry.Amount > 0 && now < until)
    Ledger.addGrant(request.Account, from, entry.Serial, entry.Amount, until);
  if (entry.NotOwner)
    skipCandidate(Accounts[request.Account], request, now);
  Duration retry = entry.Amount > 0 ? Duration{} : Duration(entry.RetryAfter);
  onRequestCompleted(request.Account,
                     std::clamp(retry, Duration{}, MaxRetryDelay), now);
}

PendingTokenRequest RateState::removePending(uint32_t slot) {
  PendingTokenRequest request = PendingPool[slot];
  uint32_t *link = &Accounts[request.Account].PendingRequests;
  while (*link != slot)
    link = &PendingPool[*link].Next;
  *link = request.Next;
  // Makes a duplicate grant find no request with its serial.
  PendingPool[slot].Serial = 0;
  PendingPool.release(slot);
  return request;
}

void RateState::onRequestCompleted(uint32_t index, Duration retry,
                                   Instant now) {
  serveWaiting(index, now);
  TokenAmount held = available(index, now);
  if (held >= WholeToken)
    markReady(Accounts[index]);
  if (Accounts[index].PendingRequests != NoIndex)
    return;
  bool needsTokens = (Accounts[index].HasWaiters ||
                      Accounts[index].WaitingRequests != NoIndex) &&
                     held < WholeToken;
  bool gathering = Accounts[index].RequestedShares != 0;
  bool immediate = true;
  if (needsTokens && gathering && gatherFromOwners(index, immediate, now))
    return;
  Accounts[index].RequestedShares = 0;
  // Returns fractions of a token, which other VMs may be able to complete.
  if (needsTokens && gathering)
    Ledger.returnExpiringGrants(index, now, 2 * Init.GrantLifetime);
  if (held < WholeToken && retry > Duration{})
    Accounts[index].EmptyUntil =
        now + (gathering ? nextRetryDelay(index, now) : retry);
  denyWaiting(index, now);
  markReady(Accounts[index]);
}

void RateState::markReady(TokenAccount &account) {
  if (!account.HasWaiters)
    return;
  account.HasWaiters = false;
  ReadyWorkspaces.push_back(account.Workspace);
}

void RateState::serveWaiting(uint32_t index, Instant now) {
  while (Accounts[index].WaitingRequests != NoIndex) {
    uint32_t slot = Accounts[index].WaitingRequests;
    WaitingTokenRequest request = WaitingPool[slot];
    if (!grantTo(index, request, now))
      return;
    Accounts[index].WaitingRequests = request.Next;
    WaitingPool.release(slot);
  }
}

void RateState::denyWaiting(uint32_t index, Instant now) {
  while (Accounts[index].WaitingRequests != NoIndex) {
    uint32_t slot = Accounts[index].WaitingRequests;
    WaitingTokenRequest request = WaitingPool[slot];
    Accounts[index].WaitingRequests = request.Next;
    WaitingPool.release(slot);
    deny(index, request, now);
  }
}

void RateState::timeOutPendingRequests(uint32_t index, Instant now) {
  bool timedOut = false;
  for (uint32_t slot = Accounts[index].PendingRequests; slot != NoIndex;) {
    uint32_t next = PendingPool[slot].Next;
    if (PendingPool[slot].SentAt + Init.TokenRequestTimeout <= now) {
      skipCandidate(Accounts[index], removePending(slot), now);
      timedOut = true;
    }
    slot = next;
  }
  if (timedOut)
    onRequestCompleted(index, MinRetryDelay, now);
}

} // namespace guavasail
