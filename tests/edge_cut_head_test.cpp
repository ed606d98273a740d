/// \file
/// Instances that stop in the middle of the head of their answer, at each byte
/// of it, with the real binary.
#include "edge_harness.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <tuple>

namespace guavasail {

namespace {

/// Part of each head that no caller may see.
constexpr std::string_view Mark = "x-mark: instance";
constexpr std::string_view Whole =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Bytes that an instance stops within.
struct HeadCase {
  std::string_view Name;
  std::string_view Bytes;
};

constexpr HeadCase Heads[] = {
    {"Length",
     "HTTP/1.1 200 OK\r\nx-mark: instance\r\ncontent-length: 5\r\n\r\n"},
    {"Chunked", "HTTP/1.1 200 OK\r\nx-mark: instance\r\n"
                "transfer-encoding: chunked\r\n\r\n"},
    {"Unframed", "HTTP/1.1 200 OK\r\nx-mark: instance\r\n\r\n"},
    {"EmptyBody",
     "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-mark: instance\r\n\r\n"},
    {"NoContent", "HTTP/1.1 204 No Content\r\nx-mark: instance\r\n\r\n"},
    {"InterimFirst", "HTTP/1.1 103 Early Hints\r\nx-mark: instance\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nx-mark: instance\r\n\r\n"},
    // Not a head, also when it is whole.
    {"BareLineFeeds",
     "HTTP/1.1 200 OK\nx-mark: instance\ncontent-length: 5\n\nhello"},
    {"BareLineFeedAtEnd",
     "HTTP/1.1 200 OK\r\nx-mark: instance\r\ncontent-length: 5\r\n\nhello"},
    {"OldInstance", "HTTP/1.0 200 OK\r\nx-mark: instance\r\n\r\n"},
};

/// How the connection ends behind the cut.
struct CutCase {
  std::string_view Name;
  LaneEnd End;
};

constexpr CutCase Cuts[] = {{"Close", LaneEnd::Close},
                            {"HalfClose", LaneEnd::HalfClose},
                            {"Reset", LaneEnd::Reset}};

struct LaneCase {
  std::string_view Name;
  /// The connection has carried an answer before.
  bool Kept;
};

constexpr LaneCase Lanes[] = {{"First", false}, {"Kept", true}};

struct MethodCase {
  std::string_view Name;
  /// The request may run once.
  bool Unsafe;
};

constexpr MethodCase Methods[] = {{"GET", false}, {"POST", true}};

std::ostream &operator<<(std::ostream &out, const HeadCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const CutCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const LaneCase &row) {
  return out << row.Name;
}
std::ostream &operator<<(std::ostream &out, const MethodCase &row) {
  return out << row.Name;
}

std::string request(std::string_view method, size_t number) {
  return std::string(method) + " /r/" + std::to_string(number) +
         " HTTP/1.1\r\nhost: h\r\nx-api-key: " + std::string(EdgeKey) +
         "\r\ncontent-length: 0\r\n\r\n";
}

using CutRow = std::tuple<HeadCase, CutCase, LaneCase, MethodCase>;

class EdgeCutHead : public testing::TestWithParam<CutRow> {};

/// Guards against a head that breaks off and becomes a success with a short or
/// empty body, a false "not run", or a second run.
TEST_P(EdgeCutHead, IsNoAnswer) {
  const auto &[head, cut, lane, method] = GetParam();
  EdgeDaemon daemon({.Limits = "attempts = 2\n"});
  for (size_t n = 0; n < head.Bytes.size(); ++n) {
    BackendPlayer backend(daemon);
    if (lane.Kept) {
      Wire earlier = daemon.dial();
      earlier.send(request("GET", n));
      ASSERT_TRUE(backend.play(earlier, "GET", {Whole})) << n;
      backend.Seen.clear();
    }
    Wire caller = daemon.dial();
    caller.send(request(method.Name, n));
    bool answered =
        backend.play(caller, method.Name, {head.Bytes.substr(0, n), cut.End});
    std::string_view received = caller.Received;
    ASSERT_TRUE(answered) << n << " " << received;
    EXPECT_FALSE(received.starts_with("HTTP/1.1 2")) << n << " " << received;
    EXPECT_EQ(received.find(Mark), std::string_view::npos) << n;
    EXPECT_EQ(received.find("hello"), std::string_view::npos) << n;
    // The request has reached the instance, so it may have run.
    ASSERT_FALSE(backend.Seen.empty()) << n << " " << received;
    EXPECT_EQ(received.find("not-run"), std::string_view::npos)
        << n << " " << received;
    EXPECT_LE(backend.Seen.size(), method.Unsafe ? 1u : 2u) << n;
  }
  EXPECT_TRUE(daemon.Process->running());
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeCutHead,
                         testing::Combine(testing::ValuesIn(Heads),
                                          testing::ValuesIn(Cuts),
                                          testing::ValuesIn(Lanes),
                                          testing::ValuesIn(Methods)),
                         [](const auto &it) {
                           return std::apply(
                               [](const auto &...part) {
                                 std::string name;
                                 (name.append(part.Name), ...);
                                 return name;
                               },
                               it.param);
                         });

} // namespace

} // namespace guavasail
