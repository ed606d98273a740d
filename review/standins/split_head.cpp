/// \file
/// Links deliver each request in two parts, split anywhere in its head, the
/// second one as late as a segment that was lost and sent again.
#include "rig.h"

namespace {

using namespace rig;

constexpr size_t Daemons = 3;
constexpr size_t Clients = 24;
constexpr int RequestsPerClient = 170;
constexpr int64_t GapMs = 20;
constexpr int64_t TimeoutMs = 3000;
constexpr int64_t SlackMs = 500;
constexpr int64_t DeadlineMs = 5000;
/// Bytes of the empty line that ends a head.
constexpr size_t EmptyLineBytes = 3;
/// Bound of the rule.
constexpr int MinUnanswered = 8;
constexpr const char *Key = "lasting-key-0123456789";

std::atomic<int> Unanswered = 0;
std::atomic<int> Late = 0;
std::atomic<int> Served = 0;

bool run(Arrival &it) {
  record()->line("instance runs %s", it.Id.c_str());
  return it.Connection.send(wholeAnswer(it.Id, "done"));
}

/// Sends a request in two parts.
/// \param at bytes of the first part.
bool sendSplit(const Conn &conn, const std::string &text, size_t at) {
  if (!conn.send(text.substr(0, at)))
    return false;
  sleepMs(GapMs);
  return conn.send(text.substr(at));
}

void ask(const Fleet &daemons, size_t daemon, const Request &request,
         unsigned seed) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = place(daemons.ip(daemon), Fleet::FrontPort);
  Conn conn(fd);
  if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
    return record()->line("%s: no connection", request.Id.c_str());
  std::string text = requestText(request);
  size_t at = 1 + seed % (text.find("\r\n\r\n") + 3);
  bool ok = troubled() ? sendSplit(conn, text, at) : conn.send(text);
  int64_t sent = nowMs();
  Head head;
  std::string body;
  conn.timeout(DeadlineMs - (nowMs() - sent));
  bool whole = ok && conn.readHead(head) && conn.readBody(head, body);
  int64_t took = nowMs() - sent;
  record()->line("%s to daemon %zu, split %zu bytes before the end: %s, after "
                 "%lld ms",
                 request.Id.c_str(), daemon, text.size() - at,
                 whole ? head.word(1).c_str() : "no answer",
                 static_cast<long long>(took));
  Served += whole && head.status() == 200 ? 1 : 0;
  Late += took > TimeoutMs ? 1 : 0;
  Unanswered += took > TimeoutMs + SlackMs ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  begin(argc, argv);
  Fleet daemons(Daemons);
  fleet() = &daemons;
  Store &store = daemons.Platform;
  store.put("op/config",
            configuration(1, {Key}, {{"/a/", "safe", "service-a", TimeoutMs}}));
  Instance one(store, "i-1", "service-a", "zone-a", 6, &run);
  Instance two(store, "i-2", "service-a", "zone-b", 6, &run);
  if (!one.open(daemons.instanceIp(0), Fleet::InstancePort) ||
      !two.open(daemons.instanceIp(1), Fleet::InstancePort))
    giveUp("an instance's port is in use");
  daemons.startAll();
  daemons.awaitReady();

  std::random_device seeds;
  auto sendAll = [&](size_t client, unsigned seed) {
    std::mt19937 random(seed);
    for (int n = 0; n < RequestsPerClient; ++n) {
      Request request;
      request.Path = "/a/x";
      request.Id = "g" + std::to_string(client) + "-" + std::to_string(n);
      request.Key = Key;
      request.DeadlineMs = DeadlineMs;
      ask(daemons, client % Daemons, request, static_cast<unsigned>(random()));
    }
  };
  std::vector<std::thread> clients;
  for (size_t n = 0; n < Clients; ++n)
    clients.emplace_back(sendAll, n, static_cast<unsigned>(seeds()));
  for (std::thread &it : clients)
    it.join();
  constexpr int All = static_cast<int>(Clients) * RequestsPerClient;
  if (Served == 0)
    giveUp("no request was served");
  bool hung = Unanswered >= MinUnanswered && Unanswered * 4 > Late;
  finish(hung ? Broken : Held,
         std::to_string(Unanswered) + " of " + std::to_string(All) +
             " requests had no answer 0.5 s after timeout_ms; " +
             std::to_string(Served) + " were served");
}
