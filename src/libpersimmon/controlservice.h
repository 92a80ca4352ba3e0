#pragma once

#include "consensus.h"
#include "events.h"
#include "settingsstore.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// How much of the log is kept, in entries.
struct SnapshotPolicy {
  std::int64_t EntriesPerSnapshot = 1000;
  std::int64_t EntriesKept = 500;
};

/// The duties of a control instance over the replicated log: operators'
/// requests, snapshots, freshness stamps and claims of idempotency keys.
/// One change is in flight at a time, so each is checked against the state
/// that it will be applied to.
class ControlService {
public:
  ControlService(wire::Replica Self, std::vector<ControlPeer> Peers,
                 VoterPolicy Voters, SnapshotPolicy Snapshots,
                 std::uint64_t Seed);

  /// Takes over what was read from disk. Errors: SnapshotDamaged.
  leaf::result<void> restore(const DurableState &State, Time Now);

  /// Passes deadlines, issues stamps and expires claims.
  void tick(Time Now, std::int64_t WallMs, Effects &Out);

  /// Each handles an operator's request; its answer is an effect.
  void handle(const ChangeRequested &Request, Time Now, Effects &Out);
  void handle(const ReplaceRequested &Request, Time Now, Effects &Out);
  void handle(const TeamRequested &Request, Time Now, Effects &Out);
  void handle(const ReadRequested &Request, Time Now, Effects &Out);
  void handle(const InitRequested &Request, Time Now, Effects &Out);
  void handle(const RecoverRequested &Request, Time Now, Effects &Out);
  void handle(const BootstrapRequested &Request, Time Now, Effects &Out);

  /// Gives the addresses of control instances to ask for admission.
  void setJoinAddresses(std::vector<std::string> Addresses) {
    this->Agreement.setJoinAddresses(std::move(Addresses));
  }

  /// Handles a consensus message, a stamp request or a claim.
  template <typename MessageT>
  void receive(const MessageT &Body, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::InstallRequest &Body, std::string_view From,
               Time Now, Effects &Out);
  void receive(const wire::StampRequest &Body, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::ClaimRequest &Body, std::string_view From, Time Now,
               Effects &Out);

  /// Returns the changes that were committed since the last call.
  std::vector<AppliedChange> takeApplied();

  /// Returns whether the whole state was replaced since the last call.
  bool takeReplaced();

  /// Returns the newest stamp that this instance issued as leader.
  const wire::Stamp &stamp() const { return this->Issued; }

  const Consensus &consensus() const { return this->Agreement; }
  const SettingsStore &store() const { return this->Store; }

private:
  struct PendingWrite {
    std::int64_t RequestId = 0;
    wire::LogEntry Entry;
    /// A subtree to replace; becomes the entry's change when it is proposed.
    std::optional<SubtreeDocument> Subtree;
    std::int64_t Index = 0;
    Time Deadline;
  };
  struct PendingRead {
    std::int64_t RequestId = 0;
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
  };

  bool refuseUnlessReady(std::int64_t RequestId, Effects &Out) const;
  void answer(std::int64_t RequestId, Failure Error, std::int64_t Version,
              Effects &Out) const;
  void enqueue(PendingWrite Write, Time Now, Effects &Out);
  /// Returns the answer that needs no commit, or nothing if \p Write must be
  /// proposed.
  std::optional<Failure> settleEarly(PendingWrite &Write,
                                     std::int64_t &Version) const;
  void advance(Time Now, Effects &Out);
  void applyCommitted(Effects &Out);
  void answerWrite(const wire::LogEntry &Entry, Effects &Out);
  void startWrites(Time Now, Effects &Out);
  void startConfirmation(Time Now, Effects &Out);
  void answerConfirmed(Effects &Out);
  void expireRequests(Time Now, Effects &Out);
  void dropPending(Effects &Out);
  void takeSnapshot(Effects &Out);
  void answerClaim(const PendingClaim &Pending, Effects &Out) const;

  Consensus Agreement;
  SettingsStore Store;
  SnapshotPolicy Snapshots;
  std::vector<wire::Replica> CommittedVoters;
  std::int64_t AppliedIndex = 0;
  std::int64_t AppliedTerm = 0;
  std::int64_t SnapshotIndex = 0;
  std::deque<PendingWrite> Writes;
  std::int64_t WriteInFlight = 0;
  std::vector<PendingRead> Reads;
  std::vector<PendingStamp> StampRequests;
  std::deque<PendingClaim> WaitingClaims;
  std::vector<PendingClaim> ClaimsInFlight;
  std::int64_t ClaimsIndex = 0;
  std::vector<AppliedChange> Applied;
  bool Replaced = false;
  bool WasLeader = false;
  wire::Stamp Issued;
  std::int64_t StampRound = 0;
  Time NextStamp;
  Time NextClaimExpiry;
  std::int64_t LastWallMs = 0;
};

template <typename MessageT>
void ControlService::receive(const MessageT &Body, std::string_view From,
                             Time Now, Effects &Out) {
  if constexpr (std::is_same_v<MessageT, wire::VoteRequest> ||
                std::is_same_v<MessageT, wire::AppendRequest>)
    this->Agreement.receive(Body, From, Now, Out);
  else
    this->Agreement.receive(Body, Now, Out);
  this->advance(Now, Out);
}

} // namespace persimmon
