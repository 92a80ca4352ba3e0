#include "support/fakecluster.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace persimmon;

namespace {

constexpr milliseconds ConvergenceTimeout{30'000};
constexpr milliseconds CallTime{9000};
constexpr double PerSecond = 30;
constexpr double Burst = 10;
constexpr double Overage = 1.1;
constexpr double Slack = 20;

const std::vector<std::string> Proxies = {"p1", "p2", "p3"};

/// Starts control instances and proxies with a limited account, which has the
/// key "key-a".
void prepare(FakeCluster &Cluster) {
  for (const char *Name : {"c1", "c2", "c3"})
    Cluster.addControl(Name);
  for (const std::string &Name : Proxies)
    Cluster.addProxy(Name, "zone-" + Name, "team/work", 20);
  for (const std::string &Name : Cluster.names())
    Cluster.start(Name);
  Cluster.form("c1");
  REQUIRE(Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  const std::vector<std::pair<std::string, std::string>> Settings = {
      {"team/services/work", "{}"},
      {"team/routes/any", R"({"job":"job","service":"team/work"})"},
      {"team/accounts/acme",
       R"({"keys":["key-a"],"ratePerSecond":30,"burst":10})"},
      {"team/accounts/free", R"({"keys":["key-b"]})"},
      {"team/access/callers", R"({"keyRequired":true})"}};
  for (const auto &[Path, Value] : Settings) {
    Cluster.change(Path, Value, 0);
    REQUIRE(
        Cluster.run(ConvergenceTimeout, [&] { return Cluster.converged(); }));
  }
  // Wait until every proxy knows every target.
  Cluster.run(milliseconds(2500));
}

struct Outcomes {
  int Asked = 0;
  int Runs = 0;
  /// Of the calls that were sent in the second half of the time.
  int LaterRuns = 0;
  std::map<ResultCode, int> Codes;

  int refused() const {
    int Sum = 0;
    for (const auto &[Code, Count] : this->Codes)
      Sum += Code == ResultCode::Ok ? 0 : Count;
    return Sum;
  }
};

/// Sends calls with \p Key through all proxies in turn, one every
/// \p Interval, and calls \p AtHalf after half of the time.
Outcomes callFor(
    FakeCluster &Cluster, const std::string &Key, milliseconds Duration,
    milliseconds Interval, const std::function<void()> &AtHalf = [] {}) {
  std::vector<std::string> Ids;
  std::size_t Half = 0;
  for (milliseconds Passed{0}; Passed < Duration; Passed += Interval) {
    if (Half == 0 && Passed >= Duration / 2) {
      Half = Ids.size();
      AtHalf();
    }
    const std::string &Entry = Proxies[Ids.size() % Proxies.size()];
    Ids.push_back(Cluster.callWithKey(Entry, Key));
    Cluster.run(Interval);
  }
  Cluster.run(CallTime);
  Outcomes Out;
  Out.Asked = static_cast<int>(Ids.size());
  for (std::size_t I = 0; I < Ids.size(); ++I) {
    const CallRecord &Call = Cluster.calls().at(Ids[I]);
    Out.Runs += Call.Runs;
    Out.LaterRuns += I >= Half ? Call.Runs : 0;
    Out.Codes[Call.Code] += 1;
  }
  return Out;
}

double permittedIn(double Seconds) {
  return (PerSecond * Seconds + Burst) * Overage + Slack;
}

} // namespace

// Guards against a rate that holds for each proxy instead of all of them, and
// against refusals of calls below the rate.
TEST_CASE("proxies share the rate of an account") {
  FakeCluster Cluster(1);
  prepare(Cluster);
  const Outcomes Below =
      callFor(Cluster, "key-a", milliseconds(5000), milliseconds(55));
  CHECK(Below.refused() == 0);
  const Outcomes Hot =
      callFor(Cluster, "key-a", milliseconds(5000), milliseconds(6));
  CHECK(Hot.Runs <= permittedIn(5));
  CHECK(Hot.Runs > 0.85 * PerSecond * 5);
  CHECK(Hot.Codes.at(ResultCode::RateExceeded) + Hot.Runs == Hot.Asked);
  const Outcomes Free =
      callFor(Cluster, "key-b", milliseconds(2000), milliseconds(20));
  CHECK(Free.Runs == Free.Asked);
  Cluster.checkCalls();
  CHECK(Cluster.violations().empty());
}

// Guards against shares that outlive the contact with the control instances,
// and against deployments that stop when only an unlimited account calls.
TEST_CASE("a disconnected proxy refuses calls of a limited account") {
  FakeCluster Cluster(2);
  prepare(Cluster);
  callFor(Cluster, "key-a", milliseconds(2000), milliseconds(50));
  for (const char *Name : {"c1", "c2", "c3"})
    Cluster.partition(Name, milliseconds(60'000));
  Cluster.run(ShareValidity);
  const Outcomes Cut =
      callFor(Cluster, "key-a", milliseconds(2000), milliseconds(50));
  CHECK(Cut.Runs == 0);
  CHECK(Cut.Codes.at(ResultCode::NotCurrent) == Cut.Asked);
  const Outcomes Free =
      callFor(Cluster, "key-b", milliseconds(2000), milliseconds(50));
  CHECK(Free.Runs == Free.Asked);
}

// Guards against calls beyond the rate while the leader is replaced, frozen or
// suspended.
TEST_CASE("the rate holds while leaders change") {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    FakeCluster Cluster(Seed);
    prepare(Cluster);
    const Outcomes During =
        callFor(Cluster, "key-a", milliseconds(10'000), milliseconds(10), [&] {
          const std::string Leader = Cluster.leader()->members().self().Name;
          if (Seed % 3 == 0)
            Cluster.crash(Leader);
          else if (Seed % 3 == 1)
            Cluster.freeze(Leader, milliseconds(2500));
          else
            Cluster.suspend(Leader, milliseconds(4000));
        });
    INFO("seed " << Seed);
    CHECK(During.LaterRuns <= permittedIn(5));
    // The shares go on without a leader.
    CHECK(During.LaterRuns > 0.6 * PerSecond * 5);
    std::cout << "leader lost, seed " << Seed << ": ran " << During.Runs
              << ", of them " << During.LaterRuns << " later\n";
    Cluster.run(milliseconds(6000));
    const Outcomes After =
        callFor(Cluster, "key-a", milliseconds(5000), milliseconds(55));
    CHECK(After.refused() == 0);
    Cluster.checkCalls();
    CHECK(Cluster.violations().empty());
  }
}
