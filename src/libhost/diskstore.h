#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// The files of one control instance: the identity of its disk, a snapshot and
/// a journal of log entries and votes. Everything is synced before a write
/// returns. Owns the journal's file descriptor.
class DiskStore {
public:
  /// Opens the folder, making it if it is missing, and reads what it holds.
  /// Damaged files are moved aside and the disk gets a new identity, so that
  /// the replica starts without a vote. A folder that never held anything gets
  /// \p BlankId, if that is given. Errors: DataFolderUnwritable.
  static leaf::result<DiskStore>
  open(const std::string &Folder, std::int64_t NewDiskId,
       std::optional<std::int64_t> BlankId = std::nullopt);

  DiskStore(DiskStore &&Other) noexcept;
  DiskStore &operator=(DiskStore &&Other) noexcept;
  DiskStore(const DiskStore &) = delete;
  DiskStore &operator=(const DiskStore &) = delete;
  ~DiskStore();

  std::int64_t diskId() const { return this->DiskId; }
  const DurableState &state() const { return this->State; }

  /// Returns why the files were moved aside at open(), or Ok.
  const Failure &damage() const { return this->Damage; }

  /// Frees the state that was read, once it has been taken over.
  void releaseState() { this->State = DurableState(); }

  /// Each writes and syncs. Errors: DiskWriteFailed; the process must end,
  /// because what is on disk is no longer known.
  leaf::result<void> write(const PersistHardState &Record);
  leaf::result<void> write(const PersistEntries &Record);
  leaf::result<void> write(const PersistSnapshot &Record);

private:
  DiskStore() = default;

  leaf::result<void> prepareFolder();
  leaf::result<void> readAll();
  leaf::result<void> readSnapshot();
  leaf::result<void> readJournal();
  leaf::result<void> takeRecord(char Kind, std::string_view Payload);
  leaf::result<void> startAfresh(std::int64_t NewDiskId);
  leaf::result<void> openJournal();
  leaf::result<void> append(std::string_view Bytes);
  leaf::result<void> replaceFile(const std::string &Name,
                                 std::string_view Bytes);
  std::string path(std::string_view Name) const;

  std::string Folder;
  std::int64_t DiskId = 0;
  DurableState State;
  Failure Damage;
  int JournalFile = -1;
  int FolderFile = -1;
  wire::HardState Hard;
  std::vector<wire::LogEntry> Tail;
};

/// Returns one journal record: kind, length, checksum and payload.
std::string makeRecord(char Kind, std::string_view Payload);

} // namespace persimmon
