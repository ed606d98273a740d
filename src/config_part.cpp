#include "config_part.h"

#include <array>

namespace guavasail {

namespace {

constexpr auto ReasonNames =
    std::to_array<std::string_view>({"none", "no-source", "gathering"});
constexpr auto FreshNames = std::to_array<std::string_view>(
    {"confirmed", "store-away", "behind", "cut-off"});

} // namespace

std::string_view notReadyReasonName(NotReadyReason reason) {
  return ReasonNames[static_cast<size_t>(reason)];
}

std::string_view freshStateName(FreshState state) {
  return FreshNames[static_cast<size_t>(state)];
}

ConfigPart::ConfigPart(const ConfigInit &init)
    : Stored(init.Stored), Marks(init.Bounds), Watch(Keeper, Marks, init.Store),
      Sync(Keeper, Marks, init.Sync, init.Seed),
      Writer(Keeper, Marks, init.Writer) {}

ConfigStep ConfigPart::stepOf(const ConfigContext &context) const {
  return {context.Now,  context.Effects, context.Members,
          context.Zone, Reach,           context.Names};
}

void ConfigPart::onTick(const ConfigContext &context) {
  if (!Stored)
    return;
  measureReach(context.Members, context.Zone, context.Now, Reach);
  ConfigStep step = stepOf(context);
  Sync.onTick(step);
  Watch.setActive(Sync.shouldWatch(step));
  Watch.onTick(step);
  Writer.onTick(step);
  settle(step);
}

void ConfigPart::onReply(const StoreReplied &reply,
                         const ConfigContext &context) {
  ConfigStep step = stepOf(context);
  switch (reply.Ticket.User) {
  case StoreUser::Watch:
    Watch.onReply(reply, step);
    break;
  case StoreUser::Writer:
    Writer.onReply(reply, step);
    break;
  case StoreUser::Audit:
    Audit.onReply(reply, context.Effects);
    break;
  }
  settle(step);
}

void ConfigPart::onPeer(VmHandle from, const ConfigMark &message,
                        const ConfigContext &context) {
  if (!Stored)
    return;
  ConfigStep step = stepOf(context);
  Sync.onPeer(from, message, step);
  Writer.noteHeld(from, message.Version, step);
  settle(step);
}

void ConfigPart::onProposed(const Change &change,
                            const ConfigContext &context) {
  if (!Stored) {
    ChangeRejected rejected{change.Id, {ChangeFault::StoreUnavailable, {}}};
    context.Effects.push(ChangeConcluded{rejected});
    return;
  }
  measureReach(context.Members, context.Zone, context.Now, Reach);
  ConfigStep step = stepOf(context);
  Writer.propose(change, step);
  settle(step);
}

void ConfigPart::onAuditAsked(uint32_t count, const ConfigContext &context) {
  const ConfigHead &head = Keeper.head();
  bool started =
      !head.Recent.empty() &&
      Audit.start(head.Version, head.Recent.back().Id, count, context.Effects);
  if (!started)
    context.Effects.push(AuditAnswered{{}, head.Recent.empty()});
}

/// Passes an adopted version on to the other parts, until none changes.
void ConfigPart::settle(const ConfigStep &step) {
  Watch.allowRead(std::max(Watch.readVersion(), Writer.baseVersion()));
  while (SettledVersion != Keeper.version()) {
    uint64_t from = SettledVersion;
    SettledVersion = Keeper.version();
    Marks.adopt(SettledVersion);
    Sync.onAdopted(from, Writer.takeWritten(), step);
    Writer.onTick(step);
  }
  Watch.onTick(step);
}

Instant ConfigPart::nextDue() const {
  if (!Stored)
    return NeverInstant;
  Instant due = std::min({Sync.nextDue(), Watch.nextDue(), Writer.nextDue()});
  return std::max(due, Instant{});
}

FreshState ConfigPart::fresh(Instant now) const {
  return Stored ? Marks.judge(now, Reach) : FreshState::Confirmed;
}

NotReadyReason ConfigPart::notReady() const {
  if (!Stored || Keeper.version() > 0)
    return NotReadyReason::None;
  return Keeper.gathering() ? NotReadyReason::Gathering
                            : NotReadyReason::NoSource;
}

} // namespace guavasail
