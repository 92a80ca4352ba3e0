#include "storefiles.h"

#include <algorithm>
#include <random>

using namespace persimmon;

namespace {

constexpr std::size_t SectorBytes = 512;
constexpr std::int64_t SyncedEntries = 5;

wire::LogEntry largeEntry(std::int64_t Index, std::size_t ValueBytes) {
  wire::LogEntry Out = entry(Index, 2);
  Out.TheChange.Edits.resize(1);
  Out.TheChange.Edits[0].Value = std::string(ValueBytes, 'v');
  return Out;
}

std::optional<DiskStore> open(const TemporaryFolder &Folder,
                              std::int64_t NewId) {
  return openStore(Folder, NewId, 100);
}

/// Returns what a loss of power may leave of a file of which only the first
/// \p SyncedBytes were synced: each later sector is there, zero, or has other
/// bytes, and the file ends anywhere behind its synced part.
std::string afterPowerLoss(const std::string &Written, std::size_t SyncedBytes,
                           std::mt19937_64 &Random) {
  const std::size_t Size =
      Random() % 4 == 0
          ? SyncedBytes + Random() % (Written.size() - SyncedBytes + 1)
          : Written.size();
  std::string Out = Written.substr(0, Size);
  for (std::size_t Begin = SyncedBytes; Begin < Size;) {
    const std::size_t End =
        std::min(Size, (Begin / SectorBytes + 1) * SectorBytes);
    const auto Fate = Random() % 3;
    for (std::size_t I = Begin; I < End && Fate != 0; ++I)
      Out[I] = Fate == 1 ? '\0' : static_cast<char>(Random());
    Begin = End;
  }
  return Out;
}

} // namespace

TEST_CASE("a loss of power during an append costs no disk") {
  const auto Seed = GENERATE(range(1, 201));
  std::mt19937_64 Random(static_cast<std::uint64_t>(Seed));
  const TemporaryFolder Folder;
  wire::HardState Hard;
  Hard.Term = 2;
  std::size_t SyncedBytes = 0;
  {
    auto Disk = open(Folder, 200);
    write(*Disk, PersistHardState{Hard});
    for (std::int64_t I = 1; I <= SyncedEntries; ++I)
      write(*Disk, PersistEntries{{largeEntry(I, Random() % 900)}});
    SyncedBytes = readBytes(Folder.file("journal")).size();
    std::vector<wire::LogEntry> Unsynced;
    const auto Count = static_cast<std::int64_t>(1 + Random() % 4);
    for (std::int64_t I = 1; I <= Count; ++I)
      Unsynced.push_back(largeEntry(SyncedEntries + I, Random() % 3000));
    write(*Disk, PersistEntries{Unsynced});
  }
  const std::string Written = readBytes(Folder.file("journal"));
  overwrite(Folder.file("journal"),
            afterPowerLoss(Written, SyncedBytes, Random));
  const auto Disk = open(Folder, 200);
  INFO("seed " << Seed << ", " << describe(Disk->damage()));
  CHECK(!Disk->damage().failed());
  CHECK(Disk->diskId() == 100);
  CHECK(Disk->state().HardState.Term == 2);
  CHECK(Disk->state().Entries.size() >= SyncedEntries);
}

TEST_CASE("a setting that holds bytes of a journal costs no disk") {
  const TemporaryFolder Other;
  std::string Look;
  {
    auto Disk = open(Other, 200);
    for (std::int64_t I = 1; I <= SyncedEntries; ++I)
      write(*Disk, PersistEntries{{largeEntry(I, 10)}});
    Look = readBytes(Other.file("journal"));
  }
  const TemporaryFolder Folder;
  std::size_t SyncedBytes = 0;
  {
    auto Disk = open(Folder, 200);
    write(*Disk, PersistEntries{{largeEntry(1, 10)}});
    SyncedBytes = readBytes(Folder.file("journal")).size();
    wire::LogEntry Large = largeEntry(2, 2000);
    Large.TheChange.Edits[0].Value += Look;
    write(*Disk, PersistEntries{{Large}});
  }
  std::string Torn = readBytes(Folder.file("journal"));
  std::fill_n(Torn.begin() + static_cast<std::ptrdiff_t>(SyncedBytes), 600,
              '\0');
  overwrite(Folder.file("journal"), Torn);
  const auto Disk = open(Folder, 200);
  INFO(describe(Disk->damage()));
  CHECK(!Disk->damage().failed());
  CHECK(Disk->state().Entries.size() == 1);
  CHECK(Disk->cutBytes() == Torn.size() - SyncedBytes);
}

TEST_CASE("a journal of format 1 is read and replaced") {
  const TemporaryFolder Folder;
  open(Folder, 200);
  wire::HardState Hard;
  Hard.Term = 2;
  Hard.VotedFor = 7;
  std::string Former = makeRecord('h', encodeRecord(Hard));
  for (std::int64_t I = 1; I <= SyncedEntries; ++I)
    Former += makeRecord('e', encodeRecord(largeEntry(I, 10)));
  const std::string Torn = makeRecord('e', encodeRecord(largeEntry(6, 10)));
  overwrite(Folder.file("journal"), Former + Torn.substr(0, Torn.size() / 2));
  for (int I = 0; I < 2; ++I) {
    auto Disk = open(Folder, 200);
    INFO("open " << I << " " << describe(Disk->damage()));
    CHECK(!Disk->damage().failed());
    CHECK(Disk->diskId() == 100);
    CHECK(Disk->cutBytes() == (I == 0 ? Torn.size() / 2 : 0));
    CHECK(Disk->state().HardState.VotedFor == 7);
    CHECK(Disk->state().Entries.back().Index == SyncedEntries + I);
    write(*Disk, PersistEntries{{largeEntry(SyncedEntries + 1 + I, 10)}});
  }
  CHECK(readBytes(Folder.file("journal")).front() == 'j');
}

TEST_CASE("an instance killed before its first record keeps its disk id") {
  const TemporaryFolder Folder;
  CHECK(open(Folder, 200)->diskId() == 100);
  const auto Disk = open(Folder, 300);
  INFO(describe(Disk->damage()));
  CHECK(!Disk->damage().failed());
  CHECK(Disk->diskId() == 100);
}
