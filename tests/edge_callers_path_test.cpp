/// \file
/// Paths of callers that look like the daemon's own, with the real binary.
#include "edge_harness.h"
#include "secure_wire.h"

#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <tuple>

namespace guavasail {

namespace {

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nserved";

/// A target, and the path with which it reaches an instance.
struct TargetCase {
  std::string_view Name;
  std::string_view Target;
  std::string_view Path;
};

constexpr TargetCase Targets[] = {
    {"Alive", "/-/alive", "/-/alive"},
    {"Ready", "/-/ready", "/-/ready"},
    {"Draining", "/-/draining", "/-/draining"},
    {"Prefix", "/-/", "/-/"},
    {"BelowAlive", "/-/alive/", "/-/alive/"},
    {"Query", "/-/ready?a=b", "/-/ready?a=b"},
    {"Metrics", "/metrics", "/metrics"},
};

/// The route of the daemon, and whether it takes these targets.
struct RouteCase {
  std::string_view Name;
  std::string_view Prefix;
  bool Takes;
};

constexpr RouteCase Routes[] = {
    {"OtherRoute", "/r", false},
    {"RouteOfAll", "/", true},
};

std::ostream &operator<<(std::ostream &out, const TargetCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const RouteCase &row) {
  return out << row.Name;
}

using PathRow = std::tuple<TargetCase, RouteCase, bool>;

class CallersPath : public testing::TestWithParam<PathRow> {};

/// Guards against a path that the daemon answers itself at the callers'
/// address: a success that no instance gave.
TEST_P(CallersPath, BelongsToTheRoutes) {
  const auto &[target, route, secure] = GetParam();
  EdgeOptions options = secure ? secureOptions() : EdgeOptions{};
  options.RoutePrefix = route.Prefix;
  EdgeDaemon daemon(options);
  CallerWire caller(daemon, secure);
  caller.send("GET " + std::string(target.Target) +
              " HTTP/1.1\r\nhost: h\r\nconnection: close\r\nx-api-key: " +
              std::string(EdgeKey) + "\r\n\r\n");
  Wire backend(-1);
  if (route.Takes) {
    backend = daemon.Backend.accept();
    while (!wholeRequest(backend.Received) && backend.receive()) {
    }
    EXPECT_TRUE(backend.Received.starts_with("GET " + std::string(target.Path) +
                                             " HTTP/1.1\r\n"))
        << backend.Received;
    backend.send(Answer);
  }
  caller.readToEnd();
  EXPECT_EQ(caller.Received.substr(9, 3), route.Takes ? "200" : "404")
      << caller.Received;
  std::string_view expected = route.Takes ? "served" : "route-unknown";
  EXPECT_NE(caller.Received.find(expected), std::string::npos)
      << caller.Received;
}

INSTANTIATE_TEST_SUITE_P(Table, CallersPath,
                         testing::Combine(testing::ValuesIn(Targets),
                                          testing::ValuesIn(Routes),
                                          testing::Bool()),
                         [](const auto &it) {
                           return std::string(std::get<0>(it.param).Name) +
                                  std::string(std::get<1>(it.param).Name) +
                                  (std::get<2>(it.param) ? "Secure" : "Plain");
                         });

/// \returns what a daemon answers to \p target.
std::string answerTo(const EdgeDaemon &daemon, bool secure,
                     std::string_view target) {
  CallerWire caller(daemon, secure);
  caller.send("GET " + std::string(target) +
              " HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  caller.readToEnd();
  return caller.Received;
}

class AbsoluteTarget : public testing::TestWithParam<bool> {};

/// The same with the path in a target in absolute form.
TEST_P(AbsoluteTarget, IsTreatedLikeAnyOther) {
  EdgeDaemon daemon(GetParam() ? secureOptions() : EdgeOptions{});
  std::string other = answerTo(daemon, GetParam(), "http://h/none");
  std::string answer = answerTo(daemon, GetParam(), "http://h/-/alive");
  EXPECT_EQ(answer.substr(0, 12), other.substr(0, 12));
  EXPECT_EQ(answer.find("ready"), std::string::npos) << answer;
}

INSTANTIATE_TEST_SUITE_P(Table, AbsoluteTarget, testing::Bool(),
                         [](const auto &it) {
                           return it.param ? "Secure" : "Plain";
                         });

/// A path at the address for the balancer.
struct BalancerCase {
  std::string_view Name;
  std::string_view Path;
  std::string_view Status;
};

constexpr BalancerCase BalancerPaths[] = {
    {"ReadyPath", "/api/readiness", "200"},
    {"Ready", "/-/ready", "200"},
    {"Alive", "/-/alive", "200"},
    {"Draining", "/-/draining", "503"},
    {"Route", "/r/x", "404"},
};

std::ostream &operator<<(std::ostream &out, const BalancerCase &row) {
  return out << row.Name;
}

class BalancerPath
    : public testing::TestWithParam<std::tuple<BalancerCase, bool>> {};

/// Guards against health that nobody serves, and against requests of callers
/// that reach an instance through the address for the balancer.
TEST_P(BalancerPath, IsServedApartFromCallers) {
  const auto &[row, secure] = GetParam();
  EdgeOptions options = secure ? secureOptions() : EdgeOptions{};
  options.Daemon += "\nready_path = \"/api/readiness\"";
  EdgeDaemon daemon(options);
  Wire balancer = Wire::dial(daemon.readyPort());
  std::string request =
      "GET " + std::string(row.Path) +
      " HTTP/1.1\r\nhost: h\r\nx-api-key: " + std::string(EdgeKey) + "\r\n\r\n";
  // The connection stays open for the next question.
  for (int n = 0; n < 2; ++n) {
    balancer.Received.clear();
    balancer.send(request);
    while (!wholeAnswer(balancer.Received, "GET") && balancer.receive()) {
    }
    EXPECT_EQ(balancer.Received.substr(9, 3), row.Status) << balancer.Received;
  }
}

INSTANTIATE_TEST_SUITE_P(Table, BalancerPath,
                         testing::Combine(testing::ValuesIn(BalancerPaths),
                                          testing::Bool()),
                         [](const auto &it) {
                           return std::string(std::get<0>(it.param).Name) +
                                  (std::get<1>(it.param) ? "Secure" : "Plain");
                         });

} // namespace

} // namespace guavasail
