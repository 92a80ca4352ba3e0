#include "support/fakecluster.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <iostream>

using namespace persimmon;

namespace {

constexpr milliseconds FormTimeout{3000};
constexpr milliseconds RecoveryTimeout{30'000};

/// Starts three initial voters in \p Order with the faults of \p Plan injected.
/// Returns a description of the failure if no cluster of three voters forms
/// once the faults are over, or an empty string. \p Steps is set to the number
/// of effects, \p Injected to whether all faults were injected.
std::string formCluster(const std::vector<std::string> &Order,
                        const std::vector<PlannedFault> &Plan,
                        std::size_t &Steps, bool &Injected) {
  FakeCluster Cluster(1);
  Cluster.addInitialVoters();
  Cluster.arm(Plan);
  for (const std::string &Name : Order) {
    Cluster.start(Name);
    Cluster.run(milliseconds(60));
  }
  Cluster.run(FormTimeout);
  Injected = Cluster.allInjected();
  Steps = Cluster.steps();
  Cluster.disarm();
  const auto Formed = [&] {
    if (Cluster.leader() == nullptr)
      return false;
    const auto &Voters = Cluster.leader()->control()->consensus().voters();
    return Voters.size() == 3;
  };
  if (!Cluster.run(RecoveryTimeout, Formed))
    return "no leader with three voters";
  return Cluster.violations().empty() ? "" : Cluster.violations().front();
}

} // namespace

TEST_CASE("initial voters form one cluster in every start order") {
  std::vector<std::string> Order = {"c1", "c2", "c3"};
  do {
    std::size_t Steps = 0;
    bool Injected = false;
    CHECK(formCluster(Order, {}, Steps, Injected).empty());
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST_CASE("two initial voters form the cluster without the third") {
  FakeCluster Cluster(2);
  Cluster.addInitialVoters();
  Cluster.start("c1");
  Cluster.start("c3");
  REQUIRE(
      Cluster.run(FormTimeout, [&] { return Cluster.leader() != nullptr; }));
  Cluster.start("c2");
  REQUIRE(Cluster.run(FormTimeout, [&] {
    return !Cluster.node("c2")->control()->consensus().leaderAddress().empty();
  }));
  CHECK(Cluster.violations().empty());
}

TEST_CASE("a single initial voter does not form a cluster") {
  FakeCluster Cluster(3);
  Cluster.addInitialVoters();
  Cluster.start("c2");
  CHECK(!Cluster.run(FormTimeout, [&] { return Cluster.leader() != nullptr; }));
}

TEST_CASE("an initial voter that lost its disk returns with another disk id") {
  FakeCluster Cluster(4);
  Cluster.addInitialVoters();
  for (const char *Name : {"c1", "c2", "c3"})
    Cluster.start(Name);
  REQUIRE(
      Cluster.run(FormTimeout, [&] { return Cluster.leader() != nullptr; }));
  Cluster.crash("c2");
  Cluster.wipeDisk("c2");
  const std::int64_t FirstDiskId = initialVoterAt("c2:1").DiskId;
  REQUIRE(Cluster.run(RecoveryTimeout, [&] {
    if (Cluster.leader() == nullptr)
      return false;
    const auto &Voters = Cluster.leader()->control()->consensus().voters();
    return Voters.size() == 3 &&
           std::none_of(Voters.begin(), Voters.end(),
                        [&](const auto &V) { return V.DiskId == FirstDiskId; });
  }));
  CHECK(Cluster.violations().empty());
}

TEST_CASE("every fault at every step: bootstrap by initial voters") {
  const std::vector<std::string> Order = {"c1", "c2", "c3"};
  std::size_t Steps = 0;
  bool Injected = false;
  REQUIRE(formCluster(Order, {}, Steps, Injected).empty());
  // The steps after the first election repeat.
  constexpr std::size_t FormingSteps = 120;
  Steps = std::min(Steps, FormingSteps);
  std::size_t Cases = 0;
  std::size_t Failed = 0;
  for (std::size_t Step = 1; Step <= Steps; ++Step) {
    for (int Kind = 0; Kind < FaultKindCount; ++Kind) {
      std::size_t Ignored = 0;
      const std::vector<PlannedFault> Plan = {
          {static_cast<FaultKind>(Kind), Step}};
      const std::string Problem = formCluster(Order, Plan, Ignored, Injected);
      Cases += Injected ? 1 : 0;
      if (Problem.empty())
        continue;
      ++Failed;
      std::cout << "FAILED " << nameOf(Plan[0].Kind) << " at " << Step << ": "
                << Problem << '\n';
    }
  }
  std::cout << "forming: " << Cases << " cases, " << Failed << " failed\n";
  CHECK(Failed == 0);
}
