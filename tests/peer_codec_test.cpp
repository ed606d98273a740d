#include "peer_codec_cbor.h"
#include "peer_codec_value.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <type_traits>

namespace guavasail {

namespace {

enum class Shade : uint8_t { Light, Dark };

/// Has a member of every type that rows may name.
struct InnerSample {
  Shade Tint = Shade::Light;
  int64_t Offset = 0;
};

struct Sample {
  bool Flag = false;
  uint8_t Small = 0;
  uint64_t Large = 0;
  Duration Length{};
  Digest Mark;
  std::string Text;
  std::vector<uint8_t> Blob;
  InnerSample Inner;
  std::vector<InnerSample> Items;
  std::vector<uint32_t> Numbers;
};

} // namespace

template <> inline constexpr uint64_t PeerEnumCount<Shade> = 2;

template <> struct PeerFields<InnerSample> {
  static constexpr std::tuple Members{&InnerSample::Tint, &InnerSample::Offset};
};

template <> struct PeerFields<Sample> {
  static constexpr std::tuple Members{
      &Sample::Flag,  &Sample::Small,  &Sample::Large, &Sample::Length,
      &Sample::Mark,  &Sample::Text,   &Sample::Blob,  &Sample::Inner,
      &Sample::Items, &Sample::Numbers};
};

namespace {

using Bytes = std::vector<uint8_t>;
using Json = nlohmann::json;

// Generators follow the same rows as the codec.

template <typename T> T arbitraryValue();

template <typename T> T arbitraryStruct() {
  T value;
  std::apply(
      [&](auto... member) {
        ((value.*member =
              arbitraryValue<std::remove_cvref_t<decltype(value.*member)>>()),
         ...);
      },
      PeerFields<T>::Members);
  return value;
}

template <typename T> struct VectorItem;
template <typename T> struct VectorItem<std::vector<T>> { using Type = T; };

template <typename T> T arbitraryVector() {
  constexpr size_t MostItems = 6;
  T values(*rc::gen::inRange<size_t>(0, MostItems));
  for (auto &value : values)
    value = arbitraryValue<typename VectorItem<T>::Type>();
  return values;
}

template <typename T> T arbitraryValue() {
  if constexpr (std::is_same_v<T, Duration>)
    return Duration(*rc::gen::arbitrary<int64_t>());
  else if constexpr (std::is_same_v<T, Digest>)
    return {*rc::gen::arbitrary<std::array<uint8_t, 16>>()};
  else if constexpr (std::is_enum_v<T>)
    return static_cast<T>(*rc::gen::inRange<uint64_t>(0, PeerEnumCount<T>));
  else if constexpr (std::is_integral_v<T> || std::is_same_v<T, std::string>)
    return *rc::gen::arbitrary<T>();
  else if constexpr (requires { PeerFields<T>::Members; })
    return arbitraryStruct<T>();
  else
    return arbitraryVector<T>();
}

template <size_t... Index>
PeerBody arbitraryBody(std::index_sequence<Index...>) {
  using Make = PeerBody (*)();
  static constexpr Make Makers[] = {+[]() -> PeerBody {
    return arbitraryStruct<std::variant_alternative_t<Index, PeerBody>>();
  }...};
  return Makers[*rc::gen::inRange<size_t>(0, sizeof...(Index))]();
}

PeerBody arbitraryBody() {
  return arbitraryBody(
      std::make_index_sequence<std::variant_size_v<PeerBody>>());
}

// Comparison by the same rows.

template <typename T> bool equal(const T &left, const T &right) {
  if constexpr (requires { PeerFields<T>::Members; })
    return std::apply(
        [&](auto... member) {
          return (equal(left.*member, right.*member) && ...);
        },
        PeerFields<T>::Members);
  else if constexpr (requires { typename VectorItem<T>::Type; })
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto &a, const auto &b) { return equal(a, b); });
  else
    return left == right;
}

template <typename T> class PeerMessageCodec : public testing::Test {};

template <typename Variant> struct TypesOf;
template <typename... T> struct TypesOf<std::variant<T...>> {
  using Type = testing::Types<T...>;
};
using AllMessages = TypesOf<PeerBody>::Type;

TYPED_TEST_SUITE(PeerMessageCodec, AllMessages);

TYPED_TEST(PeerMessageCodec, RoundTrips) {
  bool held = rc::check([] {
    auto message = arbitraryStruct<TypeParam>();
    Bytes bytes;
    size_t n = encode(PeerBody(message), bytes);
    RC_ASSERT(n == bytes.size());
    auto back = decode(bytes);
    RC_ASSERT(back.has_value());
    const auto *read = std::get_if<TypeParam>(&back.value());
    RC_ASSERT(read);
    RC_ASSERT(equal(message, *read));
  });
  EXPECT_TRUE(held);
}

RC_GTEST_PROP(PeerCodecValues, EveryTypeRoundTrips, ()) {
  auto sample = arbitraryStruct<Sample>();
  Bytes bytes = Json::to_cbor(codec::write(sample));
  Sample back;
  auto fault = codec::read(Json::from_cbor(bytes), back);
  RC_ASSERT(!fault.has_value());
  RC_ASSERT(equal(sample, back));
}

/// A later version appends an element; an earlier one lacks the last.
TYPED_TEST(PeerMessageCodec, UnderstandsTheNextAndThePreviousVersion) {
  Bytes bytes;
  encode(PeerBody(TypeParam{}), bytes);
  Json list = Json::from_cbor(bytes);
  Json longer = list;
  longer[0] = PeerProtocolLatest;
  longer.push_back({{"unknown", 1.5}});
  EXPECT_TRUE(decode(Json::to_cbor(longer)).has_value());
  if (list.size() > 2)
    list.erase(list.size() - 1);
  auto shorter = decode(Json::to_cbor(list));
  ASSERT_TRUE(shorter.has_value());
  Bytes again;
  encode(shorter.value(), again);
  EXPECT_EQ(again, bytes);
}

RC_GTEST_PROP(PeerCodecFuzz, RandomBytesNeverBreakTheReader,
              (const Bytes &bytes)) {
  auto result = decode(bytes);
  RC_ASSERT(result.has_value() ||
            !peerDecodeFaultName(result.error().Fault).empty());
}

RC_GTEST_PROP(PeerCodecFuzz, MutatedMessagesAreReadOrRefused, ()) {
  Bytes bytes;
  encode(arbitraryBody(), bytes);
  auto changes = *rc::gen::inRange(1, 4);
  for (int n = 0; n < changes; ++n)
    bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<uint8_t>();
  bytes.resize(*rc::gen::inRange<size_t>(bytes.size() / 2, bytes.size() + 1));
  auto result = decode(bytes);
  if (!result)
    return;
  Bytes again;
  encode(result.value(), again);
  RC_ASSERT(decode(again).has_value());
}

struct BadMessage {
  std::string_view Name;
  Bytes Input;
  PeerDecodeFault Fault;
};

Bytes repeated(uint8_t byte, size_t n) { return Bytes(n, byte); }

const BadMessage BadMessages[] = {
    {"Empty", {}, PeerDecodeFault::Malformed},
    {"TooLarge", repeated(0x40, MaxPeerMessageBytes + 1),
     PeerDecodeFault::TooLarge},
    {"NestedArrays", repeated(0x81, MaxPeerMessageBytes),
     PeerDecodeFault::TooDeep},
    {"NestedEndlessStrings", repeated(0x7f, MaxPeerMessageBytes),
     PeerDecodeFault::Malformed},
    {"HugeArray",
     {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
     PeerDecodeFault::TooManyElements},
    {"HugeMap",
     {0xbb, 0x80, 0, 0, 0, 0, 0, 0, 0},
     PeerDecodeFault::TooManyElements},
    {"CutString", {0x82, 0x01, 0x78, 0xff, 0x61}, PeerDecodeFault::Malformed},
    {"Tag", {0x82, 0xc1, 0x01, 0x01}, PeerDecodeFault::Malformed},
    {"TrailingBytes", {0x82, 0x01, 0x01, 0x00}, PeerDecodeFault::Malformed},
    {"NoEnvelope", {0x81, 0x01}, PeerDecodeFault::Malformed},
    {"VersionZero", {0x82, 0x00, 0x01}, PeerDecodeFault::VersionUnsupported},
    {"VersionAfterNext",
     {0x82, 0x03, 0x01},
     PeerDecodeFault::VersionUnsupported},
    {"UnknownKind",
     {0x82, 0x01, 0x19, 0xff, 0xff},
     PeerDecodeFault::KindUnknown},
    {"TextAsInteger",
     {0x83, 0x01, 0x01, 0x61, 0x61},
     PeerDecodeFault::TypeWrong},
    {"NegativeKind", {0x82, 0x01, 0x20}, PeerDecodeFault::TypeWrong},
    {"HugeKind",
     {0x82, 0x01, 0x1b, 1, 0, 0, 0, 0, 0, 0, 0},
     PeerDecodeFault::ValueOutOfRange},
};

std::ostream &operator<<(std::ostream &out, const BadMessage &row) {
  return out << row.Name;
}

class RefusedMessage : public testing::TestWithParam<BadMessage> {};

TEST_P(RefusedMessage, HasAReason) {
  auto result = decode(GetParam().Input);
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().Fault, GetParam().Fault)
      << peerDecodeFaultName(result.error().Fault);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusedMessage, testing::ValuesIn(BadMessages),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
