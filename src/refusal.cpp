#include "guavasail/refusal.h"

#include <array>
#include <cstddef>

namespace guavasail {

namespace {

constexpr auto Specs = std::to_array<RefusalSpec>({
    {RefusalKind::MalformedRequest, "malformed-request", RunState::NotRun,
     "The request is not well formed."},
    {RefusalKind::MethodUnsupported, "method-unsupported", RunState::NotRun,
     "The method is not supported."},
    {RefusalKind::LengthRequired, "length-required", RunState::NotRun,
     "A request body needs a Content-Length."},
    {RefusalKind::HeaderTooLarge, "header-too-large", RunState::NotRun,
     "The request head is too large."},
    {RefusalKind::BodyTooLarge, "body-too-large", RunState::NotRun,
     "The request body is too large."},
    {RefusalKind::RouteUnknown, "route-unknown", RunState::NotRun,
     "No route matches the path."},
    {RefusalKind::KeyMissing, "key-missing", RunState::NotRun,
     "The request carries no key."},
    {RefusalKind::KeyUnknown, "key-unknown", RunState::NotRun,
     "The key is unknown or was withdrawn."},
    {RefusalKind::RouteForbidden, "route-forbidden", RunState::NotRun,
     "The workspace may not use this route."},
    {RefusalKind::RateExceeded, "rate-exceeded", RunState::NotRun,
     "The workspace is above its rate."},
    {RefusalKind::Overloaded, "overloaded", RunState::NotRun,
     "There is no capacity for the request now."},
    {RefusalKind::NoInstance, "no-instance", RunState::NotRun,
     "No backend server can take the request."},
    {RefusalKind::DeadlineTooShort, "deadline-too-short", RunState::NotRun,
     "The request cannot finish within its deadline."},
    {RefusalKind::InstanceUnreachable, "instance-unreachable", RunState::NotRun,
     "The backend servers cannot be reached."},
    {RefusalKind::AnswerIncomplete, "answer-incomplete", RunState::MayHaveRun,
     "The backend servers gave no whole answer."},
    {RefusalKind::DeadlineExceeded, "deadline-exceeded", RunState::MayHaveRun,
     "No whole answer came within the deadline."},
    {RefusalKind::OutcomeUnknown, "outcome-unknown", RunState::OutcomeUnknown,
     "The request may have run; sending it again is unsafe."},
    {RefusalKind::Draining, "draining", RunState::NotRun,
     "This VM is shutting down."},
    {RefusalKind::NotReady, "not-ready", RunState::NotRun,
     "This VM has no configuration yet."},
    {RefusalKind::KeyReused, "key-reused", RunState::NotRun,
     "The idempotency key was used for another request."},
    {RefusalKind::AlreadyInProgress, "already-in-progress",
     RunState::InProgress, "A request with this idempotency key is running."},
    {RefusalKind::AnswerNotKept, "answer-not-kept", RunState::HasRun,
     "The request ran before; its answer was too large to keep."},
    {RefusalKind::RecordsUnavailable, "records-unavailable", RunState::NotRun,
     "The records that keep the request from running twice are out of reach."},
    {RefusalKind::RequestQuarantined, "request-quarantined", RunState::NotRun,
     "Backend servers were lost while they ran this request."},
    {RefusalKind::NotFresh, "not-fresh", RunState::NotRun,
     "This VM cannot confirm its configuration."},
});

constexpr bool orderedByKind() {
  for (size_t n = 0; n < Specs.size(); ++n)
    if (static_cast<size_t>(Specs[n].Kind) != n)
      return false;
  return true;
}
static_assert(orderedByKind());

constexpr auto RunStateNames = std::to_array<std::string_view>(
    {"not-run", "may-have-run", "outcome-unknown", "in-progress", "has-run"});

} // namespace

std::span<const RefusalSpec> refusalSpecs() { return Specs; }

const RefusalSpec &refusalSpec(RefusalKind kind) {
  return Specs[static_cast<size_t>(kind)];
}

std::string_view runStateName(RunState state) {
  return RunStateNames[static_cast<size_t>(state)];
}

} // namespace guavasail
