#include "libpersimmon/versionconfirmation.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <set>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};
constexpr milliseconds TickInterval{20};

struct Request {
  std::string To;
  wire::StampRequest Body;
  Channel Via = Channel::Datagram;
};

std::vector<Request> requests(const Effects &Out) {
  std::vector<Request> Found;
  for (const Effect &Item : Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    if (Sent == nullptr)
      continue;
    if (const auto *Body = std::get_if<wire::StampRequest>(&Sent->Body))
      Found.push_back({Sent->Address, *Body, Sent->Via});
  }
  return Found;
}

/// A proxy with a parent and a leader that answer as the test says.
struct Proxy {
  VersionConfirmation UnderTest{1};
  std::string Address = "p9:1";
  std::vector<std::string> Parents = {"p1:1"};
  std::vector<std::string> Controls = {"c1:1"};

  std::vector<Request> tick(Time Now, bool Urgent = false) {
    Effects Out;
    this->UnderTest.tick({this->Address, this->Parents, this->Controls}, Urgent,
                         Now, Out);
    return requests(Out);
  }

  bool reply(const Request &To, std::int64_t Version, milliseconds Age) {
    wire::StampReply Reply;
    Reply.Nonce = To.Body.Nonce;
    Reply.Confirmed.Version = Version;
    Reply.AgeMs = static_cast<std::int32_t>(Age.count());
    return this->UnderTest.receive(Reply);
  }
};

} // namespace

TEST_CASE("a late reply does not confirm a version as the newest one now") {
  Proxy P;
  const auto Sent = P.tick(Start, true);
  REQUIRE(Sent.size() == 1);
  // The reply was read after a pause of the process.
  const Time Later = Start + milliseconds(3000);
  CHECK(P.reply(Sent[0], 5, milliseconds(100)));
  CHECK(P.UnderTest.confirmedAt() == Start - milliseconds(100));
  CHECK(P.UnderTest.servesUntil(5) < Later);
  CHECK(P.UnderTest.servesUntil(5) > Start);
  CHECK(P.UnderTest.servesUntil(4) < Start);
  // A second copy of the reply changes nothing.
  CHECK(!P.reply(Sent[0], 6, milliseconds(0)));
  CHECK(P.UnderTest.version() == 5);
}

TEST_CASE("a reply to an earlier request counts if the last one is lost") {
  Proxy P;
  std::vector<Request> Sent;
  Time Now = Start;
  for (int I = 0; I < 20; ++I, Now += TickInterval) {
    for (const Request &Item : P.tick(Now, true))
      Sent.push_back(Item);
  }
  REQUIRE(Sent.size() > 2);
  CHECK(P.reply(Sent[1], 3, milliseconds(0)));
  CHECK(P.UnderTest.servesUntil(3) > Now);
}

TEST_CASE("confirmations are requested only while calls arrive") {
  Proxy P;
  const auto First = P.tick(Start, true);
  REQUIRE(First.size() == 1);
  P.reply(First[0], 1, milliseconds(0));
  Time Now = Start;
  for (; Now < Start + milliseconds(5000); Now += TickInterval)
    CHECK(P.tick(Now).empty());
  P.UnderTest.recordUse(Now);
  CHECK(P.tick(Now).size() == 1);
}

TEST_CASE("the control instances are asked if the parent does not answer, in "
          "the end over connections") {
  Proxy P;
  std::set<std::string> Asked;
  bool ByStream = false;
  Time Now = Start;
  for (; !P.UnderTest.outOfTouch(Now); Now += TickInterval) {
    REQUIRE(Now < Start + milliseconds(1000));
    for (const Request &Item : P.tick(Now, true)) {
      Asked.insert(Item.To);
      ByStream = ByStream || Item.Via == Channel::Stream;
    }
  }
  CHECK(Asked == std::set<std::string>{"p1:1", "c1:1"});
  CHECK(ByStream);
  // A reply ends it.
  const auto Sent = P.tick(Now + milliseconds(500), true);
  REQUIRE(!Sent.empty());
  P.reply(Sent[0], 1, milliseconds(0));
  CHECK(!P.UnderTest.outOfTouch(Now + milliseconds(500)));
}

TEST_CASE("the leader's load by confirmations does not grow with the fleet") {
  constexpr std::size_t Proxies = 500;
  constexpr std::size_t Fanout = 8;
  constexpr milliseconds Duration{10'000};
  struct Member {
    VersionConfirmation Confirmation;
    std::string Address;
    std::vector<std::string> Parents;
  };
  const std::vector<std::string> Controls = {"leader"};
  std::vector<std::unique_ptr<Member>> Fleet;
  for (std::size_t I = 0; I < Proxies; ++I) {
    auto Item = std::make_unique<Member>(
        Member{VersionConfirmation(I), std::to_string(I), Controls});
    if (I > 0)
      Item->Parents = {std::to_string((I - 1) / Fanout)};
    Fleet.push_back(std::move(Item));
  }
  int AtLeader = 0;
  std::size_t MostAtProxy = 0;
  std::vector<std::size_t> AtProxy(Proxies, 0);
  Time Now = Start;
  std::size_t Expired = 0;
  /// Carries messages at once; a message names its sender by an index.
  const std::function<void(std::size_t, const Effects &)> Carry =
      [&](std::size_t From, const Effects &Out) {
        for (const Effect &Item : Out) {
          const auto *Sent = std::get_if<SendMessage>(&Item);
          if (Sent == nullptr)
            continue;
          if (const auto *Reply = std::get_if<wire::StampReply>(&Sent->Body)) {
            const std::size_t To = std::stoul(Sent->Address);
            Member &Receiver = *Fleet[To];
            Receiver.Confirmation.receive(*Reply);
            Effects More;
            Receiver.Confirmation.answerWaiting(
                {Receiver.Address, Receiver.Parents, Controls}, 1, Now, More);
            Carry(To, More);
            continue;
          }
          const auto &Asked = std::get<wire::StampRequest>(Sent->Body);
          if (Sent->Address == "leader") {
            ++AtLeader;
            wire::StampReply Reply;
            Reply.Nonce = Asked.Nonce;
            Reply.Confirmed.Version = 1;
            Reply.AgeMs = 100;
            Effects More;
            send(More, std::to_string(From), Reply, Channel::Datagram);
            Carry(From, More);
            continue;
          }
          const std::size_t To = std::stoul(Sent->Address);
          MostAtProxy = std::max(MostAtProxy, ++AtProxy[To]);
          Member &Receiver = *Fleet[To];
          const VersionConfirmation::Peers Others{Receiver.Address,
                                                  Receiver.Parents, Controls};
          Receiver.Confirmation.receive(Asked, std::to_string(From), Now);
          Effects More;
          Receiver.Confirmation.answerWaiting(Others, 1, Now, More);
          Receiver.Confirmation.tick(Others, false, Now, More);
          Carry(To, More);
        }
      };
  for (; Now < Start + Duration; Now += TickInterval) {
    for (std::size_t I = 0; I < Proxies; ++I) {
      Member &Item = *Fleet[I];
      Item.Confirmation.recordUse(Now);
      Effects Out;
      Item.Confirmation.tick({Item.Address, Item.Parents, Controls}, false, Now,
                             Out);
      Carry(I, Out);
      Expired += Item.Confirmation.servesUntil(1) <= Now ? 1 : 0;
    }
  }
  // One request each 200 ms at most, the age up to which an answer is passed
  // on.
  CHECK(AtLeader <= 60);
  CHECK(MostAtProxy <= Fanout * 10 * 5);
  CHECK(Expired == 0);
}

// All proxies ask while there is no leader, so each asks few and less and less
// often.
TEST_CASE("an outage of the leader does not flood the control instances") {
  Proxy P;
  P.Controls.clear();
  for (int I = 1; I <= 9; ++I)
    P.Controls.push_back("c" + std::to_string(I) + ":1");
  std::size_t InFirstSecond = 0;
  std::size_t Later = 0;
  for (Time Now = Start; Now < Start + milliseconds(11'000);
       Now += TickInterval) {
    P.UnderTest.recordUse(Now);
    for (const Request &Item : P.tick(Now)) {
      if (Item.To == "p1:1")
        continue;
      (Now < Start + milliseconds(1000) ? InFirstSecond : Later) += 1;
    }
  }
  CHECK(InFirstSecond <= 2 * P.Controls.size());
  CHECK(Later <= 12);
}
