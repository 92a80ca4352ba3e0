#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstdint>
#include <vector>

namespace persimmon {

/// A daemon whose target answers long calls and short nested calls, behind a
/// link that carries packets in the order in which they are handed over.
struct LinkLoad {
  /// Rate of the link in Mbit/s.
  double LinkMbps = 12.6;
  /// Long answers that are asked for, as a share of the rate of the link.
  double Demand = 0.75;
  std::int64_t LongBytes = 90'000;
  milliseconds LongRun{120};
  milliseconds LongUseful{600};
  milliseconds LongDeadline{1500};
  double NestedPerSecond = 80;
  std::int64_t NestedBytes = 300;
  milliseconds NestedRun{38};
  milliseconds NestedDeadline{500};
  milliseconds Length{20'000};
  /// Whether the daemon is told the rate of its link. Without it, everything is
  /// handed over at once.
  bool RateKnown = true;
};

/// What callers see, and what the link carried.
struct LinkResult {
  /// Times from the call to the whole answer of nested calls, in milliseconds.
  std::vector<double> NestedMs;
  int NestedSent = 0;
  int NestedRefused = 0;
  int LongSent = 0;
  int LongUsefulAnswers = 0;
  int LongLateAnswers = 0;
  int LongRefused = 0;
  int LongRefusedAfterRun = 0;
  std::int64_t CarriedBytes = 0;
  /// Bytes of answers that were not complete at their caller's deadline.
  std::int64_t WastedBytes = 0;

  double nestedPercentile(double Share) const;
};

/// Simulates a load with the scheduler of the daemon.
LinkResult simulateLink(const LinkLoad &Load, std::uint64_t Seed);

} // namespace persimmon
