#pragma once

#include "libwire/libwire.h"

#include <string>
#include <vector>

namespace persimmon {

/// Which control instances vote.
struct VoterPolicy {
  /// Wanted number of voters. 0 lets every instance vote that the settings
  /// name, and no other.
  std::size_t Count = 0;

  /// Returns whether control instances that the settings do not name may join.
  bool open() const { return this->Count > 0; }
};

/// Returns the disk id made from \p Number: a positive number other than 0.
std::int64_t diskIdFrom(std::uint64_t Number);

/// Returns the replica that a founder at \p Address has on its first disk.
/// Every founder derives the same replicas, so that forming needs no exchange.
wire::Replica founderAt(const std::string &Address);

/// Returns the founders at \p Addresses in an order that all agree on.
std::vector<wire::Replica> foundersAt(std::vector<std::string> Addresses);

} // namespace persimmon
