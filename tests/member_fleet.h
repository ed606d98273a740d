/// \file
/// Simulated fleet of `Membership` instances in virtual time, on a network that
/// loses, delays, reorders and duplicates messages.
#ifndef GUAVASAIL_TESTS_MEMBER_FLEET_H
#define GUAVASAIL_TESTS_MEMBER_FLEET_H

#include "membership.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace guavasail {

/// Faults of the simulated network.
struct LinkQuality {
  uint32_t LossPercent = 0;
  uint32_t RepeatPercent = 0;
  Duration MinDelay = std::chrono::milliseconds(4);
  Duration MaxDelay = std::chrono::milliseconds(6);
};

class MemberFleet {
public:
  MemberFleet(size_t size, MembershipKind kind, uint64_t seed);

  /// Runs for \p time; calls \p observe after each step.
  void run(Duration time, const std::function<void()> &observe = {});

  /// Runs until \p done holds.
  /// \returns the time it took, or \p limit.
  Duration runUntil(const std::function<bool()> &done, Duration limit);

  void stop(size_t node) { Nodes[node].Stopped = true; }
  void pause(size_t node, Duration time) {
    Nodes[node].PausedUntil = Now + time;
  }
  /// Sets whether all messages from \p from to \p to are lost.
  void setBlocked(size_t from, size_t to, bool blocked) {
    Blocked[from * Nodes.size() + to] = blocked;
  }
  /// Blocks or unblocks all messages from and to \p node.
  void setIsolated(size_t node, bool blocked);
  /// Passes \p list to every node as the platform's list.
  void publishList(std::span<const VmSpec> list);

  [[nodiscard]] const VmEntry &entry(size_t observer, size_t subject) const;
  [[nodiscard]] MemberView view(size_t node) const {
    return Nodes[node].Part->view();
  }
  /// \returns the number of running nodes that see \p subject in \p state.
  [[nodiscard]] size_t count(size_t subject, VmState state) const;
  [[nodiscard]] bool stopped(size_t node) const { return Nodes[node].Stopped; }
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
    bool Stopped = false;
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
  std::vector<bool> Blocked;
  std::vector<Packet> Queue;
  std::mt19937_64 Random;
  EffectBuffer Effects;
  Instant Now{std::chrono::seconds(1000)};
  uint64_t Sent = 0;
};

} // namespace guavasail

#endif
