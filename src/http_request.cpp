#include "http_request.h"

#include "http_headers.h"
#include "key_digest.h"
#include "key_finder.h"

#include <algorithm>
#include <array>
#include <libwebsockets.h>
#include <span>
#include <string>
#include <vector>

namespace guavasail {

namespace {

/// A method that callers may use.
struct MethodRow {
  lws_token_indexes Token;
  std::string_view Name;
  Repeatability Repeat;
  bool MayHaveBody;
};

constexpr auto Methods = std::to_array<MethodRow>({
    {WSI_TOKEN_GET_URI, "GET", Repeatability::Idempotent, false},
    {WSI_TOKEN_HEAD_URI, "HEAD", Repeatability::Idempotent, false},
    {WSI_TOKEN_OPTIONS_URI, "OPTIONS", Repeatability::Idempotent, false},
    {WSI_TOKEN_PUT_URI, "PUT", Repeatability::Idempotent, true},
    {WSI_TOKEN_DELETE_URI, "DELETE", Repeatability::Idempotent, false},
    {WSI_TOKEN_POST_URI, "POST", Repeatability::AtMostOnce, true},
    {WSI_TOKEN_PATCH_URI, "PATCH", Repeatability::AtMostOnce, true},
});

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view PathPunctuation = "-._~!$&'()*+,;=:@/";
constexpr std::string_view QueryPunctuation = "-._~!$'()*,;=:@/?";
constexpr std::string_view HexDigits = "0123456789ABCDEF";

bool isAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z');
}

std::string escape(std::string_view text, std::string_view punctuation) {
  std::string out;
  for (char c : text) {
    if (isAlphanumeric(c) || punctuation.find(c) != std::string_view::npos) {
      out.push_back(c);
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    out.push_back('%');
    out.push_back(HexDigits[byte >> 4]);
    out.push_back(HexDigits[byte & 15]);
  }
  return out;
}

bool isHttp2(lws *wsi) { return lws_get_network_wsi(wsi) != wsi; }

const MethodRow *findMethod(lws *wsi) {
  for (const MethodRow &row : Methods)
    if (lws_hdr_total_length(wsi, row.Token) > 0)
      return &row;
  if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_COLON_METHOD) <= 0)
    return nullptr;
  std::string name = headerLine(wsi, WSI_TOKEN_HTTP_COLON_METHOD, 0);
  for (const MethodRow &row : Methods)
    if (row.Name == name)
      return &row;
  return nullptr;
}

/// Reads the body length. Two lengths, or a length with a transfer coding,
/// would let the backend server see another request than the proxy does.
std::optional<RefusalKind> parseLength(lws *wsi, const MethodRow &method,
                                       const Limits &bounds,
                                       Exchange &exchange) {
  int lengths = headerLines(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  bool coded = headerLines(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  if (lengths > 1 || (lengths == 1 && coded))
    return RefusalKind::MalformedRequest;
  if (coded)
    return RefusalKind::LengthRequired;
  if (lengths == 0)
    return method.MayHaveBody ? std::optional(RefusalKind::LengthRequired)
                              : std::nullopt;
  auto length =
      parseNumber<uint64_t>(headerLine(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH));
  if (!length)
    return RefusalKind::MalformedRequest;
  if (*length > bounds.BodyBytes)
    return RefusalKind::BodyTooLarge;
  exchange.BodyBytes = *length;
  return std::nullopt;
}

/// Takes keys out of the query.
/// \returns the other parts of the query, decoded.
std::vector<std::string> takeQuery(lws *wsi, KeyFinder &keys) {
  std::vector<std::string> parts;
  int count = headerLines(wsi, WSI_TOKEN_HTTP_URI_ARGS);
  for (int n = 0; n < count; ++n) {
    std::string part = headerLine(wsi, WSI_TOKEN_HTTP_URI_ARGS, n);
    std::string_view name =
        std::string_view(part).substr(0, KeyParameter.size());
    if (equalIgnoringCase(name, KeyParameter))
      keys.add(std::string_view(part).substr(KeyParameter.size()));
    else
      parts.push_back(std::move(part));
  }
  return parts;
}

void takeHeaderKeys(lws *wsi, KeyFinder &keys) {
  int count = headerLines(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
  for (int n = 0; n < count; ++n) {
    std::string line = headerLine(wsi, WSI_TOKEN_HTTP_AUTHORIZATION, n);
    std::string_view text = line;
    if (equalIgnoringCase(text.substr(0, BearerPrefix.size()), BearerPrefix))
      keys.add(text.substr(BearerPrefix.size()));
  }
  keys.add(customHeader(wsi, KeyHeader));
}

/// Builds the target from the parts that do not hold the key.
void buildTarget(std::span<const std::string> parts, const KeyFinder &keys,
                 Exchange &exchange) {
  exchange.Target = escapePath(exchange.Path);
  char separator = '?';
  for (const std::string &part : parts) {
    if (keys.within(part))
      continue;
    exchange.Target.push_back(separator);
    exchange.Target += escape(part, QueryPunctuation);
    separator = '&';
  }
}

bool isOldCaller(lws *wsi) {
  return headerLine(wsi, WSI_TOKEN_HTTP).ends_with("1.0");
}

/// Reads the host, from HTTP/2's own header if it is there.
bool parseHost(lws *wsi, Exchange &exchange) {
  exchange.OldCaller = isOldCaller(wsi);
  exchange.LastOnConnection = isLastOnConnection(wsi);
  int lines = headerLines(wsi, WSI_TOKEN_HOST);
  exchange.Host = headerLine(wsi, WSI_TOKEN_HTTP_COLON_AUTHORITY);
  if (exchange.Host.empty())
    exchange.Host = headerLine(wsi, WSI_TOKEN_HOST);
  // The library does not give HTTP/2's authority.
  bool optional = exchange.OldCaller || isHttp2(wsi);
  bool present = optional || !exchange.Host.empty();
  return lines <= 1 && present && isCleanValue(exchange.Host);
}

/// Reads the key, the target without it, and the headers to pass on.
std::optional<RefusalKind> parseFields(lws *wsi, Exchange &exchange,
                                       RequestArrived &event) {
  KeyFinder keys;
  std::vector<std::string> parts = takeQuery(wsi, keys);
  takeHeaderKeys(wsi, keys);
  auto fields = requestFields(wsi);
  exchange.FramingInDoubt = !fields;
  if (!fields || keys.differ() || keys.within(exchange.Path))
    return RefusalKind::MalformedRequest;
  exchange.Fields = std::move(*fields);
  std::erase_if(exchange.Fields,
                [&](const HeaderField &it) { return keys.within(it.Value); });
  if (!exchange.Host.empty())
    exchange.Fields.push_back(
        {std::string(ForwardedHostHeader), exchange.Host});
  buildTarget(parts, keys, exchange);
  event.Key = digestOf(keys.key());
  return std::nullopt;
}

std::optional<RefusalKind> parseTimeout(lws *wsi, RequestArrived &event) {
  std::string timeout = customHeader(wsi, TimeoutHeader);
  if (timeout.empty())
    return std::nullopt;
  auto millis = parseNumber<uint32_t>(timeout);
  if (!millis || *millis == 0)
    return RefusalKind::MalformedRequest;
  event.CallerTimeout = std::chrono::milliseconds(*millis);
  return std::nullopt;
}

} // namespace

bool isLastOnConnection(lws *wsi) {
  bool last = isOldCaller(wsi);
  int lines = headerLines(wsi, WSI_TOKEN_CONNECTION);
  for (int n = 0; n < lines; ++n) {
    std::string line = headerLine(wsi, WSI_TOKEN_CONNECTION, n);
    std::string_view list = line;
    while (!list.empty())
      last |= equalIgnoringCase(takeListItem(list), "close");
  }
  return last;
}

std::optional<RefusalKind> parseRequest(lws *wsi, std::string_view path,
                                        const Limits &bounds,
                                        Exchange &exchange,
                                        RequestArrived &event) {
  const MethodRow *method = findMethod(wsi);
  exchange.FramingInDoubt = true;
  if (!method)
    return RefusalKind::MethodUnsupported;
  exchange.Method = method->Name;
  exchange.Path = path;
  // The library does not give an Idempotency-Key that came by HTTP/2, so that
  // a repetition could not be told from a new request.
  if (isHttp2(wsi) && method->Repeat == Repeatability::AtMostOnce)
    return RefusalKind::MethodUnsupported;
  if (!parseHost(wsi, exchange))
    return RefusalKind::MalformedRequest;
  if (auto fault = parseLength(wsi, *method, bounds, exchange))
    return fault;
  exchange.FramingInDoubt = false;
  exchange.MayHaveBody = method->MayHaveBody || exchange.BodyBytes > 0;
  exchange.ExpectsContinue =
      equalIgnoringCase(headerLine(wsi, WSI_TOKEN_HTTP_EXPECT), "100-continue");
  if (auto fault = parseFields(wsi, exchange, event))
    return fault;
  event.Request = exchange.Handle;
  event.Path = exchange.Path;
  event.Repeat = method->Repeat;
  event.IdempotencyKey = digestOf(customHeader(wsi, IdempotencyHeader));
  event.BodyBytes = exchange.BodyBytes;
  return parseTimeout(wsi, event);
}

std::string escapePath(std::string_view text) {
  return escape(text, PathPunctuation);
}

} // namespace guavasail
