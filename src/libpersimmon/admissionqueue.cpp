#include "admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace persimmon {

namespace {

/// Weight of the newest run in a mean, which covers about the last twenty runs.
constexpr double SampleWeight = 0.05;
/// A waiting call is removed only if it is predicted to be late by more than
/// this share of its remaining time: predictions from means are off by about
/// that much.
constexpr double PredictionSlack = 0.25;
/// Share of its remaining time within which a late call must be predicted to
/// end, since calls that arrive later may still be queued ahead of it.
constexpr double LateCallShare = 0.5;

double millisecondsOf(Time::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

double RunTimeEstimates::expectedMs(std::string_view Route) const {
  const auto Found = this->ByRoute.find(Route);
  return Found == this->ByRoute.end() ? this->AllRoutes : Found->second;
}

void RunTimeEstimates::addSample(std::string_view Route, double TookMs) {
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    this->ByRoute.emplace(std::string(Route), TookMs);
  else
    Found->second += SampleWeight * (TookMs - Found->second);
  this->AllRoutes +=
      this->AllRoutes == 0 ? TookMs : SampleWeight * (TookMs - this->AllRoutes);
}

bool AdmissionQueue::QueueOrder::operator()(const WaitingCall &Left,
                                            const WaitingCall &Right) const {
  return std::tie(Right.Nested, Right.Priority, Left.Late, Left.UsefulUntil,
                  Left.Id) < std::tie(Left.Nested, Left.Priority, Right.Late,
                                      Right.UsefulUntil, Right.Id);
}

double AdmissionQueue::waitMs(const SlotState &State, int Ahead,
                              double AheadMs) {
  const double SlotMs = AheadMs / State.Slots;
  if (State.StartIntervalMs == 0)
    return SlotMs;
  const double RateMs = State.NextStartMs + Ahead * State.StartIntervalMs;
  // The rate may leave slots unused.
  return Ahead < State.Free ? RateMs : std::max(SlotMs, RateMs);
}

bool AdmissionQueue::canServe(const WaitingCall &Call, const SlotState &State,
                              Time Now) const {
  int Ahead = 0;
  double AheadMs = State.RunningMs;
  for (const WaitingCall &Other : this->Calls) {
    if (!QueueOrder()(Other, Call))
      break;
    Ahead += 1;
    AheadMs += this->Estimates.expectedMs(Other.Route);
  }
  const double NeededMs =
      waitMs(State, Ahead, AheadMs) + this->Estimates.expectedMs(Call.Route);
  const double LeftMs = millisecondsOf(Call.UsefulUntil - Now);
  return NeededMs <= (Call.Late ? LeftMs * LateCallShare : LeftMs);
}

void AdmissionQueue::add(WaitingCall Call) {
  this->Calls.insert(std::move(Call));
}

void AdmissionQueue::remove(const wire::AttemptId &Id) {
  std::erase_if(this->Calls,
                [&](const WaitingCall &Call) { return Call.Id == Id; });
}

void AdmissionQueue::setReady(const wire::AttemptId &Id, Time Deadline) {
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

std::set<WaitingCall, AdmissionQueue::QueueOrder>::const_iterator
AdmissionQueue::nextReady() const {
  return std::find_if(this->Calls.begin(), this->Calls.end(),
                      [](const WaitingCall &Call) { return Call.Ready; });
}

bool AdmissionQueue::hasReady() const {
  return this->nextReady() != this->Calls.end();
}

WaitingCall AdmissionQueue::takeNext() {
  const auto Next = this->nextReady();
  WaitingCall Out = *Next;
  this->Calls.erase(Next);
  return Out;
}

std::vector<WaitingCall> AdmissionQueue::takeAll() {
  std::vector<WaitingCall> Out(this->Calls.begin(), this->Calls.end());
  this->Calls.clear();
  return Out;
}

WaitingCall AdmissionQueue::takeLast() {
  const auto Last = std::prev(this->Calls.end());
  WaitingCall Out = *Last;
  this->Calls.erase(Last);
  return Out;
}

std::vector<WaitingCall> AdmissionQueue::takeUnservable(const SlotState &State,
                                                        Time Now) {
  std::vector<WaitingCall> Out;
  int Ahead = 0;
  double AheadMs = State.RunningMs;
  auto FreeSlotsForBodies =
      State.Free -
      std::count_if(this->Calls.begin(), this->Calls.end(),
                    [](const WaitingCall &Call) { return Call.Ready; });
  for (auto Item = this->Calls.begin(); Item != this->Calls.end();) {
    const double RunMs = this->Estimates.expectedMs(Item->Route);
    const double NeededMs = waitMs(State, Ahead, AheadMs) + RunMs;
    const double LeftMs = millisecondsOf(Item->UsefulUntil - Now);
    const bool HasFreeSlot =
        State.StartIntervalMs == 0 && !Item->Ready && FreeSlotsForBodies-- > 0;
    const bool Late = !HasFreeSlot && NeededMs > LeftMs * (1 + PredictionSlack);
    const bool Unservable = Now >= Item->Deadline || Late;
    if (!Unservable) {
      Ahead += 1;
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
