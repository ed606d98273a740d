#include "edge_harness.h"
#include "secure_wire.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace guavasail {

namespace {

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde";
/// Calls over TLS, with the program that callers' tests use.
struct SecureCase {
  std::string_view Name;
  std::string_view Protocol;
  std::string_view Method;
  /// Whether the instance gets the request.
  bool Forwarded = true;
};

const SecureCase SecureCases[] = {
    {"Http1Get", "http/1.1", "GET"},
    {"Http1Post", "http/1.1", "POST"},
    {"Http2Get", "h2", "GET"},
    {"Http2Post", "h2", "POST", false},
};

std::ostream &operator<<(std::ostream &out, const SecureCase &row) {
  return out << row.Name;
}

/// A caller that sends one request over TLS and expects five bytes.
class SecureCaller {
public:
  SecureCaller(const EdgeDaemon &daemon, std::string_view protocol,
               std::string_view method)
      : Figures(daemon.file("caller")), Program({LOAD_CALLER_BINARY,
                                                 "--tls",
                                                 "--port",
                                                 std::to_string(daemon.port()),
                                                 "--alpn",
                                                 std::string(protocol),
                                                 "--method",
                                                 std::string(method),
                                                 "--key",
                                                 std::string(EdgeKey),
                                                 "--path",
                                                 "/r/x",
                                                 "--requests",
                                                 "1",
                                                 "--concurrency",
                                                 "1",
                                                 "--expect_bytes",
                                                 "5",
                                                 "--max_seconds",
                                                 "10",
                                                 "--idempotency_key",
                                                 "i7"},
                                                Figures) {}

  /// Waits for its end.
  /// \returns the exit status.
  int wait() { return Program.wait(); }

  /// \returns what it counted.
  [[nodiscard]] std::string figures() const {
    std::ostringstream text;
    text << std::ifstream(Figures + ".out").rdbuf();
    return text.str();
  }

private:
  std::string Figures;
  Child Program;
};

class EdgeSecure : public testing::TestWithParam<SecureCase> {};

TEST_P(EdgeSecure, IsAnswered) {
  const SecureCase &row = GetParam();
  EdgeDaemon daemon(secureOptions());
  SecureCaller caller(daemon, row.Protocol, row.Method);
  if (row.Forwarded) {
    Wire backend = daemon.Backend.accept();
    while (!wholeRequest(backend.Received) && backend.receive()) {
    }
    EXPECT_TRUE(backend.Received.starts_with(std::string(row.Method) + " /r/x"))
        << backend.Received;
    EXPECT_EQ(backend.Received.find(EdgeKey), std::string::npos);
    backend.send(Answer);
  }
  EXPECT_EQ(caller.wait(), 0);
  std::string_view want = row.Forwarded ? "load.whole 1 " : "load.refused 1 ";
  EXPECT_NE(caller.figures().find(want), std::string::npos) << caller.figures();
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeSecure, testing::ValuesIn(SecureCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A status that no response has.
struct BadStatusCase {
  std::string_view Name;
  std::string_view Status;
};

const BadStatusCase BadStatuses[] = {
    {"Zero", "000"}, {"Below", "099"}, {"Above", "600"}, {"Long", "2000"}};

std::ostream &operator<<(std::ostream &out, const BadStatusCase &row) {
  return out << row.Name;
}

class EdgeSecureStatus : public testing::TestWithParam<BadStatusCase> {};

/// Guards against a response of an instance in trouble that reaches a caller
/// with its status, on the edge of the HTTP library.
TEST_P(EdgeSecureStatus, OutsideTheRangeIsNotPassedOn) {
  EdgeDaemon daemon(secureOptions());
  SecureCaller caller(daemon, "http/1.1", "POST");
  Wire backend = daemon.Backend.accept();
  while (!wholeRequest(backend.Received) && backend.receive()) {
  }
  backend.send("HTTP/1.1 " + std::string(GetParam().Status) +
               " Odd\r\ncontent-length: 5\r\n\r\nabcde");
  caller.wait();
  EXPECT_NE(caller.figures().find("load.whole 0 "), std::string::npos)
      << caller.figures();
  EXPECT_TRUE(daemon.Process->running());
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeSecureStatus,
                         testing::ValuesIn(BadStatuses), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
