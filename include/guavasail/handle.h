/// \file
/// Typed integer handles. No pointer crosses the public interface.
#ifndef GUAVASAIL_HANDLE_H
#define GUAVASAIL_HANDLE_H

#include <compare>
#include <cstdint>
#include <limits>

namespace guavasail {

/// An index into a flat table; \p Tag makes handles of different tables
/// distinct types.
template <typename Tag> struct Handle {
  static constexpr uint32_t InvalidValue = std::numeric_limits<uint32_t>::max();

  uint32_t Value = InvalidValue;

  /// \returns true if the handle refers to an entry.
  [[nodiscard]] constexpr bool valid() const { return Value != InvalidValue; }

  friend constexpr auto operator<=>(const Handle &, const Handle &) = default;
};

using ServiceHandle = Handle<struct ServiceTag>;
using InstanceHandle = Handle<struct InstanceTag>;
using RouteHandle = Handle<struct RouteTag>;
using WorkspaceHandle = Handle<struct WorkspaceTag>;
using ZoneHandle = Handle<struct ZoneTag>;
using VmHandle = Handle<struct VmTag>;

/// Identifies one caller request. The front end allocates the index; the
/// generation grows with each reuse of the index, so that late events of an
/// earlier request are detected.
struct RequestHandle {
  uint32_t Index = Handle<void>::InvalidValue;
  uint32_t Generation = 0;

  friend constexpr auto operator<=>(const RequestHandle &,
                                    const RequestHandle &) = default;
};

/// Identifies one attempt to run a request on a backend server.
struct AttemptHandle {
  RequestHandle Request;
  uint32_t Ordinal = 0;

  friend constexpr auto operator<=>(const AttemptHandle &,
                                    const AttemptHandle &) = default;
};

/// Index of a connection in this VM's connection pool of one instance. A lane
/// carries at most one request at a time.
struct Lane {
  uint32_t Value = 0;

  friend constexpr auto operator<=>(const Lane &, const Lane &) = default;
};

} // namespace guavasail

#endif
