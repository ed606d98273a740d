/// \file
/// Tests idempotency records: replicas and claiming VMs under lost, duplicated
/// and reordered messages, restarts and replica changes.
#include "record_book.h"
#include "record_claim.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace guavasail {

namespace {

constexpr Instant Start{std::chrono::seconds(1000)};
constexpr Duration Second = std::chrono::seconds(1);

Digest record(uint8_t n) {
  Digest digest;
  digest.Bytes[0] = 1;
  digest.Bytes[8] = n;
  return digest;
}

RecordClaim claimOf(uint8_t n, uint64_t token, uint64_t epoch) {
  RecordClaim claim;
  claim.Record = record(n);
  claim.Fingerprint = 77;
  claim.Token = token;
  claim.Epoch = epoch;
  claim.RunTimeout = 10 * Second;
  return claim;
}

RecordReplicaSet replicas(std::initializer_list<uint64_t> vms) {
  RecordReplicaSet set;
  uint32_t n = 0;
  for (uint64_t vm : vms)
    set.Items[n++] = {vm, 1};
  return set;
}

/// A sequence of operations on one replica and the verdict of the last claim.
struct ReplicaCase {
  std::string_view Name;
  /// c: claim with token 1, C: claim with token 2, f: claim with token 2 and
  /// another fingerprint, d: outcome done, u: outcome unknown, r: release,
  /// t: run timeout passes, e: retention passes, R: restart.
  std::string_view Steps;
  ClaimVerdict ExpectedVerdict;
};

void PrintTo(const ReplicaCase &row, std::ostream *out) { *out << row.Name; }

const ReplicaCase ReplicaCases[] = {
    {"FirstClaimIsAccepted", "c", ClaimVerdict::Accepted},
    {"RepeatedMessageIsAccepted", "cc", ClaimVerdict::Accepted},
    {"SecondClaimConflicts", "cC", ClaimVerdict::InProgress},
    {"DifferentBodyIsRejected", "cf", ClaimVerdict::KeyReused},
    {"CompletedRequestIsReplayed", "cdC", ClaimVerdict::Done},
    {"RepeatedClaimAfterDoneIsReplayed", "cdc", ClaimVerdict::Done},
    {"LostOutcome", "cuC", ClaimVerdict::Unknown},
    {"OverdueRunIsUnknown", "ctC", ClaimVerdict::Unknown},
    {"ReleasedMayBeClaimed", "crC", ClaimVerdict::Accepted},
    {"ReleaseAfterDoneChangesNothing", "cdrC", ClaimVerdict::Done},
    {"RetentionEnds", "cdeC", ClaimVerdict::Accepted},
    {"RestartLosesRecords", "cRC", ClaimVerdict::RecordsIncomplete},
    {"RestartRejectsUnknownRecords", "RC", ClaimVerdict::RecordsIncomplete},
    {"RestartAcceptsAfterRetention", "ReC", ClaimVerdict::Accepted},
};

class ReplicaTable : public testing::TestWithParam<ReplicaCase> {};

TEST_P(ReplicaTable, ReturnsExpectedVerdict) {
  RecordLimits limits;
  RecordAssignment assignment{1, replicas({1}), {}};
  auto replica = std::make_unique<RecordReplica>(limits);
  replica->setSelf({1, 1});
  replica->assign(1, assignment, Start);
  Instant now = Start;
  ClaimVerdict last = ClaimVerdict::Full;
  auto settle = [&](RecordState state) {
    replica->settle({record(1), 77, 1, state, ""}, now);
  };
  for (char step : GetParam().Steps) {
    RecordClaim claim = claimOf(1, step == 'c' ? 1 : 2, 1);
    claim.Fingerprint = step == 'f' ? 78 : 77;
    if (step == 'd')
      settle(RecordState::Done);
    else if (step == 'u')
      settle(RecordState::Unknown);
    else if (step == 'r')
      settle(RecordState::Released);
    else if (step == 't')
      now += 11 * Second;
    else if (step == 'e') {
      now += limits.Retention + Second;
      replica->expire(now);
    } else if (step == 'R') {
      replica = std::make_unique<RecordReplica>(limits);
      replica->setSelf({1, 2});
      replica->assign(1, assignment, now);
    } else
      last = replica->claim(claim, now).Verdict;
  }
  EXPECT_EQ(last, GetParam().ExpectedVerdict);
}

INSTANTIATE_TEST_SUITE_P(Table, ReplicaTable, testing::ValuesIn(ReplicaCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A regression found by `RecordFuzz`.
struct RegressionCase {
  std::string_view Name;
  /// \returns the verdict of the last claim.
  ClaimVerdict (*Run)();
  ClaimVerdict ExpectedVerdict;
};

void PrintTo(const RegressionCase &row, std::ostream *out) { *out << row.Name; }

/// A new replica copies from a VM whose current incarnation has no records.
ClaimVerdict copyFromNewIncarnation() {
  RecordReplica source{RecordLimits{}};
  source.setSelf({2, 2});
  source.assign(1, {2, replicas({1, 3, 4}), replicas({1, 2, 3})}, Start);
  RecordReplica replica{RecordLimits{}};
  replica.setSelf({4, 1});
  replica.assign(1, {2, replicas({1, 3, 4}), replicas({1, 2, 3})}, Start);
  for (uint64_t from : {1, 2})
    replica.applyCopy(from, source.copy({1, 2, 0}, Start), Start);
  return replica.claim(claimOf(1, 9, 2), Start).Verdict;
}

/// A restarted replica gets a claim that it knows only from a copy, before it
/// has copied a conflicting claim that has the majority.
ClaimVerdict copiedClaimIsNotAccepted() {
  RecordReplica source{RecordLimits{}};
  source.setSelf({3, 1});
  source.assign(1, {1, replicas({1, 2, 3}), {}}, Start);
  source.claim(claimOf(1, 4, 1), Start);
  RecordReplica replica{RecordLimits{}};
  replica.setSelf({1, 2});
  replica.assign(1, {1, replicas({1, 2, 3}), {}}, Start);
  replica.applyCopy(3, source.copy({1, 1, 0}, Start), Start);
  return replica.claim(claimOf(1, 4, 1), Start).Verdict;
}

/// Two copies of a record contain different claims.
ClaimVerdict conflictingCopies() {
  RecordReplica replica{RecordLimits{}};
  replica.setSelf({1, 2});
  replica.assign(1, {1, replicas({1, 2, 3}), {}}, Start);
  for (uint64_t from : {2, 3}) {
    RecordReplica source{RecordLimits{}};
    source.setSelf({from, 1});
    source.assign(1, {1, replicas({1, 2, 3}), {}}, Start);
    source.claim(claimOf(1, from, 1), Start);
    replica.applyCopy(from, source.copy({1, 1, 0}, Start), Start);
  }
  return replica.claim(claimOf(1, 2, 1), Start).Verdict;
}

/// A VM becomes a replica again after an epoch without it.
ClaimVerdict skippedEpoch() {
  RecordReplica replica{RecordLimits{}};
  replica.setSelf({1, 1});
  replica.assign(1, {1, replicas({1, 2, 3}), {}}, Start);
  replica.assign(1, {3, replicas({1, 3, 5}), replicas({2, 3, 4})}, Start);
  return replica.claim(claimOf(1, 9, 3), Start).Verdict;
}

const RegressionCase RegressionCases[] = {
    {"CopyFromNewIncarnation", &copyFromNewIncarnation,
     ClaimVerdict::RecordsIncomplete},
    {"CopiedClaimIsNotAccepted", &copiedClaimIsNotAccepted,
     ClaimVerdict::InProgress},
    {"ConflictingCopies", &conflictingCopies, ClaimVerdict::InProgress},
    {"SkippedEpoch", &skippedEpoch, ClaimVerdict::RecordsIncomplete},
};

class RegressionTable : public testing::TestWithParam<RegressionCase> {};

TEST_P(RegressionTable, ReturnsExpectedVerdict) {
  EXPECT_EQ(GetParam().Run(), GetParam().ExpectedVerdict);
}

INSTANTIATE_TEST_SUITE_P(Table, RegressionTable,
                         testing::ValuesIn(RegressionCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Simulates VMs with their replicas, with messages that are delivered, lost
/// and duplicated at random.
class RecordFleet {
public:
  static constexpr uint64_t VmCount = 5;
  static constexpr uint8_t KeyCount = 3;

  explicit RecordFleet(uint64_t seed) : Random(seed) {
    for (uint64_t vm = 1; vm <= VmCount; ++vm)
      restart(vm);
    assign({1, replicas({1, 2, 3}), {}});
  }

  /// Performs one random operation.
  void step() {
    Now += std::chrono::milliseconds(Random() % 400);
    switch (Random() % 16) {
    case 0:
      return restart(1 + Random() % VmCount);
    case 1:
      return replaceReplica();
    case 2:
      return learnAssignment(1 + Random() % VmCount);
    case 3:
    case 4:
      return copyStep();
    case 5:
    case 6:
      return startClaim();
    default:
      return deliver();
    }
  }

  /// \returns the maximum number of runs of a request.
  [[nodiscard]] uint32_t maxRuns() const {
    uint32_t largest = 0;
    for (const auto &[key, n] : Runs)
      largest = std::max(largest, n);
    return largest;
  }

  [[nodiscard]] uint32_t totalRuns() const {
    uint32_t total = 0;
    for (const auto &[key, n] : Runs)
      total += n;
    return total;
  }

private:
  struct Vm {
    std::unique_ptr<RecordReplica> Replica;
    RecordAssignment Known;
    uint64_t Incarnation = 0;
  };

  struct OpenClaim {
    uint64_t ClaimingVm = 0;
    uint8_t Key = 0;
    ClaimProgress Progress;
    Instant Deadline;
  };

  struct Message {
    uint64_t To = 0;
    bool IsReply = false;
    uint64_t From = 0;
    RecordClaim Claim;
    RecordClaimReply Reply;
    bool IsOutcome = false;
    RecordOutcome Outcome;
  };

  void restart(uint64_t vm) {
    Vm &entry = Fleet[vm];
    ++entry.Incarnation;
    entry.Replica = std::make_unique<RecordReplica>(RecordLimits{});
    entry.Replica->setSelf({vm, entry.Incarnation});
    entry.Known = {};
    // Claims of the previous incarnation are lost.
    std::erase_if(Claims,
                  [&](const auto &it) { return it.second.ClaimingVm == vm; });
    for (auto &[id, other] : Fleet)
      if (id != vm && other.Replica)
        other.Replica->onVmGone(vm, Now);
    learnAssignment(vm);
  }

  void assign(RecordAssignment next) {
    Current = next;
    for (uint64_t vm = 1; vm <= VmCount; ++vm)
      learnAssignment(vm);
  }

  void learnAssignment(uint64_t vm) {
    Vm &entry = Fleet[vm];
    if (entry.Known.Epoch == Current.Epoch || Current.Epoch == 0)
      return;
    entry.Known = Current;
    entry.Replica->assign(1, Current, Now);
  }

  /// Changes the replicas. Each VM learns of the change at a later step.
  void replaceReplica() {
    RecordAssignment next;
    next.Epoch = Current.Epoch + 1;
    next.Previous = Current.Replicas;
    next.Replicas = Current.Replicas;
    uint64_t vm = 1 + Random() % VmCount;
    if (next.Replicas.has(vm))
      return;
    next.Replicas.Items[Random() % RecordReplicaCount] = {
        vm, Fleet[vm].Incarnation};
    Current = next;
  }

  void copyStep() {
    uint64_t vm = 1 + Random() % VmCount;
    std::vector<CopyRequest> requests;
    Fleet[vm].Replica->collectCopyRequests(Now, requests);
    for (const CopyRequest &it : requests) {
      if (Random() % 4 == 0)
        continue;
      RecordCopyChunk chunk = Fleet[it.To].Replica->copy(it.Body, Now);
      Fleet[vm].Replica->applyCopy(it.To, chunk, Now);
    }
  }

  void startClaim() {
    uint64_t vm = 1 + Random() % VmCount;
    const RecordAssignment &known = Fleet[vm].Known;
    if (known.Epoch == 0)
      return;
    auto key = static_cast<uint8_t>(Random() % KeyCount);
    RecordClaim claim = claimOf(key, ++LastToken, known.Epoch);
    OpenClaim open{vm, key, {}, Now + claim.RunTimeout};
    open.Progress.Replicas = known.Replicas;
    Claims[claim.Token] = open;
    for (uint32_t n = 0; n < known.Replicas.count(); ++n) {
      Message message;
      message.To = known.Replicas.Items[n].Vm;
      message.From = vm;
      message.Claim = claim;
      Queue.push_back(message);
    }
  }

  void deliver() {
    if (Queue.empty())
      return;
    size_t n = Random() % Queue.size();
    Message message = Queue[n];
    uint64_t delivery = Random() % 8;
    if (delivery != 0)
      Queue.erase(Queue.begin() + static_cast<ptrdiff_t>(n));
    if (delivery == 1)
      return;
    if (message.IsOutcome)
      Fleet[message.To].Replica->settle(message.Outcome, Now);
    else if (message.IsReply)
      handleReply(message);
    else
      replyToClaim(message);
  }

  void replyToClaim(const Message &message) {
    Message reply;
    reply.IsReply = true;
    reply.From = message.To;
    reply.To = message.From;
    reply.Reply = Fleet[message.To].Replica->claim(message.Claim, Now);
    Queue.push_back(reply);
  }

  void handleReply(const Message &message) {
    auto it = Claims.find(message.Reply.Token);
    if (it == Claims.end() || it->second.ClaimingVm != message.To)
      return;
    OpenClaim &open = it->second;
    uint32_t position = open.Progress.Replicas.find(message.From);
    ClaimDecision decision =
        addVerdict(open.Progress, position, message.Reply.Verdict);
    if (decision == ClaimDecision::Wait)
      return;
    bool expired = Now >= open.Deadline;
    bool run = decision == ClaimDecision::Run && !expired;
    if (run)
      ++Runs[open.Key];
    sendOutcome(message.Reply.Token, open, run);
    Claims.erase(it);
  }

  void sendOutcome(uint64_t token, const OpenClaim &open, bool run) {
    static constexpr RecordState FinalStates[] = {RecordState::Done,
                                                  RecordState::Unknown};
    for (uint32_t n = 0; n < open.Progress.Replicas.count(); ++n) {
      Message message;
      message.IsOutcome = true;
      message.To = open.Progress.Replicas.Items[n].Vm;
      RecordState state =
          run ? FinalStates[Random() % 2] : RecordState::Released;
      message.Outcome = {record(open.Key), 77, token, state, "answer"};
      Queue.push_back(message);
    }
  }

  std::mt19937_64 Random;
  std::map<uint64_t, Vm> Fleet;
  std::map<uint64_t, OpenClaim> Claims;
  std::map<uint8_t, uint32_t> Runs;
  std::vector<Message> Queue;
  RecordAssignment Current;
  uint64_t LastToken = 0;
  Instant Now = Start;
};

RC_GTEST_PROP(RecordFuzz, NoRequestRunsTwice, (uint64_t seed)) {
  RecordFleet fleet(seed);
  for (int n = 0; n < 400; ++n)
    fleet.step();
  RC_CLASSIFY(fleet.totalRuns() > 0);
  RC_ASSERT(fleet.maxRuns() <= 1u);
}

} // namespace

} // namespace guavasail
