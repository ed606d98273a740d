/// \file
/// Connections that their caller uses for one request only, with the real
/// binary.
#include "edge_harness.h"
#include "secure_wire.h"

#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <tuple>

namespace guavasail {

namespace {

/// How a caller says that it sends no other request.
struct LastCase {
  std::string_view Name;
  std::string_view Version;
  std::string_view Field;
  bool Secure = false;
};

constexpr LastCase Lasts[] = {
    {"Close", "HTTP/1.1", "connection: close\r\n"},
    {"CloseInList", "HTTP/1.1", "connection: x-a, Close\r\n"},
    {"Http10", "HTTP/1.0", ""},
    {"SecureClose", "HTTP/1.1", "connection: close\r\n", true},
    {"SecureHttp10", "HTTP/1.0", "", true},
};

/// A request and what it is answered with.
struct AnswerCase {
  std::string_view Name;
  std::string_view Method;
  std::string_view Path;
  std::string_view Key;
  /// Sent by the instance; it gets no request if this is empty.
  std::string_view FromInstance;
  std::string_view Status;
  /// Sent to the address for the balancer, which has no TLS.
  bool OfBalancer = false;
};

constexpr AnswerCase Answers[] = {
    {"Ok", "GET", "/r/x", EdgeKey,
     "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "200"},
    {"Chunked", "GET", "/r/x", EdgeKey,
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     "200"},
    {"Head", "HEAD", "/r/x", EdgeKey,
     "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", "200"},
    {"NoAnswer", "GET", "/r/x", EdgeKey, "what\r\n\r\n", "502"},
    {"KeyUnknown", "GET", "/r/x", "another-key", "", "401"},
    {"RouteUnknown", "GET", "/none", EdgeKey, "", "404"},
    {"Health", "GET", "/-/alive", EdgeKey, "", "200", true},
};

std::ostream &operator<<(std::ostream &out, const LastCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const AnswerCase &row) {
  return out << row.Name;
}

using LastRow = std::tuple<LastCase, AnswerCase>;

class EdgeLastAnswer : public testing::TestWithParam<LastRow> {};

/// Guards against a connection that stays open after the only answer that its
/// caller wants, as RFC 9112, section 9.6, forbids.
TEST_P(EdgeLastAnswer, EndsTheConnection) {
  const auto &[last, answer] = GetParam();
  std::string limits = "attempts = 1\ncaller_idle_ms = 60000\n";
  EdgeDaemon daemon(last.Secure ? secureOptions(limits)
                                : EdgeOptions{.Limits = limits});
  CallerWire caller(answer.OfBalancer ? Wire::dial(daemon.readyPort())
                                      : daemon.dial(),
                    last.Secure && !answer.OfBalancer);
  caller.send(std::string(answer.Method) + " " + std::string(answer.Path) +
              " " + std::string(last.Version) +
              "\r\nhost: h\r\nx-api-key: " + std::string(answer.Key) + "\r\n" +
              std::string(last.Field) + "\r\n");
  Wire backend(-1);
  if (!answer.FromInstance.empty()) {
    backend = daemon.Backend.accept();
    while (!wholeRequest(backend.Received) && backend.receive()) {
    }
    EXPECT_EQ(backend.Received.find("connection:"), std::string::npos);
    backend.send(answer.FromInstance);
  }
  caller.readToEnd();
  // The library names the caller's version of HTTP.
  EXPECT_TRUE(caller.Received.starts_with("HTTP/1.")) << caller.Received;
  EXPECT_EQ(caller.Received.substr(9, 3), answer.Status) << caller.Received;
  EXPECT_TRUE(caller.EndedInOrder) << caller.Received;
  EXPECT_NE(caller.Received.find("connection: close\r\n"), std::string::npos)
      << caller.Received;
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeLastAnswer,
                         testing::Combine(testing::ValuesIn(Lasts),
                                          testing::ValuesIn(Answers)),
                         [](const auto &it) {
                           return std::string(std::get<0>(it.param).Name) +
                                  std::string(std::get<1>(it.param).Name);
                         });

} // namespace

} // namespace guavasail
