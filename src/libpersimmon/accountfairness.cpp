#include "accountfairness.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

namespace persimmon {

namespace {

/// Time after which a counted call has lost most of its weight: some times as
/// long as calls wait, and shorter than bursts last.
constexpr double MemoryMs = 3000;
/// An account goes first if it is served less than this times as often as all
/// calls together: a quarter is promised, and the counts lag behind.
constexpr double NeglectedShare = 0.4;
/// Fewer calls say nothing about how often an account is served.
constexpr double MinAsked = 2;
/// Calls fewer than this are forgotten.
constexpr double IdleAsked = 0.01;

/// Returns what is left at \p Now of a count of the time \p At.
double keptBetween(Time At, Time Now) {
  const double PassedMs =
      std::chrono::duration<double, std::milli>(Now - At).count();
  return PassedMs <= 0 ? 1 : std::exp(-PassedMs / MemoryMs);
}

/// Returns the part up to which each account's demand is met if \p Capacity is
/// divided equally and what one leaves goes to the others.
double equalPart(std::vector<double> Demands, double Capacity) {
  std::sort(Demands.begin(), Demands.end());
  std::size_t Left = Demands.size();
  for (const double Demand : Demands) {
    if (Demand * static_cast<double>(Left) > Capacity)
      return Capacity / static_cast<double>(Left);
    Capacity -= Demand;
    Left -= 1;
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace

void AccountFairness::Counts::decay(Time Now) {
  const double Kept = keptBetween(this->At, Now);
  this->At = Now;
  this->Asked *= Kept;
  this->Served *= Kept;
}

double AccountFairness::Counts::askedAt(Time Now) const {
  return this->Asked * keptBetween(this->At, Now);
}

const AccountFairness::PriorityState *
AccountFairness::find(int Priority) const {
  const auto Found = this->ByPriority.find(Priority);
  return Found == this->ByPriority.end() ? nullptr : &Found->second;
}

void AccountFairness::dropIdle(PriorityState &State, Time Now) {
  for (auto &[Name, Item] : State.Accounts)
    Item.Recent.decay(Now);
  std::erase_if(State.Accounts, [&](const auto &Item) {
    return Item.second.End <= State.VirtualTime &&
           Item.second.Recent.Asked < IdleAsked;
  });
  // Accounts that stay are looked at again only once as many have come.
  State.DropAbove = std::max(MinDropAbove, 2 * State.Accounts.size());
}

void AccountFairness::arrived(int Priority, std::string_view Account,
                              Time Now) {
  PriorityState &State = this->ByPriority[Priority];
  auto Found = State.Accounts.find(Account);
  if (Found == State.Accounts.end()) {
    if (State.Accounts.size() >= State.DropAbove)
      dropIdle(State, Now);
    Found = State.Accounts.emplace(std::string(Account), AccountState()).first;
  }
  for (Counts *Item : {&State.Recent, &Found->second.Recent}) {
    Item->decay(Now);
    Item->Asked += 1;
  }
}

bool AccountFairness::neglected(int Priority, std::string_view Account) const {
  const PriorityState *State = this->find(Priority);
  if (State == nullptr)
    return false;
  const auto Found = State->Accounts.find(Account);
  if (Found == State->Accounts.end())
    return false;
  const Counts &Own = Found->second.Recent;
  // Both fractions decay alike, so their times need not be equal.
  return Own.Asked >= MinAsked &&
         Own.Served * State->Recent.Asked <
             NeglectedShare * Own.Asked * State->Recent.Served;
}

double AccountFairness::admittedShare(int Priority, std::string_view Account,
                                      double OfAll, Time Now) const {
  const PriorityState *State = this->find(Priority);
  if (State == nullptr)
    return OfAll;
  const auto Found = State->Accounts.find(Account);
  if (Found == State->Accounts.end())
    return OfAll;
  std::vector<double> Demands;
  Demands.reserve(State->Accounts.size());
  for (const auto &[Name, Item] : State->Accounts)
    Demands.push_back(Item.Recent.askedAt(Now));
  const double Sum = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  const double Own = Found->second.Recent.askedAt(Now);
  const double Part = equalPart(std::move(Demands), OfAll * Sum);
  return Own <= Part ? 1 : std::max(Part / Own, NeglectedShare * OfAll);
}

double AccountFairness::startOf(int Priority, std::string_view Account) const {
  const PriorityState *State = this->find(Priority);
  if (State == nullptr)
    return 0;
  const auto Found = State->Accounts.find(Account);
  return Found == State->Accounts.end()
             ? State->VirtualTime
             : std::max(State->VirtualTime, Found->second.End);
}

void AccountFairness::started(int Priority, std::string_view Account,
                              double RunMs, Time Now) {
  const auto Found = this->ByPriority.find(Priority);
  if (Found == this->ByPriority.end())
    return;
  PriorityState &State = Found->second;
  const auto Item = State.Accounts.find(Account);
  if (Item == State.Accounts.end())
    return;
  AccountState &Own = Item->second;
  // A call that goes first because its account is neglected is no part of the
  // fair order.
  if (!this->neglected(Priority, Account)) {
    const double Start = std::max(State.VirtualTime, Own.End);
    State.VirtualTime = Start;
    Own.End = Start + RunMs;
  }
  for (Counts *Counted : {&State.Recent, &Own.Recent}) {
    Counted->decay(Now);
    Counted->Served += 1;
  }
}

} // namespace persimmon
