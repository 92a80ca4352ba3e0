#include "replicatedlog.h"

#include <algorithm>

namespace persimmon {

void ReplicatedLog::restore(const wire::StoreSnapshot &Snapshot) {
  if (this->hasTermAt(Snapshot.LastIndex) &&
      this->termAt(Snapshot.LastIndex) == Snapshot.LastTerm) {
    this->compact(Snapshot.LastIndex);
    return;
  }
  this->erase(0, this->Entries.size());
  this->BaseIndex = Snapshot.LastIndex;
  this->BaseTerm = Snapshot.LastTerm;
  this->BaseVoters = Snapshot.Voters;
  this->refreshVoters();
}

void ReplicatedLog::append(std::span<const wire::LogEntry> NewEntries) {
  if (NewEntries.empty())
    return;
  const std::int64_t First = NewEntries.front().Index;
  if (First <= this->lastIndex())
    this->erase(static_cast<std::size_t>(First - this->firstIndex()),
                this->Entries.size());
  for (const wire::LogEntry &Entry : NewEntries)
    this->Bytes += memoryOf(Entry);
  this->Entries.insert(this->Entries.end(), NewEntries.begin(),
                       NewEntries.end());
  this->refreshVoters();
}

void ReplicatedLog::compact(std::int64_t Index) {
  if (Index <= this->BaseIndex)
    return;
  const std::int64_t Term = this->termAt(Index);
  const auto Covered = static_cast<std::ptrdiff_t>(Index - this->BaseIndex);
  for (std::ptrdiff_t I = 0; I < Covered; ++I) {
    const auto &Entry = this->Entries[static_cast<std::size_t>(I)];
    if (Entry.Kind == wire::EntryKind::Voters)
      this->BaseVoters = Entry.Voters;
  }
  this->erase(0, static_cast<std::size_t>(Covered));
  this->BaseIndex = Index;
  this->BaseTerm = Term;
  this->refreshVoters();
}

void ReplicatedLog::erase(std::size_t Begin, std::size_t End) {
  const auto First = this->Entries.begin() + static_cast<std::ptrdiff_t>(Begin);
  const auto Last = this->Entries.begin() + static_cast<std::ptrdiff_t>(End);
  for (auto Entry = First; Entry != Last; ++Entry)
    this->Bytes -= memoryOf(*Entry);
  this->Entries.erase(First, Last);
}

std::int64_t ReplicatedLog::firstIndexWithin(std::size_t MaxBytes) const {
  std::size_t Sum = 0;
  std::int64_t Index = this->lastIndex() + 1;
  for (auto Entry = this->Entries.rbegin(); Entry != this->Entries.rend();
       ++Entry) {
    Sum += memoryOf(*Entry);
    if (Sum > MaxBytes)
      break;
    Index = Entry->Index;
  }
  return Index;
}

std::int64_t ReplicatedLog::lastIndex() const {
  return this->BaseIndex + static_cast<std::int64_t>(this->Entries.size());
}

std::int64_t ReplicatedLog::lastTerm() const {
  return this->Entries.empty() ? this->BaseTerm : this->Entries.back().Term;
}

bool ReplicatedLog::hasTermAt(std::int64_t Index) const {
  return Index >= this->BaseIndex && Index <= this->lastIndex();
}

std::int64_t ReplicatedLog::termAt(std::int64_t Index) const {
  return Index == this->BaseIndex ? this->BaseTerm : this->at(Index).Term;
}

const wire::LogEntry &ReplicatedLog::at(std::int64_t Index) const {
  return this->Entries[static_cast<std::size_t>(Index - this->firstIndex())];
}

std::vector<wire::LogEntry> ReplicatedLog::slice(std::int64_t First,
                                                 std::size_t Limit,
                                                 std::size_t MaxBytes) const {
  std::vector<wire::LogEntry> Out;
  std::size_t Sum = 0;
  for (std::int64_t I = First; I <= this->lastIndex(); ++I) {
    Sum += memoryOf(this->at(I));
    if (Out.size() == Limit || (Sum > MaxBytes && !Out.empty()))
      break;
    Out.push_back(this->at(I));
  }
  return Out;
}

void ReplicatedLog::refreshVoters() {
  const auto Newest =
      std::find_if(this->Entries.rbegin(), this->Entries.rend(),
                   [](const wire::LogEntry &Entry) {
                     return Entry.Kind == wire::EntryKind::Voters;
                   });
  if (Newest == this->Entries.rend()) {
    this->Voters = this->BaseVoters;
    this->VotersIndex = this->BaseIndex;
    return;
  }
  this->Voters = Newest->Voters;
  this->VotersIndex = Newest->Index;
}

} // namespace persimmon
