#include "settingsstore.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxOutcomes = 4096;
constexpr std::size_t MaxEdits = 20'000;
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

Failure SettingsStore::checkForm(const wire::Change &Candidate,
                                 std::int64_t OutcomesEvictedThrough) {
  if (Candidate.ChangeId.empty() ||
      Candidate.ChangeId.size() > MaxChangeIdBytes || Candidate.Edits.empty())
    return {ResultCode::ValueInvalid, Candidate.ChangeId,
            "a change needs an id of 1 to 100 bytes and at least one edit"};
  if (Candidate.BasedOn < OutcomesEvictedThrough)
    return {ResultCode::ChangeTooOld, Candidate.ChangeId, {}};
  if (Candidate.Edits.size() > MaxEdits)
    return {ResultCode::LimitExceeded, Candidate.ChangeId, "too many edits"};
  return {};
}

Failure SettingsStore::check(const wire::Change &Candidate) {
  this->startCheck(Candidate);
  while (true) {
    if (auto Result = this->advanceCheck(MaxEdits))
      return std::move(*Result);
  }
}

void SettingsStore::startCheck(const wire::Change &Candidate) {
  this->Running = std::make_unique<RunningCheck>();
  this->Running->Candidate = &Candidate;
  this->Running->Refusal = checkForm(Candidate, this->OutcomesEvictedThrough);
}

std::optional<Failure> SettingsStore::advanceCheck(std::size_t MaxEdits) {
  if (this->Running->Refusal.failed()) {
    Failure Refusal = std::move(this->Running->Refusal);
    this->Running.reset();
    return Refusal;
  }
  if (!this->advanceTable(MaxEdits))
    return std::nullopt;
  if (!this->Running->Steps)
    this->Running->Steps.emplace(this->Settings, this->Table,
                                 *this->Running->Candidate,
                                 this->TextPrefixTeam);
  this->CompiledSettings +=
      std::min(MaxEdits, this->Running->Candidate->Edits.size());
  auto Result = this->Running->Steps->advance(MaxEdits);
  if (!Result)
    return std::nullopt;
  if (!Result->failed()) {
    this->CheckedChangeId = this->Running->Candidate->ChangeId;
    this->CheckedTable = this->Running->Steps->table();
  }
  this->Running.reset();
  return Result;
}

bool SettingsStore::advanceTable(std::size_t MaxSettings) {
  if (this->Table)
    return true;
  if (!this->Draft)
    this->Draft.emplace(
        TableDraft{RouteTableBuilder(nullptr, nullptr,
                                     {Validation::Skip, this->TextPrefixTeam}),
                   {}});
  auto Item = this->Settings.lower_bound(this->Draft->NextPath);
  for (std::size_t I = 0; I < MaxSettings && Item != this->Settings.end();
       ++I, ++Item) {
    this->CompiledSettings += 1;
    handleResult(
        [&] {
          return this->Draft->Builder.put(Item->first, Item->second.Value);
        },
        [] {});
  }
  if (Item != this->Settings.end()) {
    this->Draft->NextPath = Item->first;
    return false;
  }
  handleResult([&] { return this->Draft->Builder.finish(); },
               [&](auto Built) { this->Table = std::move(Built); });
  // Committed settings were validated before the commit, so they compile.
  if (!this->Table)
    this->Table = std::make_shared<const RouteTable>();
  this->Draft.reset();
  return true;
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
  // A replica that did not check the change compiles nothing until it leads.
  this->Table = this->CheckedChangeId == TheChange.ChangeId
                    ? std::move(this->CheckedTable)
                    : nullptr;
  this->CheckedTable.reset();
  this->CheckedChangeId.clear();
  this->Draft.reset();
  this->Running.reset();
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
  SettingsStore RestoredStore(this->TextPrefixTeam);
  for (const wire::Setting &Entry : Snapshot.Settings) {
    BOOST_LEAF_CHECK(parseSettingPath(Entry.Path));
    RestoredStore.Settings.emplace(Entry.Path, Entry);
  }
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
  *this = std::move(RestoredStore);
  return {};
}

} // namespace persimmon
