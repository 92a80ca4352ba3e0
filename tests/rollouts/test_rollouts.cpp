#include "support/fakecluster.h"

#include <catch2/catch.hpp>

#include <random>

using namespace persimmon;

namespace {

constexpr int Zones = 3;
constexpr int OldTargets = 9;
constexpr int NewTargets = 6;
constexpr milliseconds StepLength{50};
constexpr milliseconds InForceLimit{2000};

RolloutOrder order(const std::string &Version, double Seconds) {
  RolloutOrder Out;
  const Failure Error = handleResult(
      [&] { return makeRolloutOrder("team/work", Version, Seconds); },
      [&](RolloutOrder Made) { Out = std::move(Made); });
  REQUIRE(!Error.failed());
  return Out;
}

/// A service with targets of two versions under load.
class Deployment {
public:
  explicit Deployment(std::uint64_t Seed, bool WithRollouts = true)
      : Cluster(Seed), Random(static_cast<unsigned>(Seed)) {
    for (const char *Name : {"c1", "c2", "c3"})
      this->Cluster.addControl(Name);
    for (int I = 0; I < OldTargets + NewTargets; ++I) {
      const bool New = I >= OldTargets;
      this->Proxies.push_back((New ? "n" : "o") + std::to_string(I));
      this->Cluster.addProxy(this->Proxies.back(),
                             "zone-c" + std::to_string(I % Zones + 1),
                             "team/work", 8);
      this->Cluster.setVersion(this->Proxies.back(), New ? "v2" : "v1",
                               New ? 2000 : 1000);
    }
    if (WithRollouts)
      this->Cluster.enableRollouts({});
    this->Cluster.setRunner([this](const std::string &Name) {
      const bool New = Name.front() == 'n';
      this->Total += 1;
      this->Exposed += New ? 1 : 0;
      return New ? this->NewRun() : FakeRun{milliseconds(60)};
    });
    for (const std::string &Name : this->Cluster.names())
      this->Cluster.start(Name);
    this->Cluster.form("c1");
    this->Cluster.change("team/services/work", "{}", 0);
    this->Cluster.change("team/routes/r",
                         R"({"job":"job","service":"team/work"})", 0);
    REQUIRE(this->Cluster.run(milliseconds(15'000),
                              [&] { return this->Cluster.converged(); }));
  }

  /// Plays traffic for some time, or until \p Until.
  void play(
      milliseconds For,
      const std::function<bool()> &Until = [] { return false; }) {
    for (milliseconds Played{0}; Played < For && !Until();
         Played += StepLength) {
      for (int I = 0; I < this->CallsPerStep; ++I) {
        const std::string &Entry =
            this->Proxies[this->Random() % this->Proxies.size()];
        if (this->Cluster.node(Entry) != nullptr)
          this->Cluster.call(Entry, false);
      }
      this->Cluster.run(StepLength);
      this->Played += StepLength;
    }
  }

  std::string leaderName() const {
    const Node *Leader = this->Cluster.leader();
    return Leader == nullptr ? "" : Leader->members().self().Name;
  }

  /// Sends an order until it is answered clearly. Returns the answer.
  ResultCode send(const RolloutOrder &Order) {
    for (int I = 0; I < 40; ++I) {
      const std::string Leader = this->leaderName();
      if (Leader.empty()) {
        this->play(StepLength);
        continue;
      }
      const std::int64_t Id = this->Cluster.order(Leader, Order);
      this->play(milliseconds(400),
                 [&] { return this->Cluster.orderAnswer(Id).has_value(); });
      const auto Answer = this->Cluster.orderAnswer(Id);
      if (Answer && Answer->Code != ResultCode::NotLeader &&
          Answer->Code != ResultCode::OutcomePending)
        return Answer->Code;
    }
    return ResultCode::NoQuorum;
  }

  std::optional<Rollout> current() const {
    const Node *Leader = this->Cluster.leader();
    if (Leader == nullptr)
      return std::nullopt;
    return findRollout(Leader->control()->store().settings(), "team/work");
  }
  bool ended() const {
    const auto Now = this->current();
    return Now && !Now->running();
  }
  void resetCounts() { this->Total = this->Exposed = 0; }

  /// Plays until the deadline and checks the bound on the exposure there; then
  /// plays until the end.
  void playToEnd(milliseconds Deadline, milliseconds Beyond) {
    this->play(Deadline);
    INFO("exposed " << this->Exposed << " of " << this->Total);
    CHECK(static_cast<double>(this->Exposed) <=
          0.1 * static_cast<double>(this->Total) + 50);
    this->play(Beyond, [&] { return this->ended(); });
  }

  FakeCluster Cluster;
  std::mt19937 Random;
  std::vector<std::string> Proxies;
  std::function<FakeRun()> NewRun = [] { return FakeRun{milliseconds(60)}; };
  int CallsPerStep = 6;
  milliseconds Played{0};
  int Total = 0;
  int Exposed = 0;
};

} // namespace

TEST_CASE("a good version is completed and then gets all calls") {
  Deployment Given(1);
  Given.play(milliseconds(1000));
  // Without an order, targets of another version get no calls.
  CHECK(Given.Exposed == 0);
  CHECK(Given.Total > 100);
  Given.resetCounts();
  REQUIRE(Given.send(order("v2", 8)) == ResultCode::Ok);
  Given.playToEnd(milliseconds(7900), milliseconds(3000));
  REQUIRE(Given.ended());
  CHECK(Given.current()->State == RolloutState::Completed);
  Given.play(InForceLimit);
  Given.resetCounts();
  Given.play(milliseconds(500));
  CHECK(Given.Exposed == Given.Total);
  CHECK(Given.Cluster.violations().empty());
}

TEST_CASE("a bad version is rolled back and then gets no call") {
  Deployment Given(2);
  Given.NewRun = [&] {
    FakeRun Out{milliseconds(60)};
    if (Given.Random() % 2 == 0)
      Out.Status = 500;
    return Out;
  };
  Given.resetCounts();
  REQUIRE(Given.send(order("v2", 8)) == ResultCode::Ok);
  Given.playToEnd(milliseconds(7900), milliseconds(3000));
  REQUIRE(Given.ended());
  CHECK(Given.current()->State == RolloutState::RolledBack);
  Given.play(InForceLimit);
  Given.resetCounts();
  Given.play(milliseconds(1000));
  CHECK(Given.Exposed == 0);
  CHECK(Given.Cluster.violations().empty());
}

// Guards against an operator whose call ends with a refusal although its order
// was accepted.
TEST_CASE("a resent order is acknowledged again, another one refused") {
  Deployment Given(3);
  Given.CallsPerStep = 2;
  REQUIRE(Given.send(order("v2", 4)) == ResultCode::Ok);
  CHECK(Given.send(order("v2", 4)) == ResultCode::Ok);
  CHECK(Given.send(order("v3", 4)) == ResultCode::RolloutRunning);
  CHECK(Given.send(order("v2", 5)) == ResultCode::RolloutRunning);
  for (const char *Name : {"c1", "c2", "c3"}) {
    const std::int64_t Id = Given.Cluster.order(Name, order("v2", 4));
    Given.play(milliseconds(300));
    const auto Answer = Given.Cluster.orderAnswer(Id);
    REQUIRE(Answer);
    CHECK(Answer->Code == (Given.leaderName() == Name ? ResultCode::Ok
                                                      : ResultCode::NotLeader));
  }
  Given.play(milliseconds(9000), [&] { return Given.ended(); });
  REQUIRE(Given.ended());
  const std::string Id = Given.current()->Id;
  // Also after the end, and from a leader that has just restarted.
  CHECK(Given.send(order("v2", 4)) == ResultCode::Ok);
  Given.Cluster.crash(Given.leaderName());
  CHECK(Given.send(order("v2", 4)) == ResultCode::Ok);
  CHECK(Given.current()->Id == Id);
  CHECK(Given.send(order("v1", 4)) == ResultCode::Ok);
  CHECK(Given.current()->Id != Id);
  CHECK(Given.current()->Established == "v2");
  // The order before the last one may still be resent.
  CHECK(Given.send(order("v2", 4)) == ResultCode::Ok);
  RolloutOrder Unknown = order("v2", 4);
  Unknown.Service = "team/none";
  CHECK(Given.send(Unknown) == ResultCode::ValueInvalid);
}

TEST_CASE("of two orders at once one wins") {
  Deployment Given(4);
  Given.CallsPerStep = 1;
  const std::string Leader = Given.leaderName();
  const std::int64_t First = Given.Cluster.order(Leader, order("v2", 4));
  const std::int64_t Second = Given.Cluster.order(Leader, order("v3", 4));
  Given.play(milliseconds(500));
  REQUIRE(Given.Cluster.orderAnswer(First));
  REQUIRE(Given.Cluster.orderAnswer(Second));
  CHECK(Given.Cluster.orderAnswer(First)->Code == ResultCode::Ok);
  CHECK(Given.Cluster.orderAnswer(Second)->Code == ResultCode::RolloutRunning);
  CHECK(Given.current()->Version == "v2");
}

TEST_CASE("a roll-out goes on under a new leader") {
  const int CrashAtMs = GENERATE(1000, 5000, 7200);
  const bool Bad = GENERATE(false, true);
  Deployment Given(static_cast<std::uint64_t>(5 + CrashAtMs));
  if (Bad)
    Given.NewRun = [&] {
      FakeRun Out{milliseconds(60)};
      // Turns bad while there is no leader.
      if (Given.Played > milliseconds(CrashAtMs) && Given.Random() % 2 == 0)
        Out.Status = 500;
      return Out;
    };
  Given.resetCounts();
  REQUIRE(Given.send(order("v2", 8)) == ResultCode::Ok);
  Given.play(milliseconds(CrashAtMs));
  if (const std::string Leader = Given.leaderName(); !Leader.empty())
    Given.Cluster.crash(Leader);
  INFO("crash at " << CrashAtMs << " bad " << Bad);
  Given.playToEnd(milliseconds(7900 - CrashAtMs), milliseconds(10'000));
  REQUIRE(Given.ended());
  CHECK(Given.current()->State ==
        (Bad ? RolloutState::RolledBack : RolloutState::Completed));
  CHECK(Given.Cluster.violations().empty());
}

// Guards against a roll-out that is lost, or ended early, by a loss of power.
TEST_CASE("a roll-out survives the loss of power of all instances") {
  Deployment Given(6);
  REQUIRE(Given.send(order("v2", 8)) == ResultCode::Ok);
  Given.play(milliseconds(2500));
  const std::string Id = Given.current()->Id;
  for (const std::string &Name : Given.Cluster.names())
    Given.Cluster.crash(Name);
  Given.Total = Given.Exposed = 0;
  Given.play(milliseconds(5000));
  INFO("exposed " << Given.Exposed << " of " << Given.Total);
  CHECK(static_cast<double>(Given.Exposed) <=
        0.1 * static_cast<double>(Given.Total) + 50);
  REQUIRE(Given.current());
  CHECK(Given.current()->Id == Id);
  Given.play(milliseconds(12'000), [&] { return Given.ended(); });
  CHECK(Given.current()->State == RolloutState::Completed);
}

TEST_CASE("without the settings of roll-outs all versions get calls") {
  Deployment Given(7, false);
  Given.play(milliseconds(500));
  CHECK(Given.Exposed > 0);
}
