#include "libhost/bodystore.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);

wire::AttemptId attempt(std::int64_t Number) {
  wire::AttemptId Out;
  Out.Sender = "p1";
  Out.SenderIncarnation = 1;
  Out.Number = Number;
  return Out;
}

wire::CallReply answer(std::int64_t Number, std::size_t Size) {
  wire::CallReply Out;
  Out.Id = attempt(Number);
  Out.Outcome = wire::CallOutcome::Finished;
  Out.Status = 200;
  Out.BodySize = static_cast<std::int64_t>(Size);
  return Out;
}

wire::Header field(const std::string &Name, const std::string &Value) {
  wire::Header Out;
  Out.Name = Name;
  Out.Value = Value;
  return Out;
}

std::string largeBody(char Fill) { return std::string(200'000, Fill); }

/// Returns whether the scheduler of \p Out refused the attempt.
bool refuses(const Effects &Out, std::int64_t Number) {
  return std::any_of(Out.begin(), Out.end(), [&](const Effect &Item) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    const auto *Reply =
        Sent == nullptr ? nullptr : std::get_if<wire::CallReply>(&Sent->Body);
    return Reply != nullptr && Reply->Id.Number == Number &&
           Reply->Outcome == wire::CallOutcome::NotRun &&
           Reply->Code == static_cast<int>(ResultCode::Overloaded);
  });
}

bool isAnswer(const BodyStore::PartResult &Result) {
  return std::holds_alternative<wire::CallReply>(Result);
}

} // namespace

TEST_CASE("an answer in parts is available only when it is complete") {
  BodyStore Store;
  const std::string Body = largeBody('a');
  CHECK(!Store.begin(answer(1, Body.size())));
  const auto Parts = splitBody(attempt(1), true, Body);
  REQUIRE(Parts.size() == 13);
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I)
    CHECK(!isAnswer(Store.addPart(Parts[I], Start)));
  REQUIRE(isAnswer(Store.addPart(Parts.back(), Start)));
  const auto Answer = Store.takeReceivedResponse(attempt(1));
  REQUIRE(Answer);
  CHECK(Answer->Body == Body);
  CHECK(!Store.takeReceivedResponse(attempt(1)));
}

TEST_CASE("a part delays a small message by at most 30 ms on a slow link") {
  // Bytes sent in 30 ms at 4.45 Mbit/s, the slowest supported link.
  constexpr std::size_t MaxBytes = 16'687;
  for (const wire::BodyPart &Part : splitBody(attempt(1), true, largeBody('a')))
    CHECK(encode(Part).size() <= MaxBytes);
}

TEST_CASE("answers of several attempts do not mix") {
  BodyStore Store;
  Store.begin(answer(1, 200'000));
  Store.begin(answer(2, 200'000));
  const auto First = splitBody(attempt(1), true, largeBody('a'));
  const auto Second = splitBody(attempt(2), true, largeBody('b'));
  for (std::size_t I = 0; I < First.size(); ++I) {
    Store.addPart(Second[I], Start);
    Store.addPart(First[I], Start);
  }
  CHECK(Store.takeReceivedResponse(attempt(1))->Body == largeBody('a'));
  CHECK(Store.takeReceivedResponse(attempt(2))->Body == largeBody('b'));
}

TEST_CASE("missing, repeated or surplus parts discard the answer") {
  const auto Parts = splitBody(attempt(1), true, largeBody('a'));
  {
    BodyStore Store;
    Store.begin(answer(1, 200'000));
    Store.addPart(Parts[0], Start);
    for (std::size_t I = 2; I < Parts.size(); ++I)
      CHECK(!isAnswer(Store.addPart(Parts[I], Start)));
  }
  {
    BodyStore Store;
    Store.begin(answer(1, 200'000));
    Store.addPart(Parts[0], Start);
    for (const wire::BodyPart &Part : Parts)
      CHECK(!isAnswer(Store.addPart(Part, Start)));
  }
  {
    BodyStore Store;
    Store.begin(answer(1, 199'999));
    for (const wire::BodyPart &Part : Parts)
      CHECK(!isAnswer(Store.addPart(Part, Start)));
    CHECK(!Store.takeReceivedResponse(attempt(1)));
  }
}

TEST_CASE("an inline body of another length than announced is rejected") {
  BodyStore Store;
  wire::CallReply Short = answer(1, 10);
  Short.Body = "short";
  CHECK(!Store.begin(Short));
  wire::CallRequest Request;
  Request.Id = attempt(2);
  Request.BodySize = 3;
  Request.Body = "longer";
  CHECK(!Store.begin(Request, "#1"));
  CHECK(Store.request(attempt(2)) == nullptr);
}

TEST_CASE("an incomplete request is removed when its connection closes") {
  BodyStore Store;
  wire::CallRequest Request;
  Request.Id = attempt(1);
  Request.BodySize = 200'000;
  CHECK(!Store.begin(Request, "#1"));
  Store.addPart(splitBody(attempt(1), false, largeBody('a'))[0], Start);
  Store.removeIncompleteRequests("#2");
  CHECK(Store.request(attempt(1)) != nullptr);
  Store.removeIncompleteRequests("#1");
  CHECK(Store.request(attempt(1)) == nullptr);
}

TEST_CASE("all caller bodies but the largest share one size limit") {
  BodyStore Store;
  Store.setMaxCallerBytes(300'000);
  CHECK(Store.storeCallerBody(1, largeBody('a')));
  CHECK(Store.storeCallerBody(2, largeBody('b')));
  CHECK(!Store.storeCallerBody(3, largeBody('c')));
  CHECK(Store.callerBody(3).empty());
  CHECK(Store.callerBody(1) == largeBody('a'));
  CHECK(Store.callerBody(2) == largeBody('b'));
  CHECK(Store.storeCallerBody(4, std::string(100'000, 'd')));
  CHECK(!Store.storeCallerBody(5, "x"));
  CHECK(Store.storeCallerBody(6, {}));
  Store.removeCallerBody(3);
  CHECK(!Store.storeCallerBody(7, "x"));
  Store.removeCallerBody(2);
  CHECK(Store.storeCallerBody(8, largeBody('e')));
}

TEST_CASE("one large caller body leaves capacity for small ones") {
  BodyStore Store;
  Store.setMaxCallerBytes(100'000);
  CHECK(Store.storeCallerBody(1, largeBody('a')));
  CHECK(Store.storeCallerBody(2, std::string(60'000, 'b')));
  CHECK(!Store.storeCallerBody(3, largeBody('c')));
  CHECK(!Store.storeCallerBody(4, std::string(60'000, 'd')));
  CHECK(Store.storeCallerBody(5, std::string(40'000, 'e')));
  Store.removeCallerBody(1);
  CHECK(Store.storeCallerBody(6, largeBody('f')));
}

namespace {

/// The header of a call whose body of 200,000 bytes follows.
wire::CallRequest requestHeader(std::int64_t Number) {
  wire::CallRequest Out;
  Out.Id = attempt(Number);
  Out.CallId = "call";
  Out.BodySize = 200'000;
  Out.BodyFollows = true;
  return Out;
}

std::vector<wire::BodyPart> grantedParts(std::int64_t Number) {
  SendBody Sent;
  Sent.Id = attempt(Number);
  Sent.RemainingMs = 700;
  return partsToSend(Sent, largeBody('a'));
}

} // namespace

TEST_CASE("a call whose body follows is reported at its header and end") {
  BodyStore Store;
  REQUIRE(Store.begin(requestHeader(1), "#1"));
  CHECK(!Store.begin(requestHeader(1), "#1"));
  const auto Parts = grantedParts(1);
  Store.addPart(Parts.front(), Start);
  for (std::size_t I = 1; I + 1 < Parts.size(); ++I)
    CHECK(Store.addPart(Parts[I], Start + milliseconds(300)).index() == 0);
  const auto Complete = Store.addPart(Parts.back(), Start + milliseconds(300));
  REQUIRE(std::holds_alternative<BodyArrived>(Complete));
  // The transfer time of the parts counts against the deadline.
  CHECK(std::get<BodyArrived>(Complete).Deadline == Start + milliseconds(700));
  CHECK(Store.request(attempt(1))->Body == largeBody('a'));
}

TEST_CASE("a damaged or interrupted body is reported as lost") {
  BodyStore Store;
  Store.begin(requestHeader(1), "#1");
  Store.begin(requestHeader(2), "#1");
  Store.begin(requestHeader(3), "#2");
  const auto Lost = Store.addPart(grantedParts(1)[1], Start);
  REQUIRE(std::holds_alternative<BodyLost>(Lost));
  CHECK(Store.request(attempt(1)) == nullptr);
  const std::vector<BodyLost> Closed = Store.removeIncompleteRequests("#1");
  REQUIRE(Closed.size() == 1);
  CHECK(Closed.front().Id == attempt(2));
  CHECK(Store.request(attempt(3)) != nullptr);
}

TEST_CASE("parts of a dropped body are ignored") {
  BodyStore Store;
  Store.begin(requestHeader(1), "#1");
  Store.removeAttempt(attempt(1));
  for (const wire::BodyPart &Part : grantedParts(1))
    CHECK(Store.addPart(Part, Start).index() == 0);
  CHECK(Store.request(attempt(1)) == nullptr);
}

TEST_CASE("an upload sent without a grant is reported when complete") {
  // The sender does not wait for a grant of the target's daemon.
  BodyStore Store;
  wire::CallRequest Header = requestHeader(1);
  Header.BodyFollows = false;
  CHECK(!Store.begin(Header, "#1"));
  const auto Parts = splitBody(attempt(1), false, largeBody('a'));
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I)
    CHECK(Store.addPart(Parts[I], Start).index() == 0);
  const auto Complete = Store.addPart(Parts.back(), Start);
  CHECK(std::holds_alternative<wire::CallRequest>(Complete));
  CHECK(Store.request(attempt(1))->Body == largeBody('a'));
}

TEST_CASE("a damaged answer of another daemon is not passed on") {
  const auto CheckRefused = [](const wire::CallReply &Reply) {
    BodyStore Store;
    const auto Got = Store.begin(Reply);
    REQUIRE(Got);
    CHECK(Got->Outcome == wire::CallOutcome::Unknown);
    CHECK(Got->Code == static_cast<std::int32_t>(ResultCode::TargetBroke));
    CHECK(Got->Headers.empty());
    CHECK(!Store.takeReceivedResponse(attempt(1)));
    for (const wire::BodyPart &Part :
         splitBody(attempt(1), true, largeBody('a')))
      CHECK(!isAnswer(Store.addPart(Part, Start)));
  };
  for (const std::size_t Size : {std::size_t(0), std::size_t(200'000)}) {
    for (const int Status : {-200, 0, 99, 100, 101, 199, 600, 999, 65736}) {
      INFO(Status);
      wire::CallReply Reply = answer(1, Size);
      Reply.Status = Status;
      CheckRefused(Reply);
    }
    for (const std::string &Name :
         {std::string(), std::string("X A"), std::string("X-A "),
          std::string("X\tA"), std::string("X\rA"), std::string("X\nA"),
          std::string("X\0A", 3), std::string("X\x7f"), std::string("X\x80"),
          std::string("X:A")}) {
      INFO(Name);
      wire::CallReply Reply = answer(1, Size);
      Reply.Headers.push_back(field(Name, "1"));
      CheckRefused(Reply);
    }
    for (const std::string &Value :
         {std::string("a\r\nX-B: 1"), std::string("a\r"), std::string("a\n"),
          std::string("a\0", 2), std::string("a\x01"), std::string("a\x1f"),
          std::string("a\x7f")}) {
      INFO(Value);
      wire::CallReply Reply = answer(1, Size);
      Reply.Headers.push_back(field("X-A", Value));
      CheckRefused(Reply);
    }
  }
}

TEST_CASE("a damaged answer replaces an incomplete one") {
  BodyStore Store;
  const std::string Body = largeBody('a');
  CHECK(!Store.begin(answer(1, Body.size())));
  wire::CallReply Damaged = answer(1, Body.size());
  Damaged.Status = 0;
  CHECK(Store.begin(Damaged));
  for (const wire::BodyPart &Part : splitBody(attempt(1), true, Body))
    CHECK(!isAnswer(Store.addPart(Part, Start)));
  CHECK(!Store.takeReceivedResponse(attempt(1)));
}

TEST_CASE("an answer with any proper field and status is passed on") {
  for (const int Status : {200, 204, 404, 599}) {
    BodyStore Store;
    wire::CallReply Reply = answer(1, 0);
    Reply.Status = Status;
    Reply.Headers = {field("x!#$%&'*+-.^_`|~9Z", ""),
                     field("X-A", "\ta b\x80\xff~")};
    const auto Got = Store.begin(Reply);
    REQUIRE(Got);
    CHECK(Got->Outcome == wire::CallOutcome::Finished);
    CHECK(Store.takeReceivedResponse(attempt(1))->Headers == Reply.Headers);
  }
}

// Guards against parts that come again and would be taken as a new body.
TEST_CASE("a body that was taken for its run is not filled again") {
  BodyStore Store;
  wire::CallRequest Header;
  Header.Id = attempt(1);
  Header.BodySize = static_cast<std::int64_t>(largeBody('a').size());
  Header.BodyFollows = true;
  REQUIRE(Store.begin(Header, "#1"));
  const auto Parts = splitBody(attempt(1), false, largeBody('a'));
  for (const wire::BodyPart &Part : Parts)
    Store.addPart(Part, Start);
  CHECK(Store.takeBody(attempt(1)) == largeBody('a'));
  for (const wire::BodyPart &Part : Parts)
    CHECK(std::holds_alternative<std::monostate>(Store.addPart(Part, Start)));
  CHECK(Store.removeIncompleteRequests("#1").empty());
  REQUIRE(Store.request(attempt(1)) != nullptr);
  CHECK(Store.request(attempt(1))->Body.empty());
}

// Guards against bodies that are admitted for a slow target without a bound in
// bytes.
TEST_CASE("a large body beyond the limit is refused before it is sent") {
  constexpr std::int64_t BodyBytes = 200'000;
  AttemptScheduler Scheduler(1);
  Scheduler.setMaxBodyBytes(2 * BodyBytes);
  ServiceSpec Limits;
  Limits.Queue = 100;
  Effects Out;
  TargetAnnounced Target;
  Target.Service = "team/work";
  Target.Slots = 9;
  Target.State = wire::TargetState::Serving;
  Scheduler.setTarget(Target, Start, Out);
  const auto Arrive = [&](std::int64_t Number, std::int64_t Size) {
    wire::CallRequest Request;
    Request.Id = attempt(Number);
    Request.Service = Target.Service;
    Request.Route = "upload";
    Request.RemainingMs = 1500;
    Request.BodySize = Size;
    Request.BodyFollows = Size > static_cast<std::int64_t>(InlineBodyBytes);
    Scheduler.receive(Request, "#1", {true, false, &Limits, false}, Start, Out);
  };
  // The largest one is not counted.
  Arrive(1, 10 * BodyBytes);
  Arrive(2, BodyBytes);
  Arrive(3, BodyBytes);
  CHECK_FALSE(refuses(Out, 1));
  CHECK_FALSE(refuses(Out, 3));
  Arrive(4, BodyBytes);
  CHECK(refuses(Out, 4));
  CHECK(Scheduler.refusedByMemory() == 1);
  Arrive(5, 1000);
  CHECK_FALSE(refuses(Out, 5));
  // A body counts until its run has ended.
  Scheduler.bodyArrived({attempt(2), "c2", NoDeadline}, Start, Out);
  Arrive(6, BodyBytes);
  CHECK(refuses(Out, 6));
  RunFinished Run;
  Run.Id = attempt(2);
  Scheduler.finished(Run, Start, Out);
  Arrive(7, BodyBytes);
  CHECK_FALSE(refuses(Out, 7));
  // So does one that is cancelled while it waits.
  wire::CallCancel Cancel;
  Cancel.Id = attempt(3);
  Arrive(8, BodyBytes);
  CHECK(refuses(Out, 8));
  Scheduler.receive(Cancel, "#1", Start, Out);
  Arrive(9, BodyBytes);
  CHECK_FALSE(refuses(Out, 9));
}
