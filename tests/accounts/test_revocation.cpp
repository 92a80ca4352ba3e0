#include "libhost/suspensionclock.h"
#include "support/fakecluster.h"
#include "support/lonecontrol.h"

#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

constexpr milliseconds ConvergenceTimeout{30'000};
constexpr milliseconds Revocation{5000};
/// A change is in force on all connected daemons after this time.
constexpr milliseconds InForceLimit{2000};
constexpr milliseconds CallTime{9'000};
constexpr std::uint64_t Seeds = 10;

/// Starts control instances and proxies with one service, one route and the
/// account "acme" with the key "key-a".
void prepare(FakeCluster &Cluster, milliseconds Bound) {
  Cluster.setRevocation(Bound);
  for (const char *Name : {"c1", "c2", "c3"})
    Cluster.addControl(Name);
  Cluster.addProxy("p1", "zone-c1", "team/work", 4);
  Cluster.addProxy("p2", "zone-c2", "team/work", 4);
  for (const std::string &Name : Cluster.names())
    Cluster.start(Name);
  Cluster.form("c1");
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  const std::vector<std::pair<std::string, std::string>> Settings = {
      {"team/services/work", "{}"},
      {"team/routes/any", R"({"job":"job","service":"team/work"})"},
      {"team/accounts/acme", R"({"keys":["key-a"]})"},
      {"team/access/callers", R"({"keyRequired":true})"}};
  for (const auto &[Path, Value] : Settings) {
    Cluster.change(Path, Value, 0);
    REQUIRE(
        Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  }
  // Wait until every proxy knows every target.
  Cluster.run(milliseconds(2500));
}

/// Replaces the key "key-a" and waits until the change is acknowledged.
void removeKey(FakeCluster &Cluster) {
  const auto &Settings = Cluster.leader()->control()->store().settings();
  const std::string Change =
      Cluster.change("team/accounts/acme", R"({"keys":["key-other"]})",
                     Settings.at("team/accounts/acme").Version);
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] {
    return Cluster.acceptedVersion(Change).has_value();
  }));
}

struct CallOutcomes {
  int Runs = 0;
  std::map<ResultCode, int> Codes;
};

/// Sends a call with the key "key-a" through p1 every 50 ms for \p Duration.
CallOutcomes callsWithKey(FakeCluster &Cluster, milliseconds Duration) {
  constexpr milliseconds Interval{50};
  std::vector<std::string> Ids;
  for (milliseconds Passed{0}; Passed < Duration; Passed += Interval) {
    Ids.push_back(Cluster.callWithKey("p1", "key-a"));
    Cluster.run(Interval);
  }
  Cluster.run(CallTime);
  CallOutcomes Out;
  for (const std::string &Id : Ids) {
    Out.Runs += Cluster.calls().at(Id).Runs;
    Out.Codes[Cluster.calls().at(Id).Code] += 1;
  }
  return Out;
}

void partitionControls(FakeCluster &Cluster) {
  for (const char *Name : {"c1", "c2", "c3"})
    Cluster.partition(Name, milliseconds(60'000));
}

} // namespace

TEST_CASE("a disconnected proxy serves keys only until the bound") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    FakeCluster Cluster(Seed);
    prepare(Cluster, Revocation);
    // Serves while it is connected, and for a while after.
    CHECK(callsWithKey(Cluster, milliseconds(500)).Runs == 10);
    partitionControls(Cluster);
    INFO("seed " << Seed);
    Cluster.callWithKey("p1", "key-a");
    Cluster.run(Revocation);
    const CallOutcomes Late = callsWithKey(Cluster, milliseconds(1000));
    CHECK(Late.Runs == 0);
    CHECK(Late.Codes.at(ResultCode::NotCurrent) == 20);
    Cluster.checkCalls();
    CHECK(Cluster.violations().empty());
  }
}

TEST_CASE("without strict revocation a disconnected proxy goes on serving") {
  FakeCluster Cluster(1);
  prepare(Cluster, milliseconds(0));
  partitionControls(Cluster);
  Cluster.run(Revocation);
  CHECK(callsWithKey(Cluster, milliseconds(1000)).Runs == 20);
}

TEST_CASE("a proxy that hears of no change does not serve a removed key") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    FakeCluster Cluster(Seed);
    prepare(Cluster, Revocation);
    Cluster.loseDatagrams("p1", true);
    removeKey(Cluster);
    Cluster.run(InForceLimit);
    INFO("seed " << Seed);
    CHECK(callsWithKey(Cluster, milliseconds(1000)).Runs == 0);
  }
}

// The steady clock of a suspended machine stands still, so its confirmations
// seem recent after it.
TEST_CASE("a proxy that was suspended does not serve a removed key") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    FakeCluster Cluster(Seed);
    prepare(Cluster, Revocation);
    // A recent confirmation.
    CHECK(callsWithKey(Cluster, milliseconds(100)).Runs == 2);
    Cluster.callWithKey("p1", "key-a");
    Cluster.run(milliseconds(300));
    Cluster.suspend("p1", milliseconds(8000));
    removeKey(Cluster);
    Cluster.run(milliseconds(8000) - InForceLimit);
    INFO("seed " << Seed);
    CHECK(callsWithKey(Cluster, milliseconds(3000)).Runs == 0);
  }
}

// A parent in the report tree passes confirmations on with their age.
TEST_CASE("a suspended control instance confirms nothing by an old proof") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    FakeCluster Cluster(Seed);
    prepare(Cluster, Revocation);
    const std::string Leader = Cluster.leader()->members().self().Name;
    Cluster.callWithKey("p1", "key-a");
    Cluster.run(milliseconds(100));
    Cluster.suspend(Leader, milliseconds(9000));
    Cluster.run(milliseconds(3000));
    REQUIRE(Cluster.run(ConvergenceTimeout, [&] {
      return Cluster.leader() != nullptr &&
             Cluster.leader()->members().self().Name != Leader;
    }));
    removeKey(Cluster);
    Cluster.run(Revocation);
    INFO("seed " << Seed);
    CHECK(callsWithKey(Cluster, milliseconds(2000)).Runs == 0);
  }
}

// The age that a control instance states would be too short by the suspension.
TEST_CASE("a control instance answers by no proof from before a suspension") {
  constexpr milliseconds TickInterval{20};
  const std::string Address = "c1:1";
  const LeastOfTwo Choice;
  const PeerTopology VersionTopology;
  Time Now{std::chrono::hours(1)};
  const auto Control =
      makeLoneControl(Address, {}, {Choice, VersionTopology}, Now);
  std::int64_t Nonce = 0;
  const auto Submit = [&](EventBody Body) {
    Event Next;
    Next.At = Now;
    Next.Body = std::move(Body);
    return Control->reduce(Next);
  };
  // Returns the age in an answer that is sent at once; -1 if there is none.
  const auto AgeAnswered = [&] {
    wire::StampRequest Request;
    Request.Nonce = ++Nonce;
    Request.MaxAgeMs = 200;
    Request.Who.Name = "p1";
    Request.Who.Address = "p1:1";
    for (const Effect &Item : Submit(MessageReceived{"p1:1", Request})) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      const auto *Reply = Sent == nullptr
                              ? nullptr
                              : std::get_if<wire::StampReply>(&Sent->Body);
      if (Reply != nullptr && Reply->Nonce == Nonce)
        return Reply->AgeMs;
    }
    return -1;
  };
  Submit(BootstrapRequested{{Address}});
  for (int I = 0; I < 300; ++I, Now += TickInterval)
    Submit(Tick());
  REQUIRE(Control->control()->consensus().ready());
  CHECK(AgeAnswered() > 0);
  Submit(ProcessSuspended{milliseconds(5000)});
  CHECK(AgeAnswered() <= 0);
}

TEST_CASE("calls without a key are served whatever was confirmed") {
  FakeCluster Cluster(1);
  prepare(Cluster, Revocation);
  Cluster.change("team/routes/once",
                 R"({"job":"job-once","service":"team/work",)"
                 R"("anonymous":true})",
                 0);
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  partitionControls(Cluster);
  Cluster.run(Revocation + Revocation);
  const std::string Open = Cluster.call("p1", true);
  const std::string Keyed = Cluster.callWithKey("p1", "key-a");
  Cluster.run(CallTime);
  CHECK(Cluster.calls().at(Open).Runs == 1);
  CHECK(Cluster.calls().at(Keyed).Runs == 0);
  CHECK(Cluster.calls().at(Keyed).Code == ResultCode::NotCurrent);
}

namespace {

SuspensionClock::Reading reading(milliseconds Steady, milliseconds Boot,
                                 milliseconds Took = milliseconds(0)) {
  return {Steady, Boot, Steady + Took};
}

} // namespace

TEST_CASE("the time of a suspension is counted once and never too short") {
  SuspensionClock Clock;
  CHECK(Clock.advance(reading(milliseconds(100), milliseconds(5100))) ==
        milliseconds(0));
  CHECK(Clock.advance(reading(milliseconds(200), milliseconds(5200))) ==
        milliseconds(0));
  CHECK(Clock.advance(reading(milliseconds(210), milliseconds(7210))) ==
        milliseconds(2000));
  CHECK(Clock.advance(reading(milliseconds(220), milliseconds(7220))) ==
        milliseconds(0));
  // Short suspensions add up.
  int Counted = 0;
  for (int I = 1; I <= 10; ++I)
    Counted +=
        static_cast<int>(Clock
                             .advance(reading(milliseconds(220 + 10 * I),
                                              milliseconds(7220 + 11 * I)))
                             .count());
  CHECK(Counted >= 8);
  CHECK(Counted <= 10);
}

TEST_CASE("the clocks of this machine are read") {
  SuspensionClock Clock;
  CHECK(Clock.advance(SuspensionClock::read()).count() == 0);
  const SuspensionClock::Reading Now = SuspensionClock::read();
  CHECK(Now.Boot.count() > 0);
  CHECK(Now.SteadyAfter >= Now.SteadyBefore);
}
