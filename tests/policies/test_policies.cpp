#include "loadsimulation.h"
#include "nestedsimulation.h"

#include "libpersimmon/nestedloadlimiter.h"
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

/// Load of a target of eight slots, with a burst of twice its capacity.
SimulatedLoad burstLoad() {
  SimulatedLoad Out;
  Out.Slots = 8;
  Out.Routes = {{"lookup", 98, 60, 60, milliseconds(200), milliseconds(500)},
                {"booking", 99, 20, 78, milliseconds(250), milliseconds(600)}};
  Out.BurstFactor = 2.6;
  Out.BurstFrom = milliseconds(5'000);
  Out.BurstUntil = milliseconds(25'000);
  Out.Length = milliseconds(30'000);
  return Out;
}

TargetAnnounced announcement(const char *Id, std::int64_t Born,
                             std::int64_t Sequence,
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

TEST_CASE("during a burst more calls are answered in useful time") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    const auto Before = simulateLoad(burstLoad(), QueuePolicy::Deadline, Seed);
    const auto After = simulateLoad(burstLoad(), QueuePolicy::Useful, Seed);
    INFO("seed " << Seed);
    const int UsefulBefore = Before[0].Useful + Before[1].Useful;
    const int UsefulAfter = After[0].Useful + After[1].Useful;
    CHECK(UsefulAfter > UsefulBefore);
    // The route of higher priority is served to a larger share.
    CHECK(After[1].Useful * After[0].Arrived >
          After[0].Useful * After[1].Arrived);
    // Most calls that cannot be served are refused on arrival.
    const int Later = After[0].RefusedLater + After[1].RefusedLater;
    CHECK(Later * 5 < After[0].Arrived + After[1].Arrived);
    if (Seed == 1)
      std::cout << "burst, useful of " << After[0].Arrived + After[1].Arrived
                << ": " << UsefulBefore << " before, " << UsefulAfter
                << " after\n";
  }
}

TEST_CASE("a retried call with less time left precedes calls of its priority") {
  RunTimeEstimates RunTimes;
  AdmissionQueue Queue(RunTimes);
  WaitingCall New;
  New.Id.Number = 1;
  New.UsefulUntil = Start + milliseconds(300);
  WaitingCall Retried = New;
  Retried.Id.Number = 2;
  Retried.UsefulUntil = Start + milliseconds(200);
  WaitingCall Urgent = New;
  Urgent.Id.Number = 3;
  Urgent.Priority = 1;
  Queue.add(New);
  Queue.add(Retried);
  Queue.add(Urgent);
  CHECK(Queue.takeNext().Id.Number == 3);
  CHECK(Queue.takeNext().Id.Number == 2);
  CHECK(Queue.takeNext().Id.Number == 1);
}

TEST_CASE("nested calls come first, late calls last in their priority") {
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
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
  Queue.add(Late);
  Queue.add(Fresh);
  // A late call is admitted only if it is predicted to end well in time.
  CHECK(!Queue.canServe(Late, {1, 100}, Start));
  Queue.add(Nested);
  CHECK(Queue.takeNext().Id.Number == 3);
  CHECK(Queue.takeNext().Id.Number == 1);
  CHECK(Queue.takeNext().Id.Number == 2);
}

TEST_CASE("calls that others delay beyond their useful time are removed") {
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
  WaitingCall LowPriority;
  LowPriority.Id.Number = 1;
  LowPriority.Route = "route";
  LowPriority.UsefulUntil = Start + milliseconds(220);
  LowPriority.Deadline = Start + milliseconds(500);
  const SlotState State{1, 100};
  REQUIRE(Queue.canServe(LowPriority, State, Start));
  Queue.add(LowPriority);
  CHECK(Queue.takeUnservable(State, Start).empty());
  for (std::int64_t I = 2; I <= 3; ++I) {
    WaitingCall HighPriority = LowPriority;
    HighPriority.Id.Number = I;
    HighPriority.Priority = 1;
    HighPriority.UsefulUntil = Start + milliseconds(400);
    Queue.add(HighPriority);
  }
  const auto Removed = Queue.takeUnservable(State, Start);
  REQUIRE(Removed.size() == 1);
  CHECK(Removed[0].Id.Number == 1);
}

TEST_CASE("a traffic split matches its weights in every hundred calls") {
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

TEST_CASE("retried calls are told apart from new ones") {
  RetryDetector Detector;
  CHECK(Detector.timeSinceFirstTry("r", milliseconds(498)).count() == 0);
  CHECK(Detector.timeSinceFirstTry("r", milliseconds(500)).count() == 0);
  CHECK(Detector.timeSinceFirstTry("r", milliseconds(490)).count() == 0);
  CHECK(Detector.timeSinceFirstTry("r", milliseconds(350)).count() == 150);
  CHECK(Detector.timeSinceFirstTry("other", milliseconds(350)).count() == 0);
}

TEST_CASE("routes used only by targets of one service carry nested calls") {
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

TEST_CASE("nested calls do not displace calls of higher priority") {
  NestedLoad Load;
  Load.OuterPerSecond = 600;
  Load.OuterSlots = 72;
  Load.DirectPerSecond = 240;
  Load.InnerSlots = 12;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    const auto Before =
        simulateNestedLoad(Load, NestedPolicy::ByPriority, Seed);
    const auto First = simulateNestedLoad(Load, NestedPolicy::First, Seed);
    const auto After = simulateNestedLoad(Load, NestedPolicy::Limited, Seed);
    // If nested calls are queued by priority, outer calls are late; if nested
    // calls go first, direct calls are displaced. The limiter prevents both.
    CHECK(After.DirectUseful > First.DirectUseful * 1.5);
    CHECK(After.OuterUseful > Before.OuterUseful * 1.5);
    CHECK(After.OuterFailed < 0.01);
    // Outer calls, of lower priority, are not served better than direct ones.
    CHECK(After.OuterUseful < After.DirectUseful + 0.05);
    if (Seed == 1)
      std::cout << "nested, useful outer/direct: by priority "
                << Before.OuterUseful << "/" << Before.DirectUseful
                << ", first " << First.OuterUseful << "/" << First.DirectUseful
                << ", limited " << After.OuterUseful << "/"
                << After.DirectUseful << "\n";
  }
}

TEST_CASE("with enough capacity the nested load limiter refuses few calls") {
  NestedLoad Load;
  Load.OuterPerSecond = 300;
  Load.OuterSlots = 72;
  Load.DirectPerSecond = 100;
  Load.InnerSlots = 12;
  const auto After = simulateNestedLoad(Load, NestedPolicy::Limited, 1);
  CHECK(After.OuterUseful > 0.97);
  CHECK(After.DirectUseful > 0.97);
}

TEST_CASE("only routes with nested calls are limited, and they recover") {
  NestedLoadLimiter Limiter(5);
  Time Now = Start;
  // Alternating runs of two routes; only those of "calls" make nested calls.
  const auto RunCalls = [&](milliseconds Span, bool Refused) {
    for (const Time End = Now + Span; Now < End; Now += milliseconds(20)) {
      const std::int64_t Before = Limiter.nestedCount();
      Limiter.admit("calls", 5, Now);
      Limiter.admit("plain", 5, Now);
      Limiter.nestedEnded({Refused, {}}, Now);
      Limiter.runEnded("calls", Before, milliseconds(20), 1, Now);
      Limiter.runEnded("plain", Limiter.nestedCount(), milliseconds(20), 1,
                       Now);
    }
  };
  RunCalls(milliseconds(2000), false);
  CHECK(Limiter.refusedShare("calls") == 0);
  RunCalls(milliseconds(2000), true);
  CHECK(Limiter.refusedShare("calls") > 0.5);
  CHECK(Limiter.refusedShare("plain") == 0);
  RunCalls(milliseconds(4000), false);
  CHECK(Limiter.refusedShare("calls") < 0.1);
}

TEST_CASE("calls of equal priority are refused to the same share") {
  NestedLoadLimiter Limiter(5);
  Time Now = Start;
  const auto RunCalls = [&](int ShedPriority, int PerMille) {
    wire::ShedLoad Shed;
    Shed.Priority = ShedPriority;
    Shed.PerMille = PerMille;
    for (const Time End = Now + std::chrono::seconds(5); Now < End;
         Now += milliseconds(20)) {
      const std::int64_t Before = Limiter.nestedCount();
      Limiter.admit("calls", 5, Now);
      Limiter.nestedEnded({false, Shed}, Now);
      Limiter.runEnded("calls", Before, milliseconds(20), 1, Now);
    }
    return Limiter.refusedShare("calls");
  };
  CHECK(RunCalls(4, 500) == 0);
  const double ForEquals = RunCalls(5, 300);
  CHECK(ForEquals > 0.2);
  CHECK(ForEquals < 0.35);
  CHECK(RunCalls(6, 300) > 0.8);
}

TEST_CASE("a daemon reports the share of calls it shed recently") {
  ShedMeter Meter;
  for (int I = 0; I < 20; ++I) {
    Meter.countCall(7, false, Start + milliseconds(10 * I));
    Meter.countCall(6, I % 2 == 0, Start + milliseconds(10 * I));
  }
  Meter.countCall(7, false, Start + milliseconds(210));
  const wire::ShedLoad Reported = Meter.report(Start + milliseconds(220));
  CHECK(Reported.Priority == 6);
  CHECK(Reported.PerMille == 500);
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

TEST_CASE("late announcements and those of an earlier run are ignored") {
  using State = wire::TargetState;
  TargetWatch Watch;
  CHECK(Watch.announce(announcement("a", 100, 5, State::Serving)) ==
        AnnouncementResult::Accepted);
  CHECK(Watch.announce(announcement("a", 100, 6, State::Serving)) ==
        AnnouncementResult::Unchanged);
  CHECK(Watch.announce(announcement("a", 100, 4, State::Draining)) ==
        AnnouncementResult::Outdated);
  CHECK(Watch.announce(announcement("b", 200, 1, State::Serving)) ==
        AnnouncementResult::Accepted);
  CHECK(Watch.announce(announcement("a", 100, 9, State::Draining)) ==
        AnnouncementResult::OtherRun);
  CHECK(Watch.current().InstanceId == "b");
  // A new process may have the same id; its sequence numbers start again.
  CHECK(Watch.announce(announcement("b", 300, 1, State::Serving)) ==
        AnnouncementResult::Accepted);
}

TEST_CASE("a run that announced its leave does not become ready again") {
  using State = wire::TargetState;
  TargetWatch Watch;
  Watch.announce(announcement("a", 100, 5, State::Serving));
  CHECK(!Watch.leave("other", 0, 1000));
  CHECK(Watch.leave("a", 0, 1000));
  CHECK(Watch.current().State == State::Draining);
  Watch.announce(announcement("a", 100, 6, State::Serving));
  CHECK(Watch.current().State == State::Draining);
  Watch.announce(announcement("b", 200, 1, State::Serving));
  CHECK(Watch.current().State == State::Serving);
}

TEST_CASE("a target marked as gone returns with its next announcement") {
  using State = wire::TargetState;
  TargetWatch Watch;
  CHECK(!Watch.markGone());
  Watch.announce(announcement("a", 100, 5, State::Serving));
  CHECK(Watch.markGone());
  CHECK(!Watch.markGone());
  CHECK(Watch.announce(announcement("a", 100, 5, State::Serving)) ==
        AnnouncementResult::Outdated);
  CHECK(Watch.announce(announcement("a", 100, 6, State::Serving)) ==
        AnnouncementResult::Accepted);
}
