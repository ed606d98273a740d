/// \file
/// One HTTP request with its answer, shared by the caller's side and the
/// backend server's side of the process.
#ifndef GUAVASAIL_SRC_EXCHANGE_H
#define GUAVASAIL_SRC_EXCHANGE_H

#include "buffer_budget.h"
#include "guavasail/event.h"
#include "guavasail/handle.h"
#include "guavasail/refusal.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// One header line. The name ends with a colon.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// Status line and headers of an answer.
struct AnswerHead {
  uint32_t Status = 0;
  /// Declared body length in bytes.
  std::optional<uint64_t> Length;
  /// The body ends with a chunk of its own.
  bool Chunked = false;
  std::vector<HeaderField> Fields;
};

/// Bytes with a read position. Memory is used again once all bytes are read, or
/// most of them, so that each byte is moved a bounded number of times.
class ByteQueue {
public:
  void append(std::string_view bytes) {
    if (At > Bytes.size() / 2) {
      Bytes.erase(0, At);
      At = 0;
    }
    Bytes.append(bytes);
  }

  [[nodiscard]] std::string_view unread() const {
    return std::string_view(Bytes).substr(At);
  }

  void consume(size_t n) {
    At += n;
    if (At < Bytes.size())
      return;
    Bytes.clear();
    At = 0;
  }

  void clear() {
    Bytes.clear();
    At = 0;
  }

  /// Frees the memory of an empty queue that has more than \p bytes.
  void trim(size_t bytes) {
    if (At == Bytes.size() && Bytes.capacity() > bytes)
      Bytes = std::string();
  }

private:
  std::string Bytes;
  size_t At = 0;
};

/// One attempt's call to a backend server.
struct BackendCall {
  AttemptHandle Attempt;
  /// Connection of the back end; null once the call ended.
  void *Connection = nullptr;
  AnswerHead Head;
  ByteQueue Answer;
  /// Time left for the request when the attempt was started.
  std::chrono::milliseconds Remaining{};
  /// Name of the caller's workspace, empty if it has none.
  std::string Workspace;
  /// Copy of a short body, for `Exchange::KeepAnswer`.
  std::string Kept;
  /// Body bytes of the answer received so far.
  uint64_t AnswerBytes = 0;
  /// Body bytes of the request sent so far.
  uint64_t SentBytes = 0;
  /// Reading is stopped until the caller takes more.
  bool Paused = false;
};

/// What the caller's side has to do next.
enum class AnswerStage : uint8_t {
  Waiting,
  Head,
  Body,
  /// All is written; the connection ends once the system has taken it.
  Written,
  Broken,
  Refusal
};

/// One request in progress.
struct Exchange {
  RequestHandle Handle;
  bool InUse = false;
  /// Connection or stream of the front end; null once the caller is gone.
  void *Caller = nullptr;
  /// The caller's own name for the request, empty if it gave none.
  std::string CallerId;

  std::string Method;
  std::string Path;
  /// Path and query as sent to the backend server, without the key.
  std::string Target;
  std::string Host;
  /// Host without its port, in lower case.
  std::string HostName;
  std::vector<HeaderField> Fields;
  /// Declared length of the body; of a chunked one, the bytes received so far.
  uint64_t BodyBytes = 0;
  /// The body came in chunks and its length was not declared.
  bool BodyChunked = false;
  /// The whole request was read.
  bool RequestWhole = false;
  /// The method allows a body, or the caller sent one.
  bool MayHaveBody = false;
  /// Received part of the body, from byte `BodyBase` on.
  std::string Body;
  uint64_t BodyBase = 0;
  bool BodyPaused = false;
  /// The caller waits for leave to send the body.
  bool ExpectsContinue = false;
  /// HTTP/1.0: the answer must not be chunked.
  bool OldCaller = false;
  /// The connection ends with the answer: the caller asked for that, or speaks
  /// HTTP/1.0.
  bool LastOnConnection = false;
  /// The end of the request is in doubt: the connection is not used again.
  bool FramingInDoubt = false;

  /// The arrival, held back until the body is read, if the body belongs to
  /// the request's fingerprint.
  std::optional<RequestArrived> Held;
  /// A short answer in the form that records keep.
  std::string Kept;
  /// The answer is kept for a repeated request.
  bool KeepAnswer = false;

  AnswerStage Stage = AnswerStage::Waiting;
  bool AnswerWhole = false;
  bool AnswerChunked = false;
  /// Only the end of the connection ends the body.
  bool AnswerUntilClose = false;
  RefusalKind Refusal = RefusalKind::NoInstance;
  Duration RetryAfter{};
  std::vector<std::unique_ptr<BackendCall>> Calls;
  BackendCall *Source = nullptr;
  /// Bytes buffered for the request, where the front end counts by request.
  BufferHolder Buffers;

  /// \returns the bytes of its body and its answers that are in memory.
  [[nodiscard]] uint64_t bufferedBytes() const {
    uint64_t n = Body.size();
    for (const auto &it : Calls)
      n += it->Answer.unread().size() + it->Kept.size();
    return n;
  }

  /// \returns the call of \p attempt, or null.
  BackendCall *call(AttemptHandle attempt) {
    for (const auto &it : Calls)
      if (it->Attempt == attempt)
        return it.get();
    return nullptr;
  }

  /// Chooses how the answer's body ends for the caller. HTTP/1.0 knows nothing
  /// but a length and the end of the connection.
  /// \param bodyless the answer has no body, whatever its head says.
  /// \param framedByProtocol the caller's protocol marks the end of each body,
  /// as HTTP/2 does.
  void frameAnswer(bool bodyless, bool framedByProtocol) {
    bool framed = bodyless || framedByProtocol || Source->Head.Length;
    AnswerChunked = !framed && !OldCaller;
    AnswerUntilClose = !framed && OldCaller;
  }

  /// \returns the number of body bytes received so far.
  [[nodiscard]] uint64_t receivedBytes() const {
    return BodyBase + Body.size();
  }

  /// \returns true if nothing of the request is left to read.
  [[nodiscard]] bool bodyRead() const {
    return BodyChunked ? RequestWhole : receivedBytes() >= BodyBytes;
  }
};

/// Exchanges by handle. Entries stay in place and are used again.
class ExchangeTable {
public:
  /// \returns a fresh exchange.
  Exchange &open() {
    if (FreeIndexes.empty()) {
      FreeIndexes.push_back(static_cast<uint32_t>(Items.size()));
      Items.emplace_back();
    }
    uint32_t index = FreeIndexes.back();
    FreeIndexes.pop_back();
    Exchange &exchange = Items[index];
    exchange.Handle = {index, exchange.Handle.Generation + 1};
    exchange.InUse = true;
    ++Open;
    return exchange;
  }

  /// \returns the exchange, or null if it ended.
  Exchange *find(RequestHandle handle) {
    if (handle.Index >= Items.size())
      return nullptr;
    Exchange &exchange = Items[handle.Index];
    return exchange.InUse && exchange.Handle == handle ? &exchange : nullptr;
  }

  /// Ends an exchange. Its views stay valid until `recycle`.
  void close(Exchange &exchange) {
    exchange.InUse = false;
    Closed.push_back(exchange.Handle.Index);
    --Open;
  }

  /// Makes closed exchanges available again and frees what they hold.
  void recycle() {
    for (uint32_t index : Closed) {
      RequestHandle handle = Items[index].Handle;
      Items[index] = Exchange{};
      Items[index].Handle = handle;
    }
    FreeIndexes.insert(FreeIndexes.end(), Closed.begin(), Closed.end());
    Closed.clear();
  }

  [[nodiscard]] uint32_t openCount() const { return Open; }

private:
  std::deque<Exchange> Items;
  std::vector<uint32_t> FreeIndexes;
  std::vector<uint32_t> Closed;
  uint32_t Open = 0;
};

} // namespace guavasail

#endif
