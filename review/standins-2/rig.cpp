#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sodium.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace rig {

namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

const Clock::time_point Begin = Clock::now();

constexpr size_t PageItems = 500;
constexpr double BeatSeconds = 1.5;
/// The platform starts an ended process again after this.
constexpr double RestartSeconds = 0.3;
constexpr int Slots = 6;
constexpr char Loopback[] = "127.0.0.1";

sockaddr_in loopback(const std::string &address, uint16_t port) {
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &place.sin_addr);
  return place;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string trim(const std::string &text) {
  size_t from = text.find_first_not_of(" \t");
  size_t to = text.find_last_not_of(" \t\r");
  return from == std::string::npos ? "" : text.substr(from, to - from + 1);
}

std::string toBase64(const std::string &bytes) {
  std::string out(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();
  return out;
}

std::string fromBase64(const std::string &text) {
  std::string out(text.size(), '\0');
  size_t n = 0;
  sodium_base642bin(reinterpret_cast<unsigned char *>(out.data()), out.size(),
                    text.data(), text.size(), nullptr, &n, nullptr,
                    sodium_base64_VARIANT_ORIGINAL);
  out.resize(n);
  return out;
}

std::string queryValue(const std::string &target, const std::string &name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t next = target.find('&', at + 1);
    std::string part = target.substr(
        at + 1, next == std::string::npos ? std::string::npos : next - at - 1);
    if (part.starts_with(name + "=")) {
      std::string out;
      std::string text = part.substr(name.size() + 1);
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
    at = next;
  }
  return {};
}

uint64_t lastNumber(const std::string &target) {
  return std::strtoull(target.substr(target.rfind('/') + 1).c_str(), nullptr,
                       10);
}

std::string reason(int status) {
  return status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Other";
}

/// Fills in the braces of a settings template.
std::string render(std::string text,
                   const std::map<std::string, std::string> &values) {
  while (true) {
    size_t from = text.find("{{");
    if (from == std::string::npos)
      return text;
    size_t to = text.find("}}", from);
    std::string name = text.substr(from + 2, to - from - 2);
    if (name.front() == '#') {
      std::string end = "{{/" + name.substr(1) + "}}";
      size_t close = text.find(end);
      std::string inner = values.contains(name.substr(1))
                              ? text.substr(to + 2, close - to - 2)
                              : std::string();
      text.replace(from, close + end.size() - from, inner);
      continue;
    }
    auto it = values.find(name);
    text.replace(from, to + 2 - from, it == values.end() ? "" : it->second);
  }
}

} // namespace

double seconds() {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}

void sleepFor(double time) {
  if (time > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

void sleepUntil(double at) { sleepFor(at - seconds()); }

bool troubled() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::string_view(value) != "0";
}

void Record::line(const std::string &text) {
  std::lock_guard guard(Lock);
  File << std::fixed << std::setprecision(3) << std::setw(8) << seconds()
       << "  " << text << std::endl;
}

std::string Message::field(const std::string &name) const {
  auto it = Fields.find(name);
  return it == Fields.end() ? std::string() : it->second;
}

// Connections.

Connection::~Connection() { close(); }

std::unique_ptr<Connection> Connection::open(const std::string &address,
                                             uint16_t port, double timeout,
                                             bool narrow) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return nullptr;
  auto connection = std::make_unique<Connection>(fd);
  int window = 8 * 1024;
  if (narrow)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  sockaddr_in place = loopback(address, port);
  int fault = ::connect(fd, reinterpret_cast<sockaddr *>(&place), sizeof place);
  if (fault != 0 && errno != EINPROGRESS)
    return nullptr;
  pollfd wait{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1 ||
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    return nullptr;
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return connection;
}

bool Connection::send(std::string_view bytes) const {
  while (Fd >= 0 && !bytes.empty()) {
    ssize_t n = ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) {
      bytes.remove_prefix(static_cast<size_t>(n));
      continue;
    }
    if (errno != EAGAIN)
      return false;
    pollfd wait{Fd, POLLOUT, 0};
    if (::poll(&wait, 1, 5000) != 1)
      return false;
  }
  return Fd >= 0;
}

bool Connection::readable(double timeout) const {
  pollfd wait{Fd, POLLIN, 0};
  return ::poll(&wait, 1, static_cast<int>(timeout * 1000)) == 1;
}

bool Connection::fill(double until) {
  double left = until - seconds();
  if (Fd < 0 || left <= 0 || !readable(left))
    return false;
  char buf[65536];
  ssize_t n = ::recv(Fd, buf, sizeof buf, 0);
  if (n < 0 && errno == EAGAIN)
    return true;
  if (n <= 0)
    return false;
  In.append(buf, static_cast<size_t>(n));
  return true;
}

Message Connection::read(bool answer, double timeout) {
  double until = seconds() + timeout;
  Message message;
  size_t end = 0;
  while ((end = In.find("\r\n\r\n")) == std::string::npos)
    if (!fill(until))
      return message;
  std::istringstream head(In.substr(0, end));
  In.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  std::string version;
  if (answer)
    first >> version >> message.Status;
  else
    first >> message.Method >> message.Target;
  while (std::getline(head, line)) {
    size_t colon = line.find(':');
    if (colon != std::string::npos)
      message.Fields.emplace(lower(line.substr(0, colon)),
                             trim(line.substr(colon + 1)));
  }
  if (lower(message.field("transfer-encoding")) == "chunked") {
    while (true) {
      size_t stop = 0;
      while ((stop = In.find("\r\n")) == std::string::npos)
        if (!fill(until))
          return message;
      size_t size = std::strtoull(In.c_str(), nullptr, 16);
      while (In.size() < stop + 2 + size + 2)
        if (!fill(until))
          return message;
      message.Body += In.substr(stop + 2, size);
      In.erase(0, stop + 2 + size + 2);
      if (size == 0)
        break;
    }
    message.Whole = true;
    return message;
  }
  std::string length = message.field("content-length");
  if (length.empty() && answer) {
    while (fill(until)) {
    }
    message.Body = std::exchange(In, {});
    message.Whole = true;
    return message;
  }
  size_t size = std::strtoull(length.c_str(), nullptr, 10);
  while (In.size() < size)
    if (!fill(until))
      return message;
  message.Body = In.substr(0, size);
  In.erase(0, size);
  message.Whole = true;
  return message;
}

Message Connection::readSlowly(size_t bytes, double pause, double timeout) {
  double until = seconds() + timeout;
  Message message;
  std::string all;
  std::vector<char> buf(bytes);
  size_t head = std::string::npos;
  bool ordered = false;
  while (seconds() < until) {
    if (!readable(until - seconds()))
      break;
    ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
    if (n <= 0) {
      ordered = n == 0;
      break;
    }
    all.append(buf.data(), static_cast<size_t>(n));
    sleepFor(pause);
  }
  head = all.find("\r\n\r\n");
  if (head == std::string::npos)
    return message;
  // The connection that is read from now on holds only the head.
  Connection parser(-1);
  parser.In = all.substr(0, head + 4);
  message = parser.read(true, 0);
  message.Body = all.substr(head + 4);
  std::string length = message.field("content-length");
  bool chunked = lower(message.field("transfer-encoding")) == "chunked";
  if (!length.empty())
    message.Whole = message.Body.size() == std::stoull(length);
  else if (chunked)
    message.Whole = message.Body.ends_with("0\r\n\r\n");
  else
    message.Whole = ordered;
  return message;
}

void Connection::close(bool reset) {
  if (Fd < 0)
    return;
  if (reset) {
    linger hard{1, 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  ::close(Fd);
  Fd = -1;
}

uint16_t freePort() {
  static std::atomic<uint16_t> next{
      static_cast<uint16_t>(20000 + (::getpid() * 97) % 9000)};
  while (true) {
    uint16_t port = next++;
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place = loopback(Loopback, port);
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    bool free =
        ::bind(fd, reinterpret_cast<sockaddr *>(&place), sizeof place) == 0;
    ::close(fd);
    if (free)
      return port;
  }
}

Server::Server(uint16_t port, Handler handler)
    : Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      Handle(std::move(handler)) {
  int one = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in place = loopback(Loopback, port);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&place), sizeof place) !=
          0 ||
      ::listen(Listener, 511) != 0)
    std::exit(static_cast<int>(Verdict::NotRun));
  Acceptor = std::thread([this] { accept(); });
}

Server::~Server() {
  Stopping = true;
  Acceptor.join();
  ::close(Listener);
}

void Server::accept() {
  while (!Stopping) {
    pollfd wait{Listener, POLLIN, 0};
    if (::poll(&wait, 1, 100) != 1)
      continue;
    int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    // A connection's thread ends with the process at the latest.
    std::thread([this, fd] {
      Connection connection(fd);
      Handle(connection);
    }).detach();
  }
}

// The store.

Store::Store()
    : Port(freePort()), Listener(std::make_unique<Server>(
                            Port, [this](Connection &it) { serve(it); })) {}

void Store::put(const std::string &key, const std::string &value) {
  std::lock_guard guard(Lock);
  write(key, value, 0);
}

void Store::drop(const std::string &key) {
  std::lock_guard guard(Lock);
  erase(key);
}

void Store::write(const std::string &key, const std::string &value,
                  uint64_t lease) {
  Item &item = Items[key];
  bool fresh = item.Revision == 0;
  item.Revision = ++Revision;
  item.Created = fresh ? Revision : item.Created;
  item.Value = value;
  item.Lease = lease;
}

void Store::erase(const std::string &key) {
  if (Items.erase(key) > 0)
    ++Revision;
}

void Store::expire() {
  std::vector<uint64_t> ended;
  for (const auto &[id, lease] : Leases)
    if (lease.Until <= seconds())
      ended.push_back(id);
  for (uint64_t id : ended)
    end(id);
}

void Store::serve(Connection &connection) {
  while (true) {
    Message request = connection.read(false, 60);
    if (!request.Whole)
      return;
    Reply reply;
    {
      std::lock_guard guard(Lock);
      expire();
      reply = handle(request);
    }
    std::string out = "HTTP/1.1 " + std::to_string(reply.Status) + " " +
                      reason(reply.Status) +
                      "\r\nContent-Type: application/json\r\nStore-Era: 0"
                      "\r\nContent-Length: " +
                      std::to_string(reply.Body.size()) + "\r\n\r\n" +
                      reply.Body;
    if (!connection.send(out))
      return;
  }
}

Store::Reply Store::handle(const Message &request) {
  const std::string &target = request.Target;
  if (target.starts_with("/api/kv-range"))
    return range(queryValue(target, "prefix"), queryValue(target, "after"));
  if (target.starts_with("/api/kv-txn"))
    return change(request.Body);
  if (target.starts_with("/api/kv-keep/"))
    return renew(lastNumber(target));
  if (target.starts_with("/api/kv-lease-end/"))
    return end(lastNumber(target));
  if (target.starts_with("/api/kv-lease"))
    return grant(request.Body);
  return {404, "{}"};
}

Store::Reply Store::range(const std::string &prefix, const std::string &after) {
  Json list = Json::array();
  bool more = false;
  for (const auto &[key, item] : Items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after))
      continue;
    if (list.size() == PageItems) {
      more = true;
      break;
    }
    list.push_back({{"key", key},
                    {"value", toBase64(item.Value)},
                    {"revision", item.Revision},
                    {"created", item.Created},
                    {"lease", item.Lease}});
  }
  Json body = {{"items", std::move(list)},
               {"has_more", more},
               {"store_revision", Revision}};
  return {200, body.dump()};
}

Store::Reply Store::change(const std::string &body) {
  Json value = Json::parse(body, nullptr, false);
  if (value.is_discarded())
    return {400, "{}"};
  for (const Json &it : value["expected_revision"]) {
    auto found = Items.find(it["key"].get<std::string>());
    uint64_t have = found == Items.end() ? 0 : found->second.Revision;
    if (have != it["revision"].get<uint64_t>())
      return {412, "{\"items\":[]}"};
  }
  for (const Json &it : value["writes"]) {
    uint64_t lease = it.value("lease", uint64_t{0});
    if (lease != 0 && !Leases.contains(lease))
      return {404, "{}"};
    write(it["key"].get<std::string>(),
          fromBase64(it["value"].get<std::string>()), lease);
  }
  for (const Json &it : value["deletes"])
    erase(it.get<std::string>());
  return {200, Json{{"revision", Revision}}.dump()};
}

Store::Reply Store::grant(const std::string &body) {
  Json value = Json::parse(body, nullptr, false);
  if (value.is_discarded())
    return {400, "{}"};
  uint64_t ttl = value["ttl_ms"].get<uint64_t>();
  double length = static_cast<double>(ttl) / 1000;
  Leases[++LastLease] = {length, seconds() + length};
  return {200, Json{{"lease", LastLease}, {"ttl_ms", ttl}}.dump()};
}

Store::Reply Store::renew(uint64_t lease) {
  auto it = Leases.find(lease);
  if (it == Leases.end())
    return {404, "{}"};
  it->second.Until = seconds() + it->second.Ttl;
  return {200, Json{{"ttl_ms", it->second.Ttl * 1000}}.dump()};
}

Store::Reply Store::end(uint64_t lease) {
  if (Leases.erase(lease) == 0)
    return {404, "{}"};
  std::vector<std::string> keys;
  for (const auto &[key, item] : Items)
    if (item.Lease == lease)
      keys.push_back(key);
  for (const std::string &it : keys)
    erase(it);
  return {};
}

// Instances.

std::string signatureOf(const std::string &instance, const std::string &body) {
  std::ostringstream out;
  out << instance << "." << std::hex << std::hash<std::string>{}(body);
  return out.str();
}

Instance::Instance(Store &store, Record &record, std::string service,
                   std::string zone, int number, Decide decide)
    : Entries(store), Notes(record), Service(std::move(service)),
      Zone(std::move(zone)),
      Name("i-" + Service + "-" + std::to_string(number)),
      Choose(std::move(decide)),
      Born(static_cast<uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())),
      Port(freePort()), Listener(std::make_unique<Server>(
                            Port, [this](Connection &it) { serve(it); })) {
  beat();
  Beats = std::thread([this] {
    double next = seconds() + BeatSeconds;
    while (!Stopping) {
      sleepFor(0.05);
      if (seconds() < next)
        continue;
      beat();
      next += BeatSeconds;
    }
  });
}

Instance::~Instance() {
  Stopping = true;
  Beats.join();
}

std::vector<Run> Instance::runs() {
  std::lock_guard guard(Lock);
  return Runs;
}

void Instance::beat() {
  Json entry = {{"service", Service},
                {"address", std::string(Loopback) + ":" + std::to_string(Port)},
                {"zone", Zone},
                {"version", "v1"},
                {"slots", Slots},
                {"state", "ready"},
                {"warmup_remaining_ms", 0},
                {"born", Born},
                {"sequence", ++Sequence}};
  Entries.put("servers/" + Name, entry.dump());
}

void Instance::serve(Connection &connection) {
  while (true) {
    Message request = connection.read(false, 10);
    if (!request.Whole || !answer(connection, request))
      return;
  }
}

bool Instance::answer(Connection &connection, const Message &request) {
  std::string id = request.field("x-request-id");
  std::string head;
  if (request.field("x-expected-instance") != Name) {
    connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id +
                    "\r\nX-Instance-Id: " + Name +
                    "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  Action action = Choose(request);
  std::string what = "request " + id + " " + request.Method + " " +
                     request.Target + " at " + Name;
  if (action.NotExecuted) {
    Notes.line(what + ": turned away, not run");
    return connection.send(
        "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id +
        "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
  {
    std::lock_guard guard(Lock);
    Runs.push_back({seconds(), Name, request});
  }
  Notes.line(what + ": runs");
  sleepFor(action.Work);
  if (action.Lost) {
    Notes.line(what + ": ran, its answer is lost");
    connection.close(true);
    return false;
  }
  return connection.send(
      "HTTP/1.1 " + std::to_string(action.Status) + " " +
      reason(action.Status) + "\r\nX-Request-Id: " + id +
      "\r\nX-Server-Signature: " + signatureOf(Name, action.Body) +
      "\r\nX-Instance-Load: 1,0," + std::to_string(Slots) +
      "\r\nContent-Length: " + std::to_string(action.Body.size()) + "\r\n\r\n" +
      action.Body);
}

// Daemons.

Daemon::Daemon(const Store &store, Record &record, std::string folder,
               std::string name, std::string zone, int memoryMegabytes)
    : Platform(store), Notes(record), Folder(std::move(folder)),
      Name(std::move(name)), Zone(std::move(zone)), Memory(memoryMegabytes),
      Port(freePort()), ReadyPort(freePort()), PeerPort(freePort()) {}

Daemon::~Daemon() {
  if (Process <= 0)
    return;
  signal(SIGKILL);
  signal(SIGCONT);
  ::waitpid(Process, nullptr, 0);
}

std::string Daemon::settings() const {
  std::ifstream file("deploy/settings.toml");
  std::ostringstream text;
  text << file.rdbuf();
  auto at = [](uint16_t port) {
    return std::string(Loopback) + ":" + std::to_string(port);
  };
  return render(text.str(),
                {{"node_name", Name},
                 {"zone", Zone},
                 {"region", "guajira"},
                 {"ip_address", Loopback},
                 {"listen_addresses.frontend", at(Port)},
                 {"listen_addresses.ready", at(ReadyPort)},
                 {"internal_port_range.0", std::to_string(PeerPort)},
                 {"platform.address", at(Platform.port())},
                 {"limits.memory_mb", std::to_string(Memory)},
                 {"limits.file_descriptors", "4100"},
                 {"limits.cpu_share", "0.2"},
                 {"bounds.grace_s", "6"},
                 {"bounds.retry_budget_slack", "58"},
                 {"bounds.revocation_ms", "5000"}});
}

void Daemon::start() {
  std::string path = Folder + "/" + Name + ".toml";
  std::ofstream(path) << settings();
  std::string log = Folder + "/" + Name + ".log";
  std::string secret =
      "GUAVASAIL_PEER_SECRET=127.0.0.1:" + std::to_string(Platform.port()) +
      "/guavasail";
  std::string file = "GUAVASAIL_NODE_FILE=" + path;
  const char *argv[] = {"target/guavasail", "serve", "--settings", path.c_str(),
                        nullptr};
  const char *envp[] = {"PATH=/usr/bin:/bin", secret.c_str(), file.c_str(),
                        nullptr};
  Process = ::fork();
  if (Process == 0) {
    // The daemon does not outlive the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::execve(argv[0], const_cast<char **>(argv), const_cast<char **>(envp));
    ::_exit(127);
  }
  Notes.line("daemon " + Name + " starts");
}

void Daemon::signal(int number) const {
  if (Process > 0)
    ::kill(Process, number);
}

bool Daemon::awaitReady(double timeout) const {
  double until = seconds() + timeout;
  while (seconds() < until) {
    auto connection = Connection::open(Loopback, ReadyPort, 1);
    if (connection &&
        connection->send(
            "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        connection->read(true, 1).Status == 200)
      return true;
    sleepFor(0.1);
  }
  return false;
}

double Daemon::memoryMegabytes() const {
  std::ifstream file("/proc/" + std::to_string(Process) + "/status");
  std::string line;
  while (std::getline(file, line))
    if (line.starts_with("VmRSS:"))
      return std::strtod(line.c_str() + 6, nullptr) / 1024;
  return 0;
}

bool Daemon::reap() {
  int status = 0;
  if (Process <= 0 || ::waitpid(Process, &status, WNOHANG) != Process)
    return false;
  Process = -1;
  Notes.line("daemon " + Name + " ended by itself: " +
             (WIFSIGNALED(status)
                  ? "signal " + std::to_string(WTERMSIG(status))
                  : "exit " + std::to_string(WEXITSTATUS(status))));
  return true;
}

bool Daemon::restartIfEnded() {
  if (!reap())
    return false;
  sleepFor(RestartSeconds);
  start();
  return true;
}

bool Daemon::awaitEnd(double timeout) {
  double until = seconds() + timeout;
  while (seconds() < until) {
    if (Process <= 0 || reap())
      return true;
    sleepFor(0.05);
  }
  return false;
}

// Clients.

std::string freshId() {
  static std::mutex lock;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard guard(lock);
  std::ostringstream out;
  out << std::hex << std::setw(16) << std::setfill('0') << random();
  return out.str();
}

std::string requestBytes(const Call &call, const std::string &id) {
  std::string out =
      call.Method + " " + call.Path + " HTTP/1.1\r\nHost: " + call.Host +
      "\r\nX-Request-Id: " + id +
      "\r\nX-Deadline-Milliseconds: " + std::to_string(call.DeadlineMs) +
      "\r\n";
  if (!call.Key.empty())
    out += "Authorization: Token " + call.Key + "\r\n";
  out += call.More;
  if (call.Method == "POST" || !call.Body.empty())
    out += "Content-Length: " + std::to_string(call.Body.size()) + "\r\n";
  return out + "\r\n" + call.Body;
}

Message callOnce(const Daemon &daemon, Record &record, const Call &call,
                 const std::string &id) {
  std::string what = "request " + id + " " + call.Method + " " + call.Path +
                     " to " + daemon.name();
  record.line(what + ": sent");
  auto connection = Connection::open(Loopback, daemon.port(), 1);
  if (!connection) {
    record.line(what + ": no connection");
    return {};
  }
  connection->send(requestBytes(call, id));
  Message answer = connection->read(true, call.DeadlineMs / 1000.0 + 0.5);
  if (answer.Status == 0)
    record.line(what + ": connection closed or silent, no answer");
  else
    record.line(what + ": answered " + std::to_string(answer.Status) +
                (answer.Whole ? "" : ", cut off"));
  return answer;
}

std::string configText(int version, const std::vector<Route> &routes,
                       const std::vector<Tenant> &tenants,
                       const std::vector<std::string> &services) {
  std::map<std::string, Json> rules;
  for (const Route &it : routes)
    rules[it.Host].push_back({{"name", it.Name},
                              {"kind", it.Kind},
                              {"target_latency_ms", 2000},
                              {"priority", 1},
                              {"allow_anonymous", it.Anonymous},
                              {"match", {{"prefix", it.Prefix}}},
                              {"action",
                               {{"service", it.Service},
                                {"timeout_ms", it.TimeoutMs},
                                {"attempts", it.Attempts}}}});
  Json listeners = Json::array();
  for (const auto &[host, list] : rules)
    listeners.push_back({{"host", host}, {"rules", list}});
  Json clusters = Json::array();
  for (const std::string &it : services)
    clusters.push_back({{"name", it},
                        {"health_check_path", "/health"},
                        {"max_connections", 330},
                        {"protocol", "h1"},
                        {"tls", false}});
  Json value = {{"version", version},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 67108864},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
                {"listeners", listeners},
                {"clusters", clusters}};
  Json list = Json::array();
  for (const Tenant &it : tenants)
    list.push_back({{"name", it.Name},
                    {"api_keys", Json::array({it.Key})},
                    {"priority", 0},
                    {"rate_per_s", it.RatePerSecond},
                    {"burst", it.Burst}});
  if (!list.empty())
    value["tenants"] = list;
  return value.dump();
}

Folder::Folder() {
  std::string pattern = std::filesystem::temp_directory_path() / "rig-XXXXXX";
  if (!::mkdtemp(pattern.data()))
    std::exit(static_cast<int>(Verdict::NotRun));
  Path = pattern;
}

Folder::~Folder() {
  if (std::getenv("RIG_KEEP"))
    return;
  std::error_code ec;
  std::filesystem::remove_all(Path, ec);
}

} // namespace rig
