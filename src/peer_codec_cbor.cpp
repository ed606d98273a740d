#include "peer_codec_cbor.h"

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "peer_codec_check.h"
#include "peer_codec_value.h"

#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

namespace guavasail {

namespace {

using codec::Fault;
using codec::Json;

/// Elements of a message before its members: version and kind.
constexpr size_t EnvelopeElements = 2;

constexpr auto FaultNames = std::to_array<std::string_view>(
    {"too-large", "malformed", "too-deep", "too-many-elements",
     "version-unsupported", "kind-unknown", "type-wrong",
     "value-out-of-range"});

/// How one kind of message is read.
struct KindRow {
  uint32_t Kind;
  Fault (*Read)(const Json &list, PeerBody &body);
};

template <size_t Index> Fault readBody(const Json &list, PeerBody &body) {
  return codec::readMembers(list, EnvelopeElements, body.emplace<Index>());
}

template <size_t... Index>
constexpr auto kindRows(std::index_sequence<Index...>) {
  return std::array{KindRow{
      PeerFields<std::variant_alternative_t<Index, PeerBody>>::Kind,
      &readBody<Index>,
  }...};
}

constexpr auto Kinds =
    kindRows(std::make_index_sequence<std::variant_size_v<PeerBody>>());

constexpr bool kindsDistinct() {
  for (size_t n = 0; n < Kinds.size(); ++n)
    for (size_t m = 0; m < n; ++m)
      if (Kinds[n].Kind == Kinds[m].Kind)
        return false;
  return true;
}
static_assert(kindsDistinct(), "a kind number is used twice");

} // namespace

size_t encode(const PeerBody &body, std::vector<uint8_t> &buffer) {
  size_t before = buffer.size();
  std::visit(
      [&](const auto &message) {
        using Struct = std::remove_cvref_t<decltype(message)>;
        Json list =
            Json::array({PeerProtocolVersion, PeerFields<Struct>::Kind});
        codec::writeMembers(message, list);
        Json::to_cbor(list, buffer);
      },
      body);
  return buffer.size() - before;
}

PeerDecodeResult<PeerBody> decode(std::span<const uint8_t> bytes) {
  if (Fault fault = checkStructure(bytes))
    return PeerDecodeFailure{*fault, 0};
  Json list = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!list.is_array() || list.size() < EnvelopeElements)
    return PeerDecodeFailure{PeerDecodeFault::Malformed, 0};
  uint64_t version = 0;
  uint32_t kind = 0;
  if (codec::readUnsigned(list[0], PeerProtocolLatest, version) || version == 0)
    return PeerDecodeFailure{PeerDecodeFault::VersionUnsupported, 0};
  if (Fault fault = codec::read(list[1], kind))
    return PeerDecodeFailure{*fault, 0};
  auto row = std::find_if(Kinds.begin(), Kinds.end(),
                          [&](const KindRow &it) { return it.Kind == kind; });
  if (row == Kinds.end())
    return PeerDecodeFailure{PeerDecodeFault::KindUnknown, kind};
  PeerBody body;
  if (Fault fault = row->Read(list, body))
    return PeerDecodeFailure{*fault, kind};
  return body;
}

std::string_view peerDecodeFaultName(PeerDecodeFault fault) {
  return FaultNames[static_cast<size_t>(fault)];
}

} // namespace guavasail
