#include "libpersimmon/libpersimmon.h"
#include "libpersimmon/node.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};
constexpr milliseconds Step{5};
/// The daemon's timer.
constexpr milliseconds TickInterval{20};
constexpr milliseconds RuleWindow{4000};
constexpr int Urgent = 9;
constexpr int Ordinary = 5;

/// A target of 14 slots whose daemon gets calls of two priorities. The target
/// names a rate in its answers from time to time.
class LimitedTarget {
public:
  explicit LimitedTarget(std::uint64_t Seed) : Rng(Seed) {
    this->Service.Name = "team/work";
    this->Service.Queue = 56;
    this->startDaemon(1);
  }

  /// Starts a daemon for the target, which has sent \p Sequence announcements.
  void startDaemon(std::int64_t Sequence) {
    this->Daemon = std::make_unique<AttemptScheduler>(1);
    this->Running.clear();
    this->Sent.clear();
    TargetAnnounced Event;
    Event.Service = "team/work";
    Event.Slots = 14;
    Event.State = wire::TargetState::Serving;
    Event.InstanceId = "i-1";
    Event.Born = 1;
    Event.Sequence = Sequence;
    Effects Out;
    this->Daemon->setTarget(Event, this->Now, Out);
    this->perform(Out);
  }

  void run(milliseconds For) {
    const Time End = this->Now + For;
    for (; this->Now < End; this->Now += Step) {
      this->arrive(Urgent, this->UrgentPerSecond);
      this->arrive(Ordinary, this->OrdinaryPerSecond);
      while (!this->Running.empty() &&
             this->Running.begin()->first <= this->Now)
        this->answer();
      if (this->Now >= this->NextTick) {
        this->NextTick = this->Now + TickInterval;
        Effects Out;
        this->Daemon->tick(this->Now, Out);
        this->perform(Out);
      }
    }
  }

  /// Returns the most calls that started in any window of \p Length within the
  /// last \p Last.
  int mostStarts(milliseconds Length, milliseconds Last) const {
    std::size_t Most = 0;
    for (auto From = this->Starts.begin(); From != this->Starts.end(); ++From) {
      if (*From < this->Now - Last)
        continue;
      const auto To =
          std::upper_bound(From, this->Starts.end(), *From + Length);
      Most = std::max(Most, static_cast<std::size_t>(To - From));
    }
    return static_cast<int>(Most);
  }

  int startsInLast(milliseconds Last) const {
    return static_cast<int>(
        std::count_if(this->Starts.begin(), this->Starts.end(),
                      [&](Time At) { return At >= this->Now - Last; }));
  }

  double Rate = 0;
  double UrgentPerSecond = 20;
  double OrdinaryPerSecond = 60;
  Time Now = Start;
  std::map<int, int> Arrived;
  std::map<int, int> Started;
  /// The longest time from a call's arrival to its refusal.
  milliseconds LongestRefusal{0};

private:
  struct Call {
    int Priority = 0;
    Time ArrivedAt;
  };

  void arrive(int Priority, double PerSecond) {
    constexpr double StepsPerSecond = 1000.0 / Step.count();
    std::poisson_distribution<int> Count(PerSecond / StepsPerSecond);
    for (int Left = Count(this->Rng); Left > 0; --Left) {
      wire::CallRequest Request;
      Request.Id.Sender = "p1";
      Request.Id.SenderIncarnation = 1;
      Request.Id.Number = ++this->LastNumber;
      Request.Service = "team/work";
      Request.Route = "route";
      Request.CallId = std::to_string(this->LastNumber);
      Request.Priority = Priority;
      Request.RemainingMs = 2500;
      Request.UsefulMs = 1000;
      this->Sent[Request.Id.Number] = {Priority, this->Now};
      this->Arrived[Priority] += 1;
      AttemptScheduler::CallContext Context;
      Context.Limits = &this->Service;
      Effects Out;
      this->Daemon->receive(Request, "p1:1", Context, this->Now, Out);
      this->perform(Out);
    }
  }

  void answer() {
    RunFinished Run;
    Run.Id = this->Running.begin()->second;
    Run.Status = 200;
    if (this->Rate > 0)
      Run.Notice.CallsPerSecond = this->Rate;
    this->Running.erase(this->Running.begin());
    Effects Out;
    this->Daemon->finished(Run, this->Now, Out);
    this->perform(Out);
  }

  void perform(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Run = std::get_if<RunOnTarget>(&Item)) {
        std::uniform_int_distribution<int> Took(150, 450);
        this->Starts.push_back(this->Now);
        this->Started[this->Sent.at(Run->Id.Number).Priority] += 1;
        this->Running.emplace(this->Now + milliseconds(Took(this->Rng)),
                              Run->Id);
      }
      const auto *Message = std::get_if<SendMessage>(&Item);
      const auto *Reply = Message == nullptr
                              ? nullptr
                              : std::get_if<wire::CallReply>(&Message->Body);
      if (Reply != nullptr && Reply->Outcome == wire::CallOutcome::NotRun)
        this->LongestRefusal = std::max(
            this->LongestRefusal,
            std::chrono::duration_cast<milliseconds>(
                this->Now - this->Sent.at(Reply->Id.Number).ArrivedAt));
    }
  }

  std::mt19937_64 Rng;
  ServiceSpec Service;
  std::unique_ptr<AttemptScheduler> Daemon;
  std::multimap<Time, wire::AttemptId> Running;
  std::map<std::int64_t, Call> Sent;
  std::vector<Time> Starts;
  std::int64_t LastNumber = 0;
  Time NextTick = Start;
};

/// Most calls that the platform allows in RuleWindow.
int allowedBy(double Rate) {
  constexpr double Tolerance = 1.5;
  constexpr int Slack = 5;
  const double Seconds = std::chrono::duration<double>(RuleWindow).count();
  return static_cast<int>(Tolerance * Rate * Seconds) + Slack;
}

/// A proxy that knows no other daemon.
struct ProxyFixture {
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  std::unique_ptr<Node> Daemon;

  ProxyFixture() {
    NodeIdentity Identity;
    Identity.Name = "p1";
    Identity.Address = "p1:1";
    Identity.Zone = "zone-a";
    Identity.Incarnation = 1;
    this->Daemon =
        Node::makeProxy(Identity, {this->Choice, this->VersionTopology});
  }
};

} // namespace

TEST_CASE("a target gets no more calls than the rate that it names") {
  for (const double Rate : {0.5, 2.0, 8.0, 20.0}) {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      LimitedTarget Target(Seed);
      Target.run(milliseconds(3000));
      Target.Rate = Rate;
      Target.run(milliseconds(3000));
      Target.run(milliseconds(12'000));
      INFO("rate " << Rate << " seed " << Seed);
      CHECK(Target.mostStarts(RuleWindow, milliseconds(12'000)) <=
            allowedBy(Rate));
      // The rate is used, since more calls arrive than it takes.
      CHECK(Target.startsInLast(milliseconds(12'000)) >= Rate * 12 * 0.9);
    }
  }
}

TEST_CASE("a rate that a target names is kept after a restart of its daemon") {
  constexpr double Rate = 2;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    LimitedTarget Target(Seed);
    Target.Rate = Rate;
    Target.run(milliseconds(8000));
    Target.startDaemon(7);
    Target.run(milliseconds(3000));
    Target.startDaemon(9);
    Target.run(milliseconds(4000));
    INFO("seed " << Seed);
    CHECK(Target.mostStarts(RuleWindow, milliseconds(12'000)) <=
          allowedBy(Rate));
  }
}

TEST_CASE("urgent calls go first at a target that takes few") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    LimitedTarget Target(Seed);
    Target.Rate = 20;
    Target.UrgentPerSecond = 15;
    Target.run(milliseconds(4000));
    Target.Arrived.clear();
    Target.Started.clear();
    Target.run(milliseconds(12'000));
    INFO("seed " << Seed);
    CHECK(Target.Started[Urgent] >= Target.Arrived[Urgent] * 95 / 100);
    CHECK(Target.Started[Ordinary] > 0);
    CHECK(Target.Started[Ordinary] < Target.Arrived[Ordinary] / 2);
  }
}

TEST_CASE("calls that a target's rate cannot serve in time are refused early") {
  LimitedTarget Target(1);
  Target.Rate = 4;
  Target.run(milliseconds(4000));
  Target.LongestRefusal = milliseconds(0);
  Target.run(milliseconds(8000));
  // A call that waits for its turn may be passed by urgent ones.
  CHECK(Target.LongestRefusal <= milliseconds(1000));
}

TEST_CASE("a rate that changes or is no longer named applies at once") {
  LimitedTarget Target(1);
  Target.Rate = 4;
  Target.run(milliseconds(6000));
  Target.Rate = 20;
  Target.run(milliseconds(6000));
  CHECK(Target.startsInLast(milliseconds(4000)) >= 20 * 4 * 0.9);
  Target.Rate = 2;
  Target.run(milliseconds(8000));
  CHECK(Target.startsInLast(milliseconds(4000)) <= allowedBy(2));
  Target.Rate = 0;
  Target.run(milliseconds(6000));
  // 14 slots and runs of 300 ms.
  CHECK(Target.startsInLast(milliseconds(4000)) >= 150);
}

TEST_CASE("a new run of a target is not limited by the rate of the last one") {
  CallRateLimit Limit;
  Limit.setRate(2, Start);
  Limit.take(Start);
  Limit.take(Start);
  CHECK(Limit.available(14, Start) == 0);
  // The answer to a call that started before the rate was named is older.
  Limit.rateNotNamed(Start - milliseconds(1));
  CHECK(Limit.available(14, Start) == 0);
  Limit.clear();
  CHECK(Limit.available(14, Start) == 14);
}

TEST_CASE("a target that says in an answer that it leaves gets no new calls") {
  for (const RunEnd End : {RunEnd::Answered, RunEnd::Shed}) {
    const ProxyFixture Proxy;
    const auto &Daemon = Proxy.Daemon;
    TargetAnnounced Target;
    Target.Service = "team/work";
    Target.Slots = 2;
    Target.State = wire::TargetState::Serving;
    Target.InstanceId = "i-1";
    Target.Born = 1;
    Target.Sequence = 1;
    Daemon->reduce({Start, 0, TargetFound{"team/work", "i-1", 2}});
    Daemon->reduce({Start, 0, Target});
    RunFinished Run;
    Run.End = End;
    Run.Notice.Leaving = true;
    // The answer of a run before this one says nothing about it.
    Run.TargetRun = "i-0";
    Daemon->reduce({Start, 0, Run});
    CHECK(Daemon->target().State == wire::TargetState::Serving);
    Run.TargetRun = "i-1";
    Daemon->reduce({Start, 0, Run});
    CHECK(Daemon->target().State == wire::TargetState::Draining);
    CHECK(Daemon->members().self().Target == wire::TargetState::Draining);
    // A late announcement does not make it serve again.
    Target.Sequence = 2;
    Daemon->reduce({Start, 0, Target});
    CHECK(Daemon->target().State == wire::TargetState::Draining);
  }
}

TEST_CASE("a target that is found leaving gets no calls") {
  const ProxyFixture Proxy;
  const auto &Daemon = Proxy.Daemon;
  TargetFound Found;
  Found.Service = "team/work";
  Found.InstanceId = "i-1";
  Found.Slots = 2;
  Found.Notice.Leaving = true;
  Daemon->reduce({Start, 0, Found});
  CHECK(Daemon->target().State == wire::TargetState::Draining);
}
