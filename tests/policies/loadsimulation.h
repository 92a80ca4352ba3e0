#pragma once

#include "libpersimmon/libpersimmon.h"

#include <string>
#include <vector>

namespace persimmon {

/// A route of a simulated load.
struct SimulatedRoute {
  std::string Name;
  int Priority = 0;
  double PerSecond = 0;
  double MeanRunMs = 0;
  milliseconds Useful{0};
  milliseconds Deadline{0};
  /// Client account of the calls, for QueuePolicy::ByAccount.
  std::string Account = {};
  /// Factor during the burst; 0 for that of the load.
  double BurstFactor = 0;
};

/// Load of one target with a burst: between two times the call rates are
/// multiplied by a factor.
struct SimulatedLoad {
  std::vector<SimulatedRoute> Routes;
  int Slots = 1;
  double BurstFactor = 1;
  milliseconds BurstFrom{0};
  milliseconds BurstUntil{0};
  milliseconds Length{0};
  /// Times that a call is sent while its answer would still be useful.
  int Attempts = 1;
  /// Counts only calls that arrive during the burst.
  bool CountBurstOnly = false;
};

/// What became of the calls of one route.
struct SimulatedOutcomes {
  int Arrived = 0;
  int Useful = 0;
  int Late = 0;
  int RefusedAtOnce = 0;
  int RefusedLater = 0;
};

/// Queueing policy of a simulation: Deadline admits every call that can meet
/// its deadline, in order of deadlines, as the project did before; Useful is
/// the order of AdmissionQueue, without accounts; ByAccount the same with them.
enum class QueuePolicy { Deadline, Useful, ByAccount };

/// Simulates a load on one target with seeded random arrivals and run times.
/// Returns the outcomes in the order of the load's routes.
std::vector<SimulatedOutcomes>
simulateLoad(const SimulatedLoad &Load, QueuePolicy Policy, std::uint64_t Seed);

} // namespace persimmon
