#include "rolloutsimulation.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>

using namespace persimmon;

namespace {

constexpr unsigned Runs = 12;
/// rollbackS of the platform.
constexpr milliseconds RollbackLimit{5000};
constexpr double MeanRunMs = 150;

/// Run times of a good version: exponential above a least time, as the work of
/// the deployments, on targets whose speeds differ.
SimulatedAnswer good(std::mt19937 &Rng) {
  SimulatedAnswer Out;
  const double Speeds[] = {2.0, 1.0, 1.0, 0.67};
  Out.RunMs = std::min(900.0, Speeds[Rng() % 4] *
                                  (40 + std::exponential_distribution<double>(
                                            1 / (MeanRunMs - 40))(Rng)));
  return Out;
}

bool chance(double Probability, std::mt19937 &Rng) {
  return std::uniform_real_distribution<double>(0, 1)(Rng) < Probability;
}

RolloutConditions conditions(double CallsPerSecond, double DurationS) {
  RolloutConditions Out;
  Out.CallsPerSecond = CallsPerSecond;
  Out.DurationS = DurationS;
  Out.Answer = [](bool, int, milliseconds, bool, std::mt19937 &Rng) {
    return good(Rng);
  };
  return Out;
}

struct Tally {
  int Completed = 0;
  int RolledBack = 0;
  int InTime = 0;
  double MostExcess = -1e9;
  int MostUnderWay = 0;
  milliseconds Latest{-1};
  milliseconds LatestEnd{0};
  std::int64_t MostBad = 0;
  std::string Lines;
};

Tally playAll(const RolloutConditions &Given) {
  Tally Out;
  for (unsigned Seed = 1; Seed <= Runs; ++Seed) {
    const RolloutResult Result = simulateRollout(Given, Seed);
    Out.Completed += Result.State == RolloutState::Completed ? 1 : 0;
    Out.RolledBack += Result.State == RolloutState::RolledBack ? 1 : 0;
    Out.InTime +=
        Result.State == RolloutState::Completed &&
                Result.EndedAt <=
                    milliseconds(static_cast<int>(Given.DurationS * 1000))
            ? 1
            : 0;
    Out.MostExcess = std::max(Out.MostExcess, Result.excess(RolloutBounds()));
    Out.MostUnderWay = std::max(
        Out.MostUnderWay,
        Result.State == RolloutState::Completed ? Result.UnderWayAtEnd : 0);
    Out.Latest = std::max(Out.Latest, Result.LastCallAfterManyBad);
    Out.LatestEnd = std::max(Out.LatestEnd, Result.EndedAt);
    Out.MostBad = std::max(Out.MostBad, Result.Bad);
    for (const std::string &Line : Result.Lines)
      Out.Lines += std::to_string(Seed) + " " + Line + "\n";
  }
  // For measurements by hand.
  if (std::getenv("ROLLOUT_REPORT") != nullptr)
    WARN("rate " << Given.CallsPerSecond << " duration " << Given.DurationS
                 << ": completed " << Out.Completed << " (in time "
                 << Out.InTime << ") rolled back " << Out.RolledBack << " of "
                 << Runs << ", excess " << Out.MostExcess << ", under way "
                 << Out.MostUnderWay << ", after 50 bad " << Out.Latest.count()
                 << " ms, last end " << Out.LatestEnd.count() << " ms, bad "
                 << Out.MostBad << "\n"
                 << Out.Lines);
  INFO(Out.Lines);
  CHECK(Out.MostExcess <= 0);
  CHECK(Out.Latest < RollbackLimit);
  CHECK(Out.MostUnderWay == 0);
  return Out;
}

} // namespace

// Guards against a good version that misses its deadline, and against one that
// gets more calls than a bad one may.
TEST_CASE("a good version is completed by its deadline") {
  const double Rate = GENERATE(3.0, 20.0, 100.0, 300.0, 1000.0);
  const double Duration = GENERATE(12.0, 16.0);
  const Tally Result = playAll(conditions(Rate, Duration));
  INFO("rate " << Rate << " duration " << Duration);
  CHECK(Result.RolledBack == 0);
  CHECK(Result.Completed == static_cast<int>(Runs));
  // Few answers have to be awaited longer.
  constexpr double FewCallsPerSecond = 10;
  const int LateMs = Rate < FewCallsPerSecond ? 5000 : 2000;
  CHECK(Result.LatestEnd <
        milliseconds(static_cast<int>(Duration * 1000) + LateMs));
}

// Guards against a trouble of both versions that is held against the new one.
TEST_CASE("a good version is completed while both versions are in trouble") {
  RolloutConditions Given = conditions(300, 14);
  Given.Answer = [](bool, int Route, milliseconds SinceOrder, bool,
                    std::mt19937 &Rng) {
    SimulatedAnswer Out = good(Rng);
    // A nested service fails for a while; machines are slowed down.
    const bool Trouble = SinceOrder > milliseconds(4000) &&
                         SinceOrder < milliseconds(7000) && Route == 1;
    Out.Failed = Trouble && chance(0.3, Rng);
    if (chance(0.15, Rng))
      Out.RunMs = std::min(900.0, Out.RunMs * 2.5);
    return Out;
  };
  const Tally Result = playAll(Given);
  CHECK(Result.RolledBack == 0);
  CHECK(Result.Completed == static_cast<int>(Runs));
}

TEST_CASE("a good version is completed although the load varies") {
  RolloutConditions Given = conditions(200, 13);
  SECTION("a burst in the middle") {
    Given.Load = [](Time Now) {
      const auto T = Now - Time(std::chrono::hours(1));
      return T > milliseconds(5000) && T < milliseconds(8000) ? 2.5 : 1.0;
    };
  }
  SECTION("a rise at the end") {
    Given.Load = [](Time Now) {
      const auto T = Now - Time(std::chrono::hours(1));
      return T > milliseconds(10'500) ? 1.5 : 1.0;
    };
  }
  SECTION("the load falls") {
    Given.Load = [](Time Now) {
      const auto T = Now - Time(std::chrono::hours(1));
      return T > milliseconds(6000) ? 0.2 : 1.0;
    };
  }
  const Tally Result = playAll(Given);
  CHECK(Result.RolledBack == 0);
  CHECK(Result.Completed == static_cast<int>(Runs));
}

// Guards against bad versions that keep calls for too long.
TEST_CASE("a bad version is rolled back") {
  const double Rate = GENERATE(20.0, 300.0, 1000.0);
  RolloutConditions Given = conditions(Rate, 14);
  SECTION("failures at once") {
    Given.Answer = [](bool New, int, milliseconds, bool, std::mt19937 &Rng) {
      SimulatedAnswer Out = good(Rng);
      Out.Failed = chance(New ? 0.3 : 0.005, Rng);
      return Out;
    };
  }
  SECTION("failures later") {
    Given.Answer = [](bool New, int, milliseconds SinceOrder, bool,
                      std::mt19937 &Rng) {
      SimulatedAnswer Out = good(Rng);
      Out.Failed = New && SinceOrder > milliseconds(6000) && chance(0.5, Rng);
      return Out;
    };
  }
  SECTION("failures under load") {
    Given.Answer = [](bool New, int, milliseconds, bool FullStage,
                      std::mt19937 &Rng) {
      SimulatedAnswer Out = good(Rng);
      Out.Failed = New && FullStage && chance(0.4, Rng);
      return Out;
    };
  }
  SECTION("failures on one route") {
    Given.Answer = [](bool New, int Route, milliseconds, bool,
                      std::mt19937 &Rng) {
      SimulatedAnswer Out = good(Rng);
      Out.Failed = New && Route == 0 && chance(0.6, Rng);
      return Out;
    };
  }
  SECTION("four times as slow") {
    Given.Answer = [](bool New, int, milliseconds, bool, std::mt19937 &Rng) {
      SimulatedAnswer Out = good(Rng);
      Out.RunMs *= New ? 4 : 1;
      return Out;
    };
  }
  const Tally Result = playAll(Given);
  INFO("rate " << Rate);
  CHECK(Result.Completed == 0);
  CHECK(Result.RolledBack == static_cast<int>(Runs));
}

// Guards against an exposure that was planned for a lower load.
TEST_CASE("the bounds hold for a bad version if the load rises at the end") {
  RolloutConditions Given = conditions(200, 13);
  const milliseconds From(GENERATE(11'500, 11'800, 12'200, 12'500));
  Given.Load = [From](Time Now) {
    return Now - Time(std::chrono::hours(1)) > From ? 1.5 : 1.0;
  };
  Given.Answer = [](bool New, int, milliseconds, bool FullStage,
                    std::mt19937 &Rng) {
    SimulatedAnswer Out = good(Rng);
    Out.Failed = New && FullStage && chance(0.25, Rng);
    return Out;
  };
  const Tally Result = playAll(Given);
  CHECK(Result.Completed == 0);
}

// Guards against a new leader that takes a roll-out for older than it is.
TEST_CASE("the bounds hold if the leader is lost in the middle") {
  RolloutConditions Given = conditions(300, 12);
  Given.LeaderLostAt =
      milliseconds(GENERATE(500, 3000, 9000, 10'500, 11'200, 11'900));
  Given.NewLeaderRestarted = GENERATE(false, true);
  const bool Bad = GENERATE(false, true);
  if (Bad)
    Given.Answer = [](bool New, int, milliseconds, bool, std::mt19937 &Rng) {
      SimulatedAnswer Out = good(Rng);
      Out.Failed = New && chance(0.3, Rng);
      return Out;
    };
  const Tally Result = playAll(Given);
  INFO("lost at " << Given.LeaderLostAt->count() << " restarted "
                  << Given.NewLeaderRestarted << " bad " << Bad);
  CHECK(Result.Completed + Result.RolledBack == static_cast<int>(Runs));
  CHECK((Bad ? Result.Completed : Result.RolledBack) == 0);
}

TEST_CASE("the bounds hold if reports are lost") {
  RolloutConditions Given = conditions(300, 12);
  Given.ReportsLostAt = milliseconds(GENERATE(1000, 6000, 10'500));
  Given.ReportsLostFor = milliseconds(1500);
  const Tally Result = playAll(Given);
  CHECK(Result.RolledBack == 0);
}

TEST_CASE("the tail of a binomial distribution") {
  CHECK(binomialTail(0, 10, 0.5) == 1);
  CHECK(binomialTail(10, 10, 0.5) == Approx(1.0 / 1024));
  CHECK(binomialTail(11, 10, 0.5) == 0);
  CHECK(binomialTail(9, 10, 0.5) == Approx(11.0 / 1024));
  CHECK(binomialTail(3, 3, 0.03) == Approx(2.7e-5));
  CHECK(binomialTail(400, 1000, 0.03) < 1e-100);
}
