#include "libpersimmon/targetchooser.h"
#include "libpersimmon/targetconfirmation.h"
#include "libpersimmon/versionfilter.h"

#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

const Time Now{std::chrono::hours(1)};
const std::string Service = "mesh/work";

wire::MemberRecord record(const std::string &Name, const std::string &Version,
                          std::int64_t Born) {
  wire::MemberRecord Out;
  Out.Name = Name;
  Out.Address = Name + ":1";
  Out.Incarnation = 1;
  Out.Sequence = 1;
  Out.State = wire::Liveness::Alive;
  Out.Service = Service;
  Out.Target = wire::TargetState::Serving;
  Out.Slots = 4;
  wire::TargetRun Run;
  Run.InstanceId = Name;
  Run.Born = Born;
  Out.__set_Run(Run);
  if (!Version.empty())
    Out.__set_TargetVersion(Version);
  return Out;
}

Membership members(const std::vector<wire::MemberRecord> &Records) {
  wire::MemberRecord Self;
  Self.Name = "self";
  Self.Address = "self:1";
  Self.Incarnation = 1;
  Membership Out(Self, {}, 1);
  for (const wire::MemberRecord &Record : Records) {
    wire::Gossip Head;
    Head.Updates.push_back(Record);
    Out.mergeGossip(Head, Now);
  }
  return Out;
}

Rollout rollout(RolloutState State, RolloutStage Stage, int CanaryPerMille) {
  Rollout Out;
  Out.Service = Service;
  Out.Id = "1";
  Out.Version = "v2";
  Out.Established = "v1";
  Out.State = State;
  Out.Stage = Stage;
  Out.CanaryPerMille = CanaryPerMille;
  Out.DurationMs = 12'000;
  Out.Digest = "d";
  return Out;
}

std::shared_ptr<const RouteTable> table(const std::optional<Rollout> &Order) {
  SettingsMap Settings;
  std::uint64_t Hash = 0;
  const auto Put = [&](const std::string &Path, const std::string &Value) {
    wire::Setting Entry;
    Entry.Path = Path;
    Entry.Value = Value;
    Entry.Version = 1;
    putSetting(Entry, Settings, Hash);
  };
  Put("mesh/services/work", "{}");
  Put("mesh/routes/r", R"({"job":"job","service":"mesh/work"})");
  if (Order)
    Put("mesh/rollouts/work", valueOf(*Order));
  std::shared_ptr<const RouteTable> Out;
  const Failure Error = handleResult(
      [&] {
        return RouteTable::build(Settings, nullptr, Validation::Required);
      },
      [&](auto Built) { Out = std::move(Built); });
  REQUIRE(!Error.failed());
  return Out;
}

/// The names of the members that a call may use.
std::set<std::string> allowed(const Membership &Members,
                              const VersionRule &Rule) {
  std::set<std::string> Out;
  for (const std::string &Name : Members.targetsOf(Service)) {
    if (Rule.allows(*Members.find(Name)))
      Out.insert(Name);
  }
  return Out;
}

using Names = std::set<std::string>;

struct Fixture {
  VersionFilter Filter{1};
  Membership Members = members({record("a", "v1", 10), record("b", "v1", 90),
                                record("c", "v2", 50), record("d", "", 5)});

  explicit Fixture() { this->Filter.enable(); }

  Names use(const std::optional<Rollout> &Order, bool Repeated = false,
            bool Confirmed = true) {
    const auto Table = table(Order);
    return allowed(this->Members,
                   this->Filter.ruleFor(this->Members, *Table, Service,
                                        Repeated, Confirmed));
  }
};

} // namespace

TEST_CASE("without an order only targets of the version of the one that "
          "started first get calls") {
  Fixture Given;
  // A target of unknown version gets calls while no roll-out runs.
  CHECK(Given.use(std::nullopt) == Names{"a", "b", "d"});
  Given.Members = members({record("c", "v2", 50), record("e", "v3", 60)});
  CHECK(Given.use(std::nullopt) == Names{"c"});
}

TEST_CASE("without the settings of roll-outs versions are ignored") {
  Fixture Given;
  VersionFilter Disabled(1);
  const auto Table =
      table(rollout(RolloutState::Running, RolloutStage::Full, 0));
  CHECK(allowed(Given.Members, Disabled.ruleFor(Given.Members, *Table, Service,
                                                false, true)) ==
        Names{"a", "b", "c", "d"});
}

TEST_CASE("stages decide on the version") {
  Fixture Given;
  using State = RolloutState;
  using Stage = RolloutStage;
  CHECK(Given.use(rollout(State::Running, Stage::Canary, 0)) ==
        Names{"a", "b"});
  CHECK(Given.use(rollout(State::Running, Stage::Canary, 1000)) == Names{"c"});
  CHECK(Given.use(rollout(State::Running, Stage::Full, 0)) == Names{"c"});
  CHECK(Given.use(rollout(State::Completed, Stage::Full, 0)) ==
        Names{"c", "d"});
  CHECK(Given.use(rollout(State::RolledBack, Stage::Full, 0)) ==
        Names{"a", "b"});
  // A repeated attempt is no canary.
  CHECK(Given.use(rollout(State::Running, Stage::Canary, 1000), true) ==
        Names{"a", "b"});
}

// Guards against calls to a version that was rolled back while the daemon was
// disconnected.
TEST_CASE("a daemon without a recent confirmation uses the old version") {
  Fixture Given;
  for (const RolloutStage Stage : {RolloutStage::Canary, RolloutStage::Full}) {
    CHECK(Given.use(rollout(RolloutState::Running, Stage, 1000), false,
                    false) == Names{"a", "b"});
  }
  CHECK(Given.use(rollout(RolloutState::Completed, RolloutStage::Full, 0),
                  false, false) == Names{"c", "d"});
}

TEST_CASE("other versions are used if the wanted one has no target") {
  Fixture Given;
  Given.Members = members({record("a", "v1", 10)});
  CHECK(Given.use(rollout(RolloutState::Running, RolloutStage::Canary, 1000)) ==
        Names{"a"});
  CHECK(Given.use(rollout(RolloutState::Running, RolloutStage::Full, 0)) ==
        Names{"a"});
  CHECK(Given.use(rollout(RolloutState::Completed, RolloutStage::Full, 0)) ==
        Names{"a"});
  Given.Members = members({record("c", "v2", 50)});
  CHECK(Given.use(rollout(RolloutState::RolledBack, RolloutStage::Full, 0)) ==
        Names{"c"});
  // A version that was not rolled back goes first.
  Given.Members = members({record("c", "v2", 50), record("e", "v3", 60)});
  CHECK(Given.use(rollout(RolloutState::RolledBack, RolloutStage::Full, 0)) ==
        Names{"e"});
}

// Guards against all calls going to an unproven version because the old targets
// stopped responding for a moment.
TEST_CASE("old targets that fell silent are preferred to the new version") {
  Fixture Given;
  Given.Members = members({record("a", "v1", 10), record("c", "v2", 50)});
  wire::MemberRecord Dead = record("a", "v1", 10);
  Dead.State = wire::Liveness::Dead;
  wire::Gossip Head;
  Head.Updates.push_back(Dead);
  Given.Members.mergeGossip(Head, Now);
  const auto Table =
      table(rollout(RolloutState::Running, RolloutStage::Canary, 0));
  LeastOfTwo Policy;
  TargetChooser Chooser("zone", 1, Policy);
  const auto Rule =
      Given.Filter.ruleFor(Given.Members, *Table, Service, false, true);
  const TargetChoice Choice =
      Chooser.choose(Given.Members, Service, {}, Now, {}, Rule);
  REQUIRE(Choice.Record != nullptr);
  CHECK(Choice.Record->Name == "a");
}

TEST_CASE("calls are counted by version and route while a roll-out runs") {
  Fixture Given;
  const auto Table =
      table(rollout(RolloutState::Running, RolloutStage::Canary, 1000));
  using End = VersionFilter::CallEnd;
  const wire::MemberRecord &New = *Given.Members.find("c");
  const auto Start = [&] {
    return Given.Filter.started(*Table, Service, "mesh/routes/r", New);
  };
  const auto First = Start();
  const auto Second = Start();
  const auto Third = Start();
  const auto Fourth = Start();
  Start();
  Given.Filter.ended(First, End::Answered, milliseconds(40));
  Given.Filter.ended(Second, End::Failed, milliseconds(3));
  Given.Filter.ended(Third, End::NotRun, milliseconds(1));
  Given.Filter.ended(Fourth, End::Answered, milliseconds(-1));
  const auto Counts = Given.Filter.counts(*Table);
  REQUIRE(Counts.size() == 1);
  CHECK(Counts[0].RolloutId == "1");
  CHECK(Counts[0].Version == "v2");
  CHECK(Counts[0].Route == "r");
  CHECK(Counts[0].Started == 4);
  CHECK(Counts[0].UnderWay == 1);
  CHECK(Counts[0].Answers == 3);
  CHECK(Counts[0].Failures == 1);
  CHECK(Counts[0].Timed == 1);
  CHECK(Counts[0].RunMs == 40);
  CHECK(Given.Filter
            .counts(
                *table(rollout(RolloutState::Completed, RolloutStage::Full, 0)))
            .empty());
}

// Guards against calls to a target of a bad version because its daemon
// restarted and has not heard of the version yet.
TEST_CASE("a daemon that restarted takes its target's version from members") {
  TargetConfirmation Evidence;
  wire::MemberRecord Former = record("a", "v2", 10);
  Evidence.receive(Former);
  TargetFound Found;
  Found.Service = Service;
  Found.InstanceId = "a";
  Found.Slots = 4;
  Evidence.find(Found, Now);
  const auto Confirmed = Evidence.confirmed();
  REQUIRE(Confirmed);
  CHECK(Confirmed->Target.Version == "v2");
}

// Guards against a roll-out that costs the daemons too much.
TEST_CASE("a report with the counts of a roll-out is small") {
  constexpr int Routes = 4;
  wire::Report Report;
  Report.From = "proxy-1";
  Report.Count = 9;
  const std::size_t Before = encode(Report).size();
  for (int I = 0; I < Routes; ++I) {
    for (const char *Version : {"v1", "v2"}) {
      wire::VersionAnswers &Item = Report.Versions.emplace_back();
      Item.RolloutId = "0a1b2c";
      Item.Version = Version;
      Item.Route = "route-" + std::to_string(I);
      Item.Answers = Item.Timed = 500;
      Item.Started = 510;
      Item.UnderWay = 10;
      Item.Failures = 3;
      Item.RunMs = 60'000;
      Item.LogRunMs = 2'400'000;
    }
  }
  const std::size_t Added = encode(Report).size() - Before;
  INFO(Added << " bytes");
  // Two reports a second stay under 1 KB/s.
  CHECK(Added < 500);
}
