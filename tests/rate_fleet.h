/// \file
/// A few rate parts joined by a lossy queue in virtual time, a stand-in for
/// the store's share records, and an oracle over all admissions.
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

/// Describes a run.
struct FleetInit {
  RateStrategyKind Strategy = RateStrategyKind::ZoneShares;
  uint32_t Vms = 4;
  uint32_t Zones = 4;
  uint32_t Partitions = 8;
  uint64_t Seed = 1;
  std::vector<RateLimit> Limits;
  /// One-way delays; each message takes up to a quarter longer.
  Duration InZone = std::chrono::microseconds(150);
  Duration CrossZone = std::chrono::microseconds(4500);
  Duration Store = std::chrono::milliseconds(2);
  /// Messages of a thousand that are lost, or sent twice.
  uint32_t LostPerMille = 0;
  uint32_t RepeatedPerMille = 0;
  /// Lease length; zero keeps the one of the strategy.
  Duration Term{};
  /// Time after which the others notice that a VM is gone or back.
  Duration Detection = std::chrono::seconds(3);
};

/// What became of the requests of one workspace.
struct WorkspaceResult {
  uint64_t Offered = 0;
  uint64_t Admitted = 0;
  /// Refused although one ideal bucket for the whole fleet would admit.
  uint64_t RefusedInside = 0;
  /// Most that any window was above rate x length + burst.
  TokenAmount MaxExcess = INT64_MIN;
};

/// Checks a sequence of admissions against rate x length + burst in every
/// window: a bucket that drains at the rate must never hold more than burst.
class WindowOracle {
public:
  WindowOracle(uint32_t rate, uint32_t burst)
      : Rate(rate), Burst(int64_t{burst} * WholeToken) {}

  /// Adds one admission. \returns by how much the window bound is exceeded.
  TokenAmount admit(Instant now) {
    drain(now);
    Level += WholeToken;
    return Level - Burst;
  }

  /// Adds one request to an ideal bucket. \returns true if it is admitted.
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

/// Runs the parts of a fleet.
class RateFleet {
public:
  explicit RateFleet(const FleetInit &init);

  /// Lets time pass.
  void run(Duration span);

  /// Offers one request to a VM. A VM that is down or paused drops it.
  void offer(uint32_t vm, uint32_t workspace);

  /// Faults. Cuts are one-way.
  void cut(uint32_t from, uint32_t to, bool on);
  void pause(uint32_t vm, Duration span);
  void crash(uint32_t vm);
  void start(uint32_t vm);
  void drain(uint32_t vm);
  void storeAway(bool away) { StoreIsAway = away; }
  void storeReach(uint32_t vm, bool reaches) { Nodes[vm].Store = reaches; }
  /// The store applies the next calls and loses their replies.
  void loseStoreReplies(uint32_t count) { StoreRepliesToLose = count; }
  void clockDrift(uint32_t vm, int32_t ppm);
  /// Sets what \p vm believes of \p other.
  void believe(uint32_t vm, uint32_t other, bool usable);
  /// Adds a random time up to \p most to each message from now on.
  void slow(Duration most) { Slowness = most; }
  [[nodiscard]] uint32_t vms() const { return Init.Vms; }
  [[nodiscard]] uint32_t workspaces() const {
    return static_cast<uint32_t>(Init.Limits.size());
  }
  [[nodiscard]] const RateLimit &limit(uint32_t workspace) const {
    return Init.Limits[workspace];
  }
  void faults(uint32_t lostPerMille, uint32_t repeatedPerMille);

  [[nodiscard]] Instant now() const { return Now; }
  [[nodiscard]] bool up(uint32_t vm) const { return Nodes[vm].Up; }
  [[nodiscard]] const WorkspaceResult &result(uint32_t workspace) const {
    return Results[workspace];
  }
  [[nodiscard]] TokenAmount maxExcess() const;
  [[nodiscard]] uint64_t offered() const;
  [[nodiscard]] uint64_t admitted() const;
  [[nodiscard]] uint64_t refusedInside() const;
  void clearResults();

  [[nodiscard]] uint64_t waited() const { return Waited; }
  [[nodiscard]] const std::vector<Duration> &waits() const { return Waits; }
  [[nodiscard]] uint64_t messages() const { return Messages; }
  [[nodiscard]] uint64_t bytes() const { return Bytes; }
  [[nodiscard]] uint64_t storeCalls() const { return StoreCalls; }
  [[nodiscard]] RateLimiter &part(uint32_t vm) { return *Nodes[vm].Part; }
  [[nodiscard]] uint32_t ownedShares(uint32_t vm);

private:
  enum class ActionKind : uint8_t {
    Ask,
    Grant,
    StoreCall,
    StoreReply,
    Wake,
    Decide,
    View
  };
  struct Request {
    uint32_t Workspace = 0;
    Instant Arrived{};
    Instant Deadline{};
    bool Inside = false;
    bool Open = false;
  };
  struct Action {
    Instant At{};
    uint64_t Order = 0;
    ActionKind Kind = ActionKind::Wake;
    uint32_t Vm = 0;
    uint32_t From = 0;
    uint64_t Run = 0;
    size_t Waiting = 0;
    uint64_t Asker = 0;
    std::vector<TokenAskEntry> Asks;
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
    std::optional<RateLimiter> Part;
    std::vector<RateMember> View;
    std::vector<size_t> Waiting;
    uint64_t Run = 0;
    bool Up = false;
    bool Store = true;
    Instant PausedUntil{};
    /// Local time is Base + (true time - Since) x (1 + drift).
    Instant Base{};
    Instant Since{};
    int32_t DriftPpm = 0;
    Instant Woken = NeverInstant;
  };
  struct ShareRecord {
    uint64_t Owner = 0;
    uint64_t Epoch = 0;
    Instant Until = Instant::min();
  };

  [[nodiscard]] Instant local(const Node &node) const;
  void schedule(Action action, Duration delay);
  void perform(Action &action);
  void tell(uint32_t vm, bool usable);
  void after(uint32_t vm);
  void decide(uint32_t vm, size_t request);
  void admitted(const Request &request);
  void refused(const Request &request);
  void sendOut(uint32_t vm);
  void applyStore(const Action &action);
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
  std::vector<WindowOracle> Ideals;
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
  Duration Slowness{};
  bool StoreIsAway = false;
};

/// Offers more requests than any rate, on all VMs.
void storm(RateFleet &fleet, Duration span);

/// Offers each workspace half of its rate on VMs chosen by \p seed, so that
/// VMs hold tokens that they do not use.
void trickle(RateFleet &fleet, Duration span, uint64_t seed);

/// Cuts \p vm off from the store, makes the others believe that it is gone,
/// and uses all tokens after a rest. The VM itself goes on serving.
void replaceOwner(RateFleet &fleet, uint32_t vm, Duration wait, Duration rest);

} // namespace guavasail

#endif
