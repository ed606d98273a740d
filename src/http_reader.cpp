#include "http_reader.h"

#include "http_text.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>

namespace guavasail {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LengthHeader = "content-length:";
constexpr std::string_view CodingHeader = "transfer-encoding:";
constexpr std::string_view ChunkedCoding = "chunked";
constexpr uint32_t FirstFinalStatus = 200;
constexpr uint32_t LastStatus = 599;
constexpr std::string_view LineEnd = "\r\n";
/// Empty lines that may precede a request. RFC 9112 asks for one at least.
constexpr uint32_t MaxEmptyLines = 32;
/// Bytes of a head, a chunk header or trailers that wait for their end.
constexpr size_t MaxPartialBytes = 64 * 1024;

std::string_view view(string_view text) { return {text.data(), text.size()}; }

/// \returns true if a header line goes on in the next one. The parser accepts
/// such lines, and recipients differ in how they read them.
bool hasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// \returns true if \p head frames its body in one way only.
bool framedOnce(const MessageHead &head) {
  size_t codings = head.count(CodingHeader);
  // The parser takes a list of equal lengths for one of them.
  std::string_view length = head.field(LengthHeader);
  bool listed =
      length.find_first_not_of("0123456789") != std::string_view::npos;
  if (codings == 0)
    return head.count(LengthHeader) <= 1 && !listed;
  return codings == 1 && head.count(LengthHeader) == 0 &&
         equalIgnoringCase(head.field(CodingHeader), ChunkedCoding);
}

ReadFault faultOf(const error_code &ec) {
  if (ec == http::error::header_limit)
    return ReadFault::HeadTooLarge;
  if (ec == http::error::body_limit)
    return ReadFault::BodyTooLarge;
  return ReadFault::Malformed;
}

} // namespace

std::string_view MessageHead::field(std::string_view name) const {
  for (const HeaderField &it : Fields)
    if (equalIgnoringCase(it.Name, name))
      return it.Value;
  return {};
}

size_t MessageHead::count(std::string_view name) const {
  size_t n = 0;
  for (const HeaderField &it : Fields)
    n += equalIgnoringCase(it.Name, name) ? 1 : 0;
  return n;
}

struct HttpReader::Impl {
  explicit Impl(std::string &body) : Body(body) {}
  virtual ~Impl() = default;
  virtual size_t put(std::string_view bytes, error_code &ec) = 0;
  virtual void putEnd(error_code &ec) = 0;
  virtual void skipBody() = 0;
  [[nodiscard]] virtual bool headDone() const = 0;
  [[nodiscard]] virtual bool done() const = 0;
  [[nodiscard]] virtual bool needsEnd() const = 0;

  MessageHead Head;
  std::string &Body;
  ReadFault Fault = ReadFault::None;
  /// The first byte of the message was seen, so that a line end belongs to it.
  bool Begun = false;
  uint32_t EmptyLines = 0;
  /// Bytes not used yet in which no folded line was found.
  size_t Checked = 0;
};

/// Fills the head and the body from the library's parser.
template <bool IsRequest>
struct HttpReader::Parser : Impl, http::basic_parser<IsRequest> {
  using Base = http::basic_parser<IsRequest>;

  Parser(const ReadLimits &limits, std::string &body) : Impl(body) {
    this->eager(true);
    this->header_limit(limits.HeadBytes);
    this->body_limit(limits.BodyBytes);
  }

  size_t put(std::string_view bytes, error_code &ec) override {
    return Base::put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  }
  void putEnd(error_code &ec) override { Base::put_eof(ec); }
  void skipBody() override { this->skip(true); }
  [[nodiscard]] bool headDone() const override {
    return this->is_header_done();
  }
  [[nodiscard]] bool done() const override { return this->is_done(); }
  [[nodiscard]] bool needsEnd() const override { return this->need_eof(); }

  void on_request_impl(http::verb, string_view method, string_view target,
                       int version, error_code &) override {
    Head.Method = view(method);
    Head.Target = view(target);
    Head.Version = version;
  }
  void on_response_impl(int status, string_view, int version,
                        error_code &ec) override {
    Head.Status = static_cast<uint32_t>(status);
    Head.Version = version;
    if (Head.Status < 100 || Head.Status > LastStatus)
      ec = http::error::bad_status;
  }
  void on_field_impl(http::field, string_view name, string_view value,
                     error_code &) override {
    // Trailer fields are not passed on.
    if (this->is_header_done())
      return;
    Head.Fields.push_back(
        {std::string(view(name)) + ":", std::string(view(value))});
  }
  void on_header_impl(error_code &ec) override {
    if (!framedOnce(Head))
      ec = http::error::bad_transfer_encoding;
    Head.Chunked = this->chunked();
    if (auto length = this->content_length())
      Head.Length = *length;
    Head.KeepAlive = this->keep_alive();
  }
  // Called only once body bytes have come; the length is known before.
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         error_code &) override {}
  size_t on_body_impl(string_view body, error_code &) override {
    Body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override {
  }
  size_t on_chunk_body_impl(std::uint64_t, string_view body,
                            error_code &) override {
    Body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(error_code &) override {}
};

HttpReader::HttpReader(MessageKind kind, const ReadLimits &limits,
                       std::string &body) {
  if (kind == MessageKind::Request)
    State = std::make_unique<Parser<true>>(limits, body);
  else
    State = std::make_unique<Parser<false>>(limits, body);
  State->Begun = kind == MessageKind::Answer;
}

HttpReader::~HttpReader() = default;

void HttpReader::expectNoBody() { State->skipBody(); }

size_t HttpReader::feed(std::string_view bytes) {
  if (State->Fault != ReadFault::None || State->done() || bytes.empty())
    return 0;
  size_t blank = State->Begun ? 0 : skipEmptyLines(bytes);
  bytes.remove_prefix(blank);
  if (!State->Begun)
    return blank;
  if (!State->headDone() && foldsLine(bytes)) {
    State->Fault = ReadFault::Malformed;
    return blank;
  }
  error_code ec;
  size_t n = State->put(bytes, ec);
  State->Checked = bytes.size() - n;
  if (ec && ec != http::error::need_more)
    State->Fault = faultOf(ec);
  else if (!State->done() && bytes.size() - n > MaxPartialBytes)
    State->Fault =
        State->headDone() ? ReadFault::Malformed : ReadFault::HeadTooLarge;
  return blank + n;
}

/// Skips empty lines before the message. Once it has begun, a line end is part
/// of it: the parser may have used all of a head but its last line end.
/// \returns the number of bytes skipped.
size_t HttpReader::skipEmptyLines(std::string_view bytes) {
  size_t n = 0;
  for (; bytes.substr(n).starts_with(LineEnd); n += LineEnd.size())
    ++State->EmptyLines;
  if (State->EmptyLines > MaxEmptyLines)
    State->Fault = ReadFault::Malformed;
  std::string_view rest = bytes.substr(n);
  State->Begun = State->Fault == ReadFault::None && !rest.empty() &&
                 rest != LineEnd.substr(0, 1);
  return n;
}

/// Looks at each byte of a head once, however it is cut.
/// \returns true if \p bytes hold a header line that goes on in the next one.
bool HttpReader::foldsLine(std::string_view bytes) const {
  // Behind the last header line comes the body.
  if (bytes.starts_with(LineEnd))
    return false;
  // The end of a head and of a line may have been cut.
  size_t from = State->Checked - std::min(State->Checked, HeadEnd.size() - 1);
  from = std::min(from, bytes.size());
  return hasFoldedLine(bytes.substr(0, bytes.find(HeadEnd, from)).substr(from));
}

void HttpReader::end() {
  if (State->done() || State->Fault != ReadFault::None)
    return;
  error_code ec;
  if (!State->headDone() || !State->needsEnd())
    State->Fault = ReadFault::Malformed;
  else
    State->putEnd(ec);
  if (ec)
    State->Fault = faultOf(ec);
}

bool HttpReader::headRead() const { return State->headDone(); }
bool HttpReader::whole() const {
  return State->done() && State->Fault == ReadFault::None;
}
ReadFault HttpReader::fault() const { return State->Fault; }
bool HttpReader::endsWithConnection() const {
  return State->headDone() && !State->done() && State->needsEnd();
}
MessageHead &HttpReader::head() { return State->Head; }

} // namespace guavasail
