#include "record_book.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Token of a record whose rival claims cannot be told apart; never issued.
constexpr uint64_t NoToken = 0;
/// Memory of a record besides its answer.
constexpr uint64_t RecordBytes = 160;

/// \returns the number of copies that together hold every claim which a
/// majority of \p from accepted.
uint32_t copiesNeeded(const RecordReplicaSet &from) {
  return from.count() - from.majority() + 1;
}

} // namespace

void RecordReplica::assign(uint32_t partition,
                           const RecordAssignment &assignment, Instant now) {
  Partition &entry = Partitions[partition];
  if (assignment.Epoch <= entry.Current.Epoch)
    return;
  bool followedBefore = entry.Current.Epoch + 1 == assignment.Epoch &&
                        entry.Current.Replicas.has(Self.Vm);
  entry.Current = assignment;
  uint32_t position = assignment.Replicas.find(Self.Vm);
  if (position == assignment.Replicas.count())
    return;
  entry.HeldEpoch = assignment.Epoch;
  if (followedBefore)
    return;
  // The assignment may name an earlier life of this VM.
  bool thisLife =
      assignment.Replicas.Items[position].Incarnation == Self.Incarnation;
  if (thisLife && assignment.Epoch == 1)
    return;
  startCopies(entry, thisLife ? assignment.Before : assignment.Replicas, now);
}

void RecordReplica::startCopies(Partition &partition,
                                const RecordReplicaSet &from, Instant now) {
  partition.LossyUntil = NeverInstant;
  partition.SourceCount = 0;
  partition.CopiesNeeded = copiesNeeded(from);
  for (uint32_t n = 0; n < from.count(); ++n) {
    if (from.Items[n].Vm == Self.Vm)
      continue;
    CopySource &source = partition.Sources[partition.SourceCount++];
    source = CopySource{};
    source.Vm = from.Items[n].Vm;
  }
  endCopies(partition, now);
}

void RecordReplica::endCopies(Partition &partition, Instant now) {
  if (partition.LossyUntil != NeverInstant)
    return;
  uint32_t finished = 0;
  uint32_t pending = 0;
  Duration lossyFor{};
  for (uint32_t n = 0; n < partition.SourceCount; ++n) {
    const CopySource &source = partition.Sources[n];
    pending += source.State == SourceState::Pending ? 1 : 0;
    finished += source.State == SourceState::Finished ? 1 : 0;
    lossyFor = std::max(lossyFor, source.IncompletePeriod);
  }
  if (finished >= partition.CopiesNeeded)
    partition.LossyUntil = now + lossyFor;
  else if (pending == 0)
    partition.LossyUntil = now + Limits.Retention;
}

void RecordReplica::noteGone(uint64_t vm, Instant now) {
  for (Partition &partition : Partitions) {
    CopySource *source = findSource(partition, vm);
    if (!source || source->State != SourceState::Pending)
      continue;
    source->State = SourceState::Gone;
    endCopies(partition, now);
  }
}

RecordReplica::CopySource *RecordReplica::findSource(Partition &partition,
                                                     uint64_t vm) {
  for (uint32_t n = 0; n < partition.SourceCount; ++n)
    if (partition.Sources[n].Vm == vm)
      return &partition.Sources[n];
  return nullptr;
}

RecordClaimReply RecordReplica::claim(const RecordClaim &claim, Instant now) {
  RecordClaimReply reply;
  reply.Record = claim.Record;
  reply.Token = claim.Token;
  reply.Request = claim.Request;
  reply.Verdict = judge(claim, now);
  reply.Epoch = Partitions[recordPartition(claim.Record)].Current.Epoch;
  if (reply.Verdict == ClaimVerdict::Done)
    reply.Response = Records[claim.Record].Response;
  return reply;
}

ClaimVerdict RecordReplica::judge(const RecordClaim &claim, Instant now) {
  const Partition &partition = Partitions[recordPartition(claim.Record)];
  const RecordAssignment &current = partition.Current;
  bool holder = current.Replicas.has(Self.Vm);
  if (claim.Epoch != current.Epoch || !holder ||
      partition.FencedBy > current.Epoch)
    return ClaimVerdict::EpochDiffers;
  bool lossy = partition.LossyUntil > now;
  auto it = Records.find(claim.Record);
  if (it != Records.end())
    return judgeExisting(claim, it->second, lossy, now);
  if (lossy)
    return ClaimVerdict::KnowledgeLost;
  if (BytesUsed + RecordBytes > Limits.Bytes)
    return ClaimVerdict::Full;
  Record record{claim.Fingerprint, claim.Token};
  record.AcceptedHere = true;
  record.Claimed = now;
  record.RunsUntil = now + claim.RunTimeout;
  insert(claim.Record, std::move(record), now);
  return ClaimVerdict::Accepted;
}

ClaimVerdict RecordReplica::judgeExisting(const RecordClaim &claim,
                                          Record &record, bool lossy,
                                          Instant now) {
  bool running = record.State == RecordState::InProgress;
  // A copied claim was accepted elsewhere; it counts here only once no rival
  // can be missing.
  bool accepted = running && record.Token == claim.Token;
  if (accepted && (record.AcceptedHere || !lossy))
    return ClaimVerdict::Accepted;
  if (record.Fingerprint != claim.Fingerprint)
    return ClaimVerdict::KeyReused;
  if (running && now < record.RunsUntil)
    return ClaimVerdict::InProgress;
  if (record.State == RecordState::Done)
    return ClaimVerdict::Done;
  if (record.State != RecordState::Released)
    return ClaimVerdict::Unknown;
  if (lossy)
    return ClaimVerdict::KnowledgeLost;
  record.State = RecordState::InProgress;
  record.Token = claim.Token;
  record.RunsUntil = now + claim.RunTimeout;
  record.AcceptedHere = true;
  return ClaimVerdict::Accepted;
}

RecordReplica::Record RecordReplica::settledRecord(const RecordOutcome &settle,
                                                   std::string answer,
                                                   Instant now) {
  Record record{settle.Fingerprint, settle.Token, settle.State};
  record.Claimed = now;
  record.RunsUntil = now;
  record.Response = std::move(answer);
  return record;
}

RecordReplica::Record RecordReplica::copiedRecord(const RecordCopy &copy,
                                                  Instant now) {
  Record record{copy.Fingerprint, copy.Token, copy.State};
  record.Claimed = now - copy.Age;
  record.RunsUntil = now + copy.RunTimeout;
  record.Response = copy.Response;
  return record;
}

void RecordReplica::insert(const Digest &key, Record record, Instant now) {
  BytesUsed += RecordBytes + record.Response.size();
  Instant due = record.Claimed + Limits.Retention;
  Records.emplace(key, std::move(record));
  Partitions[recordPartition(key)].Arrivals.push_back(
      {std::max(due, now), key});
}

void RecordReplica::settle(const RecordOutcome &settle, Instant now) {
  std::string answer = settle.Response;
  if (answer.size() > Limits.AnswerBytes ||
      BytesUsed + answer.size() > Limits.Bytes)
    answer.clear();
  auto it = Records.find(settle.Record);
  if (it == Records.end()) {
    // A holder that missed the claim still learns how the request ended.
    if (settle.State != RecordState::Released)
      insert(settle.Record, settledRecord(settle, std::move(answer), now), now);
    return;
  }
  Record &record = it->second;
  bool open = record.State == RecordState::InProgress;
  if (!open || record.Token != settle.Token)
    return;
  record.State = settle.State;
  BytesUsed += answer.size();
  record.Response = std::move(answer);
}

Duration RecordReplica::lossyFor(const Partition &partition, uint64_t epoch,
                                 Instant now) const {
  // A life that was no holder lately, or still copies, can lack anything.
  bool heldLately = partition.HeldEpoch + 1 >= epoch;
  if (!heldLately || partition.LossyUntil == NeverInstant)
    return Limits.Retention;
  return std::max(partition.LossyUntil - now, Duration::zero());
}

RecordCopyChunk RecordReplica::copy(const RecordCopyRequest &ask, Instant now) {
  Partition &partition = Partitions[ask.Partition % RecordPartitions];
  partition.FencedBy = std::max(partition.FencedBy, ask.Epoch);
  RecordCopyChunk part;
  part.Partition = ask.Partition;
  part.Epoch = ask.Epoch;
  part.From = ask.From;
  part.IncompletePeriod = lossyFor(partition, ask.Epoch, now);
  uint32_t end =
      partition.Dropped + static_cast<uint32_t>(partition.Arrivals.size());
  uint32_t at = std::max(ask.From, partition.Dropped);
  for (; at < end && part.Records.size() < Limits.CopyRecords; ++at) {
    const Digest &key = partition.Arrivals[at - partition.Dropped].Key;
    const Record &record = Records.at(key);
    Duration runsFor = std::max(record.RunsUntil - now, Duration::zero());
    part.Records.push_back({key, record.Fingerprint, record.Token, record.State,
                            runsFor, now - record.Claimed, record.Response});
  }
  part.Next = at < end ? at : 0;
  return part;
}

void RecordReplica::applyCopy(uint64_t from, const RecordCopyChunk &part,
                              Instant now) {
  Partition &partition = Partitions[part.Partition % RecordPartitions];
  CopySource *source = findSource(partition, from);
  bool expected = source && source->State == SourceState::Pending &&
                  part.Epoch == partition.Current.Epoch &&
                  part.From == source->From;
  if (!expected)
    return;
  for (const RecordCopy &copy : part.Records)
    merge(copy, now);
  source->From = part.Next;
  source->NextAsk = now;
  source->IncompletePeriod =
      std::max(source->IncompletePeriod, part.IncompletePeriod);
  if (part.Next != 0)
    return;
  source->State = SourceState::Finished;
  endCopies(partition, now);
}

void RecordReplica::merge(const RecordCopy &copy, Instant now) {
  auto it = Records.find(copy.Record);
  if (it == Records.end()) {
    insert(copy.Record, copiedRecord(copy, now), now);
    return;
  }
  // A known outcome goes before a claim whose outcome is open; a claim that
  // was given up goes last.
  static constexpr std::array<uint8_t, 4> Rank = {1, 3, 2, 0};
  Record &record = it->second;
  bool rivals = copy.State == RecordState::InProgress &&
                record.State == RecordState::InProgress &&
                copy.Token != record.Token;
  if (rivals) {
    // Either may have the majority, so neither is accepted again.
    record.Token = NoToken;
    record.RunsUntil = std::max(record.RunsUntil, now + copy.RunTimeout);
  }
  if (Rank[static_cast<size_t>(copy.State)] <=
      Rank[static_cast<size_t>(record.State)])
    return;
  BytesUsed += copy.Response.size();
  BytesUsed -= record.Response.size();
  record.State = copy.State;
  record.Token = copy.Token;
  record.Fingerprint = copy.Fingerprint;
  record.RunsUntil = now + copy.RunTimeout;
  record.Response = copy.Response;
}

void RecordReplica::collectCopyRequests(Instant now,
                                        std::vector<CopyRequest> &out) {
  for (uint32_t n = 0; n < RecordPartitions; ++n) {
    Partition &partition = Partitions[n];
    if (partition.LossyUntil != NeverInstant)
      continue;
    for (uint32_t it = 0; it < partition.SourceCount; ++it) {
      CopySource &source = partition.Sources[it];
      if (source.State != SourceState::Pending || source.NextAsk > now)
        continue;
      source.NextAsk = now + Limits.CopyRetry;
      out.push_back({source.Vm, {n, partition.Current.Epoch, source.From}});
    }
  }
}

void RecordReplica::expire(Instant now) {
  for (Partition &partition : Partitions)
    expirePartition(partition, now);
}

void RecordReplica::expirePartition(Partition &partition, Instant now) {
  while (!partition.Arrivals.empty() && partition.Arrivals.front().Due <= now) {
    auto it = Records.find(partition.Arrivals.front().Key);
    BytesUsed -= RecordBytes + it->second.Response.size();
    Records.erase(it);
    partition.Arrivals.pop_front();
    ++partition.Dropped;
  }
}

} // namespace guavasail
