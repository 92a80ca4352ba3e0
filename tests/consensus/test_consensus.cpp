#include "libpersimmon/consensus.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <map>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);

wire::Replica replica(const std::string &Name, std::int64_t DiskId) {
  wire::Replica Out;
  Out.Instance = Name;
  Out.DiskId = DiskId;
  Out.Address = Name + ":1";
  return Out;
}

const std::vector<wire::Replica> Voters = {replica("c1", 1), replica("c2", 2),
                                           replica("c3", 3)};

wire::LogEntry entry(std::int64_t Index, std::int64_t Term) {
  wire::LogEntry Out;
  Out.Index = Index;
  Out.Term = Term;
  Out.Kind = wire::EntryKind::Noop;
  return Out;
}

/// Replica c1 of a cluster of three. Its log holds the Voters entry, followed
/// by entries of the given terms.
struct Fixture {
  Consensus Subject{replica("c1", 1), {{"c2", "c2:1"}, {"c3", "c3:1"}}, {}, 1};
  Time Now = Start;
  Effects Out;

  explicit Fixture(std::int64_t Term,
                   const std::vector<std::int64_t> &EntryTerms = {}) {
    DurableState State;
    State.HardState.Term = Term;
    wire::LogEntry First = entry(1, 1);
    First.Kind = wire::EntryKind::Voters;
    First.Voters = Voters;
    State.Entries.push_back(First);
    for (const std::int64_t EntryTerm : EntryTerms)
      State.Entries.push_back(entry(
          static_cast<std::int64_t>(State.Entries.size()) + 1, EntryTerm));
    this->Subject.restore(State, this->Now);
  }

  /// Advances the time by \p Span in ticks of 20 ms, as the daemon does.
  void tickFor(milliseconds Span) {
    for (const Time End = this->Now + Span; this->Now < End;) {
      this->Now += milliseconds(20);
      this->Subject.tick(this->Now, this->Out);
    }
  }

  template <typename T> std::vector<T> sent() const {
    std::vector<T> Found;
    for (const Effect &Item : this->Out) {
      const auto *Message = std::get_if<SendMessage>(&Item);
      if (Message != nullptr && std::holds_alternative<T>(Message->Body))
        Found.push_back(std::get<T>(Message->Body));
    }
    return Found;
  }

  bool grants(std::int64_t Candidate, std::int64_t Term, bool PreVote = false,
              std::int64_t LastIndex = 100, std::int64_t LastTerm = 100) {
    this->Out.clear();
    wire::VoteRequest Request;
    Request.Term = Term;
    Request.Candidate = Voters[static_cast<std::size_t>(Candidate) - 1];
    Request.LastIndex = LastIndex;
    Request.LastTerm = LastTerm;
    Request.PreVote = PreVote;
    Request.ToDisk = 1;
    this->Subject.receive(Request, "path", this->Now, this->Out);
    const auto Replies = this->sent<wire::VoteReply>();
    return !Replies.empty() && Replies[0].Granted;
  }

  void vote(std::int64_t From, std::int64_t Term, bool PreVote) {
    wire::VoteReply Reply;
    Reply.FromDisk = From;
    Reply.Term = Term;
    Reply.Granted = true;
    Reply.PreVote = PreVote;
    this->Subject.receive(Reply, this->Now, this->Out);
  }

  /// Makes the replica win an election with the vote of c2.
  void lead() {
    this->Now += milliseconds(2000);
    this->Subject.tick(this->Now, this->Out);
    this->vote(2, this->Subject.term() + 1, true);
    this->vote(2, this->Subject.term(), false);
    REQUIRE(this->Subject.leader());
  }

  void acknowledge(std::int64_t From, std::int64_t Match) {
    wire::AppendReply Reply;
    Reply.Term = this->Subject.term();
    Reply.FromDisk = From;
    Reply.Success = true;
    Reply.MatchIndex = Match;
    this->Subject.receive(Reply, this->Now, this->Out);
  }
};

} // namespace

TEST_CASE("a replica votes once per term, also across a restart") {
  Fixture F(4);
  CHECK(F.grants(2, 5));
  CHECK(!F.grants(3, 5));
  CHECK(F.grants(2, 5));
  DurableState State;
  State.HardState.Term = 5;
  State.HardState.VotedFor = 2;
  Fixture Restarted(1);
  Restarted.Subject.restore(State, Start);
  CHECK(!Restarted.grants(3, 5));
}

TEST_CASE("a vote is persisted before it is sent") {
  Fixture F(4);
  REQUIRE(F.grants(2, 5));
  std::size_t Written = F.Out.size();
  std::size_t Sent = 0;
  for (std::size_t I = 0; I < F.Out.size(); ++I) {
    const auto *Hard = std::get_if<PersistHardState>(&F.Out[I]);
    if (Hard != nullptr && Hard->State.VotedFor == 2)
      Written = I;
    if (std::holds_alternative<SendMessage>(F.Out[I]))
      Sent = I;
  }
  CHECK(Written < Sent);
}

TEST_CASE("a candidate with an older log gets no vote") {
  Fixture F(4, {2, 3});
  CHECK(!F.grants(2, 5, false, 2, 3));
  CHECK(!F.grants(2, 6, false, 9, 2));
  CHECK(F.grants(2, 7, false, 3, 3));
}

TEST_CASE("a vote request to an earlier disk of this instance is ignored") {
  Fixture F(4);
  wire::VoteRequest Request;
  Request.Term = 9;
  Request.Candidate = Voters[1];
  Request.LastIndex = 100;
  Request.LastTerm = 100;
  Request.ToDisk = 77;
  F.Subject.receive(Request, "path", F.Now, F.Out);
  CHECK(F.Out.empty());
}

TEST_CASE("entries of earlier terms are not committed by counting") {
  Fixture F(4, {2});
  F.lead();
  const std::int64_t Before = F.Subject.commitIndex();
  // The entry of term 2 is stored on a majority, that of this term is not.
  F.acknowledge(2, 2);
  CHECK(F.Subject.commitIndex() == Before);
  F.acknowledge(2, 3);
  CHECK(F.Subject.commitIndex() == 3);
}

TEST_CASE("entries are persisted before they are acknowledged or sent") {
  Fixture F(4);
  wire::AppendRequest Request;
  Request.Term = 5;
  Request.Leader = Voters[1];
  Request.PrevIndex = 1;
  Request.PrevTerm = 1;
  Request.Entries = {entry(2, 5)};
  Request.ToDisk = 1;
  F.Subject.receive(Request, "path", F.Now, F.Out);
  std::size_t Written = F.Out.size();
  for (std::size_t I = 0; I < F.Out.size(); ++I) {
    if (std::holds_alternative<PersistEntries>(F.Out[I]))
      Written = I;
    if (std::holds_alternative<SendMessage>(F.Out[I]))
      CHECK(Written < I);
  }
  CHECK(Written < F.Out.size());
}

TEST_CASE("a leader without a quorum steps down and confirms nothing") {
  Fixture F(4);
  F.lead();
  F.acknowledge(2, F.Subject.lastIndex());
  REQUIRE(F.Subject.ready());
  const std::int64_t Round = F.Subject.confirmLeadership(F.Now, F.Out);
  CHECK(F.Subject.confirmedRound() < Round);
  F.tickFor(milliseconds(1500));
  CHECK(!F.Subject.leader());
}

TEST_CASE("a leader does not count its own pause as missing replies") {
  Fixture F(4);
  F.lead();
  F.acknowledge(2, F.Subject.lastIndex());
  F.tickFor(milliseconds(100));
  REQUIRE(F.Subject.leader());
  F.Now += milliseconds(1500);
  F.Subject.tick(F.Now, F.Out);
  CHECK(F.Subject.leader());
  // Replies from before the pause do not extend its leadership indefinitely.
  F.tickFor(milliseconds(1500));
  CHECK(!F.Subject.leader());
}

TEST_CASE("a bootstrap that crashed between its writes is repeated") {
  Consensus Subject(initialVoterAt("a:1"), {}, VoterPolicy{3}, 1);
  DurableState Disk;
  Disk.HardState.Term = 1;
  Subject.restore(Disk, Start);
  Effects Out;
  Subject.bootstrap(initialVotersAt({"a:1", "b:1", "c:1"}), Start, Out);
  CHECK(Subject.voters().size() == 3);
  // A replica that has voted does not create a cluster.
  Consensus Voted(initialVoterAt("a:1"), {}, VoterPolicy{3}, 1);
  Disk.HardState.VotedFor = initialVoterAt("b:1").DiskId;
  Voted.restore(Disk, Start);
  Voted.bootstrap(initialVotersAt({"a:1", "b:1", "c:1"}), Start, Out);
  CHECK(!Voted.formed());
}

TEST_CASE("a pre-vote is not granted while a leader is active") {
  Fixture F(4);
  wire::AppendRequest Heartbeat;
  Heartbeat.Term = 5;
  Heartbeat.Leader = Voters[1];
  Heartbeat.PrevIndex = 1;
  Heartbeat.PrevTerm = 1;
  Heartbeat.ToDisk = 1;
  F.Subject.receive(Heartbeat, "path", F.Now, F.Out);
  CHECK(!F.grants(3, 6, true));
  // A leader that parses a large document sends no heartbeats meanwhile.
  F.Now += milliseconds(800);
  CHECK(!F.grants(3, 6, true));
  F.Now += milliseconds(150);
  CHECK(F.grants(3, 6, true));
}

TEST_CASE("a restarted replica starts a pre-vote early") {
  Fixture F(2, {1, 2});
  F.tickFor(milliseconds(320));
  const auto Asked = F.sent<wire::VoteRequest>();
  REQUIRE(Asked.size() == 2);
  CHECK(Asked[0].PreVote);
  // A pre-vote does not increase the term; an election needs a quorum first.
  CHECK(F.Subject.term() == 2);
}

TEST_CASE("a leader sends an entry once, not with each heartbeat until the "
          "reply") {
  Fixture F(4);
  F.lead();
  F.acknowledge(2, 2);
  F.acknowledge(3, 2);
  F.Out.clear();
  F.Subject.propose(entry(0, 0), F.Now, F.Out);
  F.tickFor(milliseconds(800));
  int Entries = 0;
  for (const auto &Request : F.sent<wire::AppendRequest>())
    Entries += static_cast<int>(Request.Entries.size());
  CHECK(Entries == 2);
  // A follower that lost the entry says so, and gets it again.
  F.Out.clear();
  wire::AppendReply Lost;
  Lost.Term = F.Subject.term();
  Lost.FromDisk = 2;
  Lost.Success = false;
  Lost.MatchIndex = 2;
  Lost.Round = 1000;
  F.Subject.receive(Lost, F.Now, F.Out);
  REQUIRE(F.sent<wire::AppendRequest>().size() == 1);
  CHECK(F.sent<wire::AppendRequest>()[0].Entries.size() == 1);
  CHECK(F.sent<wire::AppendRequest>()[0].PrevIndex == 2);
}

TEST_CASE("a learner that the leader knows of renews its request only there") {
  Consensus Learner{replica("c4", 4), {{"c2", "c2:1"}, {"c3", "c3:1"}}, {}, 1};
  Time Now = Start;
  Learner.restore(DurableState(), Now);
  const auto Requests = [&](milliseconds Span, bool Heartbeats) {
    std::map<std::string, int> Sent;
    for (const Time End = Now + Span; Now < End;) {
      Now += milliseconds(20);
      Effects Out;
      if (Heartbeats) {
        wire::AppendRequest Heartbeat;
        Heartbeat.Term = 2;
        Heartbeat.Leader = replica("c2", 2);
        Heartbeat.ToDisk = 4;
        Learner.receive(Heartbeat, "path", Now, Out);
      }
      Learner.tick(Now, Out);
      for (const Effect &Item : Out) {
        const auto *Message = std::get_if<SendMessage>(&Item);
        if (Message != nullptr &&
            std::holds_alternative<wire::JoinRequest>(Message->Body))
          Sent[Message->Address] += 1;
      }
    }
    return Sent;
  };
  auto Searching = Requests(milliseconds(3000), false);
  CHECK(Searching["c2:1"] >= 9);
  CHECK(Searching["c3:1"] >= 9);
  auto Known = Requests(milliseconds(10'000), true);
  CHECK(Known["c2:1"] >= 4);
  CHECK(Known["c2:1"] <= 9);
  CHECK(Known["c3:1"] == 0);
}

TEST_CASE("a follower that lost stored entries is sent them again") {
  // Its last append was damaged and cut while the leader went on.
  Fixture F(1, {1, 1, 1});
  F.lead();
  F.acknowledge(3, 5);
  F.acknowledge(2, 5);
  wire::AppendReply Lost;
  Lost.Term = F.Subject.term();
  Lost.FromDisk = 2;
  Lost.MatchIndex = 4;
  F.tickFor(milliseconds(200));
  for (const auto &Request : F.sent<wire::AppendRequest>())
    Lost.Round = std::max(Lost.Round, Request.Round);
  F.Out.clear();
  F.Subject.receive(Lost, F.Now, F.Out);
  F.tickFor(milliseconds(200));
  bool SentAgain = false;
  for (const auto &Request : F.sent<wire::AppendRequest>())
    SentAgain = SentAgain || (Request.ToDisk == 2 && Request.PrevIndex == 4 &&
                              !Request.Entries.empty() &&
                              Request.Entries.front().Index == 5);
  CHECK(SentAgain);
}

TEST_CASE("a refusal that an acknowledgement overtook sets nothing back") {
  Fixture F(1, {1, 1, 1});
  F.lead();
  F.tickFor(milliseconds(200));
  std::int64_t Newest = 0;
  for (const auto &Request : F.sent<wire::AppendRequest>())
    Newest = std::max(Newest, Request.Round);
  REQUIRE(Newest > 1);
  wire::AppendReply Reply;
  Reply.Term = F.Subject.term();
  Reply.FromDisk = 2;
  Reply.Success = true;
  Reply.MatchIndex = 5;
  Reply.Round = Newest;
  F.Subject.receive(Reply, F.Now, F.Out);
  CHECK(F.Subject.commitIndex() == 5);
  Reply.Success = false;
  Reply.MatchIndex = 3;
  Reply.Round = Newest - 1;
  F.Out.clear();
  F.Subject.receive(Reply, F.Now, F.Out);
  F.tickFor(milliseconds(200));
  for (const auto &Request : F.sent<wire::AppendRequest>())
    CHECK((Request.ToDisk != 2 || Request.PrevIndex == 5));
  CHECK(F.Subject.commitIndex() == 5);
}

// Guards against a new disk that stays empty because the control instances that
// it knows of do not lead.
TEST_CASE("a follower passes a join request on to the leader") {
  Fixture F(4);
  wire::AppendRequest Heartbeat;
  Heartbeat.Term = 4;
  Heartbeat.Leader = Voters[1];
  Heartbeat.ToDisk = 1;
  F.Subject.receive(Heartbeat, "c2:1", F.Now, F.Out);
  wire::JoinRequest Request;
  Request.Joiner = replica("c4", 4);
  F.Out.clear();
  F.Subject.receive(Request, F.Now, F.Out);
  REQUIRE(F.Out.size() == 1);
  const auto *Sent = std::get_if<SendMessage>(&F.Out[0]);
  REQUIRE(Sent != nullptr);
  CHECK(Sent->Address == "c2:1");
  CHECK(F.sent<wire::JoinRequest>()[0].Joiner.DiskId == 4);
}

// Guards against a new disk that waits for its membership table while the
// leader sends entries to its predecessor.
TEST_CASE("a new disk asks the leader that sends to its predecessor") {
  Consensus Subject(replica("c1", 11), {}, {}, 1);
  Subject.restore({}, Start);
  Effects Out;
  wire::AppendRequest ToPredecessor;
  ToPredecessor.Term = 4;
  ToPredecessor.Leader = Voters[1];
  ToPredecessor.ToDisk = 1;
  Subject.receive(ToPredecessor, "path", Start, Out);
  for (Time Now = Start; Now < Start + milliseconds(400);
       Now += milliseconds(20))
    Subject.tick(Now, Out);
  std::size_t Asked = 0;
  for (const Effect &Item : Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    Asked += Sent != nullptr && Sent->Address == "c2:1" &&
             std::holds_alternative<wire::JoinRequest>(Sent->Body);
  }
  CHECK(Asked >= 1);
  CHECK(Asked <= 2);
}
