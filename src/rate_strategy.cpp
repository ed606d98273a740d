#include "rate_state.h"

#include <algorithm>
#include <bit>

namespace guavasail {

namespace {

/// A share stays with its owner for this time after another VM became the
/// first candidate, so that a short doubt about a VM moves nothing.
constexpr Duration HandBackAfter = std::chrono::seconds(30);

/// Lease length where a lost owner stops the whole rate.
constexpr Duration ShortTerm = std::chrono::seconds(10);
/// Lease length where a lost owner costs a part and an outage must not.
constexpr Duration LongTerm = std::chrono::hours(4);

/// Salt of relay choices without zones.
constexpr uint32_t NoSalt = 0;

uint64_t mix(uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

} // namespace

const RateState::Strategy RateState::Strategies[] = {
    {RateStrategyKind::EvenSplit, "even-split", &RateState::syncSplit,
     &RateState::askNobody, false, 0, ShortTerm, ShortTerm / 3},
    {RateStrategyKind::Central, "central", &RateState::syncShares,
     &RateState::askOwner, false, 0, ShortTerm, ShortTerm / 3},
    {RateStrategyKind::ZoneRelay, "zone-relay", &RateState::syncShares,
     &RateState::askRelay, true, 0, ShortTerm, ShortTerm / 3},
    {RateStrategyKind::ZoneShares, "zone-shares", &RateState::syncShares,
     &RateState::askRelay, true, 1, LongTerm, std::chrono::minutes(10)},
};

const RateState::Strategy &RateState::strategy(RateStrategyKind kind) {
  return Strategies[static_cast<size_t>(kind)];
}

void RateState::syncSplit(uint32_t purse, Instant now) {
  ShareLease always{1, Started, NeverInstant};
  Ledger.holdShare(purse, 0, always, mintOf(Purses[purse], Init.FleetSlots),
                   now);
}

void RateState::syncShares(uint32_t purse, Instant now) {
  const Purse &it = Purses[purse];
  uint32_t shares = Init.Shares.Shares;
  for (uint32_t share = 0; share < shares; ++share) {
    if (auto lease = Owner.activeLease({it.Partition, share}, now))
      Ledger.holdShare(purse, share, *lease, mintOf(it, shares), now);
    else
      Ledger.dropShare(purse, share, now);
  }
}

bool RateState::ownsShare(uint32_t partition, Instant now) const {
  for (uint32_t share = 0; share < Init.Shares.Shares; ++share)
    if (Owner.activeLease({partition, share}, now))
      return true;
  return false;
}

bool RateState::askNobody(uint32_t, bool, Instant) { return false; }

bool RateState::askOwner(uint32_t purse, bool atOnce, Instant now) {
  if (Purses[purse].Pending != NoIndex)
    return true;
  uint32_t partition = Purses[purse].Partition;
  VmHandle owner = shareVm(partition, 0, now);
  if (!owner.valid() || owner == Self)
    return false;
  sendAsk(purse, owner, 0, wantOf(Purses[purse], atOnce), TokenAskMode::Whole,
          atOnce, now);
  return true;
}

bool RateState::askRelay(uint32_t purse, bool atOnce, Instant now) {
  if (Purses[purse].Pending != NoIndex)
    return true;
  VmHandle relay = relayVm(Purses[purse].Partition, now);
  if (!relay.valid())
    return false;
  if (relay == Self)
    return gather(purse, atOnce, now);
  sendAsk(purse, relay, NoIndex, wantOf(Purses[purse], atOnce),
          TokenAskMode::Gather, atOnce, now);
  return true;
}

bool RateState::gather(uint32_t index, bool atOnce, Instant now) {
  Purse &purse = Purses[index];
  uint32_t shares = Init.Shares.Shares;
  TokenAmount capacity = mintOf(purse, shares).Capacity;
  TokenAmount want = wantOf(purse, atOnce);
  // Two VMs can be expected to have what one may hold at most; a second round
  // asks all the others.
  bool second = purse.AskedShares != 0;
  bool parts = shares > 1 && (second || capacity < 2 * WholeToken);
  TokenAskMode mode = parts ? TokenAskMode::Parts : TokenAskMode::Whole;
  TokenAmount enough = second ? INT64_MAX : 2 * want;
  TokenAmount expected = 0;
  auto start = static_cast<uint32_t>(mix(LastAsk + 1) % shares);
  for (uint32_t n = 0; n < shares && expected < enough; ++n) {
    uint32_t share = (start + n) % shares;
    uint64_t bit = uint64_t{1} << share;
    if ((Purses[index].AskedShares & bit) != 0)
      continue;
    Purses[index].AskedShares |= bit;
    VmHandle vm = shareVm(purse.Partition, share, now);
    if (!vm.valid() || vm == Self)
      continue;
    sendAsk(index, vm, share, want, mode, atOnce, now);
    expected += std::max<TokenAmount>(capacity, 1);
  }
  bool asked = purse.Pending != NoIndex;
  if (!asked)
    purse.AskedShares = 0;
  return asked;
}

std::span<const VmHandle> RateState::zoneOfShare(uint32_t share) const {
  if (Zones.empty())
    return {};
  const ZoneMembers &zone = Zones[share % Zones.size()];
  bool anywhere = Init.Shares.Shares == 1 || zone.Usable.empty();
  return anywhere ? std::span<const VmHandle>(AllUsable) : zone.Usable;
}

VmHandle RateState::ranked(uint32_t partition, uint32_t salt,
                           std::span<const VmHandle> vms, uint32_t rank) const {
  uint64_t seed = mix((uint64_t{partition} << 32) + salt + 1);
  uint64_t limit = UINT64_MAX;
  VmHandle best;
  for (uint32_t n = 0; n <= rank; ++n) {
    uint64_t bestWeight = 0;
    VmHandle next;
    for (VmHandle it : vms) {
      uint64_t weight = mix(Members[it.Value].Id ^ seed);
      if (weight < limit && weight >= bestWeight) {
        bestWeight = weight;
        next = it;
      }
    }
    if (!next.valid())
      break;
    best = next;
    limit = bestWeight;
  }
  return best;
}

void RateState::setMembers(std::span<const RateMember> members, VmHandle self,
                           Instant now) {
  beginOutput();
  Members.assign(members.begin(), members.end());
  Self = self;
  Out.resize(std::max(Out.size(), members.size()));
  for (ZoneMembers &it : Zones)
    it.Usable.clear();
  AllUsable.clear();
  for (uint32_t n = 0; n < members.size(); ++n) {
    auto zone = std::lower_bound(
        Zones.begin(), Zones.end(), members[n].Zone,
        [](const ZoneMembers &it, uint64_t key) { return it.Zone < key; });
    // A zone without usable VMs keeps its place, so that no share moves.
    if (zone == Zones.end() || zone->Zone != members[n].Zone)
      zone = Zones.insert(zone, {members[n].Zone, {}});
    bool usable = members[n].Usable || n == self.Value;
    if (!usable)
      continue;
    zone->Usable.push_back({n});
    AllUsable.push_back({n});
  }
  for (uint32_t p = 0; p < Init.Shares.Partitions; ++p) {
    for (uint32_t s = 0; s < Init.Shares.Shares; ++s)
      chooseAgain(p, s, shareCandidate(p, s));
    chooseAgain(p, NoIndex, RelayCandidates[p]);
  }
  reviewShares(now);
}

void RateState::chooseAgain(uint32_t partition, uint32_t share,
                            Candidate &candidate) {
  if (share != NoIndex) {
    // Shares of one zone have different owners if there are several.
    auto salt = static_cast<uint32_t>(Zones.empty() ? 0 : share / Zones.size());
    candidate.Vm = ranked(partition, salt, zoneOfShare(share), candidate.Rank);
    return;
  }
  for (const ZoneMembers &it : Zones)
    if (it.Zone == Members[Self.Value].Zone)
      candidate.Vm = ranked(partition, NoSalt, it.Usable, candidate.Rank);
}

VmHandle RateState::shareVm(uint32_t partition, uint32_t share, Instant now) {
  Candidate &candidate = shareCandidate(partition, share);
  if (candidate.Rank > 0 && now >= candidate.PassOverUntil) {
    candidate.Rank = 0;
    chooseAgain(partition, share, candidate);
  }
  return candidate.Vm;
}

VmHandle RateState::relayVm(uint32_t partition, Instant now) {
  Candidate &candidate = RelayCandidates[partition];
  if (candidate.Rank > 0 && now >= candidate.PassOverUntil) {
    candidate.Rank = 0;
    chooseAgain(partition, NoIndex, candidate);
  }
  return candidate.Vm;
}

void RateState::passOver(const Purse &purse, const PendingAsk &ask,
                         Instant now) {
  bool relay = ask.Share == NoIndex;
  Candidate &candidate = relay ? RelayCandidates[purse.Partition]
                               : shareCandidate(purse.Partition, ask.Share);
  // Another ask may have passed it over already.
  if (candidate.Vm != ask.To)
    return;
  ++candidate.Rank;
  candidate.PassOverUntil = now + Init.PassOver;
  chooseAgain(purse.Partition, ask.Share, candidate);
  if (candidate.Vm == ask.To)
    candidate.Rank = 0;
}

void RateState::reviewShares(Instant now) {
  if (Members.empty() || Init.Strategy == RateStrategyKind::EvenSplit)
    return;
  for (uint32_t p = 0; p < Init.Shares.Partitions; ++p) {
    for (uint32_t s = 0; s < Init.Shares.Shares; ++s) {
      Candidate &candidate = shareCandidate(p, s);
      bool mine = candidate.Rank == 0 && candidate.Vm == Self && !Leaving;
      if (mine) {
        candidate.NotFirstSince = NeverInstant;
        Owner.want({p, s}, true, now);
        continue;
      }
      if (candidate.NotFirstSince == NeverInstant)
        candidate.NotFirstSince = now;
      if (Leaving || now - candidate.NotFirstSince >= HandBackAfter)
        Owner.want({p, s}, false, now);
    }
  }
  Owner.advance(now);
}

void RateState::releaseAll(Instant now) {
  beginOutput();
  Leaving = true;
  reviewShares(now);
}

std::string_view rateStrategyName(RateStrategyKind strategy) {
  return RateState::strategy(strategy).Name;
}

RateInit rateInitFor(RateStrategyKind strategy, uint32_t zones,
                     uint32_t fleetSlots, uint64_t owner) {
  const RateState::Strategy &row = RateState::strategy(strategy);
  RateInit init;
  init.Strategy = strategy;
  init.FleetSlots = fleetSlots;
  init.Shares.Shares = row.SharesPerZone == 0 ? 1 : zones * row.SharesPerZone;
  init.Shares.Term = row.Term;
  init.Shares.RenewInterval = row.RenewInterval;
  init.Shares.RetryInterval =
      std::min<Duration>(std::chrono::seconds(5), row.RenewInterval);
  init.Shares.MaxGrantLifetime = init.GrantLife;
  init.Shares.Owner = owner;
  return init;
}

} // namespace guavasail
