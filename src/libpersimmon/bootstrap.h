#pragma once

#include "libwire/libwire.h"

#include <string>
#include <vector>

namespace persimmon {

/// Which control instances may become voters.
struct VoterPolicy {
  /// Target number of voters. With 0, exactly the instances that the settings
  /// list are voters.
  std::size_t Count = 0;

  /// Returns whether control instances that the settings do not list may
  /// join.
  bool open() const { return this->Count > 0; }
};

/// Returns a disk id derived from \p Number: a positive, odd number.
std::int64_t diskIdFrom(std::uint64_t Number);

/// Returns the replica that an initial voter at \p Address has on its first
/// disk. The disk id is derived from the address, so that all initial voters
/// compute the same replicas without exchanging messages.
wire::Replica initialVoterAt(const std::string &Address);

/// Returns the initial voters at \p Addresses, sorted by address and without
/// duplicates, so that all of them compute the same list.
std::vector<wire::Replica> initialVotersAt(std::vector<std::string> Addresses);

} // namespace persimmon
