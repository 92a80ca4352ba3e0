#include "libpersimmon/accountkeys.h"
#include "platform/configuration.h"

#include <nlohmann/json.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

using namespace persimmon;
using nlohmann::json;

namespace {

json document() {
  return json::parse(R"({"version":1,"baseVersion":0,"routes":[
{"name":"r-1","host":"a.example","pathPrefix":"/p/","kind":"unsafe",
 "timeoutS":0.6,"priority":1,"service":"one","maxAttempts":2},
{"name":"r-2","host":"a.example","pathPrefix":"/q/","kind":"safe",
 "timeoutS":0.5,"service":"one","maxAttempts":2,"allowAnonymous":true}],
"services":[{"name":"one","healthPath":"/health"}],
"tenants":[{"name":"acme","apiKeys":["key-a1","key-a2"],"priority":2,
 "ratePerS":120.5,"burst":100},
 {"name":"bare","apiKeys":["key-b"]},
 {"name":"odd","apiKeys":["key-o"],"priority":130,"burst":0,
  "tier":"a field to come"}]})");
}

/// A store that operators' documents are submitted to.
struct Documents {
  SettingsStore Store;
  std::int64_t Number = 0;

  /// Submits \p Document as the next version.
  Failure submit(json Document) {
    Document["version"] = this->Number + 1;
    Document["baseVersion"] = this->Number;
    SubtreeDocument Wanted;
    wire::LogEntry Entry;
    Failure Error = handleResult(
        [&] { return platform::readConfiguration(Document.dump()); },
        [&](SubtreeDocument Read) { Wanted = std::move(Read); });
    if (Error.failed())
      return Error;
    Entry.Kind = wire::EntryKind::Change;
    Entry.Index = this->Number + 1;
    Error = handleResult(
        [&] { return replaceSubtree(this->Store.settings(), Wanted); },
        [&](wire::Change Made) { Entry.TheChange = std::move(Made); });
    if (!Error.failed())
      Error = this->Store.check(Entry.TheChange);
    if (Error.failed())
      return Error;
    this->Store.apply(Entry);
    this->Number += 1;
    return {};
  }

  json read() const {
    return platform::writeConfiguration(this->Store.settings());
  }

  std::string accountOf(std::string_view Key) const {
    const AccountSpec *Found = this->Store.table()->accountOf("mesh", Key);
    return Found == nullptr ? "" : Found->Name;
  }
};

json sortedAccounts(json Document) {
  std::sort(Document["tenants"].begin(), Document["tenants"].end(),
            [](const json &Left, const json &Right) {
              return Left.at("name") < Right.at("name");
            });
  return Document["tenants"];
}

} // namespace

TEST_CASE("accounts are returned as they were sent") {
  Documents D;
  REQUIRE(!D.submit(document()).failed());
  CHECK(sortedAccounts(D.read()) == sortedAccounts(document()));
  CHECK(D.read()["routes"][1]["allowAnonymous"] == true);
  CHECK(!D.read()["routes"][0].contains("allowAnonymous"));
}

// An empty list requires keys and accepts none; without the member, keys have
// no meaning. Both have to survive being stored and read.
TEST_CASE("an empty list of accounts differs from none") {
  Documents D;
  json Document = document();
  Document["tenants"] = json::array();
  REQUIRE(!D.submit(Document).failed());
  CHECK(D.read()["tenants"] == json::array());
  CHECK(D.Store.table()->requiresKey("mesh"));
  Document.erase("tenants");
  REQUIRE(!D.submit(Document).failed());
  CHECK(!D.read().contains("tenants"));
  CHECK(!D.Store.table()->requiresKey("mesh"));
}

TEST_CASE("accounts become settings that are found by key") {
  Documents D;
  REQUIRE(!D.submit(document()).failed());
  const RouteTable &Table = *D.Store.table();
  CHECK(Table.requiresKey("mesh"));
  CHECK(!Table.requiresKey("mes"));
  CHECK(Table.accountCount() == 3);
  const AccountSpec *Account = Table.accountOf("mesh", "key-a2");
  REQUIRE(Account != nullptr);
  CHECK(Account->Name == "acme");
  CHECK(Account->Path == "mesh/accounts/acme");
  CHECK(Account->Priority == 98);
  CHECK(Account->RatePerSecond == 120.5);
  CHECK(Account->Burst == 100);
  CHECK(Table.account("mesh/accounts/acme") == Account);
  CHECK(!Table.accountOf("mesh", "key-b")->Priority);
  CHECK(Table.accountOf("mesh", "key-o")->Priority == 0);
  CHECK(Table.accountOf("mesh", "") == nullptr);
  CHECK(Table.accountOf("mesh", "key-") == nullptr);
  CHECK(Table.accountOf("other", "key-b") == nullptr);
  CHECK(Table.match("a.example", "/q/")->Anonymous);
  CHECK(!Table.match("a.example", "/p/")->Anonymous);
}

TEST_CASE("documents with invalid accounts are refused without a trace") {
  const std::string Secret = "key-a1";
  const auto SetMember = [](const char *Key, const json &Value) {
    json Out = document();
    Out["tenants"][0][Key] = Value;
    return Out;
  };
  struct Case {
    std::string Name;
    json Document;
    ResultCode Code;
  };
  std::vector<Case> Cases = {
      {"key of another", SetMember("apiKeys", {"key-x", "key-b"}),
       ResultCode::KeyTaken},
      {"key twice", SetMember("apiKeys", {Secret, Secret}),
       ResultCode::KeyTaken},
      {"name twice", SetMember("name", "bare"), ResultCode::ValueInvalid},
      {"name of wrong type", SetMember("name", 7), ResultCode::ValueInvalid},
      {"name null", SetMember("name", nullptr), ResultCode::ValueInvalid},
      {"empty name", SetMember("name", ""), ResultCode::ValueInvalid},
      {"keys are no list", SetMember("apiKeys", Secret),
       ResultCode::ValueInvalid},
      {"keys are an object", SetMember("apiKeys", json{{Secret, 1}}),
       ResultCode::ValueInvalid},
      {"key is a number", SetMember("apiKeys", {Secret, 5}),
       ResultCode::ValueInvalid},
      {"empty key", SetMember("apiKeys", {Secret, ""}),
       ResultCode::ValueInvalid},
      {"priority text", SetMember("priority", "1"), ResultCode::ValueInvalid},
      {"priority bool", SetMember("priority", true), ResultCode::ValueInvalid},
      {"priority null", SetMember("priority", nullptr),
       ResultCode::ValueInvalid},
      {"rate text", SetMember("ratePerS", "5"), ResultCode::ValueInvalid},
      {"rate bool", SetMember("ratePerS", true), ResultCode::ValueInvalid},
      {"rate negative", SetMember("ratePerS", -1), ResultCode::ValueInvalid},
      {"burst list", SetMember("burst", json::array()),
       ResultCode::ValueInvalid},
      {"burst negative", SetMember("burst", -0.5), ResultCode::ValueInvalid}};
  json Other = document();
  Other["tenants"][0].erase("name");
  Cases.push_back({"no name", Other, ResultCode::ValueInvalid});
  for (const json &Value : {json(nullptr), json("x"), json::object()}) {
    Other = document();
    Other["tenants"] = Value;
    Cases.push_back({"no list", Other, ResultCode::ValueInvalid});
  }
  Other = document();
  Other["tenants"].push_back("key-a1");
  Cases.push_back({"no object", Other, ResultCode::ValueInvalid});
  Other = document();
  Other["routes"][0]["allowAnonymous"] = "yes";
  Cases.push_back({"anonymous text", Other, ResultCode::ValueInvalid});
  Documents D;
  REQUIRE(!D.submit(document()).failed());
  const json Before = D.read();
  for (const Case &Item : Cases) {
    INFO(Item.Name);
    const Failure Error = D.submit(Item.Document);
    CHECK(Error.Code == Item.Code);
    // Errors are answered and logged, so they must not show a key.
    CHECK(describe(Error).find("key-") == std::string::npos);
    const int Status =
        platform::makeOperatorProtocol()->makeErrorResponse(Error, {}).Status;
    CHECK(Status >= 400);
    CHECK(Status < 500);
    CHECK(D.read() == Before);
    CHECK(D.accountOf(Secret) == "acme");
  }
}

// Guards against an index of keys that keeps what a change removed.
TEST_CASE("keys move between accounts in one change") {
  Documents D;
  REQUIRE(!D.submit(document()).failed());
  json Next = document();
  Next["tenants"][0]["apiKeys"] = {"key-b", "key-new"};
  Next["tenants"][1]["apiKeys"] = {"key-a1"};
  REQUIRE(!D.submit(Next).failed());
  CHECK(D.accountOf("key-b") == "acme");
  CHECK(D.accountOf("key-new") == "acme");
  CHECK(D.accountOf("key-a1") == "bare");
  CHECK(D.accountOf("key-a2").empty());
  // An account that is removed and one that takes over its key.
  Next["tenants"].erase(1);
  Next["tenants"].push_back({{"name", "heir"}, {"apiKeys", {"key-a1"}}});
  REQUIRE(!D.submit(Next).failed());
  CHECK(D.accountOf("key-a1") == "heir");
  CHECK(D.Store.table()->accountCount() == 3);
  Next["tenants"].push_back({{"name", "late"}, {"apiKeys", {"key-new"}}});
  CHECK(D.submit(Next).Code == ResultCode::KeyTaken);
  Next["tenants"].erase(0);
  CHECK(!D.submit(Next).failed());
  CHECK(D.accountOf("key-new") == "late");
}

// A proxy applies deltas and snapshots; both must give the same keys.
TEST_CASE("a table built at once has the keys of one built by changes") {
  Documents D;
  REQUIRE(!D.submit(document()).failed());
  json Next = document();
  Next["tenants"][0]["apiKeys"] = {"key-a2", "key-a3"};
  Next["tenants"].erase(2);
  REQUIRE(!D.submit(Next).failed());
  std::shared_ptr<const RouteTable> Built;
  const Failure Error = handleResult(
      [&] {
        return RouteTable::build(D.Store.settings(), D.Store.table().get(),
                                 {Validation::Skip});
      },
      [&](std::shared_ptr<const RouteTable> Table) {
        Built = std::move(Table);
      });
  REQUIRE(!Error.failed());
  for (const char *Key : {"key-a1", "key-a2", "key-a3", "key-b", "key-o"}) {
    INFO(Key);
    const AccountSpec *Found = Built->accountOf("mesh", Key);
    CHECK((Found == nullptr ? "" : Found->Name) == D.accountOf(Key));
  }
  CHECK(Built->accountCount() == 2);
  CHECK(Built->requiresKey("mesh"));
}

TEST_CASE("only accounts that differ are part of a change") {
  Documents D;
  REQUIRE(!D.submit(document()).failed());
  const AccountSpec *Kept = D.Store.table()->accountOf("mesh", "key-b");
  json Next = document();
  Next["version"] = 2;
  Next["baseVersion"] = 1;
  Next["tenants"][0]["burst"] = 7;
  std::set<std::string> Paths;
  handleResult(
      [&]() -> leaf::result<wire::Change> {
        BOOST_LEAF_AUTO(Read, platform::readConfiguration(Next.dump()));
        return replaceSubtree(D.Store.settings(), Read);
      },
      [&](const wire::Change &Made) {
        for (const wire::PathEdit &Edit : Made.Edits)
          Paths.insert(Edit.Path);
      });
  CHECK(Paths ==
        std::set<std::string>{"mesh/accounts/acme", "mesh/revision/current"});
  REQUIRE(!D.submit(Next).failed());
  // Unchanged accounts are not compiled again.
  CHECK(D.Store.table()->accountOf("mesh", "key-b") == Kept);
}

TEST_CASE("keys are masked where settings are shown") {
  const json Account = {{"keys", {"key-a1", "key-a2"}}, {"burst", 3}};
  const json Masked = maskAccountKeys("mesh/accounts/acme", Account);
  CHECK(Masked.dump().find("key-a") == std::string::npos);
  CHECK(Masked["burst"] == 3);
  CHECK(Masked["keys"].size() == 2);
  CHECK(Masked["keys"][0] != Masked["keys"][1]);
  // Settings are compared after masking, and a mask is no value to store.
  CHECK(maskAccountKeys("mesh/accounts/acme", Account) == Masked);
  CHECK(hasMaskedKeys("mesh/accounts/acme", Masked));
  CHECK(!hasMaskedKeys("mesh/accounts/acme", Account));
  CHECK(maskAccountKeys("mesh/routes/r", Account) == Account);
  const json Odd = {{"keys", "key-a1"}};
  CHECK(maskAccountKeys("mesh/accounts/acme", Odd).dump().find("key-a1") ==
        std::string::npos);
}
