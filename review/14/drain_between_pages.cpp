/// \file
/// An instance reports that it drains while the daemons read the list of
/// instances page by page. Shows whether they still send it requests later than
/// `drain_ms` after the acknowledgement.
#include "../standins-3/config.h"
#include "../standins-3/fleet.h"

#include <set>

namespace {

using namespace review;

constexpr size_t Daemons = 2;
/// Instances of the large deployment's sheet, and a small service.
constexpr int Readings = 219;
constexpr int Notices = 288;
constexpr int Tides = 2;
constexpr int64_t DrainMs = 2000;
/// The instance serves on for so long after its report.
constexpr int64_t ServesMs = 8000;
constexpr int64_t WorkMs = 150;
/// Callers that ask at a time.
constexpr int Callers = 8;
constexpr int Starts = 8;
constexpr const char *Key = "kept-key-3kq0zr7mw1xv";

std::string configText() {
  Json rules = Json::array({rule("r-tides", "/tides/", "safe", "mareas")});
  return config(7, Json::array({tenant("escuela", {Key}, 200, 200)}),
                Json::array({listener("viento.example", rules)}),
                {"lectura", "avisos", "mareas"})
      .dump();
}

/// Runs an action once while all daemons are between the first page of the
/// list and its last one, or while none reads it.
class Moment {
public:
  std::function<void()> Action;

  /// \param duringRead while all read the list, else while none does.
  void arm(bool duringRead) {
    std::lock_guard lock(Mutex);
    DuringRead = duringRead;
    Armed = true;
  }

  void onPage(int link, const std::string &after) {
    std::lock_guard lock(Mutex);
    if (after.empty())
      Reading[link] = nowMs();
    // Keys of daemons come after those of instances, on the last page.
    else if (after >= LastPageAfter)
      Reading.erase(link);
    std::erase_if(Reading,
                  [](const auto &it) { return nowMs() - it.second > 500; });
    if (Reading.size() < Daemons)
      return;
    ++Overlaps;
    if (Armed && DuringRead)
      act();
  }

  /// \returns how often all daemons have read the list at a time since the last
  /// call.
  int takeOverlaps() {
    std::lock_guard lock(Mutex);
    return std::exchange(Overlaps, 0);
  }

  /// \returns true once the action ran.
  bool poll() {
    std::lock_guard lock(Mutex);
    if (Armed && !DuringRead && Reading.empty())
      act();
    return Done;
  }

private:
  /// The last page begins after a key at or behind this one.
  static constexpr const char *LastPageAfter = "servers/i-lectura-0200";

  void act() {
    Armed = false;
    Done = true;
    Action();
  }

  std::mutex Mutex;
  std::map<int, int64_t> Reading;
  bool DuringRead = false;
  bool Armed = false;
  bool Done = false;
  int Overlaps = 0;
};

/// Starts all daemons at once.
bool startAll(Fleet &fleet) {
  for (size_t n = 0; n < Daemons; ++n)
    if (!fleet.start(n))
      return false;
  for (size_t n = 0; n < Daemons; ++n)
    if (!fleet.awaitReady(n, nowMs() + 20000))
      return false;
  return true;
}

int run(const Setup &setup) {
  Record record(setup.RecordPath);
  Store platform;
  Moment moment;
  platform.OnCatalogPage = [&](int link, const std::string &after) {
    moment.onPage(link, after);
  };
  const std::string storeAddress = "127.0.0.2";
  int storePort = freePort(storeAddress);
  Instances servers(platform, WorkMs);
  int serverPort = freePort("127.60.1.1");
  platform.put("op/config", configText());
  bool placed = platform.start(storeAddress, storePort) &&
                servers.add("lectura", Readings, 60, serverPort) &&
                servers.add("avisos", Notices, 61, serverPort) &&
                servers.add("mareas", Tides, 62, serverPort);
  if (!placed)
    return CouldNotRun;
  servers.start();
  Fleet::Ports ports{freePort("127.0.1.1"), freePort("127.0.1.1"),
                     freePort("127.0.1.1"),
                     storeAddress + ":" + std::to_string(storePort)};
  Fleet fleet(setup.Program, setup.Template, setup.Folder, ports);
  // Daemons that are started together read the list at the same times, but for
  // the few milliseconds of their starts. Starts that lie further apart are
  // repeated.
  bool together = false;
  for (int n = 0; n < Starts && !together; ++n) {
    if (!startAll(fleet))
      return CouldNotRun;
    sleepMs(2000);
    moment.takeOverlaps();
    sleepMs(4000);
    together = moment.takeOverlaps() > 0;
    record.line("start %d: %zu daemons are ready and read the list %s; %zu "
                "instances, %zu items a page",
                n + 1, Daemons, together ? "together" : "one after the other",
                servers.size(), Store::PageItems);
    if (!together)
      fleet.endAll();
  }
  if (!together)
    return CouldNotRun;

  Instances::Instance &leaver = servers.at(servers.size() - 1);
  // An instance of another service leaves first; all daemons see that.
  Instances::Instance &first = servers.at(Readings);
  first.Leaving = true;
  servers.enter(first);
  record.line("%s drains", first.Id.c_str());
  sleepMs(3000);

  std::atomic<int64_t> reported = 0;
  moment.Action = [&] {
    leaver.Leaving = true;
    servers.enter(leaver);
    reported = nowMs();
  };
  moment.arm(setup.Trouble);
  for (int64_t due = nowMs() + 20000; !moment.poll();) {
    if (nowMs() > due)
      return CouldNotRun;
    sleepMs(1);
  }
  // The store's answer to the instance.
  sleepMs(platform.answerMs());
  int64_t acknowledged = nowMs();
  record.line("the draining of %s is acknowledged", leaver.Id.c_str());

  // Nobody asks for tides until after the bound.
  sleepUntil(acknowledged + DrainMs + 300);
  std::mutex mutex;
  std::set<std::string> late;
  std::map<int, int> answers;
  auto ask = [&](int caller) {
    for (int n = 1; nowMs() < reported + ServesMs; ++n) {
      Call call;
      call.Host = "viento.example";
      call.Path = "/tides/cabo";
      call.Key = Key;
      call.Id = "req-" + std::to_string(caller) + "-" + std::to_string(n);
      {
        std::lock_guard lock(mutex);
        late.insert(call.Id);
      }
      int64_t at = nowMs();
      size_t daemon = static_cast<size_t>(caller) % Daemons;
      int status = send(call, Fleet::address(daemon), fleet.frontend());
      record.line("%s sent at %.3f s, %lld ms after the acknowledgement, to "
                  "daemon %zu: %d",
                  call.Id.c_str(), static_cast<double>(at) / 1000,
                  static_cast<long long>(at - acknowledged), daemon, status);
      std::lock_guard lock(mutex);
      ++answers[status];
    }
  };
  std::vector<std::thread> callers;
  callers.reserve(Callers);
  for (int n = 0; n < Callers; ++n)
    callers.emplace_back(ask, n);
  for (std::thread &it : callers)
    it.join();
  int broken = 0;
  for (const Run &it : servers.runs())
    if (it.Instance == leaver.Id && late.contains(it.Id)) {
      ++broken;
      record.line("BROKEN: %s ran at %.3f s on %s, %lld ms after the "
                  "acknowledgement",
                  it.Id.c_str(), static_cast<double>(it.At) / 1000,
                  it.Instance.c_str(),
                  static_cast<long long>(it.At - acknowledged));
    }
  for (const auto &[status, n] : answers)
    record.line("requests answered %d: %d", status, n);
  record.line("requests that reached the draining instance: %d of %d", broken,
              static_cast<int>(late.size()));
  return broken > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv) {
  if (argc < 5)
    return CouldNotRun;
  nowMs();
  std::signal(SIGPIPE, SIG_IGN);
  int result = run(Setup::parse(argv));
  // Threads of the stand-ins still run.
  std::_Exit(result);
}
