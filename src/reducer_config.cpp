#include "reducer_state.h"

namespace guavasail {

namespace {

// A change has to be in force 2 s after its acceptance. Each of a zone's two
// watchers reads it within one period and tells the zone.
constexpr Duration ConfirmPeriod = std::chrono::milliseconds(1100);
constexpr Duration AskPeriod = std::chrono::milliseconds(600);
constexpr Duration WatcherSilence = std::chrono::milliseconds(1000);
// A mark is at most a confirmation and a question old while all goes well; a
// withdrawn key has to stop after 5 s.
constexpr Duration HurryFrom = std::chrono::milliseconds(2200);
constexpr Duration WatchFrom = std::chrono::milliseconds(2400);

} // namespace

ConfigInit ReducerState::configInit(const ReducerInit &init) {
  ConfigInit config;
  config.Stored = init.Stored;
  config.Seed = init.Seed;
  config.Bounds.Withdrawal = init.Withdrawal;
  config.Bounds.TrustOutage = init.TrustOutage;
  if (init.Fleet == FleetKind::Owners) {
    config.Store.Confirm = ConfirmPeriod;
    config.Sync.Ask = AskPeriod;
    config.Sync.WatcherSilence = WatcherSilence;
    config.Sync.WatchFrom = WatchFrom;
    config.Sync.HurryFrom = HurryFrom;
  }
  return config;
}

ConfigContext ReducerState::configContext(Step &step) {
  return {step.Now, step.Effects, Members.view(), Zone, Catalog};
}

void ReducerState::onStoreReplied(const StoreReplied &event, Step &step) {
  Config.onReply(event, configContext(step));
  takeConfig(step);
}

void ReducerState::onChangeProposed(const ChangeProposed &event, Step &step) {
  Config.onProposed(*event.Proposal, configContext(step));
  takeConfig(step);
}

void ReducerState::onAuditAsked(const AuditAsked &event, Step &step) {
  Config.onAuditAsked(event.Count, configContext(step));
}

void ReducerState::onConfigTick(Step &step) {
  Config.onTick(configContext(step));
  takeConfig(step);
}

/// Takes adopted versions into the index. Requests that were sent to a backend
/// server go on, whatever the new version says of their key.
void ReducerState::takeConfig(Step &step) {
  std::vector<CatalogPatch> patches = Config.takeAdopted();
  if (patches.empty())
    return;
  for (const CatalogPatch &patch : patches)
    Catalog.apply(patch, Config.keeper().version());
  catalogChanged(step);
}

} // namespace guavasail
