/// \file
/// Stand-ins for clients, instances and the platform, and a fleet of the
/// project's own daemons, for the cases of the review. Everything runs on
/// loopback addresses and on the real clock.
#ifndef GUAVASAIL_REVIEW_RIG_H
#define GUAVASAIL_REVIEW_RIG_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sodium.h>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using Json = nlohmann::json;

enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

inline int64_t nowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void sleepMs(int64_t n) {
  if (n > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

/// The record of one run: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &path)
      : File(std::fopen(path.c_str(), "w")) {}
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(Mutex);
    if (!File)
      return;
    std::fprintf(File, "%9.3f s  ", static_cast<double>(nowMs()) / 1000);
    va_list list;
    va_start(list, format);
    std::vfprintf(File, format, list);
    va_end(list);
    std::fprintf(File, "\n");
    std::fflush(File);
  }

private:
  std::mutex Mutex;
  std::FILE *File;
};

inline Record *&record() {
  static Record *instance = nullptr;
  return instance;
}

/// Ends the run because the case could not be set up.
[[noreturn]] void giveUp(const std::string &reason);

struct Head {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Fields;

  [[nodiscard]] std::string field(const char *name) const {
    for (const auto &[key, value] : Fields)
      if (strcasecmp(key.c_str(), name) == 0)
        return value;
    return {};
  }
  /// \returns word \p n of the first line.
  [[nodiscard]] std::string word(int n) const {
    std::istringstream in(Start);
    std::string text;
    for (int i = 0; i <= n; ++i)
      in >> text;
    return text;
  }
  [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// How a connection ended.
enum class End { Open, Closed, Reset, TimedOut };

/// A connection with blocking reads.
class Conn {
public:
  explicit Conn(int fd) : Fd(fd) {
    int one = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Conn() { close(); }
  Conn(const Conn &) = delete;
  Conn &operator=(const Conn &) = delete;

  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

  void timeout(int64_t millis) const {
    millis = std::max<int64_t>(millis, 1);
    timeval time{millis / 1000, (millis % 1000) * 1000};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  }

  [[nodiscard]] bool send(const std::string &bytes) const {
    size_t at = 0;
    while (at < bytes.size()) {
      ssize_t n =
          ::send(Fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      at += static_cast<size_t>(n);
    }
    return true;
  }

  /// Reads at most \p most bytes into the buffer.
  bool fill(size_t most = 65536) {
    std::string bytes(most, '\0');
    ssize_t n = ::recv(Fd, bytes.data(), bytes.size(), 0);
    if (n > 0) {
      In.append(bytes, 0, static_cast<size_t>(n));
      return true;
    }
    if (n == 0)
      Ended = End::Closed;
    else
      Ended =
          errno == EAGAIN || errno == EWOULDBLOCK ? End::TimedOut : End::Reset;
    return false;
  }

  bool readHead(Head &head) {
    size_t end = std::string::npos;
    while ((end = In.find("\r\n\r\n")) == std::string::npos)
      if (!fill())
        return false;
    std::istringstream lines(In.substr(0, end));
    In.erase(0, end + 4);
    std::getline(lines, head.Start);
    if (!head.Start.empty() && head.Start.back() == '\r')
      head.Start.pop_back();
    head.Fields.clear();
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      size_t from = line.find_first_not_of(' ', colon + 1);
      head.Fields.emplace_back(line.substr(0, colon), from == std::string::npos
                                                          ? ""
                                                          : line.substr(from));
    }
    return true;
  }

  bool readBytes(size_t n, std::string &out) {
    while (In.size() < n)
      if (!fill())
        return false;
    out.append(In, 0, n);
    In.erase(0, n);
    return true;
  }

  bool readChunks(std::string &out) {
    while (true) {
      size_t end = std::string::npos;
      while ((end = In.find("\r\n")) == std::string::npos)
        if (!fill())
          return false;
      size_t n = std::strtoul(In.c_str(), nullptr, 16);
      In.erase(0, end + 2);
      std::string rest;
      if (!readBytes(n, out) || !readBytes(2, rest))
        return false;
      if (n == 0)
        return true;
    }
  }

  /// Reads the body of a request.
  bool readBody(const Head &head, std::string &out) {
    if (strcasecmp(head.field("Transfer-Encoding").c_str(), "chunked") == 0)
      return readChunks(out);
    return readBytes(
        std::strtoul(head.field("Content-Length").c_str(), nullptr, 10), out);
  }

  int Fd;
  std::string In;
  /// Bytes that an instance keeps back until the next request arrives.
  std::string Late;
  End Ended = End::Open;
};

inline sockaddr_in place(const std::string &ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// \returns a listening socket, -1 if the address is in use.
inline int listenOn(const std::string &ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = place(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

/// Serves each connection of \p listener in a thread of its own.
inline void serve(int listener, std::function<void(Conn &)> handle) {
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([fd, handle] {
        Conn conn(fd);
        handle(conn);
      }).detach();
    }
  }).detach();
}

// The platform's store.

inline std::string base64(const std::string &bytes) {
  std::string out(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();
  return out;
}

inline std::string queryValue(const std::string &target,
                              const std::string &name) {
  size_t at = target.find("?" + name + "=");
  if (at == std::string::npos)
    at = target.find("&" + name + "=");
  if (at == std::string::npos)
    return {};
  std::string text = target.substr(at + name.size() + 2);
  text = text.substr(0, text.find('&'));
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16)));
      n += 2;
    } else {
      out.push_back(text[n]);
    }
  }
  return out;
}

/// The store, linearizable, 4 ms an answer, 50 items a page. Each machine
/// reaches it at a port of its own, so that it can turn single machines away.
class Store {
public:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Created = 0;
    uint64_t Lease = 0;
  };

  uint64_t put(const std::string &key, const std::string &value,
               uint64_t lease = 0) {
    std::lock_guard lock(Mutex);
    return putLocked(key, value, lease);
  }

  /// Opens the port of one machine.
  bool open(const std::string &ip, int port, size_t machine) {
    int listener = listenOn(ip, port);
    if (listener < 0)
      return false;
    serve(listener, [this, machine](Conn &conn) { handle(conn, machine); });
    return true;
  }

  /// Answers 503 to all calls of \p machine.
  void turnAway(size_t machine, bool away) {
    std::lock_guard lock(Mutex);
    TurnedAway[machine] = away;
  }

  /// \returns when \p machine was last sent the configuration, in `nowMs`, and
  /// its revision.
  std::pair<int64_t, uint64_t> lastRead(size_t machine) {
    std::lock_guard lock(Mutex);
    return Reads[machine];
  }

private:
  uint64_t putLocked(const std::string &key, const std::string &value,
                     uint64_t lease) {
    Item &item = Items[key];
    item.Revision = ++Revision;
    if (item.Created == 0)
      item.Created = Revision;
    item.Value = value;
    item.Lease = lease;
    return Revision;
  }

  static Json asJson(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", base64(item.Value)},
            {"revision", item.Revision},
            {"created", item.Created},
            {"lease", item.Lease}};
  }

  std::pair<int, Json> answer(const Head &head, const std::string &body,
                              size_t machine) {
    std::string target = head.word(1);
    std::string path = target.substr(0, target.find('?'));
    Json value = body.empty() ? Json::object() : Json::parse(body);
    std::lock_guard lock(Mutex);
    if (TurnedAway[machine])
      return {503, Json::object()};
    if (path == "/api/kv-range") {
      std::string prefix = queryValue(target, "prefix");
      std::string after = queryValue(target, "after");
      Json list = Json::array();
      bool more = false;
      for (const auto &[key, item] : Items) {
        if (!key.starts_with(prefix) || key <= after)
          continue;
        if (list.size() == 50) {
          more = true;
          break;
        }
        list.push_back(asJson(key, item));
        if (key == "op/config")
          Reads[machine] = {nowMs(), item.Revision};
      }
      return {
          200,
          {{"items", list}, {"has_more", more}, {"store_revision", Revision}}};
    }
    if (path == "/api/kv-lease") {
      Leases[++LastLease] = value.at("ttl_ms").get<int64_t>();
      return {200, {{"lease", LastLease}, {"ttl_ms", Leases[LastLease]}}};
    }
    if (path.starts_with("/api/kv-keep/")) {
      auto it = Leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
      if (it == Leases.end())
        return {404, Json::object()};
      return {200, {{"ttl_ms", it->second}}};
    }
    if (path.starts_with("/api/kv-lease-end/")) {
      uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
      if (Leases.erase(lease) == 0)
        return {404, Json::object()};
      if (std::erase_if(Items, [&](const auto &it) {
            return it.second.Lease == lease;
          }) > 0)
        ++Revision;
      return {200, Json::object()};
    }
    if (path == "/api/kv-txn") {
      for (const Json &it : value.at("writes")) {
        auto text = it.at("value").get<std::string>();
        std::string bytes(text.size(), '\0');
        size_t n = 0;
        sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                          bytes.size(), text.data(), text.size(), nullptr, &n,
                          nullptr, sodium_base64_VARIANT_ORIGINAL);
        bytes.resize(n);
        putLocked(it.at("key").get<std::string>(), bytes,
                  it.value("lease", uint64_t{0}));
      }
      return {200, {{"revision", Revision}}};
    }
    return {404, Json::object()};
  }

  void handle(Conn &conn, size_t machine) {
    Head head;
    while (conn.readHead(head)) {
      std::string body;
      if (!conn.readBody(head, body))
        return;
      sleepMs(4);
      auto [status, value] = answer(head, body, machine);
      std::string text = value.dump();
      std::string out = "HTTP/1.1 " + std::to_string(status) +
                        " Answer\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(text.size()) + "\r\n\r\n" + text;
      if (!conn.send(out))
        return;
    }
  }

  std::mutex Mutex;
  std::map<std::string, Item> Items;
  std::map<uint64_t, int64_t> Leases;
  std::map<size_t, bool> TurnedAway;
  std::map<size_t, std::pair<int64_t, uint64_t>> Reads;
  uint64_t Revision = 100;
  uint64_t LastLease = 0;
};

// Instances.

/// One request at an instance, read to its end.
struct Arrival {
  Conn &Connection;
  Head Message;
  std::string Body;
  std::string Id;
};

/// \returns the head of an instance's answer.
inline std::string answerHead(int status, const std::string &id) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nX-Request-Id: " + id + "\r\n";
}

/// An instance that registers itself and serves each connection in a thread.
/// The handler returns false to close the connection.
class Instance {
public:
  using Handler = std::function<bool(Arrival &)>;

  Instance(Store &store, std::string id, std::string service, std::string zone,
           int slots, Handler handler)
      : Platform(store), Id(std::move(id)), Service(std::move(service)),
        Zone(std::move(zone)), Slots(slots), Handle(std::move(handler)) {}

  bool open(const std::string &ip, int port) {
    int listener = listenOn(ip, port);
    if (listener < 0)
      return false;
    Address = ip + ":" + std::to_string(port);
    Born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    serve(listener, [this](Conn &conn) { serveConnection(conn); });
    beat();
    std::thread([this] {
      while (true) {
        sleepMs(1500);
        beat();
      }
    }).detach();
    return true;
  }

  [[nodiscard]] const std::string &id() const { return Id; }

private:
  void beat() {
    Json entry = {{"service", Service},
                  {"address", Address},
                  {"zone", Zone},
                  {"version", "v1"},
                  {"slots", Slots},
                  {"state", "ready"},
                  {"warmup_remaining_ms", 0},
                  {"sequence", ++Sequence},
                  {"born", Born}};
    Platform.put("servers/" + Id, entry.dump());
  }

  void serveConnection(Conn &conn) {
    Head head;
    while (conn.readHead(head)) {
      std::string body;
      if (!conn.readBody(head, body))
        return;
      if (head.word(1) == "/health") {
        if (!conn.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + Id +
                       "\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      std::string id = head.field("X-Request-Id");
      std::string expected = head.field("X-Expected-Instance");
      if (!expected.empty() && expected != Id) {
        if (!conn.send(answerHead(421, id) + "Content-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      Arrival arrival{conn, head, std::move(body), id};
      if (!Handle(arrival))
        return;
    }
  }

  Store &Platform;
  std::string Id;
  std::string Service;
  std::string Zone;
  int Slots;
  Handler Handle;
  std::string Address;
  int64_t Born = 0;
  uint64_t Sequence = 0;
};

/// \returns a success with \p body as an instance sends it.
inline std::string wholeAnswer(const std::string &id, const std::string &body) {
  return answerHead(200, id) + "X-Server-Signature: review." + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The fleet.

/// Fills the project's template of the settings.
inline std::string
fillTemplate(std::string text,
             const std::map<std::string, std::string> &values) {
  size_t at = 0;
  while ((at = text.find("{{")) != std::string::npos) {
    size_t end = text.find("}}", at);
    std::string name = text.substr(at + 2, end - at - 2);
    if (name.starts_with("#")) {
      name.erase(0, 1);
      std::string close = "{{/" + name + "}}";
      size_t last = text.find(close, end);
      std::string inner = text.substr(end + 2, last - end - 2);
      text.replace(at, last + close.size() - at,
                   values.contains(name) ? inner : "");
      continue;
    }
    auto it = values.find(name);
    text.replace(at, end + 2 - at, it == values.end() ? "" : it->second);
  }
  return text;
}

struct Answer {
  int Status = 0;
  Head Message;
  std::string Body;
  /// How the connection ended if it did before the answer was whole.
  End Ended = End::Open;
  /// The answer looks complete to a client.
  bool LooksWhole = false;
  /// The body ends with the connection.
  bool UntilClose = false;
};

/// What a client sends and how it reads.
struct Request {
  std::string Method = "GET";
  std::string Path = "/";
  std::string Id;
  std::string Key;
  std::string Body;
  int64_t DeadlineMs = 4000;
  /// Bytes a second that the client's link carries; 0 for no limit.
  int64_t BytesPerSecond = 0;
  /// Receive buffer of a client with a limited link, in bytes.
  int Window = 16 * 1024;
};

inline const char *const Host = "gate.example";

/// \returns the bytes of \p request.
inline std::string requestText(const Request &request) {
  std::string out =
      request.Method + " " + request.Path + " HTTP/1.1\r\nHost: " + Host +
      "\r\nX-Request-Id: " + request.Id +
      "\r\nX-Deadline-Milliseconds: " + std::to_string(request.DeadlineMs) +
      "\r\n";
  if (!request.Key.empty())
    out += "Authorization: Token " + request.Key + "\r\n";
  if (request.Method == "POST")
    out += "Content-Length: " + std::to_string(request.Body.size()) + "\r\n";
  return out + "\r\n" + request.Body;
}

/// Sends one request on a new connection and reads the answer.
inline Answer call(const std::string &ip, int port, const Request &request) {
  Answer answer;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (request.BytesPerSecond > 0) {
    // Segments and a window as on an ordinary network.
    int segment = 1400;
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &request.Window,
               sizeof(request.Window));
  }
  Conn conn(fd);
  int64_t due = nowMs() + request.DeadlineMs;
  conn.timeout(request.DeadlineMs);
  sockaddr_in address = place(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) !=
      0) {
    answer.Ended = End::Reset;
    return answer;
  }
  if (!conn.send(requestText(request)) || !conn.readHead(answer.Message)) {
    answer.Ended = conn.Ended;
    return answer;
  }
  answer.Status = answer.Message.status();
  std::string length = answer.Message.field("Content-Length");
  if (strcasecmp(answer.Message.field("Transfer-Encoding").c_str(),
                 "chunked") == 0) {
    answer.LooksWhole = conn.readChunks(answer.Body);
    answer.Ended = conn.Ended;
    return answer;
  }
  answer.UntilClose = length.empty();
  size_t most =
      length.empty() ? SIZE_MAX : std::strtoul(length.c_str(), nullptr, 10);
  int64_t begun = nowMs();
  while (conn.In.size() < most) {
    if (request.BytesPerSecond > 0)
      sleepMs(begun +
              static_cast<int64_t>(conn.In.size()) * 1000 /
                  request.BytesPerSecond -
              nowMs());
    if (nowMs() >= due) {
      answer.Ended = End::TimedOut;
      break;
    }
    conn.timeout(due - nowMs());
    constexpr size_t Step = 4096;
    if (!conn.fill(request.BytesPerSecond > 0 ? Step : 65536))
      break;
  }
  if (answer.Ended == End::Open)
    answer.Ended = conn.Ended;
  answer.Body = conn.In;
  answer.LooksWhole =
      answer.UntilClose ? answer.Ended == End::Closed : conn.In.size() >= most;
  return answer;
}

/// A route of the configuration.
struct Route {
  std::string Prefix;
  std::string Kind;
  std::string Service;
  int TimeoutMs = 4000;
  int Attempts = 2;
};

/// \returns a configuration with one tenant.
inline std::string configuration(int version,
                                 const std::vector<std::string> &keys,
                                 const std::vector<Route> &routes) {
  Json rules = Json::array();
  Json clusters = Json::array();
  for (const Route &it : routes) {
    rules.push_back({{"name", "r" + std::to_string(rules.size())},
                     {"kind", it.Kind},
                     {"target_latency_ms", 1000},
                     {"priority", 1},
                     {"allow_anonymous", false},
                     {"match", {{"prefix", it.Prefix}}},
                     {"action",
                      {{"service", it.Service},
                       {"timeout_ms", it.TimeoutMs},
                       {"attempts", it.Attempts}}}});
    clusters.push_back({{"name", it.Service},
                        {"health_check_path", "/health"},
                        {"max_connections", 360},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  Json config = {
      {"version", version},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 67108864},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", Json::array({{{"name", "tenant-a"}, {"api_keys", keys}}})},
      {"listeners", Json::array({{{"host", Host}, {"rules", rules}}})},
      {"clusters", clusters}};
  return config.dump();
}

/// Daemons as separate processes, each at a loopback address of its own.
class Fleet {
public:
  static constexpr int FrontPort = 8388;
  static constexpr int ReadyPort = 8384;
  static constexpr int PeerPort = 7560;
  static constexpr int StorePort = 8382;
  static constexpr int InstancePort = 8080;

  explicit Fleet(size_t size) : Size(size) {
    char path[] = "/tmp/guavasail-review-XXXXXX";
    if (!mkdtemp(path))
      giveUp("no temporary folder");
    Folder = path;
    chooseNetwork();
    for (size_t n = 0; n < size; ++n)
      if (!Platform.open(hostIp(1), StorePort + static_cast<int>(n), n))
        giveUp("the store's port is in use");
  }

  ~Fleet() { stop(); }

  void stop() {
    for (pid_t it : Pids)
      if (it > 0)
        kill(it, SIGKILL);
    for (pid_t it : Pids)
      if (it > 0)
        waitpid(it, nullptr, 0);
    Pids.clear();
    if (!Folder.empty())
      for (size_t n = 0; n < Size; ++n)
        for (const char *suffix : {".conf", ".log"})
          unlink((Folder + "/" + std::to_string(n) + suffix).c_str());
    rmdir(Folder.c_str());
    Folder.clear();
  }

  /// Address of daemon \p n.
  [[nodiscard]] std::string ip(size_t n) const {
    return hostIp(10 + static_cast<int>(n));
  }
  /// Address of instance \p n.
  [[nodiscard]] std::string instanceIp(size_t n) const {
    return hostIp(100 + static_cast<int>(n));
  }

  void start(size_t n) {
    std::ifstream in("deploy/settings.toml");
    std::stringstream text;
    text << in.rdbuf();
    std::string zone = n % 2 == 0 ? "zone-a" : "zone-b";
    std::map<std::string, std::string> values = {
        {"node_name", "frontend-" + zone + "-" + std::to_string(n + 1)},
        {"zone", zone},
        {"region", "region-a"},
        {"ip_address", ip(n)},
        {"listen_addresses.frontend", ip(n) + ":" + std::to_string(FrontPort)},
        {"listen_addresses.ready", ip(n) + ":" + std::to_string(ReadyPort)},
        {"platform.address",
         hostIp(1) + ":" + std::to_string(StorePort + static_cast<int>(n))},
        {"internal_port_range.0", std::to_string(PeerPort)},
        {"bounds.retry_budget_slack", "60"},
        {"bounds.revocation_ms", "5000"},
        {"limits.cpu_share", "0.2"}};
    std::string settings = Folder + "/" + std::to_string(n) + ".conf";
    std::ofstream(settings) << fillTemplate(text.str(), values);
    std::string log = Folder + "/" + std::to_string(n) + ".log";
    std::string secret = "GUAVASAIL_PEER_SECRET=" + hostIp(1) + ":" +
                         std::to_string(StorePort) + "/guavasail";
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(CouldNotRun);
      int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      std::string file = "GUAVASAIL_NODE_FILE=" + settings;
      const char *const arguments[] = {"target/guavasail", "serve",
                                       "--settings", settings.c_str(), nullptr};
      const char *const environment[] = {secret.c_str(), file.c_str(),
                                         "LANG=C.UTF-8", nullptr};
      execve(arguments[0], const_cast<char *const *>(arguments),
             const_cast<char *const *>(environment));
      _exit(CouldNotRun);
    }
    if (Pids.size() < Size)
      Pids.resize(Size);
    Pids[n] = pid;
  }

  void startAll() {
    for (size_t n = 0; n < Size; ++n)
      start(n);
  }

  [[nodiscard]] bool ready(size_t n) const {
    Request look;
    look.Path = "/api/readiness";
    look.DeadlineMs = 500;
    return call(ip(n), ReadyPort, look).Status == 200;
  }

  /// Waits until all daemons say that they are ready, for 3 s in a row.
  void awaitReady() const {
    int64_t since = nowMs();
    for (int64_t limit = nowMs() + 20000; nowMs() < limit; sleepMs(100)) {
      bool all = true;
      for (size_t n = 0; n < Size; ++n)
        all = ready(n) && all;
      if (!all)
        since = nowMs();
      if (nowMs() - since >= 3000)
        return;
    }
    giveUp("the daemons did not become ready");
  }

  void signalTo(size_t n, int signal) {
    kill(Pids[n], signal);
    if (signal != SIGKILL)
      return;
    waitpid(Pids[n], nullptr, 0);
    Pids[n] = 0;
  }

  /// \returns true if daemon \p n has ended.
  bool ended(size_t n) {
    int status = 0;
    if (Pids[n] > 0 && waitpid(Pids[n], &status, WNOHANG) == Pids[n]) {
      Pids[n] = 0;
      record()->line("daemon %zu has ended: %s %d", n,
                     WIFSIGNALED(status) ? "signal" : "exit code",
                     WIFSIGNALED(status) ? WTERMSIG(status)
                                         : WEXITSTATUS(status));
    }
    return Pids[n] == 0;
  }

  [[nodiscard]] size_t size() const { return Size; }

  Store Platform;

private:
  [[nodiscard]] std::string hostIp(int n) const {
    return Network + std::to_string(n);
  }

  /// Chooses a part of the loopback network that nobody listens on.
  void chooseNetwork() {
    std::random_device random;
    for (int n = 0; n < 50; ++n) {
      Network = "127." + std::to_string(64 + random() % 128) + "." +
                std::to_string(1 + random() % 250) + ".";
      int fd = listenOn(hostIp(1), StorePort);
      if (fd < 0)
        continue;
      ::close(fd);
      return;
    }
    giveUp("no free loopback address");
  }

  size_t Size;
  std::string Folder;
  std::string Network;
  std::vector<pid_t> Pids;
};

inline Fleet *&fleet() {
  static Fleet *instance = nullptr;
  return instance;
}

/// Ends all processes and the run.
[[noreturn]] inline void finish(ExitCode code, const std::string &verdict) {
  if (record())
    record()->line("%s", verdict.c_str());
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  if (fleet())
    fleet()->stop();
  // Threads of the stand-ins still run.
  _exit(code);
}

[[noreturn]] inline void giveUp(const std::string &reason) {
  finish(CouldNotRun, "could not run: " + reason);
}

/// \returns false if the run is to leave the disruption out.
inline bool troubled() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

/// Opens the record, named by the first argument.
inline void begin(int argc, char **argv) {
  if (argc < 2 || sodium_init() < 0)
    std::exit(CouldNotRun);
  signal(SIGPIPE, SIG_IGN);
  nowMs();
  record() = new Record(argv[1]);
  record()->line("disruption: %s", troubled() ? "yes" : "left out");
}

} // namespace rig

#endif
