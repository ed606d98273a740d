/// \file
/// Simulates a fleet of rate limiters in virtual time, with an unreliable
/// network and a store of share records, and checks all admissions.
#ifndef GUAVASAIL_TESTS_RATE_FLEET_H
#define GUAVASAIL_TESTS_RATE_FLEET_H

#include "guavasail/rate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <vector>

namespace guavasail {

/// Parameters of a simulated fleet.
struct FleetInit {
  RateStrategyKind Strategy = RateStrategyKind::ZoneShares;
  uint32_t Vms = 4;
  uint32_t Zones = 4;
  uint32_t Partitions = 8;
  uint64_t Seed = 1;
  std::vector<RateLimit> Limits;
  /// One-way delays; each message takes up to a quarter longer.
  Duration InZoneDelay = std::chrono::microseconds(150);
  Duration CrossZoneDelay = std::chrono::microseconds(4500);
  Duration StoreDelay = std::chrono::milliseconds(2);
  /// Share of messages that are lost or duplicated.
  uint32_t LostPerMille = 0;
  uint32_t RepeatedPerMille = 0;
  /// Lease length; zero selects the strategy's default.
  Duration LeaseTerm{};
  /// Time until the other VMs detect that a VM has stopped or started.
  Duration DetectionDelay = std::chrono::seconds(3);
};

/// Request counts of one workspace.
struct WorkspaceResult {
  uint64_t Offered = 0;
  uint64_t Admitted = 0;
  /// Refused although a single token bucket for the fleet would have admitted.
  uint64_t RefusedWithinRate = 0;
  /// Largest excess of any window over rate x length + burst.
  TokenAmount MaxExcess = INT64_MIN;
};

/// Checks that no window has more admissions than rate x length + burst: a
/// leaky bucket that drains at the rate must never hold more than burst.
class WindowOracle {
public:
  WindowOracle(uint32_t rate, uint32_t burst)
      : Rate(rate), Burst(int64_t{burst} * WholeToken) {}

  /// Adds one admission. \returns the excess over the window limit; at most 0
  /// if the limit holds.
  TokenAmount admit(Instant now) {
    drain(now);
    Level += WholeToken;
    return Level - Burst;
  }

  /// Offers one request to an ideal bucket. \returns true if it is admitted.
  bool offer(Instant now) {
    drain(now);
    if (Level + WholeToken > Burst)
      return false;
    Level += WholeToken;
    return true;
  }

private:
  void drain(Instant now) {
    int64_t drained = (now - Last).count() * Rate;
    Level = std::max<int64_t>(0, Level - drained);
    Last = now;
  }

  int64_t Rate;
  int64_t Burst;
  int64_t Level = 0;
  Instant Last{};
};

/// A fleet of rate limiters, driven by a queue of timed actions.
class RateFleet {
public:
  explicit RateFleet(const FleetInit &init);

  /// Advances virtual time by \p span.
  void run(Duration span);

  /// Sends one request to a VM. A VM that is down or paused drops it.
  void offer(uint32_t vm, uint32_t workspace);

  /// Injects faults. Network cuts are one-way.
  void setCut(uint32_t from, uint32_t to, bool on);
  void pause(uint32_t vm, Duration span);
  void crash(uint32_t vm);
  void start(uint32_t vm);
  void drain(uint32_t vm);
  void setStoreUnavailable(bool unavailable) { StoreUnavailable = unavailable; }
  void setStoreReachable(uint32_t vm, bool reachable) {
    Nodes[vm].StoreReachable = reachable;
  }
  /// Loses the replies to the next calls, which the store still applies.
  void loseStoreReplies(uint32_t count) { StoreRepliesToLose = count; }
  void setClockDrift(uint32_t vm, int32_t ppm);
  /// Sets whether \p vm believes that \p other is alive.
  void setBelievedUsable(uint32_t vm, uint32_t other, bool usable);
  /// Delays each store call and reply by a random time below \p delay.
  void setMaxExtraStoreDelay(Duration delay) { MaxExtraStoreDelay = delay; }
  [[nodiscard]] uint32_t vms() const { return Init.Vms; }
  [[nodiscard]] uint32_t workspaces() const {
    return static_cast<uint32_t>(Init.Limits.size());
  }
  [[nodiscard]] const RateLimit &limit(uint32_t workspace) const {
    return Init.Limits[workspace];
  }
  void setMessageFaults(uint32_t lostPerMille, uint32_t repeatedPerMille);

  [[nodiscard]] Instant now() const { return Now; }
  [[nodiscard]] bool up(uint32_t vm) const { return Nodes[vm].Up; }
  [[nodiscard]] const WorkspaceResult &result(uint32_t workspace) const {
    return Results[workspace];
  }
  [[nodiscard]] TokenAmount maxExcess() const;
  [[nodiscard]] uint64_t offered() const;
  [[nodiscard]] uint64_t admitted() const;
  [[nodiscard]] uint64_t refusedWithinRate() const;
  void clearResults();

  [[nodiscard]] uint64_t waited() const { return Waited; }
  [[nodiscard]] const std::vector<Duration> &waits() const { return Waits; }
  [[nodiscard]] uint64_t messages() const { return Messages; }
  [[nodiscard]] uint64_t bytes() const { return Bytes; }
  [[nodiscard]] uint64_t storeCalls() const { return StoreCalls; }
  [[nodiscard]] RateLimiter &limiter(uint32_t vm) { return *Nodes[vm].Limiter; }
  [[nodiscard]] uint32_t ownedShares(uint32_t vm);

private:
  enum class ActionKind : uint8_t {
    Request,
    Grant,
    StoreCall,
    StoreReply,
    Advance,
    Decide,
    MemberUpdate
  };
  struct Request {
    uint32_t Workspace = 0;
    Instant Arrived{};
    Instant Deadline{};
    bool WithinRate = false;
    bool Open = false;
  };
  struct Action {
    Instant At{};
    uint64_t Order = 0;
    ActionKind Kind = ActionKind::Advance;
    uint32_t Vm = 0;
    uint32_t From = 0;
    uint64_t RunId = 0;
    size_t Waiting = 0;
    uint64_t Requester = 0;
    std::vector<TokenRequestEntry> Requests;
    std::vector<TokenClose> Closes;
    std::vector<TokenGrantEntry> Grants;
    ShareCall Call;
    ShareReply Reply;
    friend bool operator<(const Action &left, const Action &right) {
      return left.At != right.At ? left.At > right.At
                                 : left.Order > right.Order;
    }
  };
  struct Node {
    std::optional<RateLimiter> Limiter;
    std::vector<RateMember> Members;
    std::vector<size_t> Waiting;
    uint64_t RunId = 0;
    bool Up = false;
    bool StoreReachable = true;
    Instant PausedUntil{};
    /// Local time is Base + (virtual time - Since) x (1 + drift).
    Instant Base{};
    Instant Since{};
    int32_t DriftPpm = 0;
    Instant NextWake = NeverInstant;
  };
  struct ShareRecord {
    uint64_t Owner = 0;
    uint64_t Epoch = 0;
    Instant Until = Instant::min();
  };

  [[nodiscard]] Instant localTime(const Node &node) const;
  void schedule(Action action, Duration delay);
  void handleAction(Action &action);
  void announce(uint32_t vm, bool usable);
  void processOutput(uint32_t vm);
  void decide(uint32_t vm, size_t request);
  void admitted(const Request &request);
  void refused(const Request &request);
  void sendMessages(uint32_t vm);
  void applyStoreCall(const Action &action);
  [[nodiscard]] Duration delay(uint32_t from, uint32_t to);
  Duration storeDelay();
  [[nodiscard]] uint32_t zone(uint32_t vm) const { return vm % Init.Zones; }

  FleetInit Init;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  std::vector<std::vector<bool>> Cuts;
  std::priority_queue<Action> Queue;
  std::map<std::pair<uint32_t, uint32_t>, ShareRecord> Store;
  std::vector<WindowOracle> Oracles;
  std::vector<WindowOracle> IdealBuckets;
  std::vector<WorkspaceResult> Results;
  std::vector<Request> Requests;
  std::vector<Duration> Waits;
  EffectBuffer Effects;
  Instant Now{std::chrono::seconds(1000)};
  uint64_t Order = 0;
  uint64_t Waited = 0;
  uint64_t Messages = 0;
  uint64_t Bytes = 0;
  uint64_t StoreCalls = 0;
  uint32_t StoreRepliesToLose = 0;
  Duration MaxExtraStoreDelay{};
  bool StoreUnavailable = false;
};

/// Sends more requests than any limit admits to all VMs.
void saturate(RateFleet &fleet, Duration span);

/// Sends each workspace's requests at half its rate to VMs chosen by \p seed,
/// so that VMs hold unused tokens.
void offerHalfRate(RateFleet &fleet, Duration span, uint64_t seed);

/// Cuts \p vm off from the store and makes the other VMs believe that it is
/// down, while it goes on serving; uses up all tokens after an idle time.
void replaceOwner(RateFleet &fleet, uint32_t vm, Duration wait, Duration idle);

} // namespace guavasail

#endif
