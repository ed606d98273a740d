#include "query_answer.h"

#include "reducer_state.h"

#include <algorithm>
#include <array>
#include <span>

namespace guavasail {

namespace {

QueryCell text(std::string_view value) { return std::string(value); }

QueryCell yesNo(bool value) { return text(value ? "yes" : "no"); }

QueryCell wholeSeconds(Duration duration) {
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  return static_cast<uint64_t>(std::max<int64_t>(seconds.count(), 0));
}

/// Reads cells of the state. Rows are indices into the state's tables.
class StateReader {
public:
  StateReader(const ReducerState &state, Instant now)
      : State(state), Now(now), Members(state.Members.view()) {}

  // Services.
  [[nodiscard]] size_t serviceCount() const {
    return State.Catalog.services().size();
  }
  [[nodiscard]] bool serviceShown(uint32_t row) const {
    return State.Catalog.services()[row].Present;
  }
  [[nodiscard]] QueryCell serviceName(uint32_t row) const {
    return text(State.Catalog.name(ServiceHandle{row}));
  }
  [[nodiscard]] QueryCell serviceFloor(uint32_t row) const {
    return uint64_t{State.Catalog.services()[row].FloorPercent};
  }
  [[nodiscard]] QueryCell serviceHealthy(uint32_t row) const {
    const auto &instances = State.Catalog.services()[row].Instances;
    auto inUse = [&](InstanceHandle instance) {
      return health(instance.Value).Use == UseState::InUse;
    };
    return static_cast<uint64_t>(std::ranges::count_if(instances, inUse));
  }
  [[nodiscard]] QueryCell serviceAll(uint32_t row) const {
    return uint64_t{State.Catalog.services()[row].Instances.size()};
  }

  // Instances.
  [[nodiscard]] size_t instanceCount() const {
    return State.Catalog.instances().size();
  }
  [[nodiscard]] bool instanceShown(uint32_t row) const {
    return instance(row).Present;
  }
  [[nodiscard]] QueryCell instanceName(uint32_t row) const {
    return text(State.Catalog.name(InstanceHandle{row}));
  }
  [[nodiscard]] QueryCell instanceService(uint32_t row) const {
    return text(State.Catalog.name(instance(row).Service));
  }
  [[nodiscard]] QueryCell instanceZone(uint32_t row) const {
    return zoneName(instance(row).Zone);
  }
  [[nodiscard]] QueryCell instanceState(uint32_t row) const {
    return text(useStateName(health(row).Use));
  }
  [[nodiscard]] QueryCell instanceSince(uint32_t row) const {
    Instant since = health(row).Since;
    return since == Instant{} ? QueryCell{} : wholeSeconds(Now - since);
  }
  [[nodiscard]] QueryCell instanceReason(uint32_t row) const {
    return text(ejectReasonName(health(row).Reason));
  }
  [[nodiscard]] QueryCell instanceInFlight(uint32_t row) const {
    return uint64_t{State.Instances.at(InstanceHandle{row}).inFlight()};
  }
  [[nodiscard]] QueryCell instanceLeaving(uint32_t row) const {
    return yesNo(State.Health.table().at(InstanceHandle{row}).Leaving);
  }
  [[nodiscard]] QueryCell instanceConnections(uint32_t row) const {
    return uint64_t{instance(row).Spec.Connections};
  }

  // Routes.
  [[nodiscard]] size_t routeCount() const {
    return State.Catalog.routes().size();
  }
  [[nodiscard]] bool routeShown(uint32_t row) const {
    return State.Catalog.routes()[row].Present;
  }
  [[nodiscard]] QueryCell routeName(uint32_t row) const {
    return text(State.Catalog.name(RouteHandle{row}));
  }
  [[nodiscard]] QueryCell routePrefix(uint32_t row) const {
    return text(State.Catalog.prefix(State.Catalog.routes()[row]));
  }
  [[nodiscard]] QueryCell routeService(uint32_t row) const {
    return text(State.Catalog.name(State.Catalog.routes()[row].Service));
  }
  [[nodiscard]] QueryCell routeTimeout(uint32_t row) const {
    Duration timeout = State.Catalog.routes()[row].Timeout;
    auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    return static_cast<uint64_t>(millis.count());
  }

  // Workspaces. Keys and their digests are never read.
  [[nodiscard]] size_t workspaceCount() const {
    return State.Catalog.workspaces().size();
  }
  [[nodiscard]] bool workspaceShown(uint32_t row) const {
    return State.Catalog.workspaces()[row].Present;
  }
  [[nodiscard]] QueryCell workspaceName(uint32_t row) const {
    return text(State.Catalog.name(WorkspaceHandle{row}));
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
  [[nodiscard]] bool vmShown(uint32_t row) const {
    return !Members.Vms[row].Name.empty();
  }
  [[nodiscard]] QueryCell vmName(uint32_t row) const {
    return text(Members.Vms[row].Name);
  }
  [[nodiscard]] QueryCell vmZone(uint32_t row) const {
    return zoneName(Members.Vms[row].Zone);
  }
  [[nodiscard]] QueryCell vmState(uint32_t row) const {
    return text(vmStateName(Members.Vms[row].State));
  }
  [[nodiscard]] QueryCell vmIncarnation(uint32_t row) const {
    return Members.Vms[row].Incarnation;
  }

  // The catalog's version.
  [[nodiscard]] size_t versionCount() const { return 1; }
  [[nodiscard]] bool versionShown(uint32_t) const { return true; }
  [[nodiscard]] QueryCell version(uint32_t) const {
    return State.Catalog.version();
  }

private:
  [[nodiscard]] const InstanceEntry &instance(uint32_t row) const {
    return State.Catalog.instances()[row];
  }
  [[nodiscard]] InstanceHealthView health(uint32_t row) const {
    return State.Health.table().view(InstanceHandle{row});
  }
  [[nodiscard]] QueryCell zoneName(ZoneHandle zone) const {
    return zone.valid() ? text(State.Catalog.name(zone)) : QueryCell{};
  }

  const ReducerState &State;
  Instant Now;
  MemberView Members;
};

using R = StateReader;

/// One column of a subject and the member that reads its cells.
struct Column {
  std::string_view Name;
  QueryCell (R::*Read)(uint32_t row) const;
};

constexpr Column ServiceColumns[] = {
    {"name", &R::serviceName},
    {"floor_percent", &R::serviceFloor},
    {"healthy", &R::serviceHealthy},
    {"all", &R::serviceAll},
};

constexpr Column InstanceColumns[] = {
    {"name", &R::instanceName},
    {"service", &R::instanceService},
    {"zone", &R::instanceZone},
    {"state", &R::instanceState},
    {"since_s", &R::instanceSince},
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

constexpr Column VersionColumns[] = {{"version", &R::version}};

/// One subject: how many rows its table has, which count, and its columns.
struct Subject {
  size_t (R::*Count)() const;
  bool (R::*Shown)(uint32_t row) const;
  std::span<const Column> Columns;
};

/// In the order of `QuerySubject`.
constexpr Subject Subjects[] = {
    {&R::serviceCount, &R::serviceShown, ServiceColumns},
    {&R::instanceCount, &R::instanceShown, InstanceColumns},
    {&R::routeCount, &R::routeShown, RouteColumns},
    {&R::workspaceCount, &R::workspaceShown, WorkspaceColumns},
    {&R::vmCount, &R::vmShown, VmColumns},
    {&R::versionCount, &R::versionShown, VersionColumns},
};

/// A condition whose column was found.
struct Filter {
  const Column *Field;
  std::string_view Value;
};

std::string fieldNames(std::span<const Column> columns) {
  std::string names = "one of the fields ";
  for (const Column &column : columns) {
    if (&column != columns.data())
      names += ", ";
    names += column.Name;
  }
  return names;
}

QueryResult<std::vector<Filter>>
bindConditions(std::span<const QueryCondition> conditions,
               std::span<const Column> columns) {
  std::vector<Filter> filters;
  for (const QueryCondition &condition : conditions) {
    auto it = std::ranges::find(columns, condition.Field, &Column::Name);
    if (it == columns.end())
      return QueryFailure{condition.Column, fieldNames(columns)};
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

/// Writes a cell for people.
struct CellWriter {
  std::string operator()(std::monostate) const { return "-"; }
  std::string operator()(const std::string &value) const { return value; }
  std::string operator()(uint64_t value) const { return std::to_string(value); }
};

} // namespace

std::string cellText(const QueryCell &cell) {
  return std::visit(CellWriter{}, cell);
}

QueryResult<QueryAnswer> answerQuery(const Query &query,
                                     const ReducerState &state, Instant now) {
  const Subject &subject = Subjects[static_cast<size_t>(query.Subject)];
  auto filters = bindConditions(query.Conditions, subject.Columns);
  if (!filters)
    return std::move(filters).error();
  QueryAnswer answer;
  for (const Column &column : subject.Columns)
    answer.Columns.push_back(column.Name);
  StateReader reader(state, now);
  auto count = static_cast<uint32_t>((reader.*subject.Count)());
  for (uint32_t row = 0; row < count; ++row) {
    if (!(reader.*subject.Shown)(row) || !matches(reader, filters.value(), row))
      continue;
    if (answer.Rows.size() < query.Limit)
      answer.Rows.push_back(readRow(reader, subject.Columns, row));
    else
      ++answer.More;
  }
  return answer;
}

} // namespace guavasail
