/// \file
/// Interface through which front and back ends post events.
#ifndef GUAVASAIL_SRC_EVENT_SINK_H
#define GUAVASAIL_SRC_EVENT_SINK_H

#include "guavasail/event.h"

namespace guavasail {

/// Queues events for the reducer. Views in a queued event must stay valid until
/// the end of the current loop iteration.
class EventSink {
public:
  virtual void post(const EventBody &body) = 0;

protected:
  ~EventSink() = default;
};

} // namespace guavasail

#endif
