#include "config_part.h"

#include <array>

namespace guavasail {

namespace {

constexpr auto ReasonNames =
    std::to_array<std::string_view>({"none", "no-source", "gathering"});
constexpr auto FreshNames = std::to_array<std::string_view>(
    {"confirmed", "store-away", "behind", "cut-off"});

constexpr uint32_t ReaderCount = 2;
constexpr uint32_t ReaderRandomAsks = 2;
constexpr Duration ReaderStartAskInterval = std::chrono::milliseconds(150);
constexpr Duration ReaderAskInterval = std::chrono::milliseconds(600);
constexpr Duration ReaderWatcherTimeout = std::chrono::milliseconds(1000);
constexpr Duration ReaderAloneGraceTime = std::chrono::milliseconds(1200);
constexpr Duration ReaderDirectWatchMarkAge = std::chrono::milliseconds(2600);

} // namespace

void useReaderTimes(ConfigInit &config) {
  config.Store.ConfirmInterval = config.Sync.Ages.Reader;
  config.Store.VersionsNameContent = true;
  config.Sync.Readers = ReaderCount;
  config.Sync.AloneGraceTime = ReaderAloneGraceTime;
  config.Sync.AskInterval = ReaderAskInterval;
  config.Sync.StartAskInterval = ReaderStartAskInterval;
  config.Sync.WatcherTimeout = ReaderWatcherTimeout;
  config.Sync.DirectWatchMarkAge = ReaderDirectWatchMarkAge;
  config.Sync.RandomAsks = ReaderRandomAsks;
}

std::string_view notReadyReasonName(NotReadyReason reason) {
  return ReasonNames[static_cast<size_t>(reason)];
}

std::string_view freshStateName(FreshState state) {
  return FreshNames[static_cast<size_t>(state)];
}

ConfigPart::ConfigPart(const ConfigInit &init)
    : UsesStore(init.UsesStore), Marks(init.Bounds),
      Watch(Keeper, Marks, init.Store),
      Sync(Keeper, Marks, init.Sync, init.Seed),
      Writer(Keeper, Marks, init.Writer) {}

ConfigStep ConfigPart::makeStep(const ConfigContext &context) const {
  return {context.Now, context.Effects, context.Members,   context.Zone,
          Reach,       context.Names,   Watch.progressAt()};
}

void ConfigPart::onTick(const ConfigContext &context) {
  if (!UsesStore)
    return;
  measureReach(context.Members, context.Zone, context.Now, Reach);
  ConfigStep step = makeStep(context);
  Sync.onTick(Watch.storeUnreachable(), step);
  bool watches = Sync.shouldWatch(step);
  Watch.setActive(watches, Sync.readMarkAge());
  Watch.onTick(step);
  Writer.onTick(step);
  publishAdopted(step);
}

void ConfigPart::onReply(const StoreReplied &reply,
                         const ConfigContext &context) {
  ConfigStep step = makeStep(context);
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
  publishAdopted(step,
                 reply.Ticket.User == StoreUser::Watch ? &reply : nullptr);
}

void ConfigPart::onPeer(VmHandle from, const ConfigMark &message,
                        const ConfigContext &context) {
  if (!UsesStore)
    return;
  ConfigStep step = makeStep(context);
  Sync.onPeer(from, message, step);
  Writer.noteVersionHeld(from, message.Version, step);
  publishAdopted(step);
}

void ConfigPart::onProposed(const Change &change,
                            const ConfigContext &context) {
  if (!UsesStore) {
    ChangeRejected rejected{change.Id, {ChangeFault::StoreUnavailable, {}}};
    context.Effects.push(ChangeConcluded{rejected});
    return;
  }
  measureReach(context.Members, context.Zone, context.Now, Reach);
  ConfigStep step = makeStep(context);
  Writer.propose(change, step);
  publishAdopted(step);
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

/// Records where the version in force came from, and how late.
void ConfigPart::noteAdopted(const ConfigStep &step, const StoreReplied *read) {
  ConfigOrigin origin = Sync.offered();
  if (read)
    origin = {{}, std::max(read->AskedAt, Instant{})};
  Sync.setOrigin(origin);
  SpreadDelays.add(ageOf(origin.SeenAt, step.Now));
  StaleTime = ageOf(Marks.markedAt(), step.Now);
  if (StaleTime != Duration::max())
    StaleTimes.add(StaleTime);
}

/// Announces adopted versions to the other components until the version no
/// longer changes.
void ConfigPart::publishAdopted(const ConfigStep &step,
                                const StoreReplied *read) {
  Watch.allowRead(std::max(Watch.readVersion(), Writer.baseVersion()));
  while (PublishedVersion != Keeper.version()) {
    uint64_t from = PublishedVersion;
    PublishedVersion = Keeper.version();
    noteAdopted(step, read);
    Marks.adopt(PublishedVersion);
    bool spreads = Writer.takeWritten() || (read && Sync.readsForFleet());
    Sync.onAdopted(from, spreads, step);
    Writer.onTick(step);
  }
  Watch.onTick(step);
  Sync.answerHeld(step);
}

Instant ConfigPart::nextDue() const {
  if (!UsesStore)
    return NeverInstant;
  Instant due = std::min({Sync.nextDue(), Watch.nextDue(), Writer.nextDue()});
  return std::max(due, Instant{});
}

FreshState ConfigPart::freshState(Instant now) const {
  return UsesStore ? Marks.evaluate(now, Reach) : FreshState::Confirmed;
}

NotReadyReason ConfigPart::notReadyReason() const {
  if (!UsesStore || Keeper.version() > 0)
    return NotReadyReason::None;
  return Keeper.gathering() ? NotReadyReason::Gathering
                            : NotReadyReason::NoSource;
}

} // namespace guavasail
