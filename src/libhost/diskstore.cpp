#include "diskstore.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace persimmon {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t RecordHeaderBytes = 9;
constexpr std::size_t SectorBytes = 512;
constexpr char HardStateRecord = 'h';
constexpr char EntryRecord = 'e';
constexpr char SnapshotRecord = 's';

std::string systemError() { return std::strerror(errno); }

leaf::result<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary | std::ios::ate);
  const std::streamoff Size = In ? static_cast<std::streamoff>(In.tellg()) : 0;
  // No file of the store is empty after its first use.
  if (Size <= 0)
    return fail(ResultCode::DiskDamaged, Path, "cannot read the file");
  std::string Text(static_cast<std::size_t>(Size), '\0');
  In.seekg(0);
  if (!In.read(Text.data(), Size))
    return fail(ResultCode::DiskDamaged, Path, "cannot read the file");
  return Text;
}

leaf::result<void> writeAll(int Descriptor, std::string_view Bytes,
                            const std::string &Path) {
  while (!Bytes.empty()) {
    const ssize_t Written = ::write(Descriptor, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return fail(ResultCode::DiskWriteFailed, Path, systemError());
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return {};
}

void appendUint32(std::string &Out, std::uint32_t Value) {
  for (int Shift = 0; Shift < 32; Shift += 8)
    Out += static_cast<char>((Value >> Shift) & 0xffU);
}

std::uint32_t readUint32(std::string_view Bytes) {
  std::uint32_t Value = 0;
  for (int I = 3; I >= 0; --I)
    Value = (Value << 8) |
            static_cast<std::uint8_t>(Bytes[static_cast<std::size_t>(I)]);
  return Value;
}

/// A record parsed from the start of a byte range. Complete: the range holds
/// the whole record. Valid: its kind is known and its checksum matches.
struct ParsedRecord {
  char Kind = 0;
  std::string_view Payload;
  std::size_t Size = 0;
  bool Complete = false;
  bool Valid = false;
};

ParsedRecord parseRecord(std::string_view Bytes) {
  ParsedRecord Out;
  if (Bytes.size() < RecordHeaderBytes)
    return Out;
  Out.Kind = Bytes[0];
  const std::size_t Length = readUint32(Bytes.substr(1));
  const std::uint32_t Checksum = readUint32(Bytes.substr(5));
  Out.Size = RecordHeaderBytes + Length;
  if (Out.Size > Bytes.size())
    return Out;
  Out.Complete = true;
  Out.Payload = Bytes.substr(RecordHeaderBytes, Length);
  const bool KnownKind = Out.Kind == HardStateRecord ||
                         Out.Kind == EntryRecord || Out.Kind == SnapshotRecord;
  Out.Valid = KnownKind && checksumOf(Out.Payload) == Checksum;
  return Out;
}

/// Returns whether a valid record starts at any offset of \p Bytes.
bool containsValidRecord(std::string_view Bytes) {
  for (std::size_t I = 0; I + RecordHeaderBytes < Bytes.size(); ++I) {
    const ParsedRecord Record = parseRecord(Bytes.substr(I));
    if (Record.Valid && !Record.Payload.empty())
      return true;
  }
  return false;
}

/// Returns whether an invalid record at the start of \p Rest is a torn write.
/// An interrupted write leaves the last record truncated, or with unwritten
/// blocks that read as zeros. Anything else is damage to synced data.
bool isTornWrite(std::string_view Rest, const ParsedRecord &Record) {
  if (containsValidRecord(Rest.substr(1)))
    return false;
  if (!Record.Complete)
    return true;
  const std::size_t TailBytes = std::min(SectorBytes, Rest.size());
  const std::string_view Tail = Rest.substr(Rest.size() - TailBytes);
  const auto Zeros =
      Tail.size() - std::min(Tail.size(), Tail.find_last_not_of('\0') + 1);
  return Zeros >= RecordHeaderBytes;
}

} // namespace

std::string makeRecord(char Kind, std::string_view Payload) {
  std::string Out(1, Kind);
  appendUint32(Out, static_cast<std::uint32_t>(Payload.size()));
  appendUint32(Out, checksumOf(Payload));
  Out += Payload;
  return Out;
}

DiskStore::DiskStore(DiskStore &&Other) noexcept { *this = std::move(Other); }

DiskStore &DiskStore::operator=(DiskStore &&Other) noexcept {
  std::swap(this->Folder, Other.Folder);
  std::swap(this->DiskId, Other.DiskId);
  std::swap(this->State, Other.State);
  std::swap(this->Damage, Other.Damage);
  std::swap(this->New, Other.New);
  std::swap(this->CutBytes, Other.CutBytes);
  std::swap(this->JournalDescriptor, Other.JournalDescriptor);
  std::swap(this->FolderDescriptor, Other.FolderDescriptor);
  std::swap(this->Hard, Other.Hard);
  std::swap(this->Tail, Other.Tail);
  std::swap(this->JournalBytes, Other.JournalBytes);
  return *this;
}

DiskStore::~DiskStore() {
  if (this->JournalDescriptor >= 0)
    ::close(this->JournalDescriptor);
  if (this->FolderDescriptor >= 0)
    ::close(this->FolderDescriptor);
}

std::string DiskStore::path(std::string_view Name) const {
  return this->Folder + "/" + std::string(Name);
}

leaf::result<DiskStore>
DiskStore::open(const std::string &Folder, std::int64_t NewDiskId,
                std::optional<std::int64_t> InitialDiskId) {
  DiskStore Out;
  Out.Folder = Folder;
  BOOST_LEAF_CHECK(Out.openFolder());
  if (!fs::exists(Out.path("disk-id"))) {
    Out.New = true;
    BOOST_LEAF_CHECK(Out.initializeEmpty(InitialDiskId.value_or(NewDiskId)));
  } else {
    Out.Damage = handleResult([&] { return Out.readAll(); }, [] {});
    if (Out.Damage.failed())
      BOOST_LEAF_CHECK(Out.initializeEmpty(NewDiskId));
  }
  BOOST_LEAF_CHECK(Out.openJournal());
  Out.Hard = Out.State.HardState;
  return Out;
}

leaf::result<void> DiskStore::openFolder() {
  std::error_code Error;
  fs::create_directories(this->Folder, Error);
  this->FolderDescriptor = ::open(this->Folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (this->FolderDescriptor < 0 || ::access(this->Folder.c_str(), W_OK) != 0)
    return fail(ResultCode::DataFolderUnwritable, this->Folder, systemError());
  if (::flock(this->FolderDescriptor, LOCK_EX | LOCK_NB) != 0)
    return fail(ResultCode::DataFolderUnwritable, this->Folder,
                "the folder is locked by another process");
  return {};
}

leaf::result<void> DiskStore::readAll() {
  BOOST_LEAF_AUTO(Text, readFile(this->path("disk-id")));
  const ParsedRecord Record = parseRecord(Text);
  if (!Record.Valid)
    return fail(ResultCode::DiskDamaged, this->path("disk-id"));
  this->DiskId = std::stoll(std::string(Record.Payload));
  BOOST_LEAF_CHECK(this->readSnapshot());
  return this->readJournal();
}

leaf::result<void> DiskStore::readSnapshot() {
  if (!fs::exists(this->path("snapshot")))
    return {};
  BOOST_LEAF_AUTO(Text, readFile(this->path("snapshot")));
  const ParsedRecord Record = parseRecord(Text);
  if (!Record.Valid || Record.Kind != SnapshotRecord)
    return fail(ResultCode::DiskDamaged, this->path("snapshot"));
  BOOST_LEAF_ASSIGN(this->State.Snapshot, decodeSnapshot(Record.Payload));
  return {};
}

leaf::result<void> DiskStore::applyRecord(char Kind, std::string_view Payload,
                                          std::uint64_t Offset,
                                          std::size_t Size) {
  if (Kind == HardStateRecord) {
    BOOST_LEAF_ASSIGN(this->State.HardState, decodeHardState(Payload));
    return {};
  }
  BOOST_LEAF_AUTO(Entry, decodeLogEntry(Payload));
  auto &Entries = this->State.Entries;
  const std::int64_t Base = this->State.Snapshot.LastIndex;
  if (Entry.Index <= Base)
    return {};
  const std::int64_t Expected =
      Base + static_cast<std::int64_t>(Entries.size()) + 1;
  if (Entry.Index > Expected)
    return fail(ResultCode::DiskDamaged, this->path("journal"),
                "the journal lacks an entry before index " +
                    std::to_string(Entry.Index));
  const auto Kept = static_cast<std::size_t>(Entry.Index - Base - 1);
  Entries.resize(Kept);
  this->Tail.resize(Kept);
  this->Tail.push_back({Entry.Index, Entry.Term, Offset, Size});
  Entries.push_back(std::move(Entry));
  return {};
}

leaf::result<void> DiskStore::readJournal() {
  BOOST_LEAF_AUTO(Text, readFile(this->path("journal")));
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    const std::size_t Offset = Text.size() - Rest.size();
    this->JournalBytes = Offset;
    const ParsedRecord Record = parseRecord(Rest);
    if (!Record.Valid) {
      if (!isTornWrite(Rest, Record))
        return fail(ResultCode::DiskDamaged, this->path("journal"),
                    "invalid record at byte " + std::to_string(Offset) +
                        " of " + std::to_string(Text.size()));
      this->CutBytes = Rest.size();
      std::error_code Error;
      fs::resize_file(this->path("journal"), Offset, Error);
      if (Error)
        return fail(ResultCode::DiskDamaged, this->path("journal"),
                    Error.message());
      return {};
    }
    BOOST_LEAF_CHECK(
        this->applyRecord(Record.Kind, Record.Payload, Offset, Record.Size));
    Rest.remove_prefix(Record.Size);
  }
  this->JournalBytes = Text.size();
  return {};
}

leaf::result<void> DiskStore::initializeEmpty(std::int64_t NewDiskId) {
  std::error_code Error;
  const std::string DamagedFolder = this->path(
      "lost-" + std::to_string(this->DiskId) + "-" + std::to_string(NewDiskId));
  for (const char *Name : {"disk-id", "snapshot", "journal"}) {
    if (!fs::exists(this->path(Name)))
      continue;
    fs::create_directories(DamagedFolder, Error);
    fs::rename(this->path(Name), DamagedFolder + "/" + Name, Error);
  }
  this->State = DurableState();
  this->Tail.clear();
  this->JournalBytes = 0;
  this->DiskId = NewDiskId;
  BOOST_LEAF_CHECK(this->replaceFile("journal", ""));
  return this->replaceFile("disk-id",
                           makeRecord('h', std::to_string(this->DiskId)));
}

leaf::result<void> DiskStore::replaceFile(const std::string &Name,
                                          std::string_view Bytes) {
  const std::string TemporaryPath = this->path(Name + ".new");
  const int Descriptor = ::open(TemporaryPath.c_str(),
                                O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (Descriptor < 0)
    return fail(ResultCode::DataFolderUnwritable, TemporaryPath, systemError());
  const Failure Error = handleResult(
      [&] { return writeAll(Descriptor, Bytes, TemporaryPath); }, [] {});
  const bool Synced = !Error.failed() && ::fsync(Descriptor) == 0;
  ::close(Descriptor);
  if (!Synced ||
      ::rename(TemporaryPath.c_str(), this->path(Name).c_str()) != 0 ||
      ::fsync(this->FolderDescriptor) != 0)
    return fail(ResultCode::DiskWriteFailed, this->path(Name), systemError());
  return {};
}

leaf::result<void> DiskStore::openJournal() {
  if (this->JournalDescriptor >= 0)
    ::close(this->JournalDescriptor);
  this->JournalDescriptor =
      ::open(this->path("journal").c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (this->JournalDescriptor < 0)
    return fail(ResultCode::DataFolderUnwritable, this->path("journal"),
                systemError());
  return {};
}

leaf::result<void> DiskStore::append(std::string_view Bytes) {
  BOOST_LEAF_CHECK(
      writeAll(this->JournalDescriptor, Bytes, this->path("journal")));
  if (::fdatasync(this->JournalDescriptor) != 0)
    return fail(ResultCode::DiskWriteFailed, this->path("journal"),
                systemError());
  this->JournalBytes += Bytes.size();
  return {};
}

leaf::result<void> DiskStore::write(const PersistHardState &Record) {
  this->Hard = Record.State;
  return this->append(makeRecord(HardStateRecord, encodeRecord(Record.State)));
}

leaf::result<void> DiskStore::write(const PersistEntries &Record) {
  std::erase_if(this->Tail, [&](const JournalEntry &Entry) {
    return Entry.Index >= Record.Entries.front().Index;
  });
  std::string Bytes;
  for (const wire::LogEntry &Entry : Record.Entries) {
    const std::uint64_t Offset = this->JournalBytes + Bytes.size();
    const std::string Encoded = makeRecord(EntryRecord, encodeRecord(Entry));
    this->Tail.push_back({Entry.Index, Entry.Term, Offset, Encoded.size()});
    Bytes += Encoded;
  }
  return this->append(Bytes);
}

leaf::result<std::string> DiskStore::readTail() const {
  std::ifstream In(this->path("journal"), std::ios::binary);
  std::string Out;
  for (const JournalEntry &Entry : this->Tail) {
    const std::size_t Begin = Out.size();
    Out.resize(Begin + Entry.Size);
    In.seekg(static_cast<std::streamoff>(Entry.Offset));
    if (!In.read(Out.data() + Begin, static_cast<std::streamsize>(Entry.Size)))
      return fail(ResultCode::DiskWriteFailed, this->path("journal"),
                  "cannot read an entry again");
  }
  return Out;
}

leaf::result<void> DiskStore::write(const PersistSnapshot &Record) {
  const wire::StoreSnapshot &Snapshot = Record.Snapshot;
  BOOST_LEAF_CHECK(this->replaceFile(
      "snapshot", makeRecord(SnapshotRecord, encodeRecord(Snapshot))));
  // A snapshot installed from the leader replaces the journal's entries unless
  // they continue it.
  const auto Last = std::find_if(this->Tail.begin(), this->Tail.end(),
                                 [&](const JournalEntry &Entry) {
                                   return Entry.Index == Snapshot.LastIndex;
                                 });
  if (Last == this->Tail.end() || Last->Term != Snapshot.LastTerm)
    this->Tail.clear();
  else
    this->Tail.erase(this->Tail.begin(), Last + 1);
  BOOST_LEAF_AUTO(TailRecords, this->readTail());
  const std::string Hard =
      makeRecord(HardStateRecord, encodeRecord(this->Hard));
  BOOST_LEAF_CHECK(this->replaceFile("journal", Hard + TailRecords));
  this->JournalBytes = Hard.size();
  for (JournalEntry &Entry : this->Tail) {
    Entry.Offset = this->JournalBytes;
    this->JournalBytes += Entry.Size;
  }
  return this->openJournal();
}

} // namespace persimmon
