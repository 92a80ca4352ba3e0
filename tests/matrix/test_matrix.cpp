#include "support/fakecluster.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>

using namespace persimmon;

namespace {

constexpr milliseconds FlowTime{900};
constexpr milliseconds ConvergenceTimeout{30'000};
constexpr milliseconds CallTime{9'000};

/// A sequence of operations during which faults are injected.
struct Flow {
  const char *Name = "";
  std::function<void(FakeCluster &)> Prepare;
  std::function<void(FakeCluster &)> Act;
};

std::string service(int Queue) {
  return "{\"queue\":" + std::to_string(Queue) + "}";
}

/// Starts three control instances and three proxies with one service and two
/// routes.
void prepareAll(FakeCluster &Cluster) {
  for (const char *Name : {"c1", "c2", "c3"})
    Cluster.addControl(Name);
  Cluster.addProxy("p1", "zone-c1", "team/work", 2);
  Cluster.addProxy("p2", "zone-c2", "team/work", 2);
  Cluster.addProxy("p3", "zone-c3", "team/work", 2);
  for (const std::string &Name : Cluster.names())
    Cluster.start(Name);
  Cluster.form("c1");
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  Cluster.change("team/services/work", service(2), 0);
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  Cluster.change("team/routes/any", R"({"job":"job","service":"team/work"})",
                 0);
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  Cluster.change("team/routes/once",
                 R"({"job":"job-once","service":"team/work"})", 0);
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  // Wait until every proxy knows every target.
  Cluster.run(milliseconds(2500));
}

/// Waits for a leader; recovers if a quorum of disks was lost.
void awaitLeader(FakeCluster &Cluster) {
  const auto HasLeader = [&] { return Cluster.leader() != nullptr; };
  if (Cluster.run(ConvergenceTimeout, HasLeader))
    return;
  // Two of three disks are lost: changes are refused until an operator
  // recovers.
  const auto Survivor = Cluster.survivorOfLostQuorum();
  if (Survivor) {
    Cluster.recover(*Survivor);
    if (Cluster.run(ConvergenceTimeout, HasLeader))
      return;
  }
  for (const std::string &Line : Cluster.trace())
    std::cout << "    " << Line << '\n';
  FAIL("no leader");
}

std::int64_t versionOf(FakeCluster &Cluster, const std::string &Path) {
  awaitLeader(Cluster);
  const auto &Settings = Cluster.leader()->control()->store().settings();
  const auto Found = Settings.find(Path);
  return Found == Settings.end() ? 0 : Found->second.Version;
}

void changeService(FakeCluster &Cluster, int Queue) {
  Cluster.change("team/services/work", service(Queue),
                 versionOf(Cluster, "team/services/work"));
}

std::string leaderName(FakeCluster &Cluster) {
  awaitLeader(Cluster);
  return Cluster.leader()->members().self().Name;
}

void actCommit(FakeCluster &Cluster) { changeService(Cluster, 3); }

void actLeaderChange(FakeCluster &Cluster) {
  Cluster.crash(leaderName(Cluster));
  Cluster.run(milliseconds(700));
}

/// Freezes a follower while more entries are written than the log keeps, so
/// that it needs a snapshot.
void prepareSnapshot(FakeCluster &Cluster) {
  prepareAll(Cluster);
  const std::string Lagging = leaderName(Cluster) == "c3" ? "c2" : "c3";
  Cluster.freeze(Lagging, milliseconds(6000));
  for (int I = 0; I < 14; ++I) {
    changeService(Cluster, 10 + I);
    Cluster.run(milliseconds(150));
  }
}

void actSnapshot(FakeCluster &Cluster) {
  const std::string Lagging = leaderName(Cluster) == "c3" ? "c2" : "c3";
  Cluster.freeze(Lagging, milliseconds(0));
  changeService(Cluster, 40);
}

void actLostDisk(FakeCluster &Cluster) {
  const std::string Lost = leaderName(Cluster) == "c3" ? "c2" : "c3";
  Cluster.crash(Lost);
  Cluster.wipeDisk(Lost);
  Cluster.run(milliseconds(600));
  changeService(Cluster, 5);
}

void actStartProxy(FakeCluster &Cluster) {
  Cluster.crash("p2");
  changeService(Cluster, 6);
  Cluster.run(milliseconds(500));
}

void actMembership(FakeCluster &Cluster) {
  Cluster.setTarget("p2", wire::TargetState::Draining);
  Cluster.run(milliseconds(300));
  Cluster.setTarget("p2", wire::TargetState::Serving);
}

void actOnceOnlyCalls(FakeCluster &Cluster) {
  for (int I = 0; I < 3; ++I) {
    Cluster.call("p1", true);
    Cluster.run(milliseconds(15));
  }
}

void actRepeatableCalls(FakeCluster &Cluster) {
  for (int I = 0; I < 3; ++I) {
    Cluster.call("p1", false);
    Cluster.run(milliseconds(15));
  }
}

void actOverload(FakeCluster &Cluster) {
  for (int I = 0; I < 16; ++I)
    Cluster.call(I % 2 == 0 ? "p1" : "p2", I % 3 == 0);
}

/// Sends more uploads than the targets admit, headers before bodies.
void actUploads(FakeCluster &Cluster) {
  constexpr std::int64_t BodyBytes = 100'000;
  for (int I = 0; I < 8; ++I) {
    Cluster.call(I % 4 == 3 ? "p2" : "p1", I % 3 != 2, {}, BodyBytes);
    Cluster.run(milliseconds(1));
  }
}

void actPlannedStop(FakeCluster &Cluster) {
  // Calls run longer than a stopping daemon announces its departure, so a
  // daemon that does not wait for them exits while they run.
  Cluster.setRunTime(milliseconds(700));
  for (int I = 0; I < 5; ++I)
    Cluster.call("p1", true);
  Cluster.run(milliseconds(5));
  Cluster.stop("p2");
}

void actKeyedCalls(FakeCluster &Cluster) {
  Cluster.call("p1", true, "key");
  Cluster.run(milliseconds(20));
  Cluster.call("p2", true, "key");
  Cluster.run(milliseconds(20));
  Cluster.call("p3", true, "key");
}

/// Makes a change that does not fit in a datagram, compressed or not.
void submitLargeChange(FakeCluster &Cluster, std::uint64_t Seed) {
  constexpr int Digits = 8000;
  Random Rng(Seed);
  std::string Note;
  for (int I = 0; I < Digits; ++I)
    Note += static_cast<char>('0' + Rng.below(10));
  Cluster.change(
      "team/routes/large",
      R"({"job":"job-large","service":"team/work","annotations":{"note":")" +
          Note + "\"}}",
      versionOf(Cluster, "team/routes/large"));
}

/// Runs calls of p1 on p2 and p3 while each pull of p1 exceeds its timeout and
/// the connections that it opens instead fail.
void actLatePulls(FakeCluster &Cluster) {
  Cluster.setTarget("p1", wire::TargetState::Draining);
  Cluster.run(milliseconds(300));
  Cluster.setRunTime(milliseconds(4000));
  for (int I = 0; I < 2; ++I) {
    Cluster.call("p1", true);
    Cluster.run(milliseconds(80));
  }
  for (const auto &[Id, Record] : Cluster.calls())
    REQUIRE(Record.Runs == 1);
  Cluster.delayStreams("p1", milliseconds(900));
  Cluster.blockConnections("p2", true);
  Cluster.blockConnections("p3", true);
  for (std::uint64_t I = 0; I < 12; ++I) {
    submitLargeChange(Cluster, I + 1);
    Cluster.run(milliseconds(300));
  }
  Cluster.delayStreams("p1", milliseconds(0));
  Cluster.blockConnections("p2", false);
  Cluster.blockConnections("p3", false);
}

std::string describe(const std::vector<PlannedFault> &Plan) {
  std::string Out;
  for (const PlannedFault &Item : Plan)
    Out +=
        std::string(" ") + nameOf(Item.Kind) + "@" + std::to_string(Item.Step);
  return Out;
}

/// The result of one run of a flow with its faults.
struct CaseResult {
  std::size_t Steps = 0;
  bool AllInjected = false;
  std::vector<std::string> Problems;
  std::deque<std::string> Trace;
};

CaseResult runCase(const Flow &TheFlow, const std::vector<PlannedFault> &Plan,
                   std::uint64_t Seed) {
  FakeCluster Cluster(Seed);
  TheFlow.Prepare(Cluster);
  Cluster.arm(Plan);
  TheFlow.Act(Cluster);
  Cluster.run(FlowTime);
  Cluster.disarm();
  CaseResult Out;
  Out.Steps = Cluster.steps();
  Out.AllInjected = Cluster.allInjected();
  if (!Out.AllInjected)
    return Out;
  if (!Cluster.calls().empty())
    Cluster.run(CallTime);
  const auto IsConverged = [&] { return Cluster.converged(); };
  bool Converged = Cluster.run(ConvergenceTimeout, IsConverged);
  if (!Converged && Cluster.survivorOfLostQuorum()) {
    awaitLeader(Cluster);
    Converged = Cluster.run(ConvergenceTimeout, IsConverged);
  }
  Cluster.checkCalls();
  int KeyedRuns = 0;
  for (const auto &[Id, Record] : Cluster.calls())
    KeyedRuns += Record.Runs;
  Out.Problems = Cluster.violations();
  if (!Converged) {
    Out.Problems.push_back("did not converge");
    for (std::string &Line : Cluster.describe())
      Out.Problems.push_back("  " + std::move(Line));
  }
  if (std::string(TheFlow.Name) == "keyed calls" && KeyedRuns > 1)
    Out.Problems.push_back("one idempotency key ran " +
                           std::to_string(KeyedRuns) + " times");
  Out.Trace = Cluster.trace();
  return Out;
}

std::uint64_t seedFromEnvironment() {
  const char *Text = std::getenv("PERSIMMON_SEED");
  return Text == nullptr ? 1 : std::strtoull(Text, nullptr, 10);
}

void report(const Flow &TheFlow, const std::vector<PlannedFault> &Plan,
            std::uint64_t Seed, const CaseResult &Result) {
  std::cout << "FAILED " << TheFlow.Name << describe(Plan) << " seed " << Seed
            << '\n';
  for (const std::string &Problem : Result.Problems)
    std::cout << "  " << Problem << '\n';
  if (std::getenv("PERSIMMON_TRACE") != nullptr) {
    for (const std::string &Line : Result.Trace)
      std::cout << "    " << Line << '\n';
  }
}

/// Runs the flow once for each kind of fault at each step.
void runSingleFaults(const Flow &TheFlow) {
  const std::uint64_t Seed = seedFromEnvironment();
  const CaseResult FaultFree = runCase(TheFlow, {}, Seed);
  INFO(TheFlow.Name);
  for (const std::string &Problem : FaultFree.Problems)
    std::cout << "without faults: " << Problem << '\n';
  REQUIRE(FaultFree.Problems.empty());
  std::size_t Cases = 0;
  std::size_t Failed = 0;
  for (std::size_t Step = 1; Step <= FaultFree.Steps; ++Step) {
    for (int Kind = 0; Kind < FaultKindCount; ++Kind) {
      const std::vector<PlannedFault> Plan = {
          {static_cast<FaultKind>(Kind), Step}};
      const CaseResult Result = runCase(TheFlow, Plan, Seed);
      if (!Result.AllInjected)
        continue;
      ++Cases;
      if (Result.Problems.empty())
        continue;
      ++Failed;
      report(TheFlow, Plan, Seed, Result);
    }
  }
  std::cout << TheFlow.Name << ": " << FaultFree.Steps << " steps, " << Cases
            << " cases, " << Failed << " failed\n";
  CHECK(Failed == 0);
}

/// Runs the flow with random pairs of faults. PERSIMMON_PAIRS sets their
/// number.
void runFaultPairs(const Flow &TheFlow) {
  const char *Count = std::getenv("PERSIMMON_PAIRS");
  constexpr std::size_t DefaultPairs = 150;
  const std::size_t PairCount =
      Count == nullptr ? DefaultPairs : std::strtoull(Count, nullptr, 10);
  const std::uint64_t Seed = seedFromEnvironment();
  Random Rng(Seed);
  const CaseResult FaultFree = runCase(TheFlow, {}, Seed);
  std::size_t Cases = 0;
  std::size_t Failed = 0;
  for (std::size_t Tries = 0; Cases < PairCount && Tries < PairCount * 10;
       ++Tries) {
    std::vector<PlannedFault> Plan(2);
    for (PlannedFault &Item : Plan) {
      Item.Kind = static_cast<FaultKind>(Rng.below(FaultKindCount));
      Item.Step = Rng.below(FaultFree.Steps) + 1;
    }
    const CaseResult Result = runCase(TheFlow, Plan, Seed);
    if (!Result.AllInjected)
      continue;
    ++Cases;
    if (Result.Problems.empty())
      continue;
    ++Failed;
    report(TheFlow, Plan, Seed, Result);
  }
  std::cout << TheFlow.Name << ": seed " << Seed << ", " << Cases << " pairs, "
            << Failed << " failed\n";
  CHECK(Failed == 0);
}

const std::vector<Flow> &flows() {
  static const std::vector<Flow> All = {
      {"commit", prepareAll, actCommit},
      {"leader change", prepareAll, actLeaderChange},
      {"snapshot", prepareSnapshot, actSnapshot},
      {"lost disk", prepareAll, actLostDisk},
      {"start of a proxy", prepareAll, actStartProxy},
      {"membership", prepareAll, actMembership},
      {"once-only calls", prepareAll, actOnceOnlyCalls},
      {"repeatable calls", prepareAll, actRepeatableCalls},
      {"overload", prepareAll, actOverload},
      {"uploads", prepareAll, actUploads},
      {"planned stop", prepareAll, actPlannedStop},
      {"keyed calls", prepareAll, actKeyedCalls}};
  return All;
}

const Flow &flow(std::string_view Name) {
  for (const Flow &Item : flows()) {
    if (Name == Item.Name)
      return Item;
  }
  FAIL("no such flow");
  return flows().front();
}

} // namespace

TEST_CASE("a proxy does not open before the leader knows of it") {
  // A proxy that serves unknown to the leader is not waited for, so a change
  // would be reported as in force everywhere too early.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeCluster Cluster(Seed);
    prepareAll(Cluster);
    Cluster.addProxy("p4", "zone-c1", "team/work", 2);
    Cluster.start("p4");
    REQUIRE(Cluster.run(ConvergenceTimeout,
                        [&] { return Cluster.node("p4")->serving(); }));
    INFO("seed " << Seed);
    CHECK(Cluster.leader()->members().find("p4") != nullptr);
  }
}

TEST_CASE("a once-only call to a daemon that is down runs elsewhere") {
  FakeCluster Cluster(1);
  prepareAll(Cluster);
  Cluster.setTarget("p1", wire::TargetState::Draining);
  Cluster.crash("p2");
  for (int I = 0; I < 8; ++I) {
    Cluster.call("p1", true);
    Cluster.run(milliseconds(40));
  }
  Cluster.run(CallTime);
  Cluster.checkCalls();
  CHECK(Cluster.violations().empty());
  for (const auto &[Id, Record] : Cluster.calls()) {
    INFO(Id << " code " << static_cast<int>(Record.Code));
    CHECK(Record.Answered);
    CHECK(Record.Runs == 1);
  }
}

TEST_CASE("a late pull on the connection of a once-only call does not make "
          "it run again") {
  int LatePulls = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeCluster Cluster(Seed);
    prepareAll(Cluster);
    actLatePulls(Cluster);
    Cluster.run(CallTime);
    Cluster.checkCalls();
    LatePulls +=
        Cluster.delayedPullReplies("p2") + Cluster.delayedPullReplies("p3");
    INFO("seed " << Seed);
    for (const std::string &Problem : Cluster.violations())
      UNSCOPED_INFO(Problem);
    CHECK(Cluster.violations().empty());
    for (const auto &[Id, Record] : Cluster.calls()) {
      INFO(Id << " code " << static_cast<int>(Record.Code));
      CHECK(Record.Runs == 1);
      CHECK(Record.Answers == 1);
    }
  }
  // The delayed replies did occur.
  CHECK(LatePulls > 0);
}

// Large bodies that saturate the link of a proxy delay the new version. The
// proxy must not route calls by the old one once the new one is due everywhere.
TEST_CASE("a proxy on a saturated link does not run calls by a superseded "
          "version") {
  constexpr milliseconds InForceLimit{2000};
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeCluster Cluster(Seed);
    prepareAll(Cluster);
    Cluster.delayStreams("p1", milliseconds(3500));
    const std::string Moved = Cluster.change(
        "team/routes/any", R"({"job":"job-moved","service":"team/work"})",
        versionOf(Cluster, "team/routes/any"));
    REQUIRE(Cluster.run(ConvergenceTimeout, [&] {
      return Cluster.acceptedVersion(Moved).has_value();
    }));
    Cluster.run(InForceLimit);
    const std::string Late = Cluster.call("p1", false);
    Cluster.run(CallTime);
    INFO("seed " << Seed);
    CHECK(Cluster.calls().at(Late).Runs == 0);
    CHECK(Cluster.calls().at(Late).Answers == 1);
  }
}

namespace {

/// Moves the route of repeatable calls and waits until the change is accepted.
void moveRoute(FakeCluster &Cluster) {
  const std::string Moved = Cluster.change(
      "team/routes/any", R"({"job":"job-moved","service":"team/work"})",
      versionOf(Cluster, "team/routes/any"));
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] {
    return Cluster.acceptedVersion(Moved).has_value();
  }));
}

/// Sends a repeatable call through p1 every 50 ms for \p Duration. Returns how
/// many of them ran.
int runsOfCalls(FakeCluster &Cluster, milliseconds Duration) {
  constexpr milliseconds CallInterval{50};
  std::vector<std::string> Ids;
  for (milliseconds Passed{0}; Passed < Duration; Passed += CallInterval) {
    Ids.push_back(Cluster.call("p1", false));
    Cluster.run(CallInterval);
  }
  Cluster.run(CallTime);
  int Out = 0;
  for (const std::string &Id : Ids)
    Out += Cluster.calls().at(Id).Runs;
  return Out;
}

} // namespace

// A full link drops every announcement of a change, so the proxy hears of
// nothing newer than the version in force.
TEST_CASE("a proxy that hears of no change does not run calls by a superseded "
          "version") {
  constexpr milliseconds InForceLimit{2000};
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeCluster Cluster(Seed);
    prepareAll(Cluster);
    Cluster.loseDatagrams("p1", true);
    moveRoute(Cluster);
    Cluster.run(InForceLimit);
    INFO("seed " << Seed);
    CHECK(runsOfCalls(Cluster, milliseconds(1000)) == 0);
  }
}

TEST_CASE("a proxy that was paused does not run calls by a superseded "
          "version") {
  constexpr milliseconds Pause{4000};
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeCluster Cluster(Seed);
    prepareAll(Cluster);
    Cluster.freeze("p1", Pause);
    moveRoute(Cluster);
    const std::string Waiting = Cluster.call("p1", false);
    Cluster.run(Pause);
    INFO("seed " << Seed);
    CHECK(runsOfCalls(Cluster, milliseconds(1000)) == 0);
    CHECK(Cluster.calls().at(Waiting).Runs == 0);
  }
}

TEST_CASE("a proxy that reaches no control instance goes on serving") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeCluster Cluster(Seed);
    prepareAll(Cluster);
    for (const char *Name : {"c1", "c2", "c3"})
      Cluster.partition(Name, milliseconds(20'000));
    INFO("seed " << Seed);
    CHECK(runsOfCalls(Cluster, milliseconds(4000)) == 80);
  }
}

TEST_CASE("pairs of faults, sampled") {
  for (const Flow &Item : flows())
    runFaultPairs(Item);
}

TEST_CASE("every fault at every step: commit of a change") {
  runSingleFaults(flow("commit"));
}

TEST_CASE("every fault at every step: leader change") {
  runSingleFaults(flow("leader change"));
}

TEST_CASE("every fault at every step: snapshot and install") {
  runSingleFaults(flow("snapshot"));
}

TEST_CASE("every fault at every step: replacement of a lost disk") {
  runSingleFaults(flow("lost disk"));
}

TEST_CASE("every fault at every step: start of a proxy") {
  runSingleFaults(flow("start of a proxy"));
}

TEST_CASE("every fault at every step: membership change") {
  runSingleFaults(flow("membership"));
}

TEST_CASE("every fault at every step: once-only calls") {
  runSingleFaults(flow("once-only calls"));
}

TEST_CASE("every fault at every step: repeatable calls") {
  runSingleFaults(flow("repeatable calls"));
}

TEST_CASE("every fault at every step: overload") {
  runSingleFaults(flow("overload"));
}

TEST_CASE("every fault at every step: uploads") {
  runSingleFaults(flow("uploads"));
}

TEST_CASE("every fault at every step: planned stop") {
  runSingleFaults(flow("planned stop"));
}

TEST_CASE("every fault at every step: keyed calls") {
  runSingleFaults(flow("keyed calls"));
}
