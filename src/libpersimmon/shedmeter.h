#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <map>

namespace persimmon {

/// Measures at a target's daemon which share of callers' calls it turns away,
/// by priority, over the last window. Daemons whose targets call this one
/// learn it with the answers and send less.
class ShedMeter {
public:
  /// Notes that a call was admitted or turned away.
  void note(int Priority, bool TurnedAway, Time Now);

  /// Returns the highest priority of which calls were turned away, with the
  /// share among the calls of that priority.
  wire::ShedLoad report(Time Now) const;

private:
  struct Count {
    int Asked = 0;
    int TurnedAway = 0;
  };

  std::map<int, Count> Current;
  wire::ShedLoad Last;
  Time WindowEnd;
};

} // namespace persimmon
