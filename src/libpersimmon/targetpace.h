#pragma once

#include "time.h"

namespace persimmon {

/// Smooths the pace that a target states in some of its answers: how long work
/// takes on its machine, 100 as usual. The stated value changes several times a
/// second and is known of some answers only.
class TargetPace {
public:
  /// Records a stated value.
  void stated(int Percent, Time Now);

  /// Returns the smoothed value; 0 if none was stated.
  int percent() const;

private:
  double Mean = 0;
  Time StatedAt;
};

} // namespace persimmon
