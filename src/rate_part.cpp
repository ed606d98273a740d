#include "rate_state.h"

#include <algorithm>
#include <cmath>

namespace guavasail {

namespace {

/// A workspace that was not seen for this time is forgotten if that is safe.
constexpr Duration ForgetAfter = std::chrono::seconds(10);
/// Time between reviews of which shares this VM should own.
constexpr Duration ReviewEvery = std::chrono::seconds(1);
/// Retry time told to callers when nothing better is known.
constexpr Duration DefaultRetry = std::chrono::milliseconds(20);
/// Demand of this time is asked for in advance.
constexpr Duration Ahead = std::chrono::milliseconds(250);
/// Tokens wanted within a grant's lifetime from which on tokens are kept. An
/// ask in the zone is cheap to wait for; one to another zone is not.
constexpr float MinKeptInZone = 6.0F;
constexpr float MinKeptAcross = 0.6F;
/// Most tokens of one ask.
constexpr float MaxWant = 256.0F;

/// Asks that can be under way at once.
constexpr size_t MaxPendingAsks = 4096;

} // namespace

RateState::RateState(const RateInit &init)
    : Init(init), Owner(init.Shares),
      Ledger(init.GrantLife, init.AtOnceLife, init.Shares.DriftPpm,
             init.Shares.Owner * 0x9e3779b97f4a7c15ULL),
      PendingSlots(MaxPendingAsks, NoIndex),
      ShareCandidates(size_t{init.Shares.Partitions} * init.Shares.Shares),
      RelayCandidates(init.Shares.Partitions) {}

void RateState::setLimits(std::span<const RateLimit> limits, Instant now) {
  if (Started == NeverInstant)
    Started = now;
  Limits.assign(limits.begin(), limits.end());
  PurseOf.resize(std::max(PurseOf.size(), limits.size()), NoIndex);
  Keys.clear();
  for (uint32_t n = 0; n < limits.size(); ++n)
    Keys.push_back({limits[n].Key, {n}});
  std::sort(Keys.begin(), Keys.end(), [](const auto &left, const auto &right) {
    return left.Key < right.Key;
  });
}

uint32_t RateState::purseOf(WorkspaceHandle workspace, Instant now) {
  uint32_t &index = PurseOf[workspace.Value];
  if (index == NoIndex) {
    index = FreePurse;
    if (index == NoIndex) {
      index = Ledger.open();
      Purses.emplace_back();
    } else {
      FreePurse = Purses[index].Next;
    }
    Purse &purse = Purses[index];
    purse = Purse{};
    purse.Workspace = workspace;
    purse.Partition = static_cast<uint32_t>(Limits[workspace.Value].Key %
                                            Init.Shares.Partitions);
    purse.LastUsed = now;
    Live.push_back(index);
  }
  return index;
}

void RateState::noteDemand(Purse &purse, float tokens, Instant now) {
  auto elapsed = static_cast<float>((now - purse.LastUsed).count());
  auto life = static_cast<float>(Init.GrantLife.count());
  purse.Demand = purse.Demand * std::exp(-elapsed / life) + tokens;
  purse.LastUsed = now;
}

MintSpec RateState::mintOf(const Purse &purse, uint32_t parts) const {
  constexpr int64_t Million = 1'000'000;
  const RateLimit &limit = Limits[purse.Workspace.Value];
  int64_t rate = std::min(limit.RatePerSecond, MaxRatePerSecond);
  int64_t burst = std::max(limit.Burst, 1U);
  // A clock that runs fast must not mint above the rate.
  int64_t slowed = rate * (Million - Init.Shares.DriftPpm);
  return {slowed / parts, burst * WholeToken / parts};
}

TokenAmount RateState::wantOf(const Purse &purse, bool atOnce) const {
  if (atOnce)
    return WholeToken;
  float ahead = static_cast<float>(Ahead.count()) /
                static_cast<float>(Init.GrantLife.count());
  float tokens = std::clamp(purse.Demand * ahead, 1.0F, MaxWant);
  return static_cast<TokenAmount>(tokens) * WholeToken;
}

bool RateState::keeps(const Purse &purse) const {
  bool inZone = strategy(Init.Strategy).Relays &&
                RelayCandidates[purse.Partition].Vm != Self;
  return purse.Demand >= (inZone ? MinKeptInZone : MinKeptAcross);
}

TokenAmount RateState::available(uint32_t index, Instant now) {
  (this->*strategy(Init.Strategy).Sync)(index, now);
  return Ledger.available(index, now);
}

Admission RateState::admit(WorkspaceHandle workspace, Instant now,
                           bool mayAsk) {
  if (Limits[workspace.Value].RatePerSecond == 0)
    return {};
  beginOutput();
  uint32_t index = purseOf(workspace, now);
  Purse &purse = Purses[index];
  if (mayAsk && now < purse.EmptyUntil) {
    ++Counts.Refused;
    return {AdmissionKind::Refuse, purse.EmptyUntil - now};
  }
  if (mayAsk)
    noteDemand(purse, 1.0F, now);
  TokenAmount have = available(index, now);
  if (have >= WholeToken) {
    Ledger.spend(index, WholeToken, now);
    ++Counts.Admitted;
    prefetch(index, have - WholeToken, now);
    return {};
  }
  bool atOnce = !keeps(Purses[index]);
  if (mayAsk && (this->*strategy(Init.Strategy).Ask)(index, atOnce, now)) {
    Purses[index].Waited = true;
    ++Counts.AskedFirst;
    return {AdmissionKind::Wait, {}};
  }
  if (mayAsk)
    Purses[index].EmptyUntil = now + retryAfter(index, now);
  ++Counts.Refused;
  Duration wait = Purses[index].EmptyUntil - now;
  return {AdmissionKind::Refuse, std::max(wait, DefaultRetry)};
}

void RateState::prefetch(uint32_t index, TokenAmount left, Instant now) {
  Purse &purse = Purses[index];
  bool wanted =
      keeps(purse) && purse.Pending == NoIndex && now >= purse.EmptyUntil;
  if (wanted && left < std::max(wantOf(purse, false) / 2, WholeToken))
    (this->*strategy(Init.Strategy).Ask)(index, false, now);
}

void RateState::advance(Instant now) {
  beginOutput();
  Owner.advance(now);
  if (now >= NextReview) {
    reviewShares(now);
    NextReview = now + ReviewEvery;
  }
  if (now < NextTick)
    return;
  NextTick = now + Init.TickEvery;
  Ledger.expire(now);
  sweep(now);
  SendCloses = true;
}

void RateState::sweep(Instant now) {
  for (uint32_t index : Live) {
    timeOutPending(index, now);
    Ledger.surrender(index, now, Init.GrantLife / 4);
  }
  std::erase_if(Live, [&](uint32_t index) { return evict(index, now); });
}

bool RateState::evict(uint32_t index, Instant now) {
  Purse &purse = Purses[index];
  if (purse.LastUsed + ForgetAfter > now || purse.Pending != NoIndex ||
      purse.Waiting != NoIndex)
    return false;
  available(index, now);
  if (!Ledger.idle(index))
    return false;
  Ledger.close(index);
  PurseOf[purse.Workspace.Value] = NoIndex;
  purse.Next = FreePurse;
  FreePurse = index;
  return true;
}

Instant RateState::nextWake() const {
  Instant wake = std::min(Owner.nextWake(), NextReview);
  return Live.empty() ? wake : std::min(wake, NextTick);
}

void RateState::beginOutput() {
  if (!Sent)
    return;
  Sent = false;
  for (VmHandle it : Queue) {
    Outgoing &out = Out[it.Value];
    if (!out.Queued)
      continue;
    out.Queued = false;
    out.Asks.clear();
    out.Closes.clear();
    out.Grants.clear();
  }
  Queue.clear();
}

Outgoing &RateState::outgoing(VmHandle vm) {
  Outgoing &out = Out[vm.Value];
  if (!out.Queued) {
    out.Queued = true;
    Queue.push_back(vm);
  }
  return out;
}

void RateState::flush(EffectBuffer &effects) {
  beginOutput();
  // A close rides on another message to its grantor, or waits for the tick.
  std::erase_if(Ledger.closed(), [&](const ClosedGrant &it) {
    bool now = SendCloses || Out[it.Grantor.Value].Queued;
    if (now)
      outgoing(it.Grantor).Closes.push_back(it.Close);
    Counts.ClosesSent += now ? 1 : 0;
    return now;
  });
  SendCloses = false;
  for (VmHandle vm : Queue) {
    Outgoing &out = Out[vm.Value];
    bool asks = !out.Asks.empty() || !out.Closes.empty();
    Counts.MessagesSent += (asks ? 1 : 0) + (out.Grants.empty() ? 0 : 1);
    if (asks)
      effects.push(SendPeer{vm, TokenAsk{Init.Shares.Owner, std::move(out.Asks),
                                         std::move(out.Closes)}});
    if (!out.Grants.empty())
      effects.push(SendPeer{vm, TokenGrant{out.Asker, std::move(out.Grants)}});
  }
  Sent = true;
}

size_t RateState::bytes() const {
  return Ledger.bytes() + Purses.capacity() * sizeof(Purse) +
         Live.capacity() * sizeof(uint32_t) + PendingPool.bytes() +
         WaitingPool.bytes() + PurseOf.capacity() * sizeof(uint32_t) +
         Keys.capacity() * sizeof(KeyEntry) +
         Limits.capacity() * sizeof(RateLimit) +
         Members.capacity() * sizeof(RateMember) +
         (ShareCandidates.capacity() + RelayCandidates.capacity()) *
             sizeof(Candidate) +
         Out.capacity() * sizeof(Outgoing);
}

} // namespace guavasail
