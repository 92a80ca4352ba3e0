#include "linksimulation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace persimmon {

namespace {

constexpr int Slots = 9;
constexpr milliseconds TickInterval{20};
constexpr milliseconds Latency{1};
constexpr double BytesPerMsOfMegabit = 125;
constexpr double PacketOverhead = 1.05;
constexpr std::int64_t MessageBytes = 366;

class LinkSimulation {
public:
  LinkSimulation(const LinkLoad &TheLoad, std::uint64_t Seed)
      : Load(TheLoad), Rng(Seed), Scheduler(Seed + 1) {
    if (this->Load.RateKnown)
      this->Scheduler.setLinkRate(this->Load.LinkMbps);
    TargetAnnounced Target;
    Target.Service = "team/work";
    Target.Slots = Slots;
    Target.State = wire::TargetState::Serving;
    Effects Out;
    this->Scheduler.setTarget(Target, this->Now, Out);
    this->Limits.Queue = 64;
  }

  LinkResult run() {
    const Time End = this->Now + this->Load.Length;
    const double LongPerSecond = this->Load.Demand * this->Load.LinkMbps *
                                 BytesPerMsOfMegabit * 1000 /
                                 static_cast<double>(this->Load.LongBytes);
    Time NextLong = this->Now;
    Time NextNested = this->Now;
    Time NextTick = this->Now;
    while (this->Now < End) {
      const Time Next =
          std::min({NextLong, NextNested, NextTick, this->nextRunEnd(),
                    this->nextDelivery(), this->nextDeadline()});
      this->Now = Next;
      if (Next == this->nextDelivery())
        this->deliver();
      else if (Next == this->nextDeadline())
        this->expire();
      else if (Next == this->nextRunEnd())
        this->endRun();
      else if (Next == NextLong)
        NextLong += this->arrive(false, LongPerSecond);
      else if (Next == NextNested)
        NextNested += this->arrive(true, this->Load.NestedPerSecond);
      else
        NextTick += this->tick();
    }
    return this->Result;
  }

private:
  struct SimulatedCall {
    bool Nested = false;
    Time SentAt;
    Time Deadline;
    bool Started = false;
    std::int64_t Carried = 0;
  };
  struct Packet {
    std::int64_t Call = 0;
    std::int64_t Bytes = 0;
    bool EndsAnswer = false;
    bool Refusal = false;
  };

  milliseconds exponential(double PerSecond) {
    const double Uniform =
        (static_cast<double>(this->Rng.below(1'000'000)) + 1) / 1'000'001;
    return milliseconds(static_cast<std::int64_t>(
        std::max(1.0, -std::log(Uniform) * 1000 / PerSecond)));
  }

  Time nextRunEnd() const {
    return this->RunEnds.empty() ? NoDeadline : this->RunEnds.begin()->first;
  }
  Time nextDelivery() const {
    return this->InFlight.empty() ? NoDeadline : this->InFlight.begin()->first;
  }
  Time nextDeadline() const {
    return this->Deadlines.empty() ? NoDeadline
                                   : this->Deadlines.begin()->first;
  }

  milliseconds arrive(bool Nested, double PerSecond) {
    const std::int64_t Number = ++this->LastNumber;
    SimulatedCall &Item = this->Calls[Number];
    Item.Nested = Nested;
    Item.SentAt = this->Now;
    Item.Deadline = this->Now + (Nested ? this->Load.NestedDeadline
                                        : this->Load.LongDeadline);
    this->Deadlines.emplace(Item.Deadline, Number);
    (Nested ? this->Result.NestedSent : this->Result.LongSent) += 1;
    wire::CallRequest Request;
    Request.Id = idOf(Number);
    Request.Service = "team/work";
    Request.Route = Nested ? "nested" : "long";
    Request.RemainingMs =
        static_cast<std::int32_t>(millisecondsUntil(Item.Deadline, this->Now));
    if (!Nested)
      Request.UsefulMs =
          static_cast<std::int32_t>(this->Load.LongUseful.count());
    Effects Out;
    this->Scheduler.receive(Request, "#1", {true, Nested, &this->Limits},
                            this->Now, Out);
    this->execute(Out);
    return this->exponential(PerSecond);
  }

  milliseconds tick() {
    Effects Out;
    this->Scheduler.chargeLink(this->SmallBytes, this->Now);
    this->SmallBytes = 0;
    this->Scheduler.tick(this->Now, Out);
    this->execute(Out);
    return TickInterval;
  }

  void endRun() {
    const std::int64_t Number = this->RunEnds.begin()->second;
    this->RunEnds.erase(this->RunEnds.begin());
    RunFinished Run;
    Run.Id = idOf(Number);
    Run.AnswerBytes = this->answerBytes(this->Calls.at(Number));
    Effects Out;
    this->Scheduler.finished(Run, this->Now, Out);
    this->execute(Out);
  }

  std::int64_t answerBytes(const SimulatedCall &Item) const {
    return Item.Nested ? this->Load.NestedBytes : this->Load.LongBytes;
  }

  /// Cancels a call whose caller no longer waits.
  void expire() {
    const std::int64_t Number = this->Deadlines.begin()->second;
    this->Deadlines.erase(this->Deadlines.begin());
    const auto Found = this->Calls.find(Number);
    if (Found == this->Calls.end())
      return;
    this->Result.WastedBytes += Found->second.Carried;
    this->Calls.erase(Found);
    wire::CallCancel Cancel;
    Cancel.Id = idOf(Number);
    Effects Out;
    this->Scheduler.receive(Cancel, "#1", this->Now, Out);
    std::erase_if(this->RunEnds,
                  [&](const auto &Item) { return Item.second == Number; });
    RunFinished Broken;
    Broken.Id = Cancel.Id;
    Broken.End = RunEnd::Broken;
    this->Scheduler.finished(Broken, this->Now, Out);
    this->execute(Out);
  }

  void deliver() {
    const Packet Arrived = this->InFlight.begin()->second;
    this->InFlight.erase(this->InFlight.begin());
    this->Result.CarriedBytes += Arrived.Bytes;
    const auto Found = this->Calls.find(Arrived.Call);
    if (Found == this->Calls.end()) {
      this->Result.WastedBytes += Arrived.Bytes;
      return;
    }
    SimulatedCall &Item = Found->second;
    Item.Carried += Arrived.Bytes;
    if (Arrived.Refusal) {
      (Item.Nested ? this->Result.NestedRefused : this->Result.LongRefused) +=
          1;
      this->Result.LongRefusedAfterRun += Item.Started ? 1 : 0;
      this->Calls.erase(Found);
      return;
    }
    if (!Arrived.EndsAnswer)
      return;
    const double TookMs =
        static_cast<double>(millisecondsUntil(this->Now, Item.SentAt));
    if (Item.Nested)
      this->Result.NestedMs.push_back(TookMs);
    else if (TookMs <= static_cast<double>(this->Load.LongUseful.count()))
      this->Result.LongUsefulAnswers += 1;
    else
      this->Result.LongLateAnswers += 1;
    this->Calls.erase(Found);
    wire::AnswerAck Ack;
    Ack.Id = idOf(Arrived.Call);
    Effects Out;
    this->Scheduler.receive(Ack, this->Now, Out);
    this->execute(Out);
  }

  void hand(Packet What) {
    const double Ms = static_cast<double>(What.Bytes) * PacketOverhead /
                      (this->Load.LinkMbps * BytesPerMsOfMegabit);
    this->LinkFreeAt =
        std::max(this->LinkFreeAt, this->Now) +
        std::chrono::microseconds(static_cast<std::int64_t>(Ms * 1000));
    this->InFlight.emplace(this->LinkFreeAt + Latency, What);
  }

  void execute(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Run = std::get_if<RunOnTarget>(&Item)) {
        SimulatedCall &Started = this->Calls.at(Run->Id.Number);
        Started.Started = true;
        this->RunEnds.emplace(this->Now + (Started.Nested ? this->Load.NestedRun
                                                          : this->Load.LongRun),
                              Run->Id.Number);
      } else if (const auto *Answer = std::get_if<SendAnswer>(&Item)) {
        const SimulatedCall &Answered = this->Calls.at(Answer->Id.Number);
        this->SmallBytes += MessageBytes;
        this->hand({Answer->Id.Number, MessageBytes, Answered.Nested, false});
      } else if (const auto *Part = std::get_if<SendAnswerBody>(&Item)) {
        this->hand({Part->Id.Number, Part->End - Part->Begin,
                    Part->End == this->Load.LongBytes, false});
      } else if (const auto *Sent = std::get_if<SendMessage>(&Item)) {
        const auto &Reply = std::get<wire::CallReply>(Sent->Body);
        this->SmallBytes += MessageBytes;
        if (Reply.Outcome == wire::CallOutcome::NotRun)
          this->hand({Reply.Id.Number, MessageBytes, false, true});
      }
    }
  }

  static wire::AttemptId idOf(std::int64_t Number) {
    wire::AttemptId Id;
    Id.Sender = "p1";
    Id.SenderIncarnation = 1;
    Id.Number = Number;
    return Id;
  }

  LinkLoad Load;
  Random Rng;
  AttemptScheduler Scheduler;
  ServiceSpec Limits;
  Time Now{std::chrono::hours(1)};
  Time LinkFreeAt;
  std::int64_t LastNumber = 0;
  std::int64_t SmallBytes = 0;
  std::map<std::int64_t, SimulatedCall> Calls;
  std::multimap<Time, std::int64_t> RunEnds;
  std::multimap<Time, std::int64_t> Deadlines;
  std::multimap<Time, Packet> InFlight;
  LinkResult Result;
};

} // namespace

double LinkResult::nestedPercentile(double Share) const {
  std::vector<double> Sorted = this->NestedMs;
  if (Sorted.empty())
    return 0;
  std::sort(Sorted.begin(), Sorted.end());
  return Sorted[static_cast<std::size_t>(
      Share * static_cast<double>(Sorted.size() - 1))];
}

LinkResult simulateLink(const LinkLoad &Load, std::uint64_t Seed) {
  return LinkSimulation(Load, Seed).run();
}

} // namespace persimmon
