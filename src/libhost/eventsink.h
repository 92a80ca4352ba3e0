#pragma once

#include "libpersimmon/libpersimmon.h"

namespace persimmon {

/// Receives events from the HTTP ports of a daemon.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void submit(EventBody Body) = 0;
  virtual const Node &node() const = 0;
  virtual std::string metricsText() = 0;
};

} // namespace persimmon
