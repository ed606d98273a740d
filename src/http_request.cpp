#include "http_request.h"

#include "http_headers.h"
#include "key_digest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <libwebsockets.h>

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

/// \returns one line of a header, empty if there is none.
std::string headerLine(lws *wsi, lws_token_indexes token, int n) {
  int length = lws_hdr_fragment_length(wsi, token, n);
  if (length <= 0)
    return {};
  std::string value(static_cast<size_t>(length) + 1, '\0');
  if (lws_hdr_copy_fragment(wsi, value.data(), length + 1, token, n) < 0)
    return {};
  value.pop_back();
  return value;
}

template <typename Integer>
std::optional<Integer> parseNumber(std::string_view text) {
  Integer value = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc{} || at != end)
    return std::nullopt;
  return value;
}

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
  if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0)
    return RefusalKind::LengthRequired;
  std::string line = headerLine(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, 0);
  if (line.empty())
    return method.MayHaveBody ? std::optional(RefusalKind::LengthRequired)
                              : std::nullopt;
  if (lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, 1) > 0)
    return RefusalKind::MalformedRequest;
  auto length = parseNumber<uint64_t>(line);
  if (!length)
    return RefusalKind::MalformedRequest;
  if (*length > bounds.BodyBytes)
    return RefusalKind::BodyTooLarge;
  exchange.BodyBytes = *length;
  return std::nullopt;
}

/// Takes the key out of the query, if it is there, and appends the rest to the
/// target.
std::string takeQuery(lws *wsi, Exchange &exchange) {
  std::string key;
  char separator = '?';
  for (int n = 0;; ++n) {
    std::string part = headerLine(wsi, WSI_TOKEN_HTTP_URI_ARGS, n);
    if (part.empty())
      return key;
    if (part.starts_with(KeyParameter)) {
      key = part.substr(KeyParameter.size());
      continue;
    }
    exchange.Target.push_back(separator);
    exchange.Target += escape(part, QueryPunctuation);
    separator = '&';
  }
}

/// \returns the caller's key from a header, empty if there is none.
std::string headerKey(lws *wsi) {
  std::string bearer = headerLine(wsi, WSI_TOKEN_HTTP_AUTHORIZATION, 0);
  if (bearer.starts_with(BearerPrefix))
    return bearer.substr(BearerPrefix.size());
  return customHeader(wsi, KeyHeader);
}

} // namespace

std::optional<RefusalKind> parseRequest(lws *wsi, std::string_view path,
                                        const Limits &bounds,
                                        Exchange &exchange,
                                        RequestArrived &event) {
  const MethodRow *method = findMethod(wsi);
  if (!method)
    return RefusalKind::MethodUnsupported;
  exchange.Method = method->Name;
  exchange.Path = path;
  exchange.Target = escapePath(path);
  exchange.Host = headerLine(wsi, WSI_TOKEN_HOST, 0);
  std::string queryKey = takeQuery(wsi, exchange);
  std::string key = headerKey(wsi);
  exchange.Fields = requestFields(wsi);
  if (auto fault = parseLength(wsi, *method, bounds, exchange))
    return fault;
  exchange.MayHaveBody = method->MayHaveBody || exchange.BodyBytes > 0;
  event.Request = exchange.Handle;
  event.Path = exchange.Path;
  event.Repeat = method->Repeat;
  event.Key = digestOf(key.empty() ? queryKey : key);
  event.IdempotencyKey = digestOf(customHeader(wsi, IdempotencyHeader));
  event.BodyBytes = exchange.BodyBytes;
  std::string timeout = customHeader(wsi, TimeoutHeader);
  if (timeout.empty())
    return std::nullopt;
  auto millis = parseNumber<uint32_t>(timeout);
  if (!millis || *millis == 0)
    return RefusalKind::MalformedRequest;
  event.Allowed = std::chrono::milliseconds(*millis);
  return std::nullopt;
}

std::string escapePath(std::string_view text) {
  return escape(text, PathPunctuation);
}

} // namespace guavasail
