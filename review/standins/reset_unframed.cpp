/// \file
/// Two services of one instance each answer without a length. One of the
/// instances resets its connection in the middle of some answers.
#include "rig.h"

namespace {

using namespace rig;

constexpr size_t Daemons = 3;
constexpr size_t Clients = 12;
constexpr int RequestsPerClient = 80;
constexpr int64_t GapMs = 50;
constexpr double BreakShare = 0.05;
constexpr const char *Key = "lasting-key-0123456789";

/// \returns true for every twentieth call.
bool breaksOff() {
  static std::atomic<int> answers = 0;
  constexpr int Every = static_cast<int>(1 / BreakShare);
  return ++answers % Every == Every / 2;
}

std::string body(const std::string &id) {
  std::string text;
  for (int n = 0; n < 200; ++n)
    text += id + " row " + std::to_string(n) + "\n";
  return text;
}

bool run(Arrival &it, bool garbles) {
  std::string text = body(it.Id);
  std::string head = answerHead(200, it.Id) + "X-Server-Signature: review." +
                     it.Id + "\r\nConnection: close\r\n\r\n";
  bool broken = garbles && troubled() && breaksOff();
  record()->line("instance runs %s and answers without a length%s",
                 it.Id.c_str(),
                 broken ? ", but resets the connection half way" : "");
  if (broken) {
    linger reset{1, 0};
    setsockopt(it.Connection.Fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    (void)it.Connection.send(head + text.substr(0, text.size() / 2));
    it.Connection.close();
    return false;
  }
  (void)it.Connection.send(head + text);
  shutdown(it.Connection.Fd, SHUT_WR);
  it.Connection.timeout(3000);
  while (it.Connection.fill()) {
  }
  return false;
}

} // namespace

int main(int argc, char **argv) {
  begin(argc, argv);
  Fleet daemons(Daemons);
  fleet() = &daemons;
  Store &store = daemons.Platform;
  store.put("op/config", configuration(1, {Key},
                                       {{"/a/", "safe", "service-a"},
                                        {"/b/", "safe", "service-b"}}));
  Instance one(store, "i-1", "service-a", "zone-a", 6,
               [](Arrival &it) { return run(it, true); });
  Instance two(store, "i-2", "service-b", "zone-b", 6,
               [](Arrival &it) { return run(it, false); });
  if (!one.open(daemons.instanceIp(0), Fleet::InstancePort) ||
      !two.open(daemons.instanceIp(1), Fleet::InstancePort))
    giveUp("an instance's port is in use");
  daemons.startAll();
  daemons.awaitReady();

  std::atomic<int> wrong = 0;
  std::atomic<int> complete = 0;
  auto ask = [&](size_t client) {
    for (int n = 0; n < RequestsPerClient; ++n) {
      Request request;
      request.Path = client % 2 == 0 ? "/a/rows" : "/b/rows";
      request.Id = "q" + std::to_string(client) + "-" + std::to_string(n);
      request.Key = Key;
      Answer answer = call(daemons.ip(0), Fleet::FrontPort, request);
      std::string whole = body(request.Id);
      bool success = answer.Status == 200 && answer.LooksWhole;
      complete += success && answer.Body == whole ? 1 : 0;
      wrong += success && answer.Body != whole ? 1 : 0;
      static const char *const Ends[] = {"open", "closed in an orderly way",
                                         "reset", "timed out"};
      record()->line("%s to daemon 0: %d, %zu of %zu bytes, connection %s",
                     request.Id.c_str(), answer.Status, answer.Body.size(),
                     whole.size(), Ends[static_cast<int>(answer.Ended)]);
      sleepMs(GapMs);
    }
  };
  std::vector<std::thread> clients;
  for (size_t n = 0; n < Clients; ++n)
    clients.emplace_back(ask, n);
  for (std::thread &it : clients)
    it.join();
  if (complete == 0)
    giveUp("no answer was whole");
  finish(wrong > 0 ? Broken : Held,
         std::to_string(wrong) + " of " +
             std::to_string(Clients * RequestsPerClient) +
             " requests got a success that an instance had broken off with a "
             "reset and that looks complete");
}
