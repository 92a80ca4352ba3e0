#include "bootstrap.h"

#include <algorithm>

namespace persimmon {

std::int64_t diskIdFrom(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number >> 1U) | 1;
}

wire::Replica initialVoterAt(const std::string &Address) {
  wire::Replica Out;
  Out.Instance = Address;
  Out.Address = Address;
  Out.DiskId = diskIdFrom(hashOf("founder " + Address));
  return Out;
}

std::vector<wire::Replica> initialVotersAt(std::vector<std::string> Addresses) {
  std::sort(Addresses.begin(), Addresses.end());
  Addresses.erase(std::unique(Addresses.begin(), Addresses.end()),
                  Addresses.end());
  std::vector<wire::Replica> Out;
  Out.reserve(Addresses.size());
  for (const std::string &Address : Addresses)
    Out.push_back(initialVoterAt(Address));
  return Out;
}

} // namespace persimmon
