/// \file
/// Starts daemons with the settings of the deploy file's template, calls them
/// as clients do, and writes the record of a case.
#ifndef GUAVASAIL_REVIEW_STANDINS_3_FLEET_H
#define GUAVASAIL_REVIEW_STANDINS_3_FLEET_H

#include "instances.h"

#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>

namespace review {

/// Exit statuses of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Writes lines with their time to a file.
class Record {
public:
  explicit Record(const char *path) : Out(std::fopen(path, "w")) {}
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  ~Record() {
    if (Out)
      std::fclose(Out);
  }

  __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
    std::lock_guard lock(Mutex);
    if (!Out)
      return;
    std::fprintf(Out, "%8.3f s  ", static_cast<double>(nowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(Out, format, arguments);
    va_end(arguments);
    std::fputc('\n', Out);
    std::fflush(Out);
  }

private:
  std::mutex Mutex;
  std::FILE *Out;
};

/// The daemons of a case, each at an address of its own.
class Fleet {
public:
  struct Ports {
    int Frontend = 0;
    int Ready = 0;
    int Peer = 0;
    std::string StoreEndpoint;
  };

  /// \param folder for the settings files and logs of the daemons.
  Fleet(std::string program, std::string templateFile, std::string folder,
        Ports ports)
      : Program(std::move(program)), Template(std::move(templateFile)),
        Folder(std::move(folder)), Place(std::move(ports)) {}
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  ~Fleet() { endAll(); }

  void endAll() {
    for (pid_t &pid : Pids)
      end(pid, SIGKILL);
  }

  static std::string address(size_t n) {
    return "127.0.1." + std::to_string(n + 1);
  }

  bool start(size_t n) {
    Pids.resize(std::max(Pids.size(), n + 1), -1);
    std::string file = Folder + "/" + name(n) + ".conf";
    if (!writeSettings(n, file))
      return false;
    std::string log = Folder + "/" + name(n) + ".log";
    pid_t pid = fork();
    if (pid == 0) {
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      std::string secret =
          "GUAVASAIL_PEER_SECRET=" + Place.StoreEndpoint + "/guavasail";
      const char *arguments[] = {Program.c_str(), "serve", "--settings",
                                 file.c_str(), nullptr};
      const char *environment[] = {secret.c_str(), nullptr};
      execve(Program.c_str(), const_cast<char **>(arguments),
             const_cast<char **>(environment));
      _exit(127);
    }
    Pids[n] = pid;
    return pid > 0;
  }

  void signal(size_t n, int number) {
    if (Pids[n] > 0)
      ::kill(Pids[n], number);
  }

  /// Waits until a daemon has ended.
  /// \returns its wait status, or -1 if it still runs at \p due.
  int waitEnd(size_t n, int64_t due) {
    int status = 0;
    while (nowMs() < due) {
      if (Pids[n] <= 0 || waitpid(Pids[n], &status, WNOHANG) == Pids[n]) {
        Pids[n] = -1;
        return status;
      }
      sleepMs(10);
    }
    return -1;
  }

  void end(pid_t &pid, int number) {
    if (pid <= 0)
      return;
    ::kill(pid, number);
    waitpid(pid, nullptr, 0);
    pid = -1;
  }

  /// \returns true once the daemon answers 200 at its address of readiness.
  bool awaitReady(size_t n, int64_t due) {
    for (; nowMs() < due; sleepMs(30)) {
      int fd = Connection::open(address(n), Place.Ready);
      if (fd < 0)
        continue;
      Connection link(fd);
      Message answer;
      if (link.write("GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          link.read(answer, nowMs() + 500) && answer.status() == 200)
        return true;
    }
    return false;
  }

  [[nodiscard]] int frontend() const { return Place.Frontend; }
  [[nodiscard]] pid_t processOf(size_t n) const { return Pids[n]; }

private:
  static std::string name(size_t n) { return "frontend-" + std::to_string(n); }

  bool writeSettings(size_t n, const std::string &file) const {
    std::ifstream in(Template);
    std::stringstream text;
    text << in.rdbuf();
    std::string out = text.str();
    // Sections without a field of this deployment are left out.
    for (const char *absent :
         {"bounds.warmup_overshoot", "bounds.warmup_slack"})
      cutSection(out, absent);
    auto at = [&](int port) { return address(n) + ":" + std::to_string(port); };
    const std::pair<std::string, std::string> values[] = {
        {"node_name", name(n)},
        {"zone", "cabo-vela"},
        {"region", "guajira"},
        {"ip_address", address(n)},
        {"listen_addresses.frontend", at(Place.Frontend)},
        {"listen_addresses.ready", at(Place.Ready)},
        {"internal_port_range.0", std::to_string(Place.Peer)},
        {"platform.address", Place.StoreEndpoint},
        {"limits.memory_mb", "260"},
        {"limits.file_descriptors", "4100"},
        {"limits.cpu_share", "0.2"},
        {"bounds.grace_s", "6"},
        {"bounds.retry_budget_slack", "58"},
        {"bounds.revocation_ms", "5000"},
    };
    for (const auto &[key, value] : values)
      for (const std::string &text :
           {"{{#" + key + "}}", "{{/" + key + "}}", "{{" + key + "}}"})
        replaceAll(out, text, text.starts_with("{{" + key) ? value : "");
    if (out.find("{{") != std::string::npos)
      return false;
    std::ofstream(file) << out;
    return true;
  }

  static void cutSection(std::string &out, const std::string &key) {
    std::string end = "{{/" + key + "}}";
    size_t from = out.find("{{#" + key + "}}");
    size_t to = out.find(end);
    if (from != std::string::npos && to != std::string::npos)
      out.erase(from, to + end.size() - from);
  }

  static void replaceAll(std::string &out, const std::string &from,
                         const std::string &to) {
    for (size_t at = out.find(from); at != std::string::npos;
         at = out.find(from, at + to.size()))
      out.replace(at, from.size(), to);
  }

  std::string Program;
  std::string Template;
  std::string Folder;
  Ports Place;
  std::vector<pid_t> Pids;
};

/// A request as a client sends it.
struct Call {
  std::string Method = "GET";
  std::string Host;
  std::string Path;
  std::string Key;
  std::string Id;
  int64_t DeadlineMs = 4000;
};

/// Sends a request on a connection of its own.
/// \returns the answer's status; 0 if the connection ended without an answer.
inline int send(const Call &call, const std::string &address, int port,
                Message *answer = nullptr) {
  int fd = Connection::open(address, port);
  if (fd < 0)
    return 0;
  Connection link(fd);
  std::string head =
      call.Method + " " + call.Path + " HTTP/1.1\r\nHost: " + call.Host +
      "\r\nX-Request-Id: " + call.Id +
      "\r\nX-Deadline-Milliseconds: " + std::to_string(call.DeadlineMs) +
      "\r\n";
  if (!call.Key.empty())
    head += "Authorization: Token " + call.Key + "\r\n";
  if (call.Method == "POST")
    head += "Content-Length: 0\r\n";
  Message own;
  Message &out = answer ? *answer : own;
  bool read =
      link.write(head + "\r\n") && link.read(out, nowMs() + call.DeadlineMs);
  return read ? out.status() : 0;
}

/// What a case is given on its command line: PROGRAM TEMPLATE FOLDER RECORD.
struct Setup {
  std::string Program;
  std::string Template;
  std::string Folder;
  const char *RecordPath = "";
  bool Trouble = true;

  static Setup parse(char **argv) {
    const char *trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], argv[3], argv[4],
            !trouble || std::string_view(trouble) != "0"};
  }
};

} // namespace review

#endif
