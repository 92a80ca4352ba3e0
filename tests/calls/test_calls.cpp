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

/// The replies that effects hold, by attempt number.
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

std::set<std::int64_t> runs(const Effects &Out) {
  std::set<std::int64_t> Found;
  for (const Effect &Item : Out) {
    if (const auto *Run = std::get_if<RunOnTarget>(&Item))
      Found.insert(Run->Id.Number);
  }
  return Found;
}

/// The effects but those that only write a log line.
Effects withoutLog(const Effects &Out) {
  Effects Found;
  for (const Effect &Item : Out) {
    if (!std::holds_alternative<LogDecision>(Item))
      Found.push_back(Item);
  }
  return Found;
}

/// A ledger whose target serves with two slots.
struct Ledger {
  TargetLedger Under{1};
  ServiceSpec Limits;
  Effects Out;

  Ledger() {
    this->Limits.Name = "team/work";
    this->Limits.Queue = 2;
    this->target(wire::TargetState::Serving);
  }

  void target(wire::TargetState::type State) {
    TargetAnnounced Event;
    Event.Service = "team/work";
    Event.Slots = 2;
    Event.State = State;
    this->Under.setTarget(Event, Start, this->Out);
  }

  void arrive(const wire::CallRequest &Request, Time Now = Start) {
    this->Under.receive(Request, "#1", {true, false, &this->Limits}, Now,
                        this->Out);
  }

  void query(std::int64_t Number, Time Now = Start) {
    wire::CallQuery Query;
    Query.Id = request(Number).Id;
    this->Under.receive(Query, "#2", true, Now, this->Out);
  }

  void cancel(std::int64_t Number, Time Now = Start) {
    wire::CallCancel Cancel;
    Cancel.Id = request(Number).Id;
    this->Under.receive(Cancel, "#1", Now, this->Out);
  }

  void finish(std::int64_t Number, Time Now, RunEnd End = RunEnd::Answered) {
    RunFinished Run;
    Run.Id = request(Number).Id;
    Run.End = End;
    this->Under.finished(Run, Now, this->Out);
  }
};

} // namespace

TEST_CASE("an attempt that was asked after before it arrived never runs") {
  Ledger L;
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  L.Out.clear();
  L.arrive(request(1));
  CHECK(runs(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE("a call whose cancellation overtook it on a new connection never "
          "runs") {
  Ledger L;
  L.cancel(1);
  // What has arrived of its body is dropped.
  const Effects Done = withoutLog(L.Out);
  REQUIRE(Done.size() == 2);
  // Whoever cancels learns that it was received, and nothing of the outcome.
  CHECK(replies(Done)[1].Outcome == wire::CallOutcome::Unknown);
  CHECK(std::holds_alternative<DropAttempt>(Done.back()));
  L.Out.clear();
  L.arrive(request(1));
  CHECK(runs(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE("a fence that was forgotten is never said to be not run") {
  Ledger L;
  L.query(1);
  L.Under.tick(Start + std::chrono::minutes(2), L.Out);
  L.Out.clear();
  L.arrive(request(1), Start + std::chrono::minutes(2));
  CHECK(runs(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
}

TEST_CASE("what ran is never said not to have run, however many senders") {
  Ledger L;
  L.arrive(request(1));
  L.finish(1, Start);
  const Time Later = Start + std::chrono::minutes(2);
  L.Under.tick(Later, L.Out);
  // Many other senders come and are forgotten in their turn.
  for (int I = 0; I < 30'000; ++I) {
    wire::CallQuery Query;
    Query.Id.Sender = "z" + std::to_string(I);
    L.Under.receive(Query, "#3", true, Later, L.Out);
  }
  for (int I = 1; I <= 3; ++I)
    L.Under.tick(Later + std::chrono::minutes(I), L.Out);
  L.Out.clear();
  L.query(1, Later + std::chrono::minutes(4));
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
}

TEST_CASE("a call for an earlier process of the daemon is not run") {
  Ledger L;
  L.Under.receive(request(1), "#1", {false, false, &L.Limits}, Start, L.Out);
  CHECK(runs(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  wire::CallQuery Query;
  Query.Id = request(2).Id;
  L.Under.receive(Query, "#1", false, Start, L.Out);
  CHECK(replies(L.Out)[2].Outcome == wire::CallOutcome::Unknown);
}

TEST_CASE("slots and queue are bounded, and the queue goes by deadline") {
  Ledger L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3, 4000));
  L.arrive(request(4, 3000));
  L.arrive(request(5));
  CHECK(runs(L.Out) == std::set<std::int64_t>{1, 2});
  CHECK(replies(L.Out)[5].Code == static_cast<int>(ResultCode::Overloaded));
  L.Out.clear();
  L.finish(1, Start + milliseconds(10));
  CHECK(runs(L.Out) == std::set<std::int64_t>{4});
}

TEST_CASE("a call whose deadline cannot be met is refused before it runs") {
  Ledger L;
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

TEST_CASE("queued calls whose deadline passes are handed back as not run") {
  Ledger L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3, 100));
  L.Out.clear();
  L.Under.tick(Start + milliseconds(101), L.Out);
  CHECK(replies(L.Out)[3].Outcome == wire::CallOutcome::NotRun);
  L.finish(1, Start + milliseconds(200));
  CHECK(runs(L.Out).empty());
}

TEST_CASE("the least important calls are shed first if the settings say so") {
  Ledger L;
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

TEST_CASE("a leaving target gets no new work and hands back its queue") {
  Ledger L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(request(3));
  L.Out.clear();
  L.target(wire::TargetState::Draining);
  CHECK(replies(L.Out)[3].Code == static_cast<int>(ResultCode::Draining));
  L.arrive(request(4));
  CHECK(replies(L.Out)[4].Code == static_cast<int>(ResultCode::Draining));
  CHECK(!L.Under.idle());
  L.Out.clear();
  L.finish(1, Start);
  L.finish(2, Start);
  CHECK(runs(L.Out).empty());
}

TEST_CASE("a broken run is unknown, an unreachable or shedding target is not") {
  Ledger L;
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

TEST_CASE("an answer under way is not sent again on its connection") {
  Ledger L;
  L.arrive(request(1));
  L.finish(1, Start);
  REQUIRE(std::any_of(L.Out.begin(), L.Out.end(), [](const Effect &Item) {
    return std::holds_alternative<SendAnswer>(Item);
  }));
  L.Out.clear();
  wire::CallQuery Query;
  Query.Id = request(1).Id;
  L.Under.receive(Query, "#1", true, Start + milliseconds(100), L.Out);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Running);
  CHECK(L.Out.size() == 1);
  // Another connection has brought nothing of it.
  L.Out.clear();
  L.query(1, Start + milliseconds(200));
  REQUIRE(L.Out.size() == 1);
  CHECK(std::holds_alternative<SendAnswer>(L.Out.front()));
}

TEST_CASE("an answer is held until it is taken, and told again when asked") {
  Ledger L;
  L.arrive(request(1));
  L.finish(1, Start);
  L.Out.clear();
  L.query(1);
  REQUIRE(L.Out.size() == 1);
  CHECK(std::holds_alternative<SendAnswer>(L.Out[0]));
  wire::AnswerAck Ack;
  Ack.Id = request(1).Id;
  L.Under.receive(Ack, Start, L.Out);
  L.Out.clear();
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Unknown);
}

namespace {

/// Members with one service, as a proxy sees them.
struct Targets {
  Membership Members;
  LeastOfTwo Policy;

  explicit Targets(int Count) : Members(record("p0", false), {}, 1) {
    wire::Gossip Head;
    for (int I = 1; I <= Count; ++I)
      Head.Updates.push_back(record("p" + std::to_string(I), true));
    this->Members.mergeGossip(Head, Start);
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
    wire::Gossip Head;
    Head.Updates.push_back(record(Name, true));
    Head.Updates.back().Sequence = 2;
    Head.Updates.back().Unwell = true;
    this->Members.mergeGossip(Head, Start);
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

TEST_CASE("a target that looks unwell gets less, unless most look so") {
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

TEST_CASE("a failing target is left alone, but never most of them") {
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

TEST_CASE("the own zone is preferred until it is loaded") {
  Targets T(2);
  wire::Gossip Head;
  Head.Updates.push_back(Targets::record("far", true));
  Head.Updates.back().Zone = "zone-b";
  T.Members.mergeGossip(Head, Start);
  TargetChooser Chooser("zone-a", 1, T.Policy);
  CHECK(T.chooseMany(Chooser).count("far") == 0);
  for (int I = 0; I < 12; ++I) {
    Chooser.started("p1");
    Chooser.started("p2");
  }
  CHECK(T.chooseMany(Chooser)["far"] > 300);
}

TEST_CASE("a retry budget is a share of calls") {
  RetryBudget Budget;
  int Retries = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.earn("team/work", 10);
    while (Budget.spend("team/work"))
      ++Retries;
  }
  CHECK(Retries <= 101);
  CHECK(Retries >= 95);
}

namespace {

/// A proxy daemon on its own, whose target is at hand.
struct LoneProxy {
  LeastOfTwo Choice;
  PeerTopology Spread;
  std::unique_ptr<Node> Daemon;

  LoneProxy() {
    NodeIdentity Identity;
    Identity.Name = "p1";
    Identity.Address = "p1:1";
    Identity.Incarnation = 1;
    this->Daemon = Node::makeProxy(Identity, {this->Choice, this->Spread});
  }

  void submit(EventBody Body) {
    Event What;
    What.At = Start;
    What.Body = std::move(Body);
    this->Daemon->reduce(What);
  }
};

} // namespace

TEST_CASE("a target that was found serves until it announces itself") {
  LoneProxy P;
  P.submit(TargetFound{"team/work", "run-1", 4});
  CHECK(P.Daemon->members().self().Target == wire::TargetState::Serving);
  CHECK(P.Daemon->members().self().Slots == 4);
  TargetAnnounced Said;
  Said.Service = "team/work";
  Said.Slots = 4;
  Said.InstanceId = "run-1";
  Said.Born = 100;
  Said.Sequence = 9;
  Said.State = wire::TargetState::Draining;
  P.submit(Said);
  CHECK(P.Daemon->members().self().Target == wire::TargetState::Draining);
}

TEST_CASE("a health answer that comes after an announcement changes nothing") {
  LoneProxy P;
  TargetAnnounced Said;
  Said.Service = "team/work";
  Said.Slots = 4;
  Said.InstanceId = "run-1";
  Said.Born = 100;
  Said.Sequence = 9;
  Said.State = wire::TargetState::Draining;
  P.submit(Said);
  P.submit(TargetFound{"team/work", "run-1", 4});
  CHECK(P.Daemon->members().self().Target == wire::TargetState::Draining);
}

namespace {

/// A proxy that knows a route to one far target, and what it sends there.
struct CallingProxy {
  LeastOfTwo Choice;
  PeerTopology Spread;
  Membership Members{Targets::record("p0", false), {}, 1};
  Distribution Config{1};
  CallRouter Router{this->Members, this->Config, ClaimKeeper("p0", "p0:1", 1),
                    1, this->Choice};
  Time Now = Start;

  CallingProxy() {
    wire::Gossip Head;
    Head.Updates.push_back(Targets::record("p1", true));
    this->Members.mergeGossip(Head, Start);
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
  }

  Effects call(std::int64_t Number, milliseconds Patience,
               std::size_t BodyBytes = 0, const std::string &Job = "job") {
    CallArrived Call;
    Call.CallNumber = Number;
    Call.CallId = std::to_string(Number);
    Call.Job = Job;
    Call.Method = "POST";
    Call.Url = "/";
    Call.BodySize = static_cast<std::int64_t>(BodyBytes);
    Call.Deadline = this->Now + Patience;
    Effects Out;
    this->Router.arrive(Call, true, this->Now, Out);
    return Out;
  }

  /// Returns how long the peer may be silent until the connection is renewed.
  milliseconds untilRenewed() {
    const Time Since = this->Now;
    for (int I = 0; I < 500; ++I) {
      this->Now += milliseconds(20);
      Effects Out;
      this->Router.tick(this->Now, Out);
      for (const Effect &Item : Out) {
        if (std::holds_alternative<RenewConnection>(Item))
          return std::chrono::duration_cast<milliseconds>(this->Now - Since);
      }
    }
    return milliseconds(-1);
  }
};

} // namespace

TEST_CASE("a silent connection is noticed in time for those who wait on it") {
  CallingProxy Hasty;
  Hasty.call(1, milliseconds(600));
  CHECK(Hasty.untilRenewed() <= milliseconds(380));
  // A patient call bears a thin link that a large body holds up.
  CallingProxy Patient;
  Patient.call(1, milliseconds(4000));
  const milliseconds Borne = Patient.untilRenewed();
  CHECK(Borne >= milliseconds(1000));
  CHECK(Borne <= milliseconds(1520));
}

TEST_CASE("a sign of life counts from when it was given") {
  CallingProxy P;
  P.call(1, milliseconds(600));
  const Time Sign = P.Now;
  P.untilRenewed();
  // The connection opened just after the call: no other sign came.
  P.Router.streamAlive("p1:1", Sign + milliseconds(1));
  CHECK(P.untilRenewed() <= milliseconds(40));
}

TEST_CASE("new calls do not hide that their peer is silent") {
  CallingProxy P;
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

/// Returns the code with which the caller was refused.
ResultCode refusalOf(const Effects &Out) {
  for (const Effect &Item : Out) {
    if (const auto *Refused = std::get_if<RefuseCaller>(&Item))
      return Refused->Error.Code;
  }
  return ResultCode::Ok;
}

} // namespace

TEST_CASE("a proxy that knows of a newer version denies a route") {
  CallingProxy P;
  CHECK(refusalOf(P.call(1, milliseconds(600), 0, "other")) ==
        ResultCode::NoRoute);
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 2, P.Now, Ignored);
  CHECK(refusalOf(P.call(2, milliseconds(600), 0, "other")) ==
        ResultCode::NotCurrent);
}

TEST_CASE("a proxy that knows of a newer version denies a body's size") {
  constexpr std::size_t TooLarge = 500'000'000;
  CallingProxy P;
  CHECK(refusalOf(P.call(1, milliseconds(600), TooLarge)) ==
        ResultCode::BodyTooLarge);
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 2, P.Now, Ignored);
  CHECK(refusalOf(P.call(2, milliseconds(600), TooLarge)) ==
        ResultCode::NotCurrent);
}

TEST_CASE("a version is served long after a newer one was heard of") {
  CallingProxy P;
  Effects Ignored;
  P.Config.notePeerVersion("p1:1", 2, P.Now, Ignored);
  CHECK(refusalOf(P.call(1, milliseconds(600))) == ResultCode::Ok);
  // Versions that follow do not extend the time of the first.
  P.Now += milliseconds(1000);
  P.Config.notePeerVersion("p1:1", 3, P.Now, Ignored);
  P.Now += milliseconds(900);
  CHECK(refusalOf(P.call(2, milliseconds(600))) == ResultCode::NotCurrent);
}

namespace {

/// An entry's daemon, a target's daemon, and the link between them, whose bytes
/// are counted.
struct Uploads {
  CallingProxy Entry;
  Ledger Target;
  BodyStore AtTarget;
  std::string Body = std::string(200'000, 'a');
  std::size_t LinkBytes = 0;

  void upload(std::int64_t Number) {
    this->carry(
        this->Entry.call(Number, milliseconds(4000), this->Body.size()));
  }

  /// Carries what the entry sends, and then what the target answered.
  void carry(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->reach(firstMessage(*Call, this->Body));
      if (const auto *Sent = std::get_if<SendBody>(&Item)) {
        for (const wire::BodyPart &Part : partsOf(*Sent, this->Body))
          this->reach(Part);
      }
    }
  }

  /// Carries the target's answers to the entry.
  void answer() {
    Effects Out;
    for (const auto &[Number, Reply] : replies(this->Target.Out))
      this->Entry.Router.receive(Reply, Start, Out);
    this->Target.Out.clear();
    this->carry(Out);
  }

  void reach(const Message &Item) {
    this->LinkBytes += encode(Item).size();
    if (const auto *Header = std::get_if<wire::CallRequest>(&Item)) {
      const auto Told = this->AtTarget.begin(*Header, "#1");
      if (Told)
        this->Target.arrive(*Told);
      return;
    }
    const auto Done =
        this->AtTarget.addPart(std::get<wire::BodyPart>(Item), Start);
    if (const auto *Whole = std::get_if<wire::CallRequest>(&Done))
      this->Target.arrive(*Whole);
    if (const auto *Arrived = std::get_if<BodyArrived>(&Done))
      this->Target.Under.bodyArrived(*Arrived, Start, this->Target.Out);
  }
};

wire::CallRequest headerAhead(std::int64_t Number, int RemainingMs = 5000) {
  wire::CallRequest Out = request(Number, RemainingMs);
  Out.BodySize = 200'000;
  Out.BodyFollows = true;
  return Out;
}

/// A ledger with the bodies of uploads on their way to it.
struct Reserving : Ledger {
  void body(std::int64_t Number, Time Now = Start, Time Deadline = NoDeadline) {
    this->Under.bodyArrived({request(Number).Id, "call", Deadline}, Now,
                            this->Out);
  }

  /// Lets two calls run and gives the places of the line to two uploads.
  void fill() {
    this->arrive(request(1));
    this->arrive(request(2));
    this->arrive(headerAhead(3, 1000));
    this->arrive(headerAhead(4, 1000));
    this->arrive(headerAhead(5));
    this->arrive(request(6));
    auto Told = replies(this->Out);
    CHECK(Told[3].Outcome == wire::CallOutcome::Admitted);
    CHECK(Told[4].Outcome == wire::CallOutcome::Admitted);
    CHECK(Told[5].Code == static_cast<int>(ResultCode::Overloaded));
    CHECK(Told[6].Code == static_cast<int>(ResultCode::Overloaded));
    CHECK(this->Under.load().Queued == 2);
    this->Out.clear();
  }

  /// Checks that both places of the line can be had.
  void checkLineFree(Time Now) {
    CHECK(this->Under.load().Queued == 0);
    this->Out.clear();
    this->arrive(request(7), Now);
    this->arrive(headerAhead(8), Now);
    CHECK(replies(this->Out).count(7) == 0);
    CHECK(replies(this->Out)[8].Outcome == wire::CallOutcome::Admitted);
  }
};

/// Returns the deadlines that runs got, by attempt number.
std::map<std::int64_t, Time> runDeadlines(const Effects &Out) {
  std::map<std::int64_t, Time> Found;
  for (const Effect &Item : Out) {
    if (const auto *Run = std::get_if<RunOnTarget>(&Item))
      Found[Run->Id.Number] = Run->Deadline;
  }
  return Found;
}

template <typename EffectT> int countOf(const Effects &Out) {
  int Count = 0;
  for (const Effect &Item : Out)
    Count += std::holds_alternative<EffectT>(Item) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("a refused upload does not cross the link") {
  Uploads U;
  U.Target.target(wire::TargetState::Draining);
  U.upload(1);
  CHECK(replies(U.Target.Out)[1].Outcome == wire::CallOutcome::NotRun);
  U.answer();
  CHECK(U.LinkBytes < 1000);
}

TEST_CASE(
    "an admitted upload crosses the link once and runs when it is whole") {
  Uploads U;
  U.upload(1);
  CHECK(runs(U.Target.Out).empty());
  CHECK(replies(U.Target.Out)[1].Outcome == wire::CallOutcome::Admitted);
  U.answer();
  CHECK(runs(U.Target.Out) == std::set<std::int64_t>{1});
  CHECK(U.LinkBytes > U.Body.size());
  CHECK(U.LinkBytes < U.Body.size() + 2000);
  wire::AttemptId Id;
  Id.Sender = "p0";
  Id.SenderIncarnation = 1;
  Id.Number = 1;
  CHECK(U.AtTarget.request(Id)->Body == U.Body);
}

TEST_CASE("a body of 16 KB travels with its header") {
  Uploads U;
  U.Body.resize(InlineBodyBytes);
  U.upload(1);
  CHECK(runs(U.Target.Out) == std::set<std::int64_t>{1});
}

TEST_CASE("an admitted upload whose body never comes gives its place back") {
  Reserving L;
  L.fill();
  SECTION("at its deadline") {
    L.Under.tick(Start + milliseconds(999), L.Out);
    CHECK(replies(L.Out).empty());
    L.Under.tick(Start + milliseconds(1000), L.Out);
    CHECK(replies(L.Out)[3].Outcome == wire::CallOutcome::NotRun);
    CHECK(replies(L.Out)[4].Outcome == wire::CallOutcome::NotRun);
  }
  SECTION("with its connection") {
    L.Under.bodyLost({request(3).Id}, Start, L.Out);
    L.Under.bodyLost({request(4).Id}, Start, L.Out);
  }
  SECTION("when it is cancelled") {
    for (const std::int64_t Number : {3, 4}) {
      wire::CallCancel Cancel;
      Cancel.Id = request(Number).Id;
      L.Under.receive(Cancel, "#1", Start, L.Out);
    }
  }
  SECTION("when it is asked after") {
    L.query(3);
    L.query(4);
  }
  L.checkLineFree(Start + milliseconds(1000));
  L.Out.clear();
  L.body(3, Start + milliseconds(1001));
  L.body(4, Start + milliseconds(1001));
  L.finish(1, Start + milliseconds(1001));
  L.finish(2, Start + milliseconds(1001));
  CHECK(runs(L.Out) == std::set<std::int64_t>{7});
  L.Under.tick(Start + std::chrono::minutes(1), L.Out);
  L.finish(7, Start + std::chrono::minutes(1));
  CHECK(L.Under.load().Running == 0);
  CHECK(L.Under.load().Queued == 0);
}

TEST_CASE("a place that a free slot promises is given back at the deadline") {
  Reserving L;
  L.arrive(headerAhead(1, 1000));
  L.Under.tick(Start + milliseconds(1000), L.Out);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  CHECK(L.Under.load().Queued == 0);
  L.Out.clear();
  L.body(1, Start + milliseconds(1001));
  CHECK(runs(L.Out).empty());
}

TEST_CASE("an upload that is asked after before it is whole never runs") {
  Reserving L;
  L.arrive(headerAhead(1));
  L.Out.clear();
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
  CHECK(countOf<DropAttempt>(L.Out) == 1);
  L.Out.clear();
  L.body(1);
  L.query(1);
  L.finish(1, Start);
  CHECK(runs(L.Out).empty());
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::NotRun);
}

TEST_CASE("an upload that is asked after when it is whole is told to run") {
  Reserving L;
  L.arrive(headerAhead(1));
  L.body(1);
  CHECK(runs(L.Out) == std::set<std::int64_t>{1});
  L.query(1);
  CHECK(replies(L.Out)[1].Outcome == wire::CallOutcome::Running);
}

TEST_CASE("no slot waits for a body, and bodies do not exceed the slots") {
  Reserving L;
  L.arrive(headerAhead(1));
  L.arrive(headerAhead(2));
  L.arrive(request(3));
  L.arrive(request(4));
  CHECK(runs(L.Out) == std::set<std::int64_t>{3, 4});
  L.Out.clear();
  L.body(1);
  L.body(2);
  CHECK(runs(L.Out).empty());
  L.finish(3, Start + milliseconds(10));
  CHECK(runs(L.Out) == std::set<std::int64_t>{1});
  L.finish(4, Start + milliseconds(10));
  CHECK(runs(L.Out) == std::set<std::int64_t>{1, 2});
}

TEST_CASE("who is ready goes ahead of a body that is on its way") {
  Reserving L;
  L.arrive(request(1));
  L.arrive(request(2));
  L.arrive(headerAhead(3, 3000));
  L.arrive(request(4, 4000));
  L.Out.clear();
  L.finish(1, Start + milliseconds(10));
  CHECK(runs(L.Out) == std::set<std::int64_t>{4});
  L.body(3, Start + milliseconds(20));
  L.finish(2, Start + milliseconds(30));
  CHECK(runs(L.Out) == std::set<std::int64_t>{3, 4});
}

TEST_CASE("an upload on the way counts in whether another deadline is met") {
  Reserving L;
  for (std::int64_t Number = 1; Number <= 20; ++Number) {
    L.arrive(request(Number), Start);
    L.finish(Number, Start + milliseconds(1000));
  }
  L.arrive(request(21));
  L.arrive(request(22));
  L.arrive(headerAhead(23, 2100));
  L.Out.clear();
  L.arrive(headerAhead(24, 2200));
  CHECK(replies(L.Out)[24].Code ==
        static_cast<int>(ResultCode::DeadlineCannotBeMet));
  // A header whose deadline is over is refused as any call is.
  L.arrive(headerAhead(25, 0));
  CHECK(replies(L.Out)[25].Code ==
        static_cast<int>(ResultCode::DeadlineCannotBeMet));
}

TEST_CASE("an upload that finds a slot free is not given up for its length") {
  Reserving L;
  for (std::int64_t Number = 1; Number <= 20; ++Number) {
    L.arrive(request(Number), Start);
    L.finish(Number, Start + milliseconds(1000));
  }
  L.Out.clear();
  L.arrive(headerAhead(21, 600));
  L.Under.tick(Start + milliseconds(20), L.Out);
  CHECK(replies(L.Out)[21].Outcome == wire::CallOutcome::Admitted);
  L.body(21, Start + milliseconds(30));
  CHECK(runs(L.Out) == std::set<std::int64_t>{21});
}

TEST_CASE("a run has what was left of its caller's time when the body left") {
  Reserving L;
  L.arrive(headerAhead(1, 5000));
  L.arrive(headerAhead(2, 5000));
  L.body(1, Start + milliseconds(2000), Start + milliseconds(4500));
  L.body(2, Start + milliseconds(2000), Start + milliseconds(6000));
  CHECK(runDeadlines(L.Out)[1] == Start + milliseconds(4500));
  CHECK(runDeadlines(L.Out)[2] == Start + milliseconds(5000));
}

TEST_CASE("a leaving target hands back the uploads on their way") {
  Reserving L;
  L.arrive(headerAhead(1));
  CHECK(!L.Under.idle());
  L.Out.clear();
  L.Under.drain(Start, L.Out);
  CHECK(replies(L.Out)[1].Code == static_cast<int>(ResultCode::Draining));
  CHECK(L.Under.idle());
  L.Out.clear();
  L.body(1);
  CHECK(runs(L.Out).empty());
}

namespace {

/// An entry whose upload waits for the word of the target's daemon.
struct Uploading : CallingProxy {
  wire::CallReply Yes;

  Uploading() {
    for (const Effect &Item : this->call(1, milliseconds(4000), 200'000)) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->Yes.Id = Call->Header.Id;
    }
    this->Yes.Outcome = wire::CallOutcome::Admitted;
  }

  Effects reply(const wire::CallReply &Reply) {
    Effects Out;
    this->Router.receive(Reply, this->Now, Out);
    return Out;
  }

  /// Lets time pass on a connection that is silent and, once that is found
  /// out, ends with the attempt that it carried.
  Effects tickInSilence() {
    this->Now += milliseconds(20);
    Effects Out;
    this->Router.tick(this->Now, Out);
    if (countOf<RenewConnection>(Out) == 0)
      return Out;
    StreamLost Lost;
    Lost.Address = "p1:1";
    Lost.End = StreamEnd::Abandoned;
    Lost.Sent = {this->Yes.Id};
    this->Router.streamLost(Lost, this->Now, Out);
    return Out;
  }
};

} // namespace

TEST_CASE("a body is sent once, and not after the attempt has ended") {
  Uploading P;
  SECTION("admitted twice") {
    CHECK(countOf<SendBody>(P.reply(P.Yes)) == 1);
    CHECK(countOf<SendBody>(P.reply(P.Yes)) == 0);
  }
  SECTION("asked after") {
    wire::CallReply Running = P.Yes;
    Running.Outcome = wire::CallOutcome::Running;
    P.reply(Running);
    CHECK(countOf<SendBody>(P.reply(P.Yes)) == 0);
  }
  SECTION("refused") {
    wire::CallReply No = P.Yes;
    No.Outcome = wire::CallOutcome::NotRun;
    No.Code = static_cast<int>(ResultCode::Overloaded);
    P.reply(No);
    CHECK(countOf<SendBody>(P.reply(P.Yes)) == 0);
  }
  SECTION("the caller is gone") {
    Effects Out;
    P.Router.callerGone(1, P.Now, Out);
    CHECK(countOf<SendBody>(P.reply(P.Yes)) == 0);
  }
}

TEST_CASE("the remaining time is told anew with the body") {
  Uploading P;
  P.Now += milliseconds(300);
  std::int32_t RemainingMs = 0;
  for (const Effect &Item : P.reply(P.Yes)) {
    if (const auto *Sent = std::get_if<SendBody>(&Item))
      RemainingMs = Sent->RemainingMs;
  }
  CHECK(RemainingMs == 3700);
}

TEST_CASE("an upload whose body was not sent did not run") {
  // The only target falls silent: the caller is told at once, as not run.
  Uploading P;
  ResultCode Told = ResultCode::Ok;
  for (int I = 0; I < 100 && Told == ResultCode::Ok; ++I) {
    for (const Effect &Item : P.tickInSilence()) {
      if (const auto *Refusal = std::get_if<RefuseCaller>(&Item))
        Told = Refusal->Error.Code;
    }
  }
  CHECK(Told == ResultCode::TargetUnreachable);
  CHECK(countOf<SendBody>(P.reply(P.Yes)) == 0);
}

TEST_CASE("an upload whose body was sent is asked after") {
  Uploading P;
  P.reply(P.Yes);
  int Queries = 0;
  int Refusals = 0;
  for (int I = 0; I < 100 && Queries == 0; ++I) {
    const Effects Out = P.tickInSilence();
    Refusals += countOf<RefuseCaller>(Out);
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

/// Ten senders that upload 100 kB each to a daemon behind a link of 4 Mbit/s,
/// 450 kB/s of which are for bodies.
struct ThinLink : Ledger {
  static constexpr std::int64_t BodyBytes = 100'000;
  static constexpr int RemainingMs = 1500;

  std::map<std::int64_t, std::int64_t> Granted;
  std::map<std::int64_t, std::int64_t> Received;
  std::set<std::int64_t> Refused;

  ThinLink() {
    this->Limits.Queue = 100;
    this->Under.setLink(4);
  }

  void begin(std::int64_t Number, bool FromHere = false) {
    wire::CallRequest Header = request(Number, RemainingMs);
    Header.BodySize = BodyBytes;
    Header.BodyFollows = true;
    this->Under.receive(Header, "#1", {true, false, &this->Limits, FromHere},
                        Start, this->Out);
    this->note();
  }

  /// Notes what the daemon told the senders.
  void note() {
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

  std::int64_t underWay() const {
    std::int64_t Sum = 0;
    for (const auto &[Number, Bytes] : this->Granted) {
      const auto Here = this->Received.find(Number);
      Sum += Bytes - (Here == this->Received.end() ? 0 : Here->second);
    }
    return Sum;
  }

  /// A part of a body arrives.
  void part(std::int64_t Number, Time Now) {
    std::int64_t &Here = this->Received[Number];
    Here += std::min(static_cast<std::int64_t>(InlineBodyBytes),
                     this->Granted[Number] - Here);
    if (Here == BodyBytes)
      this->Under.bodyArrived({request(Number).Id, "call", NoDeadline}, Now,
                              this->Out);
    else
      this->Under.bodyProgress({request(Number).Id, Here}, Now, this->Out);
    this->note();
  }
};

} // namespace

TEST_CASE("uploads from many senders fill a thin link") {
  // What is behind a body, such as a configuration, waits 100 ms at most.
  constexpr std::int64_t MostBytes = 4'000'000 / 8 / 10;
  ThinLink L;
  for (std::int64_t Number = 1; Number <= 10; ++Number)
    L.begin(Number);
  CHECK(L.underWay() > 0);
  CHECK(L.underWay() <= MostBytes);
  for (int I = 0; I < 100; ++I) {
    for (const auto &[Number, Bytes] : L.Granted) {
      if (L.Received[Number] == Bytes)
        continue;
      L.part(Number, Start + milliseconds(I * 36));
      break;
    }
    CHECK(L.underWay() <= MostBytes);
  }
  for (const auto &[Number, Bytes] : L.Received)
    CHECK(Bytes == ThinLink::BodyBytes);
}

TEST_CASE("an upload that a thin link cannot bring in time moves its body") {
  ThinLink L;
  for (std::int64_t Number = 1; Number <= 10; ++Number)
    L.begin(Number);
  // 1.5 s of 450 kB/s are 6.75 bodies.
  CHECK(L.Refused == std::set<std::int64_t>{7, 8, 9, 10});
  for (const std::int64_t Number : L.Refused)
    CHECK(L.Granted.count(Number) == 0);
  // The own instance's callers need no link.
  L.begin(11, true);
  CHECK(L.Granted[11] == ThinLink::BodyBytes);
}

TEST_CASE("a sender that stopped holds up the uploads of others") {
  ThinLink L;
  L.begin(1);
  L.begin(2);
  CHECK(L.Granted.count(2) == 0);
  L.Under.tick(Start + milliseconds(500), L.Out);
  L.note();
  CHECK(L.Granted.count(2) == 1);
}

TEST_CASE("an upload leaves for another daemon of its own service") {
  CallingProxy P;
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

TEST_CASE("a body is sent as far as it was let in, and its rest is missing") {
  Uploading P;
  std::vector<std::pair<std::int64_t, std::int64_t>> Sent;
  for (const std::int64_t Granted : {0, 32'768, 32'768, 131'072, 200'000}) {
    P.Yes.BodyGranted = Granted;
    for (const Effect &Item : P.reply(P.Yes)) {
      if (const auto *Body = std::get_if<SendBody>(&Item))
        Sent.emplace_back(Body->Begin, Body->End);
    }
  }
  CHECK(Sent == std::vector<std::pair<std::int64_t, std::int64_t>>{
                    {0, 32'768}, {32'768, 131'072}, {131'072, 200'000}});
  SendBody Middle;
  Middle.Id = P.Yes.Id;
  Middle.Begin = 32'768;
  Middle.End = 40'000;
  const auto Parts = partsOf(Middle, std::string(200'000, 'a'));
  REQUIRE(Parts.size() == 1);
  CHECK(Parts[0].Offset == 32'768);
  CHECK(Parts[0].Data.size() == 7'232);
}

TEST_CASE("an upload of which a part was sent did not run when its connection "
          "ends") {
  Uploading P;
  P.Yes.BodyGranted = 32'768;
  P.reply(P.Yes);
  ResultCode Told = ResultCode::Ok;
  for (int I = 0; I < 100 && Told == ResultCode::Ok; ++I)
    Told = refusalOf(P.tickInSilence());
  CHECK(Told == ResultCode::TargetUnreachable);
}

namespace {

/// An entry with two targets and a call that may be repeated.
struct Repeating : CallingProxy {
  /// Attempts that were sent, with the addresses, by number.
  std::map<std::int64_t, std::string> Sent;
  /// Cancellations that were sent, by number of the attempt.
  std::map<std::int64_t, int> Cancelled;

  Repeating() {
    wire::MemberRecord Other = *this->Members.find("p1");
    Other.Name = "p2";
    Other.Address = "p2:1";
    wire::Gossip Head;
    Head.Updates.push_back(Other);
    this->Members.mergeGossip(Head, Start);
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

  void note(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Call = std::get_if<SendCall>(&Item))
        this->Sent[Call->Header.Id.Number] = Call->Address;
      const auto *Message = std::get_if<SendMessage>(&Item);
      if (Message == nullptr)
        continue;
      if (const auto *Told = std::get_if<wire::CallCancel>(&Message->Body)) {
        CHECK(Message->Address == this->Sent[Told->Id.Number]);
        this->Cancelled[Told->Id.Number] += 1;
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
    this->note(Out);
  }

  void reply(std::int64_t Number, wire::CallOutcome::type Outcome,
             std::int64_t Granted = -1) {
    wire::CallReply Reply;
    Reply.Id = this->attempt(Number);
    Reply.Outcome = Outcome;
    Reply.BodyGranted = Granted;
    Effects Out;
    this->Router.receive(Reply, this->Now, Out);
    this->note(Out);
  }

  void leave() {
    Effects Out;
    this->Router.callerGone(1, this->Now, Out);
    this->note(Out);
  }

  void tick(milliseconds For) {
    for (const Time Until = this->Now + For; this->Now <= Until;
         this->Now += milliseconds(20)) {
      Effects Out;
      this->Router.tick(this->Now, Out);
      this->note(Out);
    }
  }
};

} // namespace

TEST_CASE("work goes on for a caller that has left") {
  Repeating P;
  SECTION("while the call runs") {
    P.note(P.call(1, milliseconds(4000)));
    P.leave();
  }
  SECTION("while the body waits to be let in") {
    P.note(P.call(1, milliseconds(4000), 100'000));
    P.leave();
  }
  SECTION("while a part of the body is on its way") {
    P.note(P.call(1, milliseconds(4000), 100'000));
    P.reply(1, wire::CallOutcome::Admitted, 32'768);
    P.leave();
  }
  SECTION("while the attempt is asked after") {
    P.note(P.call(1, milliseconds(4000)));
    P.reply(1, wire::CallOutcome::Running);
    P.leave();
  }
  SECTION("after the call was sent to another target") {
    P.note(P.call(1, milliseconds(4000)));
    P.loseConnectionOf(1);
    REQUIRE(P.Sent.size() == 2);
    // The first target need not go on when another one is at work.
    CHECK(P.Cancelled[1] == 1);
    P.leave();
  }
  SECTION("when its deadline passes") {
    P.note(P.call(1, milliseconds(500)));
    P.tick(milliseconds(520));
  }
  for (const auto &[Number, Address] : P.Sent)
    CHECK(P.Cancelled[Number] >= 1);
  // It is said again within the half second that work may go on, until it was
  // received.
  P.tick(milliseconds(500));
  for (const auto &[Number, Address] : P.Sent) {
    CHECK(P.Cancelled[Number] >= 3);
    P.reply(Number, wire::CallOutcome::Unknown);
  }
  const auto Before = P.Cancelled;
  P.tick(milliseconds(1000));
  CHECK(P.Cancelled == Before);
}
