#pragma once

#include "bootstrap.h"
#include "effects.h"
#include "random.h"
#include "replicatedlog.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace persimmon {

/// The persistent Raft state that a control instance loads at startup.
struct DurableState {
  wire::HardState HardState;
  wire::StoreSnapshot Snapshot;
  std::vector<wire::LogEntry> Entries;
};

/// Another control instance that this instance's settings list.
struct ControlPeer {
  std::string Instance;
  std::string Address;
};

/// Raft consensus of the control instances: leader election with pre-vote, log
/// replication, and replacement of a replica that has lost its disk. Performs
/// no I/O; disk writes and messages are returned as effects, which the caller
/// must execute in order.
class Consensus {
public:
  enum class Role { Follower, PreCandidate, Candidate, Leader };

  /// \p Self is the replica on this instance's disk; \p Peers are the other
  /// control instances.
  Consensus(wire::Replica Self, std::vector<ControlPeer> Peers,
            VoterPolicy Policy, std::uint64_t Seed);

  /// Restores the state that was loaded from disk and starts the election
  /// timeout at \p Now.
  void restore(const DurableState &State, Time Now);

  /// Creates a new cluster with this replica as its only voter.
  void form(Time Now, Effects &Out);

  /// Creates a new cluster whose initial voters are \p InitialVoters. Each of
  /// them makes the same call and gets the same first log entry. Does nothing
  /// if this replica is not one of them or already has a log, a vote or a term
  /// above 1.
  void bootstrap(std::vector<wire::Replica> InitialVoters, Time Now,
                 Effects &Out);

  /// Sets the addresses of further control instances that join requests are
  /// sent to, in addition to the peers from the settings.
  void setJoinAddresses(std::vector<std::string> Addresses) {
    this->JoinAddresses = std::move(Addresses);
  }

  /// Sets the addresses of the control instances that have left as planned. A
  /// learner takes over the vote of such an instance as soon as it is up to
  /// date.
  void setDeparted(std::vector<std::string> Addresses) {
    this->Departed = std::move(Addresses);
  }

  /// Makes this replica hand its vote over to a learner, if there is one, and
  /// stop joining.
  void leave() { this->Leaving = true; }

  /// Returns whether this replica has a vote that a learner may take over.
  bool mayHandOver() const {
    return this->Policy.open() && this->isVoter(this->Self.DiskId);
  }

  /// Makes this replica the only voter after a quorum of disks has been lost.
  /// Entries that only the lost disks stored are lost for good.
  void recover(std::int64_t VersionBase, Time Now, Effects &Out);

  /// Sends heartbeats as leader; otherwise starts elections and sends join
  /// requests when they are due.
  void tick(Time Now, Effects &Out);

  /// Handle a message. \p From is the address that replies are sent to.
  void receive(const wire::VoteRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  void receive(const wire::VoteReply &Reply, Time Now, Effects &Out);
  void receive(const wire::AppendRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  void receive(const wire::AppendReply &Reply, Time Now, Effects &Out);
  void receive(const wire::JoinRequest &Request, Time Now, Effects &Out);

  /// Returns whether \p Request comes from the current leader and its snapshot
  /// is newer than the commit index; the caller must then call
  /// installSnapshot(). Otherwise sends the reply, if one is due.
  bool acceptsSnapshot(const wire::InstallRequest &Request,
                       std::string_view From, Time Now, Effects &Out);
  void installSnapshot(const wire::InstallRequest &Request,
                       std::string_view From, Effects &Out);

  /// Appends an entry to the leader's log, replicates it and returns its
  /// index.
  std::int64_t propose(wire::LogEntry Entry, Time Now, Effects &Out);

  /// Returns the entries committed since the previous call.
  std::vector<wire::LogEntry> takeCommitted();

  /// Drops log entries up to \p Index, which a stored snapshot covers.
  void compact(std::int64_t Index) { this->Log.compact(Index); }

  /// Returns the memory that the log's entries take.
  std::size_t logBytes() const { return this->Log.bytes(); }

  /// Returns the lowest index from which on the log's entries take at most
  /// \p MaxBytes of memory.
  std::int64_t firstIndexWithin(std::size_t MaxBytes) const {
    return this->Log.firstIndexWithin(MaxBytes);
  }

  /// Sets the snapshot that is sent to followers whose next entry has been
  /// compacted.
  void setSnapshot(wire::StoreSnapshot Snapshot);

  /// Returns whether the log or its snapshot names any voters.
  bool formed() const { return !this->Log.voters().empty(); }
  bool leader() const { return this->CurrentRole == Role::Leader; }

  /// Returns whether the log names this replica as a voter.
  bool voter() const { return this->isVoter(this->Self.DiskId); }

  /// Returns whether this replica leads and has committed an entry of its own
  /// term, and therefore every entry that was committed in earlier terms.
  bool ready() const;

  /// Starts a heartbeat round that confirms leadership; returns its number.
  std::int64_t confirmLeadership(Time Now, Effects &Out);

  /// Returns the number of the next heartbeat round, which is sent within the
  /// heartbeat interval.
  std::int64_t nextRound() const { return this->Round + 1; }

  /// Returns the newest heartbeat round that a quorum has acknowledged.
  std::int64_t confirmedRound() const;

  Role role() const { return this->CurrentRole; }
  std::int64_t term() const { return this->HardState.Term; }
  std::int64_t commitIndex() const { return this->CommitIndex; }
  std::int64_t lastIndex() const { return this->Log.lastIndex(); }
  std::int64_t lastTerm() const { return this->Log.lastTerm(); }
  const std::vector<wire::Replica> &voters() const {
    return this->Log.voters();
  }
  const wire::Replica &self() const { return this->Self; }

  /// Returns the leader's address, or an empty string if no leader is known.
  std::string leaderAddress() const;

  /// Returns how many voters must answer, this one among them.
  std::size_t quorum() const { return this->Log.voters().size() / 2 + 1; }

  /// Returns how many of the voters that answer may be lost without the loss of
  /// the quorum, as far as this leader knows. Returns 0 if it does not lead.
  std::size_t lossesBorne(Time Now) const;

private:
  /// Replication progress of another replica, kept by the leader.
  struct Progress {
    wire::Replica Replica;
    std::int64_t Next = 1;
    std::int64_t Match = 0;
    std::int64_t Round = 0;
    /// Round of the request that was sent after Next was last set back. Replies
    /// to earlier requests say nothing about later ones.
    std::int64_t ResetRound = 0;
    Time ActiveUntil;
    /// When a voter that has not answered meanwhile may be replaced.
    Time ReplaceableAt;
    Time NextSnapshotSend;
    Time ReplyDeadline;
    /// When the leader began to replicate to this replica.
    Time Since;
    /// When the next line about a learner that waits may be logged.
    Time NextWaitLog;
  };

  bool isVoter(std::int64_t DiskId) const;
  bool isActive(const wire::Replica &Voter, Time Now) const;
  bool upToDate(const wire::VoteRequest &Request) const;
  void resetElection(Time Now);
  /// Extends the timeouts by a pause of this process, so that it is not taken
  /// for missing messages of the other replicas.
  void extendTimeoutsAfterPause(Time Now);
  void stepDown(std::int64_t Term, Time Now, Effects &Out);
  void startPreVote(Time Now, Effects &Out);
  void startElection(Time Now, Effects &Out);
  void requestVotes(bool PreVote, Effects &Out);
  void becomeLeader(Time Now, Effects &Out);
  void leaderTick(Time Now, Effects &Out);
  void broadcast(Time Now, Effects &Out);
  void replicate(Progress &To, Time Now, Effects &Out);
  void advanceCommit();
  bool isQuorumActive(Time Now) const;
  void trackVoters(Time Now);
  void updateVoters(Time Now, Effects &Out);
  bool isLeaving(const wire::Replica &Voter) const;
  /// Returns the position of the voter to remove next, if there is one. This
  /// replica removes itself last, so that it leads as long as it has to.
  std::optional<std::size_t> findRemovableVoter(Time Now) const;
  bool isReplaced(std::size_t Position) const;
  bool removeVoter(Time Now, Effects &Out);
  void addVoter(Time Now, Effects &Out);
  bool isUnresponsive(const wire::Replica &Voter, Time Now) const;
  bool mayBecomeVoter(const wire::Replica &Learner, Time Now) const;
  void follow(const wire::Replica &Leader, std::int64_t Term, Time Now,
              Effects &Out);
  void sendJoinRequests(Time Now, Effects &Out);
  /// Logs at intervals that this replica asks to join.
  void logJoining(Time Now, Effects &Out);
  /// Logs at intervals who answered in an election that found no quorum.
  void logFailedElection(Time Now, Effects &Out);
  /// Logs at intervals why a vote was not granted.
  void logRefusedVote(const wire::VoteRequest &Request, std::string_view Reason,
                      Time Now, Effects &Out);
  /// Logs what an exchange of voters waits for, and each change of the losses
  /// that are borne.
  void logVoterState(Time Now, Effects &Out);
  void sendAppendReply(std::string_view To, bool Success, std::int64_t Round,
                       std::int64_t Match, Effects &Out);
  void appendLocally(std::vector<wire::LogEntry> Entries, Effects &Out);

  wire::Replica Self;
  std::vector<ControlPeer> Peers;
  VoterPolicy Policy;
  std::vector<std::string> JoinAddresses;
  /// The last leader that sent entries to a former disk of this instance.
  std::string LeaderOfPredecessor;
  std::vector<std::string> Departed;
  bool Leaving = false;
  Random Rng;
  wire::HardState HardState;
  ReplicatedLog Log;
  wire::StoreSnapshot LatestSnapshot;
  Role CurrentRole = Role::Follower;
  std::int64_t CommitIndex = 0;
  std::int64_t DeliveredIndex = 0;
  std::optional<wire::Replica> CurrentLeader;
  std::set<std::int64_t> Votes;
  /// Voters that refused their vote in the present election.
  std::set<std::int64_t> Refusals;
  std::map<std::int64_t, Progress> Followers;
  Time LastTick;
  Time ElectionDeadline;
  Time LeaderActiveUntil;
  /// The last other leader that this replica followed, and when it may be
  /// replaced as a voter. The count goes on if this replica leads next.
  std::int64_t PreviousLeader = 0;
  Time PreviousLeaderReplaceableAt;
  Time NextHeartbeat;
  Time NextJoin;
  Time NextJoinLog;
  Time NextElectionLog;
  Time NextRefusalLog;
  Time NextLossesLog;
  /// When this leader began to lead or proposed its newest list of voters.
  Time VotersSince;
  std::optional<std::size_t> LoggedLossesBorne;
  std::int64_t TermStart = 0;
  std::int64_t Round = 0;
};

} // namespace persimmon
