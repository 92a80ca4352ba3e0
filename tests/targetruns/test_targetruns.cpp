#include "trio.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

using namespace persimmon;

// Guards against calls to a target that left, after its daemon restarted
// (DRAIN).
TEST_CASE("a late announcement does not return a target that was found") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  Case.restartProxy();
  Case.run(milliseconds(1000));
  Case.tell(found("i-1"));
  REQUIRE(Case.state() == State::Serving);
  Case.tell(TargetLeaving{"i-1"});
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born, 7));
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born, 8));
  CHECK(Case.state() == State::Draining);
  Case.run(milliseconds(100));
  Case.tell(announcement("i-1", Case.wallMs(), 1));
  CHECK(Case.state() == State::Serving);
}

TEST_CASE("the leave of a target that is not known yet is kept") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.run(milliseconds(1000));
  Case.tell(TargetLeaving{"i-1"});
  Case.tell(announcement("i-1", Born, 7));
  CHECK(Case.state() == State::Draining);
  Trio Other;
  Other.tell(TargetLeaving{"i-1"});
  Other.tell(found("i-1"));
  CHECK(Other.state() == State::Draining);
}

TEST_CASE("an announcement of a run before the one that was found is ignored") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.run(milliseconds(1000));
  Case.tell(found("i-2"));
  Case.tell(announcement("i-1", Born, 7));
  Case.tell(announcement("i-2", Born + 500, 1));
  CHECK(Case.state() == State::Serving);
}

// Guards against a health check that returns a target after the restart.
TEST_CASE("a restarted daemon knows which target has left") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  Case.run(milliseconds(500));
  Case.tell(TargetLeaving{"i-1"});
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born + 5000, 1));
  CHECK(Case.state() == State::Serving);
}

// Guards against a gossip of its own for each repetition of a leave.
TEST_CASE("a leave that is repeated is announced once") {
  Trio Case;
  Case.tell(TargetLeaving{"i-1", Case.wallMs()});
  const auto Sequence = Case.record().Sequence;
  for (int I = 0; I < 20; ++I)
    Case.tell(TargetLeaving{"i-1", Case.wallMs()});
  CHECK(Case.record().Sequence == Sequence);
}

// Guards against repetitions that displace the leave of another run.
TEST_CASE("a leave is kept beside repeated leaves of another run") {
  Trio Case;
  Case.tell(TargetLeaving{"i-1", Case.wallMs()});
  for (int I = 0; I < 20; ++I)
    Case.tell(TargetLeaving{"i-2", Case.wallMs()});
  Case.tell(announcement("i-1", Case.wallMs(), 1));
  CHECK(Case.state() == State::Draining);
}

TEST_CASE("a restarted daemon knows which target said that it drains") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  Case.tell(announcement("i-1", Born, 3, State::Draining));
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(announcement("i-1", Born, 2));
  CHECK(Case.state() == State::Draining);
}

// Guards against calls to another service that listens at the target's address
// when its daemon starts (ROUTE).
TEST_CASE("a run that the health check finds is not used by that alone") {
  Trio Case;
  Case.use(announcement("i-1", Case.wallMs(), 1));
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.tell(found("i-9"));
  Case.run(milliseconds(3000));
  CHECK(Case.state() == State::None);
  CHECK(Case.record().Target == State::None);
  Case.tell(announcement("i-9", Case.wallMs(), 1));
  CHECK(Case.state() == State::Serving);
}

TEST_CASE("a run that was announced before a restart serves again at once") {
  for (const bool FoundFirst : {true, false}) {
    CAPTURE(FoundFirst);
    Trio Case;
    const std::int64_t Born = Case.wallMs();
    Case.use(announcement("i-1", Born, 1));
    Case.run(milliseconds(500));
    Case.restartProxy();
    if (FoundFirst)
      Case.tell(found("i-1"));
    Case.run(milliseconds(100));
    if (!FoundFirst)
      Case.tell(found("i-1"));
    CHECK(Case.state() == State::Serving);
    CHECK(Case.record().Run.Born == Born);
  }
}

// Guards against the loss of what members know when a daemon restarts again
// before it has heard it.
TEST_CASE("a run is known over two restarts in short succession") {
  Trio Case;
  Case.use(announcement("i-1", Case.wallMs(), 1));
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(20));
  Case.restartProxy();
  Case.run(milliseconds(100));
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::Serving);
}

TEST_CASE("a run of the daemon's former service is not used") {
  Trio Case;
  TargetAnnounced Before = announcement("i-1", Case.wallMs(), 1);
  Before.Service = "team/rest";
  Case.use(Before);
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::None);
}

// Guards against calls to a target whose address another service has taken.
TEST_CASE("a run of another service at the address ends the target") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  // An earlier run, and a service that does not exist.
  Case.tell(TargetDisowned{"i-0", "team/rest", Born - 1});
  Case.tell(TargetDisowned{"i-2", "team/odd", Born + 1});
  CHECK(Case.state() == State::Serving);
  Case.tell(TargetDisowned{"i-2", "team/rest", Born + 1});
  CHECK(Case.state() == State::Gone);
  CHECK(Case.record().Target == State::Gone);
  Case.tell(announcement("i-3", Born + 2, 1));
  CHECK(Case.state() == State::Serving);
}

TEST_CASE("a found run that announces another service is not used") {
  for (const bool FoundFirst : {true, false}) {
    CAPTURE(FoundFirst);
    Trio Case;
    Case.use(announcement("i-1", Case.wallMs(), 1));
    Case.run(milliseconds(500));
    Case.restartProxy();
    if (FoundFirst)
      Case.tell(found("i-1"));
    Case.tell(TargetDisowned{"i-1", "team/rest", 0});
    if (!FoundFirst)
      Case.tell(found("i-1"));
    Case.run(milliseconds(500));
    CHECK(Case.state() == State::None);
  }
}

// Guards against calls that are sent on to an address whose owner has changed.
TEST_CASE("a response of another run ends the target") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  RunFinished Refused;
  Refused.End = RunEnd::Shed;
  Refused.IsOtherRun = true;
  Refused.TargetRun = "i-0";
  Case.tell(Refused);
  CHECK(Case.state() == State::Serving);
  Refused.TargetRun = "i-1";
  Case.tell(Refused);
  CHECK(Case.state() == State::Gone);
  Case.tell(announcement("i-1", Born, 2));
  CHECK(Case.state() == State::Serving);
  TargetProbed Probed{true, true, {}, "i-1", "i-1"};
  Case.tell(Probed);
  CHECK(Case.state() == State::Serving);
  Probed.RespondedRun = "i-2";
  Case.tell(Probed);
  CHECK(Case.state() == State::Gone);
}

// Guards against calls to a target whose leave was acknowledged before the
// control instances and its daemon were killed at once (DRAIN).
TEST_CASE(
    "a late announcement returns no target that left before a herd kill") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  Case.run(milliseconds(1000));
  Case.tell(TargetLeaving{"i-1"});
  Case.run(milliseconds(100));
  Case.restartControl();
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(announcement("i-1", Born, 2));
  CHECK(Case.state() != State::Serving);
  Case.run(milliseconds(2500));
  Case.tell(announcement("i-1", Born, 3));
  CHECK(Case.state() == State::Draining);
  // Its health response may be wrong.
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::Draining);
}

TEST_CASE(
    "a late announcement returns no target that left before all restart") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  Case.tell(TargetLeaving{"i-1"});
  Case.restartAll();
  Case.run(milliseconds(2500));
  Case.tell(announcement("i-1", Born, 2));
  Case.run(milliseconds(5000));
  Case.tell(announcement("i-1", Born, 3));
  CHECK(Case.state() == State::None);
  Case.use(announcement("i-2", Born + 1000, 1));
  CHECK(Case.state() == State::Serving);
}

TEST_CASE(
    "a late announcement returns no target that left before its daemon was "
    "killed") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.use(announcement("i-1", Born, 1));
  Case.tell(TargetLeaving{"i-1"});
  Case.restartProxy();
  Case.tell(announcement("i-1", Born, 2));
  CHECK(Case.state() == State::None);
  Case.run(milliseconds(100));
  Case.tell(found("i-1"));
  Case.tell(announcement("i-1", Born, 3));
  CHECK(Case.state() == State::Draining);
}

// Guards against members that go on telling what a daemon knows.
TEST_CASE("a daemon is told of a former leave until its record names it") {
  Trio Case;
  Case.use(announcement("i-1", Case.wallMs(), 1));
  Case.tell(TargetLeaving{"i-1"});
  Case.run(milliseconds(500));
  Case.restartControl();
  Case.restartProxy();
  Case.run(milliseconds(3000));
  REQUIRE(Case.record().__isset.LeavingRun);
  const int Before = Case.formerTold();
  CHECK(Before > 0);
  Case.run(milliseconds(20'000));
  CHECK(Case.formerTold() == Before);
}

// Guards against a sound target that is never used again.
TEST_CASE(
    "a run that a restarted daemon does not know serves once it is healthy") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.restartAll();
  Case.tell(announcement("i-1", Born, 4));
  CHECK(Case.state() == State::None);
  // An earlier run that is announced late does not displace it.
  Case.tell(announcement("i-0", Born - 1000, 90));
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::Serving);
  CHECK(Case.record().Run.Born == Born);
}

TEST_CASE(
    "a run without healthy responses serves while it goes on announcing") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.restartAll();
  Case.tell(announcement("i-1", Born, 4));
  Case.run(milliseconds(9000));
  Case.tell(announcement("i-1", Born, 5));
  CHECK(Case.state() == State::None);
  Case.run(milliseconds(1500));
  // Sent before the last one.
  Case.tell(announcement("i-1", Born, 3));
  CHECK(Case.state() == State::None);
  Case.tell(announcement("i-1", Born, 6));
  CHECK(Case.state() == State::Serving);
}

// Guards against a target that starts again under the id with which it left,
// and whose daemon restarts meanwhile: it got no calls any more.
TEST_CASE("a later run under the id of one that left serves again") {
  for (const bool FoundFirst : {true, false}) {
    CAPTURE(FoundFirst);
    Trio Case;
    const std::int64_t Born = Case.wallMs();
    Case.use(announcement("i-1", Born, 1));
    Case.run(milliseconds(500));
    Case.tell(TargetLeaving{"i-1"});
    Case.run(milliseconds(500));
    const TargetAnnounced Later = announcement("i-1", Case.wallMs(), 1);
    Case.run(milliseconds(500));
    Case.restartProxy();
    Case.run(milliseconds(500));
    // A late one of the run that left.
    Case.tell(announcement("i-1", Born, 2));
    CHECK(Case.state() != State::Serving);
    if (FoundFirst)
      Case.tell(found("i-1"));
    Case.tell(Later);
    if (!FoundFirst)
      Case.tell(found("i-1"));
    CHECK(Case.state() == State::Serving);
    Case.tell(announcement("i-1", Born, 3));
    CHECK(Case.state() == State::Serving);
  }
}

TEST_CASE("a later run serves again if members only know which one left") {
  Trio Case;
  const std::int64_t Born = Case.wallMs();
  Case.tell(TargetLeaving{"i-1", Born});
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born + 100, 1));
  CHECK(Case.state() == State::Serving);
}
