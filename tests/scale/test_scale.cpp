#include "support/fakecluster.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

/// A small instance takes this long to validate one route: 13 us of a core, of
/// which it has 0.075.
constexpr std::chrono::microseconds TimePerRoute{173};
/// Proper changes must be acknowledged within this time.
constexpr milliseconds AckLimit{4000};

/// Three small control instances that have a leader, and a proxy.
struct SmallInstances {
  FakeCluster Cluster{1};

  SmallInstances() {
    for (const char *Name : {"c1", "c2", "c3"})
      this->Cluster.addControl(Name);
    this->Cluster.addProxy("p1", "zone-c1", "team/many", 4);
    for (const char *Name : {"c1", "c2", "c3", "p1"})
      this->Cluster.start(Name);
    this->Cluster.form("c1");
    const bool Ready = this->Cluster.run(milliseconds(10'000), [&] {
      return this->Cluster.leader() != nullptr &&
             this->Cluster.leader()->control()->consensus().voters().size() ==
                 3;
    });
    REQUIRE(Ready);
    this->Cluster.run(milliseconds(500));
    this->Cluster.setCompileTime(TimePerRoute);
  }

  bool accepted(const std::string &Id, milliseconds Limit) {
    return this->Cluster.run(
        Limit, [&] { return this->Cluster.acceptedVersion(Id).has_value(); });
  }

  std::int64_t term() const {
    return this->Cluster.leader()->control()->consensus().term();
  }
};

} // namespace

TEST_CASE("a large change is accepted without a change of leader") {
  for (const int Routes : {2400, 19'000}) {
    SmallInstances S;
    const std::int64_t Term = S.term();
    const std::string Id = S.Cluster.changeRoutes(Routes);
    // Proper changes have 3 ms more for each route.
    REQUIRE(S.accepted(Id, AckLimit + milliseconds(3 * Routes)));
    REQUIRE(S.Cluster.leader() != nullptr);
    CHECK(S.term() == Term);
    CHECK(S.Cluster.violations().empty());
  }
}

TEST_CASE("a small change beside many routes is accepted quickly") {
  SmallInstances S;
  REQUIRE(S.accepted(S.Cluster.changeRoutes(4000), milliseconds(20'000)));
  S.Cluster.run(milliseconds(500));
  const std::string Id = S.Cluster.change(
      "team/routes/one", R"({"job":"one","service":"team/many"})", 0);
  // A tenth of what validating all routes takes.
  CHECK(S.accepted(Id, milliseconds(70)));
}

TEST_CASE("a new leader with a long log serves soon after all instances were "
          "lost") {
  SmallInstances S;
  REQUIRE(S.accepted(S.Cluster.changeRoutes(2400), milliseconds(20'000)));
  std::int64_t Expected = 0;
  for (int I = 0; I < 40; ++I) {
    const std::string Id =
        S.Cluster.change("team/routes/one",
                         R"({"job":"one","service":"team/many","priority":)" +
                             std::to_string(I % 10) + "}",
                         Expected);
    REQUIRE(S.accepted(Id, AckLimit));
    Expected = *S.Cluster.acceptedVersion(Id);
  }
  for (const char *Name : {"c1", "c2", "c3"})
    S.Cluster.crash(Name);
  // All start again after 400 ms; the leader is ready within 1.5 s of that.
  REQUIRE(S.Cluster.run(milliseconds(1900),
                        [&] { return S.Cluster.leader() != nullptr; }));
  const std::int64_t Term = S.term();
  // It keeps its term while it compiles the settings for the next change.
  const std::string Id = S.Cluster.change(
      "team/routes/two", R"({"job":"two","service":"team/many"})", 0);
  REQUIRE(S.accepted(Id, AckLimit));
  CHECK(S.term() == Term);
  CHECK(S.Cluster.violations().empty());
}
