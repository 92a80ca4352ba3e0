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

/// Time after which a refused caller returns.
constexpr milliseconds ReturnAfter{40};

struct ArrivedCall {
  std::size_t Route = 0;
  Time ArrivedAt;
  int Attempts = 0;
  bool Counted = true;
};

class LoadSimulation {
public:
  LoadSimulation(const SimulatedLoad &TheLoad, QueuePolicy ThePolicy,
                 std::uint64_t Seed)
      : Load(TheLoad), Policy(ThePolicy), Rng(Seed),
        Outcomes(TheLoad.Routes.size()) {
    this->Queue.setSlots(TheLoad.Slots);
  }

  std::vector<SimulatedOutcomes> run() {
    Time Now{std::chrono::hours(1)};
    const Time Start = Now;
    while (Now < Start + this->Load.Length) {
      const bool Burst = Now >= Start + this->Load.BurstFrom &&
                         Now < Start + this->Load.BurstUntil;
      for (std::size_t I = 0; I < this->Load.Routes.size(); ++I) {
        const double Own = this->Load.Routes[I].BurstFactor;
        const double Factor = Own > 0 ? Own : this->Load.BurstFactor;
        this->arrivals(I, Burst ? Factor : 1.0,
                       Burst || !this->Load.CountBurstOnly, Now);
      }
      this->returnDue(Now);
      Now += milliseconds(1);
      this->finishDue(Now);
    }
    return this->Outcomes;
  }

private:
  void arrivals(std::size_t Route, double Factor, bool Counted, Time Now) {
    std::poisson_distribution<int> Count(this->Load.Routes[Route].PerSecond *
                                         Factor / MsPerSecond);
    for (int Left = Count(this->Rng); Left > 0; --Left)
      this->arrive(Route, Counted, Now);
  }

  void arrive(std::size_t Route, bool Counted, Time Now) {
    if (Counted)
      this->Outcomes[Route].Arrived += 1;
    const std::int64_t Number = ++this->LastNumber;
    this->Calls[Number] = {Route, Now, 0, Counted};
    this->offer(Number, Now);
  }

  /// Sends a call to the target, for the first time or again.
  void offer(std::int64_t Number, Time Now) {
    ArrivedCall &Arrived = this->Calls.at(Number);
    Arrived.Attempts += 1;
    const WaitingCall Call = this->waitingCall(Number);
    this->Queue.arrived(Call, Now);
    if (static_cast<int>(this->Running.size()) < this->Load.Slots)
      return this->start(Number, Now);
    if (!this->Queue.canServe(Call, this->state(), Now))
      return this->refused(Number, true, Now);
    this->Queue.add(Call);
    this->refuseUnservable(Now);
  }

  WaitingCall waitingCall(std::int64_t Number) const {
    const ArrivedCall &Arrived = this->Calls.at(Number);
    const SimulatedRoute &Kind = this->Load.Routes[Arrived.Route];
    WaitingCall Call;
    Call.Id.Number = Number;
    Call.Route = Kind.Name;
    const bool ByUsefulTime = this->Policy != QueuePolicy::Deadline;
    Call.Priority = ByUsefulTime ? Kind.Priority : 0;
    Call.Deadline = Arrived.ArrivedAt + Kind.Deadline;
    Call.UsefulUntil =
        ByUsefulTime ? Arrived.ArrivedAt + Kind.Useful : Call.Deadline;
    if (this->Policy == QueuePolicy::ByAccount)
      Call.Account = Kind.Account;
    return Call;
  }

  void refused(std::int64_t Number, bool AtOnce, Time Now) {
    const ArrivedCall &Arrived = this->Calls.at(Number);
    const SimulatedRoute &Kind = this->Load.Routes[Arrived.Route];
    if (Arrived.Attempts < this->Load.Attempts &&
        Now + ReturnAfter < Arrived.ArrivedAt + Kind.Useful) {
      this->Returning.emplace(Now + ReturnAfter, Number);
      return;
    }
    if (Arrived.Counted)
      (AtOnce ? this->Outcomes[Arrived.Route].RefusedAtOnce
              : this->Outcomes[Arrived.Route].RefusedLater) += 1;
  }

  void returnDue(Time Now) {
    while (!this->Returning.empty() && this->Returning.begin()->first <= Now) {
      const std::int64_t Number = this->Returning.begin()->second;
      this->Returning.erase(this->Returning.begin());
      this->offer(Number, Now);
    }
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
      this->refused(Call.Id.Number, false, Now);
  }

  void start(std::int64_t Number, Time Now) {
    const SimulatedRoute &Kind =
        this->Load.Routes[this->Calls.at(Number).Route];
    std::lognormal_distribution<double> Run(
        std::log(Kind.MeanRunMs) - RunSpread * RunSpread / 2, RunSpread);
    this->Queue.started(this->waitingCall(Number), Now);
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
      if (Ended.Counted && End <= Ended.ArrivedAt + Kind.Useful)
        this->Outcomes[Ended.Route].Useful += 1;
      else if (Ended.Counted && End <= Ended.ArrivedAt + Kind.Deadline)
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
  std::multimap<Time, std::int64_t> Returning;
  std::int64_t LastNumber = 0;
};

} // namespace

std::vector<SimulatedOutcomes> simulateLoad(const SimulatedLoad &Load,
                                            QueuePolicy Policy,
                                            std::uint64_t Seed) {
  return LoadSimulation(Load, Policy, Seed).run();
}

} // namespace persimmon
