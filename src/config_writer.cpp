#include "config_writer.h"

#include <utility>

namespace guavasail {

const ConfigWriter::StageHandlers ConfigWriter::Handlers[] = {
    {&ConfigWriter::sendNothing, &ConfigWriter::ignoreReply},
    {&ConfigWriter::sendReadHead, &ConfigWriter::onHeadRead},
    {&ConfigWriter::sendAwaitConfig, &ConfigWriter::ignoreReply},
    {&ConfigWriter::sendChunks, &ConfigWriter::onChunkWritten},
    {&ConfigWriter::sendAudit, &ConfigWriter::onAuditWritten},
    {&ConfigWriter::sendMoveHead, &ConfigWriter::onHeadMoved},
    {&ConfigWriter::sendAwaitMajority, &ConfigWriter::ignoreReply},
};

void ConfigWriter::propose(const Change &change, const ConfigStep &step) {
  if (Queue.size() >= Times.MaxQueuedChanges) {
    ChangeRejected rejected{change.Id, {ChangeFault::Busy, {}}};
    step.Effects.push(ChangeConcluded{rejected});
    return;
  }
  Queue.push_back({change, deadlineAfter(step.Now, Times.ChangeTimeout)});
  onTick(step);
}

void ConfigWriter::onTick(const ConfigStep &step) {
  if (Queue.empty())
    return;
  if (Stage == StageKind::AwaitMajority)
    return onMajorityTick(step);
  if (Queue.front().Deadline <= step.Now)
    return timeOut(step);
  if (Stage == StageKind::Idle) {
    Items = touchedItems(Queue.front().Body);
    SeenVersion = 0;
    MoveOutcomeUnknown = false;
    // A VM cut off from the fleet could not announce a withdrawn key.
    if (!step.Reach.InMajority)
      return reject({ChangeFault::WriterIsolated, {}}, step);
    return enter(StageKind::ReadHead, step);
  }
  if (Stage == StageKind::AwaitConfig)
    return sendAwaitConfig(step);
  if (ReplyDue <= step.Now) {
    MoveOutcomeUnknown |= Stage == StageKind::MoveHead;
    return enter(StageKind::ReadHead, step);
  }
  if (RetryAt <= step.Now)
    enter(StageKind::ReadHead, step);
}

void ConfigWriter::enter(StageKind stage, const ConfigStep &step) {
  Stage = stage;
  ReplyDue = RetryAt = NeverInstant;
  const StageHandlers &handlers = Handlers[static_cast<size_t>(stage)];
  (this->*handlers.Send)(step);
}

/// Starts over by reading the head after `RetryInterval`.
void ConfigWriter::retryLater(const ConfigStep &step) {
  Stage = StageKind::ReadHead;
  ReplyDue = NeverInstant;
  RetryAt = deadlineAfter(step.Now, Times.RetryInterval);
}

StoreTicket ConfigWriter::ticket(const ConfigStep &step) {
  ReplyDue = deadlineAfter(step.Now, Times.ReplyTimeout);
  return {StoreUser::Writer, ++Number};
}

void ConfigWriter::onReply(const StoreReplied &reply, const ConfigStep &step) {
  if (reply.Ticket.Number != Number || ReplyDue == NeverInstant)
    return;
  ReplyDue = NeverInstant;
  const StageHandlers &handlers = Handlers[static_cast<size_t>(Stage)];
  (this->*handlers.Reply)(reply, step);
}

void ConfigWriter::sendNothing(const ConfigStep &) {}
void ConfigWriter::ignoreReply(const StoreReplied &, const ConfigStep &) {}

void ConfigWriter::sendReadHead(const ConfigStep &step) {
  StoreRead read;
  read.Ticket = ticket(step);
  step.Effects.push(read);
}

void ConfigWriter::onHeadRead(const StoreReplied &reply,
                              const ConfigStep &step) {
  const ConfigHead *head = reply.Outcome == StoreOutcome::Ok && reply.Value
                               ? std::get_if<ConfigHead>(reply.Value)
                               : nullptr;
  bool outdated = reply.Revision < MinRevision ||
                  (head && head->Version < Keeper.version());
  if (!head || outdated)
    return retryLater(step);
  Base = *head;
  BaseRevision = MinRevision = reply.Revision;
  Marks.learnVersion(Base.Version);
  // Once the revision is above the one it expects, an update of the head can
  // no longer take effect.
  if (reply.Revision > MoveRevision)
    MoveOutcomeUnknown = false;
  Keeper.offerHead(Base);
  if (concludeFromHead(step))
    return;
  SeenVersion = Base.Version;
  enter(StageKind::AwaitConfig, step);
}

/// Concludes the change if the head shows that it was applied or that another
/// one conflicts with it.
bool ConfigWriter::concludeFromHead(const ConfigStep &step) {
  const Change &change = Queue.front().Body;
  for (const RecentChange &it : Base.Recent) {
    if (it.Id != change.Id)
      continue;
    awaitMajority(it.Version, step);
    return true;
  }
  if (const RecentChange *other = conflictingChange()) {
    conclude(ChangeConflict{change.Id, other->Id, other->Author}, step);
    return true;
  }
  return false;
}

const RecentChange *ConfigWriter::conflictingChange() const {
  const Change &change = Queue.front().Body;
  if (change.IfVersion && *change.IfVersion != Base.Version)
    return Base.Recent.empty() ? nullptr : &Base.Recent.back();
  for (const RecentChange &it : Base.Recent) {
    bool concurrent = SeenVersion > 0 && it.Version > SeenVersion;
    if (concurrent && sharesItem(Items, it.Items))
      return &it;
  }
  return nullptr;
}

void ConfigWriter::sendAwaitConfig(const ConfigStep &step) {
  if (Keeper.version() == Base.Version)
    return prepare(step);
  if (Keeper.version() > Base.Version)
    retryLater(step);
}

void ConfigWriter::prepare(const ConfigStep &step) {
  const Change &change = Queue.front().Body;
  auto effects = editChunks(Keeper.table(), change);
  if (!effects)
    return reject(effects.error(), step);
  Prepared = std::move(effects.value());
  RecentChange recent{change.Id, change.Author, Base.Version + 1,
                      change.UnixMillis, Items};
  AuditRecord audit{recent.Version,    change.Id, change.Author,
                    change.UnixMillis, {},        Prepared.Items};
  if (!Base.Recent.empty())
    audit.PreviousId = Base.Recent.back().Id;
  AuditValue = std::move(audit);
  ConfigHead head = Base;
  advanceHead(head, recent);
  for (const auto &[slot, chunk] : Prepared.Edits)
    head.Chunks[slot] = chunkDigest(chunk);
  HeadValue = std::move(head);
  NextChunk = Prepared.Edits.begin();
  enter(StageKind::WriteChunks, step);
}

void ConfigWriter::sendChunks(const ConfigStep &step) {
  while (NextChunk != Prepared.Edits.end() &&
         chunkEntries(NextChunk->second) == 0)
    ++NextChunk;
  if (NextChunk == Prepared.Edits.end())
    return enter(StageKind::WriteAudit, step);
  ChunkValue = NextChunk->second;
  StoreWrite write;
  write.Ticket = ticket(step);
  write.Key.Space = StoreSpace::Chunk;
  write.Key.Chunk = std::get<ConfigHead>(HeadValue).Chunks[NextChunk->first];
  write.Value = &ChunkValue;
  step.Effects.push(write);
}

void ConfigWriter::onChunkWritten(const StoreReplied &reply,
                                  const ConfigStep &step) {
  // The key is the digest, so an existing chunk has the same content.
  bool exists = reply.Outcome == StoreOutcome::Ok ||
                reply.Outcome == StoreOutcome::Conflict;
  if (!exists)
    return retryLater(step);
  ++NextChunk;
  enter(StageKind::WriteChunks, step);
}

void ConfigWriter::sendAudit(const ConfigStep &step) {
  const AuditRecord &audit = std::get<AuditRecord>(AuditValue);
  StoreWrite write;
  write.Ticket = ticket(step);
  write.Key.Space = StoreSpace::Audit;
  write.Key.Version = audit.Version;
  write.Key.ChangeId = audit.ChangeId;
  write.Value = &AuditValue;
  step.Effects.push(write);
}

void ConfigWriter::onAuditWritten(const StoreReplied &reply,
                                  const ConfigStep &step) {
  bool exists = reply.Outcome == StoreOutcome::Ok ||
                reply.Outcome == StoreOutcome::Conflict;
  if (!exists)
    return retryLater(step);
  enter(StageKind::MoveHead, step);
}

void ConfigWriter::sendMoveHead(const ConfigStep &step) {
  if (!step.Reach.InMajority && !MoveOutcomeUnknown)
    return reject({ChangeFault::WriterIsolated, {}}, step);
  MoveRevision = BaseRevision;
  StoreWrite write;
  write.Ticket = ticket(step);
  write.Expected = BaseRevision;
  write.Value = &HeadValue;
  step.Effects.push(write);
}

void ConfigWriter::onHeadMoved(const StoreReplied &reply,
                               const ConfigStep &step) {
  if (reply.Outcome == StoreOutcome::Ok) {
    MinRevision = reply.Revision;
    const ConfigHead &head = std::get<ConfigHead>(HeadValue);
    Keeper.commit(head, Prepared.Edits);
    Written = true;
    return awaitMajority(head.Version, step);
  }
  if (reply.Outcome == StoreOutcome::Conflict) {
    MinRevision = std::max(MinRevision, reply.Revision);
    return enter(StageKind::ReadHead, step);
  }
  MoveOutcomeUnknown |= reply.Outcome == StoreOutcome::Lost;
  retryLater(step);
}

void ConfigWriter::awaitMajority(uint64_t version, const ConfigStep &step) {
  AcceptedVersion = version;
  MajorityDeadline = deadlineAfter(step.Now, Times.MajorityTimeout);
  Holders.assign(step.Members.Vms.size(), false);
  enter(StageKind::AwaitMajority, step);
}

/// Asks every VM that is not known to have the version in force. The deltas,
/// which are sent on adoption, arrive before the request.
void ConfigWriter::sendAwaitMajority(const ConfigStep &step) {
  RetryAt = deadlineAfter(step.Now, Times.RetryInterval);
  for (uint32_t n = 0; n < Holders.size(); ++n)
    if (n != step.Members.Self.Value && !Holders[n])
      step.Effects.push(SendPeer{{n}, ConfigMarkRequest{0, Keeper.version()}});
}

void ConfigWriter::onMajorityTick(const ConfigStep &step) {
  bool held = majorityHolds(step);
  if (held || MajorityDeadline <= step.Now)
    return conclude(
        ChangeAccepted{Queue.front().Body.Id, AcceptedVersion, held}, step);
  if (RetryAt <= step.Now)
    sendAwaitMajority(step);
}

void ConfigWriter::noteVersionHeld(VmHandle vm, uint64_t version,
                                   const ConfigStep &step) {
  if (Stage != StageKind::AwaitMajority || version < AcceptedVersion ||
      vm.Value >= Holders.size())
    return;
  Holders[vm.Value] = true;
  onMajorityTick(step);
}

bool ConfigWriter::majorityHolds(const ConfigStep &step) const {
  uint32_t listed = 1;
  uint32_t holders = Keeper.version() >= AcceptedVersion ? 1 : 0;
  for (uint32_t n = 0; n < step.Members.Vms.size(); ++n) {
    if (n == step.Members.Self.Value || !isListed(step.Members.Vms[n]))
      continue;
    ++listed;
    holders += n < Holders.size() && Holders[n] ? 1 : 0;
  }
  return holders * 2 > listed;
}

void ConfigWriter::conclude(ChangeOutcome outcome, const ConfigStep &step) {
  step.Effects.push(ChangeConcluded{std::move(outcome)});
  Queue.pop_front();
  Stage = StageKind::Idle;
  ReplyDue = RetryAt = NeverInstant;
  onTick(step);
}

void ConfigWriter::reject(const ChangeFailure &failure,
                          const ConfigStep &step) {
  conclude(ChangeRejected{Queue.front().Body.Id, failure}, step);
}

void ConfigWriter::timeOut(const ConfigStep &step) {
  std::string id = Queue.front().Body.Id;
  bool unknown = MoveOutcomeUnknown ||
                 (Stage == StageKind::MoveHead && ReplyDue != NeverInstant);
  if (unknown)
    return conclude(ChangeOutcomeUnknown{std::move(id)}, step);
  reject({ChangeFault::StoreUnavailable, {}}, step);
}

bool ConfigWriter::takeWritten() { return std::exchange(Written, false); }

Instant ConfigWriter::nextDue() const {
  if (Queue.empty())
    return NeverInstant;
  if (Stage == StageKind::AwaitMajority)
    return std::min(MajorityDeadline, RetryAt);
  return std::min({Queue.front().Deadline, ReplyDue, RetryAt});
}

} // namespace guavasail
