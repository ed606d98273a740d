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
uint32_t copiesNeeded(const RecordHolderSet &from) {
  return from.count() - from.majority() + 1;
}

} // namespace

void RecordBook::assign(uint32_t partition, const RecordAssignment &assignment,
                        Instant now) {
  Partition &entry = Partitions[partition];
  if (assignment.Epoch <= entry.Current.Epoch)
    return;
  bool followedBefore = entry.Current.Epoch + 1 == assignment.Epoch &&
                        entry.Current.Holders.has(Self.Vm);
  entry.Current = assignment;
  uint32_t position = assignment.Holders.find(Self.Vm);
  if (position == assignment.Holders.count())
    return;
  entry.HeldEpoch = assignment.Epoch;
  if (followedBefore)
    return;
  // The assignment may name an earlier life of this VM.
  bool thisLife =
      assignment.Holders.Items[position].Incarnation == Self.Incarnation;
  if (thisLife && assignment.Epoch == 1)
    return;
  startCopies(entry, thisLife ? assignment.Before : assignment.Holders, now);
}

void RecordBook::startCopies(Partition &partition, const RecordHolderSet &from,
                             Instant now) {
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

void RecordBook::endCopies(Partition &partition, Instant now) {
  if (partition.LossyUntil != NeverInstant)
    return;
  uint32_t finished = 0;
  uint32_t pending = 0;
  Duration lossyFor{};
  for (uint32_t n = 0; n < partition.SourceCount; ++n) {
    const CopySource &source = partition.Sources[n];
    pending += source.State == SourceState::Pending ? 1 : 0;
    finished += source.State == SourceState::Finished ? 1 : 0;
    lossyFor = std::max(lossyFor, source.LossyFor);
  }
  if (finished >= partition.CopiesNeeded)
    partition.LossyUntil = now + lossyFor;
  else if (pending == 0)
    partition.LossyUntil = now + Limits.Retention;
}

void RecordBook::noteGone(uint64_t vm, Instant now) {
  for (Partition &partition : Partitions) {
    CopySource *source = findSource(partition, vm);
    if (!source || source->State != SourceState::Pending)
      continue;
    source->State = SourceState::Gone;
    endCopies(partition, now);
  }
}

RecordBook::CopySource *RecordBook::findSource(Partition &partition,
                                               uint64_t vm) {
  for (uint32_t n = 0; n < partition.SourceCount; ++n)
    if (partition.Sources[n].Vm == vm)
      return &partition.Sources[n];
  return nullptr;
}

RecordClaimReply RecordBook::claim(const RecordClaim &claim, Instant now) {
  RecordClaimReply reply;
  reply.Record = claim.Record;
  reply.Token = claim.Token;
  reply.Request = claim.Request;
  reply.Verdict = judge(claim, now);
  reply.Epoch = Partitions[recordPartition(claim.Record)].Current.Epoch;
  if (reply.Verdict == ClaimVerdict::Done)
    reply.Answer = Records[claim.Record].Answer;
  return reply;
}

ClaimVerdict RecordBook::judge(const RecordClaim &claim, Instant now) {
  const Partition &partition = Partitions[recordPartition(claim.Record)];
  const RecordAssignment &current = partition.Current;
  bool holder = current.Holders.has(Self.Vm);
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
  record.RunsUntil = now + claim.RunsFor;
  insert(claim.Record, std::move(record), now);
  return ClaimVerdict::Accepted;
}

ClaimVerdict RecordBook::judgeExisting(const RecordClaim &claim, Record &record,
                                       bool lossy, Instant now) {
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
  record.RunsUntil = now + claim.RunsFor;
  record.AcceptedHere = true;
  return ClaimVerdict::Accepted;
}

RecordBook::Record RecordBook::settledRecord(const RecordSettle &settle,
                                             std::string answer, Instant now) {
  Record record{settle.Fingerprint, settle.Token, settle.State};
  record.Claimed = now;
  record.RunsUntil = now;
  record.Answer = std::move(answer);
  return record;
}

RecordBook::Record RecordBook::copiedRecord(const RecordCopy &copy,
                                            Instant now) {
  Record record{copy.Fingerprint, copy.Token, copy.State};
  record.Claimed = now - copy.Age;
  record.RunsUntil = now + copy.RunsFor;
  record.Answer = copy.Answer;
  return record;
}

void RecordBook::insert(const Digest &key, Record record, Instant now) {
  BytesUsed += RecordBytes + record.Answer.size();
  Instant due = record.Claimed + Limits.Retention;
  Records.emplace(key, std::move(record));
  Partitions[recordPartition(key)].Arrivals.push_back(
      {std::max(due, now), key});
}

void RecordBook::settle(const RecordSettle &settle, Instant now) {
  std::string answer = settle.Answer;
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
  record.Answer = std::move(answer);
}

Duration RecordBook::lossyFor(const Partition &partition, uint64_t epoch,
                              Instant now) const {
  // A life that was no holder lately, or still copies, can lack anything.
  bool heldLately = partition.HeldEpoch + 1 >= epoch;
  if (!heldLately || partition.LossyUntil == NeverInstant)
    return Limits.Retention;
  return std::max(partition.LossyUntil - now, Duration::zero());
}

RecordCopyPart RecordBook::copy(const RecordCopyAsk &ask, Instant now) {
  Partition &partition = Partitions[ask.Partition % RecordPartitions];
  partition.FencedBy = std::max(partition.FencedBy, ask.Epoch);
  RecordCopyPart part;
  part.Partition = ask.Partition;
  part.Epoch = ask.Epoch;
  part.From = ask.From;
  part.LossyFor = lossyFor(partition, ask.Epoch, now);
  uint32_t end =
      partition.Dropped + static_cast<uint32_t>(partition.Arrivals.size());
  uint32_t at = std::max(ask.From, partition.Dropped);
  for (; at < end && part.Records.size() < Limits.CopyRecords; ++at) {
    const Digest &key = partition.Arrivals[at - partition.Dropped].Key;
    const Record &record = Records.at(key);
    Duration runsFor = std::max(record.RunsUntil - now, Duration::zero());
    part.Records.push_back({key, record.Fingerprint, record.Token, record.State,
                            runsFor, now - record.Claimed, record.Answer});
  }
  part.Next = at < end ? at : 0;
  return part;
}

void RecordBook::takeCopy(uint64_t from, const RecordCopyPart &part,
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
  source->LossyFor = std::max(source->LossyFor, part.LossyFor);
  if (part.Next != 0)
    return;
  source->State = SourceState::Finished;
  endCopies(partition, now);
}

void RecordBook::merge(const RecordCopy &copy, Instant now) {
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
    record.RunsUntil = std::max(record.RunsUntil, now + copy.RunsFor);
  }
  if (Rank[static_cast<size_t>(copy.State)] <=
      Rank[static_cast<size_t>(record.State)])
    return;
  BytesUsed += copy.Answer.size();
  BytesUsed -= record.Answer.size();
  record.State = copy.State;
  record.Token = copy.Token;
  record.Fingerprint = copy.Fingerprint;
  record.RunsUntil = now + copy.RunsFor;
  record.Answer = copy.Answer;
}

void RecordBook::collectCopyRequests(Instant now,
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

void RecordBook::expire(Instant now) {
  for (Partition &partition : Partitions)
    expirePartition(partition, now);
}

void RecordBook::expirePartition(Partition &partition, Instant now) {
  while (!partition.Arrivals.empty() && partition.Arrivals.front().Due <= now) {
    auto it = Records.find(partition.Arrivals.front().Key);
    BytesUsed -= RecordBytes + it->second.Answer.size();
    Records.erase(it);
    partition.Arrivals.pop_front();
    ++partition.Dropped;
  }
}

} // namespace guavasail
