#include "memoryshares.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace persimmon {

namespace {

constexpr std::size_t BytesPerMb = 1'000'000;
constexpr std::size_t BytesPerKib = 1024;
/// A proxy daemon is designed for 256 MB (docs/CAPACITY.md). The rest of the
/// machine's memory may be needed by other processes.
constexpr std::size_t DefaultMaxBytes = 256 * BytesPerMb;

/// Returns the memory of the machine in bytes, or 0 if \p In does not contain
/// it.
std::size_t readTotalMemory(std::istream &In) {
  std::string Name;
  while (In >> Name) {
    std::size_t Kib = 0;
    if (Name == "MemTotal:")
      return In >> Kib ? Kib * BytesPerKib : 0;
    In.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return 0;
}

} // namespace

MemoryShares MemoryShares::fromSettings(std::int64_t SettingMb,
                                        std::istream &MachineMemory) {
  if (SettingMb > 0)
    return MemoryShares(static_cast<std::size_t>(SettingMb) * BytesPerMb);
  const std::size_t Total = readTotalMemory(MachineMemory);
  return MemoryShares(Total == 0 ? DefaultMaxBytes
                                 : std::min(Total, DefaultMaxBytes));
}

MemoryShares MemoryShares::fromSettings(std::int64_t SettingMb) {
  std::ifstream MachineMemory("/proc/meminfo");
  return fromSettings(SettingMb, MachineMemory);
}

} // namespace persimmon
