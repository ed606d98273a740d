/// \file
/// Texts of HTTP messages: comparisons, lists, numbers, chunks and heads.
#ifndef GUAVASAIL_SRC_HTTP_TEXT_H
#define GUAVASAIL_SRC_HTTP_TEXT_H

#include "exchange.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// \returns true if \p a and \p b differ at most in the case of letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// \returns \p text in lower case.
std::string lowerCase(std::string_view text);

/// \returns \p text without blanks at both ends.
std::string_view trimBlanks(std::string_view text);

/// \returns true if \p value holds no byte that headers must not hold.
bool isCleanValue(std::string_view value);

/// \returns the number that \p text is, if it is nothing else.
template <typename Integer>
std::optional<Integer> parseNumber(std::string_view text) {
  Integer value = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc{} || at != end)
    return std::nullopt;
  return value;
}

/// Takes the first item off a comma-separated list.
/// \param list advanced behind the item.
std::string_view takeListItem(std::string_view &list);

/// Removes the headers that concern one connection only, and those that a
/// Connection header names.
void dropHopByHop(std::vector<HeaderField> &fields);

/// \returns \p bytes as a chunk, with the last chunk if \p last.
std::string frameChunk(std::string_view bytes, bool last);

/// Appends one header line.
void appendField(std::string &head, std::string_view name,
                 std::string_view value);

/// \returns the reason phrase of \p status.
std::string_view reasonPhrase(uint32_t status);

} // namespace guavasail

#endif
