#include "suspensionclock.h"

#include <time.h>

namespace persimmon {

namespace {

using std::chrono::nanoseconds;

/// Readings that took longer were interrupted.
constexpr nanoseconds QuickReading{100'000};
constexpr int MaxReadings = 5;
/// Shorter times are not told from interrupted readings. They are counted once
/// their sum exceeds this.
constexpr milliseconds MinSuspension{2};

nanoseconds timeOf(clockid_t Clock) {
  timespec Now{};
  clock_gettime(Clock, &Now);
  return std::chrono::seconds(Now.tv_sec) + nanoseconds(Now.tv_nsec);
}

} // namespace

SuspensionClock::Reading SuspensionClock::read() {
  Reading Best;
  for (int I = 0; I < MaxReadings; ++I) {
    Reading Next;
    Next.SteadyBefore = timeOf(CLOCK_MONOTONIC);
    Next.Boot = timeOf(CLOCK_BOOTTIME);
    Next.SteadyAfter = timeOf(CLOCK_MONOTONIC);
    const nanoseconds Took = Next.SteadyAfter - Next.SteadyBefore;
    if (I == 0 || Took < Best.SteadyAfter - Best.SteadyBefore)
      Best = Next;
    if (Took < QuickReading)
      break;
  }
  return Best;
}

milliseconds SuspensionClock::advance(const Reading &Now) {
  // An interruption between the readings makes this too long, never too short.
  const nanoseconds Uncounted = Now.Boot - Now.SteadyBefore;
  if (!this->Counted)
    this->Counted = Uncounted;
  const nanoseconds Grown = Uncounted - *this->Counted;
  if (Grown < MinSuspension)
    return milliseconds(0);
  this->Counted = Uncounted;
  return std::chrono::ceil<milliseconds>(Grown);
}

} // namespace persimmon
