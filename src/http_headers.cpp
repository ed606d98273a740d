#include "http_headers.h"

#include <algorithm>
#include <array>
#include <libwebsockets.h>

namespace guavasail {

namespace {

// Hop-by-hop headers, keys and headers that the HTTP library writes itself
// are not in these lists.
constexpr auto RequestTokens =
    std::to_array<lws_token_indexes>({WSI_TOKEN_HTTP_ACCEPT,
                                      WSI_TOKEN_HTTP_IF_MODIFIED_SINCE,
                                      WSI_TOKEN_HTTP_IF_NONE_MATCH,
                                      WSI_TOKEN_HTTP_ACCEPT_ENCODING,
                                      WSI_TOKEN_HTTP_ACCEPT_LANGUAGE,
                                      WSI_TOKEN_HTTP_COOKIE,
                                      WSI_TOKEN_HTTP_CONTENT_TYPE,
                                      WSI_TOKEN_HTTP_DATE,
                                      WSI_TOKEN_HTTP_RANGE,
                                      WSI_TOKEN_HTTP_REFERER,
                                      WSI_TOKEN_HTTP_ACCEPT_CHARSET,
                                      WSI_TOKEN_HTTP_CONTENT_DISPOSITION,
                                      WSI_TOKEN_HTTP_CONTENT_ENCODING,
                                      WSI_TOKEN_HTTP_CONTENT_LANGUAGE,
                                      WSI_TOKEN_HTTP_FROM,
                                      WSI_TOKEN_HTTP_IF_MATCH,
                                      WSI_TOKEN_HTTP_IF_RANGE,
                                      WSI_TOKEN_HTTP_IF_UNMODIFIED_SINCE,
                                      WSI_TOKEN_HTTP_USER_AGENT,
                                      WSI_TOKEN_ORIGIN});

constexpr auto RequestCustom = std::to_array<std::string_view>(
    {IdempotencyHeader, "x-request-id:", "traceparent:", "tracestate:"});

/// Appends every line of one header.
void copyToken(lws *wsi, lws_token_indexes token,
               std::vector<HeaderField> &fields) {
  if (lws_hdr_total_length(wsi, token) <= 0)
    return;
  const auto *name = reinterpret_cast<const char *>(lws_token_to_string(token));
  int lines = headerLines(wsi, token);
  for (int n = 0; n < lines; ++n)
    fields.push_back({name, headerLine(wsi, token, n)});
}

bool isClean(const HeaderField &field) { return isCleanValue(field.Value); }

/// Removes the headers that a Connection header names.
void dropNamed(std::string_view list, std::vector<HeaderField> &fields) {
  while (!list.empty()) {
    std::string name = std::string(takeListItem(list)) + ":";
    std::erase_if(fields, [&](const HeaderField &it) {
      return equalIgnoringCase(it.Name, name);
    });
  }
}

std::optional<std::vector<HeaderField>>
copyFields(lws *wsi, std::span<const lws_token_indexes> tokens,
           std::span<const std::string_view> custom) {
  std::vector<HeaderField> fields;
  for (lws_token_indexes token : tokens)
    copyToken(wsi, token, fields);
  for (std::string_view name : custom) {
    std::string value = customHeader(wsi, name);
    if (!value.empty())
      fields.push_back({std::string(name), std::move(value)});
  }
  if (!std::all_of(fields.begin(), fields.end(), &isClean))
    return std::nullopt;
  int lines = headerLines(wsi, WSI_TOKEN_CONNECTION);
  for (int n = 0; n < lines; ++n)
    dropNamed(headerLine(wsi, WSI_TOKEN_CONNECTION, n), fields);
  return fields;
}

} // namespace

std::string headerLine(lws *wsi, int token, int n) {
  auto index = static_cast<lws_token_indexes>(token);
  int length = lws_hdr_fragment_length(wsi, index, n);
  if (length <= 0)
    return {};
  std::string value(static_cast<size_t>(length) + 1, '\0');
  if (lws_hdr_copy_fragment(wsi, value.data(), length + 1, index, n) < 0)
    return {};
  value.pop_back();
  // The library keeps the blanks of repeated lines.
  return std::string(trimBlanks(value));
}

int headerLines(lws *wsi, int token) {
  auto index = static_cast<lws_token_indexes>(token);
  int n = 0;
  while (lws_hdr_fragment_length(wsi, index, n) > 0)
    ++n;
  return n;
}

std::string customHeader(lws *wsi, std::string_view name) {
  int n = static_cast<int>(name.size());
  int length = lws_hdr_custom_length(wsi, name.data(), n);
  if (length <= 0)
    return {};
  std::string value(static_cast<size_t>(length) + 1, '\0');
  if (lws_hdr_custom_copy(wsi, value.data(), length + 1, name.data(), n) < 0)
    return {};
  value.pop_back();
  return value;
}

std::optional<std::vector<HeaderField>> requestFields(lws *wsi) {
  return copyFields(wsi, RequestTokens, RequestCustom);
}

bool writeFields(lws *wsi, std::span<const HeaderField> fields,
                 unsigned char **at, unsigned char *end) {
  for (const HeaderField &field : fields) {
    const auto *name =
        reinterpret_cast<const unsigned char *>(field.Name.c_str());
    const auto *value =
        reinterpret_cast<const unsigned char *>(field.Value.data());
    if (lws_add_http_header_by_name(
            wsi, name, value, static_cast<int>(field.Value.size()), at, end))
      return false;
  }
  return true;
}

} // namespace guavasail
