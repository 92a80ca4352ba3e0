#include "platform/configuration.h"
#include "platform/platform.h"

#include <nlohmann/json.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

using namespace persimmon;
using nlohmann::json;

namespace {

const Time Now{std::chrono::hours(1)};

const char *const Example = R"({"version":7,"routes":[
{"name":"r-1","host":"a.example","pathPrefix":"/p/","kind":"unsafe",
 "timeoutS":0.6,"targetLatencyS":0.25,"priority":1,"service":"one",
 "maxAttempts":2},
{"name":"r-2","host":"a.example","pathPrefix":"/q/","kind":"safe",
 "timeoutS":0.5,"targetLatencyS":0.2,"priority":2,"maxAttempts":2,
 "trafficSplit":[{"service":"one","weight":90},{"service":"two","weight":10}]},
{"name":"r-3","host":"a.example","pathPrefix":"/u/","kind":"upload",
 "timeoutS":2,"targetLatencyS":0.8,"priority":0,"service":"two",
 "maxAttempts":1,"colour":"a field to come"}],
"services":[{"name":"one","healthPath":"/health","maxConnections":130,
 "protocol":"h1","tls":false},{"name":"two","healthPath":"/h",
 "maxConnections":10,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,
 "idleTimeoutS":15},"baseVersion":5})";

HttpRequest request(std::string Method, std::string Url, std::string Body = {},
                    std::vector<wire::Header> Headers = {}) {
  HttpRequest Out;
  Out.Method = std::move(Method);
  Out.Url = std::move(Url);
  Out.Body = std::move(Body);
  Out.Headers = std::move(Headers);
  return Out;
}

/// Returns a store that holds the example: version 7 with base version 5.
SettingsStore storeWithExample() {
  SettingsStore Store;
  SubtreeDocument Document;
  const Failure Error =
      handleResult([&] { return platform::readConfiguration(Example); },
                   [&](SubtreeDocument Read) { Document = std::move(Read); });
  REQUIRE(!Error.failed());
  Document.BasedOn = 0;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.Index = 1;
  const Failure Refusal = handleResult(
      [&] { return replaceSubtree(Store.settings(), Document); },
      [&](wire::Change Made) { Entry.TheChange = std::move(Made); });
  REQUIRE(!Refusal.failed());
  INFO(describe(Store.check(Entry.TheChange)));
  REQUIRE(!Store.check(Entry.TheChange).failed());
  Store.apply(Entry);
  return Store;
}

/// Sorts the lists of a document by name.
json sorted(json Document) {
  for (const char *Key : {"routes", "services"})
    std::sort(Document[Key].begin(), Document[Key].end(),
              [](const json &Left, const json &Right) {
                return Left.at("name") < Right.at("name");
              });
  return Document;
}

std::string headerOf(const std::vector<wire::Header> &Headers,
                     std::string_view Name) {
  for (const wire::Header &Item : Headers) {
    if (sameHeaderName(Item.Name, Name))
      return Item.Value;
  }
  return {};
}

ResultCode replaceResult(const json &Document) {
  SettingsStore Store = storeWithExample();
  SubtreeDocument Read;
  Failure Error =
      handleResult([&] { return platform::readConfiguration(Document.dump()); },
                   [&](SubtreeDocument Made) { Read = std::move(Made); });
  if (Error.failed())
    return Error.Code;
  wire::Change Change;
  Error = handleResult([&] { return replaceSubtree(Store.settings(), Read); },
                       [&](wire::Change Made) { Change = std::move(Made); });
  return Error.failed() ? Error.Code : Store.check(Change).Code;
}

json nextVersion() {
  json Out = json::parse(Example);
  Out["version"] = 9;
  Out["baseVersion"] = 7;
  return Out;
}

} // namespace

TEST_CASE("a configuration is returned as it was sent") {
  const SettingsStore Store = storeWithExample();
  json Sent = json::parse(Example);
  Sent.erase("baseVersion");
  CHECK(sorted(platform::writeConfiguration(Store.settings())) == sorted(Sent));
}

TEST_CASE("a configuration becomes settings of the project") {
  const SettingsStore Store = storeWithExample();
  const RouteTable &Table = *Store.table();
  const RouteSpec *Once = Table.match("a.example", "/p/x?y=1");
  REQUIRE(Once != nullptr);
  CHECK(Once->Repeat == Repeatable::Never);
  CHECK(Once->CallTimeout == milliseconds(600));
  CHECK(Once->TargetLatency == milliseconds(250));
  CHECK(Once->MaxAttempts == 2);
  const RouteSpec *Split = Table.match("a.example", "/q/");
  REQUIRE(Split != nullptr);
  CHECK(Split->Repeat == Repeatable::Always);
  CHECK(Split->Parts.size() == 2);
  CHECK(Split->Priority < Once->Priority);
  CHECK(Table.match("a.example", "/u/x")->Repeat == Repeatable::Never);
  CHECK(Table.match("a.example", "/pp/x") == nullptr);
  CHECK(Table.service("mesh/one")->Connections == 130);
  CHECK(Table.limits().MaxHeaderBytes == 16384);
}

TEST_CASE("only entries that differ are part of a change") {
  const SettingsStore Store = storeWithExample();
  json Next = nextVersion();
  Next["routes"][0]["timeoutS"] = 0.7;
  Next["routes"].erase(2);
  wire::Change Change;
  handleResult(
      [&]() -> leaf::result<wire::Change> {
        BOOST_LEAF_AUTO(Read, platform::readConfiguration(Next.dump()));
        return replaceSubtree(Store.settings(), Read);
      },
      [&](wire::Change Made) { Change = std::move(Made); });
  std::set<std::string> Paths;
  for (const wire::PathEdit &Edit : Change.Edits)
    Paths.insert((Edit.Remove ? "-" : "+") + Edit.Path);
  CHECK(Paths == std::set<std::string>{"+mesh/revision/current",
                                       "+mesh/routes/r-1", "-mesh/routes/r-3"});
}

TEST_CASE("invalid configurations are refused completely") {
  CHECK(replaceResult(nextVersion()) == ResultCode::Ok);
  json Invalid = nextVersion();
  Invalid["routes"][0]["service"] = "nobody";
  CHECK(replaceResult(Invalid) == ResultCode::ReferenceMissing);
  Invalid = nextVersion();
  Invalid["routes"][1]["pathPrefix"] = "/p/";
  CHECK(replaceResult(Invalid) == ResultCode::MatchTaken);
  Invalid = nextVersion();
  for (json &Part : Invalid["routes"][1]["trafficSplit"])
    Part["weight"] = 0;
  CHECK(replaceResult(Invalid) == ResultCode::ValueInvalid);
  Invalid = nextVersion();
  Invalid["routes"][0]["maxAttempts"] = 0;
  CHECK(replaceResult(Invalid) == ResultCode::ValueInvalid);
  Invalid = nextVersion();
  Invalid["routes"][0].erase("timeoutS");
  CHECK(replaceResult(Invalid) == ResultCode::ValueInvalid);
  Invalid = nextVersion();
  Invalid["version"] = 7;
  CHECK(replaceResult(Invalid) == ResultCode::ValueInvalid);
  Invalid = nextVersion();
  Invalid["baseVersion"] = 6;
  CHECK(replaceResult(Invalid) == ResultCode::Conflict);
  const std::string CompleteText = nextVersion().dump();
  const Failure Truncated = handleResult(
      [&] {
        return platform::readConfiguration(
            CompleteText.substr(0, CompleteText.size() / 2));
      },
      [](const SubtreeDocument &) {});
  CHECK(Truncated.Code == ResultCode::ValueInvalid);
}

TEST_CASE("announcements are decoded and malformed ones refused") {
  const auto Locals = platform::makeLocalProtocol();
  const std::string Url = "/persimmonwheel/Instances.Heartbeat/i-1";
  const json Announcement = {{"service", "one"},     {"address", "10.0.0.1:80"},
                             {"zone", "z"},          {"version", "v1"},
                             {"slots", 8},           {"state", "ready"},
                             {"sequence", 4},        {"born", 1700000000000},
                             {"coldRemainingS", 1.5}};
  auto Call = Locals->decode(request("POST", Url, Announcement.dump()));
  REQUIRE(Call);
  const auto &Statement = std::get<TargetAnnouncement>(*Call);
  CHECK(Statement.Address == "10.0.0.1:80");
  CHECK(Statement.Announced.Service == "mesh/one");
  CHECK(Statement.Announced.InstanceId == "i-1");
  CHECK(Statement.Announced.Born == 1700000000000);
  CHECK(Statement.Announced.Sequence == 4);
  CHECK(Statement.Announced.ColdFor == milliseconds(1500));
  CHECK(Statement.Announced.Version == "v1");
  // A target that sends something else there is served as before.
  for (const json &Odd : {json(7), json(""), json("a b"), json::array(),
                          json(std::string(101, 'v'))}) {
    json Other = Announcement;
    Other["version"] = Odd;
    const auto Read = Locals->decode(request("POST", Url, Other.dump()));
    CHECK(std::get<TargetAnnouncement>(*Read).Announced.Version.empty());
  }
  for (const char *Key : {"service", "address", "slots", "state", "sequence"}) {
    json Malformed = Announcement;
    Malformed.erase(Key);
    INFO(Key);
    CHECK(std::holds_alternative<Failure>(
        *Locals->decode(request("POST", Url, Malformed.dump()))));
    Malformed[Key] = json::array();
    CHECK(std::holds_alternative<Failure>(
        *Locals->decode(request("POST", Url, Malformed.dump()))));
  }
  json Malformed = Announcement;
  Malformed["state"] = "sleeping";
  CHECK(std::holds_alternative<Failure>(
      *Locals->decode(request("POST", Url, Malformed.dump()))));
  CHECK(std::holds_alternative<Failure>(
      *Locals->decode(request("POST", Url, "\x01\x02{"))));
  const auto Leave =
      Locals->decode(request("POST", "/persimmonwheel/Instances.Leave/i-1"));
  CHECK(std::get<TargetLeaving>(*Leave).InstanceId == "i-1");
  CHECK(!Locals->decode(request("GET", "/other")));
}

// Guards against processes that end because of one odd announcement (Fault).
TEST_CASE("odd announcements are refused with an answer") {
  const auto Locals = platform::makeLocalProtocol();
  const std::string Url = "/persimmonwheel/Instances.Heartbeat/";
  const auto Text = [](const std::string &Key, const std::string &Value) {
    json Fields = {{"service", "one"}, {"address", "10.0.0.1:80"},
                   {"slots", 8},       {"state", "ready"},
                   {"sequence", 4},    {"born", 1700000000000}};
    Fields.erase(Key);
    std::string Out = Fields.dump();
    Out.insert(Out.size() - 1, ",\"" + Key + "\":" + Value);
    return Out;
  };
  const std::string Deep(100'000, '[');
  const std::vector<std::pair<std::string, std::string>> Entries = {
      {"slots", "99999999999999999999"},
      {"slots", "1e300"},
      {"slots", "4294967304"},
      {"slots", "-1"},
      {"slots", "0"},
      {"slots", "8.5"},
      {"sequence", "1e30"},
      {"sequence", "-4"},
      {"sequence", "18446744073709551615"},
      {"born", "1e400"},
      {"born", "18446744073709551615"},
      {"born", "\"now\""},
      {"coldRemainingS", "1e400"},
      {"more", Deep},
      {"more", "\"\xe2\x80\""},
      {"more", "\"" + std::string(70'000, 'n') + "\""}};
  for (const auto &[Key, Value] : Entries) {
    INFO(Key << " " << Value.substr(0, 40));
    const auto Call =
        Locals->decode(request("POST", Url + "i-1", Text(Key, Value)));
    REQUIRE(Call);
    REQUIRE(std::holds_alternative<Failure>(*Call));
    CHECK(Locals->makeErrorResponse(std::get<Failure>(*Call)).Status == 400);
  }
  for (const std::string &Id :
       {std::string(), std::string(4096, 'i'), std::string("i\xff")}) {
    const auto Call = Locals->decode(request("POST", Url + Id, Text("a", "1")));
    CHECK(std::holds_alternative<Failure>(*Call));
    const auto Leave = Locals->decode(
        request("POST", "/persimmonwheel/Instances.Leave/" + Id));
    CHECK(std::holds_alternative<Failure>(*Leave));
  }
  const auto Cold = Locals->decode(
      request("POST", Url + "i-1", Text("coldRemainingS", "1e300")));
  CHECK(std::get<TargetAnnouncement>(*Cold).Announced.ColdFor ==
        std::chrono::hours(1));
}

TEST_CASE("a configuration with odd numbers or nesting is refused") {
  const auto CodeOf = [](const std::string &Key, const std::string &Value) {
    json Document = nextVersion();
    Document["routes"][0].erase(Key);
    Document["routes"][0]["MARK"] = 0;
    std::string Text = Document.dump();
    const std::string Mark = "\"MARK\":0";
    Text.replace(Text.find(Mark), Mark.size(), "\"" + Key + "\":" + Value);
    return handleResult([&] { return platform::readConfiguration(Text); },
                        [](const SubtreeDocument &) {})
        .Code;
  };
  CHECK(
      CodeOf("colour", std::string(100'000, '[') + std::string(100'000, ']')) ==
      ResultCode::ValueInvalid);
  CHECK(CodeOf("timeoutS", "1e400") == ResultCode::ValueInvalid);
  CHECK(CodeOf("priority", "1e300") == ResultCode::Ok);
  CHECK(CodeOf("priority", "-9999999999") == ResultCode::Ok);
}

TEST_CASE("headers of calls are translated and never passed through") {
  const auto Calls = platform::makeCallProtocol();
  CallMetadata Terms;
  handleResult(
      [&] {
        return Calls->readCall(
            request("GET", "/", {},
                    {makeHeader("X-Request-Id", "id-1"),
                     makeHeader("X-Deadline-Ms", "500"),
                     makeHeader("X-Caller-Service", "forged"),
                     makeHeader("X-Target-Instance", "forged"),
                     makeHeader("Connection", "keep-alive"),
                     makeHeader("Accept", "*/*")}),
            "mesh/one", Now);
      },
      [&](CallMetadata Read) { Terms = std::move(Read); });
  CHECK(Terms.CallId == "id-1");
  CHECK(Terms.Deadline == Now + milliseconds(500));
  CHECK(Terms.Headers.size() == 2);
  CHECK(headerOf(Terms.Headers, "X-Caller-Service") == "one");
  wire::CallRequest Request;
  Request.CallId = "id-1";
  Request.Headers = Terms.Headers;
  const auto Sent = Calls->targetHeaders(Request, "i-9", milliseconds(320));
  CHECK(headerOf(Sent, "X-Deadline-Ms") == "320");
  CHECK(headerOf(Sent, "X-Target-Instance") == "i-9");
  CHECK(headerOf(Sent, "X-Request-Id") == "id-1");
}

TEST_CASE(
    "calls that did not run are distinguished from calls that may have run") {
  const auto Calls = platform::makeCallProtocol();
  RefuseCaller Refusal;
  Refusal.Error.Code = ResultCode::Overloaded;
  Refusal.RetryAfter = milliseconds(45);
  HttpResponse Answer = Calls->makeErrorResponse(Refusal, true);
  CHECK(Answer.Status == 503);
  CHECK(headerOf(Answer.Headers, "Retry-After") == "0.045");
  for (const auto &[Code, Status] : {std::pair(ResultCode::OutcomeUnknown, 502),
                                     std::pair(ResultCode::TargetBroke, 502),
                                     std::pair(ResultCode::DeadlinePassed, 504),
                                     std::pair(ResultCode::NoRoute, 404)}) {
    Refusal.Error.Code = Code;
    CHECK(Calls->makeErrorResponse(Refusal, false).Status == Status);
  }
  TargetResponse FromTarget;
  FromTarget.Status = 503;
  CHECK(!Calls->isNotRunResponse(FromTarget));
  FromTarget.Headers = {makeHeader("X-Not-Executed", "1")};
  CHECK(Calls->isNotRunResponse(FromTarget));
  FromTarget.Status = 421;
  FromTarget.Headers.clear();
  CHECK(Calls->isNotRunResponse(FromTarget));
}

TEST_CASE("an answer belongs to the call whose id it echoes") {
  const auto Calls = platform::makeCallProtocol();
  TargetResponse Response;
  Response.Status = 200;
  CHECK(!Calls->matchesCall(Response, "id-1"));
  Response.Headers = {makeHeader("X-Request-Id", "id-2")};
  CHECK(!Calls->matchesCall(Response, "id-1"));
  Response.Headers = {makeHeader("x-request-id", "id-1")};
  CHECK(Calls->matchesCall(Response, "id-1"));
}

TEST_CASE("a rejection without an id on a used connection is of no call") {
  const auto Calls = platform::makeCallProtocol();
  TargetResponse Response;
  Response.Status = 503;
  Response.Headers = {makeHeader("X-Not-Executed", "1")};
  CHECK(Calls->matchesCall(Response, "id-1"));
  Response.OnUsedConnection = true;
  CHECK(!Calls->matchesCall(Response, "id-1"));
  Response.Headers.push_back(makeHeader("X-Request-Id", "id-1"));
  CHECK(Calls->matchesCall(Response, "id-1"));
}

TEST_CASE("a target's rate and its leaving are read from any response") {
  const auto Calls = platform::makeCallProtocol();
  TargetResponse Response;
  Response.Status = 503;
  CHECK(!Calls->readNotice(Response).CallsPerSecond);
  CHECK(!Calls->readNotice(Response).Leaving);
  Response.Headers = {makeHeader("server-limit", "12.5"),
                      makeHeader("Server-Leaving", "1")};
  CHECK(Calls->readNotice(Response).CallsPerSecond == 12.5);
  CHECK(Calls->readNotice(Response).Leaving);
  for (const char *Malformed : {"", "x", "-1", "3,5", "4 "}) {
    Response.Headers = {makeHeader("Server-Limit", Malformed)};
    INFO(Malformed);
    CHECK(!Calls->readNotice(Response).CallsPerSecond);
  }
}

TEST_CASE("operators are redirected to the leader or get an error") {
  const auto Operators = platform::makeOperatorProtocol();
  const HttpResponse Redirect = Operators->makeErrorResponse(
      {ResultCode::NotLeader, {}, {}}, "http://10.0.0.4:8080/path");
  CHECK(Redirect.Status == 307);
  CHECK(headerOf(Redirect.Headers, "Location") == "http://10.0.0.4:8080/path");
  CHECK(Operators->makeErrorResponse({ResultCode::NotLeader, {}, {}}, "")
            .Status == 503);
  CHECK(
      Operators->makeErrorResponse({ResultCode::Conflict, {}, {}}, "").Status ==
      412);
  CHECK(Operators->makeErrorResponse({ResultCode::ValueInvalid, {}, {}}, "")
            .Status == 400);
  CHECK(
      Operators->makeErrorResponse({ResultCode::NoQuorum, {}, {}}, "").Status ==
      503);
}

TEST_CASE("orders of roll-outs are decoded and malformed ones refused") {
  const auto Operators = platform::makeOperatorProtocol();
  const std::string Url = "/persimmonwheel/Rollouts.Start";
  const json Order = {
      {"service", "one"}, {"targetVersion", "v2"}, {"durationS", 12.5}};
  const auto Decode = [&](const std::string &Body) {
    auto Out = Operators->decode(request("POST", Url, Body));
    REQUIRE(Out);
    return *Out;
  };
  const OperatorRequest Decoded = Decode(Order.dump());
  const RolloutOrder Read = std::get<RolloutOrder>(Decoded);
  CHECK(Read.Service == "mesh/one");
  CHECK(Read.Version == "v2");
  CHECK(Read.DurationMs == 12'500);
  // A resend is recognized, another order is told apart.
  CHECK(std::get<RolloutOrder>(Decode(Order.dump(2))).Digest == Read.Digest);
  json Other = Order;
  Other["durationS"] = 12;
  CHECK(std::get<RolloutOrder>(Decode(Other.dump())).Digest != Read.Digest);
  const auto IsRefused = [&](const std::string &Body) {
    const OperatorRequest Result = Decode(Body);
    const auto *Error = std::get_if<Failure>(&Result);
    return Error != nullptr && Error->Code == ResultCode::ValueInvalid;
  };
  for (const char *Key : {"service", "targetVersion", "durationS"}) {
    json Malformed = Order;
    Malformed.erase(Key);
    CHECK(IsRefused(Malformed.dump()));
    for (const json &Odd : {json::array(), json(""), json(nullptr), json(-1),
                            json("a b"), json(std::string(200, 'x'))}) {
      Malformed[Key] = Odd;
      INFO(Malformed.dump());
      CHECK(IsRefused(Malformed.dump()));
    }
  }
  CHECK(IsRefused("{"));
  CHECK(IsRefused("[]"));
  CHECK(IsRefused(""));
  json Slash = Order;
  Slash["service"] = "one/two";
  CHECK(IsRefused(Slash.dump()));
}

TEST_CASE("the state of a roll-out is queried by service") {
  const auto Operators = platform::makeOperatorProtocol();
  const auto Query =
      Operators->decode(request("GET", "/persimmonwheel/Rollouts.Get/one"));
  REQUIRE(Query);
  CHECK(std::get<RolloutQuery>(*Query).Service == "mesh/one");
  const auto Odd =
      Operators->decode(request("GET", "/persimmonwheel/Rollouts.Get/a%20b"));
  REQUIRE(Odd);
  CHECK(std::get<Failure>(*Odd).Code == ResultCode::ValueInvalid);
  Rollout Item;
  Item.Version = "v2";
  for (const auto &[State, Name] :
       {std::pair(RolloutState::Running, "running"),
        std::pair(RolloutState::Completed, "completed"),
        std::pair(RolloutState::RolledBack, "rolled_back")}) {
    Item.State = State;
    const HttpResponse Answer = Operators->makeRolloutResponse(Item);
    CHECK(Answer.Status == 200);
    CHECK(json::parse(Answer.Body) ==
          json{{"state", Name}, {"targetVersion", "v2"}});
  }
  const auto StatusOf = [&](ResultCode Code) {
    return Operators->makeErrorResponse({Code, {}, {}}, "").Status;
  };
  CHECK(StatusOf(ResultCode::RolloutRunning) == 409);
  CHECK(StatusOf(ResultCode::RolloutUnknown) == 404);
  CHECK(StatusOf(ResultCode::OutcomePending) == 503);
}

// Guards against a roll-out that ends, or shows, because a configuration is
// replaced while it runs.
TEST_CASE("a roll-out is no part of the document and outlives it") {
  SettingsStore Store = storeWithExample();
  RolloutOrder Order;
  handleResult([] { return makeRolloutOrder("mesh/one", "v2", 12); },
               [&](RolloutOrder Made) { Order = std::move(Made); });
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.Index = 2;
  handleResult(
      [&] { return startRollout(Store.settings(), Store.version(), Order); },
      [&](std::optional<wire::Change> Made) {
        Entry.TheChange = std::move(*Made);
      });
  REQUIRE(!Store.check(Entry.TheChange).failed());
  Store.apply(Entry);
  REQUIRE(findRollout(Store.settings(), "mesh/one"));
  REQUIRE(Store.table()->rollout("mesh/one") != nullptr);
  json Sent = json::parse(Example);
  Sent.erase("baseVersion");
  CHECK(sorted(platform::writeConfiguration(Store.settings())) == sorted(Sent));
  const auto Replace = [&](const json &Document) {
    SubtreeDocument Read;
    handleResult([&] { return platform::readConfiguration(Document.dump()); },
                 [&](SubtreeDocument Made) { Read = std::move(Made); });
    const Failure Error = handleResult(
        [&] { return replaceSubtree(Store.settings(), Read); },
        [&](wire::Change Made) { Entry.TheChange = std::move(Made); });
    REQUIRE(!Error.failed());
    REQUIRE(!Store.check(Entry.TheChange).failed());
    Entry.Index += 1;
    Store.apply(Entry);
  };
  json Next = nextVersion();
  Replace(Next);
  REQUIRE(findRollout(Store.settings(), "mesh/one"));
  CHECK(findRollout(Store.settings(), "mesh/one")->running());
  // With its service the roll-out is removed too.
  Next["version"] = 11;
  Next["baseVersion"] = 9;
  Next["routes"] = json::array({Next["routes"][2]});
  Next["services"] = json::array({Next["services"][1]});
  Replace(Next);
  CHECK(!findRollout(Store.settings(), "mesh/one"));
  CHECK(Store.table()->rollout("mesh/one") == nullptr);
}

TEST_CASE("a health response contains the instance id and the slots") {
  const auto Calls = platform::makeCallProtocol();
  TargetResponse Answer;
  Answer.End = RunEnd::Answered;
  Answer.Status = 200;
  Answer.Headers = {makeHeader("X-Instance-Id", "i-1"),
                    makeHeader("X-Server-Load", "3,0,8")};
  const auto Health = Calls->readHealth(Answer);
  REQUIRE(Health);
  CHECK(Health->InstanceId == "i-1");
  CHECK(Health->Slots == 8);
  TargetResponse Leaving = Answer;
  Leaving.Status = 503;
  CHECK(!Calls->readHealth(Leaving));
  TargetResponse Silent = Answer;
  Silent.Headers.pop_back();
  CHECK(!Calls->readHealth(Silent));
}

TEST_CASE("the pace is read from any response and bounded") {
  const auto Calls = platform::makeCallProtocol();
  const auto PaceOf = [&](const char *Load) {
    TargetResponse Response;
    Response.Status = 503;
    Response.Headers = {makeHeader("x-server-load", Load)};
    return Calls->readNotice(Response).PacePercent;
  };
  CHECK(PaceOf("3,0,9") == 0);
  CHECK(PaceOf("3,0,9,250") == 250);
  CHECK(PaceOf("3,0,9,62.5") == 62);
  CHECK(PaceOf("3,0,9,1") == 10);
  CHECK(PaceOf("3,0,9,1e9") == 1000);
  for (const char *Odd : {"", "3,0,9,", "3,0,9,0", "3,0,9,-100", "3,0,9,nan",
                          "3,0,9,inf", "3,0,9,1e999", "3,0,9,x", "100"}) {
    INFO(Odd);
    CHECK(PaceOf(Odd) == 0);
  }
}

// Guards against taking the fourth figure, how long work takes, for the slots.
TEST_CASE("the slots are the third figure of a load header") {
  const auto Calls = platform::makeCallProtocol();
  const auto SlotsOf = [&](const char *Load) {
    TargetResponse Answer;
    Answer.End = RunEnd::Answered;
    Answer.Status = 200;
    Answer.Headers = {makeHeader("X-Instance-Id", "i-1"),
                      makeHeader("X-Server-Load", Load)};
    const auto Health = Calls->readHealth(Answer);
    return Health ? Health->Slots : 0;
  };
  for (const char *Load :
       {"3,0,9", "3,0,9,100", "3,0,9,250.5", "3,0,9,", "3,0,9,x", "3,0,9,-1",
        "3,0,9,1e400", "3,0,9,nan", "3,0,9,100,7", " 3, 0, 9 , 100", "3,0,9.0",
        "x,,9,100"}) {
    INFO(Load);
    CHECK(SlotsOf(Load) == 9);
  }
  CHECK(SlotsOf("0,0,1000000,100") == 1'000'000);
  for (const char *Odd :
       {"", ",", ",,,", "9", "0,9", "0,0,0,100", "0,0,-9,100", "0,0,nan,100",
        "0,0,inf", "0,0,99999999999,100", "0,0,1000001", "0,0,x", "0,0,9x,100",
        "0,0,,9", "0;0;9"}) {
    INFO(Odd);
    CHECK(SlotsOf(Odd) == 0);
  }
}

TEST_CASE(
    "fields without an equivalent setting are returned as they were sent") {
  json Sent = json::parse(Example);
  Sent["routes"][0]["timeoutS"] = 0.61234567;
  Sent["routes"][0]["priority"] = 250;
  Sent["routes"][1]["trafficSplit"][0]["colour"] = "a field to come";
  Sent["services"][0]["maxConnections"] = 7;
  SubtreeDocument Document;
  const Failure Error =
      handleResult([&] { return platform::readConfiguration(Sent.dump()); },
                   [&](SubtreeDocument Read) { Document = std::move(Read); });
  REQUIRE(!Error.failed());
  SettingsMap Settings;
  for (const auto &[Path, Value] : Document.Values) {
    Settings[Path].Path = Path;
    Settings[Path].Value = Value;
  }
  json Returned = sorted(platform::writeConfiguration(Settings));
  Returned["version"] = Sent["version"];
  Sent.erase("baseVersion");
  CHECK(Returned == sorted(Sent));
}

TEST_CASE("a replacement is recognized without parsing its document") {
  const auto Operators = platform::makeOperatorProtocol();
  const auto Call = Operators->decode(
      request("POST", "/persimmonwheel/Config.Replace", "{\"version\":"));
  REQUIRE(Call);
  CHECK(std::holds_alternative<SubtreeReplacement>(*Call));
  ResultCode Code = ResultCode::Ok;
  Code = handleResult(
             [&] {
               return Operators->openDocument(request(
                   "POST", "/persimmonwheel/Config.Replace", "{\"version\":"));
             },
             [](const std::unique_ptr<DocumentReader> &) {})
             .Code;
  CHECK(Code == ResultCode::ValueInvalid);
}

TEST_CASE("entries of a document that did not change are not converted again") {
  const auto Cache = std::make_shared<platform::ConfigurationCache>();
  const auto Read = [&](const std::string &Text) {
    SubtreeDocument Out;
    const Failure Error = handleResult(
        [&]() -> leaf::result<SubtreeDocument> {
          BOOST_LEAF_AUTO(Reader,
                          platform::ConfigurationReader::open(Text, Cache));
          while (true) {
            BOOST_LEAF_AUTO(Complete, Reader->step());
            if (Complete)
              return Reader->take();
          }
        },
        [&](SubtreeDocument Document) { Out = std::move(Document); });
    CHECK(!Error.failed());
    return Out;
  };
  const std::string Route =
      R"({"name":"r","host":"a.example","pathPrefix":"/p/","kind":"safe",)"
      R"("timeoutS":0.5,"maxAttempts":2,"service":"one"})";
  const std::string Service = R"({"name":"one","healthPath":"/health"})";
  const auto Document = [&](const char *Version, const std::string &Routes) {
    return R"({"version":)" + std::string(Version) +
           R"(,"baseVersion":0,"routes":[)" + Routes + R"(],"services":[)" +
           Service + "]}";
  };
  const SubtreeDocument First = Read(Document("1", Route));
  REQUIRE(First.Values.size() == 2);
  const auto Known = Cache->findText("routes", Route);
  REQUIRE(Known != nullptr);
  CHECK(First.Values.at(Known->Path) == Known->Value);
  const SubtreeDocument Second = Read(Document("2", " " + Route + " "));
  CHECK(Second.Values == First.Values);
  CHECK(Cache->findText("routes", Route) == Known);
  CHECK(Cache->findValue(Known->Path, Known->Value) == Known);
  CHECK(Cache->findValue(Known->Path, "{}") == nullptr);
}

TEST_CASE("a document that cannot be read in full is refused") {
  const std::string Whole = Example;
  const auto CodeOf = [](const std::string &Text) {
    return handleResult([&] { return platform::readConfiguration(Text); },
                        [](const SubtreeDocument &) {})
        .Code;
  };
  REQUIRE(CodeOf(Whole) == ResultCode::Ok);
  const std::size_t End = Whole.rfind('}');
  for (std::size_t Length = 0; Length <= End; Length += 7)
    CHECK(CodeOf(Whole.substr(0, Length)) == ResultCode::ValueInvalid);
  CHECK(CodeOf(Whole.substr(0, End)) == ResultCode::ValueInvalid);
  CHECK(CodeOf(Whole + "{}") == ResultCode::ValueInvalid);
  CHECK(CodeOf(Whole + "x") == ResultCode::ValueInvalid);
  CHECK(CodeOf("[]") == ResultCode::ValueInvalid);
  CHECK(CodeOf(R"({"version":1,"version":2,"baseVersion":0,"routes":[],)"
               R"("services":[]})") == ResultCode::ValueInvalid);
  CHECK(CodeOf(R"({"version":1,"baseVersion":0,"routes":{},"services":[]})") ==
        ResultCode::ValueInvalid);
  CHECK(CodeOf(R"({"version":1,"baseVersion":0,"routes":[1],"services":[]})") ==
        ResultCode::ValueInvalid);
}

// Guards against control instances that end because an error quotes bytes that
// are not UTF-8 (Fault).
TEST_CASE("errors about text that is not UTF-8 are answered") {
  json Document = nextVersion();
  json Route = Document["routes"][0];
  for (int I = 0; I < 60; ++I) {
    Route["name"] = "r-more-" + std::to_string(I);
    Route["pathPrefix"] = "/more-" + std::to_string(I) + "/";
    Document["routes"].push_back(Route);
  }
  std::string Text = Document.dump();
  const std::string Word = "\"unsafe\"";
  const std::string Quoted = "\xe2\x80\x9cunsafe\xe2\x80\x9d";
  Text.replace(Text.rfind(Word), Word.size(), Quoted);
  const Failure Error =
      handleResult([&] { return platform::readConfiguration(Text); },
                   [](const SubtreeDocument &) {});
  CHECK(Error.Code == ResultCode::ValueInvalid);
  const auto Operators = platform::makeOperatorProtocol();
  CHECK(Operators->makeErrorResponse(Error, "").Status == 400);
  const Failure Cut{ResultCode::ValueInvalid, "\xe2\x80", "\xff\n"};
  const HttpResponse Answer = Operators->makeErrorResponse(Cut, "");
  CHECK(json::accept(Answer.Body));
  const auto Locals = platform::makeLocalProtocol();
  CHECK(json::accept(Locals->makeErrorResponse(Cut).Body));
}

TEST_CASE("a route with required fields only is read back") {
  SettingsMap Settings;
  wire::Setting &Route = Settings["mesh/routes/r"];
  Route.Path = "mesh/routes/r";
  Route.Value = R"({"job":"a.example","service":"mesh/one"})";
  const json Document = platform::writeConfiguration(Settings);
  CHECK(Document.at("routes").at(0).at("host") == "a.example");
}

TEST_CASE("downloads may be repeated, uploads may not") {
  json Sent = json::parse(Example);
  Sent["routes"][0]["kind"] = "download";
  SubtreeDocument Document;
  REQUIRE(
      !handleResult([&] { return platform::readConfiguration(Sent.dump()); },
                    [&](SubtreeDocument Read) { Document = std::move(Read); })
           .failed());
  CHECK(json::parse(Document.Values.at("mesh/routes/r-1"))["repeatable"] ==
        "always");
  CHECK(json::parse(Document.Values.at("mesh/routes/r-3"))["repeatable"] ==
        "never");
}
