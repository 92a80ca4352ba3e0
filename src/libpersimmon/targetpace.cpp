#include "targetpace.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

namespace {

/// Other work slows a machine for 600 ms at a time. A call that starts now runs
/// within about half of that, so the mean follows a change within it.
constexpr std::chrono::duration<double> MeanOver{0.3};
constexpr int MinPercent = 10;
constexpr int MaxPercent = 1000;

} // namespace

void TargetPace::stated(int Percent, Time Now) {
  const double Value = std::clamp(Percent, MinPercent, MaxPercent);
  if (this->Mean == 0)
    this->Mean = Value;
  const std::chrono::duration<double> Since = Now - this->StatedAt;
  this->Mean +=
      (1 - std::exp(-std::max(0.0, Since / MeanOver))) * (Value - this->Mean);
  this->StatedAt = Now;
}

int TargetPace::percent() const {
  return static_cast<int>(std::lround(this->Mean));
}

} // namespace persimmon
