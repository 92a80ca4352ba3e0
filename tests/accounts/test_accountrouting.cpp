#include "libpersimmon/libpersimmon.h"
#include "platform/platform.h"

#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);

wire::MemberRecord memberRecord(const std::string &Name, bool HasTarget) {
  wire::MemberRecord Out;
  Out.Name = Name;
  Out.Address = Name + ":1";
  Out.Zone = "zone-a";
  Out.Incarnation = 1;
  Out.Sequence = 1;
  Out.State = wire::Liveness::Alive;
  if (HasTarget) {
    Out.Service = "team/work";
    Out.Target = wire::TargetState::Serving;
    Out.Slots = 4;
  }
  return Out;
}

const std::map<std::string, std::string> OpenSettings = {
    {"team/services/work", "{}"},
    {"team/routes/work",
     R"({"job":"job","service":"team/work","priority":20})"},
    {"team/routes/open",
     R"({"job":"open","service":"team/work","anonymous":true})"}};

/// A proxy's call router with accounts, and one remote target.
struct RouterFixture {
  LeastOfTwo Choice;
  Membership Members{memberRecord("p0", false), {}, 1};
  Distribution Config{1};
  CallRouter Router{this->Members, this->Config, ClaimClient("p0", "p0:1", 1),
                    1, this->Choice};
  Time Now = Start;
  std::map<std::string, std::string> Values = OpenSettings;
  std::int64_t LastCall = 0;

  RouterFixture() {
    wire::Gossip Gossip;
    Gossip.Updates.push_back(memberRecord("p1", true));
    this->Members.mergeGossip(Gossip, Start);
    this->Values["team/access/callers"] = R"({"keyRequired":true})";
    this->Values["team/accounts/acme"] = R"({"keys":["key-a"],"priority":70})";
    this->Values["team/accounts/bare"] = R"({"keys":["key-b"]})";
    this->replaceSettings(1);
  }

  void replaceSettings(std::int64_t Version) {
    SettingsMap Settings;
    for (const auto &[Path, Value] : this->Values) {
      Settings[Path].Path = Path;
      Settings[Path].Version = Version;
      Settings[Path].Value = Value;
    }
    Effects Ignored;
    this->Config.replaceContent(Settings, Version, Ignored);
    this->Config.noteCurrent(this->Now);
    REQUIRE(this->Config.table() != nullptr);
  }

  Effects call(std::vector<wire::Header> Headers,
               const std::string &Job = "job") {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Url = "/";
    Request.Headers = std::move(Headers);
    CallArrived Call;
    handleResult(
        [&] {
          return platform::makeCallProtocol()->readCall(Request, "team/x",
                                                        this->Now);
        },
        [&](CallMetadata Read) {
          Call.Headers = std::move(Read.Headers);
          Call.AccountKey = std::move(Read.AccountKey);
          Call.IdentityHeaders = std::move(Read.IdentityHeaders);
        });
    Call.CallNumber = ++this->LastCall;
    Call.CallId = std::to_string(Call.CallNumber);
    Call.Job = Job;
    Call.Method = "GET";
    Call.Url = "/";
    Call.Deadline = this->Now + milliseconds(1000);
    Effects Out;
    this->Router.handleCall(Call, true, this->Now, Out);
    return Out;
  }

  Effects callWith(const std::string &Key, const std::string &Job = "job") {
    return this->call({makeHeader("X-Key", Key)}, Job);
  }
};

ResultCode refusalCode(const Effects &Out) {
  for (const Effect &Item : Out) {
    if (const auto *Refused = std::get_if<RefuseCaller>(&Item))
      return Refused->Error.Code;
  }
  return ResultCode::Ok;
}

const wire::CallRequest *sentCall(const Effects &Out) {
  for (const Effect &Item : Out) {
    if (const auto *Sent = std::get_if<SendCall>(&Item))
      return &Sent->Header;
  }
  return nullptr;
}

/// Returns the headers that the target gets, as text.
std::string targetHeaders(const wire::CallRequest &Request) {
  std::string Out;
  for (const wire::Header &Item : platform::makeCallProtocol()->targetHeaders(
           Request, "run", milliseconds(10)))
    Out += Item.Name + ": " + Item.Value + "\n";
  return Out;
}

/// Returns the log lines.
std::string logOf(const Effects &Out) {
  std::string Found;
  for (const Effect &Item : Out) {
    if (const auto *Line = std::get_if<LogDecision>(&Item))
      Found += Line->Line + "\n";
    if (const auto *Line = std::get_if<LogWarning>(&Item))
      Found += Line->Line + "\n";
  }
  return Found;
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("a known key names the account to the target and is not sent on") {
  RouterFixture P;
  const Effects Out =
      P.call({makeHeader("x-key", "key-a"), makeHeader("X-Tenant-Id", "forged"),
              makeHeader("Accept", "*/*")});
  const wire::CallRequest *Sent = sentCall(Out);
  REQUIRE(Sent != nullptr);
  CHECK(Sent->Account == "acme");
  CHECK(Sent->Priority == 70);
  const std::string Headers = targetHeaders(*Sent);
  CHECK(contains(Headers, "X-Tenant-Id: acme\n"));
  CHECK(contains(Headers, "Accept: */*"));
  CHECK(!contains(Headers, "forged"));
  CHECK(!contains(Headers, "key-a"));
  CHECK(contains(logOf(Out), "account=acme"));
  CHECK(!contains(logOf(Out), "key-a"));
  // An account without a priority leaves that of the route.
  const Effects Bare = P.callWith("key-b");
  REQUIRE(sentCall(Bare) != nullptr);
  CHECK(sentCall(Bare)->Priority == 20);
}

TEST_CASE("a missing, unknown or repeated key is answered 401") {
  RouterFixture P;
  CHECK(refusalCode(P.call({})) == ResultCode::KeyUnknown);
  const Effects Unknown = P.callWith("key-x");
  CHECK(refusalCode(Unknown) == ResultCode::KeyUnknown);
  CHECK(httpStatusOf(ResultCode::KeyUnknown) == 401);
  CHECK(!contains(logOf(Unknown), "key-x"));
  CHECK(refusalCode(P.callWith("")) == ResultCode::KeyUnknown);
  CHECK(refusalCode(P.call(
            {makeHeader("X-Key", "key-a"), makeHeader("X-Key", "key-a")})) ==
        ResultCode::KeyUnknown);
  CHECK(refusalCode(P.callWith("KEY-A")) == ResultCode::KeyUnknown);
  // A request without a route is denied as such, whatever its key.
  CHECK(refusalCode(P.callWith("key-x", "nowhere")) == ResultCode::NoRoute);
}

TEST_CASE("anonymous routes need no key, and a known one names its account") {
  RouterFixture P;
  for (const auto &Headers :
       {std::vector<wire::Header>{makeHeader("X-Tenant-Id", "forged")},
        std::vector<wire::Header>{makeHeader("X-Key", "key-x"),
                                  makeHeader("X-Tenant-Id", "forged")}}) {
    const Effects Out = P.call(Headers, "open");
    REQUIRE(sentCall(Out) != nullptr);
    CHECK(sentCall(Out)->Account.empty());
    const std::string Sent = targetHeaders(*sentCall(Out));
    CHECK(!contains(Sent, "X-Tenant-Id"));
    CHECK(!contains(Sent, "X-Key"));
  }
  const Effects Known = P.callWith("key-a", "open");
  REQUIRE(sentCall(Known) != nullptr);
  CHECK(sentCall(Known)->Account == "acme");
  CHECK(sentCall(Known)->Priority == 70);
}

// A deployment without accounts must be served exactly as before.
TEST_CASE("without required keys the headers are forwarded like any others") {
  RouterFixture P;
  P.Values = OpenSettings;
  P.replaceSettings(2);
  const Effects Out =
      P.call({makeHeader("X-Key", "key-a"), makeHeader("X-Tenant-Id", "own"),
              makeHeader("X-Key", "second")});
  REQUIRE(sentCall(Out) != nullptr);
  const std::string Sent = targetHeaders(*sentCall(Out));
  CHECK(contains(Sent, "X-Key: key-a\n"));
  CHECK(contains(Sent, "X-Key: second\n"));
  CHECK(contains(Sent, "X-Tenant-Id: own\n"));
  CHECK(sentCall(Out)->Account.empty());
}

// A wrong 401 ends the caller's attempts, so it needs the newest version.
TEST_CASE("a key is denied only by a confirmed version") {
  RouterFixture P;
  CallRouter::VersionValidity Stale;
  Stale.DeniesUntil = P.Now;
  P.Router.setValidity(Stale);
  CHECK(refusalCode(P.callWith("key-new")) == ResultCode::Ok);
  CHECK(P.Router.hasHeld());
  // The version that adds the key arrives meanwhile.
  P.Values["team/accounts/new"] = R"({"keys":["key-new"]})";
  P.replaceSettings(2);
  P.Router.setValidity({});
  Effects Out;
  P.Router.routeAgain(true, P.Now, Out);
  REQUIRE(sentCall(Out) != nullptr);
  CHECK(sentCall(Out)->Account == "new");
  // Without a confirmation the call is refused as not current.
  P.Router.setValidity(Stale);
  CHECK(refusalCode(P.callWith("key-x")) == ResultCode::Ok);
  P.Now += milliseconds(200);
  Out.clear();
  P.Router.tick(P.Now, Out);
  CHECK(refusalCode(Out) == ResultCode::NotCurrent);
  // A version that is known to be superseded denies nothing.
  P.Router.setValidity({});
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 3, P.Now, Ignored);
  CHECK(refusalCode(P.callWith("key-x")) == ResultCode::NotCurrent);
}

TEST_CASE("before any configuration calls are refused as not current") {
  LeastOfTwo Choice;
  const Membership Members{memberRecord("p0", false), {}, 1};
  const Distribution Config{1};
  CallRouter Router{Members, Config, ClaimClient("p0", "p0:1", 1), 1, Choice};
  CallArrived Call;
  Call.CallNumber = 1;
  Call.Job = "job";
  Call.Url = "/";
  Effects Out;
  Router.handleCall(Call, true, Start, Out);
  CHECK(refusalCode(Out) == ResultCode::NotCurrent);
}

TEST_CASE("keys of one team mean nothing on routes of another") {
  RouterFixture P;
  P.Values["other/services/work"] = "{}";
  P.Values["other/routes/work"] = R"({"job":"other","service":"other/work"})";
  P.Values["other/accounts/acme"] = R"({"keys":["key-a"]})";
  P.replaceSettings(2);
  // The other team requires no keys, so the header is its target's.
  CHECK(refusalCode(P.callWith("key-a", "other")) == ResultCode::NoTarget);
  P.Values["other/access/callers"] = R"({"keyRequired":true})";
  P.replaceSettings(3);
  CHECK(refusalCode(P.callWith("key-b", "other")) == ResultCode::KeyUnknown);
  CHECK(refusalCode(P.callWith("key-a", "other")) == ResultCode::NoTarget);
}
