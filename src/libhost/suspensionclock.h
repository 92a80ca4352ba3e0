#pragma once

#include "libpersimmon/time.h"

#include <chrono>
#include <optional>

namespace persimmon {

/// Finds out for how long the machine was suspended: the time that
/// CLOCK_BOOTTIME counted and the steady clock did not.
class SuspensionClock {
public:
  /// Readings of the two clocks. The steady clock is read before and after the
  /// other one.
  struct Reading {
    std::chrono::nanoseconds SteadyBefore{0};
    std::chrono::nanoseconds Boot{0};
    std::chrono::nanoseconds SteadyAfter{0};
  };

  /// Reads the clocks. Reads again if the process was interrupted meanwhile.
  static Reading read();

  /// Returns the time of suspension between the reading that the last result
  /// counted and \p Now; 0 for the first one.
  milliseconds advance(const Reading &Now);

private:
  /// Time between the clocks that was counted before.
  std::optional<std::chrono::nanoseconds> Counted;
};

} // namespace persimmon
