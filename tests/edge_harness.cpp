#include "edge_harness.h"

#include "key_digest.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace guavasail {

namespace {

constexpr int WaitMillis = 8000;
constexpr std::string_view HeadEnd = "\r\n\r\n";

sockaddr_in loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

bool readable(int fd) {
  pollfd item{fd, POLLIN, 0};
  return ::poll(&item, 1, WaitMillis) > 0;
}

/// \returns the value of a header in a head, in lower case, or an empty text.
std::string headerOf(std::string_view head, std::string_view name) {
  std::string lower(head);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  size_t at = lower.find("\r\n" + std::string(name) + ":");
  if (at == std::string::npos)
    return {};
  at += name.size() + 3;
  at = lower.find_first_not_of(' ', at);
  return lower.substr(at, lower.find("\r\n", at) - at);
}

bool wholeBody(std::string_view head, std::string_view body) {
  if (headerOf(head, "transfer-encoding") == "chunked")
    return body.ends_with("0\r\n\r\n");
  std::string length = headerOf(head, "content-length");
  uint64_t n = 0;
  std::from_chars(length.data(), length.data() + length.size(), n);
  return body.size() >= n;
}

} // namespace

namespace {

/// Reserves \p port among the tests that run at the same time, until this
/// process ends. An abstract socket name needs no file to clean up.
bool reservePort(uint16_t port) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::string name = "guavasail-test-port-" + std::to_string(port);
  std::copy(name.begin(), name.end(), address.sun_path + 1);
  auto length =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&address), length) == 0)
    return true;
  ::close(fd);
  return false;
}

/// \returns true if nobody listens on \p port.
bool canListen(uint16_t port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  bool free =
      ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
  ::close(fd);
  return free;
}

} // namespace

// The kernel gives ports of its ephemeral range, from 32768, to connections of
// other tests before the daemon listens.
uint16_t freePort() {
  constexpr uint16_t First = 10000;
  constexpr uint16_t Last = 32767;
  static uint16_t next = First + ::getpid() * 37 % (Last - First);
  for (int n = 0; n < Last - First; ++n) {
    next = next == Last ? First : next + 1;
    if (reservePort(next) && canListen(next))
      return next;
  }
  return 0;
}

Wire::Wire(Wire &&other) noexcept
    : Received(std::move(other.Received)), Ended(other.Ended),
      EndedByReset(other.EndedByReset),
      Socket(std::exchange(other.Socket, -1)) {}

Wire &Wire::operator=(Wire &&other) noexcept {
  std::swap(Received, other.Received);
  std::swap(Ended, other.Ended);
  std::swap(EndedByReset, other.EndedByReset);
  std::swap(Socket, other.Socket);
  return *this;
}

Wire Wire::dial(uint16_t port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address)) {
    ::close(fd);
    fd = -1;
  }
  return Wire(fd);
}

void Wire::send(std::string_view bytes) const {
  static_cast<void>(trySend(bytes));
}

bool Wire::trySend(std::string_view bytes) const {
  while (!bytes.empty()) {
    ssize_t n = ::send(Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

bool Wire::receive() {
  std::array<char, 65536> buf{};
  if (Ended || !readable(Socket))
    return false;
  ssize_t n = ::recv(Socket, buf.data(), buf.size(), 0);
  if (n <= 0) {
    Ended = true;
    EndedByReset = n < 0 && errno == ECONNRESET;
    return false;
  }
  Received.append(buf.data(), static_cast<size_t>(n));
  return true;
}

void Wire::readToEnd() {
  while (receive()) {
  }
}

void Wire::close() {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

void Wire::reset() {
  linger atOnce{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
  close();
}

void Wire::endSending() const { ::shutdown(Socket, SHUT_WR); }

Listener::Listener()
    : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  auto *generic = reinterpret_cast<sockaddr *>(&address);
  EXPECT_EQ(::bind(Socket, generic, size), 0);
  EXPECT_EQ(::listen(Socket, SOMAXCONN), 0);
  EXPECT_EQ(::getsockname(Socket, generic, &size), 0);
  Port = ntohs(address.sin_port);
}

Listener::~Listener() { ::close(Socket); }

Wire Listener::accept() const {
  if (!readable(Socket))
    return Wire(-1);
  return Wire(::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC));
}

Child::Child(std::vector<std::string> words, const std::string &errors) {
  std::vector<char *> argv;
  argv.reserve(words.size() + 1);
  for (std::string &word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   (errors + ".out").c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  EXPECT_EQ(
      ::posix_spawn(&Id, argv[0], &actions, nullptr, argv.data(), environ), 0);
  posix_spawn_file_actions_destroy(&actions);
}

Child::~Child() {
  if (Id < 0)
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
}

void Child::signal(int number) const { ::kill(Id, number); }

void Child::terminate() const { signal(SIGTERM); }

bool Child::running() {
  if (Id >= 0 && ::waitpid(Id, &Status, WNOHANG) == Id)
    Id = -1;
  return Id >= 0;
}

size_t Child::residentBytes() const {
  std::ifstream status("/proc/" + std::to_string(Id) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  status >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

size_t Child::peakBytes() const {
  constexpr std::string_view Key = "VmHWM:";
  constexpr size_t KilobyteBytes = 1024;
  std::ifstream status("/proc/" + std::to_string(Id) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(Key))
      return std::stoul(line.substr(Key.size())) * KilobyteBytes;
  return 0;
}

int Child::wait() {
  for (int n = 0; n < WaitMillis && Id >= 0; ++n) {
    if (::waitpid(Id, &Status, WNOHANG) == Id) {
      Id = -1;
      break;
    }
    ::poll(nullptr, 0, 1);
  }
  return Id < 0 && WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

EdgeDaemon::EdgeDaemon(const EdgeOptions &options)
    : Port(freePort()), ReadyPort(freePort()) {
  std::string pattern = testing::TempDir() + "guavasail-edge-XXXXXX";
  Folder = ::mkdtemp(pattern.data());
  std::ofstream settings(file("settings.toml"));
  settings << "[daemon]\nzone = \"z\"\nlisten_port = " << Port
           << "\nready_listen = \"127.0.0.1:" << ReadyPort << "\"\n"
           << options.Daemon << "\n[limits]\n"
           << options.Limits
           << "\n[[service]]\nname = \"s\"\n[[service.instance]]\n"
              "name = \"i\"\naddress = \"127.0.0.1\"\nzone = \"z\"\nport = "
           << Backend.port() << "\n[[route]]\nname = \"r\"\nprefix = \""
           << options.RoutePrefix
           << "\"\nservice = \"s\"\ntimeout_ms = " << options.RouteTimeoutMs
           << "\n[[workspace]]\nname = \"w\"\n[[workspace.key]]\nid = \"k\"\n"
              "digest = \""
           << formatDigest(digestOf(EdgeKey)) << "\"\n";
  settings.close();
  Process = std::make_unique<Child>(
      std::vector<std::string>{GUAVASAIL_BINARY, "serve", "--settings",
                               file("settings.toml")},
      file("log"));
  auto isOpen = [&] {
    return dial().fd() >= 0 && Wire::dial(ReadyPort).fd() >= 0;
  };
  for (int n = 0; n < WaitMillis && !isOpen(); ++n)
    ::poll(nullptr, 0, 1);
}

std::string EdgeDaemon::file(std::string_view name) const {
  return Folder + "/" + std::string(name);
}

std::string EdgeDaemon::log() const {
  std::ostringstream text;
  text << std::ifstream(file("log.out")).rdbuf();
  return text.str();
}

void EdgeDaemon::awaitLog(std::string_view text) const {
  for (int n = 0; n < WaitMillis; ++n) {
    if (log().find(text) != std::string::npos)
      return;
    ::poll(nullptr, 0, 1);
  }
}

bool wholeRequest(std::string_view text) {
  size_t end = text.find(HeadEnd);
  return end != std::string_view::npos &&
         wholeBody(text.substr(0, end + 2), text.substr(end + HeadEnd.size()));
}

bool wholeAnswer(std::string_view text, std::string_view method) {
  size_t end = text.find(HeadEnd);
  if (end == std::string_view::npos)
    return false;
  std::string_view body = text.substr(end + HeadEnd.size());
  std::string_view status = text.substr(text.find(' ') + 1, 3);
  if (status.starts_with('1'))
    return wholeAnswer(body, method);
  if (method == "HEAD" || status == "204" || status == "304")
    return true;
  std::string_view head = text.substr(0, end + 2);
  bool framed = !headerOf(head, "transfer-encoding").empty() ||
                !headerOf(head, "content-length").empty();
  return framed && wholeBody(head, body);
}

void BackendPlayer::serve(Wire &lane, const BackendScript &script) {
  if (!lane.receive() || !wholeRequest(lane.Received))
    return;
  Seen.push_back(std::exchange(lane.Received, {}));
  lane.send(script.Answer);
  switch (script.End) {
  case LaneEnd::Open:
    return;
  case LaneEnd::Close:
    return lane.close();
  case LaneEnd::HalfClose:
    return lane.endSending();
  case LaneEnd::Reset:
    return lane.reset();
  }
}

bool BackendPlayer::play(Wire &caller, std::string_view method,
                         const BackendScript &script) {
  while (!caller.Ended && !wholeAnswer(caller.Received, method)) {
    std::vector<pollfd> items = {{caller.fd(), POLLIN, 0},
                                 {Daemon.Backend.fd(), POLLIN, 0}};
    for (const Wire &lane : Lanes)
      items.push_back({lane.fd(), POLLIN, 0});
    if (::poll(items.data(), items.size(), WaitMillis) <= 0)
      break;
    for (size_t n = 0; n < Lanes.size(); ++n)
      if (items[n + 2].revents != 0)
        serve(Lanes[n], script);
    std::erase_if(Lanes,
                  [](const Wire &it) { return it.fd() < 0 || it.Ended; });
    if (items[0].revents != 0)
      caller.receive();
    if (items[1].revents == 0)
      continue;
    Lanes.push_back(Daemon.Backend.accept());
    ++Accepted;
  }
  return wholeAnswer(caller.Received, method);
}

} // namespace guavasail
