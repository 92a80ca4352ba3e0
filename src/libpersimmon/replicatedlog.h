#pragma once

#include "libwire/libwire.h"

#include <cstdint>
#include <span>
#include <vector>

namespace persimmon {

/// The log entries behind the newest snapshot, as one replica holds them.
class ReplicatedLog {
public:
  /// Takes over a snapshot and drops every entry that it covers.
  void restore(const wire::StoreSnapshot &Snapshot);

  /// Appends \p Entries after dropping everything from the first one's index.
  void append(std::span<const wire::LogEntry> Entries);

  /// Drops entries up to \p Index, which a snapshot now covers.
  void compact(std::int64_t Index);

  /// Returns index and term of the newest entry, or of the snapshot.
  std::int64_t lastIndex() const;
  std::int64_t lastTerm() const;

  /// Returns the index of the first entry behind the snapshot.
  std::int64_t firstIndex() const { return this->BaseIndex + 1; }

  /// Returns whether the term of \p Index is known: it is in the log or is
  /// the last one of the snapshot.
  bool knows(std::int64_t Index) const;

  /// Returns the term of an index for which knows() is true.
  std::int64_t termAt(std::int64_t Index) const;

  /// Returns the entry at an index from firstIndex() to lastIndex().
  const wire::LogEntry &at(std::int64_t Index) const;

  /// Returns at most \p Limit entries from \p First on.
  std::vector<wire::LogEntry> slice(std::int64_t First,
                                    std::size_t Limit) const;

  /// Returns the replicas of the newest voters entry, committed or not.
  const std::vector<wire::Replica> &voters() const { return this->Voters; }

  /// Returns the index of the newest voters entry.
  std::int64_t votersIndex() const { return this->VotersIndex; }

private:
  void refreshVoters();

  std::int64_t BaseIndex = 0;
  std::int64_t BaseTerm = 0;
  std::vector<wire::Replica> BaseVoters;
  std::vector<wire::LogEntry> Entries;
  std::vector<wire::Replica> Voters;
  std::int64_t VotersIndex = 0;
};

} // namespace persimmon
