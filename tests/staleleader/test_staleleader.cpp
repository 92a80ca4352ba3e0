#include "libpersimmon/libpersimmon.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

using namespace persimmon;

namespace {

constexpr milliseconds TickInterval{20};
constexpr milliseconds ElectionTime{4000};
/// How long operators wait for a response.
constexpr milliseconds Patience{1000};

/// Three control instances whose leader can be paused or cut from the others.
class Voters {
public:
  Voters() {
    std::uint64_t Seed = 0;
    for (const std::string &Address : this->Addresses) {
      NodeIdentity Identity;
      Identity.Name = Address;
      Identity.Address = Address;
      Identity.Incarnation = 1;
      Identity.Seed = ++Seed;
      Identity.Seeds = this->Addresses;
      Identity.Voters.Count = this->Addresses.size();
      const Failure Error = handleResult(
          [&] {
            return Node::makeControl(Identity, initialVoterAt(Address).DiskId,
                                     {}, {this->Choice, this->VersionTopology},
                                     this->Now);
          },
          [&](std::unique_ptr<Node> Made) {
            this->Nodes[Address] = std::move(Made);
          });
      if (Error.failed())
        throw std::runtime_error(describe(Error));
    }
    for (const std::string &Address : this->Addresses)
      this->submit(Address, BootstrapRequested{this->Addresses});
    this->run(ElectionTime);
    this->First = this->leader();
    REQUIRE(!this->First.empty());
    REQUIRE(this->replace(this->First, 1, 0) == ResultCode::Ok);
  }

  /// The leader that is paused or cut off.
  const std::string &first() const { return this->First; }

  /// The messages between the first leader and the others are kept until
  /// deliverKept(). A paused leader does not run meanwhile.
  void cutFirst(bool Pauses) {
    this->Cut = true;
    this->Paused = Pauses;
  }

  /// Lets the first leader run again, without a message of the others.
  void wakeFirst() { this->Paused = false; }

  void deliverKept() {
    this->Cut = false;
    for (auto &[To, Event] : std::exchange(this->Kept, {}))
      this->submit(To, std::move(Event));
  }

  void run(milliseconds For) {
    for (const Time End = this->Now + For; this->Now < End;) {
      this->Now += TickInterval;
      for (const std::string &Address : this->Addresses) {
        if (!(this->Paused && Address == this->First))
          this->submit(Address, Tick());
      }
    }
  }

  /// Returns an instance other than the first leader that leads.
  std::string nextLeader() const {
    for (const auto &[Address, Item] : this->Nodes) {
      if (Address != this->First && Item->control()->consensus().ready())
        return Address;
    }
    return {};
  }

  /// Replaces the subtree at \p At by revision \p Number and returns the
  /// request's number.
  std::int64_t request(const std::string &At, std::int64_t Number,
                       std::int64_t BasedOn) {
    ReplaceRequested Event;
    Event.RequestId = ++this->LastRequest;
    Event.Trusted = true;
    Event.Document.Team = "team";
    Event.Document.Number = Number;
    Event.Document.BasedOn = BasedOn;
    Event.Document.Digest = "digest-" + std::to_string(Number);
    Event.Document.Values = {
        {"team/services/s" + std::to_string(Number), "{}"}};
    this->submit(At, std::move(Event));
    return this->LastRequest;
  }

  std::int64_t request(const std::string &At, EventBody Body) {
    this->submit(At, std::move(Body));
    return this->LastRequest;
  }

  /// Returns the result of a replacement that is answered within a second.
  ResultCode replace(const std::string &At, std::int64_t Number,
                     std::int64_t BasedOn) {
    const std::int64_t Id = this->request(At, Number, BasedOn);
    this->run(Patience);
    REQUIRE(this->answered(Id));
    return this->result(Id);
  }

  std::int64_t nextRequest() { return ++this->LastRequest; }
  bool answered(std::int64_t Id) const { return this->Answers.count(Id) != 0; }
  ResultCode result(std::int64_t Id) const { return this->Answers.at(Id); }
  const std::vector<wire::ClaimReply> &claimReplies() const {
    return this->ClaimReplies;
  }

  void submit(const std::string &To, EventBody Body) {
    this->Waiting.emplace_back(To, std::move(Body));
    if (this->Working)
      return;
    this->Working = true;
    while (!this->Waiting.empty()) {
      auto [Address, Item] = std::move(this->Waiting.front());
      this->Waiting.pop_front();
      this->handle(Address, std::move(Item));
    }
    this->Working = false;
  }

private:
  std::string leader() const {
    for (const auto &[Address, Item] : this->Nodes) {
      if (Item->control()->consensus().ready())
        return Address;
    }
    return {};
  }

  void handle(const std::string &Address, EventBody Body) {
    const Effects Out =
        this->Nodes.at(Address)->reduce({this->Now, 0, std::move(Body)});
    for (const Effect &Item : Out) {
      if (const auto *Answer = std::get_if<AnswerOperator>(&Item))
        this->Answers[Answer->RequestId] = Answer->Error.Code;
      else if (std::holds_alternative<ContinueWork>(Item))
        this->Waiting.emplace_back(Address, WorkContinued());
      else if (const auto *Sent = std::get_if<SendMessage>(&Item))
        this->deliver(Address, *Sent);
    }
  }

  void deliver(const std::string &From, const SendMessage &Sent) {
    if (const auto *Reply = std::get_if<wire::ClaimReply>(&Sent.Body))
      this->ClaimReplies.push_back(*Reply);
    if (this->Nodes.count(Sent.Address) == 0)
      return;
    MessageReceived Message{From, Sent.Body};
    const bool Crosses = (From == this->First) != (Sent.Address == this->First);
    if (this->Cut && Crosses)
      this->Kept.emplace_back(Sent.Address, std::move(Message));
    else
      this->Waiting.emplace_back(Sent.Address, std::move(Message));
  }

  const std::vector<std::string> Addresses = {"c1:1", "c2:1", "c3:1"};
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  Time Now = Time() + std::chrono::hours(1);
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::string First;
  bool Cut = false;
  bool Paused = false;
  bool Working = false;
  std::deque<std::pair<std::string, EventBody>> Waiting;
  std::deque<std::pair<std::string, EventBody>> Kept;
  std::int64_t LastRequest = 0;
  std::map<std::int64_t, ResultCode> Answers;
  std::vector<wire::ClaimReply> ClaimReplies;
};

bool isRefusalByState(ResultCode Code) {
  return Code != ResultCode::Ok && Code != ResultCode::NotLeader &&
         Code != ResultCode::NoQuorum;
}

ChangeRequested unauthorizedChange(std::int64_t Id) {
  ChangeRequested Out;
  Out.RequestId = Id;
  Out.TheChange.ChangeId = "change";
  Out.TheChange.Team = "other";
  Out.Token = "granted by a later entry";
  return Out;
}

wire::ClaimRequest claimOf(const std::string &Owner, bool Release = false) {
  wire::ClaimRequest Out;
  Out.Wanted.Key = "key";
  Out.Wanted.Owner = Owner;
  Out.Wanted.OwnerIncarnation = 1;
  Out.Wanted.CallNumber = 7;
  Out.Wanted.Release = Release;
  return Out;
}

} // namespace

// Guards against a leader that wakes from a pause and refuses a change that its
// successor has acknowledged (CONFIG).
TEST_CASE(
    "a paused leader does not refuse what its successor has acknowledged") {
  Voters Case;
  Case.cutFirst(true);
  Case.run(ElectionTime);
  const std::string Next = Case.nextLeader();
  REQUIRE(!Next.empty());
  REQUIRE(Case.replace(Next, 2, 1) == ResultCode::Ok);
  REQUIRE(Case.replace(Next, 3, 2) == ResultCode::Ok);
  Case.wakeFirst();
  // The order on a connection that was open is read first, before and after the
  // first timer.
  const std::int64_t Before = Case.request(Case.first(), 3, 2);
  Case.run(TickInterval);
  const std::int64_t After = Case.request(Case.first(), 3, 2);
  CHECK(!Case.answered(Before));
  CHECK(!Case.answered(After));
  Case.deliverKept();
  Case.run(Patience);
  for (const std::int64_t Id : {Before, After}) {
    REQUIRE(Case.answered(Id));
    CHECK(!isRefusalByState(Case.result(Id)));
  }
}

// Guards against refusals by a leader that is cut off and has not noticed it.
TEST_CASE("a leader that is cut off refuses nothing by its state") {
  Voters Case;
  Case.cutFirst(false);
  std::vector<std::int64_t> Requests;
  for (int I = 0; I < 10; ++I) {
    Requests.push_back(Case.request(Case.first(), 3, 2));
    // Its number does not exceed the current one.
    Requests.push_back(Case.request(Case.first(), 1, 1));
    const std::int64_t Id = Case.nextRequest();
    Requests.push_back(Case.request(Case.first(), unauthorizedChange(Id)));
    Case.run(milliseconds(300));
  }
  Case.run(Patience);
  for (const std::int64_t Id : Requests) {
    REQUIRE(Case.answered(Id));
    CHECK(!isRefusalByState(Case.result(Id)));
  }
}

TEST_CASE("a leader that cannot confirm a refusal answers within a second") {
  Voters Case;
  Case.cutFirst(false);
  const std::int64_t Id = Case.request(Case.first(), 3, 2);
  Case.run(Patience);
  REQUIRE(Case.answered(Id));
  CHECK(!isRefusalByState(Case.result(Id)));
}

TEST_CASE("a leader in touch refuses by its state") {
  Voters Case;
  CHECK(Case.replace(Case.first(), 3, 2) == ResultCode::Conflict);
  const std::int64_t Id = Case.nextRequest();
  Case.request(Case.first(), unauthorizedChange(Id));
  Case.run(TickInterval);
  REQUIRE(Case.answered(Id));
  CHECK(Case.result(Id) == ResultCode::Unauthorized);
  CHECK(Case.replace(Case.first(), 2, 1) == ResultCode::Ok);
  CHECK(Case.replace(Case.first(), 2, 1) == ResultCode::Ok);
}

// Guards against a call that is denied for a claim that was released since.
TEST_CASE("a leader that is cut off says of no key that it is claimed") {
  Voters Case;
  const std::string Daemon = "p1:1";
  Case.submit(Case.first(), MessageReceived{Daemon, claimOf("p1")});
  Case.run(TickInterval);
  REQUIRE(Case.claimReplies().size() == 1);
  Case.submit(Case.first(), MessageReceived{Daemon, claimOf("p2")});
  Case.run(TickInterval);
  REQUIRE(Case.claimReplies().size() == 2);
  CHECK(Case.claimReplies().back().Code ==
        static_cast<std::int32_t>(ResultCode::KeyClaimed));
  Case.cutFirst(true);
  Case.run(ElectionTime);
  const std::string Next = Case.nextLeader();
  REQUIRE(!Next.empty());
  Case.submit(Next, MessageReceived{Daemon, claimOf("p1", true)});
  Case.run(milliseconds(200));
  Case.wakeFirst();
  Case.submit(Case.first(), MessageReceived{Daemon, claimOf("p2")});
  Case.run(TickInterval);
  CHECK(Case.claimReplies().size() == 2);
}
