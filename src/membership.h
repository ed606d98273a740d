/// \file
/// SWIM membership: direct and indirect pings, suspicions that the suspect can
/// refute, and dissemination of updates by gossip.
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

/// Parameters of the membership of one VM.
struct MembershipInit {
  VmSpec Self;
  /// Greater than at any earlier start; the low bits
  /// (`MemberRefutationMask`) are zero.
  uint64_t Incarnation = 0;
  MembershipKind Kind = MembershipKind::Probing;
  uint64_t Seed = 1;
  /// True if VMs register themselves in the list. A missing VM may only have
  /// lost its entry, so it is removed only once it does not answer either.
  bool SelfRegistration = false;
};

/// Context of the membership handlers.
struct MemberStep {
  Instant Now;
  EffectBuffer &Effects;
};

/// Failure detector and membership protocol of one VM.
class Membership {
public:
  /// \param init parameters of this VM.
  /// \param zones zone names; has to outlive this object.
  Membership(const MembershipInit &init, CatalogIndex &zones);

  /// Updates the table from the platform's list. An empty list is ignored.
  void onList(std::span<const VmSpec> list, const MemberStep &step);

  void onMessage(VmHandle from, const Heartbeat &message,
                 const MemberStep &step);
  void onMessage(VmHandle from, const MemberPing &message,
                 const MemberStep &step);
  void onMessage(VmHandle from, const MemberAck &message,
                 const MemberStep &step);
  void onMessage(VmHandle from, const MemberPingRequest &message,
                 const MemberStep &step);

  /// Announces to other VMs that this VM is about to stop.
  void leave(const MemberStep &step);

  /// Runs the timers that are due.
  void advance(const MemberStep &step);

  /// \returns when to call `advance` next.
  [[nodiscard]] Instant nextDue() const;

  [[nodiscard]] MemberView view() const;

  /// \returns the entry of \p vm, which has to be in the table.
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
    uint32_t HelpersAsked = 0;
    /// Helpers that replied, whether they reached the target or not.
    uint32_t HelperReplies = 0;
  };

  /// A ping in progress on behalf of another VM.
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
    /// This VM raised the suspicion and pings the suspect so that it can refute
    /// it.
    bool StartedBySelf = false;
  };

  /// A failure detection strategy.
  struct Strategy {
    MembershipKind Kind;
    void (Membership::*Tick)(const MemberStep &step);
    /// Updates are ordered by incarnation and disseminated by gossip.
    bool UsesGossip;
  };
  static std::span<const Strategy> strategies();

  // Strategies (membership.cpp).
  void tickAllToAll(const MemberStep &step);
  void tickProbing(const MemberStep &step);

  // Updates (membership.cpp).
  void recordContact(VmHandle from, uint64_t incarnation, bool leaving,
                     const MemberStep &step);
  void applyUpdate(const MemberUpdate &update, const MemberStep &step);
  void applySelfUpdate(const MemberUpdate &update, const MemberStep &step);
  void updateState(VmHandle vm, VmState state, uint64_t incarnation,
                   const MemberStep &step);
  void expireSuspicions(const MemberStep &step);
  [[nodiscard]] MemberUpdate makeUpdate(VmHandle vm) const;
  [[nodiscard]] Duration suspicionTimeout() const;

  // Pings (member_probe.cpp).
  void startProbe(const MemberStep &step);
  void sendPingRequests(const MemberStep &step);
  void endProbe(bool reached);
  void failProbe(const MemberStep &step);
  void expireRelays(const MemberStep &step);
  void sendPing(VmHandle to, uint64_t sequence, const MemberStep &step);
  void fillUpdates(VmHandle to, bool joining,
                   std::vector<MemberUpdate> &updates);
  VmHandle nextTarget();
  VmHandle nextGoneTarget();
  void refillProbeOrder();
  [[nodiscard]] Duration scaled(Duration time) const;
  [[nodiscard]] bool isSelf(VmHandle vm) const { return vm == Table.self(); }
  [[nodiscard]] const VmEntry &selfEntry() const {
    return Table.at(Table.self());
  }

  const Strategy *ActiveStrategy;
  bool SelfRegistration = false;
  CatalogIndex &Zones;
  MemberTable Table;
  GossipQueue Gossip;
  std::mt19937_64 Random;
  Probe CurrentProbe;
  std::vector<Relay> Relays;
  std::vector<Suspicion> Suspicions;
  /// VMs to ping in this round, from the last to the first.
  std::vector<VmHandle> ProbeOrder;
  uint32_t GoneCursor = 0;
  uint32_t JoinCursor = 0;
  uint64_t Sequence = 0;
  uint64_t PeriodCount = 0;
  Instant NextPeriod{};
  Instant NextEviction{};
  bool Started = false;
  /// Grows while this VM itself seems slow or badly connected, as the local
  /// health multiplier of Lifeguard; `scaled` multiplies times by this plus 1.
  uint32_t HealthPenalty = 0;
  /// Results of the latest pings, one bit each.
  uint32_t ProbeResults = 0;
  uint32_t ProbeCount = 0;
  Instant DeclaredGoneAt{};
  /// The latest incarnation of this VM that others declared gone.
  uint64_t GoneIncarnation = 0;
  bool SelfRemoved = false;
};

} // namespace guavasail

#endif
