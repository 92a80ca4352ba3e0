#pragma once

#include "libwire/libwire.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Maps each idempotency key to the claim of the call that may run. Replicated
/// and bounded; a claim is never evicted within its retention time.
class ClaimTable {
public:
  /// Removes the claims granted at or before \p ExpireThrough, then grants each
  /// claim of \p Batch whose key is free. A claim with Release set is removed
  /// instead if its owner holds it.
  void apply(const std::vector<wire::Claim> &Batch, std::int64_t ExpireThrough);

  /// Returns the claim on \p Key, or nullptr.
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
