#pragma once

#include <cstdint>

namespace persimmon {

/// Load of an outer (first) service whose runs call an inner (second) service
/// that lacks capacity.
struct NestedLoad {
  /// Calls to the first service; each run makes one call of the second.
  double OuterPerSecond = 0;
  double OuterRunMs = 60;
  double NestedRunMs = 15;
  int OuterSlots = 1;
  /// More important calls of callers to the second service.
  double DirectPerSecond = 0;
  double DirectRunMs = 24;
  int InnerSlots = 1;
  int Seconds = 30;
};

/// Shares of calls that were answered in useful time.
struct NestedShares {
  double OuterUseful = 0;
  double DirectUseful = 0;
  /// Share of outer calls whose run failed because its nested call was refused.
  double OuterFailed = 0;
};

/// Treatment of nested calls: ByPriority queues them like any call of their
/// priority, First before all others, Guarded like First and with
/// NestedLoadLimiter at the outer service.
enum class NestedPolicy { ByPriority, First, Limited };

/// Simulates \p Load with seeded random arrivals and run times.
NestedShares simulateNestedLoad(const NestedLoad &Load, NestedPolicy Policy,
                                std::uint64_t Seed);

} // namespace persimmon
