#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <map>

namespace persimmon {

/// Measures on a target's daemon which share of the calls of callers is shed,
/// by priority, over the last window. The result is sent with answers, so that
/// daemons whose targets call this one admit fewer calls.
class ShedMeter {
public:
  /// Records that a call was admitted or shed.
  void countCall(int Priority, bool Shed, Time Now);

  /// Returns the highest priority at which calls were shed, with their share of
  /// the calls of that priority.
  wire::ShedLoad report(Time Now) const;

private:
  struct Count {
    int Total = 0;
    int Shed = 0;
  };

  std::map<int, Count> Current;
  wire::ShedLoad Last;
  Time WindowEnd;
};

} // namespace persimmon
