#include "rate_ledger.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr int64_t MicrosPerSecond = 1'000'000;

/// Refills cover at most this time, so that elapsed time x rate does not
/// overflow.
constexpr Duration MaxRefillInterval = std::chrono::hours(1);

/// Tokens of a grant that expires sooner are not granted on.
constexpr Duration MinGrantableLifetime = std::chrono::milliseconds(50);

constexpr size_t InitialRingSize = 64;

} // namespace

RateLedger::RateLedger(Duration lifetime, Duration immediateLifetime,
                       uint32_t driftPpm, uint64_t firstSerial)
    : DriftPpm(driftPpm) {
  Rings[0].Lifetime = lifetime;
  Rings[1].Lifetime = immediateLifetime;
  for (GrantRing &it : Rings) {
    it.Parts.resize(InitialRingSize);
    it.OldestNumber = firstSerial >> 1;
  }
}

void RateLedger::GrantRing::push(const GrantPart &part) {
  if (Count == Parts.size()) {
    std::vector<GrantPart> larger(Parts.size() * 2);
    for (size_t n = 0; n < Count; ++n)
      larger[n] = at(n);
    Parts.swap(larger);
    Head = 0;
  }
  ++Count;
  at(Count - 1) = part;
}

void RateLedger::GrantRing::pop() {
  Head = (Head + 1) & (Parts.size() - 1);
  --Count;
  ++OldestNumber;
}

uint32_t RateLedger::openAccount() {
  Heads.push_back(None);
  return static_cast<uint32_t>(Heads.size() - 1);
}

void RateLedger::closeAccount(uint32_t account) {
  for (uint32_t it = Heads[account]; it != None;) {
    uint32_t next = Sources[it].Next;
    freeSource(it);
    it = next;
  }
  Heads[account] = None;
}

bool RateLedger::canForget(uint32_t account) const {
  for (uint32_t it = Heads[account]; it != None; it = Sources[it].Next) {
    const Source &source = Sources[it];
    bool full = source.Share != None && source.Outstanding == 0 &&
                source.Level >= source.Refill.Capacity;
    if (!full)
      return false;
  }
  return true;
}

uint32_t RateLedger::addSource(uint32_t account) {
  uint32_t index = FreeSource;
  if (index == None) {
    index = static_cast<uint32_t>(Sources.size());
    Sources.emplace_back();
  } else {
    FreeSource = Sources[index].Next;
  }
  uint32_t generation = Sources[index].Generation;
  Sources[index] = Source{};
  Sources[index].Generation = generation;
  Sources[index].Next = Heads[account];
  Heads[account] = index;
  return index;
}

void RateLedger::freeSource(uint32_t index) {
  ++Sources[index].Generation;
  Sources[index].Next = FreeSource;
  FreeSource = index;
}

void RateLedger::setShare(uint32_t account, uint32_t share,
                          const ShareLease &lease, const RefillSpec &refill,
                          Instant now) {
  uint32_t index = Heads[account];
  while (index != None && Sources[index].Share != share)
    index = Sources[index].Next;
  bool known = index != None;
  if (!known)
    index = addSource(account);
  Source &source = Sources[index];
  bool isNew =
      !known || source.Serial != lease.Epoch || source.Updated < lease.From;
  if (isNew) {
    // Grants of earlier leases have expired by From; the bucket is empty then.
    source.Share = share;
    source.Serial = lease.Epoch;
    source.Level = 0;
    source.Updated = lease.From;
  } else {
    refillSource(source, now);
  }
  source.Until = lease.Until;
  source.Refill = refill;
  source.Level =
      std::min(source.Level,
               std::max<TokenAmount>(0, refill.Capacity - source.Outstanding));
}

void RateLedger::removeShare(uint32_t account, uint32_t share, Instant now) {
  for (uint32_t it = Heads[account]; it != None; it = Sources[it].Next) {
    if (Sources[it].Share != share)
      continue;
    Sources[it].Share = None;
    Sources[it].Until = Instant::min();
    return prune(account, now);
  }
}

void RateLedger::addGrant(uint32_t account, VmHandle grantor, uint64_t serial,
                          TokenAmount amount, Instant until) {
  Source &source = Sources[addSource(account)];
  source.Level = amount;
  source.Refill.Capacity = amount;
  source.Serial = serial;
  source.Until = until;
  source.Grantor = grantor;
}

void RateLedger::refillSource(Source &source, Instant now) {
  if (source.Refill.PerSecond == 0 || now <= source.Updated)
    return;
  Duration elapsed = std::min(now - source.Updated, MaxRefillInterval);
  TokenAmount added =
      elapsed.count() * source.Refill.PerSecond / MicrosPerSecond;
  // If the time is too short to add a token unit, it counts in the next call.
  if (added == 0)
    return;
  source.Updated = now;
  TokenAmount room = source.Refill.Capacity - source.Outstanding - source.Level;
  source.Level +=
      std::clamp<TokenAmount>(added, 0, std::max<TokenAmount>(0, room));
}

TokenAmount RateLedger::available(uint32_t account, Instant now) {
  TokenAmount sum = 0;
  for (uint32_t it = Heads[account]; it != None; it = Sources[it].Next) {
    Source &source = Sources[it];
    if (now >= source.Until)
      continue;
    refillSource(source, now);
    sum += source.Level;
  }
  return sum;
}

void RateLedger::spend(uint32_t account, TokenAmount amount, Instant now) {
  for (uint32_t it = Heads[account]; it != None && amount > 0;) {
    uint32_t next = Sources[it].Next;
    Source &source = Sources[it];
    if (now < source.Until) {
      TokenAmount part = std::min(amount, source.Level);
      source.Level -= part;
      amount -= part;
      reportIfUsedUp(it);
    }
    it = next;
  }
  prune(account, now);
}

IssuedGrant RateLedger::issueGrant(uint32_t account, VmHandle to,
                                   TokenAmount want, bool immediate,
                                   Instant now) {
  GrantRing &ring = Rings[immediate ? 1 : 0];
  size_t first = ring.Count;
  uint64_t serial = ((ring.OldestNumber + first) << 1) | (immediate ? 1 : 0);
  IssuedGrant grant{serial, 0, ring.Lifetime};
  for (uint32_t it = Heads[account]; it != None && grant.Amount < want;
       it = Sources[it].Next) {
    Source &source = Sources[it];
    bool grantNearEnd =
        source.Grantor.valid() && source.Until < now + MinGrantableLifetime;
    if (now >= source.Until || grantNearEnd || source.Level == 0)
      continue;
    TokenAmount part = std::min(want - grant.Amount, source.Level);
    source.Level -= part;
    source.Outstanding += part;
    grant.Amount += part;
    if (source.Grantor.valid())
      grant.Lifetime = std::min(
          grant.Lifetime, reducedForDrift(source.Until - now, 2 * DriftPpm));
    ring.push({now + extendedForDrift(ring.Lifetime, 2 * DriftPpm), part, to,
               it, source.Generation, 0});
  }
  for (size_t n = first; n < ring.Count; ++n)
    ring.at(n).FollowingParts = static_cast<uint32_t>(ring.Count - 1 - n);
  return grant;
}

RateLedger::Source *RateLedger::sourceOf(const GrantPart &part) {
  if (part.Source == None)
    return nullptr;
  Source &source = Sources[part.Source];
  return source.Generation == part.Generation ? &source : nullptr;
}

TokenAmount RateLedger::closePart(GrantPart &part, TokenAmount unused,
                                  Instant now) {
  TokenAmount returned = std::min(unused, part.Amount);
  if (Source *source = sourceOf(part)) {
    refillSource(*source, now);
    source->Outstanding -= part.Amount;
    source->Level += returned;
    reportIfUsedUp(part.Source);
  }
  part.Source = None;
  part.Amount = 0;
  return returned;
}

void RateLedger::returnGrant(VmHandle from, const TokenClose &close,
                             Instant now) {
  GrantRing &ring = Rings[close.Serial & 1];
  uint64_t offset = (close.Serial >> 1) - ring.OldestNumber;
  if (offset >= ring.Count || ring.at(offset).To != from || close.Unused < 0)
    return;
  TokenAmount unused = close.Unused;
  size_t last = offset + ring.at(offset).FollowingParts;
  for (size_t n = offset; n <= last; ++n)
    unused -= closePart(ring.at(n), unused, now);
}

void RateLedger::expire(Instant now) {
  for (GrantRing &it : Rings)
    expireRing(it, now);
}

void RateLedger::expireRing(GrantRing &ring, Instant now) {
  while (ring.Count > 0 && ring.at(0).Ends <= now) {
    closePart(ring.at(0), 0, now);
    ring.pop();
  }
}

void RateLedger::reportIfUsedUp(uint32_t index) {
  Source &source = Sources[index];
  bool usedUp =
      source.Grantor.valid() && source.Level == 0 && source.Outstanding == 0;
  if (!usedUp)
    return;
  // Immediate grants expire before a report would arrive.
  if ((source.Serial & 1) == 0)
    Closed.push_back({source.Grantor, {source.Serial, 0}});
  // Prevents a second report; `prune` removes the source.
  source.Grantor = {};
  source.Until = Instant::min();
}

void RateLedger::returnExpiringGrants(uint32_t account, Instant now,
                                      Duration margin) {
  for (uint32_t it = Heads[account]; it != None; it = Sources[it].Next) {
    Source &source = Sources[it];
    bool due = source.Grantor.valid() && source.Outstanding == 0 &&
               now < source.Until && source.Until - now < margin;
    if (!due)
      continue;
    Closed.push_back({source.Grantor, {source.Serial, source.Level}});
    source.Level = 0;
    source.Grantor = {};
    source.Until = Instant::min();
  }
  prune(account, now);
}

void RateLedger::prune(uint32_t account, Instant now) {
  uint32_t *link = &Heads[account];
  while (*link != None) {
    uint32_t index = *link;
    // A share's lease may have been renewed without an update of this source;
    // dropping it would forget what was spent.
    bool kept = Sources[index].Share != None || now < Sources[index].Until;
    if (kept) {
      link = &Sources[index].Next;
      continue;
    }
    *link = Sources[index].Next;
    freeSource(index);
  }
}

size_t RateLedger::bytes() const {
  return Heads.capacity() * sizeof(uint32_t) +
         Sources.capacity() * sizeof(Source) +
         (Rings[0].Parts.capacity() + Rings[1].Parts.capacity()) *
             sizeof(GrantPart);
}

} // namespace guavasail
