/// \file
/// The configuration of one daemon: joins keeper, marks, store and peers.
#ifndef GUAVASAIL_SRC_CONFIG_PART_H
#define GUAVASAIL_SRC_CONFIG_PART_H

#include "audit.h"
#include "config_sync.h"
#include "config_watch.h"
#include "config_writer.h"
#include "guavasail/reducer.h"

#include <cstdint>
#include <vector>

namespace guavasail {

/// Why a VM does not admit requests yet.
enum class NotReadyReason : uint8_t {
  None,
  /// Neither the store nor a peer has given a version.
  NoSource,
  /// A version is being gathered.
  Gathering,
};

/// \returns the stable name of \p reason or \p state.
std::string_view notReadyReasonName(NotReadyReason reason);
std::string_view freshStateName(FreshState state);

/// Describes the part.
struct ConfigInit {
  /// False if the catalog comes from the settings.
  bool Stored = false;
  FreshnessBounds Bounds;
  StoreTimes Store;
  SyncTimes Sync;
  WriterTimes Writer;
  uint64_t Seed = 1;
};

/// Sets the times of a fleet that only reads the store.
void useReaderTimes(ConfigInit &config);

/// What the part needs from the rest of the reducer.
struct ConfigContext {
  Instant Now;
  EffectBuffer &Effects;
  MemberView Members;
  ZoneHandle Zone;
  CatalogIndex &Names;
};

/// A message about the configuration.
template <typename Message>
concept ConfigMessage = requires(ConfigSync &sync, const Message &message,
                                 const ConfigStep &step) {
  sync.onPeer(VmHandle{}, message, step);
};

/// Handles all events of the configuration.
class ConfigPart {
public:
  explicit ConfigPart(const ConfigInit &init);

  void onTick(const ConfigContext &context);
  void onReply(const StoreReplied &reply, const ConfigContext &context);
  void onProposed(const Change &change, const ConfigContext &context);
  void onAuditRequested(uint32_t count, const ConfigContext &context);

  /// Takes a message about the configuration.
  template <ConfigMessage Message>
  void onPeer(VmHandle from, const Message &message,
              const ConfigContext &context) {
    if (!Stored)
      return;
    ConfigStep step = stepOf(context);
    Sync.onPeer(from, message, step);
    settle(step);
  }

  /// Takes a mark, which also tells a writer who has its version.
  void onPeer(VmHandle from, const ConfigMark &message,
              const ConfigContext &context);

  /// \returns when `onTick` is wanted next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns true if the catalog comes from the store.
  [[nodiscard]] bool stored() const { return Stored; }

  /// \returns what may be concluded about the version in force.
  [[nodiscard]] FreshState fresh(Instant now) const;

  /// \returns why no request can be admitted.
  [[nodiscard]] NotReadyReason notReady() const;

  [[nodiscard]] const ConfigKeeper &keeper() const { return Keeper; }
  [[nodiscard]] const Freshness &marks() const { return Marks; }
  /// \returns the time since the store was last known to hold nothing newer.
  [[nodiscard]] Duration markAge(Instant now) const {
    return ageOf(Marks.markedAt(), now);
  }
  [[nodiscard]] bool watching() const { return Watch.active(); }

  /// \returns what was adopted since the last call, for the index.
  std::vector<CatalogPatch> takeAdopted() { return Keeper.takeAdopted(); }

private:
  ConfigStep stepOf(const ConfigContext &context) const;
  void settle(const ConfigStep &step);

  bool Stored;
  ConfigKeeper Keeper;
  Freshness Marks;
  ConfigWatch Watch;
  ConfigSync Sync;
  ConfigWriter Writer;
  AuditReader Audit;
  FleetReach Reach;
  uint64_t SettledVersion = 0;
};

} // namespace guavasail

#endif
