/// \file
/// A client whose request ids hold a letter of ISO-8859-1 loses its key, so
/// that its next request is refused, while other clients use kept connections.
#include "rig.h"

#include <set>

namespace {

using namespace rig;

constexpr size_t Daemons = 4;
constexpr size_t ClientsPerDaemon = 4;
constexpr int64_t WorkMs = 400;
constexpr int64_t RestartMs = 500;
constexpr int64_t CalmMs = 4000;
constexpr int64_t NamedGapMs = 400;
constexpr int64_t WatchMs = 8000;
/// Broken connections that the rule allows.
constexpr int Allowed = 3;
constexpr const char *Key = "lasting-key-0123456789";
constexpr const char *Withdrawn = "withdrawn-key-9876543210";

std::mutex RunsMutex;
std::set<std::string> Ran;
std::atomic<bool> Over = false;
std::atomic<int> Cut = 0;
std::atomic<int> Served = 0;
std::atomic<int> Ends = 0;

/// Escapes what a terminal could not show.
std::string shown(const std::string &text) {
  std::string out;
  for (char c : text) {
    char buf[8];
    std::snprintf(buf, sizeof(buf), "\\x%02x", static_cast<unsigned char>(c));
    out += (static_cast<unsigned char>(c) & 0x80U) != 0 ? std::string(buf)
                                                        : std::string(1, c);
  }
  return out;
}

bool run(Arrival &it) {
  {
    std::lock_guard lock(RunsMutex);
    Ran.insert(it.Id);
  }
  record()->line("instance runs %s", shown(it.Id).c_str());
  sleepMs(WorkMs);
  return it.Connection.send(wholeAnswer(it.Id, "done"));
}

/// Sends requests one after the other on a kept connection.
void useKeptConnection(Fleet &daemons, size_t daemon, size_t client) {
  for (int i = 0; !Over;) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = place(daemons.ip(daemon), Fleet::FrontPort);
    Conn conn(fd);
    conn.timeout(4000);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) !=
        0) {
      sleepMs(100);
      continue;
    }
    for (bool kept = true; kept && !Over; ++i) {
      Request request;
      request.Path = "/a/x";
      request.Id = "c" + std::to_string(daemon) + "-" + std::to_string(client) +
                   "-" + std::to_string(i);
      request.Key = Key;
      Head head;
      std::string body;
      bool whole = conn.send(requestText(request)) && conn.readHead(head) &&
                   conn.readBody(head, body);
      if (whole) {
        Served += head.status() == 200 ? 1 : 0;
        if (head.status() != 200)
          sleepMs(100);
        kept = strcasecmp(head.field("Connection").c_str(), "close") != 0;
        continue;
      }
      kept = false;
      std::lock_guard lock(RunsMutex);
      bool ran = Ran.contains(request.Id);
      bool first = i == 0;
      record()->line("%s to daemon %zu: connection ended without an answer%s",
                     request.Id.c_str(), daemon,
                     ran ? "; an instance was running it" : "");
      Cut += ran && !first ? 1 : 0;
    }
  }
}

/// Starts daemons that end again, as the platform does.
void keepRunning(Fleet &daemons) {
  while (!Over) {
    for (size_t n = 0; n < Daemons; ++n) {
      if (!daemons.ended(n))
        continue;
      ++Ends;
      record()->line("daemon %zu is started again", n);
      sleepMs(RestartMs);
      daemons.start(n);
    }
    sleepMs(20);
  }
}

std::string config(int version, bool withKey) {
  std::vector<std::string> keys = {Key};
  if (withKey)
    keys.emplace_back(Withdrawn);
  return configuration(version, keys, {{"/a/", "safe", "service-a"}});
}

} // namespace

int main(int argc, char **argv) {
  begin(argc, argv);
  Fleet daemons(Daemons);
  fleet() = &daemons;
  Store &store = daemons.Platform;
  store.put("op/config", config(1, true));
  Instance one(store, "i-1", "service-a", "zone-a", 12, &run);
  Instance two(store, "i-2", "service-a", "zone-b", 12, &run);
  if (!one.open(daemons.instanceIp(0), Fleet::InstancePort) ||
      !two.open(daemons.instanceIp(1), Fleet::InstancePort))
    giveUp("an instance's port is in use");
  daemons.startAll();
  daemons.awaitReady();

  std::vector<std::thread> threads;
  threads.emplace_back([&] { keepRunning(daemons); });
  for (size_t n = 0; n < Daemons; ++n)
    for (size_t client = 0; client < ClientsPerDaemon; ++client)
      threads.emplace_back(
          [&, n, client] { useKeptConnection(daemons, n, client); });

  int64_t begun = nowMs();
  bool withdrawn = false;
  int namedServed = 0;
  int namedRefused = 0;
  for (int i = 0; nowMs() < begun + CalmMs + WatchMs; ++i) {
    if (troubled() && !withdrawn && nowMs() >= begun + CalmMs) {
      withdrawn = true;
      store.put("op/config", config(2, false));
      record()->line("operator withdraws a key: version 2");
    }
    Request request;
    request.Path = "/a/x";
    request.Id = "Pe\xf1"
                 "a-" +
                 std::to_string(i);
    request.Key = Withdrawn;
    size_t daemon = static_cast<size_t>(i) % Daemons;
    Answer answer = call(daemons.ip(daemon), Fleet::FrontPort, request);
    namedServed += answer.Status == 200 ? 1 : 0;
    namedRefused += answer.Status == 401 ? 1 : 0;
    record()->line("%s to daemon %zu: %d%s", shown(request.Id).c_str(), daemon,
                   answer.Status,
                   answer.Status == 0 ? ", connection ended" : "");
    sleepMs(NamedGapMs);
  }
  Over = true;
  for (std::thread &it : threads)
    it.join();
  if (Served == 0 || namedServed == 0)
    giveUp("no request was served");
  bool broken = Cut > Allowed;
  finish(broken ? Broken : Held,
         std::to_string(Cut) +
             " requests that were at an instance lost their kept connection "
             "without an answer; daemons ended by themselves " +
             std::to_string(Ends) + " times; the other client was served " +
             std::to_string(namedServed) + " times and refused " +
             std::to_string(namedRefused) + " times");
}
