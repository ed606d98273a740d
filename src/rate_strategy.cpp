#include "rate_state.h"

#include <algorithm>
#include <bit>

namespace guavasail {

namespace {

/// An owner keeps its share for this time after another VM has become the first
/// candidate, so that a brief suspicion of a VM does not move shares.
constexpr Duration ShareHandoverDelay = std::chrono::seconds(30);

/// Lease length if the loss of an owner blocks the whole rate.
constexpr Duration ShortLeaseTerm = std::chrono::seconds(10);
/// Lease length if the loss of an owner costs only its share; leases have to
/// outlast a store outage.
constexpr Duration LongLeaseTerm = std::chrono::hours(4);

/// Salt for ranking relays.
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
    {RateStrategyKind::EvenSplit, "even-split", &RateState::syncEvenSplit,
     &RateState::requestNothing, false, 0, ShortLeaseTerm, ShortLeaseTerm / 3},
    {RateStrategyKind::Central, "central", &RateState::syncOwnedShares,
     &RateState::requestFromOwner, false, 0, ShortLeaseTerm,
     ShortLeaseTerm / 3},
    {RateStrategyKind::ZoneRelay, "zone-relay", &RateState::syncOwnedShares,
     &RateState::requestFromRelay, true, 0, ShortLeaseTerm, ShortLeaseTerm / 3},
    {RateStrategyKind::ZoneShares, "zone-shares", &RateState::syncOwnedShares,
     &RateState::requestFromRelay, true, 1, LongLeaseTerm,
     std::chrono::minutes(10)},
};

const RateState::Strategy &RateState::strategy(RateStrategyKind kind) {
  return Strategies[static_cast<size_t>(kind)];
}

void RateState::syncEvenSplit(uint32_t account, Instant now) {
  ShareLease always{1, StartedAt, NeverInstant};
  Ledger.setShare(account, 0, always,
                  refillSpec(Accounts[account], Init.EvenSplitParts), now);
}

void RateState::syncOwnedShares(uint32_t account, Instant now) {
  const TokenAccount &it = Accounts[account];
  uint32_t shares = Init.Ownership.Shares;
  for (uint32_t share = 0; share < shares; ++share) {
    if (auto lease = Owner.activeLease({it.Partition, share}, now))
      Ledger.setShare(account, share, *lease, refillSpec(it, shares), now);
    else
      Ledger.removeShare(account, share, now);
  }
}

bool RateState::ownsShare(uint32_t partition, Instant now) const {
  for (uint32_t share = 0; share < Init.Ownership.Shares; ++share)
    if (Owner.activeLease({partition, share}, now))
      return true;
  return false;
}

bool RateState::requestNothing(uint32_t, bool, Instant) { return false; }

bool RateState::requestFromOwner(uint32_t account, bool immediate,
                                 Instant now) {
  if (Accounts[account].PendingRequests != NoIndex)
    return true;
  uint32_t partition = Accounts[account].Partition;
  VmHandle owner = vmForShare(partition, 0, now);
  if (!owner.valid() || owner == Self)
    return false;
  sendTokenRequest(account, owner, 0,
                   tokensToRequest(Accounts[account], immediate),
                   TokenRequestMode::Whole, immediate, now);
  return true;
}

bool RateState::requestFromRelay(uint32_t account, bool immediate,
                                 Instant now) {
  if (Accounts[account].PendingRequests != NoIndex)
    return true;
  VmHandle relay = vmForRelay(Accounts[account].Partition, now);
  if (!relay.valid())
    return false;
  if (relay == Self)
    return gatherFromOwners(account, immediate, now);
  sendTokenRequest(account, relay, NoIndex,
                   tokensToRequest(Accounts[account], immediate),
                   TokenRequestMode::Gather, immediate, now);
  return true;
}

bool RateState::gatherFromOwners(uint32_t index, bool immediate, Instant now) {
  TokenAccount &account = Accounts[index];
  uint32_t shares = Init.Ownership.Shares;
  TokenAmount capacity = refillSpec(account, shares).Capacity;
  TokenAmount want = tokensToRequest(account, immediate);
  // Owners may hold less than their capacity, so the first round asks enough of
  // them to hold twice the amount; a second round asks all the others.
  bool secondRound = account.RequestedShares != 0;
  bool parts = shares > 1 && (secondRound || capacity < 2 * WholeToken);
  TokenRequestMode mode =
      parts ? TokenRequestMode::Parts : TokenRequestMode::Whole;
  TokenAmount enough = secondRound ? INT64_MAX : 2 * want;
  TokenAmount expected = 0;
  auto start = static_cast<uint32_t>(mix(LastRequestSerial + 1) % shares);
  for (uint32_t n = 0; n < shares && expected < enough; ++n) {
    uint32_t share = (start + n) % shares;
    uint64_t bit = uint64_t{1} << share;
    if ((Accounts[index].RequestedShares & bit) != 0)
      continue;
    Accounts[index].RequestedShares |= bit;
    VmHandle vm = vmForShare(account.Partition, share, now);
    if (!vm.valid() || vm == Self)
      continue;
    sendTokenRequest(index, vm, share, want, mode, immediate, now);
    expected += std::max<TokenAmount>(capacity, 1);
  }
  bool requested = account.PendingRequests != NoIndex;
  if (!requested)
    account.RequestedShares = 0;
  return requested;
}

std::span<const VmHandle> RateState::vmsForShare(uint32_t share) const {
  if (Zones.empty())
    return {};
  const ZoneMembers &zone = Zones[share % Zones.size()];
  bool useAllZones = Init.Ownership.Shares == 1 || zone.Usable.empty();
  return useAllZones ? std::span<const VmHandle>(AllUsable) : zone.Usable;
}

VmHandle RateState::rankedVm(uint32_t partition, uint32_t salt,
                             std::span<const VmHandle> vms,
                             uint32_t rank) const {
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
  clearSentMessages();
  Members.assign(members.begin(), members.end());
  Self = self;
  OutgoingByVm.resize(std::max(OutgoingByVm.size(), members.size()));
  for (ZoneMembers &it : Zones)
    it.Usable.clear();
  AllUsable.clear();
  for (uint32_t n = 0; n < members.size(); ++n) {
    auto zone = std::lower_bound(
        Zones.begin(), Zones.end(), members[n].Zone,
        [](const ZoneMembers &it, uint64_t key) { return it.Zone < key; });
    // A zone without usable VMs keeps its index, so that no share moves.
    if (zone == Zones.end() || zone->Zone != members[n].Zone)
      zone = Zones.insert(zone, {members[n].Zone, {}});
    bool usable = members[n].Usable || n == self.Value;
    if (!usable)
      continue;
    zone->Usable.push_back({n});
    AllUsable.push_back({n});
  }
  for (uint32_t p = 0; p < Init.Ownership.Partitions; ++p) {
    for (uint32_t s = 0; s < Init.Ownership.Shares; ++s)
      selectCandidate(p, s, shareCandidate(p, s));
    selectCandidate(p, NoIndex, RelayCandidates[p]);
  }
  reviewShares(now);
}

void RateState::selectCandidate(uint32_t partition, uint32_t share,
                                Candidate &candidate) {
  if (share != NoIndex) {
    // Spreads several shares of a zone over different VMs.
    auto salt = static_cast<uint32_t>(Zones.empty() ? 0 : share / Zones.size());
    candidate.Vm =
        rankedVm(partition, salt, vmsForShare(share), candidate.Rank);
    return;
  }
  for (const ZoneMembers &it : Zones)
    if (it.Zone == Members[Self.Value].Zone)
      candidate.Vm = rankedVm(partition, NoSalt, it.Usable, candidate.Rank);
}

VmHandle RateState::vmForShare(uint32_t partition, uint32_t share,
                               Instant now) {
  Candidate &candidate = shareCandidate(partition, share);
  if (candidate.Rank > 0 && now >= candidate.SkipUntil) {
    candidate.Rank = 0;
    selectCandidate(partition, share, candidate);
  }
  return candidate.Vm;
}

VmHandle RateState::vmForRelay(uint32_t partition, Instant now) {
  Candidate &candidate = RelayCandidates[partition];
  if (candidate.Rank > 0 && now >= candidate.SkipUntil) {
    candidate.Rank = 0;
    selectCandidate(partition, NoIndex, candidate);
  }
  return candidate.Vm;
}

void RateState::skipCandidate(const TokenAccount &account,
                              const PendingTokenRequest &request, Instant now) {
  bool relay = request.Share == NoIndex;
  Candidate &candidate = relay
                             ? RelayCandidates[account.Partition]
                             : shareCandidate(account.Partition, request.Share);
  // Another request may have skipped it already.
  if (candidate.Vm != request.To)
    return;
  ++candidate.Rank;
  candidate.SkipUntil = now + Init.VmBackoffInterval;
  selectCandidate(account.Partition, request.Share, candidate);
  if (candidate.Vm == request.To)
    candidate.Rank = 0;
}

void RateState::reviewShares(Instant now) {
  if (Members.empty() || Init.Strategy == RateStrategyKind::EvenSplit)
    return;
  for (uint32_t p = 0; p < Init.Ownership.Partitions; ++p) {
    for (uint32_t s = 0; s < Init.Ownership.Shares; ++s) {
      Candidate &candidate = shareCandidate(p, s);
      bool shouldOwn = candidate.Rank == 0 && candidate.Vm == Self && !Leaving;
      if (shouldOwn) {
        candidate.OutrankedSince = NeverInstant;
        Owner.want({p, s}, true, now);
        continue;
      }
      if (candidate.OutrankedSince == NeverInstant)
        candidate.OutrankedSince = now;
      if (Leaving || now - candidate.OutrankedSince >= ShareHandoverDelay)
        Owner.want({p, s}, false, now);
    }
  }
  Owner.advance(now);
}

void RateState::releaseShares(Instant now) {
  clearSentMessages();
  Leaving = true;
  reviewShares(now);
}

std::string_view rateStrategyName(RateStrategyKind strategy) {
  return RateState::strategy(strategy).Name;
}

RateInit rateInitFor(RateStrategyKind strategy, uint32_t zones,
                     uint32_t evenSplitParts, uint64_t owner) {
  const RateState::Strategy &row = RateState::strategy(strategy);
  RateInit init;
  init.Strategy = strategy;
  init.EvenSplitParts = evenSplitParts;
  init.Ownership.Shares =
      row.SharesPerZone == 0 ? 1 : zones * row.SharesPerZone;
  init.Ownership.Term = row.LeaseTerm;
  init.Ownership.RenewInterval = row.RenewInterval;
  init.Ownership.RetryInterval =
      std::min<Duration>(std::chrono::seconds(5), row.RenewInterval);
  init.Ownership.MaxGrantLifetime = init.GrantLifetime;
  init.Ownership.Owner = owner;
  return init;
}

} // namespace guavasail
