/// \file
/// Typed integer handles. No pointer crosses the public interface.
#ifndef GUAVASAIL_HANDLE_H
#define GUAVASAIL_HANDLE_H

#include <compare>
#include <cstdint>
#include <limits>

namespace guavasail {

/// An index into a flat table; \p Tag keeps handles of different tables apart.
template <typename Tag> struct Handle {
  static constexpr uint32_t InvalidValue = std::numeric_limits<uint32_t>::max();

  uint32_t Value = InvalidValue;

  /// \returns true if the handle names an entry.
  [[nodiscard]] constexpr bool valid() const { return Value != InvalidValue; }

  friend constexpr auto operator<=>(const Handle &, const Handle &) = default;
};

using ServiceHandle = Handle<struct ServiceTag>;
using InstanceHandle = Handle<struct InstanceTag>;
using RouteHandle = Handle<struct RouteTag>;
using WorkspaceHandle = Handle<struct WorkspaceTag>;
using ZoneHandle = Handle<struct ZoneTag>;
using VmHandle = Handle<struct VmTag>;

/// Names one caller request. The front end allocates the index; the generation
/// grows each time the index is used again, so that late events are recognized.
struct RequestHandle {
  uint32_t Index = Handle<void>::InvalidValue;
  uint32_t Generation = 0;

  friend constexpr auto operator<=>(const RequestHandle &,
                                    const RequestHandle &) = default;
};

/// Names one attempt to run a request on a backend server.
struct AttemptHandle {
  RequestHandle Request;
  uint32_t Ordinal = 0;

  friend constexpr auto operator<=>(const AttemptHandle &,
                                    const AttemptHandle &) = default;
};

/// One of the connections that this VM may hold to one instance. At most one
/// request uses a lane at a time.
struct Lane {
  uint32_t Value = 0;

  friend constexpr auto operator<=>(const Lane &, const Lane &) = default;
};

} // namespace guavasail

#endif
