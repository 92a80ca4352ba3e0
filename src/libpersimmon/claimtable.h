#pragma once

#include "libwire/libwire.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Which attempt holds the right to run the call of each idempotency key.
/// Replicated; bounded, and never forgets a claim within its retention.
class ClaimTable {
public:
  /// Grants, or releases for its owner, and drops claims granted at or before
  /// \p ExpireThrough.
  void apply(const std::vector<wire::Claim> &Batch, std::int64_t ExpireThrough);

  /// Returns the claim on \p Key, or null.
  const wire::Claim *find(std::string_view Key) const;

  bool full() const { return this->Claims.size() >= MaxClaims; }
  std::size_t size() const { return this->Claims.size(); }
  std::vector<wire::Claim> all() const;
  void restore(const std::vector<wire::Claim> &Stored);

private:
  static constexpr std::size_t MaxClaims = 200'000;

  std::map<std::string, wire::Claim, std::less<>> Claims;
};

} // namespace persimmon
