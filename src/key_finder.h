/// \file
/// Gathers the keys that one request names.
#ifndef GUAVASAIL_SRC_KEY_FINDER_H
#define GUAVASAIL_SRC_KEY_FINDER_H

#include <string>
#include <string_view>

namespace guavasail {

/// The keys of one request. All places where it names one have to agree.
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

  /// \returns true if \p text holds the key.
  [[nodiscard]] bool within(std::string_view text) const {
    return !Key.empty() && text.find(Key) != std::string_view::npos;
  }

private:
  std::string Key;
  bool Differ = false;
};

} // namespace guavasail

#endif
