/// \file
/// Finds out which VMs run: pings with indirect probes, suspicion that the
/// suspect can refute, and gossip of what changed.
#ifndef GUAVASAIL_SRC_MEMBERSHIP_H
#define GUAVASAIL_SRC_MEMBERSHIP_H

#include "catalog_index.h"
#include "guavasail/effect.h"
#include "guavasail/event.h"
#include "guavasail/member.h"
#include "member_gossip.h"
#include "member_table.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// Describes the membership part of one VM.
struct MembershipInit {
  VmSpec Self;
  /// Greater than that of any earlier start; its low bits
  /// (`MemberRefutationMask`) are zero.
  uint64_t Incarnation = 0;
  MembershipKind Kind = MembershipKind::Probing;
  uint64_t Seed = 1;
  /// VMs enter themselves in the list. One that is missing may only have lost
  /// its entry, so it is removed only once it does not answer either.
  bool SelfListed = false;
};

/// What a handler of the membership part works with.
struct MemberStep {
  Instant Now;
  EffectBuffer &Effects;
};

/// All decisions on membership of one VM.
class Membership {
public:
  /// \param init this VM.
  /// \param zones names of zones; it has to outlive this object.
  Membership(const MembershipInit &init, CatalogIndex &zones);

  /// Compares with the platform's list. An empty list is ignored.
  void onList(std::span<const VmSpec> list, const MemberStep &step);

  void onMessage(VmHandle from, const Heartbeat &message,
                 const MemberStep &step);
  void onMessage(VmHandle from, const MemberPing &message,
                 const MemberStep &step);
  void onMessage(VmHandle from, const MemberAck &message,
                 const MemberStep &step);
  void onMessage(VmHandle from, const MemberPingRequest &message,
                 const MemberStep &step);

  /// Tells the others that this VM stops soon.
  void leave(const MemberStep &step);

  /// Does what is due.
  void advance(const MemberStep &step);

  /// \returns when `advance` is wanted next.
  [[nodiscard]] Instant nextDue() const;

  [[nodiscard]] MemberView view() const;

  /// \returns what is known of \p vm, which has to be known.
  [[nodiscard]] const VmEntry &entry(VmHandle vm) const { return Table.at(vm); }

  /// \returns the handle of \p name, invalid if the VM is unknown.
  [[nodiscard]] VmHandle find(std::string_view name) const {
    return Table.find(name);
  }

private:
  enum class ProbeStage : uint8_t { Idle, Direct, Indirect };

  /// The ping in progress.
  struct Probe {
    ProbeStage Stage = ProbeStage::Idle;
    VmHandle Target;
    uint64_t Sequence = 0;
    Instant DirectDue = NeverInstant;
    uint32_t Asked = 0;
    /// Helpers that answered, whether they reached the target or not.
    uint32_t Witnesses = 0;
  };

  /// A ping on behalf of another VM.
  struct Relay {
    VmHandle Requester;
    VmHandle Target;
    uint64_t RequestSequence = 0;
    uint64_t Sequence = 0;
    Instant Due;
  };

  struct Suspicion {
    VmHandle Vm;
    Instant Due;
    /// This VM started the suspicion and gives the suspect the chance to
    /// refute it.
    bool Mine = false;
  };

  /// One way to find out who runs.
  struct Strategy {
    MembershipKind Kind;
    void (Membership::*Tick)(const MemberStep &step);
    /// Statements are ordered by incarnation and passed on.
    bool Gossips;
  };
  static std::span<const Strategy> strategies();

  // Strategies (membership.cpp).
  void tickAllToAll(const MemberStep &step);
  void tickProbing(const MemberStep &step);

  // Statements (membership.cpp).
  void contact(VmHandle from, uint64_t incarnation, bool leaving,
               const MemberStep &step);
  void learn(const MemberUpdate &update, const MemberStep &step);
  void learnSelf(const MemberUpdate &update, const MemberStep &step);
  void state(VmHandle vm, VmState state, uint64_t incarnation,
             const MemberStep &step);
  void confirmSuspicions(const MemberStep &step);
  [[nodiscard]] MemberUpdate describe(VmHandle vm) const;
  [[nodiscard]] Duration suspicionTime() const;

  // Pings (member_probe.cpp).
  void startProbe(const MemberStep &step);
  void askHelpers(const MemberStep &step);
  void endProbe(bool reached);
  void failProbe(const MemberStep &step);
  void expireRelays(const MemberStep &step);
  void sendPing(VmHandle to, uint64_t sequence, const MemberStep &step);
  void fillUpdates(VmHandle to, bool joining,
                   std::vector<MemberUpdate> &updates);
  VmHandle nextTarget();
  VmHandle nextGoneTarget();
  void refillOrder();
  [[nodiscard]] Duration scaled(Duration time) const;
  [[nodiscard]] bool isSelf(VmHandle vm) const { return vm == Table.self(); }
  [[nodiscard]] const VmEntry &selfEntry() const {
    return Table.at(Table.self());
  }

  const Strategy *Chosen;
  bool SelfListed = false;
  CatalogIndex &Zones;
  MemberTable Table;
  GossipQueue Gossip;
  std::mt19937_64 Random;
  Probe Current;
  std::vector<Relay> Relays;
  std::vector<Suspicion> Suspicions;
  /// VMs in the order in which they are pinged; the last comes first.
  std::vector<VmHandle> Order;
  uint32_t GoneCursor = 0;
  uint32_t JoinCursor = 0;
  uint64_t Sequence = 0;
  uint64_t Periods = 0;
  Instant PeriodDue{};
  Instant ForgetDue{};
  bool Started = false;
  /// Grows while this VM itself seems to be slow or badly connected; all its
  /// timeouts are multiplied by one more than it.
  uint32_t Strain = 0;
  /// Results of the latest pings, one bit each.
  uint32_t ProbeResults = 0;
  uint32_t ProbeCount = 0;
  Instant ThoughtGone{};
  /// The latest incarnation of this VM that was believed gone.
  uint64_t GoneIncarnation = 0;
  bool SelfRemoved = false;
};

} // namespace guavasail

#endif
