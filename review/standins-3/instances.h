/// \file
/// Stand-ins for instances: each has an address of its own, runs requests for
/// a set time and keeps a list of what it ran.
#ifndef GUAVASAIL_REVIEW_STANDINS_3_INSTANCES_H
#define GUAVASAIL_REVIEW_STANDINS_3_INSTANCES_H

#include "store.h"

#include <deque>

namespace review {

/// A request that an instance began to run.
struct Run {
  int64_t At = 0;
  std::string Id;
  std::string Tenant;
  std::string Service;
  std::string Instance;
  std::string Path;
};

class Instances {
public:
  struct Instance {
    std::string Id;
    std::string Service;
    std::string Address;
    int Port = 0;
    std::atomic<int> Running = 0;
    std::atomic<bool> Leaving = false;
    int Slots = 6;
    int Listener = -1;
  };

  Instances(Store &platform, int64_t workMs)
      : Platform(platform), WorkMs(workMs) {}

  /// Adds \p n instances of a service at ports of 127.\p net.x.y.
  bool add(const std::string &service, int n, int net, int port) {
    for (int k = 0; k < n; ++k) {
      Instance &it = All.emplace_back();
      char id[32];
      std::snprintf(id, sizeof id, "i-%s-%04d", service.c_str(), k);
      it.Id = id;
      it.Service = service;
      it.Address = "127." + std::to_string(net) + "." +
                   std::to_string(k / 200 + 1) + "." +
                   std::to_string(k % 200 + 1);
      it.Port = port;
      it.Listener = listenAt(it.Address, port);
      if (it.Listener < 0)
        return false;
      enter(it);
    }
    return true;
  }

  void start() {
    std::thread([this] { acceptAll(); }).detach();
  }

  /// Writes the entry of an instance. An instance writes only what differs
  /// from its last entry in more than `sequence`.
  void enter(const Instance &it) {
    Json entry = {{"service", it.Service},
                  {"address", it.Address + ":" + std::to_string(it.Port)},
                  {"zone", "cabo-vela"},
                  {"version", "v1"},
                  {"slots", it.Slots},
                  {"state", it.Leaving ? "draining" : "ready"},
                  {"warmup_remaining_ms", 0},
                  {"sequence", it.Leaving ? 9 : 4},
                  {"born", Born}};
    Platform.put("servers/" + it.Id, entry.dump());
  }

  Instance &at(size_t n) { return All[n]; }
  [[nodiscard]] size_t size() const { return All.size(); }

  /// \returns what was run so far.
  std::vector<Run> runs() {
    std::lock_guard lock(Mutex);
    return Ran;
  }

private:
  void acceptAll() {
    std::vector<pollfd> items;
    for (Instance &it : All)
      items.push_back({it.Listener, POLLIN, 0});
    while (::poll(items.data(), items.size(), -1) >= 0)
      for (size_t n = 0; n < items.size(); ++n) {
        if ((items[n].revents & POLLIN) == 0)
          continue;
        int fd = accept4(items[n].fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
          std::thread([this, fd, n] { serve(fd, All[n]); }).detach();
      }
  }

  void serve(int fd, Instance &self) {
    Connection link(fd);
    Message request;
    while (link.read(request, nowMs() + 10000)) {
      std::string id = request.field("x-request-id");
      std::string expected = request.field("x-expected-instance");
      std::string head = "X-Request-Id: " + id + "\r\n";
      if (self.Leaving)
        head += "Server-Leaving: 1\r\n";
      if (!expected.empty() && expected != self.Id) {
        answer(link, "421 Misdirected Request",
               head + "X-Instance-Id: " + self.Id + "\r\n", "");
        continue;
      }
      if (self.Running >= self.Slots) {
        answer(link, "503 Service Unavailable", head + "X-Not-Executed: 1\r\n",
               "");
        continue;
      }
      ++self.Running;
      {
        std::lock_guard lock(Mutex);
        Ran.push_back({nowMs(), id, request.field("x-tenant"), self.Service,
                       self.Id, request.word(1)});
      }
      sleepMs(WorkMs);
      int running = --self.Running;
      head += "X-Server-Signature: s." + id +
              "\r\nX-Instance-Load: " + std::to_string(running) + ",0," +
              std::to_string(self.Slots) + "\r\n";
      if (!answer(link, "200 OK", head, "body of " + id))
        return;
    }
  }

  static bool answer(Connection &link, const std::string &status,
                     const std::string &head, const std::string &body) {
    return link.write("HTTP/1.1 " + status + "\r\n" + head +
                      "Keep-Alive: timeout=10\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  /// Unix time of the instances' start, in milliseconds.
  static constexpr int64_t Born = 1790000000000;

  Store &Platform;
  int64_t WorkMs;
  std::deque<Instance> All;
  std::mutex Mutex;
  std::vector<Run> Ran;
};

} // namespace review

#endif
