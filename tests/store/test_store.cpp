#include "libpersimmon/settingsstore.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <fstream>

using namespace persimmon;

namespace {

/// A store with the index of the last log entry that was applied to it.
struct Fixture {
  SettingsStore Store;
  std::int64_t Index = 0;
  int Changes = 0;

  static wire::PathEdit put(const std::string &Path, const std::string &Value,
                            std::int64_t Expected) {
    wire::PathEdit Out;
    Out.Path = Path;
    Out.Value = Value;
    Out.ExpectedVersion = Expected;
    return Out;
  }

  static wire::PathEdit remove(const std::string &Path, std::int64_t Expected) {
    wire::PathEdit Out;
    Out.Path = Path;
    Out.Remove = true;
    Out.ExpectedVersion = Expected;
    return Out;
  }

  wire::Change change(std::vector<wire::PathEdit> Edits) {
    wire::Change Out;
    Out.ChangeId = "id-" + std::to_string(++this->Changes);
    Out.Team = "team";
    Out.BasedOn = this->Store.version();
    Out.Edits = std::move(Edits);
    return Out;
  }

  Failure submit(const wire::Change &Wanted) {
    Failure Refusal = this->Store.check(Wanted);
    if (Refusal.failed())
      return Refusal;
    wire::LogEntry Entry;
    Entry.Kind = wire::EntryKind::Change;
    Entry.Index = ++this->Index;
    Entry.TheChange = Wanted;
    this->Store.apply(Entry);
    return {};
  }

  Failure submit(std::vector<wire::PathEdit> Edits) {
    return this->submit(this->change(std::move(Edits)));
  }
};

const std::string Service = R"({"queue":1})";
const std::string Route = R"({"job":"job","service":"team/work"})";

} // namespace

TEST_CASE("a conflict names the current version and changes nothing") {
  Fixture F;
  REQUIRE(!F.submit({Fixture::put("team/services/work", Service, 0)}).failed());
  const std::uint64_t Hash = F.Store.hash();
  const Failure Error =
      F.submit({Fixture::put("team/services/other", Service, 0),
                Fixture::put("team/services/work", Service, 0)});
  CHECK(Error.Code == ResultCode::Conflict);
  CHECK(Error.Where == "team/services/work");
  CHECK(Error.What.find("current version is 1") != std::string::npos);
  CHECK(F.Store.version() == 1);
  CHECK(F.Store.hash() == Hash);
  CHECK(F.Store.settings().size() == 1);
}

TEST_CASE(
    "the resulting configuration is validated before a change is applied") {
  Fixture F;
  CHECK(F.submit({Fixture::put("team/routes/r", Route, 0)}).Code ==
        ResultCode::ReferenceMissing);
  REQUIRE(!F.submit({Fixture::put("team/services/work", Service, 0),
                     Fixture::put("team/routes/r", Route, 0)})
               .failed());
  CHECK(F.submit({Fixture::remove("team/services/work", 1)}).Code ==
        ResultCode::ReferenceMissing);
  CHECK(F.submit({Fixture::put("team/routes/s", Route, 0)}).Code ==
        ResultCode::MatchTaken);
  CHECK(
      F.submit({Fixture::put("team/services/x", R"({"queue":"1"})", 0)}).Code ==
      ResultCode::ValueInvalid);
  CHECK(F.submit({Fixture::put("team/services/x", "nonsense", 0)}).Code ==
        ResultCode::ValueInvalid);
  CHECK(F.submit({Fixture::put("team/things/x", Service, 0)}).Code ==
        ResultCode::ValueInvalid);
  CHECK(F.submit({Fixture::put("other/services/x", Service, 0)}).Code ==
        ResultCode::OutsideSubtree);
  CHECK(F.submit({Fixture::remove("team/services/none", 0)}).Code ==
        ResultCode::PathUnknown);
  CHECK(F.Store.version() == 1);
  // A change may remove a service together with its route.
  CHECK(!F.submit({Fixture::remove("team/services/work", 1),
                   Fixture::remove("team/routes/r", 1)})
             .failed());
  CHECK(F.Store.settings().empty());
}

TEST_CASE("a change id keeps its first outcome over snapshots") {
  Fixture F;
  const wire::Change First =
      F.change({Fixture::put("team/services/work", Service, 0)});
  REQUIRE(!F.submit(First).failed());
  SettingsStore Copy;
  const wire::StoreSnapshot Snapshot = F.Store.snapshot(F.Index, 1);
  REQUIRE(
      !handleResult([&] { return Copy.restore(Snapshot); }, [] {}).failed());
  REQUIRE(Copy.outcomeOf(First.ChangeId));
  CHECK(*Copy.outcomeOf(First.ChangeId) == 1);
  CHECK(Copy.hash() == F.Store.hash());
  // Applying the same change again as a second log entry has no effect.
  wire::LogEntry Again;
  Again.Kind = wire::EntryKind::Change;
  Again.Index = 2;
  Again.TheChange = First;
  CHECK(!Copy.apply(Again));
  CHECK(Copy.version() == 1);
}

TEST_CASE("a resend whose outcome has been evicted is rejected") {
  Fixture F;
  const wire::Change First =
      F.change({Fixture::put("team/services/work", Service, 0)});
  REQUIRE(!F.submit(First).failed());
  for (int I = 0; I < 5000; ++I)
    REQUIRE(!F.submit({Fixture::put("team/services/work", Service,
                                    F.Store.version())})
                 .failed());
  CHECK(!F.Store.outcomeOf(First.ChangeId));
  CHECK(F.submit(First).Code == ResultCode::ChangeTooOld);
}

TEST_CASE("a team's token authorizes only its own subtree") {
  Fixture F;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Team;
  Entry.Index = ++F.Index;
  Entry.Team.Team = "team";
  Entry.Team.Salt = "salt";
  Entry.Team.TokenHash = hashToken("salt", "secret-token");
  F.Store.apply(Entry);
  CHECK(F.Store.authorized("team", "secret-token"));
  CHECK(!F.Store.authorized("team", "secret-tokeN"));
  CHECK(!F.Store.authorized("other", "secret-token"));
  CHECK(!F.Store.authorized("", "secret-token"));
}

TEST_CASE("versions after a recovery exceed the lost ones") {
  Fixture F;
  REQUIRE(!F.submit({Fixture::put("team/services/work", Service, 0)}).failed());
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Index = ++F.Index;
  Entry.VersionBase = 1'000'000;
  const auto Applied = F.Store.apply(Entry);
  REQUIRE(Applied);
  CHECK(Applied->Change.From == 1);
  CHECK(F.Store.version() == 1'000'002);
  REQUIRE(!F.submit({Fixture::put("team/services/work", Service, 1)}).failed());
  CHECK(F.Store.version() == 1'000'003);
}

TEST_CASE("claims are granted once and released only by their owner") {
  ClaimTable Table;
  wire::Claim First;
  First.Key = "key";
  First.Owner = "p1";
  First.CallNumber = 1;
  First.GrantedAt = 100;
  Table.apply({First}, 0);
  wire::Claim Second = First;
  Second.Owner = "p2";
  Table.apply({Second}, 0);
  REQUIRE(Table.find("key") != nullptr);
  CHECK(Table.find("key")->Owner == "p1");
  Second.Release = true;
  Table.apply({Second}, 0);
  CHECK(Table.find("key") != nullptr);
  First.Release = true;
  Table.apply({First}, 0);
  CHECK(Table.find("key") == nullptr);
  First.Release = false;
  Table.apply({First}, 0);
  Table.apply({}, 99);
  CHECK(Table.size() == 1);
  Table.apply({}, 100);
  CHECK(Table.size() == 0);
}

TEST_CASE("the route with the longest prefix of whole segments matches") {
  Fixture F;
  REQUIRE(!F.submit({Fixture::put("team/services/work", Service, 0),
                     Fixture::put("team/services/photos", Service, 0),
                     Fixture::put("team/routes/all", Route, 0),
                     Fixture::put("team/routes/photos",
                                  R"({"job":"job","service":"team/photos",
                                      "pathPrefix":"/photos"})",
                                  0)})
               .failed());
  std::shared_ptr<const RouteTable> Table;
  handleResult(
      [&] {
        return RouteTable::build(F.Store.settings(), nullptr,
                                 Validation::Required);
      },
      [&](auto Built) { Table = std::move(Built); });
  REQUIRE(Table);
  CHECK(Table->match("job", "/photos/1")->Parts.front().Service ==
        "team/photos");
  CHECK(Table->match("job", "/photos?x=1")->Parts.front().Service ==
        "team/photos");
  CHECK(Table->match("job", "/photosets")->Parts.front().Service ==
        "team/work");
  CHECK(Table->match("oldsales-job", "/photos") == nullptr);
}

TEST_CASE("the settings of the shipped examples are accepted") {
  for (const char *Name :
       {"/association/labels.json", "/kurvstrygning/booking.json",
        "/kurvstrygning/pressing.json", "/demo/first.json"}) {
    std::ifstream In(std::string(EXAMPLES_FOLDER) + Name);
    const nlohmann::json Document = nlohmann::json::parse(In);
    SettingsStore Store;
    wire::Change Wanted;
    Wanted.ChangeId = "id";
    for (const auto &[Path, Value] : Document.items()) {
      Wanted.Team = Path.substr(0, Path.find('/'));
      Wanted.Edits.push_back(Fixture::put(Path, Value.dump(), 0));
    }
    const Failure Error = Store.check(Wanted);
    INFO(Name << " " << describe(Error));
    CHECK(!Error.failed());
  }
}

TEST_CASE("the incremental hash of the store equals that of its content") {
  Fixture F;
  const auto Sum = [&] {
    std::uint64_t Out = 0;
    for (const auto &[Path, Entry] : F.Store.settings())
      Out += hashOf(Entry);
    return Out;
  };
  const std::string Path = "team/services/work";
  const std::string Other = "team/services/other";
  REQUIRE(!F.submit({F.put(Path, "{}", 0), F.put(Other, "{}", 0)}).failed());
  CHECK(F.Store.hash() == Sum());
  REQUIRE(!F.submit({F.put(Path, R"({"queue":2})", 1)}).failed());
  CHECK(F.Store.hash() == Sum());
  REQUIRE(!F.Store.check(F.change({F.remove(Other, 1)})).failed());
  CHECK(F.Store.hash() == Sum());
  REQUIRE(!F.submit({F.remove(Other, 1), F.put(Path, "{}", 2)}).failed());
  CHECK(F.Store.settings().size() == 1);
  CHECK(F.Store.hash() == Sum());
}

namespace {

/// Returns edits that add \p Count routes to one service.
std::vector<wire::PathEdit> manyRoutes(int Count) {
  std::vector<wire::PathEdit> Out = {
      Fixture::put("team/services/work", Service, 0)};
  for (int I = 0; I < Count; ++I)
    Out.push_back(
        Fixture::put("team/routes/r" + std::to_string(I),
                     R"({"job":"job","service":"team/work","pathPrefix":"/p)" +
                         std::to_string(I) + "\"}",
                     0));
  return Out;
}

} // namespace

TEST_CASE("a large change is checked in steps of a bounded number of edits") {
  Fixture F;
  constexpr std::size_t MaxEdits = 64;
  const wire::Change Wanted = F.change(manyRoutes(2400));
  F.Store.startCheck(Wanted);
  std::optional<Failure> Result;
  int Steps = 0;
  std::uint64_t Before = 0;
  while (!Result && ++Steps < 1000) {
    Result = F.Store.advanceCheck(MaxEdits);
    CHECK(F.Store.compiledSettings() - Before <= MaxEdits);
    Before = F.Store.compiledSettings();
  }
  REQUIRE(Result);
  CHECK(!Result->failed());
  CHECK(Steps >= 2400 / 64);
}

TEST_CASE("a change of one route of many is checked by the work for one") {
  Fixture F;
  REQUIRE(!F.submit(manyRoutes(4000)).failed());
  const std::uint64_t Before = F.Store.compiledSettings();
  REQUIRE(
      !F
           .submit({Fixture::put(
               "team/routes/r7",
               R"({"job":"job","service":"team/work","pathPrefix":"/x"})", 1)})
           .failed());
  CHECK(F.Store.compiledSettings() - Before == 1);
  CHECK(F.Store.table()->match("job", "/p7") == nullptr);
  CHECK(F.Store.table()->match("job", "/x/1") != nullptr);
  CHECK(F.Store.table()->match("job", "/p8") != nullptr);
  CHECK(F.Store.table()->routeCount() == 4000);
}

TEST_CASE("a replica that only follows compiles nothing") {
  Fixture F;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.Index = 1;
  Entry.TheChange = F.change(manyRoutes(100));
  F.Store.apply(Entry);
  F.Index = 1;
  CHECK(F.Store.version() == 1);
  CHECK(F.Store.compiledSettings() == 0);
  // It compiles the settings once when it checks a change as leader.
  REQUIRE(!F.submit({Fixture::put("team/routes/r1", Route, 1)}).failed());
  CHECK(F.Store.compiledSettings() == 102);
}

TEST_CASE("a table that was changed step by step equals one built anew") {
  Fixture F;
  REQUIRE(!F.submit(manyRoutes(50)).failed());
  const auto Change = [&](const std::string &Name, const std::string &Prefix,
                          std::int64_t Expected) {
    return Fixture::put("team/routes/" + Name,
                        R"({"job":"job","service":"team/work","pathPrefix":")" +
                            Prefix + "\"}",
                        Expected);
  };
  // Two routes exchange their prefixes within one change.
  REQUIRE(!F.submit({Change("r1", "/p2", 1), Change("r2", "/p1", 1)}).failed());
  CHECK(F.Store.table()->match("job", "/p2")->Path == "team/routes/r1");
  CHECK(F.Store.table()->match("job", "/p1")->Path == "team/routes/r2");
  CHECK(F.submit({Change("r3", "/p4", 1)}).Code == ResultCode::MatchTaken);
  REQUIRE(!F.submit({Fixture::remove("team/routes/r4", 1)}).failed());
  REQUIRE(!F.submit({Change("r3", "/p4", 1)}).failed());
  CHECK(F.submit({Fixture::remove("team/services/work", 1)}).Code ==
        ResultCode::ReferenceMissing);
  std::shared_ptr<const RouteTable> Anew;
  handleResult(
      [&] {
        return RouteTable::build(F.Store.settings(), nullptr,
                                 Validation::Required);
      },
      [&](auto Built) { Anew = std::move(Built); });
  REQUIRE(Anew);
  CHECK(Anew->routeCount() == F.Store.table()->routeCount());
  for (int I = 0; I < 50; ++I) {
    const std::string Url = "/p" + std::to_string(I) + "/x";
    const RouteSpec *Left = Anew->match("job", Url);
    const RouteSpec *Right = F.Store.table()->match("job", Url);
    REQUIRE((Left == nullptr) == (Right == nullptr));
    if (Left != nullptr)
      CHECK(Left->Path == Right->Path);
  }
}
