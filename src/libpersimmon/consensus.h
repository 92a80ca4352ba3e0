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

/// What a control instance reads from its disk at start.
struct DurableState {
  wire::HardState Hard;
  wire::StoreSnapshot Snapshot;
  std::vector<wire::LogEntry> Entries;
};

/// A control instance that the settings of this one name.
struct ControlPeer {
  std::string Instance;
  std::string Address;
};

/// Agreement of the control instances on one log: elections with pre-vote,
/// replication, and replacement of a replica whose disk was lost. Decides
/// only; disk and network are effects, which must be carried out in order.
class Consensus {
public:
  enum class Role { Follower, PreCandidate, Candidate, Leader };

  /// \p Self is this instance with its disk; \p Peers are the other ones.
  Consensus(wire::Replica Self, std::vector<ControlPeer> Peers,
            VoterPolicy Policy, std::uint64_t Seed);

  /// Takes over what was read from disk, at time \p Now.
  void restore(const DurableState &State, Time Now);

  /// Forms a new cluster whose only voter is this replica.
  void form(Time Now, Effects &Out);

  /// Starts a new cluster whose voters are \p Founders, on each of them alike.
  /// Does nothing unless the log is blank and this replica is one of them.
  void found(std::vector<wire::Replica> Founders, Time Now, Effects &Out);

  /// Gives the addresses of control instances to ask for admission, beside
  /// those of the settings.
  void setJoinAddresses(std::vector<std::string> Addresses) {
    this->JoinAddresses = std::move(Addresses);
  }

  /// Makes this replica the only voter after a quorum of disks was lost.
  /// What only the lost disks held is gone.
  void recover(std::int64_t VersionBase, Time Now, Effects &Out);

  /// Sends heartbeats as leader; otherwise starts elections or asks to join.
  void tick(Time Now, Effects &Out);

  /// Messages that are answered come with the path of their sender.
  void receive(const wire::VoteRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  void receive(const wire::VoteReply &Reply, Time Now, Effects &Out);
  void receive(const wire::AppendRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  void receive(const wire::AppendReply &Reply, Time Now, Effects &Out);
  void receive(const wire::JoinRequest &Request, Time Now, Effects &Out);

  /// Returns whether \p Request is from the current leader and newer than
  /// the log; the caller then installs it through install().
  bool accepts(const wire::InstallRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  void install(const wire::InstallRequest &Request, std::string_view From,
               Effects &Out);

  /// Appends an entry as leader and replicates it; returns its index.
  std::int64_t propose(wire::LogEntry Entry, Time Now, Effects &Out);

  /// Returns the committed entries that were not handed out before.
  std::vector<wire::LogEntry> takeCommitted();

  /// Drops log entries that a stored snapshot covers.
  void compact(std::int64_t Index) { this->Log.compact(Index); }

  /// Gives the snapshot to send to replicas that lag behind the log.
  void setSnapshot(wire::StoreSnapshot Snapshot);

  /// Returns whether this replica knows of any voters.
  bool formed() const { return !this->Log.voters().empty(); }
  bool leader() const { return this->CurrentRole == Role::Leader; }

  /// Returns whether this is a leader whose state holds every entry that was
  /// committed before its term.
  bool ready() const;

  /// Starts a round that confirms leadership; returns its number.
  std::int64_t confirmLeadership(Time Now, Effects &Out);

  /// Returns the newest round that a quorum has answered.
  std::int64_t confirmedRound() const;

  /// State of the replica, for status and tests.
  Role role() const { return this->CurrentRole; }
  std::int64_t term() const { return this->Hard.Term; }
  std::int64_t commitIndex() const { return this->Commit; }
  std::int64_t lastIndex() const { return this->Log.lastIndex(); }
  std::int64_t lastTerm() const { return this->Log.lastTerm(); }
  const std::vector<wire::Replica> &voters() const {
    return this->Log.voters();
  }
  const wire::Replica &self() const { return this->Self; }

  /// Returns the leader's address, or an empty text if none is known.
  std::string leaderAddress() const;

private:
  /// What the leader knows of one other replica.
  struct Progress {
    wire::Replica Who;
    std::int64_t Next = 1;
    std::int64_t Match = 0;
    std::int64_t Round = 0;
    Time HeardUntil;
    Time SnapshotResend;
    Time SilentAt;
  };

  std::size_t quorum() const { return this->Log.voters().size() / 2 + 1; }
  bool isVoter(std::int64_t DiskId) const;
  bool upToDate(const wire::VoteRequest &Request) const;
  void resetElection(Time Now);
  /// Does not count a pause of this process itself as silence of the others.
  void excuseOwnPause(Time Now);
  void stepDown(std::int64_t Term, Time Now, Effects &Out);
  void startPreVote(Time Now, Effects &Out);
  void startElection(Time Now, Effects &Out);
  void askForVotes(bool PreVote, Effects &Out);
  void becomeLeader(Time Now, Effects &Out);
  void leaderTick(Time Now, Effects &Out);
  void broadcast(Time Now, Effects &Out);
  void replicate(Progress &To, Time Now, Effects &Out);
  void advanceCommit();
  bool heardFromQuorum(Time Now) const;
  void adoptVoters(Time Now);
  void changeVoters(Time Now, Effects &Out);
  bool removeVoter(Time Now, Effects &Out);
  void addVoter(Time Now, Effects &Out);
  bool gone(const wire::Replica &Voter, Time Now) const;
  bool mayVote(const wire::Replica &Learner, Time Now) const;
  void follow(const wire::Replica &Leader, std::int64_t Term, Time Now,
              Effects &Out);
  void sendJoin(Time Now, Effects &Out);
  void sendAppendReply(std::string_view To, bool Success, std::int64_t Round,
                       std::int64_t Match, Effects &Out);
  void appendLocally(std::vector<wire::LogEntry> Entries, Effects &Out);

  wire::Replica Self;
  std::vector<ControlPeer> Peers;
  VoterPolicy Policy;
  std::vector<std::string> JoinAddresses;
  Random Rng;
  wire::HardState Hard;
  ReplicatedLog Log;
  wire::StoreSnapshot LatestSnapshot;
  Role CurrentRole = Role::Follower;
  std::int64_t Commit = 0;
  std::int64_t HandedOut = 0;
  std::optional<wire::Replica> CurrentLeader;
  std::set<std::int64_t> Votes;
  std::map<std::int64_t, Progress> Followers;
  Time LastTick;
  Time ElectionDeadline;
  Time LeaderHeardUntil;
  Time NextHeartbeat;
  Time NextJoin;
  Time LeadershipUntil;
  std::int64_t TermStart = 0;
  std::int64_t Round = 0;
};

} // namespace persimmon
