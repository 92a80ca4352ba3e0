#pragma once

#include <chrono>

namespace persimmon {

/// Time of an event, supplied by the caller of the reducer.
using Time = std::chrono::steady_clock::time_point;

using std::chrono::milliseconds;

/// A deadline that has not been set.
constexpr Time NoDeadline = Time::max();

/// Returns the whole milliseconds from \p Now to \p Deadline, at least zero.
inline long long millisecondsUntil(Time Deadline, Time Now) {
  if (Deadline <= Now)
    return 0;
  return std::chrono::duration_cast<milliseconds>(Deadline - Now).count();
}

} // namespace persimmon
