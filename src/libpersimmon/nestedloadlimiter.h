#pragma once

#include "libwire/libwire.h"

#include "random.h"
#include "time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Outcome of a call made by the local target.
struct NestedOutcome {
  bool Refused = false;
  /// Load shedding reported by the daemon that answered the call.
  wire::ShedLoad Shed;
};

/// Refuses a share of a route's calls at the target's daemon while a service
/// that their runs call lacks capacity. Load pattern: the called service is the
/// bottleneck, so runs fail or wait there after most of their work is done, and
/// nested calls displace calls of higher priority at that service. Only calls
/// of routes whose runs make nested calls are refused, and only in favour of
/// calls of the same or a higher priority.
class NestedLoadLimiter {
public:
  explicit NestedLoadLimiter(std::uint64_t Seed) : Rng(Seed) {}

  /// Records the end of a call made by the target.
  void nestedEnded(const NestedOutcome &Outcome, Time Now);

  /// Returns the number of nested calls that have ended. The value at the start
  /// of a run is passed to runEnded().
  std::int64_t nestedCount() const { return this->NestedTotal; }

  /// Records the end of a run of \p Route that started when nestedCount() was
  /// \p CountAtStart. \p Running is the number of runs including this one.
  void runEnded(std::string_view Route, std::int64_t CountAtStart,
                milliseconds Ran, int Running, Time Now);

  /// Returns the share of an account's calls to admit if the given share of all
  /// calls is admitted.
  using AccountShare = std::function<double(double OfAll)>;

  /// Returns whether the next call of the route is admitted. Without \p ShareOf
  /// all calls are admitted to the same share.
  bool admit(std::string_view Route, int Priority, Time Now,
             const AccountShare &ShareOf = {});

  /// Returns the share of the route's calls that is currently refused.
  double refusedShare(std::string_view Route) const;

private:
  struct RouteState {
    int Priority = 0;
    int Runs = 0;
    /// Mean number of nested calls per run, without those of other runs.
    double CallsPerRun = 0;
    double Refused = 0;
  };
  /// Nested calls that ended since the last update of the refused shares, with
  /// the sums of the shed shares that their answers reported, by priority.
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
