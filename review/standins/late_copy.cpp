/// \file
/// Two services of one instance each reject requests for some seconds. One of
/// the instances also sends second copies of some answers, late, where the next
/// answer on the connection is expected.
#include "rig.h"

#include <set>

namespace {

using namespace rig;

constexpr size_t Daemons = 6;
constexpr int Cycles = 9;
constexpr int64_t RejectMs = 8500;
constexpr int64_t CopyMs = 5000;
constexpr int64_t CycleMs = 10000;
constexpr double RejectShare = 0.55;
constexpr double CopyShare = 0.03;
constexpr int64_t WorkMs = 30;
constexpr const char *Key = "lasting-key-0123456789";

std::mutex RunsMutex;
std::map<std::string, int> Runs;
std::atomic<int64_t> TroubleFrom = INT64_MAX;

/// \returns true in the first \p length ms of each cycle of the disruption.
bool within(int64_t length) {
  int64_t since = nowMs() - TroubleFrom;
  return since >= 0 && since < Cycles * CycleMs && since % CycleMs < length;
}

double chance() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(0, 1)(random);
}

bool answer(Arrival &it, bool copies, const std::string &name,
            const std::string &bytes) {
  if (copies && within(CopyMs) && troubled() && chance() < CopyShare) {
    it.Connection.Late = bytes;
    record()->line("%s keeps a second copy of its answer to %s", name.c_str(),
                   it.Id.c_str());
  }
  return it.Connection.send(bytes);
}

bool run(Arrival &it, const std::string &name, bool copies) {
  if (!it.Connection.Late.empty()) {
    record()->line("%s sends the kept copy as %s arrives", name.c_str(),
                   it.Id.c_str());
    if (!it.Connection.send(std::exchange(it.Connection.Late, {})))
      return false;
  }
  if (within(RejectMs) && chance() < RejectShare)
    return answer(it, copies, name,
                  answerHead(503, it.Id) +
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  {
    std::lock_guard lock(RunsMutex);
    int n = ++Runs[it.Id];
    record()->line("%s runs %s%s", name.c_str(), it.Id.c_str(),
                   n > 1 ? " AGAIN" : "");
  }
  sleepMs(WorkMs);
  return answer(it, copies, name, wholeAnswer(it.Id, "done"));
}

} // namespace

int main(int argc, char **argv) {
  begin(argc, argv);
  Fleet daemons(Daemons);
  fleet() = &daemons;
  Store &store = daemons.Platform;
  store.put("op/config", configuration(1, {Key},
                                       {{"/a/", "unsafe", "service-a"},
                                        {"/b/", "unsafe", "service-b"}}));
  Instance one(store, "i-1", "service-a", "zone-a", 6,
               [](Arrival &it) { return run(it, "i-1", true); });
  Instance two(store, "i-2", "service-b", "zone-b", 6,
               [](Arrival &it) { return run(it, "i-2", false); });
  if (!one.open(daemons.instanceIp(0), Fleet::InstancePort) ||
      !two.open(daemons.instanceIp(1), Fleet::InstancePort))
    giveUp("an instance's port is in use");
  daemons.startAll();
  daemons.awaitReady();

  TroubleFrom = nowMs();
  int64_t end = nowMs() + Cycles * CycleMs;
  std::mutex answersMutex;
  std::set<std::string> refused;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (size_t client = 0; client < 2 * Daemons; ++client)
    clients.emplace_back([&, client] {
      size_t n = client % Daemons;
      for (int i = 0; nowMs() < end; ++i) {
        Request request;
        request.Method = "POST";
        request.Path = client < Daemons ? "/a/issue" : "/b/issue";
        request.Id = "u" + std::to_string(client) + "-" + std::to_string(i);
        request.Key = Key;
        request.Body = request.Id;
        Answer answer = call(daemons.ip(n), Fleet::FrontPort, request);
        record()->line("%s sent to daemon %zu: %d", request.Id.c_str(), n,
                       answer.Status);
        served += answer.Status == 200 ? 1 : 0;
        if (answer.Status == 503 || answer.Status == 429) {
          std::lock_guard lock(answersMutex);
          refused.insert(request.Id);
        }
        sleepMs(120);
      }
    });
  for (std::thread &it : clients)
    it.join();
  sleepMs(500);

  int twice = 0;
  int denied = 0;
  std::lock_guard lock(RunsMutex);
  for (const auto &[id, n] : Runs) {
    twice += n > 1 ? 1 : 0;
    denied += refused.contains(id) ? 1 : 0;
  }
  if (served == 0)
    giveUp("no request was served");
  finish(twice + denied > 0 ? Broken : Held,
         std::to_string(twice) + " of " + std::to_string(Runs.size()) +
             " requests that are not idempotent ran more than once; " +
             std::to_string(denied) + " were answered 503 or 429 and had run");
}
