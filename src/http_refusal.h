/// \file
/// HTTP form of refusals: status and problem document (RFC 9457).
#ifndef GUAVASAIL_SRC_HTTP_REFUSAL_H
#define GUAVASAIL_SRC_HTTP_REFUSAL_H

#include "guavasail/handle.h"
#include "guavasail/refusal.h"

#include <cstdint>
#include <string>

namespace guavasail {

/// \returns the HTTP status of \p kind.
uint32_t refusalStatus(RefusalKind kind);

/// \returns the problem document of \p kind for one request.
std::string problemDocument(RefusalKind kind, RequestHandle request);

/// \returns the request id used in logs and problem documents.
std::string requestId(RequestHandle request);

} // namespace guavasail

#endif
