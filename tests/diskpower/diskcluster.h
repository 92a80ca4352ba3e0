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

/// Five control instances on simulated disks, whose processes are killed and
/// whose machines lose power at random steps of their disk operations. Runs
/// with the same seed are identical.
class DiskCluster {
public:
  explicit DiskCluster(std::uint64_t Seed);

  /// Runs a random series of changes and faults.
  void runFaults(int Count);

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
    std::int64_t Start = 0;
    std::int64_t AppliedIndex = 0;
    std::int64_t AppliedTerm = 0;
    std::int64_t SnapshotIndex = 0;
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
  Member *leader();
  std::uint64_t below(std::uint64_t Count) { return this->Random() % Count; }
  void addViolation(const std::string &Text);

  std::mt19937_64 Random;
  Time Now;
  std::map<std::string, Member> Members;
  std::multimap<Time, Delivery> InFlight;
  std::set<std::string> Wiped;
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
