#include "libhost/bodystore.h"
#include "libpersimmon/node.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <set>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);

wire::CallRequest request(std::int64_t Number, int RemainingMs = 5000,
                          int Priority = 5) {
  wire::CallRequest Out;
  Out.Id.Sender = "p1";
  Out.Id.SenderIncarnation = 1;
  Out.Id.Number = Number;
  Out.Service = "team/work";
  Out.RemainingMs = RemainingMs;
  Out.Priority = Priority;
  Out.CallId = "call-" + std::to_string(Number);
  return Out;
}

/// Returns the replies among the effects by attempt number.
std::map<std::int64_t, wire::CallReply> replies(const Effects &Out) {
  std::map<std::int64_t, wire::CallReply> Found;
  for (const Effect &Item : Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    if (Sent != nullptr &&
        std::holds_alternative<wire::CallReply>(Sent->Body)) {
      const auto &Reply = std::get<wire::CallReply>(Sent->Body);
      Found[Reply.Id.Number] = Reply;
    }
  }
  return Found;
}

std::set<std::int64_t> startedRuns(const Effects &Out) {
  std::set<std::int64_t> Found;
  for (const Effect &Item : Out) {
    if (const auto *Run = std::get_if<RunOnTarget>(&Item))
      Found.insert(Run->Id.Number);
  }
  return Found;
}

/// Returns the effects without the log lines.
Effects withoutLog(const Effects &Out) {
  Effects Found;
  for (const Effect &Item : Out) {
    if (!std::holds_alternative<LogDecision>(Item))
      Found.push_back(Item);
  }
  return Found;
}

/// Provides a scheduler for a serving target with two slots.
struct TargetFixture {
  AttemptScheduler UnderTest{1};
  ServiceSpec Limits;
  Effects Out;

  TargetFixture() {
    this->Limits.Name = "team/work";
    this->Limits.Queue = 2;
    this->target(wire::TargetState::Serving);
  }

  void target(wire::TargetState::type State) {
    TargetAnnounced Event;
    Event.Service = "team/work";
    Event.Slots = 2;
    Event.State = State;
    this->UnderTest.setTarget(Event, Start, this->Out);
  }

  void arrive(const wire::CallRequest &Request, Time Now = Start) {
    this->UnderTest.receive(Request, "#1", {true, false, &this->Limits}, Now,
                            this->Out);
  }

  void query(std::int64_t Number, Time Now = Start) {
    wire::CallQuery Query;
    Query.Id = request(Number).Id;
    this->UnderTest.receive(Query, "#2", true, Now, this->Out);
  }

  void cancel(std::int64_t Number, Time Now = Start) {
    wire::CallCancel Cancel;
    Cancel.Id = request(Number).Id;
    this->UnderTest.receive(Cancel, "#1", Now, this->Out);
  }

  void finish(std::int64_t Number, Time Now, RunEnd End = RunEnd::Answered) {
    RunFinished Run;
    Run.Id = request(Number).Id;
    Run.End = End;
    this->UnderTest.finished(Run, Now, this->Out);
  }
};

} // namespace

TEST_CASE("an attempt whose outcome was queried before it arrived never runs") {
  TargetFixture L;
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  L.Out.clear();
  L.arrive(request(1));
  CHECK(startedRuns(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE(
    "a call whose cancellation overtook it on a new connection never runs") {
  TargetFixture L;
  L.cancel(1);
  // The received part of its body is dropped.
  const Effects Done = withoutLog(L.Out);
  REQUIRE(Done.size() == 2);
  // The reply acknowledges the cancellation and tells no outcome.
  CHECK(replies(Done)[1].Outcome == wire::CallOutcome::Unknown);
  CHECK(std::holds_alternative<DropAttempt>(Done.back()));
  L.Out.clear();
  L.arrive(request(1));
  CHECK(startedRuns(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE("an attempt whose fence has expired is never reported as not run") {
  TargetFixture L;
  L.query(1);
  L.UnderTest.tick(Start + std::chrono::minutes(2), L.Out);
  L.Out.clear();
  L.arrive(request(1), Start + std::chrono::minutes(2));
  CHECK(startedRuns(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
}

TEST_CASE("an attempt that ran is never reported as not run, however many "
          "senders there are") {
  TargetFixture L;
  L.arrive(request(1));
  L.finish(1, Start);
  const Time Later = Start + std::chrono::minutes(2);
  L.UnderTest.tick(Later, L.Out);
  // Many other senders follow, and their state expires in turn.
  for (int I = 0; I < 30'000; ++I) {
    wire::CallQuery Query;
    Query.Id.Sender = "z" + std::to_string(I);
    L.UnderTest.receive(Query, "#3", true, Later, L.Out);
  }
  for (int I = 1; I <= 3; ++I)
    L.UnderTest.tick(Later + std::chrono::minutes(I), L.Out);
  L.Out.clear();
  L.query(1, Later + std::chrono::minutes(4));
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
}

TEST_CASE("a call for an earlier process of the daemon is not run") {
  TargetFixture L;
  L.UnderTest.receive(request(1), "#1", {false, false, &L.Limits}, Start,
                      L.Out);
  CHECK(startedRuns(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  wire::CallQuery Query;
  Query.Id = request(2).Id;
  L.UnderTest.receive(Query, "#1", false, Start, L.Out);
  CHECK(replies(L.Out)[2].Outcome == wire::CallOutcome::Unknown);
}

TEST_CASE("slots and queue are bounded, and the queue is ordered by deadline") {
  TargetFixture L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3, 4000));
  L.arrive(request(4, 3000));
  L.arrive(request(5));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{1, 2});
  CHECK(replies(L.Out)[5].Code == static_cast<int>(ResultCode::Overloaded));
  L.Out.clear();
  L.finish(1, Start + milliseconds(10));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{4});
}

TEST_CASE("a call whose deadline cannot be met is refused before it runs") {
  TargetFixture L;
  L.arrive(request(1));
  L.finish(1, Start + milliseconds(1000));
  for (std::int64_t Number = 2; Number <= 20; ++Number) {
    L.arrive(request(Number), Start);
    L.finish(Number, Start + milliseconds(1000));
  }
  L.arrive(request(21));
  L.arrive(request(22));
  L.Out.clear();
  L.arrive(request(23, 500));
  CHECK(replies(L.Out)[23].Code ==
        static_cast<int>(ResultCode::DeadlineCannotBeMet));
  L.arrive(request(24, 0));
  CHECK(replies(L.Out)[24].Code ==
        static_cast<int>(ResultCode::DeadlineCannotBeMet));
}

TEST_CASE("queued calls whose deadline passes are returned as not run") {
  TargetFixture L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3, 100));
  L.Out.clear();
  L.UnderTest.tick(Start + milliseconds(101), L.Out);
  CHECK(replies(L.Out)[3].Outcome == wire::CallOutcome::NotRun);
  L.finish(1, Start + milliseconds(200));
  CHECK(startedRuns(L.Out).empty());
}

TEST_CASE(
    "calls of the lowest priority are shed first if shedBelowPriority is set") {
  TargetFixture L;
  L.Limits.ShedBelowPriority = 5;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3, 5000, 5));
  L.arrive(request(4, 5000, 3));
  CHECK(replies(L.Out)[4].Code == static_cast<int>(ResultCode::Overloaded));
  L.arrive(request(5, 5000, 6));
  L.Out.clear();
  L.arrive(request(6, 5000, 9));
  CHECK(replies(L.Out)[3].Code == static_cast<int>(ResultCode::Overloaded));
  CHECK(replies(L.Out).count(6) == 0);
}

TEST_CASE("a draining target gets no new calls and returns its queued calls") {
  TargetFixture L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3));
  L.Out.clear();
  L.target(wire::TargetState::Draining);
  CHECK(replies(L.Out)[3].Code == static_cast<int>(ResultCode::Draining));
  L.arrive(request(4));
  CHECK(replies(L.Out)[4].Code == static_cast<int>(ResultCode::Draining));
  CHECK(!L.UnderTest.idle());
  L.Out.clear();
  L.finish(1, Start);
  L.finish(2, Start);
  CHECK(startedRuns(L.Out).empty());
}

TEST_CASE("a call that is not expected to end before the daemon exits is "
          "refused") {
  TargetFixture T;
  T.arrive(request(1));
  const Time Later = Start + milliseconds(2000);
  T.finish(1, Later);
  T.UnderTest.setEnd(Later + milliseconds(3000));
  T.Out.clear();
  T.arrive(request(2), Later);
  CHECK(startedRuns(T.Out).empty());
  REQUIRE(replies(T.Out).count(2) == 1);
  CHECK(replies(T.Out)[2].Outcome == wire::CallOutcome::NotRun);
  // Its caller stops waiting before the exit.
  T.arrive(request(3, 2500), Later);
  CHECK(startedRuns(T.Out).count(3) == 1);
}

TEST_CASE("a broken run has an unknown outcome, an unreachable or shedding "
          "target does not") {
  TargetFixture L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.Out.clear();
  L.finish(1, Start, RunEnd::Broken);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
  L.finish(2, Start, RunEnd::NotConnected);
  CHECK(replies(L.Out)[2].Outcome == wire::CallOutcome::NotRun);
  L.arrive(request(3));
  L.finish(3, Start, RunEnd::Shed);
  CHECK(replies(L.Out)[3].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE("an answer being sent is not sent again on the same connection") {
  TargetFixture L;
  L.arrive(request(1));
  L.finish(1, Start);
  REQUIRE(std::any_of(L.Out.begin(), L.Out.end(), [](const Effect &Item) {
    return std::holds_alternative<SendAnswer>(Item);
  }));
  L.Out.clear();
  wire::CallQuery Query;
  Query.Id = request(1).Id;
  L.UnderTest.receive(Query, "#1", true, Start + milliseconds(100), L.Out);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Running);
  CHECK(L.Out.size() == 1);
  // The answer was not sent on the other connection.
  L.Out.clear();
  L.query(1, Start + milliseconds(200));
  REQUIRE(L.Out.size() == 1);
  CHECK(std::holds_alternative<SendAnswer>(L.Out.front()));
}

TEST_CASE(
    "an answer is kept until it is acknowledged, and sent again on a query") {
  TargetFixture L;
  L.arrive(request(1));
  L.finish(1, Start);
  L.Out.clear();
  L.query(1);
  REQUIRE(L.Out.size() == 1);
  CHECK(std::holds_alternative<SendAnswer>(L.Out[0]));
  wire::AnswerAck Ack;
  Ack.Id = request(1).Id;
  L.UnderTest.receive(Ack, Start, L.Out);
  L.Out.clear();
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
}

namespace {

/// Provides a proxy's view of members that serve one service.
struct Targets {
  Membership Members;
  LeastOfTwo Policy;

  explicit Targets(int Count) : Members(record("p0", false), {}, 1) {
    wire::Gossip Gossip;
    for (int I = 1; I <= Count; ++I)
      Gossip.Updates.push_back(record("p" + std::to_string(I), true));
    this->Members.mergeGossip(Gossip, Start);
  }

  static wire::MemberRecord record(const std::string &Name, bool Serving) {
    wire::MemberRecord Out;
    Out.Name = Name;
    Out.Address = Name + ":1";
    Out.Zone = "zone-a";
    Out.Incarnation = 1;
    Out.Sequence = 1;
    Out.Slots = 10;
    Out.Service = "team/work";
    Out.Target = Serving ? wire::TargetState::Serving : wire::TargetState::None;
    return Out;
  }

  void setUnwell(const std::string &Name) {
    wire::Gossip Gossip;
    Gossip.Updates.push_back(record(Name, true));
    Gossip.Updates.back().Sequence = 2;
    Gossip.Updates.back().Unwell = true;
    this->Members.mergeGossip(Gossip, Start);
  }

  std::map<std::string, int> chooseMany(TargetChooser &Chooser) {
    std::map<std::string, int> Out;
    for (int I = 0; I < 1000; ++I)
      Out[Chooser.choose(this->Members, "team/work", {}, Start).Record->Name] +=
          1;
    return Out;
  }
};

} // namespace

TEST_CASE("an unwell target gets fewer calls, unless most targets are unwell") {
  Targets T(4);
  T.setUnwell("p1");
  TargetChooser Chooser("zone-a", 1, T.Policy);
  CHECK(T.chooseMany(Chooser)["p1"] < 20);
  T.setUnwell("p2");
  T.setUnwell("p3");
  TargetChooser Fresh("zone-a", 1, T.Policy);
  auto Counts = T.chooseMany(Fresh);
  CHECK(Counts["p1"] > 150);
  CHECK(Counts["p4"] < 500);
}

TEST_CASE("failing targets are avoided, unless most targets fail") {
  Targets T(4);
  TargetChooser Chooser("zone-a", 1, T.Policy);
  T.chooseMany(Chooser);
  for (int I = 0; I < 10; ++I)
    Chooser.finished("p1", true, Start);
  CHECK(T.chooseMany(Chooser)["p1"] == 0);
  for (const char *Name : {"p2", "p3", "p4"}) {
    for (int I = 0; I < 10; ++I)
      Chooser.finished(Name, true, Start);
  }
  CHECK(T.chooseMany(Chooser).size() == 4);
}

TEST_CASE("the own availability zone is preferred until it is loaded") {
  Targets T(2);
  wire::Gossip Gossip;
  Gossip.Updates.push_back(Targets::record("far", true));
  Gossip.Updates.back().Zone = "zone-b";
  T.Members.mergeGossip(Gossip, Start);
  TargetChooser Chooser("zone-a", 1, T.Policy);
  CHECK(T.chooseMany(Chooser).count("far") == 0);
  for (int I = 0; I < 12; ++I) {
    Chooser.started("p1");
    Chooser.started("p2");
  }
  CHECK(T.chooseMany(Chooser)["far"] > 300);
}

TEST_CASE("retries are limited to a percentage of the calls") {
  RetryBudget Budget;
  int Retries = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.deposit("team/work", 10);
    while (Budget.tryWithdraw("team/work"))
      ++Retries;
  }
  CHECK(Retries <= 101);
  CHECK(Retries >= 95);
}

namespace {

/// Provides a proxy daemon without peers but with a target.
struct ProxyFixture {
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  std::unique_ptr<Node> Daemon;

  ProxyFixture() {
    NodeIdentity Identity;
    Identity.Name = "p1";
    Identity.Address = "p1:1";
    Identity.Incarnation = 1;
    this->Daemon =
        Node::makeProxy(Identity, {this->Choice, this->VersionTopology});
  }

  void submit(EventBody Body) {
    Event What;
    What.At = Start;
    What.Body = std::move(Body);
    this->Daemon->reduce(What);
  }
};

} // namespace

TEST_CASE("a discovered target serves until it announces itself") {
  ProxyFixture P;
  P.submit(TargetFound{"team/work", "run-1", 4});
  CHECK(P.Daemon->members().self().Target == wire::TargetState::None);
  // What a member heard before this daemon started.
  wire::MemberRecord Former = P.Daemon->members().self();
  Former.Incarnation -= 1;
  Former.Service = "team/work";
  Former.Run.InstanceId = "run-1";
  Former.__isset.Run = true;
  wire::Announce Told;
  Told.Head.Updates = {Former};
  P.submit(MessageReceived{"c1:1", Told});
  CHECK(P.Daemon->members().self().Target == wire::TargetState::Serving);
  CHECK(P.Daemon->members().self().Slots == 4);
  TargetAnnounced Announcement;
  Announcement.Service = "team/work";
  Announcement.Slots = 4;
  Announcement.InstanceId = "run-1";
  Announcement.Born = 100;
  Announcement.Sequence = 9;
  Announcement.State = wire::TargetState::Draining;
  P.submit(Announcement);
  CHECK(P.Daemon->members().self().Target == wire::TargetState::Draining);
}

TEST_CASE("a health check result after an announcement changes nothing") {
  ProxyFixture P;
  TargetAnnounced Announcement;
  Announcement.Service = "team/work";
  Announcement.Slots = 4;
  Announcement.InstanceId = "run-1";
  Announcement.Born = 100;
  Announcement.Sequence = 9;
  Announcement.State = wire::TargetState::Draining;
  P.submit(Announcement);
  P.submit(TargetFound{"team/work", "run-1", 4});
  CHECK(P.Daemon->members().self().Target == wire::TargetState::Draining);
}

namespace {

/// Provides a proxy's call router with a route to one remote target.
struct CallRouterFixture {
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  Membership Members{Targets::record("p0", false), {}, 1};
  Distribution Config{1};
  CallRouter Router{this->Members, this->Config, ClaimClient("p0", "p0:1", 1),
                    1, this->Choice};
  Time Now = Start;

  CallRouterFixture() {
    wire::Gossip Gossip;
    Gossip.Updates.push_back(Targets::record("p1", true));
    this->Members.mergeGossip(Gossip, Start);
    SettingsMap Settings;
    for (const auto &[Path, Value] : std::map<std::string, std::string>{
             {"team/services/work", "{}"},
             {"team/routes/work",
              R"({"job":"job","service":"team/work","repeatable":"never"})"}}) {
      Settings[Path].Path = Path;
      Settings[Path].Version = 1;
      Settings[Path].Value = Value;
    }
    Effects Ignored;
    this->Config.replaceContent(Settings, 1, Ignored);
    this->Config.noteCurrent(this->Now);
  }

  Effects call(std::int64_t Number, milliseconds Timeout,
               std::size_t BodyBytes = 0, const std::string &Job = "job") {
    CallArrived Call;
    Call.CallNumber = Number;
    Call.CallId = std::to_string(Number);
    Call.Job = Job;
    Call.Method = "POST";
    Call.Url = "/";
    Call.BodySize = static_cast<std::int64_t>(BodyBytes);
    Call.Deadline = this->Now + Timeout;
    Effects Out;
    this->Router.handleCall(Call, true, this->Now, Out);
    return Out;
  }

  /// Advances the time until the connection to the silent peer is renewed.
  /// Returns how long that took, or -1 ms if it was not renewed.
  milliseconds timeUntilRenewal() {
    const Time WaitStart = this->Now;
    for (int I = 0; I < 500; ++I) {
      this->Now += milliseconds(20);
      Effects Out;
      this->Router.tick(this->Now, Out);
      for (const Effect &Item : Out) {
        if (std::holds_alternative<RenewConnection>(Item))
          return std::chrono::duration_cast<milliseconds>(this->Now -
                                                          WaitStart);
      }
    }
    return milliseconds(-1);
  }
};

} // namespace

TEST_CASE(
    "a silent connection is renewed in time for the calls that wait on it") {
  CallRouterFixture ShortCall;
  ShortCall.call(1, milliseconds(600));
  CHECK(ShortCall.timeUntilRenewal() <= milliseconds(380));
  // A call with a long timeout tolerates a slow link delayed by a large body.
  CallRouterFixture LongCall;
  LongCall.call(1, milliseconds(4000));
  const milliseconds SilentFor = LongCall.timeUntilRenewal();
  CHECK(SilentFor >= milliseconds(1000));
  CHECK(SilentFor <= milliseconds(1520));
}

TEST_CASE(
    "the silence timeout starts at the time of the peer's last activity") {
  CallRouterFixture P;
  P.call(1, milliseconds(600));
  const Time CallTime = P.Now;
  P.timeUntilRenewal();
  // The connection opened just after the call, without any later activity.
  P.Router.streamAlive("p1:1", CallTime + milliseconds(1));
  CHECK(P.timeUntilRenewal() <= milliseconds(40));
}

TEST_CASE("new calls do not postpone the silence timeout of their peer") {
  CallRouterFixture P;
  P.call(1, milliseconds(600));
  bool Renewed = false;
  for (std::int64_t Number = 2; Number < 40 && !Renewed; ++Number) {
    P.Now += milliseconds(20);
    P.call(Number, milliseconds(600));
    Effects Out;
    P.Router.tick(P.Now, Out);
    for (const Effect &Item : Out)
      Renewed = Renewed || std::holds_alternative<RenewConnection>(Item);
  }
  CHECK(Renewed);
  CHECK(P.Now - Start <= milliseconds(400));
}

namespace {

/// Returns the code with which the caller was refused, or Ok.
ResultCode refusalCode(const Effects &Out) {
  for (const Effect &Item : Out) {
    if (const auto *Refused = std::get_if<RefuseCaller>(&Item))
      return Refused->Error.Code;
  }
  return ResultCode::Ok;
}

} // namespace

TEST_CASE("a proxy that knows of a newer version refuses an unknown route as "
          "not current") {
  CallRouterFixture P;
  CHECK(refusalCode(P.call(1, milliseconds(600), 0, "other")) ==
        ResultCode::NoRoute);
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 2, P.Now, Ignored);
  CHECK(refusalCode(P.call(2, milliseconds(600), 0, "other")) ==
        ResultCode::NotCurrent);
}

TEST_CASE("a proxy that knows of a newer version refuses a large body as not "
          "current") {
  constexpr std::size_t TooLarge = 500'000'000;
  CallRouterFixture P;
  CHECK(refusalCode(P.call(1, milliseconds(600), TooLarge)) ==
        ResultCode::BodyTooLarge);
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 2, P.Now, Ignored);
  CHECK(refusalCode(P.call(2, milliseconds(600), TooLarge)) ==
        ResultCode::NotCurrent);
}

TEST_CASE("a superseded version is served only for a limited time") {
  CallRouterFixture P;
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 2, P.Now, Ignored);
  CHECK(refusalCode(P.call(1, milliseconds(600))) == ResultCode::Ok);
  // Further versions do not extend the time since the first newer one.
  P.Now += milliseconds(1000);
  P.Config.notePeerVersion("p1:1", 3, P.Now, Ignored);
  P.Now += milliseconds(900);
  CHECK(refusalCode(P.call(2, milliseconds(600))) == ResultCode::NotCurrent);
}

namespace {

/// Connects the daemon where calls enter to a target's daemon and counts the
/// bytes sent over the link.
struct UploadFixture {
  CallRouterFixture Entry;
  TargetFixture Target;
  BodyStore TargetBodies;
  std::string Body = std::string(200'000, 'a');
  std::size_t LinkBytes = 0;

  void upload(std::int64_t Number) {
    this->deliver(
        this->Entry.call(Number, milliseconds(4000), this->Body.size()));
  }

  /// Delivers the messages of the entry daemon to the target's daemon.
  void deliver(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->deliverToTarget(firstMessage(*Call, this->Body));
      if (const auto *Sent = std::get_if<SendBody>(&Item)) {
        for (const wire::BodyPart &Part : partsToSend(*Sent, this->Body))
          this->deliverToTarget(Part);
      }
    }
  }

  /// Delivers the replies of the target's daemon to the entry daemon.
  void deliverReplies() {
    Effects Out;
    for (const auto &[Number, Reply] : replies(this->Target.Out))
      this->Entry.Router.receive(Reply, Start, Out);
    this->Target.Out.clear();
    this->deliver(Out);
  }

  void deliverToTarget(const Message &Item) {
    this->LinkBytes += encode(Item).size();
    if (const auto *Header = std::get_if<wire::CallRequest>(&Item)) {
      const auto ToAdmit = this->TargetBodies.begin(*Header, "#1");
      if (ToAdmit)
        this->Target.arrive(*ToAdmit);
      return;
    }
    const auto Result =
        this->TargetBodies.addPart(std::get<wire::BodyPart>(Item), Start);
    if (const auto *CompleteCall = std::get_if<wire::CallRequest>(&Result))
      this->Target.arrive(*CompleteCall);
    if (const auto *Arrived = std::get_if<BodyArrived>(&Result))
      this->Target.UnderTest.bodyArrived(*Arrived, Start, this->Target.Out);
  }
};

wire::CallRequest uploadHeader(std::int64_t Number, int RemainingMs = 5000) {
  wire::CallRequest Out = request(Number, RemainingMs);
  Out.BodySize = 200'000;
  Out.BodyFollows = true;
  return Out;
}

/// Provides a scheduler that admits uploads whose body is still to arrive.
struct ReservationFixture : TargetFixture {
  void completeBody(std::int64_t Number, Time Now = Start,
                    Time Deadline = NoDeadline) {
    this->UnderTest.bodyArrived({request(Number).Id, "call", Deadline}, Now,
                                this->Out);
  }

  /// Starts two calls and reserves both places in the queue for two uploads.
  void fillQueue() {
    this->arrive(request(1));
    this->arrive(request(2));
    this->arrive(uploadHeader(3, 1000));
    this->arrive(uploadHeader(4, 1000));
    this->arrive(uploadHeader(5));
    this->arrive(request(6));
    auto Replies = replies(this->Out);
    CHECK(Replies[3].Outcome == wire::CallOutcome::Admitted);
    CHECK(Replies[4].Outcome == wire::CallOutcome::Admitted);
    CHECK(Replies[5].Code == static_cast<int>(ResultCode::Overloaded));
    CHECK(Replies[6].Code == static_cast<int>(ResultCode::Overloaded));
    CHECK(this->UnderTest.load().Queued == 2);
    this->Out.clear();
  }

  /// Checks that both places in the queue are available.
  void checkQueueFree(Time Now) {
    CHECK(this->UnderTest.load().Queued == 0);
    this->Out.clear();
    this->arrive(request(7), Now);
    this->arrive(uploadHeader(8), Now);
    CHECK(replies(this->Out).count(7) == 0);
    CHECK(replies(this->Out)[8].Outcome == wire::CallOutcome::Admitted);
  }
};

/// Returns the deadlines of started runs by attempt number.
std::map<std::int64_t, Time> runDeadlines(const Effects &Out) {
  std::map<std::int64_t, Time> Found;
  for (const Effect &Item : Out) {
    if (const auto *Run = std::get_if<RunOnTarget>(&Item))
      Found[Run->Id.Number] = Run->Deadline;
  }
  return Found;
}

template <typename EffectT> int countEffects(const Effects &Out) {
  int Count = 0;
  for (const Effect &Item : Out)
    Count += std::holds_alternative<EffectT>(Item) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("the body of a refused upload is not sent") {
  UploadFixture U;
  U.Target.target(wire::TargetState::Draining);
  U.upload(1);
  CHECK(replies(U.Target.Out)[1].Outcome == wire::CallOutcome::NotRun);
  U.deliverReplies();
  CHECK(U.LinkBytes < 1000);
}

TEST_CASE("the body of an admitted upload is sent once, and the call runs when "
          "it is complete") {
  UploadFixture U;
  U.upload(1);
  CHECK(startedRuns(U.Target.Out).empty());
  CHECK(replies(U.Target.Out)[1].Outcome == wire::CallOutcome::Admitted);
  U.deliverReplies();
  CHECK(startedRuns(U.Target.Out) == std::set<std::int64_t>{1});
  CHECK(U.LinkBytes > U.Body.size());
  CHECK(U.LinkBytes < U.Body.size() + 2000);
  wire::AttemptId Id;
  Id.Sender = "p0";
  Id.SenderIncarnation = 1;
  Id.Number = 1;
  CHECK(U.TargetBodies.request(Id)->Body == U.Body);
}

TEST_CASE("a body of 16 KB is sent with its header") {
  UploadFixture U;
  U.Body.resize(InlineBodyBytes);
  U.upload(1);
  CHECK(startedRuns(U.Target.Out) == std::set<std::int64_t>{1});
}

TEST_CASE("an admitted upload whose body never arrives releases its place in "
          "the queue") {
  ReservationFixture L;
  L.fillQueue();
  SECTION("at its deadline") {
    L.UnderTest.tick(Start + milliseconds(999), L.Out);
    CHECK(replies(L.Out).empty());
    L.UnderTest.tick(Start + milliseconds(1000), L.Out);
    CHECK(replies(L.Out)[3].Outcome == wire::CallOutcome::NotRun);
    CHECK(replies(L.Out)[4].Outcome == wire::CallOutcome::NotRun);
  }
  SECTION("when its connection is lost") {
    L.UnderTest.bodyLost({request(3).Id}, Start, L.Out);
    L.UnderTest.bodyLost({request(4).Id}, Start, L.Out);
  }
  SECTION("when it is cancelled") {
    for (const std::int64_t Number : {3, 4}) {
      wire::CallCancel Cancel;
      Cancel.Id = request(Number).Id;
      L.UnderTest.receive(Cancel, "#1", Start, L.Out);
    }
  }
  SECTION("when its outcome is queried") {
    L.query(3);
    L.query(4);
  }
  L.checkQueueFree(Start + milliseconds(1000));
  L.Out.clear();
  L.completeBody(3, Start + milliseconds(1001));
  L.completeBody(4, Start + milliseconds(1001));
  L.finish(1, Start + milliseconds(1001));
  L.finish(2, Start + milliseconds(1001));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{7});
  L.UnderTest.tick(Start + std::chrono::minutes(1), L.Out);
  L.finish(7, Start + std::chrono::minutes(1));
  CHECK(L.UnderTest.load().Running == 0);
  CHECK(L.UnderTest.load().Queued == 0);
}

TEST_CASE("a place reserved for a free slot is released at the deadline") {
  ReservationFixture L;
  L.arrive(uploadHeader(1, 1000));
  L.UnderTest.tick(Start + milliseconds(1000), L.Out);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  CHECK(L.UnderTest.load().Queued == 0);
  L.Out.clear();
  L.completeBody(1, Start + milliseconds(1001));
  CHECK(startedRuns(L.Out).empty());
}

TEST_CASE("an upload that is queried before its body is complete never runs") {
  ReservationFixture L;
  L.arrive(uploadHeader(1));
  L.Out.clear();
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  CHECK(countEffects<DropAttempt>(L.Out) == 1);
  L.Out.clear();
  L.completeBody(1);
  L.query(1);
  L.finish(1, Start);
  CHECK(startedRuns(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE("an upload that is queried when its body is complete is reported as "
          "running") {
  ReservationFixture L;
  L.arrive(uploadHeader(1));
  L.completeBody(1);
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{1});
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Running);
}

TEST_CASE("incomplete bodies occupy no slots, and complete ones do not exceed "
          "the slots") {
  ReservationFixture L;
  L.arrive(uploadHeader(1));
  L.arrive(uploadHeader(2));
  L.arrive(request(3));
  L.arrive(request(4));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{3, 4});
  L.Out.clear();
  L.completeBody(1);
  L.completeBody(2);
  CHECK(startedRuns(L.Out).empty());
  L.finish(3, Start + milliseconds(10));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{1});
  L.finish(4, Start + milliseconds(10));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{1, 2});
}

TEST_CASE("a complete call runs before one whose body is incomplete") {
  ReservationFixture L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(uploadHeader(3, 3000));
  L.arrive(request(4, 4000));
  L.Out.clear();
  L.finish(1, Start + milliseconds(10));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{4});
  L.completeBody(3, Start + milliseconds(20));
  L.finish(2, Start + milliseconds(30));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{3, 4});
}

TEST_CASE(
    "incomplete uploads count when deadlines of other calls are checked") {
  ReservationFixture L;
  for (std::int64_t Number = 1; Number <= 20; ++Number) {
    L.arrive(request(Number), Start);
    L.finish(Number, Start + milliseconds(1000));
  }
  L.arrive(request(21));
  L.arrive(request(22));
  L.arrive(uploadHeader(23, 2100));
  L.Out.clear();
  L.arrive(uploadHeader(24, 2200));
  CHECK(replies(L.Out)[24].Code ==
        static_cast<int>(ResultCode::DeadlineCannotBeMet));
  // A header whose deadline has passed is refused like any other call.
  L.arrive(uploadHeader(25, 0));
  CHECK(replies(L.Out)[25].Code ==
        static_cast<int>(ResultCode::DeadlineCannotBeMet));
}

TEST_CASE("an upload that finds a free slot is not dropped for its expected "
          "run time") {
  ReservationFixture L;
  for (std::int64_t Number = 1; Number <= 20; ++Number) {
    L.arrive(request(Number), Start);
    L.finish(Number, Start + milliseconds(1000));
  }
  L.Out.clear();
  L.arrive(uploadHeader(21, 600));
  L.UnderTest.tick(Start + milliseconds(20), L.Out);
  CHECK(replies(L.Out)[21].Outcome == wire::CallOutcome::Admitted);
  L.completeBody(21, Start + milliseconds(30));
  CHECK(startedRuns(L.Out) == std::set<std::int64_t>{21});
}

TEST_CASE(
    "the deadline of an upload is the earlier one of its header and its body") {
  ReservationFixture L;
  L.arrive(uploadHeader(1, 5000));
  L.arrive(uploadHeader(2, 5000));
  L.completeBody(1, Start + milliseconds(2000), Start + milliseconds(4500));
  L.completeBody(2, Start + milliseconds(2000), Start + milliseconds(6000));
  CHECK(runDeadlines(L.Out)[1] == Start + milliseconds(4500));
  CHECK(runDeadlines(L.Out)[2] == Start + milliseconds(5000));
}

TEST_CASE("a draining target refuses incomplete uploads") {
  ReservationFixture L;
  L.arrive(uploadHeader(1));
  CHECK(!L.UnderTest.idle());
  L.Out.clear();
  L.UnderTest.drain(Start, L.Out);
  CHECK(replies(L.Out)[1].Code == static_cast<int>(ResultCode::Draining));
  CHECK(L.UnderTest.idle());
  L.Out.clear();
  L.completeBody(1);
  CHECK(startedRuns(L.Out).empty());
}

namespace {

/// Provides a call router whose upload waits for admission by the target's
/// daemon.
struct UploadRouterFixture : CallRouterFixture {
  wire::CallReply Admission;

  UploadRouterFixture() {
    for (const Effect &Item : this->call(1, milliseconds(4000), 200'000)) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->Admission.Id = Call->Header.Id;
    }
    this->Admission.Outcome = wire::CallOutcome::Admitted;
  }

  Effects reply(const wire::CallReply &Reply) {
    Effects Out;
    this->Router.receive(Reply, this->Now, Out);
    return Out;
  }

  /// Advances the time while the connection is silent. Once the router renews
  /// it, reports the connection and its attempt as lost.
  Effects tickInSilence() {
    this->Now += milliseconds(20);
    Effects Out;
    this->Router.tick(this->Now, Out);
    if (countEffects<RenewConnection>(Out) == 0)
      return Out;
    StreamLost Lost;
    Lost.Address = "p1:1";
    Lost.End = StreamEnd::Abandoned;
    Lost.Sent = {this->Admission.Id};
    this->Router.streamLost(Lost, this->Now, Out);
    return Out;
  }
};

} // namespace

TEST_CASE("a body is sent once, and not after the attempt has ended") {
  UploadRouterFixture P;
  SECTION("admitted twice") {
    CHECK(countEffects<SendBody>(P.reply(P.Admission)) == 1);
    CHECK(countEffects<SendBody>(P.reply(P.Admission)) == 0);
  }
  SECTION("queried") {
    wire::CallReply Running = P.Admission;
    Running.Outcome = wire::CallOutcome::Running;
    P.reply(Running);
    CHECK(countEffects<SendBody>(P.reply(P.Admission)) == 0);
  }
  SECTION("refused") {
    wire::CallReply Rejection = P.Admission;
    Rejection.Outcome = wire::CallOutcome::NotRun;
    Rejection.Code = static_cast<int>(ResultCode::Overloaded);
    P.reply(Rejection);
    CHECK(countEffects<SendBody>(P.reply(P.Admission)) == 0);
  }
  SECTION("the caller has disconnected") {
    Effects Out;
    P.Router.callerDisconnected(1, P.Now, Out);
    CHECK(countEffects<SendBody>(P.reply(P.Admission)) == 0);
  }
}

TEST_CASE("the remaining time is updated when the body is sent") {
  UploadRouterFixture P;
  P.Now += milliseconds(300);
  std::int32_t RemainingMs = 0;
  for (const Effect &Item : P.reply(P.Admission)) {
    if (const auto *Sent = std::get_if<SendBody>(&Item))
      RemainingMs = Sent->RemainingMs;
  }
  CHECK(RemainingMs == 3700);
}

TEST_CASE("an upload whose body was not sent is reported as not run") {
  // The only target falls silent, and the caller is refused at once as not run.
  UploadRouterFixture P;
  ResultCode Code = ResultCode::Ok;
  for (int I = 0; I < 100 && Code == ResultCode::Ok; ++I) {
    for (const Effect &Item : P.tickInSilence()) {
      if (const auto *Refusal = std::get_if<RefuseCaller>(&Item))
        Code = Refusal->Error.Code;
    }
  }
  CHECK(Code == ResultCode::TargetUnreachable);
  CHECK(countEffects<SendBody>(P.reply(P.Admission)) == 0);
}

TEST_CASE("the outcome of an upload whose body was sent is queried") {
  UploadRouterFixture P;
  P.reply(P.Admission);
  int Queries = 0;
  int Refusals = 0;
  for (int I = 0; I < 100 && Queries == 0; ++I) {
    const Effects Out = P.tickInSilence();
    Refusals += countEffects<RefuseCaller>(Out);
    for (const Effect &Item : Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      if (Sent != nullptr &&
          std::holds_alternative<wire::CallQuery>(Sent->Body))
        ++Queries;
    }
  }
  CHECK(Queries == 1);
  CHECK(Refusals == 0);
}

namespace {

/// Simulates senders that upload 100 kB each to a daemon behind a link of
/// 4 Mbit/s, of which bodies may use 450 kB/s.
struct SlowLinkFixture : TargetFixture {
  static constexpr std::int64_t BodyBytes = 100'000;
  static constexpr int RemainingMs = 1500;

  std::map<std::int64_t, std::int64_t> Granted;
  std::map<std::int64_t, std::int64_t> Received;
  std::set<std::int64_t> Refused;

  SlowLinkFixture() {
    this->Limits.Queue = 100;
    this->UnderTest.setLinkRate(4);
  }

  void begin(std::int64_t Number, bool FromSelf = false) {
    wire::CallRequest Header = request(Number, RemainingMs);
    Header.BodySize = BodyBytes;
    Header.BodyFollows = true;
    this->UnderTest.receive(
        Header, "#1", {true, false, &this->Limits, FromSelf}, Start, this->Out);
    this->recordReplies();
  }

  /// Records the grants and refusals sent by the daemon.
  void recordReplies() {
    for (const Effect &Item : this->Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      if (Sent == nullptr)
        continue;
      const auto &Reply = std::get<wire::CallReply>(Sent->Body);
      if (Reply.Outcome == wire::CallOutcome::Admitted)
        this->Granted[Reply.Id.Number] = Reply.BodyGranted;
      else
        this->Refused.insert(Reply.Id.Number);
    }
    this->Out.clear();
  }

  std::int64_t outstandingBytes() const {
    std::int64_t Sum = 0;
    for (const auto &[Number, Bytes] : this->Granted) {
      const auto Found = this->Received.find(Number);
      Sum += Bytes - (Found == this->Received.end() ? 0 : Found->second);
    }
    return Sum;
  }

  /// Delivers the next part of a body.
  void deliverPart(std::int64_t Number, Time Now) {
    std::int64_t &ReceivedBytes = this->Received[Number];
    ReceivedBytes += std::min(static_cast<std::int64_t>(InlineBodyBytes),
                              this->Granted[Number] - ReceivedBytes);
    if (ReceivedBytes == BodyBytes)
      this->UnderTest.bodyArrived({request(Number).Id, "call", NoDeadline}, Now,
                                  this->Out);
    else
      this->UnderTest.bodyProgress({request(Number).Id, ReceivedBytes}, Now,
                                   this->Out);
    this->recordReplies();
  }
};

} // namespace

TEST_CASE("uploads from many senders share a slow link") {
  // Bodies delay other messages, such as a configuration, by at most 100 ms.
  constexpr std::int64_t MaxBytes = 4'000'000 / 8 / 10;
  SlowLinkFixture L;
  for (std::int64_t Number = 1; Number <= 10; ++Number)
    L.begin(Number);
  CHECK(L.outstandingBytes() > 0);
  CHECK(L.outstandingBytes() <= MaxBytes);
  for (int I = 0; I < 100; ++I) {
    for (const auto &[Number, Bytes] : L.Granted) {
      if (L.Received[Number] == Bytes)
        continue;
      L.deliverPart(Number, Start + milliseconds(I * 36));
      break;
    }
    CHECK(L.outstandingBytes() <= MaxBytes);
  }
  for (const auto &[Number, Bytes] : L.Received)
    CHECK(Bytes == SlowLinkFixture::BodyBytes);
}

TEST_CASE("an upload that a slow link cannot deliver in time is refused") {
  SlowLinkFixture L;
  for (std::int64_t Number = 1; Number <= 10; ++Number)
    L.begin(Number);
  // In 1.5 s, 450 kB/s carry 6.75 bodies.
  CHECK(L.Refused == std::set<std::int64_t>{7, 8, 9, 10});
  for (const std::int64_t Number : L.Refused)
    CHECK(L.Granted.count(Number) == 0);
  // Uploads from callers of the own instance do not use the link.
  L.begin(11, true);
  CHECK(L.Granted[11] == SlowLinkFixture::BodyBytes);
}

TEST_CASE("a stalled sender does not block the uploads of others") {
  SlowLinkFixture L;
  L.begin(1);
  L.begin(2);
  CHECK(L.Granted.count(2) == 0);
  L.UnderTest.tick(Start + milliseconds(500), L.Out);
  L.recordReplies();
  CHECK(L.Granted.count(2) == 1);
}

TEST_CASE("an upload is sent to the own target if it provides the service") {
  CallRouterFixture P;
  P.Members.updateSelf([](wire::MemberRecord &Record) {
    Record.Service = "team/work";
    Record.Target = wire::TargetState::Serving;
    Record.Slots = 4;
  });
  for (std::int64_t Number = 1; Number <= 3; ++Number) {
    for (const Effect &Item : P.call(Number, milliseconds(4000), 100'000)) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        CHECK(Call->Address == P.Members.self().Address);
    }
  }
}

TEST_CASE("a body is sent only up to the granted offset") {
  UploadRouterFixture P;
  std::vector<std::pair<std::int64_t, std::int64_t>> Sent;
  for (const std::int64_t Granted : {0, 32'768, 32'768, 131'072, 200'000}) {
    P.Admission.BodyGranted = Granted;
    for (const Effect &Item : P.reply(P.Admission)) {
      if (const auto *Body = std::get_if<SendBody>(&Item))
        Sent.emplace_back(Body->Begin, Body->End);
    }
  }
  CHECK(Sent == std::vector<std::pair<std::int64_t, std::int64_t>>{
                    {0, 32'768}, {32'768, 131'072}, {131'072, 200'000}});
  SendBody Middle;
  Middle.Id = P.Admission.Id;
  Middle.Begin = 32'768;
  Middle.End = 40'000;
  const auto Parts = partsToSend(Middle, std::string(200'000, 'a'));
  REQUIRE(Parts.size() == 1);
  CHECK(Parts[0].Offset == 32'768);
  CHECK(Parts[0].Data.size() == 7'232);
}

TEST_CASE(
    "a partially sent upload is reported as not run when its connection ends") {
  UploadRouterFixture P;
  P.Admission.BodyGranted = 32'768;
  P.reply(P.Admission);
  ResultCode Code = ResultCode::Ok;
  for (int I = 0; I < 100 && Code == ResultCode::Ok; ++I)
    Code = refusalCode(P.tickInSilence());
  CHECK(Code == ResultCode::TargetUnreachable);
}

namespace {

/// Provides a call router with two targets and a route whose calls may be
/// repeated.
struct RetryFixture : CallRouterFixture {
  /// Addresses to which attempts were sent, by attempt number.
  std::map<std::int64_t, std::string> Sent;
  /// Number of cancellations sent, by attempt number.
  std::map<std::int64_t, int> Cancelled;

  RetryFixture() {
    wire::MemberRecord Other = *this->Members.find("p1");
    Other.Name = "p2";
    Other.Address = "p2:1";
    wire::Gossip Gossip;
    Gossip.Updates.push_back(Other);
    this->Members.mergeGossip(Gossip, Start);
    SettingsMap Settings = this->Config.settings();
    Settings["team/routes/work"].Value =
        R"({"job":"job","service":"team/work","repeatable":"always",)"
        R"("maxAttempts":2})";
    Settings["team/routes/work"].Version = 2;
    Effects Ignored;
    this->Config.replaceContent(Settings, 2, Ignored);
    this->Router.setRetryBurst(100);
    this->tick(milliseconds(0));
  }

  void recordMessages(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->Sent[Call->Header.Id.Number] = Call->Address;
      const auto *Message = std::get_if<SendMessage>(&Item);
      if (Message == nullptr)
        continue;
      if (const auto *Cancel = std::get_if<wire::CallCancel>(&Message->Body)) {
        CHECK(Message->Address == this->Sent[Cancel->Id.Number]);
        this->Cancelled[Cancel->Id.Number] += 1;
      }
    }
  }

  wire::AttemptId attempt(std::int64_t Number) const {
    wire::AttemptId Id;
    Id.Sender = this->Members.self().Name;
    Id.SenderIncarnation = this->Members.self().Incarnation;
    Id.Number = Number;
    return Id;
  }

  void loseConnectionOf(std::int64_t Number) {
    StreamLost Lost;
    Lost.Address = this->Sent.at(Number);
    Lost.Sent = {this->attempt(Number)};
    Effects Out;
    this->Router.streamLost(Lost, this->Now, Out);
    this->recordMessages(Out);
  }

  void reply(std::int64_t Number, wire::CallOutcome::type Outcome,
             std::int64_t Granted = -1) {
    wire::CallReply Reply;
    Reply.Id = this->attempt(Number);
    Reply.Outcome = Outcome;
    Reply.BodyGranted = Granted;
    Effects Out;
    this->Router.receive(Reply, this->Now, Out);
    this->recordMessages(Out);
  }

  void disconnect() {
    Effects Out;
    this->Router.callerDisconnected(1, this->Now, Out);
    this->recordMessages(Out);
  }

  void tick(milliseconds For) {
    for (const Time Until = this->Now + For; this->Now <= Until;
         this->Now += milliseconds(20)) {
      Effects Out;
      this->Router.tick(this->Now, Out);
      this->recordMessages(Out);
    }
  }
};

} // namespace

TEST_CASE("attempts whose result is not needed are cancelled") {
  RetryFixture P;
  SECTION("while the call runs") {
    P.recordMessages(P.call(1, milliseconds(4000)));
    P.disconnect();
  }
  SECTION("while the body waits for a grant") {
    P.recordMessages(P.call(1, milliseconds(4000), 100'000));
    P.disconnect();
  }
  SECTION("while the body is partially sent") {
    P.recordMessages(P.call(1, milliseconds(4000), 100'000));
    P.reply(1, wire::CallOutcome::Admitted, 32'768);
    P.disconnect();
  }
  SECTION("while the outcome of the attempt is queried") {
    P.recordMessages(P.call(1, milliseconds(4000)));
    P.reply(1, wire::CallOutcome::Running);
    P.disconnect();
  }
  SECTION("after the call was sent to another target") {
    P.recordMessages(P.call(1, milliseconds(4000)));
    P.loseConnectionOf(1);
    REQUIRE(P.Sent.size() == 2);
    // The first attempt is cancelled because the second one replaces it.
    CHECK(P.Cancelled[1] == 1);
    P.disconnect();
  }
  SECTION("when its deadline passes") {
    P.recordMessages(P.call(1, milliseconds(500)));
    P.tick(milliseconds(520));
  }
  for (const auto &[Number, Address] : P.Sent)
    CHECK(P.Cancelled[Number] >= 1);
  // Cancellations are resent within 500 ms, the time for which work for a
  // disconnected caller may continue, until they are acknowledged.
  P.tick(milliseconds(500));
  for (const auto &[Number, Address] : P.Sent) {
    CHECK(P.Cancelled[Number] >= 3);
    P.reply(Number, wire::CallOutcome::Unknown);
  }
  const auto CancelledBefore = P.Cancelled;
  P.tick(milliseconds(1000));
  CHECK(P.Cancelled == CancelledBefore);
}

TEST_CASE(
    "a call that no route matches is denied only by a confirmed version") {
  ProxyFixture P;
  SettingsMap Settings;
  Settings["team/services/work"].Path = "team/services/work";
  Settings["team/services/work"].Value = "{}";
  Settings["team/services/work"].Version = 1;
  wire::PullReply Reply;
  Reply.IsSnapshot = true;
  Reply.Version = 1;
  Reply.Settings = {Settings.begin()->second};
  Reply.Hash = static_cast<std::int64_t>(hashOf(Settings));
  wire::Announce News;
  News.Head.From = "p2";
  News.Head.Address = "p2:1";
  News.Head.Version = 1;
  News.Head.Updates = {Targets::record("p2", true)};
  News.Head.Updates.back().Control = true;
  Time Now = Start;
  const auto Submit = [&](EventBody Body) {
    Event Next;
    Next.At = Now;
    Next.Body = std::move(Body);
    return P.Daemon->reduce(Next);
  };
  const auto NonceOf = [](const Effects &Out) {
    for (const Effect &Item : Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      const auto *Request = Sent == nullptr
                                ? nullptr
                                : std::get_if<wire::StampRequest>(&Sent->Body);
      if (Request != nullptr)
        return Request->Nonce;
    }
    return std::int64_t{0};
  };
  const auto Confirm = [&](std::int64_t Nonce) {
    wire::StampReply Stamp;
    Stamp.Nonce = Nonce;
    Stamp.Confirmed.Version = 1;
    return Submit(MessageReceived{"p2:1", Stamp});
  };
  Submit(MessageReceived{"p2:1", News});
  Submit(MessageReceived{"p2:1", Reply});
  REQUIRE(P.Daemon->distribution().version() == 1);
  Confirm(NonceOf(Submit(Tick())));
  REQUIRE(P.Daemon->serving());

  CallArrived Call;
  Call.CallNumber = 1;
  Call.Job = "unknown";
  Call.Url = "/";
  // Held until the control instance confirms the version, then denied.
  const Effects Held = Submit(Call);
  CHECK(refusalCode(Held) == ResultCode::Ok);
  REQUIRE(NonceOf(Held) != 0);
  CHECK(refusalCode(Confirm(NonceOf(Held))) == ResultCode::NoRoute);
  // The confirmation holds for a while.
  Call.CallNumber = 2;
  CHECK(refusalCode(Submit(Call)) == ResultCode::NoRoute);
  // A process that was paused does not deny by the expired confirmation, and
  // without an answer it does not claim that there is no route.
  Now += milliseconds(1500);
  Call.CallNumber = 3;
  CHECK(refusalCode(Submit(Call)) == ResultCode::Ok);
  Now += milliseconds(200);
  CHECK(refusalCode(Submit(Tick())) == ResultCode::NotCurrent);
}

TEST_CASE("a call is not given up because its target's daemon is silent") {
  CallRouterFixture P;
  P.call(1, milliseconds(6000));
  wire::CallReply Running;
  Running.Id.Sender = "p0";
  Running.Id.SenderIncarnation = 1;
  Running.Id.Number = 1;
  Running.Outcome = wire::CallOutcome::Running;
  Effects Out;
  P.Router.receive(Running, P.Now, Out);
  wire::Gossip Gossip;
  Gossip.Updates.push_back(Targets::record("p1", true));
  Gossip.Updates.back().State = wire::Liveness::Dead;
  P.Members.mergeGossip(Gossip, P.Now);
  Out.clear();
  P.Now += milliseconds(200);
  P.Router.tick(P.Now, Out);
  CHECK(P.Router.callCount() == 1);
  CHECK(refusalCode(Out) == ResultCode::Ok);
  // A daemon that was started anew runs nothing of before.
  Gossip.Updates.back().State = wire::Liveness::Alive;
  Gossip.Updates.back().Incarnation = 2;
  P.Members.mergeGossip(Gossip, P.Now);
  Out.clear();
  P.Now += milliseconds(20);
  P.Router.tick(P.Now, Out);
  CHECK(refusalCode(Out) == ResultCode::OutcomeUnknown);
}

TEST_CASE("silent targets are tried if a service has no others") {
  Targets T(2);
  TargetChooser Chooser("zone-a", 1, T.Policy);
  const auto Report = [&](const std::string &Name, wire::Liveness::type State) {
    wire::Gossip Gossip;
    Gossip.Updates.push_back(Targets::record(Name, true));
    Gossip.Updates.back().State = State;
    T.Members.mergeGossip(Gossip, Start);
  };
  Report("p1", wire::Liveness::Dead);
  CHECK(T.chooseMany(Chooser).count("p1") == 0);
  Report("p2", wire::Liveness::Dead);
  const TargetChoice Choice =
      Chooser.choose(T.Members, "team/work", {}, Start + milliseconds(100));
  REQUIRE(Choice.Record != nullptr);
  CHECK(Choice.Reason == "all-silent");
  CHECK(
      Chooser
          .choose(T.Members, "team/work", {}, Start + std::chrono::seconds(20))
          .Record == nullptr);
  // A daemon that announced its stop is not tried.
  Report("p1", wire::Liveness::Left);
  Report("p2", wire::Liveness::Left);
  CHECK(Chooser.choose(T.Members, "team/work", {}, Start).Record == nullptr);
}

TEST_CASE("a target without a recent report counts as loaded as its service") {
  Targets T(3);
  TargetChooser Chooser("zone-a", 1, T.Policy);
  T.chooseMany(Chooser);
  wire::Load Full;
  Full.Running = 10;
  Full.Queued = 10;
  Full.Slots = 10;
  for (int I = 0; I < 50; ++I) {
    Chooser.reported("p1", Full, Start);
    Chooser.reported("p2", Full, Start);
  }
  wire::Load Half = Full;
  Half.Running = 5;
  Half.Queued = 0;
  Chooser.reported("p3", Half, Start);
  // p3 is known to have room; the others are known to be full.
  CHECK(T.chooseMany(Chooser)["p3"] > 600);
  // Later nothing is known of any, so none is preferred for its silence.
  const Time Later = Start + std::chrono::seconds(5);
  std::map<std::string, int> Counts;
  for (int I = 0; I < 900; ++I)
    Counts[Chooser.choose(T.Members, "team/work", {}, Later).Record->Name] += 1;
  for (const auto &[Name, Count] : Counts)
    CHECK(Count > 200);
}

TEST_CASE(
    "calls with long answers go to the own target, or to the least loaded "
    "link") {
  Targets T(2);
  TargetChooser Chooser("zone-a", 1, T.Policy);
  T.chooseMany(Chooser);
  LinkUse Use;
  Use.LargeAnswer = true;
  Use.UsefulUntil = Start + milliseconds(600);
  wire::Load Busy;
  Busy.Slots = 10;
  Busy.LinkMs = 400;
  Chooser.reported("p1", Busy, Start);
  for (int I = 0; I < 100; ++I)
    CHECK(Chooser.choose(T.Members, "team/work", {}, Start, Use).Record->Name ==
          "p2");
  T.Members.updateSelf([](wire::MemberRecord &Record) {
    Record.Service = "team/work";
    Record.Target = wire::TargetState::Serving;
    Record.Slots = 10;
  });
  CHECK(Chooser.choose(T.Members, "team/work", {}, Start, Use).Record->Name ==
        "p0");
}
