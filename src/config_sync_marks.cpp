#include "config_sync.h"

#include "rendezvous.h"

namespace guavasail {

namespace {

/// A held request is answered once the mark is newer by this.
constexpr Duration MarkStep = std::chrono::milliseconds(250);
/// Between two held requests to the same VM, and time after which one counts as
/// lost.
constexpr Duration MinHoldInterval = std::chrono::milliseconds(200);
constexpr Duration HoldTimeout = std::chrono::milliseconds(2500);
/// Intervals of requests to several VMs: short while there is time to get a
/// mark from others, long in an outage.
constexpr Duration MinWideInterval = std::chrono::milliseconds(100);
constexpr int WideIntervalDivisor = 4;

} // namespace

/// Computes at which age of its mark this VM reads the store, and who does so
/// before it.
void ConfigSync::updateReadMarkAge(const ConfigStep &step) {
  const MarkAges &ages = Times.Ages;
  const MemberView &members = step.Members;
  auto isStandIn = [&](const VmEntry &vm) {
    bool self = members.Self.valid() && &vm == &members.at(members.Self);
    return vm.Zone == step.Zone && (self || isReachable(vm)) &&
           !OwnWatchers.contains(
               {static_cast<uint32_t>(&vm - members.Vms.data())});
  };
  StandInCount =
      rendezvousTop(WatcherHashKey, members, isStandIn, StandIns).size();
  if (!members.Self.valid())
    return;
  size_t reader = Readers.find(members.Self);
  size_t watcher = OwnWatchers.find(members.Self);
  if (reader < Readers.items().size()) {
    ReadMarkAge = ages.Reader + ages.ReaderStep * static_cast<int>(reader);
  } else if (watcher < OwnWatchers.items().size()) {
    Duration turn = ages.WatcherStep * static_cast<int>(watcher);
    ReadMarkAge = std::min(ages.Watcher + turn, ages.Other);
  } else {
    uint64_t own =
        rendezvousWeight(WatcherHashKey, members.at(members.Self).Name);
    auto goesFirst = [&](const VmEntry &vm) {
      return isStandIn(vm) && rendezvousWeight(WatcherHashKey, vm.Name) > own;
    };
    auto rank =
        std::count_if(members.Vms.begin(), members.Vms.end(), goesFirst);
    ReadMarkAge = std::min(ages.Other + ages.OtherStep * rank, ages.Last);
  }
}

void ConfigSync::askByMarkAge(bool storeUnreachable, const ConfigStep &step) {
  const MarkAges &ages = Times.Ages;
  Duration age = ageOf(Marks.markedAt(), step.Now);
  bool old = storeUnreachable || age >= ages.Ask;
  if (!old) {
    holdRequests(step);
    Instant next = deadlineAfter(step.Now, Times.AskInterval);
    NextAsk = std::min(next, deadlineAfter(Marks.markedAt(), ages.Ask));
    return;
  }
  // The watcher that holds this VM's request may be gone.
  nextSource();
  holdRequests(step);
  askWidely(step);
  Duration interval = Times.UrgentAskInterval;
  if (age != Duration::max())
    interval = std::clamp((age - ages.Ask) / WideIntervalDivisor,
                          MinWideInterval, interval);
  NextAsk = deadlineAfter(step.Now, std::min(interval, askInterval(step)));
}

/// Keeps a request open at each VM from which this one gets its marks.
void ConfigSync::holdRequests(const ConfigStep &step) {
  VmHandle self = step.Members.Self;
  if (Readers.contains(self) || OwnWatchers.contains(self)) {
    for (VmHandle vm : Readers.items())
      hold(vm, step);
  } else {
    if (!OwnWatchers.contains(Source))
      nextSource();
    hold(Source, step);
  }
  hold(StandIn, step);
}

/// Chooses another watcher of this zone.
void ConfigSync::nextSource() {
  std::span<const VmHandle> watchers = OwnWatchers.items();
  if (watchers.empty())
    return;
  size_t known = OwnWatchers.find(Source);
  size_t next = known < watchers.size() ? known + 1 : Random();
  Source = watchers[next % watchers.size()];
}

/// Notes that \p from has newer marks than this VM had.
void ConfigSync::noteSource(VmHandle from) {
  bool isRegular = OwnWatchers.contains(from) || Readers.contains(from);
  if (OwnWatchers.contains(from))
    Source = from;
  StandIn = isRegular ? VmHandle{} : from;
}

void ConfigSync::hold(VmHandle to, const ConfigStep &step) {
  if (!to.valid() || to == step.Members.Self)
    return;
  auto open = std::find_if(HeldAsks.begin(), HeldAsks.end(),
                           [&](const PendingAsk &it) { return it.To == to; });
  if (open == HeldAsks.end())
    open = std::min_element(HeldAsks.begin(), HeldAsks.end(),
                            [](const PendingAsk &a, const PendingAsk &b) {
                              return a.Sent < b.Sent;
                            });
  else if (step.Now - open->Sent <
           (open->Number != 0 ? HoldTimeout : MinHoldInterval))
    return;
  sendRequest(to, true, *open, step);
}

/// Asks all from which a newer mark may be had at once.
void ConfigSync::askWidely(const ConfigStep &step) {
  for (VmHandle vm : OwnWatchers.items())
    ask(vm, step);
  for (VmHandle vm : std::span(StandIns).first(StandInCount))
    ask(vm, step);
  if (OwnWatchers.contains(step.Members.Self)) {
    for (VmHandle vm : Readers.items())
      ask(vm, step);
    for (ZoneHandle zone : step.Reach.Zones)
      if (zone != step.Zone)
        askZoneWatcher(zone, step);
  }
  for (uint32_t n = 0; n < Times.RandomAsks; ++n)
    ask(randomPeer(step), step);
}

/// Opens the next request at a VM that has answered one.
void ConfigSync::noteHeldReply(Instant sent, const ConfigStep &step) {
  NextAsk = std::min(NextAsk,
                     std::max(step.Now, deadlineAfter(sent, MinHoldInterval)));
}

/// \returns true if this VM has what a held request waits for.
bool ConfigSync::hasNews(const HeldAsk &ask) const {
  Instant marked = Marks.markedAt();
  if (PushIncomplete && ask.Version < Keeper.version())
    return true;
  if (marked == Instant::min())
    return false;
  return ask.MarkedAt == Instant::min() || marked - ask.MarkedAt >= MarkStep;
}

void ConfigSync::answer(VmHandle to, HeldAsk &ask, const ConfigStep &step) {
  sendMark(to, std::exchange(ask.Number, 0), ask.ReceivedAt, step);
}

void ConfigSync::answerHeld(const ConfigStep &step) {
  bool same =
      AnsweredMark == Marks.markedAt() && AnsweredVersion == Keeper.version();
  if (same)
    return;
  AnsweredMark = Marks.markedAt();
  AnsweredVersion = Keeper.version();
  for (uint32_t n = 0; n < Held.size(); ++n)
    if (Held[n].Number != 0 && hasNews(Held[n]))
      answer({n}, Held[n], step);
}

void ConfigSync::noteReading(Duration age, const ConfigStep &step) {
  if (age >= Duration::zero() && age < MaxReadingAge)
    ReadingSeenAt = std::max(ReadingSeenAt, step.Now - age);
}

bool ConfigSync::readsStoreByMarkAge(const ConfigStep &step) {
  VmHandle self = step.Members.Self;
  if (Readers.contains(self))
    return true;
  if (Started == Instant::min())
    return false;
  bool hasMark = Marks.markedAt() != Instant::min();
  if (step.Now >= (hasMark ? readDue() : startReadDue(self)))
    TakeoverUntil = deadlineAfter(step.Now, Times.TakeoverTime);
  return step.Now < TakeoverUntil;
}

/// \returns when a VM without a mark reads the store. It serves nothing yet, so
/// others that started with it need not read as well.
Instant ConfigSync::startReadDue(VmHandle self) const {
  if (OwnWatchers.contains(self))
    return deadlineAfter(Started, ReadMarkAge);
  Instant heard = std::max(LastWatcherAnswer, Started);
  return std::min(
      deadlineAfter(heard,
                    Times.WatcherTimeout + takeoverDelay(MaxTakeoverFactor)),
      deadlineAfter(Started, Times.DirectWatchMarkAge +
                                 takeoverDelay(MaxUrgentTakeoverFactor)));
}

/// \returns when the mark of this VM will be so old that it reads the store
/// although it is no reader.
Instant ConfigSync::readDue() const {
  if (!readsForFleet() || Marks.markedAt() == Instant::min())
    return NeverInstant;
  Instant due = deadlineAfter(Marks.markedAt(), ReadMarkAge);
  if (ReadingSeenAt != Instant::min())
    due = std::max(due, deadlineAfter(ReadingSeenAt, MaxReadingAge));
  return due;
}

} // namespace guavasail
