#pragma once

#include "random.h"
#include "routetable.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon {

/// Divides the calls of each route among its parts so that every run of calls,
/// also a short one, has the shares that the weights say.
class TrafficSplit {
public:
  explicit TrafficSplit(std::uint64_t Seed) : Rng(Seed) {}

  /// Returns the part that serves the next call of \p Route.
  const SplitPart &next(const RouteSpec &Route);

private:
  struct Credits {
    std::vector<SplitPart> Parts;
    std::vector<double> Left;
  };

  void start(const RouteSpec &Route, Credits &Fresh);

  Random Rng;
  std::map<std::string, Credits, std::less<>> ByRoute;
};

/// Tells callers that come back after a refusal from new ones: they have less
/// time left than callers of the route usually bring.
class ReturnDetector {
public:
  /// Notes the time that a caller of \p Route brought. Returns how long ago it
  /// came first; 0 for a new caller.
  milliseconds note(std::string_view Route, milliseconds Brought);

private:
  std::map<std::string, milliseconds, std::less<>> UsualByRoute;
};

} // namespace persimmon
