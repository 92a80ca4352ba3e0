#include "loadsimulation.h"

#include "libpersimmon/admissionqueue.h"
#include "libpersimmon/nestedloadlimiter.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <random>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};
constexpr std::uint64_t Seeds = 10;
/// No account is to be served less than this times as often as all calls.
constexpr double PromisedShare = 0.25;

/// Returns a load of many accounts of one priority, a few of them large, that
/// takes \p Utilization of ten slots. The first account is the largest.
SimulatedLoad accountLoad(int Accounts, double Utilization) {
  constexpr double ShortRunMs = 60;
  constexpr double LongRunMs = 150;
  SimulatedLoad Out;
  Out.Slots = 10;
  double SizeSum = 0;
  for (int I = 0; I < Accounts; ++I)
    SizeSum += 1.0 / (I + 1);
  const double RunMs = (2 * ShortRunMs + LongRunMs) / 3;
  const double PerSecond = Utilization * Out.Slots * 1000 / RunMs;
  for (int I = 0; I < Accounts; ++I) {
    const double Own = PerSecond / (I + 1) / SizeSum;
    const std::string Name = "account-" + std::to_string(I);
    Out.Routes.push_back({"short", 50, Own * 2 / 3, ShortRunMs,
                          milliseconds(300), milliseconds(900), Name});
    Out.Routes.push_back({"long", 50, Own / 3, LongRunMs, milliseconds(600),
                          milliseconds(1500), Name});
  }
  Out.BurstFrom = milliseconds(4'000);
  Out.BurstUntil = milliseconds(10'000);
  Out.Length = milliseconds(13'000);
  Out.Attempts = 3;
  Out.CountBurstOnly = true;
  return Out;
}

struct AccountOutcomes {
  std::string Name;
  int Arrived = 0;
  int Useful = 0;
  /// Run time of the useful calls at the means of their routes.
  double UsefulMs = 0;
  double served() const {
    return this->Arrived == 0 ? 1 : 1.0 * this->Useful / this->Arrived;
  }
};

struct Replay {
  std::vector<AccountOutcomes> Accounts;
  AccountOutcomes All;

  /// Returns the outcomes of all accounts but \p Hot.
  AccountOutcomes without(const std::string &Hot) const {
    AccountOutcomes Out;
    for (const AccountOutcomes &Item : this->Accounts) {
      if (Item.Name == Hot)
        continue;
      Out.Arrived += Item.Arrived;
      Out.Useful += Item.Useful;
    }
    return Out;
  }
  const AccountOutcomes &of(const std::string &Name) const {
    return *std::find_if(
        this->Accounts.begin(), this->Accounts.end(),
        [&](const AccountOutcomes &Item) { return Item.Name == Name; });
  }
  /// Returns how often the worst account is served, as a multiple of all calls.
  /// Accounts with few calls say nothing.
  double worstShare() const {
    constexpr int MinArrived = 12;
    double Out = 1;
    for (const AccountOutcomes &Item : this->Accounts) {
      if (Item.Arrived >= MinArrived)
        Out = std::min(Out, Item.served() / this->All.served());
    }
    return Out;
  }
};

Replay replay(const SimulatedLoad &Load, QueuePolicy Policy,
              std::uint64_t Seed) {
  const auto Outcomes = simulateLoad(Load, Policy, Seed);
  Replay Out;
  std::map<std::string, AccountOutcomes> ByName;
  for (std::size_t I = 0; I < Outcomes.size(); ++I) {
    for (AccountOutcomes *Item : {&ByName[Load.Routes[I].Account], &Out.All}) {
      Item->Arrived += Outcomes[I].Arrived;
      Item->Useful += Outcomes[I].Useful;
      Item->UsefulMs += Outcomes[I].Useful * Load.Routes[I].MeanRunMs;
    }
  }
  for (auto &[Name, Item] : ByName) {
    Item.Name = Name;
    Out.Accounts.push_back(Item);
  }
  return Out;
}

/// Makes the account \p Hot ask for nine times its usual load in the burst.
SimulatedLoad withHotAccount(SimulatedLoad Load, const std::string &Hot) {
  constexpr double HotFactor = 9;
  for (SimulatedRoute &Route : Load.Routes) {
    if (Route.Account == Hot)
      Route.BurstFactor = HotFactor;
  }
  return Load;
}

/// Sums of what is served without and with regard to accounts. Single replays
/// differ by their random arrivals.
struct FairnessCost {
  AccountOutcomes Before;
  AccountOutcomes After;

  void add(const Replay &Without, const Replay &With) {
    this->Before.Useful += Without.All.Useful;
    this->Before.UsefulMs += Without.All.UsefulMs;
    this->After.Useful += With.All.Useful;
    this->After.UsefulMs += With.All.UsefulMs;
  }

  /// Checks that no capacity is wasted. Fewer calls are served, since the order
  /// by useful time alone prefers short ones to the others' long ones.
  void check() const {
    CHECK(this->After.UsefulMs > this->Before.UsefulMs * 0.97);
    CHECK(this->After.Useful > this->Before.Useful * 0.85);
  }
};

WaitingCall waiting(std::int64_t Number, const std::string &Account,
                    int UsefulMs, int Priority = 0) {
  WaitingCall Out;
  Out.Id.Number = Number;
  Out.Route = "route";
  Out.Account = Account;
  Out.Priority = Priority;
  Out.UsefulUntil = Start + milliseconds(UsefulMs);
  Out.Deadline = Out.UsefulUntil;
  return Out;
}

} // namespace

TEST_CASE("a hot account does not take the others' capacity") {
  for (const char *Hot : {"account-0", "account-3", "account-20"}) {
    const SimulatedLoad Usual = accountLoad(30, 0.75);
    const SimulatedLoad Load = withHotAccount(Usual, Hot);
    FairnessCost Cost;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const Replay Before = replay(Load, QueuePolicy::Useful, Seed);
      const Replay After = replay(Load, QueuePolicy::ByAccount, Seed);
      INFO(Hot << ", seed " << Seed);
      if (Seed == 1)
        std::cout << Hot << " at 9 times its load, useful of others / own: "
                  << Before.without(Hot).served() << " / "
                  << Before.of(Hot).served() << " before, "
                  << After.without(Hot).served() << " / "
                  << After.of(Hot).served() << " after, worst "
                  << Before.worstShare() << " before, " << After.worstShare()
                  << " after\n";
      CHECK(After.without(Hot).served() > 0.8);
      CHECK(After.without(Hot).served() > Before.without(Hot).served() - 0.02);
      CHECK(After.worstShare() > PromisedShare);
      Cost.add(Before, After);
    }
    INFO("all seeds");
    Cost.check();
  }
}

TEST_CASE("in a burst of one kind no account is served much less often") {
  for (const double Utilization : {0.8, 1.2}) {
    SimulatedLoad Load = accountLoad(30, Utilization);
    FairnessCost Cost;
    for (SimulatedRoute &Route : Load.Routes) {
      if (Route.Name == "long")
        Route.BurstFactor = 2.5;
    }
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const Replay Before = replay(Load, QueuePolicy::Useful, Seed);
      const Replay After = replay(Load, QueuePolicy::ByAccount, Seed);
      INFO("utilization " << Utilization << ", seed " << Seed);
      if (Seed == 1)
        std::cout << "burst of one kind at " << Utilization
                  << ", useful of all: " << Before.All.served() << " before, "
                  << After.All.served() << " after, worst account "
                  << Before.worstShare() << " before, " << After.worstShare()
                  << " after\n";
      CHECK(After.worstShare() > PromisedShare);
      Cost.add(Before, After);
    }
    INFO("all seeds");
    Cost.check();
  }
}

// Calls without an account can be a large part of the load. With the part of
// one account among many they would hardly be served.
TEST_CASE("calls without an account are not served much less often") {
  SimulatedLoad Load = accountLoad(30, 1.0);
  double PerSecond = 0;
  for (const SimulatedRoute &Route : Load.Routes)
    PerSecond += Route.PerSecond;
  // Accounts of equal size, and as many calls without an account as of all.
  for (SimulatedRoute &Route : Load.Routes)
    Route.PerSecond = PerSecond / static_cast<double>(Load.Routes.size());
  Load.Routes.push_back(
      {"short", 50, PerSecond, 60, milliseconds(300), milliseconds(900), ""});
  Load.BurstFactor = 2;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const Replay After = replay(Load, QueuePolicy::ByAccount, Seed);
    INFO("seed " << Seed);
    if (Seed == 1)
      std::cout << "without account, useful of all / own: "
                << After.All.served() << " / " << After.of("").served() << "\n";
    CHECK(After.of("").served() > PromisedShare * After.All.served());
    CHECK(After.worstShare() > PromisedShare);
  }
}

// Guards deployments without accounts: their order is to stay as it was.
TEST_CASE("without accounts calls start in the order of their useful time") {
  std::mt19937_64 Rng(1);
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
  std::vector<WaitingCall> Expected;
  Time Now = Start;
  for (std::int64_t Number = 1; Number <= 2000; ++Number) {
    WaitingCall Call = waiting(Number, "", static_cast<int>(Rng() % 1000),
                               static_cast<int>(Rng() % 3));
    Call.Late = Rng() % 4 == 0;
    Call.Nested = Rng() % 5 == 0;
    Queue.arrived(Call, Now);
    Queue.add(Call);
    Expected.push_back(Call);
    Now += milliseconds(5);
    if (Rng() % 3 == 0)
      continue;
    const auto First = std::min_element(
        Expected.begin(), Expected.end(),
        [](const WaitingCall &Left, const WaitingCall &Right) {
          return std::tie(Right.Nested, Right.Priority, Left.Late,
                          Left.UsefulUntil, Left.Id) <
                 std::tie(Left.Nested, Left.Priority, Right.Late,
                          Right.UsefulUntil, Right.Id);
        });
    const WaitingCall Next = Queue.takeNext();
    Queue.started(Next, Now);
    REQUIRE(Next.Id.Number == First->Id.Number);
    Expected.erase(First);
  }
}

TEST_CASE("the call of another account passes the backlog of a hot one") {
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
  for (std::int64_t Number = 1; Number <= 4; ++Number) {
    const WaitingCall Call = waiting(Number, "hot", 300);
    Queue.arrived(Call, Start);
    Queue.add(Call);
  }
  const WaitingCall Running = Queue.takeNext();
  CHECK(Running.Id.Number == 1);
  Queue.started(Running, Start);
  const SlotState State{1, 100};
  // Behind three others of its account it would be too late.
  const WaitingCall More = waiting(5, "hot", 300);
  Queue.arrived(More, Start);
  CHECK(!Queue.canServe(More, State, Start));
  CHECK(!Queue.displacesLast(More));
  const WaitingCall Other = waiting(6, "other", 400);
  Queue.arrived(Other, Start);
  CHECK(Queue.canServe(Other, State, Start));
  CHECK(Queue.displacesLast(Other));
  Queue.add(Other);
  // The hot account's last calls make way, not the other's.
  for (const WaitingCall &Refused : Queue.takeUnservable(State, Start))
    CHECK(Refused.Account == "hot");
  CHECK(Queue.takeNext().Id.Number == 6);
  CHECK(Queue.takeNext().Id.Number == 2);
}

TEST_CASE("the waiting calls of one account lie one behind the other") {
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
  for (const WaitingCall &Call :
       {waiting(1, "hot", 300), waiting(2, "hot", 310), waiting(3, "hot", 320),
        waiting(4, "other", 400)}) {
    Queue.arrived(Call, Start);
    Queue.add(Call);
  }
  std::vector<std::int64_t> Order;
  for (const WaitingCall &Call : Queue.takeAll())
    Order.push_back(Call.Id.Number);
  CHECK(Order == std::vector<std::int64_t>{1, 4, 2, 3});
}

TEST_CASE("a higher priority goes first whatever its account") {
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
  const WaitingCall Low = waiting(1, "small", 100, 1);
  Queue.arrived(Low, Start);
  Queue.add(Low);
  for (std::int64_t Number = 2; Number <= 4; ++Number) {
    const WaitingCall Call = waiting(Number, "hot", 300, 2);
    Queue.arrived(Call, Start);
    Queue.add(Call);
  }
  for (int I = 0; I < 3; ++I) {
    const WaitingCall Next = Queue.takeNext();
    Queue.started(Next, Start);
    CHECK(Next.Account == "hot");
  }
  CHECK(Queue.takeNext().Account == "small");
}

// Equal parts alone give a large account as little as a small one.
TEST_CASE("an account that is served much less often goes first") {
  RunTimeEstimates RunTimes;
  RunTimes.addSample("route", 100);
  AdmissionQueue Queue(RunTimes);
  std::int64_t Number = 0;
  const auto Arrive = [&](const std::string &Account, int UsefulMs) {
    WaitingCall Out = waiting(++Number, Account, UsefulMs);
    Queue.arrived(Out, Start);
    return Out;
  };
  // Of 20 calls of the large account one was served, of 20 others all.
  Queue.started(Arrive("large", 300), Start);
  for (int I = 0; I < 20; ++I) {
    Queue.started(Arrive("small-" + std::to_string(I), 300), Start);
    if (I > 0)
      Arrive("large", 300);
  }
  // The part of the large account is used up.
  const WaitingCall Large = Arrive("large", 400);
  const WaitingCall Small = Arrive("small-new", 300);
  Queue.add(Large);
  Queue.add(Small);
  CHECK(Queue.takeNext().Id.Number == Large.Id.Number);
  CHECK(Queue.takeNext().Id.Number == Small.Id.Number);
}

// Guards against a shortage of a service that runs call, caused by one account,
// that is paid for by all.
TEST_CASE("calls refused for a nested shortage are those of a hot account") {
  AccountFairness Fairness;
  constexpr int Priority = 5;
  const auto Arrive = [&](const std::string &Account, int Count) {
    for (int I = 0; I < Count; ++I)
      Fairness.arrived(Priority, Account, Start);
  };
  Arrive("hot", 90);
  for (int I = 0; I < 10; ++I)
    Arrive("small-" + std::to_string(I), 1);
  const auto Share = [&](const std::string &Account, double OfAll) {
    return Fairness.admittedShare(Priority, Account, OfAll, Start);
  };
  // Half of the 100 calls: ten of the small accounts, 40 of the hot one.
  CHECK(Share("small-3", 0.5) == 1);
  CHECK(Share("hot", 0.5) == Approx(40.0 / 90));
  CHECK(Share("hot", 1) == 1);
  // Less than an equal part for each; the hot account keeps its promised share.
  CHECK(Share("small-3", 0.055) == Approx(0.5));
  CHECK(Share("hot", 0.055) == Approx(0.4 * 0.055));
  CHECK(Share("unknown", 0.5) == 0.5);
  CHECK(Fairness.admittedShare(Priority + 1, "hot", 0.5, Start) == 0.5);
}

TEST_CASE("the nested load limiter refuses by account") {
  NestedLoadLimiter Limiter(5);
  RunTimeEstimates RunTimes;
  AdmissionQueue Queue(RunTimes);
  Time Now = Start;
  std::map<std::string, int> Arrived;
  std::map<std::string, int> Admitted;
  const auto Call = [&](const std::string &Account, bool Counted) {
    Queue.arrived(waiting(0, Account, 300, 5), Now);
    const bool Ok = Limiter.admit("calls", 5, Now, [&](double OfAll) {
      return Queue.admittedShare(5, Account, OfAll, Now);
    });
    if (!Counted)
      return;
    Arrived[Account] += 1;
    Admitted[Account] += Ok ? 1 : 0;
  };
  // The hot account asks nine times in ten. Nested calls fail until half of the
  // calls are refused.
  for (int I = 0; I < 1000; ++I, Now += milliseconds(10)) {
    const std::int64_t Before = Limiter.nestedCount();
    Call(I % 10 == 0 ? "usual" : "hot", I > 200);
    Limiter.nestedEnded({Limiter.refusedShare("calls") < 0.5, {}}, Now);
    Limiter.runEnded("calls", Before, milliseconds(10), 1, Now);
  }
  CHECK(Limiter.refusedShare("calls") > 0.4);
  // The refused share overshoots now and then.
  CHECK(Admitted["usual"] > Arrived["usual"] * 0.9);
  CHECK(Admitted["hot"] < Arrived["hot"] * 0.6);
  CHECK(Admitted["hot"] > 0);
}
