/// \file
/// Internal state of `RateLimiter`.
#ifndef GUAVASAIL_SRC_RATE_STATE_H
#define GUAVASAIL_SRC_RATE_STATE_H

#include "guavasail/rate.h"
#include "rate_ledger.h"

#include <utility>
#include <vector>

namespace guavasail {

inline constexpr uint32_t NoIndex = UINT32_MAX;

/// Pool of items in one array, with a free list. `T` has a member `Next`.
template <typename T> class Pool {
public:
  uint32_t allocate() {
    if (Free == NoIndex) {
      Items.emplace_back();
      return static_cast<uint32_t>(Items.size() - 1);
    }
    uint32_t index = Free;
    Free = Items[index].Next;
    Items[index] = T{};
    return index;
  }
  void release(uint32_t index) {
    Items[index].Next = std::exchange(Free, index);
  }
  T &operator[](uint32_t index) { return Items[index]; }
  [[nodiscard]] size_t bytes() const { return Items.capacity() * sizeof(T); }

private:
  std::vector<T> Items;
  uint32_t Free = NoIndex;
};

/// Token request sent by this VM that has not been answered.
struct PendingTokenRequest {
  uint64_t Serial = 0;
  VmHandle To;
  /// Share that the recipient presumably owns; `NoIndex` for a relay.
  uint32_t Share = NoIndex;
  uint32_t Account = NoIndex;
  Instant SentAt{};
  uint32_t Next = NoIndex;
};

/// Token request of another VM that waits for tokens from share owners.
struct WaitingTokenRequest {
  VmHandle From;
  uint64_t Requester = 0;
  uint64_t Serial = 0;
  TokenAmount RequestedAmount = 0;
  TokenRequestMode Mode = TokenRequestMode::Gather;
  bool Immediate = false;
  uint32_t Next = NoIndex;
};

/// Tokens and token requests of a workspace with recent traffic here.
struct TokenAccount {
  WorkspaceHandle Workspace;
  uint32_t Partition = 0;
  /// No tokens can be obtained before this time.
  Instant EmptyUntil{};
  /// Latest retry time that was given to a refused requester.
  Instant LastRetryAt{};
  Instant LastUsed{};
  /// Requested tokens, decaying exponentially with the grant lifetime.
  float Demand = 0;
  /// Local HTTP requests wait for tokens.
  bool HasWaiters = false;
  /// Bit set of shares whose owners were asked in the current round.
  uint64_t RequestedShares = 0;
  /// First items in `PendingPool` and `WaitingPool`.
  uint32_t PendingRequests = NoIndex;
  uint32_t WaitingRequests = NoIndex;
  uint32_t Next = NoIndex;
};

/// VM to which token requests for one share, or through a relay, are sent.
struct Candidate {
  VmHandle Vm;
  /// Number of better-ranked VMs that are skipped.
  uint32_t Rank = 0;
  Instant SkipUntil{};
  /// Time since when another VM has ranked above this one.
  Instant OutrankedSince = NeverInstant;
};

/// Unsent messages to one VM.
struct OutgoingMessages {
  std::vector<TokenRequestEntry> Requests;
  std::vector<TokenClose> Closes;
  std::vector<TokenGrantEntry> Grants;
  uint64_t Requester = 0;
  bool Queued = false;
};

class RateState {
public:
  explicit RateState(const RateInit &init);

  // Inputs (rate_part.cpp).
  void setLimits(std::span<const RateLimit> limits, Instant now);
  Admission admit(WorkspaceHandle workspace, Instant now, bool mayWait);
  void advance(Instant now);
  [[nodiscard]] Instant nextWake() const;
  void flush(EffectBuffer &effects);

  // Members and candidates (rate_strategy.cpp).
  void setMembers(std::span<const RateMember> members, VmHandle self,
                  Instant now);
  void reviewShares(Instant now);
  void releaseShares(Instant now);

  // Messages (rate_exchange.cpp).
  void onTokenRequest(VmHandle from, const TokenRequest &message, Instant now);
  void onTokenGrant(VmHandle from, const TokenGrant &message, Instant now);

  struct Strategy {
    RateStrategyKind Kind;
    std::string_view Name;
    /// Updates the ledger's sources to the shares that this VM owns.
    void (RateState::*SyncSources)(uint32_t account, Instant now);
    /// Requests tokens. \returns true if a grant may arrive.
    bool (RateState::*RequestTokens)(uint32_t account, bool immediate,
                                     Instant now);
    /// The VMs of a zone send their requests through one VM of the zone.
    bool UsesRelay;
    /// Number of shares per zone; 0 means a single share for the fleet.
    uint32_t SharesPerZone;
    Duration LeaseTerm;
    Duration RenewInterval;
  };
  static const Strategy Strategies[];
  static const Strategy &strategy(RateStrategyKind kind);

  RateInit Init;
  ShareOwner Owner;
  RateLedger Ledger;
  RateCounts Counts;
  std::vector<WorkspaceHandle> ReadyWorkspaces;

  [[nodiscard]] size_t bytes() const;

private:
  struct ZoneMembers {
    uint64_t Zone = 0;
    std::vector<VmHandle> Usable;
  };
  struct WorkspaceKey {
    uint64_t Key;
    WorkspaceHandle Workspace;
  };

  // Token accounts (rate_part.cpp).
  uint32_t accountFor(WorkspaceHandle workspace, Instant now);
  void recordDemand(TokenAccount &account, float tokens, Instant now);
  [[nodiscard]] RefillSpec refillSpec(const TokenAccount &account,
                                      uint32_t parts) const;
  [[nodiscard]] TokenAmount tokensToRequest(const TokenAccount &account,
                                            bool immediate) const;
  /// \returns true if demand justifies holding tokens for later requests.
  [[nodiscard]] bool shouldPrefetch(const TokenAccount &account) const;
  TokenAmount available(uint32_t index, Instant now);
  void prefetch(uint32_t index, TokenAmount left, Instant now);
  void sweep(Instant now);
  bool evict(uint32_t index, Instant now);
  void clearSentMessages();
  OutgoingMessages &outgoing(VmHandle vm);

  // Sources and token requests by strategy (rate_strategy.cpp).
  void syncEvenSplit(uint32_t account, Instant now);
  void syncOwnedShares(uint32_t account, Instant now);
  bool requestNothing(uint32_t account, bool immediate, Instant now);
  bool requestFromOwner(uint32_t account, bool immediate, Instant now);
  bool requestFromRelay(uint32_t account, bool immediate, Instant now);
  bool gatherFromOwners(uint32_t account, bool immediate, Instant now);
  Candidate &shareCandidate(uint32_t partition, uint32_t share) {
    return ShareCandidates[partition * Init.Ownership.Shares + share];
  }
  [[nodiscard]] VmHandle rankedVm(uint32_t partition, uint32_t salt,
                                  std::span<const VmHandle> vms,
                                  uint32_t rank) const;
  VmHandle vmForShare(uint32_t partition, uint32_t share, Instant now);
  VmHandle vmForRelay(uint32_t partition, Instant now);
  void selectCandidate(uint32_t partition, uint32_t share,
                       Candidate &candidate);
  void skipCandidate(const TokenAccount &account,
                     const PendingTokenRequest &request, Instant now);
  [[nodiscard]] std::span<const VmHandle> vmsForShare(uint32_t share) const;

  // Messages (rate_exchange.cpp).
  void sendTokenRequest(uint32_t index, VmHandle to, uint32_t share,
                        TokenAmount want, TokenRequestMode mode, bool immediate,
                        Instant now);
  PendingTokenRequest removePending(uint32_t slot);
  void enqueueWaiting(uint32_t index, const WaitingTokenRequest &request,
                      Instant now);
  void sendGrant(VmHandle to, uint64_t requester, const TokenGrantEntry &entry);
  void onTokenRequestEntry(VmHandle from, uint64_t requester,
                           const TokenRequestEntry &entry, Instant now);
  void onTokenGrantEntry(VmHandle from, const TokenGrantEntry &entry,
                         Instant now);
  bool grantTo(uint32_t index, const WaitingTokenRequest &request, Instant now);
  void deny(uint32_t index, const WaitingTokenRequest &request, Instant now);
  Duration nextRetryDelay(uint32_t index, Instant now);
  void serveWaiting(uint32_t index, Instant now);
  void denyWaiting(uint32_t index, Instant now);
  void onRequestCompleted(uint32_t index, Duration retry, Instant now);
  void timeOutPendingRequests(uint32_t index, Instant now);
  void markReady(TokenAccount &account);
  [[nodiscard]] bool ownsShare(uint32_t partition, Instant now) const;

  std::vector<RateLimit> Limits;
  std::vector<WorkspaceKey> WorkspaceKeys;
  std::vector<uint32_t> AccountByWorkspace;
  std::vector<TokenAccount> Accounts;
  std::vector<uint32_t> LiveAccounts;
  uint32_t FreeAccount = NoIndex;
  Pool<PendingTokenRequest> PendingPool;
  /// Pool index of a pending request, by its serial modulo the size.
  std::vector<uint32_t> PendingSlots;
  Pool<WaitingTokenRequest> WaitingPool;
  std::vector<RateMember> Members;
  VmHandle Self;
  std::vector<ZoneMembers> Zones;
  std::vector<VmHandle> AllUsable;
  std::vector<Candidate> ShareCandidates;
  std::vector<Candidate> RelayCandidates;
  std::vector<OutgoingMessages> OutgoingByVm;
  std::vector<VmHandle> QueuedVms;
  uint64_t LastRequestSerial = 0;
  Instant StartedAt = NeverInstant;
  Instant NextTick{};
  Instant NextReview{};
  bool OutputFlushed = false;
  bool Leaving = false;
  /// Send pending closes even without another message to their grantor.
  bool ClosesDue = false;
};

} // namespace guavasail

#endif
