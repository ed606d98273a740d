#include "request_head.h"

#include "http_text.h"
#include "key_digest.h"
#include "key_finder.h"
#include "rendezvous.h"

#include <algorithm>
#include <array>

namespace guavasail {

namespace {

/// A method that callers may use.
struct MethodRow {
  std::string_view Name;
  Repeatability Repeat;
  bool MayHaveBody;
};

constexpr auto Methods = std::to_array<MethodRow>({
    {"GET", Repeatability::Idempotent, false},
    {"HEAD", Repeatability::Idempotent, false},
    {"OPTIONS", Repeatability::Idempotent, false},
    {"PUT", Repeatability::Idempotent, true},
    {"DELETE", Repeatability::Idempotent, false},
    {"POST", Repeatability::AtMostOnce, true},
    {"PATCH", Repeatability::AtMostOnce, true},
});

constexpr std::string_view IdempotencyName = "idempotency-key:";
constexpr std::string_view ForwardedHostName = "x-forwarded-host:";
constexpr std::string_view AuthorizationName = "authorization:";
constexpr std::string_view HostName = "host:";
constexpr std::string_view ExpectName = "expect:";
constexpr std::string_view ContinueValue = "100-continue";

const MethodRow *findMethod(std::string_view name) {
  auto it =
      std::find_if(Methods.begin(), Methods.end(),
                   [&](const MethodRow &row) { return row.Name == name; });
  return it == Methods.end() ? nullptr : &*it;
}

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/// \returns the host without its port, in lower case.
std::string hostName(std::string_view host) {
  size_t colon = host.rfind(':');
  bool bracketed = host.ends_with(']');
  if (colon != std::string_view::npos && !bracketed)
    host = host.substr(0, colon);
  return lowerCase(host);
}

bool takeHost(const MessageHead &head, Exchange &exchange) {
  size_t lines = head.count(HostName);
  exchange.Host = head.field(HostName);
  bool optional = exchange.OldCaller;
  return lines <= 1 && (optional || !exchange.Host.empty()) &&
         isCleanValue(exchange.Host);
}

/// Splits the target and takes keys out of its query.
void takeTarget(std::string_view target, const HeaderNames &names,
                KeyFinder &keys, Exchange &exchange) {
  size_t mark = std::min(target.find('?'), target.size());
  exchange.Path = target.substr(0, mark);
  std::string_view query = target.substr(mark);
  std::string parameter = names.KeyParameter + "=";
  std::string kept;
  while (!query.empty()) {
    query.remove_prefix(1);
    size_t end = std::min(query.find('&'), query.size());
    std::string_view part = query.substr(0, end);
    std::string decoded = decodePercent(part);
    std::string_view name =
        std::string_view(decoded).substr(0, parameter.size());
    query.remove_prefix(end);
    bool isKey =
        !names.KeyParameter.empty() && equalIgnoringCase(name, parameter);
    if (isKey)
      keys.add(std::string_view(decoded).substr(parameter.size()));
    else
      kept.append(1, kept.empty() ? '?' : '&').append(part);
  }
  exchange.Target = exchange.Path + kept;
}

/// Takes the query's other parts out if they repeat the key.
void hideKey(const KeyFinder &keys, Exchange &exchange) {
  if (!keys.within(decodePercent(exchange.Target)))
    return;
  exchange.Target = exchange.Path;
}

void takeHeaderKeys(const MessageHead &head, const HeaderNames &names,
                    KeyFinder &keys) {
  std::string scheme = names.KeyScheme + " ";
  for (const HeaderField &it : head.Fields) {
    std::string_view value = it.Value;
    if (equalIgnoringCase(it.Name, AuthorizationName) &&
        equalIgnoringCase(value.substr(0, scheme.size()), scheme))
      keys.add(trimBlanks(value.substr(scheme.size())));
    if (!names.KeyHeader.empty() &&
        equalIgnoringCase(it.Name, names.KeyHeader + ":"))
      keys.add(value);
  }
}

/// \returns true if a header of the caller's must not reach an instance.
bool isConsumed(const HeaderField &field, const HeaderNames &names) {
  auto is = [&](std::string_view name) {
    return equalIgnoringCase(field.Name, name);
  };
  auto isNamed = [&](const std::string &name) {
    return !name.empty() && is(name + ":");
  };
  return is(AuthorizationName) || is(HostName) || is(ExpectName) ||
         is(ForwardedHostName) || isNamed(names.KeyHeader) ||
         isNamed(names.Timeout) || isNamed(names.Workspace) ||
         isNamed(names.ExpectedInstance);
}

std::optional<RefusalKind> takeFields(MessageHead &head,
                                      const HeaderNames &names,
                                      const KeyFinder &keys,
                                      Exchange &exchange) {
  bool clean =
      std::all_of(head.Fields.begin(), head.Fields.end(),
                  [](const HeaderField &it) { return isCleanValue(it.Value); });
  exchange.FramingInDoubt = !clean;
  if (!clean || keys.differ() || keys.within(decodePercent(exchange.Path)))
    return RefusalKind::MalformedRequest;
  if (head.count(IdempotencyName) > 1)
    return RefusalKind::MalformedRequest;
  dropHopByHop(head.Fields);
  std::erase_if(head.Fields, [&](const HeaderField &it) {
    return isConsumed(it, names) || keys.within(it.Value);
  });
  exchange.Fields = std::move(head.Fields);
  if (!exchange.Host.empty() && !names.PassHost)
    exchange.Fields.push_back({std::string(ForwardedHostName), exchange.Host});
  return std::nullopt;
}

std::optional<RefusalKind> takeTimeout(std::string_view text,
                                       RequestArrived &event) {
  if (text.empty())
    return std::nullopt;
  auto millis = parseNumber<uint32_t>(text);
  if (!millis || *millis == 0)
    return RefusalKind::MalformedRequest;
  event.CallerTimeout = std::chrono::milliseconds(*millis);
  return std::nullopt;
}

std::optional<RefusalKind> takeLength(const MessageHead &head,
                                      const MethodRow &method,
                                      const Limits &bounds,
                                      Exchange &exchange) {
  exchange.BodyBytes = head.Length.value_or(0);
  exchange.BodyChunked = head.Chunked;
  exchange.MayHaveBody =
      method.MayHaveBody || head.Chunked || exchange.BodyBytes > 0;
  if (exchange.BodyBytes > bounds.BodyBytes)
    return RefusalKind::BodyTooLarge;
  return std::nullopt;
}

} // namespace

uint64_t requestFingerprint(const Exchange &exchange) {
  uint64_t hash = rendezvousKey(exchange.Method, exchange.BodyBytes);
  hash = rendezvousKey(exchange.Target, hash);
  std::string_view body = exchange.Body;
  return rendezvousKey(exchange.bodyRead() ? body : std::string_view(), hash);
}

std::string decodePercent(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (size_t n = 0; n < text.size(); ++n) {
    int high =
        n + 2 < text.size() && text[n] == '%' ? hexValue(text[n + 1]) : -1;
    int low = high >= 0 ? hexValue(text[n + 2]) : -1;
    if (low < 0) {
      out.push_back(text[n]);
      continue;
    }
    out.push_back(static_cast<char>(high * 16 + low));
    n += 2;
  }
  return out;
}

bool mayClaimRecord(const RequestArrived &event, const Settings &settings) {
  return settings.assignsRecords() &&
         event.Repeat == Repeatability::AtMostOnce &&
         event.IdempotencyKey.present() && event.Key.present();
}

RefusalKind refusalOf(ReadFault fault) {
  switch (fault) {
  case ReadFault::HeadTooLarge:
    return RefusalKind::HeaderTooLarge;
  case ReadFault::BodyTooLarge:
    return RefusalKind::BodyTooLarge;
  case ReadFault::None:
  case ReadFault::Malformed:
    break;
  }
  return RefusalKind::MalformedRequest;
}

std::optional<RefusalKind> takeRequestHead(MessageHead &head,
                                           const Limits &bounds,
                                           const HeaderNames &names,
                                           Exchange &exchange,
                                           RequestArrived &event) {
  const MethodRow *method = findMethod(head.Method);
  exchange.FramingInDoubt = true;
  exchange.OldCaller = head.Version < 11;
  exchange.LastOnConnection = exchange.OldCaller || !head.KeepAlive;
  exchange.CallerId = head.field(names.RequestId + ":");
  if (!method)
    return RefusalKind::MethodUnsupported;
  exchange.Method = method->Name;
  if (!takeHost(head, exchange) || !head.Target.starts_with('/'))
    return RefusalKind::MalformedRequest;
  if (auto fault = takeLength(head, *method, bounds, exchange))
    return fault;
  exchange.FramingInDoubt = false;
  exchange.ExpectsContinue =
      equalIgnoringCase(head.field(ExpectName), ContinueValue);
  event.IdempotencyKey = digestOf(head.field(IdempotencyName));
  auto timeout = takeTimeout(head.field(names.Timeout + ":"), event);
  KeyFinder keys;
  takeTarget(head.Target, names, keys, exchange);
  takeHeaderKeys(head, names, keys);
  if (auto fault = takeFields(head, names, keys, exchange))
    return fault;
  hideKey(keys, exchange);
  exchange.HostName = hostName(exchange.Host);
  event.Key = digestOf(keys.key());
  event.Request = exchange.Handle;
  event.Path = exchange.Path;
  event.Host = exchange.HostName;
  event.Name = exchange.CallerId;
  event.Repeat = method->Repeat;
  event.BodyBytes = exchange.BodyBytes;
  return timeout;
}

} // namespace guavasail
