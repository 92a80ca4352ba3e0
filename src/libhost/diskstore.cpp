#include "diskstore.h"

#include <algorithm>
#include <random>
#include <sstream>
#include <utility>

namespace persimmon {

namespace {

constexpr std::size_t RecordHeaderBytes = 9;
constexpr std::size_t AppendNumberBytes = 8;
constexpr int JournalFormat = 2;
constexpr std::size_t SectorBytes = 512;
/// The term of the entry before a journal that does not name it.
constexpr std::int64_t UnknownTerm = -1;
const std::string DiskIdFile = "disk-id";
const std::string SnapshotFile = "snapshot";
const std::string JournalFile = "journal";
constexpr char JournalHeaderRecord = 'j';
constexpr char AppendRecord = 'a';
constexpr char HardStateRecord = 'h';
constexpr char EntryRecord = 'e';
constexpr char SnapshotRecord = 's';

/// Writes \p Value at \p Begin of \p Out, least significant byte first.
template <typename NumberT>
void putNumber(std::string &Out, std::size_t Begin, NumberT Value) {
  for (std::size_t I = 0; I < sizeof(NumberT); ++I)
    Out[Begin + I] = static_cast<char>((Value >> (8 * I)) & 0xffU);
}

template <typename NumberT> NumberT getNumber(std::string_view Bytes) {
  NumberT Value = 0;
  for (std::size_t I = sizeof(NumberT); I-- > 0;)
    Value = (Value << 8U) | static_cast<std::uint8_t>(Bytes[I]);
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

ParsedRecord parseRecord(std::string_view Bytes, std::uint32_t Salt = 0) {
  ParsedRecord Out;
  if (Bytes.size() < RecordHeaderBytes)
    return Out;
  Out.Kind = Bytes[0];
  const std::size_t Length = getNumber<std::uint32_t>(Bytes.substr(1));
  const auto Checksum = getNumber<std::uint32_t>(Bytes.substr(5));
  Out.Size = RecordHeaderBytes + Length;
  if (Out.Size > Bytes.size())
    return Out;
  Out.Complete = true;
  Out.Payload = Bytes.substr(RecordHeaderBytes, Length);
  const bool KnownKind = Out.Kind == JournalHeaderRecord ||
                         Out.Kind == AppendRecord ||
                         Out.Kind == HardStateRecord ||
                         Out.Kind == EntryRecord || Out.Kind == SnapshotRecord;
  Out.Valid = KnownKind && (checksumOf(Out.Payload) ^ Salt) == Checksum;
  return Out;
}

/// Fills in the header of the record that \p Out holds from \p Begin on, for
/// which RecordHeaderBytes were left free.
void finishRecord(std::string &Out, std::size_t Begin, char Kind,
                  std::uint32_t Salt = 0) {
  const std::string_view Payload =
      std::string_view(Out).substr(Begin + RecordHeaderBytes);
  const std::uint32_t Checksum = checksumOf(Payload) ^ Salt;
  Out[Begin] = Kind;
  putNumber(Out, Begin + 1, static_cast<std::uint32_t>(Payload.size()));
  putNumber(Out, Begin + 1 + sizeof(std::uint32_t), Checksum);
}

/// Returns whether a valid append with a number above \p Number starts
/// anywhere in \p Bytes.
bool containsLaterAppend(std::string_view Bytes, std::uint64_t Number,
                         std::uint32_t Salt) {
  constexpr std::size_t Smallest = RecordHeaderBytes + AppendNumberBytes;
  for (std::size_t I = Bytes.find(AppendRecord);
       I != std::string_view::npos && I + Smallest <= Bytes.size();
       I = Bytes.find(AppendRecord, I + 1)) {
    const std::string_view Candidate = Bytes.substr(I);
    const auto Found =
        getNumber<std::uint64_t>(Candidate.substr(RecordHeaderBytes));
    // Checked first, because it costs less than the checksum.
    if (Found > Number && Found - Number <= Bytes.size() &&
        parseRecord(Candidate, Salt).Valid)
      return true;
  }
  return false;
}

/// Returns whether a valid record starts at any offset of \p Bytes. For
/// journals of format 1.
bool containsValidRecord(std::string_view Bytes) {
  for (std::size_t I = 0; I + RecordHeaderBytes < Bytes.size(); ++I) {
    const ParsedRecord Record = parseRecord(Bytes.substr(I));
    if (Record.Valid && !Record.Payload.empty())
      return true;
  }
  return false;
}

/// Returns whether an invalid record at the start of \p Rest is a torn write
/// to a journal of format 1, which does not tell the records of one write. An
/// interrupted write leaves the last record truncated, or with unwritten blocks
/// that read as zeros. Anything else is damage to synced data.
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
  std::string Out(RecordHeaderBytes, '\0');
  Out += Payload;
  finishRecord(Out, 0, Kind);
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
      BOOST_LEAF_CHECK(Out.giveUp(NewDiskId));
  }
  Out.State.HardState = Out.Hard;
  return Out;
}

leaf::result<void> DiskStore::readAll() {
  // Before a file is replaced for what the others hold.
  BOOST_LEAF_CHECK(this->Folder->syncNames());
  BOOST_LEAF_AUTO(Text, this->Folder->read(DiskIdFile));
  const ParsedRecord Record = parseRecord(Text);
  if (!Record.Valid)
    return fail(ResultCode::DiskDamaged, this->Folder->path(DiskIdFile));
  this->DiskId = std::stoll(std::string(Record.Payload));
  BOOST_LEAF_CHECK(this->readSnapshot());
  BOOST_LEAF_CHECK(this->readJournal());
  // A process that was killed between write and sync left what was read here
  // without a sync, but the replica answers for it.
  return this->Folder->sync(JournalFile);
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
  this->Snapshot = {this->State.Snapshot.LastIndex,
                    this->State.Snapshot.LastTerm};
  return {};
}

leaf::result<void> DiskStore::applyRecord(char Kind, std::string_view Payload,
                                          std::uint64_t Offset,
                                          std::size_t Size) {
  if (Kind == HardStateRecord) {
    BOOST_LEAF_ASSIGN(this->Hard, decodeHardState(Payload));
    return {};
  }
  BOOST_LEAF_AUTO(Entry, decodeLogEntry(Payload));
  auto &Entries = this->State.Entries;
  // A journal of format 1 does not name its snapshot. One that was shortened
  // for it has no entry that it covers.
  if (!this->JournalBase)
    this->JournalBase = Entry.Index > this->Snapshot.Index
                            ? this->Snapshot
                            : LogPosition{Entry.Index - 1, UnknownTerm};
  const std::int64_t Base = this->JournalBase->Index;
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
  // Former builds created an empty journal, which had a hard state before there
  // was a snapshot.
  if (Text.empty() && this->Snapshot.Index > 0)
    return fail(ResultCode::DiskDamaged, this->Folder->path(JournalFile),
                "the file is empty");
  if (Text.empty() || Text[0] != JournalHeaderRecord)
    return this->readFormat1(Text);
  return this->readAppends(Text);
}

leaf::result<void> DiskStore::readFormat1(std::string_view Text) {
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    const std::size_t Offset = Text.size() - Rest.size();
    const ParsedRecord Record = parseRecord(Rest);
    if (!Record.Valid) {
      if (!isTornWrite(Rest, Record))
        return this->damagedAt(Offset, Text.size());
      this->CutBytes = Rest.size();
      break;
    }
    BOOST_LEAF_CHECK(
        this->applyRecord(Record.Kind, Record.Payload, Offset, Record.Size));
    Rest.remove_prefix(Record.Size);
  }
  this->dropCoveredEntries();
  return this->replaceJournal();
}

std::vector<DiskStore::JournalEntry>::const_iterator
DiskStore::firstUncovered() const {
  if (this->JournalBase == this->Snapshot)
    return this->Tail.begin();
  const auto Last = std::find_if(this->Tail.begin(), this->Tail.end(),
                                 [&](const JournalEntry &Entry) {
                                   return Entry.Index == this->Snapshot.Index &&
                                          Entry.Term == this->Snapshot.Term;
                                 });
  return Last == this->Tail.end() ? Last : std::next(Last);
}

void DiskStore::dropCoveredEntries() {
  const auto End = this->firstUncovered();
  auto &Entries = this->State.Entries;
  Entries.erase(Entries.begin(), Entries.begin() + (End - this->Tail.begin()));
  this->Tail.erase(this->Tail.begin(), End);
}

leaf::result<void> DiskStore::readAppends(std::string_view Text) {
  const ParsedRecord Header = parseRecord(Text);
  if (!Header.Valid || Header.Kind != JournalHeaderRecord ||
      !this->readHeader(Header.Payload))
    return this->damagedAt(0, Text.size());
  std::size_t Offset = Header.Size;
  for (this->AppendNumber = 1; Offset < Text.size(); ++this->AppendNumber) {
    const std::string_view Rest = Text.substr(Offset);
    const ParsedRecord Record = parseRecord(Rest, this->Salt);
    const bool Valid =
        Record.Valid && Record.Kind == AppendRecord &&
        Record.Payload.size() >= AppendNumberBytes &&
        getNumber<std::uint64_t>(Record.Payload) == this->AppendNumber;
    if (!Valid) {
      // An append starts only after the one before it was synced, so the last
      // one is the only one that a loss of power may leave in part. The first
      // one was synced before the journal got its name.
      if (this->AppendNumber == 1 ||
          containsLaterAppend(Rest.substr(1), this->AppendNumber, this->Salt))
        return this->damagedAt(Offset, Text.size());
      this->CutBytes = Rest.size();
      BOOST_LEAF_CHECK(this->Folder->truncate(JournalFile, Offset));
      break;
    }
    BOOST_LEAF_CHECK(
        this->applyAppend(Record.Payload.substr(AppendNumberBytes),
                          Offset + RecordHeaderBytes + AppendNumberBytes));
    Offset += Record.Size;
  }
  if (this->AppendNumber == 1)
    return this->damagedAt(Offset, Text.size());
  this->JournalBytes = Offset;
  return this->matchSnapshot();
}

leaf::result<void> DiskStore::matchSnapshot() {
  if (this->JournalBase == this->Snapshot)
    return {};
  // A snapshot is stored before the journal that continues it.
  if (this->JournalBase->Index > this->Snapshot.Index)
    return fail(ResultCode::DiskDamaged, this->Folder->path(SnapshotFile),
                "the journal continues a later snapshot");
  this->dropCoveredEntries();
  return this->replaceJournal();
}

leaf::result<void> DiskStore::applyAppend(std::string_view Records,
                                          std::uint64_t Offset) {
  while (!Records.empty()) {
    const ParsedRecord Record = parseRecord(Records);
    if (!Record.Valid)
      return this->damagedAt(Offset, Offset + Records.size());
    BOOST_LEAF_CHECK(
        this->applyRecord(Record.Kind, Record.Payload, Offset, Record.Size));
    Offset += Record.Size;
    Records.remove_prefix(Record.Size);
  }
  return {};
}

leaf::result<void> DiskStore::damagedAt(std::uint64_t Offset,
                                        std::uint64_t Size) const {
  return fail(ResultCode::DiskDamaged, this->Folder->path(JournalFile),
              "invalid record at byte " + std::to_string(Offset) + " of " +
                  std::to_string(Size));
}

bool DiskStore::readHeader(std::string_view Payload) {
  std::istringstream In{std::string(Payload)};
  int Format = 0;
  LogPosition Base;
  In >> Format >> this->Salt >> Base.Index >> Base.Term;
  this->JournalBase = Base;
  return !In.fail() && Format == JournalFormat;
}

leaf::result<void> DiskStore::replaceJournal() {
  BOOST_LEAF_AUTO(TailRecords, this->readTail());
  this->Salt = std::random_device()() | 1U;
  this->JournalBase = this->Snapshot;
  std::ostringstream Header;
  Header << JournalFormat << ' ' << this->Salt << ' ' << this->Snapshot.Index
         << ' ' << this->Snapshot.Term;
  std::string Bytes = makeRecord(JournalHeaderRecord, Header.str());
  const std::size_t Begin = Bytes.size();
  this->AppendNumber = 1;
  Bytes += this->startAppend();
  Bytes += makeRecord(HardStateRecord, encodeRecord(this->Hard));
  std::uint64_t Offset = Bytes.size();
  Bytes += TailRecords;
  finishRecord(Bytes, Begin, AppendRecord, this->Salt);
  BOOST_LEAF_CHECK(this->Folder->replace(JournalFile, Bytes));
  this->JournalBytes = Bytes.size();
  this->AppendNumber = 2;
  for (JournalEntry &Entry : this->Tail) {
    Entry.Offset = Offset;
    Offset += Entry.Size;
  }
  return {};
}

leaf::result<void> DiskStore::giveUp(std::int64_t NewDiskId) {
  const std::string LostFolder =
      "lost-" + std::to_string(this->DiskId) + "-" + std::to_string(NewDiskId);
  // There is a disk id at any time, and never the former one with an empty
  // journal: without one, the next start would take the folder for a new one
  // and the replica for an initial voter that never voted.
  BOOST_LEAF_CHECK(this->Folder->replace(
      DiskIdFile, makeRecord('h', std::to_string(NewDiskId))));
  for (const std::string &Name : {SnapshotFile, JournalFile}) {
    BOOST_LEAF_AUTO(Exists, this->Folder->contains(Name));
    if (Exists)
      BOOST_LEAF_CHECK(this->Folder->moveAside(Name, LostFolder));
  }
  BOOST_LEAF_CHECK(this->Folder->syncNames());
  return this->initializeEmpty(NewDiskId);
}

leaf::result<void> DiskStore::initializeEmpty(std::int64_t NewDiskId) {
  this->State = DurableState();
  this->Hard = wire::HardState();
  this->Snapshot = {};
  this->Tail.clear();
  this->CutBytes = 0;
  this->DiskId = NewDiskId;
  BOOST_LEAF_CHECK(this->replaceJournal());
  return this->Folder->replace(DiskIdFile,
                               makeRecord('h', std::to_string(this->DiskId)));
}

std::string DiskStore::startAppend() const {
  std::string Out(RecordHeaderBytes + AppendNumberBytes, '\0');
  putNumber(Out, RecordHeaderBytes, this->AppendNumber);
  return Out;
}

leaf::result<void> DiskStore::append(std::string Bytes) {
  finishRecord(Bytes, 0, AppendRecord, this->Salt);
  BOOST_LEAF_CHECK(this->Folder->append(JournalFile, Bytes));
  BOOST_LEAF_CHECK(this->Folder->sync(JournalFile));
  this->JournalBytes += Bytes.size();
  this->AppendNumber += 1;
  return {};
}

leaf::result<void> DiskStore::write(const PersistHardState &Record) {
  this->Hard = Record.State;
  return this->append(this->startAppend() +
                      makeRecord(HardStateRecord, encodeRecord(Record.State)));
}

leaf::result<void> DiskStore::write(const PersistEntries &Record) {
  std::erase_if(this->Tail, [&](const JournalEntry &Entry) {
    return Entry.Index >= Record.Entries.front().Index;
  });
  std::string Bytes = this->startAppend();
  for (const wire::LogEntry &Entry : Record.Entries) {
    const std::uint64_t Offset = this->JournalBytes + Bytes.size();
    const std::string Encoded = makeRecord(EntryRecord, encodeRecord(Entry));
    this->Tail.push_back({Entry.Index, Entry.Term, Offset, Encoded.size()});
    Bytes += Encoded;
  }
  return this->append(std::move(Bytes));
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
  BOOST_LEAF_CHECK(this->Folder->replace(
      SnapshotFile, makeRecord(SnapshotRecord, encodeRecord(Record.Snapshot))));
  this->Snapshot = {Record.Snapshot.LastIndex, Record.Snapshot.LastTerm};
  this->Tail.erase(this->Tail.begin(), this->firstUncovered());
  return this->replaceJournal();
}

} // namespace persimmon
