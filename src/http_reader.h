/// \file
/// Reads one HTTP/1 message from bytes as they arrive.
#ifndef GUAVASAIL_SRC_HTTP_READER_H
#define GUAVASAIL_SRC_HTTP_READER_H

#include "exchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// Why a message cannot be read on.
enum class ReadFault : uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

enum class MessageKind : uint8_t { Request, Answer };

/// Bounds of one message, in bytes.
struct ReadLimits {
  uint32_t HeadBytes = 16 * 1024;
  uint64_t BodyBytes = UINT64_MAX;
};

/// Start line, framing and headers of a message.
struct MessageHead {
  /// Of a request.
  std::string Method;
  std::string Target;
  /// Of an answer.
  uint32_t Status = 0;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int Version = 11;
  std::vector<HeaderField> Fields;
  /// Declared body length in bytes.
  std::optional<uint64_t> Length;
  bool Chunked = false;
  /// The sender keeps the connection open after the message.
  bool KeepAlive = true;

  /// \returns the first value of \p name, which ends with a colon; empty if
  /// there is none.
  [[nodiscard]] std::string_view field(std::string_view name) const;
  /// \returns the number of lines called \p name.
  [[nodiscard]] size_t count(std::string_view name) const;
};

/// Reads one message. The body is appended to a string of the caller's.
class HttpReader {
public:
  /// \param kind what is read.
  /// \param limits larger messages end in a fault.
  /// \param body receives the body's bytes without their framing.
  HttpReader(MessageKind kind, const ReadLimits &limits, std::string &body);
  ~HttpReader();
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// The answer has no body whatever its head says, as after HEAD.
  void expectNoBody();

  /// Reads on.
  /// \returns the number of bytes that were used; the others have to be given
  /// again, with more bytes behind them.
  size_t feed(std::string_view bytes);

  /// The peer closed the connection in order: an answer without a length is
  /// whole by that, any other unfinished message is malformed.
  void end();

  [[nodiscard]] bool headRead() const;
  [[nodiscard]] bool whole() const;
  [[nodiscard]] ReadFault fault() const;
  /// \returns true if only the end of the connection ends the body.
  [[nodiscard]] bool endsWithConnection() const;
  /// \returns the head; complete once `headRead`.
  MessageHead &head();

private:
  size_t skipEmptyLines(std::string_view bytes);
  [[nodiscard]] bool foldsLine(std::string_view bytes) const;

  struct Impl;
  template <bool IsRequest> struct Parser;
  std::unique_ptr<Impl> State;
};

} // namespace guavasail

#endif
