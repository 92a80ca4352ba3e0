#include "nestedroutedetector.h"

namespace persimmon {

namespace {

/// If a quarter of the calls enter at daemons of other services, the
/// probability that none of this many calls does is one in six million.
constexpr std::int64_t CallsUntilSure = 54;
constexpr std::size_t MaxRoutes = 4096;

} // namespace

bool NestedRouteDetector::note(std::string_view Route, std::string_view Service,
                               std::size_t ServiceCount) {
  if (Service.empty() || ServiceCount < 2)
    return false;
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end()) {
    if (this->ByRoute.size() >= MaxRoutes)
      this->ByRoute.clear();
    Found = this->ByRoute.emplace(std::string(Route), Origins()).first;
  }
  Origins &Seen = Found->second;
  Seen.Calls += 1;
  if (Seen.Services.find(Service) == Seen.Services.end())
    Seen.Services.emplace(Service);
  return Seen.Services.size() == 1 && Seen.Calls > CallsUntilSure;
}

} // namespace persimmon
