#include "linksimulation.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <iostream>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};
constexpr double LinkMbps = 12.6;
/// Rate of that link in bytes per millisecond.
constexpr std::int64_t LinkRate = 1575;
constexpr std::int64_t LongBytes = 90'000;

wire::AttemptId idOf(std::int64_t Number) {
  wire::AttemptId Id;
  Id.Sender = "p1";
  Id.SenderIncarnation = 1;
  Id.Number = Number;
  return Id;
}

/// Provides the scheduler of a target whose route "long" has long answers.
struct LongAnswersFixture {
  AttemptScheduler UnderTest{1};
  ServiceSpec Limits;
  Effects Out;
  std::int64_t LastNumber = 0;

  LongAnswersFixture() {
    this->Limits.Queue = 100;
    this->UnderTest.setLinkRate(LinkMbps);
    TargetAnnounced Target;
    Target.Service = "team/work";
    Target.Slots = 9;
    Target.State = wire::TargetState::Serving;
    this->UnderTest.setTarget(Target, Start, this->Out);
    for (int I = 0; I < 5; ++I) {
      this->arrive("long", Start);
      this->finish(this->LastNumber, Start, LongBytes);
      wire::AnswerAck Ack;
      Ack.Id = idOf(this->LastNumber);
      this->UnderTest.receive(Ack, Start, this->Out);
    }
    this->Out.clear();
  }

  void arrive(const char *Route, Time Now, bool Nested = false,
              bool FromSelf = false) {
    wire::CallRequest Request;
    Request.Id = idOf(++this->LastNumber);
    Request.Service = "team/work";
    Request.Route = Route;
    Request.RemainingMs = 1500;
    Request.UsefulMs = 600;
    this->UnderTest.receive(
        Request, "#1", {true, Nested, &this->Limits, FromSelf}, Now, this->Out);
  }

  void finish(std::int64_t Number, Time Now, std::int64_t Bytes) {
    RunFinished Run;
    Run.Id = idOf(Number);
    Run.AnswerBytes = Bytes;
    this->UnderTest.finished(Run, Now, this->Out);
  }

  /// Returns the refusal of the call, or null.
  const wire::CallReply *refusalOf(std::int64_t Number) const {
    for (const Effect &Item : this->Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      const auto *Reply =
          Sent == nullptr ? nullptr : std::get_if<wire::CallReply>(&Sent->Body);
      if (Reply != nullptr && Reply->Id.Number == Number &&
          Reply->Outcome == wire::CallOutcome::NotRun)
        return Reply;
    }
    return nullptr;
  }

  std::vector<SendAnswerBody> partsOf(std::int64_t Number) const {
    std::vector<SendAnswerBody> Found;
    for (const Effect &Item : this->Out) {
      const auto *Part = std::get_if<SendAnswerBody>(&Item);
      if (Part != nullptr && Part->Id.Number == Number)
        Found.push_back(*Part);
    }
    return Found;
  }

  /// Admits long calls until one is refused; returns the number of that one.
  std::int64_t fillLink() {
    do
      this->arrive("long", Start);
    while (this->refusalOf(this->LastNumber) == nullptr &&
           this->LastNumber < 1000);
    return this->LastNumber;
  }
};

} // namespace

TEST_CASE(
    "a link is handed only what it carries in some tens of milliseconds") {
  OutgoingLink Link;
  Link.setRate(LinkMbps);
  for (std::int64_t Number = 1; Number <= 20; ++Number)
    Link.add(idOf(Number), LongBytes, Start + milliseconds(600), Start);
  std::int64_t Sent = 0;
  for (int Ms = 0; Ms < 1400; Ms += 20) {
    for (const OutgoingLink::Part &Part :
         Link.takeParts(Start + milliseconds(Ms)))
      Sent += Part.End - Part.Begin;
    // Short answers wait for at most 100 ms of bodies.
    CHECK(Sent <= (Ms + 100) * LinkRate);
  }
  // The link is used to nine tenths of what it carries, less packet headers.
  CHECK(Sent >= 1400 * LinkRate * 8 / 10);
}

TEST_CASE("answers in their useful time are sent before late ones") {
  OutgoingLink Link;
  Link.setRate(LinkMbps);
  const Time Now = Start + milliseconds(1000);
  Link.add(idOf(1), LongBytes, Start + milliseconds(500), Now);
  Link.add(idOf(2), LongBytes, Start + milliseconds(1600), Now);
  Link.add(idOf(3), LongBytes, Start + milliseconds(1400), Now);
  std::vector<std::int64_t> Order;
  for (int Ms = 1000; Ms < 1400; Ms += 20) {
    for (const OutgoingLink::Part &Part :
         Link.takeParts(Start + milliseconds(Ms))) {
      if (Part.Last)
        Order.push_back(Part.Id.Number);
    }
  }
  CHECK(Order == std::vector<std::int64_t>{3, 2, 1});
}

TEST_CASE("other bytes on the link delay the bodies of answers") {
  OutgoingLink Link;
  Link.setRate(LinkMbps);
  Link.charge(LinkRate * 200, Start);
  Link.add(idOf(1), LongBytes, Start + milliseconds(600), Start);
  CHECK(Link.takeParts(Start + milliseconds(100)).empty());
  CHECK_FALSE(Link.takeParts(Start + milliseconds(200)).empty());
}

TEST_CASE("without a known rate an answer is sent at once") {
  OutgoingLink Link;
  Link.add(idOf(1), LongBytes, Start, Start);
  const auto Parts = Link.takeParts(Start);
  REQUIRE(Parts.size() == 1);
  CHECK(Parts[0].End == LongBytes);
  CHECK(Link.backlog(Start) == milliseconds(0));
}

TEST_CASE("a call whose answer the link cannot carry in time is refused before "
          "it runs") {
  LongAnswersFixture L;
  const std::int64_t Refused = L.fillLink();
  REQUIRE(Refused < 100);
  const wire::CallReply Reply = *L.refusalOf(Refused);
  CHECK(Reply.Code == static_cast<int>(ResultCode::DeadlineCannotBeMet));
  CHECK(Reply.RetryAfterMs > 0);
  CHECK(L.UnderTest.refusedByLink() == 1);
  for (const Effect &Item : L.Out) {
    if (const auto *Run = std::get_if<RunOnTarget>(&Item))
      CHECK(Run->Id.Number != Refused);
  }
}

TEST_CASE("short answers, nested calls and the own caller are not refused for "
          "long answers") {
  LongAnswersFixture L;
  L.fillLink();
  L.arrive("short", Start);
  CHECK(L.refusalOf(L.LastNumber) == nullptr);
  L.arrive("long", Start, true);
  CHECK(L.refusalOf(L.LastNumber) == nullptr);
  L.arrive("long", Start, false, true);
  CHECK(L.refusalOf(L.LastNumber) == nullptr);
}

TEST_CASE("a call refused for the link does not count as shed load") {
  LongAnswersFixture L;
  for (int I = 0; I < 50; ++I)
    L.fillLink();
  const Time Later = Start + milliseconds(250);
  L.arrive("long", Later);
  L.Out.clear();
  L.arrive("nested", Later, true);
  const std::int64_t Nested = L.LastNumber;
  L.finish(Nested, Later, 300);
  for (std::int64_t Number = 6; Number < 15; ++Number)
    L.finish(Number, Later, LongBytes);
  L.finish(Nested, Later, 300);
  bool Answered = false;
  for (const Effect &Item : L.Out) {
    const auto *Answer = std::get_if<SendAnswer>(&Item);
    if (Answer == nullptr || Answer->Id.Number != Nested)
      continue;
    Answered = true;
    CHECK(Answer->Shed.PerMille == 0);
  }
  CHECK(Answered);
}

TEST_CASE("the unsent rest of an answer is dropped when its caller leaves") {
  LongAnswersFixture L;
  L.arrive("long", Start);
  const std::int64_t First = L.LastNumber;
  L.arrive("long", Start);
  const std::int64_t Second = L.LastNumber;
  L.finish(First, Start, LongBytes);
  L.finish(Second, Start, LongBytes);
  L.Out.clear();
  wire::CallCancel Cancel;
  Cancel.Id = idOf(First);
  L.UnderTest.receive(Cancel, "#1", Start + milliseconds(10), L.Out);
  CHECK(L.UnderTest.link().droppedBytes() > 0);
  L.Out.clear();
  for (int Ms = 20; Ms < 400; Ms += 20)
    L.UnderTest.tick(Start + milliseconds(Ms), L.Out);
  CHECK(L.partsOf(First).empty());
  CHECK(L.partsOf(Second).back().End == LongBytes);
}

TEST_CASE("an answer whose call was cancelled while it ran is not sent") {
  LongAnswersFixture L;
  L.arrive("long", Start);
  wire::CallCancel Cancel;
  Cancel.Id = idOf(L.LastNumber);
  L.UnderTest.receive(Cancel, "#1", Start, L.Out);
  L.Out.clear();
  L.finish(L.LastNumber, Start, LongBytes);
  for (const Effect &Item : L.Out) {
    CHECK_FALSE(std::holds_alternative<SendAnswer>(Item));
    CHECK_FALSE(std::holds_alternative<SendAnswerBody>(Item));
  }
}

TEST_CASE(
    "an answer asked for on another connection is sent again as a whole") {
  LongAnswersFixture L;
  L.arrive("long", Start);
  const std::int64_t Number = L.LastNumber;
  L.finish(Number, Start, LongBytes);
  L.Out.clear();
  wire::CallQuery Query;
  Query.Id = idOf(Number);
  L.UnderTest.receive(Query, "#2", true, Start + milliseconds(20), L.Out);
  for (int Ms = 40; Ms < 400; Ms += 20)
    L.UnderTest.tick(Start + milliseconds(Ms), L.Out);
  std::int64_t Next = 0;
  for (const SendAnswerBody &Part : L.partsOf(Number)) {
    CHECK(Part.Address == "#2");
    CHECK(Part.Begin == Next);
    Next = Part.End;
  }
  CHECK(Next == LongBytes);
}

TEST_CASE("long answers beside nested calls, at and above the rate of the "
          "link") {
  for (const double Demand : {0.75, 1.2}) {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      LinkLoad Load;
      Load.Demand = Demand;
      const LinkResult After = simulateLink(Load, Seed);
      Load.RateKnown = false;
      const LinkResult Before = simulateLink(Load, Seed);
      INFO("demand " << Demand << " seed " << Seed);
      // Nested calls keep half of their limit, and none is refused.
      CHECK(After.nestedPercentile(0.99) < 250);
      CHECK(After.NestedRefused == 0);
      CHECK(static_cast<int>(After.NestedMs.size()) >=
            After.NestedSent * 99 / 100);
      // Refused calls have not run.
      CHECK(After.LongRefusedAfterRun == 0);
      CHECK(static_cast<double>(After.WastedBytes) <
            0.03 * static_cast<double>(After.CarriedBytes));
      CHECK(After.LongUsefulAnswers >= Before.LongUsefulAnswers * 95 / 100);
      if (Demand > 1)
        CHECK(After.LongUsefulAnswers > Before.LongUsefulAnswers);
      if (Seed == 1)
        std::cout << "demand " << Demand << ": useful long answers "
                  << Before.LongUsefulAnswers << " of " << Before.LongSent
                  << " before, " << After.LongUsefulAnswers
                  << " after; p99 of nested calls "
                  << Before.nestedPercentile(0.99) << " ms before, "
                  << After.nestedPercentile(0.99) << " ms after; wasted bytes "
                  << Before.WastedBytes << " before, " << After.WastedBytes
                  << " after\n";
    }
  }
}
