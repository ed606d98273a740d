/// \file
/// The configuration component of one daemon: keeper, freshness, store and
/// peers.
#ifndef GUAVASAIL_SRC_CONFIG_PART_H
#define GUAVASAIL_SRC_CONFIG_PART_H

#include "audit.h"
#include "config_sync.h"
#include "config_watch.h"
#include "config_writer.h"
#include "delay_histogram.h"
#include "guavasail/reducer.h"

#include <cstdint>
#include <vector>

namespace guavasail {

/// Why a VM does not admit requests yet.
enum class NotReadyReason : uint8_t {
  None,
  /// Neither the store nor a peer has provided a version.
  NoSource,
  /// The chunks of the first version are being fetched.
  Gathering,
};

/// \returns the stable name of \p reason or \p state.
std::string_view notReadyReasonName(NotReadyReason reason);
std::string_view freshStateName(FreshState state);

/// Parameters of a `ConfigPart`.
struct ConfigInit {
  /// False if the catalog comes from the settings.
  bool UsesStore = false;
  FreshnessBounds Bounds;
  StoreTimes Store;
  SyncTimes Sync;
  WriterTimes Writer;
  uint64_t Seed = 1;
};

/// Sets the times for a fleet that reads the store and never writes it.
void useReaderTimes(ConfigInit &config);

/// Inputs from the rest of the reducer.
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

  /// Handles a message about the configuration.
  template <ConfigMessage Message>
  void onPeer(VmHandle from, const Message &message,
              const ConfigContext &context) {
    if (!UsesStore)
      return;
    ConfigStep step = makeStep(context);
    Sync.onPeer(from, message, step);
    publishAdopted(step);
  }

  /// Handles a mark, which also tells the writer which version the sender has
  /// in force.
  void onPeer(VmHandle from, const ConfigMark &message,
              const ConfigContext &context);

  /// \returns when `onTick` is due next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns true if the catalog comes from the store.
  [[nodiscard]] bool usesStore() const { return UsesStore; }

  /// \returns the freshness of the version in force.
  [[nodiscard]] FreshState freshState(Instant now) const;

  /// \returns why no version is in force.
  [[nodiscard]] NotReadyReason notReadyReason() const;

  [[nodiscard]] const ConfigKeeper &keeper() const { return Keeper; }
  [[nodiscard]] const Freshness &marks() const { return Marks; }
  /// \returns the time since the store was last known to have no newer version.
  [[nodiscard]] Duration markAge(Instant now) const {
    return ageOf(Marks.markedAt(), now);
  }
  [[nodiscard]] bool watching() const { return Watch.active(); }

  /// \returns where the version in force came from.
  [[nodiscard]] const ConfigOrigin &origin() const { return Sync.origin(); }
  /// \returns the age of the newest mark of the version before when the one in
  /// force replaced it.
  [[nodiscard]] Duration staleTime() const { return StaleTime; }
  /// \returns times from the first read of a version, by any VM, until it was
  /// in force here.
  [[nodiscard]] const DelayHistogram &spreadDelays() const {
    return SpreadDelays;
  }
  /// \returns ages of the newest mark of a version when it was replaced. A
  /// change is in force within this time of its acceptance.
  [[nodiscard]] const DelayHistogram &staleTimes() const { return StaleTimes; }

  /// \returns the patches adopted since the last call, for the index.
  std::vector<CatalogPatch> takeAdoptedPatches() {
    return Keeper.takeAdoptedPatches();
  }

private:
  ConfigStep makeStep(const ConfigContext &context) const;
  /// \param read the store's reply in this step; null if there was none.
  void publishAdopted(const ConfigStep &step,
                      const StoreReplied *read = nullptr);
  void noteAdopted(const ConfigStep &step, const StoreReplied *read);

  bool UsesStore;
  ConfigKeeper Keeper;
  Freshness Marks;
  ConfigWatch Watch;
  ConfigSync Sync;
  ConfigWriter Writer;
  AuditReader Audit;
  FleetReach Reach;
  uint64_t PublishedVersion = 0;
  Duration StaleTime = Duration::max();
  DelayHistogram SpreadDelays;
  DelayHistogram StaleTimes;
};

} // namespace guavasail

#endif
