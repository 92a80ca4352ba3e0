#pragma once

#include "libpersimmon/libpersimmon.h"

#include <string>
#include <vector>

namespace persimmon {

/// A kind of call in a replayed load.
struct ReplayedRoute {
  std::string Name;
  int Priority = 0;
  double PerSecond = 0;
  double MeanRunMs = 0;
  milliseconds Useful{0};
  milliseconds Deadline{0};
};

/// A burst on one target: the rates are multiplied between two moments.
struct ReplayedLoad {
  std::vector<ReplayedRoute> Routes;
  int Slots = 1;
  double BurstFactor = 1;
  milliseconds BurstFrom{0};
  milliseconds BurstUntil{0};
  milliseconds Length{0};
};

/// What became of the calls of one route.
struct ReplayedEnds {
  int Arrived = 0;
  int Useful = 0;
  int Late = 0;
  int RefusedAtOnce = 0;
  int RefusedLater = 0;
};

/// How calls wait in a replay: Deadline admits whoever can meet its deadline,
/// in order of deadlines, as the project did before; Useful is AdmissionQueue.
enum class ReplayedPolicy { Deadline, Useful };

/// Replays a load on one target with seeded arrivals and run times. Returns
/// the ends by route, in the order of the load's routes.
std::vector<ReplayedEnds> replay(const ReplayedLoad &Load,
                                 ReplayedPolicy Policy, std::uint64_t Seed);

} // namespace persimmon
