/// \file
/// Values of messages to and from CBOR items, one pair of overloads for each
/// type that a row of `peer_codec_fields.h` may name.
#ifndef GUAVASAIL_SRC_PEER_CODEC_VALUE_H
#define GUAVASAIL_SRC_PEER_CODEC_VALUE_H

#include "guavasail/clock.h"
#include "guavasail/digest.h"
#include "peer_codec_cbor.h"
#include "peer_codec_fields.h"

#include <algorithm>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

namespace guavasail::codec {

using Json = nlohmann::json;
using Fault = std::optional<PeerDecodeFault>;

/// Converts to anything; used to count the members of an aggregate.
struct AnyValue {
  template <typename T> operator T() const;
};

template <typename Struct, size_t... Index>
constexpr bool hasMembers(std::index_sequence<Index...>) {
  return requires { Struct{(static_cast<void>(Index), AnyValue{})...}; };
}

/// \returns true if every member of \p Struct has a row.
template <typename Struct> constexpr bool rowsComplete() {
  constexpr size_t N = std::tuple_size_v<decltype(PeerFields<Struct>::Members)>;
  return hasMembers<Struct>(std::make_index_sequence<N>()) &&
         !hasMembers<Struct>(std::make_index_sequence<N + 1>());
}

template <typename T>
concept Aggregate = requires {
  PeerFields<T>::Members;
};

template <typename T>
concept Enumeration = std::is_enum_v<T>;

// Writing.

inline Json write(bool value) { return value; }
Json write(std::unsigned_integral auto value) { return uint64_t{value}; }
inline Json write(int64_t value) { return value; }
Json write(Enumeration auto value) { return static_cast<uint64_t>(value); }
inline Json write(Duration value) { return int64_t{value.count()}; }
inline Json write(const std::string &value) { return value; }
inline Json write(const std::vector<uint8_t> &value) {
  return Json::binary(value);
}
inline Json write(const Digest &value) {
  return Json::binary({value.Bytes.begin(), value.Bytes.end()});
}
Json write(const Aggregate auto &value);

template <typename T> Json write(const std::vector<T> &values) {
  Json list = Json::array();
  for (const T &value : values)
    list.push_back(write(value));
  return list;
}

template <Aggregate Struct> void writeMembers(const Struct &value, Json &list) {
  static_assert(rowsComplete<Struct>(), "a member has no row");
  std::apply(
      [&](auto... member) { (list.push_back(write(value.*member)), ...); },
      PeerFields<Struct>::Members);
}

Json write(const Aggregate auto &value) {
  Json list = Json::array();
  writeMembers(value, list);
  return list;
}

// Reading. Each overload returns a fault or fills in the value.

inline Fault read(const Json &node, bool &value) {
  if (!node.is_boolean())
    return PeerDecodeFault::TypeWrong;
  value = node.get<bool>();
  return std::nullopt;
}

inline Fault readUnsigned(const Json &node, uint64_t most, uint64_t &value) {
  if (!node.is_number_unsigned())
    return PeerDecodeFault::TypeWrong;
  value = node.get<uint64_t>();
  return value > most ? Fault(PeerDecodeFault::ValueOutOfRange) : std::nullopt;
}

template <std::unsigned_integral T> Fault read(const Json &node, T &value) {
  uint64_t wide = 0;
  Fault fault = readUnsigned(node, std::numeric_limits<T>::max(), wide);
  value = static_cast<T>(wide);
  return fault;
}

inline Fault read(const Json &node, int64_t &value) {
  if (!node.is_number_integer())
    return PeerDecodeFault::TypeWrong;
  constexpr uint64_t Most = std::numeric_limits<int64_t>::max();
  if (node.is_number_unsigned() && node.get<uint64_t>() > Most)
    return PeerDecodeFault::ValueOutOfRange;
  value = node.get<int64_t>();
  return std::nullopt;
}

template <Enumeration T> Fault read(const Json &node, T &value) {
  static_assert(PeerEnumCount<T> > 0, "an enumeration has no count");
  uint64_t wide = 0;
  Fault fault = readUnsigned(node, PeerEnumCount<T> - 1, wide);
  if (!fault)
    value = static_cast<T>(wide);
  return fault;
}

inline Fault read(const Json &node, Duration &value) {
  int64_t count = 0;
  Fault fault = read(node, count);
  value = Duration(count);
  return fault;
}

inline Fault read(const Json &node, std::string &value) {
  if (!node.is_string())
    return PeerDecodeFault::TypeWrong;
  value = node.get_ref<const std::string &>();
  return std::nullopt;
}

inline Fault read(const Json &node, std::vector<uint8_t> &value) {
  if (!node.is_binary())
    return PeerDecodeFault::TypeWrong;
  value = node.get_binary();
  return std::nullopt;
}

inline Fault read(const Json &node, Digest &value) {
  if (!node.is_binary())
    return PeerDecodeFault::TypeWrong;
  const auto &bytes = node.get_binary();
  if (bytes.size() != value.Bytes.size())
    return PeerDecodeFault::ValueOutOfRange;
  std::copy(bytes.begin(), bytes.end(), value.Bytes.begin());
  return std::nullopt;
}

template <Aggregate Struct> Fault read(const Json &node, Struct &value);

template <typename T> Fault read(const Json &node, std::vector<T> &values) {
  if (!node.is_array())
    return PeerDecodeFault::TypeWrong;
  values.reserve(node.size());
  for (const Json &item : node)
    if (Fault fault = read(item, values.emplace_back()))
      return fault;
  return std::nullopt;
}

/// Reads the members from the elements of \p list after \p skip. Members
/// without an element keep their defaults.
template <Aggregate Struct>
Fault readMembers(const Json &list, size_t skip, Struct &value) {
  Fault fault;
  auto readNext = [&](auto member) {
    if (!fault && skip < list.size())
      fault = read(list[skip++], value.*member);
  };
  std::apply([&](auto... member) { (readNext(member), ...); },
             PeerFields<Struct>::Members);
  return fault;
}

template <Aggregate Struct> Fault read(const Json &node, Struct &value) {
  if (!node.is_array())
    return PeerDecodeFault::TypeWrong;
  return readMembers(node, 0, value);
}

} // namespace guavasail::codec

#endif
