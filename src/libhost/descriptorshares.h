#pragma once

#include <cstddef>

namespace persimmon {

/// Divides the file descriptors that the process may open among its listening
/// ports. The rest is for files and for connections that the daemon opens.
class DescriptorShares {
public:
  /// Reads the limit of this process (RLIMIT_NOFILE).
  static DescriptorShares ofProcess();

  explicit DescriptorShares(std::size_t Descriptors) : Total(Descriptors) {}

  /// Limit for the connections of callers, or of operators.
  std::size_t maxCallerConnections() const { return this->Total / 4; }

  /// Limit for the connections of each port that the daemon's target and load
  /// balancers use.
  std::size_t maxLocalConnections() const { return this->Total / 16; }

  /// Limit for the connections that peers open.
  std::size_t maxPeerConnections() const { return this->Total / 4; }

private:
  std::size_t Total;
};

} // namespace persimmon
