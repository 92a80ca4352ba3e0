#include "settingsstore.h"

#include <algorithm>
#include <set>

namespace persimmon {

namespace {

constexpr std::size_t MaxOutcomes = 4096;
constexpr std::size_t MaxSettings = 20'000;
constexpr std::size_t MaxValueBytes = 16'384;
constexpr std::size_t MaxEdits = 8192;
constexpr std::size_t MaxChangeIdBytes = 100;

/// Applies \p Edits, whose expected versions have been checked, to \p Settings
/// as \p Version and updates \p Hash, the hash of \p Settings.
wire::Delta applyEdits(const std::vector<wire::PathEdit> &Edits,
                       std::int64_t Version, SettingsMap &Settings,
                       std::uint64_t &Hash) {
  wire::Delta Out;
  Out.To = Version;
  for (const wire::PathEdit &Edit : Edits) {
    if (Edit.Remove) {
      removeSetting(Edit.Path, Settings, Hash);
      Out.Removed.push_back(Edit.Path);
      continue;
    }
    wire::Setting Entry;
    Entry.Path = Edit.Path;
    Entry.Value = Edit.Value;
    Entry.Version = Version;
    putSetting(Entry, Settings, Hash);
    Out.Puts.push_back(std::move(Entry));
  }
  return Out;
}

} // namespace

leaf::result<void>
SettingsStore::checkEdits(const wire::Change &Candidate,
                          SettingsMap &ResultingSettings) const {
  std::set<std::string_view> Seen;
  for (const wire::PathEdit &Edit : Candidate.Edits) {
    BOOST_LEAF_AUTO(Parts, parseSettingPath(Edit.Path));
    if (Parts.Team != Candidate.Team)
      return fail(ResultCode::OutsideSubtree, Edit.Path);
    if (!Seen.insert(Edit.Path).second)
      return fail(ResultCode::ValueInvalid, Edit.Path,
                  "the path occurs twice in the change");
    if (Edit.Value.size() > MaxValueBytes)
      return fail(ResultCode::LimitExceeded, Edit.Path, "value too large");
    const auto Found = ResultingSettings.find(Edit.Path);
    const std::int64_t Current =
        Found == ResultingSettings.end() ? 0 : Found->second.Version;
    if (Current != Edit.ExpectedVersion)
      return fail(ResultCode::Conflict, Edit.Path,
                  "the current version is " + std::to_string(Current) +
                      ", the change expects " +
                      std::to_string(Edit.ExpectedVersion));
    if (Edit.Remove && Current == 0)
      return fail(ResultCode::PathUnknown, Edit.Path);
  }
  return {};
}

Failure SettingsStore::check(const wire::Change &Candidate) const {
  if (Candidate.ChangeId.empty() ||
      Candidate.ChangeId.size() > MaxChangeIdBytes || Candidate.Edits.empty())
    return {ResultCode::ValueInvalid, Candidate.ChangeId,
            "a change needs an id of 1 to 100 bytes and at least one edit"};
  if (Candidate.BasedOn < this->OutcomesEvictedThrough)
    return {ResultCode::ChangeTooOld, Candidate.ChangeId, {}};
  if (Candidate.Edits.size() > MaxEdits)
    return {ResultCode::LimitExceeded, Candidate.ChangeId, "too many edits"};
  SettingsMap ResultingSettings = this->Settings;
  Failure Refusal = handleResult(
      [&] { return this->checkEdits(Candidate, ResultingSettings); }, [] {});
  if (Refusal.failed())
    return Refusal;
  std::uint64_t ResultingHash = this->Hash;
  applyEdits(Candidate.Edits, this->Version + 1, ResultingSettings,
             ResultingHash);
  if (ResultingSettings.size() > MaxSettings)
    return {ResultCode::LimitExceeded, Candidate.ChangeId, "too many settings"};
  return handleResult(
      [&] {
        return RouteTable::build(ResultingSettings, this->Table.get(),
                                 Validation::Required);
      },
      [&](auto Built) { this->CheckedTable = std::move(Built); });
}

std::optional<std::int64_t>
SettingsStore::outcomeOf(std::string_view ChangeId) const {
  const auto Found = this->Outcomes.find(ChangeId);
  if (Found == this->Outcomes.end())
    return std::nullopt;
  return Found->second;
}

void SettingsStore::recordOutcome(std::string ChangeId, std::int64_t Index) {
  this->OutcomeOrder.push_back(ChangeId);
  this->Outcomes.emplace(std::move(ChangeId), Index);
  while (this->OutcomeOrder.size() > MaxOutcomes) {
    const auto Oldest = this->Outcomes.find(this->OutcomeOrder.front());
    this->OutcomesEvictedThrough = Oldest->second;
    this->Outcomes.erase(Oldest);
    this->OutcomeOrder.pop_front();
  }
}

std::optional<AppliedChange>
SettingsStore::applyChange(const wire::Change &TheChange, std::int64_t Index) {
  const std::int64_t NewVersion = Index + this->VersionBase;
  if (this->outcomeOf(TheChange.ChangeId))
    return std::nullopt;
  AppliedChange Out;
  Out.ChangeId = TheChange.ChangeId;
  Out.Change =
      applyEdits(TheChange.Edits, NewVersion, this->Settings, this->Hash);
  Out.Change.From = this->Version;
  this->Version = NewVersion;
  Out.Change.Hash = static_cast<std::int64_t>(this->Hash);
  this->recordOutcome(TheChange.ChangeId, NewVersion);
  // Entries that the check has compiled are reused.
  const std::shared_ptr<const RouteTable> Previous =
      this->CheckedTable ? std::move(this->CheckedTable) : this->Table;
  this->CheckedTable.reset();
  handleResult(
      [&] {
        return RouteTable::build(this->Settings, Previous.get(),
                                 Validation::Skip);
      },
      [&](auto Built) { this->Table = std::move(Built); });
  return Out;
}

std::optional<AppliedChange>
SettingsStore::applyRecovery(const wire::LogEntry &Entry) {
  // The recovered content gets a new version, so that proxies that hold a
  // lost version update to it.
  AppliedChange Out;
  Out.Change.From = this->Version;
  this->VersionBase = Entry.VersionBase;
  this->Version = Entry.Index + this->VersionBase;
  Out.Change.To = this->Version;
  Out.Change.Hash = static_cast<std::int64_t>(this->Hash);
  return Out;
}

std::optional<AppliedChange> SettingsStore::apply(const wire::LogEntry &Entry) {
  switch (Entry.Kind) {
  case wire::EntryKind::Change:
    return this->applyChange(Entry.TheChange, Entry.Index);
  case wire::EntryKind::Team:
    this->Teams[Entry.Team.Team] = Entry.Team;
    return std::nullopt;
  case wire::EntryKind::Claims:
    this->Claims.apply(Entry.Claims, Entry.ExpireClaimsThrough);
    return std::nullopt;
  case wire::EntryKind::Voters:
    if (Entry.VersionBase > this->VersionBase)
      return this->applyRecovery(Entry);
    return std::nullopt;
  case wire::EntryKind::Noop:
    return std::nullopt;
  }
  return std::nullopt;
}

bool SettingsStore::authorized(std::string_view Team,
                               std::string_view Token) const {
  const auto Found = this->Teams.find(Team);
  if (Found == this->Teams.end())
    return false;
  return equalInConstantTime(hashToken(Found->second.Salt, Token),
                             Found->second.TokenHash);
}

wire::StoreSnapshot SettingsStore::snapshot(std::int64_t LastIndex,
                                            std::int64_t LastTerm) const {
  wire::StoreSnapshot Out;
  Out.LastIndex = LastIndex;
  Out.LastTerm = LastTerm;
  Out.ConfigurationVersion = this->Version;
  for (const auto &[Path, Entry] : this->Settings)
    Out.Settings.push_back(Entry);
  for (const auto &[Name, Grant] : this->Teams)
    Out.Teams.push_back(Grant);
  for (const std::string &ChangeId : this->OutcomeOrder) {
    wire::ChangeOutcome Outcome;
    Outcome.ChangeId = ChangeId;
    Outcome.Version = this->Outcomes.find(ChangeId)->second;
    Out.Outcomes.push_back(std::move(Outcome));
  }
  Out.OutcomesEvictedThrough = this->OutcomesEvictedThrough;
  Out.Claims = this->Claims.all();
  Out.VersionBase = this->VersionBase;
  return Out;
}

leaf::result<void> SettingsStore::restore(const wire::StoreSnapshot &Snapshot) {
  SettingsStore RestoredStore;
  for (const wire::Setting &Entry : Snapshot.Settings)
    RestoredStore.Settings.emplace(Entry.Path, Entry);
  for (const wire::TeamGrant &Grant : Snapshot.Teams)
    RestoredStore.Teams.emplace(Grant.Team, Grant);
  for (const wire::ChangeOutcome &Outcome : Snapshot.Outcomes) {
    RestoredStore.OutcomeOrder.push_back(Outcome.ChangeId);
    RestoredStore.Outcomes.emplace(Outcome.ChangeId, Outcome.Version);
  }
  RestoredStore.OutcomesEvictedThrough = Snapshot.OutcomesEvictedThrough;
  RestoredStore.Claims.restore(Snapshot.Claims);
  RestoredStore.Version = Snapshot.ConfigurationVersion;
  RestoredStore.VersionBase = Snapshot.VersionBase;
  RestoredStore.Hash = hashOf(RestoredStore.Settings);
  BOOST_LEAF_AUTO(Built,
                  RouteTable::build(RestoredStore.Settings, this->Table.get(),
                                    Validation::Skip));
  RestoredStore.Table = std::move(Built);
  *this = std::move(RestoredStore);
  return {};
}

} // namespace persimmon
