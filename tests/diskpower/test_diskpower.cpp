#include "diskcluster.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>
#include <utility>

using namespace persimmon;

namespace {

constexpr int FaultCount = 40;

/// Returns the first and the last seed: 1 and 50, or those that
/// DISKPOWER_SEEDS=FIRST-LAST gives.
std::pair<int, int> seedRange() {
  const char *Given = std::getenv("DISKPOWER_SEEDS");
  if (Given == nullptr)
    return {1, 50};
  const std::string Text = Given;
  const std::size_t Dash = Text.find('-');
  return {std::stoi(Text.substr(0, Dash)), std::stoi(Text.substr(Dash + 1))};
}

} // namespace

TEST_CASE("kills and losses of power cost no disk, quorum or change") {
  const auto [First, Last] = seedRange();
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
