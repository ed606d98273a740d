#include "http_refusal.h"

#include "answer_blob.h"
#include "http_headers.h"
#include "log.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace guavasail {

namespace {

constexpr std::string_view ProblemTypePrefix = "urn:guavasail:refusal:";
constexpr uint32_t FirstErrorStatus = 500;
constexpr int64_t MillisPerSecond = 1000;

constexpr auto StateNames = std::to_array<std::string_view>(
    {"starting", "ready", "unconfirmed", "draining"});

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

std::string_view servingStateName(ServingState state) {
  return StateNames[static_cast<size_t>(state)];
}

std::string requestId(const Exchange &exchange) {
  if (!exchange.CallerId.empty())
    return exchange.CallerId;
  return std::to_string(exchange.Handle.Index) + "-" +
         std::to_string(exchange.Handle.Generation);
}

void logRefusal(const Exchange &exchange) {
  uint32_t status = refusalStatus(exchange.Refusal);
  logLine(
      status >= FirstErrorStatus ? LogLevel::Warning : LogLevel::Info,
      "request-refused",
      {{"request", requestId(exchange)},
       {"refusal", refusalSpec(exchange.Refusal).Name},
       {"status", static_cast<int64_t>(status)},
       {"retry_after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              exchange.RetryAfter)
                              .count()}});
}

std::string retryAfterText(Duration wait, bool fraction) {
  auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  if (!fraction)
    return std::to_string((millis + MillisPerSecond - 1) / MillisPerSecond);
  std::string part = std::to_string(MillisPerSecond + millis % MillisPerSecond);
  return std::to_string(millis / MillisPerSecond) + "." + part.substr(1);
}

bool takeKeptAnswer(Exchange &exchange, std::string_view blob) {
  auto kept = decodeAnswer(blob);
  if (!kept)
    return false;
  BackendCall &call =
      *exchange.Calls.emplace_back(std::make_unique<BackendCall>());
  call.Head = std::move(kept->Head);
  call.Head.Fields.push_back({std::string(ReplayedHeader), "true"});
  call.Answer.append(kept->Body);
  exchange.Source = &call;
  exchange.AnswerWhole = true;
  exchange.Stage = AnswerStage::Head;
  return true;
}

std::string problemDocument(RefusalKind kind, std::string_view id) {
  const RefusalSpec &spec = refusalSpec(kind);
  nlohmann::ordered_json document;
  document["type"] = std::string(ProblemTypePrefix) + std::string(spec.Name);
  document["title"] = spec.Title;
  document["status"] = refusalStatus(kind);
  document["run"] = runStateName(spec.Run);
  document["request"] = id;
  // The id is the caller's and need not be UTF-8.
  return document.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace guavasail
