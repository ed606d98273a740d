#include "arrival_hold.h"

#include <algorithm>
#include <utility>

namespace guavasail {

namespace {

/// Time after the first request in which a VM counts as starting. Without a
/// configuration by then, the store or the other VMs are out of reach.
constexpr Duration MaxStartTime = std::chrono::seconds(3);
/// Most bytes of texts that are kept. Usual requests have less than 200 each.
constexpr size_t MaxBytes = size_t{1} << 20;

} // namespace

RequestArrived HeldArrival::event() const {
  RequestArrived event = Event;
  event.Path = Path;
  event.Host = Host;
  event.Name = Name;
  return event;
}

bool ArrivalHold::hold(const RequestArrived &event, bool decides, Instant now) {
  Started |= decides;
  if (!isStarting())
    return false;
  if (FirstArrivalAt == Instant{})
    FirstArrivalAt = now;
  Instant until = std::min(now + Limit, FirstArrivalAt + MaxStartTime);
  if (until <= now)
    return false;
  HeldArrival arrival(event);
  if (Bytes + arrival.bytes() > MaxBytes)
    return false;
  Bytes += arrival.bytes();
  Items.push_back({std::move(arrival), until});
  return true;
}

std::optional<HeldArrival> ArrivalHold::take(bool decides, Instant now) {
  bool due = !Items.empty() && (decides || Items.front().Until <= now);
  if (!due)
    return std::nullopt;
  std::optional<HeldArrival> arrival(std::move(Items.front().Arrival));
  Items.pop_front();
  Bytes -= arrival->bytes();
  return arrival;
}

} // namespace guavasail
