#include "libhost/diskstore.h"
#include "support/simulateddisk.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace persimmon;

namespace {

wire::LogEntry entry(std::int64_t Index, std::int64_t Term) {
  wire::LogEntry Out;
  Out.Index = Index;
  Out.Term = Term;
  Out.Kind = wire::EntryKind::Change;
  Out.TheChange.ChangeId = "change-" + std::to_string(Index);
  return Out;
}

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

template <typename RecordT> Failure write(DiskStore &Store, const RecordT &R) {
  return handleResult([&] { return Store.write(R); }, [] {});
}

/// Writes a vote and ten entries of term 3 to a new store.
void fill(SimulatedDisk &Disk) {
  DiskStore Store = open(Disk);
  wire::HardState Hard;
  Hard.Term = 3;
  Hard.VotedFor = 7;
  REQUIRE(!write(Store, PersistHardState{Hard}).failed());
  for (std::int64_t I = 1; I <= 10; ++I)
    REQUIRE(!write(Store, PersistEntries{{entry(I, 3)}}).failed());
}

} // namespace

TEST_CASE("a failed read or cut keeps the disk") {
  const std::string Operation = GENERATE("contains", "read", "truncate");
  const std::string Name = GENERATE("disk-id", "snapshot", "journal");
  SimulatedDisk Disk;
  fill(Disk);
  {
    DiskStore Store = open(Disk);
    wire::StoreSnapshot Snapshot;
    Snapshot.LastIndex = 8;
    Snapshot.LastTerm = 3;
    REQUIRE(!write(Store, PersistSnapshot{Snapshot}).failed());
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
      wire::StoreSnapshot Snapshot;
      Snapshot.LastIndex = 8;
      Snapshot.LastTerm = 3;
      const Failure Ended = IsSnapshot
                                ? write(Store, PersistSnapshot{Snapshot})
                                : write(Store, PersistEntries{{entry(11, 3)}});
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
