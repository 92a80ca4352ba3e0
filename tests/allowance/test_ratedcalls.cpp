#include "libpersimmon/libpersimmon.h"
#include "libpersimmon/node.h"

#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);
const std::string Path = "team/accounts/acme";

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

/// A proxy's call router with a limited and an unlimited account, and two
/// remote targets.
struct RatedCalls {
  LeastOfTwo Choice;
  Membership Members{memberRecord("p0", false), {}, 1};
  Distribution Config{1};
  CallRouter Router{this->Members, this->Config, ClaimClient("p0", "p0:1", 1),
                    1, this->Choice};
  std::int64_t LastCall = 0;
  std::vector<wire::CallRequest> Sent;
  std::vector<RefuseCaller> Refused;
  std::vector<wire::AllowanceRequest> Requests;

  RatedCalls() {
    wire::Gossip Gossip;
    Gossip.Updates.push_back(memberRecord("p1", true));
    Gossip.Updates.push_back(memberRecord("p2", true));
    this->Members.mergeGossip(Gossip, Start);
    SettingsMap Settings;
    for (const auto &[At, Value] : std::map<std::string, std::string>{
             {"team/services/work", "{}"},
             {"team/routes/work", R"({"job":"job","service":"team/work"})"},
             {"team/access/callers", R"({"keyRequired":true})"},
             {Path, R"({"keys":["key-a"],"ratePerSecond":10,"burst":5})"},
             {"team/accounts/free", R"({"keys":["key-b"]})"}}) {
      Settings[At].Path = At;
      Settings[At].Version = 1;
      Settings[At].Value = Value;
    }
    Effects Ignored;
    this->Config.replaceContent(Settings, 1, Ignored);
    this->Config.noteCurrent(Start);
    REQUIRE(this->Config.table() != nullptr);
    this->Router.setControlAddresses({"c1:1"});
  }

  void collect(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->Sent.push_back(Call->Header);
      if (const auto *Refusal = std::get_if<RefuseCaller>(&Item))
        this->Refused.push_back(*Refusal);
      if (const auto *Message = std::get_if<SendMessage>(&Item)) {
        if (const auto *Request =
                std::get_if<wire::AllowanceRequest>(&Message->Body))
          this->Requests.push_back(*Request);
      }
    }
  }

  void call(const std::string &Key, Time Now) {
    CallArrived Call;
    Call.AccountKey = Key;
    Call.CallNumber = ++this->LastCall;
    Call.CallId = std::to_string(Call.CallNumber);
    Call.Job = "job";
    Call.Method = "GET";
    Call.Url = "/";
    Call.Deadline = Now + milliseconds(1000);
    Effects Out;
    this->Router.handleCall(Call, true, Now, Out);
    this->collect(Out);
  }

  void tick(Time Now) {
    Effects Out;
    this->Router.tick(Now, Out);
    this->collect(Out);
  }

  /// Replies to the last request with a share of 10 calls per second.
  void grant(int Tokens, int RetryMs, Time Now, bool WithShare = false) {
    wire::AllowanceReply Reply;
    Reply.Number = this->Requests.back().Number;
    Reply.ValidMs = static_cast<std::int32_t>(ShareValidity.count());
    wire::AllowanceShare Share;
    Share.Account = accountNumber(Path);
    if (WithShare) {
      constexpr std::int64_t MilliPerSecond = 10'000;
      Share.__set_MilliPerSecond(MilliPerSecond);
      Share.__set_MilliDepth(MilliPerSecond);
    }
    Share.__set_Tokens(Tokens);
    if (RetryMs > 0)
      Share.__set_RetryMs(RetryMs);
    Reply.Shares.push_back(Share);
    Effects Out;
    this->Router.receive(Reply, "c1:1", Now, Out);
    this->collect(Out);
  }

  void answer(wire::CallOutcome::type Outcome, ResultCode Code, Time Now) {
    wire::CallReply Reply;
    Reply.Id = this->Sent.back().Id;
    Reply.Outcome = Outcome;
    Reply.Code = static_cast<std::int32_t>(Code);
    Effects Out;
    this->Router.receive(Reply, Now, Out);
    this->collect(Out);
  }
};

} // namespace

// Guards against a cost for deployments without limited accounts.
TEST_CASE("calls of an account without a limit take no token") {
  RatedCalls P;
  P.call("key-b", Start);
  P.tick(Start + milliseconds(100));
  CHECK(P.Sent.size() == 1);
  CHECK(P.Requests.empty());
  CHECK(P.Router.allowance().counts().Granted == 0);
}

TEST_CASE("a call of a limited account is sent once it has a token") {
  RatedCalls P;
  P.call("key-a", Start);
  CHECK(P.Sent.empty());
  REQUIRE(P.Requests.size() == 1);
  P.grant(1, 0, Start + milliseconds(3));
  REQUIRE(P.Sent.size() == 1);
  CHECK(P.Sent[0].Account == "acme");
}

TEST_CASE("a call beyond the rate is told when there is allowance") {
  RatedCalls P;
  P.call("key-a", Start);
  P.grant(0, 300, Start + milliseconds(3));
  CHECK(P.Sent.empty());
  REQUIRE(P.Refused.size() == 1);
  CHECK(P.Refused[0].Error.Code == ResultCode::RateExceeded);
  CHECK(P.Refused[0].RetryAfter == milliseconds(300));
  // The next one is refused without another request.
  P.call("key-a", Start + milliseconds(100));
  CHECK(P.Requests.size() == 1);
  REQUIRE(P.Refused.size() == 2);
  CHECK(P.Refused[1].Error.Code == ResultCode::RateExceeded);
}

// Guards against a 429 of a daemon that does not know the rate's use.
TEST_CASE("a call is answered 503 if no leader answers") {
  RatedCalls P;
  P.call("key-a", Start);
  for (int I = 1; I <= 8; ++I)
    P.tick(Start + milliseconds(20) * I);
  CHECK(P.Sent.empty());
  REQUIRE(P.Refused.size() == 1);
  CHECK(P.Refused[0].Error.Code == ResultCode::NotCurrent);
  CHECK(P.Refused[0].RetryAfter.count() > 0);
  CHECK(P.Router.callCount() == 0);
}

// Guards against allowance that is lost with attempts that nobody ran, or used
// once and counted twice.
TEST_CASE("an attempt that nobody ran does not use up a token") {
  RatedCalls P;
  P.call("key-a", Start);
  P.grant(1, 0, Start + milliseconds(3), true);
  REQUIRE(P.Sent.size() == 1);
  // The retry on the other target needs no further token.
  P.answer(wire::CallOutcome::NotRun, ResultCode::Overloaded,
           Start + milliseconds(5));
  REQUIRE(P.Sent.size() == 2);
  P.answer(wire::CallOutcome::NotRun, ResultCode::Overloaded,
           Start + milliseconds(7));
  REQUIRE(P.Refused.size() == 1);
  // The token is in the bucket again.
  P.call("key-a", Start + milliseconds(8));
  CHECK(P.Sent.size() == 3);
  P.call("key-a", Start + milliseconds(9));
  CHECK(P.Sent.size() == 3);
}

// Guards against repeated attempts that reach targets beyond the rate.
TEST_CASE("an attempt that reached a target uses up its token") {
  RatedCalls P;
  P.call("key-a", Start);
  P.grant(1, 0, Start + milliseconds(3), true);
  REQUIRE(P.Sent.size() == 1);
  P.answer(wire::CallOutcome::NotRun, ResultCode::TargetShed,
           Start + milliseconds(5));
  // The retry waits for a token of its own.
  CHECK(P.Sent.size() == 1);
  P.tick(Start + milliseconds(120));
  CHECK(P.Sent.size() == 2);
}

TEST_CASE("a caller that leaves while its call waits takes no token") {
  RatedCalls P;
  P.call("key-a", Start);
  P.call("key-a", Start);
  Effects Out;
  P.Router.callerDisconnected(1, Start, Out);
  P.grant(1, 0, Start + milliseconds(3));
  REQUIRE(P.Sent.size() == 1);
  CHECK(P.Sent[0].CallId == "2");
}
