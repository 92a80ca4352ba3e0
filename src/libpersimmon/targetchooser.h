#pragma once

#include "evenplacement.h"
#include "membership.h"
#include "random.h"
#include "versionfilter.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmon {

/// A chosen target, with the reason for the decision log.
struct TargetChoice {
  const wire::MemberRecord *Record = nullptr;
  std::size_t Candidates = 0;
  std::string_view Reason;
  /// The decision of the even placement, if it made the choice.
  std::optional<Placement> Even = {};
};

/// The use of links by a call that is to be placed.
struct LinkUse {
  /// The request has a body that is sent in parts.
  bool LargeBody = false;
  /// The answers of the route are usually sent in parts.
  bool LargeAnswer = false;
  /// Until then, the answer has its full value for the caller.
  Time UsefulUntil = NoDeadline;
  std::string_view Route = {};
  /// Expected length of request and answer together.
  std::int64_t Bytes = 0;
  /// Number of attempts so far if the last target was overloaded.
  int Refusals = 0;
};

/// The calls placed so far, for the metrics.
struct PlacementCounts {
  std::map<std::string_view, std::uint64_t> ByReason;
  std::uint64_t CrossedZones = 0;
  std::uint64_t CrossedBytes = 0;
};

/// Abstract policy that selects one of two candidates for an attempt.
class ChoicePolicy {
public:
  virtual ~ChoicePolicy() = default;

  /// Returns the index (0 or 1) of the selected candidate. A lower score is
  /// better.
  virtual std::size_t pick(double First, double Second) const = 0;
};

/// Selects the candidate with the lower score (power of two choices).
class LeastOfTwo : public ChoicePolicy {
public:
  std::size_t pick(double First, double Second) const override {
    return Second < First ? 1 : 0;
  }
};

/// Ignores the scores; serves as baseline for measurements.
class FirstOfTwo : public ChoicePolicy {
public:
  std::size_t pick(double, double) const override { return 0; }
};

/// Chooses targets by the calls that this daemon has in flight, the load
/// reported with answers, recent failures, availability zone and time since
/// start.
class TargetChooser {
public:
  /// \p Policy must outlive this object.
  TargetChooser(std::string Zone, std::uint64_t Seed,
                const ChoicePolicy &Policy);

  /// Chooses a target of \p Service that is not in \p Excluded. Calls with a
  /// large body or answer go to the local target while it has free capacity,
  /// because the body then uses no link. For a large answer, the load of a
  /// target includes the backlog of its daemon's link. Only targets that
  /// \p Versions allows are candidates.
  TargetChoice choose(const Membership &Members, std::string_view Service,
                      const std::set<std::string> &Excluded, Time Now,
                      const LinkUse &Use = {},
                      const VersionRule &Versions = {});

  /// Returns whether the target is still slow after its start.
  bool warmingUp(std::string_view Name, Time Now) const;

  /// Places the calls of all services evenly, also of those whose targets tell
  /// no pace.
  void setEvenPlacement(bool IsOn) { this->AllEven = IsOn; }

  /// Returns whether the calls of \p Service are placed evenly: if the settings
  /// say so or one of its targets has told its pace.
  bool placesEvenly(std::string_view Service) const {
    return this->AllEven || this->EvenServices.count(Service) != 0;
  }

  /// Records that an attempt was sent.
  void started(std::string_view Name);

  /// Records the end of an attempt. \p Failed means that the target or its
  /// daemon failed.
  void finished(std::string_view Name, bool Failed, Time Now);
  /// Records that nothing could be sent to the target or that its daemon
  /// stopped responding. The target is skipped for a while if there are others.
  void unreachable(std::string_view Name, Time Now);
  /// Records the load that was reported with an answer.
  void reported(std::string_view Name, const wire::Load &Load, Time Now);
  /// Records the loads in an answer to a call of \p Route, and whether running
  /// calls make the calls of this route.
  void reported(std::string_view Name, std::string_view Route,
                const wire::CallReply &Reply, Time Now);
  /// Records the load of the target beside this daemon.
  void reportedLocal(const wire::Load &Load, Time Now);

  /// Returns the loads to be sent to \p Receiver; none if no service is placed
  /// evenly.
  std::vector<wire::PeerLoad> loadsFor(const wire::MemberRecord &Receiver,
                                       Time Now) const {
    return this->Even->loadsFor(Receiver, Now);
  }

  const PlacementCounts &counts() const { return this->Counts; }

private:
  struct Stats {
    int InFlight = 0;
    std::string Service;
    int ReportedSlots = 0;
    int ReportedRunning = 0;
    int ReportedQueued = 0;
    /// Until then, the report outweighs the mean of its service.
    Time ReportValidUntil;
    /// When the target's link will have carried the reported backlog.
    Time LinkBusyUntil;
    double FailureRate = 0;
    Time EjectedUntil;
    Time UnreachableUntil;
    std::int64_t Incarnation = 0;
    Time RampUntil;
    milliseconds RampLength{0};
    std::int64_t ColdSequence = 0;
  };

  double score(const wire::MemberRecord &Record, Stats &Target,
               bool UseUnwellHints, const LinkUse &Use, Time Now) const;
  /// Returns the load of the target as a share of its slots. An old report is
  /// blended with the mean of the service: a target that reported nothing
  /// recently is not taken for an idle one.
  double slotScore(const wire::MemberRecord &Record, const Stats &Target,
                   Time Now) const;
  /// Returns the wait for the target's link as a share of the useful time.
  double linkScore(const Stats &Target, const LinkUse &Use, Time Now) const;
  /// Returns the share of its load that a target takes while it starts.
  static double rampShare(const Stats &Target, Time Now);
  Stats &statsOf(const wire::MemberRecord &Record, Time Now);
  TargetChoice chooseAny(const Membership &Members, std::string_view Service,
                         const std::set<std::string> &Excluded, Time Now,
                         const LinkUse &Use, const VersionRule &Versions);
  /// Draws two of \p From and returns the better one with its score.
  std::pair<const wire::MemberRecord *, double>
  pickOfTwo(const std::vector<const wire::MemberRecord *> &From,
            bool UseUnwellHints, const LinkUse &Use, Time Now);
  void placeEvenly(const std::vector<const wire::MemberRecord *> &Eligible,
                   std::string_view Service, bool UseUnwellHints, Time Now,
                   const LinkUse &Use, TargetChoice &Out);

  std::string Zone;
  std::string OwnName;
  Random Rng;
  const ChoicePolicy &Policy;
  std::map<std::string, Stats, std::less<>> Targets;
  /// Mean of the reported loads of each service, as a share of the slots.
  std::map<std::string, double, std::less<>> MeanLoads;
  std::unique_ptr<PlacementPolicy> Even;
  bool AllEven = false;
  std::set<std::string, std::less<>> EvenServices;
  PlacementCounts Counts;
};

} // namespace persimmon
