#pragma once

#include "claimtable.h"
#include "routetable.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmon {

/// A configuration change that a log entry made.
struct AppliedChange {
  std::string ChangeId;
  wire::Delta Change;
};

/// The replicated state machine: settings, teams, outcomes of changes, and
/// claims. Deterministic: the same log entries give the same state on every
/// replica.
class SettingsStore {
public:
  /// Validates \p Candidate against the current state without applying it.
  /// Returns the reason to reject it, or Ok.
  Failure check(const wire::Change &Candidate) const;

  /// Returns the version that the change \p ChangeId created, or nothing if it
  /// was not applied or its outcome has been evicted.
  std::optional<std::int64_t> outcomeOf(std::string_view ChangeId) const;

  /// Applies a committed entry. Returns the configuration change it made, if
  /// any.
  std::optional<AppliedChange> apply(const wire::LogEntry &Entry);

  /// Returns whether \p Token authorizes changes to \p Team's subtree.
  bool authorized(std::string_view Team, std::string_view Token) const;

  /// Returns the whole state as of a log entry, without the voters.
  wire::StoreSnapshot snapshot(std::int64_t LastIndex,
                               std::int64_t LastTerm) const;

  /// Replaces the state by \p Snapshot. Errors: SnapshotDamaged.
  leaf::result<void> restore(const wire::StoreSnapshot &Snapshot);

  /// Version, hash and content of the current configuration.
  std::int64_t version() const { return this->Version; }
  std::uint64_t hash() const { return this->Hash; }
  std::int64_t versionBase() const { return this->VersionBase; }
  const std::shared_ptr<const RouteTable> &table() const { return this->Table; }
  const SettingsMap &settings() const { return this->Settings; }
  const ClaimTable &claims() const { return this->Claims; }

private:
  std::optional<AppliedChange> applyChange(const wire::Change &TheChange,
                                           std::int64_t Index);
  std::optional<AppliedChange> applyRecovery(const wire::LogEntry &Entry);
  void recordOutcome(std::string ChangeId, std::int64_t Index);
  leaf::result<void> checkEdits(const wire::Change &Candidate,
                                SettingsMap &ResultingSettings) const;

  SettingsMap Settings;
  std::shared_ptr<const RouteTable> Table;
  /// Route table compiled by the last check that passed; applyChange() reuses
  /// its entries.
  mutable std::shared_ptr<const RouteTable> CheckedTable;
  std::map<std::string, wire::TeamGrant, std::less<>> Teams;
  std::map<std::string, std::int64_t, std::less<>> Outcomes;
  std::deque<std::string> OutcomeOrder;
  std::int64_t OutcomesEvictedThrough = 0;
  ClaimTable Claims;
  std::int64_t Version = 0;
  std::int64_t VersionBase = 0;
  std::uint64_t Hash = 0;
};

} // namespace persimmon
