#include "nestedloadlimiter.h"

#include <algorithm>

namespace persimmon {

namespace {

/// Long enough for several runs of a typical target, short compared to a burst.
constexpr milliseconds WindowLength{200};
/// Weights of the newest window and of the newest run in a mean.
constexpr double RateWeight = 0.3;
constexpr double RunWeight = 0.05;
/// Number of runs after which the mean of a route is used.
constexpr int MinRuns = 20;
/// Routes with a lower mean are treated as making no nested calls; the means
/// are not exact enough to tell.
constexpr double MinCallsPerRun = 0.1;
/// Share of refused nested calls that is left to the retries of their callers.
constexpr double ToleratedShortage = 0.02;
/// With each window the refused share grows by this fraction of the shortage,
/// or is multiplied by the decay factor if there is no shortage.
constexpr double Growth = 0.4;
constexpr double Decay = 0.85;
/// Some calls are always admitted; otherwise the end of the shortage would not
/// be noticed.
constexpr double MaxRefused = 0.9;
constexpr std::size_t RandomRange = 1000;
constexpr std::size_t MaxRoutes = 4096;
constexpr double PerMilleScale = 1000.0;

} // namespace

void NestedLoadLimiter::nestedEnded(const NestedOutcome &Outcome, Time Now) {
  this->closeWindow(Now);
  this->NestedTotal += 1;
  this->Current.Nested += 1;
  this->Current.NestedRefused += Outcome.Refused ? 1 : 0;
  if (Outcome.Shed.PerMille > 0)
    this->Current.ShedByPriority[Outcome.Shed.Priority] +=
        Outcome.Shed.PerMille / PerMilleScale;
}

void NestedLoadLimiter::runEnded(std::string_view Route,
                                 std::int64_t CountAtStart, milliseconds Ran,
                                 int Running, Time Now) {
  this->closeWindow(Now);
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end()) {
    if (this->NestedTotal == 0)
      return;
    if (this->ByRoute.size() >= MaxRoutes)
      this->ByRoute.clear();
    Found = this->ByRoute.emplace(std::string(Route), RouteState()).first;
  }
  RouteState &State = Found->second;
  // Nested calls that ended during the run, minus the expected number made by
  // the other runs.
  const double OtherCalls = this->NestedPerMs *
                            static_cast<double>(Ran.count()) * (Running - 1) /
                            std::max(1, Running);
  const double OwnCalls =
      static_cast<double>(this->NestedTotal - CountAtStart) - OtherCalls;
  State.Runs += 1;
  State.CallsPerRun += RunWeight * (OwnCalls - State.CallsPerRun);
}

double NestedLoadLimiter::shortage(const RouteState &State) const {
  if (this->Current.Nested == 0 || State.Runs < MinRuns ||
      State.CallsPerRun < MinCallsPerRun)
    return 0;
  double Out =
      static_cast<double>(this->Current.NestedRefused) / this->Current.Nested;
  for (const auto &[Priority, Sum] : this->Current.ShedByPriority) {
    const double Share = Sum / this->Current.Nested;
    if (Priority > State.Priority)
      Out = std::max(Out, Share);
    // Calls of the same priority are refused to the same share.
    if (Priority == State.Priority)
      Out = std::max(Out, Share - State.Refused);
  }
  return Out;
}

void NestedLoadLimiter::closeWindow(Time Now) {
  if (Now < this->Current.End)
    return;
  const double Rate =
      this->Current.Nested / static_cast<double>(WindowLength.count());
  this->NestedPerMs += RateWeight * (Rate - this->NestedPerMs);
  for (auto &[Route, State] : this->ByRoute) {
    const double Shortage = this->shortage(State);
    if (Shortage > ToleratedShortage)
      State.Refused = std::min(MaxRefused, State.Refused + Growth * Shortage);
    else
      State.Refused *= Decay;
  }
  this->Current = Window();
  this->Current.End = Now + WindowLength;
}

bool NestedLoadLimiter::admit(std::string_view Route, int Priority, Time Now,
                              const AccountShare &ShareOf) {
  this->closeWindow(Now);
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    return true;
  Found->second.Priority = Priority;
  double Refused = Found->second.Refused;
  if (Refused > 0 && ShareOf) {
    const double OfAll = 1 - Refused;
    const double Share = ShareOf(OfAll);
    if (Share != OfAll)
      Refused = 1 - Share;
  }
  return static_cast<double>(this->Rng.below(RandomRange)) >=
         Refused * RandomRange;
}

double NestedLoadLimiter::refusedShare(std::string_view Route) const {
  const auto Found = this->ByRoute.find(Route);
  return Found == this->ByRoute.end() ? 0 : Found->second.Refused;
}

} // namespace persimmon
