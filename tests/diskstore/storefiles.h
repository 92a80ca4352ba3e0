#pragma once

#include "libhost/diskstore.h"
#include "support/temporaryfolder.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

namespace persimmon {

inline wire::LogEntry entry(std::int64_t Index, std::int64_t Term) {
  wire::LogEntry Out;
  Out.Index = Index;
  Out.Term = Term;
  Out.Kind = wire::EntryKind::Change;
  Out.TheChange.ChangeId = "change-" + std::to_string(Index);
  return Out;
}

/// Opens the store in \p Folder, which must succeed.
inline std::optional<DiskStore>
openStore(const TemporaryFolder &Folder, std::int64_t NewId,
          std::optional<std::int64_t> InitialId = std::nullopt) {
  std::optional<DiskStore> Out;
  const Failure Error = handleResult(
      [&] { return DiskStore::open(Folder.path(), NewId, InitialId); },
      [&](DiskStore Opened) { Out.emplace(std::move(Opened)); });
  INFO(describe(Error));
  REQUIRE(Out);
  return Out;
}

/// Writes and syncs \p Record, which must succeed.
template <typename RecordT> void write(DiskStore &Disk, const RecordT &Record) {
  const Failure Error = handleResult([&] { return Disk.write(Record); }, [] {});
  REQUIRE(!Error.failed());
}

inline std::string readBytes(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  return {std::istreambuf_iterator<char>(In), {}};
}

inline void overwrite(const std::string &File, const std::string &Bytes) {
  std::ofstream(File, std::ios::binary | std::ios::trunc) << Bytes;
}

} // namespace persimmon
