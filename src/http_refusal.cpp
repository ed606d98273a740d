#include "http_refusal.h"

#include <array>
#include <nlohmann/json.hpp>

namespace guavasail {

namespace {

constexpr std::string_view ProblemTypePrefix = "urn:guavasail:refusal:";

struct StatusRow {
  RefusalKind Kind;
  uint32_t Status;
};

constexpr auto Statuses = std::to_array<StatusRow>({
    {RefusalKind::MalformedRequest, 400},
    {RefusalKind::MethodUnsupported, 405},
    {RefusalKind::LengthRequired, 411},
    {RefusalKind::HeaderTooLarge, 431},
    {RefusalKind::BodyTooLarge, 413},
    {RefusalKind::RouteUnknown, 404},
    {RefusalKind::KeyMissing, 401},
    {RefusalKind::KeyUnknown, 401},
    {RefusalKind::RouteForbidden, 403},
    {RefusalKind::RateExceeded, 429},
    {RefusalKind::Overloaded, 503},
    {RefusalKind::NoInstance, 503},
    {RefusalKind::DeadlineTooShort, 503},
    {RefusalKind::InstanceUnreachable, 502},
    {RefusalKind::AnswerIncomplete, 502},
    {RefusalKind::DeadlineExceeded, 504},
    {RefusalKind::OutcomeUnknown, 504},
    {RefusalKind::Draining, 503},
    {RefusalKind::NotReady, 503},
    {RefusalKind::KeyReused, 422},
    {RefusalKind::AlreadyInProgress, 409},
    {RefusalKind::AnswerNotKept, 409},
    {RefusalKind::RecordsUnavailable, 503},
    {RefusalKind::RequestQuarantined, 422},
    {RefusalKind::NotFresh, 503},
});

} // namespace

uint32_t refusalStatus(RefusalKind kind) {
  for (const StatusRow &row : Statuses)
    if (row.Kind == kind)
      return row.Status;
  return 500;
}

std::string requestId(RequestHandle request) {
  return std::to_string(request.Index) + "-" +
         std::to_string(request.Generation);
}

std::string problemDocument(RefusalKind kind, RequestHandle request) {
  const RefusalSpec &spec = refusalSpec(kind);
  nlohmann::ordered_json document;
  document["type"] = std::string(ProblemTypePrefix) + std::string(spec.Name);
  document["title"] = spec.Title;
  document["status"] = refusalStatus(kind);
  document["run"] = runStateName(spec.Run);
  document["request"] = requestId(request);
  return document.dump();
}

} // namespace guavasail
