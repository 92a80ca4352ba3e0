#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>

namespace persimmon {

/// What the daemon's parts may take of the memory that the process may use.
class MemoryShares {
public:
  /// \p SettingMb is the memory that the settings allow, in MB, or 0 if they
  /// don't tell. \p MachineMemory is read as /proc/meminfo then: the process
  /// may use what the machine has, up to what a daemon is built for.
  static MemoryShares of(std::int64_t SettingMb, std::istream &MachineMemory);

  /// For all answers that are read from the target. An answer is there twice
  /// while its text grows and while it is cut into messages, so that a quarter
  /// takes half at the worst.
  std::size_t readAnswers() const { return this->Allowed / 4; }

  /// For the bodies of callers whose calls have no answer yet, but for the
  /// largest. Each is there twice, as it was read and for its call, so that an
  /// eighth takes a quarter.
  std::size_t callerBodies() const { return this->Allowed / 8; }

private:
  explicit MemoryShares(std::size_t Bytes) : Allowed(Bytes) {}

  std::size_t Allowed;
};

} // namespace persimmon
