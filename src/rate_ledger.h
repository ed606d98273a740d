/// \file
/// Token accounting of one VM. Every token comes from a source: a leased share,
/// which is a token bucket refilled at a fixed rate, or a grant from another
/// VM. Tokens granted to other VMs count against their source until the grant
/// is returned or expires, so level + outstanding never exceeds the capacity.
#ifndef GUAVASAIL_SRC_RATE_LEDGER_H
#define GUAVASAIL_SRC_RATE_LEDGER_H

#include "guavasail/handle.h"
#include "guavasail/ownership.h"
#include "guavasail/peer_message.h"
#include "guavasail/rate.h"

#include <array>
#include <cstdint>
#include <vector>

namespace guavasail {

/// Token bucket parameters of one share of a workspace's rate.
struct RefillSpec {
  /// Millionths of a token per second.
  TokenAmount PerSecond = 0;
  TokenAmount Capacity = 0;
};

/// Grant issued to another VM.
struct IssuedGrant {
  uint64_t Serial = 0;
  TokenAmount Amount = 0;
  Duration Lifetime{};
};

/// Grant that is used up or returned, to be reported to its grantor.
struct ClosedGrant {
  VmHandle Grantor;
  TokenClose Close;
};

/// Tokens that this VM holds, with one account per workspace.
class RateLedger {
public:
  /// \param lifetime lifetime of prefetched grants.
  /// \param immediateLifetime lifetime of grants for waiting requests.
  /// \param driftPpm bound on clock drift in parts per million.
  /// \param firstSerial serial of the first grant; differs for each process
  /// run.
  RateLedger(Duration lifetime, Duration immediateLifetime, uint32_t driftPpm,
             uint64_t firstSerial);

  /// Creates the token account of a workspace.
  /// \returns its index.
  uint32_t openAccount();

  /// Removes all sources of \p account.
  void closeAccount(uint32_t account);

  /// \returns true if \p account can be closed without losing state: its
  /// buckets are full and it holds no grants.
  [[nodiscard]] bool canForget(uint32_t account) const;

  /// Adds or updates the source for a share that this VM owns.
  void setShare(uint32_t account, uint32_t share, const ShareLease &lease,
                const RefillSpec &refill, Instant now);

  /// Removes the source of a share that this VM does not own.
  void removeShare(uint32_t account, uint32_t share, Instant now);

  /// Adds a grant from another VM.
  void addGrant(uint32_t account, VmHandle grantor, uint64_t serial,
                TokenAmount amount, Instant until);

  /// \returns the tokens that can be used at \p now.
  TokenAmount available(uint32_t account, Instant now);

  /// Consumes \p amount, which must be available.
  void spend(uint32_t account, TokenAmount amount, Instant now);

  /// Grants up to \p want tokens to another VM.
  /// \returns a grant whose amount is 0 if no tokens are available.
  IssuedGrant issueGrant(uint32_t account, VmHandle to, TokenAmount want,
                         bool immediate, Instant now);

  /// Takes back a grant issued to \p from. Ignores unknown and expired serials.
  void returnGrant(VmHandle from, const TokenClose &close, Instant now);

  /// Removes issued grants that have expired.
  void expire(Instant now);

  /// Returns held grants of \p account that expire within \p margin.
  void returnExpiringGrants(uint32_t account, Instant now, Duration margin);

  /// \returns true if \p account has no sources.
  [[nodiscard]] bool hasNoSource(uint32_t account) const {
    return Heads[account] == None;
  }

  /// \returns grants to report to their grantors. The caller clears them.
  std::vector<ClosedGrant> &closedGrants() { return Closed; }

  /// \returns the memory in use, in bytes.
  [[nodiscard]] size_t bytes() const;
  [[nodiscard]] size_t outstandingCount() const {
    return Rings[0].Count + Rings[1].Count;
  }

private:
  static constexpr uint32_t None = UINT32_MAX;

  /// A leased share or a grant; for a grant, `Refill.PerSecond` is 0.
  struct Source {
    TokenAmount Level = 0;
    TokenAmount Outstanding = 0;
    RefillSpec Refill;
    /// Epoch of the lease, or serial of the grant.
    uint64_t Serial = 0;
    Instant Updated{};
    Instant Until{};
    VmHandle Grantor;
    uint32_t Share = None;
    uint32_t Next = None;
    uint32_t Generation = 0;
  };

  /// The tokens of an issued grant that came from one source.
  struct GrantPart {
    Instant Ends{};
    TokenAmount Amount = 0;
    VmHandle To;
    uint32_t Source = None;
    uint32_t Generation = 0;
    /// Number of parts of the same grant after this one.
    uint32_t FollowingParts = 0;
  };

  /// Issued parts with the same lifetime, ordered by expiry.
  struct GrantRing {
    Duration Lifetime{};
    /// Size is a power of two.
    std::vector<GrantPart> Parts;
    size_t Head = 0;
    size_t Count = 0;
    /// Sequence number of the oldest part.
    uint64_t OldestNumber = 0;

    GrantPart &at(size_t offset) {
      return Parts[(Head + offset) & (Parts.size() - 1)];
    }
    void push(const GrantPart &part);
    void pop();
  };

  void expireRing(GrantRing &ring, Instant now);
  uint32_t addSource(uint32_t account);
  void freeSource(uint32_t index);
  void refillSource(Source &source, Instant now);
  Source *sourceOf(const GrantPart &part);
  TokenAmount closePart(GrantPart &part, TokenAmount unused, Instant now);
  void reportIfUsedUp(uint32_t index);
  void prune(uint32_t account, Instant now);

  uint32_t DriftPpm;
  std::vector<uint32_t> Heads;
  std::vector<Source> Sources;
  uint32_t FreeSource = None;
  /// Prefetched and immediate grants, selected by the lowest bit of a serial.
  std::array<GrantRing, 2> Rings;
  std::vector<ClosedGrant> Closed;
};

} // namespace guavasail

#endif
