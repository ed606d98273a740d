/// \file
/// Values of the store as JSON.
#ifndef GUAVASAIL_SRC_STORE_JSON_H
#define GUAVASAIL_SRC_STORE_JSON_H

#include "guavasail/store.h"

#include <optional>
#include <string>
#include <string_view>

namespace guavasail {

/// \returns the path of \p key below the store's root, percent-encoded.
std::string storePath(const StoreKey &key);

/// \returns \p value as JSON; empty for no value.
std::string formatStoreValue(const StoreValue &value);

/// Reads a value.
/// \param space the part of the key space that it came from.
/// \param text JSON.
/// \returns the value, nothing if the text is not one.
std::optional<StoreValue> parseStoreValue(StoreSpace space,
                                          std::string_view text);

} // namespace guavasail

#endif
