/// \file
/// A few membership parts joined by a queue that loses, delays, crosses and
/// repeats messages, in virtual time.
#ifndef GUAVASAIL_TESTS_MEMBER_FLEET_H
#define GUAVASAIL_TESTS_MEMBER_FLEET_H

#include "membership.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace guavasail {

/// How the queue treats messages.
struct LinkQuality {
  uint32_t LossPercent = 0;
  uint32_t RepeatPercent = 0;
  Duration LeastDelay = std::chrono::milliseconds(4);
  Duration MostDelay = std::chrono::milliseconds(6);
};

class MemberFleet {
public:
  MemberFleet(size_t size, MembershipKind kind, uint64_t seed);

  /// Runs for \p time; calls \p observe after each step.
  void run(Duration time, const std::function<void()> &observe = {});

  /// Runs until \p done holds.
  /// \returns the time it took, or \p most.
  Duration runUntil(const std::function<bool()> &done, Duration most);

  void kill(size_t node) { Nodes[node].Dead = true; }
  void pause(size_t node, Duration time) {
    Nodes[node].PausedUntil = Now + time;
  }
  /// Loses everything that \p from sends to \p to.
  void cut(size_t from, size_t to, bool lost) {
    Lost[from * Nodes.size() + to] = lost;
  }
  /// Cuts \p node off from all others, or joins it again.
  void isolate(size_t node, bool lost);
  /// Gives \p list to every node.
  void readList(std::span<const VmSpec> list);

  [[nodiscard]] const VmEntry &entry(size_t observer, size_t subject) const;
  [[nodiscard]] MemberView view(size_t node) const {
    return Nodes[node].Part->view();
  }
  /// \returns the number of running nodes that see \p subject in \p state.
  [[nodiscard]] size_t count(size_t subject, VmState state) const;
  [[nodiscard]] bool dead(size_t node) const { return Nodes[node].Dead; }
  [[nodiscard]] bool paused(size_t node) const {
    return Nodes[node].PausedUntil > Now;
  }
  [[nodiscard]] size_t size() const { return Nodes.size(); }
  [[nodiscard]] size_t running() const;
  [[nodiscard]] std::span<const VmSpec> specs() const { return Specs; }
  [[nodiscard]] Instant now() const { return Now; }
  [[nodiscard]] uint64_t sent() const { return Sent; }

  LinkQuality Quality;

private:
  struct Node {
    std::unique_ptr<CatalogIndex> Zones;
    std::unique_ptr<Membership> Part;
    bool Dead = false;
    Instant PausedUntil{};
  };

  struct Packet {
    Instant Due;
    uint64_t Order = 0;
    size_t From = 0;
    size_t To = 0;
    PeerBody Body;
  };

  void step();
  void deliver(const Packet &packet);
  void send(size_t from, const SendPeer &effect);
  void flush(size_t from);
  [[nodiscard]] Instant dueOf(const Node &node) const;
  static bool later(const Packet &left, const Packet &right);

  std::vector<VmSpec> Specs;
  std::vector<Node> Nodes;
  std::vector<bool> Lost;
  std::vector<Packet> Queue;
  std::mt19937_64 Random;
  EffectBuffer Effects;
  Instant Now{std::chrono::seconds(1000)};
  uint64_t Sent = 0;
};

} // namespace guavasail

#endif
