#define CATCH_CONFIG_MAIN
#include "storefiles.h"

#include <filesystem>

using namespace persimmon;
namespace fs = std::filesystem;

namespace {

/// Writes a vote and ten entries to a new store and closes it.
std::int64_t fillStore(const TemporaryFolder &Folder) {
  auto Disk = openStore(Folder, 100);
  wire::HardState Hard;
  Hard.Term = 3;
  Hard.VotedFor = 7;
  write(*Disk, PersistHardState{Hard});
  for (std::int64_t I = 1; I <= 10; ++I)
    write(*Disk, PersistEntries{{entry(I, 3)}});
  return Disk->diskId();
}

} // namespace

TEST_CASE("what was written is read again") {
  const TemporaryFolder Folder;
  const std::int64_t Id = fillStore(Folder);
  const auto Disk = openStore(Folder, 200);
  CHECK(!Disk->damage().failed());
  CHECK(Disk->diskId() == Id);
  CHECK(Disk->state().HardState.Term == 3);
  CHECK(Disk->state().HardState.VotedFor == 7);
  REQUIRE(Disk->state().Entries.size() == 10);
  CHECK(Disk->state().Entries.back().TheChange.ChangeId == "change-10");
}

TEST_CASE("later entries supersede earlier ones of the same index") {
  const TemporaryFolder Folder;
  fillStore(Folder);
  {
    auto Disk = openStore(Folder, 200);
    write(*Disk, PersistEntries{{entry(8, 4), entry(9, 4)}});
  }
  const auto Disk = openStore(Folder, 200);
  REQUIRE(Disk->state().Entries.size() == 9);
  CHECK(Disk->state().Entries[7].Term == 4);
}

TEST_CASE("a torn tail is cut at every length") {
  const TemporaryFolder Folder;
  fillStore(Folder);
  const std::string Journal = readBytes(Folder.file("journal"));
  const std::size_t LastRecordOffset =
      Journal.size() - makeRecord('e', encodeRecord(entry(10, 3))).size();
  for (std::size_t Size = LastRecordOffset; Size < Journal.size(); ++Size) {
    overwrite(Folder.file("journal"), Journal.substr(0, Size));
    const auto Disk = openStore(Folder, 200);
    CHECK(!Disk->damage().failed());
    CHECK(Disk->state().Entries.size() == 9);
  }
}

TEST_CASE("blocks that were never written are a torn tail") {
  const TemporaryFolder Folder;
  fillStore(Folder);
  const std::string Journal = readBytes(Folder.file("journal"));
  wire::LogEntry Large = entry(11, 3);
  Large.TheChange.Edits.resize(1);
  Large.TheChange.Edits[0].Value = std::string(4000, 'v');
  std::string Record = makeRecord('e', encodeRecord(Large));
  std::fill(Record.begin() + 1000, Record.end(), '\0');
  overwrite(Folder.file("journal"), Journal + Record);
  const auto Disk = openStore(Folder, 200);
  CHECK(!Disk->damage().failed());
  CHECK(Disk->state().Entries.size() == 10);
}

TEST_CASE("damage before the synced end is a lost disk") {
  const TemporaryFolder Folder;
  const std::int64_t Id = fillStore(Folder);
  const std::string Journal = readBytes(Folder.file("journal"));
  // Damages every third byte of the journal, including the last record.
  for (std::size_t Offset = 0; Offset < Journal.size(); Offset += 3) {
    std::string Damaged = Journal;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 0x5a);
    const TemporaryFolder Copy;
    fs::create_directories(Copy.path());
    fs::copy(Folder.file("disk-id"), Copy.file("disk-id"));
    overwrite(Copy.file("journal"), Damaged);
    const auto Disk =
        openStore(Copy, static_cast<std::int64_t>(300 + Offset * 2));
    INFO("byte " << Offset << " of " << Journal.size());
    if (!Disk->damage().failed()) {
      // A length beyond the end of the file looks like a torn write, which is
      // accepted only if no valid record follows.
      CHECK(Disk->state().Entries.size() >= 9);
      continue;
    }
    CHECK(Disk->damage().Code == ResultCode::DiskDamaged);
    CHECK(Disk->diskId() != Id);
    CHECK(Disk->state().Entries.empty());
    CHECK(Disk->state().HardState.Term == 0);
  }
}

TEST_CASE("damaged files are kept aside") {
  const TemporaryFolder Folder;
  fillStore(Folder);
  std::string Damaged = readBytes(Folder.file("journal"));
  Damaged[40] = static_cast<char>(Damaged[40] ^ 1);
  overwrite(Folder.file("journal"), Damaged);
  const auto Disk = openStore(Folder, 200);
  CHECK(Disk->damage().failed());
  bool Kept = false;
  for (const auto &Item : fs::directory_iterator(Folder.path()))
    Kept = Kept || Item.path().filename().string().starts_with("lost-");
  CHECK(Kept);
}

TEST_CASE("a missing journal is a lost disk") {
  const TemporaryFolder Folder;
  const std::int64_t Id = fillStore(Folder);
  fs::remove(Folder.file("journal"));
  const auto Disk = openStore(Folder, 200);
  CHECK(Disk->damage().Code == ResultCode::DiskDamaged);
  CHECK(Disk->diskId() != Id);
}

TEST_CASE("a snapshot shortens the journal and both are read") {
  const TemporaryFolder Folder;
  fillStore(Folder);
  {
    auto Disk = openStore(Folder, 200);
    wire::StoreSnapshot Snapshot;
    Snapshot.LastIndex = 8;
    Snapshot.LastTerm = 3;
    Snapshot.ConfigurationVersion = 8;
    write(*Disk, PersistSnapshot{Snapshot});
    write(*Disk, PersistEntries{{entry(11, 3)}});
  }
  const auto Disk = openStore(Folder, 200);
  CHECK(Disk->state().Snapshot.ConfigurationVersion == 8);
  CHECK(Disk->state().HardState.Term == 3);
  REQUIRE(Disk->state().Entries.size() == 3);
  CHECK(Disk->state().Entries.front().Index == 9);
}

TEST_CASE("a crash between snapshot and journal loses nothing") {
  const TemporaryFolder Folder;
  fillStore(Folder);
  const std::string OldJournal = readBytes(Folder.file("journal"));
  {
    auto Disk = openStore(Folder, 200);
    wire::StoreSnapshot Snapshot;
    Snapshot.LastIndex = 8;
    Snapshot.LastTerm = 3;
    write(*Disk, PersistSnapshot{Snapshot});
  }
  overwrite(Folder.file("journal"), OldJournal);
  const auto Disk = openStore(Folder, 200);
  CHECK(!Disk->damage().failed());
  CHECK(Disk->state().Entries.size() == 2);
}

TEST_CASE("two processes do not share a folder") {
  const TemporaryFolder Folder;
  const auto First = openStore(Folder, 100);
  const Failure Error = handleResult(
      [&] { return DiskStore::open(Folder.path(), 200); }, [](DiskStore) {});
  CHECK(Error.Code == ResultCode::DataFolderUnwritable);
}
