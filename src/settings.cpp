#include "guavasail/settings.h"

#include "key_digest.h"
#include "settings_fields.h"

#include <array>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <toml++/toml.h>
#include <utility>
#include <variant>

namespace guavasail {

namespace {

using namespace fields;

constexpr auto FaultNames = std::to_array<std::string_view>(
    {"file unreadable", "syntax invalid", "key unknown", "key missing",
     "type wrong", "value out of range", "reference unknown", "name repeated"});

/// Collects failures while a file is parsed.
class FailureCollector {
public:
  explicit FailureCollector(std::string_view file) : File(file) {}

  void add(SettingsFault fault, uint32_t line, std::string key,
           std::string expected) {
    Collected.Items.push_back(
        {fault, File, line, std::move(key), std::move(expected)});
  }

  SettingsFailures &collected() { return Collected; }

private:
  std::string File;
  SettingsFailures Collected;
};

/// Largest time that is read from a decimal number: a year.
constexpr double MaxDecimalMillis = 366.0 * 24 * 3600 * 1000;

uint32_t lineOf(const toml::node &node) { return node.source().begin.line; }

/// Validates a TOML value and assigns it to a member of any supported type.
template <typename Spec> class FieldAssigner {
public:
  FieldAssigner(const toml::node &node, const Field<Spec> &field, Spec &spec,
                std::string key, FailureCollector &failures)
      : Node(node), Entry(field), Target(spec), Key(std::move(key)),
        Failures(failures) {}

  void operator()(std::string Spec::*member) {
    auto value = Node.template value_exact<std::string>();
    if (!value)
      return wrongType("a string");
    Target.*member = *value;
    if (Entry.Rule && !Entry.Rule->IsValid(*value))
      Failures.add(SettingsFault::ValueOutOfRange, lineOf(Node), Key,
                   std::string(Entry.Rule->Expected));
  }

  void operator()(bool Spec::*member) {
    if (auto value = Node.template value_exact<bool>())
      Target.*member = *value;
    else
      wrongType("true or false");
  }

  template <typename Integer>
  requires std::is_unsigned_v<Integer> &&(!std::is_same_v<Integer, bool>)void
  operator()(Integer Spec::*member) {
    if (auto value = number())
      Target.*member = static_cast<Integer>(*value);
  }

  /// A time may be a decimal number, such as one with an exponent.
  void operator()(Duration Spec::*member) {
    auto decimal = Node.template value_exact<double>();
    if (decimal && !(*decimal >= 0 && *decimal <= MaxDecimalMillis))
      return Failures.add(SettingsFault::ValueOutOfRange, lineOf(Node), Key,
                          "a time in milliseconds");
    if (decimal)
      Target.*member = std::chrono::milliseconds(
          static_cast<int64_t>(std::llround(*decimal)));
    else if (auto value = number())
      Target.*member = std::chrono::milliseconds(*value);
  }

  void operator()(std::vector<std::string> Spec::*member) {
    const toml::array *array = Node.as_array();
    if (!array)
      return wrongType("a list of strings");
    for (const toml::node &item : *array) {
      if (auto value = item.value_exact<std::string>())
        (Target.*member).push_back(*value);
      else
        wrongType("a list of strings");
    }
  }

  void operator()(Digest Spec::*member) {
    auto text = Node.template value_exact<std::string>();
    auto digest = text ? parseDigest(*text) : std::nullopt;
    if (digest)
      Target.*member = *digest;
    else
      wrongType("32 hexadecimal digits");
  }

private:
  std::optional<uint64_t> number() {
    auto value = Node.template value_exact<int64_t>();
    if (!value) {
      wrongType("an integer");
      return std::nullopt;
    }
    bool inRange = *value >= 0 &&
                   static_cast<uint64_t>(*value) >= Entry.MinValue &&
                   static_cast<uint64_t>(*value) <= Entry.MaxValue;
    if (inRange)
      return static_cast<uint64_t>(*value);
    Failures.add(SettingsFault::ValueOutOfRange, lineOf(Node), Key,
                 "an integer from " + std::to_string(Entry.MinValue) + " to " +
                     std::to_string(Entry.MaxValue));
    return std::nullopt;
  }

  void wrongType(std::string expected) {
    Failures.add(SettingsFault::TypeWrong, lineOf(Node), Key,
                 std::move(expected));
  }

  const toml::node &Node;
  const Field<Spec> &Entry;
  Spec &Target;
  std::string Key;
  FailureCollector &Failures;
};

/// \returns the text that lists the keys of \p fields and \p nestedKeys.
template <typename Spec>
std::string expectedKeys(std::span<const Field<Spec>> fields,
                         std::span<const std::string_view> nestedKeys) {
  std::string list = "one of";
  for (const Field<Spec> &field : fields)
    list += " " + std::string(field.Key);
  for (std::string_view name : nestedKeys)
    list += " " + std::string(name);
  return list;
}

/// Sets the members of \p spec from \p table as \p fields describe. The
/// function's caller parses the keys in \p nestedKeys.
template <typename Spec, size_t N>
void parseFields(const toml::table &table, std::string_view prefix,
                 const std::array<Field<Spec>, N> &fields, Spec &spec,
                 FailureCollector &failures,
                 std::span<const std::string_view> nestedKeys = {}) {
  std::span<const Field<Spec>> fieldSpan(fields);
  auto dotted = [&](std::string_view key) {
    return std::string(prefix) + "." + std::string(key);
  };
  for (const Field<Spec> &field : fieldSpan) {
    if (const toml::node *node = table.get(field.Key))
      std::visit(
          FieldAssigner<Spec>(*node, field, spec, dotted(field.Key), failures),
          field.Member);
    else if (field.Required)
      failures.add(SettingsFault::KeyMissing, lineOf(table), dotted(field.Key),
                   "a value");
  }
  for (const auto &[key, node] : table) {
    bool found = std::any_of(
        fieldSpan.begin(), fieldSpan.end(),
        [&, name = key.str()](const auto &it) { return it.Key == name; });
    found |= std::find(nestedKeys.begin(), nestedKeys.end(), key.str()) !=
             nestedKeys.end();
    if (!found)
      failures.add(SettingsFault::KeyUnknown, lineOf(node), dotted(key.str()),
                   expectedKeys(fieldSpan, nestedKeys));
  }
}

/// Calls \p parse for each table in the array of tables \p key.
template <typename Parse>
void forEachTable(const toml::table &owner, std::string_view key,
                  FailureCollector &failures, Parse parse) {
  const toml::node *node = owner.get(key);
  if (!node)
    return;
  const toml::array *array = node->as_array();
  if (!array)
    return failures.add(SettingsFault::TypeWrong, lineOf(*node),
                        std::string(key), "an array of tables");
  for (const toml::node &item : *array) {
    if (const toml::table *table = item.as_table())
      parse(*table);
    else
      failures.add(SettingsFault::TypeWrong, lineOf(item), std::string(key),
                   "a table");
  }
}

/// Collects the names of one kind of entry; reports repeated names and unknown
/// references.
class NameRegistry {
public:
  NameRegistry(std::string key, FailureCollector &failures)
      : Key(std::move(key)), Failures(failures) {}

  void add(const std::string &name, uint32_t line) {
    if (!name.empty() && !Names.insert(name).second)
      Failures.add(SettingsFault::NameRepeated, line, Key,
                   "a name other than \"" + name + "\"");
  }

  void checkReference(const std::string &name, uint32_t line, std::string key) {
    if (!Names.contains(name))
      Failures.add(SettingsFault::ReferenceUnknown, line, std::move(key),
                   "a known " + Key + " instead of \"" + name + "\"");
  }

private:
  std::string Key;
  FailureCollector &Failures;
  std::set<std::string> Names;
};

/// Parses a settings file and validates references between its tables.
class SettingsParser {
public:
  SettingsParser(const toml::table &root, FailureCollector &failures)
      : Root(root), Failures(failures), VmNames("vm.name", failures),
        ServiceNames("service.name", failures),
        RouteNames("route.name", failures),
        WorkspaceNames("workspace.name", failures) {}

  Settings parse() {
    checkTopLevel();
    parseSection("daemon", DaemonFields, Result.Daemon, true);
    applyEnvironmentOverrides();
    parseSection("limits", LimitFields, Result.Bounds, false);
    parseSection("store", StoreFields, Result.Store, false);
    parseSection("fleet", FleetFields, Result.Fleet, false);
    parseSection("headers", HeaderFields, Result.Headers, false);
    resolveEndpoints();
    parseSection("peers", PeerFields, Result.Peers, false);
    forEachTable(Root, "vm", Failures,
                 [this](const toml::table &it) { parseVm(it); });
    forEachTable(Root, "service", Failures,
                 [this](const toml::table &it) { parseService(it); });
    forEachTable(Root, "workspace", Failures,
                 [this](const toml::table &it) { parseWorkspace(it); });
    forEachTable(Root, "route", Failures,
                 [this](const toml::table &it) { parseRoute(it); });
    Result.Catalog.Version = 1;
    return std::move(Result);
  }

private:
  void checkTopLevel() {
    static constexpr auto KnownKeys = std::to_array<std::string_view>(
        {"daemon", "limits", "store", "fleet", "headers", "peers", "vm",
         "service", "workspace", "route"});
    for (const auto &[key, node] : Root)
      if (std::find(KnownKeys.begin(), KnownKeys.end(), key.str()) ==
          KnownKeys.end())
        Failures.add(
            SettingsFault::KeyUnknown, lineOf(node), std::string(key.str()),
            "one of daemon limits store fleet headers peers vm service "
            "workspace route");
  }

  template <typename Spec, size_t N>
  void parseSection(std::string_view key,
                    const std::array<Field<Spec>, N> &fields, Spec &spec,
                    bool required) {
    const toml::node *node = Root.get(key);
    if (!node && !required)
      return;
    if (!node || !node->is_table())
      return Failures.add(SettingsFault::KeyMissing, node ? lineOf(*node) : 0,
                          std::string(key), "a table");
    parseFields(*node->as_table(), key, fields, spec, Failures);
  }

  /// Splits "IP:PORT" values; they override a separate address and port.
  void resolveEndpoints() {
    struct EndpointMembers {
      const std::string &Text;
      std::string &Address;
      uint32_t &Port;
    };
    DaemonSettings &daemon = Result.Daemon;
    const EndpointMembers rows[] = {
        {daemon.Listen, daemon.ListenAddress, daemon.ListenPort},
        {daemon.ReadyListen, daemon.ReadyAddress, daemon.ReadyPort},
        {daemon.MetricsListen, daemon.MetricsAddress, daemon.MetricsPort},
        {Result.Store.Endpoint, Result.Store.Address, Result.Store.Port},
    };
    for (const EndpointMembers &row : rows) {
      if (!isEndpoint(row.Text))
        continue;
      size_t colon = row.Text.rfind(':');
      row.Address = row.Text.substr(0, colon);
      row.Port = static_cast<uint32_t>(std::stoul(row.Text.substr(colon + 1)));
    }
  }

  void parseVm(const toml::table &table) {
    VmSpec &spec = Result.Vms.emplace_back();
    parseFields(table, "vm", VmFields, spec, Failures);
    VmNames.add(spec.Name, lineOf(table));
  }

  /// Secrets may come from the environment, which overrides the file.
  void applyEnvironmentOverrides() {
    DaemonSettings &daemon = Result.Daemon;
    for (const EnvironmentOverride &row : EnvironmentOverrides)
      if (const char *value = std::getenv(row.Variable))
        daemon.*row.Member = value;
    if (daemon.TlsCertificate.empty() != daemon.TlsKey.empty())
      Failures.add(
          SettingsFault::KeyMissing, 0,
          daemon.TlsKey.empty() ? "daemon.tls_key" : "daemon.tls_certificate",
          "both daemon.tls_certificate and daemon.tls_key, or neither");
  }

  void parseService(const toml::table &table) {
    static constexpr std::string_view NestedKeys[] = {"instance"};
    ServiceSpec &spec = Result.Catalog.Services.emplace_back();
    parseFields(table, "service", ServiceFields, spec, Failures, NestedKeys);
    ServiceNames.add(spec.Name, lineOf(table));
    NameRegistry instanceNames("service.instance.name", Failures);
    forEachTable(table, "instance", Failures, [&](const toml::table &it) {
      InstanceSpec &instance = spec.Instances.emplace_back();
      parseFields(it, "service.instance", InstanceFields, instance, Failures);
      instanceNames.add(instance.Name, lineOf(it));
    });
  }

  void parseWorkspace(const toml::table &table) {
    static constexpr std::string_view NestedKeys[] = {"key"};
    WorkspaceSpec &spec = Result.Catalog.Workspaces.emplace_back();
    parseFields(table, "workspace", WorkspaceFields, spec, Failures,
                NestedKeys);
    WorkspaceNames.add(spec.Name, lineOf(table));
    NameRegistry keyIds("workspace.key.id", Failures);
    forEachTable(table, "key", Failures, [&](const toml::table &it) {
      KeySpec &key = spec.Keys.emplace_back();
      parseFields(it, "workspace.key", KeyFields, key, Failures);
      keyIds.add(key.Id, lineOf(it));
    });
  }

  void parseRoute(const toml::table &table) {
    RouteSpec &spec = Result.Catalog.Routes.emplace_back();
    parseFields(table, "route", RouteFields, spec, Failures);
    uint32_t line = lineOf(table);
    RouteNames.add(spec.Name, line);
    ServiceNames.checkReference(spec.Service, line, "route.service");
    for (const std::string &name : spec.Workspaces)
      WorkspaceNames.checkReference(name, line, "route.workspaces");
    if (!spec.Prefix.starts_with('/'))
      Failures.add(SettingsFault::ValueOutOfRange, line, "route.prefix",
                   "a path that starts with /");
  }

  const toml::table &Root;
  FailureCollector &Failures;
  NameRegistry VmNames;
  NameRegistry ServiceNames;
  NameRegistry RouteNames;
  NameRegistry WorkspaceNames;
  Settings Result;
};

} // namespace

SettingsResult<Settings> parseSettings(std::string_view text,
                                       std::string_view file) {
  FailureCollector failures(file);
  try {
    toml::table root = toml::parse(text, file);
    Settings settings = SettingsParser(root, failures).parse();
    if (failures.collected().Items.empty())
      return settings;
  } catch (const toml::parse_error &error) {
    failures.add(SettingsFault::SyntaxInvalid, error.source().begin.line, "",
                 std::string(error.description()));
  }
  return std::move(failures.collected());
}

SettingsResult<Settings> readSettings(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    FailureCollector failures(path);
    failures.add(SettingsFault::FileUnreadable, 0, "", "a readable file");
    return std::move(failures.collected());
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseSettings(text.str(), path);
}

std::string_view settingsFaultName(SettingsFault fault) {
  return FaultNames[static_cast<size_t>(fault)];
}

std::string describe(const SettingsFailure &failure) {
  std::string line = failure.File;
  if (failure.Line > 0)
    line += ":" + std::to_string(failure.Line);
  line += ": ";
  line += settingsFaultName(failure.Fault);
  if (!failure.Key.empty())
    line += ": " + failure.Key;
  return line + ": expected " + failure.Expected;
}

} // namespace guavasail
