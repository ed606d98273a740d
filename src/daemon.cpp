#include "daemon.h"

#include "boot_clock.h"
#include "front_http.h"
#include "front_plain.h"
#include "http_refusal.h"
#include "log.h"
#include "record_assignment.h"
#include "reducer_state.h"
#include "rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <sodium.h>

namespace guavasail {

namespace {

constexpr unsigned LibraryTimeoutSeconds = 24 * 3600;
/// Three renewals may be lost before the lease expires.
constexpr int RenewalsPerLease = 4;

uint64_t randomSeed() {
  uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return seed;
}

/// \returns a number that grows from start to start. A clock that was set back
/// does no harm: others then tell this VM of its earlier incarnation.
uint64_t startIncarnation() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
  return static_cast<uint64_t>(millis.count()) * (MemberRefutationMask + 1);
}

/// \returns a number of cores in percent, at least 1; 0 for an empty text.
uint32_t cpuPercentOf(const std::string &cores) {
  constexpr double Hundred = 100;
  if (cores.empty())
    return 0;
  return std::max(
      1U, static_cast<uint32_t>(std::lround(std::stod(cores) * Hundred)));
}

/// \returns this VM as others find it; without a port it takes no part in a
/// fleet.
VmSpec selfOf(const Settings &settings) {
  auto it = std::find_if(
      settings.Vms.begin(), settings.Vms.end(),
      [&](const VmSpec &vm) { return vm.Name == settings.Daemon.Name; });
  if (it != settings.Vms.end())
    return *it;
  VmSpec self;
  if (settings.Fleet.PeerPort == 0)
    return self;
  self.Name = settings.Daemon.Name;
  self.Address = settings.Fleet.Address;
  self.PeerPort = settings.Fleet.PeerPort;
  self.Zone = settings.Daemon.Zone;
  self.Region = settings.Fleet.Region;
  self.Incarnation = startIncarnation();
  self.CpuPercent = cpuPercentOf(settings.Fleet.CpuShare);
  return self;
}

/// Appends the key made of the environment variable \p name, if it is set.
void addPeerKey(const std::string &name, PeerKeyRing &keys) {
  const char *secret = name.empty() ? nullptr : std::getenv(name.c_str());
  if (secret && *secret)
    keys.push_back(makePeerKey(secret));
}

ReducerInit reducerInit(const Settings &settings, const VmSpec &self) {
  ReducerInit init;
  init.Bounds = settings.Bounds;
  init.Name = settings.Daemon.Name;
  init.Zone = settings.Daemon.Zone;
  init.Seed = randomSeed();
  init.KeepsRecords = settings.assignsRecords();
  // Each listed VM has a fixed part of each rate, whether it runs or not.
  init.Rates.EvenSplitParts =
      std::max<uint32_t>(1, static_cast<uint32_t>(settings.Vms.size()));
  init.UsesStore = settings.Store.Port > 0;
  init.Self = self;
  if (self.PeerPort > 0)
    init.Incarnation =
        self.Incarnation > 0 ? self.Incarnation : startIncarnation();
  const FleetSettings &fleet = settings.Fleet;
  init.Fleet = fleet.Mode == "owners" ? FleetKind::Owners : FleetKind::Alone;
  if (fleet.Placement == "even")
    init.Dispatch.Placement = PlacementKind::Even;
  init.Dispatch.RetryPercent = fleet.RetryPercent;
  init.Dispatch.RetrySlack = fleet.RetrySlack;
  init.Dispatch.RetryWindow = fleet.RetryWindow;
  if (!fleet.WarmupOvershoot.empty())
    init.Dispatch.WarmupOvershoot = std::stod(fleet.WarmupOvershoot);
  init.Dispatch.WarmupSlack = fleet.WarmupSlack;
  init.Dispatch.Seed = init.Seed;
  init.Presence.Enabled = init.UsesStore && fleet.PeerPort > 0;
  init.Presence.Lease = fleet.Lease;
  init.Presence.RenewInterval = fleet.Lease / RenewalsPerLease;
  init.Presence.Seed = init.Seed;
  init.MaxWithdrawalDelay = fleet.MaxWithdrawalDelay;
  init.AdmitDuringOutage = fleet.AdmitDuringOutage;
  return init;
}

/// \returns \p time for the log, -1 if there is none.
int64_t loggedMillis(Duration time) {
  if (time == Duration::max())
    return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

template <typename HandleType> Daemon *ownerOf(HandleType *handle) {
  return static_cast<Daemon *>(handle->data);
}

void logLibrary(int level, const char *line) {
  std::string_view text(line);
  if (text.ends_with('\n'))
    text.remove_suffix(1);
  logLine(level == LLL_ERR ? LogLevel::Warning : LogLevel::Debug,
          "http-library", {{"text", text}});
}

} // namespace

Daemon::Daemon(Settings settings, std::string path)
    : Config(std::move(settings)), SettingsPath(std::move(path)),
      Self(selfOf(Config)), Decisions(reducerInit(Config, Self)) {}

Daemon::~Daemon() {
  if (Context)
    lws_context_destroy(Context);
  if (!LoopOpen)
    return;
  if (Peers)
    Peers->close();
  if (Store)
    Store->close();
  if (Back)
    Back->close();
  if (Front)
    Front->close();
  if (Doors)
    Doors->close();
  uv_handle_t *own[] = {reinterpret_cast<uv_handle_t *>(&Timer),
                        reinterpret_cast<uv_handle_t *>(&Prepare),
                        reinterpret_cast<uv_handle_t *>(&Check),
                        reinterpret_cast<uv_handle_t *>(&Terminate),
                        reinterpret_cast<uv_handle_t *>(&Interrupt),
                        reinterpret_cast<uv_handle_t *>(&Reload)};
  for (uv_handle_t *handle : own)
    uv_close(handle, nullptr);
  // The HTTP library closes its own handles while the loop runs on.
  uv_run(&Loop, UV_RUN_DEFAULT);
  // With a foreign loop the context goes in two steps.
  if (Context)
    lws_context_destroy(Context);
  uv_loop_close(&Loop);
}

StartFault Daemon::start() {
  if (uv_loop_init(&Loop) != 0)
    return StartFault::LoopFailed;
  LoopOpen = true;
  uv_timer_init(&Loop, &Timer);
  uv_prepare_init(&Loop, &Prepare);
  uv_check_init(&Loop, &Check);
  uv_signal_init(&Loop, &Terminate);
  uv_signal_init(&Loop, &Interrupt);
  uv_signal_init(&Loop, &Reload);
  Timer.data = Prepare.data = Check.data = this;
  Terminate.data = Interrupt.data = Reload.data = this;
  uv_prepare_start(&Prepare, &Daemon::onPrepare);
  uv_check_start(&Check, &Daemon::onCheck);
  uv_signal_start(&Terminate, &Daemon::onSignal, SIGTERM);
  uv_signal_start(&Interrupt, &Daemon::onSignal, SIGINT);
  uv_signal_start(&Reload, &Daemon::onReload, SIGHUP);

  // A write to a connection that its peer has closed is no reason to end.
  signal(SIGPIPE, SIG_IGN);
  if (StartFault fault = startFront(); fault != StartFault::None)
    return fault;
  if (StartFault fault = startPeers(); fault != StartFault::None)
    return fault;
  if (Config.Store.Port > 0) {
    Store = std::make_unique<platform::Store>(Loop, Config.Store, Self, *this);
    post(TimeAdvanced{});
  } else {
    post(CatalogAccepted{&Config.Catalog});
  }
  assignRecords();
  drainEvents();
  return StartFault::None;
}

/// Starts the HTTP library, which serves callers over TLS.
bool Daemon::startLibrary() {
  lws_set_log_level(LLL_ERR | LLL_WARN, &logLibrary);
  void *loops[] = {&Loop};
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_LIBUV | LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
                 LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  info.foreign_loops = loops;
  info.pt_serv_buf_size = 32 * 1024;
  // The reducer's deadlines bound answers; the front end bounds callers.
  info.timeout_secs = LibraryTimeoutSeconds;
  info.max_http_header_data =
      static_cast<unsigned short>(Config.Bounds.MaxHeaderBytes);
  info.max_http_header_pool = static_cast<unsigned short>(
      std::min(Config.Bounds.MaxCallerConnections, 65535u));
  Context = lws_create_context(&info);
  return Context != nullptr;
}

StartFault Daemon::startFront() {
  Back = std::make_unique<BackHttp>(Loop, Config.Bounds, Config.Headers,
                                    Exchanges, Budget, *this);
  if (Config.Daemon.TlsCertificate.empty()) {
    Front = std::make_unique<FrontPlain>(Loop, Config, Exchanges, *Back, Budget,
                                         static_cast<EventSink &>(*this));
  } else {
    if (!startLibrary())
      return StartFault::LoopFailed;
    Front =
        std::make_unique<FrontHttp>(Context, Config, Exchanges, *Back, Budget,
                                    static_cast<EventSink &>(*this));
  }
  Back->listen(*Front);
  Doors = std::make_unique<OperatorDoors>(Loop, Config,
                                          [this] { return metricsText(); });
  return Front->open() && Doors->open() ? StartFault::None
                                        : StartFault::ListenFailed;
}

StartFault Daemon::startPeers() {
  if (Self.PeerPort == 0)
    return StartFault::None;
  PeerTransportInit init;
  init.ListenAddress = Self.Address;
  init.ListenPort = Self.PeerPort;
  init.SelfName = Self.Name;
  addPeerKey(Config.Peers.SecretEnv, init.Keys);
  if (init.Keys.empty())
    return StartFault::PeerSecretMissing;
  addPeerKey(Config.Peers.PreviousSecretEnv, init.Keys);
  Peers = std::make_unique<PeerTransport>(Loop, std::move(init),
                                          Decisions.state().Members, *this);
  if (!Peers->listen())
    return StartFault::PeerListenFailed;
  post(VmListRead{Config.Vms});
  post(TimeAdvanced{});
  return StartFault::None;
}

void Daemon::assignRecords() {
  if (!Config.assignsRecords())
    return logLine(LogLevel::Info, "records-not-kept", {});
  VmSpec alone;
  alone.Name = Config.Daemon.Name;
  std::span<const VmSpec> vms(Config.Vms);
  Assignments = initialAssignments(vms.empty() ? std::span(&alone, 1) : vms);
  // Records of an earlier life are lost unless the operator rules them out.
  const RecordReplicaId &self = Decisions.state().Self;
  for (RecordAssignment &it : Assignments)
    if (Config.Daemon.FirstStart && it.Replicas.has(self.Vm))
      it.Replicas.Items[it.Replicas.find(self.Vm)] = self;
  post(RecordsAssigned{Assignments});
}

void Daemon::run() { uv_run(&Loop, UV_RUN_DEFAULT); }

void Daemon::post(const EventBody &body) { Queue.push_back(body); }

void Daemon::drainEvents() {
  while (!Queue.empty()) {
    Effects.clear();
    Decisions.reduce({bootTime(), Queue.front()}, Effects);
    Queue.pop_front();
    for (const Effect &effect : Effects.items())
      execute(effect);
  }
  Exchanges.recycle();
  updateServing();
  flushLog();
  if (Store)
    Store->recycle();
  if (Drained && Exchanges.openCount() == 0 && !Front->ending())
    stopLoop();
  if (Peers)
    Peers->flush();
  armTimer();
}

void Daemon::updateServing() {
  if (!Front)
    return;
  const ReducerState &state = Decisions.state();
  if (state.Draining)
    return setServing(ServingState::Draining);
  if (!state.Ready)
    return setServing(ServingState::Starting,
                      notReadyReasonName(state.Config.notReadyReason()));
  bool confirmed = admits(state.Config.freshState(bootTime()));
  setServing(confirmed ? ServingState::Ready : ServingState::Unconfirmed);
}

void Daemon::setServing(ServingState state, std::string_view reason) {
  Front->setServing(state);
  Doors->setServing(state, reason);
}

void Daemon::armTimer() {
  Instant due = Decisions.nextWake();
  if (due == Armed)
    return;
  Armed = due;
  if (due == NeverInstant) {
    uv_timer_stop(&Timer);
    return;
  }
  Duration wait = std::max(due - bootTime(), Duration::zero());
  auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait);
  uv_timer_start(&Timer, &Daemon::onTimer,
                 static_cast<uint64_t>(millis.count()), 0);
}

void Daemon::execute(const Effect &effect) {
  std::visit([this](const auto &body) { on(body); }, effect);
}

void Daemon::on(const StartAttempt &effect) {
  Back->start(effect, Decisions.state().Catalog.at(effect.Instance).Spec);
}
void Daemon::on(const CancelAttempt &effect) { Back->cancel(effect); }
void Daemon::on(const RelayResponse &effect) { Front->relay(effect); }
void Daemon::on(const FinishResponse &effect) { Front->finish(effect); }
void Daemon::on(const AbortResponse &effect) { Front->abort(effect); }
void Daemon::on(const RefuseRequest &effect) { Front->refuse(effect); }
void Daemon::on(const ReplayResponse &effect) { Front->replay(effect); }
void Daemon::on(const SendPeer &effect) {
  if (Peers)
    Peers->send(std::span(&effect.To, 1), effect.Body);
}
void Daemon::on(const SendPeers &effect) {
  if (Peers)
    Peers->send(effect.To, effect.Body);
}
void Daemon::on(const MemberChanged &effect) {
  logLine(LogLevel::Info, "member-changed",
          {{"vm",
            std::string_view(Decisions.state().Members.entry(effect.Vm).Name)},
           {"state", vmStateName(effect.State)}});
}
void Daemon::on(const CallShareStore &) {}
void Daemon::on(const StoreRead &effect) { Store->start(effect); }
void Daemon::on(const StoreWrite &effect) { Store->start(effect); }
void Daemon::on(const StoreWatch &effect) { Store->start(effect); }
void Daemon::on(const ChangeConcluded &effect) {
  static constexpr std::string_view Names[] = {"accepted", "conflict",
                                               "rejected", "outcome-unknown"};
  std::string_view id = std::visit(
      [](const auto &it) -> std::string_view { return it.Id; }, effect.Outcome);
  logLine(LogLevel::Info, "change-concluded",
          {{"change", id}, {"outcome", Names[effect.Outcome.index()]}});
}
void Daemon::on(const AuditReply &) {}
void Daemon::on(const CallPresence &effect) {
  if (Store)
    Store->start(effect);
}
void Daemon::on(const RequestDecision &effect) {
  static constexpr std::string_view Names[] = {
      "request-placed", "request-queued", "attempt-failed",  "request-repeated",
      "answer-overdue", "owner-silent",   "request-answered"};
  const ReducerState &state = Decisions.state();
  const Exchange *exchange = Exchanges.find(effect.Request);
  auto name = [&](auto handle) -> std::string_view {
    return handle.valid() ? state.Catalog.name(handle) : std::string_view();
  };
  auto vmName = [&](VmHandle vm) -> std::string_view {
    return vm.valid() ? std::string_view(state.Members.entry(vm).Name)
                      : std::string_view();
  };
  logLine(LogLevel::Info, Names[static_cast<size_t>(effect.Kind)],
          {{"request", exchange ? requestId(*exchange) : std::string()},
           {"service", name(effect.Service)},
           {"instance", name(effect.Instance)},
           {"workspace", name(effect.Workspace)},
           {"owner", vmName(effect.Vm)},
           {"rate_owner", effect.AdmittedLocally ? std::string_view("local")
                                                 : vmName(effect.RateOwner)},
           {"attempt", static_cast<int64_t>(effect.Attempt)},
           {"status", static_cast<int64_t>(effect.Status)},
           {"outcome", attemptOutcomeName(effect.Outcome)},
           {"elapsed_ms", loggedMillis(effect.Elapsed)},
           {"wait_ms", loggedMillis(effect.Wait)},
           {"version", static_cast<int64_t>(effect.Version)},
           {"mark_age_ms", loggedMillis(effect.MarkAge)},
           {"instance_state", instanceState(effect.Instance)}});
}

/// \returns the state of \p instance as far as this VM knows.
std::string_view Daemon::instanceState(InstanceHandle instance) const {
  const ReducerState &state = Decisions.state();
  if (!instance.valid())
    return {};
  const InstanceEntry &entry = state.Catalog.at(instance);
  if (!entry.Present)
    return "gone";
  if (!state.acceptsRequests(instance, bootTime()))
    return "leaving";
  return entry.Spec.Cold ? "cold" : "ready";
}

std::string Daemon::metricsText() const {
  std::string text;
  auto line = [&](std::string_view name, uint64_t value) {
    text.append("guavasail_").append(name).append(" ");
    text.append(std::to_string(value)).append("\n");
  };
  const ReducerState &state = Decisions.state();
  line("requests_open", state.Requests.open());
  line("requests_waiting", state.Dispatch.waiting());
  line("config_version", state.Catalog.version());
  appendConfigDelays(text);
  appendServiceLoads(text);
  if (Front) {
    const CallerStats &callers = Front->callerStats();
    line("caller_connections", callers.Connections);
    line("callers_closed_stalled", callers.Stalled);
    line("callers_closed_head_incomplete", callers.Displaced);
    line("callers_not_accepted", callers.NotAccepted);
    line("requests_refused_memory", callers.RefusedForMemory);
  }
  line("buffered_bytes", Budget.held());
  if (Store) {
    line("store_calls", Store->stats().Calls);
    line("store_failures", Store->stats().Failures);
  }
  if (Peers) {
    line("peer_messages_in", Peers->stats().MessagesIn);
    line("peer_messages_out", Peers->stats().MessagesOut);
    line("peer_bytes_in", Peers->stats().BytesIn);
    line("peer_bytes_out", Peers->stats().BytesOut);
  }
  return text;
}

/// Appends how late versions of the configuration came into force.
void Daemon::appendConfigDelays(std::string &text) const {
  auto append = [&](std::string_view name, const DelayHistogram &delays) {
    auto counts = delays.cumulative();
    auto line = [&](std::string_view bound, uint64_t count) {
      text.append("guavasail_").append(name).append("_ms_bucket{le=\"");
      text.append(bound).append("\"} ").append(std::to_string(count));
      text.append("\n");
    };
    for (size_t n = 0; n < DelayHistogram::BoundsMillis.size(); ++n)
      line(std::to_string(DelayHistogram::BoundsMillis[n]), counts[n]);
    line("+Inf", counts.back());
  };
  const ConfigPart &config = Decisions.state().Config;
  append("config_spread", config.spreadDelays());
  append("config_stale", config.staleTimes());
}

/// Appends the load of each service on which this VM has granted slots lately.
void Daemon::appendServiceLoads(std::string &text) const {
  const ReducerState &state = Decisions.state();
  for (uint32_t n = 0; n < state.Catalog.services().size(); ++n) {
    std::string_view service = state.Catalog.name(ServiceHandle{n});
    auto loads =
        state.Dispatch.loadSummary(rendezvousKey(service, 0), bootTime());
    if (!loads)
      continue;
    auto line = [&](std::string_view name, double load) {
      constexpr double Hundred = 100;
      text.append("guavasail_").append(name).append("{service=\"");
      text.append(service).append("\"} ");
      text.append(std::to_string(std::llround(load * Hundred))).append("\n");
    };
    line("service_busiest_load_percent", loads->Busiest);
    line("service_mean_load_percent", loads->Mean);
  }
}

void Daemon::on(const ConfigActivated &effect) {
  std::string_view source = "store";
  if (effect.Source.valid())
    source = Decisions.state().Members.entry(effect.Source).Name;
  logLine(LogLevel::Info, "config-in-force",
          {{"version", static_cast<int64_t>(effect.Version)},
           {"before", static_cast<int64_t>(effect.Before)},
           {"mark_age_ms", loggedMillis(effect.MarkAge)},
           {"source", source},
           {"seen_ms", loggedMillis(effect.SeenAge)},
           {"stale_ms", loggedMillis(effect.StaleTime)}});
}

void Daemon::on(const ZoneEvacuationChanged &effect) {
  logLine(LogLevel::Info, effect.Evacuated ? "zone-evacuated" : "zone-restored",
          {{"zone", effect.Zone}});
}

void Daemon::on(const DrainCompleted &) {
  // Answers may still be on their way to callers.
  Drained = true;
}

void Daemon::stopLoop() {
  logLine(LogLevel::Info, "drain-completed", {});
  flushLog();
  uv_stop(&Loop);
}

void Daemon::onTimer(uv_timer_t *timer) {
  Daemon *self = ownerOf(timer);
  self->Armed = NeverInstant;
  self->post(TimeAdvanced{});
}

void Daemon::onPrepare(uv_prepare_t *prepare) {
  ownerOf(prepare)->drainEvents();
}

void Daemon::onCheck(uv_check_t *check) { ownerOf(check)->drainEvents(); }

void Daemon::onSignal(uv_signal_t *signal, int) {
  Daemon *self = ownerOf(signal);
  logLine(LogLevel::Info, "drain-started", {});
  self->post(DrainRequested{});
}

void Daemon::onReload(uv_signal_t *signal, int) { ownerOf(signal)->reload(); }

/// Takes over limits and the log's level from the settings file. The file is
/// taken whole or not at all.
void Daemon::reload() {
  auto read = readSettings(SettingsPath);
  if (!read) {
    for (const SettingsFailure &it : read.error().Items)
      logLine(LogLevel::Error, "reload-refused", {{"fault", describe(it)}});
    return;
  }
  Settings &next = read.value();
  bool restart = next.Daemon.ListenAddress != Config.Daemon.ListenAddress ||
                 next.Daemon.ListenPort != Config.Daemon.ListenPort ||
                 next.Daemon.Zone != Config.Daemon.Zone ||
                 next.Store.Address != Config.Store.Address ||
                 next.Store.Port != Config.Store.Port ||
                 next.Fleet.PeerPort != Config.Fleet.PeerPort ||
                 next.Bounds.MemoryMegabytes != Config.Bounds.MemoryMegabytes;
  // Sockets are bounded when they are opened.
  next.Bounds.MemoryMegabytes = Config.Bounds.MemoryMegabytes;
  Config.Bounds = next.Bounds;
  Config.Daemon.LogLevel = next.Daemon.LogLevel;
  setLogLevel(parseLogLevel(Config.Daemon.LogLevel));
  post(LimitsChanged{Config.Bounds});
  logLine(LogLevel::Info, "reloaded",
          {{"file", std::string_view(SettingsPath)},
           {"restart_needed", std::string_view(restart ? "yes" : "no")}});
}

} // namespace guavasail
