#include "callratelimit.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

namespace {

/// Calls may start this much before they are due. It covers the interval of the
/// timer that starts waiting calls.
constexpr milliseconds BurstTime{50};
/// A target that names a lower rate is asked this often nevertheless, since
/// only its answers tell when it takes more.
constexpr double MinPerSecond = 0.25;
/// A higher rate is no limit for a daemon.
constexpr double MaxPerSecond = 1'000'000;

} // namespace

void CallRateLimit::setRate(double PerSecond, Time Now) {
  const std::chrono::duration<double> Seconds(
      1.0 / std::clamp(PerSecond, MinPerSecond, MaxPerSecond));
  const auto NewInterval = std::chrono::duration_cast<Time::duration>(Seconds);
  // A higher rate also applies to the call that is due next.
  if (NewInterval < this->Interval)
    this->NextDue = std::min(this->NextDue, Now + NewInterval);
  this->Interval = NewInterval;
  this->NamedAt = Now;
}

void CallRateLimit::rateNotNamed(Time StartedAt) {
  if (StartedAt > this->NamedAt)
    this->clear();
}

Time::duration CallRateLimit::burst() const {
  return std::max<Time::duration>(BurstTime, this->Interval);
}

int CallRateLimit::available(int Most, Time Now) const {
  if (!this->active())
    return Most;
  const Time::duration Ahead =
      Now + this->burst() - std::max(this->NextDue, Now);
  if (Ahead < Time::duration::zero())
    return 0;
  return static_cast<int>(
      std::min<std::int64_t>(Most, Ahead / this->Interval + 1));
}

void CallRateLimit::take(Time Now) {
  if (this->active())
    this->NextDue = std::max(this->NextDue, Now) + this->Interval;
}

double CallRateLimit::intervalMs() const {
  return std::chrono::duration<double, std::milli>(this->Interval).count();
}

double CallRateLimit::nextStartMs(Time Now) const {
  if (!this->active())
    return 0;
  const Time At = this->NextDue - this->burst();
  return std::max(0.0,
                  std::chrono::duration<double, std::milli>(At - Now).count());
}

} // namespace persimmon
