#include "loadreplay.h"
#include "nestedreplay.h"

#include "libpersimmon/nestedloadguard.h"
#include "libpersimmon/nestedroutedetector.h"
#include "libpersimmon/retrybudget.h"
#include "libpersimmon/shedmeter.h"
#include "libpersimmon/targetwatch.h"
#include "libpersimmon/trafficsplit.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <iostream>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};

/// A target of eight slots under a burst of twice what it can run.
ReplayedLoad burst() {
  ReplayedLoad Out;
  Out.Slots = 8;
  Out.Routes = {{"lookup", 98, 60, 60, milliseconds(200), milliseconds(500)},
                {"booking", 99, 20, 78, milliseconds(250), milliseconds(600)}};
  Out.BurstFactor = 2.6;
  Out.BurstFrom = milliseconds(5'000);
  Out.BurstUntil = milliseconds(25'000);
  Out.Length = milliseconds(30'000);
  return Out;
}

TargetAnnounced said(const char *Id, std::int64_t Born, std::int64_t Sequence,
                     wire::TargetState::type State) {
  TargetAnnounced Out;
  Out.Service = "team/work";
  Out.Slots = 2;
  Out.InstanceId = Id;
  Out.Born = Born;
  Out.Sequence = Sequence;
  Out.State = State;
  return Out;
}

} // namespace

TEST_CASE("in a burst more callers are answered in useful time") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    const auto Before = replay(burst(), ReplayedPolicy::Deadline, Seed);
    const auto After = replay(burst(), ReplayedPolicy::Useful, Seed);
    INFO("seed " << Seed);
    const int UsefulBefore = Before[0].Useful + Before[1].Useful;
    const int UsefulAfter = After[0].Useful + After[1].Useful;
    CHECK(UsefulAfter > UsefulBefore);
    // The more important kind is served before the other one.
    CHECK(After[1].Useful * After[0].Arrived >
          After[0].Useful * After[1].Arrived);
    // Whoever cannot be served is told at once, but for few.
    const int Later = After[0].RefusedLater + After[1].RefusedLater;
    CHECK(Later * 5 < After[0].Arrived + After[1].Arrived);
    if (Seed == 1)
      std::cout << "burst, useful of " << After[0].Arrived + After[1].Arrived
                << ": " << UsefulBefore << " before, " << UsefulAfter
                << " after\n";
  }
}

TEST_CASE("a call that comes back has less time and goes before its equals") {
  RunTimes Times;
  WaitingLine Line(Times);
  WaitingCall New;
  New.Id.Number = 1;
  New.UsefulUntil = Start + milliseconds(300);
  WaitingCall Back = New;
  Back.Id.Number = 2;
  Back.UsefulUntil = Start + milliseconds(200);
  WaitingCall Urgent = New;
  Urgent.Id.Number = 3;
  Urgent.Priority = 1;
  Line.add(New);
  Line.add(Back);
  Line.add(Urgent);
  CHECK(Line.takeNext().Id.Number == 3);
  CHECK(Line.takeNext().Id.Number == 2);
  CHECK(Line.takeNext().Id.Number == 1);
}

TEST_CASE("nested calls go first and late ones after their equals") {
  RunTimes Times;
  Times.note("route", 100);
  WaitingLine Line(Times);
  WaitingCall Fresh;
  Fresh.Id.Number = 1;
  Fresh.Route = "route";
  Fresh.Priority = 1;
  Fresh.UsefulUntil = Start + milliseconds(300);
  WaitingCall Late = Fresh;
  Late.Id.Number = 2;
  Late.Late = true;
  Late.UsefulUntil = Start + milliseconds(250);
  WaitingCall Nested = Fresh;
  Nested.Id.Number = 3;
  Nested.Priority = 0;
  Nested.Nested = true;
  Line.add(Late);
  Line.add(Fresh);
  // A late call is admitted only to room that is there now.
  CHECK(!Line.canServe(Late, {1, 100}, Start));
  Line.add(Nested);
  CHECK(Line.takeNext().Id.Number == 3);
  CHECK(Line.takeNext().Id.Number == 1);
  CHECK(Line.takeNext().Id.Number == 2);
}

TEST_CASE("calls that others pushed out of their useful time are given up") {
  RunTimes Times;
  Times.note("route", 100);
  WaitingLine Line(Times);
  WaitingCall Least;
  Least.Id.Number = 1;
  Least.Route = "route";
  Least.UsefulUntil = Start + milliseconds(220);
  Least.Deadline = Start + milliseconds(500);
  const SlotState State{1, 100};
  REQUIRE(Line.canServe(Least, State, Start));
  Line.add(Least);
  CHECK(Line.takeHopeless(State, Start).empty());
  for (std::int64_t I = 2; I <= 3; ++I) {
    WaitingCall More = Least;
    More.Id.Number = I;
    More.Priority = 1;
    More.UsefulUntil = Start + milliseconds(400);
    Line.add(More);
  }
  const auto GivenUp = Line.takeHopeless(State, Start);
  REQUIRE(GivenUp.size() == 1);
  CHECK(GivenUp[0].Id.Number == 1);
}

TEST_CASE("a split keeps its shares in every short run of calls") {
  RouteSpec Route;
  Route.Path = "team/routes/r";
  Route.Parts = {{"team/a", 90}, {"team/b", 10}, {"team/c", 0}};
  TrafficSplit Split(7);
  for (int Run = 0; Run < 10; ++Run) {
    std::map<std::string, int> Count;
    for (int I = 0; I < 100; ++I)
      Count[Split.next(Route).Service] += 1;
    CHECK(Count["team/a"] >= 89);
    CHECK(Count["team/b"] >= 9);
    CHECK(Count["team/c"] == 0);
  }
}

TEST_CASE("callers that come back are told from new ones") {
  ReturnDetector Returns;
  CHECK(Returns.note("r", milliseconds(498)).count() == 0);
  CHECK(Returns.note("r", milliseconds(500)).count() == 0);
  CHECK(Returns.note("r", milliseconds(490)).count() == 0);
  CHECK(Returns.note("r", milliseconds(350)).count() == 150);
  CHECK(Returns.note("other", milliseconds(350)).count() == 0);
}

TEST_CASE("routes that only targets of one service use carry nested calls") {
  NestedRouteDetector Origins;
  bool Nested = false;
  for (int I = 0; I < 100; ++I) {
    Nested = Origins.recordCall("inner", "team/a", 2);
    CHECK(!Origins.recordCall("outer", I % 4 == 0 ? "team/b" : "team/a", 2));
  }
  CHECK(Nested);
  CHECK(!Origins.recordCall("inner", "team/b", 2));
  NestedRouteDetector OneService;
  for (int I = 0; I < 100; ++I)
    CHECK(!OneService.recordCall("any", "team/a", 1));
}

TEST_CASE("a short called service does not push out more important calls") {
  NestedLoad Load;
  Load.OuterPerSecond = 600;
  Load.OuterSlots = 72;
  Load.DirectPerSecond = 240;
  Load.InnerSlots = 12;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    const auto Before = replayNested(Load, NestedPolicy::ByRoute, Seed);
    const auto First = replayNested(Load, NestedPolicy::First, Seed);
    const auto After = replayNested(Load, NestedPolicy::Guarded, Seed);
    // Outer calls come late when nested ones wait their turn, and direct calls
    // are pushed out when they do not. Neither is left behind with the guard.
    CHECK(After.DirectUseful > First.DirectUseful * 1.5);
    CHECK(After.OuterUseful > Before.OuterUseful * 1.5);
    CHECK(After.OuterFailed < 0.01);
    // The less important kind is not served better than the other.
    CHECK(After.OuterUseful < After.DirectUseful + 0.05);
    if (Seed == 1)
      std::cout << "nested, useful outer/direct: by route "
                << Before.OuterUseful << "/" << Before.DirectUseful
                << ", first " << First.OuterUseful << "/" << First.DirectUseful
                << ", guarded " << After.OuterUseful << "/"
                << After.DirectUseful << "\n";
  }
}

TEST_CASE("with room for all no call is refused for the sake of nested ones") {
  NestedLoad Load;
  Load.OuterPerSecond = 300;
  Load.OuterSlots = 72;
  Load.DirectPerSecond = 100;
  Load.InnerSlots = 12;
  const auto After = replayNested(Load, NestedPolicy::Guarded, 1);
  CHECK(After.OuterUseful > 0.97);
  CHECK(After.DirectUseful > 0.97);
}

TEST_CASE("only routes whose runs make calls are cut down, and they return") {
  NestedLoadGuard Guard(5);
  Time Now = Start;
  // Runs of two routes by turns; only those of "calls" make nested calls.
  const auto Play = [&](milliseconds Span, bool Refused) {
    for (const Time End = Now + Span; Now < End; Now += milliseconds(20)) {
      const std::int64_t Before = Guard.nestedCount();
      Guard.admit("calls", 5, Now);
      Guard.admit("plain", 5, Now);
      Guard.nestedEnded({Refused, {}}, Now);
      Guard.runEnded("calls", Before, milliseconds(20), 1, Now);
      Guard.runEnded("plain", Guard.nestedCount(), milliseconds(20), 1, Now);
    }
  };
  Play(milliseconds(2000), false);
  CHECK(Guard.refusedShare("calls") == 0);
  Play(milliseconds(2000), true);
  CHECK(Guard.refusedShare("calls") > 0.5);
  CHECK(Guard.refusedShare("plain") == 0);
  Play(milliseconds(4000), false);
  CHECK(Guard.refusedShare("calls") < 0.1);
}

TEST_CASE("calls make room for equals as far as these are turned away") {
  NestedLoadGuard Guard(5);
  Time Now = Start;
  const auto Play = [&](int ShedPriority, int PerMille) {
    wire::ShedLoad Shed;
    Shed.Priority = ShedPriority;
    Shed.PerMille = PerMille;
    for (const Time End = Now + std::chrono::seconds(5); Now < End;
         Now += milliseconds(20)) {
      const std::int64_t Before = Guard.nestedCount();
      Guard.admit("calls", 5, Now);
      Guard.nestedEnded({false, Shed}, Now);
      Guard.runEnded("calls", Before, milliseconds(20), 1, Now);
    }
    return Guard.refusedShare("calls");
  };
  CHECK(Play(4, 500) == 0);
  const double ForEquals = Play(5, 300);
  CHECK(ForEquals > 0.2);
  CHECK(ForEquals < 0.35);
  CHECK(Play(6, 300) > 0.8);
}

TEST_CASE("a daemon tells which calls it turns away, and forgets it") {
  ShedMeter Meter;
  for (int I = 0; I < 20; ++I) {
    Meter.note(7, false, Start + milliseconds(10 * I));
    Meter.note(6, I % 2 == 0, Start + milliseconds(10 * I));
  }
  Meter.note(7, false, Start + milliseconds(210));
  const wire::ShedLoad Told = Meter.report(Start + milliseconds(220));
  CHECK(Told.Priority == 6);
  CHECK(Told.PerMille == 500);
  CHECK(Meter.report(Start + std::chrono::seconds(2)).PerMille == 0);
}

TEST_CASE("the retry burst is shared among the daemons") {
  RetryBudget Budget;
  Budget.setBurst(20, 10);
  for (int I = 0; I < 1000; ++I)
    Budget.deposit("team/work", 10);
  CHECK(Budget.tryWithdraw("team/work"));
  CHECK(Budget.tryWithdraw("team/work"));
  CHECK(!Budget.tryWithdraw("team/work"));
}

TEST_CASE("late announcements and those of an earlier run change nothing") {
  using State = wire::TargetState;
  TargetWatch Watch;
  CHECK(Watch.announce(said("a", 100, 5, State::Serving)) ==
        AnnouncementVerdict::Accepted);
  CHECK(Watch.announce(said("a", 100, 6, State::Serving)) ==
        AnnouncementVerdict::Unchanged);
  CHECK(Watch.announce(said("a", 100, 4, State::Draining)) ==
        AnnouncementVerdict::Outdated);
  CHECK(Watch.announce(said("b", 200, 1, State::Serving)) ==
        AnnouncementVerdict::Accepted);
  CHECK(Watch.announce(said("a", 100, 9, State::Draining)) ==
        AnnouncementVerdict::OtherRun);
  CHECK(Watch.current().InstanceId == "b");
  // The same id may be a new process, whose count starts anew.
  CHECK(Watch.announce(said("b", 300, 1, State::Serving)) ==
        AnnouncementVerdict::Accepted);
}

TEST_CASE("a run that left is not believed to be ready again") {
  using State = wire::TargetState;
  TargetWatch Watch;
  Watch.announce(said("a", 100, 5, State::Serving));
  CHECK(!Watch.leave("other"));
  CHECK(Watch.leave("a"));
  CHECK(Watch.current().State == State::Draining);
  Watch.announce(said("a", 100, 6, State::Serving));
  CHECK(Watch.current().State == State::Draining);
  Watch.announce(said("b", 200, 1, State::Serving));
  CHECK(Watch.current().State == State::Serving);
}

TEST_CASE("a target that is lost returns with its next announcement") {
  using State = wire::TargetState;
  TargetWatch Watch;
  CHECK(!Watch.lost());
  Watch.announce(said("a", 100, 5, State::Serving));
  CHECK(Watch.lost());
  CHECK(!Watch.lost());
  CHECK(Watch.announce(said("a", 100, 5, State::Serving)) ==
        AnnouncementVerdict::Outdated);
  CHECK(Watch.announce(said("a", 100, 6, State::Serving)) ==
        AnnouncementVerdict::Accepted);
}
