#include "http_reader.h"

#include <gtest/gtest.h>

namespace guavasail {

namespace {

/// A message, and what it is read as, however its bytes are cut.
struct ReadCase {
  std::string_view Name;
  MessageKind Kind;
  std::string_view Bytes;
  std::string_view Body = {};
  /// Bytes behind the message.
  std::string_view Rest = {};
  ReadFault Fault = ReadFault::None;
  /// Declared length, -1 if there is none.
  int64_t Length = -1;
  bool Chunked = false;
  bool UntilClose = false;
  uint32_t HeadBytes = 16 * 1024;
};

constexpr MessageKind Request = MessageKind::Request;
constexpr MessageKind Answer = MessageKind::Answer;

const ReadCase Cases[] = {
    {"Get", Request, "GET /a HTTP/1.1\r\nhost: h\r\n\r\n"},
    {"LengthBody",
     Request,
     "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nabcde",
     "abcde",
     {},
     ReadFault::None,
     5},
    {"ChunkedBody",
     Request,
     "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: v\r\n\r\n",
     "abcde",
     {},
     ReadFault::None,
     -1,
     true},
    {"PipelinedRequest", Request,
     "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nabGET /b ", "ab",
     "GET /b ", ReadFault::None, 2},
    {"TwoLengths",
     Request,
     "POST /a HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\nabcde",
     {},
     {},
     ReadFault::Malformed},
    {"EqualLengths",
     Request,
     "POST /a HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nabcde",
     {},
     {},
     ReadFault::Malformed},
    {"LengthList",
     Request,
     "POST /a HTTP/1.1\r\ncontent-length: 5, 5\r\n\r\nabcde",
     {},
     {},
     ReadFault::Malformed},
    {"LengthAndChunked",
     Request,
     "POST /a HTTP/1.1\r\ncontent-length: 5\r\n"
     "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"UnknownCoding",
     Request,
     "POST /a HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n0\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"TwoCodings",
     Request,
     "POST /a HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"BadChunk",
     Request,
     "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"SpaceBeforeColon",
     Request,
     "GET /a HTTP/1.1\r\nx-a : b\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"FoldedLine",
     Request,
     "GET /a HTTP/1.1\r\nx-a: b\r\n c\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"BareCarriageReturn",
     Request,
     "GET /a HTTP/1.1\r\nx-a: b\rc: d\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"HeadTooLarge",
     Request,
     "GET /aaaaaaaaaaaaaaaaaaaa HTTP/1.1\r\n\r\n",
     {},
     {},
     ReadFault::HeadTooLarge,
     -1,
     false,
     false,
     16},
    // A line end in front of a request is skipped, that at the end of its head
    // is not: a head cut between its last CR and LF was never whole.
    {"EmptyLinesBefore", Request, "\r\n\r\nGET /a HTTP/1.1\r\nhost: h\r\n\r\n"},
    {"EmptyLinesBeforeBody",
     Request,
     "\r\nPOST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nab",
     "ab",
     {},
     ReadFault::None,
     2},
    {"TooManyEmptyLines",
     Request,
     "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"
     "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"
     "GET /a HTTP/1.1\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    // A body whose bytes look like a folded line was refused after such a cut.
    {"BodyLikeFoldedLine",
     Request,
     "POST /a HTTP/1.1\r\ncontent-length: 5\r\n\r\na\r\n b",
     "a\r\n b",
     {},
     ReadFault::None,
     5},
    {"StatusZero",
     Answer,
     "HTTP/1.1 000 Z\r\ncontent-length: 0\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"StatusBelow",
     Answer,
     "HTTP/1.1 099 Z\r\ncontent-length: 0\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"StatusAbove",
     Answer,
     "HTTP/1.1 600 Z\r\ncontent-length: 0\r\n\r\n",
     {},
     {},
     ReadFault::Malformed},
    {"Unframed",
     Answer,
     "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\nabc",
     "abc",
     {},
     ReadFault::None,
     -1,
     false,
     true},
    {"NoContent", Answer, "HTTP/1.1 204 No Content\r\n\r\nHTTP", {}, "HTTP"},
    {"ExtraBytes", Answer, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabcd",
     "ab", "cd", ReadFault::None, 2},
    {"NotAnAnswer", Answer, "what\r\n\r\n", {}, {}, ReadFault::Malformed},
    {"TwoAnswerLengths",
     Answer,
     "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc",
     {},
     {},
     ReadFault::Malformed},
};

std::ostream &operator<<(std::ostream &out, const ReadCase &row) {
  return out << row.Name;
}

class HttpReaderCuts : public testing::TestWithParam<ReadCase> {};

/// Feeds the message in two parts; the head is looked at between them, as the
/// edges do.
void readCut(const ReadCase &row, size_t cut) {
  std::string body;
  HttpReader reader(row.Kind, {row.HeadBytes, UINT64_MAX}, body);
  std::string in(row.Bytes.substr(0, cut));
  std::optional<uint64_t> length;
  in.erase(0, reader.feed(in));
  if (reader.headRead())
    length = reader.head().Length;
  bool early = reader.headRead();
  in.append(row.Bytes.substr(cut));
  in.erase(0, reader.feed(in));
  if (row.Fault == ReadFault::None && !early)
    length = reader.head().Length;
  SCOPED_TRACE(cut);
  ASSERT_EQ(reader.fault(), row.Fault);
  if (row.Fault != ReadFault::None)
    return;
  EXPECT_EQ(reader.endsWithConnection(), row.UntilClose);
  reader.end();
  EXPECT_TRUE(reader.whole());
  EXPECT_EQ(body, row.Body);
  EXPECT_EQ(in, row.Rest);
  EXPECT_EQ(length ? static_cast<int64_t>(*length) : -1, row.Length);
  EXPECT_EQ(reader.head().Chunked, row.Chunked);
}

TEST_P(HttpReaderCuts, DoNotMatter) {
  for (size_t cut = 0; cut <= GetParam().Bytes.size(); ++cut)
    readCut(GetParam(), cut);
}

INSTANTIATE_TEST_SUITE_P(Table, HttpReaderCuts, testing::ValuesIn(Cases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Messages that end with their connection before they are whole.
const ReadCase Broken[] = {
    {"Head", Answer, "HTTP/1.1 200 OK\r\n"},
    {"Length", Answer, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc"},
    {"Chunks", Answer,
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"},
    {"Request", Request, "POST /a HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc"},
};

class HttpReaderEnd : public testing::TestWithParam<ReadCase> {};

TEST_P(HttpReaderEnd, IsNotWhole) {
  std::string body;
  HttpReader reader(GetParam().Kind, {}, body);
  reader.feed(GetParam().Bytes);
  reader.end();
  EXPECT_FALSE(reader.whole());
  EXPECT_EQ(reader.fault(), ReadFault::Malformed);
}

INSTANTIATE_TEST_SUITE_P(Table, HttpReaderEnd, testing::ValuesIn(Broken),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
