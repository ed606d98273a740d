/// \file
/// The process shell: joins the loop, the front and back ends and the reducer.
#ifndef GUAVASAIL_SRC_DAEMON_H
#define GUAVASAIL_SRC_DAEMON_H

#include "back_http.h"
#include "buffer_budget.h"
#include "event_sink.h"
#include "exchange.h"
#include "front_end.h"
#include "guavasail/reducer.h"
#include "guavasail/settings.h"
#include "operator_door.h"
#include "peer_transport_uv.h"
#include "store.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <uv.h>

struct lws_context;

namespace guavasail {

/// Why a daemon could not start.
enum class StartFault : uint8_t {
  None,
  LoopFailed,
  ListenFailed,
  PeerSecretMissing,
  PeerListenFailed,
};

/// Runs one daemon on one loop.
class Daemon : public EventSink {
public:
  /// \param settings checked settings.
  /// \param path file that they came from, read again on SIGHUP.
  Daemon(Settings settings, std::string path);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Opens sockets and accepts the settings' catalog.
  /// \returns what went wrong, or `None`.
  StartFault start();

  /// Runs until a drain has completed.
  void run();

  void post(const EventBody &body) override;

private:
  void assignRecords();
  void drainEvents();
  void execute(const Effect &effect);
  void updateServing();
  void setServing(ServingState state, std::string_view reason = {});
  void armTimer();
  void stopLoop();
  StartFault startPeers();
  StartFault startFront();
  bool startLibrary();
  std::string metricsText() const;
  void appendServiceLoads(std::string &text) const;
  void appendConfigDelays(std::string &text) const;
  [[nodiscard]] std::string_view instanceState(InstanceHandle instance) const;

  void on(const StartAttempt &effect);
  void on(const CancelAttempt &effect);
  void on(const RelayResponse &effect);
  void on(const FinishResponse &effect);
  void on(const AbortResponse &effect);
  void on(const RefuseRequest &effect);
  void on(const ReplayResponse &effect);
  void on(const SendPeer &effect);
  void on(const SendPeers &effect);
  void on(const MemberChanged &effect);
  void on(const CallShareStore &effect);
  void on(const StoreRead &effect);
  void on(const StoreWrite &effect);
  void on(const StoreWatch &effect);
  void on(const ChangeConcluded &effect);
  void on(const AuditReply &effect);
  void on(const DrainCompleted &effect);
  void on(const ConfigActivated &effect);
  void on(const ZoneEvacuationChanged &effect);
  void on(const RequestDecision &effect);
  void on(const CallPresence &effect);

  static void onTimer(uv_timer_t *timer);
  static void onPrepare(uv_prepare_t *prepare);
  static void onCheck(uv_check_t *check);
  static void onSignal(uv_signal_t *signal, int number);
  static void onReload(uv_signal_t *signal, int number);
  void reload();

  Settings Config;
  std::string SettingsPath;
  VmSpec Self;
  uv_loop_t Loop{};
  bool LoopOpen = false;
  uv_timer_t Timer{};
  uv_prepare_t Prepare{};
  uv_check_t Check{};
  uv_signal_t Terminate{};
  uv_signal_t Interrupt{};
  uv_signal_t Reload{};
  lws_context *Context = nullptr;
  Reducer Decisions;
  EffectBuffer Effects;
  std::deque<EventBody> Queue;
  std::vector<RecordAssignment> Assignments;
  ExchangeTable Exchanges;
  BufferBudget Budget{Config.Bounds};
  std::unique_ptr<BackHttp> Back;
  std::unique_ptr<platform::Store> Store;
  std::unique_ptr<FrontEnd> Front;
  std::unique_ptr<OperatorDoors> Doors;
  std::unique_ptr<PeerTransport> Peers;
  Instant Armed = NeverInstant;
  /// The decisions have nothing in progress and take no new request.
  bool Drained = false;
};

} // namespace guavasail

#endif
