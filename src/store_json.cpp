#include "store_json.h"

#include "key_digest.h"

#include <array>
#include <nlohmann/json.hpp>
#include <tuple>
#include <type_traits>

namespace guavasail {

namespace {

using Json = nlohmann::json;

/// One member of a struct and its name.
template <typename Struct, typename Member> struct JsonField {
  const char *Name;
  Member Struct::*Place;
};
template <typename Struct, typename Member>
JsonField(const char *, Member Struct::*) -> JsonField<Struct, Member>;

/// The members of \p Struct.
template <typename Struct> struct JsonFields;

template <> struct JsonFields<InstanceSpec> {
  static constexpr std::tuple Members{
      JsonField{"name", &InstanceSpec::Name},
      JsonField{"address", &InstanceSpec::Address},
      JsonField{"port", &InstanceSpec::Port},
      JsonField{"zone", &InstanceSpec::Zone},
      JsonField{"slots", &InstanceSpec::Slots},
      JsonField{"connections", &InstanceSpec::Connections}};
};

template <> struct JsonFields<ServiceSpec> {
  static constexpr std::tuple Members{
      JsonField{"name", &ServiceSpec::Name},
      JsonField{"floor_percent", &ServiceSpec::FloorPercent},
      JsonField{"instances", &ServiceSpec::Instances}};
};

template <> struct JsonFields<RouteSpec> {
  static constexpr std::tuple Members{
      JsonField{"name", &RouteSpec::Name},
      JsonField{"prefix", &RouteSpec::Prefix},
      JsonField{"service", &RouteSpec::Service},
      JsonField{"timeout_us", &RouteSpec::Timeout},
      JsonField{"workspaces", &RouteSpec::Workspaces}};
};

template <> struct JsonFields<KeySpec> {
  static constexpr std::tuple Members{JsonField{"id", &KeySpec::Id},
                                      JsonField{"digest", &KeySpec::Value}};
};

template <> struct JsonFields<WorkspaceSpec> {
  static constexpr std::tuple Members{
      JsonField{"name", &WorkspaceSpec::Name},
      JsonField{"weight", &WorkspaceSpec::Weight},
      JsonField{"rate", &WorkspaceSpec::RatePerSecond},
      JsonField{"burst", &WorkspaceSpec::Burst},
      JsonField{"keys", &WorkspaceSpec::Keys}};
};

template <> struct JsonFields<CatalogChunk> {
  static constexpr std::tuple Members{
      JsonField{"services", &CatalogChunk::Services},
      JsonField{"routes", &CatalogChunk::Routes},
      JsonField{"workspaces", &CatalogChunk::Workspaces}};
};

template <> struct JsonFields<RecentChange> {
  static constexpr std::tuple Members{
      JsonField{"id", &RecentChange::Id},
      JsonField{"author", &RecentChange::Author},
      JsonField{"version", &RecentChange::Version},
      JsonField{"unix_ms", &RecentChange::UnixMillis},
      JsonField{"items", &RecentChange::Items}};
};

template <> struct JsonFields<ConfigHead> {
  static constexpr std::tuple Members{
      JsonField{"version", &ConfigHead::Version},
      JsonField{"chunks", &ConfigHead::Chunks},
      JsonField{"recent", &ConfigHead::Recent}};
};

template <> struct JsonFields<ItemName> {
  static constexpr std::tuple Members{JsonField{"kind", &ItemName::Kind},
                                      JsonField{"owner", &ItemName::Owner},
                                      JsonField{"name", &ItemName::Name}};
};

template <> struct JsonFields<AuditItem> {
  static constexpr std::tuple Members{JsonField{"item", &AuditItem::Item},
                                      JsonField{"before", &AuditItem::Before},
                                      JsonField{"after", &AuditItem::After}};
};

template <> struct JsonFields<AuditRecord> {
  static constexpr std::tuple Members{
      JsonField{"version", &AuditRecord::Version},
      JsonField{"change", &AuditRecord::ChangeId},
      JsonField{"author", &AuditRecord::Author},
      JsonField{"unix_ms", &AuditRecord::UnixMillis},
      JsonField{"previous", &AuditRecord::PreviousId},
      JsonField{"items", &AuditRecord::Items}};
};

constexpr auto KindNames = std::to_array<std::string_view>(
    {"service", "instance", "route", "workspace", "key"});

template <typename T>
concept Listed = requires {
  JsonFields<T>::Members;
};

// Writing.

Json write(const std::string &value) { return value; }
Json write(std::unsigned_integral auto value) { return value; }
Json write(Duration value) { return value.count(); }
Json write(const Digest &value) {
  return value.present() ? formatDigest(value) : std::string();
}
Json write(ItemKind value) {
  return std::string(KindNames[static_cast<size_t>(value)]);
}
Json write(const Listed auto &value);

template <typename T> Json write(const std::vector<T> &values) {
  Json list = Json::array();
  for (const T &it : values)
    list.push_back(write(it));
  return list;
}

Json write(const Listed auto &value) {
  using Struct = std::remove_cvref_t<decltype(value)>;
  Json object = Json::object();
  std::apply(
      [&](const auto &...field) {
        ((object[field.Name] = write(value.*field.Place)), ...);
      },
      JsonFields<Struct>::Members);
  return object;
}

// Reading. Each overload returns false if the node has another form.

bool read(const Json &node, std::string &value) {
  if (!node.is_string())
    return false;
  value = node.get<std::string>();
  return true;
}

template <std::unsigned_integral T> bool read(const Json &node, T &value) {
  if (!node.is_number_unsigned())
    return false;
  auto wide = node.get<uint64_t>();
  value = static_cast<T>(wide);
  return value == wide;
}

bool read(const Json &node, Duration &value) {
  if (!node.is_number_integer())
    return false;
  value = Duration(node.get<int64_t>());
  return true;
}

bool read(const Json &node, Digest &value) {
  if (!node.is_string())
    return false;
  const auto &text = node.get_ref<const std::string &>();
  if (text.empty())
    return true;
  auto digest = parseDigest(text);
  value = digest.value_or(Digest{});
  return digest.has_value();
}

bool read(const Json &node, ItemKind &value) {
  if (!node.is_string())
    return false;
  const auto &text = node.get_ref<const std::string &>();
  auto it = std::find(KindNames.begin(), KindNames.end(), text);
  value = static_cast<ItemKind>(it - KindNames.begin());
  return it != KindNames.end();
}

template <Listed Struct> bool read(const Json &node, Struct &value);

template <typename T> bool read(const Json &node, std::vector<T> &values) {
  if (!node.is_array())
    return false;
  for (const Json &it : node)
    if (!read(it, values.emplace_back()))
      return false;
  return true;
}

template <Listed Struct> bool read(const Json &node, Struct &value) {
  if (!node.is_object())
    return false;
  auto readField = [&](const auto &field) {
    auto it = node.find(field.Name);
    return it != node.end() && read(*it, value.*field.Place);
  };
  return std::apply(
      [&](const auto &...field) { return (readField(field) && ...); },
      JsonFields<Struct>::Members);
}

template <typename Value> std::optional<StoreValue> readAs(const Json &node) {
  Value value;
  if (!read(node, value))
    return std::nullopt;
  return value;
}

std::string percentEncoded(std::string_view text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  for (char it : text) {
    auto byte = static_cast<unsigned char>(it);
    bool plain = std::isalnum(byte) || it == '-' || it == '_';
    if (plain)
      out += it;
    else
      out += {'%', Digits[byte >> 4], Digits[byte & 15]};
  }
  return out;
}

} // namespace

std::string storePath(const StoreKey &key) {
  switch (key.Space) {
  case StoreSpace::Head:
    return "/kv/config/head";
  case StoreSpace::Chunk:
    return "/kv/config/chunk/" + formatDigest(key.Chunk);
  case StoreSpace::Audit:
    return "/kv/config/audit/" + std::to_string(key.Version) + "/" +
           percentEncoded(key.ChangeId);
  }
  return {};
}

std::string formatStoreValue(const StoreValue &value) {
  return std::visit(
      [](const auto &it) -> std::string {
        if constexpr (Listed<std::remove_cvref_t<decltype(it)>>)
          return write(it).dump();
        return {};
      },
      value);
}

std::optional<StoreValue> parseStoreValue(StoreSpace space,
                                          std::string_view text) {
  using Reader = std::optional<StoreValue> (*)(const Json &);
  static constexpr Reader Readers[] = {
      &readAs<ConfigHead>, &readAs<CatalogChunk>, &readAs<AuditRecord>};
  Json node = Json::parse(text, nullptr, false);
  if (node.is_discarded())
    return std::nullopt;
  return Readers[static_cast<size_t>(space)](node);
}

} // namespace guavasail
