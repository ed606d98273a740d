/// \file
/// Refusal kinds. The front ends map them to encodings such as an HTTP status.
#ifndef GUAVASAIL_REFUSAL_H
#define GUAVASAIL_REFUSAL_H

#include <cstdint>
#include <span>
#include <string_view>

namespace guavasail {

/// Why a request got no response from a backend server.
enum class RefusalKind : uint8_t {
  MalformedRequest,
  MethodUnsupported,
  LengthRequired,
  HeaderTooLarge,
  BodyTooLarge,
  RouteUnknown,
  KeyMissing,
  KeyUnknown,
  RouteForbidden,
  RateExceeded,
  Overloaded,
  NoInstance,
  DeadlineTooShort,
  InstanceUnreachable,
  AnswerIncomplete,
  DeadlineExceeded,
  OutcomeUnknown,
  Draining,
  NotReady,
  KeyReused,
  AlreadyInProgress,
  AnswerNotKept,
  RecordsUnavailable,
  RequestQuarantined,
  NotFresh,
};

/// What is known about the execution of a refused request.
enum class RunState : uint8_t {
  /// No backend server received any byte of the request.
  NotRun,
  /// A backend server may have run the request; it is idempotent.
  MayHaveRun,
  /// A backend server may have run the request; a retry is unsafe.
  OutcomeUnknown,
  /// An earlier request with the same idempotency key is still running.
  InProgress,
  /// An earlier request with the same idempotency key has completed.
  HasRun,
};

/// Describes one refusal.
struct RefusalSpec {
  RefusalKind Kind;
  /// Stable name, used in problem types, logs and metrics.
  std::string_view Name;
  RunState Run;
  std::string_view Title;
};

/// \returns the description of every refusal, ordered by kind.
std::span<const RefusalSpec> refusalSpecs();

/// \returns the description of \p kind.
const RefusalSpec &refusalSpec(RefusalKind kind);

/// \returns the stable name of \p state.
std::string_view runStateName(RunState state);

} // namespace guavasail

#endif
