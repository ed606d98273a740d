#include "config_writer.h"

#include <utility>

namespace guavasail {

const ConfigWriter::StageRow ConfigWriter::Rows[] = {
    {&ConfigWriter::sendNothing, &ConfigWriter::onNothing},
    {&ConfigWriter::sendReadHead, &ConfigWriter::onHeadRead},
    {&ConfigWriter::sendAwaitConfig, &ConfigWriter::onNothing},
    {&ConfigWriter::sendChunks, &ConfigWriter::onChunkWritten},
    {&ConfigWriter::sendAudit, &ConfigWriter::onAuditWritten},
    {&ConfigWriter::sendMoveHead, &ConfigWriter::onHeadMoved},
    {&ConfigWriter::sendAwaitSpread, &ConfigWriter::onNothing},
};

void ConfigWriter::propose(const Change &change, const ConfigStep &step) {
  if (Queue.size() >= Times.Queue) {
    ChangeRejected rejected{change.Id, {ChangeFault::Busy, {}}};
    step.Effects.push(ChangeConcluded{rejected});
    return;
  }
  Queue.push_back({change, later(step.Now, Times.Change)});
  onTick(step);
}

void ConfigWriter::onTick(const ConfigStep &step) {
  if (Queue.empty())
    return;
  if (Stage == StageKind::AwaitSpread)
    return onSpreadTick(step);
  if (Queue.front().Deadline <= step.Now)
    return giveUp(step);
  if (Stage == StageKind::Idle) {
    Items = touchedItems(Queue.front().Body);
    SeenVersion = 0;
    MoveUnknown = false;
    // A VM cut off from the fleet could not tell the others of a withdrawal.
    if (!step.Reach.HearsMajority)
      return reject({ChangeFault::WriterIsolated, {}}, step);
    return enter(StageKind::ReadHead, step);
  }
  if (Stage == StageKind::AwaitConfig)
    return sendAwaitConfig(step);
  if (ReplyDue <= step.Now) {
    MoveUnknown |= Stage == StageKind::MoveHead;
    return enter(StageKind::ReadHead, step);
  }
  if (RetryAt <= step.Now)
    enter(StageKind::ReadHead, step);
}

void ConfigWriter::enter(StageKind stage, const ConfigStep &step) {
  Stage = stage;
  ReplyDue = RetryAt = NeverInstant;
  const StageRow &row = Rows[static_cast<size_t>(stage)];
  (this->*row.Send)(step);
}

/// Starts again from the head after a pause.
void ConfigWriter::retryLater(const ConfigStep &step) {
  Stage = StageKind::ReadHead;
  ReplyDue = NeverInstant;
  RetryAt = later(step.Now, Times.Retry);
}

StoreTicket ConfigWriter::ticket(const ConfigStep &step) {
  ReplyDue = later(step.Now, Times.Reply);
  return {StoreUser::Writer, ++Number};
}

void ConfigWriter::onReply(const StoreReplied &reply, const ConfigStep &step) {
  if (reply.Ticket.Number != Number || ReplyDue == NeverInstant)
    return;
  ReplyDue = NeverInstant;
  const StageRow &row = Rows[static_cast<size_t>(Stage)];
  (this->*row.Reply)(reply, step);
}

void ConfigWriter::sendNothing(const ConfigStep &) {}
void ConfigWriter::onNothing(const StoreReplied &, const ConfigStep &) {}

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
  bool past = reply.Revision < LeastRevision ||
              (head && head->Version < Keeper.version());
  if (!head || past)
    return retryLater(step);
  Base = *head;
  BaseRevision = LeastRevision = reply.Revision;
  Marks.learnVersion(Base.Version);
  // Past the revision that it expects, a move can no longer take effect.
  if (reply.Revision > MoveRevision)
    MoveUnknown = false;
  Keeper.offer(Base);
  if (endedByHead(step))
    return;
  SeenVersion = Base.Version;
  enter(StageKind::AwaitConfig, step);
}

/// Ends the change if the head shows that it is in or that another came first.
bool ConfigWriter::endedByHead(const ConfigStep &step) {
  const Change &change = Queue.front().Body;
  for (const RecentChange &it : Base.Recent) {
    if (it.Id != change.Id)
      continue;
    followSpread(it.Version, step);
    return true;
  }
  if (const RecentChange *other = conflicting()) {
    conclude(ChangeConflict{change.Id, other->Id, other->Author}, step);
    return true;
  }
  return false;
}

const RecentChange *ConfigWriter::conflicting() const {
  const Change &change = Queue.front().Body;
  if (change.IfVersion && *change.IfVersion != Base.Version)
    return Base.Recent.empty() ? nullptr : &Base.Recent.back();
  for (const RecentChange &it : Base.Recent) {
    bool raced = SeenVersion > 0 && it.Version > SeenVersion;
    if (raced && sharesItem(Items, it.Items))
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
  // The name is the digest: a chunk that exists is the same one.
  bool there = reply.Outcome == StoreOutcome::Ok ||
               reply.Outcome == StoreOutcome::Conflict;
  if (!there)
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
  bool there = reply.Outcome == StoreOutcome::Ok ||
               reply.Outcome == StoreOutcome::Conflict;
  if (!there)
    return retryLater(step);
  enter(StageKind::MoveHead, step);
}

void ConfigWriter::sendMoveHead(const ConfigStep &step) {
  if (!step.Reach.HearsMajority && !MoveUnknown)
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
    LeastRevision = reply.Revision;
    const ConfigHead &head = std::get<ConfigHead>(HeadValue);
    Keeper.commit(head, Prepared.Edits);
    Written = true;
    return followSpread(head.Version, step);
  }
  if (reply.Outcome == StoreOutcome::Conflict) {
    LeastRevision = std::max(LeastRevision, reply.Revision);
    return enter(StageKind::ReadHead, step);
  }
  MoveUnknown |= reply.Outcome == StoreOutcome::Lost;
  retryLater(step);
}

void ConfigWriter::followSpread(uint64_t version, const ConfigStep &step) {
  SpreadVersion = version;
  SpreadDeadline = later(step.Now, Times.Spread);
  Holders.assign(step.Members.Vms.size(), false);
  enter(StageKind::AwaitSpread, step);
}

/// Asks every VM that is not known to hold the version. The deltas, which
/// leave with the adoption, arrive before the question.
void ConfigWriter::sendAwaitSpread(const ConfigStep &step) {
  RetryAt = later(step.Now, Times.Retry);
  for (uint32_t n = 0; n < Holders.size(); ++n)
    if (n != step.Members.Self.Value && !Holders[n])
      step.Effects.push(SendPeer{{n}, ConfigMarkRequest{0, Keeper.version()}});
}

void ConfigWriter::onSpreadTick(const ConfigStep &step) {
  bool spread = majorityHolds(step);
  if (spread || SpreadDeadline <= step.Now)
    return conclude(
        ChangeAccepted{Queue.front().Body.Id, SpreadVersion, spread}, step);
  if (RetryAt <= step.Now)
    sendAwaitSpread(step);
}

void ConfigWriter::noteHeld(VmHandle vm, uint64_t version,
                            const ConfigStep &step) {
  if (Stage != StageKind::AwaitSpread || version < SpreadVersion ||
      vm.Value >= Holders.size())
    return;
  Holders[vm.Value] = true;
  onSpreadTick(step);
}

bool ConfigWriter::majorityHolds(const ConfigStep &step) const {
  uint32_t listed = 1;
  uint32_t holders = Keeper.version() >= SpreadVersion ? 1 : 0;
  for (uint32_t n = 0; n < step.Members.Vms.size(); ++n) {
    if (n == step.Members.Self.Value || !listedVm(step.Members.Vms[n]))
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

void ConfigWriter::giveUp(const ConfigStep &step) {
  std::string id = Queue.front().Body.Id;
  bool unknown =
      MoveUnknown || (Stage == StageKind::MoveHead && ReplyDue != NeverInstant);
  if (unknown)
    return conclude(ChangeOutcomeUnknown{std::move(id)}, step);
  reject({ChangeFault::StoreUnavailable, {}}, step);
}

bool ConfigWriter::takeWritten() { return std::exchange(Written, false); }

Instant ConfigWriter::nextDue() const {
  if (Queue.empty())
    return NeverInstant;
  if (Stage == StageKind::AwaitSpread)
    return std::min(SpreadDeadline, RetryAt);
  return std::min({Queue.front().Deadline, ReplyDue, RetryAt});
}

} // namespace guavasail
