/// \file
/// Names of the headers that carry request metadata between callers, this VM
/// and backend servers.
#ifndef GUAVASAIL_HEADER_NAMES_H
#define GUAVASAIL_HEADER_NAMES_H

#include <string>

namespace guavasail {

/// Header names without colons. An empty optional name disables the header.
struct HeaderNames {
  /// The caller's timeout, and the remaining time when forwarded, in whole
  /// milliseconds.
  std::string Timeout = "x-request-timeout-ms";
  /// `Authorization` scheme of the caller's key.
  std::string KeyScheme = "Bearer";
  /// Alternative header and query parameter for the caller's key.
  std::string KeyHeader = "x-api-key";
  std::string KeyParameter = "api_key";
  /// Request id set by the caller.
  std::string RequestId = "x-request-id";
  /// Names the instance that the request is addressed to; optional.
  std::string ExpectedInstance;
  /// Names the workspace of the request to the instance; optional.
  std::string Workspace;
  /// Running requests of an instance, followed by its queued requests and its
  /// slots, separated by commas.
  std::string Load = "x-slots-in-use";
  /// Set by an instance that is shutting down.
  std::string Leaving = "x-leaving";
  /// Set by an instance that did not run the request.
  std::string NotRun = "x-not-run";
  /// Header that each successful response of an instance carries; optional.
  std::string Signature;
  /// Instances echo the request id in their responses.
  bool EchoedId = false;
  /// Forwards the caller's host to instances unchanged.
  bool PassHost = false;
  /// `Retry-After` may have a fractional number of seconds.
  bool FractionalRetryAfter = false;
};

} // namespace guavasail

#endif
