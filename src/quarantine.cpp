#include "quarantine.h"

#include <algorithm>

namespace guavasail {

bool Quarantine::noteCrash(uint64_t fingerprint, uint64_t instance,
                           Instant now) {
  if (fingerprint == 0)
    return false;
  Suspect &suspect = findOrReplace(fingerprint, now);
  if (suspect.LastCrash + Bounds.Window < now)
    suspect.Count = 0;
  suspect.LastCrash = now;
  auto *end = suspect.Instances.begin() + suspect.Count;
  bool counted = std::find(suspect.Instances.begin(), end, instance) != end;
  if (!counted && suspect.Count < MaxInstances)
    suspect.Instances[suspect.Count++] = instance;
  bool wasHeld = suspect.HeldUntil > now;
  if (suspect.Count < Bounds.Instances)
    return false;
  suspect.HeldUntil = now + Bounds.HoldTime;
  return !wasHeld;
}

void Quarantine::noteSuccess(uint64_t fingerprint) {
  if (Empty || fingerprint == 0)
    return;
  for (Suspect &suspect : Suspects)
    if (suspect.Fingerprint == fingerprint)
      suspect = Suspect{};
  Empty = std::all_of(Suspects.begin(), Suspects.end(),
                      [](const Suspect &it) { return it.Fingerprint == 0; });
}

void Quarantine::holdUntil(uint64_t fingerprint, Instant until, Instant now) {
  Suspect &suspect = findOrReplace(fingerprint, now);
  suspect.LastCrash = now;
  suspect.HeldUntil = std::max(suspect.HeldUntil, until);
}

Duration Quarantine::remaining(uint64_t fingerprint, Instant now) const {
  const Suspect *suspect = find(fingerprint);
  if (!suspect || suspect->HeldUntil <= now)
    return Duration::zero();
  return suspect->HeldUntil - now;
}

uint32_t Quarantine::crashCount(uint64_t fingerprint) const {
  const Suspect *suspect = find(fingerprint);
  return suspect ? suspect->Count : 0;
}

const Quarantine::Suspect *Quarantine::find(uint64_t fingerprint) const {
  if (Empty || fingerprint == 0)
    return nullptr;
  for (const Suspect &suspect : Suspects)
    if (suspect.Fingerprint == fingerprint)
      return &suspect;
  return nullptr;
}

Quarantine::Suspect &Quarantine::findOrReplace(uint64_t fingerprint,
                                               Instant now) {
  Empty = false;
  Suspect *oldest = &Suspects.front();
  for (Suspect &suspect : Suspects) {
    if (suspect.Fingerprint == fingerprint)
      return suspect;
    // An entry that is still refused is replaced only if all are.
    auto rank = [now](const Suspect &it) {
      return std::pair(it.HeldUntil > now, it.LastCrash);
    };
    if (rank(suspect) < rank(*oldest))
      oldest = &suspect;
  }
  *oldest = Suspect{};
  oldest->Fingerprint = fingerprint;
  return *oldest;
}

} // namespace guavasail
