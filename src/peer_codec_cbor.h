/// \file
/// Messages between daemons as CBOR.
///
/// A message is one array: protocol version, kind, then the members in the
/// order of their rows. Trailing elements that the reader does not know are
/// ignored, trailing members that are missing keep their defaults, so that
/// versions N and N+1 understand each other.
#ifndef GUAVASAIL_SRC_PEER_CODEC_CBOR_H
#define GUAVASAIL_SRC_PEER_CODEC_CBOR_H

#include "guavasail/peer_message.h"

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// The protocol version that this program writes.
inline constexpr uint32_t PeerProtocolVersion = 1;

/// The latest version that it reads: its own and the next one.
inline constexpr uint32_t PeerProtocolLatest = PeerProtocolVersion + 1;

/// Why bytes are not a message.
enum class PeerDecodeFault : uint8_t {
  TooLarge,
  /// Not CBOR, or CBOR of a form that no version writes.
  Malformed,
  TooDeep,
  TooManyElements,
  VersionUnsupported,
  KindUnknown,
  TypeWrong,
  ValueOutOfRange,
};

/// One fault of a received message.
struct PeerDecodeFailure {
  PeerDecodeFault Fault = PeerDecodeFault::Malformed;
  /// Kind of the message, 0 if it was not read.
  uint32_t Kind = 0;
};

/// A value, or why it could not be read.
template <typename T>
using PeerDecodeResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, PeerDecodeFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Appends a message to a buffer.
/// \param body the message.
/// \param buffer receives the bytes.
/// \returns the number of bytes that were appended.
size_t encode(const PeerBody &body, std::vector<uint8_t> &buffer);

/// Reads one message.
/// \param bytes exactly one message.
/// \returns the message or why it was refused.
PeerDecodeResult<PeerBody> decode(std::span<const uint8_t> bytes);

/// \returns the stable name of \p fault.
std::string_view peerDecodeFaultName(PeerDecodeFault fault);

} // namespace guavasail

#endif
