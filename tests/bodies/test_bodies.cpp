#include "libhost/bodystore.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

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

std::string largeBody(char Fill) { return std::string(200'000, Fill); }

bool isAnswer(const BodyStore::Completed &Of) {
  return std::holds_alternative<wire::CallReply>(Of);
}

} // namespace

TEST_CASE("an answer in parts is there only when all of it is") {
  BodyStore Store;
  const std::string Body = largeBody('a');
  CHECK(!Store.begin(answer(1, Body.size())));
  const auto Parts = cutBody(attempt(1), true, Body);
  REQUIRE(Parts.size() == 13);
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I)
    CHECK(!isAnswer(Store.addPart(Parts[I])));
  REQUIRE(isAnswer(Store.addPart(Parts.back())));
  const auto Got = Store.takeArrived(attempt(1));
  REQUIRE(Got);
  CHECK(Got->Body == Body);
  CHECK(!Store.takeArrived(attempt(1)));
}

TEST_CASE("a part holds up a small message for 30 ms at most on a thin link") {
  // Bytes of 30 ms at 4.45 Mbit/s, the thinnest link that is served.
  constexpr std::size_t MostBytes = 16'687;
  for (const wire::BodyPart &Part : cutBody(attempt(1), true, largeBody('a')))
    CHECK(encode(Part).size() <= MostBytes);
}

TEST_CASE("answers of several attempts do not mix") {
  BodyStore Store;
  Store.begin(answer(1, 200'000));
  Store.begin(answer(2, 200'000));
  const auto First = cutBody(attempt(1), true, largeBody('a'));
  const auto Second = cutBody(attempt(2), true, largeBody('b'));
  for (std::size_t I = 0; I < First.size(); ++I) {
    Store.addPart(Second[I]);
    Store.addPart(First[I]);
  }
  CHECK(Store.takeArrived(attempt(1))->Body == largeBody('a'));
  CHECK(Store.takeArrived(attempt(2))->Body == largeBody('b'));
}

TEST_CASE("parts that are missing, repeated or surplus discard the answer") {
  const auto Parts = cutBody(attempt(1), true, largeBody('a'));
  {
    BodyStore Store;
    Store.begin(answer(1, 200'000));
    Store.addPart(Parts[0]);
    for (std::size_t I = 2; I < Parts.size(); ++I)
      CHECK(!isAnswer(Store.addPart(Parts[I])));
  }
  {
    BodyStore Store;
    Store.begin(answer(1, 200'000));
    Store.addPart(Parts[0]);
    for (const wire::BodyPart &Part : Parts)
      CHECK(!isAnswer(Store.addPart(Part)));
  }
  {
    BodyStore Store;
    Store.begin(answer(1, 199'999));
    for (const wire::BodyPart &Part : Parts)
      CHECK(!isAnswer(Store.addPart(Part)));
    CHECK(!Store.takeArrived(attempt(1)));
  }
}

TEST_CASE("an inline body of another length than announced is not taken") {
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

TEST_CASE("a request that was cut off with its connection is forgotten") {
  BodyStore Store;
  wire::CallRequest Request;
  Request.Id = attempt(1);
  Request.BodySize = 200'000;
  CHECK(!Store.begin(Request, "#1"));
  Store.addPart(cutBody(attempt(1), false, largeBody('a'))[0]);
  Store.pathClosed("#2");
  CHECK(Store.request(attempt(1)) != nullptr);
  Store.pathClosed("#1");
  CHECK(Store.request(attempt(1)) == nullptr);
}
