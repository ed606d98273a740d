#include "record_book.h"

#include <algorithm>

namespace guavasail {

namespace {

/// Token of a record with conflicting copied claims; never issued.
constexpr uint64_t AmbiguousToken = 0;
/// Memory use of a record without its response.
constexpr uint64_t RecordOverheadBytes = 160;

/// \returns the number of copies that together contain every claim that a
/// majority of \p from accepted.
uint32_t requiredCopies(const RecordReplicaSet &from) {
  return from.count() - from.majority() + 1;
}

} // namespace

void RecordReplica::assign(uint32_t partition,
                           const RecordAssignment &assignment, Instant now) {
  Partition &entry = Partitions[partition];
  if (assignment.Epoch <= entry.Current.Epoch)
    return;
  bool wasReplicaBefore = entry.Current.Epoch + 1 == assignment.Epoch &&
                          entry.Current.Replicas.has(Self.Vm);
  entry.Current = assignment;
  uint32_t position = assignment.Replicas.find(Self.Vm);
  if (position == assignment.Replicas.count())
    return;
  entry.LastReplicaEpoch = assignment.Epoch;
  if (wasReplicaBefore)
    return;
  // The assignment may list an earlier incarnation of this VM.
  bool sameIncarnation =
      assignment.Replicas.Items[position].Incarnation == Self.Incarnation;
  if (sameIncarnation && assignment.Epoch == 1)
    return;
  startCopying(
      entry, sameIncarnation ? assignment.Previous : assignment.Replicas, now);
}

void RecordReplica::startCopying(Partition &partition,
                                 const RecordReplicaSet &from, Instant now) {
  partition.IncompleteUntil = NeverInstant;
  partition.SourceCount = 0;
  partition.RequiredCopies = requiredCopies(from);
  for (uint32_t n = 0; n < from.count(); ++n) {
    if (from.Items[n].Vm == Self.Vm)
      continue;
    CopySource &source = partition.Sources[partition.SourceCount++];
    source = CopySource{};
    source.Vm = from.Items[n].Vm;
  }
  updateCopyState(partition, now);
}

void RecordReplica::updateCopyState(Partition &partition, Instant now) {
  if (partition.IncompleteUntil != NeverInstant)
    return;
  uint32_t finished = 0;
  uint32_t pending = 0;
  Duration incompletePeriod{};
  for (uint32_t n = 0; n < partition.SourceCount; ++n) {
    const CopySource &source = partition.Sources[n];
    pending += source.State == SourceState::Pending ? 1 : 0;
    finished += source.State == SourceState::Finished ? 1 : 0;
    incompletePeriod = std::max(incompletePeriod, source.IncompletePeriod);
  }
  if (finished >= partition.RequiredCopies)
    partition.IncompleteUntil = now + incompletePeriod;
  else if (pending == 0)
    partition.IncompleteUntil = now + Limits.Retention;
}

void RecordReplica::onVmGone(uint64_t vm, Instant now) {
  for (Partition &partition : Partitions) {
    CopySource *source = findSource(partition, vm);
    if (!source || source->State != SourceState::Pending)
      continue;
    source->State = SourceState::Gone;
    updateCopyState(partition, now);
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
  reply.Verdict = evaluateClaim(claim, now);
  reply.Epoch = Partitions[recordPartition(claim.Record)].Current.Epoch;
  if (reply.Verdict == ClaimVerdict::Done)
    reply.Response = Records[claim.Record].Response;
  return reply;
}

ClaimVerdict RecordReplica::evaluateClaim(const RecordClaim &claim,
                                          Instant now) {
  const Partition &partition = Partitions[recordPartition(claim.Record)];
  const RecordAssignment &current = partition.Current;
  bool isReplica = current.Replicas.has(Self.Vm);
  if (claim.Epoch != current.Epoch || !isReplica ||
      partition.FencingEpoch > current.Epoch)
    return ClaimVerdict::EpochMismatch;
  bool incomplete = partition.IncompleteUntil > now;
  auto it = Records.find(claim.Record);
  if (it != Records.end())
    return evaluateExistingRecord(claim, it->second, incomplete, now);
  if (incomplete)
    return ClaimVerdict::RecordsIncomplete;
  if (BytesUsed + RecordOverheadBytes > Limits.MaxBytes)
    return ClaimVerdict::Full;
  Record record{claim.Fingerprint, claim.Token};
  record.AcceptedLocally = true;
  record.ClaimedAt = now;
  record.RunDeadline = now + claim.RunTimeout;
  insert(claim.Record, std::move(record), now);
  return ClaimVerdict::Accepted;
}

ClaimVerdict RecordReplica::evaluateExistingRecord(const RecordClaim &claim,
                                                   Record &record,
                                                   bool incomplete,
                                                   Instant now) {
  bool running = record.State == RecordState::InProgress;
  // A copied claim was accepted by another replica. It counts here only once no
  // conflicting claim can be missing.
  bool accepted = running && record.Token == claim.Token;
  if (accepted && (record.AcceptedLocally || !incomplete))
    return ClaimVerdict::Accepted;
  if (record.Fingerprint != claim.Fingerprint)
    return ClaimVerdict::KeyReused;
  if (running && now < record.RunDeadline)
    return ClaimVerdict::InProgress;
  if (record.State == RecordState::Done)
    return ClaimVerdict::Done;
  if (record.State != RecordState::Released)
    return ClaimVerdict::Unknown;
  if (incomplete)
    return ClaimVerdict::RecordsIncomplete;
  record.State = RecordState::InProgress;
  record.Token = claim.Token;
  record.RunDeadline = now + claim.RunTimeout;
  record.AcceptedLocally = true;
  return ClaimVerdict::Accepted;
}

RecordReplica::Record
RecordReplica::recordFromOutcome(const RecordOutcome &outcome,
                                 std::string response, Instant now) {
  Record record{outcome.Fingerprint, outcome.Token, outcome.State};
  record.ClaimedAt = now;
  record.RunDeadline = now;
  record.Response = std::move(response);
  return record;
}

RecordReplica::Record RecordReplica::recordFromCopy(const RecordCopy &copy,
                                                    Instant now) {
  Record record{copy.Fingerprint, copy.Token, copy.State};
  record.ClaimedAt = now - copy.Age;
  record.RunDeadline = now + copy.RunTimeout;
  record.Response = copy.Response;
  return record;
}

void RecordReplica::insert(const Digest &key, Record record, Instant now) {
  BytesUsed += RecordOverheadBytes + record.Response.size();
  Instant due = record.ClaimedAt + Limits.Retention;
  Records.emplace(key, std::move(record));
  Partitions[recordPartition(key)].ExpiryQueue.push_back(
      {std::max(due, now), key});
}

void RecordReplica::settle(const RecordOutcome &outcome, Instant now) {
  std::string response = outcome.Response;
  if (response.size() > Limits.MaxResponseBytes ||
      BytesUsed + response.size() > Limits.MaxBytes)
    response.clear();
  auto it = Records.find(outcome.Record);
  if (it == Records.end()) {
    // A replica that missed the claim still stores the outcome.
    if (outcome.State != RecordState::Released)
      insert(outcome.Record,
             recordFromOutcome(outcome, std::move(response), now), now);
    return;
  }
  Record &record = it->second;
  bool open = record.State == RecordState::InProgress;
  if (!open || record.Token != outcome.Token)
    return;
  record.State = outcome.State;
  BytesUsed += response.size();
  record.Response = std::move(response);
}

Duration RecordReplica::incompletePeriod(const Partition &partition,
                                         uint64_t epoch, Instant now) const {
  // An incarnation that was not a recent replica, or that is still copying, may
  // lack any record.
  bool recentReplica = partition.LastReplicaEpoch + 1 >= epoch;
  if (!recentReplica || partition.IncompleteUntil == NeverInstant)
    return Limits.Retention;
  return std::max(partition.IncompleteUntil - now, Duration::zero());
}

RecordCopyChunk RecordReplica::copy(const RecordCopyRequest &request,
                                    Instant now) {
  Partition &partition = Partitions[request.Partition % RecordPartitions];
  partition.FencingEpoch = std::max(partition.FencingEpoch, request.Epoch);
  RecordCopyChunk chunk;
  chunk.Partition = request.Partition;
  chunk.Epoch = request.Epoch;
  chunk.From = request.From;
  chunk.IncompletePeriod = incompletePeriod(partition, request.Epoch, now);
  uint32_t end = partition.ExpiredCount +
                 static_cast<uint32_t>(partition.ExpiryQueue.size());
  uint32_t at = std::max(request.From, partition.ExpiredCount);
  for (; at < end && chunk.Records.size() < Limits.MaxChunkRecords; ++at) {
    const Digest &key = partition.ExpiryQueue[at - partition.ExpiredCount].Key;
    const Record &record = Records.at(key);
    Duration runTimeout = std::max(record.RunDeadline - now, Duration::zero());
    chunk.Records.push_back({key, record.Fingerprint, record.Token,
                             record.State, runTimeout, now - record.ClaimedAt,
                             record.Response});
  }
  chunk.Next = at < end ? at : 0;
  return chunk;
}

void RecordReplica::applyCopy(uint64_t from, const RecordCopyChunk &chunk,
                              Instant now) {
  Partition &partition = Partitions[chunk.Partition % RecordPartitions];
  CopySource *source = findSource(partition, from);
  bool expected = source && source->State == SourceState::Pending &&
                  chunk.Epoch == partition.Current.Epoch &&
                  chunk.From == source->From;
  if (!expected)
    return;
  for (const RecordCopy &copy : chunk.Records)
    merge(copy, now);
  source->From = chunk.Next;
  source->NextRequest = now;
  source->IncompletePeriod =
      std::max(source->IncompletePeriod, chunk.IncompletePeriod);
  if (chunk.Next != 0)
    return;
  source->State = SourceState::Finished;
  updateCopyState(partition, now);
}

void RecordReplica::merge(const RecordCopy &copy, Instant now) {
  auto it = Records.find(copy.Record);
  if (it == Records.end()) {
    insert(copy.Record, recordFromCopy(copy, now), now);
    return;
  }
  // A known outcome takes precedence over an open claim; a released claim has
  // the lowest precedence.
  static constexpr std::array<uint8_t, 4> StatePrecedence = {1, 3, 2, 0};
  Record &record = it->second;
  bool conflicting = copy.State == RecordState::InProgress &&
                     record.State == RecordState::InProgress &&
                     copy.Token != record.Token;
  if (conflicting) {
    // Either claim may have a majority, so neither is accepted again.
    record.Token = AmbiguousToken;
    record.RunDeadline = std::max(record.RunDeadline, now + copy.RunTimeout);
  }
  if (StatePrecedence[static_cast<size_t>(copy.State)] <=
      StatePrecedence[static_cast<size_t>(record.State)])
    return;
  BytesUsed += copy.Response.size();
  BytesUsed -= record.Response.size();
  record.State = copy.State;
  record.Token = copy.Token;
  record.Fingerprint = copy.Fingerprint;
  record.RunDeadline = now + copy.RunTimeout;
  record.Response = copy.Response;
}

void RecordReplica::collectCopyRequests(Instant now,
                                        std::vector<CopyRequest> &out) {
  for (uint32_t n = 0; n < RecordPartitions; ++n) {
    Partition &partition = Partitions[n];
    if (partition.IncompleteUntil != NeverInstant)
      continue;
    for (uint32_t it = 0; it < partition.SourceCount; ++it) {
      CopySource &source = partition.Sources[it];
      if (source.State != SourceState::Pending || source.NextRequest > now)
        continue;
      source.NextRequest = now + Limits.CopyRetryInterval;
      out.push_back({source.Vm, {n, partition.Current.Epoch, source.From}});
    }
  }
}

void RecordReplica::expire(Instant now) {
  for (Partition &partition : Partitions)
    expirePartition(partition, now);
}

void RecordReplica::expirePartition(Partition &partition, Instant now) {
  while (!partition.ExpiryQueue.empty() &&
         partition.ExpiryQueue.front().Due <= now) {
    auto it = Records.find(partition.ExpiryQueue.front().Key);
    BytesUsed -= RecordOverheadBytes + it->second.Response.size();
    Records.erase(it);
    partition.ExpiryQueue.pop_front();
    ++partition.ExpiredCount;
  }
}

} // namespace guavasail
