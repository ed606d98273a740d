/// \file
/// Registers this VM in the platform's list of VMs, and reads that list.
#ifndef GUAVASAIL_SRC_PRESENCE_H
#define GUAVASAIL_SRC_PRESENCE_H

#include "guavasail/effect.h"
#include "guavasail/presence.h"

#include <random>

namespace guavasail {

/// Context of the registration handlers.
struct PresenceStep {
  Instant Now;
  EffectBuffer &Effects;
  /// Known VMs.
  size_t Vms = 0;
};

/// Schedules the calls that write, renew and withdraw the entry.
class VmRegistration {
public:
  explicit VmRegistration(const PresenceInit &init)
      : Init(init), Random(init.Seed) {}

  /// Issues the calls that are due.
  void advance(const PresenceStep &step);
  void onReply(const PresenceReplied &reply, const PresenceStep &step);
  /// Registers again if the store was restored from an older copy since, which
  /// lacks the entry and its lease.
  /// \param era the store's era that another VM has seen.
  void noteStoreEra(uint64_t era, const PresenceStep &step);
  /// Withdraws the entry because the VM stops.
  void leave(const PresenceStep &step);
  [[nodiscard]] Instant nextDue() const;

private:
  [[nodiscard]] Duration withJitter(Duration time);
  void call(PresenceCall call, const PresenceStep &step);
  void scheduleAnnouncement(const PresenceStep &step);

  PresenceInit Init;
  std::mt19937_64 Random;
  bool Started = false;
  bool Announced = false;
  bool Leaving = false;
  /// The newest known era of the store.
  uint64_t StoreEra = 0;
  uint32_t Failures = 0;
  uint32_t ListCalls = 0;
  Instant NextRenewal{};
  Instant NextList{};
};

} // namespace guavasail

#endif
