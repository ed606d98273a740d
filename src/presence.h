/// \file
/// Keeps this VM in the platform's list of VMs, and reads that list.
#ifndef GUAVASAIL_SRC_PRESENCE_H
#define GUAVASAIL_SRC_PRESENCE_H

#include "guavasail/effect.h"
#include "guavasail/presence.h"

#include <random>

namespace guavasail {

/// What a handler of this part works with.
struct PresenceStep {
  Instant Now;
  EffectBuffer &Effects;
};

/// Decides when the entry is written, renewed and taken back.
class VmRegistration {
public:
  explicit VmRegistration(const PresenceInit &init)
      : Init(init), Random(init.Seed) {}

  /// Does what is due.
  void advance(const PresenceStep &step);
  void onReply(const PresenceReplied &reply, const PresenceStep &step);
  /// Takes the entry back, because the VM stops.
  void leave(const PresenceStep &step);
  [[nodiscard]] Instant nextDue() const;

private:
  [[nodiscard]] Duration jittered(Duration time);
  void call(PresenceCall call, const PresenceStep &step);

  PresenceInit Init;
  std::mt19937_64 Random;
  bool Started = false;
  bool Announced = false;
  bool Leaving = false;
  uint32_t Failures = 0;
  uint32_t Lists = 0;
  Instant NextEntry{};
  Instant NextList{};
};

} // namespace guavasail

#endif
