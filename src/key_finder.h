/// \file
/// Collects the API keys in one request.
#ifndef GUAVASAIL_SRC_KEY_FINDER_H
#define GUAVASAIL_SRC_KEY_FINDER_H

#include <string>
#include <string_view>

namespace guavasail {

/// The API keys of one request, which may be given in several places and must
/// all be the same.
class KeyFinder {
public:
  void add(std::string_view key) {
    if (key.empty())
      return;
    Differ |= !Key.empty() && Key != key;
    Key = key;
  }

  [[nodiscard]] bool differ() const { return Differ; }
  [[nodiscard]] const std::string &key() const { return Key; }

  /// \returns true if \p text contains the key.
  [[nodiscard]] bool within(std::string_view text) const {
    return !Key.empty() && text.find(Key) != std::string_view::npos;
  }

private:
  std::string Key;
  bool Differ = false;
};

} // namespace guavasail

#endif
