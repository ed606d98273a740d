/// \file
/// Names of the headers in which callers, backend servers and this VM tell
/// each other about a request.
#ifndef GUAVASAIL_HEADER_NAMES_H
#define GUAVASAIL_HEADER_NAMES_H

#include <string>

namespace guavasail {

/// Header names, without colons. An empty optional name switches the header
/// off.
struct HeaderNames {
  /// Time that the caller allows, and that is left when passed on, in whole
  /// milliseconds.
  std::string Timeout = "x-request-timeout-ms";
  /// Scheme of `Authorization` that carries the caller's key.
  std::string KeyScheme = "Bearer";
  /// Another header and a query parameter with the caller's key.
  std::string KeyHeader = "x-api-key";
  std::string KeyParameter = "api_key";
  /// The caller's own name for the request.
  std::string RequestId = "x-request-id";
  /// Tells an instance whom the request is meant for; optional.
  std::string ExpectedInstance;
  /// Tells an instance which workspace the request belongs to; optional.
  std::string Workspace;
  /// Requests that an instance runs, and, after commas, those that wait and
  /// its slots.
  std::string Load = "x-slots-in-use";
  /// An instance is about to stop.
  std::string Leaving = "x-leaving";
  /// An instance did not run the request.
  std::string NotRun = "x-not-run";
  /// Mark that every successful answer of an instance bears; optional.
  std::string Signature;
  /// Instances repeat the request's id in their answers.
  bool EchoedId = false;
  /// Instances get the host that the caller named as their own.
  bool PassHost = false;
  /// `Retry-After` may hold a fraction of a second.
  bool FractionalRetryAfter = false;
};

} // namespace guavasail

#endif
