/// \file
/// Accounts of tokens. Every token comes from a source: a leased share that
/// mints at a fixed rate, or a grant from another VM. What a source lends on
/// stays counted until it is returned or has expired, so that
/// level + lent never exceeds the source's capacity.
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

/// Minting of one share of one workspace's rate.
struct MintSpec {
  /// Millionths of a token per second.
  TokenAmount PerSecond = 0;
  TokenAmount Capacity = 0;
};

/// A grant handed to another VM.
struct LentGrant {
  uint64_t Serial = 0;
  TokenAmount Amount = 0;
  Duration Life{};
};

/// A grant that is used up or given back, to be reported to its grantor.
struct ClosedGrant {
  VmHandle Grantor;
  TokenClose Close;
};

/// Tokens of all workspaces that this VM holds.
class RateLedger {
public:
  /// \param life lifetime of grants that are kept.
  /// \param atOnceLife lifetime of grants that are used at once.
  /// \param driftPpm bound on clock drift in parts per million.
  /// \param firstSerial serial of the first grant; differs for each run.
  RateLedger(Duration life, Duration atOnceLife, uint32_t driftPpm,
             uint64_t firstSerial);

  /// Adds a place for the tokens of one workspace.
  /// \returns its index.
  uint32_t open();

  /// Drops all sources of \p purse.
  void close(uint32_t purse);

  /// \returns true if forgetting \p purse loses nothing: what is held would be
  /// minted again to the same level.
  [[nodiscard]] bool idle(uint32_t purse) const;

  /// Makes sure that \p purse has the source of a share that this VM owns.
  void holdShare(uint32_t purse, uint32_t share, const ShareLease &lease,
                 const MintSpec &mint, Instant now);

  /// Ends the source of a share that this VM does not own now.
  void dropShare(uint32_t purse, uint32_t share, Instant now);

  /// Adds a grant from another VM.
  void addGrant(uint32_t purse, VmHandle grantor, uint64_t serial,
                TokenAmount amount, Instant until);

  /// \returns the tokens that can be used at \p now.
  TokenAmount available(uint32_t purse, Instant now);

  /// Uses \p amount, which must be available.
  void spend(uint32_t purse, TokenAmount amount, Instant now);

  /// Lends at most \p want. \returns an amount of 0 if nothing is available.
  LentGrant lend(uint32_t purse, VmHandle to, TokenAmount want, bool atOnce,
                 Instant now);

  /// Takes back a grant of \p from. Unknown or expired serials are ignored.
  void returned(VmHandle from, const TokenClose &close, Instant now);

  /// Forgets lent grants that have expired, and sources that have ended.
  void expire(Instant now);

  /// Gives back grants of \p purse whose end is nearer than \p margin.
  void surrender(uint32_t purse, Instant now, Duration margin);

  /// \returns true if \p purse has no source.
  [[nodiscard]] bool vacant(uint32_t purse) const {
    return Heads[purse] == None;
  }

  /// \returns grants to report to their grantors. The caller clears them.
  std::vector<ClosedGrant> &closed() { return Closed; }

  /// \returns bytes held.
  [[nodiscard]] size_t bytes() const;
  [[nodiscard]] size_t lentCount() const {
    return Rings[0].Count + Rings[1].Count;
  }

private:
  static constexpr uint32_t None = UINT32_MAX;

  struct Source {
    TokenAmount Level = 0;
    TokenAmount Lent = 0;
    MintSpec Mint;
    /// Epoch of the lease, or serial of the grant.
    uint64_t Serial = 0;
    Instant Updated{};
    Instant Until{};
    VmHandle Grantor;
    uint32_t Share = None;
    uint32_t Next = None;
    uint32_t Generation = 0;
  };

  /// A part of a lent grant that came from one source.
  struct LentPart {
    Instant Ends{};
    TokenAmount Amount = 0;
    VmHandle To;
    uint32_t Source = None;
    uint32_t Generation = 0;
    /// Further parts of the same grant that follow.
    uint32_t More = 0;
  };

  /// Lent parts of one lifetime in order of their ends.
  struct LentRing {
    Duration Life{};
    /// Size is a power of two.
    std::vector<LentPart> Parts;
    size_t Head = 0;
    size_t Count = 0;
    /// Number of the oldest part.
    uint64_t First = 0;

    LentPart &at(size_t offset) {
      return Parts[(Head + offset) & (Parts.size() - 1)];
    }
    void push(const LentPart &part);
    void pop();
  };

  void expireRing(LentRing &ring, Instant now);
  uint32_t addSource(uint32_t purse);
  void freeSource(uint32_t index);
  void refill(Source &source, Instant now);
  Source *sourceOf(const LentPart &part);
  TokenAmount closePart(LentPart &part, TokenAmount unused, Instant now);
  void reportIfDone(uint32_t index);
  void prune(uint32_t purse, Instant now);

  uint32_t DriftPpm;
  std::vector<uint32_t> Heads;
  std::vector<Source> Sources;
  uint32_t FreeSource = None;
  /// Kept grants and grants used at once. The lowest bit of a serial tells
  /// the ring.
  std::array<LentRing, 2> Rings;
  std::vector<ClosedGrant> Closed;
};

} // namespace guavasail

#endif
