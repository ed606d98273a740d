/// \file
/// Reads of the platform's store that take several pages, which the test
/// answers.
#include "boot_clock.h"
#include "config_part.h"
#include "edge_harness.h"
#include "kv_format.h"
#include "store.h"

#include <deque>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>

namespace guavasail {

namespace {

using Json = nlohmann::json;

/// One page: the store's revision when it was read, and its keys.
struct PageSpec {
  uint64_t StoreRevision;
  std::vector<std::string_view> Keys;
  /// The store's era, 0 for no header.
  uint64_t Era = 0;
};

/// What changed after a revision, up to another one, or a refusal to tell.
struct ChangesSpec {
  uint64_t StoreRevision = 0;
  std::vector<std::string_view> Written = {};
  std::vector<std::string_view> Removed = {};
  uint32_t Status = 200;
};

struct PagedReadCase {
  std::string_view Name;
  std::vector<PageSpec> Pages;
  /// Revision up to which the whole catalog has all changes.
  uint64_t Complete;
  /// The catalog's version: the revision of which it is an exact copy.
  uint64_t Version;
  /// Answers to the question what changed after the first page.
  std::vector<ChangesSpec> Changes = {};
  /// Pages of a second read.
  std::vector<PageSpec> Again = {};
  /// Instances of the catalog.
  size_t Instances = 1;
  /// Answers to the question what changed, after each page of the second read
  /// but the first.
  std::vector<ChangesSpec> ChangesAgain = {};
};

const PagedReadCase PagedReads[] = {
    {"OnePage", {{7, {"op/config", "servers/i-1"}}}, 7, 7},
    {"ChangeBetweenPages",
     {{7, {"op/config"}}, {11, {"servers/i-1"}}},
     7,
     11,
     {{11, {"vm/a"}}}},
    {"ChangesBetweenAllPages",
     {{7, {"op/config"}}, {11, {"servers/i-1"}}, {12, {"servers/i-2"}}},
     7,
     14,
     {{14, {"vm/a"}}},
     {},
     2},
    {"InstanceBehindTheReader",
     {{7, {"op/config", "servers/i-2"}}, {8, {"servers/i-3"}}},
     7,
     8,
     {{8, {"servers/i-1"}}},
     {},
     3},
    {"InstanceGoneBetweenPages",
     {{7, {"op/config", "servers/i-1"}}, {8, {"servers/i-2"}}},
     7,
     8,
     {{8, {}, {"servers/i-1"}}}},
    {"ChangesInTwoParts",
     {{7, {"op/config"}}, {9, {"servers/i-1"}}},
     7,
     9,
     {{8, {"servers/i-2"}}, {9, {}, {"servers/i-2"}}}},
    {"HistoryDiscarded",
     {{7, {"op/config"}}, {8, {"servers/i-1"}}},
     9,
     9,
     {{.Status = 410}},
     {{9, {"op/config"}}, {9, {"servers/i-1"}}}},
    {"HistoryDiscardedWithinOneRead",
     {{7, {"op/config"}}, {8, {"servers/i-1"}}},
     9,
     13,
     {{.Status = 410}},
     {{9, {"op/config"}}, {10, {"servers/i-1"}}, {12, {"servers/i-4"}}},
     3,
     {{11, {"servers/i-2"}}, {13, {}, {"servers/i-9"}}}},
    {"StoreWithoutChanges",
     {{7, {"op/config"}}, {8, {"servers/i-1"}}},
     8,
     8,
     {{.Status = 404}},
     {{8, {"op/config"}}, {8, {"servers/i-1"}}}},
};

std::ostream &operator<<(std::ostream &out, const PagedReadCase &row) {
  return out << row.Name;
}

std::string valueOf(std::string_view key) {
  if (key == "op/config")
    return R"({"version":7,"listeners":[],"clusters":[{"name":"s"}]})";
  if (key.starts_with("op/evacuate/"))
    return "{}";
  return R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":2,)"
         R"("state":"ready","sequence":1})";
}

Json itemOf(std::string_view key, uint64_t revision) {
  // A write encodes its value as a page does.
  Json write = Json::parse(platform::writeBody(key, valueOf(key), 0));
  return {{"key", key},
          {"value", write["writes"][0]["value"]},
          {"revision", revision},
          {"created", revision},
          {"lease", 0}};
}

std::string responseText(uint32_t status, const Json &body, uint64_t era) {
  std::string text = body.dump();
  std::string field =
      era == 0 ? std::string() : "Store-Era: " + std::to_string(era) + "\r\n";
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + field +
         "content-length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

std::string pageText(const PageSpec &page, bool more) {
  constexpr uint64_t Revision = 3;
  Json items = Json::array();
  for (std::string_view key : page.Keys)
    items.push_back(itemOf(key, Revision));
  Json body = {{"items", items},
               {"has_more", more},
               {"store_revision", page.StoreRevision}};
  return responseText(200, body, page.Era);
}

std::string changesText(const ChangesSpec &changes) {
  Json events = Json::array();
  for (std::string_view key : changes.Written)
    events.push_back(itemOf(key, changes.StoreRevision));
  for (std::string_view key : changes.Removed)
    events.push_back({{"key", key},
                      {"revision", changes.StoreRevision},
                      {"tombstone", true}});
  return responseText(
      changes.Status,
      {{"events", events}, {"store_revision", changes.StoreRevision}}, 0);
}

/// Keeps the last reply of the store.
class ReplySink : public EventSink {
public:
  void post(const EventBody &body) override {
    const auto *reply = std::get_if<StoreReplied>(&body);
    if (!reply)
      return;
    Reply = *reply;
    All.push_back(*reply);
    const auto *chunk =
        reply->Value ? std::get_if<CatalogChunk>(reply->Value) : nullptr;
    if (chunk && !chunk->Services.empty())
      Services = chunk->Services;
    if (const auto *head =
            reply->Value ? std::get_if<ConfigHead>(reply->Value) : nullptr)
      Head = *head;
  }

  std::optional<StoreReplied> Reply;
  /// All replies that a test has not taken.
  std::deque<StoreReplied> All;
  /// The newest head and the newest chunk with services.
  ConfigHead Head;
  std::vector<ServiceSpec> Services;
};

/// A loop for a store that the test answers.
class StoreLoop {
protected:
  StoreLoop() { uv_loop_init(&Loop); }
  ~StoreLoop() {
    uv_run(&Loop, UV_RUN_DEFAULT);
    uv_loop_close(&Loop);
  }

  /// Turns the loop until \p fd has bytes for the test.
  void turnUntilReadable(int fd) {
    pollfd item{fd, POLLIN, 0};
    for (int n = 0; n < MaxTurns && ::poll(&item, 1, 1) == 0; ++n)
      uv_run(&Loop, UV_RUN_NOWAIT);
  }

  /// Turns the loop until the store replied.
  void turnUntilReplied() {
    for (int n = 0; n < MaxTurns && !Sink.Reply; ++n) {
      ::poll(nullptr, 0, 1);
      uv_run(&Loop, UV_RUN_NOWAIT);
    }
  }

  /// Reads the chunks of the newest head into `Sink`.
  void readChunks(platform::Store &store) {
    Sink.Services.clear();
    StoreRead head;
    head.Key.Space = StoreSpace::Head;
    store.start(head);
    for (const Digest &it : Sink.Head.Chunks) {
      StoreRead chunk;
      chunk.Key.Space = StoreSpace::Chunk;
      chunk.Key.Chunk = it;
      if (it != Digest{})
        store.start(chunk);
    }
    store.recycle();
  }

  /// \returns the number of instances of the first service.
  size_t readInstances(platform::Store &store) {
    StoreReplied reply = *Sink.Reply;
    readChunks(store);
    Sink.Reply = reply;
    return Sink.Services.empty() ? 0 : Sink.Services[0].Instances.size();
  }

  static constexpr int MaxTurns = 5000;
  uv_loop_t Loop{};
  Listener Server;
  ReplySink Sink;
};

class PagedRead : public StoreLoop,
                  public testing::TestWithParam<PagedReadCase> {};

/// Guards against a change between two pages that counts as read with the first
/// page, and against two contents with one version.
TEST_P(PagedRead, IsCompleteUpToItsFirstPage) {
  const PagedReadCase &row = GetParam();
  StoreSettings settings;
  settings.Address = "127.0.0.1";
  settings.Port = Server.port();
  platform::Store store(Loop, settings, VmSpec{}, Sink);
  StoreValue none;
  StoreWrite confirm;
  confirm.Value = &none;
  store.start(confirm);
  turnUntilReadable(Server.fd());
  Wire calls = Server.accept();
  auto answer = [&](std::string_view call, const std::string &text) {
    calls.Received.clear();
    turnUntilReadable(calls.fd());
    ASSERT_TRUE(calls.receive());
    EXPECT_NE(calls.Received.find(call), std::string::npos) << calls.Received;
    calls.send(text);
  };
  auto answerPages = [&](const std::vector<PageSpec> &pages) {
    for (size_t n = 0; n < pages.size(); ++n)
      answer("/api/kv-range", pageText(pages[n], n + 1 < pages.size()));
  };
  answerPages(row.Pages);
  uint64_t after = row.Pages[0].StoreRevision;
  auto answerChanges = [&](const ChangesSpec &changes) {
    answer("/api/kv-watch?prefix=&after=" + std::to_string(after) + "&",
           changesText(changes));
    after = changes.StoreRevision;
  };
  for (const ChangesSpec &it : row.Changes)
    answerChanges(it);
  if (row.ChangesAgain.empty()) {
    answerPages(row.Again);
  } else {
    after = row.Again[0].StoreRevision;
    for (size_t n = 0; n < row.Again.size(); ++n) {
      answer("/api/kv-range", pageText(row.Again[n], n + 1 < row.Again.size()));
      if (n > 0)
        answerChanges(row.ChangesAgain[n - 1]);
    }
  }
  turnUntilReplied();
  ASSERT_TRUE(Sink.Reply);
  EXPECT_EQ(Sink.Reply->Outcome, StoreOutcome::Conflict);
  EXPECT_EQ(Sink.Reply->Revision, row.Version);
  EXPECT_EQ(Sink.Reply->StoreRevision, row.Complete);
  EXPECT_EQ(Sink.Reply->SnapshotRevision, row.Version);
  EXPECT_EQ(readInstances(store), row.Instances);
  store.close();
}

INSTANTIATE_TEST_SUITE_P(Table, PagedRead, testing::ValuesIn(PagedReads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Requests that join a read in progress.
struct JoinedReadCase {
  std::string_view Name;
  uint32_t Pages;
  /// Page after which further requests come, and their number.
  uint32_t JoinAfter;
  uint32_t Joining;
};

const JoinedReadCase JoinedReads[] = {
    {"NoneJoins", 1, 0, 0},
    {"OneJoins", 2, 1, 1},
    {"OneJoinsBeforeTheLastPage", 4, 3, 1},
    {"ThreeJoin", 4, 1, 3},
};

std::ostream &operator<<(std::ostream &out, const JoinedReadCase &row) {
  return out << row.Name;
}

/// A reader of the configuration for which the test lets time pass.
class JoinedRead : public StoreLoop,
                   public testing::TestWithParam<JoinedReadCase> {
protected:
  JoinedRead() {
    ConfigInit init;
    init.UsesStore = true;
    useReaderTimes(init);
    Part = std::make_unique<ConfigPart>(init);
    VmEntry &self = Members.emplace_back();
    self.Name = "vm";
    Zone = self.Zone = Index.zone("z");
    Settings.Address = "127.0.0.1";
    Settings.Port = Server.port();
    Store.emplace(Loop, Settings, VmSpec{}, Sink);
  }

  void TearDown() override { Store->close(); }

  /// Sends what is due at a time \p ahead of the clock.
  void tick(Duration ahead) {
    Ahead = ahead;
    Part->onTick(context());
    execute();
  }

  /// Turns the loop until a reply came, and hands over all that follow it.
  void takeReplies() {
    turnUntilReplied();
    while (!Sink.All.empty()) {
      StoreReplied reply = Sink.All.front();
      Sink.All.pop_front();
      Part->onReply(reply, context());
      execute();
    }
  }

  std::unique_ptr<ConfigPart> Part;

private:
  ConfigContext context() {
    return {bootTime() + Ahead, Effects, {Members, {0}}, Zone, Index};
  }

  void execute() {
    std::vector<Effect> effects(Effects.items().begin(), Effects.items().end());
    Effects.clear();
    for (const Effect &effect : effects)
      std::visit(
          [&](const auto &it) {
            if constexpr (requires { Store->start(it); })
              Store->start(it);
          },
          effect);
  }

  StoreSettings Settings;
  std::optional<platform::Store> Store;
  std::vector<VmEntry> Members;
  CatalogIndex Index;
  ZoneHandle Zone;
  EffectBuffer Effects;
  Duration Ahead{};
};

/// Guards against a mark that is dated by a request which joined a read begun
/// before it: a key withdrawn between the two was admitted for too long.
TEST_P(JoinedRead, IsMarkedNoLaterThanItsFirstPage) {
  const JoinedReadCase &row = GetParam();
  constexpr Duration Timeout = std::chrono::milliseconds(1000);
  constexpr Duration Retry = std::chrono::milliseconds(300);
  // A VM that knows no other one waits for them before it reads.
  tick(-std::chrono::seconds(2));
  tick({});
  turnUntilReadable(Server.fd());
  Wire calls = Server.accept();
  Instant firstPageAt;
  for (uint32_t n = 1; n <= row.Pages; ++n) {
    turnUntilReadable(calls.fd());
    ASSERT_TRUE(calls.receive());
    if (n == 1)
      firstPageAt = bootTime();
    std::string key = n == 1 ? "op/config" : "servers/i-" + std::to_string(n);
    calls.send(pageText({7, {key}}, n < row.Pages));
    for (uint32_t k = 1; n == row.JoinAfter && k <= row.Joining; ++k) {
      tick(k * (Timeout + Retry) - Retry);
      tick(k * (Timeout + Retry));
    }
  }
  takeReplies();
  ASSERT_GT(Part->keeper().version(), 0U);
  EXPECT_NE(Part->marks().markedAt(), Instant::min());
  EXPECT_LE(Part->marks().markedAt(), firstPageAt);
}

INSTANTIATE_TEST_SUITE_P(Table, JoinedRead, testing::ValuesIn(JoinedReads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Keys of successive reads, and whether the instance in zone z is evacuated.
struct EvacuationReadCase {
  std::string_view Name;
  std::vector<std::string_view> First;
  std::vector<std::string_view> Second;
  bool Before;
  bool After;
  /// The catalog's version moves with the second read.
  bool Moves = true;
};

const EvacuationReadCase EvacuationReads[] = {
    {"Begins",
     {"op/config", "servers/i-1"},
     {"op/config", "op/evacuate/z", "servers/i-1"},
     false,
     true},
    {"Ends",
     {"op/config", "op/evacuate/z", "servers/i-1"},
     {"op/config", "servers/i-1"},
     true,
     false},
    {"OtherZone",
     {"op/config", "servers/i-1"},
     {"op/config", "op/evacuate/y", "servers/i-1"},
     false,
     false,
     false},
    {"UnreadableZone",
     {"op/config", "op/evacuate/z", "servers/i-1"},
     {"op/config", "op/evacuate/", "op/evacuate/z", "servers/i-1"},
     true,
     true,
     false},
};

std::ostream &operator<<(std::ostream &out, const EvacuationReadCase &row) {
  return out << row.Name;
}

class EvacuationRead : public StoreLoop,
                       public testing::TestWithParam<EvacuationReadCase> {
protected:
  /// Answers one read of the whole catalog.
  /// \returns whether its instance is evacuated, nothing without an answer.
  std::optional<bool> read(platform::Store &store, std::optional<Wire> &calls,
                           const PageSpec &page) {
    StoreValue none;
    StoreWrite confirm;
    confirm.Value = &none;
    Sink.Reply.reset();
    store.start(confirm);
    if (!calls) {
      turnUntilReadable(Server.fd());
      calls.emplace(Server.accept());
    }
    turnUntilReadable(calls->fd());
    if (!calls->receive())
      return std::nullopt;
    calls->send(pageText(page, false));
    turnUntilReplied();
    readChunks(store);
    if (Sink.Services.empty() || Sink.Services[0].Instances.empty())
      return std::nullopt;
    return Sink.Services[0].Instances[0].Evacuated;
  }
};

/// Guards against an evacuation that begins or ends without a new version, so
/// that other VMs do not learn of it.
TEST_P(EvacuationRead, MarksInstancesInANewVersion) {
  const EvacuationReadCase &row = GetParam();
  StoreSettings settings;
  settings.Address = "127.0.0.1";
  settings.Port = Server.port();
  platform::Store store(Loop, settings, VmSpec{}, Sink);
  std::optional<Wire> calls;
  constexpr uint64_t FirstRevision = 7;
  constexpr uint64_t SecondRevision = 9;
  EXPECT_EQ(read(store, calls, {FirstRevision, row.First}), row.Before);
  EXPECT_EQ(read(store, calls, {SecondRevision, row.Second}), row.After);
  EXPECT_EQ(Sink.Head.Version, row.Moves ? SecondRevision : FirstRevision);
  store.close();
}

INSTANTIATE_TEST_SUITE_P(Table, EvacuationRead,
                         testing::ValuesIn(EvacuationReads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Pages of one read around a restoration.
struct RestoredReadCase {
  std::string_view Name;
  std::vector<PageSpec> Pages;
  StoreOutcome Outcome;
  uint64_t Version;
};

const RestoredReadCase RestoredReads[] = {
    {"NotYetUsed", {{5, {"op/config"}, 1}}, StoreOutcome::Conflict, 7},
    {"BetweenPages",
     {{9, {"op/config"}}, {5, {"servers/i-1"}, 1}, {5, {"op/config"}, 1}},
     StoreOutcome::Conflict,
     7},
    {"EraOutOfRange",
     {{5, {"op/config"}, MaxStoreEra + 1}},
     StoreOutcome::Unavailable,
     7},
};

std::ostream &operator<<(std::ostream &out, const RestoredReadCase &row) {
  return out << row.Name;
}

class RestoredRead : public StoreLoop,
                     public testing::TestWithParam<RestoredReadCase> {};

/// Guards against a catalog made of pages from both sides of a restoration, and
/// against one that is used before the instances have written again.
TEST_P(RestoredRead, KeepsTheKnownCatalog) {
  const RestoredReadCase &row = GetParam();
  StoreSettings settings;
  settings.Address = "127.0.0.1";
  settings.Port = Server.port();
  platform::Store store(Loop, settings, VmSpec{}, Sink);
  StoreValue none;
  StoreWrite confirm;
  confirm.Value = &none;
  store.start(confirm);
  turnUntilReadable(Server.fd());
  Wire calls = Server.accept();
  turnUntilReadable(calls.fd());
  ASSERT_TRUE(calls.receive());
  calls.send(pageText({7, {"op/config", "servers/i-1"}}, false));
  turnUntilReplied();
  ASSERT_TRUE(Sink.Reply && Sink.Reply->Confirms);
  Sink.Reply.reset();
  store.start(confirm);
  for (size_t n = 0; n < row.Pages.size(); ++n) {
    turnUntilReadable(calls.fd());
    ASSERT_TRUE(calls.receive());
    calls.send(pageText(row.Pages[n], n + 1 < row.Pages.size()));
  }
  turnUntilReplied();
  ASSERT_TRUE(Sink.Reply);
  EXPECT_EQ(Sink.Reply->Outcome, row.Outcome);
  EXPECT_EQ(Sink.Reply->Revision, row.Version);
  bool restored = row.Outcome == StoreOutcome::Conflict;
  EXPECT_EQ(Sink.Reply->Confirms, !restored);
  store.close();
}

INSTANTIATE_TEST_SUITE_P(Table, RestoredRead, testing::ValuesIn(RestoredReads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
