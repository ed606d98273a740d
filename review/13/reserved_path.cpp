/// \file
/// A new version of the configuration adds a route whose prefix is `/-/`. Shows
/// who answers its requests.
#include "../standins-3/config.h"
#include "../standins-3/fleet.h"

namespace {

using namespace review;

constexpr size_t Daemons = 2;
constexpr int64_t ApplyMs = 2000;
constexpr int64_t WorkMs = 20;
constexpr int Rounds = 10;
constexpr const char *Key = "kept-key-3kq0zr7mw1xv";

/// \returns the configuration with one route, or with a second one.
std::string configText(int version, const char *prefix) {
  Json rules = Json::array({rule("r-wind", "/wind/", "safe", "lectura")});
  if (prefix)
    rules.push_back(rule("r-notices", prefix, "safe", "avisos"));
  return config(version, Json::array({tenant("escuela", {Key}, 200, 200)}),
                Json::array({listener("viento.example", rules)}),
                {"lectura", "avisos"})
      .dump();
}

int run(const Setup &setup) {
  Record record(setup.RecordPath);
  Store platform;
  const std::string storeAddress = "127.0.0.2";
  int storePort = freePort(storeAddress);
  Instances servers(platform, WorkMs);
  int serverPort = freePort("127.60.1.1");
  platform.put("op/config", configText(7, nullptr));
  bool placed = platform.start(storeAddress, storePort) &&
                servers.add("lectura", 3, 60, serverPort) &&
                servers.add("avisos", 3, 61, serverPort);
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
  record.line("%zu daemons are ready", Daemons);
  sleepMs(3000);

  const std::string prefix = setup.Trouble ? "/-/" : "/-a/";
  platform.put("op/config", configText(9, prefix.c_str()));
  sleepMs(platform.answerMs());
  record.line("version 9 is acknowledged; it adds a route with the prefix %s",
              prefix.c_str());
  sleepMs(ApplyMs + 1000);
  int sent = 0;
  int notSigned = 0;
  int denied = 0;
  for (int n = 0; n < Rounds; ++n)
    for (const char *name : {"alive", "ready", "tides"}) {
      Call call;
      call.Host = "viento.example";
      call.Path = prefix + name;
      call.Key = Key;
      call.Id = "req-" + std::to_string(++sent);
      Message answer;
      size_t daemon = static_cast<size_t>(n) % Daemons;
      int status =
          send(call, Fleet::address(daemon), fleet.frontend(), &answer);
      bool success = status >= 200 && status < 300;
      bool isSigned = !answer.field("x-server-signature").empty();
      notSigned += success && !isSigned ? 1 : 0;
      denied += status >= 300 && status < 500 && status != 429 ? 1 : 0;
      record.line("%s for %s to daemon %zu: %d, %s, body '%s'", call.Id.c_str(),
                  call.Path.c_str(), daemon, status,
                  isSigned ? "signed" : "no signature", answer.Body.c_str());
    }
  int ran = 0;
  for (const Run &it : servers.runs())
    ran += it.Service == "avisos" ? 1 : 0;
  record.line("requests for the new route that ran on its service: %d of %d",
              ran, sent);
  record.line("proper requests that were denied: %d", denied);
  record.line("successes without an instance's signature: %d", notSigned);
  return notSigned > 0 ? Broken : Held;
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
