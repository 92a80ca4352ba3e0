#include "nestedreplay.h"

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
    return static_cast<int>(this->Running.size() + this->Held.size()) >=
           this->Slots;
  }

  int Slots;
  RunTimeEstimates Times;
  AdmissionQueue Line{Times};
  std::multimap<Time, std::int64_t> Running;
  /// Outer runs that occupy a slot while they wait for their nested call.
  std::map<std::int64_t, Time> Held;
};

struct Call {
  const char *Route = Outer;
  Time ArrivedAt;
  Time StartedAt;
  std::int64_t Parent = 0;
  std::int64_t NestedBefore = 0;
};

class Replay {
public:
  Replay(const NestedLoad &TheLoad, NestedPolicy ThePolicy, std::uint64_t Seed)
      : Load(TheLoad), Policy(ThePolicy), Rng(Seed), Guard(Seed),
        Front(TheLoad.OuterSlots), Back(TheLoad.InnerSlots) {}

  NestedEnds run() {
    Time Now{std::chrono::hours(1)};
    const Time End = Now + std::chrono::seconds(this->Load.Seconds);
    for (; Now < End; Now += milliseconds(1)) {
      this->arrivals(Outer, this->Load.OuterPerSecond, Now);
      this->arrivals(Direct, this->Load.DirectPerSecond, Now);
      this->finishBack(Now);
      this->finishFront(Now);
    }
    NestedEnds Out;
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
      if (Route == Outer && this->Policy == NestedPolicy::Guarded &&
          !this->Guard.admit(Outer, OuterPriority, Now))
        continue;
      const bool Admitted =
          Route == Outer
              ? this->offer(this->Front, Number, OuterPriority,
                            Now + OuterUsefulTime, Now + OuterDeadline, Now)
              : this->offer(this->Back, Number, DirectPriority,
                            Now + DirectUsefulTime, Now + DirectDeadline, Now);
      if (Route == Direct)
        this->Shed.countCall(DirectPriority, !Admitted, Now);
    }
  }

  bool offer(Service &At, std::int64_t Number, int Priority, Time UsefulUntil,
             Time Deadline, Time Now) {
    if (!At.full()) {
      this->start(At, Number, Now);
      return true;
    }
    WaitingCall Waiting;
    Waiting.Id.Number = Number;
    Waiting.Route = this->Calls[Number].Route;
    Waiting.Priority = Priority;
    Waiting.UsefulUntil = UsefulUntil;
    Waiting.Deadline = Deadline;
    Waiting.Nested =
        Waiting.Route == Nested && this->Policy != NestedPolicy::ByRoute;
    if (!At.Line.canServe(Waiting, At.state(Now), Now))
      return false;
    At.Line.add(std::move(Waiting));
    this->giveUp(At, Now);
    return true;
  }

  void giveUp(Service &At, Time Now) {
    for (const WaitingCall &Lost : At.Line.takeUnservable(At.state(Now), Now)) {
      if (Lost.Route == Direct)
        this->Shed.countCall(DirectPriority, true, Now);
      if (Lost.Route == Nested)
        this->nestedEnded(Lost.Id.Number, true, Now);
    }
  }

  void start(Service &At, std::int64_t Number, Time Now) {
    Call &Item = this->Calls[Number];
    Item.StartedAt = Now;
    Item.NestedBefore = this->Guard.nestedCount();
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
    this->giveUp(At, Now);
    while (!At.Line.empty() && !At.full())
      this->start(At, At.Line.takeNext().Id.Number, Now);
  }

  void finishBack(Time Now) {
    while (!this->Back.Running.empty() &&
           this->Back.Running.begin()->first <= Now) {
      const std::int64_t Number = this->Back.Running.begin()->second;
      this->Back.Running.erase(this->Back.Running.begin());
      const Call &Item = this->Calls[Number];
      this->Back.Times.addSample(Item.Route, millis(Now - Item.StartedAt));
      if (Item.Route == Nested)
        this->nestedEnded(Number, false, Now);
      else if (Now <= Item.ArrivedAt + DirectUsefulTime)
        ++this->DirectUseful;
      this->startWaiting(this->Back, Now);
    }
  }

  void finishFront(Time Now) {
    while (!this->Front.Running.empty() &&
           this->Front.Running.begin()->first <= Now) {
      const std::int64_t Parent = this->Front.Running.begin()->second;
      this->Front.Running.erase(this->Front.Running.begin());
      // The run has done its own work and now makes its nested call.
      this->Front.Held[Parent] = Now;
      const std::int64_t Number = ++this->LastNumber;
      this->Calls[Number] = {Nested, Now, Now, Parent, 0};
      const Time Until = this->Calls[Parent].ArrivedAt + OuterDeadline;
      if (!this->offer(this->Back, Number, OuterPriority, Until, Until, Now))
        this->nestedEnded(Number, true, Now);
    }
  }

  void nestedEnded(std::int64_t Number, bool Refused, Time Now) {
    const std::int64_t Parent = this->Calls[Number].Parent;
    const Call &Item = this->Calls[Parent];
    this->Guard.nestedEnded({Refused, this->Shed.report(Now)}, Now);
    this->Front.Times.addSample(Outer, millis(Now - Item.StartedAt));
    this->Guard.runEnded(
        Outer, Item.NestedBefore,
        std::chrono::duration_cast<milliseconds>(Now - Item.StartedAt),
        static_cast<int>(this->Front.Running.size() + this->Front.Held.size()),
        Now);
    this->Front.Held.erase(Parent);
    if (Refused)
      ++this->OuterFailed;
    else if (Now <= Item.ArrivedAt + OuterUsefulTime)
      ++this->OuterUseful;
    this->startWaiting(this->Front, Now);
  }

  static double millis(Time::duration Span) {
    return std::chrono::duration<double, std::milli>(Span).count();
  }

  const NestedLoad &Load;
  NestedPolicy Policy;
  std::mt19937_64 Rng;
  NestedLoadLimiter Guard;
  ShedMeter Shed;
  Service Front;
  Service Back;
  std::map<std::int64_t, Call> Calls;
  std::int64_t LastNumber = 0;
  int OuterCount = 0;
  int OuterUseful = 0;
  int OuterFailed = 0;
  int DirectCount = 0;
  int DirectUseful = 0;
};

} // namespace

NestedEnds replayNested(const NestedLoad &Load, NestedPolicy Policy,
                        std::uint64_t Seed) {
  return Replay(Load, Policy, Seed).run();
}

} // namespace persimmon
