#include "diskstore.h"

#include <algorithm>
#include <utility>

namespace persimmon {

namespace {

constexpr std::size_t RecordHeaderBytes = 9;
constexpr std::size_t SectorBytes = 512;
const std::string DiskIdFile = "disk-id";
const std::string SnapshotFile = "snapshot";
const std::string JournalFile = "journal";
constexpr char HardStateRecord = 'h';
constexpr char EntryRecord = 'e';
constexpr char SnapshotRecord = 's';

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

leaf::result<DiskStore>
DiskStore::open(const std::string &Folder, std::int64_t NewDiskId,
                std::optional<std::int64_t> InitialDiskId) {
  BOOST_LEAF_AUTO(Files, openStorageFolder(Folder));
  return DiskStore::open(std::move(Files), NewDiskId, InitialDiskId);
}

leaf::result<DiskStore>
DiskStore::open(std::unique_ptr<StorageFolder> Files, std::int64_t NewDiskId,
                std::optional<std::int64_t> InitialDiskId) {
  DiskStore Out;
  Out.Folder = std::move(Files);
  BOOST_LEAF_AUTO(HasDiskId, Out.Folder->contains(DiskIdFile));
  Out.New = !HasDiskId;
  if (Out.New) {
    BOOST_LEAF_CHECK(Out.initializeEmpty(InitialDiskId.value_or(NewDiskId)));
  } else {
    Out.Damage = handleResult([&] { return Out.readAll(); }, [] {});
    if (Out.Damage.failed() && Out.Damage.Code != ResultCode::DiskDamaged)
      return fail(Out.Damage.Code, Out.Damage.Where, Out.Damage.What);
    if (Out.Damage.failed())
      BOOST_LEAF_CHECK(Out.initializeEmpty(NewDiskId));
  }
  Out.Hard = Out.State.HardState;
  return Out;
}

leaf::result<void> DiskStore::readAll() {
  BOOST_LEAF_AUTO(Text, this->Folder->read(DiskIdFile));
  const ParsedRecord Record = parseRecord(Text);
  if (!Record.Valid)
    return fail(ResultCode::DiskDamaged, this->Folder->path(DiskIdFile));
  this->DiskId = std::stoll(std::string(Record.Payload));
  BOOST_LEAF_CHECK(this->readSnapshot());
  return this->readJournal();
}

leaf::result<void> DiskStore::readSnapshot() {
  BOOST_LEAF_AUTO(HasSnapshot, this->Folder->contains(SnapshotFile));
  if (!HasSnapshot)
    return {};
  BOOST_LEAF_AUTO(Text, this->Folder->read(SnapshotFile));
  const ParsedRecord Record = parseRecord(Text);
  if (!Record.Valid || Record.Kind != SnapshotRecord)
    return fail(ResultCode::DiskDamaged, this->Folder->path(SnapshotFile));
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
    return fail(ResultCode::DiskDamaged, this->Folder->path(JournalFile),
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
  BOOST_LEAF_AUTO(HasJournal, this->Folder->contains(JournalFile));
  if (!HasJournal)
    return fail(ResultCode::DiskDamaged, this->Folder->path(JournalFile),
                "the file is missing");
  BOOST_LEAF_AUTO(Text, this->Folder->read(JournalFile));
  if (Text.empty())
    return fail(ResultCode::DiskDamaged, this->Folder->path(JournalFile),
                "the file is empty");
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    const std::size_t Offset = Text.size() - Rest.size();
    this->JournalBytes = Offset;
    const ParsedRecord Record = parseRecord(Rest);
    if (!Record.Valid) {
      if (!isTornWrite(Rest, Record))
        return fail(ResultCode::DiskDamaged, this->Folder->path(JournalFile),
                    "invalid record at byte " + std::to_string(Offset) +
                        " of " + std::to_string(Text.size()));
      this->CutBytes = Rest.size();
      return this->Folder->truncate(JournalFile, Offset);
    }
    BOOST_LEAF_CHECK(
        this->applyRecord(Record.Kind, Record.Payload, Offset, Record.Size));
    Rest.remove_prefix(Record.Size);
  }
  this->JournalBytes = Text.size();
  return {};
}

leaf::result<void> DiskStore::initializeEmpty(std::int64_t NewDiskId) {
  const std::string LostFolder =
      "lost-" + std::to_string(this->DiskId) + "-" + std::to_string(NewDiskId);
  for (const std::string &Name : {DiskIdFile, SnapshotFile, JournalFile}) {
    BOOST_LEAF_AUTO(Exists, this->Folder->contains(Name));
    if (Exists)
      BOOST_LEAF_CHECK(this->Folder->moveAside(Name, LostFolder));
  }
  this->State = DurableState();
  this->Tail.clear();
  this->JournalBytes = 0;
  this->DiskId = NewDiskId;
  BOOST_LEAF_CHECK(this->Folder->replace(JournalFile, ""));
  return this->Folder->replace(DiskIdFile,
                               makeRecord('h', std::to_string(this->DiskId)));
}

leaf::result<void> DiskStore::append(std::string_view Bytes) {
  BOOST_LEAF_CHECK(this->Folder->append(JournalFile, Bytes));
  BOOST_LEAF_CHECK(this->Folder->sync(JournalFile));
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
  std::string Out;
  for (const JournalEntry &Entry : this->Tail) {
    BOOST_LEAF_AUTO(Bytes,
                    this->Folder->read(JournalFile, Entry.Offset, Entry.Size));
    Out += Bytes;
  }
  return Out;
}

leaf::result<void> DiskStore::write(const PersistSnapshot &Record) {
  const wire::StoreSnapshot &Snapshot = Record.Snapshot;
  BOOST_LEAF_CHECK(this->Folder->replace(
      SnapshotFile, makeRecord(SnapshotRecord, encodeRecord(Snapshot))));
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
  BOOST_LEAF_CHECK(this->Folder->replace(JournalFile, Hard + TailRecords));
  this->JournalBytes = Hard.size();
  for (JournalEntry &Entry : this->Tail) {
    Entry.Offset = this->JournalBytes;
    this->JournalBytes += Entry.Size;
  }
  return {};
}

} // namespace persimmon
