/// \file
/// State of the rate limits of one daemon.
#ifndef GUAVASAIL_SRC_RATE_STATE_H
#define GUAVASAIL_SRC_RATE_STATE_H

#include "guavasail/rate.h"
#include "rate_ledger.h"

#include <utility>
#include <vector>

namespace guavasail {

inline constexpr uint32_t NoIndex = UINT32_MAX;

/// Flat pool with a free list. `T` has a member `Next`.
template <typename T> class Pool {
public:
  uint32_t take() {
    if (Free == NoIndex) {
      Items.emplace_back();
      return static_cast<uint32_t>(Items.size() - 1);
    }
    uint32_t index = Free;
    Free = Items[index].Next;
    Items[index] = T{};
    return index;
  }
  void give(uint32_t index) { Items[index].Next = std::exchange(Free, index); }
  T &operator[](uint32_t index) { return Items[index]; }
  [[nodiscard]] size_t bytes() const { return Items.capacity() * sizeof(T); }

private:
  std::vector<T> Items;
  uint32_t Free = NoIndex;
};

/// An ask that this VM sent and that was not answered yet.
struct PendingAsk {
  uint64_t Serial = 0;
  VmHandle To;
  /// Share that the asked VM is presumed to own; `NoIndex` for a relay.
  uint32_t Share = NoIndex;
  uint32_t Purse = NoIndex;
  Instant SentAt{};
  uint32_t Next = NoIndex;
};

/// An ask of another VM for which tokens are being gathered.
struct WaitingAsk {
  VmHandle From;
  uint64_t Asker = 0;
  uint64_t Serial = 0;
  TokenAmount Want = 0;
  TokenAskMode Mode = TokenAskMode::Gather;
  bool AtOnce = false;
  uint32_t Next = NoIndex;
};

/// A workspace that was seen here recently.
struct Purse {
  WorkspaceHandle Workspace;
  uint32_t Partition = 0;
  /// Nothing is to be had before this time.
  Instant EmptyUntil{};
  /// Time up to which refused askers were told to stay away.
  Instant DeniedUntil{};
  Instant LastUsed{};
  /// Decaying count of tokens wanted within one lifetime of a grant.
  float Demand = 0;
  /// Requests wait for tokens.
  bool Waited = false;
  /// Shares that were asked in this round, one bit each.
  uint64_t AskedShares = 0;
  uint32_t Pending = NoIndex;
  uint32_t Waiting = NoIndex;
  uint32_t Next = NoIndex;
};

/// The VM to ask for one share or relay.
struct Candidate {
  VmHandle Vm;
  /// Number of better candidates that are passed over.
  uint32_t Rank = 0;
  Instant PassOverUntil{};
  /// Since when another VM goes before this one; for a share held here.
  Instant NotFirstSince = NeverInstant;
};

/// Messages for one VM that are not sent yet.
struct Outgoing {
  std::vector<TokenAskEntry> Asks;
  std::vector<TokenClose> Closes;
  std::vector<TokenGrantEntry> Grants;
  uint64_t Asker = 0;
  bool Queued = false;
};

class RateState {
public:
  explicit RateState(const RateInit &init);

  // Inputs (rate_part.cpp).
  void setLimits(std::span<const RateLimit> limits, Instant now);
  Admission admit(WorkspaceHandle workspace, Instant now, bool mayAsk);
  void advance(Instant now);
  [[nodiscard]] Instant nextWake() const;
  void flush(EffectBuffer &effects);

  // Members and candidates (rate_strategy.cpp).
  void setMembers(std::span<const RateMember> members, VmHandle self,
                  Instant now);
  void reviewShares(Instant now);
  void releaseAll(Instant now);

  // Messages (rate_exchange.cpp).
  void onAsk(VmHandle from, const TokenAsk &message, Instant now);
  void onGrant(VmHandle from, const TokenGrant &message, Instant now);

  struct Strategy {
    RateStrategyKind Kind;
    std::string_view Name;
    /// Makes the sources that this VM owns match what it holds.
    void (RateState::*Sync)(uint32_t purse, Instant now);
    /// Asks for tokens. \returns true if an answer can be expected.
    bool (RateState::*Ask)(uint32_t purse, bool atOnce, Instant now);
    /// The VMs of a zone ask one VM of their zone.
    bool Relays;
    /// Number of shares per zone; 0 for one share in all.
    uint32_t SharesPerZone;
    Duration Term;
    Duration RenewInterval;
  };
  static const Strategy Strategies[];
  static const Strategy &strategy(RateStrategyKind kind);

  RateInit Init;
  ShareOwner Owner;
  RateLedger Ledger;
  RateCounts Counts;
  std::vector<WorkspaceHandle> Refreshed;

  [[nodiscard]] size_t bytes() const;

private:
  struct ZoneMembers {
    uint64_t Zone = 0;
    std::vector<VmHandle> Usable;
  };
  struct KeyEntry {
    uint64_t Key;
    WorkspaceHandle Workspace;
  };

  // Purses (rate_part.cpp).
  uint32_t purseOf(WorkspaceHandle workspace, Instant now);
  void noteDemand(Purse &purse, float tokens, Instant now);
  [[nodiscard]] MintSpec mintOf(const Purse &purse, uint32_t parts) const;
  [[nodiscard]] TokenAmount wantOf(const Purse &purse, bool atOnce) const;
  /// \returns true if tokens are kept for later requests.
  [[nodiscard]] bool keeps(const Purse &purse) const;
  TokenAmount available(uint32_t index, Instant now);
  void prefetch(uint32_t index, TokenAmount left, Instant now);
  void sweep(Instant now);
  bool evict(uint32_t index, Instant now);
  void beginOutput();
  Outgoing &outgoing(VmHandle vm);

  // Sources and asks by strategy (rate_strategy.cpp).
  void syncSplit(uint32_t purse, Instant now);
  void syncShares(uint32_t purse, Instant now);
  bool askNobody(uint32_t purse, bool atOnce, Instant now);
  bool askOwner(uint32_t purse, bool atOnce, Instant now);
  bool askRelay(uint32_t purse, bool atOnce, Instant now);
  bool gather(uint32_t purse, bool atOnce, Instant now);
  Candidate &shareCandidate(uint32_t partition, uint32_t share) {
    return ShareCandidates[partition * Init.Shares.Shares + share];
  }
  [[nodiscard]] VmHandle ranked(uint32_t partition, uint32_t salt,
                                std::span<const VmHandle> vms,
                                uint32_t rank) const;
  VmHandle shareVm(uint32_t partition, uint32_t share, Instant now);
  VmHandle relayVm(uint32_t partition, Instant now);
  void chooseAgain(uint32_t partition, uint32_t share, Candidate &candidate);
  void passOver(const Purse &purse, const PendingAsk &ask, Instant now);
  [[nodiscard]] std::span<const VmHandle> zoneOfShare(uint32_t share) const;

  // Messages (rate_exchange.cpp).
  void sendAsk(uint32_t index, VmHandle to, uint32_t share, TokenAmount want,
               TokenAskMode mode, bool atOnce, Instant now);
  PendingAsk takePending(uint32_t slot);
  void queueWaiting(uint32_t index, const WaitingAsk &ask, Instant now);
  void answer(VmHandle from, uint64_t asker, const TokenGrantEntry &entry);
  void onAskEntry(VmHandle from, uint64_t asker, const TokenAskEntry &entry,
                  Instant now);
  void onGrantEntry(VmHandle from, const TokenGrantEntry &entry, Instant now);
  bool lendTo(uint32_t index, const WaitingAsk &ask, Instant now);
  void deny(uint32_t index, const WaitingAsk &ask, Instant now);
  Duration retryAfter(uint32_t index, Instant now);
  void serveWaiting(uint32_t index, Instant now);
  void denyWaiting(uint32_t index, Instant now);
  void resume(uint32_t index, Duration retry, Instant now);
  void timeOutPending(uint32_t index, Instant now);
  void refresh(Purse &purse);
  [[nodiscard]] bool ownsShare(uint32_t partition, Instant now) const;

  std::vector<RateLimit> Limits;
  std::vector<KeyEntry> Keys;
  std::vector<uint32_t> PurseOf;
  std::vector<Purse> Purses;
  std::vector<uint32_t> Live;
  uint32_t FreePurse = NoIndex;
  Pool<PendingAsk> PendingPool;
  /// Place of a pending ask, by the low bits of its serial.
  std::vector<uint32_t> PendingSlots;
  Pool<WaitingAsk> WaitingPool;
  std::vector<RateMember> Members;
  VmHandle Self;
  std::vector<ZoneMembers> Zones;
  std::vector<VmHandle> AllUsable;
  std::vector<Candidate> ShareCandidates;
  std::vector<Candidate> RelayCandidates;
  std::vector<Outgoing> Out;
  std::vector<VmHandle> Queue;
  uint64_t LastAsk = 0;
  Instant Started = NeverInstant;
  Instant NextTick{};
  Instant NextReview{};
  bool Sent = false;
  bool Leaving = false;
  /// Closes without other messages go out now.
  bool SendCloses = false;
};

} // namespace guavasail

#endif
