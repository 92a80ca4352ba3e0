#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>

namespace persimmon {

/// Divides the memory that the process may use among the parts of the daemon.
class MemoryShares {
public:
  /// \p SettingMb is the memory limit of the settings in MB, or 0 if there is
  /// none. In that case the limit is the memory of the machine, read from
  /// \p MachineMemory in the format of /proc/meminfo, up to the amount that a
  /// daemon is designed for.
  static MemoryShares fromSettings(std::int64_t SettingMb,
                                   std::istream &MachineMemory);

  /// The same with the memory of this machine.
  static MemoryShares fromSettings(std::int64_t SettingMb);

  /// Limit for all responses that are being read from the target. A response is
  /// in memory twice while its buffer grows and while it is split into
  /// messages, so a quarter takes up to half of the memory.
  std::size_t maxResponseBytes() const { return this->TotalBytes / 4; }

  /// Limit for the large requests of HTTP clients that are arriving or whose
  /// calls have no response yet, except for the largest.
  std::size_t maxCallerBodyBytes() const { return this->TotalBytes / 8; }

  /// The same for all requests; a sixteenth is left for small ones if there are
  /// as many large ones as there may be.
  std::size_t maxRequestBytes() const {
    return this->TotalBytes / 8 + this->TotalBytes / 16;
  }

  /// Limit for the large bodies of requests that wait for the target or run on
  /// it, except for the largest.
  std::size_t maxTargetBodyBytes() const { return this->TotalBytes / 4; }

  /// Limit for the replicated log in memory, for the changes that wait for it,
  /// and for the deltas kept for peers: a sixteenth each. Encoding and sending
  /// them takes as much again.
  std::size_t maxLogBytes() const { return this->TotalBytes / 16; }
  std::size_t maxHistoryBytes() const { return this->TotalBytes / 16; }

private:
  explicit MemoryShares(std::size_t Bytes) : TotalBytes(Bytes) {}

  std::size_t TotalBytes;
};

} // namespace persimmon
