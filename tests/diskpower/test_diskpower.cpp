#include "diskcluster.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>
#include <utility>

using namespace persimmon;

namespace {

constexpr int FaultCount = 40;
constexpr int LossRounds = 6;

/// Returns the first and the last seed: 1 and \p Default, or those that
/// DISKPOWER_SEEDS=FIRST-LAST gives.
std::pair<int, int> seedRange(int Default) {
  const char *Given = std::getenv("DISKPOWER_SEEDS");
  if (Given == nullptr)
    return {1, Default};
  const std::string Text = Given;
  const std::size_t Dash = Text.find('-');
  return {std::stoi(Text.substr(0, Dash)), std::stoi(Text.substr(Dash + 1))};
}

} // namespace

TEST_CASE("kills and losses of power cost no disk, quorum or change") {
  const auto [First, Last] = seedRange(50);
  for (int Seed = First; Seed <= Last; ++Seed) {
    DiskCluster Cluster(static_cast<std::uint64_t>(Seed));
    Cluster.runFaults(FaultCount);
    Cluster.checkRecovery();
    INFO("seed " << Seed << ", " << Cluster.ends() << " ends, "
                 << Cluster.acknowledged() << " acknowledged");
    for (const std::string &Violation : Cluster.violations())
      UNSCOPED_INFO(Violation);
    CHECK(Cluster.violations().empty());
    CHECK(Cluster.acknowledged() > 0);
  }
}

// Guards against a quorum that is lost while a voter is exchanged (CONFIG).
TEST_CASE("as many lost disks as are to be borne cost no quorum or change") {
  const auto [First, Last] = seedRange(20);
  for (int Seed = First; Seed <= Last; ++Seed) {
    DiskCluster Cluster(static_cast<std::uint64_t>(Seed), {6, 3, 5});
    Cluster.runBorneLosses(LossRounds);
    Cluster.checkRecovery();
    INFO("seed " << Seed << ", " << Cluster.ends() << " ends, "
                 << Cluster.acknowledged() << " acknowledged");
    for (const std::string &Violation : Cluster.violations())
      UNSCOPED_INFO(Violation);
    CHECK(Cluster.violations().empty());
    CHECK(Cluster.acknowledged() > 0);
  }
}
