#include "support/fakecluster.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

using namespace persimmon;

namespace {

constexpr milliseconds ElectionTime{3000};
/// How long a new control instance may take until it can stand in for another.
constexpr milliseconds CatchUpTime{4000};
constexpr milliseconds StopTime{6000};
/// Time from the loss of a voter until a successor that runs has its vote.
constexpr milliseconds LostVoterTime{5000};
constexpr std::uint64_t Seeds = 20;

const Consensus *leadingConsensus(const FakeCluster &Cluster) {
  const Node *Leader = Cluster.leader();
  return Leader == nullptr ? nullptr : &Leader->control()->consensus();
}

bool isVoter(const FakeCluster &Cluster, const std::string &Name) {
  const Consensus *Leading = leadingConsensus(Cluster);
  if (Leading == nullptr || Leading->commitIndex() < Leading->lastIndex())
    return false;
  const auto &Voters = Leading->voters();
  return std::any_of(Voters.begin(), Voters.end(), [&](const auto &Voter) {
    return Voter.Instance == Name || Voter.Address == Name + ":1";
  });
}

/// Three initial voters c1 to c3 with an elected leader, and the started
/// successors \p Successors, which have had the time to catch up.
struct Replacement {
  FakeCluster Cluster;
  std::string Leader;
  std::vector<std::string> Followers;

  Replacement(std::uint64_t Seed, const std::vector<std::string> &Successors)
      : Cluster(Seed) {
    this->Cluster.addInitialVoters();
    for (const char *Name : {"c1", "c2", "c3"})
      this->Cluster.start(Name);
    REQUIRE(this->Cluster.run(
        ElectionTime, [&] { return this->Cluster.leader() != nullptr; }));
    this->Leader = this->Cluster.leader()->members().self().Name;
    for (const char *Name : {"c1", "c2", "c3"}) {
      if (Name != this->Leader)
        this->Followers.emplace_back(Name);
    }
    for (const std::string &Name : Successors) {
      this->Cluster.addSuccessor(Name);
      this->Cluster.start(Name);
    }
    this->Cluster.run(CatchUpTime);
  }

  /// Stops \p Name as planned work and removes it when it has exited, or when
  /// its time to stop is over.
  void replace(const std::string &Name) {
    this->Cluster.stop(Name);
    this->Cluster.run(StopTime, [&] { return this->Cluster.exited(Name); });
    this->Cluster.remove(Name);
  }

  bool leads() {
    return this->Cluster.run(ElectionTime, [&] {
      const Consensus *Leading = leadingConsensus(this->Cluster);
      return Leading != nullptr && Leading->ready();
    });
  }
};

} // namespace

// Guards against a lost quorum after two planned replacements (CONFIG).
TEST_CASE("control instances are replaced one after the other") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Replacement Case(Seed, {"c4", "c5"});
    Case.replace(Case.Leader);
    Case.Cluster.run(CatchUpTime);
    Case.replace(Case.Followers[0]);
    CAPTURE(Seed);
    CHECK(Case.leads());
    CHECK(isVoter(Case.Cluster, "c4"));
    CHECK(isVoter(Case.Cluster, "c5"));
    CHECK(Case.Cluster.violations().empty());
  }
}

// Guards against a quorum lost because two voters stop at the same time.
TEST_CASE("two control instances that stop together are both replaced") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Replacement Case(Seed, {"c4", "c5"});
    const std::string &Other = Case.Followers[0];
    Case.Cluster.stop(Case.Leader);
    Case.Cluster.stop(Other);
    Case.Cluster.run(StopTime, [&] {
      return Case.Cluster.exited(Case.Leader) && Case.Cluster.exited(Other);
    });
    Case.Cluster.remove(Case.Leader);
    Case.Cluster.remove(Other);
    CAPTURE(Seed);
    CHECK(Case.leads());
    CHECK(isVoter(Case.Cluster, "c4"));
    CHECK(isVoter(Case.Cluster, "c5"));
    CHECK(Case.Cluster.violations().empty());
  }
}

// Guards against a vote that is given up while another voter does not respond.
TEST_CASE("a control instance is replaced while another one is frozen") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Replacement Case(Seed, {"c4"});
    Case.Cluster.freeze(Case.Followers[1], milliseconds(20'000));
    Case.replace(Case.Followers[0]);
    CAPTURE(Seed);
    CHECK(Case.leads());
    CHECK(isVoter(Case.Cluster, "c4"));
    CHECK(!isVoter(Case.Cluster, Case.Followers[0]));
    CHECK(Case.Cluster.violations().empty());
  }
}

// Guards against successors that the leader learns of after the departure.
TEST_CASE("a successor that starts late replaces a voter that has left") {
  Replacement Case(1, {});
  const std::string &Gone = Case.Followers[0];
  Case.replace(Gone);
  Case.Cluster.addSuccessor("c4");
  Case.Cluster.start("c4");
  Case.Cluster.run(milliseconds(1000));
  CHECK(isVoter(Case.Cluster, "c4"));
  CHECK(!isVoter(Case.Cluster, Gone));
}

// Guards against the loss of a voter by each planned restart.
TEST_CASE("a control instance without a successor keeps its vote") {
  Replacement Case(1, {});
  const std::string &Stopped = Case.Followers[0];
  Case.Cluster.stop(Stopped);
  CHECK(Case.Cluster.run(milliseconds(1500),
                         [&] { return Case.Cluster.exited(Stopped); }));
  Case.Cluster.remove(Stopped);
  Case.Cluster.run(CatchUpTime);
  CHECK(isVoter(Case.Cluster, Stopped));
  Case.Cluster.start(Stopped);
  Case.Cluster.run(CatchUpTime);
  CHECK(isVoter(Case.Cluster, Stopped));
}

// Guards against a count that starts anew with each leader.
TEST_CASE("a lost leader is replaced as soon as any other lost voter") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const bool LosesLeader : {true, false}) {
      Replacement Case(Seed, {"c4"});
      const std::string &Lost = LosesLeader ? Case.Leader : Case.Followers[0];
      Case.Cluster.remove(Lost);
      Case.Cluster.run(LostVoterTime);
      CAPTURE(Seed, LosesLeader);
      CHECK(isVoter(Case.Cluster, "c4"));
      CHECK(!isVoter(Case.Cluster, Lost));
      CHECK(Case.Cluster.violations().empty());
    }
  }
}

// Guards against replacing slow voters as soon as voters that have left.
TEST_CASE("a paused voter is not replaced at once") {
  Replacement Case(1, {"c4"});
  Case.Cluster.freeze(Case.Followers[0], milliseconds(2500));
  Case.Cluster.run(CatchUpTime);
  CHECK(isVoter(Case.Cluster, Case.Followers[0]));
  CHECK(!isVoter(Case.Cluster, "c4"));
}
