#include "rate_state.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Shortest and longest time for which an asker is told to stay away.
constexpr Duration MinRetry = std::chrono::milliseconds(5);
constexpr Duration MaxRetry = std::chrono::milliseconds(500);

/// Retry time when no owner can be asked.
constexpr Duration NoOwnerRetry = std::chrono::milliseconds(200);

/// Most asks that wait here for one workspace.
constexpr uint32_t MaxWaiting = 64;

} // namespace

void RateState::sendAsk(uint32_t index, VmHandle to, uint32_t share,
                        TokenAmount want, TokenAskMode mode, bool atOnce,
                        Instant now) {
  uint32_t slot = PendingPool.take();
  PendingPool[slot] = {++LastAsk, to, share, index, now, Purses[index].Pending};
  Purses[index].Pending = slot;
  PendingSlots[LastAsk % PendingSlots.size()] = slot;
  uint64_t key = Limits[Purses[index].Workspace.Value].Key;
  outgoing(to).Asks.push_back({key, LastAsk, want, mode, atOnce});
  ++Counts.AsksSent;
}

void RateState::answer(VmHandle from, uint64_t asker,
                       const TokenGrantEntry &entry) {
  Outgoing &out = outgoing(from);
  // An earlier run of the asker has no use for its grants.
  if (out.Asker != asker)
    out.Grants.clear();
  out.Asker = asker;
  out.Grants.push_back(entry);
  ++Counts.GrantsSent;
}

void RateState::onAsk(VmHandle from, const TokenAsk &message, Instant now) {
  if (from.Value >= Out.size())
    return;
  beginOutput();
  Ledger.expire(now);
  for (const TokenClose &it : message.Closes)
    Ledger.returned(from, it, now);
  for (const TokenAskEntry &it : message.Asks)
    onAskEntry(from, message.Asker, it, now);
}

void RateState::onAskEntry(VmHandle from, uint64_t asker,
                           const TokenAskEntry &entry, Instant now) {
  auto key = std::lower_bound(
      Keys.begin(), Keys.end(), entry.Workspace,
      [](const KeyEntry &it, uint64_t value) { return it.Key < value; });
  bool known = key != Keys.end() && key->Key == entry.Workspace &&
               Limits[key->Workspace.Value].RatePerSecond != 0;
  if (!known || entry.Want <= 0)
    return answer(from, asker,
                  {entry.Serial, 0, 0, 0, NoOwnerRetry.count(), false});
  uint32_t index = purseOf(key->Workspace, now);
  Purse &purse = Purses[index];
  WaitingAsk ask{from,       asker,        entry.Serial, entry.Want,
                 entry.Mode, entry.AtOnce, NoIndex};
  bool relayed = entry.Mode == TokenAskMode::Gather;
  if (!relayed && !ownsShare(purse.Partition, now))
    return answer(from, asker,
                  {entry.Serial, 0, 0, 0, NoOwnerRetry.count(), true});
  if (relayed)
    noteDemand(purse, static_cast<float>(entry.Want) / WholeToken, now);
  else
    noteDemand(purse, 0, now);
  if (lendTo(index, ask, now)) {
    if (relayed)
      prefetch(index, available(index, now), now);
    return;
  }
  bool canWait =
      relayed && now >= purse.EmptyUntil && gather(index, entry.AtOnce, now);
  if (!canWait)
    return deny(index, ask, now);
  queueWaiting(index, ask, now);
}

void RateState::queueWaiting(uint32_t index, const WaitingAsk &ask,
                             Instant now) {
  uint32_t last = NoIndex;
  uint32_t length = 0;
  for (uint32_t it = Purses[index].Waiting; it != NoIndex;
       it = WaitingPool[it].Next) {
    last = it;
    ++length;
  }
  if (length >= MaxWaiting)
    return deny(index, ask, now);
  uint32_t slot = WaitingPool.take();
  WaitingPool[slot] = ask;
  uint32_t &link =
      last == NoIndex ? Purses[index].Waiting : WaitingPool[last].Next;
  link = slot;
}

bool RateState::lendTo(uint32_t index, const WaitingAsk &ask, Instant now) {
  TokenAmount have = available(index, now);
  TokenAmount give = std::min(have, ask.Want);
  if (ask.Mode != TokenAskMode::Parts)
    give -= give % WholeToken;
  if (give <= 0)
    return false;
  LentGrant grant = Ledger.lend(index, ask.From, give, ask.AtOnce, now);
  if (grant.Amount == 0)
    return false;
  answer(
      ask.From, ask.Asker,
      {ask.Serial, grant.Serial, grant.Amount, grant.Life.count(), 0, false});
  return true;
}

Duration RateState::retryAfter(uint32_t index, Instant now) {
  Purse &purse = Purses[index];
  // Refused askers are spread over the time in which tokens come in.
  MintSpec all = mintOf(purse, 1);
  Duration token(WholeToken * WholeToken /
                 std::max<TokenAmount>(all.PerSecond, 1));
  Instant next = std::max(purse.DeniedUntil, now) + token;
  purse.DeniedUntil = std::min(next, now + MaxRetry);
  return std::clamp(purse.DeniedUntil - now, MinRetry, MaxRetry);
}

void RateState::deny(uint32_t index, const WaitingAsk &ask, Instant now) {
  Duration retry = retryAfter(index, now);
  answer(ask.From, ask.Asker, {ask.Serial, 0, 0, 0, retry.count(), false});
}

void RateState::onGrant(VmHandle from, const TokenGrant &message, Instant now) {
  // A grant to an earlier run of this VM was used by that run, if at all.
  if (message.Asker != Init.Shares.Owner)
    return;
  beginOutput();
  for (const TokenGrantEntry &it : message.Grants)
    onGrantEntry(from, it, now);
}

void RateState::onGrantEntry(VmHandle from, const TokenGrantEntry &entry,
                             Instant now) {
  uint32_t slot = PendingSlots[entry.AskSerial % PendingSlots.size()];
  bool known = slot != NoIndex && PendingPool[slot].Serial == entry.AskSerial &&
               PendingPool[slot].To == from;
  if (!known)
    return;
  PendingAsk ask = takePending(slot);
  Duration life =
      reducedForDrift(Duration(entry.Life), 2 * Init.Shares.DriftPpm);
  Instant until = ask.SentAt + life;
  if (entry.Amount > 0 && now < until)
    Ledger.addGrant(ask.Purse, from, entry.Serial, entry.Amount, until);
  if (entry.NotOwner)
    passOver(Purses[ask.Purse], ask, now);
  Duration retry = entry.Amount > 0 ? Duration{} : Duration(entry.RetryAfter);
  resume(ask.Purse, std::clamp(retry, Duration{}, MaxRetry), now);
}

PendingAsk RateState::takePending(uint32_t slot) {
  PendingAsk ask = PendingPool[slot];
  uint32_t *link = &Purses[ask.Purse].Pending;
  while (*link != slot)
    link = &PendingPool[*link].Next;
  *link = ask.Next;
  // A repeated grant finds no ask with its serial.
  PendingPool[slot].Serial = 0;
  PendingPool.give(slot);
  return ask;
}

void RateState::resume(uint32_t index, Duration retry, Instant now) {
  serveWaiting(index, now);
  TokenAmount have = available(index, now);
  if (have >= WholeToken)
    refresh(Purses[index]);
  if (Purses[index].Pending != NoIndex)
    return;
  bool lacking = (Purses[index].Waited || Purses[index].Waiting != NoIndex) &&
                 have < WholeToken;
  bool gathering = Purses[index].AskedShares != 0;
  bool atOnce = true;
  if (lacking && gathering && gather(index, atOnce, now))
    return;
  Purses[index].AskedShares = 0;
  // Parts that do not make a token are of use to others.
  if (lacking && gathering)
    Ledger.surrender(index, now, 2 * Init.GrantLife);
  if (have < WholeToken && retry > Duration{})
    Purses[index].EmptyUntil =
        now + (gathering ? retryAfter(index, now) : retry);
  denyWaiting(index, now);
  refresh(Purses[index]);
}

void RateState::refresh(Purse &purse) {
  if (!purse.Waited)
    return;
  purse.Waited = false;
  Refreshed.push_back(purse.Workspace);
}

void RateState::serveWaiting(uint32_t index, Instant now) {
  while (Purses[index].Waiting != NoIndex) {
    uint32_t slot = Purses[index].Waiting;
    WaitingAsk ask = WaitingPool[slot];
    if (!lendTo(index, ask, now))
      return;
    Purses[index].Waiting = ask.Next;
    WaitingPool.give(slot);
  }
}

void RateState::denyWaiting(uint32_t index, Instant now) {
  while (Purses[index].Waiting != NoIndex) {
    uint32_t slot = Purses[index].Waiting;
    WaitingAsk ask = WaitingPool[slot];
    Purses[index].Waiting = ask.Next;
    WaitingPool.give(slot);
    deny(index, ask, now);
  }
}

void RateState::timeOutPending(uint32_t index, Instant now) {
  bool any = false;
  for (uint32_t slot = Purses[index].Pending; slot != NoIndex;) {
    uint32_t next = PendingPool[slot].Next;
    if (PendingPool[slot].SentAt + Init.AskTimeout <= now) {
      passOver(Purses[index], takePending(slot), now);
      any = true;
    }
    slot = next;
  }
  if (any)
    resume(index, MinRetry, now);
}

} // namespace guavasail
