#include "admissionqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

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
/// Virtual time of a call whose run time is not known yet.
constexpr double MinFairCostMs = 1;
/// Accounts whose virtual times are closer than this part of the mean run time
/// on all slots are ordered by useful time. Without it, long calls of one
/// account go ahead of several short ones of others. Of 1,185 calls in a
/// replayed burst of long ones 612 were answered in time, 579 without this and
/// 661 without regard to accounts (tests/policies, means of ten seeds).
constexpr double QuantumRuns = 0.5;
/// No route has this name, so its estimate is the mean of all.
constexpr std::string_view AnyRoute;
/// Virtual times start at 0.
constexpr double BeforeAll = -1;

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

void AdmissionQueue::arrived(const WaitingCall &Call, Time Now) {
  // Nested calls are the consequence of others and go first in any case.
  this->HasAccounts = this->HasAccounts || !Call.Account.empty();
  if (this->HasAccounts && !Call.Nested)
    this->Fairness.arrived(Call.Priority, Call.Account, Now);
}

void AdmissionQueue::started(const WaitingCall &Call, Time Now) {
  if (this->HasAccounts && !Call.Nested)
    this->Fairness.started(Call.Priority, Call.Account, this->fairCostMs(Call),
                           Now);
}

double AdmissionQueue::admittedShare(int Priority, std::string_view Account,
                                     double OfAll, Time Now) const {
  return this->HasAccounts
             ? this->Fairness.admittedShare(Priority, Account, OfAll, Now)
             : OfAll;
}

double AdmissionQueue::fairCostMs(const WaitingCall &Call) const {
  return std::max(MinFairCostMs, this->Estimates.expectedMs(Call.Route));
}

double AdmissionQueue::fairQuantumMs() const {
  const double Wanted =
      std::max(MinFairCostMs, QuantumRuns * this->Slots *
                                  this->Estimates.expectedMs(AnyRoute));
  // A quantum that follows each sample would move all its multiples.
  return std::exp2(std::round(std::log2(Wanted)));
}

void AdmissionQueue::orderByAccount(
    std::vector<const WaitingCall *> &Ordered) const {
  struct RankedCall {
    const WaitingCall *Call = nullptr;
    double Start = 0;
  };
  const double QuantumMs = this->fairQuantumMs();
  std::vector<RankedCall> Ranked;
  Ranked.reserve(Ordered.size());
  std::map<std::pair<int, std::string_view>, double> NextStart;
  for (const WaitingCall *Call : Ordered) {
    RankedCall &Item = Ranked.emplace_back(RankedCall{Call});
    if (Call->Nested)
      continue;
    const auto [Next, IsFirst] =
        NextStart.try_emplace({Call->Priority, Call->Account});
    if (IsFirst)
      Next->second = this->Fairness.startOf(Call->Priority, Call->Account);
    if (IsFirst && this->Fairness.neglected(Call->Priority, Call->Account)) {
      Item.Start = BeforeAll;
      continue;
    }
    Item.Start = std::floor(Next->second / QuantumMs) * QuantumMs;
    Next->second += this->fairCostMs(*Call);
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const RankedCall &Left, const RankedCall &Right) {
                     return std::tie(Right.Call->Nested, Right.Call->Priority,
                                     Left.Call->Late, Left.Start) <
                            std::tie(Left.Call->Nested, Left.Call->Priority,
                                     Right.Call->Late, Right.Start);
                   });
  std::transform(Ranked.begin(), Ranked.end(), Ordered.begin(),
                 [](const RankedCall &Item) { return Item.Call; });
}

std::vector<const WaitingCall *>
AdmissionQueue::inOrder(const WaitingCall *Extra) const {
  std::vector<const WaitingCall *> Out;
  Out.reserve(this->Calls.size() + 1);
  for (const WaitingCall &Call : this->Calls)
    Out.push_back(&Call);
  if (Extra != nullptr)
    Out.insert(
        std::upper_bound(Out.begin(), Out.end(), Extra,
                         [](const WaitingCall *Left, const WaitingCall *Right) {
                           return QueueOrder()(*Left, *Right);
                         }),
        Extra);
  if (this->HasAccounts)
    this->orderByAccount(Out);
  return Out;
}

bool AdmissionQueue::canServe(const WaitingCall &Call, const SlotState &State,
                              Time Now) const {
  int Ahead = 0;
  double AheadMs = State.RunningMs;
  for (const WaitingCall *Other : this->inOrder(&Call)) {
    if (Other == &Call)
      break;
    Ahead += 1;
    AheadMs += this->Estimates.expectedMs(Other->Route);
  }
  const double NeededMs =
      waitMs(State, Ahead, AheadMs) + this->Estimates.expectedMs(Call.Route);
  const double LeftMs = millisecondsOf(Call.UsefulUntil - Now);
  return NeededMs <= (Call.Late ? LeftMs * LateCallShare : LeftMs);
}

bool AdmissionQueue::displacesLast(const WaitingCall &Call) const {
  const auto Ordered = this->inOrder(&Call);
  if (Ordered.size() < 2)
    return false;
  const bool IsLast = Ordered.back() == &Call;
  const WaitingCall &Last = *Ordered[Ordered.size() - (IsLast ? 2 : 1)];
  if (Last.Priority != Call.Priority)
    return Last.Priority < Call.Priority;
  return !IsLast && Last.Account != Call.Account && !Last.Nested;
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

bool AdmissionQueue::hasReady() const {
  return std::any_of(this->Calls.begin(), this->Calls.end(),
                     [](const WaitingCall &Call) { return Call.Ready; });
}

WaitingCall AdmissionQueue::take(const WaitingCall &Call) {
  WaitingCall Out = std::move(this->Calls.extract(Call).value());
  return Out;
}

WaitingCall AdmissionQueue::takeNext() {
  const auto Ordered = this->inOrder();
  return this->take(
      **std::find_if(Ordered.begin(), Ordered.end(),
                     [](const WaitingCall *Call) { return Call->Ready; }));
}

std::vector<WaitingCall> AdmissionQueue::takeAll() {
  std::vector<WaitingCall> Out;
  for (const WaitingCall *Call : this->inOrder())
    Out.push_back(*Call);
  this->Calls.clear();
  return Out;
}

WaitingCall AdmissionQueue::takeLast() {
  return this->take(*this->inOrder().back());
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
  for (const WaitingCall *Item : this->inOrder()) {
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
      continue;
    }
    Out.push_back(this->take(*Item));
  }
  return Out;
}

} // namespace persimmon
