#include "consensus.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr milliseconds HeartbeatInterval{100};
/// Longer than a small instance takes to parse and validate 2,000 routes; the
/// leader sends no heartbeats meanwhile.
constexpr milliseconds ElectionTimeoutMin{900};
constexpr milliseconds ElectionTimeoutMax{1500};
/// Shorter after a restart, since all instances may have stopped at once and
/// left no leader. The pre-vote prevents a replica that restarts alone from
/// disrupting an active leader.
constexpr milliseconds RestartElectionTimeoutMin{50};
constexpr milliseconds RestartElectionTimeoutMax{300};
constexpr milliseconds SilenceTimeout{1200};
/// A longer interval between two ticks means that this process was delayed by
/// its own work, disk I/O or CPU contention. Messages that arrived meanwhile
/// are read only after the tick.
constexpr milliseconds OwnPauseMin{100};
constexpr milliseconds JoinInterval{300};
constexpr milliseconds LearnerTimeout{5000};
/// Longer than a restart takes; a voter that returns later has to join again.
constexpr milliseconds VoterGoneTimeout{3000};
constexpr milliseconds SnapshotResendInterval{2000};
constexpr std::size_t EntriesPerMessage = 128;

} // namespace

Consensus::Consensus(wire::Replica Self, std::vector<ControlPeer> Peers,
                     VoterPolicy ThePolicy, std::uint64_t Seed)
    : Self(std::move(Self)), Peers(std::move(Peers)), Policy(ThePolicy),
      Rng(Seed) {}

void Consensus::restore(const DurableState &State, Time Now) {
  this->Hard = State.Hard;
  this->LatestSnapshot = State.Snapshot;
  this->Log.restore(State.Snapshot);
  this->Log.append(State.Entries);
  this->Commit = State.Snapshot.LastIndex;
  this->HandedOut = this->Commit;
  this->NextJoin = Now;
  this->LeaderHeardUntil = Now;
  this->ElectionDeadline = Now + this->Rng.between(RestartElectionTimeoutMin,
                                                   RestartElectionTimeoutMax);
}

void Consensus::form(Time Now, Effects &Out) {
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = {this->Self};
  Entry.Index = 1;
  Entry.Term = 1;
  this->Hard.Term = 1;
  this->Hard.VotedFor = this->Self.DiskId;
  Out.emplace_back(PersistHardState{this->Hard});
  this->appendLocally({Entry}, Out);
  this->becomeLeader(Now, Out);
}

void Consensus::found(std::vector<wire::Replica> Founders, Time Now,
                      Effects &Out) {
  const bool Founder = std::any_of(Founders.begin(), Founders.end(),
                                   [&](const wire::Replica &Item) {
                                     return Item.DiskId == this->Self.DiskId;
                                   });
  // A crash between the two writes below leaves term 1 and an empty log; the
  // call is then repeated.
  const bool Blank = this->Hard.Term <= 1 && this->Hard.VotedFor == 0 &&
                     this->Log.lastIndex() == 0;
  if (!Founder || !Blank)
    return;
  this->Hard.Term = 1;
  Out.emplace_back(PersistHardState{this->Hard});
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = std::move(Founders);
  Entry.Index = 1;
  Entry.Term = 1;
  this->appendLocally({std::move(Entry)}, Out);
  this->resetElection(Now);
}

void Consensus::recover(std::int64_t VersionBase, Time Now, Effects &Out) {
  this->stepDown(this->Hard.Term + 1, Now, Out);
  this->Hard.VotedFor = this->Self.DiskId;
  Out.emplace_back(PersistHardState{this->Hard});
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = {this->Self};
  Entry.VersionBase = VersionBase;
  Entry.Index = this->Log.lastIndex() + 1;
  Entry.Term = this->Hard.Term;
  this->appendLocally({Entry}, Out);
  this->becomeLeader(Now, Out);
}

bool Consensus::isVoter(std::int64_t DiskId) const {
  const auto &Voters = this->Log.voters();
  return std::any_of(
      Voters.begin(), Voters.end(),
      [&](const wire::Replica &Voter) { return Voter.DiskId == DiskId; });
}

bool Consensus::upToDate(const wire::VoteRequest &Request) const {
  if (Request.LastTerm != this->Log.lastTerm())
    return Request.LastTerm > this->Log.lastTerm();
  return Request.LastIndex >= this->Log.lastIndex();
}

void Consensus::resetElection(Time Now) {
  this->ElectionDeadline =
      Now + this->Rng.between(ElectionTimeoutMin, ElectionTimeoutMax);
}

void Consensus::stepDown(std::int64_t Term, Time Now, Effects &Out) {
  if (Term > this->Hard.Term) {
    this->Hard.Term = Term;
    this->Hard.VotedFor = 0;
    Out.emplace_back(PersistHardState{this->Hard});
  }
  if (this->CurrentRole != Role::Follower)
    this->resetElection(Now);
  this->CurrentRole = Role::Follower;
  this->CurrentLeader.reset();
  this->Followers.clear();
  this->Votes.clear();
}

void Consensus::appendLocally(std::vector<wire::LogEntry> Entries,
                              Effects &Out) {
  this->Log.append(Entries);
  Out.emplace_back(PersistEntries{std::move(Entries)});
}

void Consensus::excuseOwnPause(Time Now) {
  const auto Pause = Now - this->LastTick;
  const bool Paused = this->LastTick != Time() && Pause > OwnPauseMin;
  this->LastTick = Now;
  if (!Paused)
    return;
  this->ElectionDeadline += Pause;
  for (auto &[DiskId, Item] : this->Followers) {
    Item.HeardUntil += Pause;
    Item.SilentAt += Pause;
  }
}

void Consensus::tick(Time Now, Effects &Out) {
  this->excuseOwnPause(Now);
  if (this->CurrentRole == Role::Leader) {
    this->leaderTick(Now, Out);
    return;
  }
  if (Now >= this->ElectionDeadline)
    this->CurrentLeader.reset();
  if (!this->isVoter(this->Self.DiskId)) {
    this->sendJoin(Now, Out);
    return;
  }
  if (Now < this->ElectionDeadline)
    return;
  // The other voters may have removed this replica without it having received
  // the entry.
  this->sendJoin(Now, Out);
  this->startPreVote(Now, Out);
}

void Consensus::sendJoin(Time Now, Effects &Out) {
  if (Now < this->NextJoin)
    return;
  this->NextJoin = Now + JoinInterval;
  wire::JoinRequest Request;
  Request.Joiner = this->Self;
  std::set<std::string_view> Asked = {this->Self.Address};
  for (const ControlPeer &Peer : this->Peers) {
    if (Asked.insert(Peer.Address).second)
      send(Out, Peer.Address, Request, Channel::Datagram);
  }
  for (const std::string &Address : this->JoinAddresses) {
    if (Asked.insert(Address).second)
      send(Out, Address, Request, Channel::Datagram);
  }
}

void Consensus::startPreVote(Time Now, Effects &Out) {
  this->CurrentRole = Role::PreCandidate;
  this->CurrentLeader.reset();
  this->Votes = {this->Self.DiskId};
  this->resetElection(Now);
  if (this->Votes.size() >= this->quorum()) {
    this->startElection(Now, Out);
    return;
  }
  this->askForVotes(true, Out);
}

void Consensus::startElection(Time Now, Effects &Out) {
  this->CurrentRole = Role::Candidate;
  this->Hard.Term += 1;
  this->Hard.VotedFor = this->Self.DiskId;
  Out.emplace_back(PersistHardState{this->Hard});
  this->Votes = {this->Self.DiskId};
  this->resetElection(Now);
  if (this->Votes.size() >= this->quorum()) {
    this->becomeLeader(Now, Out);
    return;
  }
  this->askForVotes(false, Out);
}

void Consensus::askForVotes(bool PreVote, Effects &Out) {
  wire::VoteRequest Request;
  Request.Term = PreVote ? this->Hard.Term + 1 : this->Hard.Term;
  Request.Candidate = this->Self;
  Request.LastIndex = this->Log.lastIndex();
  Request.LastTerm = this->Log.lastTerm();
  Request.PreVote = PreVote;
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId)
      continue;
    Request.ToDisk = Voter.DiskId;
    send(Out, Voter.Address, Request, Channel::Datagram);
  }
}

void Consensus::receive(const wire::VoteRequest &Request, std::string_view From,
                        Time Now, Effects &Out) {
  if (Request.ToDisk != this->Self.DiskId)
    return;
  wire::VoteReply Reply;
  Reply.FromDisk = this->Self.DiskId;
  Reply.PreVote = Request.PreVote;
  const bool LeaderAlive = this->leader() ? this->heardFromQuorum(Now)
                                          : Now < this->LeaderHeardUntil;
  if (Request.PreVote) {
    Reply.Granted = !LeaderAlive && Request.Term > this->Hard.Term &&
                    this->upToDate(Request);
    Reply.Term = Reply.Granted ? Request.Term : this->Hard.Term;
    send(Out, From, Reply, Channel::Datagram);
    return;
  }
  if (LeaderAlive && Request.Term > this->Hard.Term) {
    // A candidate that skipped the pre-vote must not disrupt an active leader.
    return;
  }
  if (Request.Term > this->Hard.Term)
    this->stepDown(Request.Term, Now, Out);
  const bool Free = this->Hard.VotedFor == 0 ||
                    this->Hard.VotedFor == Request.Candidate.DiskId;
  Reply.Granted = Request.Term == this->Hard.Term && Free &&
                  this->CurrentRole == Role::Follower &&
                  this->upToDate(Request);
  Reply.Term = this->Hard.Term;
  if (Reply.Granted) {
    this->Hard.VotedFor = Request.Candidate.DiskId;
    Out.emplace_back(PersistHardState{this->Hard});
    this->resetElection(Now);
  }
  send(Out, From, Reply, Channel::Datagram);
}

void Consensus::receive(const wire::VoteReply &Reply, Time Now, Effects &Out) {
  if (!Reply.Granted) {
    if (Reply.Term > this->Hard.Term)
      this->stepDown(Reply.Term, Now, Out);
    return;
  }
  if (!this->isVoter(Reply.FromDisk))
    return;
  if (Reply.PreVote) {
    if (this->CurrentRole != Role::PreCandidate ||
        Reply.Term != this->Hard.Term + 1)
      return;
    this->Votes.insert(Reply.FromDisk);
    if (this->Votes.size() >= this->quorum())
      this->startElection(Now, Out);
    return;
  }
  if (this->CurrentRole != Role::Candidate || Reply.Term != this->Hard.Term)
    return;
  this->Votes.insert(Reply.FromDisk);
  if (this->Votes.size() >= this->quorum())
    this->becomeLeader(Now, Out);
}

void Consensus::follow(const wire::Replica &Leader, std::int64_t Term, Time Now,
                       Effects &Out) {
  if (Term > this->Hard.Term || this->CurrentRole != Role::Follower)
    this->stepDown(Term, Now, Out);
  this->CurrentLeader = Leader;
  this->LeaderHeardUntil = Now + ElectionTimeoutMin;
  this->resetElection(Now);
}

void Consensus::sendAppendReply(std::string_view To, bool Success,
                                std::int64_t AckedRound, std::int64_t Match,
                                Effects &Out) {
  wire::AppendReply Reply;
  Reply.Term = this->Hard.Term;
  Reply.FromDisk = this->Self.DiskId;
  Reply.Success = Success;
  Reply.MatchIndex = Match;
  Reply.Round = AckedRound;
  send(Out, To, Reply);
}

void Consensus::receive(const wire::AppendRequest &Request,
                        std::string_view From, Time Now, Effects &Out) {
  if (Request.ToDisk != this->Self.DiskId)
    return;
  if (Request.Term < this->Hard.Term) {
    this->sendAppendReply(From, false, 0, 0, Out);
    return;
  }
  this->follow(Request.Leader, Request.Term, Now, Out);
  const bool BehindSnapshot = Request.PrevIndex < this->Log.firstIndex() - 1;
  const bool Matches = BehindSnapshot || (this->Log.knows(Request.PrevIndex) &&
                                          this->Log.termAt(Request.PrevIndex) ==
                                              Request.PrevTerm);
  if (!Matches) {
    const std::int64_t Hint =
        std::min(this->Log.lastIndex(), Request.PrevIndex - 1);
    this->sendAppendReply(From, false, Request.Round, Hint, Out);
    return;
  }
  std::vector<wire::LogEntry> Fresh;
  for (const wire::LogEntry &Entry : Request.Entries) {
    const bool Held = Entry.Index < this->Log.firstIndex() ||
                      (this->Log.knows(Entry.Index) &&
                       this->Log.termAt(Entry.Index) == Entry.Term);
    if (!Held || !Fresh.empty())
      Fresh.push_back(Entry);
  }
  if (!Fresh.empty())
    this->appendLocally(std::move(Fresh), Out);
  const std::int64_t Match =
      Request.PrevIndex + static_cast<std::int64_t>(Request.Entries.size());
  this->Commit = std::max(this->Commit, std::min(Request.Commit, Match));
  this->sendAppendReply(From, true, Request.Round, Match, Out);
}

bool Consensus::accepts(const wire::InstallRequest &Request,
                        std::string_view From, Time Now, Effects &Out) {
  if (Request.ToDisk != this->Self.DiskId)
    return false;
  if (Request.Term < this->Hard.Term) {
    this->sendAppendReply(From, false, 0, 0, Out);
    return false;
  }
  this->follow(Request.Leader, Request.Term, Now, Out);
  if (Request.Snapshot.LastIndex > this->Commit)
    return true;
  this->sendAppendReply(From, true, Request.Round, Request.Snapshot.LastIndex,
                        Out);
  return false;
}

void Consensus::install(const wire::InstallRequest &Request,
                        std::string_view From, Effects &Out) {
  this->LatestSnapshot = Request.Snapshot;
  this->Log.restore(Request.Snapshot);
  this->Commit = Request.Snapshot.LastIndex;
  this->HandedOut = this->Commit;
  Out.emplace_back(PersistSnapshot{Request.Snapshot});
  this->sendAppendReply(From, true, Request.Round, Request.Snapshot.LastIndex,
                        Out);
}

void Consensus::setSnapshot(wire::StoreSnapshot Snapshot) {
  this->LatestSnapshot = std::move(Snapshot);
}

void Consensus::becomeLeader(Time Now, Effects &Out) {
  this->CurrentRole = Role::Leader;
  this->CurrentLeader = this->Self;
  this->Followers.clear();
  this->LeadershipUntil = Now + ElectionTimeoutMax;
  this->adoptVoters(Now);
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Noop;
  this->TermStart = this->Log.lastIndex() + 1;
  this->propose(Entry, Now, Out);
}

void Consensus::adoptVoters(Time Now) {
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId)
      continue;
    if (this->Followers.count(Voter.DiskId) != 0)
      continue;
    Progress Fresh;
    Fresh.Who = Voter;
    Fresh.Next = this->Log.lastIndex() + 1;
    Fresh.HeardUntil = Now + ElectionTimeoutMax;
    Fresh.SilentAt = Now + SilenceTimeout;
    this->Followers.emplace(Voter.DiskId, Fresh);
  }
}

std::int64_t Consensus::propose(wire::LogEntry Entry, Time Now, Effects &Out) {
  Entry.Index = this->Log.lastIndex() + 1;
  Entry.Term = this->Hard.Term;
  const std::int64_t Index = Entry.Index;
  this->appendLocally({std::move(Entry)}, Out);
  this->adoptVoters(Now);
  this->advanceCommit();
  this->broadcast(Now, Out);
  return Index;
}

void Consensus::broadcast(Time Now, Effects &Out) {
  this->NextHeartbeat = Now + HeartbeatInterval;
  this->Round += 1;
  for (auto &[DiskId, To] : this->Followers)
    this->replicate(To, Now, Out);
}

void Consensus::replicate(Progress &To, Time Now, Effects &Out) {
  if (Now >= To.SilentAt) {
    Out.emplace_back(RenewConnection{To.Who.Address, "follower-silent",
                                     To.SilentAt - SilenceTimeout});
    To.SilentAt = Now + SilenceTimeout;
    To.SnapshotResend = Now;
  }
  const bool Behind = !this->Log.knows(To.Next - 1);
  if (Behind && Now >= To.SnapshotResend) {
    To.SnapshotResend = Now + SnapshotResendInterval;
    wire::InstallRequest Request;
    Request.Term = this->Hard.Term;
    Request.Leader = this->Self;
    Request.Snapshot = this->LatestSnapshot;
    Request.Round = this->Round;
    Request.ToDisk = To.Who.DiskId;
    send(Out, To.Who.Address, std::move(Request));
    return;
  }
  wire::AppendRequest Request;
  Request.Term = this->Hard.Term;
  Request.Leader = this->Self;
  // While a snapshot is being transferred, empty requests serve as heartbeats.
  Request.PrevIndex = Behind ? this->Log.lastIndex() : To.Next - 1;
  Request.PrevTerm = this->Log.termAt(Request.PrevIndex);
  if (!Behind)
    Request.Entries = this->Log.slice(To.Next, EntriesPerMessage);
  Request.Commit = this->Commit;
  Request.Round = this->Round;
  Request.ToDisk = To.Who.DiskId;
  send(Out, To.Who.Address, std::move(Request));
}

void Consensus::receive(const wire::AppendReply &Reply, Time Now,
                        Effects &Out) {
  if (Reply.Term > this->Hard.Term) {
    this->stepDown(Reply.Term, Now, Out);
    return;
  }
  if (!this->leader() || Reply.Term != this->Hard.Term)
    return;
  const auto Found = this->Followers.find(Reply.FromDisk);
  if (Found == this->Followers.end())
    return;
  Progress &From = Found->second;
  From.HeardUntil = Now + ElectionTimeoutMax;
  From.SilentAt = Now + SilenceTimeout;
  From.Round = std::max(From.Round, Reply.Round);
  if (!Reply.Success) {
    From.Next = std::clamp<std::int64_t>(Reply.MatchIndex + 1, From.Match + 1,
                                         this->Log.lastIndex() + 1);
    if (this->Log.knows(From.Next - 1) || Now >= From.SnapshotResend)
      this->replicate(From, Now, Out);
    return;
  }
  From.Match = std::max(From.Match, Reply.MatchIndex);
  From.Next = std::max(From.Next, From.Match + 1);
  const std::int64_t Before = this->Commit;
  this->advanceCommit();
  if (this->Commit > Before) {
    // Sends the new commit index at once, so that followers apply the entries
    // without waiting for the next heartbeat.
    this->broadcast(Now, Out);
    return;
  }
  if (From.Next <= this->Log.lastIndex())
    this->replicate(From, Now, Out);
}

void Consensus::advanceCommit() {
  std::vector<std::int64_t> Matches;
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId) {
      Matches.push_back(this->Log.lastIndex());
      continue;
    }
    const auto Found = this->Followers.find(Voter.DiskId);
    Matches.push_back(Found == this->Followers.end() ? 0 : Found->second.Match);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const std::int64_t Agreed = Matches[this->quorum() - 1];
  // Only entries of the current term may be committed by counting replicas
  // (Raft, section 5.4.2).
  if (Agreed > this->Commit && this->Log.termAt(Agreed) == this->Hard.Term)
    this->Commit = Agreed;
}

bool Consensus::heardFromQuorum(Time Now) const {
  std::size_t Heard = 0;
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId) {
      ++Heard;
      continue;
    }
    const auto Found = this->Followers.find(Voter.DiskId);
    if (Found != this->Followers.end() && Now < Found->second.HeardUntil)
      ++Heard;
  }
  return Heard >= this->quorum();
}

void Consensus::leaderTick(Time Now, Effects &Out) {
  if (!this->heardFromQuorum(Now)) {
    Out.emplace_back(LogWarning{"event=leader-stepped-down reason=no-quorum"});
    this->stepDown(this->Hard.Term, Now, Out);
    return;
  }
  if (!this->isVoter(this->Self.DiskId) &&
      this->Commit >= this->Log.votersIndex()) {
    this->stepDown(this->Hard.Term, Now, Out);
    return;
  }
  this->changeVoters(Now, Out);
  if (this->leader() && Now >= this->NextHeartbeat)
    this->broadcast(Now, Out);
}

void Consensus::receive(const wire::JoinRequest &Request, Time Now,
                        Effects &Out) {
  if (!this->leader() || this->isVoter(Request.Joiner.DiskId))
    return;
  const bool Expected =
      this->Policy.open() ||
      std::any_of(this->Peers.begin(), this->Peers.end(),
                  [&](const ControlPeer &Peer) {
                    return Peer.Instance == Request.Joiner.Instance;
                  });
  if (!Expected) {
    Out.emplace_back(
        LogWarning{"event=join-refused instance=" + Request.Joiner.Instance +
                   " reason=not-in-settings"});
    return;
  }
  Progress &Learner = this->Followers[Request.Joiner.DiskId];
  if (Learner.Who.DiskId == 0) {
    Learner.Who = Request.Joiner;
    Learner.Next = 1;
    Learner.SilentAt = Now + SilenceTimeout;
    this->replicate(Learner, Now, Out);
  }
  Learner.HeardUntil = Now + LearnerTimeout;
}

void Consensus::changeVoters(Time Now, Effects &Out) {
  std::erase_if(this->Followers, [&](const auto &Item) {
    return !this->isVoter(Item.first) && Now >= Item.second.HeardUntil;
  });
  if (!this->ready() || this->Commit < this->Log.votersIndex())
    return;
  if (!this->removeVoter(Now, Out))
    this->addVoter(Now, Out);
}

bool Consensus::gone(const wire::Replica &Voter, Time Now) const {
  const auto Found = this->Followers.find(Voter.DiskId);
  return Found != this->Followers.end() &&
         Now >= Found->second.HeardUntil + VoterGoneTimeout;
}

bool Consensus::removeVoter(Time Now, Effects &Out) {
  const std::vector<wire::Replica> &Voters = this->Log.voters();
  const bool TooMany =
      this->Policy.open() && Voters.size() > this->Policy.Count;
  // A replaced replica is removed only after its successor has become a voter,
  // which the voter list shows by an entry with the same instance after it.
  for (auto Old = Voters.begin(); Old != Voters.end(); ++Old) {
    const bool Replaced =
        std::any_of(Old + 1, Voters.end(), [&](const wire::Replica &Newer) {
          return Newer.Instance == Old->Instance;
        });
    if (!Replaced && !(TooMany && this->gone(*Old, Now)))
      continue;
    Out.emplace_back(
        LogWarning{"event=replica-removed instance=" + Old->Instance +
                   " disk=" + std::to_string(Old->DiskId) +
                   " reason=" + (Replaced ? "replaced" : "gone")});
    wire::LogEntry Entry;
    Entry.Kind = wire::EntryKind::Voters;
    Entry.Voters = Voters;
    Entry.Voters.erase(Entry.Voters.begin() + (Old - Voters.begin()));
    this->propose(std::move(Entry), Now, Out);
    return true;
  }
  return false;
}

bool Consensus::mayVote(const wire::Replica &Learner, Time Now) const {
  const std::vector<wire::Replica> &Voters = this->Log.voters();
  if (!this->Policy.open() || Voters.size() < this->Policy.Count)
    return true;
  if (Voters.size() > this->Policy.Count)
    return false;
  return std::any_of(
      Voters.begin(), Voters.end(), [&](const wire::Replica &Voter) {
        return Voter.Instance == Learner.Instance || this->gone(Voter, Now);
      });
}

void Consensus::addVoter(Time Now, Effects &Out) {
  for (const auto &[DiskId, Learner] : this->Followers) {
    if (this->isVoter(DiskId) || Learner.Match < this->Commit ||
        Now >= Learner.HeardUntil || !this->mayVote(Learner.Who, Now))
      continue;
    Out.emplace_back(
        LogWarning{"event=replica-added instance=" + Learner.Who.Instance +
                   " disk=" + std::to_string(DiskId)});
    wire::LogEntry Entry;
    Entry.Kind = wire::EntryKind::Voters;
    Entry.Voters = this->Log.voters();
    Entry.Voters.push_back(Learner.Who);
    this->propose(std::move(Entry), Now, Out);
    return;
  }
}

std::vector<wire::LogEntry> Consensus::takeCommitted() {
  std::vector<wire::LogEntry> Out;
  while (this->HandedOut < this->Commit) {
    this->HandedOut += 1;
    Out.push_back(this->Log.at(this->HandedOut));
  }
  return Out;
}

bool Consensus::ready() const {
  return this->leader() && this->Commit >= this->TermStart;
}

std::int64_t Consensus::confirmLeadership(Time Now, Effects &Out) {
  this->broadcast(Now, Out);
  return this->Round;
}

std::int64_t Consensus::confirmedRound() const {
  std::vector<std::int64_t> Rounds;
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId) {
      Rounds.push_back(this->Round);
      continue;
    }
    const auto Found = this->Followers.find(Voter.DiskId);
    Rounds.push_back(Found == this->Followers.end() ? 0 : Found->second.Round);
  }
  if (Rounds.empty())
    return 0;
  std::sort(Rounds.begin(), Rounds.end(), std::greater<>());
  return Rounds[this->quorum() - 1];
}

std::string Consensus::leaderAddress() const {
  return this->CurrentLeader ? this->CurrentLeader->Address : std::string();
}

} // namespace persimmon
