#pragma once

#include "effects.h"
#include "random.h"

#include <span>
#include <string>

namespace persimmon {

/// Confirms with a control instance that the version in force is the newest
/// committed one, before a daemon denies a call for want of a route. A daemon
/// whose link loses the announcements of newer versions does not know that it
/// is behind.
class VersionConfirmation {
public:
  explicit VersionConfirmation(std::uint64_t Seed) : Rng(Seed) {}

  /// Asks all of \p ControlAddresses; the leader answers. Does nothing while a
  /// recent request is outstanding.
  void request(const wire::MemberRecord &Self,
               std::span<const std::string> ControlAddresses, Time Now,
               Effects &Out);

  /// Handles a reply; replies to earlier requests are ignored. Returns whether
  /// it answered the outstanding request.
  bool receive(const wire::StampReply &Reply);

  /// Returns until when \p VersionInForce counts as the newest version.
  Time validUntil(std::int64_t VersionInForce) const {
    return VersionInForce >= this->ConfirmedVersion ? this->ValidUntil : Time();
  }

private:
  Random Rng;
  std::int64_t Nonce = 0;
  Time RequestedAt;
  Time NextRequest;
  std::int64_t ConfirmedVersion = 0;
  Time ValidUntil;
};

} // namespace persimmon
