#include "session.h"

#include "vm_index.h"

#include <array>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace guavasail {

namespace {

using Words = std::vector<std::string>;

constexpr uint64_t SessionSeed = 7;

/// Start time of a script; non-zero, so that no instant equals the default.
constexpr Instant SessionStart{std::chrono::seconds(1000)};

std::string attemptText(AttemptHandle attempt) {
  return std::to_string(attempt.Request.Index) + "." +
         std::to_string(attempt.Ordinal);
}

std::string millisText(Duration duration) {
  return std::to_string(duration.count() / 1000) + "ms";
}

struct EffectPrinter {
  std::string operator()(const StartAttempt &it) const {
    return "start " + attemptText(it.Attempt) + " instance " +
           std::to_string(it.Instance.Value) + " lane " +
           std::to_string(it.Connection.Value) + " remaining " +
           millisText(it.Remaining);
  }
  std::string operator()(const CancelAttempt &it) const {
    return "cancel " + attemptText(it.Attempt);
  }
  std::string operator()(const RelayResponse &it) const {
    return "relay " + attemptText(it.Attempt);
  }
  std::string operator()(const FinishResponse &it) const {
    return "finish " + std::to_string(it.Request.Index);
  }
  std::string operator()(const AbortResponse &it) const {
    return "abort " + std::to_string(it.Request.Index);
  }
  std::string operator()(const RefuseRequest &it) const {
    const RefusalSpec &spec = refusalSpec(it.Kind);
    return "refuse " + std::to_string(it.Request.Index) + " " +
           std::string(spec.Name) + " " + std::string(runStateName(spec.Run));
  }
  std::string operator()(const ReplayResponse &it) const {
    return "replay " + std::to_string(it.Request.Index) + " " + it.Answer;
  }
  std::string operator()(const SendPeer &it) const {
    return "send " + std::to_string(it.To.Value);
  }
  std::string operator()(const SendPeers &it) const {
    std::string line = "send";
    for (VmHandle vm : it.To)
      line += " " + std::to_string(vm.Value);
    return line;
  }
  std::string operator()(const MemberChanged &it) const {
    return "member " + std::to_string(it.Vm.Value) + " state " +
           std::to_string(static_cast<int>(it.State));
  }
  std::string operator()(const CallShareStore &it) const {
    return "call share " + std::to_string(it.Call.Share.Partition) + "." +
           std::to_string(it.Call.Share.Share);
  }
  std::string operator()(const StoreRead &) const { return "store read"; }
  std::string operator()(const StoreWrite &) const { return "store write"; }
  std::string operator()(const StoreWatch &) const { return "store watch"; }
  std::string operator()(const ChangeConcluded &it) const {
    static constexpr auto Names = std::to_array<std::string_view>(
        {"accepted", "conflict", "rejected", "outcome unknown"});
    return "change " + std::string(Names[it.Outcome.index()]);
  }
  std::string operator()(const AuditReply &it) const {
    return "audit " + std::to_string(it.Records.size());
  }
  std::string operator()(const RequestDecision &it) const {
    return "decided " + std::to_string(static_cast<int>(it.Kind)) + " " +
           std::to_string(it.Request.Index);
  }
  std::string operator()(const CallPresence &it) const {
    return "presence " + std::to_string(static_cast<int>(it.Call));
  }
  std::string operator()(const ConfigActivated &it) const {
    return "config in force " + std::to_string(it.Version);
  }
  std::string operator()(const ZoneEvacuationChanged &it) const {
    return (it.Evacuated ? "evacuated " : "restored ") + std::string(it.Zone);
  }
  std::string operator()(const DrainCompleted &) const {
    return "drain completed";
  }
};

/// Parses input lines and feeds them to a reducer.
class SessionRunner {
public:
  SessionRunner() : TestedReducer(sessionInit()) {}

  std::string run(std::string_view script) {
    std::istringstream lines{std::string(script)};
    std::string line;
    while (std::getline(lines, line)) {
      if (line.starts_with("#"))
        Out += line + "\n";
      if (line.starts_with("> "))
        input(line);
    }
    return Out;
  }

private:
  using Parse = EventBody (SessionRunner::*)(const Words &words);
  struct Row {
    std::string_view Name;
    Parse Make;
  };
  static std::span<const Row> rows();

  static ReducerInit sessionInit() {
    ReducerInit init;
    init.Name = "vm-0";
    init.Incarnation = 1;
    init.Zone = "cabo-vela";
    init.Balance = BalanceKind::RoundRobin;
    init.Seed = SessionSeed;
    return init;
  }

  void input(const std::string &line) {
    Out += line + "\n";
    std::istringstream in(line.substr(2));
    Words words;
    std::string word;
    while (in >> word)
      words.push_back(word);
    Now += std::chrono::milliseconds(std::stoll(words.at(0)));
    words.erase(words.begin());
    for (const Row &row : rows()) {
      if (row.Name != words.at(0))
        continue;
      EventBody body = (this->*row.Make)(words);
      Effects.clear();
      TestedReducer.reduce({Now, body}, Effects);
      for (const Effect &effect : Effects.items())
        Out += effectText(effect) + "\n";
      return;
    }
    throw std::invalid_argument("unknown input: " + line);
  }

  static RequestHandle handle(const std::string &word) {
    return {static_cast<uint32_t>(std::stoul(word)), 1};
  }

  static AttemptHandle attempt(const std::string &word) {
    size_t dot = word.find('.');
    return {handle(word.substr(0, dot)),
            static_cast<uint32_t>(std::stoul(word.substr(dot + 1)))};
  }

  EventBody catalog(const Words &) {
    Catalog = sampleCatalog();
    return CatalogAccepted{&Catalog};
  }

  /// assign: makes this VM the only holder of all records since its first
  /// incarnation.
  EventBody assign(const Words &) {
    RecordAssignment assignment;
    assignment.Epoch = 1;
    assignment.Replicas.Items[0] = {vmId("vm-0"), 1};
    Assignments.assign(RecordPartitions, assignment);
    return RecordsAssigned{Assignments};
  }

  /// request INDEX METHOD PATH [key NAME] [body BYTES] [allow MS]
  /// [idem NAME] [print NUMBER]
  EventBody request(const Words &words) {
    RequestArrived event;
    event.Request = handle(words.at(1));
    event.Repeat = words.at(2) == "GET" ? Repeatability::Idempotent
                                        : Repeatability::AtMostOnce;
    Path = words.at(3);
    event.Path = Path;
    for (size_t n = 4; n + 1 < words.size(); n += 2) {
      if (words[n] == "key")
        event.Key = sampleDigest(words[n + 1]);
      if (words[n] == "idem")
        event.IdempotencyKey = sampleDigest(words[n + 1]);
      if (words[n] == "print")
        event.Fingerprint = std::stoull(words[n + 1]);
      if (words[n] == "body")
        event.BodyBytes = std::stoull(words[n + 1]);
      if (words[n] == "allow")
        event.CallerTimeout =
            std::chrono::milliseconds(std::stoll(words[n + 1]));
    }
    return event;
  }

  EventBody gone(const Words &words) {
    return CallerDisconnected{handle(words.at(1))};
  }

  /// answered ATTEMPT STATUS [shed]
  EventBody answered(const Words &words) {
    AttemptResponded event;
    event.Attempt = attempt(words.at(1));
    event.Status = static_cast<uint32_t>(std::stoul(words.at(2)));
    event.Shed = words.size() > 3 && words[3] == "shed";
    return event;
  }

  /// completed ATTEMPT [ANSWER]
  EventBody completed(const Words &words) {
    AttemptCompleted event;
    event.Attempt = attempt(words.at(1));
    if (words.size() > 2)
      Answer = words[2];
    event.Answer = words.size() > 2 ? std::string_view(Answer) : "";
    return event;
  }

  /// failed ATTEMPT connect|reset|truncated
  EventBody failed(const Words &words) {
    const std::string &what = words.at(2);
    if (what == "connect")
      return AttemptFailed{attempt(words.at(1)), AttemptFault::ConnectFailed,
                           false};
    AttemptFault fault =
        what == "reset" ? AttemptFault::Reset : AttemptFault::Truncated;
    return AttemptFailed{attempt(words.at(1)), fault, true};
  }

  /// freed INSTANCE LANE
  EventBody freed(const Words &words) {
    return LaneFreed{{static_cast<uint32_t>(std::stoul(words.at(1)))},
                     {static_cast<uint32_t>(std::stoul(words.at(2)))}};
  }

  EventBody tick(const Words &) { return TimeAdvanced{}; }
  EventBody drain(const Words &) { return DrainRequested{}; }

  Reducer TestedReducer;
  EffectBuffer Effects;
  CatalogSpec Catalog;
  std::vector<RecordAssignment> Assignments;
  std::string Path;
  std::string Answer;
  std::string Out;
  Instant Now = SessionStart;
};

std::span<const SessionRunner::Row> SessionRunner::rows() {
  static constexpr Row Rows[] = {
      {"catalog", &SessionRunner::catalog},
      {"assign", &SessionRunner::assign},
      {"request", &SessionRunner::request},
      {"gone", &SessionRunner::gone},
      {"answered", &SessionRunner::answered},
      {"completed", &SessionRunner::completed},
      {"failed", &SessionRunner::failed},
      {"freed", &SessionRunner::freed},
      {"tick", &SessionRunner::tick},
      {"drain", &SessionRunner::drain},
  };
  return Rows;
}

ServiceSpec sampleService(std::string name, uint32_t count) {
  static constexpr auto Zones =
      std::to_array<std::string_view>({"cabo-vela", "riohacha"});
  ServiceSpec service;
  service.Name = std::move(name);
  for (uint32_t n = 0; n < count; ++n) {
    InstanceSpec instance;
    instance.Name = "i" + std::to_string(n);
    instance.Address = "127.0.0.1";
    instance.Port = 9000 + n;
    instance.Zone = Zones[n % Zones.size()];
    service.Instances.push_back(std::move(instance));
  }
  return service;
}

WorkspaceSpec sampleWorkspace(std::string name) {
  WorkspaceSpec workspace;
  workspace.Keys.push_back({"k1", sampleDigest(name)});
  workspace.Name = std::move(name);
  return workspace;
}

RouteSpec sampleRoute(std::string name, std::string service) {
  RouteSpec route;
  route.Prefix = "/" + name;
  route.Name = std::move(name);
  route.Service = std::move(service);
  route.Timeout = std::chrono::seconds(2);
  return route;
}

} // namespace

Digest sampleDigest(std::string_view name) {
  Digest digest;
  for (size_t n = 0; n < digest.Bytes.size() && n < name.size(); ++n)
    digest.Bytes[n] = static_cast<uint8_t>(name[n]);
  return digest;
}

CatalogSpec sampleCatalog() {
  CatalogSpec catalog;
  catalog.Version = 1;
  catalog.Services.push_back(sampleService("wind", 3));
  catalog.Services.push_back(sampleService("notices", 2));
  catalog.Workspaces.push_back(sampleWorkspace("school"));
  catalog.Workspaces.push_back(sampleWorkspace("harbour"));
  catalog.Routes.push_back(sampleRoute("wind", "wind"));
  catalog.Routes.push_back(sampleRoute("notices", "notices"));
  catalog.Routes.back().Workspaces = {"harbour"};
  return catalog;
}

std::string effectText(const Effect &effect) {
  return std::visit(EffectPrinter{}, effect);
}

std::string runSession(std::string_view script) {
  return SessionRunner().run(script);
}

} // namespace guavasail
