/// \file
/// Interns names as handles. A name keeps its handle for the process lifetime,
/// so that state indexed by handle stays valid across catalog versions.
#ifndef GUAVASAIL_SRC_NAME_TABLE_H
#define GUAVASAIL_SRC_NAME_TABLE_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace guavasail {

/// Maps names to handles of one kind and back.
template <typename HandleType> class NameTable {
public:
  /// \returns the handle of \p name, which is added if it is new.
  HandleType intern(std::string_view name) {
    if (auto it = Handles.find(name); it != Handles.end())
      return it->second;
    HandleType handle{static_cast<uint32_t>(Names.size())};
    Names.emplace_back(name);
    Handles.emplace(Names.back(), handle);
    return handle;
  }

  /// \returns the handle of \p name, invalid if the name is unknown.
  [[nodiscard]] HandleType find(std::string_view name) const {
    auto it = Handles.find(name);
    return it == Handles.end() ? HandleType{} : it->second;
  }

  /// \returns the name of a valid \p handle.
  [[nodiscard]] std::string_view name(HandleType handle) const {
    return Names[handle.Value];
  }

  /// \returns the number of names.
  [[nodiscard]] size_t size() const { return Names.size(); }

private:
  // A deque does not move its strings, so the map's views stay valid.
  std::deque<std::string> Names;
  std::unordered_map<std::string_view, HandleType> Handles;
};

} // namespace guavasail

#endif
