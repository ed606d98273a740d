#include "audit.h"

namespace guavasail {

namespace {

constexpr uint32_t MaxAttempts = 5;

std::string joinWithSpaces(const std::vector<std::string> &names) {
  std::string text;
  for (const std::string &it : names)
    text += (text.empty() ? "" : " ") + it;
  return text;
}

} // namespace

std::string describeItem(const ServiceSpec &spec) {
  return "floor " + std::to_string(spec.FloorPercent) + "% instances " +
         std::to_string(spec.Instances.size());
}

std::string describeItem(const InstanceSpec &spec) {
  return spec.Address + ":" + std::to_string(spec.Port) + " zone " + spec.Zone +
         " slots " + std::to_string(spec.Slots) + " connections " +
         std::to_string(spec.Connections);
}

std::string describeItem(const RouteSpec &spec) {
  std::string text = "prefix " + spec.Prefix + " service " + spec.Service +
                     " timeout " + std::to_string(spec.Timeout.count() / 1000) +
                     "ms";
  if (spec.Workspaces.empty())
    return text + " open to all";
  return text + " workspaces " + joinWithSpaces(spec.Workspaces);
}

std::string describeItem(const WorkspaceSpec &spec) {
  std::string text = "weight " + std::to_string(spec.Weight) + " rate " +
                     std::to_string(spec.RatePerSecond) + "/s burst " +
                     std::to_string(spec.Burst) + " keys";
  for (const KeySpec &it : spec.Keys)
    text += " " + it.Id;
  return text;
}

bool AuditReader::start(uint64_t version, std::string_view changeId,
                        uint32_t count, EffectBuffer &effects) {
  if (Active)
    return false;
  Active = true;
  Records.clear();
  NextVersion = version;
  NextId = changeId;
  Remaining = count;
  Attempts = 0;
  readNext(effects);
  return true;
}

void AuditReader::readNext(EffectBuffer &effects) {
  if (Remaining == 0 || NextId.empty())
    return finish(true, effects);
  StoreRead read;
  read.Ticket = {StoreUser::Audit, ++Number};
  read.Key.Space = StoreSpace::Audit;
  read.Key.Version = NextVersion;
  read.Key.ChangeId = NextId;
  effects.push(read);
}

void AuditReader::onReply(const StoreReplied &reply, EffectBuffer &effects) {
  if (!Active || reply.Ticket.Number != Number)
    return;
  const AuditRecord *record = reply.Outcome == StoreOutcome::Ok && reply.Value
                                  ? std::get_if<AuditRecord>(reply.Value)
                                  : nullptr;
  if (!record) {
    if (++Attempts >= MaxAttempts)
      return finish(false, effects);
    return readNext(effects);
  }
  Attempts = 0;
  Records.push_back(*record);
  NextVersion = record->Version - 1;
  NextId = record->PreviousId;
  --Remaining;
  readNext(effects);
}

void AuditReader::finish(bool complete, EffectBuffer &effects) {
  Active = false;
  effects.push(AuditReply{Records, complete});
}

} // namespace guavasail
