/// \file
/// Callers outside the limits, and the instance that answers them, on
/// non-blocking sockets in one loop of the test process.
#ifndef GUAVASAIL_TESTS_CALLER_CROWD_H
#define GUAVASAIL_TESTS_CALLER_CROWD_H

#include "edge_harness.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// What each caller of a crowd does.
struct CrowdScript {
  size_t Callers = 40;
  /// Sent once.
  std::string Opening = {};
  /// Sent after it, `Repeats` times.
  std::string Repeated = {};
  size_t Repeats = 0;
  /// Bytes that a caller reads in a round; 0 if it reads nothing.
  size_t ReadBytes = 0;
  /// Body of each of the instance's responses, in bytes.
  size_t AnswerBytes = 5;
  /// Responses have no length: the instance closes after each.
  bool Unframed = false;
  /// The crowd connects to the address for the balancer.
  bool AtReadyPort = false;
};

/// Runs a crowd against a daemon. Rounds are bounded, not timed.
class CallerCrowd {
public:
  CallerCrowd(const EdgeDaemon &daemon, const CrowdScript &script);

  /// Plays rounds until no byte has moved in several of them.
  void run();
  /// Sends one request and plays on until it is answered.
  /// \returns the response, empty if there is none.
  std::string ask(std::string_view request);
  /// Closes the callers' connections.
  void leave() { Callers.clear(); }
  /// \returns the number of callers that the daemon has not disconnected.
  [[nodiscard]] size_t connected() const { return Callers.size(); }

private:
  struct Caller {
    Wire Socket;
    /// Bytes of the script sent so far.
    size_t Sent = 0;
  };
  struct Lane {
    Wire Socket;
    /// Bytes of responses that are still to be sent.
    size_t Owed = 0;
  };

  bool round();
  bool send(Caller &it) const;
  bool read(Caller &it) const;
  bool serve(Lane &it) const;
  [[nodiscard]] std::string_view next(const Caller &it) const;

  const EdgeDaemon &Daemon;
  CrowdScript Script;
  /// Several repetitions in one text, so that a caller sends large parts.
  std::string Block;
  std::string Answer;
  std::vector<Caller> Callers;
  std::vector<Lane> Lanes;
};

} // namespace guavasail

#endif
