/// \file
/// Requests that wait until a VM that has just started can admit them.
#ifndef GUAVASAIL_SRC_ARRIVAL_HOLD_H
#define GUAVASAIL_SRC_ARRIVAL_HOLD_H

#include "guavasail/clock.h"
#include "guavasail/event.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace guavasail {

/// A request that arrived, with the texts that its event refers to.
struct HeldArrival {
  explicit HeldArrival(const RequestArrived &event)
      : Event(event), Path(event.Path), Host(event.Host), Name(event.Name) {}

  /// \returns the event; valid as long as this object is.
  [[nodiscard]] RequestArrived event() const;
  /// \returns the size of its texts in bytes.
  [[nodiscard]] size_t bytes() const {
    return Path.size() + Host.size() + Name.size();
  }

private:
  RequestArrived Event;
  std::string Path;
  std::string Host;
  std::string Name;
};

/// Holds requests for a bounded time. After a loss of all VMs the load balancer
/// sends requests to those that have just started, before they have read the
/// configuration, and a refused caller may not come back.
class ArrivalHold {
public:
  /// \param limit longest time for which a request is held; zero holds none.
  explicit ArrivalHold(Duration limit) : Limit(limit) {}

  /// \returns true if requests may have to be held.
  [[nodiscard]] bool isStarting() const {
    return !Started && Limit > Duration::zero();
  }

  /// Holds a request if this VM has just started and has decided none.
  /// \param decides whether this VM can decide requests at present.
  /// \returns false if the request has to be decided now, also for lack of
  /// memory.
  bool hold(const RequestArrived &event, bool decides, Instant now);

  /// \param decides whether this VM can decide requests at present.
  /// \returns the oldest request that has to be decided now.
  std::optional<HeldArrival> take(bool decides, Instant now);

  [[nodiscard]] bool empty() const { return Items.empty(); }
  [[nodiscard]] Instant nextDue() const {
    return Items.empty() ? NeverInstant : Items.front().Until;
  }

private:
  struct Item {
    HeldArrival Arrival;
    Instant Until;
  };

  Duration Limit;
  /// The VM has decided a request: it is not starting any more.
  bool Started = false;
  /// When the first request arrived; epoch if none has.
  Instant FirstArrivalAt{};
  std::deque<Item> Items;
  /// Size of the texts of `Items`.
  size_t Bytes = 0;
};

} // namespace guavasail

#endif
