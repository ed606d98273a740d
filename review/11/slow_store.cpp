/// \file
/// A key is withdrawn while the store is slow. Shows whether requests that are
/// sent with it later than `revocation_ms` after the acknowledgement still run.
#include "../standins-3/config.h"
#include "../standins-3/fleet.h"

#include <set>

namespace {

using namespace review;

constexpr size_t Daemons = 2;
/// As on the sheet of the large deployment.
constexpr int Readings = 219;
constexpr int Notices = 288;
constexpr int Archives = 33;
/// `platform_slow` of the site files: `x = 60`; the longest takes 5.9 s.
constexpr int64_t Slowness = 60;
constexpr int64_t SlowMs = 5900;
constexpr int64_t RevocationMs = 5000;
constexpr int64_t WorkMs = 20;
constexpr const char *Kept = "kept-key-3kq0zr7mw1xv";
constexpr const char *Withdrawn = "gone-key-9fd2ub6ty8ae";

std::string configText(int version, bool withdrawn) {
  std::vector<std::string> keys{Kept};
  if (!withdrawn)
    keys.emplace_back(Withdrawn);
  Json rules = Json::array({rule("r-wind", "/wind/", "safe", "lectura")});
  return config(version, Json::array({tenant("escuela", keys, 200, 200)}),
                Json::array({listener("viento.example", rules)}),
                {"lectura", "avisos", "archivo"})
      .dump();
}

/// Makes the store slow with the first page of the catalog that is read after
/// it was armed, and tells when all daemons have read that page.
class SlowStart {
public:
  explicit SlowStart(Store &platform) : Platform(platform) {}

  void arm() { Armed = true; }

  void onPage(int link, const std::string &after) {
    std::lock_guard lock(Mutex);
    if (!Armed || !after.empty())
      return;
    if (Links.empty()) {
      Began = nowMs();
      Platform.setSlowness(Slowness);
    }
    Links.insert(link);
  }

  [[nodiscard]] int64_t began() const { return Began; }
  bool allReading() {
    std::lock_guard lock(Mutex);
    return Links.size() >= Daemons;
  }

private:
  Store &Platform;
  std::mutex Mutex;
  std::set<int> Links;
  std::atomic<bool> Armed = false;
  std::atomic<int64_t> Began = 0;
};

int run(const Setup &setup) {
  Record record(setup.RecordPath);
  Store platform;
  SlowStart slow(platform);
  platform.OnCatalogPage = [&](int link, const std::string &after) {
    slow.onPage(link, after);
  };
  const std::string storeAddress = "127.0.0.2";
  int storePort = freePort(storeAddress);
  Instances servers(platform, WorkMs);
  int serverPort = freePort("127.60.1.1");
  platform.put("op/config", configText(7, false));
  bool placed = platform.start(storeAddress, storePort) &&
                servers.add("lectura", Readings, 60, serverPort) &&
                servers.add("avisos", Notices, 61, serverPort) &&
                servers.add("archivo", Archives, 62, serverPort);
  if (!placed)
    return CouldNotRun;
  servers.start();
  Fleet::Ports ports{freePort("127.0.1.1"), freePort("127.0.1.1"),
                     freePort("127.0.1.1"),
                     storeAddress + ":" + std::to_string(storePort)};
  Fleet fleet(setup.Program, setup.Template, setup.Folder, ports);
  for (size_t n = 0; n < Daemons; ++n)
    if (!fleet.start(n))
      return CouldNotRun;
  for (size_t n = 0; n < Daemons; ++n)
    if (!fleet.awaitReady(n, nowMs() + 20000))
      return CouldNotRun;
  record.line("%zu daemons are ready; %zu instances, %zu items a page", Daemons,
              servers.size(), Store::PageItems);
  sleepMs(4000);

  if (setup.Trouble)
    slow.arm();
  int64_t due = nowMs() + 5000;
  while (setup.Trouble && !slow.allReading() && nowMs() < due)
    sleepMs(2);
  if (setup.Trouble && !slow.allReading())
    return CouldNotRun;
  if (setup.Trouble)
    record.line("the store is slow since %.3f s: %lld ms an answer",
                static_cast<double>(slow.began()) / 1000,
                static_cast<long long>(platform.answerMs()));
  platform.put("op/config", configText(9, true));
  // The operator's own call takes as long as any other.
  sleepMs(platform.answerMs());
  int64_t acknowledged = nowMs();
  record.line("version 9, without the key, is acknowledged");
  std::thread restore([&] {
    sleepUntil(slow.began() + SlowMs);
    platform.setSlowness(1);
    record.line("the store is as usual");
  });

  std::set<std::string> late;
  std::map<int, int> answers;
  int sent = 0;
  for (; nowMs() < acknowledged + RevocationMs + 3000; sleepMs(40)) {
    Call call;
    call.Host = "viento.example";
    call.Path = "/wind/cabo";
    call.Key = Withdrawn;
    call.Id = "req-" + std::to_string(++sent);
    int64_t at = nowMs();
    size_t daemon = static_cast<size_t>(sent) % Daemons;
    int status = send(call, Fleet::address(daemon), fleet.frontend());
    bool isLate = at > acknowledged + RevocationMs;
    if (isLate) {
      late.insert(call.Id);
      ++answers[status];
    }
    record.line("%s%s sent at %.3f s, %+lld ms after the acknowledgement, to "
                "daemon %zu: %d",
                call.Id.c_str(), isLate ? " (late)" : "",
                static_cast<double>(at) / 1000,
                static_cast<long long>(at - acknowledged), daemon, status);
  }
  restore.join();
  // The fleet is not just down: the key that was kept is served.
  Call check;
  check.Host = "viento.example";
  check.Path = "/wind/cabo";
  check.Key = Kept;
  check.Id = "req-kept";
  int kept = send(check, Fleet::address(0), fleet.frontend());
  record.line("a request with the other key: %d", kept);
  int broken = 0;
  for (const Run &it : servers.runs())
    if (late.contains(it.Id)) {
      ++broken;
      record.line("BROKEN: %s ran at %.3f s on %s for tenant %s", it.Id.c_str(),
                  static_cast<double>(it.At) / 1000, it.Instance.c_str(),
                  it.Tenant.c_str());
    }
  for (const auto &[status, n] : answers)
    record.line("late requests answered %d: %d", status, n);
  record.line("late requests that ran: %d of %zu", broken, late.size());
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
