#include "placementsimulation.h"

#include "libpersimmon/evenplacement.h"
#include "libpersimmon/targetpace.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <iostream>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};

/// Simulates both choices over the same seeds and prints the means.
std::pair<PlacementFigures, PlacementFigures>
compare(const std::string &Name, const PlacementLoad &Load) {
  constexpr std::uint64_t Seeds = 3;
  std::pair<PlacementFigures, PlacementFigures> Out;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Out.first.add(simulatePlacement(Load, false, Seed), 1.0 / Seeds);
    Out.second.add(simulatePlacement(Load, true, Seed), 1.0 / Seeds);
  }
  std::cout << Name << "\n  present: " << Out.first
            << "\n  even:    " << Out.second << std::endl;
  return Out;
}

/// Checks that the even placement answers no fewer calls in useful time, and
/// sends at most \p CrossLimit of all bytes across zones.
void checkBetter(const std::string &Name, const PlacementLoad &Load,
                 double CrossLimit) {
  const auto [Present, Even] = compare(Name, Load);
  // Seeds differ by about this much.
  constexpr double Noise = 0.005;
  CHECK(Even.UsefulShare >= Present.UsefulShare - Noise);
  CHECK(Even.CrossShare <= CrossLimit);
  CHECK(Even.AttemptsPerCall <= Present.AttemptsPerCall);
}

/// A view of the targets a1 and a2 in the own zone and b1 in another one. Each
/// has ten slots; calls run for 100 ms.
struct PlacementFixture {
  EvenPlacement UnderTest{"zone-a", 1};
  std::vector<wire::MemberRecord> Records;
  std::set<std::string> Excluded;
  PlacementRequest Request;
  Time Now = Start;

  PlacementFixture() {
    for (const char *Name : {"a1", "a2", "b1"}) {
      wire::MemberRecord Record;
      Record.Name = Name;
      Record.Zone = std::string("zone-") + Name[0];
      Record.Service = "team/work";
      Record.Slots = 10;
      Record.Incarnation = 1;
      this->Records.push_back(Record);
    }
    this->Request.Service = "team/work";
    this->Request.Route = "route";
    this->Request.Bytes = 1000;
    this->Request.UsefulUntil = this->Now + milliseconds(150);
    // Reports of targets that were never candidates are ignored.
    this->endAll(this->place());
    for (const char *Name : {"a1", "a2", "b1"})
      this->report(Name, 0);
  }

  void report(const char *Name, int Running, int PacePercent = 0,
              bool Nested = false) {
    wire::Load Load;
    Load.Running = Running;
    Load.Slots = 10;
    Load.PacePercent = PacePercent;
    Load.__set_RunMs(100);
    this->UnderTest.reported(Name, "route", Load, Nested, this->Now);
  }

  Placement place() {
    std::vector<PlacementCandidate> Candidates;
    for (const wire::MemberRecord &Record : this->Records) {
      if (this->Excluded.count(Record.Name) == 0)
        Candidates.push_back({&Record});
    }
    return this->UnderTest.place(Candidates, this->Request, this->Now);
  }

  void endAll(const Placement &Placed) {
    if (Placed.Record != nullptr)
      this->UnderTest.ended(Placed.Record->Name);
  }

  /// Returns the targets that get \p Count calls, each of which ends at once.
  std::map<std::string, int> placeMany(int Count) {
    std::map<std::string, int> Out;
    for (int I = 0; I < Count; ++I) {
      const Placement Placed = this->place();
      Out[Placed.Record == nullptr ? "none" : Placed.Record->Name] += 1;
      this->endAll(Placed);
    }
    return Out;
  }
};

} // namespace

// Load pattern: steady load on targets of different speeds, some of them slowed
// at times, in zones of different load. Guards against calls that leave their
// zone although targets there have room, and against targets that are overrun
// in turns.
TEST_CASE("steady load is served in time and stays in its zone") {
  for (const double Share : {0.6, 0.9}) {
    PlacementLoad Load;
    Load.Load = Share;
    checkBetter("load " + std::to_string(Share).substr(0, 3), Load, 0.05);
  }
}

TEST_CASE("overload is not tried around the zones") {
  for (const double Share : {1.2, 1.6}) {
    PlacementLoad Load;
    Load.Load = Share;
    checkBetter("load " + std::to_string(Share).substr(0, 3), Load, 0.03);
  }
}

// Guards against a choice that follows the stated pace so closely that all
// daemons turn to the same fast targets.
TEST_CASE("targets that tell their pace are used in time and evenly") {
  PlacementLoad Load;
  Load.TellsPace = true;
  checkBetter("load 0.9, pace told", Load, 0.05);
}

TEST_CASE("a burst of one kind of calls is served") {
  PlacementLoad Load;
  Load.Load = 0.7;
  Load.BurstFactor = 2.5;
  checkBetter("burst", Load, 0.04);
}

// Guards against idle capacity elsewhere while the own zone is short of it.
TEST_CASE("a zone that loses a third of its targets uses the others") {
  PlacementLoad Load;
  Load.Load = 0.75;
  Load.LosesTargets = true;
  checkBetter("loss of targets", Load, 0.07);
}

TEST_CASE("four zones of a larger deployment are served") {
  PlacementLoad Load;
  Load.Zones = 4;
  Load.Slots = 11;
  Load.TargetsByService = {32, 20, 26};
  checkBetter("four zones", Load, 0.05);
}

// Guards against leaving the zone as soon as some of its targets are full.
TEST_CASE("a call stays in its zone while one target there has room") {
  PlacementFixture F;
  F.report("a1", 12);
  F.report("a2", 5);
  F.report("b1", 0);
  const auto Counts = F.placeMany(50);
  CHECK(Counts.at("a2") == 50);
}

TEST_CASE("small calls leave a full zone before large ones") {
  PlacementFixture F;
  F.report("a1", 25);
  F.report("a2", 25);
  F.report("b1", 2);
  F.Request.Bytes = 400;
  CHECK(F.placeMany(1).count("b1") == 1);
  F.Request.Bytes = 9000;
  F.placeMany(3);
  const Placement Large = F.place();
  CHECK(Large.Record->Zone == "zone-a");
  CHECK(Large.Reason == "own-zone");
}

// Guards against paying for the bytes of a request that is refused.
TEST_CASE("no call crosses to a zone that is full or not known") {
  PlacementFixture F;
  F.report("a1", 40);
  F.report("a2", 40);
  F.report("b1", 40);
  CHECK(F.placeMany(20).count("b1") == 0);
  F.report("b1", 0);
  F.Now += milliseconds(350);
  F.report("a1", 25);
  F.report("a2", 25);
  F.Request.UsefulUntil = F.Now + milliseconds(150);
  // One small call learns the load, the others stay.
  F.Request.Bytes = 400;
  CHECK(F.placeMany(20)["b1"] == 1);
  F.Request.Bytes = 9000;
  F.Now += milliseconds(300);
  F.report("a1", 25);
  F.report("a2", 25);
  F.Request.UsefulUntil = F.Now + milliseconds(150);
  CHECK(F.placeMany(20).count("b1") == 0);
}

// Guards against crossing for the moments in which a target of a full zone has
// room.
TEST_CASE("no call crosses to a zone that is full on average") {
  PlacementFixture F;
  F.report("a1", 40);
  F.report("a2", 40);
  for (int I = 0; I < 50; ++I)
    F.report("b1", 15);
  F.report("b1", 2);
  F.Request.Bytes = 400;
  CHECK(F.placeMany(20).count("b1") == 0);
  for (int I = 0; I < 50; ++I)
    F.report("b1", 2);
  CHECK(F.placeMany(20)["b1"] == 20);
}

TEST_CASE("a refused call is given up when no zone has room") {
  PlacementFixture F;
  F.report("a1", 40);
  F.report("a2", 40);
  F.report("b1", 40);
  F.Excluded = {"a1"};
  F.Request.Refusals = 1;
  const Placement Refused = F.place();
  CHECK(Refused.Record == nullptr);
  CHECK(Refused.Reason == "no-room");
  // The refusal of a nested call would waste the run that made it.
  F.report("a2", 40, 0, true);
  CHECK(F.place().Record->Name == "a2");
}

TEST_CASE("a zone without targets is served by the others") {
  PlacementFixture F;
  F.Excluded = {"a1", "a2"};
  const Placement Placed = F.place();
  REQUIRE(Placed.Record != nullptr);
  CHECK(Placed.Record->Name == "b1");
  CHECK(Placed.Reason == "no-target-in-zone");
}

// Guards against sending all calls to a target that was idle a moment ago.
TEST_CASE("calls sent since the report count") {
  PlacementFixture F;
  F.report("a1", 0);
  F.report("a2", 4);
  std::map<std::string, int> Counts;
  for (int I = 0; I < 12; ++I)
    Counts[F.place().Record->Name] += 1;
  CHECK(Counts["a1"] == 8);
  CHECK(Counts["a2"] == 4);
}

TEST_CASE("an old report gives way to the mean of the zone") {
  PlacementFixture F;
  for (int I = 0; I < 200; ++I)
    F.report("a2", 8);
  F.report("a1", 0);
  CHECK(F.place().Calls < 9);
  F.Now += milliseconds(1000);
  F.Excluded = {"a2"};
  F.Request.UsefulUntil = F.Now + milliseconds(1000);
  F.Request.Bytes = 9000;
  const Placement Placed = F.place();
  CHECK(Placed.ReportAge == milliseconds(1000));
  CHECK(Placed.Calls > 6);
}

// Guards against taking a target at half speed for as good as a fast one.
TEST_CASE("a call without time to spare goes to a fast target") {
  PlacementFixture F;
  F.report("a1", 5, 250);
  F.report("a2", 5, 50);
  CHECK(F.placeMany(20).at("a2") == 20);
}

TEST_CASE("loads are passed on, newer ones win and odd ones are ignored") {
  PlacementFixture F;
  F.report("a1", 7);
  wire::MemberRecord Receiver;
  Receiver.Name = "a2";
  Receiver.Zone = "zone-a";
  F.Now += milliseconds(50);
  const auto Sent = F.UnderTest.loadsFor(Receiver, F.Now);
  REQUIRE(Sent.size() == 2);
  const auto OfA1 =
      std::find_if(Sent.begin(), Sent.end(),
                   [](const auto &Item) { return Item.Name == "a1"; });
  REQUIRE(OfA1 != Sent.end());
  CHECK(OfA1->Calls == 7);
  CHECK(OfA1->AgeMs == 50);
  // A daemon of another zone learns the targets of this zone only.
  Receiver.Zone = "zone-b";
  CHECK(F.UnderTest.loadsFor(Receiver, F.Now).size() == 1);
  F.Excluded = {"a2", "b1"};
  const auto CallsAfter = [&](int Calls, int Slots, int AgeMs) {
    wire::PeerLoad Load;
    Load.Name = "a1";
    Load.Calls = Calls;
    Load.Slots = Slots;
    Load.AgeMs = AgeMs;
    F.UnderTest.heard({Load}, F.Now);
    const Placement Placed = F.place();
    F.endAll(Placed);
    return Placed.Calls;
  };
  const double Before = CallsAfter(0, 10, 60);
  CHECK(Before > 3);
  CHECK(CallsAfter(0, 0, 10) == Before);
  CHECK(CallsAfter(0, -5, 10) == Before);
  CHECK(CallsAfter(0, 10, -10) == Before);
  CHECK(CallsAfter(0, 10, 100'000) == Before);
  CHECK(CallsAfter(9, 10, 10) > Before);
  // Reports that are too old to be of use are not passed on.
  F.Now += milliseconds(1000);
  CHECK(F.UnderTest.loadsFor(Receiver, F.Now).empty());
}

// Guards against acting on a figure that changes several times a second.
TEST_CASE("the stated pace is smoothed and bounded") {
  TargetPace Pace;
  CHECK(Pace.percent() == 0);
  Pace.stated(100, Start);
  CHECK(Pace.percent() == 100);
  Pace.stated(250, Start + milliseconds(30));
  CHECK(Pace.percent() > 105);
  CHECK(Pace.percent() < 130);
  for (int I = 2; I < 40; ++I)
    Pace.stated(250, Start + milliseconds(30 * I));
  CHECK(Pace.percent() > 230);
  TargetPace Odd;
  Odd.stated(1'000'000, Start);
  CHECK(Odd.percent() == 1000);
}

// Guards against a daemon that tells neither the pace nor the run times.
TEST_CASE("the load of a target that tells its pace is reported with it") {
  AttemptScheduler Daemon(1);
  TargetAnnounced Event;
  Event.Service = "team/work";
  Event.Slots = 4;
  Event.State = wire::TargetState::Serving;
  Event.InstanceId = "i-1";
  Event.Sequence = 1;
  Effects Out;
  Daemon.setTarget(Event, Start, Out);
  const auto Run = [&](std::int64_t Number, int PacePercent) {
    wire::CallRequest Request;
    Request.Id.Sender = "p1";
    Request.Id.SenderIncarnation = 1;
    Request.Id.Number = Number;
    Request.Service = "team/work";
    Request.Route = "route";
    Request.RemainingMs = 1000;
    Out.clear();
    Daemon.receive(Request, "p1:1", {}, Start, Out);
    RunFinished Ended;
    Ended.Id = Request.Id;
    Ended.Status = 200;
    Ended.Notice.PacePercent = PacePercent;
    Out.clear();
    Daemon.finished(Ended, Start + milliseconds(80), Out);
    for (const Effect &Item : Out) {
      if (const auto *Answer = std::get_if<SendAnswer>(&Item))
        return Answer->TargetLoad;
    }
    return wire::Load();
  };
  const wire::Load Silent = Run(1, 0);
  CHECK(Silent.PacePercent == 0);
  CHECK(!Silent.__isset.RunMs);
  const wire::Load Told = Run(2, 150);
  CHECK(Told.PacePercent == 150);
  CHECK(Told.RunMs == 80);
  // An answer without the figure does not clear it; another run does.
  CHECK(Run(3, 0).PacePercent == 150);
  Event.InstanceId = "i-2";
  Daemon.setTarget(Event, Start, Out);
  CHECK(Run(4, 0).PacePercent == 0);
}

// Not part of a normal run, since it measures times.
TEST_CASE("processor time of a placement", "[.cost]") {
  for (const int Count : {30, 100, 300}) {
    EvenPlacement UnderTest("zone-0", 1);
    std::vector<wire::MemberRecord> Records(static_cast<std::size_t>(Count));
    std::vector<PlacementCandidate> Candidates;
    for (int I = 0; I < Count; ++I) {
      wire::MemberRecord &Record = Records[static_cast<std::size_t>(I)];
      Record.Name = "node-" + std::to_string(I);
      Record.Zone = "zone-" + std::to_string(I % 3);
      Record.Service = "team/work";
      Record.Slots = 10;
      Candidates.push_back({&Record});
    }
    PlacementRequest Request;
    Request.Service = "team/work";
    Request.Route = "route";
    Request.Bytes = 1000;
    Request.UsefulUntil = Start + milliseconds(150);
    wire::Load Load;
    Load.Slots = 10;
    Load.__set_RunMs(100);
    constexpr int Rounds = 20'000;
    // Idle zones, then a full one, where the other zones are looked at.
    for (const int Running : {2, 30}) {
      const auto From = std::chrono::steady_clock::now();
      for (int I = 0; I < Rounds; ++I) {
        const Placement Placed = UnderTest.place(Candidates, Request, Start);
        Load.Running = Running;
        if (Placed.Record != nullptr) {
          UnderTest.ended(Placed.Record->Name);
          UnderTest.reported(Placed.Record->Name, "route", Load, false, Start);
        }
        UnderTest.heard(UnderTest.loadsFor(Records.front(), Start), Start);
      }
      const std::chrono::duration<double, std::micro> Took =
          std::chrono::steady_clock::now() - From;
      std::cout << "targets=" << Count << " running=" << Running
                << " us=" << Took.count() / Rounds << std::endl;
    }
  }
}
