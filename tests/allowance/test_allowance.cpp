#include "allowancesimulation.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <iostream>

using namespace persimmon;

namespace {

constexpr int SmallMesh = 5;
constexpr int MediumMesh = 20;
constexpr int Mesh = 63;
constexpr int LargeMesh = 300;
/// The usual load of an account is its limit divided by this.
constexpr double UsualDivisor = 1.6;
constexpr double HotFactor = 9;

struct NamedRate {
  std::string Path;
  AccountRate Rate;
};

const std::vector<NamedRate> Rates = {
    {"team/accounts/huge", {300, 300}}, {"team/accounts/large", {120, 120}},
    {"team/accounts/medium", {40, 40}}, {"team/accounts/middle", {15, 15}},
    {"team/accounts/small", {6, 6}},    {"team/accounts/smallest", {1, 1}}};

void addAccounts(AllowanceSimulation &Into) {
  for (const NamedRate &Item : Rates) {
    Into.addAccount(Item.Path, Item.Rate);
    Into.setDemand(Item.Path, Item.Rate.PerSecond / UsualDivisor);
  }
}

double refusedPart(const AccountTally &Of) {
  return static_cast<double>(Of.Refused + Of.OutOfTouch) /
         std::max(1, Of.Asked);
}

void print(const std::string &Title, const AllowanceSimulation &Of) {
  std::cout << Title << ": " << Of.bytesPerDaemonSecond() << " B/s, "
            << Of.messagesPerDaemonSecond() << " messages/s a daemon\n";
  for (const NamedRate &Item : Rates) {
    const AccountTally &Tally = Of.tally(Item.Path);
    std::cout << "  " << Item.Path << " asked " << Tally.Asked << " granted "
              << Tally.Granted << " refused " << Tally.Refused
              << " out of touch " << Tally.OutOfTouch << " fullest span "
              << Tally.FullestSpan << "\n";
  }
}

} // namespace

// Guards against refusing calls of accounts that stay below their rate.
TEST_CASE("calls below the rate are hardly refused") {
  const int Count = GENERATE(SmallMesh, MediumMesh, Mesh);
  // The smallest account makes few calls in one run.
  constexpr int Runs = 4;
  std::map<std::string, AccountTally> Sums;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    AllowanceSimulation Simulated(Seed, Count);
    addAccounts(Simulated);
    Simulated.run(milliseconds(1000));
    Simulated.resetTallies();
    Simulated.run(milliseconds(60'000));
    if (Seed == 1)
      print("steady, " + std::to_string(Count) + " daemons", Simulated);
    for (const NamedRate &Item : Rates) {
      const AccountTally &Tally = Simulated.tally(Item.Path);
      Sums[Item.Path].Asked += Tally.Asked;
      Sums[Item.Path].Refused += Tally.Refused;
      Sums[Item.Path].OutOfTouch += Tally.OutOfTouch;
    }
    CHECK(Simulated.overfullSpans() == 0);
  }
  for (const NamedRate &Item : Rates) {
    INFO(Item.Path << " over " << Count << " refused "
                   << Sums[Item.Path].Refused);
    CHECK(refusedPart(Sums[Item.Path]) < 0.01);
  }
}

// Guards against refusing the first calls after a start of everything at once,
// when no daemon has a share.
TEST_CASE("the first calls after a start are served from the reserve") {
  const int Count = GENERATE(SmallMesh, Mesh);
  AllowanceSimulation Simulated(2, Count);
  addAccounts(Simulated);
  Simulated.run(milliseconds(1000));
  print("start, " + std::to_string(Count) + " daemons", Simulated);
  for (const NamedRate &Item : Rates) {
    INFO(Item.Path << " over " << Count);
    CHECK(refusedPart(Simulated.tally(Item.Path)) < 0.02);
  }
}

// Guards against an outage of calls while there is no leader.
TEST_CASE("calls go on while there is no leader for three seconds") {
  AllowanceSimulation Simulated(3, Mesh);
  addAccounts(Simulated);
  Simulated.run(milliseconds(10'000));
  Simulated.resetTallies();
  Simulated.loseLeader(milliseconds(3000));
  Simulated.run(milliseconds(3000));
  print("no leader", Simulated);
  CHECK(refusedPart(Simulated.tally("team/accounts/huge")) < 0.25);
  CHECK(refusedPart(Simulated.tally("team/accounts/large")) < 0.6);
  Simulated.resetTallies();
  // The new leader renews the shares.
  Simulated.run(milliseconds(5000));
  print("new leader", Simulated);
  CHECK(refusedPart(Simulated.tally("team/accounts/huge")) < 0.25);
  CHECK(refusedPart(Simulated.tally("team/accounts/large")) < 0.6);
  CHECK(refusedPart(Simulated.tally("team/accounts/small")) < 0.3);
  Simulated.resetTallies();
  Simulated.run(milliseconds(10'000));
  print("afterwards", Simulated);
  for (const NamedRate &Item : Rates) {
    INFO(Item.Path);
    CHECK(refusedPart(Simulated.tally(Item.Path)) < 0.02);
  }
  CHECK(Simulated.overfullSpans() == 0);
}

// Guards against a limit that is exceeded by, or that starves, a hot account.
TEST_CASE("a hot account gets its rate and no more") {
  const int Count = GENERATE(SmallMesh, Mesh);
  AllowanceSimulation Simulated(4, Count);
  addAccounts(Simulated);
  Simulated.run(milliseconds(5000));
  for (const NamedRate &Item : Rates) {
    Simulated.resetTallies();
    Simulated.setDemand(Item.Path,
                        Item.Rate.PerSecond / UsualDivisor * HotFactor);
    Simulated.run(milliseconds(6000));
    const AccountTally &Hot = Simulated.tally(Item.Path);
    std::cout << "hot " << Item.Path << " over " << Count << ": asked "
              << Hot.Asked << " granted " << Hot.Granted << " fullest span "
              << Hot.FullestSpan << ", " << Simulated.bytesPerDaemonSecond()
              << " B/s a daemon\n";
    constexpr double Seconds = 6;
    CHECK(Hot.Granted > 0.85 * Seconds * Item.Rate.PerSecond);
    for (const NamedRate &Other : Rates) {
      INFO(Other.Path << " while " << Item.Path << " is hot");
      if (Other.Path != Item.Path)
        CHECK(refusedPart(Simulated.tally(Other.Path)) < 0.02);
    }
    Simulated.setDemand(Item.Path, Item.Rate.PerSecond / UsualDivisor);
    Simulated.run(milliseconds(5000));
  }
  CHECK(Simulated.overfullSpans() == 0);
}

// Guards against shares that stay at daemons that no longer need them.
TEST_CASE("demand that moves between daemons takes its share along") {
  AllowanceSimulation Simulated(5, Mesh);
  addAccounts(Simulated);
  Simulated.run(milliseconds(5000));
  Simulated.resetTallies();
  for (int I = 0; I < 10; ++I) {
    for (const NamedRate &Item : Rates)
      Simulated.setDaemons(Item.Path, I * 17, 8);
    Simulated.run(milliseconds(4000));
  }
  print("moving", Simulated);
  for (const NamedRate &Item : Rates) {
    INFO(Item.Path);
    // About a second after each move, which is a quarter of the time.
    CHECK(refusedPart(Simulated.tally(Item.Path)) < 0.25);
  }
  CHECK(Simulated.overfullSpans() == 0);
}

// Guards against a lowered rate that leaves former shares in use.
TEST_CASE("a lowered rate takes effect within two seconds and a span") {
  AllowanceSimulation Simulated(6, Mesh);
  addAccounts(Simulated);
  for (const NamedRate &Item : Rates)
    Simulated.setDemand(Item.Path, Item.Rate.PerSecond * HotFactor);
  Simulated.run(milliseconds(8000));
  Simulated.setRate("team/accounts/huge", {60, 60});
  Simulated.setRate("team/accounts/large", {5, 5});
  Simulated.run(milliseconds(12'000));
  CHECK(Simulated.overfullSpans() == 0);
  Simulated.resetTallies();
  Simulated.run(milliseconds(10'000));
  print("lowered", Simulated);
  CHECK(Simulated.tally("team/accounts/huge").Granted > 0.85 * 60 * 10);
  CHECK(Simulated.overfullSpans() == 0);
}

// Guards against more calls than permitted in any span, whatever fails.
TEST_CASE("no fault lets an account exceed its rate") {
  const int Seed = GENERATE(range(1, 25));
  AllowanceSimulation Simulated(static_cast<std::uint64_t>(Seed), Mesh);
  addAccounts(Simulated);
  const auto Pick = [&](int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Simulated.random());
  };
  Simulated.setFaults({0.05, 0.05, 0.05, milliseconds(4000)});
  Simulated.setNotRun(0.1);
  Simulated.run(milliseconds(4000));
  constexpr int Rounds = 40;
  for (int Round = 0; Round < Rounds; ++Round) {
    const NamedRate &Item = Rates[static_cast<std::size_t>(
        Pick(0, static_cast<int>(Rates.size()) - 1))];
    switch (Pick(0, 12)) {
    case 0:
      Simulated.changeLeader();
      break;
    case 1:
      Simulated.loseLeader(milliseconds(Pick(300, 3500)));
      break;
    case 2:
      Simulated.freezeLeader(milliseconds(Pick(50, 4000)));
      if (Pick(0, 1) == 0)
        Simulated.changeLeader();
      break;
    case 3:
      Simulated.suspendLeader(milliseconds(Pick(500, 8000)));
      Simulated.changeLeader();
      break;
    case 4:
    case 5:
      for (int I = 0; I < Simulated.daemonCount() / 2; ++I)
        Simulated.disconnectDaemon(Pick(0, Mesh - 1),
                                   milliseconds(Pick(500, 5000)));
      break;
    case 6:
      for (int I = 0; I < Simulated.daemonCount() / 4; ++I)
        Simulated.freezeDaemon(Pick(0, Mesh - 1), milliseconds(Pick(50, 5000)));
      break;
    case 7:
      for (int I = 0; I < Simulated.daemonCount() / 4; ++I)
        Simulated.suspendDaemon(Pick(0, Mesh - 1),
                                milliseconds(Pick(500, 8000)));
      break;
    case 8:
      for (int I = 0; I < Simulated.daemonCount() / 3; ++I)
        Simulated.restartDaemon(Pick(0, Mesh - 1));
      break;
    case 9:
    case 10:
      Simulated.setDaemons(Item.Path, Pick(0, Mesh - 1), Pick(1, Mesh));
      break;
    default:
      Simulated.setDemand(Item.Path, Item.Rate.PerSecond *
                                         (Pick(0, 1) == 0 ? HotFactor : 0.6));
    }
    Simulated.run(milliseconds(Pick(100, 1800)));
  }
  for (const NamedRate &Item : Rates) {
    INFO(Item.Path << " seed " << Seed << " fullest span "
                   << Simulated.tally(Item.Path).FullestSpan);
    CHECK(Simulated.tally(Item.Path).FullestSpan <= 1);
    CHECK(Simulated.tally(Item.Path).Granted > 0);
  }
  double Fullest = 0;
  for (const NamedRate &Item : Rates)
    Fullest = std::max(Fullest, Simulated.tally(Item.Path).FullestSpan);
  std::cout << "faults, seed " << Seed << ": fullest span " << Fullest
            << " of what is permitted\n";
}

// Guards against the cost of many accounts: bytes between availability zones
// are expensive.
TEST_CASE("77 accounts cost a daemon less than 1 KB/s") {
  const int Count = GENERATE(Mesh, LargeMesh);
  AllowanceSimulation Simulated(7, Count);
  constexpr int Accounts = 77;
  double Sum = 0;
  for (int I = 0; I < Accounts; ++I) {
    // A few large accounts, and many small ones.
    const double PerSecond = std::max(1.0, 300.0 / (1 + I));
    Sum += PerSecond;
    const std::string Path = "team/accounts/a" + std::to_string(I);
    Simulated.addAccount(Path, {PerSecond, PerSecond});
    Simulated.setDemand(Path, PerSecond / UsualDivisor);
  }
  Simulated.run(milliseconds(5000));
  Simulated.resetTallies();
  Simulated.run(milliseconds(20'000));
  int Asked = 0;
  int Refused = 0;
  for (int I = 0; I < Accounts; ++I) {
    const AccountTally &Tally =
        Simulated.tally("team/accounts/a" + std::to_string(I));
    Asked += Tally.Asked;
    Refused += Tally.Refused + Tally.OutOfTouch;
  }
  std::cout << "77 accounts with " << Sum << " calls/s over "
            << Simulated.daemonCount()
            << " daemons: " << Simulated.bytesPerDaemonSecond() << " B/s, "
            << Simulated.messagesPerDaemonSecond()
            << " messages/s a daemon, refused " << Refused << " of " << Asked
            << "\n";
  constexpr double MaxBytes = 650;
  CHECK(Simulated.bytesPerDaemonSecond() < MaxBytes);
  CHECK(Refused < Asked / 100);
}
