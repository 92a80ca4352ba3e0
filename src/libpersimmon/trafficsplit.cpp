#include "trafficsplit.h"

#include <algorithm>
#include <numeric>

namespace persimmon {

namespace {

/// A call with a lower share of the route's usual time is a retry. The first
/// request loses only a few milliseconds in transit; one that waited for
/// Retry-After loses far more.
constexpr double RetryShare = 0.9;

bool sameParts(const std::vector<SplitPart> &Left,
               const std::vector<SplitPart> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const SplitPart &A, const SplitPart &B) {
                      return A.Service == B.Service && A.Weight == B.Weight;
                    });
}

} // namespace

void TrafficSplit::reset(const RouteSpec &Route, Credits &State) {
  State.Parts = Route.Parts;
  State.Balances.clear();
  // Random initial credits, so that daemons do not choose in lockstep.
  constexpr std::size_t Steps = 1000;
  for (const SplitPart &Part : Route.Parts)
    State.Balances.push_back(static_cast<double>(Part.Weight) *
                             static_cast<double>(this->Rng.below(Steps)) /
                             Steps);
}

const SplitPart &TrafficSplit::next(const RouteSpec &Route) {
  if (Route.Parts.size() == 1)
    return Route.Parts.front();
  Credits &State = this->ByRoute[Route.Path];
  if (!sameParts(State.Parts, Route.Parts))
    this->reset(Route, State);
  const double Sum = std::accumulate(
      Route.Parts.begin(), Route.Parts.end(), 0.0,
      [](double Total, const SplitPart &Part) { return Total + Part.Weight; });
  std::size_t Best = Route.Parts.size();
  for (std::size_t I = 0; I < Route.Parts.size(); ++I) {
    State.Balances[I] += Route.Parts[I].Weight;
    if (Route.Parts[I].Weight > 0 && (Best == Route.Parts.size() ||
                                      State.Balances[I] > State.Balances[Best]))
      Best = I;
  }
  State.Balances[Best] -= Sum;
  return Route.Parts[Best];
}

milliseconds RetryDetector::timeSinceFirstTry(std::string_view Route,
                                              milliseconds TimeLeft) {
  const auto Found = this->LongestByRoute.find(Route);
  if (Found == this->LongestByRoute.end()) {
    this->LongestByRoute.emplace(std::string(Route), TimeLeft);
    return milliseconds(0);
  }
  Found->second = std::max(Found->second, TimeLeft);
  const bool IsRetry = static_cast<double>(TimeLeft.count()) <
                       RetryShare * static_cast<double>(Found->second.count());
  return IsRetry ? Found->second - TimeLeft : milliseconds(0);
}

} // namespace persimmon
