/// \file
/// Records of non-idempotent requests: holders and claimers under lost,
/// repeated and crossed messages, restarts and changes of the holders.
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

RecordReplicaSet holders(std::initializer_list<uint64_t> vms) {
  RecordReplicaSet set;
  uint32_t n = 0;
  for (uint64_t vm : vms)
    set.Items[n++] = {vm, 1};
  return set;
}

/// One step of a holder's life and the verdict that a claim then gets.
struct HolderCase {
  std::string_view Name;
  /// Steps: c claim token 1, C claim token 2, f claim token 2 of another body,
  /// d settle done, u settle unknown, r release,
  /// t let the run time pass, e let the retention pass, R restart.
  std::string_view Steps;
  ClaimVerdict Last;
};

void PrintTo(const HolderCase &row, std::ostream *out) { *out << row.Name; }

const HolderCase HolderCases[] = {
    {"FirstClaimIsAccepted", "c", ClaimVerdict::Accepted},
    {"RepeatedMessageIsAccepted", "cc", ClaimVerdict::Accepted},
    {"SecondClaimMeetsFirst", "cC", ClaimVerdict::InProgress},
    {"OtherBodyIsRefused", "cf", ClaimVerdict::KeyReused},
    {"AnswerIsKnown", "cdC", ClaimVerdict::Done},
    {"LateCopyOfDoneClaimIsAnswered", "cdc", ClaimVerdict::Done},
    {"LostOutcome", "cuC", ClaimVerdict::Unknown},
    {"OverdueRunIsUnknown", "ctC", ClaimVerdict::Unknown},
    {"ReleasedMayBeClaimed", "crC", ClaimVerdict::Accepted},
    {"ReleaseAfterDoneChangesNothing", "cdrC", ClaimVerdict::Done},
    {"RetentionEnds", "cdeC", ClaimVerdict::Accepted},
    {"RestartForgets", "cRC", ClaimVerdict::KnowledgeLost},
    {"RestartRefusesUnknown", "RC", ClaimVerdict::KnowledgeLost},
    {"RestartAcceptsAfterRetention", "ReC", ClaimVerdict::Accepted},
};

class HolderTable : public testing::TestWithParam<HolderCase> {};

TEST_P(HolderTable, LastVerdict) {
  RecordLimits limits;
  RecordAssignment assignment{1, holders({1}), {}};
  auto book = std::make_unique<RecordReplica>(limits);
  book->setSelf({1, 1});
  book->assign(1, assignment, Start);
  Instant now = Start;
  ClaimVerdict last = ClaimVerdict::Full;
  auto settle = [&](RecordState state) {
    book->settle({record(1), 77, 1, state, ""}, now);
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
      book->expire(now);
    } else if (step == 'R') {
      book = std::make_unique<RecordReplica>(limits);
      book->setSelf({1, 2});
      book->assign(1, assignment, now);
    } else
      last = book->claim(claim, now).Verdict;
  }
  EXPECT_EQ(last, GetParam().Last);
}

INSTANTIATE_TEST_SUITE_P(Table, HolderTable, testing::ValuesIn(HolderCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A failure that the fuzzing below found once.
struct FoundCase {
  std::string_view Name;
  /// \returns what the last claim got.
  ClaimVerdict (*Run)();
  ClaimVerdict Last;
};

void PrintTo(const FoundCase &row, std::ostream *out) { *out << row.Name; }

/// A holder that joins copies from a VM whose present life held nothing.
ClaimVerdict copyFromEmptyLife() {
  RecordReplica source{RecordLimits{}};
  source.setSelf({2, 2});
  source.assign(1, {2, holders({1, 3, 4}), holders({1, 2, 3})}, Start);
  RecordReplica book{RecordLimits{}};
  book.setSelf({4, 1});
  book.assign(1, {2, holders({1, 3, 4}), holders({1, 2, 3})}, Start);
  for (uint64_t from : {1, 2})
    book.applyCopy(from, source.copy({1, 2, 0}, Start), Start);
  return book.claim(claimOf(1, 9, 2), Start).Verdict;
}

/// A restarted holder meets a claim again of which it has only a copy, while a
/// rival claim that has the majority is not copied yet.
ClaimVerdict copiedClaimIsNoVote() {
  RecordReplica source{RecordLimits{}};
  source.setSelf({3, 1});
  source.assign(1, {1, holders({1, 2, 3}), {}}, Start);
  source.claim(claimOf(1, 4, 1), Start);
  RecordReplica book{RecordLimits{}};
  book.setSelf({1, 2});
  book.assign(1, {1, holders({1, 2, 3}), {}}, Start);
  book.applyCopy(3, source.copy({1, 1, 0}, Start), Start);
  return book.claim(claimOf(1, 4, 1), Start).Verdict;
}

/// Two copies of one record name different claims.
ClaimVerdict rivalCopies() {
  RecordReplica book{RecordLimits{}};
  book.setSelf({1, 2});
  book.assign(1, {1, holders({1, 2, 3}), {}}, Start);
  for (uint64_t from : {2, 3}) {
    RecordReplica source{RecordLimits{}};
    source.setSelf({from, 1});
    source.assign(1, {1, holders({1, 2, 3}), {}}, Start);
    source.claim(claimOf(1, from, 1), Start);
    book.applyCopy(from, source.copy({1, 1, 0}, Start), Start);
  }
  return book.claim(claimOf(1, 2, 1), Start).Verdict;
}

/// A holder that was skipped by an epoch takes part again.
ClaimVerdict skippedEpoch() {
  RecordReplica book{RecordLimits{}};
  book.setSelf({1, 1});
  book.assign(1, {1, holders({1, 2, 3}), {}}, Start);
  book.assign(1, {3, holders({1, 3, 5}), holders({2, 3, 4})}, Start);
  return book.claim(claimOf(1, 9, 3), Start).Verdict;
}

const FoundCase FoundCases[] = {
    {"CopyFromEmptyLife", &copyFromEmptyLife, ClaimVerdict::KnowledgeLost},
    {"CopiedClaimIsNoVote", &copiedClaimIsNoVote, ClaimVerdict::InProgress},
    {"RivalCopies", &rivalCopies, ClaimVerdict::InProgress},
    {"SkippedEpoch", &skippedEpoch, ClaimVerdict::KnowledgeLost},
};

class FoundTable : public testing::TestWithParam<FoundCase> {};

TEST_P(FoundTable, LastVerdict) {
  EXPECT_EQ(GetParam().Run(), GetParam().Last);
}

INSTANTIATE_TEST_SUITE_P(Table, FoundTable, testing::ValuesIn(FoundCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Several VMs with their books, joined by messages that the test delivers,
/// loses and repeats as it likes.
class RecordFleet {
public:
  static constexpr uint64_t Vms = 5;
  static constexpr uint8_t Keys = 3;

  explicit RecordFleet(uint64_t seed) : Random(seed) {
    for (uint64_t vm = 1; vm <= Vms; ++vm)
      restart(vm);
    assign({1, holders({1, 2, 3}), {}});
  }

  /// Does one random thing.
  void step() {
    Now += std::chrono::milliseconds(Random() % 400);
    switch (Random() % 16) {
    case 0:
      return restart(1 + Random() % Vms);
    case 1:
      return replaceHolder();
    case 2:
      return learnAssignment(1 + Random() % Vms);
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

  /// \returns the largest number of runs of one request.
  [[nodiscard]] uint32_t mostRuns() const {
    uint32_t most = 0;
    for (const auto &[key, n] : Runs)
      most = std::max(most, n);
    return most;
  }

  [[nodiscard]] uint32_t totalRuns() const {
    uint32_t total = 0;
    for (const auto &[key, n] : Runs)
      total += n;
    return total;
  }

private:
  struct Vm {
    std::unique_ptr<RecordReplica> Book;
    RecordAssignment Known;
    uint64_t Incarnation = 0;
  };

  struct OpenClaim {
    uint64_t Claimer = 0;
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
    bool IsSettle = false;
    RecordOutcome Settle;
  };

  void restart(uint64_t vm) {
    Vm &entry = Fleet[vm];
    ++entry.Incarnation;
    entry.Book = std::make_unique<RecordReplica>(RecordLimits{});
    entry.Book->setSelf({vm, entry.Incarnation});
    entry.Known = {};
    // The claims that this life had started end with it.
    std::erase_if(Claims,
                  [&](const auto &it) { return it.second.Claimer == vm; });
    for (auto &[id, other] : Fleet)
      if (id != vm && other.Book)
        other.Book->noteGone(vm, Now);
    learnAssignment(vm);
  }

  void assign(RecordAssignment next) {
    Current = next;
    for (uint64_t vm = 1; vm <= Vms; ++vm)
      learnAssignment(vm);
  }

  void learnAssignment(uint64_t vm) {
    Vm &entry = Fleet[vm];
    if (entry.Known.Epoch == Current.Epoch || Current.Epoch == 0)
      return;
    entry.Known = Current;
    entry.Book->assign(1, Current, Now);
  }

  /// Names other holders. Only some VMs learn it at once.
  void replaceHolder() {
    RecordAssignment next;
    next.Epoch = Current.Epoch + 1;
    next.Before = Current.Replicas;
    next.Replicas = Current.Replicas;
    uint64_t vm = 1 + Random() % Vms;
    if (next.Replicas.has(vm))
      return;
    next.Replicas.Items[Random() % RecordReplicaCount] = {
        vm, Fleet[vm].Incarnation};
    Current = next;
  }

  void copyStep() {
    uint64_t vm = 1 + Random() % Vms;
    std::vector<CopyRequest> asks;
    Fleet[vm].Book->collectCopyRequests(Now, asks);
    for (const CopyRequest &it : asks) {
      if (Random() % 4 == 0)
        continue;
      RecordCopyChunk part = Fleet[it.To].Book->copy(it.Body, Now);
      Fleet[vm].Book->applyCopy(it.To, part, Now);
    }
  }

  void startClaim() {
    uint64_t vm = 1 + Random() % Vms;
    const RecordAssignment &known = Fleet[vm].Known;
    if (known.Epoch == 0)
      return;
    auto key = static_cast<uint8_t>(Random() % Keys);
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
    uint64_t fate = Random() % 8;
    if (fate != 0)
      Queue.erase(Queue.begin() + static_cast<ptrdiff_t>(n));
    if (fate == 1)
      return;
    if (message.IsSettle)
      Fleet[message.To].Book->settle(message.Settle, Now);
    else if (message.IsReply)
      takeReply(message);
    else
      answerClaim(message);
  }

  void answerClaim(const Message &message) {
    Message reply;
    reply.IsReply = true;
    reply.From = message.To;
    reply.To = message.From;
    reply.Reply = Fleet[message.To].Book->claim(message.Claim, Now);
    Queue.push_back(reply);
  }

  void takeReply(const Message &message) {
    auto it = Claims.find(message.Reply.Token);
    if (it == Claims.end() || it->second.Claimer != message.To)
      return;
    OpenClaim &open = it->second;
    uint32_t position = open.Progress.Replicas.find(message.From);
    ClaimDecision decision =
        addVerdict(open.Progress, position, message.Reply.Verdict);
    if (decision == ClaimDecision::Wait)
      return;
    bool late = Now >= open.Deadline;
    bool run = decision == ClaimDecision::Run && !late;
    if (run)
      ++Runs[open.Key];
    settleAll(message.Reply.Token, open, run);
    Claims.erase(it);
  }

  void settleAll(uint64_t token, const OpenClaim &open, bool run) {
    static constexpr RecordState Ends[] = {RecordState::Done,
                                           RecordState::Unknown};
    for (uint32_t n = 0; n < open.Progress.Replicas.count(); ++n) {
      Message message;
      message.IsSettle = true;
      message.To = open.Progress.Replicas.Items[n].Vm;
      RecordState end = run ? Ends[Random() % 2] : RecordState::Released;
      message.Settle = {record(open.Key), 77, token, end, "answer"};
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
  RC_ASSERT(fleet.mostRuns() <= 1u);
}

} // namespace

} // namespace guavasail
