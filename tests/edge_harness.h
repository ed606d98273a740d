/// \file
/// Runs the real binary between a raw caller and a raw backend server. All
/// waits are bounded; nothing is timed.
#ifndef GUAVASAIL_TESTS_EDGE_HARNESS_H
#define GUAVASAIL_TESTS_EDGE_HARNESS_H

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace guavasail {

/// The key that the daemon under test accepts.
inline constexpr std::string_view EdgeKey = "edge-secret-key";

/// One TCP connection on the loopback interface.
class Wire {
public:
  explicit Wire(int fd) : Socket(fd) {}
  Wire(Wire &&other) noexcept;
  Wire &operator=(Wire &&other) noexcept;
  ~Wire() { close(); }

  /// Connects to a port of 127.0.0.1.
  static Wire dial(uint16_t port);

  /// Sends all bytes; a peer that is gone is no error.
  void send(std::string_view bytes) const;
  /// Sends all bytes.
  /// \returns false if the peer closed.
  [[nodiscard]] bool trySend(std::string_view bytes) const;
  /// Waits for bytes and appends them to `Received`.
  /// \returns false if the peer closed or the bound passed.
  bool receive();
  void readToEnd();
  void close();
  /// Closes with a reset.
  void reset();
  /// Ends the direction to the peer only.
  void endSending() const;
  [[nodiscard]] int fd() const { return Socket; }

  std::string Received;
  /// The peer ended the connection.
  bool Ended = false;
  /// It did so with a reset.
  bool EndedByReset = false;

private:
  int Socket;
};

/// A listening socket with a port that the system chose.
class Listener {
public:
  Listener();
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  [[nodiscard]] uint16_t port() const { return Port; }
  [[nodiscard]] int fd() const { return Socket; }
  /// Waits for a connection.
  [[nodiscard]] Wire accept() const;

private:
  int Socket;
  uint16_t Port = 0;
};

/// \returns a port that nobody listens on and no other test gets; 0 if there is
/// none.
uint16_t freePort();

/// A program that this test started.
class Child {
public:
  explicit Child(std::vector<std::string> words, const std::string &errors);
  ~Child();
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  void terminate() const;
  /// Sends a signal.
  void signal(int number) const;
  /// \returns false once it has ended.
  [[nodiscard]] bool running();
  /// \returns its memory in bytes, 0 once it has ended.
  [[nodiscard]] size_t residentBytes() const;
  /// \returns the most memory that it had in bytes, 0 once it has ended.
  [[nodiscard]] size_t peakBytes() const;
  [[nodiscard]] pid_t id() const { return Id; }
  /// \returns the exit status, or -1 if it did not end by itself.
  int wait();

private:
  pid_t Id = -1;
  int Status = -1;
};

/// What a daemon under test differs in.
struct EdgeOptions {
  /// Lines of the [daemon] and [limits] tables.
  std::string Daemon = {};
  std::string Limits = {};
  uint32_t RouteTimeoutMs = 4000;
  std::string_view RoutePrefix = "/r";
};

/// A daemon with one service of one instance, which the test plays.
class EdgeDaemon {
public:
  explicit EdgeDaemon(const EdgeOptions &options = {});

  [[nodiscard]] Wire dial() const { return Wire::dial(Port); }
  [[nodiscard]] uint16_t port() const { return Port; }
  /// \returns the port that serves health.
  [[nodiscard]] uint16_t readyPort() const { return ReadyPort; }
  /// \returns all that the daemon logged so far.
  [[nodiscard]] std::string log() const;
  /// Waits until the daemon logged \p text.
  void awaitLog(std::string_view text) const;
  /// \returns a file name in the test's own folder.
  [[nodiscard]] std::string file(std::string_view name) const;

  Listener Backend;
  std::unique_ptr<Child> Process;

private:
  uint16_t Port;
  uint16_t ReadyPort;
  std::string Folder;
};

/// \returns true once \p text holds a whole request.
bool wholeRequest(std::string_view text);
/// \returns true once \p text holds a whole answer to \p method.
bool wholeAnswer(std::string_view text, std::string_view method);

/// What the instance does with its connection after an answer.
enum class LaneEnd : uint8_t { Open, Close, HalfClose, Reset };

/// How the instance answers.
struct BackendScript {
  std::string_view Answer;
  LaneEnd End = LaneEnd::Open;
};

/// Plays the instance for several requests and keeps its connections open.
class BackendPlayer {
public:
  explicit BackendPlayer(const EdgeDaemon &daemon) : Daemon(daemon) {}

  /// Answers requests until the caller has a whole answer or was cut off.
  /// \returns true if the answer is whole.
  bool play(Wire &caller, std::string_view method, const BackendScript &script);

  /// Requests as the instance saw them.
  std::vector<std::string> Seen;
  /// Connections that the daemon opened.
  size_t Accepted = 0;

private:
  void serve(Wire &lane, const BackendScript &script);

  const EdgeDaemon &Daemon;
  std::vector<Wire> Lanes;
};

} // namespace guavasail

#endif
