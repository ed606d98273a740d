/// \file
/// Which headers pass the proxy, and in what form.
#ifndef GUAVASAIL_SRC_HTTP_HEADERS_H
#define GUAVASAIL_SRC_HTTP_HEADERS_H

#include "exchange.h"
#include "http_text.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct lws;

namespace guavasail {

/// Header by which a caller bounds the time of its request, and by which the
/// time left is passed on. Whole milliseconds.
inline constexpr std::string_view TimeoutHeader = "x-request-timeout-ms:";
/// Header that names a non-idempotent request for safe repetition.
inline constexpr std::string_view IdempotencyHeader = "idempotency-key:";
/// Header that marks an answer taken from the record of an earlier request.
inline constexpr std::string_view ReplayedHeader = "idempotency-replayed:";
/// Header with the caller's key, besides `Authorization: Bearer`.
inline constexpr std::string_view KeyHeader = "x-api-key:";
/// Query parameter with the caller's key.
inline constexpr std::string_view KeyParameter = "api_key=";
/// Header that gives the instance the host which the caller asked for.
inline constexpr std::string_view ForwardedHostHeader = "x-forwarded-host:";

/// \returns the value of the header \p name, which ends with a colon.
std::string customHeader(lws *wsi, std::string_view name);

/// \returns line \p n of a known header, empty if there is none.
std::string headerLine(lws *wsi, int token, int n = 0);

/// \returns the number of lines of a known header.
int headerLines(lws *wsi, int token);

/// Copies the end-to-end headers of a caller's request.
/// \returns nothing if a value holds a byte that no header may hold.
std::optional<std::vector<HeaderField>> requestFields(lws *wsi);

/// Appends header lines to a head that is being written.
/// \param at write position, advanced.
/// \param end end of the room.
/// \returns false if the room was too small.
bool writeFields(lws *wsi, std::span<const HeaderField> fields,
                 unsigned char **at, unsigned char *end);

} // namespace guavasail

#endif
