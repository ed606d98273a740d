/// \file
/// Turns the head of a caller's HTTP/1 request into an exchange.
#ifndef GUAVASAIL_SRC_REQUEST_HEAD_H
#define GUAVASAIL_SRC_REQUEST_HEAD_H

#include "exchange.h"
#include "guavasail/event.h"
#include "guavasail/header_names.h"
#include "guavasail/limits.h"
#include "guavasail/refusal.h"
#include "guavasail/settings.h"
#include "http_reader.h"

#include <optional>

namespace guavasail {

/// Fills \p exchange and \p event from \p head, whose headers are moved out.
/// \returns why the request cannot be accepted, if it cannot.
std::optional<RefusalKind> takeRequestHead(MessageHead &head,
                                           const Limits &bounds,
                                           const HeaderNames &names,
                                           Exchange &exchange,
                                           RequestArrived &event);

/// \param event the request as it arrived.
/// \param settings those of this VM.
/// \returns true if the answer to the request may be kept for repetitions of
/// it, which the route of the request decides.
bool mayClaimRecord(const RequestArrived &event, const Settings &settings);

/// \returns what a request's unreadable bytes are refused as.
RefusalKind refusalOf(ReadFault fault);

/// \returns the hash of the method, the target and, once it was read, the body.
uint64_t requestFingerprint(const Exchange &exchange);

/// \returns \p text with its percent-escapes decoded.
std::string decodePercent(std::string_view text);

} // namespace guavasail

#endif
