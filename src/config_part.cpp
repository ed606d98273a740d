#include "config_part.h"

#include <array>

namespace guavasail {

namespace {

constexpr auto ReasonNames =
    std::to_array<std::string_view>({"none", "no-source", "gathering"});
constexpr auto FreshNames = std::to_array<std::string_view>(
    {"confirmed", "store-away", "behind", "cut-off"});

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

void useReaderTimes(ConfigInit &config) {
  config.Store.Confirm = ConfirmPeriod;
  config.Sync.Ask = AskPeriod;
  config.Sync.WatcherSilence = WatcherSilence;
  config.Sync.WatchFrom = WatchFrom;
  config.Sync.HurryFrom = HurryFrom;
}

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
  Sync.onTick(Watch.storeLost(), step);
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

void ConfigPart::onAuditRequested(uint32_t count,
                                  const ConfigContext &context) {
  const ConfigHead &head = Keeper.head();
  bool started =
      !head.Recent.empty() &&
      Audit.start(head.Version, head.Recent.back().Id, count, context.Effects);
  if (!started)
    context.Effects.push(AuditReply{{}, head.Recent.empty()});
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
