/// \file
/// Short answers in the form that records keep: CBOR of status, headers, body.
#ifndef GUAVASAIL_SRC_ANSWER_BLOB_H
#define GUAVASAIL_SRC_ANSWER_BLOB_H

#include "exchange.h"

#include <optional>
#include <string>
#include <string_view>

namespace guavasail {

/// Longest body that is kept, in bytes.
inline constexpr size_t MaxKeptBodyBytes = 3072;

/// An answer taken out of a record.
struct KeptAnswer {
  AnswerHead Head;
  std::string Body;
};

/// \returns the kept form of an answer.
std::string encodeAnswer(const AnswerHead &head, std::string_view body);

/// \returns the answer in \p blob, nothing if it is damaged.
std::optional<KeptAnswer> decodeAnswer(std::string_view blob);

} // namespace guavasail

#endif
