#pragma once

#include "support/simulateddisk.h"

#include "libhost/diskstore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmon {

/// How many control instances a cluster has.
struct ClusterSize {
  int Members = 5;
  /// The members that are voters from the start.
  int Initial = 5;
  std::size_t Voters = 5;
};

/// Control instances on simulated disks, whose processes are killed and whose
/// machines lose power at random steps of their disk operations. Runs with the
/// same seed are identical.
class DiskCluster {
public:
  explicit DiskCluster(std::uint64_t Seed, ClusterSize Size = {});

  /// Runs a random series of changes and faults.
  void runFaults(int Count);

  /// Runs changes and losses for \p Rounds rounds and ends with the loss of as
  /// many disks as may be lost, right after an acknowledgement, while all
  /// others lose power. A member counts as lost from the loss of its disk, from
  /// its freeze or its end until catchUpS after it is back; never more than
  /// MostWiped count as lost. Beyond that, all processes may be killed, and
  /// the members may be split into halves, for some seconds.
  void runBorneLosses(int Rounds);

  /// Ends the faults and checks that a quorum forms and all instances hold all
  /// that was acknowledged.
  void checkRecovery();

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  std::size_t acknowledged() const { return this->Acknowledged.size(); }
  int ends() const { return this->Ends; }

private:
  struct Member {
    wire::Replica Self;
    bool Bootstrap = true;
    SimulatedDisk Disk;
    std::optional<DiskStore> Store;
    std::unique_ptr<Consensus> Logic;
    /// Whether the end of the process is a loss of power.
    bool LosesPower = false;
    Time RestartAt;
    /// When the instance knows of all others.
    Time TableKnownAt;
    Time FrozenUntil;
    /// The disk is busy with what was written last.
    Time BusyUntil;
    milliseconds SyncTime{0};
    Time SlowUntil;
    /// Counts as lost until then.
    Time LostUntil;
    std::int64_t Start = 0;
    std::int64_t AppliedIndex = 0;
    std::int64_t AppliedTerm = 0;
    std::int64_t SnapshotIndex = 0;
    /// What this process acknowledged as the leader.
    std::int64_t AcknowledgedIndex = 0;
    std::vector<wire::Replica> Voters;
    std::map<std::string, std::string> Applied;
  };
  struct Delivery {
    std::string To;
    std::int64_t Start = 0;
    std::string From;
    Message Body;
  };

  void run(milliseconds For);
  void injectFault();
  void endAfter(Member &Item, std::uint64_t Steps, bool LosesPower);
  /// Ends all processes within a few milliseconds, some of them in the middle
  /// of a write.
  void endAll(bool LosesPower);
  void endProcess(Member &Item);
  void start(Member &Item);
  void wipe(Member &Item);
  void proposeChange();
  void execute(Member &Item, Effects What);
  void perform(Member &Item, const SendMessage &What);
  void deliver(const Delivery &What);
  void applyCommitted(Member &Item, Effects &Out);
  void apply(Member &Item, const wire::LogEntry &Entry);
  void takeSnapshot(Member &Item, Effects &Out);
  void noteVote(std::int64_t DiskId, std::int64_t Term, std::int64_t For);
  bool recovered() const;
  /// Checks that the leader's list of voters bears the loss of MostWiped disks.
  void checkVoters();
  void fillTable(Member &Item);
  Member *leader();
  /// Draws \p Count members that do not count as lost, if so many may be.
  std::vector<Member *> drawMembers(std::size_t Count);
  /// Takes the disk of \p Item, which is back after \p Down.
  void loseDisk(Member &Item, milliseconds Down);
  /// Takes the disks of \p Lost and, if \p All, the power of all members.
  void loseDisks(const std::vector<Member *> &Lost, bool All);
  void injectBorneFault();
  /// Proposes changes at intervals of up to \p Pause for \p For.
  void runChanges(milliseconds For, milliseconds Pause);
  /// Runs until a change that is proposed now is acknowledged, or for \p Limit.
  bool runUntilAcknowledged(milliseconds Limit);
  void splitFor(milliseconds For);
  bool isSplit(const std::string &Left, const std::string &Right) const;
  void dropStream(const std::string &From, const std::string &To);
  std::uint64_t below(std::uint64_t Count) { return this->Random() % Count; }
  void addViolation(const std::string &Text);

  std::mt19937_64 Random;
  ClusterSize Size;
  Time Now;
  std::map<std::string, Member> Members;
  std::multimap<Time, Delivery> InFlight;
  std::set<std::string> Wiped;
  /// One half of the members while they are split.
  std::set<std::string> Half;
  Time SplitUntil;
  std::int64_t LastChange = 0;
  std::int64_t LastStart = 0;
  int Ends = 0;
  /// Whether processes may end while their stores open.
  bool AtOpen = false;
  std::map<std::string, std::string> Acknowledged;
  /// Term and change of each committed index.
  std::map<std::int64_t, std::pair<std::int64_t, std::string>> Committed;
  /// Whom a disk voted for, by disk and term.
  std::map<std::pair<std::int64_t, std::int64_t>, std::int64_t> VoteOf;
  std::vector<std::string> Violations;
};

} // namespace persimmon
