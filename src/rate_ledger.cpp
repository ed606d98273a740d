#include "rate_ledger.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr int64_t MicrosPerSecond = 1'000'000;

/// Longest time for which a refill is worked out; bounds the product.
constexpr Duration MaxRefill = std::chrono::hours(1);

/// A grant that ends sooner is not lent on.
constexpr Duration MinLife = std::chrono::milliseconds(50);

constexpr size_t FirstRingSize = 64;

} // namespace

RateLedger::RateLedger(Duration life, Duration atOnceLife, uint32_t driftPpm,
                       uint64_t firstSerial)
    : DriftPpm(driftPpm) {
  Rings[0].Life = life;
  Rings[1].Life = atOnceLife;
  for (LentRing &it : Rings) {
    it.Parts.resize(FirstRingSize);
    it.First = firstSerial >> 1;
  }
}

void RateLedger::LentRing::push(const LentPart &part) {
  if (Count == Parts.size()) {
    std::vector<LentPart> larger(Parts.size() * 2);
    for (size_t n = 0; n < Count; ++n)
      larger[n] = at(n);
    Parts.swap(larger);
    Head = 0;
  }
  ++Count;
  at(Count - 1) = part;
}

void RateLedger::LentRing::pop() {
  Head = (Head + 1) & (Parts.size() - 1);
  --Count;
  ++First;
}

uint32_t RateLedger::open() {
  Heads.push_back(None);
  return static_cast<uint32_t>(Heads.size() - 1);
}

void RateLedger::close(uint32_t purse) {
  for (uint32_t it = Heads[purse]; it != None;) {
    uint32_t next = Sources[it].Next;
    freeSource(it);
    it = next;
  }
  Heads[purse] = None;
}

bool RateLedger::idle(uint32_t purse) const {
  for (uint32_t it = Heads[purse]; it != None; it = Sources[it].Next) {
    const Source &source = Sources[it];
    bool full = source.Share != None && source.Lent == 0 &&
                source.Level >= source.Mint.Capacity;
    if (!full)
      return false;
  }
  return true;
}

uint32_t RateLedger::addSource(uint32_t purse) {
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
  Sources[index].Next = Heads[purse];
  Heads[purse] = index;
  return index;
}

void RateLedger::freeSource(uint32_t index) {
  ++Sources[index].Generation;
  Sources[index].Next = FreeSource;
  FreeSource = index;
}

void RateLedger::holdShare(uint32_t purse, uint32_t share,
                           const ShareLease &lease, const MintSpec &mint,
                           Instant now) {
  uint32_t index = Heads[purse];
  while (index != None && Sources[index].Share != share)
    index = Sources[index].Next;
  bool known = index != None;
  if (!known)
    index = addSource(purse);
  Source &source = Sources[index];
  bool fresh =
      !known || source.Serial != lease.Epoch || source.Updated < lease.From;
  if (fresh) {
    // Nothing that this VM has forgotten can be outstanding before From.
    source.Share = share;
    source.Serial = lease.Epoch;
    source.Level = 0;
    source.Updated = lease.From;
  } else {
    refill(source, now);
  }
  source.Until = lease.Until;
  source.Mint = mint;
  source.Level = std::min(
      source.Level, std::max<TokenAmount>(0, mint.Capacity - source.Lent));
}

void RateLedger::dropShare(uint32_t purse, uint32_t share, Instant now) {
  for (uint32_t it = Heads[purse]; it != None; it = Sources[it].Next) {
    if (Sources[it].Share != share)
      continue;
    Sources[it].Share = None;
    Sources[it].Until = Instant::min();
    return prune(purse, now);
  }
}

void RateLedger::addGrant(uint32_t purse, VmHandle grantor, uint64_t serial,
                          TokenAmount amount, Instant until) {
  Source &source = Sources[addSource(purse)];
  source.Level = amount;
  source.Mint.Capacity = amount;
  source.Serial = serial;
  source.Until = until;
  source.Grantor = grantor;
}

void RateLedger::refill(Source &source, Instant now) {
  if (source.Mint.PerSecond == 0 || now <= source.Updated)
    return;
  Duration elapsed = std::min(now - source.Updated, MaxRefill);
  TokenAmount minted =
      elapsed.count() * source.Mint.PerSecond / MicrosPerSecond;
  // A step too short to mint anything is counted with the next one.
  if (minted == 0)
    return;
  source.Updated = now;
  TokenAmount room = source.Mint.Capacity - source.Lent - source.Level;
  source.Level +=
      std::clamp<TokenAmount>(minted, 0, std::max<TokenAmount>(0, room));
}

TokenAmount RateLedger::available(uint32_t purse, Instant now) {
  TokenAmount sum = 0;
  for (uint32_t it = Heads[purse]; it != None; it = Sources[it].Next) {
    Source &source = Sources[it];
    if (now >= source.Until)
      continue;
    refill(source, now);
    sum += source.Level;
  }
  return sum;
}

void RateLedger::spend(uint32_t purse, TokenAmount amount, Instant now) {
  for (uint32_t it = Heads[purse]; it != None && amount > 0;) {
    uint32_t next = Sources[it].Next;
    Source &source = Sources[it];
    if (now < source.Until) {
      TokenAmount part = std::min(amount, source.Level);
      source.Level -= part;
      amount -= part;
      reportIfDone(it);
    }
    it = next;
  }
  prune(purse, now);
}

LentGrant RateLedger::lend(uint32_t purse, VmHandle to, TokenAmount want,
                           bool atOnce, Instant now) {
  LentRing &ring = Rings[atOnce ? 1 : 0];
  size_t first = ring.Count;
  uint64_t serial = ((ring.First + first) << 1) | (atOnce ? 1 : 0);
  LentGrant grant{serial, 0, ring.Life};
  for (uint32_t it = Heads[purse]; it != None && grant.Amount < want;
       it = Sources[it].Next) {
    Source &source = Sources[it];
    bool grantNearEnd = source.Grantor.valid() && source.Until < now + MinLife;
    if (now >= source.Until || grantNearEnd || source.Level == 0)
      continue;
    TokenAmount part = std::min(want - grant.Amount, source.Level);
    source.Level -= part;
    source.Lent += part;
    grant.Amount += part;
    if (source.Grantor.valid())
      grant.Life = std::min(grant.Life,
                            reducedForDrift(source.Until - now, 2 * DriftPpm));
    ring.push({now + extendedForDrift(ring.Life, 2 * DriftPpm), part, to, it,
               source.Generation, 0});
  }
  for (size_t n = first; n < ring.Count; ++n)
    ring.at(n).More = static_cast<uint32_t>(ring.Count - 1 - n);
  return grant;
}

RateLedger::Source *RateLedger::sourceOf(const LentPart &part) {
  if (part.Source == None)
    return nullptr;
  Source &source = Sources[part.Source];
  return source.Generation == part.Generation ? &source : nullptr;
}

TokenAmount RateLedger::closePart(LentPart &part, TokenAmount unused,
                                  Instant now) {
  TokenAmount back = std::min(unused, part.Amount);
  if (Source *source = sourceOf(part)) {
    refill(*source, now);
    source->Lent -= part.Amount;
    source->Level += back;
    reportIfDone(part.Source);
  }
  part.Source = None;
  part.Amount = 0;
  return back;
}

void RateLedger::returned(VmHandle from, const TokenClose &close, Instant now) {
  LentRing &ring = Rings[close.Serial & 1];
  uint64_t offset = (close.Serial >> 1) - ring.First;
  if (offset >= ring.Count || ring.at(offset).To != from || close.Unused < 0)
    return;
  TokenAmount unused = close.Unused;
  size_t last = offset + ring.at(offset).More;
  for (size_t n = offset; n <= last; ++n)
    unused -= closePart(ring.at(n), unused, now);
}

void RateLedger::expire(Instant now) {
  for (LentRing &it : Rings)
    expireRing(it, now);
}

void RateLedger::expireRing(LentRing &ring, Instant now) {
  while (ring.Count > 0 && ring.at(0).Ends <= now) {
    closePart(ring.at(0), 0, now);
    ring.pop();
  }
}

void RateLedger::reportIfDone(uint32_t index) {
  Source &source = Sources[index];
  bool done = source.Grantor.valid() && source.Level == 0 && source.Lent == 0;
  if (!done)
    return;
  // A grant that was to be used at once has ended before a report arrives.
  if ((source.Serial & 1) == 0)
    Closed.push_back({source.Grantor, {source.Serial, 0}});
  // Not reported twice; pruned with the next use.
  source.Grantor = {};
  source.Until = Instant::min();
}

void RateLedger::surrender(uint32_t purse, Instant now, Duration margin) {
  for (uint32_t it = Heads[purse]; it != None; it = Sources[it].Next) {
    Source &source = Sources[it];
    bool due = source.Grantor.valid() && source.Lent == 0 &&
               now < source.Until && source.Until - now < margin;
    if (!due)
      continue;
    Closed.push_back({source.Grantor, {source.Serial, source.Level}});
    source.Level = 0;
    source.Grantor = {};
    source.Until = Instant::min();
  }
  prune(purse, now);
}

void RateLedger::prune(uint32_t purse, Instant now) {
  uint32_t *link = &Heads[purse];
  while (*link != None) {
    uint32_t index = *link;
    // The lease of a share may have been extended without this source being
    // told; what was spent from it must not be forgotten.
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
             sizeof(LentPart);
}

} // namespace guavasail
