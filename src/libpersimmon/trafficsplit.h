#pragma once

#include "random.h"
#include "routetable.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon {

/// Distributes the calls of each route among its parts by smooth weighted
/// round-robin, so that even short sequences of calls match the weights.
class TrafficSplit {
public:
  explicit TrafficSplit(std::uint64_t Seed) : Rng(Seed) {}

  /// Returns the part that serves the next call of \p Route.
  const SplitPart &next(const RouteSpec &Route);

private:
  struct Credits {
    std::vector<SplitPart> Parts;
    std::vector<double> Balances;
  };

  void reset(const RouteSpec &Route, Credits &State);

  Random Rng;
  std::map<std::string, Credits, std::less<>> ByRoute;
};

/// Detects calls that their caller retries after a refusal: they have less time
/// left than other calls of the route.
class RetryDetector {
public:
  /// Records the time that a call of \p Route has left. Returns how long ago
  /// the call was first made; 0 for a new call.
  milliseconds timeSinceFirstTry(std::string_view Route, milliseconds TimeLeft);

private:
  std::map<std::string, milliseconds, std::less<>> LongestByRoute;
};

} // namespace persimmon
