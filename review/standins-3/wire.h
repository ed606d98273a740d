/// \file
/// Blocking HTTP/1.1 over loopback sockets, for stand-ins and callers.
#ifndef GUAVASAIL_REVIEW_STANDINS_3_WIRE_H
#define GUAVASAIL_REVIEW_STANDINS_3_WIRE_H

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

/// \returns milliseconds since the case began.
inline int64_t nowMs() {
  static const auto Begin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Begin)
      .count();
}

inline void sleepMs(int64_t millis) {
  if (millis > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

inline void sleepUntil(int64_t at) { sleepMs(at - nowMs()); }

inline sockaddr_in placeOf(const std::string &address, int port) {
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &place.sin_addr);
  return place;
}

/// One message: a request or an answer.
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  [[nodiscard]] std::string field(std::string_view name) const {
    for (const auto &[key, value] : Fields)
      if (key.size() == name.size() &&
          strncasecmp(key.data(), name.data(), name.size()) == 0)
        return value;
    return {};
  }

  /// \returns word \p n of the first line.
  [[nodiscard]] std::string word(size_t n) const {
    size_t from = 0;
    for (; n > 0; --n) {
      from = Start.find(' ', from);
      if (from == std::string::npos)
        return {};
      ++from;
    }
    return Start.substr(from, Start.find(' ', from) - from);
  }

  [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {
    int on = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(); }

  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

  /// \returns a socket that is connected to the place, -1 if none.
  static int open(const std::string &address, int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place = placeOf(address, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&place), sizeof place) == 0)
      return fd;
    ::close(fd);
    return -1;
  }

  bool write(std::string_view bytes) {
    while (!bytes.empty()) {
      ssize_t n = ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes.remove_prefix(static_cast<size_t>(n));
    }
    return true;
  }

  /// Reads a whole message.
  /// \returns false if the connection ends first, or at \p due.
  bool read(Message &out, int64_t due) {
    out = {};
    size_t end = std::string::npos;
    while ((end = In.find("\r\n\r\n")) == std::string::npos)
      if (!more(due))
        return false;
    parseHead(In.substr(0, end), out);
    In.erase(0, end + 4);
    if (out.field("transfer-encoding") == "chunked")
      return readChunks(out, due);
    auto length = static_cast<size_t>(
        std::strtoul(out.field("content-length").c_str(), nullptr, 10));
    while (In.size() < length)
      if (!more(due))
        return false;
    out.Body = In.substr(0, length);
    In.erase(0, length);
    return true;
  }

private:
  bool more(int64_t due) {
    int64_t left = due - nowMs();
    pollfd item{Fd, POLLIN, 0};
    if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
      return false;
    char buf[16384];
    ssize_t n = ::recv(Fd, buf, sizeof buf, 0);
    if (n <= 0)
      return false;
    In.append(buf, static_cast<size_t>(n));
    return true;
  }

  static void parseHead(const std::string &head, Message &out) {
    size_t at = head.find("\r\n");
    out.Start = head.substr(0, at);
    while (at != std::string::npos) {
      size_t from = at + 2;
      at = head.find("\r\n", from);
      std::string line = head.substr(from, at - from);
      size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      size_t value = line.find_first_not_of(' ', colon + 1);
      out.Fields.emplace_back(line.substr(0, colon), value == std::string::npos
                                                         ? std::string()
                                                         : line.substr(value));
    }
  }

  bool readChunks(Message &out, int64_t due) {
    while (true) {
      size_t end = std::string::npos;
      while ((end = In.find("\r\n")) == std::string::npos)
        if (!more(due))
          return false;
      auto size = static_cast<size_t>(std::strtoul(In.c_str(), nullptr, 16));
      while (In.size() < end + 2 + size + 2)
        if (!more(due))
          return false;
      out.Body.append(In, end + 2, size);
      In.erase(0, end + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  int Fd;
  std::string In;
};

/// \returns a listening socket, -1 if the place is taken.
inline int listenAt(const std::string &address, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in place = placeOf(address, port);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&place), sizeof place) == 0 &&
      ::listen(fd, 256) == 0)
    return fd;
  ::close(fd);
  return -1;
}

/// \returns a port that is free at \p address.
inline int freePort(const std::string &address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in place = placeOf(address, 0);
  socklen_t size = sizeof place;
  ::bind(fd, reinterpret_cast<sockaddr *>(&place), size);
  getsockname(fd, reinterpret_cast<sockaddr *>(&place), &size);
  ::close(fd);
  return ntohs(place.sin_port);
}

} // namespace review

#endif
