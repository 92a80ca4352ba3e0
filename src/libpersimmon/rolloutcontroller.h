#pragma once

#include "reporttree.h"
#include "rollout.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmon {

/// How much of a service's traffic a version may get until it is established.
struct RolloutBounds {
  /// Share of all requests to the service between the order and its deadline,
  /// and the number of requests beyond it.
  double ExposureShare = 0.1;
  double ExposureSlack = 50;
  /// Time after the 50th bad answer in which a version must lose all calls.
  milliseconds RollbackTime{5000};
};

/// A change of a roll-out that the leader has to commit.
struct RolloutDecision {
  wire::Setting Current;
  Rollout Next;
  /// The decision with the figures that led to it, for the log.
  std::string Line;
};

/// What a control instance knows of the daemons.
struct RolloutView {
  const ReportTree::Summary &Reports;
  /// Returns how many targets of a service with a version take calls.
  std::function<std::size_t(std::string_view, std::string_view)> TargetCount;
};

/// Decides on the stages of roll-outs. Every control instance observes them,
/// so that a new leader knows the time since the order and the recent counts;
/// only the decisions of the leader are carried out.
///
/// The time since the order is taken from steady clocks only: it is the time
/// since this instance first saw the order, or since it started and found the
/// order, plus the time that the stored value tells. It never exceeds the real
/// time, so no jump of a wall clock can end a roll-out early. An instance that
/// restarted takes a roll-out for younger than it is, and ends it later.
class RolloutController {
public:
  explicit RolloutController(RolloutBounds TheBounds) : Bounds(TheBounds) {}

  /// Takes over all roll-outs in \p Settings.
  void replace(const SettingsMap &Settings, Time Now);
  /// Takes over the roll-outs that a committed change touched.
  void apply(const wire::Delta &Change, Time Now);

  /// Returns whether a roll-out runs and tick() is due.
  bool due(Time Now) const;

  /// Observes the roll-outs. Returns the decisions that are due if this
  /// instance \p Leads.
  std::vector<RolloutDecision> tick(const RolloutView &View, bool Leads,
                                    Time Now);

  /// Returns whether the last roll-out of \p Service ended so long ago that a
  /// repeated order is a new one.
  bool mayRepeat(std::string_view Service, Time Now) const;

  /// Figures of a roll-out that runs, for metrics.
  struct Figures {
    std::string Service;
    RolloutStage Stage = RolloutStage::Canary;
    std::int64_t Total = 0;
    std::int64_t Exposed = 0;
    std::int64_t NewAnswers = 0;
    std::int64_t NewFailures = 0;
  };
  std::vector<Figures> figures() const;

private:
  /// Sums over daemons of what was counted for one version on one route.
  struct Sum {
    std::int64_t Started = 0;
    std::int64_t Answers = 0;
    std::int64_t Failures = 0;
    std::int64_t Timed = 0;
    std::int64_t RunMs = 0;
    std::int64_t LogRunMs = 0;
  };
  struct RouteSums {
    Sum Old;
    Sum New;
  };
  using SumsByRoute = std::map<std::string, RouteSums, std::less<>>;
  /// The state of all counts at one time.
  struct Sample {
    Time At;
    SumsByRoute Routes;
    std::int64_t Total = 0;
    std::int64_t Exposed = 0;
    std::int64_t OldUnderWay = 0;
  };
  struct Item {
    wire::Setting Setting;
    Rollout Value;
    /// When this instance saw the order, and the time since the order then.
    Time SeenAt;
    milliseconds ElapsedWhenSeen{0};
    Time EndedAt;
    std::deque<Sample> Samples;
    Time NextDecision;
    /// Sum of all increases of the exposure: the counts of a daemon that
    /// restarts vanish from the reports.
    std::int64_t Exposed = 0;
    /// The number of all calls when the reports were last complete.
    std::int64_t Total = 0;
    /// When this instance saw the current stage, and the number of answers of
    /// the new version then.
    Time StageSince;
    std::int64_t AnswersBeforeStage = 0;
    int ShareChanges = 0;
    Time NextShareChange;
  };
  /// What the counts say about the new version.
  struct Verdict {
    std::string Reason;
    /// The evidence does not suffice for a decision, but is not reassuring.
    bool Doubtful = false;
    double Slowdown = 0;
    /// The probability of as many failures if the version is good.
    double Chance = 1;
  };
  struct Rates {
    double PerSecond = 0;
    double MostPerSecond = 0;
    double LatestPerSecond = 0;
    /// Whether the counts cover enough time.
    bool Known = false;
  };

  void take(const wire::Setting &Setting, Time Now);
  void observe(Item &Observed, const RolloutView &View, Time Now) const;
  static SumsByRoute difference(const Sample &Later, const Sample &Earlier);
  static Rates ratesOf(const Item &Observed);
  Verdict judge(const Item &Observed) const;
  static void judgeWindow(const SumsByRoute &Window, const SumsByRoute &Whole,
                          RolloutStage Stage, bool WithTimes, Verdict &Out);
  /// Returns the number of answers of the new version.
  static std::int64_t newAnswers(const Item &Observed);
  std::optional<RolloutDecision> decide(Item &Observed, const RolloutView &View,
                                        Time Now) const;
  std::optional<RolloutDecision>
  decideCanary(Item &Observed, const Verdict &Judged, const Rates &Traffic,
               milliseconds Elapsed, Time Now) const;
  std::optional<RolloutDecision>
  decideFull(const Item &Observed, const RolloutView &View,
             const Verdict &Judged, const Rates &Traffic, milliseconds Elapsed,
             Time Now) const;
  RolloutDecision makeDecision(const Item &Observed, Rollout Next,
                               std::string_view Reason, const Verdict &Judged,
                               const Rates &Traffic,
                               milliseconds Elapsed) const;
  /// Returns the requests that the new version may get in all if the service
  /// gets \p Total.
  double allowed(double Total) const {
    return this->Bounds.ExposureShare * Total + this->Bounds.ExposureSlack;
  }
  static milliseconds elapsed(const Item &Observed, Time Now);

  RolloutBounds Bounds;
  Time NextTick;
  /// By path.
  std::map<std::string, Item, std::less<>> Items;
};

/// Returns the probability of at least \p Hits in \p Trials independent trials
/// with probability \p Chance each.
double binomialTail(std::int64_t Hits, std::int64_t Trials, double Chance);

} // namespace persimmon
