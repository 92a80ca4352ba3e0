#pragma once

#include "placementpolicy.h"
#include "random.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmon {

/// Places calls by the chance that they are answered in useful time, evenly
/// over the targets of the own availability zone, and crosses zones only where
/// that is worth its bytes.
///
/// The load of a target is predicted from its last report, which came with an
/// answer or from another daemon, its age, the calls that this daemon sent
/// since, and the mean load of its service and zone. Load pattern: many daemons
/// that choose from old reports fill the same idle targets in turns, and calls
/// leave a zone that has free slots.
class EvenPlacement : public PlacementPolicy {
public:
  EvenPlacement(std::string Zone, std::uint64_t Seed);

  Placement place(std::span<const PlacementCandidate> Candidates,
                  const PlacementRequest &Request, Time Now) override;
  void ended(std::string_view Target) override;
  void reported(std::string_view Target, std::string_view Route,
                const wire::Load &Load, bool Nested, Time Now) override;
  void heard(const std::vector<wire::PeerLoad> &Loads, Time Now) override;
  std::vector<wire::PeerLoad> loadsFor(const wire::MemberRecord &Receiver,
                                       Time Now) const override;

private:
  struct TargetState {
    std::string Service;
    std::string Zone;
    std::int64_t Incarnation = 0;
    /// When the last report was made.
    Time ReportAt;
    bool HasReport = false;
    double Calls = 0;
    int Slots = 0;
    /// How long work takes on the target, 1 as usual.
    double Slowness = 1;
    /// When the calls were sent that this daemon has in flight.
    std::deque<Time> Sent;
  };
  /// What is learned of the calls of a route.
  struct RouteState {
    /// Mean run time on a usual target; 0 if unknown.
    double RunMs = 0;
    bool Nested = false;
  };
  struct ServiceState {
    /// Mean run time of its calls on a usual target; 0 if unknown.
    double RunMs = 0;
    /// When a small call may next be sent to another zone to learn its load.
    Time NextScout;
  };
  /// Mean of the reported loads of a service in a zone, as a share of slots.
  struct ZoneLoad {
    double Share = 0;
    Time ReportAt;
  };
  struct Estimate {
    Placement Result;
    double RunMs = 0;
  };
  using Estimates = std::vector<Estimate>;

  TargetState &stateOf(const wire::MemberRecord &Record);
  void apply(TargetState &Target, double Calls, int Slots, Time ReportAt);
  /// Returns the mean load that a target is expected to return to.
  double meanShare(const TargetState &Target, Time Now) const;
  Estimate estimate(const PlacementCandidate &From,
                    const PlacementRequest &Request, Time Now);
  Estimates estimates(std::span<const PlacementCandidate> Candidates,
                      bool OfOwnZone, const PlacementRequest &Request,
                      Time Now);
  /// Returns the least loaded of a few targets drawn from those with the best
  /// chances; without a record if there are no targets.
  Estimate pickEven(const Estimates &From);
  /// Returns whether the call may be sent to another zone to learn its load.
  bool mayScout(const PlacementRequest &Request, Time Now);
  Placement take(const Estimate &Chosen, std::string_view Reason, Time Now);

  std::string Zone;
  Random Rng;
  std::map<std::string, TargetState, std::less<>> Targets;
  std::map<std::string, RouteState, std::less<>> Routes;
  std::map<std::string, ServiceState, std::less<>> Services;
  std::map<std::pair<std::string, std::string>, ZoneLoad> ZoneLoads;
  /// Means of the lengths and of the useful times left of all calls.
  double MeanBytes = 0;
  double MeanLeftMs = 0;
};

} // namespace persimmon
