#include "guavasail/settings.h"

#include "key_digest.h"
#include "settings_fields.h"

#include <array>
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

/// Collects faults while a file is parsed.
class FaultList {
public:
  explicit FaultList(std::string_view file) : File(file) {}

  void add(SettingsFault fault, uint32_t line, std::string key,
           std::string expected) {
    Found.Items.push_back(
        {fault, File, line, std::move(key), std::move(expected)});
  }

  SettingsFailures &found() { return Found; }

private:
  std::string File;
  SettingsFailures Found;
};

uint32_t lineOf(const toml::node &node) { return node.source().begin.line; }

/// Assigns one TOML value to a member of any supported type.
template <typename Spec> class Assigner {
public:
  Assigner(const toml::node &node, const Field<Spec> &field, Spec &spec,
           std::string key, FaultList &faults)
      : Node(node), Entry(field), Target(spec), Key(std::move(key)),
        Faults(faults) {}

  void operator()(std::string Spec::*member) {
    auto value = Node.template value_exact<std::string>();
    if (!value)
      return wrongType("a string");
    Target.*member = *value;
    if (Entry.Rule && !Entry.Rule->Accepts(*value))
      Faults.add(SettingsFault::ValueOutOfRange, lineOf(Node), Key,
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

  void operator()(Duration Spec::*member) {
    if (auto value = number())
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
                   static_cast<uint64_t>(*value) >= Entry.Least &&
                   static_cast<uint64_t>(*value) <= Entry.Most;
    if (inRange)
      return static_cast<uint64_t>(*value);
    Faults.add(SettingsFault::ValueOutOfRange, lineOf(Node), Key,
               "an integer from " + std::to_string(Entry.Least) + " to " +
                   std::to_string(Entry.Most));
    return std::nullopt;
  }

  void wrongType(std::string expected) {
    Faults.add(SettingsFault::TypeWrong, lineOf(Node), Key,
               std::move(expected));
  }

  const toml::node &Node;
  const Field<Spec> &Entry;
  Spec &Target;
  std::string Key;
  FaultList &Faults;
};

/// \returns the names of \p fields, for messages.
template <typename Spec>
std::string keyList(std::span<const Field<Spec>> fields,
                    std::span<const std::string_view> nested) {
  std::string list = "one of";
  for (const Field<Spec> &field : fields)
    list += " " + std::string(field.Key);
  for (std::string_view name : nested)
    list += " " + std::string(name);
  return list;
}

/// Fills \p spec from \p table by its \p fields. Keys in \p nested are left to
/// the caller.
template <typename Spec, size_t N>
void parseFields(const toml::table &table, std::string_view prefix,
                 const std::array<Field<Spec>, N> &fields, Spec &spec,
                 FaultList &faults,
                 std::span<const std::string_view> nested = {}) {
  std::span<const Field<Spec>> known(fields);
  auto dotted = [&](std::string_view key) {
    return std::string(prefix) + "." + std::string(key);
  };
  for (const Field<Spec> &field : known) {
    if (const toml::node *node = table.get(field.Key))
      std::visit(Assigner<Spec>(*node, field, spec, dotted(field.Key), faults),
                 field.Member);
    else if (field.Required)
      faults.add(SettingsFault::KeyMissing, lineOf(table), dotted(field.Key),
                 "a value");
  }
  for (const auto &[key, node] : table) {
    bool found = std::any_of(
        known.begin(), known.end(),
        [&, name = key.str()](const auto &it) { return it.Key == name; });
    found |= std::find(nested.begin(), nested.end(), key.str()) != nested.end();
    if (!found)
      faults.add(SettingsFault::KeyUnknown, lineOf(node), dotted(key.str()),
                 keyList(known, nested));
  }
}

/// Calls \p parse with each table of the array of tables \p key.
template <typename Parse>
void forEachTable(const toml::table &owner, std::string_view key,
                  FaultList &faults, Parse parse) {
  const toml::node *node = owner.get(key);
  if (!node)
    return;
  const toml::array *array = node->as_array();
  if (!array)
    return faults.add(SettingsFault::TypeWrong, lineOf(*node), std::string(key),
                      "an array of tables");
  for (const toml::node &item : *array) {
    if (const toml::table *table = item.as_table())
      parse(*table);
    else
      faults.add(SettingsFault::TypeWrong, lineOf(item), std::string(key),
                 "a table");
  }
}

/// Records names and reports repeated ones.
class NameCheck {
public:
  NameCheck(std::string key, FaultList &faults)
      : Key(std::move(key)), Faults(faults) {}

  void add(const std::string &name, uint32_t line) {
    if (!name.empty() && !Names.insert(name).second)
      Faults.add(SettingsFault::NameRepeated, line, Key,
                 "a name other than \"" + name + "\"");
  }

  void expect(const std::string &name, uint32_t line, std::string key) {
    if (!Names.contains(name))
      Faults.add(SettingsFault::ReferenceUnknown, line, std::move(key),
                 "a known " + Key + " instead of \"" + name + "\"");
  }

private:
  std::string Key;
  FaultList &Faults;
  std::set<std::string> Names;
};

/// Parses a whole file.
class SettingsParser {
public:
  SettingsParser(const toml::table &root, FaultList &faults)
      : Root(root), Faults(faults), VmNames("vm.name", faults),
        ServiceNames("service.name", faults), RouteNames("route.name", faults),
        WorkspaceNames("workspace.name", faults) {}

  Settings parse() {
    checkTopLevel();
    parseSection("daemon", DaemonFields, Result.Daemon, true);
    overrideFromEnvironment();
    parseSection("limits", LimitFields, Result.Bounds, false);
    parseSection("store", StoreFields, Result.Store, false);
    parseSection("fleet", FleetFields, Result.Fleet, false);
    parseSection("headers", HeaderFields, Result.Headers, false);
    splitEndpoints();
    parseSection("peers", PeerFields, Result.Peers, false);
    forEachTable(Root, "vm", Faults,
                 [this](const toml::table &it) { parseVm(it); });
    forEachTable(Root, "service", Faults,
                 [this](const toml::table &it) { parseService(it); });
    forEachTable(Root, "workspace", Faults,
                 [this](const toml::table &it) { parseWorkspace(it); });
    forEachTable(Root, "route", Faults,
                 [this](const toml::table &it) { parseRoute(it); });
    Result.Catalog.Version = 1;
    return std::move(Result);
  }

private:
  void checkTopLevel() {
    static constexpr auto Known = std::to_array<std::string_view>(
        {"daemon", "limits", "store", "fleet", "headers", "peers", "vm",
         "service", "workspace", "route"});
    for (const auto &[key, node] : Root)
      if (std::find(Known.begin(), Known.end(), key.str()) == Known.end())
        Faults.add(SettingsFault::KeyUnknown, lineOf(node),
                   std::string(key.str()),
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
      return Faults.add(SettingsFault::KeyMissing, node ? lineOf(*node) : 0,
                        std::string(key), "a table");
    parseFields(*node->as_table(), key, fields, spec, Faults);
  }

  /// Takes addresses that were written as one text apart.
  void splitEndpoints() {
    struct Row {
      const std::string &Text;
      std::string &Address;
      uint32_t &Port;
    };
    DaemonSettings &daemon = Result.Daemon;
    const Row rows[] = {
        {daemon.Listen, daemon.ListenAddress, daemon.ListenPort},
        {daemon.ReadyListen, daemon.ReadyAddress, daemon.ReadyPort},
        {daemon.MetricsListen, daemon.MetricsAddress, daemon.MetricsPort},
        {Result.Store.Endpoint, Result.Store.Address, Result.Store.Port},
    };
    for (const Row &row : rows) {
      if (!isEndpoint(row.Text))
        continue;
      size_t colon = row.Text.rfind(':');
      row.Address = row.Text.substr(0, colon);
      row.Port = static_cast<uint32_t>(std::stoul(row.Text.substr(colon + 1)));
    }
  }

  void parseVm(const toml::table &table) {
    VmSpec &spec = Result.Vms.emplace_back();
    parseFields(table, "vm", VmFields, spec, Faults);
    VmNames.add(spec.Name, lineOf(table));
  }

  /// Secrets may come from the environment, which goes before the file.
  void overrideFromEnvironment() {
    DaemonSettings &daemon = Result.Daemon;
    for (const Override &row : Overrides)
      if (const char *value = std::getenv(row.Variable))
        daemon.*row.Member = value;
    if (daemon.TlsCertificate.empty() != daemon.TlsKey.empty())
      Faults.add(SettingsFault::KeyMissing, 0,
                 daemon.TlsKey.empty() ? "daemon.tls_key"
                                       : "daemon.tls_certificate",
                 "both daemon.tls_certificate and daemon.tls_key, or neither");
  }

  void parseService(const toml::table &table) {
    static constexpr std::string_view Nested[] = {"instance"};
    ServiceSpec &spec = Result.Catalog.Services.emplace_back();
    parseFields(table, "service", ServiceFields, spec, Faults, Nested);
    ServiceNames.add(spec.Name, lineOf(table));
    NameCheck instanceNames("service.instance.name", Faults);
    forEachTable(table, "instance", Faults, [&](const toml::table &it) {
      InstanceSpec &instance = spec.Instances.emplace_back();
      parseFields(it, "service.instance", InstanceFields, instance, Faults);
      instanceNames.add(instance.Name, lineOf(it));
    });
  }

  void parseWorkspace(const toml::table &table) {
    static constexpr std::string_view Nested[] = {"key"};
    WorkspaceSpec &spec = Result.Catalog.Workspaces.emplace_back();
    parseFields(table, "workspace", WorkspaceFields, spec, Faults, Nested);
    WorkspaceNames.add(spec.Name, lineOf(table));
    NameCheck keyIds("workspace.key.id", Faults);
    forEachTable(table, "key", Faults, [&](const toml::table &it) {
      KeySpec &key = spec.Keys.emplace_back();
      parseFields(it, "workspace.key", KeyFields, key, Faults);
      keyIds.add(key.Id, lineOf(it));
    });
  }

  void parseRoute(const toml::table &table) {
    RouteSpec &spec = Result.Catalog.Routes.emplace_back();
    parseFields(table, "route", RouteFields, spec, Faults);
    uint32_t line = lineOf(table);
    RouteNames.add(spec.Name, line);
    ServiceNames.expect(spec.Service, line, "route.service");
    for (const std::string &name : spec.Workspaces)
      WorkspaceNames.expect(name, line, "route.workspaces");
    if (!spec.Prefix.starts_with('/'))
      Faults.add(SettingsFault::ValueOutOfRange, line, "route.prefix",
                 "a path that starts with /");
  }

  const toml::table &Root;
  FaultList &Faults;
  NameCheck VmNames;
  NameCheck ServiceNames;
  NameCheck RouteNames;
  NameCheck WorkspaceNames;
  Settings Result;
};

} // namespace

SettingsResult<Settings> parseSettings(std::string_view text,
                                       std::string_view file) {
  FaultList faults(file);
  try {
    toml::table root = toml::parse(text, file);
    Settings settings = SettingsParser(root, faults).parse();
    if (faults.found().Items.empty())
      return settings;
  } catch (const toml::parse_error &error) {
    faults.add(SettingsFault::SyntaxInvalid, error.source().begin.line, "",
               std::string(error.description()));
  }
  return std::move(faults.found());
}

SettingsResult<Settings> readSettings(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    FaultList faults(path);
    faults.add(SettingsFault::FileUnreadable, 0, "", "a readable file");
    return std::move(faults.found());
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
