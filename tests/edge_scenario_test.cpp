#include "edge_harness.h"

#include <csignal>
#include <gtest/gtest.h>

namespace guavasail {

namespace {

constexpr std::string_view Ok =
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
constexpr std::string_view Get =
    "GET /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n\r\n";
constexpr std::string_view Post =
    "POST /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n"
    "content-length: 0\r\n\r\n";
constexpr size_t LargeBytes = 3'000'000;

/// Waits until the daemon has passed a request on.
Wire takeRequest(const EdgeDaemon &daemon) {
  Wire backend = daemon.Backend.accept();
  while (!wholeRequest(backend.Received) && backend.receive()) {
  }
  EXPECT_TRUE(wholeRequest(backend.Received)) << backend.Received;
  return backend;
}

void expectAnswer(Wire &caller, std::string_view status) {
  while (!wholeAnswer(caller.Received, "GET") && caller.receive()) {
  }
  EXPECT_TRUE(caller.Received.starts_with("HTTP/1.1 " + std::string(status)))
      << caller.Received;
}

void expectEnd(Wire &peer) {
  peer.readToEnd();
  EXPECT_TRUE(peer.Ended);
}

void callerGoneCancels(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Get);
  Wire backend = takeRequest(daemon);
  caller.close();
  expectEnd(backend);
}

void slowHeadTimesOut(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Get.substr(0, 20));
  expectEnd(caller);
}

void silentConnectionTimesOut(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  expectEnd(caller);
}

void slowBodyTimesOut(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send("POST /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n"
              "content-length: 9\r\n\r\nabc");
  Wire backend = daemon.Backend.accept();
  expectEnd(caller);
  expectEnd(backend);
}

void idleConnectionTimesOut(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Get);
  takeRequest(daemon).send(Ok);
  expectAnswer(caller, "200");
  expectEnd(caller);
}

void connectionsAreBounded(EdgeDaemon &daemon) {
  Wire first = daemon.dial();
  first.send(Get);
  takeRequest(daemon).send(Ok);
  expectAnswer(first, "200");
  Wire second = daemon.dial();
  second.send(Get);
  takeRequest(daemon).send(Ok);
  expectAnswer(second, "200");
  Wire third = daemon.dial();
  expectEnd(third);
}

void requestsAreBounded(EdgeDaemon &daemon) {
  Wire first = daemon.dial();
  first.send(Get);
  Wire backend = takeRequest(daemon);
  Wire second = daemon.dial();
  second.send(Get);
  expectAnswer(second, "503");
  EXPECT_NE(second.Received.find("\"not-run\""), std::string::npos);
  backend.send(Ok);
  expectAnswer(first, "200");
}

void drainFinishesAnswers(EdgeDaemon &daemon) {
  Wire open = daemon.dial();
  open.send(Get);
  Wire backend = takeRequest(daemon);
  Wire late = daemon.dial();
  daemon.Process->terminate();
  daemon.awaitLog("drain-started");
  late.send(Get);
  expectAnswer(late, "503");
  EXPECT_NE(late.Received.find("refusal:draining"), std::string::npos);
  backend.send(Ok);
  expectAnswer(open, "200");
  EXPECT_NE(open.Received.find("connection: close"), std::string::npos);
  expectEnd(open);
  EXPECT_EQ(daemon.Process->wait(), 0);
}

void drainSendsLargeAnswers(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Get);
  Wire backend = takeRequest(daemon);
  daemon.Process->terminate();
  backend.send("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n");
  backend.send(std::string(100000, 'x'));
  expectAnswer(caller, "200");
  expectEnd(caller);
  EXPECT_TRUE(wholeAnswer(caller.Received, "GET"));
  EXPECT_EQ(daemon.Process->wait(), 0);
}

void drainWithIdleConnectionEnds(EdgeDaemon &daemon) {
  Wire idle = daemon.dial();
  idle.send(Get);
  takeRequest(daemon).send(Ok);
  expectAnswer(idle, "200");
  daemon.Process->terminate();
  EXPECT_EQ(daemon.Process->wait(), 0);
}

/// Sends \p request after the instance closed the connection of the last one.
void askAfterStale(EdgeDaemon &daemon, std::string_view request) {
  Wire caller = daemon.dial();
  caller.send(Get);
  Wire backend = takeRequest(daemon);
  backend.send(Ok);
  expectAnswer(caller, "200");
  backend.close();
  caller.Received.clear();
  caller.send(request);
  takeRequest(daemon).send(Ok);
  expectAnswer(caller, "200");
}

void staleLaneIdempotent(EdgeDaemon &daemon) { askAfterStale(daemon, Get); }
void staleLaneAtMostOnce(EdgeDaemon &daemon) { askAfterStale(daemon, Post); }

void lanesAreReused(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  BackendPlayer backend(daemon);
  for (int n = 0; n < 20; ++n) {
    caller.Received.clear();
    caller.send(Get);
    EXPECT_TRUE(backend.play(caller, "GET", {Ok}));
  }
  EXPECT_EQ(backend.Accepted, 1u);
}

void continueIsSentBeforeTheBody(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send("POST /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n"
              "expect: 100-continue\r\ncontent-length: 3\r\n\r\n");
  caller.receive();
  EXPECT_EQ(caller.Received, "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Received.clear();
  caller.send("abc");
  takeRequest(daemon).send(Ok);
  expectAnswer(caller, "200");
}

void noContinueForRefusedBody(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send("POST /r/x HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
              "content-length: 3\r\n\r\n");
  expectAnswer(caller, "401");
  expectEnd(caller);
}

constexpr std::string_view UnframedPart =
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf";

/// Runs \p act while the daemon is stopped, so that it finds all of it in one
/// turn of its loop.
template <typename Act> void inOneTurn(const EdgeDaemon &daemon, Act act) {
  daemon.Process->signal(SIGSTOP);
  act();
  daemon.Process->signal(SIGCONT);
}

/// A part of an answer without a length must not pass for the whole because its
/// reset comes together with it.
void unframedResetIsNoEnd(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Post);
  Wire backend = takeRequest(daemon);
  inOneTurn(daemon, [&] {
    backend.send(UnframedPart);
    backend.reset();
  });
  expectAnswer(caller, "504");
}

/// The same if the daemon learns of the reset when it sends the body.
void unframedResetWhileSendingIsNoEnd(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send("POST /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n"
              "content-length: 9\r\n\r\nabc");
  Wire backend = daemon.Backend.accept();
  while (backend.Received.find("abc") == std::string::npos &&
         backend.receive()) {
  }
  inOneTurn(daemon, [&] {
    caller.send("def");
    backend.send(UnframedPart);
    backend.reset();
  });
  expectAnswer(caller, "504");
}

void relayedUnframedResetIsPassedOn(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Post);
  Wire backend = takeRequest(daemon);
  inOneTurn(daemon, [&] {
    backend.send(UnframedPart);
    backend.reset();
  });
  expectEnd(caller);
  EXPECT_TRUE(caller.EndedByReset) << caller.Received;
}

/// A caller must be able to tell the whole answer from a part of it, whatever
/// happens to the daemon.
void unframedAnswerGetsALength(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(Post);
  Wire backend = takeRequest(daemon);
  inOneTurn(daemon, [&] {
    backend.send(UnframedPart);
    backend.close();
  });
  expectAnswer(caller, "200");
  EXPECT_NE(caller.Received.find("content-length: 4\r\n"), std::string::npos)
      << caller.Received;
  EXPECT_TRUE(caller.Received.ends_with("half")) << caller.Received;
  caller.Received.clear();
  caller.send(Get);
  Wire next = takeRequest(daemon);
  next.send(Ok);
  expectAnswer(caller, "200");
}

/// An instance may answer and close before it has read the whole body.
void earlyUnframedAnswerIsKept(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send("POST /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n"
              "content-length: 9\r\n\r\nabc");
  Wire backend = daemon.Backend.accept();
  while (backend.Received.find("abc") == std::string::npos &&
         backend.receive()) {
  }
  inOneTurn(daemon, [&] {
    caller.send("def");
    backend.send(UnframedPart);
    backend.close();
  });
  caller.receive();
  EXPECT_TRUE(caller.Received.starts_with("HTTP/1.1 200")) << caller.Received;
}

void pipelinedRequestsKeepOrder(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send(std::string(Get) + std::string(Get));
  Wire backend = takeRequest(daemon);
  backend.Received.clear();
  backend.send("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none");
  while (!wholeRequest(backend.Received) && backend.receive()) {
  }
  backend.send("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo");
  while (caller.Received.find("two") == std::string::npos && caller.receive()) {
  }
  EXPECT_LT(caller.Received.find("one"), caller.Received.find("two"));
}

void largeBodyIsPassed(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  std::string body(LargeBytes, 'b');
  body.front() = 'a';
  body.back() = 'z';
  caller.send("PUT /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: edge-secret-key\r\n"
              "content-length: " +
              std::to_string(body.size()) + "\r\n\r\n");
  Wire backend = daemon.Backend.accept();
  for (size_t at = 0; at < body.size(); at += 100000) {
    caller.send(std::string_view(body).substr(at, 100000));
    backend.receive();
  }
  while (!wholeRequest(backend.Received) && backend.receive()) {
  }
  EXPECT_TRUE(backend.Received.ends_with(body));
  backend.send(Ok);
  expectAnswer(caller, "200");
}

void jsonLogsNameTheRequest(EdgeDaemon &daemon) {
  Wire caller = daemon.dial();
  caller.send("GET /none HTTP/1.1\r\nhost: h\r\n\r\n");
  expectAnswer(caller, "404");
  size_t at = caller.Received.find("\"request\":");
  ASSERT_NE(at, std::string::npos);
  std::string field = caller.Received.substr(at);
  field = field.substr(0, field.find_first_of(",}"));
  // Lines are written out after the turn of the loop that made them.
  daemon.awaitLog("\"event\":\"request-refused\"");
  std::string log = daemon.log();
  EXPECT_NE(log.find(field), std::string::npos) << field << " in " << log;
  EXPECT_NE(log.find("\"event\":\"request-refused\""), std::string::npos);
}

void notReadyWithoutStore(EdgeDaemon &daemon) {
  Wire health = Wire::dial(daemon.readyPort());
  health.send("GET /-/ready HTTP/1.1\r\nhost: h\r\n\r\n");
  expectAnswer(health, "503");
  EXPECT_NE(health.Received.find("starting: no-source"), std::string::npos);
  Wire caller = daemon.dial();
  caller.send(Get);
  expectAnswer(caller, "503");
  EXPECT_NE(caller.Received.find("not-ready"), std::string::npos);
}

struct ScenarioCase {
  std::string_view Name;
  void (*Run)(EdgeDaemon &daemon);
  EdgeOptions Options = {};
};

const EdgeOptions Impatient = {.Limits = "caller_idle_ms = 1000"};

const EdgeOptions Holding = {.Limits = "hold_answers = true"};

const ScenarioCase Scenarios[] = {
    {"CallerGoneCancels", &callerGoneCancels},
    {"SlowHeadTimesOut", &slowHeadTimesOut, Impatient},
    {"SilentConnectionTimesOut", &silentConnectionTimesOut, Impatient},
    {"SlowBodyTimesOut", &slowBodyTimesOut, Impatient},
    {"IdleConnectionTimesOut", &idleConnectionTimesOut, Impatient},
    {"ConnectionsAreBounded",
     &connectionsAreBounded,
     {.Limits = "caller_connections = 2"}},
    {"RequestsAreBounded", &requestsAreBounded, {.Limits = "requests = 1"}},
    {"DrainFinishesAnswers", &drainFinishesAnswers},
    {"DrainSendsLargeAnswers", &drainSendsLargeAnswers},
    {"DrainWithIdleConnectionEnds", &drainWithIdleConnectionEnds},
    {"StaleLaneIdempotent", &staleLaneIdempotent},
    {"StaleLaneAtMostOnce", &staleLaneAtMostOnce},
    {"LanesAreReused", &lanesAreReused, {.Daemon = "log_level = \"debug\""}},
    {"ContinueIsSentBeforeTheBody", &continueIsSentBeforeTheBody},
    {"NoContinueForRefusedBody", &noContinueForRefusedBody},
    {"UnframedResetIsNoEnd", &unframedResetIsNoEnd, Holding},
    {"UnframedResetWhileSendingIsNoEnd", &unframedResetWhileSendingIsNoEnd,
     Holding},
    {"RelayedUnframedResetIsPassedOn", &relayedUnframedResetIsPassedOn},
    {"UnframedAnswerGetsALength", &unframedAnswerGetsALength, Holding},
    {"EarlyUnframedAnswerIsKept", &earlyUnframedAnswerIsKept, Holding},
    {"PipelinedRequestsKeepOrder", &pipelinedRequestsKeepOrder},
    {"LargeBodyIsPassed", &largeBodyIsPassed},
    {"NotReadyWithoutStore",
     &notReadyWithoutStore,
     {.Daemon = "[store]\naddress = \"127.0.0.1\"\nport = 1"}},
    {"JsonLogsNameTheRequest",
     &jsonLogsNameTheRequest,
     {.Daemon = "log_format = \"json\""}},
};

std::ostream &operator<<(std::ostream &out, const ScenarioCase &row) {
  return out << row.Name;
}

class EdgeScenario : public testing::TestWithParam<ScenarioCase> {};

TEST_P(EdgeScenario, Holds) {
  EdgeDaemon daemon(GetParam().Options);
  GetParam().Run(daemon);
  EXPECT_EQ(daemon.log().find(EdgeKey), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeScenario, testing::ValuesIn(Scenarios),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
