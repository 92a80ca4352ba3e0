#pragma once

#include <cstdint>

namespace persimmon {

/// A service whose runs call a second one that is short of room.
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
struct NestedEnds {
  double OuterUseful = 0;
  double DirectUseful = 0;
  /// Share of outer runs that were done in vain.
  double OuterFailed = 0;
};

/// How nested calls wait: ByRoute as any call of their priority, First before
/// all others, Guarded also with NestedLoadLimiter at the first service.
enum class NestedPolicy { ByRoute, First, Guarded };

/// Replays \p Load with seeded arrivals and run times.
NestedEnds replayNested(const NestedLoad &Load, NestedPolicy Policy,
                        std::uint64_t Seed);

} // namespace persimmon
