/// \file
/// Simulates the buckets of one workspace on several VMs that die, pause, leave
/// and lose sight of each other, in virtual time.
#ifndef GUAVASAIL_TESTS_QUOTA_FLEET_H
#define GUAVASAIL_TESTS_QUOTA_FLEET_H

#include "quota.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace guavasail {

/// Parameters of a fleet.
struct QuotaFleetInit {
  uint32_t Vms = 5;
  uint32_t Rate = 40;
  uint32_t Burst = 40;
  uint64_t Seed = 1;
};

/// VMs in the order in which they own the workspace.
class QuotaFleet {
public:
  explicit QuotaFleet(const QuotaFleetInit &init);

  /// Lets time pass, with requests at a steady rate, each to a random VM.
  /// \param perSecond requests of all VMs.
  void run(Duration time, uint32_t perSecond);

  /// Ends a process; its VM is alive in the views of others for a time.
  void kill(uint32_t vm);
  /// Starts a process that ended, with nothing of before.
  void start(uint32_t vm);
  void pause(uint32_t vm, bool paused);
  /// Cuts or restores the link between two VMs.
  void cut(uint32_t a, uint32_t b, bool down);
  /// Announces that a VM leaves; it goes on for a while.
  void leave(uint32_t vm);
  /// Restores all links and processes.
  void heal();

  /// \returns when requests were admitted.
  [[nodiscard]] const std::vector<Instant> &admitted() const {
    return Admitted;
  }
  /// \returns the most requests that were admitted in a span of time beyond
  /// what the rate allows.
  [[nodiscard]] double excess() const;
  /// \returns the requests that were sent and refused.
  [[nodiscard]] size_t refused() const { return Refused; }
  [[nodiscard]] Instant now() const { return Now; }

private:
  struct Vm {
    QuotaTable Table{1};
    bool Running = true;
    bool Paused = false;
    bool Leaving = false;
    uint32_t Incarnation = 0;
    /// When each VM was heard last.
    std::vector<Instant> HeardAt;
    std::vector<bool> SeenLeaving;
    /// VMs that did not reply and are skipped.
    std::vector<Instant> SkippedUntil;
    std::vector<uint32_t> Missed;
    Instant EventAt{};
    std::vector<VmHandle> Peers;
  };
  struct Asked {
    uint32_t Vm = 0;
    uint32_t Incarnation = 0;
    uint32_t Owner = 0;
    uint32_t Failures = 0;
    uint32_t Timeouts = 0;
    uint32_t Told = 0;
    Instant At;
    std::optional<uint32_t> Skip;
    std::optional<uint32_t> Silent;
    std::optional<uint32_t> Holder;
  };
  struct Event {
    Instant At;
    uint64_t Order = 0;
    uint32_t Vm = 0;
    uint32_t Incarnation = 0;
    std::function<void()> Run;

    friend bool operator<(const Event &left, const Event &right) {
      return std::tie(right.At, right.Order) < std::tie(left.At, left.Order);
    }
  };

  void schedule(uint32_t vm, Duration delay, std::function<void()> run);
  /// Sends a message that \p run handles.
  void send(uint32_t from, uint32_t to, std::function<void()> run);
  [[nodiscard]] bool isAlive(const Vm &it, uint32_t other) const;
  [[nodiscard]] std::optional<uint32_t>
  ownerOf(uint32_t vm, std::optional<uint32_t> skip, bool skipping) const;
  QuotaRole role(uint32_t vm);
  void arrive(uint32_t vm);
  void ask(uint32_t number);
  void onReply(uint32_t from, const QuotaReply &reply, VmHandle holder);
  void onTimeout(uint32_t number, uint32_t failures);
  void askNext(uint32_t number);
  void decideLocally(uint32_t number);
  void flush(uint32_t vm);
  void tick();
  void gossip();

  static constexpr uint64_t Key = 7;

  QuotaFleetInit Init;
  std::mt19937_64 Random;
  Instant Now{std::chrono::seconds(1000)};
  std::vector<Vm> Vms;
  std::set<std::pair<uint32_t, uint32_t>> Cuts;
  std::priority_queue<Event> Events;
  uint64_t LastOrder = 0;
  uint32_t LastNumber = 0;
  /// Requests that wait for an answer, by number.
  std::map<uint32_t, Asked> Waiting;
  std::vector<Instant> Admitted;
  size_t Refused = 0;
  Instant NextGossip{};
};

} // namespace guavasail

#endif
