#include "config_watch.h"

#include <limits>

namespace guavasail {

namespace {

/// A revision that no key has: such a write never takes effect.
constexpr uint64_t NoRevision = std::numeric_limits<uint64_t>::max();
constexpr uint64_t FirstVersion = 1;

ConfigHead firstHead() {
  ConfigHead head;
  head.Version = FirstVersion;
  head.Chunks.resize(ChunkSlots);
  return head;
}

} // namespace

void ConfigWatch::setActive(bool active) {
  if (active == Active)
    return;
  Active = active;
  Confirming.close();
  Watching.close();
  NextConfirm = NextWatch = Instant::min();
  Reached = false;
}

ConfigWatch::Pending ConfigWatch::begin(Instant now, Duration wait) {
  return {++LastNumber, now, later(now, wait), 0};
}

void ConfigWatch::onTick(const ConfigStep &step) {
  expire(step);
  if (Active && !Confirming.open() && step.Now >= NextConfirm)
    confirm(step);
  if (Active && Reached && SeenRevision > 0 && !Watching.open() &&
      step.Now >= NextWatch)
    watch(step);
  readChunks(step);
}

void ConfigWatch::confirm(const ConfigStep &step) {
  Confirming = begin(step.Now, Times.Reply);
  NextConfirm = later(step.Now, Times.Confirm);
  // A compare-and-swap that cannot succeed changes nothing and is answered by
  // the store's newest state, never by an old copy.
  StoreWrite write;
  write.Ticket = {StoreUser::Watch, Confirming.Number};
  write.Expected = NoRevision;
  if (HeadAbsent) {
    write.Expected = 0;
    Seed = Keeper.version() > 0 ? Keeper.head() : firstHead();
  }
  write.Value = HeadAbsent ? &Seed : &Nothing;
  step.Effects.push(write);
}

void ConfigWatch::watch(const ConfigStep &step) {
  Watching = begin(step.Now, Times.Watch + Times.Reply);
  StoreWatch request;
  request.Ticket = {StoreUser::Watch, Watching.Number};
  request.After = SeenRevision;
  request.Wait = Times.Watch;
  step.Effects.push(request);
}

void ConfigWatch::readHead(const ConfigStep &step) {
  if (HeadRead.open())
    return;
  HeadRead = begin(step.Now, Times.Reply);
  StoreRead read;
  read.Ticket = {StoreUser::Watch, HeadRead.Number};
  step.Effects.push(read);
}

void ConfigWatch::readChunks(const ConfigStep &step) {
  // Only a head that came from the store is read from there.
  if (RetryRead <= step.Now)
    RetryRead = NeverInstant;
  if (Keeper.nextVersion() != ReadVersion || RetryRead != NeverInstant)
    return;
  uint32_t from = 0;
  for (Pending &read : Reads) {
    if (read.open())
      continue;
    auto taken = [&](uint32_t slot) {
      return std::any_of(Reads.begin(), Reads.end(), [&](const Pending &it) {
        return it.open() && it.Slot == slot;
      });
    };
    auto slot = Keeper.missingSlot(from);
    while (slot && taken(*slot))
      slot = Keeper.missingSlot(*slot + 1);
    if (!slot)
      return;
    from = *slot + 1;
    read = begin(step.Now, Times.Reply);
    read.Slot = *slot;
    StoreRead request;
    request.Ticket = {StoreUser::Watch, read.Number};
    request.Key.Space = StoreSpace::Chunk;
    request.Key.Chunk = Keeper.wanted(*slot);
    step.Effects.push(request);
  }
}

void ConfigWatch::expire(const ConfigStep &step) {
  auto due = [&](Pending &it) {
    bool lost = it.open() && it.Deadline <= step.Now;
    if (lost)
      it.close();
    return lost;
  };
  if (due(Confirming))
    noteFailure(Confirming.Sent, step);
  due(Watching);
  due(HeadRead);
  for (Pending &it : Reads)
    due(it);
}

void ConfigWatch::noteFailure(Instant sent, const ConfigStep &step) {
  Reached = false;
  Failed = true;
  NextConfirm = later(step.Now, Times.Retry);
  // A VM that still hears of the store by others makes no statement, and
  // neither does one that is cut off with a minority: its word would count
  // with the others as soon as the links are back.
  bool unheard = ageOf(Marks.markedAt(), step.Now) >= Marks.bounds().AttestFrom;
  if (unheard && step.Reach.HearsMajority)
    Marks.noteAway(step.Zone, sent);
}

void ConfigWatch::onReply(const StoreReplied &reply, const ConfigStep &step) {
  if (Confirming.is(reply.Ticket)) {
    Confirming.close();
    onConfirmed(reply, step);
  } else if (Watching.is(reply.Ticket)) {
    Watching.close();
    bool failed = reply.Outcome != StoreOutcome::Ok &&
                  reply.Outcome != StoreOutcome::Unchanged;
    if (failed)
      NextWatch = later(step.Now, Times.Confirm);
    onHead(reply, step);
  } else if (HeadRead.is(reply.Ticket)) {
    HeadRead.close();
    onHead(reply, step);
  } else {
    for (Pending &it : Reads)
      if (it.is(reply.Ticket))
        onChunk(it, reply, step);
  }
  onTick(step);
}

void ConfigWatch::onConfirmed(const StoreReplied &reply,
                              const ConfigStep &step) {
  if (reply.Outcome == StoreOutcome::Ok) {
    Reached = true;
    Failed = false;
    HeadAbsent = false;
    const ConfigHead &head = *std::get_if<ConfigHead>(&Seed);
    SeenRevision = reply.Revision;
    SeenVersion = head.Version;
    Keeper.offer(head);
    Marks.confirm(SeenVersion, Confirming.Sent);
    return;
  }
  if (reply.Outcome != StoreOutcome::Conflict)
    return noteFailure(Confirming.Sent, step);
  Reached = true;
  Failed = false;
  HeadAbsent = reply.Revision == 0;
  if (HeadAbsent)
    NextConfirm = step.Now;
  else if (reply.Revision == SeenRevision)
    Marks.confirm(SeenVersion, Confirming.Sent);
  else {
    ConflictRevision = reply.Revision;
    ConflictAt = Confirming.Sent;
    readHead(step);
  }
}

void ConfigWatch::onHead(const StoreReplied &reply, const ConfigStep &step) {
  const ConfigHead *head = reply.Outcome == StoreOutcome::Ok && reply.Value
                               ? std::get_if<ConfigHead>(reply.Value)
                               : nullptr;
  // A copy from the past has a lower revision.
  if (!head || reply.Revision <= SeenRevision)
    return;
  SeenRevision = reply.Revision;
  SeenVersion = ReadVersion = head->Version;
  Marks.learnVersion(head->Version);
  Keeper.offer(*head);
  // What a confirmation has met is the newest of that moment; what a watch
  // tells has still to be confirmed.
  if (ConflictRevision > 0 && SeenRevision >= ConflictRevision)
    Marks.confirm(SeenVersion, ConflictAt);
  else if (Active && !Confirming.open())
    NextConfirm = step.Now;
  ConflictRevision = 0;
}

void ConfigWatch::onChunk(Pending &read, const StoreReplied &reply,
                          const ConfigStep &step) {
  read.close();
  const CatalogChunk *chunk = reply.Outcome == StoreOutcome::Ok && reply.Value
                                  ? std::get_if<CatalogChunk>(reply.Value)
                                  : nullptr;
  bool wrong = !chunk || !Keeper.provide(read.Slot, *chunk);
  if (wrong && Keeper.gathering())
    RetryRead = later(step.Now, Times.Retry);
}

Instant ConfigWatch::nextDue() const {
  Instant due = std::min(Watching.Deadline, HeadRead.Deadline);
  for (const Pending &it : Reads)
    due = std::min(due, it.Deadline);
  due = std::min(due, RetryRead);
  if (!Active)
    return due;
  due = std::min(due, Confirming.open() ? Confirming.Deadline : NextConfirm);
  return due;
}

} // namespace guavasail
