/// \file
/// Reads a caller's request head into an exchange.
#ifndef GUAVASAIL_SRC_HTTP_REQUEST_H
#define GUAVASAIL_SRC_HTTP_REQUEST_H

#include "exchange.h"
#include "guavasail/event.h"
#include "guavasail/limits.h"
#include "guavasail/refusal.h"

#include <optional>
#include <string_view>

struct lws;

namespace guavasail {

/// Fills \p exchange and \p event from the request head at \p wsi.
/// \param path decoded path without the query.
/// \returns why the request cannot be accepted, if it cannot.
std::optional<RefusalKind> parseRequest(lws *wsi, std::string_view path,
                                        const Limits &bounds,
                                        Exchange &exchange,
                                        RequestArrived &event);

/// \returns true if the caller sends no other request on its connection: it
/// asked for the end of it, or speaks HTTP/1.0.
bool isLastOnConnection(lws *wsi);

/// \returns \p text with every byte escaped that is not allowed in a path.
std::string escapePath(std::string_view text);

} // namespace guavasail

#endif
