/// \file
/// Answers that an instance ends by closing its connection, with real
/// processes: whoever receives one can tell the whole of it from a part.
#include "edge_harness.h"
#include "http_reader.h"
#include "secure_wire.h"

#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <tuple>

namespace guavasail {

namespace {

constexpr size_t ShortBytes = 400;
/// More than the buffers of the system and of a test's daemon hold.
constexpr size_t LongBytes = 4 * 1024 * 1024;
constexpr int SettleMillis = 200;

/// What callers speak.
struct CallerCase {
  std::string_view Name;
  std::string_view Version;
  bool Secure;
};

constexpr CallerCase Callers[] = {
    {"Http11", "HTTP/1.1", false},
    {"Http10", "HTTP/1.0", false},
    {"SecureHttp11", "HTTP/1.1", true},
    {"SecureHttp10", "HTTP/1.0", true},
};

/// How the daemon passes an answer on.
struct PassingCase {
  std::string_view Name;
  std::string_view Limits;
  size_t BodyBytes;
};

constexpr PassingCase Passings[] = {
    {"Held", "hold_answers = true\n", ShortBytes},
    {"HeldLong", "hold_answers = true\nanswer_buffer_bytes = 8000000\n",
     LongBytes},
    {"PassedOn", "", ShortBytes},
    {"PassedOnLong", "answer_buffer_bytes = 65536\n", LongBytes},
};

std::ostream &operator<<(std::ostream &out, const CallerCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const PassingCase &row) {
  return out << row.Name;
}

/// A daemon between one caller and one instance.
class Scene {
public:
  Scene(const CallerCase &caller, const PassingCase &passing)
      : Daemon(options(caller, passing)), Caller(Daemon, caller.Secure),
        Body(passing.BodyBytes, 'b') {
    Body.front() = 'a';
    Body.back() = 'z';
    Caller.send("GET /r/x " + std::string(caller.Version) +
                "\r\nhost: h\r\nx-api-key: " + std::string(EdgeKey) +
                "\r\n\r\n");
    Backend = Daemon.Backend.accept();
    while (!wholeRequest(Backend.Received) && Backend.receive()) {
    }
  }

  /// The instance sends the answer with the first \p bytes of its body. They
  /// may wait for the caller to read.
  void answer(size_t bytes) {
    Sending = std::async(std::launch::async, [this, bytes] {
      Backend.send("HTTP/1.1 200 OK\r\n\r\n" + Body.substr(0, bytes));
    });
  }

  void answerAndClose() {
    Sending = std::async(std::launch::async, [this] {
      Backend.send("HTTP/1.1 200 OK\r\n\r\n" + Body);
      Backend.close();
    });
  }

  /// Waits until the instance has sent what it sends.
  void awaitSent() { Sending.wait(); }

  static void settle() { ::poll(nullptr, 0, SettleMillis); }

  void kill() const { Daemon.Process->signal(SIGKILL); }

  EdgeDaemon Daemon;
  CallerWire Caller;
  Wire Backend{-1};
  std::string Body;

private:
  static EdgeOptions options(const CallerCase &caller,
                             const PassingCase &passing) {
    std::string limits = "caller_idle_ms = 1000\nmemory_mb = 160\n" +
                         std::string(passing.Limits);
    if (caller.Secure)
      return secureOptions(limits);
    return {.Limits = limits};
  }

  std::future<void> Sending;
};

/// How the answer or the daemon ends.
struct EndCase {
  std::string_view Name;
  void (*Act)(Scene &scene);
  /// The caller must get the whole answer.
  bool Whole = false;
};

void closeInstance(Scene &scene) { scene.answerAndClose(); }

void resetInstance(Scene &scene) {
  scene.answer(scene.Body.size() / 2);
  // A long part does not end before the caller reads.
  if (scene.Body.size() == ShortBytes)
    scene.awaitSent();
  Scene::settle();
  scene.Backend.reset();
}

void killHalfway(Scene &scene) {
  scene.answer(scene.Body.size() / 2);
  Scene::settle();
  scene.kill();
}

void killAfterEnd(Scene &scene) {
  scene.answerAndClose();
  Scene::settle();
  scene.kill();
}

void killInDrain(Scene &scene) {
  scene.answer(scene.Body.size() / 2);
  Scene::settle();
  scene.Daemon.Process->terminate();
  scene.Daemon.awaitLog("drain-started");
  scene.kill();
}

void stallCaller(Scene &scene) {
  scene.answerAndClose();
  ::poll(nullptr, 0, 3000);
}

constexpr EndCase Ends[] = {
    {"InstanceCloses", &closeInstance, true},
    {"InstanceResets", &resetInstance},
    {"KilledHalfway", &killHalfway},
    {"KilledBehindTheEnd", &killAfterEnd},
    {"KilledInDrain", &killInDrain},
    {"CallerStalls", &stallCaller},
};

std::ostream &operator<<(std::ostream &out, const EndCase &row) {
  return out << row.Name;
}

/// What a caller makes of the bytes of an answer and the end of its connection.
struct Outcome {
  bool Whole = false;
  uint32_t Status = 0;
  std::string Body;
};

Outcome outcomeOf(const CallerWire &caller) {
  Outcome outcome;
  HttpReader reader(MessageKind::Answer, {}, outcome.Body);
  std::string_view rest = caller.Received;
  while (size_t n = reader.feed(rest))
    rest.remove_prefix(n);
  if (!reader.whole() && caller.EndedInOrder)
    reader.end();
  outcome.Whole = reader.whole();
  outcome.Status = reader.head().Status;
  return outcome;
}

using UnframedRow = std::tuple<CallerCase, PassingCase, EndCase>;

class EdgeUnframed : public testing::TestWithParam<UnframedRow> {};

/// Guards against a part of an answer without a length that looks whole,
/// because the daemon or the instance ended while it was passed on.
TEST_P(EdgeUnframed, LooksWholeOnlyIfItIs) {
  const auto &[caller, passing, end] = GetParam();
  Scene scene(caller, passing);
  end.Act(scene);
  scene.Caller.readToEnd();
  scene.kill();
  Outcome outcome = outcomeOf(scene.Caller);
  EXPECT_TRUE(scene.Caller.Ended || outcome.Whole);
  if (end.Whole) {
    EXPECT_TRUE(outcome.Whole) << scene.Caller.Received.substr(0, 200);
  }
  bool success = outcome.Whole && outcome.Status == 200;
  EXPECT_TRUE(!success || outcome.Body == scene.Body)
      << outcome.Body.size() << " of " << scene.Body.size()
      << " bytes: " << scene.Caller.Received.substr(0, 200);
  // An idempotent request may have been sent again, or was refused.
  EXPECT_TRUE(!end.Whole || success);
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeUnframed,
                         testing::Combine(testing::ValuesIn(Callers),
                                          testing::ValuesIn(Passings),
                                          testing::ValuesIn(Ends)),
                         [](const auto &it) {
                           return std::string(std::get<0>(it.param).Name) +
                                  std::string(std::get<1>(it.param).Name) +
                                  std::string(std::get<2>(it.param).Name);
                         });

/// An answer without a length, and what the caller gets of it.
struct ReuseCase {
  std::string_view Name;
  std::string_view Method;
  std::string_view Head;
  std::string_view Body;
};

constexpr ReuseCase Reuses[] = {
    {"Body", "GET", "HTTP/1.1 200 OK", "answer"},
    {"EmptyBody", "GET", "HTTP/1.1 200 OK", ""},
    {"OldInstance", "GET", "HTTP/1.0 200 OK", "answer"},
    {"Head", "HEAD", "HTTP/1.1 200 OK", ""},
    {"NoContent", "GET", "HTTP/1.1 204 No Content", ""},
    {"NotModified", "GET", "HTTP/1.1 304 Not Modified", ""},
};

std::ostream &operator<<(std::ostream &out, const ReuseCase &row) {
  return out << row.Name;
}

using ReuseRow = std::tuple<CallerCase, PassingCase, ReuseCase>;

class EdgeUnframedReuse : public testing::TestWithParam<ReuseRow> {};

/// Guards against an answer whose end the caller takes for another one's begin,
/// on a connection that goes on after it.
TEST_P(EdgeUnframedReuse, NextAnswerIsApart) {
  const auto &[caller, passing, answer] = GetParam();
  std::string limits(passing.Limits);
  EdgeDaemon daemon(caller.Secure ? secureOptions(limits)
                                  : EdgeOptions{.Limits = limits});
  CallerWire wire(daemon, caller.Secure);
  for (std::string_view body : {answer.Body, std::string_view("next")}) {
    bool first = body != "next";
    std::string_view method = first ? answer.Method : "GET";
    wire.send(std::string(method) + " /r/x " + std::string(caller.Version) +
              "\r\nhost: h\r\nx-api-key: " + std::string(EdgeKey) + "\r\n\r\n");
    Wire backend = daemon.Backend.accept();
    while (!wholeRequest(backend.Received) && backend.receive()) {
    }
    backend.send(std::string(first ? answer.Head : "HTTP/1.1 200 OK") +
                 "\r\n\r\n" + std::string(body));
    backend.close();
    std::string text;
    HttpReader reader(MessageKind::Answer, {}, text);
    if (method == "HEAD")
      reader.expectNoBody();
    while (!reader.whole() && wire.receive())
      wire.Received.erase(0, reader.feed(wire.Received));
    EXPECT_TRUE(reader.whole()) << wire.Received;
    EXPECT_EQ(text, body);
    EXPECT_EQ(wire.Received, "");
  }
}

constexpr CallerCase KeepingCallers[] = {Callers[0], Callers[2]};
constexpr PassingCase ShortPassings[] = {Passings[0], Passings[2]};

INSTANTIATE_TEST_SUITE_P(Table, EdgeUnframedReuse,
                         testing::Combine(testing::ValuesIn(KeepingCallers),
                                          testing::ValuesIn(ShortPassings),
                                          testing::ValuesIn(Reuses)),
                         [](const auto &it) {
                           return std::string(std::get<0>(it.param).Name) +
                                  std::string(std::get<1>(it.param).Name) +
                                  std::string(std::get<2>(it.param).Name);
                         });

} // namespace

} // namespace guavasail
