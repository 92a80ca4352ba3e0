#include "loadsimulation.h"

#include "libpersimmon/admissionqueue.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>

namespace persimmon {

namespace {

constexpr double MsPerSecond = 1000.0;
/// Standard deviation of the logarithm of run times, typical of the
/// targets that we serve.
constexpr double RunSpread = 0.5;

struct ArrivedCall {
  std::size_t Route = 0;
  Time ArrivedAt;
};

class LoadSimulation {
public:
  LoadSimulation(const SimulatedLoad &TheLoad, QueuePolicy ThePolicy,
                 std::uint64_t Seed)
      : Load(TheLoad), Policy(ThePolicy), Rng(Seed),
        Outcomes(TheLoad.Routes.size()) {}

  std::vector<SimulatedOutcomes> run() {
    Time Now{std::chrono::hours(1)};
    const Time Start = Now;
    while (Now < Start + this->Load.Length) {
      const bool Burst = Now >= Start + this->Load.BurstFrom &&
                         Now < Start + this->Load.BurstUntil;
      for (std::size_t I = 0; I < this->Load.Routes.size(); ++I)
        this->arrivals(I, Burst ? this->Load.BurstFactor : 1.0, Now);
      Now += milliseconds(1);
      this->finishDue(Now);
    }
    return this->Outcomes;
  }

private:
  void arrivals(std::size_t Route, double Factor, Time Now) {
    std::poisson_distribution<int> Count(this->Load.Routes[Route].PerSecond *
                                         Factor / MsPerSecond);
    for (int Left = Count(this->Rng); Left > 0; --Left)
      this->arrive(Route, Now);
  }

  void arrive(std::size_t Route, Time Now) {
    const SimulatedRoute &Kind = this->Load.Routes[Route];
    this->Outcomes[Route].Arrived += 1;
    WaitingCall Call;
    Call.Id.Number = ++this->LastNumber;
    Call.Route = Kind.Name;
    const bool ByUsefulTime = this->Policy == QueuePolicy::Useful;
    Call.Priority = ByUsefulTime ? Kind.Priority : 0;
    Call.Deadline = Now + Kind.Deadline;
    Call.UsefulUntil = ByUsefulTime ? Now + Kind.Useful : Call.Deadline;
    this->Calls[Call.Id.Number] = {Route, Now};
    if (static_cast<int>(this->Running.size()) < this->Load.Slots)
      return this->start(Call.Id.Number, Now);
    if (!this->Queue.canServe(Call, this->state(), Now)) {
      this->Outcomes[Route].RefusedAtOnce += 1;
      return;
    }
    this->Queue.add(std::move(Call));
    this->refuseUnservable(Now);
  }

  SlotState state() const {
    SlotState Out;
    Out.Slots = this->Load.Slots;
    for (const auto &[End, Number] : this->Running)
      Out.RunningMs +=
          this->RunTimes.expectedMs(
              this->Load.Routes[this->Calls.at(Number).Route].Name) /
          2;
    return Out;
  }

  void refuseUnservable(Time Now) {
    for (const WaitingCall &Call :
         this->Queue.takeUnservable(this->state(), Now))
      this->Outcomes[this->Calls.at(Call.Id.Number).Route].RefusedLater += 1;
  }

  void start(std::int64_t Number, Time Now) {
    const SimulatedRoute &Kind =
        this->Load.Routes[this->Calls.at(Number).Route];
    std::lognormal_distribution<double> Run(
        std::log(Kind.MeanRunMs) - RunSpread * RunSpread / 2, RunSpread);
    const double TookMs = Run(this->Rng);
    this->RunTimes.addSample(Kind.Name, TookMs);
    this->Running.emplace(
        Now + std::chrono::microseconds(
                  static_cast<std::int64_t>(TookMs * MsPerSecond)),
        Number);
  }

  void finishDue(Time Now) {
    while (!this->Running.empty() && this->Running.begin()->first <= Now) {
      const auto [End, Number] = *this->Running.begin();
      this->Running.erase(this->Running.begin());
      const ArrivedCall &Ended = this->Calls.at(Number);
      const SimulatedRoute &Kind = this->Load.Routes[Ended.Route];
      if (End <= Ended.ArrivedAt + Kind.Useful)
        this->Outcomes[Ended.Route].Useful += 1;
      else if (End <= Ended.ArrivedAt + Kind.Deadline)
        this->Outcomes[Ended.Route].Late += 1;
      this->refuseUnservable(Now);
      if (!this->Queue.empty())
        this->start(this->Queue.takeNext().Id.Number, Now);
    }
  }

  const SimulatedLoad &Load;
  QueuePolicy Policy;
  std::mt19937_64 Rng;
  std::vector<SimulatedOutcomes> Outcomes;
  RunTimeEstimates RunTimes;
  AdmissionQueue Queue{RunTimes};
  std::multimap<Time, std::int64_t> Running;
  std::map<std::int64_t, ArrivedCall> Calls;
  std::int64_t LastNumber = 0;
};

} // namespace

std::vector<SimulatedOutcomes> simulateLoad(const SimulatedLoad &Load,
                                            QueuePolicy Policy,
                                            std::uint64_t Seed) {
  return LoadSimulation(Load, Policy, Seed).run();
}

} // namespace persimmon
