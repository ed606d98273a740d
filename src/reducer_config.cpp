#include "reducer_state.h"

namespace guavasail {

ConfigInit ReducerState::configInit(const ReducerInit &init) {
  ConfigInit config;
  config.UsesStore = init.UsesStore;
  config.Seed = init.Seed;
  config.Bounds.MaxWithdrawalDelay = init.MaxWithdrawalDelay;
  config.Bounds.AdmitDuringOutage = init.AdmitDuringOutage;
  if (init.Fleet == FleetKind::Owners)
    useReaderTimes(config);
  return config;
}

ConfigContext ReducerState::configContext(Step &step) {
  return {step.Now, step.Effects, Members.view(), Zone, Catalog};
}

void ReducerState::onPeer(VmHandle from, const ConfigMark &message,
                          Step &step) {
  Config.onPeer(from, message, configContext(step));
  applyAdoptedConfig(step);
  // A sender without a mark names a revision that no store has.
  uint64_t era = storeEra(message.MarkRevision);
  if (era <= MaxStoreEra)
    Presence.noteStoreEra(era, {step.Now, step.Effects});
}

void ReducerState::onStoreReplied(const StoreReplied &event, Step &step) {
  Config.onReply(event, configContext(step));
  applyAdoptedConfig(step);
}

void ReducerState::onChangeProposed(const ChangeProposed &event, Step &step) {
  Config.onProposed(*event.Proposal, configContext(step));
  applyAdoptedConfig(step);
}

void ReducerState::onAuditRequested(const AuditRequested &event, Step &step) {
  Config.onAuditRequested(event.Count, configContext(step));
}

void ReducerState::onConfigTick(Step &step) {
  Config.onTick(configContext(step));
  applyAdoptedConfig(step);
}

/// Reports zones whose evacuation began or ended. A zone whose last instance
/// left the catalog keeps its state.
void ReducerState::noteEvacuations(Step &step) {
  std::vector<bool> now = EvacuatedZones;
  std::vector<bool> known(now.size());
  for (const InstanceEntry &it : Catalog.instances()) {
    if (!it.Present)
      continue;
    size_t zone = it.Zone.Value;
    if (zone >= now.size()) {
      now.resize(zone + 1);
      known.resize(zone + 1);
    }
    now[zone] = it.Spec.Evacuated || (known[zone] && now[zone]);
    known[zone] = true;
  }
  EvacuatedZones.resize(now.size());
  for (uint32_t n = 0; n < now.size(); ++n)
    if (now[n] != EvacuatedZones[n])
      step.Effects.push(
          ZoneEvacuationChanged{Catalog.name(ZoneHandle{n}), now[n]});
  EvacuatedZones = std::move(now);
}

/// Applies adopted versions to the catalog index. Requests that were sent to a
/// backend server continue, even if the new version withdraws their key.
void ReducerState::applyAdoptedConfig(Step &step) {
  std::vector<CatalogPatch> patches = Config.takeAdoptedPatches();
  // A mark may have confirmed the version in force.
  if (patches.empty())
    return resumeHeld(step);
  uint64_t before = Catalog.version();
  for (const CatalogPatch &patch : patches)
    Catalog.apply(patch, Config.keeper().version());
  const ConfigOrigin &origin = Config.origin();
  step.Effects.push(ConfigActivated{
      Catalog.version(), before, Config.markAge(step.Now), origin.From,
      ageOf(origin.SeenAt, step.Now), Config.staleTime()});
  applyCatalog(step);
}

} // namespace guavasail
