/// \file
/// A daemon is killed while it passes on an answer that has no length and ends
/// with its connection.
#include "rig.h"

namespace {

using namespace rig;

constexpr size_t Daemons = 3;
constexpr size_t Clients = 20;
constexpr int64_t ClientGapMs = 50;
constexpr int64_t KillAfterMs = 700;
constexpr size_t BodyBytes = 500000;
constexpr int64_t ClientBytesPerSecond = 200000;
constexpr const char *Key = "lasting-key-0123456789";

std::string body() {
  std::string text;
  for (size_t n = 0; text.size() < BodyBytes; ++n)
    text += "row " + std::to_string(n) + "\n";
  text.resize(BodyBytes);
  return text;
}

/// Answers without a length and closes the connection in an orderly way.
bool run(Arrival &it) {
  record()->line("instance runs %s and answers %zu bytes without a length",
                 it.Id.c_str(), BodyBytes);
  bool sent = it.Connection.send(answerHead(200, it.Id) +
                                 "X-Server-Signature: review." + it.Id +
                                 "\r\nConnection: close\r\n\r\n" + body());
  shutdown(it.Connection.Fd, SHUT_WR);
  // Reads until the other side has closed, so that nothing is reset.
  it.Connection.timeout(3000);
  while (it.Connection.fill()) {
  }
  record()->line("instance has sent the answer to %s: %s", it.Id.c_str(),
                 sent ? "whole" : "broken off");
  return false;
}

} // namespace

int main(int argc, char **argv) {
  begin(argc, argv);
  Fleet daemons(Daemons);
  fleet() = &daemons;
  Store &store = daemons.Platform;
  store.put("op/config",
            configuration(1, {Key}, {{"/a/", "download", "service-a"}}));
  Instance one(store, "i-1", "service-a", "zone-a", 6, &run);
  Instance two(store, "i-2", "service-a", "zone-b", 6, &run);
  if (!one.open(daemons.instanceIp(0), Fleet::InstancePort) ||
      !two.open(daemons.instanceIp(1), Fleet::InstancePort))
    giveUp("an instance's port is in use");
  daemons.startAll();
  daemons.awaitReady();

  std::string whole = body();
  std::atomic<int> wrong = 0;
  std::atomic<int> complete = 0;
  std::vector<std::thread> clients;
  for (size_t n = 0; n < Clients; ++n)
    clients.emplace_back([&, n] {
      sleepMs(static_cast<int64_t>(n) * ClientGapMs);
      Request request;
      request.Path = "/a/rows";
      request.Id = "d" + std::to_string(n);
      request.Key = Key;
      request.BytesPerSecond = ClientBytesPerSecond;
      record()->line("%s sent to daemon 0", request.Id.c_str());
      Answer answer = call(daemons.ip(0), Fleet::FrontPort, request);
      bool success = answer.Status == 200 && answer.LooksWhole;
      complete += success && answer.Body == whole ? 1 : 0;
      wrong += success && answer.Body != whole ? 1 : 0;
      static const char *const Ends[] = {"open", "closed in an orderly way",
                                         "reset", "timed out"};
      record()->line("%s gets %d, %zu of %zu bytes, %s, connection %s",
                     request.Id.c_str(), answer.Status, answer.Body.size(),
                     whole.size(),
                     answer.UntilClose ? "no length" : "with a length",
                     Ends[static_cast<int>(answer.Ended)]);
    });
  sleepMs(KillAfterMs);
  if (troubled()) {
    record()->line("daemon 0 is killed (SIGKILL)");
    daemons.signalTo(0, SIGKILL);
  }
  for (std::thread &it : clients)
    it.join();
  if (!troubled() && complete == 0)
    giveUp("no answer was whole without the disruption");
  finish(wrong > 0 ? Broken : Held,
         std::to_string(wrong) + " of " + std::to_string(Clients) +
             " clients got a success that ended early and looks complete");
}
