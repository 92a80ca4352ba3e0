#include "nestedsimulation.h"

#include "libpersimmon/admissionqueue.h"
#include "libpersimmon/nestedloadlimiter.h"
#include "libpersimmon/shedmeter.h"

#include <map>
#include <random>

namespace persimmon {

namespace {

constexpr double MsPerSecond = 1000.0;
constexpr double RunSpread = 0.4;
constexpr int OuterPriority = 98;
constexpr int DirectPriority = 99;
constexpr milliseconds OuterUsefulTime{200};
constexpr milliseconds OuterDeadline{500};
constexpr milliseconds DirectUsefulTime{100};
constexpr milliseconds DirectDeadline{250};
const char *const Outer = "outer";
const char *const Nested = "nested";
const char *const Direct = "direct";

/// Queue, slots and running calls of one service.
struct Service {
  explicit Service(int Count) : Slots(Count) {}

  SlotState state(Time Now) const {
    SlotState Out;
    Out.Slots = this->Slots;
    for (const auto &[End, Number] : this->Running)
      Out.RunningMs += std::max(
          0.0, std::chrono::duration<double, std::milli>(End - Now).count());
    return Out;
  }
  bool full() const {
    return static_cast<int>(this->Running.size() +
                            this->AwaitingNested.size()) >= this->Slots;
  }

  int Slots;
  RunTimeEstimates RunTimes;
  AdmissionQueue Queue{RunTimes};
  std::multimap<Time, std::int64_t> Running;
  /// Outer runs that occupy a slot while they wait for their nested call.
  std::map<std::int64_t, Time> AwaitingNested;
};

struct Call {
  const char *Route = Outer;
  Time ArrivedAt;
  Time StartedAt;
  std::int64_t Parent = 0;
  std::int64_t NestedBefore = 0;
};

class NestedSimulation {
public:
  NestedSimulation(const NestedLoad &TheLoad, NestedPolicy ThePolicy,
                   std::uint64_t Seed)
      : Load(TheLoad), Policy(ThePolicy), Rng(Seed), Limiter(Seed),
        OuterService(TheLoad.OuterSlots), InnerService(TheLoad.InnerSlots) {}

  NestedShares run() {
    Time Now{std::chrono::hours(1)};
    const Time End = Now + std::chrono::seconds(this->Load.Seconds);
    for (; Now < End; Now += milliseconds(1)) {
      this->arrivals(Outer, this->Load.OuterPerSecond, Now);
      this->arrivals(Direct, this->Load.DirectPerSecond, Now);
      this->finishInner(Now);
      this->finishOuter(Now);
    }
    NestedShares Out;
    Out.OuterUseful = static_cast<double>(this->OuterUseful) / this->OuterCount;
    Out.DirectUseful =
        static_cast<double>(this->DirectUseful) / this->DirectCount;
    Out.OuterFailed = static_cast<double>(this->OuterFailed) / this->OuterCount;
    return Out;
  }

private:
  void arrivals(const char *Route, double PerSecond, Time Now) {
    std::poisson_distribution<int> Count(PerSecond / MsPerSecond);
    for (int Left = Count(this->Rng); Left > 0; --Left) {
      const std::int64_t Number = ++this->LastNumber;
      this->Calls[Number] = {Route, Now, Now, 0, 0};
      ++(Route == Outer ? this->OuterCount : this->DirectCount);
      if (Route == Outer && this->Policy == NestedPolicy::Limited &&
          !this->Limiter.admit(Outer, OuterPriority, Now))
        continue;
      const bool Admitted =
          Route == Outer
              ? this->admitOrQueue(this->OuterService, Number, OuterPriority,
                                   Now + OuterUsefulTime, Now + OuterDeadline,
                                   Now)
              : this->admitOrQueue(this->InnerService, Number, DirectPriority,
                                   Now + DirectUsefulTime, Now + DirectDeadline,
                                   Now);
      if (Route == Direct)
        this->ShedLoadMeter.countCall(DirectPriority, !Admitted, Now);
    }
  }

  bool admitOrQueue(Service &At, std::int64_t Number, int Priority,
                    Time UsefulUntil, Time Deadline, Time Now) {
    if (!At.full()) {
      this->start(At, Number, Now);
      return true;
    }
    WaitingCall NewCall;
    NewCall.Id.Number = Number;
    NewCall.Route = this->Calls[Number].Route;
    NewCall.Priority = Priority;
    NewCall.UsefulUntil = UsefulUntil;
    NewCall.Deadline = Deadline;
    NewCall.Nested =
        NewCall.Route == Nested && this->Policy != NestedPolicy::ByPriority;
    if (!At.Queue.canServe(NewCall, At.state(Now), Now))
      return false;
    At.Queue.add(std::move(NewCall));
    this->refuseUnservable(At, Now);
    return true;
  }

  void refuseUnservable(Service &At, Time Now) {
    for (const WaitingCall &Removed :
         At.Queue.takeUnservable(At.state(Now), Now)) {
      if (Removed.Route == Direct)
        this->ShedLoadMeter.countCall(DirectPriority, true, Now);
      if (Removed.Route == Nested)
        this->nestedEnded(Removed.Id.Number, true, Now);
    }
  }

  void start(Service &At, std::int64_t Number, Time Now) {
    Call &Item = this->Calls[Number];
    Item.StartedAt = Now;
    Item.NestedBefore = this->Limiter.nestedCount();
    const double Mean = Item.Route == Outer    ? this->Load.OuterRunMs
                        : Item.Route == Nested ? this->Load.NestedRunMs
                                               : this->Load.DirectRunMs;
    std::lognormal_distribution<double> Run(
        std::log(Mean) - RunSpread * RunSpread / 2, RunSpread);
    At.Running.emplace(Now + std::chrono::microseconds(static_cast<long>(
                                 Run(this->Rng) * MsPerSecond)),
                       Number);
  }

  void startWaiting(Service &At, Time Now) {
    this->refuseUnservable(At, Now);
    while (!At.Queue.empty() && !At.full())
      this->start(At, At.Queue.takeNext().Id.Number, Now);
  }

  void finishInner(Time Now) {
    while (!this->InnerService.Running.empty() &&
           this->InnerService.Running.begin()->first <= Now) {
      const std::int64_t Number = this->InnerService.Running.begin()->second;
      this->InnerService.Running.erase(this->InnerService.Running.begin());
      const Call &Item = this->Calls[Number];
      this->InnerService.RunTimes.addSample(Item.Route,
                                            millis(Now - Item.StartedAt));
      if (Item.Route == Nested)
        this->nestedEnded(Number, false, Now);
      else if (Now <= Item.ArrivedAt + DirectUsefulTime)
        ++this->DirectUseful;
      this->startWaiting(this->InnerService, Now);
    }
  }

  void finishOuter(Time Now) {
    while (!this->OuterService.Running.empty() &&
           this->OuterService.Running.begin()->first <= Now) {
      const std::int64_t Parent = this->OuterService.Running.begin()->second;
      this->OuterService.Running.erase(this->OuterService.Running.begin());
      // The run has done its own work and now makes its nested call.
      this->OuterService.AwaitingNested[Parent] = Now;
      const std::int64_t Number = ++this->LastNumber;
      this->Calls[Number] = {Nested, Now, Now, Parent, 0};
      const Time Until = this->Calls[Parent].ArrivedAt + OuterDeadline;
      if (!this->admitOrQueue(this->InnerService, Number, OuterPriority, Until,
                              Until, Now))
        this->nestedEnded(Number, true, Now);
    }
  }

  void nestedEnded(std::int64_t Number, bool Refused, Time Now) {
    const std::int64_t Parent = this->Calls[Number].Parent;
    const Call &Item = this->Calls[Parent];
    this->Limiter.nestedEnded({Refused, this->ShedLoadMeter.report(Now)}, Now);
    this->OuterService.RunTimes.addSample(Outer, millis(Now - Item.StartedAt));
    this->Limiter.runEnded(
        Outer, Item.NestedBefore,
        std::chrono::duration_cast<milliseconds>(Now - Item.StartedAt),
        static_cast<int>(this->OuterService.Running.size() +
                         this->OuterService.AwaitingNested.size()),
        Now);
    this->OuterService.AwaitingNested.erase(Parent);
    if (Refused)
      ++this->OuterFailed;
    else if (Now <= Item.ArrivedAt + OuterUsefulTime)
      ++this->OuterUseful;
    this->startWaiting(this->OuterService, Now);
  }

  static double millis(Time::duration Span) {
    return std::chrono::duration<double, std::milli>(Span).count();
  }

  const NestedLoad &Load;
  NestedPolicy Policy;
  std::mt19937_64 Rng;
  NestedLoadLimiter Limiter;
  ShedMeter ShedLoadMeter;
  Service OuterService;
  Service InnerService;
  std::map<std::int64_t, Call> Calls;
  std::int64_t LastNumber = 0;
  int OuterCount = 0;
  int OuterUseful = 0;
  int OuterFailed = 0;
  int DirectCount = 0;
  int DirectUseful = 0;
};

} // namespace

NestedShares simulateNestedLoad(const NestedLoad &Load, NestedPolicy Policy,
                                std::uint64_t Seed) {
  return NestedSimulation(Load, Policy, Seed).run();
}

} // namespace persimmon
