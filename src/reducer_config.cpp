#include "reducer_state.h"

namespace guavasail {

ConfigInit ReducerState::configInit(const ReducerInit &init) {
  ConfigInit config;
  config.UsesStore = init.UsesStore;
  config.Seed = init.Seed;
  config.Bounds.Withdrawal = init.Withdrawal;
  config.Bounds.TrustOutage = init.TrustOutage;
  if (init.Fleet == FleetKind::Owners)
    useReaderTimes(config);
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
  std::vector<CatalogPatch> patches = Config.takeAdoptedPatches();
  if (patches.empty())
    return;
  uint64_t before = Catalog.version();
  for (const CatalogPatch &patch : patches)
    Catalog.apply(patch, Config.keeper().version());
  step.Effects.push(
      ConfigInForce{Catalog.version(), before, Config.markAge(step.Now)});
  catalogChanged(step);
}

} // namespace guavasail
