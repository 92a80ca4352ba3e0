#pragma once

#include "effects.h"
#include "random.h"

#include <optional>
#include <span>
#include <string>

namespace persimmon {

/// Keeps a daemon that has just started from serving until its configuration
/// is at least as new as one that a quorum confirmed after the start. A daemon
/// has no disk; everything it served before was committed, hence not newer.
class ServingGate {
public:
  explicit ServingGate(std::uint64_t Seed);

  /// Asks all of \p ControlAddresses while no confirmation has come.
  void tick(Time Now, std::int64_t VersionInForce,
            const wire::MemberRecord &Self,
            std::span<const std::string> ControlAddresses, Effects &Out);
  /// Takes a confirmation; one for an earlier run has another nonce.
  void receive(const wire::StampReply &Reply, std::int64_t VersionInForce,
               Effects &Out);

  /// Returns whether calls may be served.
  bool open() const { return this->Open; }

private:
  void check(std::int64_t VersionInForce, Effects &Out);

  Random Rng;
  milliseconds RequestInterval;
  std::int64_t Nonce;
  std::optional<std::int64_t> RequiredVersion;
  bool Open = false;
  Time NextRequest;
};

} // namespace persimmon
