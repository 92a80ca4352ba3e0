#pragma once

#include "storagefolder.h"

#include "libpersimmon/libpersimmon.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Persistent storage of one control instance: the identity of its disk, a
/// snapshot, and a journal of log entries and hard states. Every write is
/// synced before it returns.
class DiskStore {
public:
  /// Opens the folder, creates it if it is missing, and reads its content.
  /// Damaged files are moved to a subfolder and the disk gets \p NewDiskId, so
  /// that the replica restarts as a non-voter. A folder without a disk id gets
  /// \p InitialDiskId if that is given, else \p NewDiskId. Errors:
  /// DataFolderUnwritable, DiskReadFailed, DiskWriteFailed, and those of the
  /// decoders for a sound record that this build cannot decode. None of them
  /// counts as damage.
  static leaf::result<DiskStore>
  open(const std::string &Folder, std::int64_t NewDiskId,
       std::optional<std::int64_t> InitialDiskId = std::nullopt);
  static leaf::result<DiskStore>
  open(std::unique_ptr<StorageFolder> Files, std::int64_t NewDiskId,
       std::optional<std::int64_t> InitialDiskId = std::nullopt);

  std::int64_t diskId() const { return this->DiskId; }
  const DurableState &state() const { return this->State; }

  /// Returns the damage that made open() move the files away, or Ok.
  const Failure &damage() const { return this->Damage; }

  /// Returns whether open() found no store in the folder.
  bool isNew() const { return this->New; }

  /// Returns the bytes of an unfinished write that open() cut off the journal.
  std::uint64_t cutBytes() const { return this->CutBytes; }

  std::uint64_t journalBytes() const { return this->JournalBytes; }

  /// Frees the state read by open() after the caller has copied it.
  void releaseState() { this->State = DurableState(); }

  /// Write and sync one record. Errors: DiskWriteFailed, DiskReadFailed;
  /// after an error the process must exit, because the content of the disk is
  /// unknown.
  leaf::result<void> write(const PersistHardState &Record);
  leaf::result<void> write(const PersistEntries &Record);
  leaf::result<void> write(const PersistSnapshot &Record);

private:
  struct LogPosition {
    std::int64_t Index = 0;
    std::int64_t Term = 0;
    bool operator==(const LogPosition &) const = default;
  };
  /// Where the journal holds an entry that may be needed again. The entries
  /// themselves are not kept a second time.
  struct JournalEntry {
    std::int64_t Index = 0;
    std::int64_t Term = 0;
    std::uint64_t Offset = 0;
    std::size_t Size = 0;
  };

  DiskStore() = default;

  leaf::result<void> readAll();
  leaf::result<void> readSnapshot();
  leaf::result<void> readJournal();
  /// Reads a journal without a header, whose records are the entries and hard
  /// states themselves, and replaces it.
  leaf::result<void> readFormat1(std::string_view Text);
  leaf::result<void> readAppends(std::string_view Text);
  /// Finishes the replacement of the journal that a stored snapshot demands.
  leaf::result<void> matchSnapshot();
  /// Drops what was read of entries that the snapshot covers, and all entries
  /// if they do not continue it.
  void dropCoveredEntries();
  bool readHeader(std::string_view Payload);
  leaf::result<void> applyAppend(std::string_view Records,
                                 std::uint64_t Offset);
  leaf::result<void> applyRecord(char Kind, std::string_view Payload,
                                 std::uint64_t Offset, std::size_t Size);
  /// Returns the records of the entries in Tail, read from the journal.
  leaf::result<std::string> readTail() const;
  /// Returns the first entry in Tail that the snapshot does not cover; the end
  /// if the entries do not continue the snapshot.
  std::vector<JournalEntry>::const_iterator firstUncovered() const;
  /// Returns the failure for an invalid record at \p Offset of \p Size bytes.
  leaf::result<void> damagedAt(std::uint64_t Offset, std::uint64_t Size) const;
  /// Moves a damaged store aside and starts an empty one as another replica.
  leaf::result<void> giveUp(std::int64_t NewDiskId);
  leaf::result<void> initializeEmpty(std::int64_t NewDiskId);
  /// Writes a journal with the hard state and the entries in Tail.
  leaf::result<void> replaceJournal();
  /// Returns the head of the next append, which is filled in by append().
  std::string startAppend() const;
  leaf::result<void> append(std::string Bytes);

  std::unique_ptr<StorageFolder> Folder;
  std::int64_t DiskId = 0;
  DurableState State;
  Failure Damage;
  bool New = false;
  std::uint64_t CutBytes = 0;
  wire::HardState Hard;
  /// Last entry that the stored snapshot covers.
  LogPosition Snapshot;
  /// Last entry that the snapshot covers for which the journal was written;
  /// nothing for a journal of format 1 that holds no entry.
  std::optional<LogPosition> JournalBase;
  std::vector<JournalEntry> Tail;
  std::uint64_t JournalBytes = 0;
  /// Part of the checksum of each append, so that no bytes of a setting read
  /// as one. Drawn for each journal.
  std::uint32_t Salt = 0;
  /// Number of the next append to this journal.
  std::uint64_t AppendNumber = 1;
};

/// Encodes a journal record: kind, payload length, checksum and payload.
std::string makeRecord(char Kind, std::string_view Payload);

} // namespace persimmon
