#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmon {

/// Detects routes that carry nested calls, which are calls made by other
/// running calls. External callers use the daemons of all services. If all
/// calls of a route enter at daemons next to targets of a single service, these
/// targets make the calls.
class NestedRouteDetector {
public:
  /// Records a call of \p Route that entered at the daemon of a target of
  /// \p Service. \p ServiceCount is the number of services that have targets.
  /// Returns whether the calls of the route are classified as nested.
  bool recordCall(std::string_view Route, std::string_view Service,
                  std::size_t ServiceCount);

private:
  struct RouteUsage {
    std::set<std::string, std::less<>> EntryServices;
    std::int64_t CallCount = 0;
  };

  std::map<std::string, RouteUsage, std::less<>> UsageByRoute;
};

} // namespace persimmon
