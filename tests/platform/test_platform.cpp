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

/// A store that holds the example as version 7 on top of version 5.
SettingsStore storeWithExample() {
  SettingsStore Store;
  SubtreeDocument Document;
  const Failure Error =
      settle([&] { return platform::readConfiguration(Example); },
             [&](SubtreeDocument Read) { Document = std::move(Read); });
  REQUIRE(!Error.failed());
  Document.BasedOn = 0;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.Index = 1;
  const Failure Refusal =
      settle([&] { return replaceSubtree(Store.settings(), Document); },
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

ResultCode refusalOf(const json &Document) {
  SettingsStore Store = storeWithExample();
  SubtreeDocument Read;
  Failure Error =
      settle([&] { return platform::readConfiguration(Document.dump()); },
             [&](SubtreeDocument Made) { Read = std::move(Made); });
  if (Error.failed())
    return Error.Code;
  wire::Change Change;
  Error = settle([&] { return replaceSubtree(Store.settings(), Read); },
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
  settle(
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

TEST_CASE("invalid configurations are refused whole") {
  CHECK(refusalOf(nextVersion()) == ResultCode::Ok);
  json Bad = nextVersion();
  Bad["routes"][0]["service"] = "nobody";
  CHECK(refusalOf(Bad) == ResultCode::ReferenceMissing);
  Bad = nextVersion();
  Bad["routes"][1]["pathPrefix"] = "/p/";
  CHECK(refusalOf(Bad) == ResultCode::MatchTaken);
  Bad = nextVersion();
  for (json &Part : Bad["routes"][1]["trafficSplit"])
    Part["weight"] = 0;
  CHECK(refusalOf(Bad) == ResultCode::ValueInvalid);
  Bad = nextVersion();
  Bad["routes"][0]["maxAttempts"] = 0;
  CHECK(refusalOf(Bad) == ResultCode::ValueInvalid);
  Bad = nextVersion();
  Bad["routes"][0].erase("timeoutS");
  CHECK(refusalOf(Bad) == ResultCode::ValueInvalid);
  Bad = nextVersion();
  Bad["version"] = 7;
  CHECK(refusalOf(Bad) == ResultCode::ValueInvalid);
  Bad = nextVersion();
  Bad["baseVersion"] = 6;
  CHECK(refusalOf(Bad) == ResultCode::Conflict);
  const std::string Whole = nextVersion().dump();
  const Failure Cut = settle(
      [&] {
        return platform::readConfiguration(Whole.substr(0, Whole.size() / 2));
      },
      [](const SubtreeDocument &) {});
  CHECK(Cut.Code == ResultCode::ValueInvalid);
}

TEST_CASE("announcements are decoded, and odd ones refused") {
  const auto Locals = platform::makeLocalProtocol();
  const std::string Url = "/persimmonwheel/Instances.Heartbeat/i-1";
  const json Good = {{"service", "one"},     {"address", "10.0.0.1:80"},
                     {"zone", "z"},          {"version", "v1"},
                     {"slots", 8},           {"state", "ready"},
                     {"sequence", 4},        {"born", 1700000000000},
                     {"coldRemainingS", 1.5}};
  auto Call = Locals->decode(request("POST", Url, Good.dump()));
  REQUIRE(Call);
  const auto &Said = std::get<TargetAnnouncement>(*Call);
  CHECK(Said.Address == "10.0.0.1:80");
  CHECK(Said.Announced.Service == "mesh/one");
  CHECK(Said.Announced.InstanceId == "i-1");
  CHECK(Said.Announced.Born == 1700000000000);
  CHECK(Said.Announced.Sequence == 4);
  CHECK(Said.Announced.ColdFor == milliseconds(1500));
  for (const char *Key : {"service", "address", "slots", "state", "sequence"}) {
    json Odd = Good;
    Odd.erase(Key);
    INFO(Key);
    CHECK(std::holds_alternative<Failure>(
        *Locals->decode(request("POST", Url, Odd.dump()))));
    Odd[Key] = json::array();
    CHECK(std::holds_alternative<Failure>(
        *Locals->decode(request("POST", Url, Odd.dump()))));
  }
  json Odd = Good;
  Odd["state"] = "sleeping";
  CHECK(std::holds_alternative<Failure>(
      *Locals->decode(request("POST", Url, Odd.dump()))));
  CHECK(std::holds_alternative<Failure>(
      *Locals->decode(request("POST", Url, "\x01\x02{"))));
  const auto Leave =
      Locals->decode(request("POST", "/persimmonwheel/Instances.Leave/i-1"));
  CHECK(std::get<TargetLeaves>(*Leave).InstanceId == "i-1");
  CHECK(!Locals->decode(request("GET", "/other")));
}

TEST_CASE("headers of calls are translated and never passed through") {
  const auto Calls = platform::makeCallProtocol();
  CallMetadata Terms;
  settle(
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

TEST_CASE("what did not run is told from what may have run") {
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
  TargetAnswer FromTarget;
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
  TargetAnswer Got;
  Got.Status = 200;
  CHECK(!Calls->matchesCall(Got, "id-1"));
  Got.Headers = {makeHeader("X-Request-Id", "id-2")};
  CHECK(!Calls->matchesCall(Got, "id-1"));
  Got.Headers = {makeHeader("x-request-id", "id-1")};
  CHECK(Calls->matchesCall(Got, "id-1"));
}

TEST_CASE("operators are sent on to the leader, or told why not") {
  const auto Operators = platform::makeOperatorProtocol();
  const HttpResponse Moved = Operators->makeErrorResponse(
      {ResultCode::NotLeader, {}, {}}, "http://10.0.0.4:8080/path");
  CHECK(Moved.Status == 307);
  CHECK(headerOf(Moved.Headers, "Location") == "http://10.0.0.4:8080/path");
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

TEST_CASE("a healthy target tells who it is and how many slots it has") {
  const auto Calls = platform::makeCallProtocol();
  TargetAnswer Answer;
  Answer.End = RunEnd::Answered;
  Answer.Status = 200;
  Answer.Headers = {makeHeader("X-Instance-Id", "i-1"),
                    makeHeader("X-Server-Load", "3,0,8")};
  const auto Health = Calls->readHealth(Answer);
  REQUIRE(Health);
  CHECK(Health->InstanceId == "i-1");
  CHECK(Health->Slots == 8);
  TargetAnswer Leaving = Answer;
  Leaving.Status = 503;
  CHECK(!Calls->readHealth(Leaving));
  TargetAnswer Silent = Answer;
  Silent.Headers.pop_back();
  CHECK(!Calls->readHealth(Silent));
}

TEST_CASE("what the project cannot express is returned as it was sent") {
  json Sent = json::parse(Example);
  Sent["routes"][0]["timeoutS"] = 0.61234567;
  Sent["routes"][0]["priority"] = 250;
  Sent["routes"][1]["trafficSplit"][0]["colour"] = "a field to come";
  Sent["services"][0]["maxConnections"] = 7;
  SubtreeDocument Document;
  const Failure Error =
      settle([&] { return platform::readConfiguration(Sent.dump()); },
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

TEST_CASE("a replacement is told apart without a look at its document") {
  const auto Operators = platform::makeOperatorProtocol();
  const auto Call = Operators->decode(
      request("POST", "/persimmonwheel/Config.Replace", "{\"version\":"));
  REQUIRE(Call);
  CHECK(std::holds_alternative<SubtreeReplacement>(*Call));
  ResultCode Code = ResultCode::Ok;
  Code = settle(
             [&] {
               return Operators->readDocument(request(
                   "POST", "/persimmonwheel/Config.Replace", "{\"version\":"));
             },
             [](const SubtreeDocument &) {})
             .Code;
  CHECK(Code == ResultCode::ValueInvalid);
}
