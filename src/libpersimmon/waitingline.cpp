#include "waitingline.h"

#include <algorithm>
#include <tuple>

namespace persimmon {

namespace {

/// Weight of the newest run in a mean, which covers about the last twenty runs.
constexpr double RunTimeWeight = 0.05;
/// A waiting call is removed only if it is predicted to be late by more than
/// this share of its remaining time: predictions from means are off by about
/// that much.
constexpr double PredictionSlack = 0.25;
/// Share of its remaining time within which a late call must be predicted to
/// end, since calls that arrive later may still be queued ahead of it.
constexpr double LateShare = 0.5;

double millisecondsOf(Time::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

double RunTimes::expectedMs(std::string_view Route) const {
  const auto Found = this->ByRoute.find(Route);
  return Found == this->ByRoute.end() ? this->AnyRoute : Found->second;
}

void RunTimes::note(std::string_view Route, double TookMs) {
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    this->ByRoute.emplace(std::string(Route), TookMs);
  else
    Found->second += RunTimeWeight * (TookMs - Found->second);
  this->AnyRoute +=
      this->AnyRoute == 0 ? TookMs : RunTimeWeight * (TookMs - this->AnyRoute);
}

bool WaitingLine::Before::operator()(const WaitingCall &Left,
                                     const WaitingCall &Right) const {
  return std::tie(Right.Nested, Right.Priority, Left.Late, Left.UsefulUntil,
                  Left.Id) < std::tie(Left.Nested, Left.Priority, Right.Late,
                                      Right.UsefulUntil, Right.Id);
}

bool WaitingLine::canServe(const WaitingCall &Call, const SlotState &State,
                           Time Now) const {
  double AheadMs = State.RunningMs;
  for (const WaitingCall &Other : this->Calls) {
    if (!Before()(Other, Call))
      break;
    AheadMs += this->Known.expectedMs(Other.Route);
  }
  const double NeededMs =
      AheadMs / State.Slots + this->Known.expectedMs(Call.Route);
  const double LeftMs = millisecondsOf(Call.UsefulUntil - Now);
  return NeededMs <= (Call.Late ? LeftMs * LateShare : LeftMs);
}

void WaitingLine::add(WaitingCall Call) { this->Calls.insert(std::move(Call)); }

void WaitingLine::remove(const wire::AttemptId &Id) {
  std::erase_if(this->Calls,
                [&](const WaitingCall &Call) { return Call.Id == Id; });
}

void WaitingLine::setReady(const wire::AttemptId &Id, Time Deadline) {
  const auto Found =
      std::find_if(this->Calls.begin(), this->Calls.end(),
                   [&](const WaitingCall &Call) { return Call.Id == Id; });
  if (Found == this->Calls.end())
    return;
  WaitingCall Call = *Found;
  this->Calls.erase(Found);
  Call.Ready = true;
  Call.Deadline = std::min(Call.Deadline, Deadline);
  Call.UsefulUntil = std::min(Call.UsefulUntil, Call.Deadline);
  this->add(std::move(Call));
}

std::set<WaitingCall, WaitingLine::Before>::const_iterator
WaitingLine::nextReady() const {
  return std::find_if(this->Calls.begin(), this->Calls.end(),
                      [](const WaitingCall &Call) { return Call.Ready; });
}

bool WaitingLine::hasReady() const {
  return this->nextReady() != this->Calls.end();
}

WaitingCall WaitingLine::takeNext() {
  const auto Next = this->nextReady();
  WaitingCall Out = *Next;
  this->Calls.erase(Next);
  return Out;
}

std::vector<WaitingCall> WaitingLine::takeAll() {
  std::vector<WaitingCall> Out(this->Calls.begin(), this->Calls.end());
  this->Calls.clear();
  return Out;
}

WaitingCall WaitingLine::takeLast() {
  const auto Last = std::prev(this->Calls.end());
  WaitingCall Out = *Last;
  this->Calls.erase(Last);
  return Out;
}

std::vector<WaitingCall> WaitingLine::takeHopeless(const SlotState &State,
                                                   Time Now) {
  std::vector<WaitingCall> Out;
  double AheadMs = State.RunningMs;
  auto FreeForBodies =
      State.Free -
      std::count_if(this->Calls.begin(), this->Calls.end(),
                    [](const WaitingCall &Call) { return Call.Ready; });
  for (auto Item = this->Calls.begin(); Item != this->Calls.end();) {
    const double RunMs = this->Known.expectedMs(Item->Route);
    const double NeededMs = AheadMs / State.Slots + RunMs;
    const double LeftMs = millisecondsOf(Item->UsefulUntil - Now);
    const bool FindsSlot = !Item->Ready && FreeForBodies-- > 0;
    const bool Late = !FindsSlot && NeededMs > LeftMs * (1 + PredictionSlack);
    const bool Hopeless = Now >= Item->Deadline || Late;
    if (!Hopeless) {
      AheadMs += RunMs;
      ++Item;
      continue;
    }
    Out.push_back(*Item);
    Item = this->Calls.erase(Item);
  }
  return Out;
}

} // namespace persimmon
