#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstdint>
#include <string_view>

namespace persimmon {

/// How long a daemon may use its shares, counted from the sending of the
/// request that last renewed them. They are renewed once a second, so calls go
/// on while there is no leader for three seconds.
constexpr milliseconds ShareValidity{4000};

/// How long after the sending of its request a granted token may be taken. A
/// leader grants no tokens in this time after a former leader may have, so that
/// tokens of both are never taken at once.
constexpr milliseconds TokenValidity{150};

/// The rate of an account: calls per second, and the calls that may start at
/// once after a time without any.
struct AccountRate {
  double PerSecond = 0;
  double Burst = 0;

  bool limited() const { return this->PerSecond > 0; }
  bool operator==(const AccountRate &) const = default;
};

/// A share in thousandths of a call, as on the wire.
struct ShareSize {
  std::int64_t MilliPerSecond = 0;
  std::int64_t MilliDepth = 0;

  bool empty() const {
    return this->MilliPerSecond == 0 && this->MilliDepth == 0;
  }
  bool operator==(const ShareSize &) const = default;
};

/// Returns the number of the account with this settings path in allowance
/// messages. 32 bits take five bytes; two of 77 accounts have the same number
/// once in 1.4 million configurations, and then share one rate.
std::int64_t accountNumber(std::string_view Path);

/// Returns what one held share adds to AllowanceRequest.HeldDigest.
std::uint32_t digestOf(std::int64_t Account, const ShareSize &Share);

} // namespace persimmon
