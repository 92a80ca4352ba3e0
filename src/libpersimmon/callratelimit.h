#pragma once

#include "time.h"

namespace persimmon {

/// Spaces the calls that start on a target by the rate that the target names in
/// its answers, until an answer to a later call names none.
///
/// Load pattern: more calls than a target in need takes. All calls to a target
/// pass its daemon, so one limit covers the calls of all daemons.
class CallRateLimit {
public:
  /// Applies the rate that an answer named, in calls per second.
  void setRate(double PerSecond, Time Now);

  /// Handles an answer without a rate to a call that started at \p StartedAt.
  /// Ends the limit if the call started after the rate was last named; earlier
  /// calls may have been answered out of order.
  void rateNotNamed(Time StartedAt);

  /// Removes the limit, as the target has started again.
  void clear() { *this = CallRateLimit(); }

  /// Returns whether the target has named a rate.
  bool active() const { return this->Interval > Time::duration::zero(); }

  /// Returns how many calls may start now, at most \p Most.
  int available(int Most, Time Now) const;

  /// Counts a call that starts.
  void take(Time Now);

  /// Returns the time between two calls, in milliseconds; 0 without a limit.
  double intervalMs() const;
  /// Returns the time until the next call may start, in milliseconds.
  double nextStartMs(Time Now) const;

private:
  Time::duration burst() const;

  Time::duration Interval{0};
  /// When the next call is due at the exact rate.
  Time NextDue;
  Time NamedAt;
};

} // namespace persimmon
