#include "nestedroutedetector.h"

namespace persimmon {

namespace {

/// If a quarter of the calls enter at daemons of other services, the
/// probability that none of this many calls does is one in six million.
constexpr std::int64_t MinCalls = 54;
constexpr std::size_t MaxRoutes = 4096;

} // namespace

bool NestedRouteDetector::recordCall(std::string_view Route,
                                     std::string_view Service,
                                     std::size_t ServiceCount) {
  if (Service.empty() || ServiceCount < 2)
    return false;
  auto Found = this->UsageByRoute.find(Route);
  if (Found == this->UsageByRoute.end()) {
    if (this->UsageByRoute.size() >= MaxRoutes)
      this->UsageByRoute.clear();
    Found = this->UsageByRoute.emplace(std::string(Route), RouteUsage()).first;
  }
  RouteUsage &Usage = Found->second;
  Usage.CallCount += 1;
  if (Usage.EntryServices.find(Service) == Usage.EntryServices.end())
    Usage.EntryServices.emplace(Service);
  return Usage.EntryServices.size() == 1 && Usage.CallCount > MinCalls;
}

} // namespace persimmon
