/// \file
/// HTTP form of what a VM says by itself: refusals as problem documents
/// (RFC 9457) and kept answers.
#ifndef GUAVASAIL_SRC_HTTP_REFUSAL_H
#define GUAVASAIL_SRC_HTTP_REFUSAL_H

#include "exchange.h"
#include "front_end.h"
#include "guavasail/handle.h"
#include "guavasail/refusal.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace guavasail {

/// \returns the HTTP status of \p kind.
uint32_t refusalStatus(RefusalKind kind);

/// \returns the problem document of \p kind for the request called \p id.
std::string problemDocument(RefusalKind kind, std::string_view id);

/// \returns the request id used in logs and problem documents: the caller's
/// own, or one of this VM's.
std::string requestId(const Exchange &exchange);

/// Writes the log line of a refusal.
void logRefusal(const Exchange &exchange);

/// \returns the value of `Retry-After` in seconds, rounded up.
/// \param fraction keeps milliseconds.
std::string retryAfterText(Duration wait, bool fraction);

/// Makes a kept answer the one that is relayed.
/// \returns false if \p blob is damaged.
bool takeKeptAnswer(Exchange &exchange, std::string_view blob);

} // namespace guavasail

#endif
