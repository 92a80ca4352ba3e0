#pragma once

#include "effects.h"
#include "random.h"

#include <optional>
#include <span>
#include <string>

namespace persimmon {

/// Prevents a daemon from serving after its start until its configuration is at
/// least as new as a version that a quorum confirmed after the start. Proxies
/// store nothing on disk; every version that an earlier run served was
/// committed, hence is not newer than the confirmed one.
class ServingGate {
public:
  explicit ServingGate(std::uint64_t Seed);

  /// Sends requests to all of \p ControlAddresses until a confirmation arrives.
  void tick(Time Now, std::int64_t VersionInForce,
            const wire::MemberRecord &Self,
            std::span<const std::string> ControlAddresses, Effects &Out);
  /// Handles a confirmation. One that was meant for an earlier run has a
  /// different nonce and is ignored.
  void receive(const wire::StampReply &Reply, std::int64_t VersionInForce,
               Effects &Out);

  /// Returns whether calls can be served.
  bool open() const { return this->Open; }

private:
  void openIfCurrent(std::int64_t VersionInForce, Effects &Out);

  Random Rng;
  milliseconds RequestInterval;
  std::int64_t Nonce;
  std::optional<std::int64_t> RequiredVersion;
  bool Open = false;
  Time NextRequest;
};

} // namespace persimmon
