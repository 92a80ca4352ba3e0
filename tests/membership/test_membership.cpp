#include "libpersimmon/membership.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);

wire::MemberRecord record(const std::string &Name, std::int64_t Incarnation) {
  wire::MemberRecord Out;
  Out.Name = Name;
  Out.Address = Name + ":1";
  Out.Zone = "zone-a";
  Out.Incarnation = Incarnation;
  Out.Sequence = 1;
  return Out;
}

wire::Gossip gossip(std::vector<wire::MemberRecord> Updates) {
  wire::Gossip Out;
  Out.Updates = std::move(Updates);
  return Out;
}

/// A member with its clock and the messages it sent.
struct Member {
  Membership Table;
  Time Now = Start;
  std::vector<SendMessage> Sent;

  explicit Member(const std::string &Name, std::int64_t Incarnation = 1)
      : Table(record(Name, Incarnation), {}, 1) {}

  void collect(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Message = std::get_if<SendMessage>(&Item))
        this->Sent.push_back(*Message);
    }
  }

  void run(milliseconds Duration) {
    const Time End = this->Now + Duration;
    while (this->Now < End) {
      this->Now += milliseconds(20);
      Effects Out;
      this->Table.tick(this->Now, Out);
      this->collect(Out);
    }
  }

  template <typename T> std::vector<SendMessage> sent() const {
    std::vector<SendMessage> Out;
    for (const SendMessage &Item : this->Sent) {
      if (std::holds_alternative<T>(Item.Body))
        Out.push_back(Item);
    }
    return Out;
  }

  void learn(const wire::MemberRecord &Record) {
    this->Table.mergeGossip(gossip({Record}), this->Now);
  }
};

wire::Liveness::type stateOf(const Member &Observer, const std::string &Name) {
  REQUIRE(Observer.Table.find(Name) != nullptr);
  return Observer.Table.find(Name)->State;
}

} // namespace

TEST_CASE("a member that does not answer is suspected, then declared dead") {
  Member M("p1");
  M.learn(record("p2", 1));
  M.run(milliseconds(1900));
  CHECK(stateOf(M, "p2") == wire::Liveness::Suspect);
  CHECK(!M.sent<wire::Probe>().empty());
  M.run(milliseconds(2000));
  CHECK(stateOf(M, "p2") == wire::Liveness::Dead);
}

TEST_CASE("indirect probes are sent before a member is suspected") {
  Member M("p1");
  M.learn(record("p2", 1));
  M.learn(record("p3", 1));
  M.run(milliseconds(500));
  CHECK(!M.sent<wire::IndirectProbe>().empty());
}

TEST_CASE("a suspected member refutes with a higher sequence number") {
  Member M("p1");
  wire::MemberRecord Bad = record("p1", 1);
  Bad.Sequence = 7;
  Bad.State = wire::Liveness::Suspect;
  M.learn(Bad);
  CHECK(M.Table.self().Sequence > 7);
  CHECK(M.Table.self().State == wire::Liveness::Alive);
}

TEST_CASE("an outdated record does not change the state of a member") {
  Member M("p1");
  M.learn(record("p2", 5));
  wire::MemberRecord Old = record("p2", 4);
  Old.Sequence = 99;
  Old.State = wire::Liveness::Dead;
  M.learn(Old);
  CHECK(stateOf(M, "p2") == wire::Liveness::Alive);
  wire::MemberRecord Dead = record("p2", 5);
  Dead.State = wire::Liveness::Dead;
  M.learn(Dead);
  M.learn(record("p2", 5));
  CHECK(stateOf(M, "p2") == wire::Liveness::Dead);
  M.learn(record("p2", 6));
  CHECK(stateOf(M, "p2") == wire::Liveness::Alive);
}

TEST_CASE("a member restarted with an earlier clock raises its incarnation") {
  Member M("p1", 100);
  M.learn(record("p1", 200));
  CHECK(M.Table.self().Incarnation > 200);
  CHECK(M.Table.hadIncarnation(100));
}

TEST_CASE("an unknown sender of a probe is asked for its record") {
  Member Receiver("p1");
  Member Prober("p2");
  // The sender has already disseminated its record and has no pending updates.
  Prober.learn(record("p1", 1));
  Prober.run(milliseconds(700));
  REQUIRE(!Prober.Table.hasPendingUpdates());
  Prober.Sent.clear();
  wire::Probe Probe;
  Probe.Head.From = "p2";
  Probe.Head.Address = "p2:1";
  Probe.Number = 1;
  Effects Out;
  Receiver.Table.receive(Probe, "p2:1", Receiver.Now, Out);
  Receiver.collect(Out);
  const auto Acks = Receiver.sent<wire::ProbeAck>();
  REQUIRE(Acks.size() == 1);
  Effects Back;
  Prober.Table.receive(std::get<wire::ProbeAck>(Acks[0].Body), "p1:1",
                       Prober.Now, Back);
  CHECK(Prober.Table.hasPendingUpdates());
}

TEST_CASE("an unanswered sync request is repeated early") {
  Member M("p1");
  M.learn(record("p2", 1));
  M.run(milliseconds(3000));
  CHECK(M.sent<wire::SyncRequest>().size() >= 2);
}

// Guards against a new member that compares its table with another new one and
// knows few members for ten seconds.
TEST_CASE("a new member compares its table again soon") {
  Member M("p1");
  M.learn(record("p2", 1));
  M.run(milliseconds(1100));
  const std::size_t Before = M.sent<wire::SyncRequest>().size();
  REQUIRE(Before >= 1);
  wire::SyncReply Equal;
  Equal.WantsRecords = true;
  Effects Out;
  M.Table.receive(Equal, "p2:1", M.Now, Out);
  M.run(milliseconds(1100));
  CHECK(M.sent<wire::SyncRequest>().size() > Before);
}

TEST_CASE("a sync makes both tables equal") {
  Member Left("p1");
  Member Right("p2");
  Left.learn(record("p2", 1));
  Right.learn(record("p1", 1));
  for (int I = 10; I < 40; ++I)
    (I % 2 == 0 ? Left : Right).learn(record("m" + std::to_string(I), 1));
  Left.run(milliseconds(1500));
  const auto Requests = Left.sent<wire::SyncRequest>();
  REQUIRE(!Requests.empty());
  Effects Out;
  Right.Table.receive(std::get<wire::SyncRequest>(Requests[0].Body), "p1:1",
                      Out);
  Right.collect(Out);
  const auto Replies = Right.sent<wire::SyncReply>();
  REQUIRE(Replies.size() == 1);
  Effects Back;
  Left.Table.receive(std::get<wire::SyncReply>(Replies[0].Body), "p2:1",
                     Left.Now, Back);
  Left.collect(Back);
  const auto Pushed = Left.sent<wire::SyncReply>();
  REQUIRE(Pushed.size() == 1);
  Effects Ignored;
  Right.Table.receive(std::get<wire::SyncReply>(Pushed[0].Body), "p1:1",
                      Right.Now, Ignored);
  CHECK(Left.Table.records().size() == 32);
  CHECK(Right.Table.records().size() == 32);
}

namespace {

/// A fleet whose members start within 0.3 s and know only one of them.
class Fleet {
public:
  explicit Fleet(int Count) {
    for (int I = 0; I < Count; ++I) {
      wire::MemberRecord Record = record("p" + std::to_string(I), 1);
      Record.Zone = "zone-" + std::to_string(I % 5);
      Record.Service = "team/work";
      Record.Target = wire::TargetState::Serving;
      this->Members.emplace(
          Record.Address,
          Membership(Record, {"p0:1"}, static_cast<std::uint64_t>(I) + 1));
    }
  }

  /// Returns the mean number of bytes that a member sends each second.
  double run(milliseconds Duration) {
    this->SentBytes = 0;
    for (const Time End = this->Now + Duration; this->Now < End;) {
      this->Now += milliseconds(20);
      for (auto &[Address, Table] : this->Members) {
        Effects Out;
        Table.tick(this->Now, Out);
        this->deliver(Address, Out);
      }
    }
    return static_cast<double>(this->SentBytes) * 1000 /
           static_cast<double>(Duration.count()) /
           static_cast<double>(this->Members.size());
  }

  bool complete() const {
    return std::all_of(this->Members.begin(), this->Members.end(),
                       [&](const auto &Item) {
                         return Item.second.targetsOf("team/work").size() ==
                                this->Members.size();
                       });
  }

private:
  void deliver(const std::string &From, const Effects &Out) {
    for (const Effect &Item : Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      if (Sent == nullptr)
        continue;
      this->SentBytes += encode(Sent->Body).size();
      const auto To = this->Members.find(Sent->Address);
      if (To == this->Members.end())
        continue;
      Effects Replies;
      this->receive(To->second, Sent->Body, From, Replies);
      this->deliver(Sent->Address, Replies);
    }
  }

  void receive(Membership &To, const Message &Body, const std::string &From,
               Effects &Out) {
    if (const auto *Probe = std::get_if<wire::Probe>(&Body))
      To.receive(*Probe, From, this->Now, Out);
    else if (const auto *Ack = std::get_if<wire::ProbeAck>(&Body))
      To.receive(*Ack, From, this->Now, Out);
    else if (const auto *Request = std::get_if<wire::SyncRequest>(&Body))
      To.receive(*Request, From, Out);
    else if (const auto *Reply = std::get_if<wire::SyncReply>(&Body))
      To.receive(*Reply, From, this->Now, Out);
    else if (const auto *News = std::get_if<wire::Announce>(&Body))
      To.mergeGossip(News->Head, this->Now);
  }

  Time Now = Start;
  std::map<std::string, Membership> Members;
  std::size_t SentBytes = 0;
};

} // namespace

TEST_CASE("a fleet that starts at once is known everywhere") {
  Fleet Started(200);
  // Twice the interval at which members compare their tables.
  Started.run(milliseconds(20'000));
  CHECK(Started.complete());
}

TEST_CASE("a fleet that starts at once is quiet after two seconds") {
  // The limit for what a daemon sends.
  constexpr double MaxBytesPerSecond = 5000;
  Fleet Started(200);
  const double First = Started.run(milliseconds(2000));
  const double Second = Started.run(milliseconds(2000));
  const double Third = Started.run(milliseconds(4000));
  INFO("bytes/s " << First << ", " << Second << ", " << Third);
  CHECK(Second < MaxBytesPerSecond);
  CHECK(Third < MaxBytesPerSecond);
}
