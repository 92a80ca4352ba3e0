#include "storefiles.h"
#include "support/simulateddisk.h"

#include <random>

using namespace persimmon;

namespace {

Failure tryOpen(SimulatedDisk &Disk, std::optional<DiskStore> &Out) {
  return handleResult(
      [&] { return DiskStore::open(Disk.openFolder(), 200, 100); },
      [&](DiskStore Opened) { Out.emplace(std::move(Opened)); });
}

DiskStore open(SimulatedDisk &Disk) {
  std::optional<DiskStore> Out;
  const Failure Error = tryOpen(Disk, Out);
  INFO(describe(Error));
  REQUIRE(Out);
  return std::move(*Out);
}

template <typename RecordT>
Failure tryWrite(DiskStore &Store, const RecordT &R) {
  return handleResult([&] { return Store.write(R); }, [] {});
}

/// Writes a vote and ten entries of term 3 to a new store.
void fill(SimulatedDisk &Disk) {
  DiskStore Store = open(Disk);
  wire::HardState Hard;
  Hard.Term = 3;
  Hard.VotedFor = 7;
  REQUIRE(!tryWrite(Store, PersistHardState{Hard}).failed());
  for (std::int64_t I = 1; I <= 10; ++I)
    REQUIRE(!tryWrite(Store, PersistEntries{{entry(I, 3)}}).failed());
}

PersistSnapshot snapshotOfEight(std::int64_t Term) {
  PersistSnapshot Out;
  Out.Snapshot.LastIndex = 8;
  Out.Snapshot.LastTerm = Term;
  return Out;
}

} // namespace

TEST_CASE("a failed read or cut keeps the disk") {
  const std::string Operation = GENERATE("contains", "read", "truncate");
  const std::string Name = GENERATE("disk-id", "snapshot", "journal");
  SimulatedDisk Disk;
  fill(Disk);
  {
    DiskStore Store = open(Disk);
    REQUIRE(!tryWrite(Store, snapshotOfEight(3)).failed());
  }
  Disk.setContent("journal", Disk.content("journal").value() + "torn");
  Disk.refuse([&](std::string_view Done, const std::string &File) {
    return Done == Operation && File == Name;
  });
  INFO(Operation << " of " << Name);
  std::optional<DiskStore> Refused;
  const Failure Error = tryOpen(Disk, Refused);
  if (Operation != "truncate" || Name == "journal") {
    CHECK(!Refused);
    CHECK(Error.Code == (Operation == "truncate" ? ResultCode::DiskWriteFailed
                                                 : ResultCode::DiskReadFailed));
  }
  CHECK(!Disk.hasNameWith("lost-"));
  Refused.reset();
  Disk.refuse(nullptr);
  const DiskStore Store = open(Disk);
  CHECK(Store.diskId() == 100);
  CHECK(Store.state().HardState.VotedFor == 7);
  CHECK(Store.state().Entries.size() == 2);
}

TEST_CASE("what a killed process did not sync outlasts a loss of power") {
  const bool IsSnapshot = GENERATE(false, true);
  for (std::uint64_t Steps = 1;; ++Steps) {
    SimulatedDisk Disk;
    fill(Disk);
    {
      DiskStore Store = open(Disk);
      Disk.endProcessAfter(Steps);
      const Failure Ended =
          IsSnapshot ? tryWrite(Store, snapshotOfEight(3))
                     : tryWrite(Store, PersistEntries{{entry(11, 3)}});
      if (!Ended.failed())
        break;
    }
    Disk.restart();
    const DurableState Answered = open(Disk).state();
    Disk.losePowerAndAllUnsynced();
    const DiskStore Store = open(Disk);
    INFO("killed at step " << Steps);
    CHECK(Store.diskId() == 100);
    CHECK(Store.state().HardState.VotedFor == 7);
    CHECK(Store.state().Snapshot.LastIndex == Answered.Snapshot.LastIndex);
    CHECK(Store.state().Entries.size() == Answered.Entries.size());
  }
}

TEST_CASE("no entry of an older term stays behind a newer snapshot") {
  // Only a snapshot of term 3 is continued by the entries 9 and 10.
  const std::int64_t SnapshotTerm = GENERATE(3, 5);
  const bool LosesPower = GENERATE(false, true);
  for (std::uint64_t Steps = 1;; ++Steps) {
    SimulatedDisk Disk;
    fill(Disk);
    {
      DiskStore Store = open(Disk);
      Disk.endProcessAfter(Steps);
      if (!tryWrite(Store, snapshotOfEight(SnapshotTerm)).failed())
        break;
    }
    if (LosesPower)
      Disk.losePowerAndAllUnsynced();
    else
      Disk.restart();
    for (int Open = 0; Open < 2; ++Open) {
      INFO("ended at step " << Steps << ", open " << Open);
      DiskStore Store = open(Disk);
      CHECK(!Store.damage().failed());
      CHECK(Store.diskId() == 100);
      CHECK(Store.state().HardState.VotedFor == 7);
      const bool IsReplaced = Store.state().Snapshot.LastIndex == 8;
      const std::size_t Kept = SnapshotTerm == 3 ? 2 : 0;
      CHECK(Store.state().Entries.size() == (IsReplaced ? Kept : 10));
    }
    DiskStore Store = open(Disk);
    const DurableState Before = Store.state();
    const std::int64_t Next = Before.Snapshot.LastIndex +
                              static_cast<std::int64_t>(Before.Entries.size()) +
                              1;
    REQUIRE(!tryWrite(Store, PersistEntries{{entry(Next, 5)}}).failed());
    CHECK(open(Disk).state().Entries.size() == Before.Entries.size() + 1);
  }
}

TEST_CASE("an end while the store opens loses nothing") {
  for (std::uint64_t Written = 1;; ++Written) {
    bool Finished = false;
    for (std::uint64_t Opening = 1;; ++Opening) {
      SimulatedDisk Disk;
      fill(Disk);
      {
        DiskStore Store = open(Disk);
        Disk.endProcessAfter(Written);
        Finished = !tryWrite(Store, snapshotOfEight(5)).failed();
      }
      Disk.restart();
      Disk.endProcessAfter(Opening);
      std::optional<DiskStore> Interrupted;
      const bool Opened = !tryOpen(Disk, Interrupted).failed();
      std::mt19937_64 Random(Written * 100 + Opening);
      Disk.losePower(Random);
      const DiskStore Store = open(Disk);
      INFO("ended at step " << Written << " and " << Opening << ", "
                            << describe(Store.damage()));
      CHECK(!Store.damage().failed());
      CHECK(Store.diskId() == 100);
      CHECK(Store.state().HardState.VotedFor == 7);
      const std::int64_t Snapshot = Store.state().Snapshot.LastIndex;
      CHECK(Store.state().Entries.size() == (Snapshot == 8 ? 0 : 10));
      if (Finished)
        CHECK(Snapshot == 8);
      if (!Opened)
        continue;
      CHECK(Snapshot == Interrupted->state().Snapshot.LastIndex);
      break;
    }
    if (Finished)
      break;
  }
}

TEST_CASE("a journal that does not name its snapshot costs no disk") {
  const std::int64_t SnapshotTerm = GENERATE(0, 3, 5);
  // Only a journal that was shortened for the snapshot continues any of them.
  const std::int64_t First = GENERATE(1, 9);
  if (SnapshotTerm == 0 && First == 9)
    return;
  SimulatedDisk Disk;
  open(Disk);
  std::string Journal;
  for (std::int64_t I = First; I <= 10; ++I)
    Journal += makeRecord('e', encodeRecord(entry(I, 3)));
  Disk.setContent("journal", Journal);
  if (SnapshotTerm != 0) {
    Disk.setContent(
        "snapshot",
        makeRecord('s', encodeRecord(snapshotOfEight(SnapshotTerm).Snapshot)));
  }
  const std::size_t Kept = SnapshotTerm == 0 ? 10 : 2;
  const bool Continues = SnapshotTerm != 5 || First == 9;
  for (int I = 0; I < 2; ++I) {
    const DiskStore Store = open(Disk);
    INFO("open " << I << ", snapshot of term " << SnapshotTerm << ", first "
                 << First << ", " << describe(Store.damage()));
    CHECK(!Store.damage().failed());
    CHECK(Store.diskId() == 100);
    CHECK(Store.state().Entries.size() == (Continues ? Kept : 0));
  }
}

TEST_CASE("an empty journal of an instance that was killed at its first start "
          "costs no disk") {
  SimulatedDisk Disk;
  open(Disk);
  Disk.setContent("journal", "");
  for (int I = 0; I < 2; ++I) {
    const DiskStore Store = open(Disk);
    INFO("open " << I << " " << describe(Store.damage()));
    CHECK(!Store.damage().failed());
    CHECK(Store.diskId() == 100);
    CHECK(Store.state().Entries.empty());
  }
}

TEST_CASE("an empty journal beside a snapshot is a lost disk") {
  SimulatedDisk Disk;
  fill(Disk);
  {
    DiskStore Store = open(Disk);
    REQUIRE(!tryWrite(Store, snapshotOfEight(3)).failed());
  }
  Disk.setContent("journal", "");
  CHECK(open(Disk).damage().Code == ResultCode::DiskDamaged);
}

TEST_CASE("a store that was given up never returns under its former id") {
  const std::string Damaged = GENERATE("disk-id", "snapshot", "journal");
  const bool LosesPower = GENERATE(false, true);
  std::mt19937_64 Random(1);
  for (std::uint64_t Steps = 1;; ++Steps) {
    SimulatedDisk Disk;
    fill(Disk);
    {
      DiskStore Store = open(Disk);
      REQUIRE(!tryWrite(Store, snapshotOfEight(3)).failed());
    }
    std::string Bytes = *Disk.content(Damaged);
    Bytes[10] = static_cast<char>(Bytes[10] ^ 0x5a);
    Disk.setContent(Damaged, Bytes);
    Disk.endProcessAfter(Steps);
    std::optional<DiskStore> Interrupted;
    const bool Opened = !tryOpen(Disk, Interrupted).failed();
    if (LosesPower)
      Disk.losePower(Random);
    else
      Disk.restart();
    INFO(Damaged << ", ended at step " << Steps);
    CHECK(open(Disk).diskId() == 200);
    if (Opened)
      break;
  }
}

TEST_CASE("a journal without its first append is damage") {
  // The first append was synced before the journal got its name.
  const bool OnlyHeader = GENERATE(false, true);
  SimulatedDisk Disk;
  fill(Disk);
  { open(Disk); }
  {
    DiskStore Store = open(Disk);
    REQUIRE(!tryWrite(Store, snapshotOfEight(3)).failed());
  }
  std::string Bytes = *Disk.content("journal");
  const std::size_t FirstAppend = Bytes.find('a', 9);
  if (OnlyHeader)
    Bytes.resize(FirstAppend);
  else
    Bytes.back() = static_cast<char>(Bytes.back() ^ 1);
  Disk.setContent("journal", Bytes);
  const DiskStore Store = open(Disk);
  CHECK(Store.damage().Code == ResultCode::DiskDamaged);
  CHECK(Store.diskId() == 200);
}
