#include "config_watch.h"

#include <limits>

namespace guavasail {

namespace {

/// A revision that no key has; a write that expects it never takes effect.
constexpr uint64_t NoRevision = std::numeric_limits<uint64_t>::max();
constexpr uint64_t InitialVersion = 1;

ConfigHead initialHead() {
  ConfigHead head;
  head.Version = InitialVersion;
  head.Chunks.resize(ChunkSlots);
  return head;
}

/// \returns the operator's number of the configuration in \p head; 0 if
/// unknown.
uint64_t configVersion(const ConfigHead &head) {
  return head.Recent.empty() ? 0 : head.Recent.back().ConfigVersion;
}

} // namespace

void ConfigWatch::setActive(bool active, Duration markAge) {
  ConfirmMarkAge = markAge;
  if (active == Active)
    return;
  Active = active;
  Confirming.close();
  Watching.close();
  NextConfirm = NextWatch = Instant::min();
  Reached = false;
}

ConfigWatch::Pending ConfigWatch::begin(Instant now, Duration wait) {
  return {++LastNumber, now, deadlineAfter(now, wait), 0};
}

void ConfigWatch::onTick(const ConfigStep &step) {
  expire(step);
  if (Active && !Confirming.open() && step.Now >= confirmDue())
    confirm(step);
  if (Active && Reached && SeenRevision > 0 && !Watching.open() &&
      step.Now >= NextWatch)
    watch(step);
  readChunks(step);
}

/// \returns when to confirm the head. What another VM has confirmed meanwhile
/// need not be read again.
Instant ConfigWatch::confirmDue() const {
  bool isOwnTask =
      ConfirmMarkAge == Duration::zero() || NeedsSnapshot || HeadAbsent;
  if (isOwnTask || Marks.markedAt() == Instant::min())
    return NextConfirm;
  return std::max(NextConfirm, deadlineAfter(Marks.markedAt(), ConfirmMarkAge));
}

void ConfigWatch::confirm(const ConfigStep &step) {
  Confirming = begin(step.Now, Times.ReplyTimeout);
  ProgressAt = Instant::min();
  NextConfirm = deadlineAfter(step.Now, Times.ConfirmInterval);
  // A compare-and-swap that cannot succeed changes nothing, and its reply has
  // the newest revision; a read may return a stale copy.
  StoreWrite write;
  write.Ticket = {StoreUser::Watch, Confirming.Number};
  write.Expected = NoRevision;
  if (HeadAbsent) {
    write.Expected = 0;
    InitialValue = Keeper.version() > 0 ? Keeper.head() : initialHead();
  }
  write.Value = HeadAbsent ? &InitialValue : &NoValue;
  write.Snapshot = NeedsSnapshot;
  step.Effects.push(write);
}

void ConfigWatch::watch(const ConfigStep &step) {
  Watching = begin(step.Now, Times.WatchTimeout + Times.ReplyTimeout);
  StoreWatch request;
  request.Ticket = {StoreUser::Watch, Watching.Number};
  request.After = SeenRevision;
  request.Wait = Times.WatchTimeout;
  step.Effects.push(request);
}

void ConfigWatch::readHead(const ConfigStep &step) {
  if (HeadRead.open())
    return;
  HeadRead = begin(step.Now, Times.ReplyTimeout);
  StoreRead read;
  read.Ticket = {StoreUser::Watch, HeadRead.Number};
  step.Effects.push(read);
}

void ConfigWatch::readChunks(const ConfigStep &step) {
  // Chunks are read from the store only if their head came from there.
  if (RetryRead <= step.Now)
    RetryRead = NeverInstant;
  if (Keeper.pendingVersion() != ReadVersion || RetryRead != NeverInstant)
    return;
  uint32_t from = 0;
  for (Pending &read : Reads) {
    if (read.open())
      continue;
    auto beingRead = [&](uint32_t slot) {
      return std::any_of(Reads.begin(), Reads.end(), [&](const Pending &it) {
        return it.open() && it.Slot == slot;
      });
    };
    auto slot = Keeper.missingSlot(from);
    while (slot && beingRead(*slot))
      slot = Keeper.missingSlot(*slot + 1);
    if (!slot)
      return;
    from = *slot + 1;
    read = begin(step.Now, Times.ReplyTimeout);
    read.Slot = *slot;
    StoreRead request;
    request.Ticket = {StoreUser::Watch, read.Number};
    request.Key.Space = StoreSpace::Chunk;
    request.Key.Chunk = Keeper.wantedDigest(*slot);
    step.Effects.push(request);
  }
}

void ConfigWatch::expire(const ConfigStep &step) {
  auto closeIfExpired = [&](Pending &it) {
    bool lost = it.open() && it.Deadline <= step.Now;
    if (lost)
      it.close();
    return lost;
  };
  if (closeIfExpired(Confirming))
    noteFailure(Confirming.Sent, step);
  closeIfExpired(Watching);
  closeIfExpired(HeadRead);
  for (Pending &it : Reads)
    closeIfExpired(it);
}

void ConfigWatch::noteFailure(Instant sent, const ConfigStep &step) {
  Reached = false;
  ConfirmFailed = true;
  NextConfirm = deadlineAfter(step.Now, Times.RetryInterval);
  // A VM that still gets fresh marks from others reports no outage. Neither
  // does a VM in a minority partition: its report would count among the others
  // as soon as the links recover.
  bool markIsOld =
      ageOf(Marks.markedAt(), step.Now) >= Marks.bounds().OutageReportAge;
  if (markIsOld && step.Reach.InMajority)
    Marks.noteStoreOutage(step.Zone, sent);
}

void ConfigWatch::onReply(const StoreReplied &reply, const ConfigStep &step) {
  if (Confirming.matches(reply.Ticket)) {
    if (reply.Outcome == StoreOutcome::Partial) {
      onPartial(reply, step);
    } else {
      Confirming.close();
      onConfirmed(reply, step);
    }
  } else if (Watching.matches(reply.Ticket)) {
    Watching.close();
    bool failed = reply.Outcome != StoreOutcome::Ok &&
                  reply.Outcome != StoreOutcome::Unchanged;
    if (failed)
      NextWatch = deadlineAfter(step.Now, Times.ConfirmInterval);
    onHead(reply, step);
  } else if (HeadRead.matches(reply.Ticket)) {
    HeadRead.close();
    onHead(reply, step);
  } else {
    for (Pending &it : Reads)
      if (it.matches(reply.Ticket))
        onChunk(it, reply, step);
  }
  onTick(step);
}

void ConfigWatch::onConfirmed(const StoreReplied &reply,
                              const ConfigStep &step) {
  if (reply.Outcome == StoreOutcome::Ok) {
    Reached = true;
    ConfirmFailed = false;
    HeadAbsent = false;
    const ConfigHead &head = *std::get_if<ConfigHead>(&InitialValue);
    SeenRevision = reply.Revision;
    SeenVersion = head.Version;
    SeenHead = head;
    Keeper.offerHead(head);
    return confirmSeen(reply.AskedAt, reply, step);
  }
  if (reply.Outcome == StoreOutcome::Missing && Keeper.version() == 0) {
    // Tells the other VMs without a version that they need not read the store
    // themselves. It says nothing about versions that this VM does not know.
    Reached = true;
    ConfirmFailed = false;
    return Marks.confirm({0, NoRevision, reply.AskedAt});
  }
  if (reply.Outcome != StoreOutcome::Conflict)
    return noteFailure(reply.AskedAt, step);
  Reached = true;
  ConfirmFailed = false;
  HeadAbsent = reply.Revision == 0;
  if (HeadAbsent)
    NextConfirm = step.Now;
  else if (reply.Revision == SeenRevision) {
    if (reply.Confirms)
      confirmSeen(reply.AskedAt, reply, step);
  } else {
    ConflictRevision = reply.Revision;
    ConflictAt = reply.AskedAt;
    readHead(step);
  }
}

/// Keeps the confirmation open while the store answers, and adds a mark for the
/// version in force if its configuration is still the newest one. The mark
/// covers the versions since the last whole read: an earlier one may have a
/// configuration that has been reverted since.
void ConfigWatch::onPartial(const StoreReplied &reply, const ConfigStep &step) {
  Reached = true;
  ConfirmFailed = false;
  ProgressAt = step.Now;
  Confirming.Deadline = deadlineAfter(step.Now, Times.ReplyTimeout);
  bool confirmsSeen = reply.Confirms && reply.Revision == SeenRevision;
  if (!confirmsSeen)
    return;
  uint64_t inForce = Keeper.version();
  uint64_t seenConfig = configVersion(SeenHead);
  bool same = inForce == SeenVersion ||
              (seenConfig > 0 && seenConfig == configVersion(Keeper.head()));
  if (same && inForce > 0)
    Marks.confirm({inForce, reply.StoreRevision, reply.AskedAt});
}

/// Adds a mark for the head seen last.
/// \param at when it was the newest one.
/// \param reply tells the store's revision then.
void ConfigWatch::confirmSeen(Instant at, const StoreReplied &reply,
                              const ConfigStep &step) {
  if (!Times.VersionsNameContent)
    return Marks.confirm({SeenVersion, SeenVersion, at});
  matchContent(reply, step);
  Marks.confirm({SeenVersion, reply.StoreRevision, at});
}

/// Names the content seen last as the fleet does. If another reader saw a
/// change in between that has been reverted, its version is in force although
/// it lacks the later change: the content becomes a version of its own. Only a
/// snapshot names a content, so that no two contents get one name.
/// \param reply tells the store's revision at which the content was read.
void ConfigWatch::matchContent(const StoreReplied &reply,
                               const ConfigStep &step) {
  uint64_t inForce = Keeper.version();
  uint64_t snapshot = reply.SnapshotRevision;
  if (snapshot > 0)
    NeedsSnapshot = false;
  if (inForce < SeenVersion)
    return;
  bool same = SeenHead.Chunks == Keeper.head().Chunks;
  if (same)
    SeenVersion = inForce;
  if (same || std::max(reply.StoreRevision, snapshot) <= inForce)
    return;
  if (snapshot <= inForce) {
    NeedsSnapshot = true;
    NextConfirm = step.Now;
    return;
  }
  SeenHead.Version = snapshot;
  for (RecentChange &it : SeenHead.Recent)
    it.Version = snapshot;
  SeenVersion = ReadVersion = snapshot;
  Marks.learnVersion(snapshot);
  Keeper.offerHead(SeenHead);
}

void ConfigWatch::onHead(const StoreReplied &reply, const ConfigStep &step) {
  const ConfigHead *head = reply.Outcome == StoreOutcome::Ok && reply.Value
                               ? std::get_if<ConfigHead>(reply.Value)
                               : nullptr;
  // A stale copy has a lower revision.
  if (!head || reply.Revision <= SeenRevision)
    return;
  SeenRevision = reply.Revision;
  SeenHead = *head;
  bool known = Times.VersionsNameContent && Keeper.version() > 0 &&
               head->Chunks == Keeper.head().Chunks;
  SeenVersion = known ? Keeper.version() : head->Version;
  if (!known) {
    ReadVersion = head->Version;
    Marks.learnVersion(head->Version);
    Keeper.offerHead(*head);
  }
  // The head that a confirmation found was the newest when it was sent; a head
  // from a watch has yet to be confirmed.
  bool wasNewest = ConflictRevision > 0 && SeenRevision >= ConflictRevision;
  if (wasNewest && reply.Confirms)
    confirmSeen(ConflictAt, reply, step);
  else if (!wasNewest && Active && !Confirming.open())
    NextConfirm = step.Now;
  ConflictRevision = 0;
}

void ConfigWatch::onChunk(Pending &read, const StoreReplied &reply,
                          const ConfigStep &step) {
  read.close();
  const CatalogChunk *chunk = reply.Outcome == StoreOutcome::Ok && reply.Value
                                  ? std::get_if<CatalogChunk>(reply.Value)
                                  : nullptr;
  bool invalid = !chunk || !Keeper.provideChunk(read.Slot, *chunk);
  if (invalid && Keeper.gathering())
    RetryRead = deadlineAfter(step.Now, Times.RetryInterval);
}

Instant ConfigWatch::nextDue() const {
  Instant due = std::min(Watching.Deadline, HeadRead.Deadline);
  for (const Pending &it : Reads)
    due = std::min(due, it.Deadline);
  due = std::min(due, RetryRead);
  if (!Active)
    return due;
  due = std::min(due, Confirming.open() ? Confirming.Deadline : confirmDue());
  return due;
}

} // namespace guavasail
