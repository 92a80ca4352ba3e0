#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmon {

/// Learns which routes carry calls that running calls make. Callers enter at
/// daemons of every service; a route that only the daemons beside targets of
/// one service use is called by those targets.
class OriginWatch {
public:
  /// Notes a call of \p Route that entered beside a target of \p Service.
  /// \p ServiceCount is the number of services that have targets. Returns
  /// whether the route's calls are taken for calls of targets.
  bool note(std::string_view Route, std::string_view Service,
            std::size_t ServiceCount);

private:
  struct Origins {
    std::set<std::string, std::less<>> Services;
    std::int64_t Calls = 0;
  };

  std::map<std::string, Origins, std::less<>> ByRoute;
};

} // namespace persimmon
