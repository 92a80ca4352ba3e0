#pragma once

#include "libwire/libwire.h"

#include "random.h"
#include "time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// What became of a call that the own target made.
struct NestedOutcome {
  bool Refused = false;
  /// What the daemon that answered it turns away.
  wire::ShedLoad Shed;
};

/// Refuses a part of a route's calls at the target's daemon while a service
/// that their runs call is short of room. Load pattern: the called service is
/// the bottleneck, so runs fail or wait there after most of their work is
/// done, and nested calls push out more important calls of that service. Only
/// routes whose runs make calls are refused, and only to the benefit of calls
/// that are at least as important.
class NestedLoadGuard {
public:
  explicit NestedLoadGuard(std::uint64_t Seed) : Rng(Seed) {}

  /// Notes the end of a call that the target made.
  void nestedEnded(const NestedOutcome &Outcome, Time Now);

  /// Returns the number of nested calls that have ended, to be given back when
  /// a run that starts now ends.
  std::int64_t nestedCount() const { return this->NestedTotal; }

  /// Notes the end of a run of \p Route that started when nestedCount() was
  /// \p CountAtStart. \p Running is the number of runs, this one included.
  void runEnded(std::string_view Route, std::int64_t CountAtStart,
                milliseconds Ran, int Running, Time Now);

  /// Returns whether the next call of the route may run.
  bool admit(std::string_view Route, int Priority, Time Now);

  /// Returns the share of the route's calls that is refused.
  double refusedShare(std::string_view Route) const;

private:
  struct RouteState {
    int Priority = 0;
    int Runs = 0;
    /// Mean number of nested calls a run, beyond those of other runs.
    double CallsPerRun = 0;
    double Refused = 0;
  };
  /// Sum of the shares that were turned away, by priority.
  struct Window {
    Time End;
    int Nested = 0;
    int NestedRefused = 0;
    std::map<int, double> ShedByPriority;
  };

  void closeWindow(Time Now);
  double shortage(const RouteState &State) const;

  Random Rng;
  std::int64_t NestedTotal = 0;
  double NestedPerMs = 0;
  Window Current;
  std::map<std::string, RouteState, std::less<>> ByRoute;
};

} // namespace persimmon
