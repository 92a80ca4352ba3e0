#pragma once

#include "random.h"
#include "time.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Refuses a part of a route's calls at the target's daemon while the target
/// fails many of them. Load pattern: a service that the target calls is full,
/// so runs end in failure after most of their work is done, and each of them
/// has added to the load there. Refusing a part at the door gives the others
/// what they need, and tells callers at once.
class FailureGuard {
public:
  explicit FailureGuard(std::uint64_t Seed) : Rng(Seed) {}

  /// Notes how a run of the route ended.
  void note(std::string_view Route, bool Failed, Time Now);

  /// Returns whether the next call of the route may run.
  bool admit(std::string_view Route, Time Now);

private:
  struct RouteState {
    double Refused = 0;
    int Runs = 0;
    int Failures = 0;
    Time WindowEnd;
  };

  static void closeWindow(RouteState &State, Time Now);

  Random Rng;
  std::map<std::string, RouteState, std::less<>> ByRoute;
};

} // namespace persimmon
