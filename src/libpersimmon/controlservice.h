#pragma once

#include "consensus.h"
#include "events.h"
#include "rollout.h"
#include "settingsstore.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// When to take a snapshot, and how many entries to keep in the log after it.
struct SnapshotPolicy {
  std::int64_t EntriesPerSnapshot = 1000;
  std::int64_t EntriesKept = 500;
  /// Memory that the log may take before a snapshot is due; half of it is kept.
  /// Also the limit of the documents that wait to be checked.
  std::size_t MaxLogBytes = 16'000'000;
};

/// Serves a control instance's requests through the replicated log: operators'
/// requests, snapshots, freshness stamps and claims of idempotency keys. At
/// most one change is in flight at a time, so that each change is validated
/// against the state that it will be applied to.
class ControlService {
public:
  /// \p TextPrefixTeam as in CompileOptions.
  ControlService(wire::Replica Self, std::vector<ControlPeer> Peers,
                 VoterPolicy Voters, SnapshotPolicy Snapshots,
                 std::uint64_t Seed, const std::string &TextPrefixTeam);

  /// Restores the state that was loaded from disk. Errors: SnapshotDamaged.
  leaf::result<void> restore(const DurableState &State, Time Now);

  /// Fails requests whose deadline has passed, issues stamps and expires
  /// claims. \p WallMs is the wall-clock time.
  void tick(Time Now, std::int64_t WallMs, Effects &Out);

  /// Handle an operator's request; the response is an AnswerOperator effect.
  void handle(const ChangeRequested &Request, Time Now, Effects &Out);
  void handle(const ReplaceRequested &Request, Time Now, Effects &Out);
  void handle(const RolloutRequested &Request, Time Now, Effects &Out);
  void handle(const TeamRequested &Request, Time Now, Effects &Out);
  void handle(const ReadRequested &Request, Time Now, Effects &Out);
  void handle(const InitRequested &Request, Time Now, Effects &Out);
  void handle(const RecoverRequested &Request, Time Now, Effects &Out);
  void handle(const BootstrapRequested &Request, Time Now, Effects &Out);

  /// Commits a change of a roll-out, before the operators' changes that wait.
  /// Without effect if it is committed already or no longer applies.
  void propose(wire::Change TheChange, Time Now, Effects &Out);

  /// Continues the check of a large change.
  void continueWork(Time Now, Effects &Out);

  /// Sets the addresses of further control instances that join requests are
  /// sent to.
  void setJoinAddresses(std::vector<std::string> Addresses) {
    this->ConsensusModule.setJoinAddresses(std::move(Addresses));
  }

  /// Sets the addresses of the control instances that have left as planned.
  void setDeparted(std::vector<std::string> Addresses) {
    this->ConsensusModule.setDeparted(std::move(Addresses));
  }

  /// Makes the last proof of leadership older by \p By, a time that the steady
  /// clock did not count.
  void age(milliseconds By) {
    this->VerifiedAt -= By;
    this->VerifyStartedAt -= By;
  }

  /// Makes this instance hand over its vote before it stops.
  void leave() { this->ConsensusModule.leave(); }

  /// Handle a consensus message, a stamp request or a claim request.
  template <typename MessageT>
  void receive(const MessageT &Body, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::InstallRequest &Body, std::string_view From,
               Time Now, Effects &Out);
  void receive(const wire::StampRequest &Body, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::ClaimRequest &Body, std::string_view From, Time Now,
               Effects &Out);

  /// Returns the configuration changes applied since the previous call.
  std::vector<AppliedChange> takeAppliedChanges();

  /// Returns whether a snapshot has replaced the state since the previous
  /// call.
  bool takeStateReplaced();

  /// Returns the newest stamp that this instance has issued as leader.
  const wire::Stamp &stamp() const { return this->IssuedStamp; }

  /// Returns a time at which this replica was the only leader; Time() if it
  /// does not lead.
  Time verifiedAt() const { return this->VerifiedAt; }

  const Consensus &consensus() const { return this->ConsensusModule; }
  const SettingsStore &store() const { return this->Store; }

private:
  struct PendingWrite {
    std::int64_t RequestId = 0;
    wire::LogEntry Entry;
    /// The requested subtree; turned into the entry's change when the write is
    /// proposed.
    std::optional<SubtreeDocument> Subtree;
    /// The order of a roll-out, which is turned into a change likewise.
    std::optional<RolloutOrder> Order;
    std::int64_t Index = 0;
    Time Deadline;
    std::size_t Bytes = 0;
  };
  struct PendingRead {
    std::int64_t RequestId = 0;
    std::int64_t Round = 0;
    Time Deadline;
  };
  /// A refusal by the state of this replica, which may be outdated until its
  /// leadership is confirmed for a time after the state was looked at.
  struct PendingRefusal {
    std::int64_t RequestId = 0;
    Failure Error;
    std::int64_t Round = 0;
    Time Deadline;
  };
  struct PendingStamp {
    std::string From;
    std::int64_t Nonce = 0;
    std::int64_t Round = 0;
  };
  struct PendingClaim {
    std::string From;
    wire::Claim Wanted;
    /// The round that confirms that the key is claimed, if it seems to be.
    std::int64_t Round = 0;
  };

  bool refuseUnlessReady(std::int64_t RequestId, Effects &Out) const;
  void answer(std::int64_t RequestId, Failure Error, std::int64_t Version,
              Effects &Out) const;
  /// Refuses a request once leadership is confirmed.
  void refuseConfirmed(std::int64_t RequestId, Failure Error, Time Now,
                       Effects &Out);
  bool hasRoomFor(const PendingWrite &Write) const;
  void enqueue(PendingWrite Write, Time Now, Effects &Out);
  /// Prepares the check of \p Write. Returns its result if it needs none,
  /// because it repeats a change or is rejected.
  std::optional<Failure> prepareWrite(PendingWrite &Write,
                                      std::int64_t &Version);
  /// Returns whether \p Write is a valid change of this instance itself while
  /// the settings are not compiled. A new leader would have to compile all of
  /// them before it could roll back a bad version.
  bool needsNoCheck(const PendingWrite &Write) const;
  /// Advances the check of the first write, and answers or proposes it at the
  /// end. Returns whether the next write can be looked at.
  bool advanceFirstWrite(Time Now, Effects &Out);
  /// Answers the first write, if \p Result is a success, or refuses it once
  /// leadership is confirmed, and removes it; returns true.
  bool answerFirstWrite(Failure Result, std::int64_t Version, Time Now,
                        Effects &Out);
  void requestWork(Effects &Out);
  void proposeClaims(Time Now, Effects &Out);
  void applyAndPropose(Time Now, Effects &Out);
  void applyCommitted(Effects &Out);
  void answerWrite(const wire::LogEntry &Entry, Effects &Out);
  void proposeQueued(Time Now, Effects &Out);
  void startLeadershipConfirmation(Time Now, Effects &Out);
  /// Returns a reply with the newest committed version.
  wire::StampReply makeStampReply(std::int64_t Nonce) const;
  void answerConfirmedRequests(Time Now, Effects &Out);
  void answerConfirmedClaims(std::int64_t Confirmed, Time Now, Effects &Out);
  void expireRequests(Time Now, Effects &Out);
  void failPendingRequests(Effects &Out);
  void takeSnapshot(Effects &Out);
  void answerClaim(const PendingClaim &Pending, Effects &Out) const;

  Consensus ConsensusModule;
  SettingsStore Store;
  SnapshotPolicy Snapshots;
  std::vector<wire::Replica> CommittedVoters;
  std::int64_t AppliedIndex = 0;
  std::int64_t AppliedTerm = 0;
  std::int64_t SnapshotIndex = 0;
  std::deque<PendingWrite> Writes;
  std::int64_t InFlightWriteIndex = 0;
  /// A WorkContinued event is on its way.
  bool WorkRequested = false;
  std::vector<PendingRead> Reads;
  std::vector<PendingRefusal> Refusals;
  std::vector<PendingStamp> StampRequests;
  std::deque<PendingClaim> QueuedClaims;
  /// Claims of keys that seem to be claimed by others.
  std::vector<PendingClaim> DoubtfulClaims;
  std::vector<PendingClaim> InFlightClaims;
  std::int64_t InFlightClaimsIndex = 0;
  std::vector<AppliedChange> AppliedChanges;
  bool StateReplaced = false;
  bool WasLeader = false;
  wire::Stamp IssuedStamp;
  std::int64_t StampRound = 0;
  Time NextStamp;
  /// The heartbeat round after VerifyStartedAt, if its confirmation is awaited.
  std::int64_t VerifyRound = 0;
  Time VerifyStartedAt;
  /// When this replica was last confirmed as the leader.
  Time VerifiedAt;
  Time NextClaimExpiry;
  std::int64_t LastWallMs = 0;
};

template <typename MessageT>
void ControlService::receive(const MessageT &Body, std::string_view From,
                             Time Now, Effects &Out) {
  if constexpr (std::is_same_v<MessageT, wire::VoteRequest> ||
                std::is_same_v<MessageT, wire::AppendRequest>)
    this->ConsensusModule.receive(Body, From, Now, Out);
  else
    this->ConsensusModule.receive(Body, Now, Out);
  this->applyAndPropose(Now, Out);
}

} // namespace persimmon
