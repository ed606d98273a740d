#include "edge_harness.h"

#include <gtest/gtest.h>

namespace guavasail {

namespace {

constexpr std::string_view Ok =
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
constexpr std::string_view Auth = "authorization: Bearer edge-secret-key\r\n";

/// \returns a request with the key and further header lines.
std::string ask(std::string_view method, std::string_view target,
                std::string_view fields = "", std::string_view body = "",
                std::string_view key = Auth) {
  std::string text(method);
  text.append(" ").append(target).append(" HTTP/1.1\r\nhost: h\r\n");
  return text.append(key).append(fields).append("\r\n").append(body);
}

/// \returns the status of an answer, empty if there is none.
std::string_view statusOf(std::string_view answer) {
  size_t at = answer.find(' ');
  return at == std::string_view::npos ? "" : answer.substr(at + 1, 3);
}

/// Requests that must be refused before the instance sees a byte.
struct RefusedCase {
  std::string_view Name;
  std::string Request;
  std::string_view Status;
  /// The connection must not be used again: its framing is in doubt.
  bool Closes = false;
  std::string_view Limits = {};
};

const RefusedCase RefusedCases[] = {
    {"TwoLengths",
     ask("POST", "/r/x", "content-length: 3\r\ncontent-length: 4\r\n", "abcd"),
     "400", true},
    {"TwoEqualLengths",
     ask("POST", "/r/x", "content-length: 3\r\ncontent-length: 3\r\n", "abc"),
     "400", true},
    {"LengthList", ask("POST", "/r/x", "content-length: 3, 3\r\n", "abc"),
     "400", true},
    {"SignedLength", ask("POST", "/r/x", "content-length: +3\r\n", "abc"),
     "400", true},
    {"HexadecimalLength", ask("POST", "/r/x", "content-length: 0x3\r\n", "abc"),
     "400", true},
    {"LengthWithChunked",
     ask("POST", "/r/x", "content-length: 3\r\ntransfer-encoding: chunked\r\n",
         "0\r\n\r\n"),
     "400", true},
    {"BadChunk",
     ask("POST", "/r/x", "transfer-encoding: chunked\r\n", "zz\r\nabc\r\n"),
     "400", true},
    {"UnknownCoding",
     ask("POST", "/r/x", "transfer-encoding: gzip, chunked\r\n",
         "0\r\n\r\n" + ask("GET", "/r/smuggled")),
     "400", true},
    {"SpaceBeforeColon", ask("POST", "/r/x", "content-length : 3\r\n", "abc"),
     "400", true},
    {"BareCarriageReturn", ask("GET", "/r/x", "user-agent: a\rreferer: b\r\n"),
     "400", true},
    {"FoldedLine", ask("GET", "/r/x", "user-agent: a\r\n referer: b\r\n"),
     "400", true},
    {"TwoIdempotencyKeys",
     ask("POST", "/r/x",
         "content-length: 0\r\nidempotency-key: a\r\nidempotency-key: b\r\n"),
     "400"},
    {"NulInHeader",
     ask("GET", "/r/x", std::string_view("user-agent: a\0b\r\n", 17)), "400",
     true},
    {"ControlByteInValue", ask("GET", "/r/x", "user-agent: a\x01z\r\n"), "400",
     true},
    {"NoHost", "GET /r/x HTTP/1.1\r\n" + std::string(Auth) + "\r\n", "400",
     true},
    {"ControlByteInHost", "GET /r/x HTTP/1.1\r\nhost: a\x01z\r\n\r\n", "400",
     true},
    {"TwoHosts", ask("GET", "/r/x", "host: other\r\n"), "400", true},
    {"UnknownMethod", ask("BREW", "/r/x"), "405", true},
    {"HeadTooLarge",
     ask("GET", "/r/x", "user-agent: " + std::string(40000, 'a') + "\r\n"),
     "431", true},
    {"BodyTooLarge", ask("POST", "/r/x", "content-length: 2000\r\n"), "413",
     true, "body_bytes = 1000"},
    {"UnknownRoute", ask("GET", "/none"), "404"},
    {"NoKey", ask("GET", "/r/x", "", "", ""), "401"},
    {"WrongKey", ask("GET", "/r/x", "x-api-key: other\r\n", "", ""), "401"},
    {"DifferentKeysInHeaders", ask("GET", "/r/x", "x-api-key: other\r\n"),
     "400"},
    {"DifferentKeyInQuery", ask("GET", "/r/x?api_key=other"), "400"},
    {"DifferentAuthorizations",
     ask("GET", "/r/x", "authorization: Bearer other\r\n"), "400"},
    {"BadTimeout", ask("GET", "/r/x", "x-request-timeout-ms: soon\r\n"), "400"},
};

std::ostream &operator<<(std::ostream &out, const RefusedCase &row) {
  return out << row.Name;
}

class EdgeRefused : public testing::TestWithParam<RefusedCase> {};

TEST_P(EdgeRefused, IsNotForwarded) {
  const RefusedCase &row = GetParam();
  EdgeDaemon daemon({.Daemon = "", .Limits = std::string(row.Limits)});
  Wire caller = daemon.dial();
  caller.send(row.Request);
  BackendPlayer backend(daemon);
  backend.play(caller, "GET", {Ok});
  EXPECT_TRUE(backend.Seen.empty()) << backend.Seen.front();
  EXPECT_TRUE(caller.Received.starts_with("HTTP/1.1 "));
  EXPECT_EQ(statusOf(caller.Received), row.Status) << caller.Received;
  EXPECT_NE(caller.Received.find("\"not-run\""), std::string::npos);
  EXPECT_EQ(caller.Received.find(EdgeKey), std::string::npos);
  if (!row.Closes)
    return;
  caller.readToEnd();
  EXPECT_TRUE(caller.Ended);
  EXPECT_EQ(caller.Received.find("HTTP/1.1", 1), std::string::npos)
      << caller.Received;
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeRefused, testing::ValuesIn(RefusedCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Requests that reach the instance.
struct ForwardedCase {
  std::string_view Name;
  std::string_view Method;
  std::string Request;
  BackendScript Script;
  /// Start of the caller's answer.
  std::string_view Status;
  /// Texts that the caller's answer holds or lacks.
  std::vector<std::string_view> Answer = {};
  std::vector<std::string_view> AnswerLacks = {};
  /// Texts that the instance's view holds or lacks.
  std::vector<std::string_view> Seen = {};
  std::vector<std::string_view> SeenLacks = {};
  bool Whole = true;
};

const ForwardedCase ForwardedCases[] = {
    {"KeyInAuthorization", "GET", ask("GET", "/r/x"), {Ok}, "200", {"hello"}},
    {"KeyInOtherCase",
     "GET",
     ask("GET", "/r/x", "", "", "AUTHORIZATION: bearer edge-secret-key\r\n"),
     {Ok},
     "200"},
    {"KeyInXApiKey",
     "GET",
     ask("GET", "/r/x", "", "", "X-Api-Key: edge-secret-key\r\n"),
     {Ok},
     "200",
     {},
     {},
     {},
     {"x-api-key", "X-Api-Key"}},
    {"KeyInQuery",
     "GET",
     ask("GET", "/r/x?a=1&api_key=edge-secret-key&b=2", "", "", ""),
     {Ok},
     "200",
     {},
     {},
     {"/r/x?a=1&b=2 "},
     {"api_key"}},
    {"KeyInEncodedQuery",
     "GET",
     ask("GET", "/r/x?api%5Fkey=edge%2Dsecret-key", "", "", ""),
     {Ok},
     "200",
     {},
     {},
     {"/r/x "}},
    {"KeyInMixedCaseQuery",
     "GET",
     ask("GET", "/r/x?API_Key=edge-secret-key", "", "", ""),
     {Ok},
     "200",
     {},
     {},
     {"/r/x "}},
    {"SameKeyEverywhere",
     "GET",
     ask("GET", "/r/x?api_key=edge-secret-key",
         "authorization: Bearer edge-secret-key\r\n"
         "x-api-key: edge-secret-key\r\n"),
     {Ok},
     "200"},
    {"HostIsForwarded",
     "GET",
     ask("GET", "/r/x", "x-forwarded-host: forged\r\n"),
     {Ok},
     "200",
     {},
     {},
     {"x-forwarded-host: h\r\n"},
     {"forged"}},
    {"CookieIsPassed",
     "GET",
     ask("GET", "/r/x", "cookie: a=b; c=d\r\n"),
     {Ok},
     "200",
     {},
     {},
     {"a=b; c=d"}},
    {"QueryIsPassed",
     "GET",
     ask("GET", "/r/a%20b?q=x%26y&z=%2B"),
     {Ok},
     "200",
     {},
     {},
     {"/r/a%20b?q=x%26y&z=%2B "}},
    {"HopByHop",
     "GET",
     ask("GET", "/r/x",
         "connection: x-request-id, te\r\nx-request-id: 7\r\nte: trailers\r\n"
         "keep-alive: timeout=5\r\nproxy-authorization: Basic eA==\r\n"
         "traceparent: 00-1\r\n"),
     {Ok},
     "200",
     {},
     {},
     {"traceparent: 00-1"},
     {"x-request-id", "trailers", "timeout=5", "Basic"}},
    {"HopByHopAnswer",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: etag\r\n"
      "etag: \"e\"\r\nkeep-alive: timeout=5\r\nvary: accept\r\n\r\nok"},
     "200",
     {"vary: accept"},
     {"etag", "timeout=5"}},
    {"Head",
     "HEAD",
     ask("HEAD", "/r/x"),
     {"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"},
     "200",
     {"content-length: 5"},
     {"chunked"}},
    {"NoContent",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 204 No Content\r\n\r\n"},
     "204",
     {},
     {"chunked", "content-length"}},
    {"NotModified",
     "GET",
     ask("GET", "/r/x", "if-none-match: \"e\"\r\n"),
     {"HTTP/1.1 304 Not Modified\r\netag: \"e\"\r\n\r\n"},
     "304",
     {"etag: \"e\""},
     {"chunked"},
     {"if-none-match: \"e\""}},
    {"Range",
     "GET",
     ask("GET", "/r/x", "range: bytes=1-3\r\nif-range: \"e\"\r\n"),
     {"HTTP/1.1 206 Partial Content\r\ncontent-range: bytes 1-3/5\r\n"
      "content-length: 3\r\n\r\nell"},
     "206",
     {"content-range: bytes 1-3/5", "\r\n\r\nell"},
     {},
     {"range: bytes=1-3", "if-range: \"e\""}},
    {"ExpectContinue",
     "POST",
     ask("POST", "/r/x", "expect: 100-continue\r\ncontent-length: 3\r\n",
         "abc"),
     {Ok},
     "",
     {"HTTP/1.1 200 OK"},
     {},
     {"\r\n\r\nabc"},
     {"expect"}},
    {"EmptyPost",
     "POST",
     ask("POST", "/r/x", "content-length: 0\r\n"),
     {Ok},
     "200",
     {},
     {},
     {"content-length: 0"}},
    {"IdempotencyKeyIsPassed",
     "POST",
     ask("POST", "/r/x", "idempotency-key: i7\r\ncontent-length: 0\r\n"),
     {Ok},
     "200",
     {},
     {},
     {"idempotency-key: i7"}},
    {"TimeLeftIsPassed",
     "GET",
     ask("GET", "/r/x", "x-request-timeout-ms: 3000\r\n"),
     {Ok},
     "200",
     {},
     {},
     {"x-request-timeout-ms: "}},
    {"ChunkedAnswer",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
     "200",
     {"abc"},
     {"content-length"}},
    {"Redirect",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 302 Found\r\nlocation: /r/other\r\ncontent-length: 0\r\n\r\n"},
     "302",
     {"location: /r/other"}},
    {"InterimAnswer",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
      "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"},
     "200",
     {"hello"},
     {"103", "link"}},
    {"ChunkedUpload",
     "POST",
     ask("POST", "/r/x", "transfer-encoding: chunked\r\n",
         "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"),
     {Ok},
     "200",
     {"hello"},
     {},
     {"content-length: 5\r\n", "\r\n\r\nabcde"},
     {"transfer-encoding"}},
    {"PostWithoutBody",
     "POST",
     ask("POST", "/r/x"),
     {Ok},
     "200",
     {},
     {},
     {"content-length: 0\r\n"}},
    {"OldCaller",
     "GET",
     "GET /r/x HTTP/1.0\r\nhost: h\r\n" + std::string(Auth) + "\r\n",
     {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n"},
     "200",
     {"content-length: 5\r\n", "\r\n\r\nhello"},
     {"chunked"}},
    {"MalformedAnswer",
     "GET",
     ask("GET", "/r/x"),
     {"what\r\n\r\n", LaneEnd::Close},
     "502",
     {"answer-incomplete"}},
    {"MalformedAnswerToPost",
     "POST",
     ask("POST", "/r/x", "content-length: 0\r\n"),
     {"what\r\n\r\n", LaneEnd::Close},
     "504",
     {"outcome-unknown"}},
    {"ClosedWithoutAnswer",
     "POST",
     ask("POST", "/r/x", "content-length: 0\r\n"),
     {"", LaneEnd::Close},
     "504",
     {"outcome-unknown"}},
    {"TwoAnswerLengths",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3\r\n\r\nhello",
      LaneEnd::Close},
     "502",
     {"answer-incomplete"}},
    {"TruncatedLength",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello", LaneEnd::Close},
     "",
     {},
     {},
     {},
     {},
     false},
    {"TruncatedChunks",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
      LaneEnd::Close},
     "",
     {},
     {"\r\n0\r\n\r\n"},
     {},
     {},
     false},
    {"UnframedAnswer",
     "GET",
     ask("GET", "/r/x"),
     {"HTTP/1.1 200 OK\r\n\r\nhello", LaneEnd::Close},
     "200",
     {"transfer-encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"},
     {"connection: close"}},
};

std::ostream &operator<<(std::ostream &out, const ForwardedCase &row) {
  return out << row.Name;
}

/// Bytes of a request that never ends.
struct EndlessRequestCase {
  std::string_view Name;
  /// Sent once, then `Rest` again and again.
  std::string Start;
  std::string Rest;
};

const std::string ChunkedStart =
    ask("POST", "/r/x", "transfer-encoding: chunked\r\n");

const EndlessRequestCase EndlessRequests[] = {
    {"StartLine", "GET /", std::string(1000, 'a')},
    {"Head", "GET /r/x HTTP/1.1\r\nx: ", std::string(1000, 'a')},
    {"HeadLines", "GET /r/x HTTP/1.1\r\n", "x-more: of the same\r\n"},
    {"ChunkHeader", ChunkedStart + "5;", std::string(1000, 'a')},
    {"Trailer", ChunkedStart + "1\r\nx\r\n0\r\n", "x-more: of the same\r\n"},
};

std::ostream &operator<<(std::ostream &out, const EndlessRequestCase &row) {
  return out << row.Name;
}

class EndlessRequest : public testing::TestWithParam<EndlessRequestCase> {};

/// What a caller sends without end must not stay in memory.
TEST_P(EndlessRequest, EndsWithTheConnection) {
  constexpr size_t MaxBytes = 64 * 1024 * 1024;
  const EndlessRequestCase &row = GetParam();
  EdgeDaemon daemon;
  Wire caller = daemon.dial();
  caller.send(row.Start);
  std::string part;
  while (part.size() < 16 * 1024)
    part += row.Rest;
  size_t before = daemon.Process->residentBytes();
  size_t sent = 0;
  while (sent < MaxBytes && caller.trySend(part))
    sent += part.size();
  EXPECT_TRUE(daemon.Process->running());
  EXPECT_LT(daemon.Process->residentBytes(), before + MaxBytes / 4) << sent;
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessRequest,
                         testing::ValuesIn(EndlessRequests),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

class EdgeForwarded : public testing::TestWithParam<ForwardedCase> {};

TEST_P(EdgeForwarded, KeepsTheMessage) {
  const ForwardedCase &row = GetParam();
  EdgeDaemon daemon;
  Wire caller = daemon.dial();
  caller.send(row.Request);
  BackendPlayer backend(daemon);
  bool whole = backend.play(caller, row.Method, row.Script);
  ASSERT_FALSE(backend.Seen.empty()) << caller.Received;
  EXPECT_EQ(whole, row.Whole) << caller.Received;
  if (!row.Status.empty()) {
    EXPECT_EQ(statusOf(caller.Received), row.Status) << caller.Received;
  }
  for (std::string_view text : row.Answer)
    EXPECT_NE(caller.Received.find(text), std::string::npos)
        << text << " in " << caller.Received;
  for (std::string_view text : row.AnswerLacks)
    EXPECT_EQ(caller.Received.find(text), std::string::npos)
        << text << " in " << caller.Received;
  if (row.Method == "POST") {
    EXPECT_EQ(backend.Seen.size(), 1u);
  }
  for (const std::string &seen : backend.Seen) {
    EXPECT_EQ(seen.find(EdgeKey), std::string::npos) << seen;
    for (std::string_view text : row.Seen)
      EXPECT_NE(seen.find(text), std::string::npos) << text << " in " << seen;
    for (std::string_view text : row.SeenLacks)
      EXPECT_EQ(seen.find(text), std::string::npos) << text << " in " << seen;
  }
  EXPECT_EQ(daemon.log().find(EdgeKey), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeForwarded,
                         testing::ValuesIn(ForwardedCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A status line of an instance that must never reach a caller.
struct BadStatusCase {
  std::string_view Name;
  std::string_view Status;
};

const BadStatusCase BadStatuses[] = {
    {"Zero", "000"},       {"Below", "099"}, {"Above", "600"},
    {"Highest", "999"},    {"Short", "12"},  {"Long", "1000"},
    {"LongFinal", "2000"}, {"Sign", "-20"},  {"None", ""},
};

std::ostream &operator<<(std::ostream &out, const BadStatusCase &row) {
  return out << row.Name;
}

class EdgeStatus : public testing::TestWithParam<BadStatusCase> {};

/// A caller could take an impossible status for a success.
TEST_P(EdgeStatus, OutsideTheRangeIsNotPassedOn) {
  EdgeDaemon daemon;
  Wire caller = daemon.dial();
  caller.send(ask("GET", "/r/x"));
  std::string answer = "HTTP/1.1 " + std::string(GetParam().Status) +
                       " Z\r\ncontent-length: 5\r\n\r\nhello";
  BackendPlayer backend(daemon);
  backend.play(caller, "GET", {answer});
  EXPECT_EQ(statusOf(caller.Received), "502") << caller.Received;
  EXPECT_EQ(caller.Received.find("hello"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeStatus, testing::ValuesIn(BadStatuses),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Requests in two parts, and what the caller gets.
struct CutRequestCase {
  std::string_view Name;
  std::string_view Method;
  std::string Request;
  /// Bytes of the first part.
  size_t Cut = 0;
};

const std::string CutGet = ask("GET", "/r/x");
const std::string CutPost = ask("POST", "/r/x", "content-length: 3\r\n");

const CutRequestCase CutRequests[] = {
    {"LastLineEnd", "GET", CutGet, CutGet.size() - 1},
    {"LastLineEndBeforeBody", "POST", CutPost + "abc", CutPost.size() - 1},
    {"EmptyLineBefore", "GET", "\r\n" + CutGet, 1},
};

std::ostream &operator<<(std::ostream &out, const CutRequestCase &row) {
  return out << row.Name;
}

class EdgeCut : public testing::TestWithParam<CutRequestCase> {};

/// A head that was split between its last CR and LF was never answered.
TEST_P(EdgeCut, IsAnswered) {
  const CutRequestCase &row = GetParam();
  EdgeDaemon daemon;
  Wire caller = daemon.dial();
  // The daemon answers another connection after it has read the first part.
  caller.send(row.Request.substr(0, row.Cut));
  Wire other = Wire::dial(daemon.readyPort());
  other.send("GET /-/alive HTTP/1.1\r\nhost: h\r\n\r\n");
  EXPECT_TRUE(other.receive());
  caller.send(row.Request.substr(row.Cut));
  BackendPlayer backend(daemon);
  EXPECT_TRUE(backend.play(caller, row.Method, {Ok}));
  EXPECT_EQ(statusOf(caller.Received), "200") << caller.Received;
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeCut, testing::ValuesIn(CutRequests),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A refusal of a request whose id is not UTF-8 ended the process: its body is
/// JSON. Both encodings of the log have the id, too.
class EdgeForeignId : public testing::TestWithParam<std::string_view> {};

TEST_P(EdgeForeignId, IsRefused) {
  EdgeDaemon daemon(
      {.Daemon = "log_format = \"" + std::string(GetParam()) + "\""});
  for (std::string_view id : {"Pe\xf1"
                              "a",
                              "\xff\xfe", "\xc3"}) {
    Wire caller = daemon.dial();
    caller.send(
        ask("GET", "/none", "x-request-id: " + std::string(id) + "\r\n"));
    while (!wholeAnswer(caller.Received, "GET") && caller.receive()) {
    }
    EXPECT_EQ(statusOf(caller.Received), "404") << caller.Received;
    EXPECT_NE(caller.Received.find("x-request-id: " + std::string(id)),
              std::string::npos);
  }
  EXPECT_TRUE(daemon.Process->running());
}

INSTANTIATE_TEST_SUITE_P(Formats, EdgeForeignId,
                         testing::Values("text", "json"),
                         [](const auto &it) { return std::string(it.param); });

} // namespace

} // namespace guavasail
