#include "peer_codec_check.h"

#include <array>

namespace guavasail {

namespace {

constexpr size_t MaxDepth = 8;
constexpr uint64_t MaxElements = 16384;

/// Major types of RFC 8949.
enum class MajorType : uint8_t {
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple,
};

/// The head of one item.
struct Head {
  MajorType Type = MajorType::Unsigned;
  /// Value, length or count.
  uint64_t Argument = 0;
};

/// Reads heads one after the other.
class HeadReader {
public:
  explicit HeadReader(std::span<const uint8_t> bytes) : Rest(bytes) {}

  [[nodiscard]] bool empty() const { return Rest.empty(); }

  /// \returns the next head, or nothing if it is cut short or not accepted.
  std::optional<Head> next() {
    constexpr uint8_t InfoMask = 0x1f;
    constexpr uint8_t FirstLongInfo = 24;
    constexpr uint8_t LastLongInfo = 27;
    if (Rest.empty())
      return std::nullopt;
    uint8_t first = Rest.front();
    Rest = Rest.subspan(1);
    Head head{static_cast<MajorType>(first >> 5),
              static_cast<uint64_t>(first & InfoMask)};
    if (head.Argument < FirstLongInfo)
      return head;
    if (head.Argument > LastLongInfo)
      return std::nullopt;
    size_t n = size_t{1} << (head.Argument - FirstLongInfo);
    if (Rest.size() < n)
      return std::nullopt;
    head.Argument = 0;
    for (uint8_t byte : Rest.first(n))
      head.Argument = head.Argument << 8 | byte;
    Rest = Rest.subspan(n);
    return head;
  }

  /// \returns false if fewer than \p n bytes are left.
  bool skip(uint64_t n) {
    if (Rest.size() < n)
      return false;
    Rest = Rest.subspan(static_cast<size_t>(n));
    return true;
  }

private:
  std::span<const uint8_t> Rest;
};

/// Counts open containers and their missing elements.
class Nesting {
public:
  /// Notes an element that is complete.
  void closeElement() {
    while (Depth > 0 && --Missing[Depth - 1] == 0)
      --Depth;
  }

  /// Opens a container.
  std::optional<PeerDecodeFault> open(uint64_t elements) {
    if (elements > MaxElements || (Total += elements) > MaxElements)
      return PeerDecodeFault::TooManyElements;
    if (Depth == MaxDepth)
      return PeerDecodeFault::TooDeep;
    if (elements == 0)
      closeElement();
    else
      Missing[Depth++] = elements;
    return std::nullopt;
  }

  [[nodiscard]] bool done() const { return Depth == 0; }

private:
  std::array<uint64_t, MaxDepth> Missing{};
  size_t Depth = 0;
  uint64_t Total = 0;
};

std::optional<PeerDecodeFault> checkItem(HeadReader &reader, Nesting &nesting) {
  std::optional<Head> head = reader.next();
  if (!head)
    return PeerDecodeFault::Malformed;
  switch (head->Type) {
  case MajorType::Array:
    return nesting.open(head->Argument);
  case MajorType::Map:
    // The bound comes first, so that doubling cannot overflow.
    if (head->Argument > MaxElements)
      return PeerDecodeFault::TooManyElements;
    return nesting.open(2 * head->Argument);
  case MajorType::Tag:
    return PeerDecodeFault::Malformed;
  case MajorType::Bytes:
  case MajorType::Text:
    if (!reader.skip(head->Argument))
      return PeerDecodeFault::Malformed;
    break;
  case MajorType::Unsigned:
  case MajorType::Negative:
  case MajorType::Simple:
    break;
  }
  nesting.closeElement();
  return std::nullopt;
}

} // namespace

std::optional<PeerDecodeFault> checkStructure(std::span<const uint8_t> bytes) {
  if (bytes.size() > MaxPeerMessageBytes)
    return PeerDecodeFault::TooLarge;
  HeadReader reader(bytes);
  Nesting nesting;
  do {
    if (auto fault = checkItem(reader, nesting))
      return fault;
  } while (!nesting.done());
  if (!reader.empty())
    return PeerDecodeFault::Malformed;
  return std::nullopt;
}

} // namespace guavasail
