#pragma once

#include "libpersimmon/rolloutcontroller.h"
#include "libpersimmon/versionfilter.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace persimmon {

/// The answer of a target in the simulation.
struct SimulatedAnswer {
  double RunMs = 0;
  bool Failed = false;
};

/// Traffic of one service and the daemons' part of a roll-out, as far as the
/// controller sees it: the stages reach the daemons late, and so do the
/// counts the controller.
struct RolloutConditions {
  double CallsPerSecond = 300;
  double DurationS = 12;
  int Routes = 3;
  /// Time until a committed stage is in force on a daemon, at least and at
  /// most.
  milliseconds LeastInForce{50};
  milliseconds MostInForce{300};
  /// Time until the controller sees a count, at most; a quarter of it in the
  /// full stage.
  milliseconds ReportDelay{1000};
  /// Factor of the rate of calls at a time.
  std::function<double(Time)> Load = [](Time) { return 1.0; };
  /// Answers of the old and the new version on a route at a time since the
  /// order. FullStage tells the new version's load.
  std::function<SimulatedAnswer(bool New, int Route, milliseconds SinceOrder,
                                bool FullStage, std::mt19937 &)>
      Answer;
  /// From then on for a time there is no leader.
  std::optional<milliseconds> LeaderLostAt;
  milliseconds LeaderlessFor{1500};
  /// The new leader has just started, and knows nothing of before.
  bool NewLeaderRestarted = false;
  /// When and for how long no report arrives.
  std::optional<milliseconds> ReportsLostAt;
  milliseconds ReportsLostFor{1000};
};

struct RolloutResult {
  RolloutState State = RolloutState::Running;
  milliseconds EndedAt{0};
  std::int64_t Total = 0;
  std::int64_t Exposed = 0;
  /// Calls to the old targets that were under way when it was completed.
  int UnderWayAtEnd = 0;
  /// Time from the 50th bad answer of the new version to the last call that it
  /// got; negative if there were fewer.
  milliseconds LastCallAfterManyBad{-1};
  std::int64_t Bad = 0;
  std::vector<std::string> Lines;

  /// Returns how many calls more the new version got until the deadline than
  /// the bounds allow; at most 0 if they hold.
  double excess(const RolloutBounds &Bounds) const {
    return static_cast<double>(this->Exposed) -
           Bounds.ExposureShare * static_cast<double>(this->Total) -
           Bounds.ExposureSlack;
  }
};

/// Plays a roll-out until it has ended, or long after its deadline.
RolloutResult simulateRollout(const RolloutConditions &Given, unsigned Seed);

} // namespace persimmon
