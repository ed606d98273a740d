/// \file
/// Parts of a small deployment on loopback addresses: the platform's store,
/// instances, clients, and daemons that run as processes of their own.
#ifndef GUAVASAIL_REVIEW_STANDINS_2_RIG_H
#define GUAVASAIL_REVIEW_STANDINS_2_RIG_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

/// Exit codes of a case.
enum class Verdict : uint8_t { Held = 0, Broken = 1, NotRun = 2 };

/// \returns seconds since the case began.
double seconds();
void sleepFor(double seconds);
/// Sleeps until the case is \p at seconds old.
void sleepUntil(double at);

/// \returns true unless `TROUBLE=0` is set.
bool troubled();

/// The file `record.txt`: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &path) : File(path) {}
  void line(const std::string &text);

private:
  std::mutex Lock;
  std::ofstream File;
};

/// One message, a request or an answer.
struct Message {
  /// Method and target of a request.
  std::string Method;
  std::string Target;
  /// Status of an answer; 0 if none came.
  int Status = 0;
  /// Header lines; names are in lower case.
  std::multimap<std::string, std::string> Fields;
  std::string Body;
  /// It arrived whole.
  bool Whole = false;

  [[nodiscard]] std::string field(const std::string &name) const;
};

/// A blocking connection with an input buffer.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// \param narrow keeps the buffer for what was not read yet small.
  /// \returns null if the connection is not established in time.
  static std::unique_ptr<Connection> open(const std::string &address,
                                          uint16_t port, double timeout,
                                          bool narrow = false);

  bool send(std::string_view bytes) const;
  /// Reads a request, or an answer if \p answer.
  /// \param timeout seconds in all.
  Message read(bool answer, double timeout);
  /// Reads an answer \p bytes at a time with a \p pause between two reads, up
  /// to the end of the connection or the length that the answer declares. It is
  /// whole if nothing shows that a part is missing.
  Message readSlowly(size_t bytes, double pause, double timeout);
  /// Closes it orderly, or with a reset.
  void close(bool reset = false);
  /// \returns true if the peer has closed its side, or sent more bytes.
  [[nodiscard]] bool readable(double timeout) const;

private:
  /// \returns false at the end of the connection or of the time.
  bool fill(double until);

  int Fd;
  std::string In;
};

/// \returns a loopback port that is free at present.
uint16_t freePort();

/// Accepts connections and handles each in a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  /// Listens on 127.0.0.1.
  Server(uint16_t port, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

private:
  void accept();

  int Listener;
  Handler Handle;
  std::atomic<bool> Stopping{false};
  std::thread Acceptor;
};

/// The platform's store: items, ranges, leases, conditional changes.
class Store {
public:
  Store();
  [[nodiscard]] uint16_t port() const { return Port; }

  /// Writes an item as the operator or an instance.
  void put(const std::string &key, const std::string &value);
  void drop(const std::string &key);

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Created = 0;
    uint64_t Lease = 0;
  };
  struct Lease {
    double Ttl = 0;
    double Until = 0;
  };
  struct Reply {
    int Status = 200;
    std::string Body = "{}";
  };

  void serve(Connection &connection);
  Reply handle(const Message &request);
  Reply range(const std::string &prefix, const std::string &after);
  Reply change(const std::string &body);
  Reply grant(const std::string &body);
  Reply renew(uint64_t lease);
  Reply end(uint64_t lease);
  void write(const std::string &key, const std::string &value, uint64_t lease);
  void erase(const std::string &key);
  void expire();

  std::mutex Lock;
  std::map<std::string, Item> Items;
  std::map<uint64_t, Lease> Leases;
  uint64_t Revision = 100;
  uint64_t LastLease = 0;
  uint16_t Port;
  std::unique_ptr<Server> Listener;
};

/// What an instance does with a request that it got whole.
struct Action {
  int Status = 200;
  std::string Body;
  /// Seconds of work.
  double Work = 0;
  /// The request is turned away before it runs.
  bool NotExecuted = false;
  /// It runs, and the connection is reset in place of an answer.
  bool Lost = false;
};

/// One run of a request, as the instance saw it.
struct Run {
  double At = 0;
  std::string Instance;
  Message Request;
};

/// A server with slots that registers itself in the store.
class Instance {
public:
  using Decide = std::function<Action(const Message &)>;

  Instance(Store &store, Record &record, std::string service, std::string zone,
           int number, Decide decide);
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] uint16_t port() const { return Port; }
  /// \returns what it ran so far.
  std::vector<Run> runs();

private:
  void serve(Connection &connection);
  /// \returns false if the connection ends.
  bool answer(Connection &connection, const Message &request);
  void beat();

  Store &Entries;
  Record &Notes;
  std::string Service;
  std::string Zone;
  std::string Name;
  Decide Choose;
  uint64_t Born;
  uint64_t Sequence = 0;
  std::mutex Lock;
  std::vector<Run> Runs;
  uint16_t Port;
  std::atomic<bool> Stopping{false};
  std::unique_ptr<Server> Listener;
  std::thread Beats;
};

/// Signature of an answer of \p instance with \p body.
std::string signatureOf(const std::string &instance, const std::string &body);

/// A daemon with the command of the deploy file and the template of its
/// settings.
class Daemon {
public:
  Daemon(const Store &store, Record &record, std::string folder,
         std::string name, std::string zone, int memoryMegabytes = 260);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void start();
  void signal(int number) const;
  /// Waits until the readiness address answers 200.
  [[nodiscard]] bool awaitReady(double timeout) const;
  /// Restarts the process if it has ended, as the platform does.
  /// \returns true if it had ended by itself.
  bool restartIfEnded();
  /// Waits for the end of the process.
  bool awaitEnd(double timeout);

  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] uint16_t port() const { return Port; }
  /// \returns the memory of the process in megabytes, 0 without one.
  [[nodiscard]] double memoryMegabytes() const;

private:
  /// \returns true if the process has ended, and notes how.
  bool reap();
  [[nodiscard]] std::string settings() const;

  const Store &Platform;
  Record &Notes;
  std::string Folder;
  std::string Name;
  std::string Zone;
  int Memory;
  uint16_t Port;
  uint16_t ReadyPort;
  uint16_t PeerPort;
  pid_t Process = -1;
};

/// A request of a client.
struct Call {
  std::string Method = "GET";
  std::string Path = "/";
  std::string Host = "gate.example";
  std::string Key;
  /// Further header lines, each with its line end.
  std::string More;
  std::string Body;
  int DeadlineMs = 4000;
};

/// \returns a fresh request id.
std::string freshId();

/// \returns the bytes of a request with \p id.
std::string requestBytes(const Call &call, const std::string &id);

/// Sends one request on a new connection and notes it with its answer.
Message callOnce(const Daemon &daemon, Record &record, const Call &call,
                 const std::string &id);

/// One route of a configuration.
struct Route {
  std::string Host = "gate.example";
  std::string Name;
  std::string Prefix;
  std::string Kind = "safe";
  std::string Service;
  bool Anonymous = false;
  int TimeoutMs = 4000;
  int Attempts = 2;
};

/// A tenant of a configuration.
struct Tenant {
  std::string Name;
  std::string Key;
  int RatePerSecond = 0;
  int Burst = 0;
};

/// \returns the text of `op/config`.
std::string configText(int version, const std::vector<Route> &routes,
                       const std::vector<Tenant> &tenants,
                       const std::vector<std::string> &services);

/// \returns a temporary folder that is removed at the end of the case.
class Folder {
public:
  Folder();
  ~Folder();
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;
  [[nodiscard]] const std::string &path() const { return Path; }

private:
  std::string Path;
};

} // namespace rig

#endif
