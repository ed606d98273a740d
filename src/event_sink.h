/// \file
/// Where front and back ends hand in what they learn.
#ifndef GUAVASAIL_SRC_EVENT_SINK_H
#define GUAVASAIL_SRC_EVENT_SINK_H

#include "guavasail/event.h"

namespace guavasail {

/// Queues events for the reducer. Views in a queued event have to stay valid
/// until the loop's current turn ends.
class EventSink {
public:
  virtual void post(const EventBody &body) = 0;

protected:
  ~EventSink() = default;
};

} // namespace guavasail

#endif
