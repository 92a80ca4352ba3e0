#include "failureguard.h"

#include <algorithm>

namespace persimmon {

namespace {

/// Long enough for some runs of a usual target, short against a burst.
constexpr milliseconds Window{250};
/// Share of failures that is left to the callers' own retries.
constexpr double TolerableFailures = 0.1;
constexpr int RunsThatCount = 4;
/// The refused share grows by a part of the failures beyond what is tolerable
/// and otherwise shrinks to a part of itself with each window.
constexpr double Growth = 0.2;
constexpr double Decay = 0.8;
/// Some calls always run, or nobody would learn that the trouble is over.
constexpr double MaxRefused = 0.7;
constexpr std::size_t Dice = 1000;

} // namespace

void FailureGuard::closeWindow(RouteState &State, Time Now) {
  if (Now < State.WindowEnd)
    return;
  const double Share =
      State.Runs == 0 ? 0.0 : static_cast<double>(State.Failures) / State.Runs;
  if (State.Runs >= RunsThatCount && Share > TolerableFailures)
    State.Refused += Growth * (Share - TolerableFailures);
  else if (State.Runs >= RunsThatCount || State.Failures == 0)
    State.Refused *= Decay;
  State.Refused = std::clamp(State.Refused, 0.0, MaxRefused);
  State.Runs = 0;
  State.Failures = 0;
  State.WindowEnd = Now + Window;
}

void FailureGuard::note(std::string_view Route, bool Failed, Time Now) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end()) {
    if (!Failed)
      return;
    Found = this->ByRoute.emplace(std::string(Route), RouteState()).first;
    Found->second.WindowEnd = Now + Window;
  }
  closeWindow(Found->second, Now);
  Found->second.Runs += 1;
  Found->second.Failures += Failed ? 1 : 0;
}

bool FailureGuard::admit(std::string_view Route, Time Now) {
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    return true;
  closeWindow(Found->second, Now);
  return static_cast<double>(this->Rng.below(Dice)) >=
         Found->second.Refused * Dice;
}

} // namespace persimmon
