#pragma once

#include "libwire/libwire.h"

#include <cstdint>
#include <span>
#include <vector>

namespace persimmon {

/// The in-memory Raft log of one replica: the entries after the newest
/// compaction point.
class ReplicatedLog {
public:
  /// Moves the start of the log to \p Snapshot. Keeps the entries after it if
  /// the log matches the snapshot there, and otherwise drops all entries.
  void restore(const wire::StoreSnapshot &Snapshot);

  /// Truncates the log at the index of the first of \p Entries and appends
  /// them.
  void append(std::span<const wire::LogEntry> Entries);

  /// Drops the entries up to \p Index, which a snapshot covers.
  void compact(std::int64_t Index);

  /// Returns the index and term of the last entry, or of the snapshot if the
  /// log has no entries.
  std::int64_t lastIndex() const;
  std::int64_t lastTerm() const;

  /// Returns the index of the first entry after the snapshot.
  std::int64_t firstIndex() const { return this->BaseIndex + 1; }

  /// Returns whether the term of \p Index is known: the entry is in the log or
  /// is the last one that the snapshot covers.
  bool hasTermAt(std::int64_t Index) const;

  /// Returns the term of an index for which hasTermAt() is true.
  std::int64_t termAt(std::int64_t Index) const;

  /// Returns the entry at an index from firstIndex() to lastIndex().
  const wire::LogEntry &at(std::int64_t Index) const;

  /// Returns at most \p Limit entries from \p First on, and of these at least
  /// one and no more than take \p MaxBytes of memory.
  std::vector<wire::LogEntry> slice(std::int64_t First, std::size_t Limit,
                                    std::size_t MaxBytes) const;

  /// Returns the memory that the entries take.
  std::size_t bytes() const { return this->Bytes; }

  /// Returns the lowest index from which on the entries take at most
  /// \p MaxBytes of memory.
  std::int64_t firstIndexWithin(std::size_t MaxBytes) const;

  /// Returns the voters from the newest Voters entry, committed or not.
  const std::vector<wire::Replica> &voters() const { return this->Voters; }

  /// Returns the index of the newest Voters entry.
  std::int64_t votersIndex() const { return this->VotersIndex; }

private:
  void refreshVoters();
  /// Removes the entries from position \p Begin up to \p End of Entries.
  void erase(std::size_t Begin, std::size_t End);

  std::int64_t BaseIndex = 0;
  std::int64_t BaseTerm = 0;
  std::vector<wire::Replica> BaseVoters;
  std::vector<wire::LogEntry> Entries;
  /// Memory that Entries take.
  std::size_t Bytes = 0;
  std::vector<wire::Replica> Voters;
  std::int64_t VotersIndex = 0;
};

} // namespace persimmon
