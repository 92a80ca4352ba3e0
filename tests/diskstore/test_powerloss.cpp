#include "libhost/diskstore.h"
#include "support/temporaryfolder.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <optional>
#include <random>

using namespace persimmon;

namespace {

constexpr std::size_t SectorBytes = 512;
constexpr std::int64_t SyncedEntries = 5;

wire::LogEntry entry(std::int64_t Index, std::size_t ValueBytes) {
  wire::LogEntry Out;
  Out.Index = Index;
  Out.Term = 2;
  Out.Kind = wire::EntryKind::Change;
  Out.TheChange.ChangeId = "change-" + std::to_string(Index);
  Out.TheChange.Edits.resize(1);
  Out.TheChange.Edits[0].Value = std::string(ValueBytes, 'v');
  return Out;
}

std::string readBytes(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  return {std::istreambuf_iterator<char>(In), {}};
}

void overwrite(const std::string &File, const std::string &Bytes) {
  std::ofstream(File, std::ios::binary | std::ios::trunc) << Bytes;
}

std::optional<DiskStore> open(const TemporaryFolder &Folder,
                              std::int64_t NewId) {
  std::optional<DiskStore> Out;
  const Failure Error =
      handleResult([&] { return DiskStore::open(Folder.path(), NewId, 100); },
                   [&](DiskStore Opened) { Out.emplace(std::move(Opened)); });
  INFO(describe(Error));
  REQUIRE(Out);
  return Out;
}

template <typename RecordT> void write(DiskStore &Disk, const RecordT &Record) {
  const Failure Error = handleResult([&] { return Disk.write(Record); }, [] {});
  REQUIRE(!Error.failed());
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
      write(*Disk, PersistEntries{{entry(I, Random() % 900)}});
    SyncedBytes = readBytes(Folder.file("journal")).size();
    std::vector<wire::LogEntry> Unsynced;
    const auto Count = static_cast<std::int64_t>(1 + Random() % 4);
    for (std::int64_t I = 1; I <= Count; ++I)
      Unsynced.push_back(entry(SyncedEntries + I, Random() % 3000));
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

TEST_CASE("an instance killed before its first record keeps its disk id") {
  const TemporaryFolder Folder;
  CHECK(open(Folder, 200)->diskId() == 100);
  const auto Disk = open(Folder, 300);
  INFO(describe(Disk->damage()));
  CHECK(!Disk->damage().failed());
  CHECK(Disk->diskId() == 100);
}
