#include "arrival_hold.h"

#include <algorithm>
#include <utility>

namespace guavasail {

namespace {

/// Time after the first request in which a VM counts as starting. Without a
/// configuration by then, the store or the other VMs are out of reach.
constexpr Duration MaxStartTime = std::chrono::seconds(3);

} // namespace

RequestArrived HeldArrival::event() const {
  RequestArrived event = Event;
  event.Path = Path;
  event.Host = Host;
  event.Name = Name;
  return event;
}

bool ArrivalHold::hold(const RequestArrived &event, bool admits, Instant now) {
  Started |= admits;
  if (Started || Limit == Duration::zero())
    return false;
  if (FirstArrivalAt == Instant{})
    FirstArrivalAt = now;
  Instant until = std::min(now + Limit, FirstArrivalAt + MaxStartTime);
  if (until <= now)
    return false;
  Items.push_back({HeldArrival(event), until});
  return true;
}

std::optional<HeldArrival> ArrivalHold::take(bool admits, Instant now) {
  bool due = !Items.empty() && (admits || Items.front().Until <= now);
  if (!due)
    return std::nullopt;
  std::optional<HeldArrival> arrival(std::move(Items.front().Arrival));
  Items.pop_front();
  return arrival;
}

} // namespace guavasail
