#pragma once

#include "changecheck.h"
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
  SettingsStore() = default;
  /// \p TheTextPrefixTeam as in CompileOptions.
  explicit SettingsStore(std::string TheTextPrefixTeam)
      : TextPrefixTeam(std::move(TheTextPrefixTeam)) {}
  SettingsStore(SettingsStore &&) = default;
  SettingsStore &operator=(SettingsStore &&) = default;

  /// Validates \p Candidate against the current state without applying it.
  /// Returns the reason to reject it, or Ok.
  Failure check(const wire::Change &Candidate);

  /// Starts a check in steps, which advanceCheck() continues. \p Candidate must
  /// outlive it.
  void startCheck(const wire::Change &Candidate);
  /// Validates up to \p MaxEdits edits, or compiles as many settings if the
  /// table is not compiled yet. Returns the result of the check, or nothing
  /// while work is left.
  std::optional<Failure> advanceCheck(std::size_t MaxEdits);
  /// Abandons a check that was started.
  void cancelCheck() { this->Running.reset(); }
  bool checking() const { return this->Running != nullptr; }

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
  const SettingsMap &settings() const { return this->Settings; }
  /// Returns the compiled settings; null if this replica has not compiled them.
  const std::shared_ptr<const RouteTable> &table() const { return this->Table; }
  const ClaimTable &claims() const { return this->Claims; }
  /// Returns how many settings this replica has validated or compiled.
  std::uint64_t compiledSettings() const { return this->CompiledSettings; }

private:
  std::optional<AppliedChange> applyChange(const wire::Change &TheChange,
                                           std::int64_t Index);
  std::optional<AppliedChange> applyRecovery(const wire::LogEntry &Entry);
  void recordOutcome(std::string ChangeId, std::int64_t Index);
  static Failure checkForm(const wire::Change &Candidate,
                           std::int64_t OutcomesEvictedThrough);
  /// Compiles up to \p MaxSettings settings; returns whether the table is
  /// complete.
  bool advanceTable(std::size_t MaxSettings);

  /// A check in steps.
  struct RunningCheck {
    const wire::Change *Candidate = nullptr;
    Failure Refusal;
    std::optional<ChangeCheck> Steps;
  };
  /// The compilation of the settings in steps.
  struct TableDraft {
    RouteTableBuilder Builder;
    std::string NextPath;
  };

  std::string TextPrefixTeam;
  SettingsMap Settings;
  /// The compiled settings, against which changes are checked; null if they
  /// are not compiled. Only a leader needs it.
  std::shared_ptr<const RouteTable> Table;
  std::optional<TableDraft> Draft;
  std::unique_ptr<RunningCheck> Running;
  /// The last change that passed the check, and its compiled result.
  std::string CheckedChangeId;
  std::shared_ptr<const RouteTable> CheckedTable;
  std::map<std::string, wire::TeamGrant, std::less<>> Teams;
  std::map<std::string, std::int64_t, std::less<>> Outcomes;
  std::deque<std::string> OutcomeOrder;
  std::int64_t OutcomesEvictedThrough = 0;
  ClaimTable Claims;
  std::uint64_t CompiledSettings = 0;
  std::int64_t Version = 0;
  std::int64_t VersionBase = 0;
  std::uint64_t Hash = 0;
};

} // namespace persimmon
