#include "query_answer.h"

#include "reducer_state.h"

#include <algorithm>
#include <array>
#include <span>

namespace guavasail {

namespace {

QueryCell textCell(std::string_view value) { return std::string(value); }

QueryCell booleanCell(bool value) { return textCell(value ? "yes" : "no"); }

QueryCell secondsCell(Duration duration) {
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  return static_cast<uint64_t>(std::max<int64_t>(seconds.count(), 0));
}

/// Reads cells from the reducer state. Rows index the state's tables.
class StateReader {
public:
  StateReader(const ReducerState &state, Instant now)
      : State(state), Now(now), Members(state.Members.view()) {}

  // Services.
  [[nodiscard]] size_t serviceCount() const {
    return State.Catalog.services().size();
  }
  [[nodiscard]] bool isServicePresent(uint32_t row) const {
    return State.Catalog.services()[row].Present;
  }
  [[nodiscard]] QueryCell serviceName(uint32_t row) const {
    return textCell(State.Catalog.name(ServiceHandle{row}));
  }
  [[nodiscard]] QueryCell serviceFloorPercent(uint32_t row) const {
    return uint64_t{State.Catalog.services()[row].FloorPercent};
  }
  [[nodiscard]] QueryCell serviceHealthyCount(uint32_t row) const {
    const auto &instances = State.Catalog.services()[row].Instances;
    auto inUse = [&](InstanceHandle instance) {
      return health(instance.Value).Use == UseState::InUse;
    };
    return static_cast<uint64_t>(std::ranges::count_if(instances, inUse));
  }
  [[nodiscard]] QueryCell serviceInstanceCount(uint32_t row) const {
    return uint64_t{State.Catalog.services()[row].Instances.size()};
  }

  // Instances.
  [[nodiscard]] size_t instanceCount() const {
    return State.Catalog.instances().size();
  }
  [[nodiscard]] bool isInstancePresent(uint32_t row) const {
    return instance(row).Present;
  }
  [[nodiscard]] QueryCell instanceName(uint32_t row) const {
    return textCell(State.Catalog.name(InstanceHandle{row}));
  }
  [[nodiscard]] QueryCell instanceService(uint32_t row) const {
    return textCell(State.Catalog.name(instance(row).Service));
  }
  [[nodiscard]] QueryCell instanceZone(uint32_t row) const {
    return zoneCell(instance(row).Zone);
  }
  [[nodiscard]] QueryCell instanceState(uint32_t row) const {
    return textCell(useStateName(health(row).Use));
  }
  [[nodiscard]] QueryCell instanceStateSeconds(uint32_t row) const {
    Instant since = health(row).Since;
    return since == Instant{} ? QueryCell{} : secondsCell(Now - since);
  }
  [[nodiscard]] QueryCell instanceReason(uint32_t row) const {
    return textCell(ejectReasonName(health(row).Reason));
  }
  [[nodiscard]] QueryCell instanceInFlight(uint32_t row) const {
    return uint64_t{State.Instances.at(InstanceHandle{row}).inFlight()};
  }
  [[nodiscard]] QueryCell instanceLeaving(uint32_t row) const {
    return booleanCell(State.Health.table().at(InstanceHandle{row}).Leaving);
  }
  [[nodiscard]] QueryCell instanceConnections(uint32_t row) const {
    return uint64_t{instance(row).Spec.Connections};
  }

  // Routes.
  [[nodiscard]] size_t routeCount() const {
    return State.Catalog.routes().size();
  }
  [[nodiscard]] bool isRoutePresent(uint32_t row) const {
    return State.Catalog.routes()[row].Present;
  }
  [[nodiscard]] QueryCell routeName(uint32_t row) const {
    return textCell(State.Catalog.name(RouteHandle{row}));
  }
  [[nodiscard]] QueryCell routePrefix(uint32_t row) const {
    return textCell(State.Catalog.prefix(State.Catalog.routes()[row]));
  }
  [[nodiscard]] QueryCell routeService(uint32_t row) const {
    return textCell(State.Catalog.name(State.Catalog.routes()[row].Service));
  }
  [[nodiscard]] QueryCell routeTimeout(uint32_t row) const {
    Duration timeout = State.Catalog.routes()[row].Timeout;
    auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    return static_cast<uint64_t>(millis.count());
  }

  // Workspaces. API keys and their digests are never read.
  [[nodiscard]] size_t workspaceCount() const {
    return State.Catalog.workspaces().size();
  }
  [[nodiscard]] bool isWorkspacePresent(uint32_t row) const {
    return State.Catalog.workspaces()[row].Present;
  }
  [[nodiscard]] QueryCell workspaceName(uint32_t row) const {
    return textCell(State.Catalog.name(WorkspaceHandle{row}));
  }
  [[nodiscard]] QueryCell workspaceWeight(uint32_t row) const {
    return uint64_t{State.Catalog.workspaces()[row].Weight};
  }
  [[nodiscard]] QueryCell workspaceRate(uint32_t row) const {
    return uint64_t{State.Catalog.workspaces()[row].RatePerSecond};
  }
  [[nodiscard]] QueryCell workspaceBurst(uint32_t row) const {
    return uint64_t{State.Catalog.workspaces()[row].Burst};
  }

  // VMs.
  [[nodiscard]] size_t vmCount() const { return Members.Vms.size(); }
  [[nodiscard]] bool isVmPresent(uint32_t row) const {
    return !Members.Vms[row].Name.empty();
  }
  [[nodiscard]] QueryCell vmName(uint32_t row) const {
    return textCell(Members.Vms[row].Name);
  }
  [[nodiscard]] QueryCell vmZone(uint32_t row) const {
    return zoneCell(Members.Vms[row].Zone);
  }
  [[nodiscard]] QueryCell vmState(uint32_t row) const {
    return textCell(vmStateName(Members.Vms[row].State));
  }
  [[nodiscard]] QueryCell vmIncarnation(uint32_t row) const {
    return Members.Vms[row].Incarnation;
  }

  // The version of the catalog.
  [[nodiscard]] size_t versionCount() const { return 1; }
  [[nodiscard]] bool isVersionPresent(uint32_t) const { return true; }
  [[nodiscard]] QueryCell catalogVersion(uint32_t) const {
    return State.Catalog.version();
  }

private:
  [[nodiscard]] const InstanceEntry &instance(uint32_t row) const {
    return State.Catalog.instances()[row];
  }
  [[nodiscard]] InstanceHealthView health(uint32_t row) const {
    return State.Health.table().view(InstanceHandle{row});
  }
  [[nodiscard]] QueryCell zoneCell(ZoneHandle zone) const {
    return zone.valid() ? textCell(State.Catalog.name(zone)) : QueryCell{};
  }

  const ReducerState &State;
  Instant Now;
  MemberView Members;
};

using R = StateReader;

/// A column and the member function that reads its cells.
struct Column {
  std::string_view Name;
  QueryCell (R::*Read)(uint32_t row) const;
};

constexpr Column ServiceColumns[] = {
    {"name", &R::serviceName},
    {"floor_percent", &R::serviceFloorPercent},
    {"healthy", &R::serviceHealthyCount},
    {"all", &R::serviceInstanceCount},
};

constexpr Column InstanceColumns[] = {
    {"name", &R::instanceName},
    {"service", &R::instanceService},
    {"zone", &R::instanceZone},
    {"state", &R::instanceState},
    {"since_s", &R::instanceStateSeconds},
    {"reason", &R::instanceReason},
    {"in_flight", &R::instanceInFlight},
    {"leaving", &R::instanceLeaving},
    {"connections", &R::instanceConnections},
};

constexpr Column RouteColumns[] = {
    {"name", &R::routeName},
    {"prefix", &R::routePrefix},
    {"service", &R::routeService},
    {"timeout_ms", &R::routeTimeout},
};

constexpr Column WorkspaceColumns[] = {
    {"name", &R::workspaceName},
    {"weight", &R::workspaceWeight},
    {"rate", &R::workspaceRate},
    {"burst", &R::workspaceBurst},
};

constexpr Column VmColumns[] = {
    {"name", &R::vmName},
    {"zone", &R::vmZone},
    {"state", &R::vmState},
    {"incarnation", &R::vmIncarnation},
};

constexpr Column VersionColumns[] = {{"version", &R::catalogVersion}};

/// A queryable table: its size, which rows are present, and its columns.
/// Entries removed from the catalog keep their row.
struct SubjectTable {
  size_t (R::*RowCount)() const;
  bool (R::*IsPresent)(uint32_t row) const;
  std::span<const Column> Columns;
};

/// Indexed by `QuerySubject`.
constexpr SubjectTable SubjectTables[] = {
    {&R::serviceCount, &R::isServicePresent, ServiceColumns},
    {&R::instanceCount, &R::isInstancePresent, InstanceColumns},
    {&R::routeCount, &R::isRoutePresent, RouteColumns},
    {&R::workspaceCount, &R::isWorkspacePresent, WorkspaceColumns},
    {&R::vmCount, &R::isVmPresent, VmColumns},
    {&R::versionCount, &R::isVersionPresent, VersionColumns},
};

/// A condition with its field resolved to a column.
struct Filter {
  const Column *Field;
  std::string_view Value;
};

std::string expectedFields(std::span<const Column> columns) {
  std::string names = "one of the fields ";
  for (const Column &column : columns) {
    if (&column != columns.data())
      names += ", ";
    names += column.Name;
  }
  return names;
}

QueryResult<std::vector<Filter>>
resolveConditions(std::span<const QueryCondition> conditions,
                  std::span<const Column> columns) {
  std::vector<Filter> filters;
  for (const QueryCondition &condition : conditions) {
    auto it = std::ranges::find(columns, condition.Field, &Column::Name);
    if (it == columns.end())
      return QueryFailure{condition.Column, expectedFields(columns)};
    filters.push_back({&*it, condition.Value});
  }
  return filters;
}

bool matches(const StateReader &reader, std::span<const Filter> filters,
             uint32_t row) {
  return std::ranges::all_of(filters, [&](const Filter &filter) {
    return cellText((reader.*filter.Field->Read)(row)) == filter.Value;
  });
}

std::vector<QueryCell> readRow(const StateReader &reader,
                               std::span<const Column> columns, uint32_t row) {
  std::vector<QueryCell> cells;
  cells.reserve(columns.size());
  for (const Column &column : columns)
    cells.push_back((reader.*column.Read)(row));
  return cells;
}

/// Formats a cell as text.
struct CellTextFormatter {
  std::string operator()(std::monostate) const { return "-"; }
  std::string operator()(const std::string &value) const { return value; }
  std::string operator()(uint64_t value) const { return std::to_string(value); }
};

} // namespace

std::string cellText(const QueryCell &cell) {
  return std::visit(CellTextFormatter{}, cell);
}

QueryResult<QueryTable> executeQuery(const Query &query,
                                     const ReducerState &state, Instant now) {
  const SubjectTable &subject =
      SubjectTables[static_cast<size_t>(query.Subject)];
  auto filters = resolveConditions(query.Conditions, subject.Columns);
  if (!filters)
    return std::move(filters).error();
  QueryTable table;
  for (const Column &column : subject.Columns)
    table.Columns.push_back(column.Name);
  StateReader reader(state, now);
  auto count = static_cast<uint32_t>((reader.*subject.RowCount)());
  for (uint32_t row = 0; row < count; ++row) {
    if (!(reader.*subject.IsPresent)(row) ||
        !matches(reader, filters.value(), row))
      continue;
    if (table.Rows.size() < query.Limit)
      table.Rows.push_back(readRow(reader, subject.Columns, row));
    else
      ++table.OmittedRows;
  }
  return table;
}

} // namespace guavasail
