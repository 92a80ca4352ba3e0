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
constexpr milliseconds ReplyTimeout{1200};
/// A longer interval between two ticks means that this process was delayed by
/// its own work, disk I/O or CPU contention. Messages that arrived meanwhile
/// are read only after the tick.
constexpr milliseconds PauseThreshold{100};
constexpr milliseconds JoinInterval{300};
/// Interval of the lines about a state that lasts.
constexpr milliseconds StateLogInterval{5000};
constexpr milliseconds LossesLogInterval{1000};
/// An exchange of voters that takes longer is logged.
constexpr milliseconds ExchangeLogDelay{1000};
constexpr milliseconds LearnerTimeout{5000};
/// A quarter of the learner timeout, so that lost datagrams are made up for.
constexpr milliseconds JoinRenewalInterval{1250};
/// Counted from a voter's last answer. Longer than a restart takes; a voter
/// that returns later has to join again.
constexpr milliseconds UnresponsiveVoterTimeout{4500};
constexpr milliseconds SnapshotResendInterval{2000};
constexpr std::size_t EntriesPerMessage = 128;
/// A larger message would delay the heartbeats behind it on a slow link.
constexpr std::size_t BytesPerMessage = 1u << 20;

/// Returns the instances and disk ids of \p Voters, for the log.
std::string describeVoters(std::span<const wire::Replica> Voters) {
  std::string Out;
  for (const wire::Replica &Voter : Voters)
    Out += (Out.empty() ? "" : ",") + Voter.Instance + "/" +
           std::to_string(Voter.DiskId);
  return Out;
}

/// Returns the ids of \p Disks, for the log.
std::string describeDisks(const std::set<std::int64_t> &Disks) {
  std::string Out;
  for (const std::int64_t DiskId : Disks)
    Out += (Out.empty() ? "" : ",") + std::to_string(DiskId);
  return Out;
}

} // namespace

Consensus::Consensus(wire::Replica Self, std::vector<ControlPeer> Peers,
                     VoterPolicy ThePolicy, std::uint64_t Seed)
    : Self(std::move(Self)), Peers(std::move(Peers)), Policy(ThePolicy),
      Rng(Seed) {}

void Consensus::restore(const DurableState &State, Time Now) {
  this->HardState = State.HardState;
  this->LatestSnapshot = State.Snapshot;
  this->Log.restore(State.Snapshot);
  this->Log.append(State.Entries);
  this->CommitIndex = State.Snapshot.LastIndex;
  this->DeliveredIndex = this->CommitIndex;
  this->NextJoin = Now;
  this->LeaderActiveUntil = Now;
  this->ElectionDeadline = Now + this->Rng.between(RestartElectionTimeoutMin,
                                                   RestartElectionTimeoutMax);
}

void Consensus::form(Time Now, Effects &Out) {
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = {this->Self};
  Entry.Index = 1;
  Entry.Term = 1;
  this->HardState.Term = 1;
  this->HardState.VotedFor = this->Self.DiskId;
  Out.emplace_back(PersistHardState{this->HardState});
  this->appendLocally({Entry}, Out);
  this->becomeLeader(Now, Out);
}

void Consensus::bootstrap(std::vector<wire::Replica> InitialVoters, Time Now,
                          Effects &Out) {
  const bool IsInitialVoter =
      std::any_of(InitialVoters.begin(), InitialVoters.end(),
                  [&](const wire::Replica &Item) {
                    return Item.DiskId == this->Self.DiskId;
                  });
  // A crash between the two writes below leaves term 1 and an empty log; the
  // call is then repeated.
  const bool HasNoState = this->HardState.Term <= 1 &&
                          this->HardState.VotedFor == 0 &&
                          this->Log.lastIndex() == 0;
  if (!IsInitialVoter || !HasNoState)
    return;
  this->HardState.Term = 1;
  Out.emplace_back(PersistHardState{this->HardState});
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = std::move(InitialVoters);
  Entry.Index = 1;
  Entry.Term = 1;
  Out.emplace_back(
      LogDecision{"event=bootstrapped voters=" + describeVoters(Entry.Voters)});
  this->appendLocally({std::move(Entry)}, Out);
  this->resetElection(Now);
}

void Consensus::recover(std::int64_t VersionBase, Time Now, Effects &Out) {
  this->stepDown(this->HardState.Term + 1, Now, Out);
  this->HardState.VotedFor = this->Self.DiskId;
  Out.emplace_back(PersistHardState{this->HardState});
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = {this->Self};
  Entry.VersionBase = VersionBase;
  Entry.Index = this->Log.lastIndex() + 1;
  Entry.Term = this->HardState.Term;
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
  if (Term > this->HardState.Term) {
    this->HardState.Term = Term;
    this->HardState.VotedFor = 0;
    Out.emplace_back(PersistHardState{this->HardState});
  }
  if (this->leader())
    Out.emplace_back(
        LogDecision{"event=leader-ended term=" + std::to_string(Term) +
                    " lastIndex=" + std::to_string(this->Log.lastIndex()) +
                    " commitIndex=" + std::to_string(this->CommitIndex)});
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

void Consensus::extendTimeoutsAfterPause(Time Now) {
  const auto Pause = Now - this->LastTick;
  const bool Paused = this->LastTick != Time() && Pause > PauseThreshold;
  this->LastTick = Now;
  if (!Paused)
    return;
  this->ElectionDeadline += Pause;
  this->PreviousLeaderReplaceableAt += Pause;
  for (auto &[DiskId, Item] : this->Followers) {
    Item.ActiveUntil += Pause;
    Item.ReplaceableAt += Pause;
    Item.ReplyDeadline += Pause;
  }
}

void Consensus::tick(Time Now, Effects &Out) {
  this->extendTimeoutsAfterPause(Now);
  if (this->CurrentRole == Role::Leader) {
    this->leaderTick(Now, Out);
    return;
  }
  if (Now >= this->ElectionDeadline)
    this->CurrentLeader.reset();
  if (!this->isVoter(this->Self.DiskId)) {
    this->sendJoinRequests(Now, Out);
    return;
  }
  if (Now < this->ElectionDeadline)
    return;
  // The other voters may have removed this replica without it having received
  // the entry.
  this->sendJoinRequests(Now, Out);
  this->startPreVote(Now, Out);
}

void Consensus::logJoining(Time Now, Effects &Out) {
  if (Now < this->NextJoinLog)
    return;
  this->NextJoinLog = Now + StateLogInterval;
  Out.emplace_back(
      LogDecision{"event=joining disk=" + std::to_string(this->Self.DiskId) +
                  " voter=" + (this->voter() ? "yes" : "no") +
                  " term=" + std::to_string(this->HardState.Term) +
                  " lastIndex=" + std::to_string(this->Log.lastIndex()) +
                  " leader=" + this->leaderAddress() +
                  " count=" + std::to_string(this->Log.voters().size()) +
                  " needed=" + std::to_string(this->quorum()) +
                  " voters=" + describeVoters(this->Log.voters())});
}

void Consensus::logFailedElection(Time Now, Effects &Out) {
  const bool IsElection = this->CurrentRole == Role::PreCandidate ||
                          this->CurrentRole == Role::Candidate;
  if (!IsElection || Now < this->NextElectionLog)
    return;
  this->NextElectionLog = Now + StateLogInterval;
  std::set<std::int64_t> Silent;
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (this->Votes.count(Voter.DiskId) == 0 &&
        this->Refusals.count(Voter.DiskId) == 0)
      Silent.insert(Voter.DiskId);
  }
  Out.emplace_back(LogDecision{
      "event=election-failed phase=" +
      std::string(this->CurrentRole == Role::Candidate ? "vote" : "pre-vote") +
      " term=" + std::to_string(this->HardState.Term) +
      " lastIndex=" + std::to_string(this->Log.lastIndex()) +
      " lastTerm=" + std::to_string(this->Log.lastTerm()) +
      " count=" + std::to_string(this->Log.voters().size()) +
      " needed=" + std::to_string(this->quorum()) + " granted=" +
      describeDisks(this->Votes) + " refused=" + describeDisks(this->Refusals) +
      " silent=" + describeDisks(Silent)});
}

void Consensus::logRefusedVote(const wire::VoteRequest &Request,
                               std::string_view Reason, Time Now,
                               Effects &Out) {
  if (Now < this->NextRefusalLog)
    return;
  this->NextRefusalLog = Now + StateLogInterval;
  Out.emplace_back(
      LogDecision{"event=vote-refused candidate=" + Request.Candidate.Instance +
                  " reason=" + std::string(Reason) +
                  " preVote=" + (Request.PreVote ? "yes" : "no") +
                  " askedTerm=" + std::to_string(Request.Term) +
                  " askedLastIndex=" + std::to_string(Request.LastIndex) +
                  " term=" + std::to_string(this->HardState.Term) +
                  " lastIndex=" + std::to_string(this->Log.lastIndex())});
}

void Consensus::sendJoinRequests(Time Now, Effects &Out) {
  if (this->Leaving || Now < this->NextJoin)
    return;
  this->logJoining(Now, Out);
  wire::JoinRequest Request;
  Request.Joiner = this->Self;
  if (this->CurrentLeader) {
    // The leader already replicates to this learner, which only has to say that
    // it still exists.
    this->NextJoin = Now + JoinRenewalInterval;
    send(Out, this->CurrentLeader->Address, Request, Channel::Datagram);
    return;
  }
  this->NextJoin = Now + JoinInterval;
  std::set<std::string_view> Recipients = {this->Self.Address};
  for (const ControlPeer &Peer : this->Peers) {
    if (Recipients.insert(Peer.Address).second)
      send(Out, Peer.Address, Request, Channel::Datagram);
  }
  if (!this->LeaderOfPredecessor.empty() &&
      Recipients.insert(this->LeaderOfPredecessor).second)
    send(Out, this->LeaderOfPredecessor, Request, Channel::Datagram);
  for (const std::string &Address : this->JoinAddresses) {
    if (Recipients.insert(Address).second)
      send(Out, Address, Request, Channel::Datagram);
  }
}

void Consensus::startPreVote(Time Now, Effects &Out) {
  this->logFailedElection(Now, Out);
  this->Refusals.clear();
  this->CurrentRole = Role::PreCandidate;
  this->CurrentLeader.reset();
  this->Votes = {this->Self.DiskId};
  this->resetElection(Now);
  if (this->Votes.size() >= this->quorum()) {
    this->startElection(Now, Out);
    return;
  }
  this->requestVotes(true, Out);
}

void Consensus::startElection(Time Now, Effects &Out) {
  this->CurrentRole = Role::Candidate;
  this->HardState.Term += 1;
  this->HardState.VotedFor = this->Self.DiskId;
  Out.emplace_back(PersistHardState{this->HardState});
  this->Votes = {this->Self.DiskId};
  this->Refusals.clear();
  this->resetElection(Now);
  if (this->Votes.size() >= this->quorum()) {
    this->becomeLeader(Now, Out);
    return;
  }
  this->requestVotes(false, Out);
}

void Consensus::requestVotes(bool PreVote, Effects &Out) {
  wire::VoteRequest Request;
  Request.Term = PreVote ? this->HardState.Term + 1 : this->HardState.Term;
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
  const bool LeaderActive = this->leader() ? this->isQuorumActive(Now)
                                           : Now < this->LeaderActiveUntil;
  if (Request.PreVote) {
    Reply.Granted = !LeaderActive && Request.Term > this->HardState.Term &&
                    this->upToDate(Request);
    Reply.Term = Reply.Granted ? Request.Term : this->HardState.Term;
    if (!Reply.Granted)
      this->logRefusedVote(Request,
                           LeaderActive               ? "leader-active"
                           : !this->upToDate(Request) ? "older-log"
                                                      : "older-term",
                           Now, Out);
    send(Out, From, Reply, Channel::Datagram);
    return;
  }
  if (LeaderActive && Request.Term > this->HardState.Term) {
    // A candidate that skipped the pre-vote must not disrupt an active leader.
    this->logRefusedVote(Request, "leader-active", Now, Out);
    return;
  }
  if (Request.Term > this->HardState.Term)
    this->stepDown(Request.Term, Now, Out);
  const bool VoteAvailable =
      this->HardState.VotedFor == 0 ||
      this->HardState.VotedFor == Request.Candidate.DiskId;
  Reply.Granted = Request.Term == this->HardState.Term && VoteAvailable &&
                  this->CurrentRole == Role::Follower &&
                  this->upToDate(Request);
  Reply.Term = this->HardState.Term;
  if (Reply.Granted) {
    this->HardState.VotedFor = Request.Candidate.DiskId;
    Out.emplace_back(PersistHardState{this->HardState});
    this->resetElection(Now);
  } else {
    this->logRefusedVote(Request,
                         Request.Term < this->HardState.Term ? "older-term"
                         : !this->upToDate(Request)          ? "older-log"
                         : !VoteAvailable                    ? "vote-given"
                                                             : "not-follower",
                         Now, Out);
  }
  send(Out, From, Reply, Channel::Datagram);
}

void Consensus::receive(const wire::VoteReply &Reply, Time Now, Effects &Out) {
  if (!Reply.Granted) {
    if (Reply.Term > this->HardState.Term)
      this->stepDown(Reply.Term, Now, Out);
    this->Refusals.insert(Reply.FromDisk);
    return;
  }
  if (!this->isVoter(Reply.FromDisk))
    return;
  if (Reply.PreVote) {
    if (this->CurrentRole != Role::PreCandidate ||
        Reply.Term != this->HardState.Term + 1)
      return;
    this->Votes.insert(Reply.FromDisk);
    if (this->Votes.size() >= this->quorum())
      this->startElection(Now, Out);
    return;
  }
  if (this->CurrentRole != Role::Candidate ||
      Reply.Term != this->HardState.Term)
    return;
  this->Votes.insert(Reply.FromDisk);
  if (this->Votes.size() >= this->quorum())
    this->becomeLeader(Now, Out);
}

void Consensus::follow(const wire::Replica &Leader, std::int64_t Term, Time Now,
                       Effects &Out) {
  if (Term > this->HardState.Term || this->CurrentRole != Role::Follower)
    this->stepDown(Term, Now, Out);
  if (!this->CurrentLeader || this->CurrentLeader->DiskId != Leader.DiskId)
    Out.emplace_back(
        LogDecision{"event=leader-followed leader=" + Leader.Instance +
                    " term=" + std::to_string(Term) +
                    " lastIndex=" + std::to_string(this->Log.lastIndex())});
  this->CurrentLeader = Leader;
  this->PreviousLeader = Leader.DiskId;
  this->PreviousLeaderReplaceableAt = Now + UnresponsiveVoterTimeout;
  this->LeaderActiveUntil = Now + ElectionTimeoutMin;
  this->resetElection(Now);
}

void Consensus::sendAppendReply(std::string_view To, bool Success,
                                std::int64_t AckedRound, std::int64_t Match,
                                Effects &Out) {
  wire::AppendReply Reply;
  Reply.Term = this->HardState.Term;
  Reply.FromDisk = this->Self.DiskId;
  Reply.Success = Success;
  Reply.MatchIndex = Match;
  Reply.Round = AckedRound;
  send(Out, To, Reply);
}

void Consensus::receive(const wire::AppendRequest &Request,
                        std::string_view From, Time Now, Effects &Out) {
  if (Request.ToDisk != this->Self.DiskId) {
    this->LeaderOfPredecessor = Request.Leader.Address;
    return;
  }
  if (Request.Term < this->HardState.Term) {
    this->sendAppendReply(From, false, 0, 0, Out);
    return;
  }
  this->follow(Request.Leader, Request.Term, Now, Out);
  const bool BehindSnapshot = Request.PrevIndex < this->Log.firstIndex() - 1;
  const bool Matches =
      BehindSnapshot ||
      (this->Log.hasTermAt(Request.PrevIndex) &&
       this->Log.termAt(Request.PrevIndex) == Request.PrevTerm);
  if (!Matches) {
    const std::int64_t Hint =
        std::min(this->Log.lastIndex(), Request.PrevIndex - 1);
    this->sendAppendReply(From, false, Request.Round, Hint, Out);
    return;
  }
  std::vector<wire::LogEntry> NewEntries;
  for (const wire::LogEntry &Entry : Request.Entries) {
    const bool AlreadyStored = Entry.Index < this->Log.firstIndex() ||
                               (this->Log.hasTermAt(Entry.Index) &&
                                this->Log.termAt(Entry.Index) == Entry.Term);
    if (!AlreadyStored || !NewEntries.empty())
      NewEntries.push_back(Entry);
  }
  if (!NewEntries.empty())
    this->appendLocally(std::move(NewEntries), Out);
  const std::int64_t Match =
      Request.PrevIndex + static_cast<std::int64_t>(Request.Entries.size());
  this->CommitIndex =
      std::max(this->CommitIndex, std::min(Request.Commit, Match));
  this->sendAppendReply(From, true, Request.Round, Match, Out);
}

bool Consensus::acceptsSnapshot(const wire::InstallRequest &Request,
                                std::string_view From, Time Now, Effects &Out) {
  if (Request.ToDisk != this->Self.DiskId) {
    this->LeaderOfPredecessor = Request.Leader.Address;
    return false;
  }
  if (Request.Term < this->HardState.Term) {
    this->sendAppendReply(From, false, 0, 0, Out);
    return false;
  }
  this->follow(Request.Leader, Request.Term, Now, Out);
  if (Request.Snapshot.LastIndex > this->CommitIndex)
    return true;
  this->sendAppendReply(From, true, Request.Round, Request.Snapshot.LastIndex,
                        Out);
  return false;
}

void Consensus::installSnapshot(const wire::InstallRequest &Request,
                                std::string_view From, Effects &Out) {
  this->LatestSnapshot = Request.Snapshot;
  this->Log.restore(Request.Snapshot);
  this->CommitIndex = Request.Snapshot.LastIndex;
  this->DeliveredIndex = this->CommitIndex;
  Out.emplace_back(
      LogDecision{"event=snapshot-installed index=" +
                  std::to_string(Request.Snapshot.LastIndex) +
                  " term=" + std::to_string(Request.Snapshot.LastTerm) +
                  " voters=" + describeVoters(this->Log.voters())});
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
  Out.emplace_back(LogDecision{
      "event=leader-started term=" + std::to_string(this->HardState.Term) +
      " lastIndex=" + std::to_string(this->Log.lastIndex()) +
      " voters=" + describeVoters(this->Log.voters())});
  this->Followers.clear();
  this->VotersSince = Now;
  this->trackVoters(Now);
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Noop;
  this->TermStart = this->Log.lastIndex() + 1;
  this->propose(Entry, Now, Out);
}

void Consensus::trackVoters(Time Now) {
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId)
      continue;
    if (this->Followers.count(Voter.DiskId) != 0)
      continue;
    Progress NewProgress;
    NewProgress.Replica = Voter;
    NewProgress.Next = this->Log.lastIndex() + 1;
    NewProgress.ActiveUntil = Now + ElectionTimeoutMax;
    NewProgress.ReplaceableAt = Voter.DiskId == this->PreviousLeader
                                    ? this->PreviousLeaderReplaceableAt
                                    : Now + UnresponsiveVoterTimeout;
    NewProgress.ReplyDeadline = Now + ReplyTimeout;
    NewProgress.Since = Now;
    this->Followers.emplace(Voter.DiskId, NewProgress);
  }
}

std::int64_t Consensus::propose(wire::LogEntry Entry, Time Now, Effects &Out) {
  Entry.Index = this->Log.lastIndex() + 1;
  Entry.Term = this->HardState.Term;
  const std::int64_t Index = Entry.Index;
  if (Entry.Kind == wire::EntryKind::Voters)
    this->VotersSince = Now;
  this->appendLocally({std::move(Entry)}, Out);
  this->trackVoters(Now);
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
  if (Now >= To.ReplyDeadline) {
    Out.emplace_back(RenewConnection{To.Replica.Address, "follower-silent",
                                     To.ReplyDeadline - ReplyTimeout});
    To.ReplyDeadline = Now + ReplyTimeout;
    To.NextSnapshotSend = Now;
    To.Next = To.Match + 1;
  }
  const bool Behind = !this->Log.hasTermAt(To.Next - 1);
  if (Behind && Now >= To.NextSnapshotSend) {
    To.NextSnapshotSend = Now + SnapshotResendInterval;
    wire::InstallRequest Request;
    Request.Term = this->HardState.Term;
    Request.Leader = this->Self;
    Request.Snapshot = this->LatestSnapshot;
    Request.Round = this->Round;
    Request.ToDisk = To.Replica.DiskId;
    send(Out, To.Replica.Address, std::move(Request));
    return;
  }
  wire::AppendRequest Request;
  Request.Term = this->HardState.Term;
  Request.Leader = this->Self;
  // While a snapshot is being transferred, empty requests serve as heartbeats.
  Request.PrevIndex = Behind ? this->Log.lastIndex() : To.Next - 1;
  Request.PrevTerm = this->Log.termAt(Request.PrevIndex);
  if (!Behind)
    Request.Entries =
        this->Log.slice(To.Next, EntriesPerMessage, BytesPerMessage);
  Request.Commit = this->CommitIndex;
  Request.Round = this->Round;
  Request.ToDisk = To.Replica.DiskId;
  // Entries are sent once on a connection, not again with each heartbeat until
  // the reply: a follower that lost them says so.
  if (!Behind)
    To.Next += static_cast<std::int64_t>(Request.Entries.size());
  send(Out, To.Replica.Address, std::move(Request));
}

void Consensus::receive(const wire::AppendReply &Reply, Time Now,
                        Effects &Out) {
  if (Reply.Term > this->HardState.Term) {
    this->stepDown(Reply.Term, Now, Out);
    return;
  }
  if (!this->leader() || Reply.Term != this->HardState.Term)
    return;
  const auto Found = this->Followers.find(Reply.FromDisk);
  if (Found == this->Followers.end())
    return;
  Progress &From = Found->second;
  From.ActiveUntil = Now + ElectionTimeoutMax;
  From.ReplaceableAt = Now + UnresponsiveVoterTimeout;
  From.ReplyDeadline = Now + ReplyTimeout;
  From.Round = std::max(From.Round, Reply.Round);
  if (!Reply.Success) {
    if (Reply.Round < From.ResetRound)
      return;
    // The follower no longer has what it stored before. A refusal that was
    // overtaken by an acknowledgement of its round only costs a resend.
    if (Reply.MatchIndex < From.Match && Reply.Round == From.Round) {
      Out.emplace_back(LogWarning{
          "event=follower-lost-entries instance=" + From.Replica.Instance +
          " stored=" + std::to_string(From.Match) +
          " has=" + std::to_string(Reply.MatchIndex)});
      From.Match = Reply.MatchIndex;
    }
    From.ResetRound = this->Round;
    From.Next = std::clamp<std::int64_t>(Reply.MatchIndex + 1, From.Match + 1,
                                         this->Log.lastIndex() + 1);
    if (this->Log.hasTermAt(From.Next - 1) || Now >= From.NextSnapshotSend)
      this->replicate(From, Now, Out);
    return;
  }
  From.Match = std::max(From.Match, Reply.MatchIndex);
  From.Next = std::max(From.Next, From.Match + 1);
  const std::int64_t Before = this->CommitIndex;
  this->advanceCommit();
  if (this->CommitIndex > Before) {
    // Sends the new commit index at once, so that followers apply the entries
    // without waiting for the next heartbeat.
    this->broadcast(Now, Out);
    return;
  }
  if (From.Next <= this->Log.lastIndex())
    this->replicate(From, Now, Out);
}

void Consensus::advanceCommit() {
  std::vector<std::int64_t> MatchIndices;
  for (const wire::Replica &Voter : this->Log.voters()) {
    if (Voter.DiskId == this->Self.DiskId) {
      MatchIndices.push_back(this->Log.lastIndex());
      continue;
    }
    const auto Found = this->Followers.find(Voter.DiskId);
    MatchIndices.push_back(
        Found == this->Followers.end() ? 0 : Found->second.Match);
  }
  if (MatchIndices.empty())
    return;
  std::sort(MatchIndices.begin(), MatchIndices.end(), std::greater<>());
  const std::int64_t QuorumMatch = MatchIndices[this->quorum() - 1];
  // Only entries of the current term may be committed by counting replicas
  // (Raft, section 5.4.2).
  if (QuorumMatch > this->CommitIndex &&
      this->Log.termAt(QuorumMatch) == this->HardState.Term)
    this->CommitIndex = QuorumMatch;
}

bool Consensus::isActive(const wire::Replica &Voter, Time Now) const {
  if (Voter.DiskId == this->Self.DiskId)
    return true;
  const auto Found = this->Followers.find(Voter.DiskId);
  return Found != this->Followers.end() && Now < Found->second.ActiveUntil;
}

bool Consensus::isQuorumActive(Time Now) const {
  const auto &Voters = this->Log.voters();
  const auto ActiveCount =
      std::count_if(Voters.begin(), Voters.end(), [&](const auto &Voter) {
        return this->isActive(Voter, Now);
      });
  return static_cast<std::size_t>(ActiveCount) >= this->quorum();
}

std::size_t Consensus::lossesBorne(Time Now) const {
  const auto &Voters = this->Log.voters();
  const auto ActiveCount =
      std::count_if(Voters.begin(), Voters.end(), [&](const auto &Voter) {
        return this->isActive(Voter, Now);
      });
  const auto Active = static_cast<std::size_t>(ActiveCount);
  return this->leader() && Active > this->quorum() ? Active - this->quorum()
                                                   : 0;
}

void Consensus::logVoterState(Time Now, Effects &Out) {
  const std::size_t Losses = this->lossesBorne(Now);
  if (Losses != this->LoggedLossesBorne && Now >= this->NextLossesLog) {
    this->NextLossesLog = Now + LossesLogInterval;
    this->LoggedLossesBorne = Losses;
    std::set<std::int64_t> Silent;
    for (const wire::Replica &Voter : this->Log.voters()) {
      if (!this->isActive(Voter, Now))
        Silent.insert(Voter.DiskId);
    }
    Out.emplace_back(LogDecision{
        "event=losses-borne now=" + std::to_string(Losses) +
        " count=" + std::to_string(this->Log.voters().size()) + " needed=" +
        std::to_string(this->quorum()) + " silent=" + describeDisks(Silent) +
        " votersIndex=" + std::to_string(this->Log.votersIndex()) +
        " commit=" + std::to_string(this->CommitIndex)});
  }
  const bool Uncommitted = this->CommitIndex < this->Log.votersIndex();
  for (auto &[DiskId, Item] : this->Followers) {
    const bool HasVote = this->isVoter(DiskId);
    const Time Since = HasVote ? this->VotersSince : Item.Since;
    if (Now < Since + ExchangeLogDelay || Now < Item.NextWaitLog)
      continue;
    const bool Behind = Item.Match < this->CommitIndex;
    const bool LearnerWaits =
        Now < Item.ActiveUntil && (Behind || Uncommitted || !this->ready());
    const bool VoterWaits = Uncommitted && Item.Match < this->Log.votersIndex();
    if (HasVote ? !VoterWaits : !LearnerWaits)
      continue;
    Item.NextWaitLog = Now + StateLogInterval;
    std::string Reason = "leader-not-ready";
    if (HasVote)
      Reason = "voters-not-stored";
    else if (Behind)
      Reason = "behind";
    else if (Uncommitted)
      Reason = "voters-not-committed";
    Out.emplace_back(LogDecision{
        "event=replica-waiting instance=" + Item.Replica.Instance +
        " disk=" + std::to_string(DiskId) + " reason=" + Reason +
        " ageMs=" + std::to_string((Now - Since) / milliseconds(1)) +
        " match=" + std::to_string(Item.Match) +
        " next=" + std::to_string(Item.Next) +
        " commit=" + std::to_string(this->CommitIndex) +
        " votersIndex=" + std::to_string(this->Log.votersIndex()) +
        " active=" + (Now < Item.ActiveUntil ? "yes" : "no")});
  }
}

void Consensus::leaderTick(Time Now, Effects &Out) {
  if (!this->isQuorumActive(Now)) {
    Out.emplace_back(LogWarning{"event=leader-stepped-down reason=no-quorum"});
    this->stepDown(this->HardState.Term, Now, Out);
    return;
  }
  if (!this->isVoter(this->Self.DiskId) &&
      this->CommitIndex >= this->Log.votersIndex()) {
    this->stepDown(this->HardState.Term, Now, Out);
    return;
  }
  this->updateVoters(Now, Out);
  this->logVoterState(Now, Out);
  if (this->leader() && Now >= this->NextHeartbeat)
    this->broadcast(Now, Out);
}

void Consensus::receive(const wire::JoinRequest &Request, Time Now,
                        Effects &Out) {
  if (!this->leader()) {
    // The joiner knows of few control instances at first. No circle: a replica
    // that follows another one has not led in that term or a later one, so the
    // term grows with each hop.
    if (this->CurrentLeader && Now < this->LeaderActiveUntil)
      send(Out, this->CurrentLeader->Address, Request, Channel::Datagram);
    return;
  }
  if (this->isVoter(Request.Joiner.DiskId))
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
  if (Learner.Replica.DiskId == 0) {
    Learner.Replica = Request.Joiner;
    Learner.Next = 1;
    Learner.ReplyDeadline = Now + ReplyTimeout;
    Learner.Since = Now;
    this->replicate(Learner, Now, Out);
  }
  Learner.ActiveUntil = Now + LearnerTimeout;
}

void Consensus::updateVoters(Time Now, Effects &Out) {
  std::erase_if(this->Followers, [&](const auto &Item) {
    return !this->isVoter(Item.first) && Now >= Item.second.ActiveUntil;
  });
  if (!this->ready() || this->CommitIndex < this->Log.votersIndex())
    return;
  if (!this->removeVoter(Now, Out))
    this->addVoter(Now, Out);
}

bool Consensus::isUnresponsive(const wire::Replica &Voter, Time Now) const {
  const auto Found = this->Followers.find(Voter.DiskId);
  return Found != this->Followers.end() && Now >= Found->second.ReplaceableAt;
}

bool Consensus::isLeaving(const wire::Replica &Voter) const {
  if (Voter.DiskId == this->Self.DiskId)
    return this->Leaving;
  return std::find(this->Departed.begin(), this->Departed.end(),
                   Voter.Address) != this->Departed.end();
}

bool Consensus::isReplaced(std::size_t Position) const {
  // A replaced replica is removed only after its successor has become a voter,
  // which the voter list shows by an entry with the same instance after it.
  const std::vector<wire::Replica> &Voters = this->Log.voters();
  const auto Old = Voters.begin() + static_cast<std::ptrdiff_t>(Position);
  return std::any_of(Old + 1, Voters.end(), [&](const wire::Replica &Newer) {
    return Newer.Instance == Old->Instance;
  });
}

std::optional<std::size_t> Consensus::findRemovableVoter(Time Now) const {
  const std::vector<wire::Replica> &Voters = this->Log.voters();
  const auto FindFirst =
      [&](const auto &Matches) -> std::optional<std::size_t> {
    for (std::size_t I = 0; I < Voters.size(); ++I) {
      if (Matches(I))
        return I;
    }
    return std::nullopt;
  };
  if (const auto Found =
          FindFirst([&](std::size_t I) { return this->isReplaced(I); }))
    return Found;
  if (!this->Policy.open() || Voters.size() <= this->Policy.Count)
    return std::nullopt;
  const auto HasLeft = [&](std::size_t I) {
    return Voters[I].DiskId != this->Self.DiskId && this->isLeaving(Voters[I]);
  };
  if (const auto Found = FindFirst(HasLeft))
    return Found;
  const auto IsLost = [&](std::size_t I) {
    return this->isUnresponsive(Voters[I], Now);
  };
  if (const auto Found = FindFirst(IsLost))
    return Found;
  return FindFirst([&](std::size_t I) { return this->isLeaving(Voters[I]); });
}

bool Consensus::removeVoter(Time Now, Effects &Out) {
  const auto Position = this->findRemovableVoter(Now);
  if (!Position)
    return false;
  const wire::Replica &Old = this->Log.voters()[*Position];
  const char *Reason = "gone";
  if (this->isReplaced(*Position))
    Reason = "replaced";
  else if (this->isLeaving(Old))
    Reason = "left";
  Out.emplace_back(LogWarning{"event=replica-removed instance=" + Old.Instance +
                              " disk=" + std::to_string(Old.DiskId) +
                              " reason=" + Reason});
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Voters;
  Entry.Voters = this->Log.voters();
  Entry.Voters.erase(Entry.Voters.begin() +
                     static_cast<std::ptrdiff_t>(*Position));
  this->propose(std::move(Entry), Now, Out);
  return true;
}

bool Consensus::mayBecomeVoter(const wire::Replica &Learner, Time Now) const {
  const std::vector<wire::Replica> &Voters = this->Log.voters();
  if (!this->Policy.open() || Voters.size() < this->Policy.Count)
    return true;
  if (Voters.size() > this->Policy.Count)
    return false;
  return std::any_of(
      Voters.begin(), Voters.end(), [&](const wire::Replica &Voter) {
        return Voter.Instance == Learner.Instance || this->isLeaving(Voter) ||
               this->isUnresponsive(Voter, Now);
      });
}

void Consensus::addVoter(Time Now, Effects &Out) {
  for (const auto &[DiskId, Learner] : this->Followers) {
    if (this->isVoter(DiskId) || Learner.Match < this->CommitIndex ||
        Now >= Learner.ActiveUntil || this->isLeaving(Learner.Replica) ||
        !this->mayBecomeVoter(Learner.Replica, Now))
      continue;
    Out.emplace_back(
        LogWarning{"event=replica-added instance=" + Learner.Replica.Instance +
                   " disk=" + std::to_string(DiskId) + " waitedMs=" +
                   std::to_string((Now - Learner.Since) / milliseconds(1))});
    wire::LogEntry Entry;
    Entry.Kind = wire::EntryKind::Voters;
    Entry.Voters = this->Log.voters();
    Entry.Voters.push_back(Learner.Replica);
    this->propose(std::move(Entry), Now, Out);
    return;
  }
}

std::vector<wire::LogEntry> Consensus::takeCommitted() {
  std::vector<wire::LogEntry> Out;
  while (this->DeliveredIndex < this->CommitIndex) {
    this->DeliveredIndex += 1;
    Out.push_back(this->Log.at(this->DeliveredIndex));
  }
  return Out;
}

bool Consensus::ready() const {
  return this->leader() && this->CommitIndex >= this->TermStart;
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
